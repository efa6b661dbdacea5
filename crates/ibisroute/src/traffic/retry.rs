//! Retry safety and retry budgets.

use crate::catalogue::model::Class;
use crate::traffic::traffic_settings::TrafficSettings;
use crate::types::Millis;
use crate::types::Percent;

/// What this node knows about whether one attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target responded.
    Response,
    /// The request provably did not run on the target.
    NotRun,
    MayHaveRun,
}

/// Whether the request body can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyState {
    /// The whole body is in memory, or it is a stream that no attempt has started to read.
    Replayable,
    /// An attempt has started to read the streamed body.
    Consumed,
}

/// Whether another attempt is safe. Budget, deadline and available targets are checked elsewhere.
/// `is_transient` marks a 502, 503 or 504 response that does not report a retry further down the
/// call chain.
pub fn may_retry(
    class: Class,
    outcome: AttemptOutcome,
    body: BodyState,
    is_transient: bool,
) -> bool {
    if body == BodyState::Consumed {
        return false;
    }
    match outcome {
        AttemptOutcome::NotRun => true,
        AttemptOutcome::MayHaveRun => class.is_repeatable(),
        AttemptOutcome::Response => class.is_repeatable() && is_transient,
    }
}

/// Retry budget of one entry on one thread: each success earns a fraction of a retry. A
/// few more retries, the floor, are allowed without any success; the floor refills with time.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries of the floor that are not spent yet.
    floor_retries: f64,
    /// Retries that successes have earned and that are not spent yet.
    earned_retries: f64,
    /// Time at which `floor_retries` was last refilled.
    floor_refilled_at: Millis,
}

/// Maximum number of earned retries that a thread keeps for an entry, so that retries earned in a
/// quiet period cannot fund a retry storm. With a maximum of 100, the 48 budgets in an overload
/// test (one per entry and thread) allowed 0.12 retries per call throughout the test.
const MAX_EARNED_RETRIES: f64 = 10.0;

impl RetryBudget {
    /// Creates a budget with a full floor.
    pub fn new(settings: &TrafficSettings) -> Self {
        Self {
            floor_retries: settings.retry_floor,
            earned_retries: 0.0,
            floor_refilled_at: Millis(0),
        }
    }

    /// Adds the fraction of a retry that one success earns.
    pub fn record_success(&mut self, retry_share: Percent) {
        self.earned_retries =
            (self.earned_retries + retry_share.fraction()).min(MAX_EARNED_RETRIES);
    }

    /// Spends one retry; `false` when the budget is exhausted.
    pub fn try_spend(&mut self, now: Millis, settings: &TrafficSettings) -> bool {
        let refilled_retries =
            now.since(self.floor_refilled_at).0 as f64 / 1000.0 * settings.retry_floor_per_s;
        self.floor_retries = (self.floor_retries + refilled_retries).min(settings.retry_floor);
        self.floor_refilled_at = now.max(self.floor_refilled_at);
        let available_retries = if self.earned_retries >= 1.0 {
            &mut self.earned_retries
        } else {
            &mut self.floor_retries
        };
        if *available_retries < 1.0 {
            return false;
        }
        *available_retries -= 1.0;
        true
    }
}
