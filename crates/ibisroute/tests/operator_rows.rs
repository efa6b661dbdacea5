//! The operator's rows: decoding, and convergence of the replicated rows whether they come from the
//! store or from peers.

mod common;

use ibisroute::mesh::byte_delta::ByteDelta;
use ibisroute::mesh::replicated_rows;
use ibisroute::mesh::replicated_rows::ApplyOutcome;
use ibisroute::mesh::replicated_rows::ReplicatedRows;
use ibisroute::mesh::replicated_rows::RowChange;
use ibisroute::mesh::replicated_rows::RowOrigin;
use ibisroute::mesh::replicated_rows::RowTable;
use ibisroute::mesh::replicated_rows::RowValue;
use ibisroute::mesh::replicated_rows::RowVersion;
use ibisroute::mesh::replicated_rows::VersionedKey;
use ibisroute::mesh::rollout::Verdict;
use ibisroute::mesh::routes::RouteKind;
use ibisroute::platform::operator;
use ibisroute::types::Millis;
use quickcheck::QuickCheck;
use smol_str::SmolStr;

fn config(version: u64, route_count: usize) -> String {
    let route = |i: usize| {
        format!(
            r#"{{"resource_type":"routes","metadata":{{"name":"r-{i}"}},"spec":{{"host":"a.example","prefix":"/p{i}/","type":"safe","timeout_s":1.2,"target_latency_s":0.5,"priority":2,"service":"counter","max_attempts":2}}}}"#
        )
    };
    let routes: Vec<String> = (0..route_count).map(route).collect();
    format!(
        r#"{{"version":{version},"resources":[{},{{"resource_type":"services","metadata":{{"name":"counter"}},"spec":{{"health_check_path":"/health","max_connections":120}}}},{{"resource_type":"limits","metadata":{{}},"spec":{{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15}}}}]}}"#,
        routes.join(",")
    )
}

fn row(key: &str, version: u64, value: &str) -> RowChange {
    let value = Some(value.as_bytes().to_vec().into());
    RowChange { key: SmolStr::new(key), version: RowVersion(version), value }
}

/// Guards against fields of a route or of the limits that are decoded into wrong fields or units.
#[test]
fn config_fields_are_decoded() {
    let table = operator::decode_config(config(7, 2).as_bytes()).expect("a valid configuration");
    assert_eq!(table.version.0, 7);
    let route = table.find("a.example", "/p1/x").expect("a route");
    assert_eq!((route.kind, route.priority, route.max_attempts), (RouteKind::Safe, 2, 2));
    assert_eq!((route.timeout, route.objective), (Millis(1_200), Millis(500)));
    assert_eq!(table.limits.body_bytes.0, 1_000);
    assert_eq!(table.limits.idle_timeout, Millis(15_000));
}

/// Guards against an invalid configuration that is applied in part or replaces the one in effect.
#[test]
fn invalid_config_is_rejected_completely() {
    let valid = config(1, 3);
    for (from, to) in [
        (
            "\"service\":\"counter\",\"max_attempts\":2}}",
            "\"service\":\"nobody\",\"max_attempts\":2}}",
        ),
        ("\"timeout_s\":1.2", "\"timeout_s\":0"),
        ("\"max_attempts\":2", "\"max_attempts\":0"),
        ("\"prefix\":\"/p2/\"", "\"prefix\":\"p2\""),
    ] {
        let invalid = valid.replacen(from, to, 1);
        assert_ne!(invalid, valid);
        assert!(operator::decode_config(invalid.as_bytes()).is_err(), "{to}");
    }
    let mut rows = ReplicatedRows::default();
    assert!(matches!(
        rows.apply(RowTable::Operator, row("config", 5, &valid)),
        ApplyOutcome::Config(_)
    ));
    let truncated = &valid[..valid.len() - 2];
    let outcome = rows.apply(RowTable::Operator, row("config", 6, truncated));
    assert!(matches!(outcome, ApplyOutcome::Rejected(..)), "{outcome:?}");
    assert_eq!(rows.config_row_version(), RowVersion(5));
    assert_eq!(rows.config().map(|c| c.version.0), Some(1));
}

/// Guards against state names in a status row that the operator does not know or that decode to another
/// state.
#[test]
fn rollout_status_round_trips() {
    for (verdict, name) in [
        (Verdict::Running, "running"),
        (Verdict::Completed, "completed"),
        (Verdict::RolledBack, "rolled_back"),
    ] {
        let to = "v2".parse().expect("a valid name");
        let status = ibisroute::mesh::rollout::RolloutStatus { to, verdict };
        let text = operator::encode_rollout_status(&status);
        assert!(String::from_utf8_lossy(&text).contains(&format!("\"{name}\"")));
        assert_eq!(operator::decode_rollout_status(&text), Ok(status));
    }
}

/// Guards against an older configuration that replaces a newer one, whatever its source.
#[test]
fn older_config_does_not_replace_newer() {
    let mut rows = ReplicatedRows::default();
    rows.apply(RowTable::Operator, row("config", 9, &config(3, 1)));
    let outcome = rows.apply(RowTable::Operator, row("config", 8, &config(2, 1)));
    assert!(matches!(outcome, ApplyOutcome::Unchanged));
    assert_eq!(rows.config().map(|c| c.version.0), Some(3));
}

/// Guards against peers that do not reach the same state, and against complete configurations on the
/// wire where a delta is enough.
#[test]
fn peers_converge_by_deltas() {
    let (mut reader, mut peer) = (ReplicatedRows::default(), ReplicatedRows::default());
    reader.apply(RowTable::Operator, row("config", 10, &config(1, 300)));
    for replicated in reader.newer_than(&peer.versions()) {
        assert!(peer.apply_replicated(replicated).is_some());
    }
    let changed = config(2, 300).replacen("\"timeout_s\":1.2", "\"timeout_s\":0.9", 1);
    reader.apply(RowTable::Operator, row("config", 11, &changed));
    reader.apply(
        RowTable::Operator,
        row("rollout/counter", 12, r#"{"service":"counter","to":"v2","duration_s":12}"#),
    );
    let rows = reader.newer_than(&peer.versions());
    assert_eq!(rows.len(), 2);
    for replicated in rows {
        if let RowValue::Whole(value) = &replicated.value {
            assert!(value.len() < 200, "a complete configuration of {} bytes", value.len());
        }
        assert!(peer.apply_replicated(replicated).is_some());
    }
    assert_eq!(peer.newest(), reader.newest());
    assert_eq!(peer.config_row_version(), RowVersion(11));
    let route = peer.config().and_then(|c| c.find("a.example", "/p0/x").cloned());
    assert_eq!(route.map(|r| r.timeout), Some(Millis(900)));
}

/// Guards against a delta that is applied to a row other than the one it was made for.
#[test]
fn delta_with_other_base_is_rejected() {
    let (mut reader, mut peer) = (ReplicatedRows::default(), ReplicatedRows::default());
    reader.apply(RowTable::Operator, row("config", 10, &config(1, 3)));
    reader.apply(RowTable::Operator, row("config", 11, &config(2, 3)));
    peer.apply(RowTable::Operator, row("config", 9, &config(0, 2)));
    let key = SmolStr::new_static("config");
    let held = VersionedKey { table: RowTable::Operator, key, version: RowVersion(10) };
    let rows = reader.newer_than(&[held]);
    assert_eq!(rows.len(), 1);
    assert!(rows.into_iter().all(|r| peer.apply_replicated(r).is_none()));
    assert_eq!(peer.config_row_version(), RowVersion(9));
}

/// Guards against a large delta for a small change of a long configuration, which would make every node
/// read the whole row from the store at the same time.
#[test]
fn small_change_of_long_row_gives_small_delta() {
    let (base, changed) = (long_config(2_400, 30), long_config(2_400, 31));
    let delta = ByteDelta::between(&base, &changed);
    assert_eq!(delta.apply(&base).as_deref(), Some(&changed[..]));
    assert!(delta.bytes() < 1_000, "{} bytes for one route of {}", delta.bytes(), base.len());
}

/// Builds a configuration with many routes, one of which has the given timeout.
fn long_config(route_count: usize, timeout_s: u32) -> Vec<u8> {
    let route = |n: usize| {
        let timeout_s = if n == route_count / 2 { timeout_s } else { 3 };
        serde_json::json!({"resource_type": "routes", "metadata": {"name": format!("r{n}")},
            "spec": {"prefix": format!("/r{n}/"), "timeout_s": timeout_s}})
    };
    let resources: Vec<_> = (0..route_count).map(route).collect();
    serde_json::json!({"version": 7, "resources": resources}).to_string().into_bytes()
}

/// Guards against a delta that rebuilds a text other than the one it was made from.
#[test]
fn deltas_rebuild_arbitrary_texts() {
    fn rebuilds(base: Vec<u8>, text: Vec<u8>) -> bool {
        let to_text = |bytes: &[u8]| -> Vec<u8> {
            bytes.iter().map(|b| if b % 5 == 0 { b'}' } else { b'a' + b % 7 }).collect()
        };
        let (base, text) = (to_text(&base), to_text(&text));
        let delta = ByteDelta::between(&base, &text);
        delta.apply(&base).as_deref() == Some(&text[..])
    }
    QuickCheck::new().quickcheck(rebuilds as fn(Vec<u8>, Vec<u8>) -> bool);
}

fn rollout_request(service: &str, to: u64) -> String {
    format!(r#"{{"service":"{service}","to":"v{to}","duration_s":12}}"#)
}

/// Lets `node` ask `peer` for rows if the summary of the peer tells it to. Returns whether it received one.
fn ask_peer(node: &mut ReplicatedRows, peer: &ReplicatedRows) -> bool {
    if !node.may_lack_rows_of(&peer.summary()) {
        return false;
    }
    let rows = peer.newer_than(&node.versions());
    let received = !rows.is_empty();
    for row in rows {
        assert!(node.apply_replicated(row).is_some(), "the rows of a response can be applied");
    }
    received
}

/// Guards against a node that never asks for a row because it has a newer one of another key.
#[test]
fn row_below_newest() {
    let (mut reader, mut peer) = (ReplicatedRows::default(), ReplicatedRows::default());
    let status = r#"{"state":"running","to":"v2"}"#;
    for rows in [&mut reader, &mut peer] {
        rows.apply(RowTable::Operator, row("rollout/counter", 5, &rollout_request("counter", 2)));
        rows.apply(RowTable::Status, row("rollout/counter", 7, status));
    }
    reader.apply(RowTable::Operator, row("config", 6, &config(2, 3)));
    assert_eq!(reader.newest(), peer.newest());
    assert!(ask_peer(&mut peer, &reader));
    assert_eq!(peer.config_row_version(), RowVersion(6));
    assert_eq!(peer.summary(), reader.summary());
    assert!(!peer.may_lack_rows_of(&reader.summary()));
}

/// Guards against nodes that keep different rows although each hears of the others, whichever rows each has
/// received so far.
#[test]
fn nodes_converge() {
    const NODES: usize = 4;
    const KEYS: [&str; 3] = ["config", "rollout/counter", "rollout/archive"];
    fn converge(writes: Vec<(u8, u8)>) -> bool {
        let mut nodes: Vec<ReplicatedRows> =
            (0..NODES).map(|_| ReplicatedRows::default()).collect();
        for (i, (key, receivers)) in writes.iter().take(30).enumerate() {
            let version = i as u64 + 1;
            let (table, key, value) = match key % 4 {
                0 => (RowTable::Operator, KEYS[0], config(version, 2)),
                1 => (RowTable::Operator, KEYS[1], rollout_request("counter", version)),
                2 => (RowTable::Operator, KEYS[2], rollout_request("archive", version)),
                _ => (RowTable::Status, KEYS[1], r#"{"state":"running","to":"v2"}"#.to_string()),
            };
            // At least one node has each row.
            let receivers = usize::from(*receivers) | 1 << (i % NODES);
            for (_, node) in nodes.iter_mut().enumerate().filter(|(n, _)| receivers >> n & 1 == 1) {
                node.apply(table, row(key, version, &value));
            }
        }
        loop {
            let mut has_changed = false;
            for i in 0..NODES {
                for j in (0..NODES).filter(|j| *j != i) {
                    let mut node = std::mem::take(&mut nodes[i]);
                    has_changed |= ask_peer(&mut node, &nodes[j]);
                    nodes[i] = node;
                }
            }
            if !has_changed {
                break;
            }
        }
        nodes.iter().all(|n| n.versions() == nodes[0].versions())
            && nodes.iter().all(|n| n.summary() == nodes[0].summary())
    }
    common::quickcheck_with_fixed_seed(500).quickcheck(converge as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against a node that reads the tables at its start and sends each row to all peers, which have them:
/// after a restart of 300 nodes that is the square of their number. A change is sent also to peers that have
/// a newer row of another key.
#[test]
fn known_rows_are_not_sent() {
    let (mut peer, mut starting) = (ReplicatedRows::default(), ReplicatedRows::default());
    let request = rollout_request("counter", 2);
    for rows in [&mut peer, &mut starting] {
        rows.apply(RowTable::Operator, row("config", 6, &config(2, 3)));
        rows.apply(RowTable::Operator, row("rollout/counter", 5, &request));
    }
    peer.apply(RowTable::Status, row("rollout/counter", 7, r#"{"state":"running","to":"v2"}"#));
    let is_sent = |rows: &ReplicatedRows, peer: &ReplicatedRows, key, origin| {
        rows.lacks_row(&peer.summary(), RowTable::Operator, key, origin)
    };
    for key in ["config", "rollout/counter"] {
        assert!(!is_sent(&starting, &peer, key, RowOrigin::TableRead), "{key}");
        let empty = ReplicatedRows::default();
        assert!(is_sent(&starting, &empty, key, RowOrigin::TableRead), "{key} to an empty node");
    }
    assert!(!is_sent(&starting, &peer, "config", RowOrigin::Change));
    let mut watcher = peer.clone();
    let request = rollout_request("archive", 2);
    watcher.apply(RowTable::Operator, row("rollout/archive", 4, &request));
    assert!(is_sent(&watcher, &peer, "rollout/archive", RowOrigin::Change));
}

/// Guards against short rows that are held back by a long one, and against a node that does not read the
/// long one from the store, or reads it again when it has it.
#[test]
fn long_row_is_read() {
    let (mut reader, mut peer) = (ReplicatedRows::default(), ReplicatedRows::default());
    reader.apply(RowTable::Operator, row("config", 6, &config(2, 300)));
    reader.apply(RowTable::Operator, row("rollout/counter", 5, &rollout_request("counter", 2)));
    let (rows, too_long) =
        replicated_rows::split_by_size(reader.newer_than(&peer.versions()), 16 * 1024);
    assert_eq!(rows.iter().map(|r| r.key.as_str()).collect::<Vec<_>>(), ["rollout/counter"]);
    for row in rows {
        peer.apply_replicated(row);
    }
    assert_eq!(too_long.iter().map(|k| k.key.as_str()).collect::<Vec<_>>(), ["config"]);
    peer.record_missing(too_long.clone());
    assert!(peer.has_missing());
    peer.apply(RowTable::Operator, row("config", 6, &config(2, 300)));
    assert!(!peer.has_missing());
    peer.record_missing(too_long);
    assert!(!peer.has_missing());
}
