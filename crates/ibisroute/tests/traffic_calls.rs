//! Calls through the traffic threads of two nodes in one process to a target.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use arc_swap::ArcSwap;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use ibisroute::catalogue::model::Catalogue;
use ibisroute::catalogue::model::Class;
use ibisroute::catalogue::model::Entry;
use ibisroute::catalogue::model::Limits;
use ibisroute::catalogue::model::Objective;
use ibisroute::catalogue::model::Service;
use ibisroute::catalogue::model::WithdrawalSensitivity;
use ibisroute::node::control_handle::ControlHandle;
use ibisroute::node::control_handle::ControlWork;
use ibisroute::peers::ControlTransport;
use ibisroute::peers::client::PeerClient;
use ibisroute::peers::peer_settings::PeerSettings;
use ibisroute::snapshot::CompiledCatalogue;
use ibisroute::snapshot::Endpoint;
use ibisroute::snapshot::EndpointView;
use ibisroute::snapshot::ServiceEndpoints;
use ibisroute::snapshot::Snapshot;
use ibisroute::traffic::LocalTarget;
use ibisroute::traffic::TrafficContext;
use ibisroute::traffic::TrafficThreads;
use ibisroute::traffic::start;
use ibisroute::traffic::traffic_settings::TrafficSettings;
use ibisroute::types::ByteSize;
use ibisroute::types::Head;
use ibisroute::types::Millis;
use ibisroute::types::Percent;
use ibisroute::types::RatePerSecond;
use ibisroute::wire::ClaimReply;
use ibisroute::wire::ControlReply;
use ibisroute::wire::ControlRequest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Timeout for every condition that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn entry(name: &str, class: Class, methods: &[&str]) -> Entry {
    Entry {
        name: name.parse().expect("entry name"),
        owner: "owner".into(),
        class,
        service: "counter".parse().expect("service name"),
        path: format!("/{name}").into(),
        methods: methods.iter().map(|m| (*m).into()).collect(),
        idempotency_header: (class == Class::Booking).then(|| "Idempotency-Key".into()),
        limits: Limits {
            rate: RatePerSecond(10_000.0),
            concurrency: 100,
            deadline: Millis(8_000),
            retry: Percent(10.0),
            max_body: ByteSize(100 * 1024 * 1024),
        },
        objective: Objective { min_success: Percent(99.0), latency: Millis(250) },
    }
}

fn catalogue() -> Arc<CompiledCatalogue> {
    let entries = vec![
        entry("book", Class::Booking, &["POST"]),
        entry("sheets", Class::CounterQuery, &["GET"]),
        entry("upload", Class::Upload, &["POST"]),
    ];
    let services = vec![Service {
        name: "counter".parse().expect("service name"),
        owner: "owner".into(),
        version: "v1".parse().expect("version name"),
        report_url: None,
        withdrawal: WithdrawalSensitivity::Balanced,
    }];
    let catalogue = Catalogue { name: "test".into(), services, entries, moves: Vec::new() };
    Arc::new(CompiledCatalogue::new(Head::default(), catalogue, Arc::from([])))
}

struct Node {
    threads: TrafficThreads,
    caller_listen_addr: SocketAddr,
    peer_addr: SocketAddr,
    snapshot: Arc<ArcSwap<Snapshot>>,
    /// Work that the traffic threads sent to the control thread, except claims and control
    /// requests.
    received_work: Arc<Mutex<Vec<ControlWork>>>,
}

fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let addr = listener.local_addr().expect("address");
    (listener, addr)
}

impl Node {
    fn start(name: &str) -> Self {
        let (caller_listener, caller_listen_addr) = bind_listener();
        let (peer_listener, peer_addr) = bind_listener();
        let (control, mut rx) = ControlHandle::new();
        let received_work: Arc<Mutex<Vec<ControlWork>>> = Arc::default();
        let work_log = received_work.clone();
        actix_rt::spawn(async move {
            while let Some(work) = rx.recv().await {
                match work {
                    ControlWork::Claim { reply, .. } => drop(reply.send(ClaimReply::Granted)),
                    ControlWork::PeerRequest { reply, .. } => {
                        drop(reply.send(ControlReply::Unknown))
                    }
                    other => work_log.lock().expect("log").push(other),
                }
            }
        });
        let snapshot = Arc::new(ArcSwap::from_pointee(Snapshot {
            config: Some(catalogue()),
            ..Snapshot::default()
        }));
        let threads = start(TrafficContext {
            node: name.parse().expect("node id"),
            data_centre: "dc-1".parse().expect("data centre"),
            caller_listener,
            peer_listener,
            snapshot: snapshot.clone(),
            control,
            traffic_settings: TrafficSettings { workers: 1, ..TrafficSettings::default() },
            peer_settings: PeerSettings::default(),
            seed: 7,
        })
        .expect("traffic threads");
        Self { threads, caller_listen_addr, peer_addr, snapshot, received_work }
    }

    /// Sets the ready targets of the service, given as instance and peer address of its node.
    fn set_endpoints(&self, endpoints: &[(&str, SocketAddr)]) {
        let ready: Vec<Endpoint> = endpoints
            .iter()
            .map(|(instance, peer_addr)| Endpoint {
                instance: instance.parse().expect("instance"),
                version: "v1".parse().expect("version"),
                node: "other".parse().expect("node id"),
                peer_addr: *peer_addr,
                data_centre: "dc-1".parse().expect("data centre"),
                slots: 8,
                local: *peer_addr == self.peer_addr,
            })
            .collect();
        let recent_target_count = u32::try_from(ready.len()).expect("few targets");
        let services = [(
            "counter".parse().expect("service name"),
            ServiceEndpoints { ready, recent_target_count },
        )];
        let mut snapshot = Snapshot::clone(&self.snapshot.load());
        snapshot.endpoints = Arc::new(EndpointView { services: services.into() });
        self.snapshot.store(Arc::new(snapshot));
    }

    fn add_target(&self, instance: &str, address: SocketAddr) {
        self.threads.dispatch().upsert(LocalTarget {
            instance: instance.parse().expect("instance"),
            service: "counter".parse().expect("service name"),
            version: "v1".parse().expect("version"),
            address,
            slots: 8,
            connections: 8,
        });
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.caller_listen_addr)
    }

    /// Waits until `is_done` returns true for the work that the control thread has received.
    async fn wait_control_work(&self, is_done: impl Fn(&[ControlWork]) -> bool) {
        let waiting = async {
            while !is_done(&self.received_work.lock().expect("log")) {
                tokio::task::yield_now().await;
            }
        };
        timeout(WAIT_TIMEOUT, waiting).await.expect("work for the control thread");
    }

    fn released_claim_count(&self) -> usize {
        let received = self.received_work.lock().expect("log");
        received.iter().filter(|w| matches!(w, ControlWork::ReleaseClaim(_))).count()
    }
}

/// Reports the requests that hang at the target as "started" and "dropped".
#[derive(Clone)]
struct HangEventSender(mpsc::UnboundedSender<&'static str>);

/// Reports a hanging request as "dropped" when its handler is dropped.
struct HangGuard(HangEventSender);

impl Drop for HangGuard {
    fn drop(&mut self) {
        let _ = self.0.0.send("dropped");
    }
}

async fn serve_sheets(req: HttpRequest, events: web::Data<HangEventSender>) -> HttpResponse {
    match req.query_string() {
        "hang" => {
            let _guard = HangGuard(HangEventSender::clone(&events));
            let _ = events.0.send("started");
            std::future::pending().await
        }
        _ => HttpResponse::Ok()
            .insert_header((
                "x-seen-depth",
                req.headers().get("x-ibis-depth").expect("depth").clone(),
            ))
            .body("sheet list"),
    }
}

/// Responds with the length of the request body.
async fn respond_with_body_length(mut body: web::Payload) -> HttpResponse {
    let mut len = 0;
    while let Some(Ok(chunk)) = body.next().await {
        len += chunk.len();
    }
    HttpResponse::Ok().body(len.to_string())
}

fn start_target() -> (SocketAddr, mpsc::UnboundedReceiver<&'static str>) {
    let (listener, addr) = bind_listener();
    let (tx, rx) = mpsc::unbounded_channel();
    let events = web::Data::new(HangEventSender(tx));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(events.clone())
            .route("/sheets", web::get().to(serve_sheets))
            .route("/book", web::post().to(respond_with_body_length))
            .route("/upload", web::post().to(respond_with_body_length))
    })
    .workers(1)
    .disable_signals()
    .h1_allow_half_closed(false)
    .listen(listener)
    .expect("target listener")
    .run();
    actix_rt::spawn(server);
    (addr, rx)
}

/// Starts two nodes. The target `t1` is local to the second; both nodes send calls to it.
fn start_two_nodes(target_addr: SocketAddr) -> (Node, Node) {
    let (caller_node, target_node) = (Node::start("caller-node"), Node::start("target-node"));
    target_node.add_target("t1", target_addr);
    caller_node.set_endpoints(&[("t1", target_node.peer_addr)]);
    target_node.set_endpoints(&[("t1", target_node.peer_addr)]);
    (caller_node, target_node)
}

fn client() -> awc::Client {
    awc::Client::builder().timeout(WAIT_TIMEOUT).finish()
}

/// Returns a memory size of this process in KB: the resident set for `VmRSS`, its peak for `VmHWM`.
fn process_memory_kb(field: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("status");
    let line = status.lines().find(|l| l.starts_with(field)).expect("field");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("number")
}

/// Guards against calls whose response or headers are lost between nodes.
#[actix_web::test]
async fn calls_pass_between_nodes() {
    let (target_addr, _hang_events) = start_target();
    let (caller_node, target_node) = start_two_nodes(target_addr);
    for node in [&caller_node, &target_node] {
        let request = client().get(node.url("/sheets")).insert_header(("x-request-id", "call-1"));
        let mut response = request.send().await.expect("response");
        assert_eq!(response.status(), 200);
        assert_eq!(response.headers().get("x-request-id").expect("id"), "call-1");
        assert_eq!(response.headers().get("x-seen-depth").expect("depth"), "1");
        assert!(response.headers().get("x-ibis-service-us").is_none());
        assert_eq!(response.body().await.expect("body"), "sheet list");
    }
}

/// Guards against a wrong status or outcome for a path that no entry has.
#[actix_web::test]
async fn unknown_path_refused() {
    let (target_addr, _hang_events) = start_target();
    let (caller_node, _target_node) = start_two_nodes(target_addr);
    let mut response = client().get(caller_node.url("/nothing")).send().await.expect("response");
    assert_eq!(response.status(), 404);
    assert_eq!(response.headers().get("x-ibis-outcome").expect("outcome"), "not-run");
    let body: serde_json::Value = response.json().await.expect("JSON");
    assert_eq!(body["outcome"], "not-run");
    assert!(body["request_id"].is_string());
}

/// Guards against buffering of uploads: 64 MB must be forwarded with bounded memory.
#[actix_web::test]
async fn upload_is_streamed() {
    const CHUNK_COUNT: usize = 1024;
    const CHUNK_BYTES: usize = 64 * 1024;
    let (target_addr, _hang_events) = start_target();
    let (caller_node, _target_node) = start_two_nodes(target_addr);
    let memory_kb_before = process_memory_kb("VmRSS");
    let chunk = Bytes::from(vec![7; CHUNK_BYTES]);
    let body = stream::iter((0..CHUNK_COUNT).map(move |_| Ok::<_, std::io::Error>(chunk.clone())));
    let mut response = client()
        .post(caller_node.url("/upload"))
        .send_body(awc::body::SizedStream::new((CHUNK_COUNT * CHUNK_BYTES) as u64, body))
        .await
        .expect("response");
    let memory_growth_kb = process_memory_kb("VmHWM").saturating_sub(memory_kb_before);
    assert_eq!(response.status(), 200);
    assert_eq!(response.body().await.expect("body"), (CHUNK_COUNT * CHUNK_BYTES).to_string());
    println!("resident memory grew by {memory_growth_kb} KB");
    assert!(memory_growth_kb < 24 * 1024, "resident memory grew by {memory_growth_kb} KB");
}

/// Guards against an upload that fails, or loses bytes, when an attempt is refused before the body
/// was read.
#[actix_web::test]
async fn unread_upload_is_retried() {
    const CHUNK_COUNT: usize = 16;
    const CHUNK_BYTES: usize = 64 * 1024;
    let (target_addr, _hang_events) = start_target();
    let (caller_node, target_node) = start_two_nodes(target_addr);
    // The target node refuses calls for `t0`, a target that it does not have.
    caller_node.set_endpoints(&[("t0", target_node.peer_addr), ("t1", target_node.peer_addr)]);
    let mut any_call_retried = false;
    for _ in 0..8 {
        let chunk = Bytes::from(vec![7; CHUNK_BYTES]);
        let body =
            stream::iter((0..CHUNK_COUNT).map(move |_| Ok::<_, std::io::Error>(chunk.clone())));
        let mut response =
            client().post(caller_node.url("/upload")).send_stream(body).await.expect("response");
        assert_eq!(response.status(), 200);
        any_call_retried |= response.headers().contains_key("x-ibis-retried");
        assert_eq!(response.body().await.expect("body"), (CHUNK_COUNT * CHUNK_BYTES).to_string());
    }
    assert!(any_call_retried, "no call chose the missing target");
}

/// Guards against calls that outlive their deadline.
#[actix_web::test]
async fn hanging_call_ends_at_deadline() {
    let (target_addr, _hang_events) = start_target();
    let (caller_node, _target_node) = start_two_nodes(target_addr);
    let started_at = Instant::now();
    let request =
        client().get(caller_node.url("/sheets?hang")).insert_header(("x-ibis-deadline-ms", "300"));
    let response = request.send().await.expect("response");
    assert!(response.status() == 504 || response.status() == 503, "{}", response.status());
    assert_eq!(response.headers().get("x-ibis-outcome").expect("outcome"), "may-have-run");
    assert!(started_at.elapsed() < Duration::from_millis(1500), "took {:?}", started_at.elapsed());
}

/// Guards against targets that keep running requests whose callers have disconnected.
#[actix_web::test]
async fn cancellation_reaches_target() {
    let (target_addr, mut hang_events) = start_target();
    let (caller_node, target_node) = start_two_nodes(target_addr);
    for node in [&caller_node, &target_node] {
        let mut caller = TcpStream::connect(node.caller_listen_addr).await.expect("connection");
        let request = b"GET /sheets?hang HTTP/1.1\r\nhost: x\r\n\r\n";
        caller.write_all(request).await.expect("request");
        assert_eq!(
            timeout(WAIT_TIMEOUT, hang_events.recv()).await.expect("in time"),
            Some("started")
        );
        drop(caller);
        assert_eq!(
            timeout(WAIT_TIMEOUT, hang_events.recv()).await.expect("in time"),
            Some("dropped")
        );
    }
}

/// Starts a target that responds to each request with fixed bytes and closes the connection.
/// Returns its address and a counter of its requests.
fn start_fixed_response_target(raw_response: &'static str) -> (SocketAddr, Arc<Mutex<usize>>) {
    let (listener, addr) = bind_listener();
    listener.set_nonblocking(true).expect("listener");
    let listener = tokio::net::TcpListener::from_std(listener).expect("listener");
    let request_count = Arc::new(Mutex::new(0));
    let count = request_count.clone();
    actix_rt::spawn(async move {
        while let Ok((mut io, _)) = listener.accept().await {
            let mut buf = [0; 1024];
            if io.read(&mut buf).await.is_ok_and(|n| n > 0) {
                *count.lock().expect("count") += 1;
            }
            let _ = io.write_all(raw_response.as_bytes()).await;
        }
    });
    (addr, request_count)
}

/// Guards against a truncated response that looks complete to the caller.
#[actix_web::test]
async fn truncated_response_does_not_look_complete() {
    for raw_response in [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nfirst",
    ] {
        let (target_addr, _request_count) = start_fixed_response_target(raw_response);
        let (caller_node, target_node) = start_two_nodes(target_addr);
        for node in [&caller_node, &target_node] {
            let mut caller = TcpStream::connect(node.caller_listen_addr).await.expect("connection");
            let request = b"GET /sheets HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
            caller.write_all(request).await.expect("request");
            let mut received = Vec::new();
            // A reset also shows the caller that the response is truncated.
            let read_result = timeout(WAIT_TIMEOUT, caller.read_to_end(&mut received)).await;
            let response = String::from_utf8_lossy(&received);
            assert!(read_result.is_ok(), "still open after {raw_response:?}: {response}");
            // The node may notice the truncation before it sends the head, and then refuses the
            // call.
            if response.starts_with("HTTP/1.1 503") {
                assert!(response.contains("x-ibis-outcome: may-have-run"), "{response}");
                continue;
            }
            assert!(response.is_empty() || response.starts_with("HTTP/1.1 200"), "{response}");
            assert!(!response.ends_with("0\r\n\r\n"), "the response looks complete: {response}");
            assert!(
                !response.contains("content-length: 5"),
                "the response looks complete: {response}"
            );
        }
    }
}

/// Guards against a connection to the caller that is closed without any response because the end of
/// a short response does not arrive in time.
#[actix_web::test]
async fn response_without_end_is_refused() {
    let (listener, target_addr) = bind_listener();
    listener.set_nonblocking(true).expect("listener");
    let listener = tokio::net::TcpListener::from_std(listener).expect("listener");
    actix_rt::spawn(async move {
        let mut open_connections = Vec::new();
        while let Ok((mut io, _)) = listener.accept().await {
            let mut buf = [0; 1024];
            let _ = io.read(&mut buf).await;
            let _ = io.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nfirst").await;
            open_connections.push(io);
        }
    });
    let (caller_node, target_node) = start_two_nodes(target_addr);
    for (i, node) in [&caller_node, &target_node].into_iter().enumerate() {
        let request = client()
            .post(node.url("/book"))
            .insert_header(("idempotency-key", format!("k{i}")))
            .insert_header(("x-ibis-deadline-ms", "400"));
        let response = request.send_body("order").await.expect("response");
        assert!(matches!(response.status().as_u16(), 503 | 504), "{}", response.status());
        assert_eq!(response.headers().get("x-ibis-outcome").expect("outcome"), "may-have-run");
        assert_eq!(node.released_claim_count(), 0);
    }
    let (healthy_addr, _hang_events) = start_target();
    target_node.add_target("t2", healthy_addr);
    caller_node.set_endpoints(&[("t1", target_node.peer_addr), ("t2", target_node.peer_addr)]);
    for _ in 0..3 {
        let request =
            client().get(caller_node.url("/sheets")).insert_header(("x-ibis-deadline-ms", "1000"));
        let mut response = request.send().await.expect("response");
        assert_eq!(response.body().await.expect("body"), "sheet list");
    }
}

/// Guards against a booking that is retried, or reported as "not run", after its target closed the
/// connection without a response.
#[actix_web::test]
async fn killed_target_means_may_have_run() {
    let (target_addr, request_count) = start_fixed_response_target("");
    let (caller_node, target_node) = start_two_nodes(target_addr);
    for node in [&caller_node, &target_node] {
        let request = client().post(node.url("/book")).insert_header(("idempotency-key", "k1"));
        let response = request.send_body("order").await.expect("response");
        assert_eq!(response.status(), 503);
        assert_eq!(response.headers().get("x-ibis-outcome").expect("outcome"), "may-have-run");
        assert_eq!(node.released_claim_count(), 0);
    }
    assert_eq!(*request_count.lock().expect("count"), 2);
}

/// Guards against a booking that runs twice because its target forwarded the "not run" of another
/// service that it had called.
#[actix_web::test]
async fn forwarded_not_run_is_no_proof() {
    let raw_response = "HTTP/1.1 503 Service Unavailable\r\nX-Ibis-Outcome: not-run\r\n\
                  content-length: 0\r\nconnection: close\r\n\r\n";
    let (first_target_addr, first_request_count) = start_fixed_response_target(raw_response);
    let (second_target_addr, second_request_count) = start_fixed_response_target(raw_response);
    let (caller_node, target_node) = start_two_nodes(first_target_addr);
    target_node.add_target("t2", second_target_addr);
    for node in [&caller_node, &target_node] {
        node.set_endpoints(&[("t1", target_node.peer_addr), ("t2", target_node.peer_addr)]);
    }
    for (i, node) in [&caller_node, &target_node].into_iter().enumerate() {
        let request =
            client().post(node.url("/book")).insert_header(("idempotency-key", format!("k{i}")));
        let response = request.send_body("order").await.expect("response");
        assert_eq!(response.status(), 503);
        assert_eq!(response.headers().get("x-ibis-outcome"), None);
        assert_eq!(node.released_claim_count(), 0);
    }
    let executions =
        *first_request_count.lock().expect("count") + *second_request_count.lock().expect("count");
    assert_eq!(executions, 2, "two bookings ran {executions} times");
}

/// Guards against a claim that is not released when nothing reached the target, and against a
/// booking that is accepted without a key.
#[actix_web::test]
async fn unreachable_target_means_not_run() {
    let (listener, target_addr) = bind_listener();
    drop(listener);
    let (caller_node, _target_node) = start_two_nodes(target_addr);
    let request = client().post(caller_node.url("/book")).insert_header(("idempotency-key", "k1"));
    let response = request.send_body("order").await.expect("response");
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers().get("x-ibis-outcome").expect("outcome"), "not-run");
    caller_node
        .wait_control_work(|received| {
            received.iter().any(|w| matches!(w, ControlWork::ReleaseClaim(_)))
        })
        .await;
    let response =
        client().post(caller_node.url("/book")).send_body("order").await.expect("response");
    assert_eq!(response.status(), 400);
}

/// Guards against calls that fail because a peer accepts connections but never responds.
#[actix_web::test]
async fn silent_peer_calls_are_retried() {
    let (target_addr, _hang_events) = start_target();
    let (caller_node, target_node) = start_two_nodes(target_addr);
    let (silent_listener, silent_addr) = bind_listener();
    caller_node.set_endpoints(&[("t0", silent_addr), ("t1", target_node.peer_addr)]);
    for _ in 0..6 {
        let request =
            client().get(caller_node.url("/sheets")).insert_header(("x-ibis-deadline-ms", "4000"));
        let response = request.send().await.expect("response");
        assert_eq!(response.status(), 200);
    }
    drop(silent_listener);
}

/// Guards against calls that wait until their deadline for a target that accepts connections but
/// never responds.
#[actix_web::test]
async fn silent_target_calls_are_retried() {
    let (target_addr, _hang_events) = start_target();
    let (caller_node, target_node) = start_two_nodes(target_addr);
    let (silent_listener, silent_addr) = bind_listener();
    target_node.add_target("t0", silent_addr);
    caller_node.set_endpoints(&[("t0", target_node.peer_addr), ("t1", target_node.peer_addr)]);
    // The floor of the retry budget covers the retries of three calls.
    for _ in 0..3 {
        let request =
            client().get(caller_node.url("/sheets")).insert_header(("x-ibis-deadline-ms", "1000"));
        let response = request.send().await.expect("response");
        assert_eq!(response.status(), 200);
    }
    drop(silent_listener);
}

/// Guards against a leaving target that is never reported as idle, or still receives calls.
#[actix_web::test]
async fn drained_target_reports_idle() {
    let (target_addr, _hang_events) = start_target();
    let (caller_node, target_node) = start_two_nodes(target_addr);
    target_node.threads.dispatch().drain("t1".parse().expect("instance"));
    target_node
        .wait_control_work(|received| {
            received.iter().any(|w| matches!(w, ControlWork::TargetIdle(_)))
        })
        .await;
    let request = client().post(caller_node.url("/book")).insert_header(("idempotency-key", "k1"));
    let response = request.send_body("order").await.expect("response");
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers().get("x-ibis-outcome").expect("outcome"), "not-run");
}

/// Guards against bookings that fail because one target refuses connections although another could
/// run them, and against results and call counts that do not reach the control thread.
#[actix_web::test]
async fn booking_results_are_recorded() {
    let (target_addr, _hang_events) = start_target();
    let (caller_node, target_node) = start_two_nodes(target_addr);
    let (listener, refusing_addr) = bind_listener();
    drop(listener);
    target_node.add_target("t0", refusing_addr);
    caller_node.set_endpoints(&[("t0", target_node.peer_addr), ("t1", target_node.peer_addr)]);
    const CALLS: usize = 4;
    for i in 0..CALLS {
        let request = client()
            .post(caller_node.url("/book"))
            .insert_header(("idempotency-key", format!("k{i}")));
        let mut response = request.send_body("order").await.expect("response");
        assert_eq!(response.status(), 200);
        assert_eq!(response.body().await.expect("body"), "5");
    }
    let all_calls_reported = |received: &[ControlWork]| {
        let mut result_count = 0;
        let mut response_count = 0;
        for work in received {
            match work {
                ControlWork::RecordResult { .. } => result_count += 1,
                ControlWork::Counts(counts) => {
                    response_count +=
                        counts.attempts.values().map(|c| c.calls - c.refused).sum::<u64>();
                }
                _ => {}
            }
        }
        result_count == CALLS && response_count == CALLS as u64
    };
    caller_node.wait_control_work(all_calls_reported).await;
    assert_eq!(caller_node.released_claim_count(), 0);
}

/// Guards against a graceful stop that interrupts calls in flight.
#[actix_web::test]
async fn drain_finishes_calls() {
    let (target_addr, mut hang_events) = start_target();
    let (caller_node, target_node) = start_two_nodes(target_addr);
    let url = caller_node.url("/sheets?hang");
    let call_task = actix_rt::spawn(async move {
        let request = client().get(url).insert_header(("x-ibis-deadline-ms", "500"));
        request.send().await.map(|r| r.status().as_u16()).map_err(|e| e.to_string())
    });
    assert_eq!(timeout(WAIT_TIMEOUT, hang_events.recv()).await.expect("in time"), Some("started"));
    let (caller_node_drained, target_node_drained) = tokio::join!(
        caller_node.threads.drain(Millis(5_000)),
        target_node.threads.drain(Millis(5_000))
    );
    assert!(
        caller_node_drained && target_node_drained,
        "caller node {caller_node_drained}, target node {target_node_drained}"
    );
    // The call is not interrupted: it ends with the refusal at its deadline.
    let status =
        timeout(WAIT_TIMEOUT, call_task).await.expect("in time").expect("task").expect("response");
    assert!(status == 503 || status == 504, "{status}");
    timeout(WAIT_TIMEOUT, caller_node.threads.stop()).await.expect("stopped");
    timeout(WAIT_TIMEOUT, target_node.threads.stop()).await.expect("stopped");
}

/// Guards against a stop that hangs after the time limit of a drain, and against a drain that
/// accepts new calls.
#[actix_web::test]
async fn drain_ends_at_time_limit() {
    let (target_addr, mut hang_events) = start_target();
    let (caller_node, target_node) = start_two_nodes(target_addr);
    let url = caller_node.url("/sheets?hang");
    let call_task = actix_rt::spawn(async move { client().get(url).send().await.is_err() });
    assert_eq!(timeout(WAIT_TIMEOUT, hang_events.recv()).await.expect("in time"), Some("started"));
    assert!(!caller_node.threads.drain(Millis(50)).await);
    let response = client().get(caller_node.url("/sheets")).send().await.expect("response");
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers().get("x-ibis-outcome").expect("outcome"), "not-run");
    timeout(WAIT_TIMEOUT / 2, caller_node.threads.stop()).await.expect("stopped");
    assert!(
        timeout(WAIT_TIMEOUT, call_task).await.expect("in time").expect("task"),
        "the interrupted call got a response"
    );
    timeout(WAIT_TIMEOUT, target_node.threads.stop()).await.expect("stopped");
}

/// Guards against a peer server that terminates after malformed input.
#[actix_web::test]
async fn peer_server_survives_malformed_input() {
    let (target_addr, _hang_events) = start_target();
    let (_caller_node, target_node) = start_two_nodes(target_addr);
    for (path, body) in [
        ("/call", vec![255; 16]),
        ("/call", vec![3, 0, 0, 0, 255, 255, 255]),
        ("/control", vec![255; 16]),
        ("/other", vec![]),
    ] {
        let io = TcpStream::connect(target_node.peer_addr).await.expect("connection");
        let (mut sender, connection) = h2::client::handshake(io).await.expect("handshake");
        actix_rt::spawn(async move { drop(connection.await) });
        let request = http::Request::post(format!("http://peer{path}")).body(()).expect("request");
        let (response, mut stream) = sender.send_request(request, false).expect("stream");
        stream.send_data(Bytes::from(body), true).expect("body");
        let response = timeout(WAIT_TIMEOUT, response).await.expect("in time").expect("response");
        assert!(response.status().is_client_error(), "{path}: {}", response.status());
    }
    let peers = PeerClient::new(PeerSettings::default());
    let reply =
        peers.request(target_node.peer_addr, ControlRequest::FetchHead, Millis(5_000)).await;
    assert_eq!(reply, Ok(ControlReply::Unknown));
}
