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
const FAULT_START_REPORT: u64 = 51;

/// Number of the last report.
const LAST_REPORT: u64 = 100;

/// Calls of the service in one report, half of them on each version.
const CALLS_PER_REPORT: u64 = 120;

/// Share of calls of both versions that fail before [`FAULT_START_REPORT`].
const BASELINE_FAILURE_SHARE: f64 = 0.02;

/// Runs the analysis with these shares of failed calls of the old and the new version from
/// [`FAULT_START_REPORT`] on. Returns the number of the report at which a fault was detected, or
/// `None`.
fn run_analysis(seed: u64, old_failure_share: f64, new_failure_share: f64) -> Option<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let entry: EntryName = "search".parse().expect("valid name");
    let thresholds = MoveSettings::default().balanced;
    let zero = Millis(0);
    let warm_up =
        WarmUp { min_duration: zero, min_calls: 0, max_duration: zero, stage_warm_up_until: zero };
    let mut analysis = CanaryAnalysis::default();
    for report in 1..=LAST_REPORT {
        let now = Millis(report * REPORT_MS);
        if report == FAULT_START_REPORT {
            analysis.begin_stage(now);
        }
        for (is_new, share) in [(false, old_failure_share), (true, new_failure_share)] {
            let share = if report < FAULT_START_REPORT { BASELINE_FAILURE_SHARE } else { share };
            let mut counts =
                OutcomeCounts { calls: CALLS_PER_REPORT / 2, ..OutcomeCounts::default() };
            for _ in 0..counts.calls {
                counts.failures += u64::from(rng.random_bool(share));
            }
            match is_new {
                false => analysis.add_old_calls(now, &entry, &counts, Millis(250)),
                true => analysis.add_new_calls(now, &entry, &counts, Millis(250), warm_up, true),
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
fn total_failure_is_detected_during_overload() {
    for old_failure_share in [0.0, 0.1, 0.2, 0.3, 0.4] {
        let reports =
            (0..RUNS).map(|seed| run_analysis(seed, old_failure_share, 1.0).unwrap_or(u64::MAX));
        let max_delay_reports =
            reports.max().expect("there are runs").saturating_sub(FAULT_START_REPORT);
        println!(
            "old version fails {old_failure_share}: verdict after {max_delay_reports} further reports at most"
        );
        assert!(
            max_delay_reports * REPORT_MS <= 400,
            "{max_delay_reports} reports after the fault, old version {old_failure_share}"
        );
    }
}

/// Guards against a healthy version that is judged faulty because most calls of both versions fail.
#[test]
fn common_failure_withdraws_no_version() {
    for share in [0.5, 0.7, 0.9, 1.0] {
        let false_verdicts =
            (0..RUNS).filter(|seed| run_analysis(*seed, share, share).is_some()).count();
        println!("both versions fail {share}: {false_verdicts} of {RUNS} judged faulty");
        assert_eq!(false_verdicts, 0, "share {share}");
    }
}
