//! Stand-in for a target: runs calls on a number of slots, announces itself to the node beside it,
//! and records every request that it ran.
//!
//! Paths that it serves itself: `/health`, `/load`, `GET` and `POST /standin/faults`,
//! `GET /standin/records` and `GET /standin/counters`. Every other path is a call.

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

use crate::body::AnswerHead;
use crate::body::CALL_HEADER;
use crate::body::CHAIN_HEADER;
use crate::body::CHUNK_BYTES;
use crate::body::Checksum;
use crate::body::Filler;
use crate::server::HttpThread;
use crate::server::abort_connection;
use crate::server::lock;

use self::announcer::Announcer;
use self::faults::ColdStart;
use self::faults::HealthHint;
use self::faults::TargetFaults;
use self::record::End;
use self::record::RanRequest;
use self::record::TargetCounters;

/// Past states kept for lagging hints.
const HISTORY: usize = 10_000;

/// Deadline of a chained call that carries none.
const CHAIN_DEADLINE_MS: u64 = 10_000;

/// Settings of a target stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetOptions {
    /// Service.
    pub service: String,
    /// Version.
    pub version: String,
    /// Run of the target; a restarted target needs another.
    pub instance: String,
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// `targets` address of the node beside it; without one it does not announce itself.
    pub node: Option<SocketAddr>,
    /// Address that is announced in place of the listening one, for a relay between the two.
    pub announced_address: Option<SocketAddr>,
    /// Calls at a time; further ones are shed with 503.
    pub slots: u32,
    /// Connections at a time.
    pub connections: u32,
    /// Shortest and longest service time in ms.
    pub service_ms: (u64, u64),
    /// First time after the start.
    pub cold_start: ColdStart,
    /// Bytes of filler in an answer.
    pub response_bytes: usize,
    /// Whether answers are streamed in chunks without a length.
    pub stream: bool,
    /// Pause between the chunks of a streamed answer, in ms.
    pub chunk_pause_ms: u64,
    /// `caller` address of the node through which further services are called.
    pub chain_node: Option<SocketAddr>,
    /// Path of the further service's call.
    pub chain_path: String,
    /// Faults at the start.
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

/// What `/load` reported or would have reported at a time.
#[derive(Clone, Copy)]
struct Past {
    at: Instant,
    in_flight: u32,
    leaving: bool,
    hanging: bool,
}

struct State {
    options: TargetOptions,
    faults: TargetFaults,
    faults_set: Instant,
    started: Instant,
    rng: SmallRng,
    in_flight: u32,
    left_unix_ms: Option<u64>,
    records: Vec<RanRequest>,
    counters: TargetCounters,
    history: VecDeque<Past>,
}

/// State that the server, the announcer and the handle share.
#[derive(Clone)]
struct Shared(Arc<Mutex<State>>);

/// A running target stand-in. Dropping it kills it.
pub struct TargetStandin {
    shared: Shared,
    server: HttpThread,
    announcer: Announcer,
}

impl TargetStandin {
    /// Starts a target. With a node given, it announces itself from then on.
    pub fn start(options: TargetOptions) -> io::Result<Self> {
        let listener = TcpListener::bind(options.listen)?;
        let now = Instant::now();
        let connections = options.connections as usize;
        let node = options.node;
        let shared = Shared(Arc::new(Mutex::new(State {
            faults: options.faults.clone(),
            faults_set: now,
            started: now,
            rng: SmallRng::seed_from_u64(options.faults.seed),
            in_flight: 0,
            left_unix_ms: None,
            records: Vec::new(),
            counters: TargetCounters::default(),
            history: VecDeque::new(),
            options,
        })));
        let served = shared.clone();
        let server = HttpThread::start(listener, connections, move |cfg| {
            cfg.app_data(web::Data::new(served.clone()))
                .app_data(web::Data::new(chain_client()))
                .route("/health", web::get().to(health))
                .route("/load", web::get().to(load))
                .route("/standin/faults", web::get().to(faults))
                .route("/standin/faults", web::post().to(set_faults))
                .route("/standin/records", web::get().to(records))
                .route("/standin/counters", web::get().to(counters))
                .default_service(web::to(call));
        })?;
        let announcer = Announcer::start(shared.clone(), server.addr())?;
        if let Some(node) = node {
            announcer.announce_to(node);
        }
        Ok(Self { shared, server, announcer })
    }

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Its settings.
    pub fn options(&self) -> TargetOptions {
        self.shared.lock().options.clone()
    }

    /// Announces itself to the node with this `targets` address from now on.
    pub fn announce_to(&self, node: SocketAddr) {
        self.announcer.announce_to(node);
    }

    /// Stops announcing without a word to the node, so that the lease expires.
    pub fn stop_announcing(&self) {
        self.announcer.pause();
    }

    /// Sets the node through which further services are called.
    pub fn chain_through(&self, node: SocketAddr) {
        self.shared.lock().options.chain_node = Some(node);
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.shared.set_faults(faults);
    }

    /// Sets shortest and longest service time in ms.
    pub fn set_service_ms(&self, service_ms: (u64, u64)) {
        self.shared.lock().options.service_ms = service_ms;
    }

    /// Every request that it ran, in order of start.
    pub fn records(&self) -> Vec<RanRequest> {
        self.shared.lock().records.clone()
    }

    /// What it counted.
    pub fn counters(&self) -> TargetCounters {
        self.shared.lock().counters
    }

    /// Calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.shared.lock().in_flight
    }

    /// When its node accepted that it leaves, Unix time in ms.
    pub fn left_unix_ms(&self) -> Option<u64> {
        self.shared.lock().left_unix_ms
    }

    /// Drops all open connections; new ones are accepted.
    pub fn cut_connections(&self) {
        self.server.abort_all();
    }

    /// Tells the node that it leaves and waits until the node says that its calls have ended.
    /// Returns whether that happened within `bound`. The target keeps serving.
    pub fn leave(&self, bound: Duration) -> bool {
        self.announcer.leave(bound)
    }

    /// Leaves, lets calls in flight end and stops. Returns whether the node confirmed the leave
    /// within `bound`, and the records.
    pub fn stop(mut self, bound: Duration) -> (bool, Vec<RanRequest>) {
        let left = self.leave(bound);
        self.server.stop(true);
        (left, self.records())
    }

    /// Stops at once without a word: the port is closed and connections are dropped. Returns the
    /// records.
    pub fn kill(mut self) -> Vec<RanRequest> {
        self.announcer.pause();
        self.server.stop(false);
        self.records()
    }
}

/// Unix time in ms.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

fn chain_client() -> awc::Client {
    awc::Client::builder().disable_redirects().disable_timeout().finish()
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.0)
    }

    fn set_faults(&self, faults: TargetFaults) {
        let mut state = self.lock();
        state.rng = SmallRng::seed_from_u64(faults.seed);
        state.faults_set = Instant::now();
        state.faults = faults;
        state.remember();
    }
}

impl State {
    fn remember(&mut self) {
        if self.history.len() >= HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(Past {
            at: Instant::now(),
            in_flight: self.in_flight,
            leaving: self.left_unix_ms.is_some(),
            hanging: self.faults.hang,
        });
    }

    /// What was true `hint_lag_ms` ago.
    fn hinted(&self) -> Past {
        let lag = Duration::from_millis(self.faults.hint_lag_ms);
        let at = Instant::now().checked_sub(lag).unwrap_or(self.started);
        let idle = Past { at, in_flight: 0, leaving: false, hanging: false };
        let past = self.history.iter().rev().find(|past| past.at <= at).copied().unwrap_or(idle);
        Past { at, ..past }
    }

    fn is_cold(&self, at: Instant) -> bool {
        at.saturating_duration_since(self.started)
            < Duration::from_millis(self.options.cold_start.for_ms)
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.min(1.0))
    }
}

/// Ends the record of a request. A request whose guard is dropped unanswered was cancelled.
struct RunGuard {
    shared: Shared,
    number: usize,
    ended: bool,
}

impl RunGuard {
    fn end(&mut self, end: End) {
        if self.ended {
            return;
        }
        self.ended = true;
        let mut state = self.shared.lock();
        state.in_flight -= 1;
        state.remember();
        let record = &mut state.records[self.number];
        record.end = end;
        record.ended_unix_ms = unix_ms();
    }

    fn body(&self, bytes: u64, checksum: u64, whole: bool) {
        let record = &mut self.shared.lock().records[self.number];
        record.body_bytes = bytes;
        record.body_checksum = checksum;
        record.body_whole = whole;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.end(End::Cancelled);
    }
}

/// What the faults and settings in force mean for one call.
struct Plan {
    service: Duration,
    fails: Option<u16>,
    hang: bool,
    cut: bool,
    cut_middle: bool,
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
    let arrived = Instant::now();
    let deadline_ms =
        header(req.headers(), "x-ibis-deadline-ms").and_then(|value| value.parse::<u64>().ok());
    let (mut guard, plan) = match admit(&req, &shared, deadline_ms) {
        Ok(admitted) => admitted,
        Err(refusal) => return *refusal,
    };
    let run = run(&req, &shared, &client, payload, &guard, &plan, arrived, deadline_ms);
    let response = match deadline_ms {
        None => run.await,
        Some(ms) => {
            let deadline = tokio::time::Instant::from_std(arrived + Duration::from_millis(ms));
            match tokio::time::timeout_at(deadline, run).await {
                Ok(response) => response,
                Err(_) => {
                    guard.end(End::DeadlinePassed);
                    return HttpResponse::GatewayTimeout()
                        .json(json!({"error": "the deadline passed"}));
                }
            }
        }
    };
    let head = match response {
        Ok(head) => head,
        Err(response) => {
            guard.end(End::Answered(response.status().as_u16()));
            return response;
        }
    };
    if plan.cut {
        guard.end(End::Cut);
        abort_connection(&req);
        return HttpResponse::InternalServerError().finish();
    }
    answer(req, guard, &plan, &head)
}

/// Takes a slot and starts the record, or refuses.
fn admit(
    req: &HttpRequest,
    shared: &Shared,
    deadline_ms: Option<u64>,
) -> Result<(RunGuard, Plan), Box<HttpResponse>> {
    let mut guarded = shared.lock();
    let state = &mut *guarded;
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
    state.remember();
    let number = state.records.len();
    let request_id = header(req.headers(), "x-request-id").unwrap_or_default();
    state.records.push(RanRequest {
        number: number as u64,
        call: header(req.headers(), CALL_HEADER).unwrap_or_else(|| request_id.clone()),
        request_id,
        key: header(req.headers(), "idempotency-key"),
        method: req.method().to_string(),
        path: path_of(req),
        body_bytes: 0,
        body_checksum: Checksum::default().value(),
        body_whole: false,
        deadline_ms,
        started_unix_ms: unix_ms(),
        ended_unix_ms: 0,
        end: End::Running,
        after_leave: state.left_unix_ms.is_some(),
    });
    let plan = plan(state, req.path());
    drop(guarded);
    Ok((RunGuard { shared: shared.clone(), number, ended: false }, plan))
}

fn plan(state: &mut State, path: &str) -> Plan {
    let (low, high) = state.options.service_ms;
    let micros = state.rng.random_range(low * 1000..=high.max(low) * 1000);
    let mut service = Duration::from_micros(micros);
    let mut fails = None;
    if state.is_cold(Instant::now()) {
        service += Duration::from_millis(state.options.cold_start.slow_ms);
        fails = state.options.cold_start.failing.then_some(500);
    }
    let since = state.faults_set.elapsed();
    if state.faults.trigger.holds(since, state.in_flight, path) {
        service += Duration::from_millis(state.faults.slow_ms);
        if state.chance(state.faults.failing_share) {
            fails = Some(state.faults.fail_status);
        }
    }
    Plan {
        service,
        fails,
        hang: state.faults.hang,
        cut: state.chance(state.faults.cut_share),
        cut_middle: state.chance(state.faults.cut_middle_share),
        response_bytes: state.options.response_bytes,
        stream: state.options.stream,
        chunk_pause: Duration::from_millis(state.options.chunk_pause_ms),
    }
}

fn path_of(req: &HttpRequest) -> String {
    req.uri().path_and_query().map_or_else(|| req.path().to_string(), ToString::to_string)
}

/// Receives the body, calls the further service and spends the service time.
#[allow(clippy::too_many_arguments)]
async fn run(
    req: &HttpRequest,
    shared: &Shared,
    client: &awc::Client,
    mut payload: web::Payload,
    guard: &RunGuard,
    plan: &Plan,
    arrived: Instant,
    deadline_ms: Option<u64>,
) -> Result<AnswerHead, HttpResponse> {
    let mut checksum = Checksum::default();
    let mut bytes = 0;
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else {
            guard.body(bytes, checksum.value(), false);
            return Err(HttpResponse::BadRequest().json(json!({"error": "the body broke off"})));
        };
        checksum.update(&chunk);
        bytes += chunk.len() as u64;
    }
    guard.body(bytes, checksum.value(), true);
    if plan.hang {
        return std::future::pending().await;
    }
    if !plan.service.is_zero() {
        tokio::time::sleep(plan.service).await;
    }
    if let Some(status) = plan.fails {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        return Err(HttpResponse::build(status).json(json!({"error": "injected failure"})));
    }
    chain(req, shared, client, arrived, deadline_ms).await?;
    let (options, record) = {
        let state = shared.lock();
        (state.options.clone(), state.records[guard.number].clone())
    };
    let filler = Filler::new(&record.call, plan.response_bytes).whole();
    Ok(AnswerHead {
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

/// Calls the further service when the request asks for it. A failure of that call fails this one.
async fn chain(
    req: &HttpRequest,
    shared: &Shared,
    client: &awc::Client,
    arrived: Instant,
    deadline_ms: Option<u64>,
) -> Result<(), HttpResponse> {
    let hops = header(req.headers(), CHAIN_HEADER).and_then(|value| value.parse::<u32>().ok());
    let Some(hops) = hops.filter(|hops| *hops > 0) else { return Ok(()) };
    let (node, path) = {
        let state = shared.lock();
        (state.options.chain_node, state.options.chain_path.clone())
    };
    let Some(node) = node else { return Ok(()) };
    let left = deadline_ms
        .unwrap_or(CHAIN_DEADLINE_MS)
        .saturating_sub(arrived.elapsed().as_millis() as u64);
    let mut further = client
        .get(format!("http://{node}{path}"))
        .timeout(Duration::from_millis(left + 100))
        .insert_header(("x-ibis-deadline-ms", left.to_string()))
        .insert_header((CHAIN_HEADER, (hops - 1).to_string()));
    for name in ["x-request-id", "x-ibis-depth", CALL_HEADER] {
        if let Some(value) = req.headers().get(name) {
            further = further.insert_header((name, value.clone()));
        }
    }
    let failed = |retried: Option<String>, error: String| {
        let mut response = HttpResponse::BadGateway();
        if let Some(retried) = retried {
            response.insert_header(("x-ibis-retried", retried));
        }
        response.json(json!({"error": error}))
    };
    let mut response = match further.send().await {
        Ok(response) => response,
        Err(e) => return Err(failed(None, e.to_string())),
    };
    let retried = header(response.headers(), "x-ibis-retried");
    if !response.status().is_success() {
        return Err(failed(retried, format!("the further service said {}", response.status())));
    }
    match response.body().limit(64 << 20).await {
        Ok(_) => Ok(()),
        Err(e) => Err(failed(retried, e.to_string())),
    }
}

/// Sends the head line and the filler.
fn answer(req: HttpRequest, mut guard: RunGuard, plan: &Plan, head: &AnswerHead) -> HttpResponse {
    let mut line = serde_json::to_vec(head).unwrap_or_default();
    line.push(b'\n');
    let mut response = HttpResponse::Ok();
    response
        .content_type("application/octet-stream")
        .insert_header(("x-request-id", head.request_id.clone()));
    let filler = Filler::new(&head.call, head.filler_bytes);
    if !plan.stream && !plan.cut_middle {
        line.extend_from_slice(&filler.whole());
        guard.end(End::Answered(200));
        return response.body(line);
    }
    let pause = plan.chunk_pause;
    // An answer that is to break off stops after its first chunk, and always before its last byte.
    let cut_middle = plan.cut_middle;
    let chunk =
        if cut_middle { (head.filler_bytes / 2).clamp(1, CHUNK_BYTES) } else { CHUNK_BYTES };
    let first = Some(Bytes::from(line));
    response.streaming(stream::unfold(
        (req, guard, filler, first, 0_u32),
        move |(req, mut guard, mut filler, mut first, sent)| async move {
            if let Some(line) = first.take() {
                return Some((Ok::<_, io::Error>(line), (req, guard, filler, first, 0)));
            }
            if cut_middle && sent > 0 {
                guard.end(End::Cut);
                abort_connection(&req);
                let broken = io::Error::other("injected break of the answer");
                return Some((Err(broken), (req, guard, filler, first, sent)));
            }
            if sent > 0 && !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            match filler.next_chunk(chunk) {
                Some(bytes) => Some((Ok(bytes), (req, guard, filler, first, sent + 1))),
                None => {
                    guard.end(End::Answered(200));
                    None
                }
            }
        },
    ))
}

async fn health(shared: web::Data<Shared>) -> HttpResponse {
    let state = shared.lock();
    let past = state.hinted();
    let failing = state.is_cold(past.at) && state.options.cold_start.failing;
    let good = match state.faults.health {
        HealthHint::AlwaysGood => true,
        HealthHint::AlwaysBad => false,
        HealthHint::Truth => !past.leaving && !past.hanging && !failing,
    };
    if good { HttpResponse::Ok().finish() } else { HttpResponse::ServiceUnavailable().finish() }
}

async fn load(shared: web::Data<Shared>) -> HttpResponse {
    let state = shared.lock();
    let in_flight = state.faults.load_in_flight.unwrap_or_else(|| state.hinted().in_flight);
    HttpResponse::Ok().json(json!({"in_flight": in_flight, "slots": state.options.slots}))
}

async fn faults(shared: web::Data<Shared>) -> HttpResponse {
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

async fn records(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(&shared.lock().records)
}

async fn counters(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.lock().counters)
}
