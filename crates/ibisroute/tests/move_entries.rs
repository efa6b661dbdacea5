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

/// Number of reports during the move, one each 200 ms: 12 s.
const REPORTS_DURING_MOVE: u64 = 60;

/// Number of reports before the move, in which the old version receives the calls of both versions.
/// Slow calls and low failure shares are judged only while the rate of calls of both versions does
/// not clearly exceed the old version's peak rate.
const REPORTS_BEFORE_MOVE: u64 = 20;

/// Calls on each version in one report.
const CALLS_PER_REPORT: u64 = 300;

/// Fraction of each version's calls that are on the faulty entry.
const RARE_ENTRY_SHARE: f64 = 0.02;

/// Share of the new version's calls on the faulty entry that fail. Over all entries that is 0.3%.
const FAULTY_ENTRY_FAILURE_SHARE: f64 = 0.15;

/// Share of all other calls that fail.
const BASELINE_FAILURE_SHARE: f64 = 0.002;

/// Runs the analysis on one seed and returns the detected fault. With `separate_entries` false, all
/// calls are counted on one entry.
fn run_analysis(seed: u64, separate_entries: bool) -> Option<FaultDetected> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let entry_names: [EntryName; 2] = ["search", "order"].map(|n| n.parse().expect("valid name"));
    let thresholds = MoveSettings::default().balanced;
    let zero = Millis(0);
    let warm_up =
        WarmUp { min_duration: zero, min_calls: 0, max_duration: zero, stage_warm_up_until: zero };
    let objective = Millis(250);
    let mut analysis = CanaryAnalysis::default();
    for report in 1..=REPORTS_BEFORE_MOVE + REPORTS_DURING_MOVE {
        let now = Millis(report * 200);
        for assigned_to_new in [false, true] {
            let is_new = assigned_to_new && report > REPORTS_BEFORE_MOVE;
            let mut counts = [OutcomeCounts::default(), OutcomeCounts::default()];
            for _ in 0..CALLS_PER_REPORT {
                let is_rare = rng.random_bool(RARE_ENTRY_SHARE);
                let fails = rng.random_bool(if is_rare && is_new {
                    FAULTY_ENTRY_FAILURE_SHARE
                } else {
                    BASELINE_FAILURE_SHARE
                });
                let entry_counts = &mut counts[usize::from(is_rare && separate_entries)];
                entry_counts.calls += 1;
                entry_counts.failures += u64::from(fails);
                entry_counts.latency.record(20_000);
            }
            for (entry, counts) in entry_names.iter().zip(&counts) {
                match is_new {
                    false => analysis.add_old_calls(now, entry, counts, objective),
                    true => analysis.add_new_calls(now, entry, counts, objective, warm_up, true),
                }
            }
        }
        if let Some(fault) = analysis.evaluate(now, &thresholds) {
            return Some(fault);
        }
    }
    None
}

/// Guards against an analysis that does not test entries separately.
#[test]
fn fault_of_rare_entry_is_detected() {
    let faults: Vec<_> = (0..RUNS).filter_map(|seed| run_analysis(seed, true)).collect();
    let on_rare_entry =
        faults.iter().filter(|f| f.entry.as_ref().is_some_and(|e| e.as_str() == "order"));
    let on_rare_entry = on_rare_entry.count() as u64;
    println!("{on_rare_entry} of {RUNS} judged faulty for the entry, {} in total", faults.len());
    assert_eq!(on_rare_entry, RUNS, "{faults:?}");
}

/// Shows that the fault of [`fault_of_rare_entry_is_detected`] is rarely detected in the sum, so
/// that only the test of each entry detects it in time.
#[test]
fn sum_over_entries_hides_fault_of_rare_entry() {
    let detected = (0..RUNS).filter(|seed| run_analysis(*seed, false).is_some()).count();
    println!("{detected} of {RUNS} judged faulty");
    assert!(detected <= RUNS as usize / 10, "{detected} of {RUNS}");
}
