//! Responses of a target that have no end.

mod common;

use std::time::Duration;

use standins::mesh::fleet::FleetOptions;
use standins::mesh::fleet::MeshFleet;
use standins::mesh::fleet::ORDER_PATH;
use standins::mesh::fleet::READ_PATH;
use standins::mesh::instance::Behaviour;

use crate::common::mesh::TempFolder;

/// Memory that a node may use, in megabytes.
const MEMORY_LIMIT_MB: u64 = 64;

/// Callers that send requests to each node at the same time, twice as many as a target has slots.
const CALLERS: usize = 8;

/// Requests of each caller.
const REQUESTS: usize = 6;

/// Time that a caller waits for a response.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_200);

fn start_fleet(name: &str) -> (MeshFleet, TempFolder) {
    common::mesh::start_fleet(
        name,
        FleetOptions { memory_limit_mb: MEMORY_LIMIT_MB, ..FleetOptions::default() },
    )
}

/// Lets one of two targets respond without an end. Checks that the node beside it stays within its memory,
/// that each request is answered, and that most requests are served by the other target.
fn check_faulty_target(name: &str, behaviour: Behaviour) {
    let (mut fleet, _folder) = start_fleet(name);
    fleet.instances[0].set_behaviour(behaviour);
    let served = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..2 * CALLERS)
            .map(|caller| {
                let node = &fleet.nodes[caller % 2];
                scope.spawn(move || {
                    let request = |n| {
                        let id = format!("{name}-{caller}-{n}");
                        let (method, path) =
                            if n % 2 == 0 { ("GET", READ_PATH) } else { ("POST", ORDER_PATH) };
                        let response = node.request(method, path, &id, CALLER_TIMEOUT);
                        response.expect("an answer, not a closed connection").status
                    };
                    (0..REQUESTS).map(request).filter(|status| *status == 200).count()
                })
            })
            .collect();
        callers.into_iter().map(|c| c.join().expect("the caller ends")).sum::<usize>()
    });
    let node = &mut fleet.nodes[0];
    assert!(node.is_running(), "the node has ended");
    let peak_mb = node.peak_memory_bytes().expect("the memory is known") / 1024 / 1024;
    let requests = 2 * CALLERS * REQUESTS;
    println!("{name}: peak of {peak_mb} MB, {served} of {requests} served");
    assert!(peak_mb < MEMORY_LIMIT_MB, "the node held {peak_mb} MB");
    assert!(served * 2 > requests, "{served} of {requests} served");
}

/// Guards against a node that keeps all bytes of endless bodies: the platform ends it over its memory, and
/// the requests of all its callers with it.
#[test]
fn endless_body() {
    check_faulty_target("endless-body", Behaviour::EndlessBody);
}

/// Guards against a node that keeps all bytes of endless heads.
#[test]
fn endless_head() {
    check_faulty_target("endless-head", Behaviour::EndlessHead);
}

/// Guards against a node that reads responses to other requests until the deadline of its own request.
#[test]
fn endless_responses() {
    check_faulty_target("endless-responses", Behaviour::EndlessAnswers);
}
