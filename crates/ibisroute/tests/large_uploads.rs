//! Uploads of 64 MB through two nodes.

mod common;

use std::time::Duration;

use common::cluster;
use common::cluster::WAIT_TIMEOUT;
use common::load;
use standins::body::Checksum;
use standins::body::Filler;
use standins::harness::Cluster;
use standins::http::Request;
use standins::measure;
use standins::target::TargetOptions;
use standins::wait;

/// Length of an upload body in bytes.
const UPLOAD_BYTES: usize = 64 << 20;

/// Maximum allowed growth of a node's resident set during an upload, in bytes.
const MAX_MEMORY_GROWTH_BYTES: u64 = 24 << 20;

/// Starts two nodes with a target at the second; callers use the first.
fn start_two_nodes() -> Cluster {
    let mut cluster =
        cluster::builder().data_centre("erongo-1", "erongo", 2).start().expect("nodes start");
    let options = TargetOptions {
        service: "plateroom".to_string(),
        instance: "plateroom-1".to_string(),
        ..TargetOptions::default()
    };
    cluster.start_target(1, options).expect("a target starts");
    cluster.wait_targets(1, cluster::WAIT_TIMEOUT).expect("targets become ready");
    let version = cluster::apply(&cluster, &cluster::catalogue());
    cluster.wait_ready(WAIT_TIMEOUT).expect("nodes serve");
    cluster.wait_version(version, WAIT_TIMEOUT).expect("the version is in effect");
    cluster
}

/// Returns the resident set size of each node, in bytes.
fn resident_bytes(cluster: &Cluster) -> Vec<u64> {
    let process_ids = cluster.nodes().iter().map(|node| node.process_id().expect("the node runs"));
    process_ids.map(|id| measure::usage(id).expect("the process exists").resident_bytes).collect()
}

fn upload_request(cluster: &Cluster, id: &str) -> Request {
    let caller = cluster.node(0).addresses().expect("started").caller;
    Request::new("PUT", format!("http://{caller}/plateroom/scans/{id}"))
        .header("x-request-id", id)
        .body(Filler::new(id, UPLOAD_BYTES).into_bytes())
        .timeout(Duration::from_secs(20))
}

/// Runs an upload, and calls `while_sending` repeatedly until it ends. Returns the response and the
/// largest growth of a node's resident set, in bytes.
fn send_with_memory_monitor(
    cluster: &Cluster,
    request: Request,
    mut while_sending: impl FnMut(),
) -> (Result<standins::http::Response, standins::http::NoResponse>, u64) {
    let resident_bytes_before = resident_bytes(cluster);
    let sender_thread = std::thread::spawn(move || request.send());
    let mut max_growth_bytes = 0;
    wait::until_true("the upload to end", Duration::from_secs(20), || {
        while_sending();
        let resident_bytes_now = resident_bytes(cluster);
        let largest_node_growth = resident_bytes_now
            .iter()
            .zip(&resident_bytes_before)
            .map(|(n, b)| n.saturating_sub(*b))
            .max();
        max_growth_bytes = max_growth_bytes.max(largest_node_growth.unwrap_or_default());
        sender_thread.is_finished()
    })
    .expect("the upload ends");
    (sender_thread.join().expect("the caller ends"), max_growth_bytes)
}

/// Guards against uploads that a node buffers in memory, and against lost bytes.
#[test]
fn upload_uses_bounded_memory() {
    let cluster = start_two_nodes();
    let (response, max_growth_bytes) =
        send_with_memory_monitor(&cluster, upload_request(&cluster, "scan-1"), || {});
    let response = response.expect("the node responds");
    println!("resident set grew by {} KB", max_growth_bytes >> 10);
    assert_eq!(response.status, 200, "{response:?}");
    assert!(
        max_growth_bytes < MAX_MEMORY_GROWTH_BYTES,
        "resident set grew by {max_growth_bytes} bytes"
    );
    let expected_checksum = Checksum::of(&Filler::new("scan-1", UPLOAD_BYTES).into_bytes());
    let records = load::records(&cluster);
    assert_eq!(records.len(), 1);
    assert!(records[0].body_whole && records[0].body_checksum == expected_checksum, "{records:?}");
}

/// Guards against an upload that is acknowledged although its target was killed before the end of
/// the body.
#[test]
fn killed_target_acknowledges_nothing() {
    let mut cluster = start_two_nodes();
    let target = cluster.take_target("plateroom-1").expect("the target runs");
    let mut target = Some(target);
    let mut records = Vec::new();
    let request = upload_request(&cluster, "scan-2");
    let (response, max_growth_bytes) = send_with_memory_monitor(&cluster, request, || {
        if target.as_ref().is_some_and(|t| t.in_flight() > 0) {
            records = target.take().expect("the target has not been killed").kill();
        }
    });
    println!("resident set grew by {} KB; {response:?}", max_growth_bytes >> 10);
    assert!(records.iter().all(|r| !r.body_whole), "the target was killed too late: {records:?}");
    assert_eq!(records.len(), 1, "the target did not get the upload");
    assert!(
        max_growth_bytes < MAX_MEMORY_GROWTH_BYTES,
        "resident set grew by {max_growth_bytes} bytes"
    );
    // A closed connection does not acknowledge the upload either.
    let Ok(response) = response else { return };
    assert!(!(200..300).contains(&response.status), "{response:?}");
    assert_eq!(response.header("x-ibis-outcome"), Some("may-have-run"), "{response:?}");
}
