//! Restarts of one node, of half, most or all of a fleet, with and without the platform.

mod common;

use std::time::Instant;

use common::cluster;
use common::fleet;
use common::fleet::Operator;
use common::fleet::VersionSampler;
use standins::platform::faults::Outage;
use standins::platform::faults::PlatformFaults;

fn platform_outage(outage: Outage) -> PlatformFaults {
    PlatformFaults { outage, ..PlatformFaults::default() }
}

/// Guards against a restarted node that serves an older version, or takes more than 3 s to serve,
/// while the platform is up.
#[test]
fn restarted_node_serves_newest_version() {
    let _slot = fleet::acquire_slot();
    let mut cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 4));
    let sampler = VersionSampler::start(&cluster);
    for node in 0..4 {
        let (version, _) = fleet::apply_numbered_catalogue(&cluster, 2 + node as u64);
        cluster.kill_nodes(&[node]).expect("the node is killed");
        sampler.record_kill(&[node]);
        let restarted_at = Instant::now();
        cluster.start_nodes(&[node]).expect("the node starts");
        fleet::wait_serving(&cluster, version, restarted_at, "single restart");
    }
    sampler.check();
}

/// Guards against restarted nodes that miss a version which is accepted while half of the fleet
/// starts.
#[test]
fn half_restarted_during_change_converges() {
    let _slot = fleet::acquire_slot();
    let mut cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 8));
    let sampler = VersionSampler::start(&cluster);
    let half_of_nodes = [1, 3, 5, 7];
    cluster.kill_nodes(&half_of_nodes).expect("nodes are killed");
    sampler.record_kill(&half_of_nodes);
    let operator = Operator::new(&cluster);
    let operator_thread = std::thread::spawn(move || {
        let output = operator.apply("during-restart", &fleet::catalogue(2), 1);
        (output, Instant::now())
    });
    let restarted_at = Instant::now();
    cluster.start_nodes(&half_of_nodes).expect("nodes start");
    let (output, accepted_at) = operator_thread.join().expect("the operator does not panic");
    assert_eq!(output.exit_code, Some(0), "{}", output.stderr);
    fleet::wait_serving(&cluster, 1, restarted_at, "half of the fleet");
    fleet::wait_in_effect(&cluster, 2, accepted_at, "change during the restart");
    sampler.check();
}

/// Guards against a restarted node that cannot determine its version floor, or find its peers,
/// without the platform.
#[test]
fn restarted_node_serves_without_platform() {
    let _slot = fleet::acquire_slot();
    let mut cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 8));
    let (version, accepted_at) = fleet::apply_numbered_catalogue(&cluster, 2);
    fleet::wait_in_effect(&cluster, version, accepted_at, "before the outage");
    let sampler = VersionSampler::start(&cluster);
    cluster.platform().set_faults(platform_outage(Outage::Refused));
    for node in [0, 5] {
        cluster.kill_nodes(&[node]).expect("the node is killed");
        sampler.record_kill(&[node]);
        let restarted_at = Instant::now();
        cluster.start_nodes(&[node]).expect("the node starts");
        fleet::wait_serving(&cluster, version, restarted_at, "single restart without the platform");
    }
    sampler.check();
}

/// Guards against a mass restart that cannot recover from the other nodes alone.
#[test]
fn half_restarted_serves_without_platform() {
    let _slot = fleet::acquire_slot();
    let mut cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 8));
    let (version, accepted_at) = fleet::apply_numbered_catalogue(&cluster, 2);
    fleet::wait_in_effect(&cluster, version, accepted_at, "before the outage");
    let sampler = VersionSampler::start(&cluster);
    cluster.platform().set_faults(platform_outage(Outage::Hanging));
    let half_of_nodes = [0, 2, 4, 6];
    cluster.kill_nodes(&half_of_nodes).expect("nodes are killed");
    sampler.record_kill(&half_of_nodes);
    let restarted_at = Instant::now();
    cluster.start_nodes(&half_of_nodes).expect("nodes start");
    fleet::wait_serving(&cluster, version, restarted_at, "half of the fleet without the platform");
    sampler.check();
}

/// Guards against restarted nodes that wait for responses from more peers than still have the
/// version: two of eight nodes keep running while the platform is down.
#[test]
fn most_restarted_serve_without_platform() {
    let _slot = fleet::acquire_slot();
    let mut cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 8));
    let (version, accepted_at) = fleet::apply_numbered_catalogue(&cluster, 2);
    fleet::wait_in_effect(&cluster, version, accepted_at, "before the outage");
    let sampler = VersionSampler::start(&cluster);
    cluster.platform().set_faults(platform_outage(Outage::Refused));
    let most_nodes = [0, 1, 2, 4, 5, 6];
    cluster.kill_nodes(&most_nodes).expect("nodes are killed");
    sampler.record_kill(&most_nodes);
    let restarted_at = Instant::now();
    cluster.start_nodes(&most_nodes).expect("nodes start");
    fleet::wait_serving(&cluster, version, restarted_at, "6 of 8 nodes without the platform");
    sampler.check();
}

/// Guards against nodes that serve a version although all of them restarted at once during an
/// outage of the platform, so that none can know the newest version; and against nodes that do not
/// serve after the outage.
#[test]
fn whole_fleet_restarted_waits_for_platform() {
    let _slot = fleet::acquire_slot();
    let mut cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 6));
    let (version, accepted_at) = fleet::apply_numbered_catalogue(&cluster, 2);
    fleet::wait_in_effect(&cluster, version, accepted_at, "before the outage");
    let sampler = VersionSampler::start(&cluster);
    cluster.platform().set_faults(platform_outage(Outage::Hanging));
    let all_nodes = [0, 1, 2, 3, 4, 5];
    cluster.kill_nodes(&all_nodes).expect("nodes are killed");
    sampler.record_kill(&all_nodes);
    cluster.start_nodes(&all_nodes).expect("nodes start");
    // The nodes are observed for longer than they wait for the table before they query peers for
    // their version floor.
    let started_at = Instant::now();
    while started_at.elapsed() < cluster::CONVERGENCE_BOUND {
        for node in cluster.nodes() {
            assert!(fleet::refuses_as_starting(node), "{} serves", node.spec().name);
            assert_eq!(node.version(), Some(0), "{}", node.spec().name);
        }
    }
    cluster.platform().set_faults(PlatformFaults::default());
    let recovered_at = Instant::now();
    fleet::wait_serving(&cluster, version, recovered_at, "whole fleet after the platform is back");
    sampler.check();
}
