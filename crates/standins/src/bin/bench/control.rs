//! Measures control traffic, resource usage and convergence time by number of nodes.
//!
//! The relays in front of the nodes and of the platform count bytes and messages, so that the
//! results do not depend on the counters of the nodes. The bytes are payload without the headers of
//! UDP, TCP and IP. Above [`RELAYED_NODES`] there are no relays: datagrams are taken from the
//! counters of the nodes, with 28 bytes of headers each; the platform counts bodies only; streams
//! are not counted.
//!
//! Convergence times come from the `configuration_applied` events of the nodes; all processes share
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
use crate::catalogue::AcceptedVersion;
use crate::catalogue::unix_ms;
use crate::polling;
use crate::summary;
use crate::u64_arg;

/// Time limit for the largest fleet to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Time limit for a version to be in effect on all nodes.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay from a change to the first read of the nodes' events, so that reading them does not
/// distort the measurement.
const FIRST_READ_DELAY: Duration = Duration::from_millis(700);

/// Pause between two reads of the nodes' events.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// Number of threads that read the nodes' events.
const READER_THREADS: usize = 8;

/// Larger fleets span several data centres of at most this size.
const NODES_PER_DATA_CENTRE: u8 = 64;

/// Largest fleet with relays. A UDP relay opens a socket for each sender, so relays for 128 nodes
/// would need more than the 20,000 files that a process may open.
const RELAYED_NODES: u8 = 100;

/// Number of the event `configuration_applied`.
const CONFIGURATION_APPLIED: u64 = 3003;

/// Number of changes measured with a slow platform, and again with plain polling.
const COMPARISON_CHANGES: u64 = 3;

/// Latency of each request to the slow platform, in ms.
const SLOW_PLATFORM_MS: u64 = 300;

/// Number of nodes that are restarted one by one.
const RESTARTS: usize = 2;

/// Traffic within this time after the restart of a node counts as caused by the restart.
const RESTART_WINDOW: Duration = Duration::from_secs(3);

/// Time over which the traffic after a mass restart is counted.
const MASS_RESTART_WINDOW: Duration = Duration::from_secs(3);

/// Totals over a fleet at one point in time. Each message between nodes counts twice, for its
/// sender and its receiver.
struct FleetTotals {
    read_at: Instant,
    datagrams: u64,
    datagram_bytes: u64,
    stream_bytes: u64,
    platform_bytes: u64,
    processor: Duration,
    resident_bytes: u64,
    table_reads: u64,
    table_writes: u64,
    table_refused: u64,
}

impl FleetTotals {
    fn read(cluster: &Cluster) -> eyre::Result<Self> {
        let platform = cluster.platform().counters();
        let platform_bytes = match cluster.platform_relay() {
            Some(relay) => relay.bytes(),
            None => platform.bytes_in + platform.bytes_out,
        };
        let mut totals = Self {
            read_at: Instant::now(),
            datagrams: 0,
            datagram_bytes: 0,
            stream_bytes: 0,
            platform_bytes,
            processor: Duration::ZERO,
            resident_bytes: 0,
            table_reads: platform.reads,
            table_writes: platform.writes,
            table_refused: platform.refused,
        };
        for node in cluster.nodes() {
            if let (Some(udp), Some(tcp)) = (node.udp_relay(), node.tcp_relay()) {
                totals.datagrams += 2 * udp.counters().forwarded;
                totals.datagram_bytes += 2 * udp.counters().bytes;
                totals.stream_bytes += 2 * tcp.bytes();
            } else {
                totals.datagrams += counter_total(node, "ibis_control_datagrams_sent_total")
                    + counter_total(node, "ibis_control_datagrams_received_total");
                totals.datagram_bytes += counter_total(node, "ibis_control_bytes_sent_total")
                    + counter_total(node, "ibis_control_bytes_received_total");
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

    /// Returns the bytes since `before` in excess of the idle traffic of the same time.
    fn extra_bytes(&self, before: &Self, idle_bytes_per_s: f64) -> f64 {
        let idle_bytes = idle_bytes_per_s * (self.read_at - before.read_at).as_secs_f64();
        self.bytes() as f64 - before.bytes() as f64 - idle_bytes
    }
}

/// Starts a fleet, with one target beside each node if `with_targets` is set, and waits until the
/// first version is in effect on all nodes.
fn start(ibisrouted: &Path, nodes: u8, with_targets: bool) -> eyre::Result<Cluster> {
    let mut builder = Cluster::builder(ibisrouted).log_level("warn");
    if nodes <= RELAYED_NODES {
        builder = builder.relays();
    }
    let mut remaining_nodes = nodes;
    let mut number = 1;
    while remaining_nodes > 0 {
        let data_centre_nodes = remaining_nodes.min(NODES_PER_DATA_CENTRE);
        builder = builder.data_centre(&format!("erongo-{number}"), "erongo", data_centre_nodes);
        remaining_nodes -= data_centre_nodes;
        number += 1;
    }
    let mut cluster = builder.start()?;
    cluster.wait_members(usize::from(nodes), START_TIMEOUT)?;
    let accepted = catalogue::publish(&cluster, catalogue::bytes(0)?)?;
    cluster.wait_version(accepted.version, START_TIMEOUT)?;
    cluster.wait_ready(START_TIMEOUT)?;
    if with_targets {
        for (index, service) in catalogue::services().cycle().take(usize::from(nodes)).enumerate() {
            let instance = format!("{service}-{index}");
            cluster.start_target(
                index,
                TargetOptions { service, instance, ..TargetOptions::default() },
            )?;
        }
        cluster.wait_targets(usize::from(nodes), START_TIMEOUT)?;
    }
    Ok(cluster)
}

/// Returns the Unix times in ms at which versions took effect on a node, by version.
fn applied_versions(node: &Node) -> Option<BTreeMap<u64, f64>> {
    let body = node.admin("/events")?.json();
    let events = body["events"].as_array()?;
    let applied_events = events.iter().filter(|event| event["number"] == CONFIGURATION_APPLIED);
    applied_events
        .map(|event| {
            let mut words = event["detail"].as_str()?.split_whitespace();
            let version = words.find(|word| *word != "version")?.parse().ok()?;
            Some((version, event["unix_ms"].as_f64()?))
        })
        .collect()
}

/// Waits until `version` or a higher one is in effect on all nodes. Returns the Unix times in ms at
/// which it took effect, in the order of the nodes.
fn applied_times(cluster: &Cluster, version: u64) -> eyre::Result<Vec<f64>> {
    let start = Instant::now();
    let nodes: Vec<(usize, &Node)> = cluster.nodes().iter().enumerate().collect();
    let times_by_node = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for chunk in nodes.chunks(nodes.len().div_ceil(READER_THREADS)) {
            scope.spawn(|| {
                let mut pending_nodes = chunk.to_vec();
                while !pending_nodes.is_empty() && start.elapsed() < CONVERGENCE_TIMEOUT {
                    pending_nodes.retain(|(index, node)| {
                        let times_by_version = applied_versions(node).unwrap_or_default();
                        let Some((_, at)) = times_by_version.range(version..).next() else {
                            return true;
                        };
                        if let Ok(mut times_by_node) = times_by_node.lock() {
                            times_by_node.insert(*index, *at);
                        }
                        false
                    });
                    if !pending_nodes.is_empty() {
                        std::thread::sleep(READ_INTERVAL);
                    }
                }
            });
        }
    });
    let times_by_node =
        times_by_node.into_inner().map_err(|_| eyre::eyre!("a reader thread panicked"))?;
    eyre::ensure!(
        times_by_node.len() == nodes.len(),
        "version {version} took effect on only {} of {} nodes within {} s",
        times_by_node.len(),
        nodes.len(),
        CONVERGENCE_TIMEOUT.as_secs()
    );
    Ok(times_by_node.into_values().collect())
}

/// Convergence times in ms.
#[derive(Default)]
struct Convergence {
    /// From the acceptance of a change until a node applied it, one value per node and change.
    node_times: Vec<f64>,
    /// From the acceptance of a change until the last node applied it, one value per change.
    last_node_times: Vec<f64>,
}

impl Convergence {
    /// Waits until a version is in effect on all nodes and adds the times that this took.
    fn add_version(&mut self, cluster: &Cluster, accepted: AcceptedVersion) -> eyre::Result<()> {
        let times = applied_times(cluster, accepted.version)?;
        let times: Vec<f64> = times.iter().map(|at| (at - accepted.unix_ms).max(0.0)).collect();
        self.last_node_times.push(times.iter().copied().fold(0.0, f64::max));
        self.node_times.extend(times);
        Ok(())
    }

    /// Publishes `changes` versions, one after the other, and waits until each is in effect.
    /// `last_change` is the number of the last catalogue change, which increases with each version.
    fn measure(cluster: &Cluster, changes: u64, last_change: &mut u64) -> eyre::Result<Self> {
        let mut convergence = Self::default();
        for _ in 0..changes {
            *last_change += 1;
            let accepted = catalogue::publish(cluster, catalogue::bytes(*last_change)?)?;
            std::thread::sleep(FIRST_READ_DELAY);
            convergence.add_version(cluster, accepted)?;
        }
        Ok(convergence)
    }

    fn result(&self) -> Value {
        json!({
            "changes": self.last_node_times.len(),
            "node_p50": measure::quantile(&self.node_times, 0.5),
            "node_p99": measure::quantile(&self.node_times, 0.99),
            "last_p50": measure::quantile(&self.last_node_times, 0.5),
            "last_p99": measure::quantile(&self.last_node_times, 0.99),
            "last_max": measure::quantile(&self.last_node_times, 1.0),
        })
    }
}

/// Returns the sum of a metric of a node over all labels; 0 if the node does not respond.
fn counter_total(node: &Node, name: &str) -> u64 {
    let Some(response) = node.admin("/metrics") else { return 0 };
    let text = String::from_utf8_lossy(&response.body);
    let values = text.lines().filter_map(|line| {
        let labels_and_value = line.strip_prefix(name)?;
        let value = labels_and_value.rsplit_once(' ')?.1;
        (labels_and_value.starts_with('{') || labels_and_value.starts_with(' '))
            .then(|| value.parse::<u64>().ok())?
    });
    values.sum()
}

/// Returns the number of full state transfers that the nodes have requested since their start.
fn state_transfers(cluster: &Cluster) -> u64 {
    cluster.nodes().iter().map(|node| counter_total(node, "ibis_membership_joins_total")).sum()
}

/// Measures the rates of an idle fleet. Returns them with the bytes per second of the whole fleet.
fn measure_idle(cluster: &Cluster, idle_window: Duration) -> eyre::Result<(Value, f64)> {
    let transfers_before = state_transfers(cluster);
    let before = FleetTotals::read(cluster)?;
    std::thread::sleep(idle_window);
    let after = FleetTotals::read(cluster)?;
    let transfers = (state_transfers(cluster) - transfers_before) as f64;
    let stream_bytes = (after.stream_bytes - before.stream_bytes) as f64;
    let seconds = (after.read_at - before.read_at).as_secs_f64();
    let node_count = cluster.nodes().len() as f64;
    let rate = |after: u64, before: u64| after.saturating_sub(before) as f64 / seconds;
    let bytes = rate(after.bytes(), before.bytes());
    let processor = after.processor.saturating_sub(before.processor).as_secs_f64();
    let result = json!({
        "bytes_per_node_s": bytes / node_count,
        "datagram_bytes_per_node_s": rate(after.datagram_bytes, before.datagram_bytes) / node_count,
        "stream_bytes_per_node_s": rate(after.stream_bytes, before.stream_bytes) / node_count,
        "platform_bytes_per_node_s": rate(after.platform_bytes, before.platform_bytes) / node_count,
        "state_transfers_per_node_s": transfers / seconds / node_count,
        // The bytes of a transfer are counted twice, for its sender and its receiver.
        "state_transfer_bytes": stream_bytes / transfers.max(1.0) / 2.0,
        "messages_per_node_s": rate(after.datagrams, before.datagrams) / node_count,
        "processor_percent_per_node": processor / seconds / node_count * 100.0,
        "resident_mb_per_node": after.resident_bytes as f64 / node_count / 1e6,
        "table_reads_per_s": rate(after.table_reads, before.table_reads),
        "table_writes_per_s": rate(after.table_writes, before.table_writes),
        "table_refused_per_s": rate(after.table_refused, before.table_refused),
    });
    Ok((result, bytes))
}

/// Measures `change_count` configuration changes. Returns the convergence times and the bytes that
/// the whole fleet transfers per change.
fn measure_changes(
    cluster: &Cluster,
    change_count: u64,
    last_change: &mut u64,
    idle_bytes_per_s: f64,
) -> eyre::Result<(Convergence, f64)> {
    let before = FleetTotals::read(cluster)?;
    let convergence = Convergence::measure(cluster, change_count, last_change)?;
    let bytes = FleetTotals::read(cluster)?.extra_bytes(&before, idle_bytes_per_s);
    Ok((convergence, bytes / change_count.max(1) as f64))
}

/// Returns the bytes that the whole fleet transfers per restart of a node.
fn measure_restarts(cluster: &mut Cluster, idle_bytes_per_s: f64) -> eyre::Result<f64> {
    let before = FleetTotals::read(cluster)?;
    for index in 0..RESTARTS {
        cluster.restart_nodes(&[index])?;
        std::thread::sleep(RESTART_WINDOW);
    }
    Ok(FleetTotals::read(cluster)?.extra_bytes(&before, idle_bytes_per_s) / RESTARTS as f64)
}

/// Restarts half of the nodes at once and publishes a version as soon as their processes run.
fn measure_mass_restart(cluster: &mut Cluster, last_change: &mut u64) -> eyre::Result<Value> {
    let restarted: Vec<usize> = (0..cluster.nodes().len()).step_by(2).collect();
    cluster.kill_nodes(&restarted)?;
    let platform_before = cluster.platform().counters();
    let start = unix_ms();
    cluster.start_nodes(&restarted)?;
    let processes_started = unix_ms();
    let totals_before = FleetTotals::read(cluster)?;
    *last_change += 1;
    let accepted = catalogue::publish(cluster, catalogue::bytes(*last_change)?)?;
    std::thread::sleep(MASS_RESTART_WINDOW);
    let bytes = FleetTotals::read(cluster)?.extra_bytes(&totals_before, 0.0);
    let platform_after = cluster.platform().counters();
    let mut convergence = Convergence::default();
    convergence.add_version(cluster, accepted)?;
    let first_configuration: Vec<f64> = restarted
        .iter()
        .filter_map(|index| applied_versions(cluster.node(*index))?.into_values().next())
        .map(|at| at - start)
        .collect();
    Ok(json!({
        "restarted": restarted.len(),
        "bytes_per_node_s":
            bytes / cluster.nodes().len() as f64 / MASS_RESTART_WINDOW.as_secs_f64(),
        "processes_started_ms": processes_started - start,
        "first_configuration_p50_ms": measure::quantile(&first_configuration, 0.5),
        "first_configuration_max_ms": measure::quantile(&first_configuration, 1.0),
        "convergence_ms": convergence.result(),
        "table_reads": platform_after.reads - platform_before.reads,
        "table_writes": platform_after.writes - platform_before.writes,
        "table_refused": platform_after.refused - platform_before.refused,
    }))
}

fn measure_fleet(ibisrouted: &Path, nodes: u8, matches: &ArgMatches) -> eyre::Result<Value> {
    let idle_window = Duration::from_secs(u64_arg(matches, "window-s")?);
    let settle_time = Duration::from_secs(u64_arg(matches, "settle-s")?);
    let load_before = crate::load_average();
    let with_targets = u64_arg(matches, "targets")? > 0;
    let mut last_change = 0;

    let mut cluster = start(ibisrouted, nodes, with_targets)?;
    std::thread::sleep(settle_time);
    let (idle_rates, idle_bytes_per_s) = measure_idle(&cluster, idle_window)?;
    let change_count = u64_arg(matches, "changes")?;
    let (convergence, change_bytes) =
        measure_changes(&cluster, change_count, &mut last_change, idle_bytes_per_s)?;
    cluster.platform().set_faults(PlatformFaults {
        latency_ms: (SLOW_PLATFORM_MS, SLOW_PLATFORM_MS),
        ..PlatformFaults::default()
    });
    let slow_convergence = Convergence::measure(&cluster, COMPARISON_CHANGES, &mut last_change)?;
    cluster.platform().set_faults(PlatformFaults::default());
    let restart_bytes = measure_restarts(&mut cluster, idle_bytes_per_s)?;
    let mass_restart = measure_mass_restart(&mut cluster, &mut last_change)?;

    let all_nodes: Vec<usize> = (0..usize::from(nodes)).collect();
    cluster.kill_nodes(&all_nodes)?;
    let polling =
        polling::measure(&cluster, nodes, idle_window / 2, COMPARISON_CHANGES, &mut last_change)?;
    Ok(json!({
        "nodes": nodes,
        "targets": with_targets,
        "relays": nodes <= RELAYED_NODES,
        "load_before": load_before,
        "load_after": crate::load_average(),
        "catalogue_bytes": catalogue::bytes(0)?.len(),
        "idle": idle_rates,
        "convergence_ms": convergence.result(),
        "change_bytes_per_node": change_bytes / f64::from(nodes),
        "restart_bytes_per_node": restart_bytes / f64::from(nodes),
        "restart_bytes_fleet": restart_bytes,
        "slow_platform_convergence_ms": slow_convergence.result(),
        "herd": mass_restart,
        "polling": polling,
    }))
}

pub(crate) fn run(ibisrouted: &Path, matches: &ArgMatches) -> eyre::Result<Value> {
    let node_counts: Vec<u8> = matches.get_many("nodes").unwrap_or_default().copied().collect();
    summary::print_header();
    let mut fleets = Vec::new();
    for _ in 0..u64_arg(matches, "repeats")? {
        for nodes in &node_counts {
            let fleet = measure_fleet(ibisrouted, *nodes, matches)?;
            summary::print_row(&fleet);
            fleets.push(fleet);
            // Written after each fleet, so that an interrupted run keeps its results.
            let result = json!({"bench": "control", "fleets": fleets});
            crate::write_json(matches.get_one::<PathBuf>("json"), &result)?;
        }
    }
    summary::summarize(&fleets, matches.get_one::<PathBuf>("plots").map(PathBuf::as_path))
}
