//! Load balancing over the ready targets of a version, with ejection of failing targets.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::snapshot::Endpoint;
use crate::traffic::traffic_settings::TrafficSettings;
use crate::types::DataCentre;
use crate::types::InstanceId;
use crate::types::Millis;
use crate::wire::LoadWire;

/// What the outcome of a call says about the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// Complete response with a status below 500.
    Success,
    /// 5xx, or no complete response.
    Failure,
    /// The connection failed or became unresponsive. The target is ejected at once, because every
    /// further call would wait for the same timeout.
    Unreachable,
    /// Refused or abandoned for a reason unrelated to the target's health.
    Neutral,
}

/// Statistics of one target, as seen by one thread.
#[derive(Clone, Debug, Default)]
struct TargetStats {
    /// Calls of this thread that are in flight.
    in_flight: u32,
    /// Calls in flight and queued, as last reported by the target's node.
    reported_load: u32,
    reported_at: Millis,
    /// Failures since the last success.
    consecutive_failures: u32,
    /// Ejections since the last success. The duration doubles with each, up to 16 times the first.
    consecutive_ejections: u32,
    /// End of the last ejection; `None` if there was none since the last success.
    ejected_until: Option<Millis>,
    /// Whether the probe that follows an ejection is in flight.
    probe_in_flight: bool,
    /// Time at which the target was last chosen.
    last_chosen_at: Millis,
}

/// Balances by the power of two random choices, over the thread's own calls in flight and the load
/// that peers report. Targets that fail repeatedly are ejected for a limited time, at most half of
/// the candidates at once.
#[derive(Debug)]
pub struct Balancer {
    settings: TrafficSettings,
    rng: SmallRng,
    targets: BTreeMap<InstanceId, TargetStats>,
}

/// Time after the end of an ejection during which only retryable calls may probe the target. After
/// it, any call may be the probe.
const MAX_PROBE_WAIT: Millis = Millis(5_000);

/// Whether a call may be used to probe an ejected target. The result of the probe decides whether
/// the target receives calls again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbePolicy {
    /// For retryable calls: a call that fails as a probe is retried on another target.
    Allowed,
    /// For calls that cannot be retried: a failed probe would make the call fail.
    Avoided,
}

impl Balancer {
    /// Creates a balancer whose random choices are determined by `seed`.
    pub fn new(settings: TrafficSettings, seed: u64) -> Self {
        Self { settings, rng: SmallRng::seed_from_u64(seed), targets: BTreeMap::new() }
    }

    /// Chooses a target and counts a call in flight on it. `None` when all candidates have been
    /// tried.
    pub fn choose(
        &mut self,
        now: Millis,
        local_data_centre: &DataCentre,
        candidates: &[&Endpoint],
        tried_instances: &[InstanceId],
    ) -> Option<InstanceId> {
        self.choose_with_probe_policy(
            now,
            local_data_centre,
            candidates,
            tried_instances,
            ProbePolicy::Allowed,
        )
    }

    /// Like [`Balancer::choose`]. With [`ProbePolicy::Avoided`] the call probes a target only when
    /// the ejection of the target ended at least `MAX_PROBE_WAIT` ago.
    pub fn choose_with_probe_policy(
        &mut self,
        now: Millis,
        local_data_centre: &DataCentre,
        candidates: &[&Endpoint],
        tried_instances: &[InstanceId],
        probe_policy: ProbePolicy,
    ) -> Option<InstanceId> {
        let ejected = self.ejected(now, candidates);
        let untried_targets: Vec<&Endpoint> =
            candidates.iter().copied().filter(|e| !tried_instances.contains(&e.instance)).collect();
        let mut healthy: Vec<&Endpoint> =
            untried_targets.iter().copied().filter(|e| !ejected.contains(&&e.instance)).collect();
        // A target whose ejection has ended receives exactly one call, the probe.
        let due_probe_target =
            healthy.iter().find(|e| self.is_probe_due(now, &e.instance)).copied();
        let probe_target = due_probe_target
            .filter(|e| probe_policy == ProbePolicy::Allowed || self.is_probe_overdue(now, e));
        if probe_target.is_none() {
            healthy.retain(|e| !self.is_probe_due(now, &e.instance));
        }
        let eligible_targets = if healthy.is_empty() { untried_targets } else { healthy };
        let chosen_instance = probe_target
            .or_else(|| self.pick_less_loaded(now, local_data_centre, &eligible_targets))?
            .instance
            .clone();
        let stats = self.targets.entry(chosen_instance.clone()).or_default();
        if stats.ejected_until.is_some_and(|until| until <= now) {
            stats.probe_in_flight = true;
        }
        stats.in_flight += 1;
        stats.last_chosen_at = now;
        Some(chosen_instance)
    }

    /// Ends a call that [`Balancer::choose`] counted, and applies its outcome. `load` is the load
    /// that the target's node reported, if any.
    pub fn finish(
        &mut self,
        now: Millis,
        instance: &InstanceId,
        outcome: TargetOutcome,
        load: Option<LoadWire>,
    ) {
        let Some(stats) = self.targets.get_mut(instance) else { return };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        if let Some(load) = load {
            stats.reported_load = load.queued + load.in_flight;
            stats.reported_at = now;
        }
        match outcome {
            TargetOutcome::Success => {
                stats.consecutive_failures = 0;
                stats.consecutive_ejections = 0;
                stats.ejected_until = None;
            }
            TargetOutcome::Failure | TargetOutcome::Unreachable => stats.consecutive_failures += 1,
            TargetOutcome::Neutral => {}
        }
        let was_probe = std::mem::take(&mut stats.probe_in_flight);
        let ejection_threshold_reached = outcome == TargetOutcome::Unreachable
            || (outcome == TargetOutcome::Failure
                && stats.consecutive_failures >= self.settings.eject_after);
        // Failures of calls that were in flight when the ejection began do not extend it.
        let newly_ejected = ejection_threshold_reached && stats.ejected_until.is_none();
        if newly_ejected
            || (was_probe && outcome != TargetOutcome::Neutral && outcome != TargetOutcome::Success)
        {
            let ejection_factor = 1 << stats.consecutive_ejections.min(4);
            stats.ejected_until = Some(Millis(now.0 + self.settings.eject.0 * ejection_factor));
            stats.consecutive_ejections += 1;
        }
    }

    /// Drops the statistics of targets that were not chosen for `max_age` and have no call in
    /// flight.
    pub fn remove_unused(&mut self, now: Millis, max_age: Millis) {
        self.targets.retain(|_, s| s.in_flight > 0 || now.since(s.last_chosen_at) < max_age);
    }

    /// Returns the targets that currently receive no calls: at most half of the candidates. Those
    /// whose ejection ends last come first.
    pub fn ejected<'a>(&self, now: Millis, candidates: &[&'a Endpoint]) -> Vec<&'a InstanceId> {
        let mut ejected: Vec<(Millis, &InstanceId)> = candidates
            .iter()
            .filter_map(|e| {
                let stats = self.targets.get(&e.instance)?;
                let ejected_until = stats.ejected_until?;
                (ejected_until > now || stats.probe_in_flight)
                    .then_some((ejected_until, &e.instance))
            })
            .collect();
        ejected.sort_by(|a, b| b.cmp(a));
        ejected.truncate(candidates.len() / 2);
        ejected.into_iter().map(|(_, instance)| instance).collect()
    }

    /// Whether any call may probe the target, because [`MAX_PROBE_WAIT`] has passed since its
    /// ejection ended. The service may have no retryable calls to probe it.
    fn is_probe_overdue(&self, now: Millis, endpoint: &Endpoint) -> bool {
        let ejected_until = self.targets.get(&endpoint.instance).and_then(|s| s.ejected_until);
        ejected_until.is_some_and(|until| now.since(until) >= MAX_PROBE_WAIT)
    }

    /// Whether the ejection of the target has ended and no probe is in flight.
    fn is_probe_due(&self, now: Millis, instance: &InstanceId) -> bool {
        let Some(stats) = self.targets.get(instance) else { return false };
        !stats.probe_in_flight && stats.ejected_until.is_some_and(|until| until <= now)
    }

    /// Picks the less loaded of two random targets, from the local data centre unless all its
    /// targets are saturated.
    fn pick_less_loaded<'a>(
        &mut self,
        now: Millis,
        local_data_centre: &DataCentre,
        eligible_targets: &[&'a Endpoint],
    ) -> Option<&'a Endpoint> {
        let local_unsaturated: Vec<&Endpoint> = eligible_targets
            .iter()
            .copied()
            .filter(|e| {
                &e.data_centre == local_data_centre
                    && self.load_per_slot(now, e) < self.settings.spill_load
            })
            .collect();
        let choices =
            if local_unsaturated.is_empty() { eligible_targets } else { &local_unsaturated };
        if choices.is_empty() {
            return None;
        }
        let first_choice = choices[self.rng.random_range(0..choices.len())];
        let second_choice = choices[self.rng.random_range(0..choices.len())];
        Some(if self.load_per_slot(now, second_choice) < self.load_per_slot(now, first_choice) {
            second_choice
        } else {
            first_choice
        })
    }

    /// Returns the load per slot: own calls in flight plus the reported load, which decays with
    /// time.
    fn load_per_slot(&self, now: Millis, endpoint: &Endpoint) -> f64 {
        let Some(stats) = self.targets.get(&endpoint.instance) else { return 0.0 };
        let elapsed_half_lives =
            now.since(stats.reported_at).0 as f64 / self.settings.report_half_life.0.max(1) as f64;
        let reported_load = f64::from(stats.reported_load) * (-elapsed_half_lives).exp2();
        (f64::from(stats.in_flight) + reported_load) / f64::from(endpoint.slots.max(1))
    }
}
