//! Command `catalogue diff`: compares a catalogue file with an accepted version.

use clap::ArgMatches;
use smol_str::SmolStr;

use crate::catalogue::diff::ItemChange;
use crate::catalogue::diff::diff;
use crate::catalogue::model::Catalogue;
use crate::ctl::context::Context;
use crate::ctl::context::read_catalogue;
use crate::ctl::exit::CommandError;
use crate::types::ConfigVersion;

/// Prints the changes that a file would make to the head, or to the version given with `--against`.
pub async fn run(cx: &Context, args: &ArgMatches) -> Result<(), CommandError> {
    let path = args.get_one::<String>("file").map_or("-", String::as_str);
    let file_catalogue = read_catalogue(path)?;
    let store = cx.store()?;
    let digest = match args.get_one::<u64>("against") {
        Some(version) => Some(store.history_row(ConfigVersion(*version)).await?.digest),
        None => store.head().await?.map(|head| head.row.digest),
    };
    let accepted_catalogue = match digest {
        Some(digest) => store.catalogue(digest).await?,
        // No version has been accepted yet, so everything in the file is new.
        None => Catalogue {
            name: SmolStr::default(),
            services: Vec::new(),
            entries: Vec::new(),
            moves: Vec::new(),
        },
    };
    cx.output.print(&diff(&accepted_catalogue, &file_catalogue), |changes| format_changes(changes))
}

fn format_changes(changes: &[ItemChange]) -> String {
    if changes.is_empty() {
        return "no difference".to_string();
    }
    changes.iter().map(|change| format!("{change}\n")).collect()
}
