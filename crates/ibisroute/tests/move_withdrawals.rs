//! Faulty versions are withdrawn, on real node processes.

mod common;

use std::time::Duration;

use common::cluster::WAIT_TIMEOUT;
use common::moves::MovePlan;
use common::moves::RECORD_BOUND;
use common::moves::RunningMove;
use common::moves::WITHDRAWAL_BOUND_MS;
use common::moves::exposure;
use serde_json::Value;
use standins::target::faults::TargetFaults;
use standins::target::faults::Trigger;

/// Number of calls that must complete after the withdrawal.
const CALLS_AFTER: u64 = 600;

/// Checks that the version is withdrawn with a reason that contains `reason`, that its owner
/// receives the report, and that no call reaches the version from 1 s after the decision on.
/// Returns the outcome.
fn assert_withdrawn(run: &RunningMove, reason: &str) -> Value {
    let outcome = run.wait_outcome(run.time_until(run.finish_by_unix_ms, RECORD_BOUND));
    assert_eq!(outcome["outcome"], "taken_back", "{outcome} {}", run.describe_state());
    let recorded = outcome["reason"].as_str().unwrap_or_default();
    assert!(recorded.contains(reason), "{outcome}");
    run.wait_phase("withdrawn", Duration::from_secs(1));
    let decided_at = outcome["unix_ms"].as_u64().expect("a time");
    run.wait_calls_ended(CALLS_AFTER, WAIT_TIMEOUT);
    let report = run.wait_report(WAIT_TIMEOUT);
    assert_eq!(report["outcome"], "taken_back", "{report}");
    assert_eq!(report["reason"], outcome["reason"], "{report}");
    run.assert_no_calls_since(decided_at);
    println!("{outcome} {:?}", exposure(&run.new_calls()));
    outcome
}

fn every_call_fails() -> TargetFaults {
    TargetFaults { failing_share: 1.0, ..TargetFaults::default() }
}

/// Guards against a version that fails every call from the start and still receives calls.
#[test]
fn version_that_fails_from_the_start_is_withdrawn() {
    // With this rate the new version receives 6 calls a second in the first stage, so that its
    // second failed call follows the first after 1/6 s on average.
    let faults = every_call_fails();
    let run = RunningMove::start(MovePlan { faults, rate_per_s: 600.0, ..MovePlan::default() });
    assert_withdrawn(&run, "failures");
    let exposed = exposure(&run.new_calls());
    assert!(exposed.last_call_after_failure_ms <= WITHDRAWAL_BOUND_MS, "{exposed:?}");
    let completed = run.ended_calls();
    assert!(exposed.calls as u64 * 20 <= completed, "{exposed:?} of {completed} calls");
}

/// Guards against an undetected fault that begins when the version already has half of the traffic.
#[test]
fn version_that_fails_later_is_withdrawn() {
    let run = RunningMove::start(MovePlan { seed: 3, ..MovePlan::default() });
    run.wait_stage(4, run.time_until(run.finish_by_unix_ms, Duration::ZERO));
    run.set_faults(&every_call_fails());
    assert_withdrawn(&run, "failures");
    let exposed = exposure(&run.new_calls());
    assert!(exposed.last_call_after_failure_ms <= WITHDRAWAL_BOUND_MS, "{exposed:?}");
}

/// Guards against a version that responds, but too slowly, and receives the traffic.
#[test]
fn slow_version_is_withdrawn() {
    let faults = TargetFaults { slow_ms: 400, ..TargetFaults::default() };
    let run = RunningMove::start(MovePlan { faults, seed: 4, ..MovePlan::default() });
    let outcome = assert_withdrawn(&run, "slow calls");
    let withdrawn_after_ms = outcome["unix_ms"].as_u64().expect("a time").saturating_sub(run.start);
    println!("slow version withdrawn {withdrawn_after_ms} ms after the start of the move");
}

/// Guards against a version that receives the traffic although it fails calls while several are in
/// flight on a target.
#[test]
fn version_that_fails_under_load_is_withdrawn() {
    let trigger = Trigger { above_in_flight: Some(2), ..Trigger::default() };
    let faults = TargetFaults { failing_share: 1.0, trigger, ..TargetFaults::default() };
    let service_ms = (30, 40);
    let run = RunningMove::start(MovePlan {
        faults,
        service_ms,
        rate_per_s: 600.0,
        seed: 5,
        ..MovePlan::default()
    });
    assert_withdrawn(&run, "failures");
}

/// Guards against a fault of one route that is hidden among the calls of the others.
#[test]
fn version_that_fails_on_one_route_is_withdrawn() {
    let trigger = Trigger { path_prefix: Some("/counter/maps".to_string()), ..Trigger::default() };
    let faults = TargetFaults { failing_share: 1.0, trigger, ..TargetFaults::default() };
    let run = RunningMove::start(MovePlan { faults, seed: 6, ..MovePlan::default() });
    let outcome = assert_withdrawn(&run, "failures on entry maps");
    let withdrawn_after_ms = outcome["unix_ms"].as_u64().expect("a time").saturating_sub(run.start);
    println!("fault on one route withdrawn {withdrawn_after_ms} ms after the start of the move");
}

/// Guards against a version that fails one call in ten and is judged healthy.
#[test]
fn version_that_fails_every_tenth_call_is_withdrawn() {
    let faults = TargetFaults { failing_share: 0.1, ..TargetFaults::default() };
    let run = RunningMove::start(MovePlan { faults, seed: 7, ..MovePlan::default() });
    let outcome = assert_withdrawn(&run, "failures");
    let withdrawn_after_ms = outcome["unix_ms"].as_u64().expect("a time").saturating_sub(run.start);
    println!("10% of failures withdrawn {withdrawn_after_ms} ms after the start of the move");
}
