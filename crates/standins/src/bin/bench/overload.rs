//! Goodput, timely answers by class and retries as the offered load exceeds the slots.
//!
//! The baseline sends the same calls to the targets directly, to one at random, without a node: there
//! is no admission, no choice by load and no retry, and the targets shed over their slots.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use eyre::OptionExt;
use serde_json::Value;
use serde_json::json;
use standins::caller::CallSpec;
use standins::caller::CallerOptions;
use standins::caller::CallerStandin;
use standins::caller::Class;
use standins::caller::Summary;
use standins::chart;
use standins::harness::Cluster;
use standins::target::TargetOptions;
use standins::target::faults::TargetFaults;

use crate::value;

/// Nodes a data centre, each with a target.
const NODES: u8 = 3;

/// Slots of each target.
const SLOTS: u32 = 6;

/// Shortest and longest service time in ms.
const SERVICE_MS: (u64, u64) = (40, 60);

/// Offered load as a share of what the slots can serve.
const FACTORS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];

/// Calls in flight at most; far above what the slots hold, so that the loop stays open.
const CONCURRENCY: usize = 20_000;

/// Time for the nodes and targets to become ready.
const START_BOUND: Duration = Duration::from_secs(30);

/// What is wrong during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// One target takes five times as long.
    SlowTarget,
    /// One target fails every call.
    FailingTarget,
    /// One target reports no load, whatever it runs.
    LyingLoad,
    /// The nodes of one data centre are killed.
    DataCentreLost,
}

impl Fault {
    fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::SlowTarget => "one slow target",
            Self::FailingTarget => "one failing target",
            Self::LyingLoad => "one lying load endpoint",
            Self::DataCentreLost => "one data centre lost",
        }
    }

    fn of_target(self) -> Option<TargetFaults> {
        let faults = TargetFaults::default();
        match self {
            Self::None | Self::DataCentreLost => None,
            Self::SlowTarget => Some(TargetFaults { slow_ms: 4 * SERVICE_MS.1, ..faults }),
            Self::FailingTarget => Some(TargetFaults { failing_share: 1.0, ..faults }),
            Self::LyingLoad => Some(TargetFaults { load_in_flight: Some(0), ..faults }),
        }
    }
}

/// The calls: mostly queries; uploads have the longest deadline and the lowest priority.
fn calls() -> Vec<CallSpec> {
    let call = |class, method: &str, path: &str, weight, body_bytes, deadline_ms| CallSpec {
        class,
        method: method.to_string(),
        path: path.to_string(),
        weight,
        body_bytes,
        deadline_ms,
        ..CallSpec::default()
    };
    vec![
        call(Class::CounterQuery, "GET", "/counter/sheets", 4, 0, 500),
        call(Class::InternalQuery, "GET", "/counter/plates", 2, 0, 500),
        call(Class::Booking, "POST", "/counter/orders", 1, 200, 1000),
        call(Class::Upload, "PUT", "/counter/scans", 3, 4000, 1000),
    ]
}

fn catalogue() -> Value {
    let entry = |name: &str, class: &str, path: &str, method: &str| {
        json!({"name": name, "owner": "bench", "class": class, "service": "counter", "path": path,
            "methods": [method],
            "limits": {"rate_per_s": 100_000, "concurrency": 10_000, "deadline_ms": 1000,
                "retry_percent": 10, "max_body_bytes": 65_536},
            "objective": {"success_percent": 99.0, "latency_ms": 400}})
    };
    json!({"format": 1, "name": "bench",
        "services": [{"name": "counter", "owner": "bench", "version": "v1"}],
        "entries": [
            entry("plates", "internal_query", "/counter/plates", "GET"),
            entry("scans", "upload", "/counter/scans", "PUT"),
            entry("sheets", "counter_query", "/counter/sheets", "GET"),
            entry("orders", "booking", "/counter/orders", "POST")],
        "moves": []})
}

fn start(ibisrouted: &Path, ibisctl: &Path) -> eyre::Result<Cluster> {
    let mut cluster = Cluster::builder(ibisrouted)
        .ibisctl(ibisctl)
        .data_centre("erongo-1", "erongo", NODES)
        .data_centre("erongo-2", "erongo", NODES)
        .log_level("error")
        .start()?;
    let nodes = cluster.nodes().len();
    for node in 0..nodes {
        let options = TargetOptions {
            instance: format!("counter-{node}"),
            slots: SLOTS,
            service_ms: SERVICE_MS,
            ..TargetOptions::default()
        };
        cluster.start_target(node, options)?;
    }
    cluster.wait_targets(nodes, START_BOUND)?;
    let file = cluster.folder().join("catalogue.json");
    std::fs::write(&file, catalogue().to_string())?;
    let file = file.to_str().ok_or_eyre("the folder is not UTF-8")?;
    let platform = cluster.platform().addr().to_string();
    let args = ["--platform", &platform, "catalogue", "apply", file, "--author", "bench"];
    let output = cluster.ctl(&args)?;
    eyre::ensure!(output.code == Some(0), "ibisctl: {}", output.stderr);
    cluster.wait_ready(START_BOUND)?;
    Ok(cluster)
}

/// Sum of a counter over the running nodes.
fn counter(cluster: &Cluster, name: &str) -> f64 {
    let pages = cluster.nodes().iter().filter_map(|node| node.admin("/metrics"));
    let texts = pages.map(|page| String::from_utf8_lossy(&page.body).into_owned());
    texts
        .flat_map(|text| {
            let lines = text.lines().filter(|line| line.starts_with(name));
            let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
            values.collect::<Vec<_>>()
        })
        .sum()
}

struct Load {
    nodes: Vec<SocketAddr>,
    rate_per_s: f64,
    seconds: u64,
    seed: u64,
}

impl Load {
    fn run(self) -> eyre::Result<Summary> {
        Ok(CallerStandin::run(CallerOptions {
            nodes: self.nodes,
            calls: calls(),
            rate_per_s: Some(self.rate_per_s),
            concurrency: CONCURRENCY,
            duration_ms: Some(self.seconds * 1000),
            threads: 2,
            seed: self.seed,
            ..CallerOptions::default()
        })?)
    }
}

/// Whole answers that came within their deadline, a second.
fn goodput(summary: &Summary, seconds: u64) -> f64 {
    let total = summary.total();
    (total.ok + total.accepted).saturating_sub(total.late) as f64 / seconds as f64
}

fn classes(summary: &Summary) -> Value {
    let classes = [Class::Booking, Class::CounterQuery, Class::InternalQuery, Class::Upload];
    let rows = classes.map(|class| {
        let tally = summary.class(class);
        let share = (tally.ok + tally.accepted) as f64 / tally.calls.max(1) as f64;
        json!({"class": class, "calls": tally.calls, "answered_share": share,
            "p99_ms": tally.latency_us.value_at_quantile(0.99) as f64 / 1000.0,
            "not_run": tally.not_run, "may_have_run": tally.may_have_run,
            "no_answer": tally.no_answer, "late": tally.late})
    });
    json!(rows)
}

/// One run with a fault; the fault ends with the run.
fn run_one(
    cluster: &mut Cluster,
    fault: Fault,
    factor: f64,
    (capacity, seconds, seed): (f64, u64, u64),
) -> eyre::Result<Value> {
    let first = "counter-0";
    let set = |cluster: &Cluster, faults| {
        let target = cluster.targets().find(|(_, t)| t.options().instance == first);
        if let Some((_, target)) = target {
            target.set_faults(faults);
        }
    };
    if let Some(faults) = fault.of_target() {
        set(cluster, faults);
    }
    let lost = cluster.in_data_centre("erongo-2");
    if fault == Fault::DataCentreLost {
        cluster.kill_nodes(&lost)?;
    }
    let retries = counter(cluster, "ibis_retries_total");
    let load = Load { nodes: cluster.callers(), rate_per_s: capacity * factor, seconds, seed };
    let summary = load.run()?;
    let retries = counter(cluster, "ibis_retries_total") - retries;
    set(cluster, TargetFaults::default());
    if fault == Fault::DataCentreLost {
        cluster.start_nodes(&lost)?;
    }
    cluster.wait_ready(START_BOUND)?;
    cluster.wait_targets(cluster.nodes().len(), START_BOUND)?;
    let total = summary.total();
    Ok(json!({
        "way": "nodes", "fault": fault.name(), "load": factor,
        "goodput_per_s": goodput(&summary, seconds),
        "goodput_share": goodput(&summary, seconds) / capacity,
        "retries_per_call": retries / total.calls.max(1) as f64,
        "wrong": total.wrong, "classes": classes(&summary),
    }))
}

fn run_baseline(
    cluster: &Cluster,
    factor: f64,
    (capacity, seconds, seed): (f64, u64, u64),
) -> eyre::Result<Value> {
    let nodes = cluster.targets().map(|(_, target)| target.addr()).collect();
    let summary = Load { nodes, rate_per_s: capacity * factor, seconds, seed }.run()?;
    Ok(json!({
        "way": "random target, no node", "fault": Fault::None.name(), "load": factor,
        "goodput_per_s": goodput(&summary, seconds),
        "goodput_share": goodput(&summary, seconds) / capacity,
        "retries_per_call": 0.0, "wrong": summary.total().wrong, "classes": classes(&summary),
    }))
}

fn print_row(row: &Value) {
    let share = |class: usize| row["classes"][class]["answered_share"].as_f64().unwrap_or(0.0);
    let p99 = |class: usize| row["classes"][class]["p99_ms"].as_f64().unwrap_or(0.0);
    println!(
        "{:24} {:24} {:4.1} {:9.0} {:7.2} {:8.3}  {:7.2} {:7.2} {:7.2} {:7.2}  {:7.0} {:7.0}",
        row["way"].as_str().unwrap_or("-"),
        row["fault"].as_str().unwrap_or("-"),
        row["load"].as_f64().unwrap_or(0.0),
        row["goodput_per_s"].as_f64().unwrap_or(0.0),
        row["goodput_share"].as_f64().unwrap_or(0.0),
        row["retries_per_call"].as_f64().unwrap_or(0.0),
        share(0),
        share(1),
        share(2),
        share(3),
        p99(1),
        p99(3),
    );
}

pub(crate) fn run(ibisrouted: &Path, ibisctl: &Path, matches: &ArgMatches) -> eyre::Result<Value> {
    let (seconds, seed) = (value(matches, "seconds")?, value(matches, "seed")?);
    let mut cluster = start(ibisrouted, ibisctl)?;
    let mean_s = (SERVICE_MS.0 + SERVICE_MS.1) as f64 / 2000.0;
    let targets = f64::from(NODES) * 2.0;
    let capacity = targets * f64::from(SLOTS) / mean_s;
    let load_before = crate::load_average();
    println!("capacity of the slots: {capacity:.0} calls/s; {seconds} s a run; seed {seed}");
    println!(
        "{:24} {:24} {:>4} {:>9} {:>7} {:>8}  {:>7} {:>7} {:>7} {:>7}  {:>7} {:>7}",
        "WAY",
        "FAULT",
        "LOAD",
        "GOOD/S",
        "SHARE",
        "RETRIES",
        "BOOKING",
        "COUNTER",
        "INTERN",
        "UPLOAD",
        "P99 CTR",
        "P99 UPL",
    );
    let mut rows = Vec::new();
    let mut add = |row: Value| {
        print_row(&row);
        rows.push(row);
    };
    for factor in FACTORS {
        add(run_baseline(&cluster, factor, (capacity, seconds, seed))?);
        add(run_one(&mut cluster, Fault::None, factor, (capacity, seconds, seed))?);
    }
    for fault in [Fault::SlowTarget, Fault::FailingTarget, Fault::LyingLoad, Fault::DataCentreLost]
    {
        for factor in [0.5, 2.0] {
            add(run_one(&mut cluster, fault, factor, (capacity, seconds, seed))?);
        }
    }
    if let Some(folder) = matches.get_one::<PathBuf>("plots") {
        let line = |way: &str| {
            let rows = rows.iter().filter(|row| row["way"] == way);
            let rows = rows.filter(|row| row["fault"] == Fault::None.name());
            let points: Vec<(f64, f64)> = rows
                .filter_map(|row| Some((row["load"].as_f64()?, row["goodput_per_s"].as_f64()?)))
                .collect();
            (way.to_string(), points)
        };
        let lines = [line("nodes"), line("random target, no node")];
        let axes = ("offered load / capacity of the slots", "timely answers a second");
        chart::draw(&folder.join("goodput.svg"), "Goodput under overload", axes, &lines)?;
    }
    Ok(json!({"capacity_per_s": capacity, "seconds": seconds, "seed": seed,
        "load_average": [load_before, crate::load_average()], "rows": rows}))
}
