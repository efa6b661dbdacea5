//! The command line for operators. The module `commands` contains the commands that change the
//! catalogue, the module `queries` the commands that only read.
//!
//! `docs/ibisctl.md` describes the commands and the exit codes.

pub mod admin_client;
pub mod admin_model;
pub mod app;
pub mod commands;
pub mod context;
pub mod exit;
pub mod output;
pub mod queries;
pub mod times;

use std::ffi::OsString;

use clap::ArgMatches;

use self::context::Context;
use self::exit::CommandError;
use self::exit::Exit;

/// Parses and runs a command line; prints errors on standard error.
pub fn run(args: impl IntoIterator<Item = OsString>) -> Exit {
    let matches = match app::root_command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(e) => {
            // `--help` and `--version` print to standard output and succeed; other results of the
            // parser are usage errors.
            let _ = e.print();
            return if e.use_stderr() { Exit::Usage } else { Exit::Done };
        }
    };
    match actix_rt::System::new().block_on(run_command(&matches)) {
        Ok(()) => Exit::Done,
        Err(error) => {
            if let Some(report) = error.report {
                eprintln!("ibisctl: {report:#}");
            }
            error.exit
        }
    }
}

async fn run_command(matches: &ArgMatches) -> Result<(), CommandError> {
    let cx = Context::new(matches);
    let (group, args) = subcommand(matches);
    match group {
        "catalogue" => catalogue(&cx, args).await,
        "move" => moves(&cx, args).await,
        "status" => queries::status::run(&cx).await,
        "report" => queries::burn::run(&cx).await,
        "events" => queries::events::run(&cx, args).await,
        "completions" => queries::completions::run(args),
        other => Err(CommandError::usage(format!("unknown command {other}"))),
    }
}

async fn catalogue(cx: &Context, args: &ArgMatches) -> Result<(), CommandError> {
    match subcommand(args) {
        ("check", args) => queries::check::run(cx, args),
        ("diff", args) => queries::diff::run(cx, args).await,
        ("apply", args) => commands::apply::run(cx, args).await,
        ("show", args) => queries::show::run(cx, args).await,
        ("history", _) => queries::history::run(cx).await,
        (other, _) => Err(CommandError::usage(format!("unknown command catalogue {other}"))),
    }
}

async fn moves(cx: &Context, args: &ArgMatches) -> Result<(), CommandError> {
    match subcommand(args) {
        ("declare", args) => commands::declare::run(cx, args).await,
        ("list", _) => queries::moves::list(cx).await,
        ("show", args) => queries::moves::show(cx, args).await,
        ("watch", args) => queries::moves::watch(cx, args).await,
        (other, _) => Err(CommandError::usage(format!("unknown command move {other}"))),
    }
}

/// Returns the subcommand and its arguments; `clap` guarantees that there is one.
fn subcommand(matches: &ArgMatches) -> (&str, &ArgMatches) {
    matches.subcommand().expect("clap requires a subcommand")
}
