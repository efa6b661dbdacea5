//! Measures what a node costs: `added-latency` on the path of a call, `control` when idle and when
//! the configuration changes. Runs real node processes on loopback.

mod added_latency;
mod control;
mod overload;

use std::path::Path;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use eyre::WrapErr;
use serde_json::Value;
use serde_json::json;

/// Name of the service that the bench calls.
pub(crate) const SERVICE: &str = "counter";

/// Path of the calls of the bench.
pub(crate) const PATH: &str = "/counter/sheets";

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_parser(value_parser!(PathBuf)).help(help)
}

fn command() -> Command {
    Command::new("bench")
        .about("Measures added latency and control traffic of ibisroute")
        .subcommand_required(true)
        .arg(file("bin-dir", "Folder of ibisrouted; by default that of this program"))
        .arg(file("json", "Writes the result to this file as JSON").global(true))
        .subcommand(
            Command::new("added-latency")
                .about("Calls one target directly, through one node and through two, in turns")
                .arg(number("rounds", "10", "Rounds of each way"))
                .arg(number("calls", "2000", "Calls a round"))
                .arg(number("concurrency", "4", "Calls at a time"))
                .arg(number("seed", "1", "Seed of the calls")),
        )
        .subcommand(
            Command::new("overload")
                .about(
                    "Goodput, timely answers and retries from 0.5 to 3 times the slots' capacity",
                )
                .arg(number("seconds", "6", "Length of a run"))
                .arg(number("seed", "1", "Seed of the calls"))
                .arg(file("plots", "Writes the chart to this folder")),
        )
        .subcommand(
            Command::new("control")
                .about("Control traffic, resources and convergence over the number of nodes")
                .arg(
                    Arg::new("nodes")
                        .long("nodes")
                        .default_value("8,16,32,64,128")
                        .value_delimiter(',')
                        .value_parser(value_parser!(u8).range(1..=250))
                        .help("Numbers of nodes"),
                )
                .arg(number("window-s", "10", "Length of the idle measurement"))
                .arg(number("changes", "10", "Versions applied for the convergence time"))
                .arg(file("svg", "Writes the chart to this file")),
        )
}

/// An argument with a default value.
pub(crate) fn value(matches: &ArgMatches, name: &str) -> eyre::Result<u64> {
    let value = matches.get_one::<u64>(name).copied();
    value.ok_or_else(|| eyre::eyre!("--{name} is missing"))
}

/// A catalogue with one service and one entry whose limits never bind. `name` makes versions differ.
pub(crate) fn catalogue(name: &str) -> Value {
    json!({
        "format": 1,
        "name": name,
        "services": [{"name": SERVICE, "owner": "bench@kuiseb.example", "version": "v1",
                      "report_url": null, "withdrawal": "balanced"}],
        "entries": [{"name": "sheet-search", "owner": "bench@kuiseb.example",
                     "class": "counter_query", "service": SERVICE, "path": PATH,
                     "methods": ["GET"],
                     "limits": {"rate_per_s": 100_000, "concurrency": 1000, "deadline_ms": 2000,
                                "retry_percent": 10, "max_body_bytes": 65_536},
                     "objective": {"success_percent": 99.9, "latency_ms": 250}}],
        "moves": [],
    })
}

/// The load averages of the machine over 1, 5 and 15 minutes.
pub(crate) fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().take(3).collect::<Vec<_>>().join(" ")
}

/// Writes a result when a file is named.
fn write_json(path: Option<&PathBuf>, result: &Value) -> eyre::Result<()> {
    let Some(path) = path else { return Ok(()) };
    std::fs::write(path, serde_json::to_vec_pretty(result)?)
        .wrap_err_with(|| format!("write {}", path.display()))
}

fn main() -> eyre::Result<()> {
    let matches = command().get_matches();
    let folder = matches.get_one::<PathBuf>("bin-dir").map(PathBuf::as_path);
    let ibisrouted: &Path = &standins::programs::binary(folder, "ibisrouted")?;
    let (result, sub) = match matches.subcommand() {
        Some(("added-latency", sub)) => (added_latency::run(ibisrouted, sub)?, sub),
        Some(("control", sub)) => (control::run(ibisrouted, sub)?, sub),
        Some(("overload", sub)) => {
            let ibisctl = standins::programs::binary(folder, "ibisctl")?;
            (overload::run(ibisrouted, &ibisctl, sub)?, sub)
        }
        _ => eyre::bail!("no such subcommand"),
    };
    write_json(sub.get_one::<PathBuf>("json"), &result)
}
