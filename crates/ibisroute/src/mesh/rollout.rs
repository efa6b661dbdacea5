//! Moves of a service to another version: traffic share schedule, evidence and verdict.
//!
//! All nodes follow the same schedule, which depends on the age of the rollout request. Each node reports
//! the responses of its target to all others, so every node can judge the new version.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

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
    /// before it expose 6% of the traffic in total.
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
            stages: vec![stage(0.0, 0.05), stage(0.42, 0.12), stage(0.54, 0.25), stage(0.60, 1.0)],
            force_at: 0.88,
            settle: Millis(1_300),
            min_bad: 4,
            bad_rate_over: 0.2,
            min_timed: 6,
            slow_factor: 3.0,
            writer_delay: Millis(600),
        }
    }
}

/// Responses of one target on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResponseCounts {
    /// Requests with a recorded outcome.
    pub answers: u32,
    /// Failed requests among `answers`: 5xx responses of the target, and broken or missing responses.
    pub bad: u32,
    /// Sum of the latencies of successful responses, in milliseconds.
    pub good_ms: f64,
}

/// Responses of one target since a rollout request, by route.
pub type Evidence = BTreeMap<SmolStr, ResponseCounts>;

/// Counts the response to a request in the evidence; a broken or missing response counts as failed.
pub fn record_response(evidence: &mut Evidence, route: &SmolStr, succeeded: bool, took: Millis) {
    let counts = evidence.entry(route.clone()).or_default();
    counts.answers += 1;
    if succeeded {
        counts.good_ms += took.0 as f64;
    } else {
        counts.bad += 1;
    }
}

/// Reason for the withdrawal of a version.
#[derive(Clone, Debug, PartialEq, derive_more::Display)]
pub enum Fault {
    /// The new version has a higher error rate than the old one.
    #[display("{bad} of {answers} responses failed on {targets} targets")]
    Errors {
        /// Number of failed requests; see [`ResponseCounts::bad`].
        bad: u32,
        /// Number of requests with a recorded outcome.
        answers: u32,
        /// Number of targets of the new version that have evidence.
        targets: usize,
    },
    /// The new version has a higher mean latency than the old one on a route.
    #[display("mean {new_ms:.0} ms against {old_ms:.0} ms on route {route}")]
    Slow {
        /// Route on which the new version is slower.
        route: SmolStr,
        /// Mean latency of the new version, in milliseconds.
        new_ms: f64,
        /// Mean latency of the old version, in milliseconds.
        old_ms: f64,
    },
}

/// Compares the targets of the new version with those of the old one; returns the fault of the new
/// version, if there is one. A single faulty target among several healthy ones is not a fault of the
/// version, since single targets of either version can be faulty.
pub fn detect_fault(new: &[&Evidence], old: &[&Evidence], cfg: &RolloutSettings) -> Option<Fault> {
    let baseline = merge(old);
    let baseline_total = total(&baseline);
    let baseline_rate = f64::from(baseline_total.bad) / f64::from(baseline_total.answers.max(1));
    let mut faulty: Vec<Fault> = Vec::new();
    let mut healthy_count = 0;
    let targets_with_evidence = new.iter().filter(|e| !e.is_empty()).count();
    for evidence in new {
        match detect_target_fault(evidence, &baseline, baseline_rate, targets_with_evidence, cfg) {
            Some(fault) => faulty.push(fault),
            None if total(evidence).answers >= cfg.min_timed => healthy_count += 1,
            None => {}
        }
    }
    if faulty.len() > healthy_count {
        return faulty.pop();
    }
    // If each target has too little evidence, the sum of their evidence is judged.
    let merged = merge(new);
    let fault = detect_target_fault(&merged, &baseline, baseline_rate, targets_with_evidence, cfg);
    fault.filter(|_| faulty.is_empty() && healthy_count <= targets_with_evidence / 2)
}

/// Compares the evidence of one target, or the sum of several, with the old version. `baseline_rate` is
/// the error rate of the old version on all routes, and `targets` the number of targets with evidence.
fn detect_target_fault(
    evidence: &Evidence,
    baseline: &Evidence,
    baseline_rate: f64,
    targets: usize,
    cfg: &RolloutSettings,
) -> Option<Fault> {
    let overall = total(evidence);
    let per_route = evidence.iter().map(|(route, counts)| {
        let baseline_counts = baseline.get(route).copied().unwrap_or_default();
        let rate = f64::from(baseline_counts.bad) / f64::from(baseline_counts.answers.max(1));
        (*counts, rate.max(baseline_rate))
    });
    for (counts, expected_rate) in per_route.chain([(overall, baseline_rate)]) {
        let rate = f64::from(counts.bad) / f64::from(counts.answers.max(1));
        if counts.bad >= cfg.min_bad && rate > expected_rate + cfg.bad_rate_over {
            let ResponseCounts { bad, answers, .. } = counts;
            return Some(Fault::Errors { bad, answers, targets });
        }
    }
    evidence.iter().find_map(|(route, counts)| {
        let baseline_counts = baseline.get(route)?;
        let new_successes = counts.answers - counts.bad;
        let old_successes = baseline_counts.answers - baseline_counts.bad;
        if new_successes < cfg.min_timed || old_successes < cfg.min_timed {
            return None;
        }
        let new_ms = counts.good_ms / f64::from(new_successes);
        let old_ms = baseline_counts.good_ms / f64::from(old_successes);
        let is_slow = new_ms > old_ms * cfg.slow_factor;
        is_slow.then(|| Fault::Slow { route: route.clone(), new_ms, old_ms })
    })
}

fn merge(evidence_sets: &[&Evidence]) -> Evidence {
    let mut merged = Evidence::new();
    for (route, counts) in evidence_sets.iter().flat_map(|e| e.iter()) {
        let merged_counts = merged.entry(route.clone()).or_default();
        merged_counts.answers += counts.answers;
        merged_counts.bad += counts.bad;
        merged_counts.good_ms += counts.good_ms;
    }
    merged
}

fn total(evidence: &Evidence) -> ResponseCounts {
    evidence.values().fold(ResponseCounts::default(), |mut sum, c| {
        sum.answers += c.answers;
        sum.bad += c.bad;
        sum.good_ms += c.good_ms;
        sum
    })
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
