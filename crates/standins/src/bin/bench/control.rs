//! Control traffic, resources and convergence time over the number of nodes.
//!
//! Bytes and messages between nodes are counted by the relays in front of the nodes, and those
//! towards the platform by the platform stand-in, so that no counter of the node itself is trusted.
//! They are payload bytes without the headers of UDP, TCP and IP.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use clap::ArgMatches;
use eyre::OptionExt;
use serde_json::Value;
use serde_json::json;
use standins::chart;
use standins::harness::Cluster;
use standins::harness::Node;
use standins::measure;

use crate::catalogue;
use crate::value;

/// Time for the largest fleet to become ready.
const START_BOUND: Duration = Duration::from_secs(60);

/// Time within which a version must be in effect everywhere.
const CONVERGENCE_BOUND: Duration = Duration::from_secs(30);

/// Threads that ask the nodes for their version.
const POLLERS: usize = 8;

/// Nodes a data centre.
const NODES_PER_DATA_CENTRE: u8 = 64;

/// Caption of the chart.
const CAPTION: &str = "Idle control bytes per node and second";

/// Totals of a fleet at one moment.
struct Totals {
    at: Instant,
    bytes: u64,
    messages: u64,
    processor: Duration,
    resident_bytes: u64,
    reads: u64,
    writes: u64,
    refused: u64,
}

fn totals(cluster: &Cluster) -> eyre::Result<Totals> {
    let platform = cluster.platform().counters();
    let mut totals = Totals {
        at: Instant::now(),
        bytes: platform.bytes_in + platform.bytes_out,
        messages: 0,
        processor: Duration::ZERO,
        resident_bytes: 0,
        reads: platform.reads,
        writes: platform.writes,
        refused: platform.refused,
    };
    for node in cluster.nodes() {
        let udp = node.udp_relay().ok_or_eyre("the bench runs with relays")?.counters();
        let tcp = node.tcp_relay().ok_or_eyre("the bench runs with relays")?;
        // Each message is sent by one node and received by another; it counts for both.
        totals.bytes += 2 * (udp.bytes + tcp.bytes());
        totals.messages += 2 * udp.passed;
        let usage = measure::usage(node.process_id().ok_or_eyre("a node is down")?)?;
        totals.processor += usage.processor;
        totals.resident_bytes += usage.resident_bytes;
    }
    Ok(totals)
}

fn start(ibisrouted: &Path, nodes: u8) -> eyre::Result<Cluster> {
    let mut builder = Cluster::builder(ibisrouted).relays().log_level("warn");
    let mut left = nodes;
    let mut number = 1;
    while left > 0 {
        let count = left.min(NODES_PER_DATA_CENTRE);
        builder = builder.data_centre(&format!("erongo-{number}"), "erongo", count);
        left -= count;
        number += 1;
    }
    builder.start()
}

/// Times in ms from the write of the head until each node has the version in effect, and the
/// longest time between two looks at a node.
fn convergence(cluster: &Cluster, version: u64) -> eyre::Result<(Vec<f64>, f64)> {
    let start = Instant::now();
    let nodes: Vec<&Node> = cluster.nodes().iter().collect();
    let found = Mutex::new((Vec::new(), 0.0_f64));
    std::thread::scope(|scope| {
        for chunk in nodes.chunks(nodes.len().div_ceil(POLLERS)) {
            scope.spawn(|| {
                let mut waiting = chunk.to_vec();
                while !waiting.is_empty() && start.elapsed() < CONVERGENCE_BOUND {
                    let sweep = Instant::now();
                    waiting.retain(|node| {
                        if node.version().is_none_or(|v| v < version) {
                            return true;
                        }
                        if let Ok(mut found) = found.lock() {
                            found.0.push(start.elapsed().as_secs_f64() * 1000.0);
                        }
                        false
                    });
                    let sweep_ms = sweep.elapsed().as_secs_f64() * 1000.0;
                    if let Ok(mut found) = found.lock() {
                        found.1 = found.1.max(sweep_ms);
                    }
                }
            });
        }
    });
    let found = found.into_inner().map_err(|_| eyre::eyre!("a poller panicked"))?;
    eyre::ensure!(
        found.0.len() == nodes.len(),
        "only {} of {} nodes took version {version} within {} s",
        found.0.len(),
        nodes.len(),
        CONVERGENCE_BOUND.as_secs()
    );
    Ok(found)
}

fn measure_fleet(ibisrouted: &Path, nodes: u8, matches: &ArgMatches) -> eyre::Result<Value> {
    let window = Duration::from_secs(value(matches, "window-s")?);
    let changes = value(matches, "changes")?;
    let cluster = start(ibisrouted, nodes)?;
    cluster.wait_members(usize::from(nodes), START_BOUND)?;
    let version = cluster.apply(&catalogue("bench"))?;
    cluster.wait_version(version, START_BOUND)?;
    cluster.wait_ready(START_BOUND)?;

    let before = totals(&cluster)?;
    std::thread::sleep(window);
    let after = totals(&cluster)?;
    let seconds = (after.at - before.at).as_secs_f64();
    let n = f64::from(nodes);
    let rate = |after: u64, before: u64| (after - before) as f64 / seconds;

    let mut times = Vec::new();
    let mut resolution: f64 = 0.0;
    for change in 0..changes {
        let version = cluster.apply(&catalogue(&format!("bench-{change}")))?;
        let (found, sweep) = convergence(&cluster, version)?;
        times.extend(found);
        resolution = resolution.max(sweep);
    }
    let processor = after.processor.saturating_sub(before.processor).as_secs_f64();
    Ok(json!({
        "nodes": nodes,
        "bytes_per_node_s": rate(after.bytes, before.bytes) / n,
        "messages_per_node_s": rate(after.messages, before.messages) / n,
        "processor_percent_per_node": processor / seconds / n * 100.0,
        "resident_mb_per_node": after.resident_bytes as f64 / n / 1e6,
        "table_reads_per_s": rate(after.reads, before.reads),
        "table_writes_per_s": rate(after.writes, before.writes),
        "table_refused_per_s": rate(after.refused, before.refused),
        "convergence_ms": {
            "p50": measure::quantile(&times, 0.5),
            "p99": measure::quantile(&times, 0.99),
            "max": measure::quantile(&times, 1.0),
            "resolution": resolution,
        },
    }))
}

pub(crate) fn run(ibisrouted: &Path, matches: &ArgMatches) -> eyre::Result<Value> {
    let sizes: Vec<u8> = matches.get_many("nodes").unwrap_or_default().copied().collect();
    println!(
        "{:>5} {:>11} {:>9} {:>7} {:>7} {:>8} {:>9} {:>9} {:>9} {:>9}",
        "nodes",
        "B/node/s",
        "msg/n/s",
        "cpu %",
        "MB",
        "reads/s",
        "writes/s",
        "p50 ms",
        "p99 ms",
        "max ms"
    );
    let mut results = Vec::new();
    for nodes in sizes {
        let result = measure_fleet(ibisrouted, nodes, matches)?;
        let f = |name: &str| result[name].as_f64().unwrap_or_default();
        let t = |name: &str| result["convergence_ms"][name].as_f64().unwrap_or_default();
        println!(
            "{nodes:>5} {:>11.0} {:>9.1} {:>7.2} {:>7.1} {:>8.1} {:>9.2} {:>9.0} {:>9.0} {:>9.0}",
            f("bytes_per_node_s"),
            f("messages_per_node_s"),
            f("processor_percent_per_node"),
            f("resident_mb_per_node"),
            f("table_reads_per_s"),
            f("table_writes_per_s"),
            t("p50"),
            t("p99"),
            t("max"),
        );
        results.push(result);
    }
    let points: Vec<(f64, f64)> = results
        .iter()
        .filter_map(|r| Some((r["nodes"].as_f64()?, r["bytes_per_node_s"].as_f64()?)))
        .collect();
    let slope = measure::slope(&points);
    println!("slope: {slope:.2} bytes/s a node for each further node");
    if let Some(path) = matches.get_one::<PathBuf>("svg") {
        chart::draw(path, CAPTION, ("nodes", "bytes/s"), &points)?;
    }
    Ok(json!({"bench": "control", "slope_bytes_per_s_per_node": slope, "fleets": results}))
}
