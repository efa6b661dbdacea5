//! Runs a target stand-in as a program. On SIGTERM or SIGINT it leaves its node and stops.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use standins::target::TargetOptions;
use standins::target::TargetStandin;

/// Longest wait for the node's confirmation that the calls in flight have ended.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);

fn arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help)
}

fn command() -> Command {
    Command::new("target-standin")
        .about("Target that announces itself to a node and runs calls")
        .arg(arg("service", "Name of the service"))
        .arg(arg("version-name", "Version of the service"))
        .arg(arg("instance", "Instance id; a restarted target needs a new one"))
        .arg(arg("listen", "Address to listen on").value_parser(value_parser!(SocketAddr)))
        .arg(arg("node", "`targets` address of its node").value_parser(value_parser!(SocketAddr)))
        .arg(
            arg("slots", "Concurrent calls; further ones are shed")
                .value_parser(value_parser!(u32)),
        )
        .arg(arg("service-ms", "Service time in ms").value_parser(value_parser!(u64)))
        .arg(
            arg("response-bytes", "Bytes of filler in a response")
                .value_parser(value_parser!(usize)),
        )
        .arg(arg("options", "All options as JSON; the other arguments override them"))
}

fn options(matches: &ArgMatches) -> eyre::Result<TargetOptions> {
    let mut options = match matches.get_one::<String>("options") {
        Some(json) => serde_json::from_str(json)?,
        None => TargetOptions::default(),
    };
    if let Some(service) = matches.get_one::<String>("service") {
        options.service = service.clone();
    }
    if let Some(version) = matches.get_one::<String>("version-name") {
        options.version = version.clone();
    }
    if let Some(instance) = matches.get_one::<String>("instance") {
        options.instance = instance.clone();
    }
    if let Some(listen) = matches.get_one::<SocketAddr>("listen") {
        options.listen = *listen;
    }
    if let Some(node) = matches.get_one::<SocketAddr>("node") {
        options.node = Some(*node);
    }
    if let Some(slots) = matches.get_one::<u32>("slots") {
        options.slots = *slots;
    }
    if let Some(ms) = matches.get_one::<u64>("service-ms") {
        options.service_ms = (*ms, *ms);
    }
    if let Some(bytes) = matches.get_one::<usize>("response-bytes") {
        options.response_bytes = *bytes;
    }
    Ok(options)
}

fn main() -> eyre::Result<()> {
    let target = TargetStandin::start(options(&command().get_matches())?)?;
    println!("{}", serde_json::json!({"listen": target.addr()}));
    standins::wait_for_stop_signal()?;
    let (confirmed, records) = target.stop(LEAVE_TIMEOUT);
    println!("{}", serde_json::json!({"left": confirmed, "ran": records.len()}));
    Ok(())
}
