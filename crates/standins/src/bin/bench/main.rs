//! Benchmarks with real node processes on loopback: `added-latency` measures the latency and
//! processor time that nodes add to a call, `overload` the goodput under overload, and `control`
//! the control traffic and convergence time. `summary` evaluates stored results of `control`.

mod added_latency;
mod catalogue;
mod control;
mod overload;
mod polling;
mod summary;

use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use eyre::WrapErr;
use serde_json::Value;

/// Service that the benchmarks call.
pub(crate) const SERVICE: &str = "counter";

/// Path of the calls of `added-latency`.
pub(crate) const CALL_PATH: &str = "/counter/sheets";

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
}

fn path_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_parser(value_parser!(PathBuf)).help(help)
}

fn command() -> Command {
    Command::new("bench")
        .about("Measures added latency, goodput under overload and control traffic of ibisroute")
        .subcommand_required(true)
        .arg(path_arg("bin-dir", "Folder of ibisrouted; by default that of this program"))
        .arg(path_arg("json", "Writes the result to this file as JSON").global(true))
        .subcommand(
            Command::new("added-latency")
                .about("Calls one target directly, through one node and through two, alternating")
                .arg(number_arg("rounds", "10", "Rounds per path to the target"))
                .arg(number_arg("calls", "2000", "Calls per round"))
                .arg(number_arg("concurrency", "4", "Concurrent calls"))
                .arg(number_arg("seed", "1", "Seed of the calls")),
        )
        .subcommand(
            Command::new("overload")
                .about("Goodput, responses and retries at 0.5 to 3 times the capacity of the slots")
                .arg(number_arg("seconds", "6", "Length of a run in s"))
                .arg(number_arg("seed", "1", "Seed of the calls"))
                .arg(path_arg("plots", "Writes the chart to this folder")),
        )
        .subcommand(
            Command::new("control")
                .about("Control traffic, resource usage and convergence time by number of nodes")
                .arg(
                    Arg::new("nodes")
                        .long("nodes")
                        .default_value("8,16,32,64,128")
                        .value_delimiter(',')
                        .value_parser(value_parser!(u8).range(1..=250))
                        .help("Numbers of nodes, separated by commas"),
                )
                .arg(number_arg("targets", "1", "Targets beside each node, 0 or 1"))
                .arg(number_arg("repeats", "1", "Rounds over all numbers of nodes"))
                .arg(number_arg("settle-s", "6", "Wait in s before the idle measurement"))
                .arg(number_arg("window-s", "8", "Length of the idle measurement in s"))
                .arg(number_arg("changes", "10", "Versions applied for the convergence time"))
                .arg(path_arg("plots", "Writes the charts to this folder")),
        )
        .subcommand(
            Command::new("summary")
                .about("Spread and slopes of stored results of `control`")
                .arg(
                    Arg::new("from")
                        .long("from")
                        .required(true)
                        .value_delimiter(',')
                        .value_parser(value_parser!(PathBuf))
                        .help("Files written by `control --json`"),
                )
                .arg(path_arg("plots", "Writes the charts to this folder")),
        )
}

/// Returns a numeric argument that has a default value.
pub(crate) fn u64_arg(matches: &ArgMatches, name: &str) -> eyre::Result<u64> {
    let value = matches.get_one::<u64>(name).copied();
    value.ok_or_else(|| eyre::eyre!("--{name} is missing"))
}

/// Returns the load averages of the machine over 1, 5 and 15 minutes; empty if they are unreadable.
pub(crate) fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().take(3).collect::<Vec<_>>().join(" ")
}

/// Writes a result to `path` as JSON; does nothing if `path` is `None`.
pub(crate) fn write_json(path: Option<&PathBuf>, result: &Value) -> eyre::Result<()> {
    let Some(path) = path else { return Ok(()) };
    std::fs::write(path, serde_json::to_vec_pretty(result)?)
        .wrap_err_with(|| format!("write {}", path.display()))
}

fn main() -> eyre::Result<()> {
    let matches = command().get_matches();
    let folder = matches.get_one::<PathBuf>("bin-dir").map(PathBuf::as_path);
    let ibisrouted = || standins::programs::binary_path(folder, "ibisrouted");
    let (result, sub_matches) = match matches.subcommand() {
        Some(("added-latency", sub_matches)) => {
            (added_latency::run(&ibisrouted()?, sub_matches)?, sub_matches)
        }
        Some(("control", sub_matches)) => (control::run(&ibisrouted()?, sub_matches)?, sub_matches),
        Some(("overload", sub_matches)) => {
            let ibisctl = standins::programs::binary_path(folder, "ibisctl")?;
            (overload::run(&ibisrouted()?, &ibisctl, sub_matches)?, sub_matches)
        }
        Some(("summary", sub_matches)) => (summary::run(sub_matches)?, sub_matches),
        _ => eyre::bail!("unknown subcommand"),
    };
    write_json(sub_matches.get_one::<PathBuf>("json"), &result)
}
