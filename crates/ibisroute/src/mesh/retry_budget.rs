//! Sends beyond the first of each request, bounded over all nodes without asking any of them.

use std::collections::VecDeque;

use crate::types::Millis;

/// Width of the counting steps of the window.
const STEP: Millis = Millis(500);

/// Settings of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Repeats per request of a window.
    pub ratio: f64,
    /// Repeats of a window that are allowed besides, over all nodes.
    pub slack: f64,
    /// Length of the window.
    pub window: Millis,
    /// Part of the allowance that all repeats together take; the rest covers calls that targets make
    /// again in a run that was a repeat.
    pub spend: f64,
    /// Part of the allowance for repeats after an attempt that may have run. A run may have made calls,
    /// and its repeat makes them again.
    pub spend_after_run: f64,
    /// Part of the allowance for repeats after a failure that a target reported. Often a call of its
    /// own failed, which was repeated nearer to the fault already.
    pub spend_after_failure: f64,
}

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The target rejected it; nothing ran.
    Rejected,
    /// There was no usable answer.
    NoAnswer,
    /// The target reported a failure.
    TargetFailure,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window: Millis(10_000),
            spend: 0.55,
            spend_after_run: 0.4,
            spend_after_failure: 0.1,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    start: Millis,
    requests: u32,
    repeats: u32,
    after_run: u32,
    after_failure: u32,
}

/// Budget of one service on one node.
#[derive(Debug, Default)]
pub struct RetryBudget {
    steps: VecDeque<Counts>,
}

impl RetryBudget {
    /// Counts a request that a caller sent.
    pub fn count_request(&mut self, now: Millis, cfg: &BudgetSettings) {
        self.step(now, cfg).requests += 1;
    }

    /// Takes one repeat if the window has room; `nodes` share the slack.
    pub fn take(&mut self, now: Millis, cause: Cause, nodes: usize, cfg: &BudgetSettings) -> bool {
        self.step(now, cfg);
        let sum = |of: fn(&Counts) -> u32| f64::from(self.steps.iter().map(of).sum::<u32>());
        let allowance = cfg.ratio * sum(|s| s.requests) + cfg.slack / nodes.max(1) as f64;
        let fits = |used: f64, part: f64| used + 1.0 <= part * allowance;
        let room = fits(sum(|s| s.repeats), cfg.spend)
            && match cause {
                Cause::Rejected => true,
                Cause::NoAnswer => fits(sum(|s| s.after_run), cfg.spend_after_run),
                Cause::TargetFailure => fits(sum(|s| s.after_failure), cfg.spend_after_failure),
            };
        if room {
            let step = self.step(now, cfg);
            step.repeats += 1;
            step.after_run += u32::from(cause != Cause::Rejected);
            step.after_failure += u32::from(cause == Cause::TargetFailure);
        }
        room
    }

    fn step(&mut self, now: Millis, cfg: &BudgetSettings) -> &mut Counts {
        while self.steps.front().is_some_and(|s| now.since(s.start) >= cfg.window) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|s| now.since(s.start) >= STEP) {
            self.steps.push_back(Counts { start: now, ..Counts::default() });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
