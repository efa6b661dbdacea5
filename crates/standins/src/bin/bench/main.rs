//! Measures what a node costs: `added-latency` on the path of a call, `control` when idle and when
//! the configuration changes. Runs real node processes on loopback.

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
                .arg(number("targets", "1", "Targets beside each node, 0 or 1"))
                .arg(number("repeats", "1", "Rounds over all numbers of nodes"))
                .arg(number("settle-s", "6", "Wait between the start and the idle measurement"))
                .arg(number("window-s", "8", "Length of the idle measurement"))
                .arg(number("changes", "10", "Versions applied for the convergence time"))
                .arg(file("plots", "Writes the charts to this folder")),
        )
        .subcommand(
            Command::new("summary")
                .about("Spread and slopes over stored results of `control`")
                .arg(
                    Arg::new("from")
                        .long("from")
                        .required(true)
                        .value_delimiter(',')
                        .value_parser(value_parser!(PathBuf))
                        .help("Files written by `control --json`"),
                )
                .arg(file("plots", "Writes the charts to this folder")),
        )
}

/// An argument with a default value.
pub(crate) fn value(matches: &ArgMatches, name: &str) -> eyre::Result<u64> {
    let value = matches.get_one::<u64>(name).copied();
    value.ok_or_else(|| eyre::eyre!("--{name} is missing"))
}

/// The load averages of the machine over 1, 5 and 15 minutes.
pub(crate) fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().take(3).collect::<Vec<_>>().join(" ")
}

/// Writes a result when a file is named.
pub(crate) fn write_json(path: Option<&PathBuf>, result: &Value) -> eyre::Result<()> {
    let Some(path) = path else { return Ok(()) };
    std::fs::write(path, serde_json::to_vec_pretty(result)?)
        .wrap_err_with(|| format!("write {}", path.display()))
}

fn main() -> eyre::Result<()> {
    let matches = command().get_matches();
    let folder = matches.get_one::<PathBuf>("bin-dir").map(PathBuf::as_path);
    let ibisrouted = || standins::programs::binary(folder, "ibisrouted");
    let (result, sub) = match matches.subcommand() {
        Some(("added-latency", sub)) => (added_latency::run(&ibisrouted()?, sub)?, sub),
        Some(("control", sub)) => (control::run(&ibisrouted()?, sub)?, sub),
        Some(("overload", sub)) => {
            let ibisctl = standins::programs::binary(folder, "ibisctl")?;
            (overload::run(&ibisrouted()?, &ibisctl, sub)?, sub)
        }
        Some(("summary", sub)) => (summary::run(sub)?, sub),
        _ => eyre::bail!("no such subcommand"),
    };
    write_json(sub.get_one::<PathBuf>("json"), &result)
}
