//! Clusters under failure: version samplers, operators, bad versions and convergence times.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use standins::harness::Builder;
use standins::harness::Cluster;
use standins::harness::Node;
use standins::harness::NodeSpec;
use standins::harness::Output;
use standins::harness::run;
use standins::http::Request;
use standins::platform::table::Put;
use standins::platform::table::Transaction;
use standins::wait;

use super::cluster;

/// Clusters that run at a time in one test binary.
const CLUSTERS_MAX: usize = 2;

/// Longest wait for another test's cluster to end.
const SLOT_BOUND: Duration = Duration::from_secs(120);

/// Pause between two samples of one node.
const SAMPLE_PERIOD: Duration = Duration::from_millis(20);

/// Longest run of `ibisctl`.
const CTL_BOUND: Duration = Duration::from_secs(30);

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Permission to run one cluster; given back when it is dropped.
pub(crate) struct Slot;

/// Waits until fewer than two clusters run in this test binary.
pub(crate) fn slot() -> Slot {
    let (mut running, timeout) = ENDED
        .wait_timeout_while(lock(&RUNNING), SLOT_BOUND, |running| *running >= CLUSTERS_MAX)
        .unwrap_or_else(PoisonError::into_inner);
    assert!(!timeout.timed_out(), "no other cluster ended within {} s", SLOT_BOUND.as_secs());
    *running += 1;
    Slot
}

impl Drop for Slot {
    fn drop(&mut self) {
        *lock(&RUNNING) -= 1;
        ENDED.notify_one();
    }
}

/// A builder with relays whose nodes reach the platform and their peers from their own address, so
/// that a partition by source address holds. `data_centres` gives the nodes of each.
pub(crate) fn relayed(data_centres: &[u8]) -> Builder {
    let mut builder = cluster::builder().relays();
    for (number, nodes) in (1..).zip(data_centres) {
        for node in 1..=*nodes {
            let ip = std::net::Ipv4Addr::new(127, 0, number, node);
            let mut sections = Map::new();
            sections.insert("platform".to_string(), json!({"local_address": ip}));
            sections.insert("peers".to_string(), json!({"bind": ip}));
            builder = builder.node(NodeSpec {
                name: format!("erongo-{number}-{node:02}"),
                data_centre: format!("erongo-{number}"),
                region: "erongo".to_string(),
                ip,
                sections,
            });
        }
    }
    builder
}

/// [`cluster::catalogue`] with another owner, so that each number makes another digest.
pub(crate) fn catalogue(number: u64) -> Value {
    let mut document = cluster::catalogue();
    document["services"][0]["owner"] = json!(format!("desk-{number}@kuiseb.example"));
    document
}

/// Starts a cluster and waits until all nodes know each other and have version 1 in effect.
pub(crate) fn started(builder: Builder) -> Cluster {
    let cluster = builder.start().expect("nodes start");
    let version = cluster::apply(&cluster, &catalogue(1));
    assert_eq!(version, 1);
    cluster.wait_ready(cluster::SOON).expect("all nodes serve");
    cluster.wait_members(cluster.nodes().len(), cluster::SOON).expect("all nodes are members");
    cluster
}

/// Applies catalogue `number` and returns its version with the time of acceptance.
pub(crate) fn accept(cluster: &Cluster, number: u64) -> (u64, Instant) {
    let version = cluster::apply(cluster, &catalogue(number));
    (version, Instant::now())
}

/// Waits until the version is in effect on all nodes that run, within the stated bound after
/// `since`, and prints the time.
pub(crate) fn in_effect(cluster: &Cluster, version: u64, since: Instant, what: &str) {
    let left = cluster::CONVERGENCE_BOUND.saturating_sub(since.elapsed());
    let result = cluster.wait_version(version, left);
    println!("{what}: version {version} everywhere after {} ms", since.elapsed().as_millis());
    result.expect("the version is in effect everywhere in time");
}

/// Waits until all nodes that run serve at least this version, within the stated bound after
/// `since`, and prints the time.
pub(crate) fn serving(cluster: &Cluster, version: u64, since: Instant, what: &str) {
    let left = cluster::CONVERGENCE_BOUND.saturating_sub(since.elapsed());
    let result = cluster.wait_all("serving nodes", left, |node| {
        node.is_ready() && node.version().is_some_and(|v| v >= version)
    });
    println!("{what}: serving again after {} ms", since.elapsed().as_millis());
    result.expect("all nodes serve again in time");
}

/// Whether a call to the node is refused as not run because the node has no version yet.
pub(crate) fn refuses_as_starting(node: &Node) -> bool {
    let caller = node.addresses().expect("the node has started").caller;
    let response = Request::new("GET", format!("http://{caller}/counter/sheets"))
        .header("X-Ibis-Deadline-Ms", "1000")
        .send()
        .expect("a node answers calls while it starts");
    let outcome = response.header("x-ibis-outcome") == Some("not-run");
    let reason = response.json()["reason"].as_str().unwrap_or_default().to_string();
    response.status == 503 && outcome && reason == "the node has no configuration yet"
}

/// Runs `ibisctl` from any thread.
#[derive(Clone)]
pub(crate) struct Operator {
    platform: SocketAddr,
    folder: PathBuf,
}

impl Operator {
    pub(crate) fn new(cluster: &Cluster) -> Self {
        Self { platform: cluster.platform().addr(), folder: cluster.folder().to_path_buf() }
    }

    /// Applies a document under the operator's name, on top of `base`.
    pub(crate) fn apply(&self, name: &str, document: &Value, base: u64) -> Output {
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, document.to_string()).expect("the folder is writable");
        let (platform, base) = (self.platform.to_string(), base.to_string());
        let file = file.to_string_lossy();
        let args = [
            "--platform",
            &platform,
            "--output",
            "json",
            "catalogue",
            "apply",
            &file,
            "--author",
            name,
            "--base",
            &base,
        ];
        run(env!("CARGO_BIN_EXE_ibisctl").as_ref(), &args, CTL_BOUND).expect("ibisctl runs")
    }

    /// Prints the catalogue of a version.
    pub(crate) fn show(&self, version: u64) -> Value {
        let (platform, version) = (self.platform.to_string(), version.to_string());
        let args = ["--platform", &platform, "--output", "json", "catalogue", "show", &version];
        let output = run(env!("CARGO_BIN_EXE_ibisctl").as_ref(), &args, CTL_BOUND);
        let output = output.expect("ibisctl runs");
        assert_eq!(output.code, Some(0), "{}", output.stderr);
        serde_json::from_str(&output.stdout).expect("ibisctl prints the catalogue")
    }
}

/// Writes head and history rows by hand, past all checks, and returns the version. Without
/// `object` no body is stored.
pub(crate) fn write_head(cluster: &Cluster, digest: &str, object: Option<&[u8]>) -> u64 {
    let head =
        cluster.platform().row("head").map_or(0, |row| row.value["version"].as_u64().unwrap_or(0));
    let version = head + 1;
    cluster.platform().with_store(|store| {
        if let Some(bytes) = object {
            store.put_object(&format!("catalogue/{digest}"), bytes.to_vec().into());
        }
        let value = json!({"version": version, "digest": digest, "author": "by-hand",
                           "token": format!("by-hand-{version}"), "unix_ms": 0, "note": ""});
        let put = |key: String| Put { key, value: value.clone() };
        let puts = vec![put("head".to_string()), put(format!("history/{version:012}"))];
        store
            .transact(Transaction { puts, ..Transaction::default() })
            .expect("a transaction without conditions commits");
    });
    version
}

struct Watched {
    name: String,
    admin: SocketAddr,
    /// Highest version seen.
    highest: Mutex<u64>,
    /// Raised by each restart; samples that overlap one are dropped.
    restarts: AtomicUsize,
    /// Whether no version is allowed, as after a start.
    may_be_empty: AtomicBool,
    samples: AtomicUsize,
    broken: Mutex<Vec<String>>,
}

/// Samples the version in effect on each node until it is checked, and records each decrease, also
/// across restarts of a host.
pub(crate) struct VersionSampler {
    watched: Vec<Arc<Watched>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl VersionSampler {
    pub(crate) fn start(cluster: &Cluster) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let watch = |node: &Node| Watched {
            name: node.spec().name.clone(),
            admin: node.addresses().expect("the node has started").admin,
            highest: Mutex::new(0),
            restarts: AtomicUsize::new(0),
            may_be_empty: AtomicBool::new(true),
            samples: AtomicUsize::new(0),
            broken: Mutex::new(Vec::new()),
        };
        let watched: Vec<_> = cluster.nodes().iter().map(|node| Arc::new(watch(node))).collect();
        let threads = watched
            .iter()
            .map(|watched| {
                let (watched, stop) = (watched.clone(), stop.clone());
                std::thread::spawn(move || {
                    while !stop.load(Ordering::Relaxed) {
                        watched.sample();
                        // The sampling period; nothing waits for it.
                        std::thread::sleep(SAMPLE_PERIOD);
                    }
                })
            })
            .collect();
        Self { watched, stop, threads }
    }

    /// Tells that a node was killed, before it is started again.
    pub(crate) fn killed(&self, nodes: &[usize]) {
        for node in nodes {
            let watched = &self.watched[*node];
            watched.restarts.fetch_add(1, Ordering::SeqCst);
            watched.may_be_empty.store(true, Ordering::SeqCst);
        }
    }

    /// Ends the sampling and fails when a version decreased, or a node was not sampled at all.
    pub(crate) fn check(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("a sampler does not panic");
        }
        let broken: Vec<_> = self.watched.iter().flat_map(|w| lock(&w.broken).clone()).collect();
        let samples: Vec<_> =
            self.watched.iter().map(|w| w.samples.load(Ordering::Relaxed)).collect();
        println!("samples of each node: {samples:?}");
        assert!(broken.is_empty(), "versions decreased: {broken:#?}");
        assert!(samples.iter().all(|n| *n > 0), "a node was never sampled: {samples:?}");
    }
}

impl Drop for VersionSampler {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl Watched {
    fn sample(&self) {
        let restarts = self.restarts.load(Ordering::SeqCst);
        let request = Request::new("GET", format!("http://{}/status", self.admin));
        let Ok(response) = request.timeout(Duration::from_secs(1)).send() else { return };
        let Some(version) = response.json()["version"].as_u64() else { return };
        if self.restarts.load(Ordering::SeqCst) != restarts {
            return;
        }
        self.samples.fetch_add(1, Ordering::Relaxed);
        if version == 0 && self.may_be_empty.load(Ordering::SeqCst) {
            return;
        }
        self.may_be_empty.store(false, Ordering::SeqCst);
        let mut highest = lock(&self.highest);
        if version < *highest {
            let line = format!("{}: {version} after {} ({restarts} restarts)", self.name, *highest);
            lock(&self.broken).push(line);
        }
        *highest = version.max(*highest);
    }
}

/// Waits until `f` holds, within the usual bound of a step that prepares a fault.
pub(crate) fn eventually(what: &str, f: impl FnMut() -> bool) {
    wait::until_true(what, cluster::SOON, f).expect("the step that prepares the fault is reached");
}
