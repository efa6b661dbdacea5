//! Command `completions`: prints a completion script for a shell.

use clap::ArgMatches;
use clap_complete::Shell;

use crate::ctl::app::root_command;
use crate::ctl::exit::CommandError;
use crate::ctl::output::print_line;

/// Prints the completion script for the shell that the argument names.
pub fn run(args: &ArgMatches) -> Result<(), CommandError> {
    let Some(shell) = args.get_one::<Shell>("shell").copied() else {
        return Err(CommandError::usage("SHELL is required".to_string()));
    };
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut root_command(), "ibisctl", &mut script);
    print_line(String::from_utf8_lossy(&script).trim_end())
}
