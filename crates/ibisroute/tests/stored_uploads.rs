//! Uploads that no target can accept: stored durably, then delivered when a target is available.

mod common;

use std::time::Duration;

use common::cluster;
use common::cluster::WAIT_TIMEOUT;
use standins::body::Checksum;
use standins::body::Filler;
use standins::harness::Cluster;
use standins::http::Request;
use standins::http::Response;
use standins::platform::faults::Outage;
use standins::platform::faults::PlatformFaults;
use standins::target::TargetOptions;
use standins::target::record::ExecutedRequest;
use standins::wait;

/// Length of an upload body: two full chunks of the default size, and part of a third.
const BODY_BYTES: usize = (2 << 20) + 12_345;

fn start_two_nodes() -> Cluster {
    let cluster = cluster::builder()
        .section("uploads", serde_json::json!({"scan_period_ms": 200, "retry_pause_ms": 200}))
        .data_centre("erongo-1", "erongo", 2)
        .start()
        .expect("nodes start");
    cluster::apply(&cluster, &cluster::catalogue());
    cluster.wait_ready(WAIT_TIMEOUT).expect("nodes serve");
    cluster
}

fn send_upload(cluster: &Cluster, id: &str) -> Response {
    let caller = cluster.node(0).addresses().expect("the node runs").caller;
    Request::new("PUT", format!("http://{caller}/plateroom/scans/{id}"))
        .header("x-request-id", id)
        .body(Filler::new(id, BODY_BYTES).into_bytes())
        .timeout(Duration::from_secs(20))
        .send()
        .expect("the node responds")
}

fn start_plateroom_target(cluster: &mut Cluster) {
    let options = TargetOptions {
        service: "plateroom".to_string(),
        instance: "plateroom-1".to_string(),
        ..TargetOptions::default()
    };
    cluster.start_target(1, options).expect("a target starts");
}

fn delivery_records(cluster: &Cluster, id: &str) -> Vec<ExecutedRequest> {
    let records = cluster.targets().flat_map(|(_, t)| t.records());
    records.filter(|r| r.request_id == id && r.body_whole).collect()
}

/// Waits until an upload is delivered and deleted from the platform, and checks the delivered body.
fn assert_delivered(cluster: &Cluster, id: &str) {
    wait::until_true("the upload to be delivered", WAIT_TIMEOUT, || {
        !delivery_records(cluster, id).is_empty()
            && cluster.platform().row(&format!("upload/{id}")).is_none()
            && cluster.platform().object_names(&format!("upload/{id}/")).is_empty()
    })
    .expect("the upload is delivered");
    let expected_checksum = Checksum::of(&Filler::new(id, BODY_BYTES).into_bytes());
    for record in delivery_records(cluster, id) {
        assert_eq!(
            (record.body_bytes, record.body_checksum),
            (BODY_BYTES as u64, expected_checksum)
        );
    }
}

/// Guards against an acknowledged upload that is lost because no target was available.
#[test]
fn stored_upload_is_delivered() {
    let mut cluster = start_two_nodes();
    let response = send_upload(&cluster, "scan-1");
    assert_eq!(response.status, 202, "{response:?}");
    assert_eq!(cluster.platform().rows("upload/").len(), 1);
    start_plateroom_target(&mut cluster);
    assert_delivered(&cluster, "scan-1");
}

/// Guards against an acknowledged upload that is lost with the node that accepted it.
#[test]
fn stored_upload_survives_killed_node() {
    let mut cluster = start_two_nodes();
    let response = send_upload(&cluster, "scan-2");
    assert_eq!(response.status, 202, "{response:?}");
    cluster.kill_nodes(&[0]).expect("the node is killed");
    start_plateroom_target(&mut cluster);
    assert_delivered(&cluster, "scan-2");
}

/// Guards against lost responses of the platform that make an upload fail, or count as stored when
/// it is not.
#[test]
fn uploads_survive_lost_platform_responses() {
    let mut cluster = start_two_nodes();
    cluster.platform().set_faults(PlatformFaults {
        lose_share: 0.4,
        seed: 7,
        ..PlatformFaults::default()
    });
    let statuses: Vec<(String, u16)> = (0..5)
        .map(|n| format!("scan-{n}"))
        .map(|id| (id.clone(), send_upload(&cluster, &id).status))
        .collect();
    let stored_ids: Vec<&str> =
        statuses.iter().filter(|(_, s)| *s == 202).map(|(id, _)| id.as_str()).collect();
    assert!(!stored_ids.is_empty(), "{statuses:?}");
    cluster.platform().set_faults(PlatformFaults::default());
    start_plateroom_target(&mut cluster);
    stored_ids.into_iter().for_each(|id| assert_delivered(&cluster, id));
}

/// Guards against an upload that is acknowledged although neither a target nor the object store has
/// it.
#[test]
fn upload_that_cannot_be_stored_is_not_run() {
    let cluster = start_two_nodes();
    let faults = PlatformFaults { outage: Outage::Unavailable, ..Default::default() };
    cluster.platform().set_faults(faults);
    let response = send_upload(&cluster, "scan-3");
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(response.header("x-ibis-outcome"), Some("not-run"), "{response:?}");
    assert!(cluster.platform().rows("upload/").is_empty());
}
