//! Stand-in for callers: sends calls of all classes, checks every response and counts the outcomes.

mod checks;
mod sender;
mod tally;

pub use checks::guarantee_violations;
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

/// A kind of call that the caller stand-in sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallSpec {
    pub class: Class,
    pub method: String,
    /// Path, including the query string.
    pub path: String,
    /// Share of the calls relative to the weights of the other kinds; 0 sends none.
    pub weight: u32,
    pub body_bytes: usize,
    /// Deadline sent with the call, in ms.
    pub deadline_ms: u64,
    /// Name of the header with the idempotency key; only bookings carry it.
    pub idempotency_header: String,
    /// Number of further services that the targets call, one after the other.
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

/// Options of a caller stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerOptions {
    /// `caller` addresses of the nodes; each call goes to a random one.
    pub nodes: Vec<SocketAddr>,
    /// Kinds of calls, chosen at random by weight.
    pub calls: Vec<CallSpec>,
    /// Calls per second in an open loop, with exponentially distributed gaps. `None` selects a
    /// closed loop.
    pub rate_per_s: Option<f64>,
    /// Concurrent calls in a closed loop; limit on the calls in flight in an open loop.
    pub concurrency: usize,
    /// Stops after this many calls; `None` sets no limit.
    pub max_calls: Option<u64>,
    /// Stops after this time, in ms; `None` sets no limit.
    pub duration_ms: Option<u64>,
    /// Share of the bookings, 0 to 1, that retry an earlier booking with the same idempotency key.
    pub repeat_share: f64,
    /// A call counts as late when it ends more than this many ms after its deadline.
    pub grace_ms: u64,
    /// Sending threads; the rate and the concurrency are divided among them.
    pub threads: usize,
    /// Whether [`Summary::log`] lists every call.
    pub keep_log: bool,
    /// Seed of the random choices (kinds, nodes, gaps and retries). Names of calls and idempotency
    /// keys derive from it too, so two callers in one test need different seeds.
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

struct CallerState {
    options: CallerOptions,
    nodes: RwLock<Vec<SocketAddr>>,
    summary: Mutex<Summary>,
    stopped: AtomicBool,
    reserved_calls: AtomicU64,
    started: Instant,
}

impl CallerState {
    /// Reserves a further call and returns whether it may be sent; false after a stop or at a limit.
    fn reserve_call(&self) -> bool {
        let options = &self.options;
        if self.stopped.load(Ordering::Relaxed) {
            return false;
        }
        if options.duration_ms.is_some_and(|ms| self.started.elapsed() >= Duration::from_millis(ms))
        {
            return false;
        }
        let reserved_before = self.reserved_calls.fetch_add(1, Ordering::Relaxed);
        options.max_calls.is_none_or(|max| reserved_before < max)
    }
}

/// A running caller stand-in. Dropping it stops it and waits for the calls in flight.
pub struct CallerStandin {
    shared: Arc<CallerState>,
    threads: Vec<JoinHandle<()>>,
}

impl CallerStandin {
    /// Starts the sending threads. Without `max_calls` and `duration_ms` they run until they are
    /// stopped.
    pub fn start(options: CallerOptions) -> io::Result<Self> {
        if options.calls.iter().all(|call| call.weight == 0) {
            return Err(io::Error::other(
                "the options contain no kind of call with a weight above 0",
            ));
        }
        let threads = options.threads.max(1);
        let shared = Arc::new(CallerState {
            nodes: RwLock::new(options.nodes.clone()),
            summary: Mutex::new(Summary::default()),
            stopped: AtomicBool::new(false),
            reserved_calls: AtomicU64::new(0),
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

    /// Runs until `max_calls` or `duration_ms` is reached and returns the counts.
    pub fn run(options: CallerOptions) -> io::Result<Summary> {
        Ok(Self::start(options)?.wait())
    }

    /// Replaces the addresses of the nodes for further calls.
    pub fn set_nodes(&self, nodes: Vec<SocketAddr>) {
        *self.shared.nodes.write().unwrap_or_else(std::sync::PoisonError::into_inner) = nodes;
    }

    /// Returns the counts so far.
    pub fn summary(&self) -> Summary {
        let mut summary = lock(&self.shared.summary).clone();
        summary.elapsed_ms = self.shared.started.elapsed().as_millis() as u64;
        summary
    }

    /// Number of calls that have ended, with any outcome.
    pub fn ended(&self) -> u64 {
        lock(&self.shared.summary).classes.values().map(|tally| tally.calls).sum()
    }

    /// Sends no further calls, waits for those in flight and returns the counts.
    pub fn stop(self) -> Summary {
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.wait()
    }

    /// Waits until `max_calls` or `duration_ms` is reached and returns the counts.
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
