//! Configuration versions applied in quick succession under load.

mod common;

use std::time::Instant;

use common::cluster;
use common::fleet;
use common::fleet::VersionSampler;
use serde_json::Value;
use serde_json::json;
use standins::caller::CallerOptions;
use standins::caller::CallerStandin;
use standins::caller::Class;

/// Versions applied in succession.
const VERSIONS: u64 = 12;

/// Returns a catalogue whose first entry alternates between the two services. Every third version
/// also has a third service with an entry.
fn alternating_route(number: u64) -> Value {
    let mut document = fleet::catalogue(number);
    let service = ["counter", "plateroom"][(number % 2) as usize];
    document["entries"][0]["service"] = json!(service);
    if number.is_multiple_of(3) {
        let mut extra = document["services"][0].clone();
        extra["name"] = json!("atlas");
        document["services"].as_array_mut().expect("services are a list").push(extra);
        let mut entry = document["entries"][0].clone();
        entry["name"] = json!("atlas-search");
        entry["path"] = json!("/atlas");
        entry["service"] = json!("atlas");
        document["entries"].as_array_mut().expect("entries are a list").push(entry);
    }
    document
}

/// Guards against a version that is applied in part, and against versions applied out of order: while
/// one route alternates between services and another is added and removed, all calls to the route
/// that stays succeed. A call to the alternating route may pass nodes with different versions; it may
/// then be refused as "not run", but never fails because a route's service is missing. The last
/// version is in effect on all nodes in time.
#[test]
fn rapid_versions_under_calls() {
    let _slot = fleet::acquire_slot();
    let mut cluster =
        cluster::builder().data_centre("erongo-1", "erongo", 4).start().expect("nodes start");
    let mut version = cluster::start_serving(&mut cluster);
    let sampler = VersionSampler::start(&cluster);
    let mut queries = cluster::all_calls();
    queries.retain(|call| matches!(call.class, Class::CounterQuery | Class::InternalQuery));
    let options =
        CallerOptions { calls: queries, rate_per_s: Some(400.0), ..cluster::mixed_calls(&cluster) };
    let caller = CallerStandin::start(options).expect("the caller starts");
    for number in 0..VERSIONS {
        version = cluster::apply(&cluster, &alternating_route(number));
    }
    fleet::wait_in_effect(&cluster, version, Instant::now(), "last of 12 versions");
    let after = caller.ended() + 300;
    fleet::eventually("calls under the last version", || caller.ended() >= after);
    let summary = caller.stop();
    println!("{}", summary.to_json());
    let alternating = &summary.classes[&Class::CounterQuery];
    let unchanged = &summary.classes[&Class::InternalQuery];
    assert_eq!(unchanged.failed(), 0, "{}", summary.to_json());
    assert_eq!(alternating.failed(), alternating.not_run, "{}", summary.to_json());
    assert!(alternating.ok >= 50 && unchanged.ok >= 50, "{}", summary.to_json());
    sampler.check();
}
