//! Prints tables and draws charts of the results of `control`, with their spread and slopes.

use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;

use clap::ArgMatches;
use eyre::OptionExt;
use eyre::WrapErr;
use serde_json::Value;
use serde_json::json;
use standins::chart;
use standins::chart::Series;
use standins::measure;

/// Title with unit, and JSON pointer, of each figure in the summary. The titles are also the keys
/// of `slopes` in the JSON result.
const FIGURES: [(&str, &str); 27] = [
    ("idle bytes/node/s", "/idle/bytes_per_node_s"),
    ("idle datagram bytes/node/s", "/idle/datagram_bytes_per_node_s"),
    ("idle stream bytes/node/s", "/idle/stream_bytes_per_node_s"),
    ("idle platform bytes/node/s", "/idle/platform_bytes_per_node_s"),
    ("idle state transfers/node/s", "/idle/state_transfers_per_node_s"),
    ("bytes of a state transfer", "/idle/state_transfer_bytes"),
    ("idle messages/node/s", "/idle/messages_per_node_s"),
    ("idle processor %/node", "/idle/processor_percent_per_node"),
    ("resident MB/node", "/idle/resident_mb_per_node"),
    ("table reads/s of the fleet", "/idle/table_reads_per_s"),
    ("table writes/s of the fleet", "/idle/table_writes_per_s"),
    ("convergence node p50 ms", "/convergence_ms/node_p50"),
    ("convergence node p99 ms", "/convergence_ms/node_p99"),
    ("convergence last node p50 ms", "/convergence_ms/last_p50"),
    ("convergence last node max ms", "/convergence_ms/last_max"),
    ("bytes/node per change", "/change_bytes_per_node"),
    ("bytes/node per restart", "/restart_bytes_per_node"),
    ("slow platform last node max ms", "/slow_platform_convergence_ms/last_max"),
    ("herd last node ms", "/herd/convergence_ms/last_max"),
    ("herd first configuration max ms", "/herd/first_configuration_max_ms"),
    ("herd bytes/node/s", "/herd/bytes_per_node_s"),
    ("herd table reads in 3 s and start", "/herd/table_reads"),
    ("polling table reads/s of the fleet", "/polling/idle/table_reads_per_s"),
    ("polling bytes/node/s", "/polling/idle/bytes_per_node_s"),
    ("polling last node p50 ms", "/polling/convergence_ms/last_p50"),
    ("polling last node max ms", "/polling/convergence_ms/last_max"),
    ("polling bytes/node per change", "/polling/change_bytes_per_node"),
];

/// Returns the number at a JSON pointer of a result; 0 if it is missing.
fn number_at(fleet: &Value, pointer: &str) -> f64 {
    fleet.pointer(pointer).and_then(Value::as_f64).unwrap_or_default()
}

pub(crate) fn print_header() {
    println!(
        "{:>5} {:>8} {:>7} {:>6} {:>6} {:>7} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>8} {:>8} {:>9} \
         {:>9}  load average",
        "nodes",
        "B/n/s",
        "msg/n/s",
        "cpu %",
        "MB",
        "reads/s",
        "writes/s",
        "node p50",
        "node p99",
        "last p50",
        "last max",
        "B/n/chg",
        "slow max",
        "herd max",
        "poll rd/s",
        "poll max"
    );
}

pub(crate) fn print_row(fleet: &Value) {
    let number = |pointer: &str| number_at(fleet, pointer);
    println!(
        "{:>5} {:>8.0} {:>7.1} {:>6.2} {:>6.1} {:>7.1} {:>8.2} {:>8.0} {:>8.0} {:>8.0} {:>8.0} \
         {:>9.0} {:>8.0} {:>8.0} {:>9.1} {:>9.0}  {} -> {}",
        number("/nodes"),
        number("/idle/bytes_per_node_s"),
        number("/idle/messages_per_node_s"),
        number("/idle/processor_percent_per_node"),
        number("/idle/resident_mb_per_node"),
        number("/idle/table_reads_per_s"),
        number("/idle/table_writes_per_s"),
        number("/convergence_ms/node_p50"),
        number("/convergence_ms/node_p99"),
        number("/convergence_ms/last_p50"),
        number("/convergence_ms/last_max"),
        number("/change_bytes_per_node"),
        number("/slow_platform_convergence_ms/last_max"),
        number("/herd/convergence_ms/last_max"),
        number("/polling/idle/table_reads_per_s"),
        number("/polling/convergence_ms/last_max"),
        fleet["load_before"].as_str().unwrap_or_default(),
        fleet["load_after"].as_str().unwrap_or_default(),
    );
}

/// Prints the median, minimum and maximum of each figure for each number of nodes, and the slope of
/// the medians. Draws the charts if a folder is given.
pub(crate) fn summarize(fleets: &[Value], plots: Option<&Path>) -> eyre::Result<Value> {
    let node_counts: BTreeSet<u64> = fleets.iter().filter_map(|f| f["nodes"].as_u64()).collect();
    let medians = |pointer: &str| -> Vec<(f64, f64)> {
        let median =
            |size: &u64| (*size as f64, measure::quantile(&values(fleets, *size, pointer), 0.5));
        node_counts.iter().map(median).collect()
    };
    println!(
        "\nmedian [minimum..maximum] of the runs by number of nodes; slope per additional node"
    );
    let mut slopes = serde_json::Map::new();
    for (title, pointer) in FIGURES {
        let size_summaries = node_counts.iter().map(|size| {
            let values = values(fleets, *size, pointer);
            let quantile = |q: f64| measure::quantile(&values, q);
            format!(
                "{size}: {:.1} [{:.1}..{:.1}] x{}",
                quantile(0.5),
                quantile(0.0),
                quantile(1.0),
                values.len()
            )
        });
        let slope = measure::slope(&medians(pointer));
        let slope = if slope.is_finite() { slope } else { 0.0 };
        println!("{title}: {}; slope {slope:.4}", size_summaries.collect::<Vec<_>>().join(", "));
        slopes.insert(title.to_string(), json!(slope));
    }
    if let Some(folder) = plots {
        draw(folder, &medians)?;
    }
    Ok(json!({"bench": "control", "slopes": slopes, "fleets": fleets}))
}

/// Returns a figure of each fleet with `size` nodes.
fn values(fleets: &[Value], size: u64, pointer: &str) -> Vec<f64> {
    let same_size = fleets.iter().filter(|fleet| fleet["nodes"] == size);
    same_size.map(|fleet| number_at(fleet, pointer)).collect()
}

fn draw(folder: &Path, medians: &dyn Fn(&str) -> Vec<(f64, f64)>) -> eyre::Result<()> {
    std::fs::create_dir_all(folder).wrap_err_with(|| format!("create {}", folder.display()))?;
    let series = |name: &str, pointer: &str| -> Series { (name.to_string(), medians(pointer)) };
    let charts = [
        (
            "control-bytes",
            "Idle control bytes per node and second",
            "bytes/s",
            vec![
                series("all", "/idle/bytes_per_node_s"),
                series("datagrams", "/idle/datagram_bytes_per_node_s"),
                series("plain polling", "/polling/idle/bytes_per_node_s"),
            ],
        ),
        (
            "processor",
            "Idle processor time per node",
            "% of a core",
            vec![series("ibisrouted", "/idle/processor_percent_per_node")],
        ),
        (
            "memory",
            "Resident memory per node",
            "MB",
            vec![series("ibisrouted", "/idle/resident_mb_per_node")],
        ),
        (
            "table-reads",
            "Table reads per second of the whole fleet",
            "reads/s",
            vec![
                series("ibisrouted", "/idle/table_reads_per_s"),
                series("plain polling", "/polling/idle/table_reads_per_s"),
            ],
        ),
        (
            "convergence",
            "Time from the accepted head until in effect on the last node (max)",
            "ms",
            vec![
                series("ibisrouted", "/convergence_ms/last_max"),
                series("slow platform", "/slow_platform_convergence_ms/last_max"),
                series("mass restart", "/herd/convergence_ms/last_max"),
                series("plain polling", "/polling/convergence_ms/last_max"),
            ],
        ),
        (
            "change-bytes",
            "Bytes per node and configuration change",
            "bytes",
            vec![
                series("ibisrouted", "/change_bytes_per_node"),
                series("plain polling", "/polling/change_bytes_per_node"),
            ],
        ),
    ];
    for (name, caption, unit, series) in charts {
        chart::draw(&folder.join(format!("{name}.svg")), caption, ("nodes", unit), &series)?;
    }
    Ok(())
}

pub(crate) fn run(matches: &ArgMatches) -> eyre::Result<Value> {
    let mut fleets = Vec::new();
    print_header();
    for file in matches.get_many::<PathBuf>("from").unwrap_or_default() {
        let bytes = std::fs::read(file).wrap_err_with(|| format!("read {}", file.display()))?;
        let result: Value = serde_json::from_slice(&bytes)?;
        fleets.extend(result["fleets"].as_array().ok_or_eyre("no result of `control`")?.clone());
    }
    fleets.iter().for_each(print_row);
    summarize(&fleets, matches.get_one::<PathBuf>("plots").map(PathBuf::as_path))
}
