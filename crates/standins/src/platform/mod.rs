//! Stand-in for the platform: a transactional table and an object store behind the HTTP protocol of
//! `docs/design.md`, section 3.2, with fault injection.
//!
//! Besides the protocol it serves `GET` and `POST /standin/faults` (a complete [`PlatformFaults`]
//! document replaces the faults in effect) and `GET /standin/counters`.

pub mod faults;
pub mod table;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::body::BodySize;
use actix_web::body::MessageBody;
use actix_web::web;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::server::HttpThread;
use crate::server::abort_connection;
use crate::server::bind_with_retry;
use crate::server::lock;
use crate::server::on_close;

use self::faults::LostBy;
use self::faults::Outage;
use self::faults::PlatformFaults;
use self::faults::RateLimiter;
use self::table::PutOutcome;
use self::table::Row;
use self::table::Store;
use self::table::Transaction;

/// Largest request body that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Largest number of rows in the response to a scan; also applies to a request without a limit.
const MAX_SCAN_ROWS: usize = 1000;

/// Largest number of open connections, far above what a fleet opens.
const MAX_CONNECTIONS: usize = 20_000;

/// Counters of the stand-in since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Admitted reads.
    pub reads: u64,
    /// Admitted writes, with or without conflict.
    pub writes: u64,
    /// Transactions that failed with a conflict.
    pub conflicts: u64,
    /// Requests refused because of an outage or a ceiling.
    pub refused: u64,
    /// Responses lost after the write took effect.
    pub lost: u64,
    /// Bytes of the request bodies of writes, refused ones included.
    pub bytes_in: u64,
    /// Bytes of response bodies of known length, lost ones included.
    pub bytes_out: u64,
}

struct PlatformState {
    store: Store,
    faults: PlatformFaults,
    counters: Counters,
    read_limiter: RateLimiter,
    write_limiter: RateLimiter,
    rng: SmallRng,
    command_tx: mpsc::Sender<Command>,
}

#[derive(Clone)]
struct Shared(Arc<Mutex<PlatformState>>);

/// Message to the thread that closes and reopens the port.
enum Command {
    FaultsChanged,
    Stop,
}

/// A running platform stand-in, which stops when it is dropped.
pub struct PlatformStandin {
    addr: SocketAddr,
    shared: Shared,
    command_tx: mpsc::Sender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl PlatformStandin {
    /// Starts a stand-in that listens on `addr`; with port 0 the system chooses a free port.
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let (command_tx, commands) = mpsc::channel();
        let shared = Shared(Arc::new(Mutex::new(PlatformState {
            store: Store::default(),
            faults: PlatformFaults::default(),
            counters: Counters::default(),
            read_limiter: RateLimiter::default(),
            write_limiter: RateLimiter::default(),
            rng: SmallRng::seed_from_u64(PlatformFaults::default().seed),
            command_tx: command_tx.clone(),
        })));
        let server = shared.serve(std::net::TcpListener::bind(addr)?)?;
        let addr = server.addr();
        let thread_shared = shared.clone();
        let thread = std::thread::Builder::new()
            .name("platform-standin".to_string())
            .spawn(move || supervise(&thread_shared, server, &commands))?;
        Ok(Self { addr, shared, command_tx, thread: Some(thread) })
    }

    /// Address that the stand-in listens on; it stays the same across outages.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the faults in effect.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.set_faults(faults);
        let _ = self.command_tx.send(Command::FaultsChanged);
    }

    /// Returns the faults in effect. An outage is `None` once its duration has passed.
    pub fn faults(&self) -> PlatformFaults {
        self.shared.lock().faults.clone()
    }

    /// Counters since the start of the stand-in.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Reads a row directly, bypassing faults and counters.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.shared.lock().store.row(key)
    }

    /// Reads all rows with this key prefix directly, bypassing faults and counters.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.shared.lock().store.scan(prefix, "", usize::MAX)
    }

    /// Names of the objects with this prefix, bypassing faults and counters.
    pub fn object_names(&self, prefix: &str) -> Vec<String> {
        self.shared.lock().store.object_names(prefix)
    }

    /// Runs `f` on the store directly, bypassing faults and counters.
    pub fn with_store<T>(&self, f: impl FnOnce(&mut Store) -> T) -> T {
        f(&mut self.shared.lock().store)
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        let _ = self.command_tx.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Closes and reopens the port as the faults require, and ends outages that have a duration.
fn supervise(shared: &Shared, server: HttpThread, commands: &mpsc::Receiver<Command>) {
    let addr = server.addr();
    let mut server = Some(server);
    let mut outage_end: Option<Instant> = None;
    loop {
        let command = match outage_end {
            None => commands.recv().map_err(|_| RecvTimeoutError::Disconnected),
            Some(at) => commands.recv_timeout(at.saturating_duration_since(Instant::now())),
        };
        let outage = match command {
            Ok(Command::FaultsChanged) => {
                let faults = shared.lock().faults.clone();
                let duration = faults.outage_ms.map(Duration::from_millis);
                outage_end = duration.map(|duration| Instant::now() + duration);
                faults.outage
            }
            Err(RecvTimeoutError::Timeout) => {
                outage_end = None;
                shared.lock().faults.outage = Outage::None;
                Outage::None
            }
            Ok(Command::Stop) | Err(RecvTimeoutError::Disconnected) => return,
        };
        if outage == Outage::Refused {
            server = None;
        } else if server.is_none() {
            server = bind_with_retry(addr).and_then(|listener| shared.serve(listener)).ok();
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    Read,
    Write,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        lock(&self.0)
    }

    fn serve(&self, listener: std::net::TcpListener) -> io::Result<HttpThread> {
        let shared = self.clone();
        HttpThread::start(listener, MAX_CONNECTIONS, move |cfg| {
            cfg.app_data(web::Data::new(shared.clone()))
                .route("/table/transact", web::post().to(transact))
                .route("/table/row", web::get().to(get_row))
                .route("/table/scan", web::get().to(scan))
                .route("/objects/{name:.*}", web::put().to(put_object))
                .route("/objects/{name:.*}", web::get().to(get_object))
                .route("/objects/{name:.*}", web::delete().to(delete_object))
                .route("/standin/faults", web::get().to(get_faults))
                .route("/standin/faults", web::post().to(set_faults))
                .route("/standin/counters", web::get().to(get_counters));
        })
    }

    fn set_faults(&self, faults: PlatformFaults) {
        let mut state = self.lock();
        state.rng = SmallRng::seed_from_u64(faults.seed);
        state.faults = faults;
    }

    /// Applies outage and ceilings. Returns half of the request's latency, or the response that
    /// refuses the request. Never completes during an outage without responses.
    async fn admit(&self, kind: RequestKind, bytes_in: usize) -> Result<Duration, HttpResponse> {
        let is_hanging = {
            let mut state = self.lock();
            state.counters.bytes_in += bytes_in as u64;
            match state.faults.outage {
                Outage::Unavailable => {
                    state.counters.refused += 1;
                    return Err(HttpResponse::ServiceUnavailable()
                        .json(json!({"error": "the platform has an outage"})));
                }
                // Under `Refused` a request still arrives here until the port has been closed.
                Outage::Refused | Outage::Hanging => {
                    state.counters.refused += 1;
                    true
                }
                Outage::None => false,
            }
        };
        if is_hanging {
            return std::future::pending().await;
        }
        let mut state = self.lock();
        let state = &mut *state;
        let now = Instant::now();
        let is_admitted = match kind {
            RequestKind::Read => state.read_limiter.admit(now, state.faults.read_ceiling),
            RequestKind::Write => state.write_limiter.admit(now, state.faults.write_ceiling),
        };
        if !is_admitted {
            state.counters.refused += 1;
            return Err(
                HttpResponse::TooManyRequests().json(json!({"error": "over the rate ceiling"}))
            );
        }
        match kind {
            RequestKind::Read => state.counters.reads += 1,
            RequestKind::Write => state.counters.writes += 1,
        }
        let (low, high) = state.faults.latency_ms;
        let micros = state.rng.random_range(low * 1000..=high.max(low) * 1000);
        Ok(Duration::from_micros(micros / 2))
    }

    /// Applies the faults to a read and runs it.
    async fn read(&self, f: impl FnOnce(&Store) -> HttpResponse) -> HttpResponse {
        let half_latency = match self.admit(RequestKind::Read, 0).await {
            Ok(half_latency) => half_latency,
            Err(refusal) => return refusal,
        };
        sleep_unless_zero(half_latency).await;
        let response = {
            let mut state = self.lock();
            let response = f(&state.store);
            state.counters.bytes_out += body_bytes(&response);
            response
        };
        sleep_unless_zero(half_latency).await;
        response
    }

    /// Applies the faults to a write and runs it; its response may be lost.
    async fn write(
        &self,
        req: &HttpRequest,
        bytes_in: usize,
        f: impl FnOnce(&mut PlatformState) -> HttpResponse,
    ) -> HttpResponse {
        let half_latency = match self.admit(RequestKind::Write, bytes_in).await {
            Ok(half_latency) => half_latency,
            Err(refusal) => return refusal,
        };
        sleep_unless_zero(half_latency).await;
        let (response, lost) = {
            let mut state = self.lock();
            let response = f(&mut state);
            state.counters.bytes_out += body_bytes(&response);
            (response, state.choose_loss())
        };
        sleep_unless_zero(half_latency).await;
        match lost {
            None => response,
            Some(LostBy::Close) => {
                abort_connection(req);
                response
            }
            Some(LostBy::Silence) => std::future::pending().await,
        }
    }
}

impl PlatformState {
    /// Decides whether the response to a write is lost, and how. Counts a lost response.
    fn choose_loss(&mut self) -> Option<LostBy> {
        let share = self.faults.lose_share.clamp(0.0, 1.0);
        let lost = if self.faults.lose_next > 0 {
            self.faults.lose_next -= 1;
            true
        } else {
            share > 0.0 && self.rng.random_bool(share)
        };
        self.counters.lost += u64::from(lost);
        lost.then_some(self.faults.lose_by)
    }
}

fn body_bytes(response: &HttpResponse) -> u64 {
    match response.body().size() {
        BodySize::Sized(bytes) => bytes,
        BodySize::None | BodySize::Stream => 0,
    }
}

async fn sleep_unless_zero(duration: Duration) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
}

async fn read_body(mut payload: web::Payload) -> Result<Bytes, HttpResponse> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk =
            chunk.map_err(|e| HttpResponse::BadRequest().json(json!({"error": e.to_string()})))?;
        if buf.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(HttpResponse::PayloadTooLarge().finish());
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}

async fn transact(
    req: HttpRequest,
    shared: web::Data<Shared>,
    payload: web::Payload,
) -> HttpResponse {
    let body = match read_body(payload).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let transaction: Transaction = match serde_json::from_slice(&body) {
        Ok(transaction) => transaction,
        Err(e) => return HttpResponse::BadRequest().json(json!({"error": e.to_string()})),
    };
    shared
        .write(&req, body.len(), |state| match state.store.transact(transaction) {
            Ok(revisions) => {
                HttpResponse::Ok().json(json!({"committed": true, "revisions": revisions}))
            }
            Err(conflicts) => {
                state.counters.conflicts += 1;
                HttpResponse::Conflict().json(json!({"committed": false, "conflicts": conflicts}))
            }
        })
        .await
}

#[derive(Deserialize)]
struct RowQuery {
    key: String,
}

async fn get_row(shared: web::Data<Shared>, query: web::Query<RowQuery>) -> HttpResponse {
    shared
        .read(|store| match store.row(&query.key) {
            Some(row) => HttpResponse::Ok().json(row),
            None => HttpResponse::NotFound().json(json!({"error": "no such row"})),
        })
        .await
}

#[derive(Deserialize)]
struct ScanQuery {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: String,
    limit: Option<usize>,
}

async fn scan(shared: web::Data<Shared>, query: web::Query<ScanQuery>) -> HttpResponse {
    let limit = query.limit.unwrap_or(MAX_SCAN_ROWS).min(MAX_SCAN_ROWS);
    shared
        .read(|store| {
            let rows = store.scan(&query.prefix, &query.after, limit);
            HttpResponse::Ok().json(json!({"rows": rows}))
        })
        .await
}

async fn put_object(
    req: HttpRequest,
    shared: web::Data<Shared>,
    name: web::Path<String>,
    payload: web::Payload,
) -> HttpResponse {
    let body = match read_body(payload).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    shared
        .write(&req, body.len(), |state| match state.store.put_object(&name, body) {
            PutOutcome::Created => HttpResponse::Created().finish(),
            PutOutcome::Same => HttpResponse::Ok().finish(),
            PutOutcome::Different => {
                HttpResponse::Conflict().json(json!({"error": "the object has other content"}))
            }
        })
        .await
}

async fn get_object(shared: web::Data<Shared>, name: web::Path<String>) -> HttpResponse {
    shared
        .read(|store| match store.object(&name) {
            Some(bytes) => HttpResponse::Ok().content_type("application/octet-stream").body(bytes),
            None => HttpResponse::NotFound().json(json!({"error": "no such object"})),
        })
        .await
}

async fn delete_object(
    req: HttpRequest,
    shared: web::Data<Shared>,
    name: web::Path<String>,
) -> HttpResponse {
    shared
        .write(&req, 0, |state| {
            state.store.delete_object(&name);
            HttpResponse::NoContent().finish()
        })
        .await
}

async fn get_faults(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(&shared.lock().faults)
}

async fn set_faults(req: HttpRequest, shared: web::Data<Shared>, body: Bytes) -> HttpResponse {
    match serde_json::from_slice::<PlatformFaults>(&body) {
        Ok(faults) => {
            shared.set_faults(faults);
            // The port may close only after this response has been sent.
            let command_tx = shared.lock().command_tx.clone();
            on_close(&req, move || {
                let _ = command_tx.send(Command::FaultsChanged);
            });
            HttpResponse::Ok().force_close().json(&shared.lock().faults)
        }
        Err(e) => HttpResponse::BadRequest().json(json!({"error": e.to_string()})),
    }
}

async fn get_counters(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.lock().counters)
}
