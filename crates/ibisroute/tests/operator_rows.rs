//! The operator's rows: decoding, and convergence of the replicated rows whether they come from the
//! store or from peers.

use ibisroute::mesh::byte_delta::ByteDelta;
use ibisroute::mesh::replicated_rows::ApplyOutcome;
use ibisroute::mesh::replicated_rows::ReplicatedRows;
use ibisroute::mesh::replicated_rows::RowChange;
use ibisroute::mesh::replicated_rows::RowTable;
use ibisroute::mesh::replicated_rows::RowValue;
use ibisroute::mesh::replicated_rows::RowVersion;
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
    for replicated in reader.since(peer.newest(), peer.config_row_version()) {
        assert!(peer.apply_replicated(replicated).is_some());
    }
    let changed = config(2, 300).replacen("\"timeout_s\":1.2", "\"timeout_s\":0.9", 1);
    reader.apply(RowTable::Operator, row("config", 11, &changed));
    reader.apply(
        RowTable::Operator,
        row("rollout/counter", 12, r#"{"service":"counter","to":"v2","duration_s":12}"#),
    );
    let rows = reader.since(peer.newest(), peer.config_row_version());
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
    let rows = reader.since(RowVersion(10), RowVersion(10));
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
