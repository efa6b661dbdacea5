//! Helpers for clusters under failure: version samplers, operators, invalid versions and
//! convergence times.

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

/// Largest number of clusters that run concurrently in one test binary.
const MAX_CLUSTERS: usize = 2;

/// Longest wait for the cluster of another test to end.
const CLUSTER_SLOT_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval between two samples of one node.
const SAMPLE_PERIOD: Duration = Duration::from_millis(20);

/// Timeout of a run of `ibisctl`.
const CTL_TIMEOUT: Duration = Duration::from_secs(30);

static RUNNING_CLUSTERS: Mutex<usize> = Mutex::new(0);
static CLUSTER_ENDED: Condvar = Condvar::new();

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Permit to run one cluster; released on drop.
pub(crate) struct ClusterSlot;

/// Waits until fewer than [`MAX_CLUSTERS`] clusters run in this test binary.
pub(crate) fn acquire_slot() -> ClusterSlot {
    let (mut running, timeout) = CLUSTER_ENDED
        .wait_timeout_while(lock(&RUNNING_CLUSTERS), CLUSTER_SLOT_TIMEOUT, |running| {
            *running >= MAX_CLUSTERS
        })
        .unwrap_or_else(PoisonError::into_inner);
    assert!(
        !timeout.timed_out(),
        "no other cluster ended within {} s",
        CLUSTER_SLOT_TIMEOUT.as_secs()
    );
    *running += 1;
    ClusterSlot
}

impl Drop for ClusterSlot {
    fn drop(&mut self) {
        *lock(&RUNNING_CLUSTERS) -= 1;
        CLUSTER_ENDED.notify_one();
    }
}

/// Returns a builder with relays whose nodes connect to the platform and to peers from their own
/// address, so that relays can partition them by source address. `data_centres` holds the number of
/// nodes in each data centre.
pub(crate) fn relayed_builder(data_centres: &[u8]) -> Builder {
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

/// Returns [`cluster::catalogue`] with an owner that contains `number`, so that each number has a
/// different digest.
pub(crate) fn catalogue(number: u64) -> Value {
    let mut document = cluster::catalogue();
    document["services"][0]["owner"] = json!(format!("desk-{number}@kuiseb.example"));
    document
}

/// Starts a cluster and waits until all nodes list each other as members and serve version 1.
pub(crate) fn start_cluster(builder: Builder) -> Cluster {
    let cluster = builder.start().expect("nodes start");
    let version = cluster::apply(&cluster, &catalogue(1));
    assert_eq!(version, 1);
    cluster.wait_ready(cluster::WAIT_TIMEOUT).expect("all nodes serve");
    cluster
        .wait_members(cluster.nodes().len(), cluster::WAIT_TIMEOUT)
        .expect("all nodes are members");
    cluster
}

/// Applies catalogue `number` and returns its version and the time of its acceptance.
pub(crate) fn apply_numbered_catalogue(cluster: &Cluster, number: u64) -> (u64, Instant) {
    let version = cluster::apply(cluster, &catalogue(number));
    (version, Instant::now())
}

/// Waits until the version is in effect on all running nodes and prints the time that this took.
/// Fails after [`cluster::CONVERGENCE_BOUND`] from `since`.
pub(crate) fn wait_in_effect(cluster: &Cluster, version: u64, since: Instant, description: &str) {
    let remaining = cluster::CONVERGENCE_BOUND.saturating_sub(since.elapsed());
    let result = cluster.wait_version(version, remaining);
    println!(
        "{description}: version {version} everywhere after {} ms",
        since.elapsed().as_millis()
    );
    result.expect("the version is in effect everywhere in time");
}

/// Waits until all running nodes serve at least this version and prints the time that this took.
/// Fails after [`cluster::CONVERGENCE_BOUND`] from `since`.
pub(crate) fn wait_serving(cluster: &Cluster, version: u64, since: Instant, description: &str) {
    let remaining = cluster::CONVERGENCE_BOUND.saturating_sub(since.elapsed());
    let result = cluster.wait_all("serving nodes", remaining, |node| {
        node.is_ready() && node.version().is_some_and(|v| v >= version)
    });
    println!("{description}: serving again after {} ms", since.elapsed().as_millis());
    result.expect("all nodes serve again in time");
}

/// Sends a call to the node and returns whether it is refused as "not run" because the node has no
/// configuration yet.
pub(crate) fn refuses_as_starting(node: &Node) -> bool {
    let caller = node.addresses().expect("the node has started").caller;
    let response = Request::new("GET", format!("http://{caller}/counter/sheets"))
        .header("X-Ibis-Deadline-Ms", "1000")
        .send()
        .expect("a node responds to calls while it starts");
    let not_run = response.header("x-ibis-outcome") == Some("not-run");
    let reason = response.json()["reason"].as_str().unwrap_or_default().to_string();
    response.status == 503 && not_run && reason == "the node has no configuration yet"
}

/// An operator who runs `ibisctl`; can be used from any thread.
#[derive(Clone)]
pub(crate) struct Operator {
    platform: SocketAddr,
    folder: PathBuf,
}

impl Operator {
    /// Creates an operator who writes to the platform of `cluster`.
    pub(crate) fn new(cluster: &Cluster) -> Self {
        Self { platform: cluster.platform().addr(), folder: cluster.folder().to_path_buf() }
    }

    /// Applies a document with the author `name`, on condition that `base` is the current version.
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
        run(env!("CARGO_BIN_EXE_ibisctl").as_ref(), &args, CTL_TIMEOUT).expect("ibisctl runs")
    }

    /// Returns the catalogue of a version.
    pub(crate) fn show(&self, version: u64) -> Value {
        let (platform, version) = (self.platform.to_string(), version.to_string());
        let args = ["--platform", &platform, "--output", "json", "catalogue", "show", &version];
        let output = run(env!("CARGO_BIN_EXE_ibisctl").as_ref(), &args, CTL_TIMEOUT);
        let output = output.expect("ibisctl runs");
        assert_eq!(output.exit_code, Some(0), "{}", output.stderr);
        serde_json::from_str(&output.stdout).expect("ibisctl prints the catalogue")
    }
}

/// Writes head and history rows directly, without the checks of `ibisctl`, and returns the version.
/// The body of the catalogue is stored only if `object` is given.
pub(crate) fn write_head(cluster: &Cluster, digest: &str, object: Option<&[u8]>) -> u64 {
    let head_version =
        cluster.platform().row("head").map_or(0, |row| row.value["version"].as_u64().unwrap_or(0));
    let version = head_version + 1;
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

struct SampledNode {
    name: String,
    admin: SocketAddr,
    /// Highest version sampled so far.
    highest_version: Mutex<u64>,
    /// Number of restarts; samples that overlap a restart are discarded.
    restarts: AtomicUsize,
    /// Whether version 0 is allowed, which a node reports between its start and its first
    /// configuration.
    may_have_no_version: AtomicBool,
    /// Number of samples that were not discarded.
    samples: AtomicUsize,
    /// Descriptions of the observed decreases of a version.
    decreases: Mutex<Vec<String>>,
}

/// Samples the version in effect on each node until [`check`](Self::check), and records each
/// decrease, including decreases across restarts of a node.
pub(crate) struct VersionSampler {
    nodes: Vec<Arc<SampledNode>>,
    stop_requested: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl VersionSampler {
    pub(crate) fn start(cluster: &Cluster) -> Self {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let sampled = |node: &Node| SampledNode {
            name: node.spec().name.clone(),
            admin: node.addresses().expect("the node has started").admin,
            highest_version: Mutex::new(0),
            restarts: AtomicUsize::new(0),
            may_have_no_version: AtomicBool::new(true),
            samples: AtomicUsize::new(0),
            decreases: Mutex::new(Vec::new()),
        };
        let nodes: Vec<_> = cluster.nodes().iter().map(|node| Arc::new(sampled(node))).collect();
        let threads = nodes
            .iter()
            .map(|node| {
                let (node, stop_requested) = (node.clone(), stop_requested.clone());
                std::thread::spawn(move || {
                    while !stop_requested.load(Ordering::Relaxed) {
                        node.sample();
                        // Only paces the samples; no step of a test depends on it.
                        std::thread::sleep(SAMPLE_PERIOD);
                    }
                })
            })
            .collect();
        Self { nodes, stop_requested, threads }
    }

    /// Records that nodes were killed. Must be called before they are started again.
    pub(crate) fn record_kill(&self, nodes: &[usize]) {
        for node in nodes {
            let sampled = &self.nodes[*node];
            sampled.restarts.fetch_add(1, Ordering::SeqCst);
            sampled.may_have_no_version.store(true, Ordering::SeqCst);
        }
    }

    /// Stops sampling. Fails if a version decreased or a node was never sampled.
    pub(crate) fn check(mut self) {
        self.stop_requested.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("a sampler does not panic");
        }
        let decreases: Vec<_> =
            self.nodes.iter().flat_map(|node| lock(&node.decreases).clone()).collect();
        let samples: Vec<_> =
            self.nodes.iter().map(|node| node.samples.load(Ordering::Relaxed)).collect();
        println!("samples of each node: {samples:?}");
        assert!(decreases.is_empty(), "versions decreased: {decreases:#?}");
        assert!(samples.iter().all(|n| *n > 0), "a node was never sampled: {samples:?}");
    }
}

impl Drop for VersionSampler {
    fn drop(&mut self) {
        self.stop_requested.store(true, Ordering::Relaxed);
    }
}

impl SampledNode {
    /// Reads the version in effect once; does nothing if the node does not respond.
    fn sample(&self) {
        let restarts = self.restarts.load(Ordering::SeqCst);
        let request = Request::new("GET", format!("http://{}/status", self.admin));
        let Ok(response) = request.timeout(Duration::from_secs(1)).send() else { return };
        let Some(version) = response.json()["version"].as_u64() else { return };
        if self.restarts.load(Ordering::SeqCst) != restarts {
            return;
        }
        self.samples.fetch_add(1, Ordering::Relaxed);
        if version == 0 && self.may_have_no_version.load(Ordering::SeqCst) {
            return;
        }
        self.may_have_no_version.store(false, Ordering::SeqCst);
        let mut highest_version = lock(&self.highest_version);
        if version < *highest_version {
            let decrease = format!(
                "{}: {version} after {} ({restarts} restarts)",
                self.name, *highest_version
            );
            lock(&self.decreases).push(decrease);
        }
        *highest_version = version.max(*highest_version);
    }
}

/// Waits until `f` returns true. Tests use this to reach the state in which they inject a fault.
pub(crate) fn eventually(description: &str, f: impl FnMut() -> bool) {
    wait::until_true(description, cluster::WAIT_TIMEOUT, f)
        .expect("the step that prepares the fault is reached");
}
