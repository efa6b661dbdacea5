//! Moves to another version: schedule, judgement and status row.

use ibisroute::mesh::rollout;
use ibisroute::mesh::rollout::Evidence;
use ibisroute::mesh::rollout::Fault;
use ibisroute::mesh::rollout::Rollout;
use ibisroute::mesh::rollout::RolloutRequest;
use ibisroute::mesh::rollout::RolloutSettings;
use ibisroute::mesh::rollout::Verdict;
use ibisroute::mesh::rollout::VersionGate;
use ibisroute::types::Millis;
use smol_str::SmolStr;

fn evidence(route: &str, good: u32, bad: u32, ms: u64) -> Evidence {
    let mut evidence = Evidence::new();
    let route = SmolStr::new(route);
    (0..good).for_each(|_| rollout::record_response(&mut evidence, &route, true, Millis(ms)));
    (0..bad).for_each(|_| rollout::record_response(&mut evidence, &route, false, Millis(ms)));
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

fn judge(new: &[Evidence], old: &[Evidence]) -> Option<Fault> {
    let cfg = RolloutSettings::default();
    let new: Vec<&Evidence> = new.iter().collect();
    let old: Vec<&Evidence> = old.iter().collect();
    rollout::judge(&new, &old, &cfg)
}

/// Guards against keeping a version that fails half of its requests.
#[test]
fn errors_condemn() {
    let old = [evidence("r", 200, 1, 100)];
    let fault = judge(&[evidence("r", 5, 5, 100), evidence("r", 4, 4, 100)], &old);
    assert!(matches!(fault, Some(Fault::Errors { .. })), "{fault:?}");
}

/// Guards against a version whose failures on one route are hidden by the traffic of the others.
#[test]
fn one_route_condemns() {
    let mut failing_on_one = evidence("quiet", 2, 5, 100);
    failing_on_one.extend(evidence("busy", 60, 0, 100));
    let mut old = evidence("quiet", 60, 0, 100);
    old.extend(evidence("busy", 600, 0, 100));
    assert!(judge(&[failing_on_one], &[old]).is_some());
}

/// Guards against keeping a version that is several times slower.
#[test]
fn slowness_condemns() {
    let fault = judge(&[evidence("r", 8, 0, 800)], &[evidence("r", 300, 0, 110)]);
    assert!(matches!(fault, Some(Fault::Slow { .. })), "{fault:?}");
}

/// Guards against withdrawing a good version because of one faulty or slow target.
#[test]
fn one_target_does_not_condemn() {
    let old = [evidence("r", 400, 2, 110)];
    let healthy = || evidence("r", 20, 0, 120);
    assert_eq!(judge(&[evidence("r", 10, 10, 110), healthy(), healthy()], &old), None);
    assert_eq!(judge(&[evidence("r", 20, 0, 700), healthy(), healthy()], &old), None);
}

/// Guards against withdrawing a good version while both versions fail alike.
#[test]
fn common_trouble_does_not_condemn() {
    let old = [evidence("r", 100, 60, 400)];
    assert_eq!(judge(&[evidence("r", 10, 7, 420), evidence("r", 9, 6, 380)], &old), None);
}

/// Guards against a schedule that exposes more than a tenth of the traffic before the last stage.
#[test]
fn exposure_is_bounded() {
    let cfg = RolloutSettings::default();
    let rollout = new_rollout();
    let last = cfg.stages.last().expect("the schedule has stages").from;
    let until = (last * 15_000.0) as u64;
    let exposed: f64 = (0..until).map(|ms| rollout.share(Millis(ms), &cfg)).sum();
    assert!(exposed / 15_000.0 < 0.1, "{}", exposed / 15_000.0);
}

/// Guards against completing while old targets process requests, and against never completing.
#[test]
fn completes_in_time() {
    let cfg = RolloutSettings::default();
    let rollout = new_rollout();
    assert_eq!(rollout.desired_verdict(Millis(5_000), false, true, &cfg), Verdict::Running);
    assert_eq!(rollout.desired_verdict(Millis(11_000), true, true, &cfg), Verdict::Running);
    assert_eq!(rollout.desired_verdict(Millis(11_000), false, true, &cfg), Verdict::Completed);
    assert_eq!(rollout.desired_verdict(Millis(14_000), true, true, &cfg), Verdict::Completed);
    assert_eq!(rollout.desired_verdict(Millis(14_000), true, false, &cfg), Verdict::Running);
}

/// Guards against requests to a withdrawn version, and to the old version after the completion.
#[test]
fn gate_follows_the_row() {
    let cfg = RolloutSettings::default();
    let mut rollout = new_rollout();
    let to = rollout.request.to.clone();
    rollout.withdrawn = true;
    assert_eq!(rollout.gate(Millis(1), &cfg), VersionGate::Without(to.clone()));
    assert_eq!(rollout.desired_verdict(Millis(14_000), false, true, &cfg), Verdict::RolledBack);
    rollout.recorded_verdict = Some(Verdict::Completed);
    assert_eq!(rollout.gate(Millis(1), &cfg), VersionGate::Only(to));
}
