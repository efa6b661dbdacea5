//! Targets that leave, lose their lease, are killed, start cold or report misleading hints.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use common::cluster;
use common::cluster::WAIT_TIMEOUT;
use common::load;
use standins::body;
use standins::body::SentRequest;
use standins::caller::CallerStandin;
use standins::caller::Class;
use standins::caller::Outcome;
use standins::harness::Cluster;
use standins::target::TargetOptions;
use standins::target::faults::ColdStart;
use standins::target::faults::HealthHint;
use standins::target::faults::TargetFaults;
use standins::target::record::ExecutedRequest;
use standins::target::record::RequestOutcome;
use standins::wait;

/// Time after its leave for which a target may still receive new calls, in ms.
const LEAVE_GRACE_MS: u64 = 3000;

/// Deadline of the calls, in ms.
const DEADLINE_MS: u64 = 1500;

/// Calls per second; kept low because their long responses are checked byte by byte.
const CALLS_PER_S: f64 = 100.0;

/// Classes of the calls, which are all to the service `counter`.
const CALL_CLASSES: [Class; 2] = [Class::CounterQuery, Class::Booking];

fn counter_target_options(name: &str) -> TargetOptions {
    TargetOptions {
        instance: name.to_string(),
        service_ms: (5, 20),
        response_bytes: 30_000,
        ..TargetOptions::default()
    }
}

/// Starts three nodes, each with a target of the service `counter`, named `c0` to `c2`.
fn start_three_targets() -> Cluster {
    let mut cluster =
        cluster::builder().data_centre("erongo-1", "erongo", 3).start().expect("nodes start");
    for node in 0..3 {
        cluster
            .start_target(node, counter_target_options(&format!("c{node}")))
            .expect("a target starts");
    }
    cluster.wait_targets(3, cluster::WAIT_TIMEOUT).expect("targets become ready");
    let version = cluster::apply(&cluster, &cluster::catalogue());
    cluster.wait_ready(WAIT_TIMEOUT).expect("nodes serve");
    cluster.wait_version(version, WAIT_TIMEOUT).expect("the version is in effect");
    cluster
}

fn start_caller(cluster: &Cluster, seed: u64) -> CallerStandin {
    let mut options =
        load::with_deadline(load::options_for_classes(cluster, seed, &CALL_CLASSES), DEADLINE_MS);
    options.rate_per_s = Some(CALLS_PER_S);
    CallerStandin::start(options).expect("the caller starts")
}

/// Counts the requests that the target did not answer with 200.
fn count_interrupted_requests(records: &[ExecutedRequest]) -> usize {
    records.iter().filter(|r| !matches!(r.end, RequestOutcome::Answered(200))).count()
}

/// Guards against calls to a target after its leave, and a leave that interrupts or fails calls.
#[test]
fn leave_interrupts_no_calls() {
    let mut cluster = start_three_targets();
    let caller = start_caller(&cluster, 61);
    load::wait_calls_ended(&caller, 66);
    let target = cluster.take_target("c1").expect("the target runs");
    assert!(target.leave(WAIT_TIMEOUT), "the leave was not confirmed");
    let left_unix_ms = target.left_unix_ms().expect("the node confirmed the leave");
    // At 100 calls/s this takes 4 s, longer than `LEAVE_GRACE_MS`.
    load::wait_calls_ended(&caller, 400);
    let summary = caller.stop();
    let records = target.kill();
    let late_calls =
        records.iter().filter(|r| r.started_unix_ms > left_unix_ms + LEAVE_GRACE_MS).count();
    let calls_after_leave = records.iter().filter(|r| r.after_leave).count();
    println!(
        "{calls_after_leave} calls began after the leave, {late_calls} more than {LEAVE_GRACE_MS} ms after it"
    );
    assert_eq!(
        (late_calls, count_interrupted_requests(&records)),
        (0, 0),
        "late and interrupted calls"
    );
    load::assert_guarantees(&cluster, &summary, records);
    assert_eq!(summary.total().failed(), 0, "{}", summary.to_json());
}

/// Kills a target while it runs calls.
fn kill_busy_target(cluster: &mut Cluster, instance: &str) -> Vec<ExecutedRequest> {
    let target = cluster.take_target(instance).expect("the target runs");
    target.set_service_ms((60, 90));
    wait::until_true("calls at the target", WAIT_TIMEOUT, || target.in_flight() >= 3)
        .expect("calls");
    target.kill()
}

/// Guards against a truncated response that looks complete to the caller, and bookings that run
/// twice, when a target is killed while it sends responses.
#[test]
fn guarantees_hold_when_busy_target_is_killed() {
    let mut cluster = start_three_targets();
    // Bookings only: a retry of a query could hide a truncated response.
    let options = load::options_for_classes(&cluster, 62, &[Class::Booking]);
    let mut options = load::with_deadline(options, DEADLINE_MS);
    options.rate_per_s = Some(CALLS_PER_S);
    let caller = CallerStandin::start(options).expect("the caller starts");
    load::wait_calls_ended(&caller, 66);
    let mut killed_records = kill_busy_target(&mut cluster, "c1");
    load::wait_calls_ended(&caller, 100);
    cluster.start_target(1, counter_target_options("c1-again")).expect("a target starts");
    load::wait_calls_ended(&caller, 66);
    killed_records.extend(kill_busy_target(&mut cluster, "c2"));
    load::wait_calls_ended(&caller, 100);
    let summary = caller.stop();
    load::assert_guarantees(&cluster, &summary, killed_records);
}

/// Guards against bookings that are retried, and queries that are not, when targets drop the
/// connections of requests that ran.
#[test]
fn guarantees_hold_when_targets_drop_connections() {
    let cluster = start_three_targets();
    let caller = start_caller(&cluster, 63);
    for (_, target) in cluster.targets() {
        target.set_faults(TargetFaults { cut_share: 0.2, seed: 63, ..Default::default() });
    }
    load::wait_calls_ended(&caller, 266);
    let summary = caller.stop();
    load::assert_guarantees(&cluster, &summary, Vec::new());
}

/// Returns the body of a raw chunked response; `None` when its last chunk is missing.
fn chunked_body(response: &[u8]) -> Option<Vec<u8>> {
    let head_len = response.windows(4).position(|w| w == b"\r\n\r\n")?;
    let mut unread = &response[head_len + 4..];
    let mut body = Vec::new();
    loop {
        let line_len = unread.windows(2).position(|w| w == b"\r\n")?;
        let chunk_size = std::str::from_utf8(&unread[..line_len]).ok()?;
        let chunk_size = usize::from_str_radix(chunk_size, 16).ok()?;
        unread = unread.get(line_len + 2..)?;
        if chunk_size == 0 {
            return Some(body);
        }
        body.extend_from_slice(unread.get(..chunk_size)?);
        unread = unread.get(chunk_size + 2..)?;
    }
}

/// Guards against a truncated streamed response that reaches the caller with a last chunk, so that
/// it looks complete.
#[test]
fn truncated_streams_have_no_last_chunk() {
    let mut cluster =
        cluster::builder().data_centre("erongo-1", "erongo", 2).start().expect("nodes start");
    let truncating_faults = TargetFaults { cut_middle_share: 0.5, seed: 67, ..Default::default() };
    let options =
        TargetOptions { stream: true, faults: truncating_faults, ..counter_target_options("c0") };
    cluster.start_target(0, options).expect("a target starts");
    cluster.wait_targets(1, cluster::WAIT_TIMEOUT).expect("targets become ready");
    let version = cluster::apply(&cluster, &cluster::catalogue());
    cluster.wait_ready(WAIT_TIMEOUT).expect("nodes serve");
    cluster.wait_version(version, WAIT_TIMEOUT).expect("the version is in effect");
    let (mut complete_count, mut truncated_count) = (0, 0);
    for (n, caller) in cluster.callers().into_iter().cycle().take(60).enumerate() {
        let call_id = format!("cut-{n}");
        let mut io = TcpStream::connect(caller).expect("connection");
        io.set_read_timeout(Some(WAIT_TIMEOUT)).expect("timeout");
        let request = format!(
            "GET /counter/sheets HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{}: {call_id}\r\n\r\n",
            body::CALL_HEADER
        );
        io.write_all(request.as_bytes()).expect("request");
        let mut response = Vec::new();
        // After a reset, the bytes received before it are checked.
        let _ = io.read_to_end(&mut response);
        let Some(received_body) = chunked_body(&response) else {
            truncated_count += 1;
            continue;
        };
        let sent = SentRequest {
            call: &call_id,
            key: None,
            path: "/counter/sheets",
            body_bytes: 0,
            body_checksum: body::Checksum::of(&[]),
        };
        body::check(&sent, &received_body).expect("a response with a last chunk is complete");
        complete_count += 1;
    }
    println!("{complete_count} of 60 responses complete, {truncated_count} visibly truncated");
    assert!(
        complete_count >= 10 && truncated_count >= 10,
        "{complete_count} complete, {truncated_count} truncated"
    );
}

/// Guards against a hanging target that keeps receiving calls because it reports to be healthy and
/// idle, and against a healthy target that receives none because it reports to be unhealthy and
/// busy.
#[test]
fn misleading_hints() {
    let cluster = start_three_targets();
    let target = |name: &str| {
        let mut targets = cluster.targets().map(|(_, target)| target);
        targets.find(|t| t.options().instance == name).expect("the target runs")
    };
    let healthy_hint_faults = TargetFaults { health: HealthHint::AlwaysGood, ..Default::default() };
    target("c0").set_faults(TargetFaults {
        hang: true,
        load_in_flight: Some(0),
        ..healthy_hint_faults
    });
    let unhealthy_hint_faults =
        TargetFaults { health: HealthHint::AlwaysBad, ..Default::default() };
    target("c1").set_faults(TargetFaults { load_in_flight: Some(1000), ..unhealthy_hint_faults });
    let caller = start_caller(&cluster, 64);
    load::wait_calls_ended(&caller, 200);
    let hanging_calls_before = target("c0").records().len();
    let healthy_calls_before = target("c1").records().len();
    load::wait_calls_ended(&caller, 200);
    let hanging_calls = target("c0").records().len() - hanging_calls_before;
    let healthy_calls = target("c1").records().len() - healthy_calls_before;
    let summary = caller.stop();
    println!(
        "of 200 later calls, {hanging_calls} to the hanging target, {healthy_calls} to the healthy one"
    );
    load::assert_guarantees(&cluster, &summary, Vec::new());
    let unanswered_calls = load::unanswered_calls(&summary);
    assert!(unanswered_calls.is_empty(), "{unanswered_calls:#?}");
    // The hanging target receives only the probes after its ejections: one from each of the six
    // threads that serve callers, after 1, 2 and 4 s.
    assert!(hanging_calls <= 18, "{hanging_calls} of 200 calls went to the hanging target");
    assert!(healthy_calls >= 33, "{healthy_calls} of 200 calls went to the healthy target");
}

/// Guards against calls that fail because a cold target that sheds or fails calls is chosen
/// repeatedly while warm targets have free slots.
#[test]
fn cold_target_fails_no_calls() {
    let mut cluster = start_three_targets();
    let caller = start_caller(&cluster, 65);
    load::wait_calls_ended(&caller, 40);
    let cold_start = ColdStart { for_ms: 1500, slow_ms: 300, failing: false };
    let options = TargetOptions { cold_start, ..counter_target_options("cold") };
    cluster.start_target(0, options).expect("a target starts");
    load::wait_calls_ended(&caller, 333);
    let summary = caller.stop();
    load::assert_guarantees(&cluster, &summary, Vec::new());
    assert_eq!(summary.total().failed(), 0, "{}", summary.to_json());
    let shed_count: u64 = cluster.targets().map(|(_, t)| t.counters().shed).sum();
    assert_eq!(shed_count, 0, "a target received more calls than it has slots");
}

/// Guards against calls to a target that has lost its node or no longer renews its lease.
#[test]
fn no_calls_after_lease_expired() {
    let mut cluster = start_three_targets();
    let caller = start_caller(&cluster, 66);
    load::wait_calls_ended(&caller, 40);
    let target = cluster.take_target("c2").expect("the target runs");
    target.stop_announcing();
    let announcing_stopped_unix_ms = standins::target::unix_ms();
    // At 100 calls/s this takes 7 s, longer than the lease of 3 s and `LEAVE_GRACE_MS` after it.
    load::wait_calls_ended(&caller, 700);
    let summary = caller.stop();
    let records = target.kill();
    let latest_allowed_start_unix_ms = announcing_stopped_unix_ms + 3000 + LEAVE_GRACE_MS;
    let late_calls =
        records.iter().filter(|r| r.started_unix_ms > latest_allowed_start_unix_ms).count();
    assert_eq!(
        (late_calls, count_interrupted_requests(&records)),
        (0, 0),
        "late and interrupted calls"
    );
    load::assert_guarantees(&cluster, &summary, records);
    let failed_calls = summary.log.iter().filter(|c| !matches!(c.outcome, Outcome::Ok)).count();
    assert_eq!(failed_calls, 0, "{}", summary.to_json());
}
