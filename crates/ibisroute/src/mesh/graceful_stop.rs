//! Which requests a stopping node still takes.

use crate::types::Millis;

/// Time before the end of the grace period at which the process ends in any case.
const END_BEFORE: Millis = Millis(300);

/// Time between the latest deadline of a request that is taken and the end of the process, in which its
/// answer is written.
const ANSWER_TIME: Millis = Millis(200);

/// Part of the grace period in which every request is taken. One that runs at the end is then old enough
/// that the users do not count it as cut.
const OPEN_SHARE: f64 = 0.5;

/// A graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracefulStop {
    open_until: Millis,
    end: Millis,
}

impl GracefulStop {
    /// A stop that begins at `now` and has the time `grace`.
    pub fn new(now: Millis, grace: Millis) -> Self {
        Self {
            open_until: Millis(now.0 + (grace.0 as f64 * OPEN_SHARE) as u64),
            end: Millis((now.0 + grace.0).saturating_sub(END_BEFORE.0).max(now.0)),
        }
    }

    /// When the process ends in any case.
    pub fn end(&self) -> Millis {
        self.end
    }

    /// Whether a request is taken that has to be answered within `left`. In the later part of the grace
    /// period only those are that reach their deadline before the process ends.
    pub fn admits(&self, now: Millis, left: Millis) -> bool {
        now < self.open_until || now.0 + left.0 + ANSWER_TIME.0 <= self.end.0
    }
}
