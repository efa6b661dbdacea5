//! Nodes that are killed or paused under mixed load with retried bookings.

mod common;

use std::net::SocketAddr;

use common::cluster;
use common::cluster::WAIT_TIMEOUT;
use common::load;
use standins::caller::CallLog;
use standins::caller::CallerStandin;
use standins::caller::Outcome;
use standins::caller::Summary;
use standins::caller::guarantee_violations;
use standins::harness::Cluster;
use standins::platform::faults::PlatformFaults;
use standins::target::record::ExecutedRequest;

/// Deadline of the calls, in ms.
const DEADLINE_MS: u64 = 1500;

/// Starts six nodes with a local target each; delivery of stored uploads is retried every 200 ms.
fn start_six_nodes() -> Cluster {
    let mut cluster = cluster::builder()
        .section("uploads", serde_json::json!({"scan_period_ms": 200, "retry_pause_ms": 200}))
        .data_centre("erongo-1", "erongo", 3)
        .data_centre("erongo-2", "erongo", 3)
        .start()
        .expect("nodes start");
    cluster::start_serving(&mut cluster);
    cluster
}

fn start_caller(cluster: &Cluster, seed: u64) -> CallerStandin {
    let options = load::with_deadline(load::mixed_class_options(cluster, seed), DEADLINE_MS);
    CallerStandin::start(options).expect("the caller starts")
}

/// Starts a caller that sends calls to the given nodes only.
fn start_caller_for_nodes(cluster: &Cluster, seed: u64, nodes: &[usize]) -> CallerStandin {
    let mut options = load::with_deadline(load::mixed_class_options(cluster, seed), DEADLINE_MS);
    options.nodes = caller_listen_addrs(cluster, nodes);
    CallerStandin::start(options).expect("the caller starts")
}

/// Checks the responses of nodes that were paused or killed: they may be late or missing, but never
/// wrong. `killed_records` holds the records of killed targets.
fn assert_no_wrong_response(
    cluster: &Cluster,
    summary: &Summary,
    killed_records: Vec<ExecutedRequest>,
) {
    load::wait_delivered(cluster);
    let mut records = load::records(cluster);
    records.extend(killed_records);
    let violations = guarantee_violations(&summary.log, &records);
    assert!(violations.is_empty(), "{violations:#?}");
    assert_eq!(summary.total().wrong, 0, "{}", summary.to_json());
    println!("calls to paused or killed nodes: {}", load::summary_line(summary));
}

fn caller_listen_addrs(cluster: &Cluster, nodes: &[usize]) -> Vec<SocketAddr> {
    let addresses = nodes.iter().map(|n| cluster.node(*n).addresses().expect("started").caller);
    addresses.collect()
}

/// Returns the calls that were sent at or after `unix_ms` and did not succeed.
fn calls_failed_since(summary: &Summary, since_unix_ms: u64) -> Vec<&CallLog> {
    let later_calls = summary.log.iter().filter(|call| call.sent_unix_ms >= since_unix_ms);
    later_calls.filter(|call| !matches!(call.outcome, Outcome::Ok | Outcome::Accepted)).collect()
}

/// Guards against lost, repeated or wrongly reported calls when nodes are killed one after another
/// and several at once, and against calls that still fail 3 s after the last kill.
#[test]
fn nodes_killed() {
    let mut cluster = start_six_nodes();
    let caller = start_caller(&cluster, 71);
    load::wait_calls_ended(&caller, 200);
    cluster.kill_nodes(&[4]).expect("killed");
    load::wait_calls_ended(&caller, 200);
    cluster.kill_nodes(&[1, 2]).expect("killed");
    caller.set_nodes(caller_listen_addrs(&cluster, &[0, 3, 5]));
    // At 300 calls/s this takes more than the 3 s after which no call may fail.
    load::wait_calls_ended(&caller, 1000);
    let settled_unix_ms = standins::target::unix_ms();
    load::wait_calls_ended(&caller, 300);
    let summary = caller.stop();
    // The targets of the killed nodes keep running, so that their records are included.
    load::assert_guarantees(&cluster, &summary, Vec::new());
    let failed_calls = calls_failed_since(&summary, settled_unix_ms);
    assert!(failed_calls.is_empty(), "{failed_calls:#?}");
}

/// Guards against lost, repeated or wrongly reported calls when all nodes are killed at once and
/// restarted while responses of the platform are lost.
#[test]
fn mass_restart() {
    let mut cluster = start_six_nodes();
    let caller = start_caller(&cluster, 72);
    load::wait_calls_ended(&caller, 200);
    cluster.platform().set_faults(PlatformFaults {
        lose_share: 0.2,
        seed: 72,
        ..Default::default()
    });
    cluster.restart_nodes(&[0, 1, 2, 3, 4, 5]).expect("restarted");
    cluster.wait_ready(cluster::CONVERGENCE_BOUND).expect("the nodes serve again");
    cluster.wait_targets(6, cluster::WAIT_TIMEOUT).expect("targets become ready");
    load::wait_calls_ended(&caller, 300);
    cluster.platform().set_faults(PlatformFaults::default());
    let settled_unix_ms = standins::target::unix_ms();
    load::wait_calls_ended(&caller, 300);
    let summary = caller.stop();
    load::assert_guarantees(&cluster, &summary, Vec::new());
    let failed_calls = calls_failed_since(&summary, settled_unix_ms);
    assert!(failed_calls.is_empty(), "{failed_calls:#?}");
}

/// Guards against lost, repeated or wrongly reported calls when a paused node resumes: it held
/// claims, calls and a target while leases and deadlines expired.
#[test]
fn node_paused() {
    let mut cluster = start_six_nodes();
    let caller = start_caller_for_nodes(&cluster, 73, &[0, 1, 3, 4, 5]);
    let paused_node_caller = start_caller_for_nodes(&cluster, 173, &[2]);
    load::wait_calls_ended(&caller, 200);
    cluster.pause_node(2).expect("paused");
    // At 300 calls/s this takes 4 s, longer than the lease of 3 s and every deadline.
    load::wait_calls_ended(&caller, 1200);
    let settled_unix_ms = standins::target::unix_ms();
    load::wait_calls_ended(&caller, 200);
    cluster.resume_node(2).expect("resumed");
    load::wait_calls_ended(&caller, 300);
    cluster.wait_ready(WAIT_TIMEOUT).expect("the node serves again");
    let paused_node_summary = paused_node_caller.stop();
    let summary = caller.stop();
    load::assert_guarantees(&cluster, &summary, Vec::new());
    assert_no_wrong_response(&cluster, &paused_node_summary, Vec::new());
    let failed_calls = calls_failed_since(&summary, settled_unix_ms);
    assert!(failed_calls.is_empty(), "{failed_calls:#?}");
}

/// Guards against lost, repeated or wrongly reported calls when two nodes fail together, one paused
/// and one killed, and the target of a third is killed too.
#[test]
fn guarantees_hold_with_one_node_paused_and_one_killed() {
    let mut cluster = start_six_nodes();
    let caller = start_caller_for_nodes(&cluster, 74, &[1, 2, 4, 5]);
    let failed_nodes_caller = start_caller_for_nodes(&cluster, 174, &[0, 3]);
    load::wait_calls_ended(&caller, 200);
    cluster.pause_node(0).expect("paused");
    cluster.kill_nodes(&[3]).expect("killed");
    let killed_records = cluster.take_target("counter-4").expect("the target runs").kill();
    load::wait_calls_ended(&caller, 300);
    cluster.resume_node(0).expect("resumed");
    cluster.start_nodes(&[3]).expect("restarted");
    load::wait_calls_ended(&caller, 600);
    let failed_nodes_summary = failed_nodes_caller.stop();
    let summary = caller.stop();
    assert_no_wrong_response(&cluster, &failed_nodes_summary, killed_records.clone());
    load::assert_guarantees(&cluster, &summary, killed_records);
}
