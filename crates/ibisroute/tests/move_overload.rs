//! Guards against verdicts that are delayed or caused by an overload of both versions.

use ibisroute::moves::move_settings::MoveSettings;
use ibisroute::moves::verdict::CanaryAnalysis;
use ibisroute::moves::verdict::WarmUp;
use ibisroute::telemetry::OutcomeCounts;
use ibisroute::types::EntryName;
use ibisroute::types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Number of runs, each with its own seed.
const RUNS: u64 = 50;

/// Interval of the reports, in ms.
const REPORT_MS: u64 = 200;

/// Number of the report with which the fault and the overload begin.
const BEGIN: u64 = 51;

/// Number of the last report.
const END: u64 = 100;

/// Calls of the service in one report, half of them on each version.
const CALLS: u64 = 120;

/// Share of calls that fail before [`BEGIN`].
const BASELINE_SHARE: f64 = 0.02;

/// Runs the analysis with these shares of failed calls of the old and the new version from
/// [`BEGIN`] on. Returns the number of the report that led to a verdict.
fn run(seed: u64, old: f64, new: f64) -> Option<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let entry: EntryName = "search".parse().expect("valid name");
    let thresholds = MoveSettings::default().balanced;
    let none = Millis(0);
    let warm_up =
        WarmUp { min_duration: none, min_calls: 0, max_duration: none, stage_until: none };
    let mut analysis = CanaryAnalysis::default();
    for report in 1..=END {
        let now = Millis(report * REPORT_MS);
        if report == BEGIN {
            analysis.begin_stage(now);
        }
        for (is_new, share) in [(false, old), (true, new)] {
            let share = if report < BEGIN { BASELINE_SHARE } else { share };
            let mut counts = OutcomeCounts { calls: CALLS / 2, ..OutcomeCounts::default() };
            for _ in 0..counts.calls {
                counts.failures += u64::from(rng.random_bool(share));
            }
            match is_new {
                false => analysis.add_old(now, &entry, &counts, Millis(250)),
                true => analysis.add_new(now, &entry, &counts, Millis(250), warm_up, true),
            }
        }
        if analysis.evaluate(now, &thresholds).is_some() {
            return Some(report);
        }
    }
    None
}

/// Guards against a version that fails every call but is not withdrawn because an overload begins
/// at the same time. The delay is limited to 400 ms, as the bound of 1 s includes the transfer of
/// reports.
#[test]
fn overload_hides_no_total_failure() {
    for old in [0.0, 0.1, 0.2, 0.3, 0.4] {
        let reports = (0..RUNS).map(|seed| run(seed, old, 1.0).unwrap_or(u64::MAX));
        let worst = reports.max().expect("there are runs").saturating_sub(BEGIN);
        println!("old version fails {old}: verdict after {worst} further reports at most");
        assert!(worst * REPORT_MS <= 400, "{worst} reports after the fault, old version {old}");
    }
}

/// Guards against a healthy version that is judged faulty because most calls of both versions fail.
#[test]
fn common_failure_condemns_none() {
    for share in [0.5, 0.7, 0.9, 1.0] {
        let wrong = (0..RUNS).filter(|seed| run(*seed, share, share).is_some()).count();
        println!("both versions fail {share}: {wrong} of {RUNS} judged faulty");
        assert_eq!(wrong, 0, "share {share}");
    }
}
