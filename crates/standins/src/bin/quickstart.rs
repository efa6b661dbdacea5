//! Demonstrates the system on loopback: six nodes in two data centres with their targets, calls of
//! all classes, and a move of the service `counter` to a new version. Exits with 0 only if no call
//! failed, the move finished and all processes stopped cleanly.

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
use standins::caller::guarantee_violations;
use standins::harness::Cluster;
use standins::programs;
use standins::target::TargetOptions;
use standins::target::record::ExecutedRequest;
use standins::target::unix_ms;
use standins::wait;

const NODES_PER_DATA_CENTRE: u8 = 3;

/// Offered load in calls per second.
const CALLS_PER_S: f64 = 100.0;

/// Number of calls before the new version starts, and again after the move has ended.
const CALLS_BEFORE_AND_AFTER_MOVE: u64 = 300;

/// Service that moves to the version [`NEW_VERSION`], and the id of the move.
const SERVICE: &str = "counter";
const NEW_VERSION: &str = "v2";
const MOVE: &str = "counter-v2";

/// Author of the changes to the configuration.
const AUTHOR: &str = "quickstart";

/// Time limit for each step other than the move and the stop, for example for the nodes to discover
/// one another and for a version to take effect.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit, counted from the end of the move, for its outcome to be in the table.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for the graceful stop of a target or a node.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

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

/// Prepends the address of the platform to the arguments of `ibisctl`.
fn ctl_args<'a>(platform: &'a str, args: &[&'a str]) -> Vec<&'a str> {
    [&["--platform", platform], args].concat()
}

/// Runs `ibisctl`, prints its output, and fails unless it exits with 0.
fn ctl(cluster: &Cluster, args: &[&str]) -> eyre::Result<()> {
    let platform = cluster.platform().addr().to_string();
    println!("$ ibisctl {}", args.join(" "));
    let output = cluster.ctl(&ctl_args(&platform, args))?;
    print!("{}{}", output.stdout, output.stderr);
    eyre::ensure!(output.exit_code == Some(0), "ibisctl exited with {:?}", output.exit_code);
    Ok(())
}

/// Starts a target beside each of the nodes and waits until all have announced themselves.
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
    wait::until_true("the first announcements of the targets", START_TIMEOUT, || {
        cluster.targets().all(|(_, target)| target.counters().announced > 0)
    })
}

/// Returns the indices of the nodes that get a target of the service with this index; nodes are
/// assigned to services in turn.
fn nodes_of_service(service_index: usize, service_count: usize, node_count: usize) -> Vec<usize> {
    (0..node_count).filter(|node| node % service_count == service_index).collect()
}

fn wait_for_calls(caller: &CallerStandin, count: u64) -> eyre::Result<()> {
    let required = caller.ended() + count;
    wait::until_true("calls to end", START_TIMEOUT, || caller.ended() >= required)
}

/// Moves [`SERVICE`] to [`NEW_VERSION`], for which it starts targets beside `nodes`, while calls
/// are sent. Returns the counts of the caller and the outcome of the move.
fn serve_and_move(
    cluster: &mut Cluster,
    document: &Value,
    duration: Duration,
    seed: u64,
    nodes: &[usize],
) -> eyre::Result<(Summary, Value)> {
    let caller = CallerStandin::start(CallerOptions {
        nodes: cluster.callers(),
        calls: programs::calls(document)?,
        rate_per_s: Some(CALLS_PER_S),
        concurrency: 1000,
        keep_log: true,
        seed,
        ..CallerOptions::default()
    })?;
    wait_for_calls(&caller, CALLS_BEFORE_AND_AFTER_MOVE)?;
    println!("starting the targets of {SERVICE} {NEW_VERSION}");
    start_targets(cluster, SERVICE, NEW_VERSION, nodes)?;
    let start = unix_ms();
    let finish_by_unix_ms = start + duration.as_millis() as u64;
    let (start, finish_by) = (start.to_string(), finish_by_unix_ms.to_string());
    let declare_args = ["move", "declare", "--id", MOVE, "--service", SERVICE, "--to", NEW_VERSION];
    let option_args = ["--start", &start, "--finish-by", &finish_by, "--author", AUTHOR];
    ctl(cluster, &[&declare_args[..], &option_args[..]].concat())?;
    let key = format!("move/{MOVE}/outcome");
    let outcome = wait::until("the outcome of the move", duration + OUTCOME_TIMEOUT, || {
        cluster.platform().row(&key)
    })?;
    println!("outcome of the move: {}", outcome.value);
    wait_for_calls(&caller, CALLS_BEFORE_AND_AFTER_MOVE)?;
    Ok((caller.stop(), outcome.value))
}

/// Stops targets and nodes gracefully. Returns the records of the targets and one line per failure.
fn stop_all(cluster: &mut Cluster) -> eyre::Result<(Vec<ExecutedRequest>, Vec<String>)> {
    let mut records = Vec::new();
    let mut failures = Vec::new();
    let instances: Vec<_> = cluster.targets().map(|(_, t)| t.options().instance).collect();
    for instance in instances {
        let target = cluster.take_target(&instance).ok_or_eyre("the target is not running")?;
        let (confirmed, executed) = target.stop(STOP_TIMEOUT);
        records.extend(executed);
        if !confirmed {
            failures.push(format!("the node did not confirm that target {instance} left"));
        }
    }
    let all_nodes: Vec<_> = (0..cluster.nodes().len()).collect();
    for node in &all_nodes {
        cluster.terminate_node(*node)?;
    }
    for node in all_nodes {
        let exit_code = cluster.wait_ended(node, STOP_TIMEOUT)?;
        if exit_code != Some(0) {
            failures
                .push(format!("node {} exited with {exit_code:?}", cluster.node(node).spec().name));
        }
    }
    Ok((records, failures))
}

fn quickstart(cluster: &mut Cluster, matches: &ArgMatches) -> eyre::Result<Vec<String>> {
    let path = matches.get_one::<PathBuf>("catalogue").ok_or_eyre("--catalogue is missing")?;
    let duration_s = matches.get_one::<u64>("move-s").ok_or_eyre("--move-s is missing")?;
    let seed = matches.get_one::<u64>("seed").ok_or_eyre("--seed is missing")?;
    let document = programs::read_catalogue(path)?;
    let services = programs::services(&document)?;
    let node_count = cluster.nodes().len();
    cluster.wait_members(node_count, START_TIMEOUT)?;
    println!("all {node_count} nodes have discovered one another");
    let mut moved_service_nodes = Vec::new();
    for (index, (service, version)) in services.iter().enumerate() {
        let service_nodes = nodes_of_service(index, services.len(), node_count);
        start_targets(cluster, service, version, &service_nodes)?;
        if service == SERVICE {
            moved_service_nodes = service_nodes;
        }
    }
    eyre::ensure!(!moved_service_nodes.is_empty(), "{} has no service {SERVICE}", path.display());
    cluster.wait_targets(node_count, START_TIMEOUT)?;
    let admin = cluster.node(0).addresses()?.admin.to_string();
    let apply_args = ["catalogue", "apply", path_str(path)?, "--author", AUTHOR, "--wait"];
    ctl(cluster, &[&["--node", &admin], &apply_args[..]].concat())?;
    cluster.wait_ready(START_TIMEOUT)?;
    println!("version 1 is in effect on all nodes; calls start, seed {seed}");

    let duration = Duration::from_secs(*duration_s);
    let (summary, outcome) =
        serve_and_move(cluster, &document, duration, *seed, &moved_service_nodes)?;
    ctl(cluster, &["--node", &admin, "move", "show", MOVE])?;
    ctl(cluster, &["--node", &admin, "report", "burn"])?;
    println!("{}", serde_json::to_string_pretty(&summary.to_json())?);

    let (records, mut failures) = stop_all(cluster)?;
    let failed = summary.total().failed();
    if failed > 0 {
        failures.push(format!("{failed} calls failed; samples are in the summary above"));
    }
    if summary.classes.len() < 4 {
        failures.push(format!("only {} of 4 classes were called", summary.classes.len()));
    }
    if summary.total().by_version.get(NEW_VERSION).is_none_or(|count| *count == 0) {
        failures.push(format!("no call went to {SERVICE} {NEW_VERSION}"));
    }
    if !outcome.to_string().contains("finished") {
        failures.push(format!("the move did not finish: {outcome}"));
    }
    failures.extend(guarantee_violations(&summary.log, &records));
    Ok(failures)
}

fn path_str(path: &Path) -> eyre::Result<&str> {
    path.to_str().ok_or_eyre("the path of the catalogue is not UTF-8")
}

fn main() -> eyre::Result<()> {
    let matches = command().get_matches();
    let folder = matches.get_one::<PathBuf>("bin-dir").map(PathBuf::as_path);
    let mut cluster = Cluster::builder(programs::binary_path(folder, "ibisrouted")?)
        .ibisctl(programs::binary_path(folder, "ibisctl")?)
        .data_centre("erongo-1", "erongo", NODES_PER_DATA_CENTRE)
        .data_centre("erongo-2", "erongo", NODES_PER_DATA_CENTRE)
        .start()?;
    println!("platform at {}", cluster.platform().addr());
    let result = quickstart(&mut cluster, &matches);
    if !matches!(&result, Ok(failures) if failures.is_empty()) {
        cluster.print_logs();
    }
    drop(cluster);
    let failures = result?;
    for line in &failures {
        eprintln!("{line}");
    }
    eyre::ensure!(failures.is_empty(), "the quick start failed; the reasons are listed above");
    println!("quick start passed: no call failed and the move finished");
    Ok(())
}
