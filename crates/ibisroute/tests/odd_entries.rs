//! Entries of another writer in the tables and heartbeats that nodes read.

mod common;

use std::time::Duration;

use ibisroute::platform::heartbeat;
use ibisroute::platform::rows;
use standins::http::Request;
use standins::mesh::fleet::FleetOptions;
use standins::mesh::fleet::MeshFleet;
use standins::wait;

use crate::common::mesh::TempFolder;

/// Time within which a node serves again after its restart.
const RESTART_BOUND: Duration = Duration::from_secs(3);

/// Required maximum time to apply a configuration.
const APPLY_BOUND: Duration = Duration::from_secs(2);

fn start_fleet(name: &str) -> (MeshFleet, TempFolder) {
    common::mesh::start_fleet(name, FleetOptions { count: 3, ..FleetOptions::default() })
}

fn nested(levels: usize) -> String {
    "[".repeat(levels) + &"]".repeat(levels)
}

/// Values that are no entry of a node.
fn odd_values() -> Vec<String> {
    vec![
        nested(20_000),
        format!(r#"{{"address":"127.0.0.1:7005","data_centre":"dc-0","more":{}}}"#, nested(20_000)),
        r#"{"address":"127.0.0.1:99999","data_centre":"dc-0"}"#.to_string(),
        r#"{"address":"127.0.0.1:0","data_centre":"dc-0"}"#.to_string(),
        r#"{"address":1e999,"data_centre":"dc-0"}"#.to_string(),
        r#"{"address":"127.0.0.1:7005","data_centre":"dc-0","since":1e999}"#.to_string(),
        r#"{"address":["127.0.0.1"],"data_centre":null}"#.to_string(),
        "\u{0}\u{1}".to_string(),
        String::new(),
    ]
}

/// Guards against nodes that end, or that no longer find each other, because of odd entries in the table of
/// nodes; also when they read it at their start.
#[test]
fn node_table() {
    let (mut fleet, _folder) = start_fleet("odd-nodes");
    for (i, value) in odd_values().iter().enumerate() {
        fleet.store.put("ibis-nodes", &format!("a-{i}"), value);
        fleet.store.put("ibis-nodes", &format!("host-1{i}"), value);
    }
    fleet.store.put("ibis-nodes", "", &odd_values()[0]);
    fleet.store.put("ibis-nodes", "no name of a node\u{7}", r#"{"address":"127.0.0.1:1"}"#);
    for i in 0..fleet.nodes.len() {
        fleet.kill(i).expect("killed");
    }
    for i in 0..fleet.nodes.len() {
        fleet.start_node(i).expect("started again");
    }
    fleet.wait_serving(RESTART_BOUND).expect("all serve again and know each other");
}

/// Guards against nodes that end, or that miss later changes, because of odd rows in the tables that they
/// watch.
#[test]
fn watched_tables() {
    let (mut fleet, _folder) = start_fleet("odd-rows");
    for (i, value) in odd_values().iter().enumerate() {
        fleet.store.put("op", &format!("rollout/odd{i}"), value);
        fleet.store.put("op", &format!("odd-{i}"), value);
        fleet.store.put("status", "rollout/counter", value);
    }
    fleet.store.put("op", "config", &nested(20_000));
    let huge = r#"{"service":"counter","to":"v9","duration_s":1e300}"#;
    fleet.store.put("op", "rollout/counter", huge);
    fleet.write_configuration(1_500);
    let version = fleet.config_version() as f64;
    for node in &fleet.nodes {
        let name = format!("{} to apply the change", node.name);
        let is_applied = || node.metric("ibis_config_version") == Some(version);
        wait::until_true(&name, APPLY_BOUND, is_applied).expect("in effect in time");
    }
    fleet.wait_serving(RESTART_BOUND).expect("all serve");
}

/// Guards against odd heartbeats that end the node or take the place of the target.
#[test]
fn heartbeats() {
    let valid = r#"{"address":"127.0.0.1:8080","info":{"service":"counter","version":"v1","zone":"dc-0","slots":4},"status":{"state":"ready","sequence":9000,"cold_remaining_s":0},"born":1000}"#;
    assert!(heartbeat::decode(valid.as_bytes()).is_ok());
    let odd = [
        ("\"slots\":4", "\"slots\":4294967295".to_string()),
        ("\"slots\":4", "\"slots\":1e999".to_string()),
        ("\"sequence\":9000", "\"sequence\":18446744073709551615".to_string()),
        ("\"born\":1000", "\"born\":18446744073709551615".to_string()),
        ("\"born\":1000", format!("\"born\":1000,\"more\":{}1", "[".repeat(20_000))),
        ("127.0.0.1:8080", "127.0.0.1:80800".to_string()),
        ("127.0.0.1:8080", "127.0.0.1:0".to_string()),
        ("\"cold_remaining_s\":0", "\"cold_remaining_s\":1e300".to_string()),
    ];
    let (fleet, _folder) = start_fleet("odd-heartbeats");
    for (from, to) in odd {
        let body = valid.replace(from, &to);
        assert_ne!(body, valid);
        let excerpt: String = body.chars().take(300).collect();
        assert!(heartbeat::decode(body.as_bytes()).is_err(), "{excerpt}");
        let url = format!("http://{}/-/instances/i-0", fleet.nodes[0].targets);
        let response = Request::new("PUT", url).body(body).send().expect("an answer");
        assert_eq!(response.status, 400, "{excerpt}");
    }
    fleet.wait_serving(RESTART_BOUND).expect("all serve");
}

/// Guards against a page of rows that is lost because of one row that cannot be read.
#[test]
fn page_of_rows() {
    let good = r#"{"table":"op","part":"","key":"config","value":"YQ==","resource_version":7}"#;
    for odd in [
        r#"{"key":"x","value":"*","resource_version":8}"#.to_string(),
        r#"{"key":"x","value":"YQ==","resource_version":1e999}"#.to_string(),
        r#"{"key":"x","value":"YQ==","resource_version":99999999999999999999}"#.to_string(),
        r#"{"key":7,"value":"YQ==","resource_version":8}"#.to_string(),
        r#"{"value":"YQ==","resource_version":8}"#.to_string(),
        format!(r#"{{"key":"x","value":{},"resource_version":8}}"#, nested(20_000)),
    ] {
        let body = format!(r#"{{"rows":[{odd},{good}],"has_more":true,"resource_version":9}}"#);
        let excerpt: String = body.chars().take(200).collect();
        let page = rows::decode_page(body.as_bytes()).expect(&excerpt);
        let keys: Vec<&str> = page.rows.iter().map(|r| r.key.as_str()).collect();
        assert_eq!(keys, ["config"], "{excerpt}");
        assert_eq!((page.version.0, page.has_more), (9, true), "{excerpt}");
    }
}
