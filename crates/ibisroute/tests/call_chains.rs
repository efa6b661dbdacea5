//! Calls that make further calls through the nodes, as deep as the stated size asks for.

mod common;

use common::cluster;
use common::cluster::WAIT_TIMEOUT;
use standins::caller::CallSpec;
use standins::caller::CallerOptions;
use standins::caller::CallerStandin;
use standins::target::TargetOptions;

/// Depth that the stated size asks for: the first call and 22 further ones.
const FURTHER_CALLS: u32 = 22;

fn chains(cluster: &standins::harness::Cluster, calls: u64, deadline_ms: u64) -> CallerOptions {
    CallerOptions {
        nodes: cluster.callers(),
        calls: vec![CallSpec { chain: FURTHER_CALLS, deadline_ms, ..CallSpec::default() }],
        concurrency: 2,
        max_calls: Some(calls),
        keep_log: true,
        ..CallerOptions::default()
    }
}

fn serving() -> standins::harness::Cluster {
    let mut cluster = cluster::builder()
        .data_centre("erongo-1", "erongo", 2)
        .data_centre("erongo-2", "erongo", 2)
        .start()
        .expect("nodes start");
    // A target holds its slot while it waits for the further call, so that two chains need 46 slots.
    for node in 0..cluster.nodes().len() {
        let options = TargetOptions {
            instance: format!("counter-{node}"),
            slots: 64,
            ..TargetOptions::default()
        };
        cluster.start_target(node, options).expect("a target starts");
    }
    cluster.wait_targets(4, WAIT_TIMEOUT).expect("targets become ready");
    let version = cluster::apply(&cluster, &cluster::catalogue());
    cluster.wait_ready(WAIT_TIMEOUT).expect("nodes serve");
    cluster.wait_version(version, WAIT_TIMEOUT).expect("the version is in effect");
    cluster
}

/// Guards against a depth limit below the stated one, and against deadlines that are lost on the way.
#[test]
fn deep_calls_are_answered() {
    let cluster = serving();
    let summary = CallerStandin::run(chains(&cluster, 40, 2000)).expect("the caller runs");
    assert_eq!(summary.total().failed(), 0, "{}", summary.to_json());
    let ran: usize = cluster.targets().map(|(_, t)| t.records().len()).sum();
    assert_eq!(ran, 40 * (FURTHER_CALLS as usize + 1));
}
