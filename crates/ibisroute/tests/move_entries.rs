//! Guards against a fault of one rarely called entry that is hidden in the sum over all entries.

use ibisroute::moves::move_settings::MoveSettings;
use ibisroute::moves::verdict::CanaryAnalysis;
use ibisroute::moves::verdict::FaultDetected;
use ibisroute::moves::verdict::WarmUp;
use ibisroute::telemetry::OutcomeCounts;
use ibisroute::types::EntryName;
use ibisroute::types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Number of runs, each with its own seed.
const RUNS: u64 = 50;

/// Reports of a run, 200 ms each: 12 s.
const REPORTS: u64 = 60;

/// Reports of a run before the move, in which the old version receives the calls of both: slow
/// calls and low failure shares are not judged at a load that the old version never had.
const BEFORE: u64 = 20;

/// Calls on each version in one report.
const CALLS: u64 = 300;

/// Fraction of the calls on the faulty entry.
const RARE_ENTRY_SHARE: f64 = 0.02;

/// Share of the new version's calls on that entry that fail. Over all entries that is 0.3%.
const FAULTY_SHARE: f64 = 0.15;

/// Share of all other calls that fail.
const BASELINE_SHARE: f64 = 0.002;

/// Runs the analysis on one seed; with `separate_entries` false, all calls are counted on one
/// entry.
fn run(seed: u64, separate_entries: bool) -> Option<FaultDetected> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let names: [EntryName; 2] = ["search", "order"].map(|n| n.parse().expect("valid name"));
    let thresholds = MoveSettings::default().balanced;
    let none = Millis(0);
    let warm_up =
        WarmUp { min_duration: none, min_calls: 0, max_duration: none, stage_until: none };
    let objective = Millis(250);
    let mut analysis = CanaryAnalysis::default();
    for report in 1..=BEFORE + REPORTS {
        let now = Millis(report * 200);
        for share in [false, true] {
            let is_new = share && report > BEFORE;
            let mut counts = [OutcomeCounts::default(), OutcomeCounts::default()];
            for _ in 0..CALLS {
                let rare = rng.random_bool(RARE_ENTRY_SHARE);
                let fails =
                    rng.random_bool(if rare && is_new { FAULTY_SHARE } else { BASELINE_SHARE });
                let entry_counts = &mut counts[usize::from(rare && separate_entries)];
                entry_counts.calls += 1;
                entry_counts.failures += u64::from(fails);
                entry_counts.latency.record(20_000);
            }
            for (entry, counts) in names.iter().zip(&counts) {
                match is_new {
                    false => analysis.add_old(now, entry, counts, objective),
                    true => analysis.add_new(now, entry, counts, objective, warm_up, true),
                }
            }
        }
        if let Some(found) = analysis.evaluate(now, &thresholds) {
            return Some(found);
        }
    }
    None
}

/// Fails if entries are not tested separately.
#[test]
fn rare_entry_is_judged() {
    let found: Vec<_> = (0..RUNS).filter_map(|seed| run(seed, true)).collect();
    let named = found.iter().filter(|c| c.entry.as_ref().is_some_and(|e| e.as_str() == "order"));
    let named = named.count() as u64;
    println!("{named} of {RUNS} judged faulty for the entry, {} in total", found.len());
    assert_eq!(named, RUNS, "{found:?}");
}

/// Shows that the fault of [`rare_entry_is_judged`] is rarely detected in the sum, so that only the
/// test of each entry detects it in time.
#[test]
fn sum_hides_rare_entry() {
    let found = (0..RUNS).filter(|seed| run(*seed, false).is_some()).count();
    println!("{found} of {RUNS} judged faulty");
    assert!(found <= RUNS as usize / 10, "{found} of {RUNS}");
}
