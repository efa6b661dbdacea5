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

/// Number of versions applied in succession.
const VERSIONS: u64 = 12;

/// Returns a catalogue whose first entry alternates between the two services. Every third version
/// also has a third service with an entry.
fn alternating_catalogue(number: u64) -> Value {
    let mut document = fleet::catalogue(number);
    let service = ["counter", "plateroom"][(number % 2) as usize];
    document["entries"][0]["service"] = json!(service);
    if number.is_multiple_of(3) {
        let mut third_service = document["services"][0].clone();
        third_service["name"] = json!("atlas");
        document["services"].as_array_mut().expect("services are a list").push(third_service);
        let mut entry = document["entries"][0].clone();
        entry["name"] = json!("atlas-search");
        entry["path"] = json!("/atlas");
        entry["service"] = json!("atlas");
        document["entries"].as_array_mut().expect("entries are a list").push(entry);
    }
    document
}

/// Guards against a version that is applied in part, and against versions applied out of order:
/// while one route alternates between services and another is added and removed, all calls to the
/// route that stays unchanged succeed. A call to the alternating route may pass two nodes with
/// different versions in effect; it may then be refused as "not run", but never fails because the
/// service of its route is missing. The last version is in effect on all nodes in time.
#[test]
fn rapid_versions_fail_no_calls_of_unchanged_route() {
    let _slot = fleet::acquire_slot();
    let mut cluster =
        cluster::builder().data_centre("erongo-1", "erongo", 4).start().expect("nodes start");
    let mut version = cluster::start_serving(&mut cluster);
    let sampler = VersionSampler::start(&cluster);
    let mut queries = cluster::all_calls();
    queries.retain(|call| matches!(call.class, Class::CounterQuery | Class::InternalQuery));
    let options = CallerOptions {
        calls: queries,
        rate_per_s: Some(400.0),
        ..cluster::mixed_call_options(&cluster)
    };
    let caller = CallerStandin::start(options).expect("the caller starts");
    for number in 0..VERSIONS {
        version = cluster::apply(&cluster, &alternating_catalogue(number));
    }
    fleet::wait_in_effect(&cluster, version, Instant::now(), "last of 12 versions");
    let calls_needed = caller.ended() + 300;
    fleet::eventually("calls under the last version", || caller.ended() >= calls_needed);
    let summary = caller.stop();
    println!("{}", summary.to_json());
    let alternating_route_calls = &summary.classes[&Class::CounterQuery];
    let unchanged_route_calls = &summary.classes[&Class::InternalQuery];
    assert_eq!(unchanged_route_calls.failed(), 0, "{}", summary.to_json());
    assert_eq!(
        alternating_route_calls.failed(),
        alternating_route_calls.not_run,
        "{}",
        summary.to_json()
    );
    assert!(
        alternating_route_calls.ok >= 50 && unchanged_route_calls.ok >= 50,
        "{}",
        summary.to_json()
    );
    sampler.check();
}
