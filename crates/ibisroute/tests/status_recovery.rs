//! What nodes know of each other after a connection or a read of the store has failed.

mod common;

use std::time::Duration;

use standins::mesh::fleet::FleetOptions;
use standins::mesh::fleet::MeshFleet;
use standins::mesh::fleet::READ_PATH;
use standins::wait;

use crate::common::mesh::TempFolder;

/// Time within which each node has sent its status to the others; statuses are 500 ms apart.
const STATUS_EXCHANGE: Duration = Duration::from_secs(1);

/// Required maximum time to apply a configuration when the store answers nothing: twice the usual 2 s.
const APPLY_BOUND: Duration = Duration::from_secs(4);

fn start_fleet(name: &str, count: usize) -> (MeshFleet, TempFolder) {
    common::mesh::start_fleet(name, FleetOptions { count, ..FleetOptions::default() })
}

/// Guards against a node that forgets a peer with its broken connection and is then told of loads only: it
/// would send no requests to the peer's target until something else about the peer changes.
#[test]
fn reset_links() {
    let (fleet, _folder) = start_fleet("reset", 2);
    std::thread::sleep(STATUS_EXCHANGE);
    // Connections to the second node go through its relay; its own connection to the first stays.
    fleet.nodes[1].peer_relay.reset_existing();
    std::thread::sleep(STATUS_EXCHANGE);
    assert_eq!(fleet.nodes[0].peers(), 1, "connected again");
    std::thread::sleep(STATUS_EXCHANGE);
    let executed_before = fleet.instances[1].executions().len();
    std::thread::scope(|scope| {
        for worker in 0..8 {
            let node = &fleet.nodes[0];
            scope.spawn(move || {
                for n in 0..10 {
                    let id = format!("reset-{worker}-{n}");
                    let response =
                        node.request("GET", READ_PATH, &id, Duration::from_millis(1_200));
                    assert_eq!(response.map(|r| r.status), Some(200), "{id}");
                }
            });
        }
    });
    let executed = fleet.instances[1].executions().len() - executed_before;
    assert!(executed > 0, "no request reached the instance beside the other node");
}

/// Guards against a node that asks its peers for rows only when a status arrives: its read of the store may
/// fail after the last one.
#[test]
fn failed_read() {
    let (mut fleet, _folder) = start_fleet("failed-read", 4);
    fleet.nodes[3].store_relay.change_rules(|r| r.silence_new = true);
    fleet.nodes[3].store_relay.reset_existing();
    fleet.write_configuration_with_idle_routes(1_500, 1_600);
    let newest = fleet.config_version() as f64;
    wait::until_true("the configuration to reach the node", APPLY_BOUND, || {
        fleet.nodes[3].metric("ibis_config_version") == Some(newest)
    })
    .expect("in effect in time");
}
