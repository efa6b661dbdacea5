//! Monotonic clock, read by the actors and threads that call the decision logic.

use std::time::Instant;

use crate::types::Millis;

/// Monotonic clock. Decision logic receives points in time as arguments and never reads a clock
/// itself.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_instant: Instant,
}

impl Clock {
    /// Creates a clock that reads zero now.
    pub fn start() -> Self {
        Self { start_instant: Instant::now() }
    }

    /// Returns the time since the start of the clock.
    pub fn now(self) -> Millis {
        Millis::from(self.start_instant.elapsed())
    }
}
