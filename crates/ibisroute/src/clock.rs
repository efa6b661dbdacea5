//! The monotonic clock that drivers pass to the decisions.

use std::time::Instant;

use crate::types::Millis;

/// Time since its start; decisions get points on it and never read a clock themselves.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts at zero now.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Time since the start.
    pub fn now(self) -> Millis {
        Millis::from(self.started.elapsed())
    }
}
