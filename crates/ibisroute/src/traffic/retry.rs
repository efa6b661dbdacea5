//! Whether a call may be sent again.

use crate::catalogue::model::Class;
use crate::traffic::traffic_settings::TrafficSettings;
use crate::types::Millis;
use crate::types::Percent;

/// What is known about one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered.
    Answer,
    /// Proved: nothing reached the target.
    NotRun,
    /// The target may have run the request.
    MayHaveRun,
}

/// Whether the request body can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyState {
    /// The whole body is held, or it is a stream that no attempt has begun to read.
    Whole,
    /// Part of the streamed body is gone.
    Consumed,
}

/// Whether another attempt is safe, leaving budget, deadline and targets aside. `transient` marks
/// an answer 502, 503 or 504 that does not say that a retry was already spent.
pub fn may_send_again(
    class: Class,
    outcome: AttemptOutcome,
    body: BodyState,
    transient: bool,
) -> bool {
    if body == BodyState::Consumed {
        return false;
    }
    match outcome {
        AttemptOutcome::NotRun => true,
        AttemptOutcome::MayHaveRun => class.is_repeatable(),
        AttemptOutcome::Answer => class.is_repeatable() && transient,
    }
}

/// Retry budget of one entry: a share of its successes and a small floor.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    floor: f64,
    earned: f64,
    updated: Millis,
}

/// Earned retries that a thread keeps for an entry at most, so that a long calm does not pay for a retry
/// storm: with 100, 48 budgets paid for 0.12 retries a call over a whole overload run.
const MAX_EARNED: f64 = 10.0;

impl RetryBudget {
    /// Makes a budget that holds the whole floor.
    pub fn new(settings: &TrafficSettings) -> Self {
        Self { floor: settings.retry_floor, earned: 0.0, updated: Millis(0) }
    }

    /// Earns the share of one success.
    pub fn succeeded(&mut self, share: Percent) {
        self.earned = (self.earned + share.fraction()).min(MAX_EARNED);
    }

    /// Takes one retry; `false` when the budget is spent.
    pub fn take(&mut self, now: Millis, settings: &TrafficSettings) -> bool {
        let refill = now.since(self.updated).0 as f64 / 1000.0 * settings.retry_floor_per_s;
        self.floor = (self.floor + refill).min(settings.retry_floor);
        self.updated = now.max(self.updated);
        let purse = if self.earned >= 1.0 { &mut self.earned } else { &mut self.floor };
        if *purse < 1.0 {
            return false;
        }
        *purse -= 1.0;
        true
    }
}
