//! Data centres cut from each other, and the loss of the node that saw a version first.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::cluster;
use common::fleet;
use common::fleet::VersionSampler;
use standins::harness::Cluster;

/// Several rounds of a restarted node's questions for the floor.
const FLOOR_SEARCH: Duration = Duration::from_millis(1_500);

fn versions(cluster: &Cluster, data_centre: &str) -> Vec<Option<u64>> {
    let indices = cluster.in_data_centre(data_centre);
    indices.into_iter().map(|i| cluster.node(i).version()).collect()
}

/// Waits until each side counts the other as dead, which takes longer than suspicion.
fn wait_separated(cluster: &Cluster, side: usize) {
    cluster.wait_members(side, cluster::WAIT_TIMEOUT).expect("each side counts the other as dead");
}

/// Guards against a version that does not cross to the other side after a partition, during which
/// only one side reached the platform, or that the cut-off side gets otherwise.
#[test]
fn platform_on_one_side() {
    let _slot = fleet::acquire_slot();
    let cluster = fleet::start_cluster(fleet::relayed(&[3, 3]));
    let sampler = VersionSampler::start(&cluster);
    cluster.partition("erongo-1", "erongo-2").expect("relays");
    cluster.partition_platform("erongo-2").expect("relays");
    let mut last = 1;
    for number in 2..5 {
        (last, _) = fleet::apply_numbered(&cluster, number);
    }
    let accepted = Instant::now();
    fleet::eventually("the side with the platform", || {
        versions(&cluster, "erongo-1").iter().all(|v| *v == Some(last))
    });
    println!("reachable side: version {last} after {} ms", accepted.elapsed().as_millis());
    assert!(accepted.elapsed() < cluster::CONVERGENCE_BOUND, "the reachable side is late");
    wait_separated(&cluster, 3);
    assert_eq!(versions(&cluster, "erongo-2"), [Some(1); 3], "the partition holds");
    assert!(cluster.nodes().iter().all(|node| node.is_ready()), "both sides serve");
    // Only the peers can tell the cut-off side: the platform stays silent for it.
    for node in cluster.nodes() {
        let (udp, tcp) = (node.udp_relay().expect("relays"), node.tcp_relay().expect("relays"));
        udp.change_rules(|rules| rules.silent_sources.clear());
        tcp.change_rules(|rules| rules.silent_sources.clear());
    }
    fleet::wait_in_effect(&cluster, last, Instant::now(), "healed, platform on one side");
    sampler.check();
}

/// Guards against two sides that disagree while both reach the platform, and after the partition.
#[test]
fn platform_on_both_sides() {
    let _slot = fleet::acquire_slot();
    let cluster = fleet::start_cluster(fleet::relayed(&[3, 3]));
    let sampler = VersionSampler::start(&cluster);
    cluster.partition("erongo-1", "erongo-2").expect("relays");
    for number in 2..5 {
        let (version, accepted) = fleet::apply_numbered(&cluster, number);
        fleet::wait_in_effect(&cluster, version, accepted, "partition, platform on both sides");
    }
    wait_separated(&cluster, 3);
    cluster.heal();
    let (version, accepted) = fleet::apply_numbered(&cluster, 5);
    fleet::wait_in_effect(&cluster, version, accepted, "healed, platform on both sides");
    sampler.check();
}

/// Guards against a node that returns to an older version when it alone saw the newest one, was
/// killed at once, and starts again without the platform; and against a version that dies with it.
#[test]
fn first_reader_killed() {
    let _slot = fleet::acquire_slot();
    let mut cluster = fleet::start_cluster(fleet::relayed(&[1, 5]));
    let sampler = VersionSampler::start(&cluster);
    cluster.partition_platform("erongo-2").expect("relays");
    for number in 2..4 {
        let (version, _) = fleet::apply_numbered(&cluster, number);
        fleet::eventually("the first reader", || cluster.node(0).version() == Some(version));
        cluster.kill_nodes(&[0]).expect("the node is killed");
        sampler.record_kill(&[0]);
        let killed = Instant::now();
        cluster.partition_platform("erongo-1").expect("relays");
        let peers = versions(&cluster, "erongo-2");
        cluster.start_nodes(&[0]).expect("the node starts");
        let has_version = |v: Option<u64>| v.is_some_and(|v| v >= version);
        println!("versions of the peers at the kill of the first reader: {peers:?}");
        if peers.iter().any(|v| has_version(*v)) {
            // A peer has the body: all recover without the platform.
            fleet::wait_serving(&cluster, version, killed, "first reader restarted, peers alone");
        } else {
            // No peer has the body: the restarted node must wait, not serve what the peers have.
            let members = || cluster.node(0).members() == Some(6);
            fleet::eventually("the restarted node knows its peers", members);
            let since = Instant::now();
            while since.elapsed() < FLOOR_SEARCH {
                let now = cluster.node(0).version();
                assert!(now == Some(0) || has_version(now), "{now:?} after {version}");
            }
        }
        let relay = cluster.platform_relay().expect("relays");
        relay.change_rules(|rules| rules.silent_sources.clear());
        fleet::wait_serving(&cluster, version, Instant::now(), "platform back");
        cluster.partition_platform("erongo-2").expect("relays");
    }
    sampler.check();
}

/// Guards against a node that was paused for longer than leases and suspicion and then serves an
/// old version for long, or judges its peers by the time it missed.
#[test]
fn paused_node() {
    let _slot = fleet::acquire_slot();
    let mut cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 4));
    let sampler = VersionSampler::start(&cluster);
    cluster.pause_node(3).expect("the node is paused");
    let mut last = 1;
    for number in 2..6 {
        let (version, accepted) = fleet::apply_numbered(&cluster, number);
        fleet::wait_in_effect(&cluster, version, accepted, "while a node is paused");
        last = version;
    }
    cluster.wait_members(3, cluster::WAIT_TIMEOUT).expect("the paused node counts as dead");
    cluster.resume_node(3).expect("the node is resumed");
    let resumed = Instant::now();
    fleet::wait_in_effect(&cluster, last, resumed, "after the pause");
    let left = cluster::CONVERGENCE_BOUND.saturating_sub(resumed.elapsed());
    let back = cluster.wait_members(4, left);
    println!("paused node is a member again after {} ms", resumed.elapsed().as_millis());
    back.expect("the paused node is a member again in time");
    let (version, accepted) = fleet::apply_numbered(&cluster, 6);
    fleet::wait_in_effect(&cluster, version, accepted, "change after the pause");
    sampler.check();
}
