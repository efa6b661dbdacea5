//! Tests of the platform stand-in, on whose guarantees the tests of the system depend.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use standins::http;
use standins::http::Request;
use standins::platform::PlatformStandin;
use standins::platform::faults::LostBy;
use standins::platform::faults::Outage;
use standins::platform::faults::PlatformFaults;
use standins::wait;

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn start() -> PlatformStandin {
    PlatformStandin::start(([127, 0, 0, 1], 0).into()).expect("a free port")
}

fn url(platform: &PlatformStandin, path: &str) -> String {
    format!("http://{}{path}", platform.addr())
}

fn transact(platform: &PlatformStandin, body: &Value) -> http::Response {
    http::post(url(platform, "/table/transact"), body).expect("a response")
}

/// Guards against a transaction that writes rows although one of its conditions fails.
#[test]
fn transactions_are_atomic() {
    let platform = start();
    let insert_response = transact(
        &platform,
        &json!({"conditions": [{"key": "a", "revision": null}],
                "puts": [{"key": "a", "value": 1}, {"key": "b", "value": 2}]}),
    );
    assert_eq!(insert_response.status, 200);
    assert_eq!(insert_response.json()["committed"], true);
    let revision = insert_response.json()["revisions"]["a"].as_u64().expect("a revision");

    let rejected = transact(
        &platform,
        &json!({"conditions": [{"key": "a", "revision": revision}, {"key": "b", "revision": null}],
                "puts": [{"key": "a", "value": 9}, {"key": "c", "value": 9}],
                "deletes": ["b"]}),
    );
    assert_eq!(rejected.status, 409);
    let conflicts = rejected.json()["conflicts"].clone();
    assert_eq!(conflicts, json!([{"key": "b", "revision": revision, "value": 2}]));
    assert_eq!(platform.row("a").map(|row| row.value), Some(json!(1)));
    assert_eq!(platform.row("b").map(|row| row.value), Some(json!(2)));
    assert_eq!(platform.row("c"), None);

    let update_response = transact(
        &platform,
        &json!({"conditions": [{"key": "a", "revision": revision}],
                "puts": [{"key": "a", "value": 3}], "deletes": ["b"]}),
    );
    assert!(update_response.json()["revisions"]["a"].as_u64() > Some(revision));
    assert_eq!(platform.row("b"), None);
}

/// Guards against two concurrent conditional inserts of the same row that both commit.
#[test]
fn only_one_of_concurrent_inserts_commits() {
    let platform = start();
    for round in 0..20 {
        let key = format!("claim/{round}");
        let committed = std::thread::scope(|scope| {
            let writers: Vec<_> = (0..8)
                .map(|writer| {
                    let body = json!({"conditions": [{"key": key, "revision": null}],
                                      "puts": [{"key": key, "value": writer}]});
                    let platform = &platform;
                    scope.spawn(move || transact(platform, &body).status)
                })
                .collect();
            writers
                .into_iter()
                .filter_map(|writer| writer.join().ok())
                .filter(|s| *s == 200)
                .count()
        });
        assert_eq!(committed, 1, "round {round}");
    }
}

/// Guards against scans that skip or repeat rows between pages, or return rows outside the prefix.
#[test]
fn scan_pages_are_complete_and_ordered() {
    let platform = start();
    let puts: Vec<_> =
        (0..25).map(|n| json!({"key": format!("node/{n:02}"), "value": n})).collect();
    transact(&platform, &json!({"puts": puts}));
    transact(
        &platform,
        &json!({"puts": [{"key": "nodf", "value": 0}, {"key": "node", "value": 0}]}),
    );
    let mut after = String::new();
    let mut values = Vec::new();
    loop {
        let path = format!("/table/scan?prefix=node/&after={after}&limit=10");
        let page = http::get(url(&platform, &path)).expect("a page").json();
        let rows = page["rows"].as_array().cloned().unwrap_or_default();
        let Some(last) = rows.last() else { break };
        after = last["key"].as_str().unwrap_or_default().to_string();
        values.extend(rows.iter().map(|row| row["value"].as_u64()));
    }
    assert_eq!(values, (0..25).map(Some).collect::<Vec<_>>());
}

/// Guards against an object that is overwritten with other content.
#[test]
fn objects_are_immutable() {
    let platform = start();
    let put = |bytes: &'static str| {
        Request::new("PUT", url(&platform, "/objects/catalogue/ab")).body(bytes).send()
    };
    assert_eq!(put("one").expect("a response").status, 201);
    assert_eq!(put("one").expect("a response").status, 200);
    assert_eq!(put("two").expect("a response").status, 409);
    let object = http::get(url(&platform, "/objects/catalogue/ab")).expect("a response");
    assert_eq!(object.body, "one");
    let delete_response = Request::new("DELETE", url(&platform, "/objects/catalogue/ab")).send();
    assert_eq!(delete_response.expect("a response").status, 204);
    assert_eq!(http::get(url(&platform, "/objects/catalogue/ab")).expect("a response").status, 404);
}

/// Guards against a lost response whose write did not take effect, and against losing more
/// responses than configured.
#[test]
fn writes_with_lost_responses_take_effect() {
    let platform = start();
    for (key, lose_by) in [("closed", LostBy::Close), ("silent", LostBy::Silence)] {
        platform.set_faults(PlatformFaults { lose_next: 1, lose_by, ..Default::default() });
        let body = json!({"conditions": [{"key": key, "revision": null}],
                          "puts": [{"key": key, "value": "mine"}]});
        let result = Request::new("POST", url(&platform, "/table/transact"))
            .json(&body)
            .timeout(Duration::from_secs(2))
            .send();
        assert!(result.is_err(), "{key}: {result:?}");
        assert_eq!(platform.row(key).map(|row| row.value), Some(json!("mine")));
        assert_eq!(transact(&platform, &body).status, 409, "{key}");
    }
    assert_eq!(platform.counters().lost, 2);
}

/// Guards against a choice of lost responses that differs between runs with the same seed.
#[test]
fn choice_of_lost_responses_depends_on_the_seed() {
    let lost_puts = |seed| {
        let platform = start();
        platform.set_faults(PlatformFaults { lose_share: 0.3, seed, ..Default::default() });
        (0..40)
            .map(|n| {
                let body = json!({"puts": [{"key": n.to_string(), "value": n}]});
                http::post(url(&platform, "/table/transact"), &body).is_err()
            })
            .collect::<Vec<_>>()
    };
    let lost_in_first_run = lost_puts(7);
    let lost_count = lost_in_first_run.iter().filter(|lost| **lost).count();
    assert!((4..=22).contains(&lost_count), "{lost_count} of 40 lost, seed 7");
    assert_eq!(lost_in_first_run, lost_puts(7), "seed 7");
}

/// Guards against accepting more requests within a second than the ceilings allow.
#[test]
fn rate_ceilings_are_enforced() {
    let platform = start();
    platform.set_faults(PlatformFaults {
        read_ceiling: Some(30),
        write_ceiling: Some(10),
        ..Default::default()
    });
    let start = Instant::now();
    let mut reads = 0;
    let mut writes = 0;
    let mut refused = 0;
    for _ in 0..60 {
        match http::get(url(&platform, "/table/row?key=none")).expect("a response").status {
            404 => reads += 1,
            429 => refused += 1,
            status => panic!("unexpected status {status}"),
        }
        match transact(&platform, &json!({"puts": [{"key": "k", "value": 1}]})).status {
            200 => writes += 1,
            429 => refused += 1,
            status => panic!("unexpected status {status}"),
        }
    }
    // A test of n full seconds overlaps at most n + 1 windows.
    let windows = start.elapsed().as_secs() + 1;
    assert!(reads <= 30 * windows, "{reads} reads in {windows} windows");
    assert!(writes <= 10 * windows, "{writes} writes in {windows} windows");
    assert!(reads >= 30 && writes >= 10, "{reads} reads, {writes} writes");
    let counters = platform.counters();
    assert_eq!((counters.reads, counters.writes), (reads, writes));
    assert_eq!(counters.refused, refused);
}

/// Guards against writes that take effect during an outage, and against rows lost in an outage.
#[test]
fn outages_keep_rows_and_block_writes() {
    let platform = start();
    transact(&platform, &json!({"puts": [{"key": "kept", "value": 1}]}));
    for outage in [Outage::Unavailable, Outage::Refused, Outage::Hanging] {
        platform.set_faults(PlatformFaults { outage, ..Default::default() });
        let write = || {
            Request::new("POST", url(&platform, "/table/transact"))
                .json(&json!({"puts": [{"key": "lost", "value": 1}]}))
                .timeout(Duration::from_millis(300))
                .send()
        };
        // For `Outage::Refused` the port closes shortly after the fault is set.
        wait::until_true("the outage", WAIT_TIMEOUT, || match write() {
            Ok(response) => outage == Outage::Unavailable && response.status == 503,
            Err(_) => outage != Outage::Unavailable,
        })
        .expect("the outage");
        assert_eq!(platform.row("lost"), None, "{outage:?}");
        platform.set_faults(PlatformFaults::default());
        let row = wait::until("the end of the outage", WAIT_TIMEOUT, || {
            http::get(url(&platform, "/table/row?key=kept")).ok()
        });
        assert_eq!(row.expect("a response").json()["value"], 1, "{outage:?}");
    }
}

/// Guards against an outage with a duration that does not end by itself.
#[test]
fn outages_with_a_duration_end() {
    let platform = start();
    let faults = json!({"outage": "refused", "outage_ms": 200});
    assert_eq!(
        http::post(url(&platform, "/standin/faults"), &faults).expect("a response").status,
        200
    );
    wait::until("a response", WAIT_TIMEOUT, || {
        http::get(url(&platform, "/table/row?key=k"))
            .ok()
            .filter(|_| platform.faults().outage == Outage::None)
    })
    .expect("the end of the outage");
    let counters = http::get(url(&platform, "/standin/counters")).expect("a response").json();
    assert!(counters["reads"].as_u64() >= Some(1), "{counters}");
}

/// Guards against responses before the shortest configured latency.
#[test]
fn responses_take_at_least_the_latency() {
    let platform = start();
    platform.set_faults(PlatformFaults { latency_ms: (80, 120), ..Default::default() });
    let start = Instant::now();
    http::get(url(&platform, "/table/row?key=k")).expect("a response");
    assert!(start.elapsed() >= Duration::from_millis(80), "{:?}", start.elapsed());
}
