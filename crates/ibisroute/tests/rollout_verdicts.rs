//! Moves of a service to another version: traffic share schedule, fault detection and verdict.

use ibisroute::mesh::rollout;
use ibisroute::mesh::rollout::AllowedVersions;
use ibisroute::mesh::rollout::Evidence;
use ibisroute::mesh::rollout::Fault;
use ibisroute::mesh::rollout::Rollout;
use ibisroute::mesh::rollout::RolloutRequest;
use ibisroute::mesh::rollout::RolloutSettings;
use ibisroute::mesh::rollout::Verdict;
use ibisroute::types::Millis;
use smol_str::SmolStr;

/// Returns evidence with successful and failed responses on one route, each after `latency_ms`.
fn evidence(route: &str, succeeded: u32, failed: u32, latency_ms: u64) -> Evidence {
    let mut evidence = Evidence::new();
    let route = SmolStr::new(route);
    (0..succeeded)
        .for_each(|_| rollout::record_response(&mut evidence, &route, true, Millis(latency_ms)));
    (0..failed)
        .for_each(|_| rollout::record_response(&mut evidence, &route, false, Millis(latency_ms)));
    evidence
}

fn new_rollout() -> Rollout {
    let request = RolloutRequest {
        service: "counter".parse().expect("valid name"),
        to: "v2".parse().expect("valid name"),
        duration: Millis(15_000),
    };
    Rollout { request, started: Millis(0), recorded_verdict: None, withdrawn: false }
}

fn detect_fault(new: &[Evidence], old: &[Evidence]) -> Option<Fault> {
    let cfg = RolloutSettings::default();
    let new: Vec<&Evidence> = new.iter().collect();
    let old: Vec<&Evidence> = old.iter().collect();
    rollout::detect_fault(&new, &old, &cfg)
}

/// Guards against keeping a version that fails half of its requests.
#[test]
fn high_error_rate_is_a_fault() {
    let old_evidence = [evidence("r", 200, 1, 100)];
    let fault = detect_fault(&[evidence("r", 5, 5, 100), evidence("r", 4, 4, 100)], &old_evidence);
    assert!(matches!(fault, Some(Fault::Errors { .. })), "{fault:?}");
}

/// Guards against a version whose failures on one route are hidden by the traffic of the others.
#[test]
fn failures_on_one_route_are_a_fault() {
    let mut failing_on_one = evidence("quiet", 2, 5, 100);
    failing_on_one.extend(evidence("busy", 60, 0, 100));
    let mut old_evidence = evidence("quiet", 60, 0, 100);
    old_evidence.extend(evidence("busy", 600, 0, 100));
    assert!(detect_fault(&[failing_on_one], &[old_evidence]).is_some());
}

/// Guards against keeping a version that is several times slower.
#[test]
fn high_latency_is_a_fault() {
    let fault = detect_fault(&[evidence("r", 8, 0, 800)], &[evidence("r", 300, 0, 110)]);
    assert!(matches!(fault, Some(Fault::Slow { .. })), "{fault:?}");
}

/// Guards against withdrawing a good version because of one faulty or slow target.
#[test]
fn single_faulty_target_is_no_fault_of_version() {
    let old_evidence = [evidence("r", 400, 2, 110)];
    let healthy = || evidence("r", 20, 0, 120);
    assert_eq!(
        detect_fault(&[evidence("r", 10, 10, 110), healthy(), healthy()], &old_evidence),
        None
    );
    assert_eq!(
        detect_fault(&[evidence("r", 20, 0, 700), healthy(), healthy()], &old_evidence),
        None
    );
}

/// Guards against withdrawing a good version while both versions fail at similar rates.
#[test]
fn failures_of_both_versions_are_no_fault() {
    let old_evidence = [evidence("r", 100, 60, 400)];
    assert_eq!(
        detect_fault(&[evidence("r", 10, 7, 420), evidence("r", 9, 6, 380)], &old_evidence),
        None
    );
}

/// Guards against a schedule that sends a tenth or more of the traffic to the new version before the last
/// stage.
#[test]
fn exposure_before_last_stage_is_bounded() {
    let cfg = RolloutSettings::default();
    let rollout = new_rollout();
    let last_stage_from = cfg.stages.last().expect("the schedule has stages").from;
    let last_stage_start_ms = (last_stage_from * 15_000.0) as u64;
    let exposed_ms: f64 = (0..last_stage_start_ms).map(|ms| rollout.share(Millis(ms), &cfg)).sum();
    assert!(exposed_ms / 15_000.0 < 0.1, "{}", exposed_ms / 15_000.0);
}

/// Guards against completing a rollout too early while targets of the old version process requests,
/// against never completing it because of them, and against completing it without a ready target of the
/// new version.
#[test]
fn rollout_completes_when_old_version_is_idle_or_forced() {
    let cfg = RolloutSettings::default();
    let rollout = new_rollout();
    assert_eq!(rollout.desired_verdict(Millis(5_000), false, true, &cfg), Verdict::Running);
    assert_eq!(rollout.desired_verdict(Millis(11_000), true, true, &cfg), Verdict::Running);
    assert_eq!(rollout.desired_verdict(Millis(11_000), false, true, &cfg), Verdict::Completed);
    assert_eq!(rollout.desired_verdict(Millis(14_000), true, true, &cfg), Verdict::Completed);
    assert_eq!(rollout.desired_verdict(Millis(14_000), true, false, &cfg), Verdict::Running);
}

/// Guards against requests to a withdrawn version, and to the old version after the status row says that
/// the rollout has completed.
#[test]
fn allowed_versions_follow_withdrawal_and_completion() {
    let cfg = RolloutSettings::default();
    let mut rollout = new_rollout();
    let to = rollout.request.to.clone();
    rollout.withdrawn = true;
    assert_eq!(rollout.allowed_versions(Millis(1), &cfg), AllowedVersions::Without(to.clone()));
    assert_eq!(rollout.desired_verdict(Millis(14_000), false, true, &cfg), Verdict::RolledBack);
    rollout.recorded_verdict = Some(Verdict::Completed);
    assert_eq!(rollout.allowed_versions(Millis(1), &cfg), AllowedVersions::Only(to));
}
