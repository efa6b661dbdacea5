//! Admission of requests during a graceful stop.

use crate::types::Millis;

/// Time by which the process ends before the grace period does, even if requests are still running.
const EXIT_MARGIN: Millis = Millis(300);

/// Time between the latest deadline of an admitted request and the end of the process, in which its
/// response is written.
const RESPONSE_MARGIN: Millis = Millis(200);

/// Fraction of the grace period, from its start, in which every request is admitted. If such a
/// request is still running when the period ends, it has run for about half of the period or longer
/// and does not count as interrupted by the stop.
const ADMIT_ALL_SHARE: f64 = 0.5;

/// Time limits of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracefulStop {
    admit_all_until: Millis,
    end: Millis,
}

impl GracefulStop {
    /// Creates the limits of a stop that begins at `now` and has a grace period of `grace`.
    pub fn new(now: Millis, grace: Millis) -> Self {
        Self {
            admit_all_until: Millis(now.0 + (grace.0 as f64 * ADMIT_ALL_SHARE) as u64),
            end: Millis((now.0 + grace.0).saturating_sub(EXIT_MARGIN.0).max(now.0)),
        }
    }

    /// Returns the time at which the process ends even if requests are still running.
    pub fn end(&self) -> Millis {
        self.end
    }

    /// Returns whether a request is admitted whose deadline is `remaining` from now. In the later
    /// part of the grace period, only requests are admitted whose deadline is before the end of the
    /// process.
    pub fn admits(&self, now: Millis, remaining: Millis) -> bool {
        now < self.admit_all_until || now.0 + remaining.0 + RESPONSE_MARGIN.0 <= self.end.0
    }
}
