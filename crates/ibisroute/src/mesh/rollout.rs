//! Moves of a service to another version: traffic share schedule and verdict.
//!
//! All nodes follow the same schedule, which depends on the age of the rollout request. Each node reports
//! the responses of its target to all others ([`super::evidence`]), so every node can judge the new version
//! ([`super::version_fault`]).

use serde::Deserialize;
use serde::Serialize;

use crate::types::Millis;
use crate::types::ServiceName;
use crate::types::VersionName;

/// A request of the operator to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRequest {
    pub service: ServiceName,
    /// New version of the service, to which the move shifts its traffic.
    pub to: VersionName,
    /// Time within which the move has to end, counted from the request.
    pub duration: Millis,
}

/// State of a move in its status row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Both versions receive requests.
    Running,
    /// The new version receives all requests; targets of the old version stop at once.
    Completed,
    /// The new version is withdrawn and receives no requests.
    RolledBack,
}

/// The status row of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// New version of the move.
    pub to: VersionName,
    pub verdict: Verdict,
}

/// Settings of moves between versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// Traffic shares of the new version, ordered by the elapsed fraction of the move's duration from
    /// which they apply. In the last stage, the new version receives all traffic. By default, the stages
    /// before it expose less than 10% of the traffic in total. The stage before the last one puts the
    /// new version under load while the old one still serves as the baseline.
    pub stages: Vec<Stage>,
    /// Elapsed fraction of the duration from which a new version without a detected fault takes over
    /// even if targets of the old version still process requests.
    pub force_at: f64,
    /// Minimum time between the start of the last stage and the completion, in which old targets can
    /// finish the requests that they received earlier.
    pub settle: Millis,
    /// Minimum number of failed responses of a target, on one route or on all routes together, before
    /// its error rate is judged.
    pub min_bad: u32,
    /// Difference between the error rates of the new and the old version, 0.0 to 1.0, above which the new
    /// version is judged faulty.
    pub bad_rate_over: f64,
    /// Minimum number of successful responses of each version on a route before its latency is
    /// judged.
    pub min_timed: u32,
    /// Multiple of the old version's mean latency on the same route above which the new version is
    /// judged faulty. Targets of the same version already differ in speed by a factor of three.
    pub slow_factor: f64,
    /// Minimum number of requests that failed or are slow before their fraction is judged.
    pub min_unhealthy: u32,
    /// Multiple of the old version's median latency on the route from which a request counts as slow.
    pub slow_response_factor: f64,
    /// Difference between the fractions of failed or slow requests of the new and the old version, 0.0 to
    /// 1.0, above which the new version is judged faulty.
    pub unhealthy_rate_over: f64,
    /// Age up to which responses count as recent.
    pub recent: Millis,
    /// Minimum number of recent responses of the old version for them to be the baseline of recent
    /// responses of the new one, instead of all responses since the request.
    pub min_baseline: u32,
    /// Delay between the turns of the nodes, in the order of their names, to write a status row. A node
    /// writes the row only if it is still not written when the node's turn comes.
    pub writer_delay: Millis,
}

/// A stage of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Elapsed fraction of the duration from which the stage applies.
    pub from: f64,
    /// Traffic share of the new version, 0.0 to 1.0.
    pub share: f64,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        let stage = |from, share| Stage { from, share };
        Self {
            stages: vec![
                stage(0.0, 0.04),
                stage(0.42, 0.1),
                stage(0.5, 0.25),
                stage(0.58, 0.6),
                stage(0.64, 1.0),
            ],
            force_at: 0.88,
            settle: Millis(1_300),
            min_bad: 4,
            bad_rate_over: 0.2,
            min_timed: 6,
            slow_factor: 3.0,
            min_unhealthy: 5,
            slow_response_factor: 5.0,
            unhealthy_rate_over: 0.15,
            recent: Millis(1_500),
            min_baseline: 20,
            writer_delay: Millis(600),
        }
    }
}

/// Versions of a service that may receive a request.
#[derive(Clone, Debug, PartialEq)]
pub enum AllowedVersions {
    /// Requests go to any version.
    Any,
    /// Requests go to this version and no other.
    Only(VersionName),
    /// Requests go to any version except this one.
    Without(VersionName),
    /// This version receives the given fraction of the requests, 0.0 to 1.0; the other versions receive
    /// the rest.
    Share(VersionName, f64),
}

/// State of a move on a node.
#[derive(Clone, Debug)]
pub struct Rollout {
    pub request: RolloutRequest,
    /// Time at which the first node received the request, as far as this node knows: its own time of
    /// receipt, or an earlier one that follows from an age reported by a peer.
    pub started: Millis,
    /// Verdict in the status row, if the row refers to this request.
    pub recorded_verdict: Option<Verdict>,
    /// Whether any node has detected a fault of the new version; never reset.
    pub withdrawn: bool,
}

impl Rollout {
    /// Returns the versions that may receive requests at `now`.
    pub fn allowed_versions(&self, now: Millis, cfg: &RolloutSettings) -> AllowedVersions {
        let to = self.request.to.clone();
        match self.recorded_verdict {
            Some(Verdict::Completed) => AllowedVersions::Only(to),
            Some(Verdict::RolledBack) => AllowedVersions::Without(to),
            _ if self.withdrawn => AllowedVersions::Without(to),
            _ => AllowedVersions::Share(to, self.share(now, cfg)),
        }
    }

    /// Returns the scheduled traffic share of the new version.
    pub fn share(&self, now: Millis, cfg: &RolloutSettings) -> f64 {
        let elapsed_fraction = self.elapsed_fraction(now);
        cfg.stages.iter().rev().find(|s| elapsed_fraction >= s.from).map_or(0.0, |s| s.share)
    }

    /// Returns the elapsed fraction of the duration; above 1.0 when the duration is over.
    pub fn elapsed_fraction(&self, now: Millis) -> f64 {
        now.since(self.started).0 as f64 / (self.request.duration.0 as f64).max(1.0)
    }

    /// Returns the verdict that the status row should contain at `now`. `old_version_busy`: a target of
    /// the old version still processes requests. `new_version_ready`: a target of the new version
    /// accepts requests.
    pub fn desired_verdict(
        &self,
        now: Millis,
        old_version_busy: bool,
        new_version_ready: bool,
        cfg: &RolloutSettings,
    ) -> Verdict {
        if self.withdrawn {
            return Verdict::RolledBack;
        }
        let last_stage_from = cfg.stages.last().map_or(0.0, |s| s.from);
        let is_settled = self.started.0 as f64
            + last_stage_from * self.request.duration.0 as f64
            + cfg.settle.0 as f64
            <= now.0 as f64;
        let is_forced = self.elapsed_fraction(now) >= cfg.force_at;
        if new_version_ready && is_settled && (!old_version_busy || is_forced) {
            return Verdict::Completed;
        }
        Verdict::Running
    }
}
