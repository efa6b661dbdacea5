//! Endpoints that traffic threads get from member records.

#[path = "support/member_net.rs"]
#[allow(dead_code)]
mod member_net;

use ibisroute::membership::endpoints::SeenTargets;
use ibisroute::membership::endpoints::endpoint_view;
use ibisroute::membership::record::MemberRecord;
use ibisroute::membership::record::MemberView;
use ibisroute::membership::record::Status;
use ibisroute::membership::record::TargetState;
use ibisroute::types::Millis;

const KEEP: Millis = Millis(600_000);

fn view(members: Vec<MemberRecord>) -> MemberView {
    MemberView { local: "node-00".parse().expect("node id"), members }
}

fn member(index: usize, status: Status, state: TargetState) -> MemberRecord {
    let mut record = member_net::record(index, 1);
    record.status = status;
    record.targets.push(member_net::target(index, state));
    record
}

fn counts(seen: &mut SeenTargets, now: u64, view: &MemberView) -> (usize, u32) {
    seen.observe(Millis(now), view, KEEP);
    let endpoints = endpoint_view(view, seen);
    let counter = endpoints.services.get(&"counter".parse().expect("service"));
    counter.map_or((0, 0), |s| (s.ready.len(), s.known))
}

/// Guards against calls to targets that start, drain, or stand beside a dead node.
#[test]
fn only_serving_targets() {
    let view = view(vec![
        member(0, Status::Alive, TargetState::Ready),
        member(1, Status::Suspect, TargetState::Warming),
        member(2, Status::Alive, TargetState::Starting),
        member(3, Status::Alive, TargetState::Draining),
        member(4, Status::Dead, TargetState::Ready),
        member(5, Status::Left, TargetState::Ready),
    ]);
    let mut seen = SeenTargets::default();
    seen.observe(Millis(0), &view, KEEP);
    let endpoints = endpoint_view(&view, &seen);
    let counter = &endpoints.services[&"counter".parse().expect("service")];
    let ready: Vec<&str> = counter.ready.iter().map(|e| e.instance.as_str()).collect();
    assert_eq!(ready, ["run-0", "run-1"]);
    assert!(counter.ready[0].local && !counter.ready[1].local);
}

/// Guards against a side of a partition that takes the limits of the other side for itself.
#[test]
fn lost_targets_count() {
    let mut seen = SeenTargets::default();
    let live = member(0, Status::Alive, TargetState::Ready);
    let both = view(vec![live.clone(), member(1, Status::Alive, TargetState::Ready)]);
    assert_eq!(counts(&mut seen, 0, &both), (2, 2));
    let lost = view(vec![live.clone(), member(1, Status::Dead, TargetState::Ready)]);
    assert_eq!(counts(&mut seen, 1_000, &lost), (1, 2));
    let dropped = view(vec![live]);
    assert_eq!(counts(&mut seen, 599_000, &dropped), (1, 2));
    assert_eq!(counts(&mut seen, 600_000, &dropped), (1, 1));
}

/// Guards against limits that are divided by targets that left on purpose.
#[test]
fn left_targets_do_not_count() {
    let mut seen = SeenTargets::default();
    let live = member(0, Status::Alive, TargetState::Ready);
    let both = view(vec![live.clone(), member(1, Status::Alive, TargetState::Ready)]);
    assert_eq!(counts(&mut seen, 0, &both), (2, 2));
    let draining = view(vec![live, member(1, Status::Alive, TargetState::Draining)]);
    assert_eq!(counts(&mut seen, 1_000, &draining), (1, 1));
}
