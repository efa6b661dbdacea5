//! Simulates plain polling as the baseline: each node reads the head row every second, and the
//! catalogue object after a change. `ibisrouted` has no setting that disables its pushes, so
//! threads of the benchmark act as the nodes; they have no processor time or memory of their own to
//! compare.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;
use standins::harness::Cluster;
use standins::http;
use standins::measure;

use crate::catalogue;
use crate::catalogue::AcceptedVersion;
use crate::catalogue::unix_ms;

/// Time between two reads of the head row by one poller.
const POLL_PERIOD: Duration = Duration::from_secs(1);

/// Time limit for a change to reach every poller.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Unix times in ms at which pollers finished fetching a version, by version.
type FetchTimes = Arc<Mutex<BTreeMap<u64, Vec<f64>>>>;

struct Pollers {
    stop_requested: Arc<AtomicBool>,
    fetch_times: FetchTimes,
    threads: Vec<JoinHandle<()>>,
}

impl Pollers {
    fn start(platform: SocketAddr, count: u8) -> Self {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let fetch_times = FetchTimes::default();
        let poller = |index: u8| {
            let (stop_requested, fetch_times) = (stop_requested.clone(), fetch_times.clone());
            std::thread::spawn(move || poll(platform, index.into(), &stop_requested, &fetch_times))
        };
        let threads = (0..count).map(poller).collect();
        Self { stop_requested, fetch_times, threads }
    }

    /// Waits until all `count` pollers have fetched `version` and returns the times.
    fn wait_until_fetched(&self, version: u64, count: u8) -> eyre::Result<Vec<f64>> {
        standins::wait::until("all pollers to have fetched a version", CONVERGENCE_TIMEOUT, || {
            let fetch_times = self.fetch_times.lock().ok()?;
            fetch_times.get(&version).filter(|times| times.len() == usize::from(count)).cloned()
        })
    }
}

impl Drop for Pollers {
    fn drop(&mut self) {
        self.stop_requested.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Reads the head row once per [`POLL_PERIOD`]. The first read follows after a random part of the
/// period, so that the pollers do not read at the same time.
fn poll(platform: SocketAddr, seed: u64, stop_requested: &AtomicBool, fetch_times: &FetchTimes) {
    let mut rng = SmallRng::seed_from_u64(seed);
    std::thread::sleep(POLL_PERIOD.mul_f64(rng.random_range(0.0..1.0)));
    let mut current_version = 0;
    let mut next_poll = Instant::now();
    while !stop_requested.load(Ordering::Relaxed) {
        if let Some(version) = fetch_newer(platform, current_version) {
            current_version = version;
            if let Ok(mut fetch_times) = fetch_times.lock() {
                fetch_times.entry(version).or_default().push(unix_ms());
            }
        }
        next_poll += POLL_PERIOD;
        std::thread::sleep(next_poll.saturating_duration_since(Instant::now()));
    }
}

/// Reads the head row and, if its version is higher than `current_version`, the catalogue object.
/// Returns the version once the object has been read.
fn fetch_newer(platform: SocketAddr, current_version: u64) -> Option<u64> {
    let row = http::get(format!("http://{platform}/table/row?key=head")).ok()?;
    let row = (row.status == 200).then(|| row.json())?;
    let version = row["value"]["version"].as_u64().filter(|version| *version > current_version)?;
    let digest = row["value"]["digest"].as_str()?;
    let object = http::get(format!("http://{platform}/objects/catalogue/{digest}")).ok()?;
    (object.status == 200).then_some(version)
}

/// Measures the request rates and the convergence time of `count` pollers at the platform of
/// `cluster`, over `idle_window` and over `changes` further versions. The nodes must be down,
/// because their requests would be counted too.
pub(crate) fn measure(
    cluster: &Cluster,
    count: u8,
    idle_window: Duration,
    changes: u64,
    last_change: &mut u64,
) -> eyre::Result<Value> {
    let relay = cluster.platform_relay();
    let platform = cluster.platform();
    let bytes_now = || match relay {
        Some(relay) => relay.bytes(),
        None => platform.counters().bytes_in + platform.counters().bytes_out,
    };
    let addr = relay.map_or(platform.addr(), standins::relay::TcpRelay::addr);
    let pollers = Pollers::start(addr, count);
    let poller_count = f64::from(count);
    let mut publish = || -> eyre::Result<AcceptedVersion> {
        *last_change += 1;
        catalogue::publish(cluster, catalogue::bytes(*last_change)?)
    };
    pollers.wait_until_fetched(publish()?.version, count)?;

    let (start, bytes_before) = (Instant::now(), bytes_now());
    let reads_before = cluster.platform().counters().reads;
    std::thread::sleep(idle_window);
    let seconds = start.elapsed().as_secs_f64();
    let bytes_per_s = (bytes_now() - bytes_before) as f64 / seconds;
    let reads_per_s = (cluster.platform().counters().reads - reads_before) as f64 / seconds;

    let (start, bytes_before) = (Instant::now(), bytes_now());
    let (mut node_times, mut last_node_times) = (Vec::new(), Vec::new());
    for _ in 0..changes {
        let accepted = publish()?;
        let times = pollers.wait_until_fetched(accepted.version, count)?;
        let times: Vec<f64> = times.iter().map(|at| (at - accepted.unix_ms).max(0.0)).collect();
        last_node_times.push(times.iter().copied().fold(0.0, f64::max));
        node_times.extend(times);
    }
    let idle_bytes = bytes_per_s * start.elapsed().as_secs_f64();
    let change_bytes = ((bytes_now() - bytes_before) as f64 - idle_bytes) / changes.max(1) as f64;
    Ok(json!({
        "idle": {"table_reads_per_s": reads_per_s, "bytes_per_node_s": bytes_per_s / poller_count},
        "convergence_ms": {
            "node_p50": measure::quantile(&node_times, 0.5),
            "node_p99": measure::quantile(&node_times, 0.99),
            "last_p50": measure::quantile(&last_node_times, 0.5),
            "last_max": measure::quantile(&last_node_times, 1.0),
        },
        "change_bytes_per_node": change_bytes / poller_count,
    }))
}
