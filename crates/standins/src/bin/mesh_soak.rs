//! Runs soak tests with random faults on fleets of real node processes, one seed after the other.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use eyre::OptionExt;
use standins::mesh::soak;
use standins::mesh::soak::SoakOptions;
use standins::programs;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("mesh_soak")
        .about("Runs soak tests with random faults on fleets of real nodes")
        .after_help("Exit codes: 0 all guarantees held, 1 a violation or an error, 2 usage.")
        .arg(number("seed", "1", "First seed"))
        .arg(number("seeds", "1", "Number of seeds"))
        .arg(number("seconds", "10", "Time during which faults are injected, for each seed"))
        .arg(number("nodes", "5", "Nodes in a fleet"))
        .arg(number("callers", "10", "Concurrent callers"))
        .arg(
            Arg::new("planned")
                .long("planned")
                .action(ArgAction::SetTrue)
                .help("Only planned work; no request may be lost"),
        )
        .arg(
            Arg::new("programs")
                .long("programs")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .help("Folder of ibisrouted; by default that of this program"),
        )
}

/// Runs the soak tests and returns whether all guarantees held.
fn run() -> eyre::Result<bool> {
    let args = command().get_matches();
    let number = |name: &str| args.get_one::<u64>(name).copied().ok_or_eyre("missing argument");
    let program_folder = args.get_one::<PathBuf>("programs");
    let program = programs::binary_path(program_folder.map(PathBuf::as_path), "ibisrouted")?;
    let first_seed = number("seed")?;
    let mut all_passed = true;
    for seed in first_seed..first_seed + number("seeds")? {
        let options = SoakOptions {
            seed,
            nodes: number("nodes")? as usize,
            fault_duration: Duration::from_secs(number("seconds")?),
            callers: number("callers")? as usize,
            planned_only: args.get_flag("planned"),
        };
        let folder = std::env::temp_dir().join(format!("mesh-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let report = soak::run(&program, &folder, &options)?;
        println!("seed {seed}: {report}");
        if report.violations.is_empty() {
            std::fs::remove_dir_all(&folder)?;
        } else {
            println!("seed {seed}: logs in {}", folder.display());
            all_passed = false;
        }
    }
    Ok(all_passed)
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}
