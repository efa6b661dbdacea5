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
    /// Share of the allowance that is spent; the rest covers targets' own calls that a repeat repeats.
    pub spend: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 50.0, window: Millis(10_000), spend: 0.6 }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    start: Millis,
    requests: u32,
    repeats: u32,
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
    pub fn take(&mut self, now: Millis, nodes: usize, cfg: &BudgetSettings) -> bool {
        self.step(now, cfg);
        let requests: u32 = self.steps.iter().map(|s| s.requests).sum();
        let repeats: u32 = self.steps.iter().map(|s| s.repeats).sum();
        let slack = cfg.slack / nodes.max(1) as f64;
        let allowed = cfg.spend * (cfg.ratio * f64::from(requests) + slack);
        let room = f64::from(repeats) + 1.0 <= allowed;
        if room {
            self.step(now, cfg).repeats += 1;
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
