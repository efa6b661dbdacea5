//! Rows that reach a node after newer ones.

mod common;

use std::time::Duration;

use standins::mesh::fleet::FleetOptions;
use standins::mesh::fleet::MeshFleet;
use standins::wait;

use crate::common::mesh::TempFolder;

/// Required maximum time to apply a configuration.
const APPLY_BOUND: Duration = Duration::from_secs(2);

/// Time between an order of a move and the change of the configuration. A node that watches the store reads
/// them separately, and writes the status row of the move in between.
const CHANGE_AFTER: Duration = Duration::from_millis(15);

/// Rounds of an order and a change.
const ROUNDS: usize = 12;

fn start_fleet(name: &str) -> (MeshFleet, TempFolder) {
    common::mesh::start_fleet(name, FleetOptions { count: 5, ..FleetOptions::default() })
}

/// Guards against a change of the configuration that only the watchers of the store apply, because the
/// status row of a move, which is newer, has reached the other nodes first.
#[test]
fn change_beside_move() {
    let (mut fleet, _folder) = start_fleet("change-beside-move");
    for round in 0..ROUNDS {
        fleet.request_rollout(&format!("v{}", round + 2), Duration::from_secs(30));
        std::thread::sleep(CHANGE_AFTER);
        fleet.write_configuration(1_500);
        let version = fleet.config_version() as f64;
        for node in &fleet.nodes {
            let name = format!("{} to apply the change of round {round}", node.name);
            wait::until_true(&name, APPLY_BOUND, || {
                node.metric("ibis_config_version") == Some(version)
            })
            .expect("in effect in time");
        }
    }
}

/// Guards against an order of a move that only the watchers of the store know, because the status row of
/// another move has reached the other nodes first.
#[test]
fn two_moves() {
    let (fleet, _folder) = start_fleet("two-moves");
    for round in 0..ROUNDS {
        let version = format!("v{}", round + 2);
        fleet.request_rollout(&version, Duration::from_secs(30));
        std::thread::sleep(CHANGE_AFTER);
        fleet.request_rollout_of("archive", &version, Duration::from_secs(30));
        for node in &fleet.nodes {
            let name = format!("{} to learn of both moves of round {round}", node.name);
            wait::until_true(&name, APPLY_BOUND, || {
                let is_known = |service: &str| {
                    node.log().iter().any(|l| {
                        l.contains("\"rollout_ordered\"")
                            && l.contains(&format!("\"service\":\"{service}\""))
                            && l.contains(&format!("\"to\":\"{version}\""))
                    })
                };
                is_known("counter") && is_known("archive")
            })
            .expect("known in time");
        }
    }
}
