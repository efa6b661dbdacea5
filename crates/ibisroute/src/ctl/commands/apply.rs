//! `catalogue apply`, and the steps that it shares with `move declare`.

use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use eyre::eyre;
use serde_json::json;

use super::in_effect;
use crate::catalogue::diff::ItemChange;
use crate::catalogue::model::Catalogue;
use crate::catalogue::store::ApplyOutcome;
use crate::catalogue::store::CatalogueStore;
use crate::catalogue::store::HeadRow;
use crate::ctl::admin_client::AdminClient;
use crate::ctl::context::Context;
use crate::ctl::context::read_catalogue;
use crate::ctl::exit::CommandError;
use crate::ctl::exit::Exit;
use crate::ctl::output;
use crate::ctl::output::OutputFormat;
use crate::types::ConfigVersion;

/// Options of `--wait`: the timeout, and the node whose member list shows which nodes to wait for.
pub(super) struct WaitOptions {
    client: AdminClient,
    node: SocketAddr,
    timeout: Duration,
}

impl WaitOptions {
    /// Reads `--wait` and `--timeout-s`; `None` without `--wait`. Must be called before anything is
    /// written, so that a missing `--node` is reported early.
    pub(super) fn from_args(cx: &Context, args: &ArgMatches) -> Result<Option<Self>, CommandError> {
        if !args.get_flag("wait") {
            return Ok(None);
        }
        let (client, node) = cx.node()?;
        let seconds = args.get_one::<u64>("timeout-s").copied().unwrap_or(30);
        Ok(Some(Self { client, node, timeout: Duration::from_secs(seconds) }))
    }
}

/// Author and note that the history records for a version.
pub(super) struct Authorship<'a> {
    pub(super) author: &'a str,
    pub(super) note: &'a str,
}

impl<'a> Authorship<'a> {
    pub(super) fn from_args(args: &'a ArgMatches) -> Self {
        Self { author: text_option(args, "author"), note: text_option(args, "note") }
    }
}

/// Returns the value of a text option that is required or has a default.
pub(super) fn text_option<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}

/// Applies a file as the version after `--base`, or after the current head without `--base`.
pub async fn run(cx: &Context, args: &ArgMatches) -> Result<(), CommandError> {
    let catalogue = read_catalogue(text_option(args, "file"))?;
    let store = cx.store()?;
    let wait_options = WaitOptions::from_args(cx, args)?;
    let base = match args.get_one::<u64>("base") {
        Some(base) => ConfigVersion(*base),
        None => store.head().await?.map_or(ConfigVersion(0), |head| head.row.version),
    };
    let row = write_version(cx, &store, &catalogue, base, &Authorship::from_args(args)).await?;
    wait_if_requested(wait_options, &row).await
}

/// Writes `catalogue` as the version after `base`. Prints the new version, or the conflict with the
/// head; other failures are returned.
pub(super) async fn write_version(
    cx: &Context,
    store: &CatalogueStore,
    catalogue: &Catalogue,
    base: ConfigVersion,
    authorship: &Authorship<'_>,
) -> Result<HeadRow, CommandError> {
    match store.apply(catalogue, base, authorship.author, authorship.note).await {
        ApplyOutcome::Accepted(row) => {
            let value =
                json!({"outcome": "accepted", "version": row.version, "digest": row.digest});
            cx.output.print(&value, |_| format!("accepted as version {}", row.version))?;
            Ok(row)
        }
        ApplyOutcome::Conflict { theirs, difference } => {
            print_conflict(cx.output, base, theirs.as_ref(), difference.as_deref())?;
            Err(CommandError::silent(Exit::Conflict))
        }
        ApplyOutcome::Unavailable(reason) => Err(CommandError::new(
            Exit::Unavailable,
            eyre!("nothing was applied, the platform is unavailable: {reason}"),
        )),
        ApplyOutcome::Unknown(reason) => Err(CommandError::new(
            Exit::Unavailable,
            eyre!(
                "it is unknown whether version {} was accepted ({reason}); \
                 check with 'ibisctl catalogue history' before you apply it again",
                base.next()
            ),
        )),
    }
}

fn print_conflict(
    output: OutputFormat,
    base: ConfigVersion,
    theirs: Option<&HeadRow>,
    difference: Option<&[ItemChange]>,
) -> Result<(), CommandError> {
    if output == OutputFormat::Json {
        let value = json!({"outcome": "conflict", "base": base, "theirs": theirs,
            "difference": difference});
        return output.print(&value, |_| String::new());
    }
    match theirs {
        Some(row) => {
            eprintln!(
                "ibisctl: conflict: the head is version {} by {}, not version {base}; \
                 nothing was applied",
                row.version, row.author
            );
        }
        None => eprintln!("ibisctl: conflict: there is no version {base}; nothing was applied"),
    }
    match difference {
        Some(changes) => {
            eprintln!("changes that your catalogue would make to the head:");
            changes.iter().try_for_each(|change| output::print_line(&change.to_string()))
        }
        None => Ok(()),
    }
}

/// Waits until the version of `row` is in effect on every live node, if `--wait` was given.
pub(super) async fn wait_if_requested(
    wait_options: Option<WaitOptions>,
    row: &HeadRow,
) -> Result<(), CommandError> {
    let Some(options) = wait_options else { return Ok(()) };
    in_effect::wait(&options.client, options.node, row.version, options.timeout).await
}
