//! Commands `move list`, `move show` and `move watch`.

use std::time::Duration;

use clap::ArgMatches;
use eyre::eyre;
use serde_json::Value;
use serde_json::json;

use crate::ctl::admin_model::MovesReport;
use crate::ctl::context::Context;
use crate::ctl::exit::CommandError;
use crate::ctl::output::format_table;
use crate::ctl::times::format_time;
use crate::moves::evaluator::MoveReport;
use crate::moves::outcome::outcome_key;
use crate::moves::state::Phase;
use crate::types::MoveId;

const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Number of consecutive failed polls after which [`watch`] gives up.
const MAX_CONSECUTIVE_FAILURES: u32 = 20;

const COLUMN_HEADERS: [&str; 9] =
    ["ID", "SERVICE", "FROM", "TO", "STAGE", "SHARE", "NEW CALLS", "STATE", "FINISH BY"];

fn format_move_state(m: &MoveReport) -> String {
    match m.phase {
        Phase::Waiting => "not started".to_string(),
        Phase::Moving if m.stopped_here => "running, stopped on this node".to_string(),
        Phase::Moving => "running".to_string(),
        Phase::Finished => "finished".to_string(),
        Phase::Withdrawn if m.reason.is_empty() => "withdrawn".to_string(),
        Phase::Withdrawn => format!("withdrawn: {}", m.reason),
    }
}

fn has_ended(m: &MoveReport) -> bool {
    matches!(m.phase, Phase::Finished | Phase::Withdrawn)
}

fn table_row(m: &MoveReport) -> Vec<String> {
    vec![
        m.id.to_string(),
        m.service.to_string(),
        m.from.to_string(),
        m.to.to_string(),
        m.stage.to_string(),
        format!("{:.0}%", m.share_percent),
        m.new_calls.to_string(),
        format_move_state(m),
        format_time(m.finish_by_unix_ms),
    ]
}

/// Prints all moves that the node reports.
pub async fn list(cx: &Context) -> Result<(), CommandError> {
    let (client, node) = cx.node()?;
    let report: MovesReport = client.get(node, "/moves").await?;
    cx.output.print(&report, |report| {
        let rows: Vec<Vec<String>> = report.moves.iter().map(table_row).collect();
        format_table(&COLUMN_HEADERS, &rows)
    })
}

fn required_move_id(args: &ArgMatches) -> Result<&MoveId, CommandError> {
    args.get_one::<MoveId>("id").ok_or_else(|| CommandError::usage("ID is required".to_string()))
}

async fn fetch_move(cx: &Context, id: &MoveId) -> eyre::Result<Option<MoveReport>, CommandError> {
    let (client, node) = cx.node()?;
    let report: MovesReport = client.get(node, "/moves").await?;
    Ok(report.moves.into_iter().find(|m| &m.id == id))
}

/// Prints one move as the node reports it, and its recorded outcome if `--platform` was given.
pub async fn show(cx: &Context, args: &ArgMatches) -> Result<(), CommandError> {
    let id = required_move_id(args)?;
    let reported_move = fetch_move(cx, id).await?;
    let outcome: Option<Value> = match cx.has_platform() {
        true => cx.store()?.row_value(&outcome_key(id)).await?,
        false => None,
    };
    if reported_move.is_none() && outcome.is_none() {
        return Err(eyre!("there is no move {id}").into());
    }
    let value = json!({"move": reported_move, "outcome": outcome});
    cx.output.print(&value, |_| {
        let rows: Vec<Vec<String>> = reported_move.iter().map(table_row).collect();
        let mut output_text =
            if rows.is_empty() { String::new() } else { format_table(&COLUMN_HEADERS, &rows) };
        if let Some(outcome) = &outcome {
            output_text.push_str(&format!("recorded outcome of {id}: {outcome}\n"));
        }
        output_text
    })
}

/// Prints a move each time it changes, until it has finished or is withdrawn. Fails when the first
/// poll fails, or after `MAX_CONSECUTIVE_FAILURES` consecutive failed polls.
pub async fn watch(cx: &Context, args: &ArgMatches) -> Result<(), CommandError> {
    let id = required_move_id(args)?;
    let mut last_report = None;
    let mut consecutive_failures = 0;
    loop {
        match fetch_move(cx, id).await {
            Ok(Some(m)) => {
                consecutive_failures = 0;
                if last_report.as_ref() != Some(&m) {
                    cx.output.print(&m, |m| table_row(m).join("  "))?;
                }
                if has_ended(&m) {
                    return Ok(());
                }
                last_report = Some(m);
            }
            Ok(None) => return Err(eyre!("the node has no move {id}").into()),
            Err(error) => {
                consecutive_failures += 1;
                // A failure before the first successful poll probably means a wrong address.
                if last_report.is_none() || consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
                    return Err(error);
                }
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
