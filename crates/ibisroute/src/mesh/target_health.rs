//! Health of a target, derived from the outcomes of its requests and from its heartbeats. Health checks
//! can report a wrong state of the target, so their results are not used.

use serde::Deserialize;
use serde::Serialize;

use crate::types::Millis;

/// Settings that determine when a target counts as down and how its failure rate is averaged.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HealthSettings {
    /// Weight of a new outcome in the moving average of the failure rate, 0.0 to 1.0.
    pub weight: f64,
    /// Half-life of the failure rate while there are no outcomes. Without the decay, a target with a high
    /// failure rate would not receive requests again.
    pub half_life: Millis,
    /// Multiple of the average service time after which an aborted request without a response
    /// counts as lost.
    pub lost_factor: f64,
    /// Minimum time after which an aborted request without a response counts as lost.
    pub lost_least: Millis,
    /// Number of consecutive lost requests after which the target counts as down until its next
    /// heartbeat or response.
    pub down_after: u32,
    /// Time without a heartbeat and without a response after which the target counts as down.
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

/// Outcome of a request to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// A valid response without a server error.
    Succeeded,
    /// A failure response, an invalid response, or a rejection.
    Failed,
    /// The connection broke, or no response arrived in time.
    Lost,
    /// No connection to the target could be opened, usually because its process has ended.
    ConnectionRefused,
}

/// Failure rate and reachability of one target.
#[derive(Debug, Default)]
pub struct TargetHealth {
    /// Failure rate at `updated_at`.
    failure_rate: f64,
    updated_at: Millis,
    consecutive_losses: u32,
    down: bool,
    last_response: Millis,
    last_heartbeat: Millis,
}

impl TargetHealth {
    /// Updates the failure rate and the reachability of the target with the outcome of a request.
    pub fn record(&mut self, now: Millis, outcome: TargetOutcome, cfg: &HealthSettings) {
        let failure_sample = if outcome == TargetOutcome::Succeeded { 0.0 } else { 1.0 };
        let current = self.failure_rate(now, cfg);
        self.failure_rate = current + (failure_sample - current) * cfg.weight;
        self.updated_at = now;
        match outcome {
            TargetOutcome::Succeeded | TargetOutcome::Failed => {
                self.consecutive_losses = 0;
                self.down = false;
                self.last_response = now;
            }
            TargetOutcome::Lost => {
                self.consecutive_losses += 1;
                self.down |= self.consecutive_losses >= cfg.down_after;
            }
            TargetOutcome::ConnectionRefused => self.down = true,
        }
    }

    /// Handles a heartbeat that is newer than all earlier ones, which proves that the target is running.
    pub fn on_heartbeat(&mut self, now: Millis) {
        self.last_heartbeat = now;
        self.down = false;
        self.consecutive_losses = 0;
    }

    /// Handles a new incarnation of the target; outcomes of the previous incarnation do not apply to it.
    pub fn restart(&mut self, now: Millis) {
        *self = Self { last_heartbeat: now, ..Self::default() };
    }

    /// Returns the fraction of recent requests that failed, 0.0 to 1.0.
    pub fn failure_rate(&self, now: Millis, cfg: &HealthSettings) -> f64 {
        let age = now.since(self.updated_at).0 as f64;
        self.failure_rate * (-age / (cfg.half_life.0 as f64).max(1.0)).exp2()
    }

    /// Returns whether the target currently receives no requests.
    pub fn is_down(&self, now: Millis, cfg: &HealthSettings) -> bool {
        let last_contact = self.last_heartbeat.max(self.last_response);
        self.down || now.since(last_contact) > cfg.unheard
    }
}
