//! Tests of the life cycle and leases of the targets on the host of a node.

use std::collections::BTreeMap;

use ibisroute::membership::membership_settings::MembershipSettings;
use ibisroute::membership::record::TargetState;
use ibisroute::membership::target::LocalTargetTable;
use ibisroute::membership::target::TargetAction;
use ibisroute::membership::target::TargetEvent;
use ibisroute::node::control_handle::TargetAnnouncement;
use ibisroute::types::InstanceId;
use ibisroute::types::Millis;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

fn instance(number: u8) -> InstanceId {
    format!("run-{number}").parse().expect("instance")
}

fn announce(number: u8) -> TargetEvent {
    TargetEvent::Announce(TargetAnnouncement {
        service: "counter".parse().expect("service"),
        version: "v1".parse().expect("version"),
        instance: instance(number),
        address: "127.0.0.1:9000".parse().expect("address"),
        slots: 10,
        connections: 120,
    })
}

fn table() -> LocalTargetTable {
    LocalTargetTable::new(MembershipSettings::default())
}

fn state(table: &LocalTargetTable) -> Option<TargetState> {
    table.records().first().map(|r| r.state)
}

/// Renews the lease of target 1 each second, with a tick after each renewal, from `from` to `until` in
/// milliseconds.
fn renew_lease(table: &mut LocalTargetTable, from: u64, until: u64) {
    for now in (from..=until).step_by(1_000) {
        table.step(Millis(now), announce(1));
        table.step(Millis(now), TargetEvent::Tick);
    }
}

/// Guards against a target that counts as ready, and gets its full share of calls, before its warm-up
/// ends.
#[test]
fn target_warms_up_before_it_is_ready() {
    let mut table = table();
    table.step(Millis(0), announce(1));
    assert_eq!(state(&table), Some(TargetState::Starting));
    table.step(Millis(100), TargetEvent::HealthCheck { instance: instance(1), healthy: true });
    assert_eq!(state(&table), Some(TargetState::Warming));
    renew_lease(&mut table, 1_000, 4_000);
    assert_eq!(state(&table), Some(TargetState::Ready));
}

/// Guards against a health endpoint that never responds, or reports a failure, and so keeps a target
/// out of service indefinitely.
#[test]
fn failing_health_checks_do_not_block_warm_up() {
    let mut table = table();
    renew_lease(&mut table, 0, 10_000);
    assert_eq!(state(&table), Some(TargetState::Warming));
    table.step(Millis(10_500), TargetEvent::HealthCheck { instance: instance(1), healthy: false });
    assert_eq!(state(&table), Some(TargetState::Warming));
}

/// Guards against calls to a target that has stopped renewing its lease, and against a target that
/// cannot return after its lease has expired.
#[test]
fn target_without_lease_renewal_drains() {
    let mut table = table();
    table.step(Millis(0), announce(1));
    let actions = table.step(Millis(3_000), TargetEvent::Tick);
    assert!(actions.contains(&TargetAction::Drain(instance(1))), "{actions:?}");
    assert_eq!(state(&table), Some(TargetState::Draining));
    table.step(Millis(4_000), announce(1));
    assert_eq!(state(&table), Some(TargetState::Starting));
    table.step(Millis(7_000), TargetEvent::Tick);
    table.step(Millis(37_000), TargetEvent::Tick);
    assert_eq!(state(&table), None);
}

/// Guards against new calls to a target that has left, even if it keeps announcing itself.
#[test]
fn announcement_after_leave_is_ignored() {
    let mut table = table();
    table.step(Millis(0), announce(1));
    table.step(Millis(100), TargetEvent::Reachable { instance: instance(1), reachable: true });
    table.step(Millis(200), TargetEvent::Leave(instance(1)));
    table.step(Millis(300), announce(1));
    table.step(Millis(300), TargetEvent::HealthCheck { instance: instance(1), healthy: true });
    assert_eq!(state(&table), Some(TargetState::Draining));
    let actions = table.step(Millis(400), TargetEvent::Idle(instance(1)));
    assert!(actions.iter().any(|a| matches!(a, TargetAction::Removed(_))), "{actions:?}");
    assert_eq!(state(&table), None);
}

/// Guards against calls to a target that refuses connections after it was reachable.
#[test]
fn unreachable_target_returns_to_starting() {
    let mut table = table();
    table.step(Millis(0), announce(1));
    table.step(Millis(100), TargetEvent::Reachable { instance: instance(1), reachable: true });
    table.step(Millis(200), TargetEvent::Reachable { instance: instance(1), reachable: false });
    assert_eq!(state(&table), Some(TargetState::Starting));
}

/// Guards against a sequence of events that returns a target to service after it has left.
#[test]
fn random_events_return_no_target_after_leave() {
    fn property(events: Vec<(u8, u8, u16)>) -> TestResult {
        let mut table = table();
        let mut left_instances: BTreeMap<InstanceId, bool> = BTreeMap::new();
        let mut now = 0;
        for (kind, number, gap_ms) in events {
            now += u64::from(gap_ms % 2_000);
            let number = number % 3;
            let id = instance(number);
            let event = match kind % 7 {
                0 | 1 => announce(number),
                2 => TargetEvent::Leave(id.clone()),
                3 => TargetEvent::HealthCheck { instance: id.clone(), healthy: true },
                4 => TargetEvent::Reachable { instance: id.clone(), reachable: gap_ms % 2 == 0 },
                5 => TargetEvent::Idle(id.clone()),
                _ => TargetEvent::Tick,
            };
            let is_present = table.get(&id).is_some();
            if event == TargetEvent::Leave(id.clone()) && is_present {
                left_instances.insert(id, true);
            }
            for action in table.step(Millis(now), event) {
                if let TargetAction::Removed(removed) = action {
                    left_instances.remove(&removed.instance);
                }
            }
            let has_returned = |r: &&ibisroute::membership::record::TargetRecord| {
                left_instances.contains_key(&r.instance) && r.state != TargetState::Draining
            };
            if let Some(record) = table.records().iter().find(has_returned) {
                return TestResult::error(format!("{record:?} returned to service at {now}"));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 3))
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8, u16)>) -> TestResult);
}
