//! The caller stand-in counts every outcome as what it is, and finds broken promises.

use std::time::Duration;

use standins::caller::CallLog;
use standins::caller::CallSpec;
use standins::caller::CallerOptions;
use standins::caller::CallerStandin;
use standins::caller::Class;
use standins::caller::Outcome;
use standins::caller::broken_promises;
use standins::target::TargetOptions;
use standins::target::TargetStandin;
use standins::target::faults::TargetFaults;
use standins::target::record::End;
use standins::wait;

const BOUND: Duration = Duration::from_secs(20);

fn target() -> TargetStandin {
    let options = TargetOptions { slots: 1000, service_ms: (0, 2), ..Default::default() };
    TargetStandin::start(options).expect("a free port")
}

fn all_classes() -> Vec<CallSpec> {
    let post = |class, path: &str, body_bytes| CallSpec {
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
        post(Class::Booking, "/counter/orders", 300),
        post(Class::Upload, "/counter/scans", 200_000),
    ]
}

fn options(target: &TargetStandin, calls: Vec<CallSpec>) -> CallerOptions {
    CallerOptions { nodes: vec![target.addr()], calls, keep_log: true, ..Default::default() }
}

/// Guards against a class that is not sent, and against good answers that count as bad.
#[test]
fn all_classes_are_whole() {
    let target = target();
    let summary = CallerStandin::run(CallerOptions {
        max_calls: Some(200),
        seed: 3,
        ..options(&target, all_classes())
    })
    .expect("a run");
    let total = summary.total();
    assert_eq!((total.calls, total.ok, total.failed()), (200, 200, 0), "{:?}", summary.samples);
    assert_eq!(summary.classes.len(), 4);
    assert_eq!(total.by_version.get("v1"), Some(&200));
    assert_eq!(total.latency_us.len(), 200);
    assert_eq!(summary.log.len(), 200);
    let records = target.records();
    assert_eq!(records.len(), 200);
    assert_eq!(broken_promises(&summary.log, &records), Vec::<String>::new());
    let upload = records.iter().find(|record| record.path == "/counter/scans");
    assert_eq!(upload.map(|record| record.body_bytes), Some(200_000));
}

/// Guards against an open loop that follows the target's pace instead of its own rate.
#[test]
fn open_loops_keep_their_rate() {
    let target = target();
    target.set_service_ms((150, 150));
    let summary = CallerStandin::run(CallerOptions {
        rate_per_s: Some(200.0),
        concurrency: 1000,
        max_calls: Some(200),
        threads: 2,
        ..options(&target, all_classes())
    })
    .expect("a run");
    assert_eq!(summary.total().ok, 200, "{:?}", summary.samples);
    assert_eq!(summary.skipped, 0);
    // One call after the other would take 30 s.
    assert!(summary.elapsed_ms < 10_000, "{} ms", summary.elapsed_ms);
    assert!(target.counters().peak_in_flight > 4);
}

/// Guards against failures, cuts and broken answers that count as whole answers.
#[test]
fn bad_answers_are_counted() {
    let target = target();
    let run = |faults| {
        target.set_faults(faults);
        let options = CallerOptions {
            max_calls: Some(5),
            concurrency: 1,
            ..options(&target, vec![CallSpec { deadline_ms: 300, ..Default::default() }])
        };
        CallerStandin::run(options).expect("a run").total()
    };
    let failing = run(TargetFaults { failing_share: 1.0, ..Default::default() });
    assert_eq!((failing.ok, failing.other_status.get(&500)), (0, Some(&5)));
    let cut = run(TargetFaults { cut_share: 1.0, ..Default::default() });
    assert_eq!((cut.ok, cut.no_answer), (0, 5));
    let middle = run(TargetFaults { cut_middle_share: 1.0, ..Default::default() });
    assert_eq!((middle.ok, middle.wrong + middle.no_answer), (0, 5));
    let hang = run(TargetFaults { hang: true, ..Default::default() });
    // The target ends its call at the deadline with 504.
    assert_eq!((hang.ok, hang.other_status.get(&504)), (0, Some(&5)));
}

/// Guards against repeated bookings that carry other bytes, and against a check that misses keys
/// that ran twice. A bare target has no claims, so repetitions do run twice here.
#[test]
fn double_runs_are_found() {
    let target = target();
    let booking = all_classes().into_iter().filter(|call| call.class == Class::Booking).collect();
    let summary = CallerStandin::run(CallerOptions {
        max_calls: Some(60),
        repeat_share: 0.5,
        concurrency: 2,
        ..options(&target, booking)
    })
    .expect("a run");
    assert_eq!(summary.total().ok, 60, "{:?}", summary.samples);
    let records = target.records();
    let broken = broken_promises(&summary.log, &records);
    assert!(broken.iter().any(|line| line.starts_with("P7")), "{broken:?}");
    let mut by_key = std::collections::HashMap::new();
    for record in &records {
        let checksum = by_key.entry(record.key.clone()).or_insert(record.body_checksum);
        assert_eq!(*checksum, record.body_checksum);
    }
}

/// Guards against a check that misses an untrue "not run" or a lost upload.
#[test]
fn untrue_outcomes_are_found() {
    let target = target();
    let summary = CallerStandin::run(CallerOptions {
        max_calls: Some(40),
        ..options(&target, all_classes())
    })
    .expect("a run");
    let records = target.records();
    assert!(broken_promises(&summary.log, &records).is_empty());

    let mut log = summary.log.clone();
    log[0].outcome = Outcome::NotRun(503);
    let broken = broken_promises(&log, &records);
    assert!(broken.iter().any(|line| line.starts_with("P6")), "{broken:?}");

    let lost: CallLog = summary
        .log
        .iter()
        .find(|call| call.class == Class::Upload)
        .cloned()
        .expect("an upload among 40 calls, seed 1");
    let mut kept = records.clone();
    kept.retain(|record| record.call != lost.call);
    let broken = broken_promises(&summary.log, &kept);
    assert_eq!(broken.len(), 1, "{broken:?}");
    assert!(broken[0].starts_with("P11"), "{broken:?}");
    let mut half = records;
    for record in half.iter_mut().filter(|record| record.call == lost.call) {
        record.body_whole = false;
    }
    assert_eq!(broken_promises(&summary.log, &half).len(), 1);
}

/// Guards against a stop that abandons calls in flight, and against calls to nodes that were
/// replaced.
#[test]
fn stops_wait_for_calls() {
    let (first, second) = (target(), target());
    first.set_service_ms((50, 50));
    let caller = CallerStandin::start(options(&first, all_classes())).expect("a start");
    wait::until_true("calls", BOUND, || caller.ended() > 20).expect("calls");
    caller.set_nodes(vec![second.addr()]);
    wait::until_true("calls to the second", BOUND, || second.counters().ran > 20).expect("calls");
    let summary = caller.stop();
    assert_eq!(summary.total().failed(), 0, "{:?}", summary.samples);
    let ended = |end: End| end == End::Answered(200);
    assert!(first.records().iter().chain(&second.records()).all(|record| ended(record.end)));
    let ran = first.records().len() + second.records().len();
    assert_eq!(summary.total().calls, ran as u64);
}
