//! Versions that must be rejected whole, followed by good ones.

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

/// The bytes of the version in effect, as the platform stores them.
fn stored(cluster: &Cluster) -> Vec<u8> {
    let head = cluster.platform().row("head").expect("there is a head").value;
    let digest = head["digest"].as_str().expect("the head has a digest").to_string();
    let object = cluster.platform().with_store(|s| s.object(&format!("catalogue/{digest}")));
    object.expect("the head has a body").to_vec()
}

/// Status of a call to the path on each node.
fn statuses(cluster: &Cluster, path: &str) -> Vec<u16> {
    let status = |caller| {
        let url = format!("http://{caller}{path}");
        let request = Request::new("GET", url).header("X-Ibis-Deadline-Ms", "2000");
        request.send().expect("a node answers").status
    };
    cluster.callers().into_iter().map(status).collect()
}

/// Waits until every node has seen the head, and checks that all still serve `version` whole: the
/// old route works and the new one of the bad version is absent.
fn seen_but_not_applied(cluster: &Cluster, bad: u64, version: u64, what: &str) {
    cluster
        .wait_all("the bad head to be seen", cluster::WAIT_TIMEOUT, |node| {
            let status = node.admin("/status").map(|response| response.json());
            status.is_some_and(|s| s["head_version"].as_u64() >= Some(bad))
        })
        .expect("the bad head spreads");
    let in_effect: Vec<_> = cluster.nodes().iter().map(|node| node.version()).collect();
    assert!(in_effect.iter().all(|v| *v == Some(version)), "{what}: {in_effect:?}");
    assert!(statuses(cluster, "/counter/sheets").iter().all(|s| *s == 200), "{what}");
    assert!(statuses(cluster, "/counter/new").iter().all(|s| *s == 404), "{what}");
}

fn wait_rejected(cluster: &Cluster, bad: u64, what: &str) {
    cluster
        .wait_all("the bad version to be rejected", cluster::CONVERGENCE_BOUND, |node| {
            let status = node.admin("/status").map(|response| response.json());
            status.is_some_and(|s| s["rejected"]["version"].as_u64() == Some(bad))
        })
        .expect(what);
}

/// Part of the canonical bytes of the new entry.
const NEW_ENTRY: &str = "\"service\":\"counter\",\"path\":\"/counter/new\"";

fn canonical(document: &Value) -> String {
    let parsed = ibisroute::catalogue::parse(document.to_string().as_bytes());
    let bytes = ibisroute::catalogue::canonical_bytes(&parsed.expect("the document is valid"));
    String::from_utf8(bytes).expect("JSON is UTF-8")
}

fn with_new_entry(document: &Value, service: &str) -> Value {
    let mut document = document.clone();
    let mut entry = document["entries"][0].clone();
    entry["name"] = json!("new");
    entry["path"] = json!("/counter/new");
    entry["service"] = json!(service);
    document["entries"].as_array_mut().expect("entries are a list").push(entry);
    document
}

/// Guards against a bad version that is applied in part, and against one that stops the next good
/// one: an invalid catalogue, a route to a service that is absent, a truncated body, a body with
/// another digest, and a body that is absent.
#[test]
fn bad_versions_rejected_whole() {
    let _slot = fleet::acquire_slot();
    let mut cluster =
        cluster::builder().data_centre("erongo-1", "erongo", 4).start().expect("nodes start");
    let mut version = cluster::start_serving(&mut cluster);
    let sampler = VersionSampler::start(&cluster);
    let good: Value = serde_json::from_slice(&stored(&cluster)).expect("a body is JSON");
    // All are made from canonical bytes, so that each has one fault only.
    let whole = canonical(&with_new_entry(&good, "counter"));
    let invalid = whole.replacen("\"deadline_ms\":2000", "\"deadline_ms\":0", 1);
    let missing =
        whole.replacen(NEW_ENTRY, &NEW_ENTRY.replace("counter\",\"path", "atlas\",\"path"), 1);
    assert!(invalid != whole && missing != whole, "{whole}");
    let truncated = whole[..whole.len() - 20].to_string();
    // What is written, whether its digest is right, and what it is.
    let cases = [
        (Some(invalid), true, "an invalid catalogue"),
        (Some(missing), true, "a service that is absent"),
        (Some(truncated.clone()), true, "a truncated body"),
        (Some(truncated), false, "a truncated body with the digest of the whole"),
        (Some(whole.clone()), false, "a valid body with another digest"),
        (None, false, "an absent body"),
    ];
    for (number, (body, digest_right, what)) in (0..).zip(cases) {
        let digest = match &body {
            Some(body) if digest_right => hex_digest(body.as_bytes()),
            _ => hex_digest(format!("{whole}{number}").as_bytes()),
        };
        let bad = fleet::write_head(&cluster, &digest, body.as_ref().map(String::as_bytes));
        seen_but_not_applied(&cluster, bad, version, what);
        if digest_right {
            wait_rejected(&cluster, bad, what);
            seen_but_not_applied(&cluster, bad, version, what);
        }
        let (next, accepted) = fleet::apply_numbered(&cluster, 10 + number);
        assert_eq!(next, bad + 1);
        fleet::wait_in_effect(&cluster, next, accepted, &format!("good version after {what}"));
        version = next;
    }
    sampler.check();
}

/// Guards against restarted nodes that find no version when the head is a rejected one, and
/// against ones that apply it: they serve the version before it.
#[test]
fn restart_onto_rejected_head() {
    let _slot = fleet::acquire_slot();
    let mut cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 4));
    let sampler = VersionSampler::start(&cluster);
    let mut bad = 0;
    for _ in 0..2 {
        let body = format!("{{\"format\": 1, \"after\": {bad}}}");
        let digest = hex_digest(body.as_bytes());
        bad = fleet::write_head(&cluster, &digest, Some(body.as_bytes()));
        wait_rejected(&cluster, bad, "the head is rejected");
    }
    for nodes in [vec![0], vec![0, 1], vec![0, 1, 2, 3]] {
        cluster.kill_nodes(&nodes).expect("nodes are killed");
        sampler.record_kill(&nodes);
        let restarted = Instant::now();
        cluster.start_nodes(&nodes).expect("nodes start");
        fleet::wait_serving(
            &cluster,
            1,
            restarted,
            &format!("{} of 4 onto rejected heads", nodes.len()),
        );
        assert!(cluster.nodes().iter().all(|node| node.version() == Some(1)));
    }
    let (next, accepted) = fleet::apply_numbered(&cluster, 2);
    fleet::wait_in_effect(&cluster, next, accepted, "good version after rejected heads");
    sampler.check();
}

/// Guards against a restarted node that guesses when the body of the head cannot be had: it must
/// refuse calls until the next version, because a peer out of reach may have the head in effect.
#[test]
fn restart_onto_absent_body() {
    let _slot = fleet::acquire_slot();
    let mut cluster = fleet::start_cluster(cluster::builder().data_centre("erongo-1", "erongo", 3));
    let sampler = VersionSampler::start(&cluster);
    let bad = fleet::write_head(&cluster, &hex_digest(b"absent"), None);
    cluster.kill_nodes(&[0]).expect("the node is killed");
    sampler.record_kill(&[0]);
    cluster.start_nodes(&[0]).expect("the node starts");
    let started = Instant::now();
    while started.elapsed() < cluster::CONVERGENCE_BOUND {
        assert!(fleet::refuses_as_starting(cluster.node(0)), "it serves without the head");
        assert_eq!(cluster.node(1).version(), Some(1), "the others keep what they have");
    }
    let (next, accepted) = fleet::apply_numbered(&cluster, 2);
    assert_eq!(next, bad + 1);
    fleet::wait_serving(&cluster, next, accepted, "good version after an absent body");
    sampler.check();
}
