//! Runs the platform stand-in as a program until it receives SIGTERM or SIGINT.

use std::net::SocketAddr;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use standins::platform::PlatformStandin;

fn main() -> eyre::Result<()> {
    let matches = Command::new("platform-standin")
        .about("In-memory table service and object store")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("IP:PORT")
                .help("Address to listen on; with port 0 the system chooses a free port")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:0"),
        )
        .get_matches();
    let listen = matches.get_one::<SocketAddr>("listen").copied();
    let listen = listen.ok_or_else(|| eyre::eyre!("--listen is missing"))?;
    let platform = PlatformStandin::start(listen)?;
    println!("{}", serde_json::json!({"listen": platform.addr()}));
    standins::wait_for_stop_signal()
}
