//! Stand-in for a target: runs calls on a number of slots, announces itself to the node beside it,
//! and records every request that it ran.
//!
//! Its own endpoints are `/health`, `/load`, `GET` and `POST /standin/faults`,
//! `GET /standin/records` and `GET /standin/counters`. A request to any other path is a call.

mod announcer;
pub mod faults;
pub mod record;

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::HeaderMap;
use actix_web::web;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::body::CALL_HEADER;
use crate::body::CHAIN_HEADER;
use crate::body::CHUNK_BYTES;
use crate::body::Checksum;
use crate::body::Filler;
use crate::body::ResponseHead;
use crate::server::HttpThread;
use crate::server::abort_connection;
use crate::server::lock;

use self::announcer::Announcer;
use self::faults::ColdStart;
use self::faults::HealthHint;
use self::faults::TargetFaults;
use self::record::ExecutedRequest;
use self::record::RequestOutcome;
use self::record::TargetCounters;

/// Largest number of snapshots kept for `/health` and `/load`, which report an older one under the
/// fault `hint_lag_ms`.
const MAX_SNAPSHOTS: usize = 10_000;

/// Deadline in ms of a chained call when the request that causes it carries none.
const CHAIN_DEADLINE_MS: u64 = 10_000;

/// Identity, capacity and behaviour of a target stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetOptions {
    pub service: String,
    pub version: String,
    /// Instance id, unique to an incarnation; a restarted target needs another.
    pub instance: String,
    /// Address to listen on; with port 0 the system chooses a free port.
    pub listen: SocketAddr,
    /// `targets` address of the node beside the target; with `None` the target does not announce
    /// itself.
    pub node: Option<SocketAddr>,
    /// Address that is announced instead of the listening one, for a relay between node and target.
    pub announced_address: Option<SocketAddr>,
    /// Largest number of concurrent calls; further ones are shed with status 503.
    pub slots: u32,
    /// Largest number of open connections.
    pub connections: u32,
    /// Shortest and longest service time in ms.
    pub service_ms: (u64, u64),
    pub cold_start: ColdStart,
    /// Bytes of filler in a response.
    pub response_bytes: usize,
    /// Whether responses are streamed in chunks without a content length.
    pub stream: bool,
    /// Pause between the chunks of a streamed response, in ms.
    pub chunk_pause_ms: u64,
    /// `caller` address of the node through which chained calls are sent; `None` disables them.
    pub chain_node: Option<SocketAddr>,
    /// Path of chained calls.
    pub chain_path: String,
    /// Faults in effect from the start.
    pub faults: TargetFaults,
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self {
            service: "counter".to_string(),
            version: "v1".to_string(),
            instance: "counter-1".to_string(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            node: None,
            announced_address: None,
            slots: 10,
            connections: 120,
            service_ms: (1, 3),
            cold_start: ColdStart::default(),
            response_bytes: 256,
            stream: false,
            chunk_pause_ms: 0,
            chain_node: None,
            chain_path: "/counter/sheets".to_string(),
            faults: TargetFaults::default(),
        }
    }
}

/// State at one point in time, which `/health` and `/load` report.
#[derive(Clone, Copy)]
struct Snapshot {
    taken_at: Instant,
    in_flight: u32,
    draining: bool,
    hanging: bool,
}

struct TargetState {
    options: TargetOptions,
    faults: TargetFaults,
    faults_set_at: Instant,
    started: Instant,
    rng: SmallRng,
    in_flight: u32,
    /// Unix time in ms at which the node accepted that the target leaves; `None` before that.
    left_unix_ms: Option<u64>,
    records: Vec<ExecutedRequest>,
    counters: TargetCounters,
    snapshots: VecDeque<Snapshot>,
}

/// State shared by the server, the announcer and the handle.
#[derive(Clone)]
struct Shared(Arc<Mutex<TargetState>>);

/// A running target stand-in, which is killed when it is dropped.
pub struct TargetStandin {
    shared: Shared,
    server: HttpThread,
    announcer: Announcer,
}

impl TargetStandin {
    /// Starts a target. It announces itself when the options name a node.
    pub fn start(options: TargetOptions) -> io::Result<Self> {
        let listener = TcpListener::bind(options.listen)?;
        let now = Instant::now();
        let connections = options.connections as usize;
        let node = options.node;
        let shared = Shared(Arc::new(Mutex::new(TargetState {
            faults: options.faults.clone(),
            faults_set_at: now,
            started: now,
            rng: SmallRng::seed_from_u64(options.faults.seed),
            in_flight: 0,
            left_unix_ms: None,
            records: Vec::new(),
            counters: TargetCounters::default(),
            snapshots: VecDeque::new(),
            options,
        })));
        let handler_shared = shared.clone();
        let server = HttpThread::start(listener, connections, move |cfg| {
            cfg.app_data(web::Data::new(handler_shared.clone()))
                .app_data(web::Data::new(chain_client()))
                .route("/health", web::get().to(health))
                .route("/load", web::get().to(load))
                .route("/standin/faults", web::get().to(get_faults))
                .route("/standin/faults", web::post().to(set_faults))
                .route("/standin/records", web::get().to(get_records))
                .route("/standin/counters", web::get().to(get_counters))
                .default_service(web::to(call));
        })?;
        let announcer = Announcer::start(shared.clone(), server.addr())?;
        if let Some(node) = node {
            announcer.announce_to(node);
        }
        Ok(Self { shared, server, announcer })
    }

    /// Address that the target listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// The current options of the target.
    pub fn options(&self) -> TargetOptions {
        self.shared.lock().options.clone()
    }

    /// Starts to announce the target to the node with this `targets` address, instead of any other.
    pub fn announce_to(&self, node: SocketAddr) {
        self.announcer.announce_to(node);
    }

    /// Stops announcing without notice to the node, so that the lease expires.
    pub fn stop_announcing(&self) {
        self.announcer.pause();
    }

    /// Sets the `caller` address of the node through which chained calls are sent.
    pub fn chain_through(&self, node: SocketAddr) {
        self.shared.lock().options.chain_node = Some(node);
    }

    /// Replaces the faults in effect.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.shared.set_faults(faults);
    }

    /// Sets the shortest and longest service time in ms.
    pub fn set_service_ms(&self, service_ms: (u64, u64)) {
        self.shared.lock().options.service_ms = service_ms;
    }

    /// Records of all requests that the target ran, in order of start.
    pub fn records(&self) -> Vec<ExecutedRequest> {
        self.shared.lock().records.clone()
    }

    /// Counters since the start of the target.
    pub fn counters(&self) -> TargetCounters {
        self.shared.lock().counters
    }

    /// Number of calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.shared.lock().in_flight
    }

    /// Unix time in ms at which the node accepted that the target leaves; `None` before that.
    pub fn left_unix_ms(&self) -> Option<u64> {
        self.shared.lock().left_unix_ms
    }

    /// Aborts all open connections; new ones are accepted.
    pub fn abort_connections(&self) {
        self.server.abort_all();
    }

    /// Reports to the node that the target leaves, and waits until the node confirms that its calls
    /// have ended. Returns whether that happened within `timeout`. The target keeps serving.
    pub fn leave(&self, timeout: Duration) -> bool {
        self.announcer.leave(timeout)
    }

    /// Leaves as [`TargetStandin::leave`], lets calls in flight finish and stops. Returns whether
    /// the node confirmed within `timeout`, and the records.
    pub fn stop(mut self, timeout: Duration) -> (bool, Vec<ExecutedRequest>) {
        let confirmed = self.leave(timeout);
        self.server.stop(true);
        (confirmed, self.records())
    }

    /// Stops immediately without notice to the node: closes the port and aborts all connections.
    /// Returns the records.
    pub fn kill(mut self) -> Vec<ExecutedRequest> {
        self.announcer.pause();
        self.server.stop(false);
        self.records()
    }
}

/// Returns the current Unix time in ms.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

fn chain_client() -> awc::Client {
    awc::Client::builder().disable_redirects().disable_timeout().finish()
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, TargetState> {
        lock(&self.0)
    }

    fn set_faults(&self, faults: TargetFaults) {
        let mut state = self.lock();
        state.rng = SmallRng::seed_from_u64(faults.seed);
        state.faults_set_at = Instant::now();
        state.faults = faults;
        state.record_snapshot();
    }
}

impl TargetState {
    fn record_snapshot(&mut self) {
        if self.snapshots.len() >= MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
        self.snapshots.push_back(Snapshot {
            taken_at: Instant::now(),
            in_flight: self.in_flight,
            draining: self.left_unix_ms.is_some(),
            hanging: self.faults.hang,
        });
    }

    /// Returns the state of `hint_lag_ms` ago, which `/health` and `/load` report.
    fn reported_snapshot(&self) -> Snapshot {
        let hint_lag = Duration::from_millis(self.faults.hint_lag_ms);
        let taken_at = Instant::now().checked_sub(hint_lag).unwrap_or(self.started);
        let idle = Snapshot { taken_at, in_flight: 0, draining: false, hanging: false };
        let snapshot = self
            .snapshots
            .iter()
            .rev()
            .find(|snapshot| snapshot.taken_at <= taken_at)
            .copied()
            .unwrap_or(idle);
        Snapshot { taken_at, ..snapshot }
    }

    fn is_cold(&self, at: Instant) -> bool {
        at.saturating_duration_since(self.started)
            < Duration::from_millis(self.options.cold_start.for_ms)
    }

    /// Returns true with the probability `share`.
    fn random_chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.min(1.0))
    }
}

/// Guard of a running request, which completes its record. Dropping it before the end records the
/// request as cancelled.
struct RecordGuard {
    shared: Shared,
    /// Index into [`TargetState::records`].
    record_index: usize,
    has_ended: bool,
}

impl RecordGuard {
    fn end(&mut self, outcome: RequestOutcome) {
        if self.has_ended {
            return;
        }
        self.has_ended = true;
        let mut state = self.shared.lock();
        state.in_flight -= 1;
        state.record_snapshot();
        let record = &mut state.records[self.record_index];
        record.end = outcome;
        record.ended_unix_ms = unix_ms();
    }

    fn set_body(&self, bytes: u64, checksum: u64, complete: bool) {
        let record = &mut self.shared.lock().records[self.record_index];
        record.body_bytes = bytes;
        record.body_checksum = checksum;
        record.body_whole = complete;
    }
}

impl Drop for RecordGuard {
    fn drop(&mut self) {
        self.end(RequestOutcome::Cancelled);
    }
}

/// Effect of the current options and faults on one call.
struct CallPlan {
    service_time: Duration,
    /// Status of an injected failure; `None` for a call that succeeds.
    fail_status: Option<u16>,
    /// Whether the call never ends.
    hang: bool,
    /// Whether the connection is aborted before the response.
    abort_before_response: bool,
    /// Whether the connection is aborted in the middle of the response body.
    abort_in_middle: bool,
    response_bytes: usize,
    stream: bool,
    chunk_pause: Duration,
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_string)
}

async fn call(
    req: HttpRequest,
    shared: web::Data<Shared>,
    client: web::Data<awc::Client>,
    payload: web::Payload,
) -> HttpResponse {
    let arrived_at = Instant::now();
    let deadline_ms =
        header(req.headers(), "x-ibis-deadline-ms").and_then(|value| value.parse::<u64>().ok());
    let (mut guard, plan) = match admit(&req, &shared, deadline_ms) {
        Ok(admitted) => admitted,
        Err(refusal) => return *refusal,
    };
    let execution =
        execute(&req, &shared, &client, payload, &guard, &plan, arrived_at, deadline_ms);
    let result = match deadline_ms {
        None => execution.await,
        Some(ms) => {
            let deadline = tokio::time::Instant::from_std(arrived_at + Duration::from_millis(ms));
            match tokio::time::timeout_at(deadline, execution).await {
                Ok(result) => result,
                Err(_) => {
                    guard.end(RequestOutcome::DeadlinePassed);
                    return HttpResponse::GatewayTimeout()
                        .json(json!({"error": "the deadline passed"}));
                }
            }
        }
    };
    let head = match result {
        Ok(head) => head,
        Err(response) => {
            guard.end(RequestOutcome::Answered(response.status().as_u16()));
            return response;
        }
    };
    if plan.abort_before_response {
        guard.end(RequestOutcome::Cut);
        abort_connection(&req);
        return HttpResponse::InternalServerError().finish();
    }
    respond(req, guard, &plan, &head)
}

/// Occupies a slot and starts the record of a call, or returns a refusal.
fn admit(
    req: &HttpRequest,
    shared: &Shared,
    deadline_ms: Option<u64>,
) -> Result<(RecordGuard, CallPlan), Box<HttpResponse>> {
    let mut state_guard = shared.lock();
    let state = &mut *state_guard;
    if deadline_ms == Some(0) {
        state.counters.refused_late += 1;
        let refusal = HttpResponse::GatewayTimeout().json(json!({"error": "the deadline passed"}));
        return Err(Box::new(refusal));
    }
    if state.in_flight >= state.options.slots {
        state.counters.shed += 1;
        let refusal =
            HttpResponse::ServiceUnavailable().json(json!({"error": "all slots are taken"}));
        return Err(Box::new(refusal));
    }
    state.in_flight += 1;
    state.counters.ran += 1;
    state.counters.peak_in_flight = state.counters.peak_in_flight.max(state.in_flight);
    state.record_snapshot();
    let record_index = state.records.len();
    let request_id = header(req.headers(), "x-request-id").unwrap_or_default();
    state.records.push(ExecutedRequest {
        number: record_index as u64,
        call: header(req.headers(), CALL_HEADER).unwrap_or_else(|| request_id.clone()),
        request_id,
        key: header(req.headers(), "idempotency-key"),
        method: req.method().to_string(),
        path: path_and_query(req),
        body_bytes: 0,
        body_checksum: Checksum::default().value(),
        body_whole: false,
        deadline_ms,
        started_unix_ms: unix_ms(),
        ended_unix_ms: 0,
        end: RequestOutcome::Running,
        after_leave: state.left_unix_ms.is_some(),
    });
    let plan = plan_call(state, req.path());
    drop(state_guard);
    Ok((RecordGuard { shared: shared.clone(), record_index, has_ended: false }, plan))
}

/// Chooses the service time and the faults of a call that occupies a slot.
fn plan_call(state: &mut TargetState, path: &str) -> CallPlan {
    let (low, high) = state.options.service_ms;
    let micros = state.rng.random_range(low * 1000..=high.max(low) * 1000);
    let mut service_time = Duration::from_micros(micros);
    let mut fail_status = None;
    if state.is_cold(Instant::now()) {
        service_time += Duration::from_millis(state.options.cold_start.slow_ms);
        fail_status = state.options.cold_start.failing.then_some(500);
    }
    let since_faults = state.faults_set_at.elapsed();
    if state.faults.trigger.holds(since_faults, state.in_flight, path) {
        service_time += Duration::from_millis(state.faults.slow_ms);
        if state.random_chance(state.faults.failing_share) {
            fail_status = Some(state.faults.fail_status);
        }
    }
    CallPlan {
        service_time,
        fail_status,
        hang: state.faults.hang,
        abort_before_response: state.random_chance(state.faults.cut_share),
        abort_in_middle: state.random_chance(state.faults.cut_middle_share),
        response_bytes: state.options.response_bytes,
        stream: state.options.stream,
        chunk_pause: Duration::from_millis(state.options.chunk_pause_ms),
    }
}

fn path_and_query(req: &HttpRequest) -> String {
    req.uri().path_and_query().map_or_else(|| req.path().to_string(), ToString::to_string)
}

/// Receives the body, waits for the service time and sends the chained call. `Err` holds the
/// response of a failed call.
#[allow(clippy::too_many_arguments)]
async fn execute(
    req: &HttpRequest,
    shared: &Shared,
    client: &awc::Client,
    mut payload: web::Payload,
    record_guard: &RecordGuard,
    plan: &CallPlan,
    arrived_at: Instant,
    deadline_ms: Option<u64>,
) -> Result<ResponseHead, HttpResponse> {
    let mut checksum = Checksum::default();
    let mut bytes = 0;
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else {
            record_guard.set_body(bytes, checksum.value(), false);
            return Err(
                HttpResponse::BadRequest().json(json!({"error": "the request body was truncated"}))
            );
        };
        checksum.update(&chunk);
        bytes += chunk.len() as u64;
    }
    record_guard.set_body(bytes, checksum.value(), true);
    if plan.hang {
        return std::future::pending().await;
    }
    if !plan.service_time.is_zero() {
        tokio::time::sleep(plan.service_time).await;
    }
    if let Some(status) = plan.fail_status {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        return Err(HttpResponse::build(status).json(json!({"error": "injected failure"})));
    }
    chain(req, shared, client, arrived_at, deadline_ms).await?;
    let (options, record) = {
        let state = shared.lock();
        (state.options.clone(), state.records[record_guard.record_index].clone())
    };
    let filler = Filler::new(&record.call, plan.response_bytes).into_bytes();
    Ok(ResponseHead {
        call: record.call,
        request_id: record.request_id,
        key: record.key,
        path: record.path,
        service: options.service,
        version: options.version,
        instance: options.instance,
        request_bytes: record.body_bytes,
        request_checksum: record.body_checksum,
        filler_bytes: filler.len(),
        filler_checksum: Checksum::of(&filler),
    })
}

/// Sends the chained call when the request requires one. Its failure fails this call.
async fn chain(
    req: &HttpRequest,
    shared: &Shared,
    client: &awc::Client,
    arrived_at: Instant,
    deadline_ms: Option<u64>,
) -> Result<(), HttpResponse> {
    let remaining_hops =
        header(req.headers(), CHAIN_HEADER).and_then(|value| value.parse::<u32>().ok());
    let Some(remaining_hops) = remaining_hops.filter(|remaining_hops| *remaining_hops > 0) else {
        return Ok(());
    };
    let (node, path) = {
        let state = shared.lock();
        (state.options.chain_node, state.options.chain_path.clone())
    };
    let Some(node) = node else { return Ok(()) };
    let remaining_ms = deadline_ms
        .unwrap_or(CHAIN_DEADLINE_MS)
        .saturating_sub(arrived_at.elapsed().as_millis() as u64);
    let mut request = client
        .get(format!("http://{node}{path}"))
        .timeout(Duration::from_millis(remaining_ms + 100))
        .insert_header(("x-ibis-deadline-ms", remaining_ms.to_string()))
        .insert_header((CHAIN_HEADER, (remaining_hops - 1).to_string()));
    for name in ["x-request-id", "x-ibis-depth", CALL_HEADER] {
        if let Some(value) = req.headers().get(name) {
            request = request.insert_header((name, value.clone()));
        }
    }
    let bad_gateway = |retried: Option<String>, error: String| {
        let mut response = HttpResponse::BadGateway();
        if let Some(retried) = retried {
            response.insert_header(("x-ibis-retried", retried));
        }
        response.json(json!({"error": error}))
    };
    let mut response = match request.send().await {
        Ok(response) => response,
        Err(e) => return Err(bad_gateway(None, e.to_string())),
    };
    let retried = header(response.headers(), "x-ibis-retried");
    if !response.status().is_success() {
        return Err(bad_gateway(
            retried,
            format!("the chained call returned status {}", response.status()),
        ));
    }
    match response.body().limit(64 << 20).await {
        Ok(_) => Ok(()),
        Err(e) => Err(bad_gateway(retried, e.to_string())),
    }
}

/// Responds with the head line and the filler.
fn respond(
    req: HttpRequest,
    mut guard: RecordGuard,
    plan: &CallPlan,
    head: &ResponseHead,
) -> HttpResponse {
    let mut line = serde_json::to_vec(head).unwrap_or_default();
    line.push(b'\n');
    let mut response = HttpResponse::Ok();
    response
        .content_type("application/octet-stream")
        .insert_header(("x-request-id", head.request_id.clone()));
    let filler = Filler::new(&head.call, head.filler_bytes);
    if !plan.stream && !plan.abort_in_middle {
        line.extend_from_slice(&filler.into_bytes());
        guard.end(RequestOutcome::Answered(200));
        return response.body(line);
    }
    let chunk_pause = plan.chunk_pause;
    // A truncated response stops after the first chunk, and always before its last byte.
    let abort_in_middle = plan.abort_in_middle;
    let chunk =
        if abort_in_middle { (head.filler_bytes / 2).clamp(1, CHUNK_BYTES) } else { CHUNK_BYTES };
    let head_line = Some(Bytes::from(line));
    response.streaming(stream::unfold(
        (req, guard, filler, head_line, 0_u32),
        move |(req, mut guard, mut filler, mut head_line, chunks_sent)| async move {
            if let Some(line) = head_line.take() {
                return Some((Ok::<_, io::Error>(line), (req, guard, filler, head_line, 0)));
            }
            if abort_in_middle && chunks_sent > 0 {
                guard.end(RequestOutcome::Cut);
                abort_connection(&req);
                let error = io::Error::other("injected abort of the response");
                return Some((Err(error), (req, guard, filler, head_line, chunks_sent)));
            }
            if chunks_sent > 0 && !chunk_pause.is_zero() {
                tokio::time::sleep(chunk_pause).await;
            }
            match filler.next_chunk(chunk) {
                Some(bytes) => Some((Ok(bytes), (req, guard, filler, head_line, chunks_sent + 1))),
                None => {
                    guard.end(RequestOutcome::Answered(200));
                    None
                }
            }
        },
    ))
}

async fn health(shared: web::Data<Shared>) -> HttpResponse {
    let state = shared.lock();
    let snapshot = state.reported_snapshot();
    let failing = state.is_cold(snapshot.taken_at) && state.options.cold_start.failing;
    let healthy = match state.faults.health {
        HealthHint::AlwaysGood => true,
        HealthHint::AlwaysBad => false,
        HealthHint::Truth => !snapshot.draining && !snapshot.hanging && !failing,
    };
    if healthy { HttpResponse::Ok().finish() } else { HttpResponse::ServiceUnavailable().finish() }
}

async fn load(shared: web::Data<Shared>) -> HttpResponse {
    let state = shared.lock();
    let in_flight =
        state.faults.load_in_flight.unwrap_or_else(|| state.reported_snapshot().in_flight);
    HttpResponse::Ok().json(json!({"in_flight": in_flight, "slots": state.options.slots}))
}

async fn get_faults(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(&shared.lock().faults)
}

async fn set_faults(shared: web::Data<Shared>, body: Bytes) -> HttpResponse {
    match serde_json::from_slice::<TargetFaults>(&body) {
        Ok(faults) => {
            shared.set_faults(faults);
            HttpResponse::Ok().json(&shared.lock().faults)
        }
        Err(e) => HttpResponse::BadRequest().json(json!({"error": e.to_string()})),
    }
}

async fn get_records(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(&shared.lock().records)
}

async fn get_counters(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.lock().counters)
}
