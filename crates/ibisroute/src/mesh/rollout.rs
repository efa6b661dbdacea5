//! Moves of a service to another version: traffic share schedule, evidence and verdict.
//!
//! All nodes follow the same schedule, which depends on the age of the rollout request. Every node
//! can judge the new version, because each node reports the responses of its target to all others.

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
    /// The version to move to.
    pub to: VersionName,
    /// Time from the request within which the move has to end.
    pub duration: Millis,
}

/// State of a move in its status row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Both versions receive requests.
    Running,
    /// The new version receives all requests; targets of the old version stop at once.
    Completed,
    /// The new version is withdrawn.
    RolledBack,
}

/// The status row of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The version that the status refers to.
    pub to: VersionName,
    pub verdict: Verdict,
}

/// Settings of moves between versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// Traffic shares of the new version, ordered by the elapsed fraction of the duration from
    /// which they apply. In the last stage, the new version receives all traffic. By default, the stages
    /// before it expose 6% of the traffic in total.
    pub stages: Vec<Stage>,
    /// Elapsed fraction of the duration after which a version without a detected fault takes over
    /// even if targets of the old version still process requests.
    pub force_at: f64,
    /// Minimum time between the start of the last stage and the completion. Requests that old targets
    /// received earlier can end in this time.
    pub settle: Millis,
    /// Minimum number of failed responses of one target before its error rate is judged.
    pub min_bad: u32,
    /// Excess of the error rate over that of the old version above which the new version is judged
    /// faulty.
    pub bad_rate_over: f64,
    /// Minimum number of successful responses of each version on a route before its latency is
    /// judged.
    pub min_timed: u32,
    /// Multiple of the old version's mean latency on the same route above which the new version is
    /// judged faulty. Targets of one version already differ threefold in speed.
    pub slow_factor: f64,
    /// Time after which the next node in order of names takes over writing a status row.
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
    /// Requests that were processed.
    pub answers: u32,
    /// Failed ones among them: 5xx responses of the target, and broken or missing responses.
    pub bad: u32,
    /// Sum of the latencies of successful responses, in milliseconds.
    pub good_ms: f64,
}

/// Responses of one target since a rollout request, by route.
pub type Evidence = BTreeMap<SmolStr, ResponseCounts>;

/// Adds a response to the evidence.
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
    /// The version fails more requests than the old one.
    #[display("{bad} of {answers} answers bad on {targets} targets")]
    Errors {
        /// Failed responses.
        bad: u32,
        /// All responses.
        answers: u32,
        /// Targets with evidence.
        targets: usize,
    },
    /// The version is slower than the old one.
    #[display("mean {new_ms:.0} ms against {old_ms:.0} ms on route {route}")]
    Slow {
        /// Route on which it is slower.
        route: SmolStr,
        /// Mean latency of the new version, in milliseconds.
        new_ms: f64,
        /// Mean latency of the old version, in milliseconds.
        old_ms: f64,
    },
}

/// Compares the targets of the new version with those of the old one. A single faulty target among
/// several healthy ones does not count against the version, since single targets of either version
/// can be faulty.
pub fn judge(new: &[&Evidence], old: &[&Evidence], cfg: &RolloutSettings) -> Option<Fault> {
    let baseline = merge(old);
    let baseline_total = total(&baseline);
    let old_rate = f64::from(baseline_total.bad) / f64::from(baseline_total.answers.max(1));
    let mut faulty: Vec<Fault> = Vec::new();
    let mut healthy = 0;
    let with_evidence = new.iter().filter(|e| !e.is_empty()).count();
    for evidence in new {
        match judge_target(evidence, &baseline, old_rate, with_evidence, cfg) {
            Some(fault) => faulty.push(fault),
            None if total(evidence).answers >= cfg.min_timed => healthy += 1,
            None => {}
        }
    }
    if faulty.len() > healthy {
        return faulty.pop();
    }
    // Targets with too little evidence each are judged by their sum.
    let merged = merge(new);
    let fault = judge_target(&merged, &baseline, old_rate, with_evidence, cfg);
    fault.filter(|_| faulty.is_empty() && healthy <= with_evidence / 2)
}

fn judge_target(
    evidence: &Evidence,
    baseline: &Evidence,
    old_rate: f64,
    targets: usize,
    cfg: &RolloutSettings,
) -> Option<Fault> {
    let overall = total(evidence);
    let per_route = evidence.iter().map(|(route, counts)| {
        let baseline_counts = baseline.get(route).copied().unwrap_or_default();
        let rate = f64::from(baseline_counts.bad) / f64::from(baseline_counts.answers.max(1));
        (*counts, rate.max(old_rate))
    });
    for (counts, old_rate) in per_route.chain([(overall, old_rate)]) {
        let rate = f64::from(counts.bad) / f64::from(counts.answers.max(1));
        if counts.bad >= cfg.min_bad && rate > old_rate + cfg.bad_rate_over {
            let ResponseCounts { bad, answers, .. } = counts;
            return Some(Fault::Errors { bad, answers, targets });
        }
    }
    evidence.iter().find_map(|(route, counts)| {
        let old = baseline.get(route)?;
        let good = counts.answers - counts.bad;
        let old_good = old.answers - old.bad;
        if good < cfg.min_timed || old_good < cfg.min_timed {
            return None;
        }
        let new_ms = counts.good_ms / f64::from(good);
        let old_ms = old.good_ms / f64::from(old_good);
        let slow = new_ms > old_ms * cfg.slow_factor;
        slow.then(|| Fault::Slow { route: route.clone(), new_ms, old_ms })
    })
}

fn merge(all: &[&Evidence]) -> Evidence {
    let mut merged = Evidence::new();
    for (route, counts) in all.iter().flat_map(|e| e.iter()) {
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
pub enum VersionGate {
    /// Requests go to any version.
    Open,
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
    /// Earliest time at which this node, or a peer that reported its age, received the request.
    pub started: Millis,
    /// Verdict in the status row, if the row refers to this request.
    pub recorded_verdict: Option<Verdict>,
    /// Whether a node has detected a fault of the new version; never reset.
    pub withdrawn: bool,
}

impl Rollout {
    /// Returns the versions that may receive requests at `now`.
    pub fn gate(&self, now: Millis, cfg: &RolloutSettings) -> VersionGate {
        let to = self.request.to.clone();
        match self.recorded_verdict {
            Some(Verdict::Completed) => VersionGate::Only(to),
            Some(Verdict::RolledBack) => VersionGate::Without(to),
            _ if self.withdrawn => VersionGate::Without(to),
            _ => VersionGate::Share(to, self.share(now, cfg)),
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

    /// Returns the verdict that the status row should contain at `now`. `old_version_busy`: a target of the
    /// old version still processes requests. `new_version_ready`: a target of the new version accepts
    /// requests.
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
        let settled = self.started.0 as f64
            + last_stage_from * self.request.duration.0 as f64
            + cfg.settle.0 as f64
            <= now.0 as f64;
        let forced = self.elapsed_fraction(now) >= cfg.force_at;
        if new_version_ready && settled && (!old_version_busy || forced) {
            return Verdict::Completed;
        }
        Verdict::Running
    }
}
