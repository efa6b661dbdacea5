//! Targets that leave, expire, die, start cold or mislead.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use common::cluster;
use common::cluster::SOON;
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
use standins::target::record::End;
use standins::target::record::RanRequest;
use standins::wait;

/// Stated bound after which a leaving target gets no new work, in ms.
const LEAVE_BOUND_MS: u64 = 3000;

/// Deadline of the calls, in ms.
const DEADLINE_MS: u64 = 1500;

/// Calls a second; their long answers are checked byte by byte.
const RATE: f64 = 100.0;

/// Queries and bookings of the service of all targets here.
const CLASSES: [Class; 2] = [Class::CounterQuery, Class::Booking];

fn counter(name: &str) -> TargetOptions {
    TargetOptions {
        instance: name.to_string(),
        service_ms: (5, 20),
        response_bytes: 30_000,
        ..TargetOptions::default()
    }
}

/// Three nodes, each with a target of the service counter, named c0 to c2.
fn three_targets() -> Cluster {
    let mut cluster =
        cluster::builder().data_centre("erongo-1", "erongo", 3).start().expect("nodes start");
    for node in 0..3 {
        cluster.start_target(node, counter(&format!("c{node}"))).expect("a target starts");
    }
    cluster.wait_targets(3, cluster::SOON).expect("targets become ready");
    let version = cluster::apply(&cluster, &cluster::catalogue());
    cluster.wait_ready(SOON).expect("nodes serve");
    cluster.wait_version(version, SOON).expect("the version is in effect");
    cluster
}

fn start_calls(cluster: &Cluster, seed: u64) -> CallerStandin {
    let mut options = load::with_deadline(load::only(cluster, seed, &CLASSES), DEADLINE_MS);
    options.rate_per_s = Some(RATE);
    CallerStandin::start(options).expect("the caller starts")
}

fn cut(records: &[RanRequest]) -> usize {
    records.iter().filter(|r| !matches!(r.end, End::Answered(200))).count()
}

/// Guards against work for a target after its leave, and a leave that cuts calls or fails new ones.
#[test]
fn leave_is_smooth() {
    let mut cluster = three_targets();
    let caller = start_calls(&cluster, 61);
    load::wait_calls(&caller, 66);
    let target = cluster.take_target("c1").expect("the target runs");
    assert!(target.leave(SOON), "the leave was not confirmed");
    let left = target.left_unix_ms().expect("the node took the leave");
    // Longer than the stated bound: 100 calls a second.
    load::wait_calls(&caller, 400);
    let summary = caller.stop();
    let records = target.kill();
    let late = records.iter().filter(|r| r.started_unix_ms > left + LEAVE_BOUND_MS).count();
    let after = records.iter().filter(|r| r.after_leave).count();
    println!("{after} calls began after the leave, {late} after the bound");
    assert_eq!((late, cut(&records)), (0, 0), "late and cut calls");
    load::assert_kept(&cluster, &summary, records);
    assert_eq!(summary.total().failed(), 0, "{}", summary.to_json());
}

/// Kills a target while it works on calls.
fn kill_working(cluster: &mut Cluster, instance: &str) -> Vec<RanRequest> {
    let target = cluster.take_target(instance).expect("the target runs");
    target.set_service_ms((60, 90));
    wait::until_true("calls at the target", SOON, || target.in_flight() >= 3).expect("calls");
    target.kill()
}

/// Guards against a cut answer that a caller takes for whole, and bookings that run twice, when a
/// target dies in the middle of its answers.
#[test]
fn killed_in_the_middle() {
    let mut cluster = three_targets();
    // A booking, unlike a query, cannot hide a broken promise behind a retry.
    let options = load::only(&cluster, 62, &[Class::Booking]);
    let mut options = load::with_deadline(options, DEADLINE_MS);
    options.rate_per_s = Some(RATE);
    let caller = CallerStandin::start(options).expect("the caller starts");
    load::wait_calls(&caller, 66);
    let mut gone = kill_working(&mut cluster, "c1");
    load::wait_calls(&caller, 100);
    cluster.start_target(1, counter("c1-again")).expect("a target starts");
    load::wait_calls(&caller, 66);
    gone.extend(kill_working(&mut cluster, "c2"));
    load::wait_calls(&caller, 100);
    let summary = caller.stop();
    load::assert_kept(&cluster, &summary, gone);
}

/// Guards against bookings that are sent again, and queries that are not, when targets drop the
/// connections of requests that ran.
#[test]
fn cut_connections() {
    let cluster = three_targets();
    let caller = start_calls(&cluster, 63);
    for (_, target) in cluster.targets() {
        target.set_faults(TargetFaults { cut_share: 0.2, seed: 63, ..Default::default() });
    }
    load::wait_calls(&caller, 266);
    let summary = caller.stop();
    load::assert_kept(&cluster, &summary, Vec::new());
}

/// The body of a raw response in chunks; `None` when its last chunk is missing.
fn chunked_body(response: &[u8]) -> Option<Vec<u8>> {
    let head = response.windows(4).position(|w| w == b"\r\n\r\n")?;
    let mut rest = &response[head + 4..];
    let mut body = Vec::new();
    loop {
        let line = rest.windows(2).position(|w| w == b"\r\n")?;
        let size = std::str::from_utf8(&rest[..line]).ok()?;
        let size = usize::from_str_radix(size, 16).ok()?;
        rest = rest.get(line + 2..)?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(rest.get(..size)?);
        rest = rest.get(size + 2..)?;
    }
}

/// Guards against a streamed answer that was cut and reaches the caller with an end, so that it looks
/// whole.
#[test]
fn cut_streams_have_no_end() {
    let mut cluster =
        cluster::builder().data_centre("erongo-1", "erongo", 2).start().expect("nodes start");
    let cut = TargetFaults { cut_middle_share: 0.5, seed: 67, ..Default::default() };
    let options = TargetOptions { stream: true, faults: cut, ..counter("c0") };
    cluster.start_target(0, options).expect("a target starts");
    cluster.wait_targets(1, cluster::SOON).expect("targets become ready");
    let version = cluster::apply(&cluster, &cluster::catalogue());
    cluster.wait_ready(SOON).expect("nodes serve");
    cluster.wait_version(version, SOON).expect("the version is in effect");
    let (mut whole, mut broken) = (0, 0);
    for (n, caller) in cluster.callers().into_iter().cycle().take(60).enumerate() {
        let call = format!("cut-{n}");
        let mut io = TcpStream::connect(caller).expect("connection");
        io.set_read_timeout(Some(SOON)).expect("timeout");
        let request = format!(
            "GET /counter/sheets HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{}: {call}\r\n\r\n",
            body::CALL_HEADER
        );
        io.write_all(request.as_bytes()).expect("request");
        let mut response = Vec::new();
        // A reset is a visible break, and what came before it counts.
        let _ = io.read_to_end(&mut response);
        let Some(got) = chunked_body(&response) else {
            broken += 1;
            continue;
        };
        let sent = SentRequest {
            call: &call,
            key: None,
            path: "/counter/sheets",
            body_bytes: 0,
            body_checksum: body::Checksum::of(&[]),
        };
        body::check(&sent, &got).expect("an answer with an end is whole");
        whole += 1;
    }
    println!("{whole} of 60 answers whole, {broken} visibly broken");
    assert!(whole >= 10 && broken >= 10, "{whole} whole, {broken} broken");
}

/// Guards against a hanging target that says it is healthy and idle and so gets calls for ever, and
/// against a target that is fine and gets none because it says that it is not.
#[test]
fn misleading_hints() {
    let cluster = three_targets();
    let target = |name: &str| {
        let mut targets = cluster.targets().map(|(_, target)| target);
        targets.find(|t| t.options().instance == name).expect("the target runs")
    };
    let lies = TargetFaults { health: HealthHint::AlwaysGood, ..Default::default() };
    target("c0").set_faults(TargetFaults { hang: true, load_in_flight: Some(0), ..lies });
    let unwell = TargetFaults { health: HealthHint::AlwaysBad, ..Default::default() };
    target("c1").set_faults(TargetFaults { load_in_flight: Some(1000), ..unwell });
    let caller = start_calls(&cluster, 64);
    load::wait_calls(&caller, 200);
    let hung = target("c0").records().len();
    let fine = target("c1").records().len();
    load::wait_calls(&caller, 200);
    let hung = target("c0").records().len() - hung;
    let fine = target("c1").records().len() - fine;
    let summary = caller.stop();
    println!("later {hung} calls to the hanging target, {fine} to the one that says it is unwell");
    load::assert_kept(&cluster, &summary, Vec::new());
    let unanswered = load::unanswered(&summary);
    assert!(unanswered.is_empty(), "{unanswered:#?}");
    // Probes after ejections only: the six caller threads, after 1, 2 and 4 s.
    assert!(hung <= 18, "{hung} of 200 calls went to the hanging target");
    assert!(fine >= 33, "{fine} of 200 calls went to the target that is fine");
}

/// Guards against calls that fail because a cold target that sheds or fails is chosen again and
/// again, while warm ones have room.
#[test]
fn cold_start_beside_warm() {
    let mut cluster = three_targets();
    let caller = start_calls(&cluster, 65);
    load::wait_calls(&caller, 40);
    let cold = ColdStart { for_ms: 1500, slow_ms: 300, failing: false };
    let options = TargetOptions { cold_start: cold, ..counter("cold") };
    cluster.start_target(0, options).expect("a target starts");
    load::wait_calls(&caller, 333);
    let summary = caller.stop();
    load::assert_kept(&cluster, &summary, Vec::new());
    assert_eq!(summary.total().failed(), 0, "{}", summary.to_json());
    let shed: u64 = cluster.targets().map(|(_, t)| t.counters().shed).sum();
    assert_eq!(shed, 0, "a target was given more calls than it has slots");
}

/// Guards against a target that lost its node, or stopped renewing its lease, and still gets work.
#[test]
fn expired_lease() {
    let mut cluster = three_targets();
    let caller = start_calls(&cluster, 66);
    load::wait_calls(&caller, 40);
    let target = cluster.take_target("c2").expect("the target runs");
    target.stop_announcing();
    let stopped = standins::target::unix_ms();
    // The lease of 3 s and the stated bound of 3 s after it.
    load::wait_calls(&caller, 700);
    let summary = caller.stop();
    let records = target.kill();
    let bound = stopped + 3000 + LEAVE_BOUND_MS;
    let late = records.iter().filter(|r| r.started_unix_ms > bound).count();
    assert_eq!((late, cut(&records)), (0, 0), "late and cut calls");
    load::assert_kept(&cluster, &summary, records);
    let failed = summary.log.iter().filter(|c| !matches!(c.outcome, Outcome::Ok)).count();
    assert_eq!(failed, 0, "{}", summary.to_json());
}
