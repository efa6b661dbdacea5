//! `report burn`.

use eyre::eyre;
use serde_json::json;

use crate::ctl::admin_model::BurnEntry;
use crate::ctl::admin_model::BurnReport;
use crate::ctl::burn::merge;
use crate::ctl::context::Context;
use crate::ctl::exit::Stop;
use crate::ctl::output::table;

const HEADERS: [&str; 12] = [
    "ENTRY", "OWNER", "CALLS", "FAILED", "REFUSED", "SLOW", "BUDGET", "BURN 5M", "BURN 1H",
    "P50 MS", "P99 MS", "ALERT",
];

/// Runs the query. Nodes that do not answer are named on standard error and in the JSON.
pub async fn run(cx: &Context) -> Result<(), Stop> {
    let (client, node) = cx.node()?;
    let members = client.live_members(node).await?;
    let mut reports = Vec::new();
    let mut missing = Vec::new();
    for (member, report) in client.get_each::<BurnReport>(&members, "/report/burn").await {
        match report {
            Ok(report) => reports.push(report),
            Err(e) => {
                eprintln!("ibisctl: the report lacks {}: {e}", member.node);
                missing.push(member.node);
            }
        }
    }
    if reports.is_empty() {
        return Err(eyre!("none of {} live nodes answered", members.len()).into());
    }
    missing.sort();
    let merged = merge(&reports);
    let value = json!({"entries": merged.entries, "nodes": reports.len(), "missing": missing});
    cx.output.print(&value, |_| {
        let rows: Vec<Vec<String>> = merged.entries.iter().map(row).collect();
        table(&HEADERS, &rows)
    })
}

fn row(entry: &BurnEntry) -> Vec<String> {
    let quantile = |ms: Option<f64>| ms.map_or("-".to_string(), |ms| format!("{ms:.1}"));
    vec![
        entry.entry.to_string(),
        entry.owner.clone(),
        entry.calls.to_string(),
        entry.failures.to_string(),
        entry.refused.to_string(),
        entry.slow.to_string(),
        format!("{:.1}%", entry.budget_left_percent),
        format!("{:.2}", entry.burn_5m),
        format!("{:.2}", entry.burn_1h),
        quantile(entry.p50_ms),
        quantile(entry.p99_ms),
        entry.alert.map_or("-".to_string(), |alert| alert.to_string()),
    ]
}
