//! Partitions between data centres, paused nodes, and the loss of the first node that read a
//! version.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::cluster;
use common::fleet;
use common::fleet::VersionSampler;
use standins::harness::Cluster;

/// Time in which a restarted node queries its peers several times for its floor, the lowest version
/// that it may serve.
const FLOOR_SEARCH_TIME: Duration = Duration::from_millis(1_500);

/// Returns the version in effect on each node of the data centre.
fn versions(cluster: &Cluster, data_centre: &str) -> Vec<Option<u64>> {
    let indices = cluster.in_data_centre(data_centre);
    indices.into_iter().map(|i| cluster.node(i).version()).collect()
}

/// Waits until the nodes on each side of the partition count those on the other side as dead, which
/// they do only after the suspicion timeout.
fn wait_until_other_side_dead(cluster: &Cluster, nodes_per_side: usize) {
    cluster
        .wait_members(nodes_per_side, cluster::WAIT_TIMEOUT)
        .expect("each side counts the other as dead");
}

/// Guards against a version that does not reach the side without the platform after the partition
/// between the data centres has healed, and against a version that crosses the partition.
#[test]
fn side_without_platform_catches_up_after_heal() {
    let _slot = fleet::acquire_slot();
    let cluster = fleet::start_cluster(fleet::relayed_builder(&[3, 3]));
    let sampler = VersionSampler::start(&cluster);
    cluster.partition_data_centres("erongo-1", "erongo-2").expect("relays");
    cluster.partition_from_platform("erongo-2").expect("relays");
    let mut last_version = 1;
    for number in 2..5 {
        (last_version, _) = fleet::apply_numbered_catalogue(&cluster, number);
    }
    let accepted_at = Instant::now();
    fleet::eventually("the version on the side with the platform", || {
        versions(&cluster, "erongo-1").iter().all(|v| *v == Some(last_version))
    });
    println!(
        "side with the platform: version {last_version} after {} ms",
        accepted_at.elapsed().as_millis()
    );
    assert!(
        accepted_at.elapsed() < cluster::CONVERGENCE_BOUND,
        "the side with the platform is late"
    );
    wait_until_other_side_dead(&cluster, 3);
    assert_eq!(versions(&cluster, "erongo-2"), [Some(1); 3], "the partition holds");
    assert!(cluster.nodes().iter().all(|node| node.is_ready()), "both sides serve");
    // The platform stays unreachable for this side, so that only peers can send it the version.
    for node in cluster.nodes() {
        let (udp, tcp) = (node.udp_relay().expect("relays"), node.tcp_relay().expect("relays"));
        udp.change_rules(|rules| rules.silent_sources.clear());
        tcp.change_rules(|rules| rules.silent_sources.clear());
    }
    fleet::wait_in_effect(&cluster, last_version, Instant::now(), "healed, platform on one side");
    sampler.check();
}

/// Guards against data centres with different versions in effect during a partition in which both
/// reach the platform, or after the partition has healed.
#[test]
fn platform_on_both_sides() {
    let _slot = fleet::acquire_slot();
    let cluster = fleet::start_cluster(fleet::relayed_builder(&[3, 3]));
    let sampler = VersionSampler::start(&cluster);
    cluster.partition_data_centres("erongo-1", "erongo-2").expect("relays");
    for number in 2..5 {
        let (version, accepted_at) = fleet::apply_numbered_catalogue(&cluster, number);
        fleet::wait_in_effect(&cluster, version, accepted_at, "partition, platform on both sides");
    }
    wait_until_other_side_dead(&cluster, 3);
    cluster.heal_partitions();
    let (version, accepted_at) = fleet::apply_numbered_catalogue(&cluster, 5);
    fleet::wait_in_effect(&cluster, version, accepted_at, "healed, platform on both sides");
    sampler.check();
}

/// Guards against the loss of a version that only one node had read before it was killed, and
/// against an older version in effect on that node when it restarts without the platform.
#[test]
fn killed_first_reader_returns_to_no_older_version() {
    let _slot = fleet::acquire_slot();
    let mut cluster = fleet::start_cluster(fleet::relayed_builder(&[1, 5]));
    let sampler = VersionSampler::start(&cluster);
    cluster.partition_from_platform("erongo-2").expect("relays");
    for number in 2..4 {
        let (version, _) = fleet::apply_numbered_catalogue(&cluster, number);
        fleet::eventually("the first reader", || cluster.node(0).version() == Some(version));
        cluster.kill_nodes(&[0]).expect("the node is killed");
        sampler.record_kill(&[0]);
        let killed_at = Instant::now();
        cluster.partition_from_platform("erongo-1").expect("relays");
        let peer_versions = versions(&cluster, "erongo-2");
        cluster.start_nodes(&[0]).expect("the node starts");
        let is_at_least = |v: Option<u64>| v.is_some_and(|v| v >= version);
        println!("versions of the peers at the kill of the first reader: {peer_versions:?}");
        if peer_versions.iter().any(|v| is_at_least(*v)) {
            // A peer has the version in effect, so that all nodes must recover without the
            // platform.
            fleet::wait_serving(
                &cluster,
                version,
                killed_at,
                "first reader restarted, peers alone",
            );
        } else {
            // No peer has the version in effect, so that the restarted node must not serve an older
            // one while the platform is unreachable.
            let knows_all_members = || cluster.node(0).members() == Some(6);
            fleet::eventually("the restarted node to discover its peers", knows_all_members);
            let started_at = Instant::now();
            while started_at.elapsed() < FLOOR_SEARCH_TIME {
                let current_version = cluster.node(0).version();
                assert!(
                    current_version == Some(0) || is_at_least(current_version),
                    "{current_version:?} after {version}"
                );
            }
        }
        let relay = cluster.platform_relay().expect("relays");
        relay.change_rules(|rules| rules.silent_sources.clear());
        fleet::wait_serving(&cluster, version, Instant::now(), "platform back");
        cluster.partition_from_platform("erongo-2").expect("relays");
    }
    sampler.check();
}

/// Guards against a node that was paused for longer than leases and suspicion timeouts and then
/// serves an old version for too long, or declares its peers dead because it received no acks
/// meanwhile.
#[test]
fn paused_node_catches_up() {
    let _slot = fleet::acquire_slot();
    let mut cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 4));
    let sampler = VersionSampler::start(&cluster);
    cluster.pause_node(3).expect("the node is paused");
    let mut last_version = 1;
    for number in 2..6 {
        let (version, accepted_at) = fleet::apply_numbered_catalogue(&cluster, number);
        fleet::wait_in_effect(&cluster, version, accepted_at, "while a node is paused");
        last_version = version;
    }
    cluster.wait_members(3, cluster::WAIT_TIMEOUT).expect("the paused node counts as dead");
    cluster.resume_node(3).expect("the node is resumed");
    let resumed_at = Instant::now();
    fleet::wait_in_effect(&cluster, last_version, resumed_at, "after the pause");
    let remaining_time = cluster::CONVERGENCE_BOUND.saturating_sub(resumed_at.elapsed());
    let rejoined = cluster.wait_members(4, remaining_time);
    println!("paused node is a member again after {} ms", resumed_at.elapsed().as_millis());
    rejoined.expect("the paused node is a member again in time");
    let (version, accepted_at) = fleet::apply_numbered_catalogue(&cluster, 6);
    fleet::wait_in_effect(&cluster, version, accepted_at, "change after the pause");
    sampler.check();
}
