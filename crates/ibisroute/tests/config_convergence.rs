//! Versions that follow one another quickly while calls run.

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

/// Versions applied one after the other.
const VERSIONS: u64 = 12;

/// A catalogue whose route moves between the two services, each with a further service that only
/// some versions have.
fn moving_route(number: u64) -> Value {
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

/// Guards against a version in effect in part, and against versions that overtake one another: while
/// a route moves between services and others come and go, calls to the route that stays all succeed.
/// Calls to the moving one may meet nodes of two versions, but are then refused as not run and never
/// find a route without its service. The last version is in effect everywhere in time.
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
        version = cluster::apply(&cluster, &moving_route(number));
    }
    fleet::wait_in_effect(&cluster, version, Instant::now(), "last of 12 versions");
    let after = caller.ended() + 300;
    fleet::eventually("calls under the last version", || caller.ended() >= after);
    let summary = caller.stop();
    println!("{}", summary.to_json());
    let moving = &summary.classes[&Class::CounterQuery];
    let staying = &summary.classes[&Class::InternalQuery];
    assert_eq!(staying.failed(), 0, "{}", summary.to_json());
    assert_eq!(moving.failed(), moving.not_run, "{}", summary.to_json());
    assert!(moving.ok >= 50 && staying.ok >= 50, "{}", summary.to_json());
    sampler.check();
}
