//! Fake HTTP servers of a platform and of a node, for tests that run `ibisctl` as a process.

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

/// Status and body; `None` closes the connection without a response.
type Response = Option<(u16, Vec<u8>)>;

struct Request {
    method: String,
    path_and_query: String,
    body: Vec<u8>,
}

fn read_request(stream: &mut TcpStream) -> Option<Request> {
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let mut bytes = Vec::new();
    let mut buf = [0; 8192];
    loop {
        if let Some(head_end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
            let lower_case_head = head.to_ascii_lowercase();
            let content_length =
                lower_case_head.lines().find_map(|l| l.strip_prefix("content-length: "));
            let content_length: usize = content_length.and_then(|l| l.parse().ok()).unwrap_or(0);
            if bytes.len() >= head_end + 4 + content_length {
                let mut request_line_parts = head.split(' ');
                let method = request_line_parts.next()?.to_string();
                let path_and_query = request_line_parts.next()?.to_string();
                return Some(Request {
                    method,
                    path_and_query,
                    body: bytes[head_end + 4..].to_vec(),
                });
            }
        }
        match stream.read(&mut buf) {
            Ok(n) if n > 0 => bytes.extend_from_slice(&buf[..n]),
            _ => return None,
        }
    }
}

/// Starts a server that runs until the test process ends, and returns its address.
fn serve(handle: impl Fn(Request) -> Response + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let addr = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let Some((status, body)) = read_request(&mut stream).and_then(|r| handle(r)) else {
                    return;
                };
                let length = body.len();
                let head = format!(
                    "HTTP/1.1 {status} Status\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
                );
                let _ = stream.write_all(&[head.as_bytes(), &body].concat());
            });
        }
    });
    addr
}

/// Rows, objects and faults of a fake platform.
#[derive(Default)]
struct StoredData {
    /// Value and revision of each row.
    rows: BTreeMap<String, (Value, u64)>,
    objects: BTreeMap<String, Vec<u8>>,
    revision: u64,
    /// Number of transactions, from the next one on, whose responses are lost.
    responses_to_lose: u32,
    /// Whether every request gets status 503.
    down: bool,
    /// Whether an outage starts after the next transaction.
    down_after_transaction: bool,
}

/// Fake platform with a table and an object store in memory.
pub(crate) struct HttpPlatformFake {
    pub(crate) addr: SocketAddr,
    data: Arc<Mutex<StoredData>>,
}

fn json_response(status: u16, value: &Value) -> Response {
    Some((status, value.to_string().into_bytes()))
}

impl StoredData {
    fn transact(&mut self, body: &[u8]) -> Response {
        let request: Value = serde_json::from_slice(body).expect("a transaction");
        let list = |name: &str| request[name].as_array().cloned().unwrap_or_default();
        let mut conflicts = Vec::new();
        for condition in list("conditions") {
            let key = condition["key"].as_str().unwrap_or_default();
            let row = self.rows.get(key);
            if row.map(|(_, r)| *r) != condition["revision"].as_u64() {
                let (value, revision) = (row.map(|f| &f.0), row.map(|f| f.1));
                conflicts.push(json!({"key": key, "revision": revision, "value": value}));
            }
        }
        if !conflicts.is_empty() {
            return json_response(409, &json!({"committed": false, "conflicts": conflicts}));
        }
        self.revision += 1;
        let mut revisions = serde_json::Map::new();
        for put in list("puts") {
            let key = put["key"].as_str().unwrap_or_default().to_string();
            revisions.insert(key.clone(), json!(self.revision));
            self.rows.insert(key, (put["value"].clone(), self.revision));
        }
        self.down = self.down_after_transaction;
        if self.responses_to_lose > 0 {
            self.responses_to_lose -= 1;
            return None;
        }
        json_response(200, &json!({"committed": true, "revisions": revisions}))
    }

    fn row(&self, key: &str) -> Response {
        match self.rows.get(key) {
            None => json_response(404, &json!({})),
            Some((value, revision)) => {
                json_response(200, &json!({"key": key, "value": value, "revision": revision}))
            }
        }
    }

    fn scan(&self, query: &str) -> Response {
        let parameter = |name: &str| {
            let value_of =
                |pair: &str| pair.strip_prefix(name)?.strip_prefix('=').map(String::from);
            query.split('&').find_map(value_of).unwrap_or_default()
        };
        let (prefix, after) = (parameter("prefix"), parameter("after"));
        let limit: usize = parameter("limit").parse().expect("a limit");
        let matching_rows = self.rows.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
        let row = |(key, (value, revision)): (&String, &(Value, u64))| json!({"key": key, "value": value, "revision": revision});
        let rows: Vec<Value> = matching_rows.take(limit).map(row).collect();
        json_response(200, &json!({"rows": rows}))
    }

    fn handle(&mut self, request: &Request) -> Response {
        if self.down {
            return json_response(503, &json!({}));
        }
        let (path, query) =
            request.path_and_query.split_once('?').unwrap_or((&request.path_and_query, ""));
        match (request.method.as_str(), path) {
            ("POST", "/table/transact") => self.transact(&request.body),
            ("GET", "/table/row") => self.row(query.strip_prefix("key=").expect("a key")),
            ("GET", "/table/scan") => self.scan(query),
            ("PUT", name) => {
                let replaced_object = self.objects.insert(name.to_string(), request.body.clone());
                Some((if replaced_object.is_some() { 200 } else { 201 }, Vec::new()))
            }
            ("GET", name) => match self.objects.get(name) {
                Some(bytes) => Some((200, bytes.clone())),
                None => Some((404, Vec::new())),
            },
            _ => Some((400, Vec::new())),
        }
    }
}

impl HttpPlatformFake {
    pub(crate) fn start() -> Self {
        let data = Arc::new(Mutex::new(StoredData::default()));
        let shared = Arc::clone(&data);
        let addr = serve(move |request| shared.lock().expect("the lock").handle(&request));
        Self { addr, data }
    }

    /// Drops the responses to the next `count` transactions, which still take effect.
    pub(crate) fn lose_responses(&self, count: u32) {
        self.data.lock().expect("the lock").responses_to_lose = count;
    }

    /// Starts an outage after the next transaction.
    pub(crate) fn go_down_after_transaction(&self) {
        self.data.lock().expect("the lock").down_after_transaction = true;
    }

    /// Starts an outage.
    pub(crate) fn go_down(&self) {
        self.data.lock().expect("the lock").down = true;
    }

    /// Writes a row unconditionally.
    pub(crate) fn put_row(&self, key: &str, value: Value) {
        let mut data = self.data.lock().expect("the lock");
        data.revision += 1;
        let revision = data.revision;
        data.rows.insert(key.to_string(), (value, revision));
    }

    /// Returns the keys of all rows.
    pub(crate) fn keys(&self) -> Vec<String> {
        self.data.lock().expect("the lock").rows.keys().cloned().collect()
    }
}

/// Fake node whose admin interface serves fixed documents.
#[derive(Clone)]
pub(crate) struct NodeFake {
    pub(crate) addr: SocketAddr,
    /// Documents that are served next, by path; the last one of a path is kept.
    documents_by_path: Arc<Mutex<BTreeMap<String, Vec<Value>>>>,
}

impl NodeFake {
    pub(crate) fn start() -> Self {
        let documents_by_path: Arc<Mutex<BTreeMap<String, Vec<Value>>>> = Arc::default();
        let shared = Arc::clone(&documents_by_path);
        let addr = serve(move |request| {
            let mut documents_by_path = shared.lock().expect("the lock");
            let Some(documents) = documents_by_path.get_mut(&request.path_and_query) else {
                return json_response(404, &json!({}));
            };
            let document = documents[0].clone();
            if documents.len() > 1 {
                documents.remove(0);
            }
            json_response(200, &document)
        });
        Self { addr, documents_by_path }
    }

    /// Serves `documents` at `path`, one per request; further requests get the last one.
    pub(crate) fn set_documents(&self, path: &str, documents: Vec<Value>) {
        self.documents_by_path.lock().expect("the lock").insert(path.to_string(), documents);
    }
}

/// Returns the record of a node in the format of `GET /members`.
pub(crate) fn member(name: &str, status: &str, admin: SocketAddr) -> Value {
    let unused_addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    json!({"node": name, "incarnation": 1, "revision": 1, "status": status,
        "data_centre": "swakop-a", "region": "erongo", "targets": [],
        "addresses": {"control": unused_addr, "peer": unused_addr, "caller": unused_addr,
                      "admin": admin}})
}

/// Returns the status of a node in the format of `GET /status`.
pub(crate) fn status(name: &str, version: u64) -> Value {
    json!({"node": name, "data_centre": "swakop-a", "region": "erongo", "state": "serving",
        "version": version, "digest": null, "head_version": version, "rejected": null,
        "members": {"alive": 2, "suspect": 0, "dead": 0, "left": 0},
        "targets": [{"instance": "counter-1", "service": "counter", "version": "v1",
                     "state": "Ready", "slots": 10, "in_flight": 3}]})
}
