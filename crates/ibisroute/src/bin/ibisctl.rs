//! Command line for operators, implemented by `ibisroute::ctl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    ibisroute::ctl::run(std::env::args_os()).into()
}
