//! Admission of requests during a graceful stop.

use crate::types::Millis;

/// Time before the end of the grace period at which requests that still run are given up.
const GIVE_UP_MARGIN: Millis = Millis(300);

/// Time by which the process ends before the grace period does, even if a response is not written yet.
const EXIT_MARGIN: Millis = Millis(100);

/// Time between the latest deadline of an admitted request and [`GracefulStop::end`], in which its
/// response is written.
const RESPONSE_MARGIN: Millis = Millis(200);

/// Fraction of the grace period, from its start, in which every request is admitted. If such a
/// request is still running when the period ends, it has run for about half of the period or longer
/// and does not count as interrupted by the stop.
const ADMIT_ALL_SHARE: f64 = 0.5;

/// Upper bound of the time in which every request is admitted. By then the platform has seen the failed
/// readiness checks and directs no new callers to the node.
const ADMIT_ALL_MAX: Millis = Millis(3_000);

/// Time limits of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracefulStop {
    admit_all_until: Millis,
    end: Millis,
    exit_by: Millis,
}

impl GracefulStop {
    /// Creates the limits of a stop that begins at `now` and has a grace period of `grace`.
    pub fn new(now: Millis, grace: Millis) -> Self {
        let admit_all = Millis((grace.0 as f64 * ADMIT_ALL_SHARE) as u64).min(ADMIT_ALL_MAX);
        let before_grace_end =
            |margin: Millis| Millis((now.0 + grace.0).saturating_sub(margin.0).max(now.0));
        Self {
            admit_all_until: Millis(now.0 + admit_all.0),
            end: before_grace_end(GIVE_UP_MARGIN),
            exit_by: before_grace_end(EXIT_MARGIN),
        }
    }

    /// Returns the time at which the requests that are still running are given up.
    pub fn end(&self) -> Millis {
        self.end
    }

    /// Returns the time at which the process ends even if the responses to these requests are not written.
    pub fn exit_by(&self) -> Millis {
        self.exit_by
    }

    /// Returns whether a request is admitted whose deadline is `remaining` from now. In the later
    /// part of the grace period, only requests are admitted whose deadline is before
    /// [`GracefulStop::end`].
    pub fn admits(&self, now: Millis, remaining: Millis) -> bool {
        now < self.admit_all_until || now.0 + remaining.0 + RESPONSE_MARGIN.0 <= self.end.0
    }
}
