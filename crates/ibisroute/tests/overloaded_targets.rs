//! Targets under three times the load that they can serve, and targets that shed calls.

mod common;

use common::cluster;
use common::cluster::WAIT_TIMEOUT;
use common::load;
use serde_json::json;
use standins::caller::CallSpec;
use standins::caller::CallerOptions;
use standins::caller::CallerStandin;
use standins::caller::Class;
use standins::caller::Outcome;
use standins::harness::Cluster;
use standins::target::TargetOptions;
use standins::target::faults::TargetFaults;

/// Slots of each target.
const SLOTS_PER_TARGET: u32 = 4;

/// Time that a target takes for a call, in ms.
const SERVICE_MS: u64 = 100;

/// Deadline of queries and bookings, in ms.
const DEADLINE_MS: u64 = 1000;

/// Starts two nodes with a local target each; all entries use the service of these targets.
fn start_two_targets() -> Cluster {
    // Stored uploads are delivered as fast as the targets accept them.
    let delivery_settings =
        json!({"scan_period_ms": 50, "retry_pause_ms": 50, "max_delivering": 16});
    let mut cluster = cluster::builder()
        .section("uploads", delivery_settings)
        .data_centre("erongo-1", "erongo", 2)
        .start()
        .expect("nodes start");
    for node in 0..2 {
        let options = TargetOptions {
            instance: format!("c{node}"),
            slots: SLOTS_PER_TARGET,
            service_ms: (SERVICE_MS, SERVICE_MS),
            ..TargetOptions::default()
        };
        cluster.start_target(node, options).expect("a target starts");
    }
    cluster.wait_targets(2, cluster::WAIT_TIMEOUT).expect("targets become ready");
    let mut document = cluster::catalogue();
    for entry in document["entries"].as_array_mut().expect("entries").iter_mut() {
        entry["service"] = "counter".into();
    }
    let version = cluster::apply(&cluster, &document);
    cluster.wait_ready(WAIT_TIMEOUT).expect("nodes serve");
    cluster.wait_version(version, WAIT_TIMEOUT).expect("the version is in effect");
    cluster
}

/// Returns calls for a total load of three times the capacity: uploads make up two and a half times
/// the capacity, queries and bookings half of it.
fn overload_call_specs() -> Vec<CallSpec> {
    let call_specs = cluster::all_calls().into_iter();
    let with_weight_and_deadline = |mut call: CallSpec| {
        call.weight = match call.class {
            Class::Booking => 1,
            Class::CounterQuery => 2,
            Class::InternalQuery => 0,
            Class::Upload => 15,
        };
        call.deadline_ms = match call.class {
            Class::Upload => 2000,
            _ => DEADLINE_MS,
        };
        // Long bodies would make the callers the bottleneck.
        call.body_bytes = call.body_bytes.min(2000);
        call
    };
    call_specs.map(with_weight_and_deadline).collect()
}

/// Guards against an overload in which uploads displace bookings and queries, a target receives
/// more calls than it has slots, or refusals come late.
#[test]
fn uploads_are_shed_first() {
    let cluster = start_two_targets();
    let capacity_per_s = f64::from(2 * SLOTS_PER_TARGET) * 1000.0 / SERVICE_MS as f64;
    println!("seed 91, capacity {capacity_per_s} calls/s");
    let options = CallerOptions {
        calls: overload_call_specs(),
        rate_per_s: Some(3.0 * capacity_per_s),
        concurrency: 2000,
        max_calls: Some(720),
        threads: 4,
        repeat_share: 0.2,
        seed: 91,
        grace_ms: 100,
        ..cluster::mixed_call_options(&cluster)
    };
    let summary = CallerStandin::run(options).expect("the caller runs");
    for class in [Class::Booking, Class::CounterQuery, Class::Upload] {
        let tally = summary.class(class);
        println!("{class:?}: {} of {} ok, {} not-run", tally.ok, tally.calls, tally.not_run);
    }
    let target_counters: Vec<_> = cluster.targets().map(|(_, t)| t.counters()).collect();
    for c in &target_counters {
        assert!(c.shed == 0 && c.peak_in_flight <= SLOTS_PER_TARGET, "{target_counters:?}");
    }
    let ok_share = |class| {
        let tally = summary.class(class);
        tally.ok as f64 / tally.calls.max(1) as f64
    };
    assert!(ok_share(Class::Booking) >= 0.99, "{}", summary.to_json());
    assert!(ok_share(Class::CounterQuery) >= 0.95, "{}", summary.to_json());
    assert!(ok_share(Class::Upload) < 0.6, "there was no overload: {}", summary.to_json());
    // Accepted uploads are stored, and delivered when targets have free slots.
    load::assert_guarantees(&cluster, &summary, Vec::new());
}

/// Guards against calls that wait until their deadline for a target which sheds them, and bookings
/// that are retried after a 503 of the target itself.
#[test]
fn queries_survive_shedding_target() {
    let cluster = start_two_targets();
    let options = load::options_for_classes(&cluster, 92, &[Class::CounterQuery, Class::Booking]);
    let mut options = load::with_deadline(options, DEADLINE_MS);
    options.rate_per_s = Some(40.0);
    let caller = CallerStandin::start(options).expect("the caller starts");
    load::wait_calls_ended(&caller, 40);
    let (_, first_target) = cluster.targets().next().expect("a target");
    let faults =
        TargetFaults { failing_share: 0.5, fail_status: 503, seed: 92, ..Default::default() };
    first_target.set_faults(faults);
    load::wait_calls_ended(&caller, 200);
    let summary = caller.stop();
    load::assert_guarantees(&cluster, &summary, Vec::new());
    let query_tally = summary.class(Class::CounterQuery);
    let failed_queries = query_tally.failed();
    println!("{failed_queries} of {} queries failed", query_tally.calls);
    // Half of the calls to one of two targets fail, and the retry budget allows retries for 10 %.
    assert!(failed_queries * 100 <= 15 * query_tally.calls, "{}", summary.to_json());
    let unanswered_calls = summary.log.iter().filter(|c| matches!(c.outcome, Outcome::NoAnswer(_)));
    assert_eq!(unanswered_calls.count(), 0, "{}", summary.to_json());
}
