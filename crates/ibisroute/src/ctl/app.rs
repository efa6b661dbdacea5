//! Definition of the command line for `clap`.

use std::net::SocketAddr;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::builder::RangedU64ValueParser;
use clap::value_parser;
use clap_complete::Shell;

use crate::types::MoveId;
use crate::types::ServiceName;
use crate::types::VersionName;

const EXIT_CODES_HELP: &str = "\
Exit codes:
  0  done
  1  other failure
  2  wrong command line
  3  invalid catalogue
  4  conflict with another operator's version
  5  not in force on every node in time
  6  platform unavailable, or outcome unknown";

/// Builds the command line with all subcommands.
pub fn root_command() -> Command {
    Command::new("ibisctl")
        .about("Edits and reads the catalogue of a mesh, and reports the state of its nodes")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(format!(
            "Examples:\n  ibisctl catalogue check kuiseb.json\n  \
             ibisctl --platform 10.0.0.5:7400 catalogue history\n  \
             ibisctl --node 10.0.1.7:7303 status\n\n{EXIT_CODES_HELP}"
        ))
        .arg(address_arg("platform", "Address of the platform"))
        .arg(address_arg("node", "Address of the admin interface of any node"))
        .arg(
            Arg::new("output")
                .long("output")
                .global(true)
                .value_name("FORMAT")
                .value_parser(PossibleValuesParser::new(["table", "json"]))
                .default_value("table")
                .help("Format of the output"),
        )
        .arg(
            number_arg(
                "retry-s",
                "N",
                "Longest time to retry failed platform requests, in seconds",
            )
            .value_parser(value_parser!(u64).range(0..=3_600))
            .global(true)
            .default_value("10"),
        )
        .subcommand(catalogue_command())
        .subcommand(move_command())
        .subcommand(
            Command::new("status")
                .about("Shows the state of one node")
                .after_help("Examples:\n  ibisctl --node 10.0.1.7:7303 status"),
        )
        .subcommand(report_command())
        .subcommand(events_command())
        .subcommand(completions_command())
}

fn address_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .global(true)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

fn file_arg() -> Arg {
    Arg::new("file").value_name("FILE").required(true).help("Catalogue file; '-' reads from stdin")
}

fn text_arg(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value_name).help(help)
}

/// Parses a version number. The upper bound leaves room for the next version in the 12 digits of a
/// history key.
fn version_parser() -> RangedU64ValueParser {
    value_parser!(u64).range(0..999_999_999_999)
}

fn number_arg(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    text_arg(name, value_name, help).value_parser(value_parser!(u64))
}

fn with_wait_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Return when the version is in force on every live node (needs --node)"),
        )
        .arg(
            number_arg("timeout-s", "N", "Longest time to wait, in seconds")
                .value_parser(value_parser!(u64).range(1..=86_400))
                .default_value("30"),
        )
}

fn catalogue_command() -> Command {
    Command::new("catalogue")
        .about("Checks, compares, applies and shows catalogues")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help("Examples:\n  ibisctl catalogue check kuiseb.json")
        .subcommand(
            Command::new("check")
                .about("Checks a file and reports every error")
                .after_help("Examples:\n  ibisctl catalogue check kuiseb.json")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("diff")
                .about("Shows what a file would change")
                .after_help(
                    "Examples:\n  ibisctl --platform 10.0.0.5:7400 catalogue diff kuiseb.json\n  \
                     ibisctl --platform 10.0.0.5:7400 catalogue diff kuiseb.json --against 41",
                )
                .arg(file_arg())
                .arg(
                    number_arg("against", "VERSION", "Compare with this version, not the head")
                        .value_parser(version_parser()),
                ),
        )
        .subcommand(apply_command())
        .subcommand(
            Command::new("show")
                .about("Prints an accepted version as a catalogue file")
                .after_help(
                    "Examples:\n  ibisctl --platform 10.0.0.5:7400 catalogue show > kuiseb.json\n  \
                     ibisctl --platform 10.0.0.5:7400 catalogue show 41",
                )
                .arg(
                    Arg::new("version")
                        .value_name("VERSION")
                        .value_parser(version_parser())
                        .help("Version; the head when absent"),
                ),
        )
        .subcommand(
            Command::new("history")
                .about("Lists the accepted versions")
                .after_help("Examples:\n  ibisctl --platform 10.0.0.5:7400 catalogue history"),
        )
}

fn apply_command() -> Command {
    let command = Command::new("apply")
        .about("Applies a file as the next version")
        .after_help(
            "Examples:\n  ibisctl --platform 10.0.0.5:7400 catalogue apply kuiseb.json \
             --author ana --note 'shorter deadlines'\n  \
             ibisctl --platform 10.0.0.5:7400 --node 10.0.1.7:7303 catalogue apply kuiseb.json \
             --author ana --base 41 --wait\n\n\
             Set --base to the version that the file was made from, so that changes by others are\n\
             not overwritten. Without it, the file replaces the current head.",
        )
        .arg(file_arg())
        .arg(text_arg("author", "NAME", "Author of the version").required(true))
        .arg(text_arg("note", "TEXT", "Reason for the change").default_value(""))
        .arg(
            number_arg(
                "base",
                "VERSION",
                "Apply only if this version is the head; 0: if there is none",
            )
            .value_parser(version_parser()),
        );
    with_wait_args(command)
}

fn move_command() -> Command {
    Command::new("move")
        .about("Declares moves and shows their progress")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help("Examples:\n  ibisctl --node 10.0.1.7:7303 move list")
        .subcommand(declare_command())
        .subcommand(
            Command::new("list")
                .about("Lists the declared moves of a node")
                .after_help("Examples:\n  ibisctl --node 10.0.1.7:7303 move list"),
        )
        .subcommand(
            Command::new("show")
                .about("Shows one move, with its recorded outcome when --platform is given")
                .after_help(
                    "Examples:\n  ibisctl --node 10.0.1.7:7303 --platform 10.0.0.5:7400 \
                     move show counter-v2",
                )
                .arg(move_id_arg()),
        )
        .subcommand(
            Command::new("watch")
                .about("Prints each change of a move until it has finished or is withdrawn")
                .after_help("Examples:\n  ibisctl --node 10.0.1.7:7303 move watch counter-v2")
                .arg(move_id_arg()),
        )
}

fn move_id_arg() -> Arg {
    Arg::new("id")
        .value_name("ID")
        .required(true)
        .value_parser(|s: &str| s.parse::<MoveId>())
        .help("Id of the move")
}

fn declare_command() -> Command {
    let command = Command::new("declare")
        .about("Declares a move in the next version of the catalogue")
        .after_help(
            "Examples:\n  ibisctl --platform 10.0.0.5:7400 move declare --service counter --to v2 \
             --id counter-v2 --start now --finish-by +20m --author ana\n\n\
             Times are 'now', a span such as +90s, +20m or +2h (of --start from now, of\n\
             --finish-by from the start), UTC such as 2025-12-04T21:00:00Z, or Unix\n\
             milliseconds.",
        )
        .arg(
            text_arg("service", "S", "Service")
                .required(true)
                .value_parser(|s: &str| s.parse::<ServiceName>()),
        )
        .arg(
            text_arg("to", "V", "Version that takes over the traffic")
                .required(true)
                .value_parser(|s: &str| s.parse::<VersionName>()),
        )
        .arg(
            text_arg("id", "ID", "Id of the move; must not have been used before")
                .required(true)
                .value_parser(|s: &str| s.parse::<MoveId>()),
        )
        .arg(text_arg("start", "TIME", "Time of the first call to the new version").required(true))
        .arg(text_arg("finish-by", "TIME", "Time by which the move has finished").required(true))
        .arg(text_arg("author", "NAME", "Author of the version").required(true))
        .arg(text_arg("note", "TEXT", "Reason for the change").default_value(""));
    with_wait_args(command)
}

fn report_command() -> Command {
    Command::new("report")
        .about("Reports over the fleet")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help("Examples:\n  ibisctl --node 10.0.1.7:7303 report burn")
        .subcommand(
            Command::new("burn")
                .about("Shows how fast each entry consumes its error budget, over all live nodes")
                .after_help(
                    "Examples:\n  ibisctl --node 10.0.1.7:7303 report burn\n  \
                     ibisctl --node 10.0.1.7:7303 --output json report burn",
                ),
        )
}

fn events_command() -> Command {
    Command::new("events")
        .about("Prints the numbered events of one node")
        .after_help(
            "Examples:\n  ibisctl --node 10.0.1.7:7303 events --after 120\n  \
             ibisctl --node 10.0.1.7:7303 events --follow",
        )
        .arg(number_arg("after", "N", "Only events with a higher sequence").default_value("0"))
        .arg(
            Arg::new("follow")
                .long("follow")
                .action(ArgAction::SetTrue)
                .help("Keep printing new events"),
        )
}

fn completions_command() -> Command {
    Command::new("completions")
        .about("Prints completions for a shell")
        .after_help("Examples:\n  ibisctl completions bash > /etc/bash_completion.d/ibisctl")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("Shell"),
        )
}
