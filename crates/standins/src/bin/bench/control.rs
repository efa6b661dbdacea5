//! Control traffic, resources and convergence time over the number of nodes.
//!
//! Bytes and messages are counted by the relays in front of the nodes and of the platform, so that no
//! counter of the node itself is trusted. They are payload bytes without the headers of UDP, TCP and
//! IP. Above [`RELAYED_NODES`] there are no relays: datagrams come from the nodes' own counters with
//! 28 bytes of headers each, the platform counts bodies only, and streams are not counted.
//! Convergence times come from the nodes' `configuration_applied` events; all processes share
//! one clock.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use clap::ArgMatches;
use eyre::OptionExt;
use serde_json::Value;
use serde_json::json;
use standins::harness::Cluster;
use standins::harness::Node;
use standins::measure;
use standins::platform::faults::PlatformFaults;
use standins::target::TargetOptions;

use crate::catalogue;
use crate::catalogue::Accepted;
use crate::catalogue::unix_ms;
use crate::polling;
use crate::summary;
use crate::value;

/// Time for the largest fleet to become ready.
const START_BOUND: Duration = Duration::from_secs(60);

/// Time within which a version must be in effect everywhere.
const CONVERGENCE_BOUND: Duration = Duration::from_secs(30);

/// Gap between a change and the first look at the nodes, so that looking does not disturb.
const LOOK_AFTER: Duration = Duration::from_millis(700);

/// Gap between looks.
const LOOK_AGAIN: Duration = Duration::from_millis(300);

/// Threads that read the nodes' events.
const READERS: usize = 8;

/// Nodes a data centre.
const NODES_PER_DATA_CENTRE: u8 = 64;

/// Largest fleet with relays. A UDP relay opens a socket for each sender, and 128 nodes would need
/// more than the 20,000 files that a process may open.
const RELAYED_NODES: u8 = 100;

/// Number of the event `configuration_applied`.
const APPLIED: u64 = 3003;

/// Changes with a slow platform, and with plain polling.
const FEW_CHANGES: u64 = 3;

/// Latency of each request to the slow platform, in ms.
const SLOW_MS: u64 = 300;

/// Nodes that are restarted one by one.
const RESTARTS: usize = 2;

/// Time in which the effects of one restart are counted.
const RESTART_WINDOW: Duration = Duration::from_secs(3);

/// Time after a herd restart in which the table's reads are counted.
const HERD_WINDOW: Duration = Duration::from_secs(3);

/// Totals of a fleet at one moment. Each message between nodes counts for its sender and its
/// receiver.
struct Totals {
    at: Instant,
    datagrams: u64,
    datagram_bytes: u64,
    stream_bytes: u64,
    platform_bytes: u64,
    processor: Duration,
    resident_bytes: u64,
    reads: u64,
    writes: u64,
    refused: u64,
}

impl Totals {
    fn of(cluster: &Cluster) -> eyre::Result<Self> {
        let platform = cluster.platform().counters();
        let platform_bytes = match cluster.platform_relay() {
            Some(relay) => relay.bytes(),
            None => platform.bytes_in + platform.bytes_out,
        };
        let mut totals = Self {
            at: Instant::now(),
            datagrams: 0,
            datagram_bytes: 0,
            stream_bytes: 0,
            platform_bytes,
            processor: Duration::ZERO,
            resident_bytes: 0,
            reads: platform.reads,
            writes: platform.writes,
            refused: platform.refused,
        };
        for node in cluster.nodes() {
            if let (Some(udp), Some(tcp)) = (node.udp_relay(), node.tcp_relay()) {
                totals.datagrams += 2 * udp.counters().passed;
                totals.datagram_bytes += 2 * udp.counters().bytes;
                totals.stream_bytes += 2 * tcp.bytes();
            } else {
                totals.datagrams += counter(node, "ibis_control_datagrams_sent_total")
                    + counter(node, "ibis_control_datagrams_received_total");
                totals.datagram_bytes += counter(node, "ibis_control_bytes_sent_total")
                    + counter(node, "ibis_control_bytes_received_total");
            }
            let usage = measure::usage(node.process_id().ok_or_eyre("a node is down")?)?;
            totals.processor += usage.processor;
            totals.resident_bytes += usage.resident_bytes;
        }
        Ok(totals)
    }

    fn bytes(&self) -> u64 {
        self.datagram_bytes + self.stream_bytes + self.platform_bytes
    }

    /// Bytes since `before` beyond those that `idle_per_s` explains.
    fn extra_bytes(&self, before: &Self, idle_per_s: f64) -> f64 {
        let idle = idle_per_s * (self.at - before.at).as_secs_f64();
        self.bytes() as f64 - before.bytes() as f64 - idle
    }
}

/// Starts a fleet with the first version in effect on all nodes.
fn start(ibisrouted: &Path, nodes: u8, targets: bool) -> eyre::Result<Cluster> {
    let mut builder = Cluster::builder(ibisrouted).log_level("warn");
    if nodes <= RELAYED_NODES {
        builder = builder.relays();
    }
    let mut left = nodes;
    let mut number = 1;
    while left > 0 {
        let count = left.min(NODES_PER_DATA_CENTRE);
        builder = builder.data_centre(&format!("erongo-{number}"), "erongo", count);
        left -= count;
        number += 1;
    }
    let mut cluster = builder.start()?;
    cluster.wait_members(usize::from(nodes), START_BOUND)?;
    let accepted = catalogue::accept(&cluster, catalogue::bytes(0)?)?;
    cluster.wait_version(accepted.version, START_BOUND)?;
    cluster.wait_ready(START_BOUND)?;
    if targets {
        for (index, service) in catalogue::services().cycle().take(usize::from(nodes)).enumerate() {
            let instance = format!("{service}-{index}");
            cluster.start_target(
                index,
                TargetOptions { service, instance, ..TargetOptions::default() },
            )?;
        }
        cluster.wait_targets(usize::from(nodes), START_BOUND)?;
    }
    Ok(cluster)
}

/// When a node took a version into effect, by version, in Unix ms.
fn applied(node: &Node) -> Option<BTreeMap<u64, f64>> {
    let body = node.admin("/events")?.json();
    let events = body["events"].as_array()?;
    let applied = events.iter().filter(|event| event["number"] == APPLIED);
    applied
        .map(|event| {
            let mut words = event["detail"].as_str()?.split_whitespace();
            let version = words.find(|word| *word != "version")?.parse().ok()?;
            Some((version, event["unix_ms"].as_f64()?))
        })
        .collect()
}

/// When each node took `version`, or a higher one, into effect; in Unix ms, in the order of nodes.
fn applied_times(cluster: &Cluster, version: u64) -> eyre::Result<Vec<f64>> {
    let start = Instant::now();
    let nodes: Vec<(usize, &Node)> = cluster.nodes().iter().enumerate().collect();
    let found = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for chunk in nodes.chunks(nodes.len().div_ceil(READERS)) {
            scope.spawn(|| {
                let mut waiting = chunk.to_vec();
                while !waiting.is_empty() && start.elapsed() < CONVERGENCE_BOUND {
                    waiting.retain(|(index, node)| {
                        let times = applied(node).unwrap_or_default();
                        let Some((_, at)) = times.range(version..).next() else { return true };
                        if let Ok(mut found) = found.lock() {
                            found.insert(*index, *at);
                        }
                        false
                    });
                    if !waiting.is_empty() {
                        std::thread::sleep(LOOK_AGAIN);
                    }
                }
            });
        }
    });
    let found = found.into_inner().map_err(|_| eyre::eyre!("a reader panicked"))?;
    eyre::ensure!(
        found.len() == nodes.len(),
        "only {} of {} nodes took version {version} within {} s",
        found.len(),
        nodes.len(),
        CONVERGENCE_BOUND.as_secs()
    );
    Ok(found.into_values().collect())
}

/// Convergence times in ms.
#[derive(Default)]
struct Convergence {
    /// Of each node and change.
    nodes: Vec<f64>,
    /// Of the last node of each change.
    last: Vec<f64>,
}

impl Convergence {
    fn add(&mut self, cluster: &Cluster, accepted: Accepted) -> eyre::Result<()> {
        let times = applied_times(cluster, accepted.version)?;
        let times: Vec<f64> = times.iter().map(|at| (at - accepted.unix_ms).max(0.0)).collect();
        self.last.push(times.iter().copied().fold(0.0, f64::max));
        self.nodes.extend(times);
        Ok(())
    }

    /// Accepts versions one after the other and waits for each.
    fn measure(cluster: &Cluster, changes: u64, next: &mut u64) -> eyre::Result<Self> {
        let mut convergence = Self::default();
        for _ in 0..changes {
            *next += 1;
            let accepted = catalogue::accept(cluster, catalogue::bytes(*next)?)?;
            std::thread::sleep(LOOK_AFTER);
            convergence.add(cluster, accepted)?;
        }
        Ok(convergence)
    }

    fn result(&self) -> Value {
        json!({
            "changes": self.last.len(),
            "node_p50": measure::quantile(&self.nodes, 0.5),
            "node_p99": measure::quantile(&self.nodes, 0.99),
            "last_p50": measure::quantile(&self.last, 0.5),
            "last_p99": measure::quantile(&self.last, 0.99),
            "last_max": measure::quantile(&self.last, 1.0),
        })
    }
}

/// Sum of a counter of the node itself over its labels; 0 without an answer.
fn counter(node: &Node, name: &str) -> u64 {
    let Some(response) = node.admin("/metrics") else { return 0 };
    let text = String::from_utf8_lossy(&response.body);
    let values = text.lines().filter_map(|line| {
        let rest = line.strip_prefix(name)?;
        let value = rest.rsplit_once(' ')?.1;
        (rest.starts_with('{') || rest.starts_with(' ')).then(|| value.parse::<u64>().ok())?
    });
    values.sum()
}

/// Full state transfers that the nodes have asked for since their start.
fn transfers(cluster: &Cluster) -> u64 {
    cluster.nodes().iter().map(|node| counter(node, "ibis_membership_joins_total")).sum()
}

/// Rates while nothing changes, and the bytes per second of the whole fleet.
fn idle(cluster: &Cluster, window: Duration) -> eyre::Result<(Value, f64)> {
    let transfers_before = transfers(cluster);
    let before = Totals::of(cluster)?;
    std::thread::sleep(window);
    let after = Totals::of(cluster)?;
    let transfers = (transfers(cluster) - transfers_before) as f64;
    let stream_bytes = (after.stream_bytes - before.stream_bytes) as f64;
    let seconds = (after.at - before.at).as_secs_f64();
    let n = cluster.nodes().len() as f64;
    let rate = |after: u64, before: u64| after.saturating_sub(before) as f64 / seconds;
    let bytes = rate(after.bytes(), before.bytes());
    let processor = after.processor.saturating_sub(before.processor).as_secs_f64();
    let result = json!({
        "bytes_per_node_s": bytes / n,
        "datagram_bytes_per_node_s": rate(after.datagram_bytes, before.datagram_bytes) / n,
        "stream_bytes_per_node_s": rate(after.stream_bytes, before.stream_bytes) / n,
        "platform_bytes_per_node_s": rate(after.platform_bytes, before.platform_bytes) / n,
        "state_transfers_per_node_s": transfers / seconds / n,
        // A transfer counts for its sender and its receiver.
        "state_transfer_bytes": stream_bytes / transfers.max(1.0) / 2.0,
        "messages_per_node_s": rate(after.datagrams, before.datagrams) / n,
        "processor_percent_per_node": processor / seconds / n * 100.0,
        "resident_mb_per_node": after.resident_bytes as f64 / n / 1e6,
        "table_reads_per_s": rate(after.reads, before.reads),
        "table_writes_per_s": rate(after.writes, before.writes),
        "table_refused_per_s": rate(after.refused, before.refused),
    });
    Ok((result, bytes))
}

/// Bytes that the whole fleet spends on a configuration change, and the convergence times.
fn changes(
    cluster: &Cluster,
    count: u64,
    next: &mut u64,
    idle_bytes: f64,
) -> eyre::Result<(Convergence, f64)> {
    let before = Totals::of(cluster)?;
    let convergence = Convergence::measure(cluster, count, next)?;
    let bytes = Totals::of(cluster)?.extra_bytes(&before, idle_bytes);
    Ok((convergence, bytes / count.max(1) as f64))
}

/// Bytes that the whole fleet spends on the restart of a node.
fn restarts(cluster: &mut Cluster, idle_bytes: f64) -> eyre::Result<f64> {
    let before = Totals::of(cluster)?;
    for index in 0..RESTARTS {
        cluster.restart_nodes(&[index])?;
        std::thread::sleep(RESTART_WINDOW);
    }
    Ok(Totals::of(cluster)?.extra_bytes(&before, idle_bytes) / RESTARTS as f64)
}

/// Restarts half of the nodes at once and accepts a version as soon as they run.
fn herd(cluster: &mut Cluster, next: &mut u64) -> eyre::Result<Value> {
    let half: Vec<usize> = (0..cluster.nodes().len()).step_by(2).collect();
    cluster.kill_nodes(&half)?;
    let before = cluster.platform().counters();
    let started = unix_ms();
    cluster.start_nodes(&half)?;
    let printed = unix_ms();
    let totals = Totals::of(cluster)?;
    *next += 1;
    let accepted = catalogue::accept(cluster, catalogue::bytes(*next)?)?;
    std::thread::sleep(HERD_WINDOW);
    let bytes = Totals::of(cluster)?.extra_bytes(&totals, 0.0);
    let after = cluster.platform().counters();
    let mut convergence = Convergence::default();
    convergence.add(cluster, accepted)?;
    let first: Vec<f64> = half
        .iter()
        .filter_map(|index| applied(cluster.node(*index))?.into_values().next())
        .map(|at| at - started)
        .collect();
    Ok(json!({
        "restarted": half.len(),
        "bytes_per_node_s": bytes / cluster.nodes().len() as f64 / HERD_WINDOW.as_secs_f64(),
        "processes_started_ms": printed - started,
        "first_configuration_p50_ms": measure::quantile(&first, 0.5),
        "first_configuration_max_ms": measure::quantile(&first, 1.0),
        "convergence_ms": convergence.result(),
        "table_reads": after.reads - before.reads,
        "table_writes": after.writes - before.writes,
        "table_refused": after.refused - before.refused,
    }))
}

fn measure_fleet(ibisrouted: &Path, nodes: u8, matches: &ArgMatches) -> eyre::Result<Value> {
    let window = Duration::from_secs(value(matches, "window-s")?);
    let settle = Duration::from_secs(value(matches, "settle-s")?);
    let load_before = crate::load_average();
    let targets = value(matches, "targets")? > 0;
    let mut next = 0;

    let mut cluster = start(ibisrouted, nodes, targets)?;
    std::thread::sleep(settle);
    let (idle_rates, idle_bytes) = idle(&cluster, window)?;
    let count = value(matches, "changes")?;
    let (convergence, change_bytes) = changes(&cluster, count, &mut next, idle_bytes)?;
    cluster
        .platform()
        .set_faults(PlatformFaults { latency_ms: (SLOW_MS, SLOW_MS), ..PlatformFaults::default() });
    let slow = Convergence::measure(&cluster, FEW_CHANGES, &mut next)?;
    cluster.platform().set_faults(PlatformFaults::default());
    let restart_bytes = restarts(&mut cluster, idle_bytes)?;
    let herd = herd(&mut cluster, &mut next)?;

    let all: Vec<usize> = (0..usize::from(nodes)).collect();
    cluster.kill_nodes(&all)?;
    let polling = polling::measure(&cluster, nodes, window / 2, FEW_CHANGES, &mut next)?;
    Ok(json!({
        "nodes": nodes,
        "targets": targets,
        "relays": nodes <= RELAYED_NODES,
        "load_before": load_before,
        "load_after": crate::load_average(),
        "catalogue_bytes": catalogue::bytes(0)?.len(),
        "idle": idle_rates,
        "convergence_ms": convergence.result(),
        "change_bytes_per_node": change_bytes / f64::from(nodes),
        "restart_bytes_per_node": restart_bytes / f64::from(nodes),
        "restart_bytes_fleet": restart_bytes,
        "slow_platform_convergence_ms": slow.result(),
        "herd": herd,
        "polling": polling,
    }))
}

pub(crate) fn run(ibisrouted: &Path, matches: &ArgMatches) -> eyre::Result<Value> {
    let sizes: Vec<u8> = matches.get_many("nodes").unwrap_or_default().copied().collect();
    summary::print_header();
    let mut fleets = Vec::new();
    for _ in 0..value(matches, "repeats")? {
        for nodes in &sizes {
            let fleet = measure_fleet(ibisrouted, *nodes, matches)?;
            summary::print_row(&fleet);
            fleets.push(fleet);
            // A run that is stopped keeps what it has measured.
            let result = json!({"bench": "control", "fleets": fleets});
            crate::write_json(matches.get_one::<PathBuf>("json"), &result)?;
        }
    }
    summary::summarize(&fleets, matches.get_one::<PathBuf>("plots").map(PathBuf::as_path))
}
