//! Moves end with the right outcome although the platform, nodes, the owner's server or the network
//! fail.

mod common;

use std::time::Duration;

use common::cluster::CONVERGENCE_BOUND;
use common::cluster::WAIT_TIMEOUT;
use common::cluster::apply;
use common::moves::MOVE;
use common::moves::MovePlan;
use common::moves::RECORD_BOUND;
use common::moves::RunningMove;
use common::moves::WITHDRAWAL_BOUND_MS;
use common::moves::catalogue;
use common::moves::exposure;
use common::moves::move_status;
use common::owner::OwnerResponse;
use standins::platform::faults::LostBy;
use standins::platform::faults::Outage;
use standins::platform::faults::PlatformFaults;
use standins::target::faults::TargetFaults;
use standins::target::unix_ms;
use standins::wait;

/// Maximum time from the start of a fault until all nodes have withdrawn the version. Every call to
/// the faulty version fails, so that its first calls show the fault.
const WITHDRAWN_BOUND: Duration = Duration::from_secs(3);

fn every_call_fails() -> TargetFaults {
    TargetFaults { failing_share: 1.0, ..TargetFaults::default() }
}

fn plan_with_seed(seed: u64) -> MovePlan {
    MovePlan { seed, ..MovePlan::default() }
}

/// Checks that calls failed on the new version, and that the last call reached it within
/// [`WITHDRAWAL_BOUND_MS`] after the first failure.
fn assert_exposure(run: &RunningMove) {
    let exposed = exposure(&run.new_calls());
    println!("{exposed:?}");
    assert!(exposed.failed > 0, "{exposed:?}");
    assert!(exposed.last_call_after_failure_ms <= WITHDRAWAL_BOUND_MS, "{exposed:?}");
}

/// Guards against a withdrawal that waits for the platform, and against an outcome or a report that
/// is lost because the platform was down.
#[test]
fn withdrawal_does_not_wait_for_platform() {
    let run = RunningMove::start(plan_with_seed(11));
    run.wait_stage(3, run.time_until(run.finish_by_unix_ms, Duration::ZERO));
    let faults = PlatformFaults { outage: Outage::Unavailable, ..PlatformFaults::default() };
    run.cluster.platform().set_faults(faults);
    run.set_faults(&every_call_fails());
    run.wait_phase("withdrawn", WITHDRAWN_BOUND);
    run.wait_calls_ended(400, WAIT_TIMEOUT);
    assert_exposure(&run);
    assert!(run.cluster.platform().row(&format!("move/{MOVE}/outcome")).is_none());
    assert!(run.owner.attempts().is_empty());
    run.cluster.platform().set_faults(PlatformFaults::default());
    let outcome = run.wait_outcome(WAIT_TIMEOUT);
    assert_eq!(outcome["outcome"], "taken_back", "{outcome}");
    assert_eq!(run.wait_report(WAIT_TIMEOUT)["outcome"], "taken_back");
}

/// Guards against a second outcome, or none, when the platform wrote the row but its response was
/// lost.
#[test]
fn lost_write_responses_lead_to_one_outcome() {
    let run = RunningMove::start(plan_with_seed(12));
    run.wait_stage(3, run.time_until(run.finish_by_unix_ms, Duration::ZERO));
    let responses_lost =
        PlatformFaults { lose_share: 1.0, lose_by: LostBy::Close, ..PlatformFaults::default() };
    run.cluster.platform().set_faults(responses_lost);
    run.set_faults(&every_call_fails());
    let outcome = run.wait_outcome(WITHDRAWN_BOUND);
    // At least one node must read the outcome row although no node receives a response to a write.
    let has_read_outcome =
        |n: &standins::harness::Node| move_status(n).is_some_and(|v| v["outcome"] == outcome);
    let outcome_read = wait::until_true("a node that has read the outcome", WAIT_TIMEOUT, || {
        run.cluster.nodes().iter().any(has_read_outcome)
    });
    outcome_read.unwrap_or_else(|e| panic!("{e}; {}", run.describe_state()));
    let report = run.wait_report(WAIT_TIMEOUT);
    assert_eq!(report["ended_unix_ms"], outcome["unix_ms"], "{report}");
    run.cluster.platform().set_faults(PlatformFaults::default());
    assert_exposure(&run);
    let identities: Vec<_> =
        run.owner.reports().into_iter().map(|r| r["identity"].clone()).collect();
    assert!(identities.iter().all(|i| *i == report["identity"]), "{identities:?}");
}

/// Guards against a move that never ends because all its evaluators were killed.
#[test]
fn healthy_version_finishes_after_loss_of_evaluators() {
    let plan = MovePlan { nodes: 3, duration_ms: 15_000, seed: 13, ..MovePlan::default() };
    let mut run = RunningMove::start(plan);
    run.wait_stage(2, run.time_until(run.finish_by_unix_ms, Duration::ZERO));
    let killed_nodes = run.evaluators();
    assert_eq!(killed_nodes.len(), 3, "{}", run.describe_state());
    let remaining_nodes: Vec<_> = (0..6).filter(|i| !killed_nodes.contains(i)).collect();
    run.send_calls_to(&remaining_nodes);
    run.cluster.kill_nodes(&killed_nodes).expect("nodes are killed");
    let outcome = run.wait_outcome(run.time_until(run.finish_by_unix_ms, RECORD_BOUND));
    assert_eq!(outcome["outcome"], "finished", "{outcome} {}", run.describe_state());
    run.wait_phase("finished", CONVERGENCE_BOUND);
    assert_eq!(run.wait_report(WAIT_TIMEOUT)["outcome"], "finished");
}

/// Guards against a faulty version that keeps its calls because all evaluators were killed.
#[test]
fn faulty_version_is_withdrawn_after_loss_of_evaluators() {
    let plan = MovePlan { nodes: 3, duration_ms: 15_000, seed: 14, ..MovePlan::default() };
    let mut run = RunningMove::start(plan);
    run.wait_stage(3, run.time_until(run.finish_by_unix_ms, Duration::ZERO));
    let killed_nodes = run.evaluators();
    let remaining_nodes: Vec<_> = (0..6).filter(|i| !killed_nodes.contains(i)).collect();
    run.send_calls_to(&remaining_nodes);
    run.cluster.kill_nodes(&killed_nodes).expect("nodes are killed");
    run.set_faults(&every_call_fails());
    let outcome = run.wait_outcome(run.time_until(run.finish_by_unix_ms, RECORD_BOUND));
    assert_eq!(outcome["outcome"], "taken_back", "{outcome} {}", run.describe_state());
    run.wait_phase("withdrawn", CONVERGENCE_BOUND);
    assert_eq!(run.wait_report(WAIT_TIMEOUT)["outcome"], "taken_back");
    let exposed = exposure(&run.new_calls());
    println!("{exposed:?}");
    assert!(exposed.last_call_after_failure_ms <= WITHDRAWAL_BOUND_MS, "{exposed:?}");
}

/// Guards against a restarted node that sends the new version more than the permitted share, or
/// sends calls to a withdrawn version.
#[test]
fn restarted_node_keeps_permitted_share() {
    let mut run = RunningMove::start(plan_with_seed(15));
    run.wait_stage(2, run.time_until(run.finish_by_unix_ms, Duration::ZERO));
    run.send_calls_to(&[1]);
    run.cluster.restart_nodes(&[1]).expect("the node restarts");
    run.cluster.wait_ready(CONVERGENCE_BOUND).expect("the restarted node serves");
    let (old_calls, new_calls) = run.wait_calls_executed(400, WAIT_TIMEOUT);
    let stages =
        run.cluster.nodes().iter().filter_map(move_status).filter_map(|v| v["stage"].as_u64());
    let stage = stages.max().expect("a node reports the stage") as usize;
    // The share of the new version in each stage, by the default settings.
    let permitted_share = [0.0, 0.01, 0.05, 0.25, 0.5, 0.9][stage];
    println!(
        "{old_calls} calls on v1 and {new_calls} on v2 from the restarted node in stage {stage}"
    );
    // With 400 calls, 12.5 percentage points are at least five standard deviations.
    let share = new_calls as f64 / (old_calls + new_calls) as f64;
    assert!(share <= permitted_share + 0.125, "{share} in stage {stage}; {}", run.describe_state());
    run.send_calls_to(&[0, 1, 2, 3]);
    run.set_faults(&every_call_fails());
    run.wait_phase("withdrawn", run.time_until(run.finish_by_unix_ms, Duration::ZERO));
    run.wait_calls_ended(400, WAIT_TIMEOUT);
    let calls_before = run.records("v2").len();
    run.send_calls_to(&[1]);
    run.cluster.restart_nodes(&[1]).expect("the node restarts");
    run.cluster.wait_ready(CONVERGENCE_BOUND).expect("the restarted node serves");
    run.wait_calls_executed(400, WAIT_TIMEOUT);
    assert_eq!(run.records("v2").len(), calls_before, "calls on the withdrawn version");
    assert_eq!(run.wait_outcome(WAIT_TIMEOUT)["outcome"], "taken_back");
}

/// Guards against two outcomes of one move when the data centres are partitioned and only one of
/// them observes the fault.
#[test]
fn partition_leads_to_one_outcome() {
    let plan = MovePlan { relays: true, seed: 16, ..MovePlan::default() };
    let run = RunningMove::start(plan);
    run.wait_stage(3, run.time_until(run.finish_by_unix_ms, Duration::ZERO));
    run.cluster.partition_data_centres("erongo-1", "erongo-2").expect("a partition");
    for (node, target) in run.cluster.targets() {
        if node < 2 && target.options().version == "v2" {
            target.set_faults(every_call_fails());
        }
    }
    let outcome = run.wait_outcome(run.time_until(run.finish_by_unix_ms, RECORD_BOUND));
    run.cluster.heal_partitions();
    assert_eq!(outcome["outcome"], "taken_back", "{outcome} {}", run.describe_state());
    let reason = outcome["reason"].as_str().unwrap_or_default();
    assert!(reason.contains("failures"), "{outcome}");
    run.wait_phase("withdrawn", CONVERGENCE_BOUND);
    run.assert_no_calls_since(unix_ms());
    assert_eq!(run.wait_report(WAIT_TIMEOUT)["outcome"], "taken_back");
    assert_eq!(run.wait_outcome(WAIT_TIMEOUT), outcome);
    println!("{outcome} {:?}", exposure(&run.new_calls()));
}

/// Guards against a node that is paused during the withdrawal and resumes with its old share.
#[test]
fn node_paused() {
    let mut run = RunningMove::start(plan_with_seed(17));
    run.wait_stage(4, run.time_until(run.finish_by_unix_ms, Duration::ZERO));
    let evaluators = run.evaluators();
    let paused_node =
        (0..4).find(|i| !evaluators.contains(i)).expect("one node is not an evaluator");
    run.cluster.pause_node(paused_node).expect("the node pauses");
    run.set_faults(&every_call_fails());
    run.wait_phase("withdrawn", WITHDRAWN_BOUND);
    run.wait_calls_ended(200, WAIT_TIMEOUT);
    let resumed_at = unix_ms();
    run.cluster.resume_node(paused_node).expect("the node resumes");
    run.wait_phase("withdrawn", Duration::from_millis(WITHDRAWAL_BOUND_MS));
    let withdrawn_after_ms = unix_ms() - resumed_at;
    run.wait_calls_ended(800, WAIT_TIMEOUT);
    let calls_after: Vec<_> =
        run.records("v2").into_iter().filter(|r| r.started_unix_ms >= resumed_at).collect();
    let last_call_ms =
        calls_after.iter().map(|r| r.started_unix_ms - resumed_at).max().unwrap_or(0);
    println!(
        "{} calls after the resume, the last after {last_call_ms} ms; withdrawn after \
         {withdrawn_after_ms} ms",
        calls_after.len()
    );
    assert!(last_call_ms <= WITHDRAWAL_BOUND_MS, "{last_call_ms} ms after the resume");
    assert_eq!(run.wait_outcome(WAIT_TIMEOUT)["outcome"], "taken_back");
}

/// Guards against a report that is lost because the owner's server fails.
#[test]
fn report_reaches_owner_after_errors() {
    let plan =
        MovePlan { owner: OwnerResponse::Fails, faults: every_call_fails(), ..plan_with_seed(18) };
    assert_report_after_recovery(plan);
}

/// Guards against a report that is lost because the owner's server does not respond.
#[test]
fn report_reaches_owner_after_hang() {
    let plan =
        MovePlan { owner: OwnerResponse::Hangs, faults: every_call_fails(), ..plan_with_seed(19) };
    assert_report_after_recovery(plan);
}

/// Checks that the owner receives the report once its server accepts reports again.
fn assert_report_after_recovery(plan: MovePlan) {
    let run = RunningMove::start(plan);
    let attempt =
        wait::until("a report", run.time_until(run.finish_by_unix_ms, RECORD_BOUND), || {
            run.owner.attempts().pop()
        });
    let attempt = attempt.unwrap_or_else(|e| panic!("{e}; {}", run.describe_state()));
    assert!(run.cluster.platform().row(&format!("report/{MOVE}")).is_none());
    run.owner.set_response(OwnerResponse::Accepts);
    let report = run.wait_report(WAIT_TIMEOUT);
    assert_eq!(report["identity"], attempt["identity"]);
    assert_eq!(report["outcome"], "taken_back");
}

/// Guards against a report that is lost because the move is removed from the catalogue before the
/// owner's server accepts the report, as `move declare` does for the next move.
#[test]
fn report_reaches_owner_after_removal_of_move() {
    let plan =
        MovePlan { owner: OwnerResponse::Fails, faults: every_call_fails(), ..plan_with_seed(20) };
    let run = RunningMove::start(plan);
    run.wait_outcome(run.time_until(run.finish_by_unix_ms, RECORD_BOUND));
    let attempt = wait::until("a report", WAIT_TIMEOUT, || run.owner.attempts().pop());
    let attempt = attempt.unwrap_or_else(|e| panic!("{e}; {}", run.describe_state()));
    let version = apply(&run.cluster, &catalogue(&run.owner.url()));
    run.cluster.wait_version(version, CONVERGENCE_BOUND).expect("the version is in effect");
    run.owner.set_response(OwnerResponse::Accepts);
    let report = run.wait_report(WAIT_TIMEOUT);
    assert_eq!(report["identity"], attempt["identity"]);
}
