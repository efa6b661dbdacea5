//! Tests that the target stand-in runs, sheds, fails and records calls as configured.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpResponse;
use actix_web::dev::ServerHandle;
use actix_web::web;
use serde_json::Value;
use serde_json::json;
use standins::body;
use standins::body::Checksum;
use standins::body::Defect;
use standins::body::SentRequest;
use standins::http;
use standins::http::Request;
use standins::target::TargetOptions;
use standins::target::TargetStandin;
use standins::target::faults::ColdStart;
use standins::target::faults::HealthHint;
use standins::target::faults::TargetFaults;
use standins::target::faults::Trigger;
use standins::target::record::RequestOutcome;
use standins::wait;

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn start(options: TargetOptions) -> TargetStandin {
    TargetStandin::start(options).expect("a free port")
}

fn url(target: &TargetStandin, path: &str) -> String {
    format!("http://{}{path}", target.addr())
}

fn call(target: &TargetStandin, name: &str, path: &str) -> Request {
    Request::new("GET", url(target, path))
        .header("x-standin-call", name)
        .header("x-request-id", format!("r-{name}"))
}

/// Service time long enough to start all calls of a test while the first is still running.
const LONG_SERVICE_MS: (u64, u64) = (4000, 4000);

/// Starts calls one after the other, each while all previous ones run, and returns their statuses.
fn run_overlapping(target: &TargetStandin, count: u32) -> Vec<u16> {
    std::thread::scope(|scope| {
        let calls: Vec<_> = (1..=count)
            .map(|n| {
                let request = call(target, &format!("c{n}"), "/counter/sheets");
                let call = scope.spawn(move || request.send().map_or(0, |r| r.status));
                wait::until_true("the start of a call", WAIT_TIMEOUT, || target.in_flight() == n)
                    .expect("a started call");
                call
            })
            .collect();
        calls.into_iter().map(|call| call.join().unwrap_or(0)).collect()
    })
}

/// Guards against more concurrent calls than slots, and against a shed call that ran.
#[test]
fn calls_beyond_the_slots_are_shed() {
    let service_ms = LONG_SERVICE_MS;
    let target = start(TargetOptions { slots: 3, service_ms, ..TargetOptions::default() });
    std::thread::scope(|scope| {
        let running = scope.spawn(|| run_overlapping(&target, 3));
        wait::until_true("full slots", WAIT_TIMEOUT, || target.in_flight() == 3)
            .expect("full slots");
        for n in 0..7 {
            let shed = call(&target, &format!("s{n}"), "/counter/sheets").send();
            assert_eq!(shed.expect("a response").status, 503);
        }
        assert_eq!(running.join().expect("the calls"), [200, 200, 200]);
    });
    let counters = target.counters();
    assert_eq!((counters.ran, counters.shed, counters.peak_in_flight), (3, 7, 3));
    assert!(target.records().iter().all(|record| record.call.starts_with('c')));
    assert_eq!(target.in_flight(), 0);
}

/// Guards against records and responses that lack fields which checks compare with the request.
#[test]
fn records_contain_every_field_of_the_request() {
    let target = start(TargetOptions::default());
    let sent_body = vec![7_u8; 100_000];
    let response = Request::new("POST", url(&target, "/counter/orders?desk=4"))
        .header("x-standin-call", "one")
        .header("x-request-id", "r-1")
        .header("idempotency-key", "order-1")
        .header("x-ibis-deadline-ms", "2000")
        .body(sent_body.clone())
        .send()
        .expect("a response");
    let sent = SentRequest {
        call: "one",
        key: Some("order-1"),
        path: "/counter/orders?desk=4",
        body_bytes: 100_000,
        body_checksum: Checksum::of(&sent_body),
    };
    let head = body::check(&sent, &response.body).expect("a complete response");
    assert_eq!((head.version.as_str(), head.instance.as_str()), ("v1", "counter-1"));
    let records = target.records();
    assert_eq!(records.len(), 1);
    let record = &records[0];
    assert_eq!(record.key.as_deref(), Some("order-1"));
    assert_eq!(record.path, "/counter/orders?desk=4");
    assert_eq!((record.body_bytes, record.body_whole), (100_000, true));
    assert_eq!(record.body_checksum, Checksum::of(&sent_body));
    assert_eq!(record.deadline_ms, Some(2000));
    assert_eq!(record.end, RequestOutcome::Answered(200));
    assert!(record.started_unix_ms <= record.ended_unix_ms);
}

/// Guards against a check that accepts a response which is too short, too long, damaged or meant
/// for another request.
#[test]
fn defective_responses_are_detected() {
    let target =
        start(TargetOptions { response_bytes: 200_000, stream: true, ..Default::default() });
    let complete_body = call(&target, "own", "/counter/sheets").send().expect("a response").body;
    let sent = SentRequest {
        call: "own",
        key: None,
        path: "/counter/sheets",
        body_bytes: 0,
        body_checksum: Checksum::default().value(),
    };
    assert!(body::check(&sent, &complete_body).is_ok());
    assert_eq!(body::check(&sent, &complete_body[..complete_body.len() - 1]), Err(Defect::Short));
    assert_eq!(body::check(&sent, b""), Err(Defect::Short));
    let mut overlong_body = complete_body.to_vec();
    overlong_body.push(0);
    assert_eq!(body::check(&sent, &overlong_body), Err(Defect::Long));
    let mut damaged_body = complete_body.to_vec();
    if let Some(byte) = damaged_body.last_mut() {
        *byte ^= 1;
    }
    assert_eq!(body::check(&sent, &damaged_body), Err(Defect::Damaged));
    assert_eq!(
        body::check(&SentRequest { call: "other", ..sent.clone() }, &complete_body),
        Err(Defect::Foreign)
    );
    let request_with_other_length = SentRequest { body_bytes: 1, ..sent };
    assert_eq!(
        body::check(&request_with_other_length, &complete_body),
        Err(Defect::RequestDamaged)
    );
}

/// Guards against a call that continues, or is not recorded as cancelled, after its caller
/// disconnected.
#[test]
fn calls_of_disconnected_callers_are_cancelled() {
    let target = start(TargetOptions { service_ms: (5000, 5000), ..Default::default() });
    let cancelled =
        call(&target, "gone", "/counter/sheets").timeout(Duration::from_millis(200)).send();
    assert!(cancelled.is_err());
    wait::until_true("the cancelled record", WAIT_TIMEOUT, || {
        target.records().first().is_some_and(|record| record.cancelled())
    })
    .expect("a cancelled record");
    assert_eq!(target.in_flight(), 0);
}

/// Guards against a call that runs beyond the deadline in its request.
#[test]
fn calls_end_at_their_deadline() {
    let target = start(TargetOptions { service_ms: (5000, 5000), ..Default::default() });
    let start = Instant::now();
    let timed_out =
        call(&target, "late", "/counter/sheets").header("x-ibis-deadline-ms", "150").send();
    assert_eq!(timed_out.expect("a response").status, 504);
    assert!(start.elapsed() < Duration::from_secs(3));
    assert_eq!(target.records()[0].end, RequestOutcome::DeadlinePassed);
    let expired =
        call(&target, "spent", "/counter/sheets").header("x-ibis-deadline-ms", "0").send();
    assert_eq!(expired.expect("a response").status, 504);
    assert_eq!(target.records().len(), 1);
}

/// Guards against faults that affect calls which do not meet the conditions of the trigger, or
/// spare calls which do.
#[test]
fn faults_affect_only_calls_that_meet_the_trigger() {
    let target = start(TargetOptions { service_ms: (0, 0), ..Default::default() });
    let status = |path: &str| call(&target, "c", path).send().map_or(0, |r| r.status);
    let failing = |trigger| TargetFaults { failing_share: 1.0, trigger, ..Default::default() };

    let prefix = Some("/counter/orders".to_string());
    target.set_faults(failing(Trigger { path_prefix: prefix, ..Default::default() }));
    assert_eq!(status("/counter/orders/4"), 500);
    assert_eq!(status("/counter/sheets"), 200);

    target.set_faults(failing(Trigger { above_in_flight: Some(1), ..Default::default() }));
    assert_eq!(status("/counter/sheets"), 200);

    target.set_faults(failing(Trigger { after_ms: 300, ..Default::default() }));
    let faults_set_at = Instant::now();
    let first_status = status("/counter/sheets");
    assert!(first_status == 200 || faults_set_at.elapsed() >= Duration::from_millis(300));
    wait::until_true("the failure", WAIT_TIMEOUT, || status("/counter/sheets") == 500)
        .expect("a failure");
    assert!(faults_set_at.elapsed() >= Duration::from_millis(300));
}

/// Guards against a load trigger that ignores the calls in flight.
#[test]
fn load_trigger_counts_calls_in_flight() {
    let target = start(TargetOptions { service_ms: LONG_SERVICE_MS, ..Default::default() });
    target.set_faults(TargetFaults {
        failing_share: 1.0,
        trigger: Trigger { above_in_flight: Some(2), ..Default::default() },
        ..Default::default()
    });
    assert_eq!(run_overlapping(&target, 6), [200, 200, 500, 500, 500, 500]);
}

/// Guards against an aborted response that a client accepts as complete.
#[test]
fn aborted_responses_are_incomplete() {
    let target = start(TargetOptions { response_bytes: 300_000, ..Default::default() });
    target.set_faults(TargetFaults { cut_middle_share: 1.0, ..Default::default() });
    let mut stream = std::net::TcpStream::connect(target.addr()).expect("a connection");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    stream
        .write_all(b"GET /counter/sheets HTTP/1.1\r\nhost: t\r\nx-standin-call: middle\r\n\r\n")
        .expect("a request");
    let mut received = Vec::new();
    // The connection may be reset or closed after the last bytes.
    let _ = stream.read_to_end(&mut received);
    assert!(received.starts_with(b"HTTP/1.1 200 OK"), "{} bytes", received.len());
    assert!(received.len() < 300_000, "{} bytes", received.len());
    assert!(!received.ends_with(b"0\r\n\r\n"), "the response has its last chunk");

    target.set_faults(TargetFaults { cut_share: 1.0, ..Default::default() });
    assert!(call(&target, "cut", "/counter/sheets").send().is_err());
    let outcomes: Vec<_> = target.records().iter().map(|record| record.end).collect();
    assert_eq!(outcomes, [RequestOutcome::Cut, RequestOutcome::Cut]);
}

/// Guards against a target that stays unhealthy and keeps failing after its cold start.
#[test]
fn target_recovers_after_its_cold_start() {
    let cold_start = ColdStart { for_ms: 2000, slow_ms: 0, failing: true };
    let target = start(TargetOptions { cold_start, ..Default::default() });
    let health = || http::get(url(&target, "/health")).map_or(0, |r| r.status);
    assert_eq!(health(), 503);
    assert_eq!(call(&target, "cold", "/counter/sheets").send().expect("a response").status, 500);
    wait::until_true("a healthy target", WAIT_TIMEOUT, || health() == 200)
        .expect("a healthy target");
    assert_eq!(call(&target, "warm", "/counter/sheets").send().expect("a response").status, 200);
}

/// Guards against `/health` and `/load` reporting the true state despite faults that falsify it.
#[test]
fn faults_falsify_health_and_load() {
    let target = start(TargetOptions { service_ms: LONG_SERVICE_MS, ..Default::default() });
    let load =
        || http::get(url(&target, "/load")).expect("a response").json()["in_flight"].as_u64();
    std::thread::scope(|scope| {
        let request = call(&target, "slow", "/counter/sheets");
        scope.spawn(move || request.send());
        wait::until_true("the call", WAIT_TIMEOUT, || target.in_flight() == 1).expect("the call");
        assert_eq!(load(), Some(1));
        target.set_faults(TargetFaults { hint_lag_ms: 60_000, ..Default::default() });
        assert_eq!(load(), Some(0));
        target.set_faults(TargetFaults { load_in_flight: Some(9), ..Default::default() });
        assert_eq!(load(), Some(9));
    });
    target.set_faults(TargetFaults { health: HealthHint::AlwaysBad, ..Default::default() });
    assert_eq!(http::get(url(&target, "/health")).expect("a response").status, 503);
}

/// Guards against a target that keeps serving after a kill, or whose callers then hang.
#[test]
fn kill_aborts_connections_and_closes_the_port() {
    let target = start(TargetOptions { service_ms: (20_000, 20_000), ..Default::default() });
    let addr = target.addr();
    let request = call(&target, "killed", "/counter/sheets").timeout(Duration::from_secs(15));
    let caller = std::thread::spawn(move || request.send());
    wait::until_true("the call", WAIT_TIMEOUT, || target.in_flight() == 1).expect("the call");
    let start = Instant::now();
    let records = target.kill();
    assert_eq!(records.len(), 1);
    assert!(caller.join().expect("the caller").is_err());
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    assert!(std::net::TcpStream::connect(addr).is_err());
}

/// Lease that the fake node grants.
const LEASE_MS: u64 = 1500;

/// State of a fake node, which serves the interface for targets.
#[derive(Default)]
struct FakeNode {
    /// Time and body of each announcement.
    announced: Vec<(Instant, Value)>,
    /// Number of reports that the target leaves; the third one is confirmed.
    leave_reports: u32,
}

type SharedNode = web::Data<Arc<Mutex<FakeNode>>>;

async fn announce(node: SharedNode, body: web::Json<Value>) -> HttpResponse {
    node.lock().expect("the node").announced.push((Instant::now(), body.into_inner()));
    HttpResponse::Ok().json(json!({"lease_ms": LEASE_MS}))
}

async fn leave(node: SharedNode) -> HttpResponse {
    let mut node = node.lock().expect("the node");
    node.leave_reports += 1;
    if node.leave_reports < 3 {
        HttpResponse::Accepted().finish()
    } else {
        HttpResponse::Ok().finish()
    }
}

/// Serves the node's interface for targets in its own thread.
fn serve(node: Arc<Mutex<FakeNode>>) -> (SocketAddr, ServerHandle) {
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let server = actix_web::HttpServer::new(move || {
                actix_web::App::new()
                    .app_data(web::Data::new(node.clone()))
                    .route("/targets/announce", web::post().to(announce))
                    .route("/targets/leave", web::post().to(leave))
            })
            .workers(1)
            .disable_signals()
            .bind("127.0.0.1:0")
            .expect("a free port");
            let addr = server.addrs()[0];
            let server = server.run();
            tx.send((addr, server.handle())).expect("the test waits");
            server.await.expect("the server ends without error");
        });
    });
    rx.recv_timeout(WAIT_TIMEOUT).expect("the server starts")
}

/// Guards against a target that lets its lease expire, announces fields other than those of the
/// protocol, or announces itself again after it left.
#[test]
fn announcements_renew_the_lease_until_the_target_leaves() {
    let node = Arc::new(Mutex::new(FakeNode::default()));
    let (addr, handle) = serve(node.clone());

    let target = start(TargetOptions { node: Some(addr), ..Default::default() });
    let announced = || node.lock().expect("the node").announced.len();
    wait::until_true("four announcements", WAIT_TIMEOUT, || announced() >= 4)
        .expect("announcements");
    let (first_announcement, times) = {
        let node = node.lock().expect("the node");
        (node.announced[0].1.clone(), node.announced.iter().map(|a| a.0).collect::<Vec<_>>())
    };
    let lease = Duration::from_millis(LEASE_MS);
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] < lease), "{times:?}");
    assert_eq!(
        first_announcement,
        json!({"service": "counter", "version": "v1", "instance": "counter-1",
               "address": target.addr().to_string(), "slots": 10, "connections": 120})
    );
    assert!(target.leave(WAIT_TIMEOUT));
    assert!(target.left_unix_ms().is_some());
    assert_eq!(node.lock().expect("the node").leave_reports, 3);
    let after_leave = announced();
    call(&target, "after", "/counter/sheets").send().expect("a response");
    assert!(target.records()[0].after_leave);
    // Waits longer than the lease, within which another announcement would have arrived.
    let left_at = Instant::now();
    wait::until_true("the lease to expire", WAIT_TIMEOUT, || left_at.elapsed() > lease)
        .expect("the lease expires");
    assert_eq!(announced(), after_leave);
    drop(handle.stop(false));
}

/// Guards against a chained call that is not sent, loses headers that it has to pass on, or whose
/// failure does not fail the first call.
#[test]
fn chained_calls_pass_on_headers_and_failures() {
    let last_target = start(TargetOptions { service: "plateroom".into(), ..Default::default() });
    let first_target = start(TargetOptions {
        chain_node: Some(last_target.addr()),
        chain_path: "/plates".to_string(),
        ..Default::default()
    });
    let request = call(&first_target, "chained", "/counter/sheets")
        .header("x-standin-chain", "1")
        .header("x-ibis-depth", "4")
        .header("x-ibis-deadline-ms", "3000");
    assert_eq!(request.send().expect("a response").status, 200);
    let records = last_target.records();
    assert_eq!(records.len(), 1);
    assert_eq!((records[0].call.as_str(), records[0].path.as_str()), ("chained", "/plates"));
    assert_eq!(records[0].request_id, "r-chained");
    assert!(records[0].deadline_ms.is_some_and(|ms| ms <= 3000));

    last_target.set_faults(TargetFaults { failing_share: 1.0, ..Default::default() });
    let failed =
        call(&first_target, "failed", "/counter/sheets").header("x-standin-chain", "1").send();
    assert_eq!(failed.expect("a response").status, 502);
}
