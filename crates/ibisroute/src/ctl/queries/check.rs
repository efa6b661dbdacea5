//! Command `catalogue check`: validates a catalogue file.

use clap::ArgMatches;
use serde_json::json;

use crate::catalogue;
use crate::ctl::context::Context;
use crate::ctl::context::read_file;
use crate::ctl::exit::CommandError;
use crate::ctl::exit::Exit;
use crate::ctl::output::OutputFormat;

/// Validates a file; prints a summary of its contents, or all its errors.
pub fn run(cx: &Context, args: &ArgMatches) -> Result<(), CommandError> {
    let path = args.get_one::<String>("file").map_or("-", String::as_str);
    match catalogue::parse(&read_file(path)?) {
        Ok(parsed) => {
            let digest = catalogue::digest(&parsed);
            let value = json!({"valid": true, "digest": digest});
            cx.output.print(&value, |_| {
                format!(
                    "{path} is valid: {} services, {} entries, {} moves, digest {digest}",
                    parsed.services.len(),
                    parsed.entries.len(),
                    parsed.moves.len()
                )
            })
        }
        Err(errors) => {
            match cx.output {
                OutputFormat::Table => eprintln!("{path} is not a valid catalogue:\n{errors}"),
                OutputFormat::Json => {
                    let value = json!({"valid": false, "errors": errors});
                    cx.output.print(&value, |_| String::new())?;
                }
            }
            Err(CommandError::silent(Exit::Invalid))
        }
    }
}
