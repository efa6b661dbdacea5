//! Command `catalogue show`: prints an accepted version as a catalogue file.

use clap::ArgMatches;
use eyre::eyre;

use crate::catalogue::document::Document;
use crate::ctl::context::Context;
use crate::ctl::exit::CommandError;
use crate::types::ConfigVersion;

/// Prints the given version, or the head without an argument. Both output formats are
/// documents that `catalogue apply` accepts; `json` prints the canonical bytes.
pub async fn run(cx: &Context, args: &ArgMatches) -> Result<(), CommandError> {
    let store = cx.store()?;
    let digest = match args.get_one::<u64>("version") {
        Some(version) => store.history_row(ConfigVersion(*version)).await?.digest,
        None => match store.head().await? {
            Some(head) => head.row.digest,
            None => return Err(eyre!("there is no catalogue yet").into()),
        },
    };
    let doc = Document::from(&store.catalogue(digest).await?);
    cx.output.print(&doc, |doc| serde_json::to_string_pretty(doc).unwrap_or_default())
}
