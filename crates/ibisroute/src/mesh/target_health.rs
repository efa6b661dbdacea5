//! What a target's own answers tell of it. Health checks may lie, so only results count.

use serde::Deserialize;
use serde::Serialize;

use crate::types::Millis;

/// Settings of the judgement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HealthSettings {
    /// Weight of a new result in the failing share.
    pub weight: f64,
    /// Half-life of the failing share without results, so that a target is tried again.
    pub half_life: Millis,
    /// Multiple of the average service time after which a request that was given up without an answer
    /// counts as lost.
    pub lost_factor: f64,
    /// Shortest time after which such a request counts as lost.
    pub lost_least: Millis,
    /// Requests in a row that were lost or broken after which the target counts as down until it is
    /// heard again.
    pub down_after: u32,
    /// Time without a heartbeat and without an answer after which the target counts as down.
    pub unheard: Millis,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            weight: 0.12,
            half_life: Millis(1_500),
            lost_factor: 5.0,
            lost_least: Millis(150),
            down_after: 4,
            unheard: Millis(5_000),
        }
    }
}

/// How a request to the target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With an answer that the target meant.
    Answered,
    /// With a failure of the target, or a rejection.
    Failed,
    /// Without an answer: the connection broke, or nothing came.
    Lost,
    /// The target refused the connection: its process is gone.
    Refused,
}

/// State of the target as its results show it.
#[derive(Debug, Default)]
pub struct TargetHealth {
    failing: f64,
    updated: Millis,
    lost_in_row: u32,
    down: bool,
    answered: Millis,
    heard: Millis,
}

impl TargetHealth {
    /// Counts the end of a request.
    pub fn count(&mut self, now: Millis, ended: Ended, cfg: &HealthSettings) {
        let failed = if ended == Ended::Answered { 0.0 } else { 1.0 };
        let current = self.failing(now, cfg);
        self.failing = current + (failed - current) * cfg.weight;
        self.updated = now;
        match ended {
            Ended::Answered | Ended::Failed => {
                self.lost_in_row = 0;
                self.down = false;
                self.answered = now;
            }
            Ended::Lost => {
                self.lost_in_row += 1;
                self.down |= self.lost_in_row >= cfg.down_after;
            }
            Ended::Refused => self.down = true,
        }
    }

    /// A heartbeat that is newer than all before it: the target runs.
    pub fn heard(&mut self, now: Millis) {
        self.heard = now;
        self.down = false;
        self.lost_in_row = 0;
    }

    /// A new run has begun; results of the last one tell nothing of it.
    pub fn restart(&mut self, now: Millis) {
        *self = Self { heard: now, ..Self::default() };
    }

    /// Share of recent requests that failed, 0.0 to 1.0.
    pub fn failing(&self, now: Millis, cfg: &HealthSettings) -> f64 {
        let age = now.since(self.updated).0 as f64;
        self.failing * (-age / (cfg.half_life.0 as f64).max(1.0)).exp2()
    }

    /// Whether the target takes no requests for now.
    pub fn is_down(&self, now: Millis, cfg: &HealthSettings) -> bool {
        let last = self.heard.max(self.answered);
        self.down || now.since(last) > cfg.unheard
    }
}
