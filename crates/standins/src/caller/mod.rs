//! Stand-in for callers: sends calls of all classes, checks every answer and counts the outcomes.

mod checks;
mod sender;
mod tally;

pub use checks::broken_promises;
pub use tally::CallLog;
pub use tally::Class;
pub use tally::Outcome;
pub use tally::Summary;
pub use tally::Tally;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::server::lock;

/// A kind of call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallSpec {
    /// Class.
    pub class: Class,
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Share of the calls, relative to the other kinds.
    pub weight: u32,
    /// Bytes of the body.
    pub body_bytes: usize,
    /// Deadline that the call carries, in ms.
    pub deadline_ms: u64,
    /// Header with the idempotency key; only bookings carry it.
    pub idempotency_header: String,
    /// Further services that the targets shall call, one after the other.
    pub chain: u32,
}

impl Default for CallSpec {
    fn default() -> Self {
        Self {
            class: Class::CounterQuery,
            method: "GET".to_string(),
            path: "/counter/sheets".to_string(),
            weight: 1,
            body_bytes: 0,
            deadline_ms: 1000,
            idempotency_header: "Idempotency-Key".to_string(),
            chain: 0,
        }
    }
}

/// Settings of a caller stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerOptions {
    /// Caller addresses of the nodes; each call picks one at random.
    pub nodes: Vec<SocketAddr>,
    /// Kinds of calls.
    pub calls: Vec<CallSpec>,
    /// Calls a second in an open loop, with exponential gaps. `None` makes a closed loop.
    pub rate_per_s: Option<f64>,
    /// Calls at a time in a closed loop; most calls in flight in an open loop.
    pub concurrency: usize,
    /// Ends after this many calls.
    pub max_calls: Option<u64>,
    /// Ends after this time, in ms.
    pub duration_ms: Option<u64>,
    /// Share of the bookings, 0 to 1, that repeat an earlier booking with its key.
    pub repeat_share: f64,
    /// A call is late when it ends this long after its deadline, in ms.
    pub grace_ms: u64,
    /// Threads; rate and concurrency are divided among them.
    pub threads: usize,
    /// Whether the summary lists every call.
    pub keep_log: bool,
    /// Seed of kinds, nodes, gaps and repetitions. Names of calls and keys derive from it too, so
    /// two callers of one test need different seeds.
    pub seed: u64,
}

impl Default for CallerOptions {
    fn default() -> Self {
        Self {
            nodes: Vec::new(),
            calls: vec![CallSpec::default()],
            rate_per_s: None,
            concurrency: 8,
            max_calls: None,
            duration_ms: None,
            repeat_share: 0.0,
            grace_ms: 250,
            threads: 1,
            keep_log: false,
            seed: 1,
        }
    }
}

struct Shared {
    options: CallerOptions,
    nodes: RwLock<Vec<SocketAddr>>,
    summary: Mutex<Summary>,
    stopped: AtomicBool,
    sent: AtomicU64,
    started: Instant,
}

impl Shared {
    /// Whether one more call is to be sent; counts it.
    fn next(&self) -> bool {
        let options = &self.options;
        if self.stopped.load(Ordering::Relaxed) {
            return false;
        }
        if options.duration_ms.is_some_and(|ms| self.started.elapsed() >= Duration::from_millis(ms))
        {
            return false;
        }
        let sent = self.sent.fetch_add(1, Ordering::Relaxed);
        options.max_calls.is_none_or(|max| sent < max)
    }
}

/// A running caller stand-in. Dropping it stops it.
pub struct CallerStandin {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl CallerStandin {
    /// Starts calling. Without `max_calls` and `duration_ms` it goes on until it is stopped.
    pub fn start(options: CallerOptions) -> io::Result<Self> {
        if options.calls.iter().all(|call| call.weight == 0) {
            return Err(io::Error::other("the options name no kind of call"));
        }
        let threads = options.threads.max(1);
        let shared = Arc::new(Shared {
            nodes: RwLock::new(options.nodes.clone()),
            summary: Mutex::new(Summary::default()),
            stopped: AtomicBool::new(false),
            sent: AtomicU64::new(0),
            started: Instant::now(),
            options,
        });
        let threads = (0..threads)
            .map(|number| {
                let shared = shared.clone();
                std::thread::Builder::new()
                    .name(format!("caller-{number}"))
                    .spawn(move || sender::run(shared, number))
            })
            .collect::<io::Result<_>>()?;
        Ok(Self { shared, threads })
    }

    /// Runs to the end that the options set.
    pub fn run(options: CallerOptions) -> io::Result<Summary> {
        Ok(Self::start(options)?.wait())
    }

    /// Replaces the nodes that further calls go to.
    pub fn set_nodes(&self, nodes: Vec<SocketAddr>) {
        *self.shared.nodes.write().unwrap_or_else(std::sync::PoisonError::into_inner) = nodes;
    }

    /// What it counted so far.
    pub fn summary(&self) -> Summary {
        let mut summary = lock(&self.shared.summary).clone();
        summary.elapsed_ms = self.shared.started.elapsed().as_millis() as u64;
        summary
    }

    /// Calls that have ended so far.
    pub fn ended(&self) -> u64 {
        lock(&self.shared.summary).classes.values().map(|tally| tally.calls).sum()
    }

    /// Sends no more calls, waits for those in flight and returns what it counted.
    pub fn stop(self) -> Summary {
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.wait()
    }

    /// Waits for the end that the options set and returns what it counted.
    pub fn wait(mut self) -> Summary {
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.summary()
    }
}

impl Drop for CallerStandin {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
