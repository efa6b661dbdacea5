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

/// Returns the number of polls of the head row that a node has started; `None` if its metrics are
/// missing or do not contain the count.
fn poll_count(node: &Node) -> Option<u64> {
    let metrics = node.admin("/metrics")?;
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    let line = text.lines().find(|l| l.starts_with("ibis_distribution_polls_total"))?;
    line.split_whitespace().last()?.parse().ok()
}

/// Takes the platform down until each node has started a poll that fails, then ends the outage and
/// applies a version at once. Checks that the earlier version stays in effect during the outage and
/// that the new one comes into effect in time. The fleet has only two nodes: in a larger one, peers
/// would pass the version to a node that resumes its polls late.
fn check_version_after_outage(outage: Outage) {
    let _slot = fleet::acquire_slot();
    let cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 2));
    let sampler = VersionSampler::start(&cluster);
    let operator = Operator::new(&cluster);
    for version in 2..5 {
        let counts_before: Vec<_> = cluster.nodes().iter().map(poll_count).collect();
        cluster.platform().set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
        // The first poll counted from here on may have started before the outage and succeeded. The
        // second one starts during the outage and fails.
        fleet::eventually("polls during the outage", || {
            let mut pairs = cluster.nodes().iter().zip(&counts_before);
            pairs.all(|(node, before)| poll_count(node) >= before.map(|n| n + 2))
        });
        let is_serving = |node: &Node| node.is_ready() && node.version() == Some(version - 1);
        assert!(cluster.nodes().iter().all(is_serving), "a node stopped serving during the outage");
        cluster.platform().set_faults(PlatformFaults::default());
        let output = operator.apply("after-outage", &fleet::catalogue(version), version - 1);
        let accepted_at = Instant::now();
        assert_eq!(output.exit_code, Some(0), "{}", output.stderr);
        fleet::wait_in_effect(
            &cluster,
            version,
            accepted_at,
            &format!("after an outage ({outage:?})"),
        );
    }
    sampler.check();
}

/// Guards against polls that resume too late after the platform refused connections.
#[test]
fn polls_resume_after_refused_connections() {
    check_version_after_outage(Outage::Refused);
}

/// Guards against polls that stay blocked for too long after the platform hung.
#[test]
fn polls_resume_after_hanging_platform() {
    check_version_after_outage(Outage::Hanging);
}

/// Guards against polls that resume too late after the platform responded with errors.
#[test]
fn polls_resume_after_error_responses() {
    check_version_after_outage(Outage::Unavailable);
}

/// Guards against slow convergence while each request to the platform takes 300 ms, also when half
/// of the fleet restarts meanwhile.
#[test]
fn versions_converge_while_platform_is_slow() {
    let _slot = fleet::acquire_slot();
    let mut cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 8));
    let sampler = VersionSampler::start(&cluster);
    let slow_platform = PlatformFaults { latency_ms: (300, 300), ..PlatformFaults::default() };
    cluster.platform().set_faults(slow_platform);
    let (version, accepted_at) = fleet::apply_numbered_catalogue(&cluster, 2);
    fleet::wait_in_effect(&cluster, version, accepted_at, "slow platform");
    let half_of_nodes = [0, 1, 2, 3];
    cluster.kill_nodes(&half_of_nodes).expect("nodes are killed");
    sampler.record_kill(&half_of_nodes);
    let restarted_at = Instant::now();
    cluster.start_nodes(&half_of_nodes).expect("nodes start");
    fleet::wait_serving(&cluster, version, restarted_at, "half of the fleet, slow platform");
    let (version, accepted_at) = fleet::apply_numbered_catalogue(&cluster, 3);
    fleet::wait_in_effect(&cluster, version, accepted_at, "slow platform after the restart");
    sampler.check();
}

/// Guards against a version that is accepted twice, or lost, when the responses to the operator's
/// writes are lost although the writes took effect.
#[test]
fn lost_write_responses_keep_one_version() {
    let _slot = fleet::acquire_slot();
    let cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 4));
    let sampler = VersionSampler::start(&cluster);
    let operator = Operator::new(&cluster);
    // Each node writes a row after its start; the responses to these writes must not be lost.
    fleet::eventually("the rows of all nodes", || cluster.platform().rows("node/").len() == 4);
    for (base, lose_by) in [(1, LostBy::Close), (2, LostBy::Close), (3, LostBy::Silence)] {
        // The latency leaves time, after the body is stored, to set the loss of the next response:
        // the one to the write of the head.
        let delayed_platform =
            PlatformFaults { latency_ms: (100, 100), ..PlatformFaults::default() };
        cluster.platform().set_faults(delayed_platform.clone());
        let body_count = || cluster.platform().object_names("catalogue/").len() as u64;
        let operator = operator.clone();
        let operator_thread = std::thread::spawn(move || {
            let output = operator.apply("lost-answers", &fleet::catalogue(base + 1), base);
            (output, Instant::now())
        });
        fleet::eventually("the body to be stored", || body_count() > base);
        let lost_before = cluster.platform().counters().lost;
        cluster.platform().set_faults(PlatformFaults { lose_next: 1, lose_by, ..delayed_platform });
        let (output, accepted_at) = operator_thread.join().expect("the operator does not panic");
        assert_eq!(output.exit_code, Some(0), "{} {}", output.stdout, output.stderr);
        assert_eq!(cluster.platform().counters().lost, lost_before + 1, "one response is lost");
        fleet::wait_in_effect(
            &cluster,
            base + 1,
            accepted_at,
            &format!("responses lost by {lose_by:?}"),
        );
    }
    assert_eq!(cluster.platform().rows("history/").len(), 4, "each version is recorded once");
    sampler.check();
}
