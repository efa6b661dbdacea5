//! Nodes that stop gracefully interrupt no request.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use common::cluster;
use common::cluster::SOON;
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
const DEADLINE_MS: u64 = 1500;

fn four_nodes() -> Cluster {
    let mut cluster = cluster::builder()
        .data_centre("erongo-1", "erongo", 2)
        .data_centre("erongo-2", "erongo", 2)
        .start()
        .expect("nodes start");
    cluster::start_serving(&mut cluster);
    cluster
}

/// Connections that were refused prove that the call did not run; no other lack of an answer is
/// permitted.
fn interrupted(summary: &Summary) -> Vec<String> {
    let fine = |outcome: &Outcome| match outcome {
        Outcome::Ok | Outcome::Accepted | Outcome::NotRun(_) => true,
        Outcome::NoAnswer(reason) => reason.contains("refused"),
        _ => false,
    };
    let broken = summary.log.iter().filter(|call| !fine(&call.outcome));
    broken.map(|call| format!("{call:?}")).collect()
}

/// Guards against a SIGTERM that interrupts calls in flight, and a process that does not end.
#[test]
fn calls_in_flight_end() {
    let mut cluster =
        cluster::builder().data_centre("erongo-1", "erongo", 2).start().expect("nodes start");
    let slow = TargetOptions { service_ms: (1000, 1000), ..TargetOptions::default() };
    cluster.start_target(1, slow).expect("a target starts");
    cluster.wait_targets(1, cluster::SOON).expect("targets become ready");
    let version = cluster::apply(&cluster, &cluster::catalogue());
    cluster.wait_ready(SOON).expect("nodes serve");
    cluster.wait_version(version, SOON).expect("the version is in effect");
    let callers = cluster.callers();
    let calls: Vec<JoinHandle<Response>> = callers
        .iter()
        .map(|addr| {
            let url = format!("http://{addr}/counter/sheets");
            std::thread::spawn(move || Request::new("GET", url).send().expect("an answer"))
        })
        .collect();
    wait::until_true("both calls to run", SOON, || load::records(&cluster).len() == 2)
        .expect("both calls run");
    // The node beside the target and the node of one of the callers.
    cluster.terminate_node(1).expect("signalled");
    cluster.terminate_node(0).expect("signalled");
    for call in calls {
        let answer = call.join().expect("the caller ends");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    for node in [0, 1] {
        assert_eq!(cluster.wait_ended(node, SOON).expect("the node ends"), Some(0));
    }
}

/// Guards against calls that are interrupted when one node after another is restarted under load with
/// connections that are kept alive.
#[test]
fn rolling_restart() {
    let mut cluster = four_nodes();
    let options = load::with_deadline(load::mixed(&cluster, 81), DEADLINE_MS);
    let caller = CallerStandin::start(options).expect("the caller starts");
    load::wait_calls(&caller, 100);
    for node in 0..4 {
        assert_eq!(cluster.stop_node(node, SOON).expect("the node ends"), Some(0));
        cluster.start_nodes(&[node]).expect("restarted");
        cluster.wait_ready(cluster::CONVERGENCE_BOUND).expect("the node serves again");
        cluster.wait_targets(4, cluster::SOON).expect("targets become ready");
        load::wait_calls(&caller, 50);
    }
    let summary = caller.stop();
    load::assert_kept(&cluster, &summary, Vec::new());
    let broken = interrupted(&summary);
    assert!(broken.is_empty(), "{} of {}: {broken:#?}", broken.len(), summary.log.len());
}

/// What a caller counted that tries another node after a proof that its call did not run.
#[derive(Default)]
struct Retrier {
    stopped: AtomicBool,
    calls: AtomicU64,
    moved: AtomicU64,
}

/// Calls until it is stopped, each on the nodes in turn; returns the calls that failed on all nodes.
fn call_with_retries(shared: &Retrier, nodes: &[SocketAddr], name: &str) -> Vec<String> {
    let mut failed = Vec::new();
    while !shared.stopped.load(Ordering::Relaxed) {
        let number = shared.calls.fetch_add(1, Ordering::Relaxed) as usize;
        let call = format!("{name}-{number}");
        let mut tries = (0..nodes.len()).map(|i| nodes[(number + i) % nodes.len()]);
        let end = tries.find_map(|node| {
            let end = try_node(node, &call);
            if end.is_none() {
                shared.moved.fetch_add(1, Ordering::Relaxed);
            }
            end
        });
        match end {
            Some(Ok(())) => {}
            Some(Err(reason)) => failed.push(format!("{call}: {reason}")),
            None => failed.push(format!("{call}: no node took it")),
        }
    }
    failed
}

/// `None` when it is proved that the call did not run.
fn try_node(node: SocketAddr, call: &str) -> Option<Result<(), String>> {
    let request = Request::new("GET", format!("http://{node}/counter/sheets"))
        .header(body::CALL_HEADER, call)
        .header("x-ibis-deadline-ms", DEADLINE_MS.to_string())
        .timeout(Duration::from_millis(DEADLINE_MS + 500));
    match request.send() {
        Ok(answer) if answer.status == 200 => {
            let sent = SentRequest {
                call,
                key: None,
                path: "/counter/sheets",
                body_bytes: 0,
                body_checksum: body::Checksum::of(&[]),
            };
            Some(body::check(&sent, &answer.body).map(drop).map_err(|e| format!("{e:?}")))
        }
        Ok(answer) if answer.header("x-ibis-outcome") == Some("not-run") => None,
        Ok(answer) => Some(Err(format!("{answer:?}"))),
        Err(e) if e.0.contains("refused") => None,
        Err(e) => Some(Err(e.0)),
    }
}

/// Guards against a restart of all nodes, two at a time, that a caller notices who tries another node
/// when its call was not run.
#[test]
fn retrying_callers_succeed() {
    let mut cluster = four_nodes();
    let shared = Arc::new(Retrier::default());
    let nodes = cluster.callers();
    let threads: Vec<JoinHandle<Vec<String>>> = (0..8)
        .map(|n| {
            let (shared, nodes) = (shared.clone(), nodes.clone());
            std::thread::spawn(move || call_with_retries(&shared, &nodes, &format!("caller-{n}")))
        })
        .collect();
    // Each pair has one target of each service.
    for pair in [[0, 1], [2, 3]] {
        pair.iter().for_each(|n| cluster.terminate_node(*n).expect("signalled"));
        for node in pair {
            assert_eq!(cluster.wait_ended(node, SOON).expect("the node ends"), Some(0));
        }
        cluster.start_nodes(&pair).expect("restarted");
        cluster.wait_ready(cluster::CONVERGENCE_BOUND).expect("the nodes serve again");
        cluster.wait_targets(4, cluster::SOON).expect("targets become ready");
    }
    shared.stopped.store(true, Ordering::Relaxed);
    let ended = threads.into_iter().map(|thread| thread.join().expect("the caller ends"));
    let failed: Vec<String> = ended.flatten().collect();
    let (calls, moved) =
        (shared.calls.load(Ordering::Relaxed), shared.moved.load(Ordering::Relaxed));
    println!("{calls} calls, {moved} tries moved to another node, {} failed", failed.len());
    assert!(failed.is_empty(), "{failed:#?}");
    assert!(moved > 0, "no call met a stopping node");
}
