//! Retry budget. Each node counts only its own requests and retries; the sum of the budgets bounds the
//! retries of all nodes, although the nodes exchange no counts.

use std::collections::VecDeque;

use crate::types::Millis;

/// Minimum length of the steps into which the window is divided. The counts of a step leave the window
/// together.
const STEP_LENGTH: Millis = Millis(500);

/// Settings of the retry budget. The retries that `ratio` and `slack` allow in a window are called
/// the allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries allowed per request in a window.
    pub ratio: f64,
    /// Retries allowed in a window beyond those of `ratio`, for all nodes together.
    pub slack: f64,
    /// Time over which requests and retries are counted.
    pub window: Millis,
    /// Fraction of the allowance that nodes may spend on retries. The rest covers the calls that
    /// targets repeat while they process a retried request.
    pub retry_share: f64,
    /// Fraction of the allowance that may be spent on retries after an attempt that may have run.
    /// Such an attempt may have made calls to other services, and its retry makes them again.
    pub after_run_share: f64,
    /// Fraction of the allowance that may be spent on retries after a failure that a target reported.
    /// Often the cause is a failed call from that target to another service, and that call was already
    /// retried.
    pub after_failure_share: f64,
}

/// Reason for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCause {
    /// The target rejected the request without running it.
    Rejected,
    /// The attempt gave no usable response.
    NoResponse,
    /// The target reported a failure.
    TargetFailure,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window: Millis(10_000),
            retry_share: 0.55,
            after_run_share: 0.4,
            after_failure_share: 0.1,
        }
    }
}

/// Requests and retries in one step of the window.
#[derive(Clone, Copy, Debug, Default)]
struct StepCounts {
    start: Millis,
    requests: u32,
    retries: u32,
    /// Retries after an attempt that may have run.
    retries_after_run: u32,
    /// Retries after a failure that a target reported.
    retries_after_failure: u32,
}

/// Retry budget of one service on one node.
#[derive(Debug, Default)]
pub struct RetryBudget {
    steps: VecDeque<StepCounts>,
}

impl RetryBudget {
    /// Counts a caller's request, which adds [`BudgetSettings::ratio`] to the retries allowed in
    /// the window.
    pub fn count_request(&mut self, now: Millis, cfg: &BudgetSettings) {
        self.current_step(now, cfg).requests += 1;
    }

    /// Spends a retry token if the window has one left for `cause`, and returns whether it did.
    /// [`BudgetSettings::slack`] is divided by `node_count`, the number of nodes.
    pub fn try_spend(
        &mut self,
        now: Millis,
        cause: RetryCause,
        node_count: usize,
        cfg: &BudgetSettings,
    ) -> bool {
        self.current_step(now, cfg);
        let sum = |count_of: fn(&StepCounts) -> u32| {
            f64::from(self.steps.iter().map(count_of).sum::<u32>())
        };
        let allowance = cfg.ratio * sum(|s| s.requests) + cfg.slack / node_count.max(1) as f64;
        let fits_share = |used: f64, share: f64| used + 1.0 <= share * allowance;
        let has_room = fits_share(sum(|s| s.retries), cfg.retry_share)
            && match cause {
                RetryCause::Rejected => true,
                RetryCause::NoResponse => {
                    fits_share(sum(|s| s.retries_after_run), cfg.after_run_share)
                }
                RetryCause::TargetFailure => {
                    fits_share(sum(|s| s.retries_after_failure), cfg.after_failure_share)
                }
            };
        if has_room {
            let step = self.current_step(now, cfg);
            step.retries += 1;
            step.retries_after_run += u32::from(cause != RetryCause::Rejected);
            step.retries_after_failure += u32::from(cause == RetryCause::TargetFailure);
        }
        has_room
    }

    /// Removes the steps that have left the window, and returns the step that covers `now`.
    fn current_step(&mut self, now: Millis, cfg: &BudgetSettings) -> &mut StepCounts {
        while self.steps.front().is_some_and(|s| now.since(s.start) >= cfg.window) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|s| now.since(s.start) >= STEP_LENGTH) {
            self.steps.push_back(StepCounts { start: now, ..StepCounts::default() });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
