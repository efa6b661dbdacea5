//! Properties of membership under lost, duplicated and delayed datagrams, pauses, restarts and
//! partitions.

#[path = "support/member_net.rs"]
#[allow(dead_code)]
mod member_net;

use ibisroute::membership::record::MemberView;
use ibisroute::membership::record::Status;
use ibisroute::membership::record::TargetState;
use ibisroute::membership::state::Event;
use member_net::SimulatedNetwork;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;
use rand::Rng;

/// Checks a property for a fixed sequence of seeds; quickcheck prints the failing seed.
fn check(tests: u64, property: fn(u64) -> TestResult) {
    QuickCheck::new().rng(Gen::from_size_and_seed(50, 7)).tests(tests).quickcheck(property);
}

/// Returns a simulated fleet of 3 to 12 nodes that have joined. `loss` is the fraction of datagrams
/// that are lost.
fn joined_fleet(seed: u64, loss: f64) -> SimulatedNetwork {
    SimulatedNetwork::settled(seed, 3 + (seed % 10) as usize, loss)
}

/// Returns the number of ready targets of the node in the view; 0 unless the node is live.
fn ready_targets(view: &MemberView, node: &str) -> usize {
    let member = view.live().find(|m| m.node.as_str() == node);
    let targets = member.map(|m| m.targets.as_slice()).unwrap_or_default();
    targets.iter().filter(|t| t.state == TargetState::Ready).count()
}

fn test_result(net: &SimulatedNetwork, seed: u64, failure: &str, passed: bool) -> TestResult {
    if passed {
        return TestResult::passed();
    }
    TestResult::error(format!("seed {seed}, {} nodes, at {}: {failure}", net.nodes.len(), net.now))
}

/// Guards against nodes that have not discovered all members of the fleet 10 s after the start,
/// when 10% of the datagrams are lost.
#[test]
fn views_agree_after_join() {
    fn property(seed: u64) -> TestResult {
        let net = joined_fleet(seed, 0.1);
        test_result(&net, seed, "views differ 10 s after the start", net.views_agree())
    }
    check(30, property);
}

/// Guards against new calls to a node that has left: its targets must not count as ready after 3 s.
#[test]
fn targets_of_left_node_are_not_ready() {
    fn property(seed: u64) -> TestResult {
        let mut net = joined_fleet(seed, 0.2);
        net.event(0, Event::Leave);
        net.run_for(500);
        net.stop(0);
        net.run_for(2_500);
        let no_longer_ready = (1..net.nodes.len())
            .all(|i| net.view(i).is_some_and(|view| ready_targets(&view, "node-00") == 0));
        test_result(
            &net,
            seed,
            "a target of the leaving node still counts as ready",
            no_longer_ready,
        )
    }
    check(40, property);
}

/// Guards against new calls to a draining target of a node that stays: the target must not count as
/// ready after 3 s.
#[test]
fn draining_target_is_not_ready() {
    fn property(seed: u64) -> TestResult {
        let mut net = joined_fleet(seed, 0.2);
        let draining = vec![member_net::target(0, TargetState::Draining)];
        net.event(0, Event::LocalTargets(draining));
        net.run_for(3_000);
        let no_longer_ready = (0..net.nodes.len())
            .all(|i| net.view(i).is_some_and(|view| ready_targets(&view, "node-00") == 0));
        test_result(&net, seed, "the draining target still counts as ready", no_longer_ready)
    }
    check(40, property);
}

/// Guards against a resumed process that takes the acks it missed during its own pause as failures
/// of its peers.
#[test]
fn resumed_node_declares_no_peer_dead() {
    fn property(seed: u64) -> TestResult {
        let mut net = joined_fleet(seed, 0.1);
        net.set_paused(0, true);
        let pause_ms = net.rng.random_range(1_500..20_000);
        net.run_for(pause_ms);
        net.set_paused(0, false);
        // The resumed node processes this tick before any peer can respond.
        net.event(0, Event::Tick);
        let view = net.view(0).expect("running node");
        let dead_count = view.members.iter().filter(|m| m.status == Status::Dead).count();
        if dead_count > 0 {
            return test_result(&net, seed, "the resumed node declared peers dead at once", false);
        }
        for _ in 0..50 {
            net.run_for(100);
            let view = net.view(0).expect("running node");
            if view.members.iter().any(|m| m.status == Status::Dead) {
                return test_result(&net, seed, "the resumed node declared a peer dead", false);
            }
        }
        net.run_for(15_000);
        let passed = net.views_agree();
        test_result(&net, seed, "views differ 20 s after the resume", passed)
    }
    check(40, property);
}

/// Guards against suspicions that expire while the process that suspects its peers is paused.
#[test]
fn suspicions_do_not_expire_during_pause() {
    fn property(seed: u64) -> TestResult {
        let mut net = joined_fleet(seed, 0.0);
        net.set_partition(0, 1);
        let has_suspect = |net: &SimulatedNetwork| {
            let view = net.view(0).expect("running node");
            view.members.iter().any(|m| m.status == Status::Suspect)
        };
        for _ in 0..100 {
            net.run_for(100);
            if has_suspect(&net) {
                break;
            }
        }
        if !has_suspect(&net) {
            return test_result(&net, seed, "the partitioned node suspects no peer", false);
        }
        net.set_paused(0, true);
        net.set_partition(0, 0);
        net.run_for(30_000);
        net.set_paused(0, false);
        net.event(0, Event::Tick);
        let view = net.view(0).expect("running node");
        let dead = view.members.iter().any(|m| m.status == Status::Dead);
        test_result(&net, seed, "the resumed node declared a peer dead at once", !dead)
    }
    check(20, property);
}

/// Guards against a change that is disseminated only in the datagrams of probes, which takes longer
/// than the limit of 3 s in a fleet of the intended size. A fleet of 40 nodes needs fewer hops, so
/// its limit is 1.2 s.
#[test]
fn draining_target_is_not_ready_in_large_fleet() {
    fn property(seed: u64) -> TestResult {
        let mut net = SimulatedNetwork::settled(seed, 40, 0.1);
        let draining = vec![member_net::target(0, TargetState::Draining)];
        net.event(0, Event::LocalTargets(draining));
        net.run_for(1_200);
        let late_nodes = (0..net.nodes.len())
            .filter(|i| net.view(*i).is_none_or(|view| ready_targets(&view, "node-00") > 0));
        let late_count = late_nodes.count();
        test_result(&net, seed, &format!("still ready at {late_count} nodes"), late_count == 0)
    }
    check(6, property);
}

/// Guards against a crashed node that stays live in the views, and against records kept for ever.
#[test]
fn crashed_node_is_declared_dead_and_dropped() {
    fn property(seed: u64) -> TestResult {
        let mut net = joined_fleet(seed, 0.1);
        net.stop(0);
        net.run_for(40_000);
        if !net.views_agree() {
            return test_result(&net, seed, "the crashed node is live 40 s later", false);
        }
        net.run_for(620_000);
        let is_dropped = (1..net.nodes.len())
            .all(|i| net.view(i).is_some_and(|v| v.members.len() == net.nodes.len() - 1));
        test_result(&net, seed, "the record of the crashed node was kept", is_dropped)
    }
    check(4, property);
}

/// Guards against a restarted host that is not discovered because it cannot reach the table, also
/// when its clock is behind the one of the previous process.
#[test]
fn restarted_node_is_discovered_by_peers() {
    fn property(seed: u64) -> TestResult {
        let mut net = joined_fleet(seed, 0.1);
        net.stop(0);
        let downtime_ms = net.rng.random_range(200..30_000);
        net.run_for(downtime_ms);
        let incarnation = net.rng.random_range(1..3_000);
        net.start(0, incarnation);
        net.run_for(20_000);
        let passed = net.views_agree();
        test_result(&net, seed, "the restarted node was not discovered by its peers", passed)
    }
    check(40, property);
}

/// Guards against groups that stay separate after a partition has healed.
#[test]
fn partitioned_groups_rejoin() {
    fn property(seed: u64) -> TestResult {
        let mut net = joined_fleet(seed, 0.1);
        let group_size = net.nodes.len() / 2;
        (0..group_size).for_each(|i| net.set_partition(i, 1));
        let duration_ms = net.rng.random_range(20_000..120_000);
        net.run_for(duration_ms);
        if (0..group_size).any(|i| net.view(i).is_some_and(|v| v.live().count() > group_size)) {
            return test_result(&net, seed, "the partition was not detected", false);
        }
        (0..group_size).for_each(|i| net.set_partition(i, 0));
        net.run_for(20_000);
        let passed = net.views_agree();
        test_result(&net, seed, "the groups did not rejoin", passed)
    }
    check(12, property);
}

/// Guards against any sequence of failures after which the views do not converge.
#[test]
fn views_agree_after_random_failures() {
    fn property(seed: u64) -> TestResult {
        let mut net = joined_fleet(seed, 0.2);
        for round in 0..20 {
            let node = net.rng.random_range(0..net.nodes.len());
            match net.rng.random_range(0..6) {
                0 => net.set_paused(node, true),
                1 => net.set_paused(node, false),
                2 => net.stop(node),
                3 if net.nodes[node].is_none() => {
                    net.start(node, 1_000 + net.now);
                    let peer = net.rng.random_range(0..net.nodes.len());
                    net.join(node, peer);
                }
                4 => net.set_partition(node, round % 2),
                _ => {
                    let targets = vec![member_net::target(node, TargetState::Draining)];
                    net.event(node, Event::LocalTargets(targets));
                }
            }
            let interval_ms = net.rng.random_range(10..4_000);
            net.run_for(interval_ms);
        }
        for node in 0..net.nodes.len() {
            net.set_partition(node, 0);
            net.set_paused(node, false);
            if net.nodes[node].is_none() {
                net.start(node, 1_000 + net.now);
                let peer = (node + 1) % net.nodes.len();
                net.join(node, peer);
            }
        }
        net.loss_probability = 0.05;
        net.run_for(60_000);
        let passed = net.views_agree();
        test_result(&net, seed, "views differ 60 s after the last failure", passed)
    }
    check(20, property);
}
