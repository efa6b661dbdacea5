//! Model of the baseline, plain polling: each node reads the head row every second and the catalogue
//! object after a change. The settings of `ibisrouted` cannot switch its pushes off, so threads of the
//! bench stand for the nodes; they have no processor time or memory of their own to compare.

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
use crate::catalogue::Accepted;
use crate::catalogue::unix_ms;

/// Period of each poller.
const PERIOD: Duration = Duration::from_secs(1);

/// Time within which a change must have reached every poller.
const BOUND: Duration = Duration::from_secs(10);

/// When each poller had each version, in Unix ms.
type Found = Arc<Mutex<BTreeMap<u64, Vec<f64>>>>;

struct Pollers {
    stop: Arc<AtomicBool>,
    found: Found,
    threads: Vec<JoinHandle<()>>,
}

impl Pollers {
    fn start(platform: SocketAddr, count: u8) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let found = Found::default();
        let poller = |index: u8| {
            let (stop, found) = (stop.clone(), found.clone());
            std::thread::spawn(move || poll(platform, index.into(), &stop, &found))
        };
        let threads = (0..count).map(poller).collect();
        Self { stop, found, threads }
    }

    fn wait(&self, version: u64, count: u8) -> eyre::Result<Vec<f64>> {
        standins::wait::until("the pollers to have a version", BOUND, || {
            let found = self.found.lock().ok()?;
            found.get(&version).filter(|times| times.len() == usize::from(count)).cloned()
        })
    }
}

impl Drop for Pollers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn poll(platform: SocketAddr, seed: u64, stop: &AtomicBool, found: &Found) {
    let mut rng = SmallRng::seed_from_u64(seed);
    std::thread::sleep(PERIOD.mul_f64(rng.random_range(0.0..1.0)));
    let mut held = 0;
    let mut next = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        if let Some(version) = take_newer(platform, held) {
            held = version;
            if let Ok(mut found) = found.lock() {
                found.entry(version).or_default().push(unix_ms());
            }
        }
        next += PERIOD;
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// Reads the head and, when it is higher than `held`, its object.
fn take_newer(platform: SocketAddr, held: u64) -> Option<u64> {
    let row = http::get(format!("http://{platform}/table/row?key=head")).ok()?;
    let row = (row.status == 200).then(|| row.json())?;
    let version = row["value"]["version"].as_u64().filter(|version| *version > held)?;
    let digest = row["value"]["digest"].as_str()?;
    let object = http::get(format!("http://{platform}/objects/catalogue/{digest}")).ok()?;
    (object.status == 200).then_some(version)
}

/// Rates and convergence of `count` pollers at the platform of `cluster`, whose nodes are not
/// counted: they must be down.
pub(crate) fn measure(
    cluster: &Cluster,
    count: u8,
    window: Duration,
    changes: u64,
    next: &mut u64,
) -> eyre::Result<Value> {
    let relay = cluster.platform_relay();
    let platform = cluster.platform();
    let bytes_now = || match relay {
        Some(relay) => relay.bytes(),
        None => platform.counters().bytes_in + platform.counters().bytes_out,
    };
    let addr = relay.map_or(platform.addr(), standins::relay::TcpRelay::addr);
    let pollers = Pollers::start(addr, count);
    let n = f64::from(count);
    let mut accept = || -> eyre::Result<Accepted> {
        *next += 1;
        catalogue::accept(cluster, catalogue::bytes(*next)?)
    };
    pollers.wait(accept()?.version, count)?;

    let (start, bytes) = (Instant::now(), bytes_now());
    let reads = cluster.platform().counters().reads;
    std::thread::sleep(window);
    let seconds = start.elapsed().as_secs_f64();
    let bytes_per_s = (bytes_now() - bytes) as f64 / seconds;
    let reads_per_s = (cluster.platform().counters().reads - reads) as f64 / seconds;

    let (start, bytes) = (Instant::now(), bytes_now());
    let (mut all, mut last) = (Vec::new(), Vec::new());
    for _ in 0..changes {
        let accepted = accept()?;
        let times = pollers.wait(accepted.version, count)?;
        let times: Vec<f64> = times.iter().map(|at| (at - accepted.unix_ms).max(0.0)).collect();
        last.push(times.iter().copied().fold(0.0, f64::max));
        all.extend(times);
    }
    let idle = bytes_per_s * start.elapsed().as_secs_f64();
    let change_bytes = ((bytes_now() - bytes) as f64 - idle) / changes.max(1) as f64;
    Ok(json!({
        "idle": {"table_reads_per_s": reads_per_s, "bytes_per_node_s": bytes_per_s / n},
        "convergence_ms": {
            "node_p50": measure::quantile(&all, 0.5),
            "node_p99": measure::quantile(&all, 0.99),
            "last_p50": measure::quantile(&last, 0.5),
            "last_max": measure::quantile(&last, 1.0),
        },
        "change_bytes_per_node": change_bytes / n,
    }))
}
