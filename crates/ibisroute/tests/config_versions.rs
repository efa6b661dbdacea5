//! Properties of distribution under lost, duplicated and delayed messages, pauses, restarts and
//! outages.

#[path = "support/config_net.rs"]
#[allow(dead_code)]
mod config_net;

use std::net::SocketAddr;
use std::sync::Arc;

use config_net::SimulatedNetwork;
use ibisroute::distribution::distribution_settings::DistributionSettings;
use ibisroute::distribution::state::Action;
use ibisroute::distribution::state::Event;
use ibisroute::distribution::state::FetchError;
use ibisroute::distribution::state::Peer;
use ibisroute::distribution::state::Source;
use ibisroute::distribution::state::State;
use ibisroute::types::ConfigVersion;
use ibisroute::types::Digest;
use ibisroute::types::Head;
use ibisroute::types::Millis;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;
use rand::Rng;

/// Checks a property for a fixed sequence of seeds; quickcheck prints the failing seed.
fn check(tests: u64, property: fn(u64) -> TestResult) {
    QuickCheck::new().rng(Gen::from_size_and_seed(50, 5)).tests(tests).quickcheck(property);
}

/// Returns a simulated fleet of 3 to 12 nodes. `loss` is the fraction of datagrams that are lost.
fn random_fleet(seed: u64, loss: f64) -> SimulatedNetwork {
    SimulatedNetwork::new(seed, 3 + (seed % 10) as usize, loss)
}

fn test_result(net: &SimulatedNetwork, seed: u64, failure: &str, passed: bool) -> TestResult {
    let count = net.nodes.len();
    if let Some(violation) = net.violations.first() {
        return TestResult::error(format!("seed {seed}, {count} nodes: {violation}"));
    }
    if passed {
        return TestResult::passed();
    }
    let applied: Vec<_> =
        net.nodes.iter().map(|n| n.as_ref().and_then(|n| n.applied).map(|h| h.version.0)).collect();
    let now = net.now;
    TestResult::error(format!(
        "seed {seed}, {count} nodes, at {now}: {failure}; applied {applied:?}"
    ))
}

/// Guards against a node that does not serve an accepted version within 3 s.
#[test]
fn accepted_head_converges() {
    fn property(seed: u64) -> TestResult {
        let mut net = random_fleet(seed, (seed % 21) as f64 / 100.0);
        net.publish(true);
        net.run_for(3_000);
        for _ in 0..5 {
            let head = net.publish(true);
            net.run_for(3_000);
            if !net.all_serve(head) {
                return test_result(&net, seed, "a node does not serve the head within 3 s", false);
            }
        }
        test_result(&net, seed, "", true)
    }
    check(60, property);
}

/// Guards against a head that reaches only the nodes that can read the table themselves: the
/// platform is unreachable for all nodes but one, and all must serve within 3 s.
#[test]
fn head_spreads_from_the_only_table_reader() {
    fn property(seed: u64) -> TestResult {
        let mut net = random_fleet(seed, (seed % 21) as f64 / 100.0);
        net.publish(true);
        net.run_for(3_000);
        net.platform.only_reachable_from = Some(0);
        for _ in 0..3 {
            let head = net.publish(true);
            net.run_for(3_000);
            if !net.all_serve(head) {
                return test_result(&net, seed, "a node does not serve the head within 3 s", false);
            }
        }
        test_result(&net, seed, "", true)
    }
    check(60, property);
}

/// Guards against a restarted node that serves an old head from a peer before it knows its floor,
/// the lowest version that it may serve, and against any sequence of events that lowers the
/// version. Version 5 was in effect before the restart; peers announce versions from 1 up.
#[test]
fn floor_holds_in_any_order() {
    fn property(events: Vec<(u8, u8)>) -> TestResult {
        let body_of = |version: u64| format!("good {version}").into_bytes();
        let head = |version: u64| Head {
            version: ConfigVersion(version),
            digest: Digest::of(&body_of(version)),
        };
        let addr = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let peers = (0..5).map(|i| Peer {
            node: format!("node-{i}").parse().expect("node id"),
            control_addr: addr(10_000 + i),
            peer_addr: addr(20_000 + i),
        });
        let mut state = State::new(DistributionSettings::default(), 1);
        let mut now = 0;
        let mut applied_version = 5;
        let mut queue = vec![Event::Peers(peers.collect())];
        for (kind, n) in events {
            now += u64::from(n % 50);
            let peer = addr(20_000 + u16::from(n % 5));
            let any_head = head(u64::from(n % 8) + 1);
            queue.push(match kind % 6 {
                0 => Event::PeerHead { head: any_head, peer_addr: Some(peer) },
                1 => Event::Notice { head: any_head, control_addr: addr(10_000), peer_addr: peer },
                2 => Event::Acknowledged(any_head),
                // The table and the peers that report a floor know version 5 at least.
                3 if n % 4 == 0 => Event::TableHead(Some(head(5 + u64::from(n % 3)))),
                3 => Event::TableFailed,
                4 if n % 4 == 0 => Event::FloorResponse { peer_addr: peer, head: Some(head(5)) },
                _ => Event::Tick,
            });
            while let Some(event) = queue.pop() {
                for action in state.step(Millis(now), event) {
                    match action {
                        Action::Fetch { head, source, .. } => {
                            let body = Ok(Arc::from(body_of(head.version.0)));
                            queue.push(Event::Fetched { head, source, body });
                        }
                        Action::Compile { head, .. } => {
                            queue.push(Event::Compiled { head, result: Ok(()) });
                        }
                        Action::Apply(head) if head.version.0 < applied_version => {
                            let version = head.version;
                            return TestResult::error(format!(
                                "{version} applied after {applied_version}"
                            ));
                        }
                        Action::Apply(head) => applied_version = head.version.0,
                        _ => {}
                    }
                }
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 9))
        .tests(2_000)
        .quickcheck(property as fn(Vec<(u8, u8)>) -> TestResult);
}

/// Guards against a fleet that does not serve within 3 s after a mass restart, also while the
/// platform is slow.
#[test]
fn mass_restart_converges() {
    fn property(seed: u64) -> TestResult {
        let mut net = random_fleet(seed, 0.1);
        let head = net.publish(true);
        net.run_for(3_000);
        net.platform.latency_ms = [5, 1_000][(seed % 2) as usize];
        for index in 0..net.nodes.len() {
            net.stop(index);
            net.start(index);
        }
        net.run_for(3_000);
        let passed = net.all_serve(head);
        test_result(&net, seed, "a restarted node does not serve", passed)
    }
    check(60, property);
}

/// Guards against a restarted node that waits for the table while it is down, although peers know
/// the floor.
#[test]
fn restarted_node_serves_without_table() {
    fn property(seed: u64) -> TestResult {
        let mut net = random_fleet(seed, 0.1);
        let head = net.publish(true);
        net.run_for(5_000);
        net.platform.down = true;
        net.stop(0);
        net.run_for(500);
        net.start(0);
        net.run_for(3_000);
        let passed = net.all_serve(head);
        test_result(&net, seed, "the restarted node does not serve", passed)
    }
    check(60, property);
}

/// Guards against a version that decreases on a node after restarts, outages or old heads from
/// peers. Paused nodes resume with an old head, which they send to nodes that restart.
#[test]
fn versions_never_decrease() {
    fn property(seed: u64) -> TestResult {
        let mut net = random_fleet(seed, 0.2);
        net.publish(true);
        net.run_for(3_000);
        for _ in 0..30 {
            let node = net.rng.random_range(0..net.nodes.len());
            match net.rng.random_range(0..8) {
                0 => net.set_paused(node, true),
                1 => (0..net.nodes.len()).for_each(|i| net.set_paused(i, false)),
                2 | 3 => {
                    net.stop(node);
                    net.run_for(500);
                    (0..net.nodes.len()).for_each(|i| net.set_paused(i, false));
                    net.start(node);
                    net.send_oldest_head_to(node);
                }
                4 => net.platform.down = !net.platform.down,
                5 => net.platform.latency_ms = [5, 300, 2_000][net.rng.random_range(0..3)],
                _ => {
                    let valid = net.rng.random_bool(0.8);
                    net.publish(valid);
                }
            }
            let interval_ms = net.rng.random_range(10..3_000);
            net.run_for(interval_ms);
        }
        net.platform.down = false;
        net.platform.latency_ms = 5;
        (0..net.nodes.len()).for_each(|i| net.set_paused(i, false));
        let head = net.publish(true);
        net.run_for(5_000);
        let passed = net.all_serve(head);
        test_result(&net, seed, "a node does not serve the last version", passed)
    }
    check(60, property);
}

/// Guards against an invalid version that is applied, as a whole or in part, or that blocks the
/// next valid one. The simulated network damages some of the bodies from peers.
#[test]
fn invalid_version_is_rejected() {
    fn property(seed: u64) -> TestResult {
        let mut net = random_fleet(seed, 0.1);
        net.damage_probability = 0.3;
        let valid_head = net.publish(true);
        net.run_for(3_000);
        let invalid_head = net.publish(false);
        net.run_for(3_000);
        if !net.all_serve(valid_head) {
            return test_result(&net, seed, "the previous version is not in effect", false);
        }
        let is_reported = net.nodes.iter().flatten().all(|n| {
            n.state
                .status()
                .rejected
                .is_some_and(|(h, reason)| h == invalid_head && !reason.is_empty())
        });
        if !is_reported {
            return test_result(&net, seed, "the rejected version is not reported", false);
        }
        // A restarted node reads the invalid version from the table, and serves the previous one.
        net.stop(0);
        net.start(0);
        net.run_for(5_000);
        if !net.all_serve(valid_head) {
            return test_result(
                &net,
                seed,
                "a restarted node does not serve the previous version",
                false,
            );
        }
        let next_head = net.publish(true);
        net.run_for(4_000);
        let passed = net.all_serve(next_head);
        test_result(&net, seed, "the next version is not in effect", passed)
    }
    check(40, property);
}

/// Guards against two catalogues with the same version: a head with another digest than the first
/// one of its version is ignored.
#[test]
fn second_digest_of_a_version_is_ignored() {
    let mut net = SimulatedNetwork::new(3, 3, 0.0);
    let head = net.publish(true);
    net.run_for(3_000);
    let conflicting_head = Head { digest: net.platform.store(b"good other"), ..head };
    net.event(0, Event::PeerHead { head: conflicting_head, peer_addr: None });
    for _ in 0..150 {
        net.run_for(20);
        assert!(net.all_serve(head), "seed 3: the head in effect was replaced");
    }
    let next_head = net.publish(true);
    net.run_for(3_000);
    assert!(net.all_serve(next_head), "seed 3: a higher version was not accepted afterwards");
}

/// Guards against a node that fetches a body from random peers first: the peers that announced the
/// head have the body earlier.
#[test]
fn announcers_are_queried_before_other_peers() {
    let addr = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mut state = State::new(DistributionSettings::default(), 7);
    let peer = |n: u16| Peer {
        node: format!("n{n}").parse().expect("a node id"),
        control_addr: addr(1000 + n),
        peer_addr: addr(2000 + n),
    };
    state.step(Millis(0), Event::Peers((1..=40).map(peer).collect()));
    state.step(Millis(0), Event::TableHead(None));
    let head = Head { version: ConfigVersion(1), digest: Digest::of(b"body") };
    let mut queried = Vec::new();
    for announcer in [1, 2] {
        let (control_addr, peer_addr) = (addr(1000 + announcer), addr(2000 + announcer));
        let notice = Event::Notice { head, control_addr, peer_addr };
        queried.extend(fetches(state.step(Millis(0), notice)));
    }
    let mut answered_count = 0;
    for now in 0..700 {
        if let Some(source) = queried.get(answered_count).copied() {
            answered_count += 1;
            let body = Err(FetchError::Unavailable);
            queried.extend(fetches(state.step(Millis(now), Event::Fetched { head, source, body })));
        }
        queried.extend(fetches(state.step(Millis(now), Event::Tick)));
    }
    let (first_announcer, second_announcer) = (Source::Peer(addr(2001)), Source::Peer(addr(2002)));
    assert!(queried.len() >= 6, "only {queried:?} were queried");
    for (n, source) in queried.iter().enumerate() {
        let expected = if n % 2 == 0 { first_announcer } else { second_announcer };
        assert_eq!(*source, expected, "fetch {n} of {queried:?}");
    }
}

fn fetches(actions: Vec<Action>) -> Vec<Source> {
    let fetch = |action| match action {
        Action::Fetch { source, .. } => Some(source),
        _ => None,
    };
    actions.into_iter().filter_map(fetch).collect()
}
