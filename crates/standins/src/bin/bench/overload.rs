//! Measures goodput, responses by class and retries as the offered load grows beyond the capacity
//! of the slots.
//!
//! The baseline sends the same calls without a node, each directly to a random target: there is no
//! admission control, no load balancing and no retry, and the targets shed calls beyond their
//! slots.

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

use crate::u64_arg;

/// Nodes per data centre, each with one target.
const NODES_PER_DATA_CENTRE: u8 = 3;

const SLOTS_PER_TARGET: u32 = 6;

/// Shortest and longest service time in ms.
const SERVICE_MS: (u64, u64) = (40, 60);

/// Offered load as a multiple of the capacity of the slots.
const LOAD_FACTORS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];

/// Limit on the calls in flight. It is far above the number of slots, so that it does not throttle
/// the open loop.
const CONCURRENCY: usize = 20_000;

/// Time limit for the nodes and targets to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Fault that is injected during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// One target takes at least five times as long for each call.
    SlowTarget,
    /// One target fails every call.
    FailingTarget,
    /// One target reports a load of 0, however many calls it runs.
    FalseLoadReports,
    /// The nodes of one data centre are killed.
    DataCentreLost,
}

impl Fault {
    fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::SlowTarget => "one slow target",
            Self::FailingTarget => "one failing target",
            Self::FalseLoadReports => "one lying load endpoint",
            Self::DataCentreLost => "one data centre lost",
        }
    }

    fn target_faults(self) -> Option<TargetFaults> {
        let faults = TargetFaults::default();
        match self {
            Self::None | Self::DataCentreLost => None,
            Self::SlowTarget => Some(TargetFaults { slow_ms: 4 * SERVICE_MS.1, ..faults }),
            Self::FailingTarget => Some(TargetFaults { failing_share: 1.0, ..faults }),
            Self::FalseLoadReports => Some(TargetFaults { load_in_flight: Some(0), ..faults }),
        }
    }
}

/// Mix of calls: mostly queries. Uploads and bookings have the longer deadline; uploads have the
/// lowest priority.
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
        .data_centre("erongo-1", "erongo", NODES_PER_DATA_CENTRE)
        .data_centre("erongo-2", "erongo", NODES_PER_DATA_CENTRE)
        .log_level("error")
        .start()?;
    let nodes = cluster.nodes().len();
    for node in 0..nodes {
        let options = TargetOptions {
            instance: format!("counter-{node}"),
            slots: SLOTS_PER_TARGET,
            service_ms: SERVICE_MS,
            ..TargetOptions::default()
        };
        cluster.start_target(node, options)?;
    }
    cluster.wait_targets(nodes, START_TIMEOUT)?;
    let file = cluster.folder().join("catalogue.json");
    std::fs::write(&file, catalogue().to_string())?;
    let file = file.to_str().ok_or_eyre("the path of the cluster folder is not UTF-8")?;
    let platform = cluster.platform().addr().to_string();
    let args = ["--platform", &platform, "catalogue", "apply", file, "--author", "bench"];
    let output = cluster.ctl(&args)?;
    eyre::ensure!(output.exit_code == Some(0), "ibisctl catalogue apply failed: {}", output.stderr);
    cluster.wait_ready(START_TIMEOUT)?;
    Ok(cluster)
}

/// Returns the sum of a metric over all labels and all running nodes.
fn counter_total(cluster: &Cluster, name: &str) -> f64 {
    let responses = cluster.nodes().iter().filter_map(|node| node.admin("/metrics"));
    let metric_pages =
        responses.map(|response| String::from_utf8_lossy(&response.body).into_owned());
    metric_pages
        .flat_map(|text| {
            let lines = text.lines().filter(|line| line.starts_with(name));
            let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
            values.collect::<Vec<_>>()
        })
        .sum()
}

/// One run of the caller at a constant rate.
struct LoadRun {
    /// Addresses that the calls are sent to: nodes, or targets in the baseline.
    nodes: Vec<SocketAddr>,
    rate_per_s: f64,
    seconds: u64,
    seed: u64,
}

impl LoadRun {
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

/// Returns the complete responses within their deadline, per second.
fn goodput(summary: &Summary, seconds: u64) -> f64 {
    let total = summary.total();
    (total.ok + total.accepted).saturating_sub(total.late) as f64 / seconds as f64
}

/// Returns the counts and the latency of each class, in the order that [`print_row`] expects.
fn class_rows(summary: &Summary) -> Value {
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

/// Offers `load_factor` times the capacity to the nodes while a fault is in effect. The fault is
/// removed after the run. The tuple holds the capacity in calls per second, the length of the run
/// in s and the seed.
fn run_with_fault(
    cluster: &mut Cluster,
    fault: Fault,
    load_factor: f64,
    (capacity, seconds, seed): (f64, u64, u64),
) -> eyre::Result<Value> {
    let faulty_instance = "counter-0";
    let set_faults = |cluster: &Cluster, faults| {
        let target = cluster.targets().find(|(_, t)| t.options().instance == faulty_instance);
        if let Some((_, target)) = target {
            target.set_faults(faults);
        }
    };
    if let Some(faults) = fault.target_faults() {
        set_faults(cluster, faults);
    }
    let lost_nodes = cluster.in_data_centre("erongo-2");
    if fault == Fault::DataCentreLost {
        cluster.kill_nodes(&lost_nodes)?;
    }
    let retries_before = counter_total(cluster, "ibis_retries_total");
    let load =
        LoadRun { nodes: cluster.callers(), rate_per_s: capacity * load_factor, seconds, seed };
    let summary = load.run()?;
    let retries = counter_total(cluster, "ibis_retries_total") - retries_before;
    set_faults(cluster, TargetFaults::default());
    if fault == Fault::DataCentreLost {
        cluster.start_nodes(&lost_nodes)?;
    }
    cluster.wait_ready(START_TIMEOUT)?;
    cluster.wait_targets(cluster.nodes().len(), START_TIMEOUT)?;
    let total = summary.total();
    Ok(json!({
        "way": "nodes", "fault": fault.name(), "load": load_factor,
        "goodput_per_s": goodput(&summary, seconds),
        "goodput_share": goodput(&summary, seconds) / capacity,
        "retries_per_call": retries / total.calls.max(1) as f64,
        "wrong": total.wrong, "classes": class_rows(&summary),
    }))
}

/// Offers `load_factor` times the capacity directly to the targets, without nodes and faults. The
/// tuple is that of [`run_with_fault`].
fn run_baseline(
    cluster: &Cluster,
    load_factor: f64,
    (capacity, seconds, seed): (f64, u64, u64),
) -> eyre::Result<Value> {
    let nodes = cluster.targets().map(|(_, target)| target.addr()).collect();
    let summary = LoadRun { nodes, rate_per_s: capacity * load_factor, seconds, seed }.run()?;
    Ok(json!({
        "way": "random target, no node", "fault": Fault::None.name(), "load": load_factor,
        "goodput_per_s": goodput(&summary, seconds),
        "goodput_share": goodput(&summary, seconds) / capacity,
        "retries_per_call": 0.0, "wrong": summary.total().wrong, "classes": class_rows(&summary),
    }))
}

fn print_row(row: &Value) {
    // The classes have the order of `class_rows`: booking, counter query, internal query, upload.
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
    let (seconds, seed) = (u64_arg(matches, "seconds")?, u64_arg(matches, "seed")?);
    let mut cluster = start(ibisrouted, ibisctl)?;
    let mean_service_s = (SERVICE_MS.0 + SERVICE_MS.1) as f64 / 2000.0;
    let target_count = f64::from(NODES_PER_DATA_CENTRE) * 2.0;
    let capacity = target_count * f64::from(SLOTS_PER_TARGET) / mean_service_s;
    let load_before = crate::load_average();
    println!("capacity of the slots: {capacity:.0} calls/s; {seconds} s per run; seed {seed}");
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
    let mut add_row = |row: Value| {
        print_row(&row);
        rows.push(row);
    };
    for load_factor in LOAD_FACTORS {
        add_row(run_baseline(&cluster, load_factor, (capacity, seconds, seed))?);
        add_row(run_with_fault(&mut cluster, Fault::None, load_factor, (capacity, seconds, seed))?);
    }
    for fault in
        [Fault::SlowTarget, Fault::FailingTarget, Fault::FalseLoadReports, Fault::DataCentreLost]
    {
        for load_factor in [0.5, 2.0] {
            add_row(run_with_fault(&mut cluster, fault, load_factor, (capacity, seconds, seed))?);
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
        let axis_labels = ("offered load / capacity of the slots", "responses in time per second");
        chart::draw(&folder.join("goodput.svg"), "Goodput under overload", axis_labels, &lines)?;
    }
    Ok(json!({"capacity_per_s": capacity, "seconds": seconds, "seed": seed,
        "load_average": [load_before, crate::load_average()], "rows": rows}))
}
