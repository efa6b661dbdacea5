//! Choice of the target of a request among those of a service.

use std::collections::HashMap;

use rand::Rng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;

use super::slot_queue::Load;
use crate::types::Millis;
use crate::types::NodeId;

/// Settings of the choice.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PickerSettings {
    /// Extra cost of a target in another data centre.
    pub cross_cost: Millis,
    /// Extra cost of a target in another data centre for each kilobyte of the request, in
    /// milliseconds. Bytes between data centres are billed, so large bodies stay near.
    pub cross_cost_ms_per_kb: f64,
    /// Bound of the extra cost for the bytes of a request, as a share of the time to its aim.
    pub cross_cost_share: f64,
    /// Cost of a certain failure, as a multiple of the time to the aim.
    pub failure_cost: f64,
    /// Multiple of the service time while a target is slow from its start.
    pub cold_factor: f64,
    /// Targets compared for a request when a service has more, half of them in the own data centre. Few,
    /// because reported loads are up to a second old: all nodes would send to the same free targets.
    pub compared: usize,
    /// Failing share from which a target is compared only when there are too few others.
    pub failing_last: f32,
    /// Time for which a target that refused or failed a connection is avoided.
    pub avoid: Millis,
    /// Extra cost, as a multiple of the service time, of a target whose slots are all in use.
    pub busy_cost: f64,
    /// Service time that is assumed when no target of a service has told one.
    pub unknown_service: Millis,
    /// Multiple of the cost of a target that this node has not used yet, so that a target that joins
    /// gets work, and its speed becomes known.
    pub first_use: f64,
    /// Longest body with which a target is tried for the first time.
    pub first_use_bytes: usize,
}

impl Default for PickerSettings {
    fn default() -> Self {
        Self {
            cross_cost: Millis(25),
            cross_cost_ms_per_kb: 4.0,
            cross_cost_share: 0.5,
            failure_cost: 2.0,
            cold_factor: 2.0,
            compared: 2,
            failing_last: 0.5,
            avoid: Millis(300),
            busy_cost: 0.5,
            unknown_service: Millis(100),
            first_use: 0.6,
            first_use_bytes: 8 * 1024,
        }
    }
}

/// A target that may take the request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Node beside the target.
    pub node: NodeId,
    /// Whether the target is in this node's data centre.
    pub near: bool,
    /// Whether the target is still slow from its start.
    pub cold: bool,
    /// Load as its node last told it.
    pub load: Load,
}

/// What this node knows of a target beyond its last report.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// Requests of this node that are out.
    outstanding: u32,
    /// Requests of this node that were out at the last report.
    reported_outstanding: u32,
    avoid_until: Millis,
    /// Whether a request of this node went to the present run of the target.
    used: bool,
}

/// Chooses targets by the expected time to an answer.
#[derive(Debug)]
pub struct Picker {
    cfg: PickerSettings,
    seen: HashMap<NodeId, Seen>,
    rng: SmallRng,
}

/// What decides on a request.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Current time.
    pub now: Millis,
    /// Time to the aim of the request.
    pub to_aim: Millis,
    /// Bytes that cross data centres for it.
    pub bytes: usize,
}

impl Picker {
    /// A picker that knows no target.
    pub fn new(cfg: PickerSettings, rng: SmallRng) -> Self {
        Self { cfg, seen: HashMap::new(), rng }
    }

    /// Chooses a target; `None` when there is no candidate.
    pub fn choose(&mut self, ask: Ask, candidates: &[Candidate]) -> Option<NodeId> {
        let picked = self.sample(ask.now, candidates);
        let usual = usual_service(candidates).unwrap_or(self.cfg.unknown_service.0 as f64);
        picked
            .into_iter()
            .map(|i| {
                let scatter = 1.0 + self.rng.random::<f64>() * 0.05;
                (self.cost_ms(ask, &candidates[i], usual) * scatter, i)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, i)| candidates[i].node.clone())
    }

    /// Indices of the targets that are compared: drawn from the sound ones of the own data centre and of
    /// the others by halves, and from the rest when these are too few.
    fn sample(&mut self, now: Millis, candidates: &[Candidate]) -> Vec<usize> {
        let mut all: Vec<usize> = (0..candidates.len()).collect();
        let compared = self.cfg.compared;
        if all.len() <= compared {
            return all;
        }
        for i in (1..all.len()).rev() {
            all.swap(i, self.rng.random_range(0..=i));
        }
        let is_sound = |i: &usize| {
            let candidate = &candidates[*i];
            let seen = self.seen.get(&candidate.node);
            candidate.load.failing < self.cfg.failing_last
                && seen.is_none_or(|s| now >= s.avoid_until)
        };
        let (sound, rest): (Vec<usize>, Vec<usize>) = all.into_iter().partition(is_sound);
        let (near, far): (Vec<usize>, Vec<usize>) =
            sound.into_iter().partition(|i| candidates[*i].near);
        let from_far = far.len().min(compared - near.len().min(compared.div_ceil(2)));
        let from_near = near.len().min(compared - from_far);
        let sound = near.into_iter().take(from_near).chain(far.into_iter().take(from_far));
        sound.chain(rest).take(compared).collect()
    }

    /// Counts a request that goes to a target.
    pub fn sent(&mut self, node: &NodeId) {
        let seen = self.seen.entry(node.clone()).or_default();
        seen.outstanding += 1;
        seen.used = true;
    }

    /// Counts a request that has ended.
    pub fn ended(&mut self, node: &NodeId) {
        if let Some(seen) = self.seen.get_mut(node) {
            seen.outstanding = seen.outstanding.saturating_sub(1);
        }
    }

    /// A report of the target's load arrived.
    pub fn reported(&mut self, node: &NodeId) {
        let seen = self.seen.entry(node.clone()).or_default();
        seen.reported_outstanding = seen.outstanding;
    }

    /// A report came with the outcome of a request that is still counted as out.
    pub fn reported_after_end(&mut self, node: &NodeId) {
        let seen = self.seen.entry(node.clone()).or_default();
        seen.reported_outstanding = seen.outstanding.saturating_sub(1);
    }

    /// Avoids a target for a while.
    pub fn avoid(&mut self, now: Millis, node: &NodeId) {
        let until = Millis(now.0 + self.cfg.avoid.0);
        self.seen.entry(node.clone()).or_default().avoid_until = until;
    }

    /// A new run of a target has begun beside a node.
    pub fn restarted(&mut self, node: &NodeId) {
        if let Some(seen) = self.seen.get_mut(node) {
            seen.used = false;
        }
    }

    /// Forgets a target whose node is gone.
    pub fn forget(&mut self, node: &NodeId) {
        self.seen.remove(node);
    }

    /// Expected time to an answer, with the extra costs, in milliseconds. `usual_ms` stands in for a
    /// service time that is not known.
    fn cost_ms(&self, ask: Ask, candidate: &Candidate, usual_ms: f64) -> f64 {
        let cfg = &self.cfg;
        let load = candidate.load;
        let seen = self.seen.get(&candidate.node).copied().unwrap_or_default();
        let reported = f64::from(load.running + load.waiting);
        let others = (reported - f64::from(seen.reported_outstanding)).max(0.0);
        let total = others + f64::from(seen.outstanding);
        let slots = f64::from(load.slots.max(1));
        let told = f64::from(load.service_ms);
        let service = if told > 0.0 { told } else { usual_ms };
        let service = service * if candidate.cold { cfg.cold_factor } else { 1.0 };
        let over = (total + 1.0 - slots).max(0.0) / slots;
        let busy = cfg.busy_cost * (total / slots).min(1.0).powi(4);
        let to_aim = ask.to_aim.0 as f64;
        let mut cost = service * (1.0 + over + busy);
        if !candidate.near {
            let bytes = ask.bytes as f64 / 1024.0 * cfg.cross_cost_ms_per_kb;
            cost += cfg.cross_cost.0 as f64 + bytes.min(to_aim * cfg.cross_cost_share);
        }
        if !seen.used && !candidate.cold && ask.bytes <= cfg.first_use_bytes {
            cost *= cfg.first_use;
        }
        cost += f64::from(load.failing) * cfg.failure_cost * to_aim;
        if ask.now < seen.avoid_until {
            cost += 10.0 * to_aim + 1.0;
        }
        cost
    }
}

/// Mean of the service times that are known.
fn usual_service(candidates: &[Candidate]) -> Option<f64> {
    let known = candidates.iter().map(|c| f64::from(c.load.service_ms)).filter(|ms| *ms > 0.0);
    let (sum, count) = known.fold((0.0, 0), |(sum, count), ms| (sum + ms, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}
