//! Heartbeats: decoding, and which of two statements holds.

use ibisroute::mesh::registry::Heartbeat;
use ibisroute::mesh::registry::HeartbeatOutcome;
use ibisroute::mesh::registry::LifeState;
use ibisroute::mesh::registry::LocalInstance;
use ibisroute::platform::heartbeat;
use ibisroute::types::InstanceId;
use ibisroute::types::Millis;
use ibisroute::types::UnixMillis;

fn body(state: &str, sequence: u64, born: u64) -> String {
    format!(
        r#"{{"address":"10.128.0.9:8080","info":{{"service":"huvo11a","version":"v1","zone":"my-central-a","slots":12}},"status":{{"state":"{state}","sequence":{sequence},"cold_remaining_s":1.5}},"born":{born}}}"#
    )
}

fn beat(state: &str, sequence: u64, born: u64) -> Heartbeat {
    heartbeat::decode(body(state, sequence, born).as_bytes()).expect("a valid heartbeat")
}

fn id(text: &str) -> InstanceId {
    text.parse().expect("a valid id")
}

/// Time of day of the tests.
const WALL: UnixMillis = UnixMillis(1_000);

/// Guards against a field of the platform that is read as another one.
#[test]
fn fields_are_decoded() {
    let beat = beat("ready", 4, 17);
    assert_eq!(beat.address.to_string(), "10.128.0.9:8080");
    assert_eq!(beat.service.as_str(), "huvo11a");
    assert_eq!(beat.version.as_str(), "v1");
    assert_eq!(beat.data_centre.as_str(), "my-central-a");
    assert_eq!((beat.slots, beat.state), (12, LifeState::Ready));
    assert_eq!((beat.born, beat.sequence, beat.cold), (UnixMillis(17), 4, Millis(1_500)));
}

/// Guards against a target made of bytes that another writer sent.
#[test]
fn malformed_is_refused() {
    let good = body("ready", 1, 1);
    for (from, to) in [
        ("ready", "asleep"),
        ("\"slots\":12", "\"slots\":\"12\""),
        ("\"slots\":12", "\"slots\":0"),
        ("10.128.0.9:8080", "nowhere"),
        ("\"cold_remaining_s\":1.5", "\"cold_remaining_s\":-1"),
        ("\"service\":\"huvo11a\",", ""),
    ] {
        let bad = good.replace(from, to);
        assert_ne!(bad, good);
        assert!(heartbeat::decode(bad.as_bytes()).is_err(), "{bad}");
    }
    assert!(heartbeat::decode(b"\xff\x00").is_err());
}

/// Guards against a heartbeat that a partition delayed and that brings back the run before.
#[test]
fn older_run_is_ignored() {
    let mut local = LocalInstance::default();
    assert_eq!(
        local.apply_heartbeat(Millis(0), id("i-1"), beat("ready", 9, 100)),
        HeartbeatOutcome::Started
    );
    assert_eq!(
        local.apply_heartbeat(Millis(1), id("i-2"), beat("ready", 1, 200)),
        HeartbeatOutcome::Started
    );
    assert_eq!(
        local.apply_heartbeat(Millis(2), id("i-1"), beat("ready", 10, 100)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(local.record().map(|r| r.id.clone()), Some(id("i-2")));
}

/// Guards against a restart under the same id whose lower counts look stale.
#[test]
fn same_id_starts_anew() {
    let mut local = LocalInstance::default();
    local.apply_heartbeat(Millis(0), id("i-1"), beat("ready", 50, 100));
    assert_eq!(
        local.apply_heartbeat(Millis(1), id("i-1"), beat("ready", 1, 200)),
        HeartbeatOutcome::Started
    );
    assert_eq!(
        local.apply_heartbeat(Millis(2), id("i-1"), beat("ready", 51, 100)),
        HeartbeatOutcome::Stale
    );
}

/// Guards against a target that takes requests again after it said that it leaves.
#[test]
fn leaving_is_final() {
    let mut local = LocalInstance::default();
    local.apply_heartbeat(Millis(0), id("i-1"), beat("ready", 1, 100));
    assert_eq!(
        local.apply_heartbeat(Millis(1), id("i-1"), beat("draining", 3, 100)),
        HeartbeatOutcome::Leaving
    );
    assert_eq!(
        local.apply_heartbeat(Millis(2), id("i-1"), beat("ready", 2, 100)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        local.apply_heartbeat(Millis(3), id("i-1"), beat("ready", 4, 100)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(local.record().map(|r| r.state), Some(LifeState::Draining));
}

/// Guards against a late heartbeat that brings back a target that has gone.
#[test]
fn gone_stays_gone() {
    let mut local = LocalInstance::default();
    local.apply_heartbeat(Millis(0), id("i-1"), beat("ready", 1, 100));
    assert!(!local.leave(&id("i-2"), Some(UnixMillis(50)), WALL));
    assert!(local.leave(&id("i-1"), Some(UnixMillis(100)), WALL));
    assert_eq!(
        local.apply_heartbeat(Millis(1), id("i-1"), beat("ready", 2, 100)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        local.apply_heartbeat(Millis(2), id("i-1"), beat("ready", 1, 300)),
        HeartbeatOutcome::Started
    );
}

/// Guards against a node that acknowledges the leaving of a target that it does not know, because it has
/// just started, and then takes a late heartbeat for the target's return.
#[test]
fn unknown_target_can_leave() {
    let mut local = LocalInstance::default();
    assert!(!local.leave(&id("i-1"), Some(UnixMillis(100)), WALL));
    assert_eq!(
        local.apply_heartbeat(Millis(0), id("i-1"), beat("ready", 7, 100)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        local.apply_heartbeat(Millis(1), id("i-1"), beat("ready", 1, 200)),
        HeartbeatOutcome::Started
    );
    // One that is older than the present run says nothing of it.
    assert!(!local.leave(&id("i-0"), Some(UnixMillis(50)), WALL));
    assert_eq!(
        local.apply_heartbeat(Millis(2), id("i-1"), beat("ready", 2, 200)),
        HeartbeatOutcome::Refreshed
    );
}

/// Guards against a leave without a start that is ignored, and against one that binds a later run.
#[test]
fn leave_without_start() {
    let mut local = LocalInstance::default();
    assert!(!local.leave(&id("i-1"), None, WALL));
    assert_eq!(
        local.apply_heartbeat(Millis(0), id("i-1"), beat("ready", 1, 900)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        local.apply_heartbeat(Millis(1), id("i-1"), beat("ready", 1, 1_100)),
        HeartbeatOutcome::Started
    );
    // The clocks of host and target may differ: the known run is meant.
    assert!(local.leave(&id("i-1"), None, WALL));
    assert_eq!(
        local.apply_heartbeat(Millis(2), id("i-1"), beat("ready", 2, 1_100)),
        HeartbeatOutcome::Stale
    );
}
