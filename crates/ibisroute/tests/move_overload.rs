//! Guards against verdicts that a general overload delays or causes.

use ibisroute::moves::move_settings::MoveSettings;
use ibisroute::moves::verdict::Judge;
use ibisroute::moves::verdict::WarmUp;
use ibisroute::telemetry::OutcomeCounts;
use ibisroute::types::EntryName;
use ibisroute::types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Runs, each with its own seed.
const RUNS: u64 = 50;

/// Interval of the reports.
const REPORT_MS: u64 = 200;

/// Report with which the fault and the overload begin.
const BEGIN: u64 = 51;

/// Last report.
const END: u64 = 100;

/// Calls of the service in one report, half of them on each version.
const CALLS: u64 = 120;

/// Share of calls that fail before.
const USUAL: f64 = 0.02;

/// Judges a run in which, from [`BEGIN`] on, these shares of the old and the new version's calls
/// fail. Returns the report with the verdict.
fn run(seed: u64, old: f64, new: f64) -> Option<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let entry: EntryName = "search".parse().expect("valid name");
    let thresholds = MoveSettings::default().balanced;
    let none = Millis(0);
    let warm_up = WarmUp { first: none, calls: 0, longest: none, stage_until: none };
    let mut judge = Judge::default();
    for report in 1..=END {
        let now = Millis(report * REPORT_MS);
        if report == BEGIN {
            judge.begin_stage(now);
        }
        for (is_new, share) in [(false, old), (true, new)] {
            let share = if report < BEGIN { USUAL } else { share };
            let mut counts = OutcomeCounts { calls: CALLS / 2, ..OutcomeCounts::default() };
            for _ in 0..counts.calls {
                counts.failures += u64::from(rng.random_bool(share));
            }
            match is_new {
                false => judge.add_old(now, &entry, &counts, Millis(250)),
                true => judge.add_new(now, &entry, &counts, Millis(250), warm_up, true),
            }
        }
        if judge.judge(now, &thresholds).is_some() {
            return Some(report);
        }
    }
    None
}

/// Fails when a version that fails every call keeps its calls because an overload begins at the same
/// time. The bound of 1 s has to hold the reports on their way, too.
#[test]
fn overload_hides_no_total_failure() {
    for old in [0.0, 0.1, 0.2, 0.3, 0.4] {
        let reports = (0..RUNS).map(|seed| run(seed, old, 1.0).unwrap_or(u64::MAX));
        let worst = reports.max().expect("there are runs").saturating_sub(BEGIN);
        println!("old version fails {old}: verdict after {worst} further reports at most");
        assert!(worst * REPORT_MS <= 400, "{worst} reports after the fault, old version {old}");
    }
}

/// Fails when a good version is condemned because most calls of both versions fail.
#[test]
fn common_failure_condemns_none() {
    for share in [0.5, 0.7, 0.9, 1.0] {
        let wrong = (0..RUNS).filter(|seed| run(*seed, share, share).is_some()).count();
        println!("both versions fail {share}: {wrong} of {RUNS} condemned");
        assert_eq!(wrong, 0, "share {share}");
    }
}
