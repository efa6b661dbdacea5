//! `completions`.

use clap::ArgMatches;
use clap_complete::Shell;

use crate::ctl::app::app;
use crate::ctl::exit::Stop;
use crate::ctl::output::line;

/// Runs the query.
pub fn run(args: &ArgMatches) -> Result<(), Stop> {
    let Some(shell) = args.get_one::<Shell>("shell").copied() else {
        return Err(Stop::usage("SHELL is required".to_string()));
    };
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut app(), "ibisctl", &mut script);
    line(String::from_utf8_lossy(&script).trim_end())
}
