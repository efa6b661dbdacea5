//! Moving a service to another version: share schedule, evidence and verdict.
//!
//! Every node follows the same schedule from the age of the order, and every node can judge, because
//! the nodes beside the targets tell everybody what their target answered.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::types::Millis;
use crate::types::ServiceName;
use crate::types::VersionName;

/// An order of the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: ServiceName,
    /// The version that takes over.
    pub to: VersionName,
    /// Time from the order within which the move ends.
    pub duration: Millis,
}

/// State of a move as the operator reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Both versions serve.
    Running,
    /// The new version has taken over; the old targets stop at once.
    Completed,
    /// The new version is withdrawn.
    RolledBack,
}

/// The status row of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The version that the status is about.
    pub to: VersionName,
    /// Its state.
    pub verdict: Verdict,
}

/// Settings of moves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// Shares of the new version by the part of the duration that has passed, in rising order. The
    /// last stage carries all traffic. The stages before it expose 6% of the traffic in all.
    pub stages: Vec<Stage>,
    /// Part of the duration after which a version that was not judged bad takes over even if old
    /// targets still work on requests.
    pub force_at: f64,
    /// Shortest time between the last stage and the completion; requests to old targets end in it.
    pub settle: Millis,
    /// Bad answers of one target below which it is not judged by errors.
    pub min_bad: u32,
    /// Rate of bad answers over that of the old version that condemns.
    pub bad_rate_over: f64,
    /// Answers on a route below which its latency is not judged.
    pub min_timed: u32,
    /// Multiple of the old version's mean latency on the same route that condemns. Targets of one
    /// version differ threefold in speed.
    pub slow_factor: f64,
    /// Delay by which the next node in order takes over the writing of a status.
    pub writer_delay: Millis,
}

/// A stage of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Part of the duration from which the stage holds.
    pub from: f64,
    /// Share of the new version.
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

/// Answers of one target on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that ran.
    pub answers: u32,
    /// Of these, failures: 5xx of the target, broken or missing answers.
    pub bad: u32,
    /// Sum of the times of good answers in milliseconds.
    pub good_ms: f64,
}

/// Answers of one target since an order, by route.
pub type Evidence = BTreeMap<SmolStr, Counts>;

/// Counts an answer.
pub fn record(evidence: &mut Evidence, route: &SmolStr, good: bool, took: Millis) {
    let counts = evidence.entry(route.clone()).or_default();
    counts.answers += 1;
    if good {
        counts.good_ms += took.0 as f64;
    } else {
        counts.bad += 1;
    }
}

/// Why a version is withdrawn.
#[derive(Clone, Debug, PartialEq, derive_more::Display)]
pub enum Fault {
    /// It fails more requests than the old version.
    #[display("{bad} of {answers} answers bad on {targets} targets")]
    Errors {
        /// Bad answers.
        bad: u32,
        /// All answers.
        answers: u32,
        /// Targets with evidence.
        targets: usize,
    },
    /// It is slower than the old version.
    #[display("mean {new_ms:.0} ms against {old_ms:.0} ms on route {route}")]
    Slow {
        /// Route on which it is slow.
        route: SmolStr,
        /// Mean of the new version.
        new_ms: f64,
        /// Mean of the old version.
        old_ms: f64,
    },
}

/// Compares the targets of the new version with those of the old one. A single bad target among
/// several good ones does not condemn the version: faults of one target strike both versions.
pub fn judge(new: &[&Evidence], old: &[&Evidence], cfg: &RolloutSettings) -> Option<Fault> {
    let base = merge(old);
    let base_total = total(&base);
    let old_rate = f64::from(base_total.bad) / f64::from(base_total.answers.max(1));
    let mut condemned: Vec<Fault> = Vec::new();
    let mut sound = 0;
    let seen = new.iter().filter(|e| !e.is_empty()).count();
    for evidence in new {
        match judge_target(evidence, &base, old_rate, seen, cfg) {
            Some(fault) => condemned.push(fault),
            None if total(evidence).answers >= cfg.min_timed => sound += 1,
            None => {}
        }
    }
    if condemned.len() > sound {
        return condemned.pop();
    }
    // Thin evidence on many targets counts together.
    let merged = merge(new);
    let fault = judge_target(&merged, &base, old_rate, seen, cfg);
    fault.filter(|_| condemned.is_empty() && sound <= seen / 2)
}

fn judge_target(
    evidence: &Evidence,
    base: &Evidence,
    old_rate: f64,
    targets: usize,
    cfg: &RolloutSettings,
) -> Option<Fault> {
    let whole = total(evidence);
    let per_route = evidence.iter().map(|(route, counts)| {
        let old = base.get(route).copied().unwrap_or_default();
        let rate = f64::from(old.bad) / f64::from(old.answers.max(1));
        (*counts, rate.max(old_rate))
    });
    for (counts, old_rate) in per_route.chain([(whole, old_rate)]) {
        let rate = f64::from(counts.bad) / f64::from(counts.answers.max(1));
        if counts.bad >= cfg.min_bad && rate > old_rate + cfg.bad_rate_over {
            let Counts { bad, answers, .. } = counts;
            return Some(Fault::Errors { bad, answers, targets });
        }
    }
    evidence.iter().find_map(|(route, counts)| {
        let old = base.get(route)?;
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
        let into = merged.entry(route.clone()).or_default();
        into.answers += counts.answers;
        into.bad += counts.bad;
        into.good_ms += counts.good_ms;
    }
    merged
}

fn total(evidence: &Evidence) -> Counts {
    evidence.values().fold(Counts::default(), |mut sum, c| {
        sum.answers += c.answers;
        sum.bad += c.bad;
        sum.good_ms += c.good_ms;
        sum
    })
}

/// Which versions of a service may take a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Gate {
    /// All versions.
    Open,
    /// Only this version.
    Only(VersionName),
    /// All versions but this one.
    Without(VersionName),
    /// The named version takes the share, the others the rest.
    Share(VersionName, f64),
}

/// What a node knows of a move.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// When this node, or a peer that knew it earlier, learned of the order.
    pub began: Millis,
    /// State in the status row, when it is about this order.
    pub recorded: Option<Verdict>,
    /// A node judged the version bad; never cleared.
    pub withdrawn: bool,
}

impl Rollout {
    /// Which versions take requests now.
    pub fn gate(&self, now: Millis, cfg: &RolloutSettings) -> Gate {
        let to = self.order.to.clone();
        match self.recorded {
            Some(Verdict::Completed) => Gate::Only(to),
            Some(Verdict::RolledBack) => Gate::Without(to),
            _ if self.withdrawn => Gate::Without(to),
            _ => Gate::Share(to, self.share(now, cfg)),
        }
    }

    /// Scheduled share of the new version.
    pub fn share(&self, now: Millis, cfg: &RolloutSettings) -> f64 {
        let passed = self.passed(now);
        cfg.stages.iter().rev().find(|s| passed >= s.from).map_or(0.0, |s| s.share)
    }

    /// Part of the duration that has passed.
    pub fn passed(&self, now: Millis) -> f64 {
        now.since(self.began).0 as f64 / (self.order.duration.0 as f64).max(1.0)
    }

    /// What the status row should say now. `old_busy` tells whether a target of the old version still
    /// works on requests, `ready` whether a target of the new version takes requests.
    pub fn wanted(
        &self,
        now: Millis,
        old_busy: bool,
        ready: bool,
        cfg: &RolloutSettings,
    ) -> Verdict {
        if self.withdrawn {
            return Verdict::RolledBack;
        }
        let last = cfg.stages.last().map_or(0.0, |s| s.from);
        let settled =
            self.began.0 as f64 + last * self.order.duration.0 as f64 + cfg.settle.0 as f64
                <= now.0 as f64;
        let forced = self.passed(now) >= cfg.force_at;
        if ready && settled && (!old_busy || forced) {
            return Verdict::Completed;
        }
        Verdict::Running
    }
}
