//! Guards against verdicts that finish a faulty version or withdraw a healthy one: one evaluator
//! processes seeded traffic with each kind of fault. The bounds on wrong outcomes are those of the
//! design.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use ibisroute::catalogue::model::Catalogue;
use ibisroute::catalogue::model::Class;
use ibisroute::catalogue::model::Entry;
use ibisroute::catalogue::model::Limits;
use ibisroute::catalogue::model::Move;
use ibisroute::catalogue::model::Objective;
use ibisroute::catalogue::model::Service;
use ibisroute::catalogue::model::WithdrawalSensitivity;
use ibisroute::membership::record::Addresses;
use ibisroute::membership::record::MemberRecord;
use ibisroute::membership::record::MemberView;
use ibisroute::membership::record::Status;
use ibisroute::membership::record::TargetRecord;
use ibisroute::membership::record::TargetState;
use ibisroute::moves::evaluator::Action;
use ibisroute::moves::evaluator::Evaluator;
use ibisroute::moves::evaluator::Event;
use ibisroute::moves::move_settings::MoveSettings;
use ibisroute::moves::outcome::Ending;
use ibisroute::moves::outcome::RecordedOutcome;
use ibisroute::snapshot::CompiledCatalogue;
use ibisroute::telemetry::LATENCY_BUCKET_COUNT;
use ibisroute::telemetry::LatencyHistogram;
use ibisroute::telemetry::TrafficCounts;
use ibisroute::types::ByteSize;
use ibisroute::types::EntryName;
use ibisroute::types::Head;
use ibisroute::types::Millis;
use ibisroute::types::NodeId;
use ibisroute::types::Percent;
use ibisroute::types::RatePerSecond;
use ibisroute::types::UnixMillis;
use ibisroute::types::VersionName;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Simulated moves for each kind of version and withdrawal setting.
const RUNS: u64 = 1_000;

/// Start of the move, in Unix milliseconds.
const START_UNIX_MS: u64 = 1_000_000;

/// Time from the start of the move to `finish_by`, in ms.
const DURATION_MS: u64 = 60_000;

/// Time with traffic before the start of the move, in ms.
const BEFORE_MS: u64 = 5_000;

/// Time covered by one report, in ms.
const STEP_MS: u64 = 1_000;

/// Entries with their base latencies in microseconds and their cumulative fractions of the traffic.
/// One call in twenty is on the last entry, so that its faulty calls are few among those of all
/// entries.
const ENTRIES: [(&str, f64, f64); 3] =
    [("search", 20_000.0, 0.55), ("detail", 40_000.0, 0.95), ("order", 80_000.0, 1.0)];

/// Share of calls that fail on a healthy version.
const BASELINE_FAILURE_SHARE: f64 = 0.002;

/// Fault of the new version, or the condition under which a healthy one is tested.
#[derive(Clone, Copy, Debug, PartialEq)]
enum VersionKind {
    Healthy,
    HealthyWithColdStart,
    HealthyUnderOverload,
    FailsAtOnce,
    SlowAtOnce,
    FailsLater,
    SlowLater,
    FailsUnderLoad,
    SlowUnderLoad,
    FailsOnOneEntry,
    SlowOnRareEntry,
}

/// Behaviour of the calls of one simulated move.
struct CallModel {
    kind: VersionKind,
    /// Average number of calls in a step, on both versions.
    calls_per_step: f64,
    /// Depending on `kind`, the share of calls that fail or the factor on the latency while the
    /// fault or the overload is present.
    magnitude: f64,
    /// Start of the fault or the overload, in ms from the start of the move.
    fault_start: u64,
    /// Index in [`ENTRIES`] of the entry with the fault, if only one entry has it.
    entry: usize,
    /// Calls on the new version so far.
    new_calls: u64,
}

impl CallModel {
    fn new(kind: VersionKind, rng: &mut SmallRng) -> Self {
        let magnitude = match kind {
            VersionKind::FailsAtOnce | VersionKind::FailsLater | VersionKind::FailsUnderLoad => {
                rng.random_range(0.1..1.0)
            }
            VersionKind::FailsOnOneEntry => rng.random_range(0.2..1.0),
            VersionKind::HealthyUnderOverload => rng.random_range(2.0..6.0),
            _ => rng.random_range(3.0..10.0),
        };
        // A fault begins at least five seconds before the end of the move, so that it can be
        // observed.
        let fault_start = rng.random_range(5_000..DURATION_MS - 5_000);
        let calls_per_s = rng.random_range(60.0..160.0);
        Self {
            kind,
            calls_per_step: calls_per_s * STEP_MS as f64 / 1000.0,
            magnitude,
            fault_start,
            entry: rng.random_range(0..ENTRIES.len()),
            new_calls: 0,
        }
    }

    /// Returns the failure probability and the factor on the latency of one call, and counts the
    /// call if it is on the new version.
    fn failure_and_latency(
        &mut self,
        is_new: bool,
        entry: usize,
        elapsed_ms: u64,
        share: f64,
    ) -> (f64, f64) {
        if is_new {
            self.new_calls += 1;
        }
        let has_begun = elapsed_ms >= self.fault_start;
        let is_faulty = match self.kind {
            VersionKind::Healthy => false,
            VersionKind::HealthyWithColdStart => {
                return (BASELINE_FAILURE_SHARE, self.cold_start_factor(is_new));
            }
            VersionKind::HealthyUnderOverload => {
                let is_overloaded = has_begun && elapsed_ms < self.fault_start + 15_000;
                return if is_overloaded {
                    (0.15, self.magnitude)
                } else {
                    (BASELINE_FAILURE_SHARE, 1.0)
                };
            }
            VersionKind::FailsAtOnce | VersionKind::SlowAtOnce => true,
            VersionKind::FailsLater | VersionKind::SlowLater => has_begun,
            VersionKind::FailsUnderLoad | VersionKind::SlowUnderLoad => share >= 0.5,
            VersionKind::FailsOnOneEntry => entry == self.entry,
            VersionKind::SlowOnRareEntry => entry == ENTRIES.len() - 1,
        };
        if !is_new || !is_faulty {
            return (BASELINE_FAILURE_SHARE, 1.0);
        }
        match self.kind {
            VersionKind::FailsAtOnce
            | VersionKind::FailsLater
            | VersionKind::FailsUnderLoad
            | VersionKind::FailsOnOneEntry => (self.magnitude, 1.0),
            _ => (BASELINE_FAILURE_SHARE, self.magnitude),
        }
    }

    /// Returns the factor on the latency during a cold start: the first 24 calls on the new
    /// version, 8 on each of 3 targets, are slow.
    fn cold_start_factor(&self, is_new: bool) -> f64 {
        if is_new && self.new_calls <= 24 { self.magnitude * 2.0 } else { 1.0 }
    }
}

/// Calls of one entry and version in one step.
#[derive(Clone, Copy)]
struct EntryCalls {
    calls: u64,
    failures: u64,
    buckets: [u64; LATENCY_BUCKET_COUNT],
}

impl Default for EntryCalls {
    fn default() -> Self {
        Self { calls: 0, failures: 0, buckets: [0; LATENCY_BUCKET_COUNT] }
    }
}

fn traffic_counts(
    cells: &[[EntryCalls; 2]; ENTRIES.len()],
    entry_names: &[EntryName],
    versions: &[VersionName; 2],
) -> TrafficCounts {
    let mut counts = TrafficCounts::default();
    for (entry, cells) in entry_names.iter().zip(cells) {
        for (version, cell) in versions.iter().zip(cells).filter(|(_, cell)| cell.calls > 0) {
            let outcome_counts = counts.attempt_counts_mut(entry, Some(version));
            outcome_counts.calls = cell.calls;
            outcome_counts.failures = cell.failures;
            let latency = LatencyHistogram::from_buckets(cell.buckets.to_vec());
            outcome_counts.latency = latency.expect("as many buckets as a histogram has");
        }
    }
    counts
}

struct RunResult {
    ending: Ending,
    /// Calls in the first stage, on the new version and on both versions.
    first_stage_calls: (u64, u64),
    /// Calls on the new version after its withdrawal.
    calls_after_withdrawal: u64,
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(s: &str) -> T {
    s.parse().expect("valid name")
}

fn catalogue(withdrawal: WithdrawalSensitivity) -> Arc<CompiledCatalogue> {
    let service = Service {
        name: name("counter"),
        owner: "desk".into(),
        version: name("v1"),
        report_url: None,
        withdrawal,
    };
    let mut entries: Vec<Entry> = ENTRIES
        .iter()
        .map(|(entry, _, _)| Entry {
            name: name(entry),
            owner: "desk".into(),
            class: Class::CounterQuery,
            service: name("counter"),
            path: format!("/{entry}").into(),
            methods: vec!["GET".into()],
            idempotency_header: None,
            limits: Limits {
                rate: RatePerSecond(2000.0),
                concurrency: 64,
                deadline: Millis(2000),
                retry: Percent(10.0),
                max_body: ByteSize(65536),
            },
            objective: Objective { min_success: Percent(99.9), latency: Millis(250) },
        })
        .collect();
    entries.sort_by(|a, b| a.name.cmp(&b.name));
    let declared = Move {
        id: name("counter-v2"),
        service: name("counter"),
        from: name("v1"),
        to: name("v2"),
        start: UnixMillis(START_UNIX_MS),
        finish_by: UnixMillis(START_UNIX_MS + DURATION_MS),
    };
    let catalogue =
        Catalogue { name: "test".into(), services: vec![service], entries, moves: vec![declared] };
    Arc::new(CompiledCatalogue::new(Head::default(), catalogue, Arc::from(Vec::new())))
}

fn target(i: u32) -> TargetRecord {
    TargetRecord {
        service: name("counter"),
        version: name("v2"),
        instance: name(&format!("i{i}")),
        slots: 10,
        state: TargetState::Ready,
    }
}

fn member_view() -> Arc<MemberView> {
    let addr: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 1));
    let member = MemberRecord {
        node: name("n1"),
        incarnation: 1,
        revision: 1,
        status: Status::Alive,
        data_centre: name("dc"),
        region: name("region"),
        addresses: Addresses { control: addr, peer: addr, caller: addr, admin: addr },
        targets: (0..3).map(target).collect(),
    };
    Arc::new(MemberView { local: name("n1"), members: vec![member] })
}

/// Removes the lowest `bits` from `random` and returns them as a fraction below 1. One random word
/// serves several choices, which keeps the simulation fast in debug builds.
fn fraction(random: &mut u64, bits: u32) -> f64 {
    let part = *random & ((1 << bits) - 1);
    *random >>= bits;
    part as f64 / (1_u64 << bits) as f64
}

/// Returns the random deviation of a latency, in buckets: mean 0, and a factor of about 1.6 at one
/// standard deviation. Working in buckets (two are a factor of two) avoids an exponential and a
/// search for each call.
fn latency_deviation(random: u64) -> f64 {
    const MASK: u64 = (1 << 21) - 1;
    let uniform_sum = (random & MASK) + (random >> 21 & MASK) + (random >> 42 & MASK);
    (uniform_sum as f64 / (1_u64 << 21) as f64 - 1.5) * (2.0 * std::f64::consts::LOG2_E)
}

/// Returns the bucket of a latency as a fractional number; rounding up gives the index.
fn bucket_of(micros: f64) -> f64 {
    2.0 * (micros / LatencyHistogram::bucket_bound_micros(0)).log2()
}

fn simulate(kind: VersionKind, config: &Arc<CompiledCatalogue>, seed: u64) -> RunResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut model = CallModel::new(kind, &mut rng);
    let entry_names: Vec<EntryName> = ENTRIES.iter().map(|(entry, _, _)| name(entry)).collect();
    let versions: [VersionName; 2] = [name("v1"), name("v2")];
    let base_buckets = ENTRIES.map(|(_, micros, _)| bucket_of(micros));
    let node: NodeId = name("n1");
    let mut evaluator = Evaluator::new(node, 1, MoveSettings::default(), seed);
    let mut queue = vec![Event::Configuration(config.clone()), Event::Members(member_view())];
    let (mut share, mut withdrawn, mut outcome) = (0.0, false, None);
    let (mut first_stage_calls, mut calls_after_withdrawal) = ((0, 0), 0);
    let mut now = 0;
    while outcome.is_none() && now < BEFORE_MS + DURATION_MS + 10_000 {
        let unix_now = UnixMillis(START_UNIX_MS - BEFORE_MS + now);
        while let Some(event) = queue.pop() {
            for action in evaluator.step(Millis(now), unix_now, event) {
                match action {
                    Action::Publish { views, .. } => {
                        let view = views.values().next().copied().unwrap_or_default();
                        share = view.share;
                        withdrawn = view.withdrawn;
                    }
                    Action::WriteOutcome(id, written) => {
                        outcome = Some(written.clone());
                        queue.push(Event::OutcomeWritten(id, Ok(written)));
                    }
                    _ => {}
                }
            }
        }
        let mut cells = [[EntryCalls::default(); 2]; ENTRIES.len()];
        let elapsed_ms = now.saturating_sub(BEFORE_MS);
        let jitter = rng.random_range(0.8..1.2);
        for _ in 0..(model.calls_per_step * jitter) as u64 {
            let mut random: u64 = rng.random();
            let traffic_position = fraction(&mut random, 16);
            let entry = usize::from(traffic_position >= ENTRIES[0].2)
                + usize::from(traffic_position >= ENTRIES[1].2);
            let is_new = fraction(&mut random, 24) < share;
            let (failure_probability, latency_factor) =
                model.failure_and_latency(is_new, entry, elapsed_ms, share);
            let cell = &mut cells[entry][usize::from(is_new)];
            cell.calls += 1;
            cell.failures += u64::from(fraction(&mut random, 24) < failure_probability);
            let bucket_shift =
                if latency_factor == 1.0 { 0.0 } else { 2.0 * latency_factor.log2() };
            let bucket = (base_buckets[entry] + bucket_shift + latency_deviation(rng.random()))
                .ceil() as usize;
            cell.buckets[bucket.min(LATENCY_BUCKET_COUNT - 1)] += 1;
            if share > 0.0 && share <= 0.01 {
                first_stage_calls.0 += u64::from(is_new);
                first_stage_calls.1 += 1;
            }
            calls_after_withdrawal += u64::from(is_new && withdrawn);
        }
        now += STEP_MS;
        queue.push(Event::Counts(Arc::new(traffic_counts(&cells, &entry_names, &versions))));
    }
    let ending = outcome
        .map_or_else(|| panic!("{kind:?} seed {seed}: no outcome"), |o: RecordedOutcome| o.outcome);
    RunResult { ending, first_stage_calls, calls_after_withdrawal }
}

/// Returns how many of [`RUNS`] moves had the outcome `ending`. Also checks that no call follows a
/// withdrawal and that at most 5% of the calls of the first stage are on the new version.
fn count_runs(kind: VersionKind, withdrawal: WithdrawalSensitivity, ending: Ending) -> u64 {
    let config = catalogue(withdrawal);
    let mut matching_seeds = Vec::new();
    let mut calls = BTreeMap::from([("new", 0), ("all", 0)]);
    for seed in 0..RUNS {
        let run = simulate(kind, &config, seed);
        assert_eq!(
            run.calls_after_withdrawal, 0,
            "{kind:?} seed {seed}: calls after the withdrawal"
        );
        calls.entry("new").and_modify(|n| *n += run.first_stage_calls.0);
        calls.entry("all").and_modify(|n| *n += run.first_stage_calls.1);
        if run.ending == ending {
            matching_seeds.push(seed);
        }
    }
    let new_version_percent = 100.0 * calls["new"] as f64 / calls["all"].max(1) as f64;
    println!(
        "{kind:?} {withdrawal:?}: {} of {RUNS} {ending:?}; {new_version_percent:.2}% of the calls \
         of the first stage on the new version; seeds {:?}",
        matching_seeds.len(),
        &matching_seeds[..matching_seeds.len().min(10)],
    );
    assert!(
        new_version_percent <= 5.0,
        "{kind:?}: {new_version_percent}% of the calls in the first stage"
    );
    matching_seeds.len() as u64
}

/// Defines tests that limit, for each kind of version and both withdrawal settings, how many of
/// [`RUNS`] moves have the wrong outcome.
macro_rules! verdict_tests {
    ($($name:ident: $kind:ident wrongly $ending:ident at most $cautious:literal cautious,
        $tolerant:literal tolerant;)*) => {
        $(mod $name {
            use super::Ending;
            use super::RUNS;
            use super::VersionKind;
            use super::WithdrawalSensitivity;
            use super::count_runs;

            #[test]
            fn cautious() {
                let wrong_outcomes = count_runs(
                    VersionKind::$kind,
                    WithdrawalSensitivity::Cautious,
                    Ending::$ending,
                );
                assert!(wrong_outcomes <= $cautious, "{wrong_outcomes} of {RUNS}");
            }

            #[test]
            fn tolerant() {
                let wrong_outcomes = count_runs(
                    VersionKind::$kind,
                    WithdrawalSensitivity::Tolerant,
                    Ending::$ending,
                );
                assert!(wrong_outcomes <= $tolerant, "{wrong_outcomes} of {RUNS}");
            }
        })*
    };
}

verdict_tests! {
    healthy: Healthy wrongly TakenBack at most 20 cautious, 10 tolerant;
    healthy_with_cold_start: HealthyWithColdStart wrongly TakenBack at most 20 cautious, 10 tolerant;
    healthy_under_overload: HealthyUnderOverload wrongly TakenBack at most 20 cautious, 10 tolerant;
    fails_at_once: FailsAtOnce wrongly Finished at most 0 cautious, 0 tolerant;
    slow_at_once: SlowAtOnce wrongly Finished at most 10 cautious, 10 tolerant;
    fails_later: FailsLater wrongly Finished at most 0 cautious, 0 tolerant;
    slow_later: SlowLater wrongly Finished at most 10 cautious, 10 tolerant;
    fails_under_load: FailsUnderLoad wrongly Finished at most 0 cautious, 0 tolerant;
    slow_under_load: SlowUnderLoad wrongly Finished at most 10 cautious, 10 tolerant;
    fails_on_one_entry: FailsOnOneEntry wrongly Finished at most 0 cautious, 0 tolerant;
    slow_on_rare_entry: SlowOnRareEntry wrongly Finished at most 10 cautious, 10 tolerant;
}
