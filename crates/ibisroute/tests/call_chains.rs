//! Call chains: calls whose targets make further calls through the nodes, up to the supported
//! length.

mod common;

use common::cluster;
use common::cluster::WAIT_TIMEOUT;
use standins::caller::CallSpec;
use standins::caller::CallerOptions;
use standins::caller::CallerStandin;
use standins::target::TargetOptions;

/// Nested calls of the longest supported chain, which has 23 calls with the one from the caller.
const NESTED_CALLS: u32 = 22;

fn chain_options(
    cluster: &standins::harness::Cluster,
    max_calls: u64,
    deadline_ms: u64,
) -> CallerOptions {
    CallerOptions {
        nodes: cluster.callers(),
        calls: vec![CallSpec { chain: NESTED_CALLS, deadline_ms, ..CallSpec::default() }],
        concurrency: 2,
        max_calls: Some(max_calls),
        keep_log: true,
        ..CallerOptions::default()
    }
}

fn start_four_targets() -> standins::harness::Cluster {
    let mut cluster = cluster::builder()
        .data_centre("erongo-1", "erongo", 2)
        .data_centre("erongo-2", "erongo", 2)
        .start()
        .expect("nodes start");
    // A target holds its slot while it waits for the nested call: two chains need 46 slots.
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

/// Guards against a depth limit that refuses a supported chain, and against deadlines that are not
/// passed on along the chain.
#[test]
fn longest_supported_chain_is_served() {
    let cluster = start_four_targets();
    let summary = CallerStandin::run(chain_options(&cluster, 40, 2000)).expect("the caller runs");
    assert_eq!(summary.total().failed(), 0, "{}", summary.to_json());
    let execution_count: usize = cluster.targets().map(|(_, t)| t.records().len()).sum();
    assert_eq!(execution_count, 40 * (NESTED_CALLS as usize + 1));
}
