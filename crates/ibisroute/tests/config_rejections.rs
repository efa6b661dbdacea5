//! Versions that must be rejected as a whole, followed by valid ones.

mod common;

use std::time::Instant;

use common::cluster;
use common::fleet;
use common::fleet::VersionSampler;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use standins::harness::Cluster;
use standins::http::Request;

fn hex_digest(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|b| format!("{b:02x}")).collect()
}

/// Returns the stored bytes of the catalogue whose digest is in the head row.
fn stored_catalogue(cluster: &Cluster) -> Vec<u8> {
    let head = cluster.platform().row("head").expect("there is a head").value;
    let digest = head["digest"].as_str().expect("the head has a digest").to_string();
    let object = cluster.platform().with_store(|s| s.object(&format!("catalogue/{digest}")));
    object.expect("the head has a body").to_vec()
}

/// Returns the HTTP status of one call to `path` through each node.
fn statuses(cluster: &Cluster, path: &str) -> Vec<u16> {
    let status = |caller| {
        let url = format!("http://{caller}{path}");
        let request = Request::new("GET", url).header("X-Ibis-Deadline-Ms", "2000");
        request.send().expect("a node answers").status
    };
    cluster.callers().into_iter().map(status).collect()
}

/// Waits until every node has seen the rejected head, and checks that all still serve `version`
/// unchanged: its route works and the new route of the rejected version is absent.
fn assert_not_applied(cluster: &Cluster, rejected_version: u64, version: u64, case: &str) {
    cluster
        .wait_all("the rejected head to be seen", cluster::WAIT_TIMEOUT, |node| {
            let status = node.admin("/status").map(|response| response.json());
            status.is_some_and(|s| s["head_version"].as_u64() >= Some(rejected_version))
        })
        .expect("every node sees the rejected head");
    let in_effect: Vec<_> = cluster.nodes().iter().map(|node| node.version()).collect();
    assert!(in_effect.iter().all(|v| *v == Some(version)), "{case}: {in_effect:?}");
    assert!(statuses(cluster, "/counter/sheets").iter().all(|s| *s == 200), "{case}");
    assert!(statuses(cluster, "/counter/new").iter().all(|s| *s == 404), "{case}");
}

/// Waits until every node reports that it has rejected the version.
fn wait_until_rejected(cluster: &Cluster, version: u64, case: &str) {
    cluster
        .wait_all("the version to be rejected", cluster::CONVERGENCE_BOUND, |node| {
            let status = node.admin("/status").map(|response| response.json());
            status.is_some_and(|s| s["rejected"]["version"].as_u64() == Some(version))
        })
        .expect(case);
}

/// Text by which the new entry is found in the canonical bytes of a catalogue.
const NEW_ENTRY_FIELDS: &str = "\"service\":\"counter\",\"path\":\"/counter/new\"";

fn canonical_text(document: &Value) -> String {
    let parsed = ibisroute::catalogue::parse(document.to_string().as_bytes());
    let bytes = ibisroute::catalogue::canonical_bytes(&parsed.expect("the document is valid"));
    String::from_utf8(bytes).expect("JSON is UTF-8")
}

/// Adds an entry for the path `/counter/new` to a catalogue.
fn with_new_entry(document: &Value, service: &str) -> Value {
    let mut document = document.clone();
    let mut entry = document["entries"][0].clone();
    entry["name"] = json!("new");
    entry["path"] = json!("/counter/new");
    entry["service"] = json!(service);
    document["entries"].as_array_mut().expect("entries are a list").push(entry);
    document
}

/// Guards against an invalid version that is applied in part, and against one that blocks the valid
/// version after it. The cases are an invalid catalogue, a route to a missing service, a truncated
/// catalogue, one whose digest does not match, and a missing one.
#[test]
fn invalid_versions_are_rejected_whole() {
    let _slot = fleet::acquire_slot();
    let mut cluster =
        cluster::builder().data_centre("erongo-1", "erongo", 4).start().expect("nodes start");
    let mut version = cluster::start_serving(&mut cluster);
    let sampler = VersionSampler::start(&cluster);
    let valid_document: Value =
        serde_json::from_slice(&stored_catalogue(&cluster)).expect("the catalogue is JSON");
    // All cases derive from canonical bytes, so that each has a single fault.
    let valid_bytes = canonical_text(&with_new_entry(&valid_document, "counter"));
    let invalid = valid_bytes.replacen("\"deadline_ms\":2000", "\"deadline_ms\":0", 1);
    let missing_service = valid_bytes.replacen(
        NEW_ENTRY_FIELDS,
        &NEW_ENTRY_FIELDS.replace("counter\",\"path", "atlas\",\"path"),
        1,
    );
    assert!(invalid != valid_bytes && missing_service != valid_bytes, "{valid_bytes}");
    let truncated = valid_bytes[..valid_bytes.len() - 20].to_string();
    // Stored bytes, whether the digest of the head matches them, and a description.
    let cases = [
        (Some(invalid), true, "an invalid catalogue"),
        (Some(missing_service), true, "a route to a missing service"),
        (Some(truncated.clone()), true, "a truncated catalogue"),
        (Some(truncated), false, "a truncated catalogue whose digest does not match"),
        (Some(valid_bytes.clone()), false, "a valid catalogue whose digest does not match"),
        (None, false, "a missing catalogue"),
    ];
    for (number, (body, digest_matches, case)) in (0..).zip(cases) {
        let digest = match &body {
            Some(body) if digest_matches => hex_digest(body.as_bytes()),
            _ => hex_digest(format!("{valid_bytes}{number}").as_bytes()),
        };
        let rejected_version =
            fleet::write_head(&cluster, &digest, body.as_ref().map(String::as_bytes));
        assert_not_applied(&cluster, rejected_version, version, case);
        if digest_matches {
            wait_until_rejected(&cluster, rejected_version, case);
            assert_not_applied(&cluster, rejected_version, version, case);
        }
        let (next_version, accepted_at) = fleet::apply_numbered_catalogue(&cluster, 10 + number);
        assert_eq!(next_version, rejected_version + 1);
        fleet::wait_in_effect(
            &cluster,
            next_version,
            accepted_at,
            &format!("valid version after {case}"),
        );
        version = next_version;
    }
    sampler.check();
}

/// Guards against restarted nodes that find no version, or apply a rejected one, when the newest
/// heads are rejected: they must serve the last valid version.
#[test]
fn restarted_nodes_serve_last_valid_version() {
    let _slot = fleet::acquire_slot();
    let mut cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 4));
    let sampler = VersionSampler::start(&cluster);
    let mut rejected_version = 0;
    for _ in 0..2 {
        let body = format!("{{\"format\": 1, \"after\": {rejected_version}}}");
        let digest = hex_digest(body.as_bytes());
        rejected_version = fleet::write_head(&cluster, &digest, Some(body.as_bytes()));
        wait_until_rejected(&cluster, rejected_version, "the head is rejected");
    }
    for nodes in [vec![0], vec![0, 1], vec![0, 1, 2, 3]] {
        cluster.kill_nodes(&nodes).expect("nodes are killed");
        sampler.record_kill(&nodes);
        let restarted_at = Instant::now();
        cluster.start_nodes(&nodes).expect("nodes start");
        fleet::wait_serving(
            &cluster,
            1,
            restarted_at,
            &format!("{} of 4 onto rejected heads", nodes.len()),
        );
        assert!(cluster.nodes().iter().all(|node| node.version() == Some(1)));
    }
    let (next_version, accepted_at) = fleet::apply_numbered_catalogue(&cluster, 2);
    fleet::wait_in_effect(
        &cluster,
        next_version,
        accepted_at,
        "valid version after rejected heads",
    );
    sampler.check();
}

/// Guards against a restarted node that serves an older version when the catalogue of the head
/// cannot be read: it must refuse calls until the next version, because an unreachable peer may
/// have the head in effect.
#[test]
fn restarted_node_refuses_calls_without_catalogue() {
    let _slot = fleet::acquire_slot();
    let mut cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 3));
    let sampler = VersionSampler::start(&cluster);
    let unreadable_version = fleet::write_head(&cluster, &hex_digest(b"absent"), None);
    cluster.kill_nodes(&[0]).expect("the node is killed");
    sampler.record_kill(&[0]);
    cluster.start_nodes(&[0]).expect("the node starts");
    let started_at = Instant::now();
    while started_at.elapsed() < cluster::CONVERGENCE_BOUND {
        assert!(fleet::refuses_as_starting(cluster.node(0)), "the node serves without the head");
        assert_eq!(cluster.node(1).version(), Some(1), "the other nodes keep their version");
    }
    let (next_version, accepted_at) = fleet::apply_numbered_catalogue(&cluster, 2);
    assert_eq!(next_version, unreadable_version + 1);
    fleet::wait_serving(
        &cluster,
        next_version,
        accepted_at,
        "valid version after a missing catalogue",
    );
    sampler.check();
}
