//! Tests that the caller stand-in counts every outcome correctly, and that its checks detect
//! violated guarantees.

use std::time::Duration;

use standins::caller::CallLog;
use standins::caller::CallSpec;
use standins::caller::CallerOptions;
use standins::caller::CallerStandin;
use standins::caller::Class;
use standins::caller::Outcome;
use standins::caller::guarantee_violations;
use standins::target::TargetOptions;
use standins::target::TargetStandin;
use standins::target::faults::TargetFaults;
use standins::target::record::RequestOutcome;
use standins::wait;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a target that is fast and has more slots than the tests use.
fn start_target() -> TargetStandin {
    let options = TargetOptions { slots: 1000, service_ms: (0, 2), ..Default::default() };
    TargetStandin::start(options).expect("the target starts")
}

/// Returns one kind of call for each class.
fn all_classes() -> Vec<CallSpec> {
    let post_spec = |class, path: &str, body_bytes| CallSpec {
        class,
        method: "POST".to_string(),
        path: path.to_string(),
        body_bytes,
        ..Default::default()
    };
    vec![
        CallSpec::default(),
        CallSpec {
            class: Class::InternalQuery,
            path: "/plates?run=4".to_string(),
            ..Default::default()
        },
        post_spec(Class::Booking, "/counter/orders", 300),
        post_spec(Class::Upload, "/counter/scans", 200_000),
    ]
}

fn caller_options(target: &TargetStandin, calls: Vec<CallSpec>) -> CallerOptions {
    CallerOptions { nodes: vec![target.addr()], calls, keep_log: true, ..Default::default() }
}

/// Guards against a class that is not sent, and against complete responses that count as failed.
#[test]
fn calls_of_all_classes_are_sent_and_succeed() {
    let target = start_target();
    let summary = CallerStandin::run(CallerOptions {
        max_calls: Some(200),
        seed: 3,
        ..caller_options(&target, all_classes())
    })
    .expect("the caller runs");
    let total = summary.total();
    assert_eq!((total.calls, total.ok, total.failed()), (200, 200, 0), "{:?}", summary.samples);
    assert_eq!(summary.classes.len(), 4);
    assert_eq!(total.by_version.get("v1"), Some(&200));
    assert_eq!(total.latency_us.len(), 200);
    assert_eq!(summary.log.len(), 200);
    let records = target.records();
    assert_eq!(records.len(), 200);
    assert_eq!(guarantee_violations(&summary.log, &records), Vec::<String>::new());
    let upload = records.iter().find(|record| record.path == "/counter/scans");
    assert_eq!(upload.map(|record| record.body_bytes), Some(200_000));
}

/// Guards against an open loop that slows down with the target instead of keeping its rate.
#[test]
fn open_loops_keep_their_rate() {
    let target = start_target();
    target.set_service_ms((150, 150));
    let summary = CallerStandin::run(CallerOptions {
        rate_per_s: Some(200.0),
        concurrency: 1000,
        max_calls: Some(200),
        threads: 2,
        ..caller_options(&target, all_classes())
    })
    .expect("the caller runs");
    assert_eq!(summary.total().ok, 200, "{:?}", summary.samples);
    assert_eq!(summary.skipped, 0);
    // Sequential calls would take 30 s.
    assert!(summary.elapsed_ms < 10_000, "{} ms", summary.elapsed_ms);
    assert!(target.counters().peak_in_flight > 4);
}

/// Guards against error statuses, dropped connections and truncated responses that count as
/// complete responses.
#[test]
fn failed_calls_do_not_count_as_successful() {
    let target = start_target();
    let run_with_faults = |faults| {
        target.set_faults(faults);
        let options = CallerOptions {
            max_calls: Some(5),
            concurrency: 1,
            ..caller_options(&target, vec![CallSpec { deadline_ms: 300, ..Default::default() }])
        };
        CallerStandin::run(options).expect("the caller runs").total()
    };
    let failed = run_with_faults(TargetFaults { failing_share: 1.0, ..Default::default() });
    assert_eq!((failed.ok, failed.other_status.get(&500)), (0, Some(&5)));
    let dropped = run_with_faults(TargetFaults { cut_share: 1.0, ..Default::default() });
    assert_eq!((dropped.ok, dropped.no_answer), (0, 5));
    let truncated = run_with_faults(TargetFaults { cut_middle_share: 1.0, ..Default::default() });
    assert_eq!((truncated.ok, truncated.wrong + truncated.no_answer), (0, 5));
    let timed_out = run_with_faults(TargetFaults { hang: true, ..Default::default() });
    // The target ends the call with 504 at its deadline.
    assert_eq!((timed_out.ok, timed_out.other_status.get(&504)), (0, Some(&5)));
}

/// Guards against retried bookings that carry different bytes, and against a check that misses keys
/// that ran twice. There are no claims without a node, so retries do run twice here.
#[test]
fn bookings_that_ran_twice_are_detected() {
    let target = start_target();
    let booking = all_classes().into_iter().filter(|call| call.class == Class::Booking).collect();
    let summary = CallerStandin::run(CallerOptions {
        max_calls: Some(60),
        repeat_share: 0.5,
        concurrency: 2,
        ..caller_options(&target, booking)
    })
    .expect("the caller runs");
    assert_eq!(summary.total().ok, 60, "{:?}", summary.samples);
    let records = target.records();
    let violations = guarantee_violations(&summary.log, &records);
    assert!(violations.iter().any(|line| line.starts_with("P7")), "{violations:?}");
    let mut checksum_by_key = std::collections::HashMap::new();
    for record in &records {
        let checksum = checksum_by_key.entry(record.key.clone()).or_insert(record.body_checksum);
        assert_eq!(*checksum, record.body_checksum);
    }
}

/// Guards against a check that misses a false "not run" or a lost upload.
#[test]
fn false_refusals_and_lost_uploads_are_detected() {
    let target = start_target();
    let summary = CallerStandin::run(CallerOptions {
        max_calls: Some(40),
        ..caller_options(&target, all_classes())
    })
    .expect("the caller runs");
    let records = target.records();
    assert!(guarantee_violations(&summary.log, &records).is_empty());

    let mut log = summary.log.clone();
    log[0].outcome = Outcome::NotRun(503);
    let violations = guarantee_violations(&log, &records);
    assert!(violations.iter().any(|line| line.starts_with("P6")), "{violations:?}");

    let lost: CallLog = summary
        .log
        .iter()
        .find(|call| call.class == Class::Upload)
        .cloned()
        .expect("an upload among 40 calls, seed 1");
    let mut without_upload = records.clone();
    without_upload.retain(|record| record.call != lost.call);
    let violations = guarantee_violations(&summary.log, &without_upload);
    assert_eq!(violations.len(), 1, "{violations:?}");
    assert!(violations[0].starts_with("P11"), "{violations:?}");
    let mut incomplete = records;
    for record in incomplete.iter_mut().filter(|record| record.call == lost.call) {
        record.body_whole = false;
    }
    assert_eq!(guarantee_violations(&summary.log, &incomplete).len(), 1);
}

/// Guards against a stop that aborts calls in flight, and against a replaced list of nodes that has
/// no effect.
#[test]
fn stop_waits_for_calls_in_flight() {
    let (first, second) = (start_target(), start_target());
    first.set_service_ms((50, 50));
    let caller =
        CallerStandin::start(caller_options(&first, all_classes())).expect("the caller starts");
    wait::until_true("20 calls to end", WAIT_TIMEOUT, || caller.ended() > 20).expect("calls end");
    caller.set_nodes(vec![second.addr()]);
    wait::until_true("20 calls at the second target", WAIT_TIMEOUT, || second.counters().ran > 20)
        .expect("calls run");
    let summary = caller.stop();
    assert_eq!(summary.total().failed(), 0, "{:?}", summary.samples);
    let succeeded = |end: RequestOutcome| end == RequestOutcome::Answered(200);
    assert!(first.records().iter().chain(&second.records()).all(|record| succeeded(record.end)));
    let executed_count = first.records().len() + second.records().len();
    assert_eq!(summary.total().calls, executed_count as u64);
}
