//! Selects a target for a request among the targets of a service.

use std::collections::HashMap;

use rand::Rng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;

use super::slot_queue::Load;
use crate::types::Millis;
use crate::types::NodeId;

/// Settings of the target selection. Costs are expected response times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PickerSettings {
    /// Extra cost of a target in another data centre.
    pub cross_cost: Millis,
    /// Extra cost of a target in another data centre for each kilobyte of the request, in
    /// milliseconds. Traffic between data centres is billed by volume, so large bodies stay in
    /// their own data centre.
    pub cross_cost_ms_per_kb: f64,
    /// Upper bound of the extra cost for request bytes, as a fraction of the time left to the
    /// latency objective.
    pub cross_cost_share: f64,
    /// Cost of a failure rate of 1.0, as a multiple of the time left to the latency objective.
    pub failure_cost: f64,
    /// Factor on the service time of a target in its cold start.
    pub cold_factor: f64,
    /// Number of targets compared for a request when a service has more, half of them in this node's
    /// data centre. Kept small because reported loads are up to a second old: with many compared
    /// targets, all nodes would select the same idle ones.
    pub compared: usize,
    /// Failure rate, 0.0 to 1.0, from which a target is compared only when fewer than `compared`
    /// targets have a lower rate.
    pub failing_last: f32,
    /// Time for which a target is avoided after it rejected a request, was leaving or could not be
    /// reached.
    pub avoid: Millis,
    /// Extra cost of a target whose slots are all in use, as a multiple of the service time.
    pub busy_cost: f64,
    /// Service time that is assumed when no target of a service has reported one.
    pub unknown_service: Millis,
    /// Factor on the cost of a target to which this node has not sent a request yet. Below 1.0, so
    /// that a new target receives requests and its service time becomes known.
    pub first_use: f64,
    /// Size of the request body, in bytes, up to which `first_use` applies.
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

/// A target that may receive the request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Node next to the target.
    pub node: NodeId,
    /// Whether the target is in the data centre of this node.
    pub same_data_centre: bool,
    /// Whether the target is in its cold start.
    pub cold: bool,
    /// Load in the last report of the target's node.
    pub load: Load,
}

/// Statistics that this node keeps for a target in addition to the reported load.
#[derive(Clone, Copy, Debug, Default)]
struct TargetStats {
    /// Number of requests that this node has sent and that have not ended.
    outstanding: u32,
    /// Value of `outstanding` at the time of the last load report.
    reported_outstanding: u32,
    /// End of the time in which the target is avoided; in the past if it is not avoided.
    avoid_until: Millis,
    /// Whether this node has sent a request to the current incarnation of the target.
    was_sent_request: bool,
}

/// Selects the target with the lowest expected response time.
#[derive(Debug)]
pub struct Picker {
    cfg: PickerSettings,
    stats: HashMap<NodeId, TargetStats>,
    rng: SmallRng,
}

/// Properties of a request that determine the selection.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInput {
    pub now: Millis,
    /// Time left to the latency objective of the request.
    pub time_to_objective: Millis,
    /// Size of the request body in bytes.
    pub body_bytes: usize,
}

impl Picker {
    /// Creates a picker without target statistics.
    pub fn new(cfg: PickerSettings, rng: SmallRng) -> Self {
        Self { cfg, stats: HashMap::new(), rng }
    }

    /// Selects a target; returns `None` when there are no candidates.
    pub fn choose(&mut self, input: ChoiceInput, candidates: &[Candidate]) -> Option<NodeId> {
        let compared = self.sample(input.now, candidates);
        let default_service_ms =
            mean_service_ms(candidates).unwrap_or(self.cfg.unknown_service.0 as f64);
        compared
            .into_iter()
            .map(|i| {
                let jitter = 1.0 + self.rng.random::<f64>() * 0.05;
                (self.cost_ms(input, &candidates[i], default_service_ms) * jitter, i)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, i)| candidates[i].node.clone())
    }

    /// Returns the indices of the candidates to compare: a random sample of the healthy ones, half
    /// from this node's data centre and half from others. Unhealthy candidates are added when there
    /// are fewer healthy ones than [`PickerSettings::compared`].
    fn sample(&mut self, now: Millis, candidates: &[Candidate]) -> Vec<usize> {
        let mut shuffled: Vec<usize> = (0..candidates.len()).collect();
        let max_compared = self.cfg.compared;
        if shuffled.len() <= max_compared {
            return shuffled;
        }
        for i in (1..shuffled.len()).rev() {
            shuffled.swap(i, self.rng.random_range(0..=i));
        }
        let is_healthy = |i: &usize| {
            let candidate = &candidates[*i];
            let stats = self.stats.get(&candidate.node);
            candidate.load.failing < self.cfg.failing_last
                && stats.is_none_or(|s| now >= s.avoid_until)
        };
        let (healthy, unhealthy): (Vec<usize>, Vec<usize>) =
            shuffled.into_iter().partition(is_healthy);
        let (local, remote): (Vec<usize>, Vec<usize>) =
            healthy.into_iter().partition(|i| candidates[*i].same_data_centre);
        let remote_count =
            remote.len().min(max_compared - local.len().min(max_compared.div_ceil(2)));
        let local_count = local.len().min(max_compared - remote_count);
        let sampled =
            local.into_iter().take(local_count).chain(remote.into_iter().take(remote_count));
        sampled.chain(unhealthy).take(max_compared).collect()
    }

    /// Counts a request as outstanding at the target that it is sent to.
    pub fn on_sent(&mut self, node: &NodeId) {
        let stats = self.stats.entry(node.clone()).or_default();
        stats.outstanding += 1;
        stats.was_sent_request = true;
    }

    /// Counts a request to a target as no longer outstanding, whatever its outcome.
    pub fn on_ended(&mut self, node: &NodeId) {
        if let Some(stats) = self.stats.get_mut(node) {
            stats.outstanding = stats.outstanding.saturating_sub(1);
        }
    }

    /// Records how many requests of this node were outstanding at a target when it reported its
    /// load.
    pub fn on_load_report(&mut self, node: &NodeId) {
        let stats = self.stats.entry(node.clone()).or_default();
        stats.reported_outstanding = stats.outstanding;
    }

    /// Handles a load report that came with the outcome of a request. The report does not include that
    /// request, but it is still counted as outstanding here.
    pub fn on_load_report_at_end(&mut self, node: &NodeId) {
        let stats = self.stats.entry(node.clone()).or_default();
        stats.reported_outstanding = stats.outstanding.saturating_sub(1);
    }

    /// Raises the cost of a target for [`PickerSettings::avoid`], so that others are preferred.
    pub fn avoid(&mut self, now: Millis, node: &NodeId) {
        let avoid_until = Millis(now.0 + self.cfg.avoid.0);
        self.stats.entry(node.clone()).or_default().avoid_until = avoid_until;
    }

    /// Marks a target as not yet sent a request, because a new incarnation has started.
    pub fn on_target_restart(&mut self, node: &NodeId) {
        if let Some(stats) = self.stats.get_mut(node) {
            stats.was_sent_request = false;
        }
    }

    /// Removes the statistics of the target of a node that no longer exists.
    pub fn remove_node(&mut self, node: &NodeId) {
        self.stats.remove(node);
    }

    /// Returns the expected response time of a candidate plus the extra costs of the settings, in
    /// milliseconds. `default_service_ms` replaces an unknown service time.
    fn cost_ms(&self, input: ChoiceInput, candidate: &Candidate, default_service_ms: f64) -> f64 {
        let cfg = &self.cfg;
        let load = candidate.load;
        let stats = self.stats.get(&candidate.node).copied().unwrap_or_default();
        let reported_total = f64::from(load.running + load.waiting);
        let requests_of_other_nodes =
            (reported_total - f64::from(stats.reported_outstanding)).max(0.0);
        let total_requests = requests_of_other_nodes + f64::from(stats.outstanding);
        let slots = f64::from(load.slots.max(1));
        let reported_ms = f64::from(load.service_ms);
        let service_ms = if reported_ms > 0.0 { reported_ms } else { default_service_ms };
        let service_ms = service_ms * if candidate.cold { cfg.cold_factor } else { 1.0 };
        let excess_factor = (total_requests + 1.0 - slots).max(0.0) / slots;
        let busy_factor = cfg.busy_cost * (total_requests / slots).min(1.0).powi(4);
        let time_to_objective = input.time_to_objective.0 as f64;
        let mut cost = service_ms * (1.0 + excess_factor + busy_factor);
        if !candidate.same_data_centre {
            let transfer_cost = input.body_bytes as f64 / 1024.0 * cfg.cross_cost_ms_per_kb;
            cost += cfg.cross_cost.0 as f64
                + transfer_cost.min(time_to_objective * cfg.cross_cost_share);
        }
        if !stats.was_sent_request && !candidate.cold && input.body_bytes <= cfg.first_use_bytes {
            cost *= cfg.first_use;
        }
        cost += f64::from(load.failing) * cfg.failure_cost * time_to_objective;
        if input.now < stats.avoid_until {
            // An avoided target is selected only if all other candidates are avoided as well or
            // have a far higher cost.
            cost += 10.0 * time_to_objective + 1.0;
        }
        cost
    }
}

/// Returns the mean of the reported service times, in milliseconds; `None` when no candidate has one.
fn mean_service_ms(candidates: &[Candidate]) -> Option<f64> {
    let known_ms = candidates.iter().map(|c| f64::from(c.load.service_ms)).filter(|ms| *ms > 0.0);
    let (sum, count) = known_ms.fold((0.0, 0), |(sum, count), ms| (sum + ms, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}
