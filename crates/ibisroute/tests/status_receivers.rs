//! Receivers of statuses and greetings in fleets of up to 300 nodes.

use std::collections::BTreeSet;

use ibisroute::mesh::dissemination;
use ibisroute::mesh::dissemination::DisseminationSettings;
use ibisroute::mesh::dissemination::Occasion;
use ibisroute::mesh::dissemination::Receivers;
use ibisroute::mesh::dissemination::SentStatus;
use ibisroute::mesh::frames;
use ibisroute::mesh::frames::Frame;
use ibisroute::mesh::frames::Status;
use ibisroute::mesh::replicated_rows::RowVersion;
use ibisroute::mesh::replicated_rows::RowsSummary;
use ibisroute::mesh::slot_queue::Load;
use ibisroute::types::NodeId;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Sizes of the fleets, without the node that sends.
const FLEETS: [usize; 4] = [10, 30, 100, 300];

fn node_names(count: usize) -> Vec<NodeId> {
    (0..count).map(|i| format!("node-{i:03}").parse().expect("valid name")).collect()
}

fn receivers(occasion: Occasion, peers: &[NodeId], rng: &mut SmallRng) -> Receivers {
    let cfg = DisseminationSettings::default();
    let evaluators = dissemination::evaluators(peers.iter(), peers.len(), &cfg);
    dissemination::receivers(occasion, peers, &evaluators, rng, &cfg)
}

/// Guards against statuses of which each node sends one to all others whenever rows arrive: 300 nodes sent
/// 90,000 for each change of the configuration.
#[test]
fn received_rows() {
    let mut rng = SmallRng::seed_from_u64(1);
    let cfg = DisseminationSettings::default();
    for count in FLEETS {
        let receivers = receivers(Occasion::RowsReceived, &node_names(count), &mut rng);
        let sent = receivers.with_evidence.len() + receivers.without_evidence.len();
        let expected = if count <= cfg.small_fleet { count } else { cfg.fan_out };
        assert_eq!(sent, expected, "{count} peers");
    }
}

/// Guards against a node that the push missed and that no other node tells of the new rows, while a few nodes
/// know them.
#[test]
fn missed_rows() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let peers = node_names(300);
        let mut informed = BTreeSet::new();
        // All but three nodes got the push and tell some random peers.
        for _ in 0..297 {
            let receivers = receivers(Occasion::RowsReceived, &peers, &mut rng);
            informed.extend(receivers.with_evidence);
            informed.extend(receivers.without_evidence);
        }
        let missed = peers.iter().rev().take(3).filter(|p| !informed.contains(*p)).count();
        assert_eq!(missed, 0, "seed {seed}");
    }
}

/// Guards against evidence, the longest part of a status, that goes to all nodes of a large fleet, and against
/// a change that does not reach all.
#[test]
fn evidence_and_changes() {
    let mut rng = SmallRng::seed_from_u64(2);
    let cfg = DisseminationSettings::default();
    for count in FLEETS {
        let peers = node_names(count);
        let judged_by = if count <= cfg.small_fleet { count } else { cfg.evaluators };
        let change = receivers(Occasion::Change, &peers, &mut rng);
        assert_eq!(change.with_evidence.len(), judged_by, "{count} peers");
        assert_eq!(change.without_evidence.len(), count - judged_by, "{count} peers");
        let evidence = receivers(Occasion::Evidence, &peers, &mut rng);
        assert_eq!(evidence.with_evidence.len(), judged_by, "{count} peers");
        assert!(evidence.without_evidence.is_empty(), "{count} peers");
    }
}

/// Guards against periodic statuses that repeat to 300 peers what they know, and against a load report in
/// place of a status that tells more.
#[test]
fn load_reports() {
    let rows = |newest| RowsSummary { newest: RowVersion(newest), ..RowsSummary::default() };
    let earlier = Status { available: true, rows: rows(7), ..Status::default() };
    let load = Load { running: 3, ..Load::default() };
    let busier = Status { load, ..earlier.clone() };
    assert!(busier.differs_by_load_only(&earlier));
    let changed = [
        Status { available: false, ..busier.clone() },
        Status { rows: rows(8), ..busier.clone() },
        Status { leaving: true, ..busier.clone() },
        Status { withdrawn: vec![RowVersion(5)], ..busier.clone() },
        Status { order_ages: vec![(RowVersion(5), 10)], ..busier.clone() },
    ];
    for status in changed {
        assert!(!status.differs_by_load_only(&earlier), "{status:?}");
    }
    let moving = Status { order_ages: vec![(RowVersion(5), 10)], ..busier };
    assert!(!moving.differs_by_load_only(&moving));
    let sent = frames::encode(&Frame::LoadReport(load)).expect("a short frame").len();
    assert!(sent <= 24, "{sent} bytes");
}

/// Guards against load reports to a peer that has missed a change or has connected again, and against whole
/// statuses to the others.
#[test]
fn informed_peers() {
    let names = node_names(300);
    let mut sent = SentStatus::default();
    let status = Status { available: true, ..Status::default() };
    assert!(sent.informed_of(&status).is_empty());
    sent.record(&status, names.clone());
    let busier = Status { load: Load { running: 3, ..Load::default() }, ..status.clone() };
    assert_eq!(sent.informed_of(&busier).len(), 300);
    sent.forget_peer(&names[7]);
    assert_eq!(sent.informed_of(&busier).len(), 299);
    assert!(!sent.informed_of(&busier).contains(&names[7]));
    sent.record(&busier, [names[7].clone()]);
    assert_eq!(sent.informed_of(&status).len(), 300);
    // A change reaches eight peers; the others have to be told of it.
    let rows = RowsSummary { newest: RowVersion(7), ..RowsSummary::default() };
    let changed = Status { rows, ..busier };
    sent.record(&changed, names[..8].to_vec());
    assert_eq!(sent.informed_of(&changed), names[..8].iter().cloned().collect());
    assert!(sent.informed_of(&status).is_empty());
}

/// Guards against nodes that disagree about who judges a move, and against no judge after the loss of some.
#[test]
fn same_evaluators() {
    let cfg = DisseminationSettings::default();
    let peers = node_names(300);
    let lost: Vec<NodeId> = peers[1..4].to_vec();
    let eligible = || peers.iter().filter(|p| !lost.contains(p));
    let evaluators = dissemination::evaluators(eligible(), 300, &cfg);
    assert_eq!(evaluators.len(), cfg.evaluators);
    assert!(eligible().take(cfg.evaluators).all(|p| evaluators.contains(p)));
}

/// Guards against greetings that list the whole fleet on each of its 90,000 connections, and against a
/// newcomer that cannot learn of all nodes from them.
#[test]
fn greetings() {
    let cfg = DisseminationSettings::default();
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = node_names(300);
        assert!(dissemination::greeting(&nodes, 300, &mut rng, &cfg).is_empty());
        let mut known: BTreeSet<NodeId> = nodes[..2].iter().cloned().collect();
        let mut unasked: Vec<NodeId> = known.iter().cloned().collect();
        while let Some(_peer) = unasked.pop() {
            let listed = dissemination::greeting(&nodes, known.len(), &mut rng, &cfg);
            assert!(listed.len() <= cfg.greeted);
            let new = listed.into_iter().filter(|n| !known.contains(n)).collect::<Vec<_>>();
            known.extend(new.iter().cloned());
            unasked.extend(new);
        }
        assert_eq!(known.len(), 300, "seed {seed}");
    }
}
