//! Stand-in for an application instance: executes requests on a number of slots, sends heartbeats
//! to the node beside it, and records what it executed.
//!
//! It writes HTTP/1.1 directly to sockets, so that it can violate the protocol.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::http::Request;
use crate::relay::TcpRelay;
use crate::server::lock;

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Factor by which [`Behaviour::Slow`] exceeds the usual service time.
pub const SLOW_FACTOR: u32 = 40;

/// How an instance handles its requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Executes the request and responds with status 200.
    #[default]
    Healthy,
    /// Executes the request and closes the connection without a response.
    LoseAnswer,
    /// Executes the request and never responds; the connection stays open.
    Silent,
    /// Executes the request, responds, and sends a second response with another request id.
    ExtraAnswer,
    /// Executes the request and closes the connection before the end of the response body.
    CutAnswer,
    /// Rejects the request with status 503 without executing it.
    Reject,
    /// Executes the request and responds with status 500.
    Fail,
    /// Executes the request in [`SLOW_FACTOR`] times the usual service time.
    Slow,
    /// Executes the request and sends a header without an end until the client closes the connection.
    EndlessHead,
    /// Executes the request and sends a body without an end until the client closes the connection.
    EndlessBody,
    /// Executes the request and sends responses to other requests until the client closes the connection.
    EndlessAnswers,
}

/// Identity, capacity and service time of an instance.
#[derive(Clone, Debug)]
pub struct InstanceOptions {
    /// Instance id; a restarted instance needs a new one.
    pub id: String,
    pub service: String,
    pub version: String,
    /// Data centre, which heartbeats call `zone`.
    pub zone: String,
    /// Limit of concurrent requests; further ones are rejected.
    pub slots: u32,
    /// Time that the execution of a request takes.
    pub service_time: Duration,
    /// Start of this incarnation; later incarnations have larger values.
    pub born: u64,
}

/// Record of a request that an instance executed.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Value of the `Request-Id` header.
    pub request_id: String,
    /// Time at which execution began.
    pub started_at: Instant,
    /// Value of the `Caller-Service` header.
    pub caller: String,
    /// Value of the `Deadline-Ms` header; `None` when it is missing or invalid.
    pub deadline_ms: Option<u64>,
    /// Length of the request body.
    pub body_bytes: usize,
}

struct InstanceState {
    options: InstanceOptions,
    running: AtomicU32,
    peak_running: AtomicU32,
    behaviour: Mutex<Behaviour>,
    executions: Mutex<Vec<Execution>>,
    draining: AtomicBool,
    stopped: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// A running instance, which crashes when it is dropped.
pub struct InstanceStandin {
    shared: Arc<InstanceState>,
    /// Relay in front of the instance; heartbeats announce the relay's address.
    pub relay: TcpRelay,
    addr: SocketAddr,
    node: SocketAddr,
    sequence: Arc<AtomicU32>,
}

impl InstanceStandin {
    /// Starts an instance on a free port; it sends heartbeats to `node`.
    pub fn start(options: InstanceOptions, node: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let addr = listener.local_addr()?;
        let relay = TcpRelay::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        relay.set_destination(addr);
        let announced = relay.addr();
        let shared = Arc::new(InstanceState {
            options,
            running: AtomicU32::new(0),
            peak_running: AtomicU32::new(0),
            behaviour: Mutex::default(),
            executions: Mutex::default(),
            draining: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let accept_shared = shared.clone();
        thread::spawn(move || accept(&listener, &accept_shared));
        let standin = Self { shared, relay, addr, node, sequence: Arc::default() };
        let (shared, sequence) = (standin.shared.clone(), standin.sequence.clone());
        thread::spawn(move || {
            while !shared.stopped.load(Ordering::SeqCst) {
                if !shared.draining.load(Ordering::SeqCst) {
                    // A failed heartbeat needs no retry: the next one follows after the interval.
                    let _ = send_heartbeat(&shared.options, announced, node, &sequence, "ready");
                }
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        Ok(standin)
    }

    /// Sets how later requests are handled.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// Records of all requests executed so far.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.shared.executions).clone()
    }

    /// Largest number of requests that were in execution at the same time.
    pub fn peak_running(&self) -> u32 {
        self.shared.peak_running.load(Ordering::SeqCst)
    }

    /// Options that the instance was started with.
    pub fn options(&self) -> &InstanceOptions {
        &self.shared.options
    }

    /// Reports to the node that the instance is draining. Returns the time of the acknowledgement;
    /// `None` when the node did not acknowledge.
    pub fn drain(&self) -> Option<Instant> {
        self.shared.draining.store(true, Ordering::SeqCst);
        let is_acknowledged = send_heartbeat(
            &self.shared.options,
            self.relay.addr(),
            self.node,
            &self.sequence,
            "draining",
        );
        is_acknowledged.then(Instant::now)
    }

    /// Stops without notice to the node: new connections are refused, open ones are closed.
    pub fn crash(&self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // Unblocks the accepting thread, which then closes the listener.
        let _ = TcpStream::connect(self.addr);
        for conn in lock(&self.shared.connections).drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for InstanceStandin {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Sends a heartbeat and returns whether the node acknowledged it.
fn send_heartbeat(
    options: &InstanceOptions,
    addr: SocketAddr,
    node: SocketAddr,
    sequence: &AtomicU32,
    state: &str,
) -> bool {
    let sequence = sequence.fetch_add(1, Ordering::SeqCst) + 1;
    let body = json!({
        "address": addr.to_string(),
        "born": options.born,
        "info": {"service": options.service, "version": options.version, "zone": options.zone,
            "slots": options.slots},
        "status": {"state": state, "sequence": sequence, "cold_remaining_s": 0},
    });
    let url = format!("http://{node}/-/instances/{}", options.id);
    let response = Request::new("PUT", url).json(&body).timeout(Duration::from_secs(1)).send();
    response.is_ok_and(|r| r.status == 200)
}

fn accept(listener: &TcpListener, shared: &Arc<InstanceState>) {
    for stream in listener.incoming() {
        if shared.stopped.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else { continue };
        if let Ok(handle) = stream.try_clone() {
            lock(&shared.connections).push(handle);
        }
        let shared = shared.clone();
        // An I/O error needs no report here: the node sees the connection close.
        thread::spawn(move || drop(serve(stream, &shared)));
    }
}

/// Headers of a request that the instance uses; a text is empty when its header is missing.
struct RequestHead {
    request_id: String,
    expected_instance: String,
    caller: String,
    deadline_ms: Option<u64>,
    content_length: usize,
}

/// Reads the head of a request; `None` when the client has closed the connection.
fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<RequestHead>> {
    let mut head = RequestHead {
        request_id: String::new(),
        expected_instance: String::new(),
        caller: String::new(),
        deadline_ms: None,
        content_length: 0,
    };
    let mut is_first_line = true;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() && !is_first_line {
            return Ok(Some(head));
        }
        is_first_line = false;
        let Some((name, value)) = line.split_once(": ") else { continue };
        match name.to_ascii_lowercase().as_str() {
            "request-id" => head.request_id = value.to_string(),
            "target-instance" => head.expected_instance = value.to_string(),
            "caller-service" => head.caller = value.to_string(),
            "deadline-ms" => head.deadline_ms = value.parse().ok(),
            "content-length" => head.content_length = value.parse().unwrap_or(0),
            _ => {}
        }
    }
}

/// Writes `start` and then `unit` repeatedly, until the client closes the connection.
fn repeat_until_closed(stream: &mut TcpStream, start: &str, unit: &[u8]) -> io::Result<()> {
    stream.write_all(start.as_bytes())?;
    let block = unit.repeat(64 * 1024 / unit.len());
    loop {
        stream.write_all(&block)?;
    }
}

/// Response body of an instance to a request.
pub fn response_body(request_id: &str, instance: &str) -> String {
    format!("answer of {instance} to {request_id}")
}

/// Serves the requests of a connection, one after the other, with the behaviour in effect.
fn serve(stream: TcpStream, shared: &InstanceState) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(head) = read_head(&mut reader)? {
        let mut body = vec![0; head.content_length];
        reader.read_exact(&mut body)?;
        let id = &shared.options.id;
        let behaviour = *lock(&shared.behaviour);
        let rejection = |status: &str| {
            format!(
                "HTTP/1.1 {status}\r\nRequest-Id: {}\r\nNot-Executed: 1\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n",
                head.request_id
            )
        };
        if !head.expected_instance.is_empty() && head.expected_instance != *id {
            stream.write_all(rejection("421 Misdirected Request").as_bytes())?;
            continue;
        }
        let running = shared.running.fetch_add(1, Ordering::SeqCst) + 1;
        shared.peak_running.fetch_max(running, Ordering::SeqCst);
        if running > shared.options.slots || behaviour == Behaviour::Reject {
            shared.running.fetch_sub(1, Ordering::SeqCst);
            stream.write_all(rejection("503 Service Unavailable").as_bytes())?;
            continue;
        }
        lock(&shared.executions).push(Execution {
            request_id: head.request_id.clone(),
            started_at: Instant::now(),
            caller: head.caller.clone(),
            deadline_ms: head.deadline_ms,
            body_bytes: body.len(),
        });
        let slowdown = if behaviour == Behaviour::Slow { SLOW_FACTOR } else { 1 };
        thread::sleep(shared.options.service_time * slowdown);
        shared.running.fetch_sub(1, Ordering::SeqCst);
        let response = |status: &str, request_id: &str, omitted_bytes: usize| {
            let body = response_body(request_id, id);
            format!(
                "HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nResponse-Signature: s.{id}\r\nContent-Length: {}\r\n\r\n{}",
                body.len(),
                &body[..body.len() - omitted_bytes]
            )
        };
        match behaviour {
            Behaviour::LoseAnswer => return stream.shutdown(Shutdown::Both),
            Behaviour::Silent => {
                // Keeps the connection open until the client closes it.
                let mut discarded_bytes = Vec::new();
                return reader.read_to_end(&mut discarded_bytes).map(drop);
            }
            Behaviour::CutAnswer => {
                stream.write_all(response("200 OK", &head.request_id, 5).as_bytes())?;
                return stream.shutdown(Shutdown::Both);
            }
            Behaviour::Fail => {
                stream.write_all(response("500 Failed", &head.request_id, 0).as_bytes())?;
            }
            Behaviour::ExtraAnswer => {
                let mut bytes = response("200 OK", &head.request_id, 0);
                bytes.push_str(&response("200 OK", "somebody-else", 0));
                stream.write_all(bytes.as_bytes())?;
            }
            Behaviour::EndlessHead => {
                return repeat_until_closed(&mut stream, "HTTP/1.1 200 OK\r\nX-Padding: ", b"x");
            }
            Behaviour::EndlessBody => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: s.{id}\r\n\r\n",
                    head.request_id
                );
                return repeat_until_closed(&mut stream, &head, b"U");
            }
            Behaviour::EndlessAnswers => {
                let other_response = response("200 OK", "somebody-else", 0);
                return repeat_until_closed(&mut stream, "", other_response.as_bytes());
            }
            Behaviour::Healthy | Behaviour::Slow | Behaviour::Reject => {
                stream.write_all(response("200 OK", &head.request_id, 0).as_bytes())?;
            }
        }
    }
    Ok(())
}
