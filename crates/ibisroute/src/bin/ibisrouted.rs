//! The node process, one on each host with targets.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use ibisroute::mesh;
use ibisroute::mesh::mesh_settings::MeshSettings;
use ibisroute::node::logging;
use ibisroute::node::run;
use ibisroute::node::run::StopTrigger;
use ibisroute::settings::NodeSettings;
use serde::Serialize;

/// Exit code for invalid settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 3;

fn cli_command() -> Command {
    Command::new("ibisrouted")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Node of a service mesh: serves callers and the targets on its host")
        .after_help(
            "Examples:\n  ibisrouted --settings node.json\n  ibisrouted --settings node.json --check\n\n\
             The bound addresses are printed as one JSON line on standard output.\n\
             Exit codes: 0 stopped gracefully, 1 failed, 2 usage, 3 invalid settings.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file (JSON)"),
        )
        .arg(
            Arg::new("mesh")
                .long("mesh")
                .action(ArgAction::SetTrue)
                .help("Run on the users' platform, with the settings of docs/platform.md"),
        )
        .arg(
            Arg::new("stop-on-stdin-end")
                .long("stop-on-stdin-end")
                .action(ArgAction::SetTrue)
                .help("Stop gracefully when standard input ends, for example because the parent process ended"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings, print them with all defaults, and exit"),
        )
}

fn run_mesh(settings_file: &Path, check_only: bool, stop_trigger: StopTrigger) -> ExitCode {
    let settings = match MeshSettings::load(settings_file) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("error: {e}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    if check_only {
        return print_settings(&settings);
    }
    match mesh::run::run(settings_file, settings, stop_trigger) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn print_settings<T: Serialize>(settings: &T) -> ExitCode {
    match serde_json::to_string_pretty(settings) {
        Ok(settings_json) => {
            println!("{settings_json}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let args = cli_command().get_matches();
    let settings_file = args.get_one::<PathBuf>("settings").expect("clap requires --settings");
    let stop_trigger = if args.get_flag("stop-on-stdin-end") {
        StopTrigger::SignalOrStdinEnd
    } else {
        StopTrigger::Signal
    };
    if args.get_flag("mesh") {
        return run_mesh(settings_file, args.get_flag("check"), stop_trigger);
    }
    let settings = match NodeSettings::load(settings_file) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("error: {e}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    if args.get_flag("check") {
        return print_settings(&settings);
    }
    match logging::start(&settings.log).and_then(|()| run::run(settings, stop_trigger)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}
