//! An application instance: runs requests on a number of slots, announces itself to the node beside it,
//! and records what it ran. It speaks raw HTTP/1.1 on sockets, so that it can break every rule of it.

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

/// Interval of heartbeats.
const BEAT_INTERVAL: Duration = Duration::from_millis(300);

/// How an instance treats the requests that it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers.
    #[default]
    Sound,
    /// Runs the request and closes without an answer.
    LoseAnswer,
    /// Runs the request and never answers.
    Silent,
    /// Answers, and sends a second answer with another id behind it.
    ExtraAnswer,
    /// Cuts the body of the answer.
    CutAnswer,
    /// Rejects without running.
    Reject,
    /// Runs the request and answers 500.
    Fail,
}

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct InstanceOptions {
    /// Id of the run.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Version of its software.
    pub version: String,
    /// Data centre.
    pub zone: String,
    /// Requests at a time.
    pub slots: u32,
    /// Time that a request takes.
    pub work: Duration,
    /// Start of the run; later runs have larger values.
    pub born: u64,
}

/// A request that an instance ran.
#[derive(Clone, Debug)]
pub struct Ran {
    /// Id of the caller's attempt.
    pub request_id: String,
    /// When it arrived.
    pub at: Instant,
    /// Service that the call came from, as it was told.
    pub caller: String,
    /// Remaining time that it was told.
    pub deadline_ms: Option<u64>,
    /// Bytes of its body.
    pub body_bytes: usize,
}

struct Shared {
    options: InstanceOptions,
    running: AtomicU32,
    most_running: AtomicU32,
    behaviour: Mutex<Behaviour>,
    ran: Mutex<Vec<Ran>>,
    draining: AtomicBool,
    stopped: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// A running instance; dropping it stops it.
pub struct InstanceStandin {
    shared: Arc<Shared>,
    /// Relay in front of the instance; its address is the one announced.
    pub relay: TcpRelay,
    addr: SocketAddr,
    node: SocketAddr,
    sequence: Arc<AtomicU32>,
}

impl InstanceStandin {
    /// Starts an instance on a free port, with heartbeats to the node beside it.
    pub fn start(options: InstanceOptions, node: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let addr = listener.local_addr()?;
        let relay = TcpRelay::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        relay.set_destination(addr);
        let announced = relay.addr();
        let shared = Arc::new(Shared {
            options,
            running: AtomicU32::new(0),
            most_running: AtomicU32::new(0),
            behaviour: Mutex::default(),
            ran: Mutex::default(),
            draining: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let accepting = shared.clone();
        thread::spawn(move || accept(&listener, &accepting));
        let standin = Self { shared, relay, addr, node, sequence: Arc::default() };
        let (shared, sequence) = (standin.shared.clone(), standin.sequence.clone());
        thread::spawn(move || {
            while !shared.stopped.load(Ordering::SeqCst) {
                if !shared.draining.load(Ordering::SeqCst) {
                    // A node that is down misses heartbeats; the next one follows.
                    let _ = beat(&shared.options, announced, node, &sequence, "ready");
                }
                thread::sleep(BEAT_INTERVAL);
            }
        });
        Ok(standin)
    }

    /// Sets how requests are treated from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// What it ran so far.
    pub fn ran(&self) -> Vec<Ran> {
        lock(&self.shared.ran).clone()
    }

    /// Most requests that ran at a time.
    pub fn most_running(&self) -> u32 {
        self.shared.most_running.load(Ordering::SeqCst)
    }

    /// Its settings.
    pub fn options(&self) -> &InstanceOptions {
        &self.shared.options
    }

    /// Reports that it leaves; returns when the node has acknowledged it, `None` when it did not.
    pub fn drain(&self) -> Option<Instant> {
        self.shared.draining.store(true, Ordering::SeqCst);
        let told =
            beat(&self.shared.options, self.relay.addr(), self.node, &self.sequence, "draining");
        told.then(Instant::now)
    }

    /// Ends without a word: new connections are refused, open ones are reset.
    pub fn crash(&self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then closes the listener.
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

fn beat(
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
    let sent = Request::new("PUT", url).json(&body).timeout(Duration::from_secs(1)).send();
    sent.is_ok_and(|r| r.status == 200)
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming() {
        if shared.stopped.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else { continue };
        if let Ok(copy) = stream.try_clone() {
            lock(&shared.connections).push(copy);
        }
        let shared = shared.clone();
        // The node sees the end of a connection that failed.
        thread::spawn(move || drop(serve(stream, &shared)));
    }
}

struct Head {
    request_id: String,
    expected: String,
    caller: String,
    deadline_ms: Option<u64>,
    length: usize,
}

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head {
        request_id: String::new(),
        expected: String::new(),
        caller: String::new(),
        deadline_ms: None,
        length: 0,
    };
    let mut first = true;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() && !first {
            return Ok(Some(head));
        }
        first = false;
        let Some((name, value)) = line.split_once(": ") else { continue };
        match name.to_ascii_lowercase().as_str() {
            "request-id" => head.request_id = value.to_string(),
            "target-instance" => head.expected = value.to_string(),
            "caller-service" => head.caller = value.to_string(),
            "deadline-ms" => head.deadline_ms = value.parse().ok(),
            "content-length" => head.length = value.parse().unwrap_or(0),
            _ => {}
        }
    }
}

/// The body that an instance answers to a request.
pub fn answer_body(request_id: &str, instance: &str) -> String {
    format!("answer of {instance} to {request_id}")
}

fn serve(stream: TcpStream, shared: &Shared) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(head) = read_head(&mut reader)? {
        let mut body = vec![0; head.length];
        reader.read_exact(&mut body)?;
        let id = &shared.options.id;
        let behaviour = *lock(&shared.behaviour);
        let reject = |status: &str| {
            format!(
                "HTTP/1.1 {status}\r\nRequest-Id: {}\r\nNot-Executed: 1\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n",
                head.request_id
            )
        };
        if !head.expected.is_empty() && head.expected != *id {
            stream.write_all(reject("421 Misdirected Request").as_bytes())?;
            continue;
        }
        let running = shared.running.fetch_add(1, Ordering::SeqCst) + 1;
        shared.most_running.fetch_max(running, Ordering::SeqCst);
        if running > shared.options.slots || behaviour == Behaviour::Reject {
            shared.running.fetch_sub(1, Ordering::SeqCst);
            stream.write_all(reject("503 Service Unavailable").as_bytes())?;
            continue;
        }
        lock(&shared.ran).push(Ran {
            request_id: head.request_id.clone(),
            at: Instant::now(),
            caller: head.caller.clone(),
            deadline_ms: head.deadline_ms,
            body_bytes: body.len(),
        });
        thread::sleep(shared.options.work);
        shared.running.fetch_sub(1, Ordering::SeqCst);
        let answer = |status: &str, request_id: &str, cut: usize| {
            let body = answer_body(request_id, id);
            format!(
                "HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nResponse-Signature: s.{id}\r\nContent-Length: {}\r\n\r\n{}",
                body.len(),
                &body[..body.len() - cut]
            )
        };
        match behaviour {
            Behaviour::LoseAnswer => return stream.shutdown(Shutdown::Both),
            Behaviour::Silent => {
                // Holds the connection until the other side gives up.
                let mut rest = Vec::new();
                return reader.read_to_end(&mut rest).map(drop);
            }
            Behaviour::CutAnswer => {
                stream.write_all(answer("200 OK", &head.request_id, 5).as_bytes())?;
                return stream.shutdown(Shutdown::Both);
            }
            Behaviour::Fail => {
                stream.write_all(answer("500 Failed", &head.request_id, 0).as_bytes())?;
            }
            Behaviour::ExtraAnswer => {
                let mut bytes = answer("200 OK", &head.request_id, 0);
                bytes.push_str(&answer("200 OK", "somebody-else", 0));
                stream.write_all(bytes.as_bytes())?;
            }
            Behaviour::Sound | Behaviour::Reject => {
                stream.write_all(answer("200 OK", &head.request_id, 0).as_bytes())?;
            }
        }
    }
    Ok(())
}
