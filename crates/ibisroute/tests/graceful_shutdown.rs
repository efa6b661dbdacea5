//! Tests that a graceful shutdown of nodes interrupts no call.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use common::cluster;
use common::cluster::WAIT_TIMEOUT;
use common::load;
use standins::body;
use standins::body::SentRequest;
use standins::caller::CallerStandin;
use standins::caller::Outcome;
use standins::caller::Summary;
use standins::harness::Cluster;
use standins::http::Request;
use standins::http::Response;
use standins::target::TargetOptions;
use standins::wait;

/// Deadline of the calls, in ms.
const CALL_DEADLINE_MS: u64 = 1500;

fn four_node_cluster() -> Cluster {
    let mut cluster = cluster::builder()
        .data_centre("erongo-1", "erongo", 2)
        .data_centre("erongo-2", "erongo", 2)
        .start()
        .expect("nodes start");
    cluster::start_serving(&mut cluster);
    cluster
}

/// Returns the calls that ended neither with a success nor with a proof that they did not run. A
/// refused connection is such a proof; any other missing response is not.
fn interrupted_calls(summary: &Summary) -> Vec<String> {
    let is_permitted_outcome = |outcome: &Outcome| match outcome {
        Outcome::Ok | Outcome::Accepted | Outcome::NotRun(_) => true,
        Outcome::NoAnswer(reason) => reason.contains("refused"),
        _ => false,
    };
    let interrupted = summary.log.iter().filter(|call| !is_permitted_outcome(&call.outcome));
    interrupted.map(|call| format!("{call:?}")).collect()
}

/// Guards against a SIGTERM that interrupts calls in flight, and a process that does not exit after
/// it.
#[test]
fn calls_in_flight_finish_after_sigterm() {
    let mut cluster =
        cluster::builder().data_centre("erongo-1", "erongo", 2).start().expect("nodes start");
    let slow_target = TargetOptions { service_ms: (1000, 1000), ..TargetOptions::default() };
    cluster.start_target(1, slow_target).expect("a target starts");
    cluster.wait_targets(1, cluster::WAIT_TIMEOUT).expect("targets become ready");
    let version = cluster::apply(&cluster, &cluster::catalogue());
    cluster.wait_ready(WAIT_TIMEOUT).expect("nodes serve");
    cluster.wait_version(version, WAIT_TIMEOUT).expect("the version is in effect");
    let callers = cluster.callers();
    let calls: Vec<JoinHandle<Response>> = callers
        .iter()
        .map(|addr| {
            let url = format!("http://{addr}/counter/sheets");
            std::thread::spawn(move || Request::new("GET", url).send().expect("a response"))
        })
        .collect();
    wait::until_true("both calls to run", WAIT_TIMEOUT, || load::records(&cluster).len() == 2)
        .expect("both calls run");
    // The target is on the host of node 1. Each node has accepted one of the two calls.
    cluster.terminate_node(1).expect("signalled");
    cluster.terminate_node(0).expect("signalled");
    for call in calls {
        let response = call.join().expect("the caller ends");
        assert_eq!(response.status, 200, "{response:?}");
    }
    for node in [0, 1] {
        assert_eq!(cluster.wait_ended(node, WAIT_TIMEOUT).expect("the node ends"), Some(0));
    }
}

/// Guards against interrupted calls when the nodes are restarted one after another under load that
/// uses keep-alive connections.
#[test]
fn rolling_restart_interrupts_no_call() {
    let mut cluster = four_node_cluster();
    let options = load::with_deadline(load::mixed_class_options(&cluster, 81), CALL_DEADLINE_MS);
    let caller = CallerStandin::start(options).expect("the caller starts");
    load::wait_calls_ended(&caller, 100);
    for node in 0..4 {
        assert_eq!(cluster.stop_node(node, WAIT_TIMEOUT).expect("the node ends"), Some(0));
        cluster.start_nodes(&[node]).expect("restarted");
        cluster.wait_ready(cluster::CONVERGENCE_BOUND).expect("the node serves again");
        cluster.wait_targets(4, cluster::WAIT_TIMEOUT).expect("targets become ready");
        load::wait_calls_ended(&caller, 50);
    }
    let summary = caller.stop();
    load::assert_guarantees(&cluster, &summary, Vec::new());
    let interrupted = interrupted_calls(&summary);
    assert!(
        interrupted.is_empty(),
        "{} of {}: {interrupted:#?}",
        interrupted.len(),
        summary.log.len()
    );
}

/// State shared by callers that retry a call on another node when a node proves that the call did
/// not run.
#[derive(Default)]
struct SharedCallerState {
    is_stopped: AtomicBool,
    calls: AtomicU64,
    retries: AtomicU64,
}

/// Makes calls until `shared.is_stopped` is set. Each call tries the nodes in turn until one
/// accepts it. Returns the calls that failed, with the reasons.
fn call_with_retries(shared: &SharedCallerState, nodes: &[SocketAddr], name: &str) -> Vec<String> {
    let mut failed = Vec::new();
    while !shared.is_stopped.load(Ordering::Relaxed) {
        let call_number = shared.calls.fetch_add(1, Ordering::Relaxed) as usize;
        let call = format!("{name}-{call_number}");
        let mut nodes_to_try = (0..nodes.len()).map(|i| nodes[(call_number + i) % nodes.len()]);
        let result = nodes_to_try.find_map(|node| {
            let result = try_call_on_node(node, &call);
            if result.is_none() {
                shared.retries.fetch_add(1, Ordering::Relaxed);
            }
            result
        });
        match result {
            Some(Ok(())) => {}
            Some(Err(reason)) => failed.push(format!("{call}: {reason}")),
            None => failed.push(format!("{call}: no node accepted the call")),
        }
    }
    failed
}

/// Sends a call to one node; `None` when it is proven that the call did not run.
fn try_call_on_node(node: SocketAddr, call: &str) -> Option<Result<(), String>> {
    let request = Request::new("GET", format!("http://{node}/counter/sheets"))
        .header(body::CALL_HEADER, call)
        .header("x-ibis-deadline-ms", CALL_DEADLINE_MS.to_string())
        .timeout(Duration::from_millis(CALL_DEADLINE_MS + 500));
    match request.send() {
        Ok(response) if response.status == 200 => {
            let sent = SentRequest {
                call,
                key: None,
                path: "/counter/sheets",
                body_bytes: 0,
                body_checksum: body::Checksum::of(&[]),
            };
            Some(body::check(&sent, &response.body).map(drop).map_err(|e| format!("{e:?}")))
        }
        Ok(response) if response.header("x-ibis-outcome") == Some("not-run") => None,
        Ok(response) => Some(Err(format!("{response:?}"))),
        Err(e) if e.0.contains("refused") => None,
        Err(e) => Some(Err(e.0)),
    }
}

/// Guards against calls that fail during a restart of all nodes, two at a time, although the caller
/// retries on another node after a proof that the call did not run.
#[test]
fn retrying_callers_succeed() {
    let mut cluster = four_node_cluster();
    let shared = Arc::new(SharedCallerState::default());
    let nodes = cluster.callers();
    let threads: Vec<JoinHandle<Vec<String>>> = (0..8)
        .map(|n| {
            let (shared, nodes) = (shared.clone(), nodes.clone());
            std::thread::spawn(move || call_with_retries(&shared, &nodes, &format!("caller-{n}")))
        })
        .collect();
    // The hosts of a pair have one target of each service, so that the other pair can run all
    // calls.
    for pair in [[0, 1], [2, 3]] {
        pair.iter().for_each(|n| cluster.terminate_node(*n).expect("signalled"));
        for node in pair {
            assert_eq!(cluster.wait_ended(node, WAIT_TIMEOUT).expect("the node ends"), Some(0));
        }
        cluster.start_nodes(&pair).expect("restarted");
        cluster.wait_ready(cluster::CONVERGENCE_BOUND).expect("the nodes serve again");
        cluster.wait_targets(4, cluster::WAIT_TIMEOUT).expect("targets become ready");
    }
    shared.is_stopped.store(true, Ordering::Relaxed);
    let failures = threads.into_iter().map(|thread| thread.join().expect("the caller ends"));
    let failed: Vec<String> = failures.flatten().collect();
    let (calls, retries) =
        (shared.calls.load(Ordering::Relaxed), shared.retries.load(Ordering::Relaxed));
    println!("{calls} calls, {retries} retries on another node, {} failed", failed.len());
    assert!(failed.is_empty(), "{failed:#?}");
    assert!(retries > 0, "no call reached a stopping node");
}
