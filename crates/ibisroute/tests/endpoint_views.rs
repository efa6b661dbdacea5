//! Endpoint views that traffic threads receive, built from member records.

#[path = "support/member_net.rs"]
#[allow(dead_code)]
mod member_net;

use ibisroute::membership::endpoints::RecentTargets;
use ibisroute::membership::endpoints::endpoint_view;
use ibisroute::membership::record::MemberRecord;
use ibisroute::membership::record::MemberView;
use ibisroute::membership::record::Status;
use ibisroute::membership::record::TargetState;
use ibisroute::types::Millis;

/// Time for which the targets of a failed node still count when limits are divided among targets.
const FAILED_NODE_RETENTION: Millis = Millis(600_000);

fn member_view(members: Vec<MemberRecord>) -> MemberView {
    MemberView { local: "node-00".parse().expect("node id"), members }
}

fn member(index: usize, status: Status, state: TargetState) -> MemberRecord {
    let mut record = member_net::record(index, 1);
    record.status = status;
    record.targets.push(member_net::target(index, state));
    record
}

/// Returns the number of ready targets, and the number by which limits are divided.
fn ready_and_recent_counts(
    recent_targets: &mut RecentTargets,
    now_ms: u64,
    view: &MemberView,
) -> (usize, u32) {
    recent_targets.observe(Millis(now_ms), view, FAILED_NODE_RETENTION);
    let endpoints = endpoint_view(view, recent_targets);
    let counter_endpoints = endpoints.services.get(&"counter".parse().expect("service"));
    counter_endpoints.map_or((0, 0), |s| (s.ready.len(), s.recent_target_count))
}

/// Guards against calls to targets that are starting or draining, or whose node is dead or has
/// left.
#[test]
fn view_lists_only_serving_targets() {
    let view = member_view(vec![
        member(0, Status::Alive, TargetState::Ready),
        member(1, Status::Suspect, TargetState::Warming),
        member(2, Status::Alive, TargetState::Starting),
        member(3, Status::Alive, TargetState::Draining),
        member(4, Status::Dead, TargetState::Ready),
        member(5, Status::Left, TargetState::Ready),
    ]);
    let mut recent_targets = RecentTargets::default();
    recent_targets.observe(Millis(0), &view, FAILED_NODE_RETENTION);
    let endpoints = endpoint_view(&view, &recent_targets);
    let counter_endpoints = &endpoints.services[&"counter".parse().expect("service")];
    let ready_instances: Vec<&str> =
        counter_endpoints.ready.iter().map(|e| e.instance.as_str()).collect();
    assert_eq!(ready_instances, ["run-0", "run-1"]);
    assert!(counter_endpoints.ready[0].local && !counter_endpoints.ready[1].local);
}

/// Guards against limits that one side of a partition divides by its own targets only: both sides
/// together would then exceed the limit.
#[test]
fn targets_of_lost_nodes_still_divide_limits() {
    let mut recent_targets = RecentTargets::default();
    let live_member = member(0, Status::Alive, TargetState::Ready);
    let both_alive_view =
        member_view(vec![live_member.clone(), member(1, Status::Alive, TargetState::Ready)]);
    assert_eq!(ready_and_recent_counts(&mut recent_targets, 0, &both_alive_view), (2, 2));
    let second_dead_view =
        member_view(vec![live_member.clone(), member(1, Status::Dead, TargetState::Ready)]);
    assert_eq!(ready_and_recent_counts(&mut recent_targets, 1_000, &second_dead_view), (1, 2));
    let second_removed_view = member_view(vec![live_member]);
    assert_eq!(ready_and_recent_counts(&mut recent_targets, 599_000, &second_removed_view), (1, 2));
    assert_eq!(ready_and_recent_counts(&mut recent_targets, 600_000, &second_removed_view), (1, 1));
}

/// Guards against limits that are still divided by targets that are leaving on purpose.
#[test]
fn draining_targets_do_not_divide_limits() {
    let mut recent_targets = RecentTargets::default();
    let live_member = member(0, Status::Alive, TargetState::Ready);
    let both_alive_view =
        member_view(vec![live_member.clone(), member(1, Status::Alive, TargetState::Ready)]);
    assert_eq!(ready_and_recent_counts(&mut recent_targets, 0, &both_alive_view), (2, 2));
    let second_draining_view =
        member_view(vec![live_member, member(1, Status::Alive, TargetState::Draining)]);
    assert_eq!(ready_and_recent_counts(&mut recent_targets, 1_000, &second_draining_view), (1, 1));
}
