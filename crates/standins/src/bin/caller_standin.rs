//! Sends calls to nodes and prints a summary as JSON. Exits with 1 when a call failed.

use std::net::SocketAddr;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use standins::caller::CallSpec;
use standins::caller::CallerOptions;
use standins::caller::CallerStandin;

fn arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help)
}

fn command() -> Command {
    Command::new("caller-standin")
        .about("Sends calls to nodes and checks every response")
        .arg(
            arg("node", "Caller address of a node; may be repeated")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(arg("call", "Kind of call as JSON; may be repeated").action(ArgAction::Append))
        .arg(
            arg("rate", "Calls per second in an open loop; without it the loop is closed")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            arg("concurrency", "Concurrent calls in a closed loop; limit in an open loop")
                .value_parser(value_parser!(usize)),
        )
        .arg(arg("duration-ms", "Stops after this time in ms").value_parser(value_parser!(u64)))
        .arg(arg("max-calls", "Stops after this number of calls").value_parser(value_parser!(u64)))
        .arg(arg("threads", "Sending threads").value_parser(value_parser!(usize)))
        .arg(arg("seed", "Seed of the random choices").value_parser(value_parser!(u64)))
        .arg(arg("options", "All options as JSON; the other arguments override them"))
}

fn options(matches: &ArgMatches) -> eyre::Result<CallerOptions> {
    let mut options: CallerOptions = match matches.get_one::<String>("options") {
        Some(json) => serde_json::from_str(json)?,
        None => CallerOptions { duration_ms: Some(10_000), ..CallerOptions::default() },
    };
    if let Some(nodes) = matches.get_many::<SocketAddr>("node") {
        options.nodes = nodes.copied().collect();
    }
    if let Some(calls) = matches.get_many::<String>("call") {
        options.calls = calls
            .map(|json| serde_json::from_str::<CallSpec>(json))
            .collect::<Result<_, serde_json::Error>>()?;
    }
    if let Some(rate) = matches.get_one::<f64>("rate") {
        options.rate_per_s = Some(*rate);
    }
    if let Some(concurrency) = matches.get_one::<usize>("concurrency") {
        options.concurrency = *concurrency;
    }
    if let Some(ms) = matches.get_one::<u64>("duration-ms") {
        options.duration_ms = Some(*ms);
    }
    if let Some(calls) = matches.get_one::<u64>("max-calls") {
        options.max_calls = Some(*calls);
    }
    if let Some(threads) = matches.get_one::<usize>("threads") {
        options.threads = *threads;
    }
    if let Some(seed) = matches.get_one::<u64>("seed") {
        options.seed = *seed;
    }
    eyre::ensure!(!options.nodes.is_empty(), "at least one --node is required");
    Ok(options)
}

fn main() -> eyre::Result<()> {
    let summary = CallerStandin::run(options(&command().get_matches())?)?;
    println!("{}", serde_json::to_string_pretty(&summary.to_json())?);
    if summary.total().failed() > 0 {
        std::process::exit(1);
    }
    Ok(())
}
