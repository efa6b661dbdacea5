//! `catalogue apply`, and the end that it shares with `move declare`.

use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use eyre::eyre;
use serde_json::json;

use super::in_force;
use crate::catalogue::diff::Change;
use crate::catalogue::model::Catalogue;
use crate::catalogue::store::ApplyOutcome;
use crate::catalogue::store::HeadRow;
use crate::catalogue::store::Store;
use crate::ctl::admin_client::AdminClient;
use crate::ctl::context::Context;
use crate::ctl::context::read_catalogue;
use crate::ctl::exit::Exit;
use crate::ctl::exit::Stop;
use crate::ctl::output;
use crate::ctl::output::Output;
use crate::types::ConfigVersion;

/// How long to wait for a version, and through which node.
pub(super) struct Wait {
    client: AdminClient,
    node: SocketAddr,
    limit: Duration,
}

impl Wait {
    /// Reads `--wait` and `--timeout-s`; fails before anything is written when `--node` is missing.
    pub(super) fn from_args(cx: &Context, args: &ArgMatches) -> Result<Option<Self>, Stop> {
        if !args.get_flag("wait") {
            return Ok(None);
        }
        let (client, node) = cx.node()?;
        let seconds = args.get_one::<u64>("timeout-s").copied().unwrap_or(30);
        Ok(Some(Self { client, node, limit: Duration::from_secs(seconds) }))
    }
}

/// Who changes the catalogue and why.
pub(super) struct Signature<'a> {
    pub(super) author: &'a str,
    pub(super) note: &'a str,
}

impl<'a> Signature<'a> {
    pub(super) fn from_args(args: &'a ArgMatches) -> Self {
        Self { author: text(args, "author"), note: text(args, "note") }
    }
}

/// A text option that is required or has a default.
pub(super) fn text<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}

/// Runs the command.
pub async fn run(cx: &Context, args: &ArgMatches) -> Result<(), Stop> {
    let catalogue = read_catalogue(text(args, "file"))?;
    let store = cx.store()?;
    let wait = Wait::from_args(cx, args)?;
    let base = match args.get_one::<u64>("base") {
        Some(base) => ConfigVersion(*base),
        None => store.head().await?.map_or(ConfigVersion(0), |head| head.row.version),
    };
    let row = write(cx, &store, &catalogue, base, &Signature::from_args(args)).await?;
    wait_for(wait, &row).await
}

/// Writes the version after `base` and prints the outcome.
pub(super) async fn write(
    cx: &Context,
    store: &Store,
    catalogue: &Catalogue,
    base: ConfigVersion,
    signature: &Signature<'_>,
) -> Result<HeadRow, Stop> {
    match store.apply(catalogue, base, signature.author, signature.note).await {
        ApplyOutcome::Accepted(row) => {
            let value =
                json!({"outcome": "accepted", "version": row.version, "digest": row.digest});
            cx.output.print(&value, |_| format!("accepted as version {}", row.version))?;
            Ok(row)
        }
        ApplyOutcome::Conflict { theirs, difference } => {
            print_conflict(cx.output, base, theirs.as_ref(), difference.as_deref())?;
            Err(Stop::silent(Exit::Conflict))
        }
        ApplyOutcome::Unavailable(reason) => Err(Stop::new(
            Exit::Unavailable,
            eyre!("nothing was applied, the platform is unavailable: {reason}"),
        )),
        ApplyOutcome::Unknown(reason) => Err(Stop::new(
            Exit::Unavailable,
            eyre!(
                "it is unknown whether version {} was accepted ({reason}); \
                 look with 'ibisctl catalogue history' before you apply it again",
                base.next()
            ),
        )),
    }
}

fn print_conflict(
    output: Output,
    base: ConfigVersion,
    theirs: Option<&HeadRow>,
    difference: Option<&[Change]>,
) -> Result<(), Stop> {
    if output == Output::Json {
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
            eprintln!("what your catalogue would change in theirs:");
            changes.iter().try_for_each(|change| output::line(&change.to_string()))
        }
        None => Ok(()),
    }
}

/// Waits until the version is in force, when that was asked for.
pub(super) async fn wait_for(wait: Option<Wait>, row: &HeadRow) -> Result<(), Stop> {
    let Some(wait) = wait else { return Ok(()) };
    in_force::wait(&wait.client, wait.node, row.version, wait.limit).await
}
