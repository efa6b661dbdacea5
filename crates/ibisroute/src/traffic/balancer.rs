//! Choice of a target among the ready targets of a version.

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

/// How a call to a target ended, as far as the choice of targets is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    /// The target answered well.
    Success,
    /// The target answered 5xx, or gave no whole answer.
    Failure,
    /// No connection, or the connection went silent: the target is ejected at once, because every
    /// further call would wait for the same timeout.
    Unreachable,
    /// Refused or abandoned for reasons that say nothing about the target's health.
    Neutral,
}

#[derive(Clone, Debug, Default)]
struct TargetStats {
    in_flight: u32,
    reported: u32,
    reported_at: Millis,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Millis>,
    probing: bool,
    used: Millis,
}

/// Two random choices over own calls in flight and the load that peers report. Targets that fail
/// repeatedly are ejected for a while, at most half of the candidates at once.
#[derive(Debug)]
pub struct Balancer {
    settings: TrafficSettings,
    rng: SmallRng,
    targets: BTreeMap<InstanceId, TargetStats>,
}

/// Time that a target waits for a repeatable call as its probe.
const PROBE_WAIT: Millis = Millis(5_000);

/// Whether a call may be the one that decides on the return of an ejected target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probing {
    /// A repeatable call: when the probe fails, it is sent elsewhere.
    Allowed,
    /// A call that may not be repeated: a failed probe would be a failed call.
    Avoided,
}

impl Balancer {
    /// Makes a balancer whose random choices follow from `seed`.
    pub fn new(settings: TrafficSettings, seed: u64) -> Self {
        Self { settings, rng: SmallRng::seed_from_u64(seed), targets: BTreeMap::new() }
    }

    /// Chooses a target and counts a call in flight on it. `None` when all candidates were tried.
    pub fn choose(
        &mut self,
        now: Millis,
        own: &DataCentre,
        candidates: &[&Endpoint],
        tried: &[InstanceId],
    ) -> Option<InstanceId> {
        self.choose_for(now, own, candidates, tried, Probing::Allowed)
    }

    /// As [`Balancer::choose`]; a call that may not be repeated is no probe while others can be.
    pub fn choose_for(
        &mut self,
        now: Millis,
        own: &DataCentre,
        candidates: &[&Endpoint],
        tried: &[InstanceId],
        probing: Probing,
    ) -> Option<InstanceId> {
        let out = self.ejected(now, candidates);
        let open: Vec<&Endpoint> =
            candidates.iter().copied().filter(|e| !tried.contains(&e.instance)).collect();
        let mut healthy: Vec<&Endpoint> =
            open.iter().copied().filter(|e| !out.contains(&&e.instance)).collect();
        // A target whose ejection has ended gets exactly one call that decides on its return.
        let due = healthy.iter().find(|e| self.is_due(now, &e.instance)).copied();
        let probe = due.filter(|e| probing == Probing::Allowed || self.waits_long(now, e));
        if probe.is_none() {
            healthy.retain(|e| !self.is_due(now, &e.instance));
        }
        let pool = if healthy.is_empty() { open } else { healthy };
        let chosen = probe.or_else(|| self.pick(now, own, &pool))?.instance.clone();
        let stats = self.targets.entry(chosen.clone()).or_default();
        if stats.ejected_until.is_some_and(|until| until <= now) {
            stats.probing = true;
        }
        stats.in_flight += 1;
        stats.used = now;
        Some(chosen)
    }

    /// Ends a call that [`Balancer::choose`] counted.
    pub fn finish(
        &mut self,
        now: Millis,
        instance: &InstanceId,
        observed: Observed,
        load: Option<LoadWire>,
    ) {
        let Some(stats) = self.targets.get_mut(instance) else { return };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        if let Some(load) = load {
            stats.reported = load.queued + load.in_flight;
            stats.reported_at = now;
        }
        match observed {
            Observed::Success => {
                stats.failures = 0;
                stats.ejections = 0;
                stats.ejected_until = None;
            }
            Observed::Failure | Observed::Unreachable => stats.failures += 1,
            Observed::Neutral => {}
        }
        let probed = std::mem::take(&mut stats.probing);
        let over = observed == Observed::Unreachable
            || (observed == Observed::Failure && stats.failures >= self.settings.eject_after);
        // Calls that were in flight when the ejection began do not lengthen it.
        let begins = over && stats.ejected_until.is_none();
        if begins || (probed && observed != Observed::Neutral && observed != Observed::Success) {
            let factor = 1 << stats.ejections.min(4);
            stats.ejected_until = Some(Millis(now.0 + self.settings.eject.0 * factor));
            stats.ejections += 1;
        }
    }

    /// Forgets targets that were not used for `age` and have no call in flight.
    pub fn forget(&mut self, now: Millis, age: Millis) {
        self.targets.retain(|_, s| s.in_flight > 0 || now.since(s.used) < age);
    }

    /// Targets that get no calls now: at most half of the candidates, latest expiry first.
    pub fn ejected<'a>(&self, now: Millis, candidates: &[&'a Endpoint]) -> Vec<&'a InstanceId> {
        let mut out: Vec<(Millis, &InstanceId)> = candidates
            .iter()
            .filter_map(|e| {
                let stats = self.targets.get(&e.instance)?;
                let until = stats.ejected_until?;
                (until > now || stats.probing).then_some((until, &e.instance))
            })
            .collect();
        out.sort_by(|a, b| b.cmp(a));
        out.truncate(candidates.len() / 2);
        out.into_iter().map(|(_, instance)| instance).collect()
    }

    /// Whether the target has waited for its probe so long that any call may be one: the service may
    /// have no repeatable calls.
    fn waits_long(&self, now: Millis, endpoint: &Endpoint) -> bool {
        let ended = self.targets.get(&endpoint.instance).and_then(|s| s.ejected_until);
        ended.is_some_and(|until| now.since(until) >= PROBE_WAIT)
    }

    fn is_due(&self, now: Millis, instance: &InstanceId) -> bool {
        let Some(stats) = self.targets.get(instance) else { return false };
        !stats.probing && stats.ejected_until.is_some_and(|until| until <= now)
    }

    fn pick<'a>(
        &mut self,
        now: Millis,
        own: &DataCentre,
        pool: &[&'a Endpoint],
    ) -> Option<&'a Endpoint> {
        let near: Vec<&Endpoint> = pool
            .iter()
            .copied()
            .filter(|e| &e.data_centre == own && self.load(now, e) < self.settings.spill_load)
            .collect();
        let from = if near.is_empty() { pool } else { &near };
        if from.is_empty() {
            return None;
        }
        let first = from[self.rng.random_range(0..from.len())];
        let second = from[self.rng.random_range(0..from.len())];
        Some(if self.load(now, second) < self.load(now, first) { second } else { first })
    }

    /// Load of a target per slot.
    fn load(&self, now: Millis, endpoint: &Endpoint) -> f64 {
        let Some(stats) = self.targets.get(&endpoint.instance) else { return 0.0 };
        let half_lives =
            now.since(stats.reported_at).0 as f64 / self.settings.report_half_life.0.max(1) as f64;
        let reported = f64::from(stats.reported) * (-half_lives).exp2();
        (f64::from(stats.in_flight) + reported) / f64::from(endpoint.slots.max(1))
    }
}
