//! Stand-in for the row store of the mesh: conditional transactions, reads, and a feed of changes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::server::HttpThread;
use crate::server::abort_connection;
use crate::server::lock;

/// Interval at which a waiting feed request checks for changes.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Largest number of open connections.
const MAX_CONNECTIONS: usize = 2_000;

/// Faults that the store injects into requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Every request gets status 503.
    pub down: bool,
    /// Writes take effect, and their connections are closed without a response.
    pub lose_answers: bool,
}

/// Table and key of a row.
type Key = (String, String);

#[derive(Default)]
struct StoreState {
    /// Base64 value and version of each row.
    rows: BTreeMap<Key, (String, u64)>,
    /// Version and key of each change that the feed can still serve, in order.
    changes: Vec<(u64, Key)>,
    /// Version of the last change, over all tables.
    version: u64,
    /// Changes up to this version have been discarded from the feed's history.
    discarded_up_to_version: u64,
    faults: StoreFaults,
    writes: u64,
    reads: u64,
}

impl StoreState {
    fn put(&mut self, key: Key, value: String) {
        self.version += 1;
        self.rows.insert(key.clone(), (value, self.version));
        self.changes.push((self.version, key));
    }

    fn row(&self, key: &Key) -> Option<Value> {
        let (value, version) = self.rows.get(key)?;
        Some(json!({"table": key.0, "part": "", "key": key.1, "value": value,
            "resource_version": version}))
    }
}

#[derive(Deserialize)]
struct TransactionRow {
    table: String,
    key: String,
    /// Base64 text that a put writes; unused in a condition.
    #[serde(default)]
    value: String,
    /// Version that a condition requires, 0 for an absent row; unused in a put.
    #[serde(default)]
    resource_version: u64,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    expect: Vec<TransactionRow>,
    #[serde(default)]
    puts: Vec<TransactionRow>,
}

#[derive(Deserialize)]
struct TableQuery {
    table: String,
    #[serde(default)]
    from: String,
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

/// A running store, which stops when it is dropped.
pub struct StoreStandin {
    state: Arc<Mutex<StoreState>>,
    http: HttpThread,
}

impl StoreStandin {
    /// Starts a store on a free port of the loopback address.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let state: Arc<Mutex<StoreState>> = Arc::default();
        let data = web::Data::from(state.clone());
        let http = HttpThread::start(listener, MAX_CONNECTIONS, move |cfg| {
            cfg.app_data(data.clone())
                .route("/-/rows-tx", web::post().to(transact))
                .route("/-/rows-get", web::get().to(read))
                .route("/-/rows-feed", web::get().to(feed));
        })?;
        Ok(Self { state, http })
    }

    /// Address that the store listens on.
    pub fn addr(&self) -> SocketAddr {
        self.http.addr()
    }

    /// Replaces the faults in effect.
    pub fn set_faults(&self, faults: StoreFaults) {
        lock(&self.state).faults = faults;
    }

    /// Writes a row with a text value, as the operator does: unconditionally and to any table.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        lock(&self.state)
            .put((table.to_string(), key.to_string()), encode_base64(value.as_bytes()));
    }

    /// The value of a row as text; `None` when it is absent or not UTF-8.
    pub fn text(&self, table: &str, key: &str) -> Option<String> {
        let state = lock(&self.state);
        let (value, _) = state.rows.get(&(table.to_string(), key.to_string()))?;
        String::from_utf8(decode_base64(value)?).ok()
    }

    /// Discards the history of changes. Feeds that start at an earlier version get status 410, and
    /// the client has to read the whole table again.
    pub fn discard_history(&self) {
        let mut state = lock(&self.state);
        state.discarded_up_to_version = state.version;
        state.changes.clear();
    }

    /// Number of write requests and of read requests so far; feed requests count as reads.
    pub fn calls(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.writes, state.reads)
    }
}

async fn transact(
    req: HttpRequest,
    state: web::Data<Mutex<StoreState>>,
    body: web::Bytes,
) -> HttpResponse {
    let Ok(transaction) = serde_json::from_slice::<Transaction>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let mut state = lock(&state);
    state.writes += 1;
    if state.faults.down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    if transaction.puts.iter().any(|p| p.table == "op" || p.table == "servers") {
        return HttpResponse::Forbidden().finish();
    }
    let key = |row: &TransactionRow| (row.table.clone(), row.key.clone());
    let conditions_hold = transaction.expect.iter().all(|row| {
        state.rows.get(&key(row)).map_or(0, |(_, version)| *version) == row.resource_version
    });
    if !conditions_hold {
        let rows: Vec<Value> =
            transaction.expect.iter().filter_map(|row| state.row(&key(row))).collect();
        let version = state.version;
        return HttpResponse::PreconditionFailed()
            .json(json!({"rows": rows, "resource_version": version, "now_s": 1.0}));
    }
    for put in &transaction.puts {
        state.put(key(put), put.value.clone());
    }
    if state.faults.lose_answers {
        abort_connection(&req);
    }
    HttpResponse::Ok().json(json!({"resource_version": state.version, "now_s": 1.0}))
}

async fn read(state: web::Data<Mutex<StoreState>>, query: web::Query<TableQuery>) -> HttpResponse {
    let mut state = lock(&state);
    state.reads += 1;
    if state.faults.down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let rows: Vec<Value> = state
        .rows
        .keys()
        .filter(|(table, key)| *table == query.table && *key >= query.from)
        .filter_map(|key| state.row(key))
        .collect();
    HttpResponse::Ok().json(json!({"rows": rows, "has_more": false,
        "resource_version": state.version, "now_s": 1.0}))
}

async fn feed(state: web::Data<Mutex<StoreState>>, query: web::Query<TableQuery>) -> HttpResponse {
    lock(&state).reads += 1;
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        {
            let state = lock(&state);
            if state.faults.down {
                return HttpResponse::ServiceUnavailable().finish();
            }
            if query.after < state.discarded_up_to_version {
                return HttpResponse::Gone().finish();
            }
            let mut rows = Vec::new();
            for (version, key) in state.changes.iter().filter(|(v, _)| *v > query.after) {
                // Only the newest value of a row is sent.
                if key.0 == query.table && state.rows.get(key).is_some_and(|(_, v)| v == version) {
                    rows.extend(state.row(key));
                }
            }
            if !rows.is_empty() || Instant::now() >= deadline {
                return HttpResponse::Ok().json(json!({"rows": rows,
                    "resource_version": state.version, "now_s": 1.0}));
            }
        }
        actix_rt::time::sleep(FEED_POLL_INTERVAL).await;
    }
}

const BASE64_ALPHABET: &[u8; 64] =
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes Base64 with padding. Implemented here because the library that the node uses would hide
/// an error of that library from the tests.
fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits =
            group.iter().fold(0u32, |bits, b| bits << 8 | u32::from(*b)) << (8 * (3 - group.len()));
        for i in 0..4 {
            let digit = BASE64_ALPHABET[(bits >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

/// Decodes Base64; `None` for a character outside the alphabet.
fn decode_base64(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    for group in text.as_bytes().chunks(4) {
        let digits: Vec<u32> = group
            .iter()
            .filter(|c| **c != b'=')
            .map(|c| BASE64_ALPHABET.iter().position(|a| a == c).map(|p| p as u32))
            .collect::<Option<_>>()?;
        let bits = digits.iter().fold(0, |bits, d| bits << 6 | d) << (6 * (4 - digits.len()));
        bytes.extend_from_slice(&bits.to_be_bytes()[1..digits.len()]);
    }
    Some(bytes)
}
