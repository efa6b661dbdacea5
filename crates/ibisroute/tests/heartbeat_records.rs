//! Heartbeats of targets: decoding, and which of two conflicting heartbeats takes effect.

use ibisroute::mesh::registry::Heartbeat;
use ibisroute::mesh::registry::HeartbeatOutcome;
use ibisroute::mesh::registry::LifeState;
use ibisroute::mesh::registry::LocalInstance;
use ibisroute::platform::heartbeat;
use ibisroute::types::InstanceId;
use ibisroute::types::Millis;
use ibisroute::types::UnixMillis;

fn heartbeat_body(state: &str, sequence: u64, born: u64) -> String {
    format!(
        r#"{{"address":"10.128.0.9:8080","info":{{"service":"huvo11a","version":"v1","zone":"my-central-a","slots":12}},"status":{{"state":"{state}","sequence":{sequence},"cold_remaining_s":1.5}},"born":{born}}}"#
    )
}

fn heartbeat_with(state: &str, sequence: u64, born: u64) -> Heartbeat {
    heartbeat::decode(heartbeat_body(state, sequence, born).as_bytes()).expect("a valid heartbeat")
}

fn id(text: &str) -> InstanceId {
    text.parse().expect("a valid id")
}

/// Wall-clock time that the tests pass to leave announcements.
const UNIX_NOW: UnixMillis = UnixMillis(1_000);

/// Guards against fields of a heartbeat that are decoded into wrong fields or units.
#[test]
fn heartbeat_fields_are_decoded() {
    let decoded = heartbeat_with("ready", 4, 17);
    assert_eq!(decoded.address.to_string(), "10.128.0.9:8080");
    assert_eq!(decoded.service.as_str(), "huvo11a");
    assert_eq!(decoded.version.as_str(), "v1");
    assert_eq!(decoded.data_centre.as_str(), "my-central-a");
    assert_eq!((decoded.slots, decoded.state), (12, LifeState::Ready));
    assert_eq!(
        (decoded.born, decoded.sequence, decoded.cold_remaining),
        (UnixMillis(17), 4, Millis(1_500))
    );
}

/// Guards against a target that is registered from a malformed body.
#[test]
fn malformed_heartbeats_are_rejected() {
    let valid = heartbeat_body("ready", 1, 1);
    for (from, to) in [
        ("ready", "asleep"),
        ("\"slots\":12", "\"slots\":\"12\""),
        ("\"slots\":12", "\"slots\":0"),
        ("10.128.0.9:8080", "nowhere"),
        ("\"cold_remaining_s\":1.5", "\"cold_remaining_s\":-1"),
        ("\"service\":\"huvo11a\",", ""),
    ] {
        let invalid = valid.replace(from, to);
        assert_ne!(invalid, valid);
        assert!(heartbeat::decode(invalid.as_bytes()).is_err(), "{invalid}");
    }
    assert!(heartbeat::decode(b"\xff\x00").is_err());
    assert_eq!(heartbeat::decode_leave(br#"{"born":17}"#), Some(UnixMillis(17)));
    assert_eq!(heartbeat::decode_leave(br#"{"born":18446744073709551615}"#), None);
    assert_eq!(heartbeat::decode_leave(br#"{"born":1e999}"#), None);
}

/// Guards against a heartbeat, delayed by a partition, that restores the previous incarnation.
#[test]
fn heartbeat_of_earlier_incarnation_is_stale() {
    let mut local = LocalInstance::default();
    assert_eq!(
        local.apply_heartbeat(Millis(0), id("i-1"), heartbeat_with("ready", 9, 100)),
        HeartbeatOutcome::Started
    );
    assert_eq!(
        local.apply_heartbeat(Millis(1), id("i-2"), heartbeat_with("ready", 1, 200)),
        HeartbeatOutcome::Started
    );
    assert_eq!(
        local.apply_heartbeat(Millis(2), id("i-1"), heartbeat_with("ready", 10, 100)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(local.record().map(|r| r.id.clone()), Some(id("i-2")));
}

/// Guards against a restart under the same id whose lower sequence numbers look stale.
#[test]
fn restart_under_same_id_is_a_new_incarnation() {
    let mut local = LocalInstance::default();
    local.apply_heartbeat(Millis(0), id("i-1"), heartbeat_with("ready", 50, 100));
    assert_eq!(
        local.apply_heartbeat(Millis(1), id("i-1"), heartbeat_with("ready", 1, 200)),
        HeartbeatOutcome::Started
    );
    assert_eq!(
        local.apply_heartbeat(Millis(2), id("i-1"), heartbeat_with("ready", 51, 100)),
        HeartbeatOutcome::Stale
    );
}

/// Guards against a target that receives requests again after it reported that it is draining.
#[test]
fn draining_target_does_not_become_ready() {
    let mut local = LocalInstance::default();
    local.apply_heartbeat(Millis(0), id("i-1"), heartbeat_with("ready", 1, 100));
    assert_eq!(
        local.apply_heartbeat(Millis(1), id("i-1"), heartbeat_with("draining", 3, 100)),
        HeartbeatOutcome::Leaving
    );
    assert_eq!(
        local.apply_heartbeat(Millis(2), id("i-1"), heartbeat_with("ready", 2, 100)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        local.apply_heartbeat(Millis(3), id("i-1"), heartbeat_with("ready", 4, 100)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(local.record().map(|r| r.state), Some(LifeState::Draining));
}

/// Guards against a late heartbeat that restores a target that has left.
#[test]
fn heartbeat_after_leave_is_stale() {
    let mut local = LocalInstance::default();
    local.apply_heartbeat(Millis(0), id("i-1"), heartbeat_with("ready", 1, 100));
    assert!(!local.leave(&id("i-2"), Some(UnixMillis(50)), UNIX_NOW));
    assert!(local.leave(&id("i-1"), Some(UnixMillis(100)), UNIX_NOW));
    assert_eq!(
        local.apply_heartbeat(Millis(1), id("i-1"), heartbeat_with("ready", 2, 100)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        local.apply_heartbeat(Millis(2), id("i-1"), heartbeat_with("ready", 1, 300)),
        HeartbeatOutcome::Started
    );
}

/// Guards against a node that acknowledges the leave announcement of a target that it does not know yet,
/// because it has just started, and then treats a late heartbeat as the target's return.
#[test]
fn leave_of_unknown_target_is_recorded() {
    let mut local = LocalInstance::default();
    assert!(!local.leave(&id("i-1"), Some(UnixMillis(100)), UNIX_NOW));
    assert_eq!(
        local.apply_heartbeat(Millis(0), id("i-1"), heartbeat_with("ready", 7, 100)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        local.apply_heartbeat(Millis(1), id("i-1"), heartbeat_with("ready", 1, 200)),
        HeartbeatOutcome::Started
    );
    // The leave announcement of an older incarnation does not affect the current incarnation.
    assert!(!local.leave(&id("i-0"), Some(UnixMillis(50)), UNIX_NOW));
    assert_eq!(
        local.apply_heartbeat(Millis(2), id("i-1"), heartbeat_with("ready", 2, 200)),
        HeartbeatOutcome::Refreshed
    );
}

/// Guards against a leave announcement without a start time that is ignored, or that applies to an
/// incarnation which starts later.
#[test]
fn leave_without_start_time_is_applied() {
    let mut local = LocalInstance::default();
    assert!(!local.leave(&id("i-1"), None, UNIX_NOW));
    assert_eq!(
        local.apply_heartbeat(Millis(0), id("i-1"), heartbeat_with("ready", 1, 900)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        local.apply_heartbeat(Millis(1), id("i-1"), heartbeat_with("ready", 1, 1_100)),
        HeartbeatOutcome::Started
    );
    // The clock of the target may be ahead of the host's, so the announcement applies to the current
    // incarnation although its start is after the wall-clock time.
    assert!(local.leave(&id("i-1"), None, UNIX_NOW));
    assert_eq!(
        local.apply_heartbeat(Millis(2), id("i-1"), heartbeat_with("ready", 2, 1_100)),
        HeartbeatOutcome::Stale
    );
}
