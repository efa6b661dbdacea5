//! Configuration versions applied during or after outages and slowness of the platform.

mod common;

use std::time::Instant;

use common::cluster;
use common::fleet;
use common::fleet::Operator;
use common::fleet::VersionSampler;
use standins::harness::Node;
use standins::platform::faults::LostBy;
use standins::platform::faults::Outage;
use standins::platform::faults::PlatformFaults;

/// Number of polls of the head row that a node has started.
fn polls(node: &Node) -> Option<u64> {
    let metrics = node.admin("/metrics")?;
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    let line = text.lines().find(|l| l.starts_with("ibis_distribution_polls_total"))?;
    line.split_whitespace().last()?.parse().ok()
}

/// Takes the platform down until each node has started a poll that fails, then ends the outage and
/// applies a version at once. The earlier version stays in effect during the outage, and the new one
/// comes into effect in time. Two nodes only: in a larger fleet, the peers would pass the version to
/// a node that resumes its polls late.
fn outage_between_versions(outage: Outage) {
    let _slot = fleet::acquire_slot();
    let cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 2));
    let sampler = VersionSampler::start(&cluster);
    let operator = Operator::new(&cluster);
    for version in 2..5 {
        let before: Vec<_> = cluster.nodes().iter().map(polls).collect();
        cluster.platform().set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
        // A poll in flight when the outage began may have succeeded; the second one has failed.
        fleet::eventually("polls during the outage", || {
            let mut pairs = cluster.nodes().iter().zip(&before);
            pairs.all(|(node, before)| polls(node) >= before.map(|n| n + 2))
        });
        let serving = |node: &Node| node.is_ready() && node.version() == Some(version - 1);
        assert!(cluster.nodes().iter().all(serving), "a node stopped serving during the outage");
        cluster.platform().set_faults(PlatformFaults::default());
        let output = operator.apply("after-outage", &fleet::catalogue(version), version - 1);
        let accepted = Instant::now();
        assert_eq!(output.code, Some(0), "{}", output.stderr);
        fleet::wait_in_effect(
            &cluster,
            version,
            accepted,
            &format!("after an outage ({outage:?})"),
        );
    }
    sampler.check();
}

/// Guards against polls that resume too late after the platform refused connections.
#[test]
fn outage_refused() {
    outage_between_versions(Outage::Refused);
}

/// Guards against polls that stay blocked for too long after the platform hung.
#[test]
fn outage_hanging() {
    outage_between_versions(Outage::Hanging);
}

/// Guards against polls that resume too late after the platform responded with errors.
#[test]
fn outage_unavailable() {
    outage_between_versions(Outage::Unavailable);
}

/// Guards against slow convergence while each request to the platform takes 300 ms, also when half of
/// the fleet restarts meanwhile.
#[test]
fn slow_platform_with_restarts() {
    let _slot = fleet::acquire_slot();
    let mut cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 8));
    let sampler = VersionSampler::start(&cluster);
    let slow = PlatformFaults { latency_ms: (300, 300), ..PlatformFaults::default() };
    cluster.platform().set_faults(slow);
    let (version, accepted) = fleet::apply_numbered(&cluster, 2);
    fleet::wait_in_effect(&cluster, version, accepted, "slow platform");
    let half = [0, 1, 2, 3];
    cluster.kill_nodes(&half).expect("nodes are killed");
    sampler.record_kill(&half);
    let restarted = Instant::now();
    cluster.start_nodes(&half).expect("nodes start");
    fleet::wait_serving(&cluster, version, restarted, "half of the fleet, slow platform");
    let (version, accepted) = fleet::apply_numbered(&cluster, 3);
    fleet::wait_in_effect(&cluster, version, accepted, "slow platform after the restart");
    sampler.check();
}

/// Guards against a version that is accepted twice, or lost, when the responses to the operator's
/// writes are lost although the writes took effect.
#[test]
fn lost_answers() {
    let _slot = fleet::acquire_slot();
    let cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 4));
    let sampler = VersionSampler::start(&cluster);
    let operator = Operator::new(&cluster);
    // Each node writes a row after its start; the responses to these writes must not be lost.
    fleet::eventually("the rows of all nodes", || cluster.platform().rows("node/").len() == 4);
    for (base, lose_by) in [(1, LostBy::Close), (2, LostBy::Close), (3, LostBy::Silence)] {
        // The latency leaves time to drop the response to the write of the head, not of the body.
        let slow = PlatformFaults { latency_ms: (100, 100), ..PlatformFaults::default() };
        cluster.platform().set_faults(slow.clone());
        let bodies = || cluster.platform().object_names("catalogue/").len() as u64;
        let operator = operator.clone();
        let change = std::thread::spawn(move || {
            let output = operator.apply("lost-answers", &fleet::catalogue(base + 1), base);
            (output, Instant::now())
        });
        fleet::eventually("the body to be stored", || bodies() > base);
        let before = cluster.platform().counters().lost;
        cluster.platform().set_faults(PlatformFaults { lose_next: 1, lose_by, ..slow });
        let (output, accepted) = change.join().expect("the operator does not panic");
        assert_eq!(output.code, Some(0), "{} {}", output.stdout, output.stderr);
        assert_eq!(cluster.platform().counters().lost, before + 1, "one response is lost");
        fleet::wait_in_effect(
            &cluster,
            base + 1,
            accepted,
            &format!("responses lost by {lose_by:?}"),
        );
    }
    assert_eq!(cluster.platform().rows("history/").len(), 4, "each version is recorded once");
    sampler.check();
}
