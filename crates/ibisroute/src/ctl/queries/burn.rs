//! Command `report burn`: merges the burn reports of all live nodes into one for the fleet.

use eyre::eyre;
use serde_json::json;

use crate::ctl::context::Context;
use crate::ctl::exit::CommandError;
use crate::report::burn::BurnReport;
use crate::report::burn::merge_reports;
use crate::report::render;
use crate::report::report_settings::ReportSettings;

/// Prints the merged burn report of all live nodes. Nodes that do not respond are named on standard
/// error and in the JSON output.
pub async fn run(cx: &Context) -> Result<(), CommandError> {
    let (client, node) = cx.node()?;
    let members = client.live_members(node).await?;
    let mut node_reports = Vec::new();
    let mut missing_nodes = Vec::new();
    for (member, report) in client.get_from_members::<BurnReport>(&members, "/report/burn").await {
        match report {
            Ok(report) => node_reports.push(report),
            Err(e) => {
                eprintln!("ibisctl: the report lacks {}: {e}", member.node);
                missing_nodes.push(member.node);
            }
        }
    }
    if node_reports.is_empty() {
        return Err(eyre!("none of {} live nodes responded", members.len()).into());
    }
    missing_nodes.sort();
    let fleet_report = merge_reports(&node_reports, &ReportSettings::default());
    let value = json!({
        "entries": fleet_report.entries,
        "nodes": node_reports.len(),
        "missing": missing_nodes,
    });
    cx.output.print(&value, |_| render::table(&fleet_report))
}
