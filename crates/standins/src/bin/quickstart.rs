//! Shows the system at work on loopback: six nodes in two data centres with their targets, calls of
//! all classes, and a move of the service `counter` to a new version. Exits with 0 only when no
//! call failed, the move finished and everything stopped cleanly.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use eyre::OptionExt;
use serde_json::Value;
use standins::caller::CallerOptions;
use standins::caller::CallerStandin;
use standins::caller::Summary;
use standins::caller::broken_promises;
use standins::harness::Cluster;
use standins::programs;
use standins::target::TargetOptions;
use standins::target::record::RanRequest;
use standins::target::unix_ms;
use standins::wait;

/// Nodes a data centre.
const NODES: u8 = 3;

/// Calls a second.
const RATE_PER_S: f64 = 100.0;

/// Calls before the new version starts, and after the move has ended.
const CALLS_AROUND: u64 = 300;

/// The service that moves, and where to.
const SERVICE: &str = "counter";
const TO: &str = "v2";
const MOVE: &str = "counter-v2";

/// Author of the changes.
const AUTHOR: &str = "quickstart";

/// Time for the nodes to find one another and to take a version.
const START_BOUND: Duration = Duration::from_secs(20);

/// Time beyond the end of the move until its outcome must be in the table.
const OUTCOME_BOUND: Duration = Duration::from_secs(10);

/// Time for a target or node to stop gracefully.
const STOP_BOUND: Duration = Duration::from_secs(20);

fn command() -> Command {
    Command::new("quickstart")
        .about("Runs ibisroute on loopback and moves a service to a new version")
        .arg(
            Arg::new("catalogue")
                .long("catalogue")
                .default_value("examples/kuiseb.json")
                .value_parser(value_parser!(PathBuf))
                .help("Catalogue to apply"),
        )
        .arg(
            Arg::new("bin-dir")
                .long("bin-dir")
                .value_parser(value_parser!(PathBuf))
                .help("Folder of ibisrouted and ibisctl; by default that of this program"),
        )
        .arg(
            Arg::new("move-s")
                .long("move-s")
                .default_value("20")
                .value_parser(value_parser!(u64))
                .help("Length of the move in seconds"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the calls"),
        )
}

/// Arguments of `ibisctl` for all commands and queries.
fn ctl_args<'a>(platform: &'a str, args: &[&'a str]) -> Vec<&'a str> {
    [&["--platform", platform], args].concat()
}

/// Runs `ibisctl`, prints its output, and fails unless it exits with 0.
fn ctl(cluster: &Cluster, args: &[&str]) -> eyre::Result<()> {
    let platform = cluster.platform().addr().to_string();
    println!("$ ibisctl {}", args.join(" "));
    let output = cluster.ctl(&ctl_args(&platform, args))?;
    print!("{}{}", output.stdout, output.stderr);
    eyre::ensure!(output.code == Some(0), "ibisctl exited with {:?}", output.code);
    Ok(())
}

fn start_targets(
    cluster: &mut Cluster,
    service: &str,
    version: &str,
    nodes: &[usize],
) -> eyre::Result<()> {
    for node in nodes {
        let instance = format!("{service}-{version}-{node}");
        let options = TargetOptions {
            service: service.to_string(),
            version: version.to_string(),
            instance,
            ..TargetOptions::default()
        };
        cluster.start_target(*node, options)?;
    }
    wait::until_true("the targets' first announcements", START_BOUND, || {
        cluster.targets().all(|(_, target)| target.counters().announced > 0)
    })
}

/// Every service has targets beside the nodes whose index it gets in turn.
fn nodes_of(service: usize, services: usize, nodes: usize) -> Vec<usize> {
    (0..nodes).filter(|node| node % services == service).collect()
}

fn wait_calls(caller: &CallerStandin, count: u64) -> eyre::Result<()> {
    let until = caller.ended() + count;
    wait::until_true("calls", START_BOUND, || caller.ended() >= until)
}

/// Moves the service while calls go on, and returns what the callers saw.
fn serve_and_move(
    cluster: &mut Cluster,
    document: &Value,
    length: Duration,
    seed: u64,
    nodes: &[usize],
) -> eyre::Result<(Summary, Value)> {
    let caller = CallerStandin::start(CallerOptions {
        nodes: cluster.callers(),
        calls: programs::calls(document)?,
        rate_per_s: Some(RATE_PER_S),
        concurrency: 1000,
        keep_log: true,
        seed,
        ..CallerOptions::default()
    })?;
    wait_calls(&caller, CALLS_AROUND)?;
    println!("starting the targets of {SERVICE} {TO}");
    start_targets(cluster, SERVICE, TO, nodes)?;
    let start = unix_ms();
    let finish_by = start + length.as_millis() as u64;
    let (start, finish_by) = (start.to_string(), finish_by.to_string());
    let declare = ["move", "declare", "--id", MOVE, "--service", SERVICE, "--to", TO];
    let times = ["--start", &start, "--finish-by", &finish_by, "--author", AUTHOR];
    ctl(cluster, &[&declare[..], &times[..]].concat())?;
    let key = format!("move/{MOVE}/outcome");
    let outcome = wait::until("the outcome of the move", length + OUTCOME_BOUND, || {
        cluster.platform().row(&key)
    })?;
    println!("outcome of the move: {}", outcome.value);
    wait_calls(&caller, CALLS_AROUND)?;
    Ok((caller.stop(), outcome.value))
}

/// Stops targets and nodes gracefully; returns the targets' records and what went wrong.
fn stop(cluster: &mut Cluster) -> eyre::Result<(Vec<RanRequest>, Vec<String>)> {
    let mut records = Vec::new();
    let mut wrong = Vec::new();
    let instances: Vec<_> = cluster.targets().map(|(_, t)| t.options().instance).collect();
    for instance in instances {
        let target = cluster.take_target(&instance).ok_or_eyre("a target is gone")?;
        let (left, ran) = target.stop(STOP_BOUND);
        records.extend(ran);
        if !left {
            wrong.push(format!("the leave of target {instance} was not confirmed"));
        }
    }
    let all: Vec<_> = (0..cluster.nodes().len()).collect();
    for node in &all {
        cluster.terminate_node(*node)?;
    }
    for node in all {
        let code = cluster.wait_ended(node, STOP_BOUND)?;
        if code != Some(0) {
            wrong.push(format!("node {} exited with {code:?}", cluster.node(node).spec().name));
        }
    }
    Ok((records, wrong))
}

fn quickstart(cluster: &mut Cluster, matches: &ArgMatches) -> eyre::Result<Vec<String>> {
    let path = matches.get_one::<PathBuf>("catalogue").ok_or_eyre("--catalogue is missing")?;
    let length = matches.get_one::<u64>("move-s").ok_or_eyre("--move-s is missing")?;
    let seed = matches.get_one::<u64>("seed").ok_or_eyre("--seed is missing")?;
    let document = programs::read_catalogue(path)?;
    let services = programs::services(&document)?;
    let nodes = cluster.nodes().len();
    cluster.wait_members(nodes, START_BOUND)?;
    println!("{nodes} nodes know one another");
    let mut moving = Vec::new();
    for (index, (service, version)) in services.iter().enumerate() {
        let beside = nodes_of(index, services.len(), nodes);
        start_targets(cluster, service, version, &beside)?;
        if service == SERVICE {
            moving = beside;
        }
    }
    eyre::ensure!(!moving.is_empty(), "{} has no service {SERVICE}", path.display());
    cluster.wait_targets(nodes, START_BOUND)?;
    let admin = cluster.node(0).addresses()?.admin.to_string();
    let apply = ["catalogue", "apply", text(path)?, "--author", AUTHOR, "--wait"];
    ctl(cluster, &[&["--node", &admin], &apply[..]].concat())?;
    cluster.wait_ready(START_BOUND)?;
    println!("version 1 is in effect on all nodes; calls start, seed {seed}");

    let length = Duration::from_secs(*length);
    let (summary, outcome) = serve_and_move(cluster, &document, length, *seed, &moving)?;
    ctl(cluster, &["--node", &admin, "move", "show", MOVE])?;
    ctl(cluster, &["--node", &admin, "report", "burn"])?;
    println!("{}", serde_json::to_string_pretty(&summary.to_json())?);

    let (records, mut wrong) = stop(cluster)?;
    let failed = summary.total().failed();
    if failed > 0 {
        wrong.push(format!("{failed} calls failed; samples are in the summary above"));
    }
    if summary.classes.len() < 4 {
        wrong.push(format!("only {} of 4 classes were called", summary.classes.len()));
    }
    if summary.total().by_version.get(TO).is_none_or(|count| *count == 0) {
        wrong.push(format!("no call went to {SERVICE} {TO}"));
    }
    if !outcome.to_string().contains("finished") {
        wrong.push(format!("the move did not finish: {outcome}"));
    }
    wrong.extend(broken_promises(&summary.log, &records));
    Ok(wrong)
}

fn text(path: &Path) -> eyre::Result<&str> {
    path.to_str().ok_or_eyre("the path is not UTF-8")
}

fn main() -> eyre::Result<()> {
    let matches = command().get_matches();
    let folder = matches.get_one::<PathBuf>("bin-dir").map(PathBuf::as_path);
    let mut cluster = Cluster::builder(programs::binary(folder, "ibisrouted")?)
        .ibisctl(programs::binary(folder, "ibisctl")?)
        .data_centre("erongo-1", "erongo", NODES)
        .data_centre("erongo-2", "erongo", NODES)
        .start()?;
    println!("platform at {}", cluster.platform().addr());
    let result = quickstart(&mut cluster, &matches);
    if !matches!(&result, Ok(wrong) if wrong.is_empty()) {
        cluster.print_logs();
    }
    drop(cluster);
    let wrong = result?;
    for line in &wrong {
        eprintln!("{line}");
    }
    eyre::ensure!(wrong.is_empty(), "the quick start failed");
    println!("all was well: no call failed and the move finished");
    Ok(())
}
