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

/// Length of an upload.
const UPLOAD_BYTES: usize = 64 << 20;

/// Stated bound on the growth of a node's resident set during an upload.
const MEMORY_BOUND: u64 = 24 << 20;

/// Two nodes; the target is beside the second, the caller uses the first.
fn pair() -> Cluster {
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

fn resident(cluster: &Cluster) -> Vec<u64> {
    let ids = cluster.nodes().iter().map(|node| node.process_id().expect("the node runs"));
    ids.map(|id| measure::usage(id).expect("the process exists").resident_bytes).collect()
}

fn upload(cluster: &Cluster, id: &str) -> Request {
    let caller = cluster.node(0).addresses().expect("started").caller;
    Request::new("PUT", format!("http://{caller}/plateroom/scans/{id}"))
        .header("x-request-id", id)
        .body(Filler::new(id, UPLOAD_BYTES).whole())
        .timeout(Duration::from_secs(20))
}

/// Runs an upload and returns its answer and the largest growth of a node's resident set meanwhile.
fn run_watched(
    cluster: &Cluster,
    request: Request,
    mut during: impl FnMut(),
) -> (Result<standins::http::Response, standins::http::NoResponse>, u64) {
    let before = resident(cluster);
    let sending = std::thread::spawn(move || request.send());
    let mut grown = 0;
    wait::until_true("the upload to end", Duration::from_secs(20), || {
        during();
        let now = resident(cluster);
        let most = now.iter().zip(&before).map(|(n, b)| n.saturating_sub(*b)).max();
        grown = grown.max(most.unwrap_or_default());
        sending.is_finished()
    })
    .expect("the upload ends");
    (sending.join().expect("the caller ends"), grown)
}

/// Guards against uploads that are buffered on their way, or lose bytes.
#[test]
fn memory_is_bounded() {
    let cluster = pair();
    let (answer, grown) = run_watched(&cluster, upload(&cluster, "scan-1"), || {});
    let answer = answer.expect("the node answers");
    println!("resident set grew by {} KB", grown >> 10);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(grown < MEMORY_BOUND, "resident set grew by {grown} bytes");
    let whole = Checksum::of(&Filler::new("scan-1", UPLOAD_BYTES).whole());
    let records = load::records(&cluster);
    assert_eq!(records.len(), 1);
    assert!(records[0].body_whole && records[0].body_checksum == whole, "{records:?}");
}

/// Guards against an upload that is acknowledged although its target died before the end of the body.
#[test]
fn killed_target_acknowledges_nothing() {
    let mut cluster = pair();
    let target = cluster.take_target("plateroom-1").expect("the target runs");
    let mut target = Some(target);
    let mut records = Vec::new();
    let request = upload(&cluster, "scan-2");
    let (answer, grown) = run_watched(&cluster, request, || {
        if target.as_ref().is_some_and(|t| t.in_flight() > 0) {
            records = target.take().expect("just seen").kill();
        }
    });
    println!("resident set grew by {} KB; {answer:?}", grown >> 10);
    assert!(records.iter().all(|r| !r.body_whole), "the target was killed too late: {records:?}");
    assert_eq!(records.len(), 1, "the target did not get the upload");
    assert!(grown < MEMORY_BOUND, "resident set grew by {grown} bytes");
    // A broken connection is no acknowledgement either.
    let Ok(answer) = answer else { return };
    assert!(!(200..300).contains(&answer.status), "{answer:?}");
    assert_eq!(answer.header("x-ibis-outcome"), Some("may-have-run"), "{answer:?}");
}
