//! Command `status`: prints the state of one node.

use crate::ctl::admin_model::StatusReport;
use crate::ctl::context::Context;
use crate::ctl::exit::CommandError;
use crate::ctl::output::format_table;

/// Prints the status report of the node given with `--node`.
pub async fn run(cx: &Context) -> Result<(), CommandError> {
    let (client, node) = cx.node()?;
    let report: StatusReport = client.get(node, "/status").await?;
    cx.output.print(&report, format_status)
}

fn format_status(report: &StatusReport) -> String {
    let members = &report.members;
    let mut lines = vec![
        format!("node         {}", report.node),
        format!("data centre  {} in {}", report.data_centre, report.region),
        format!("state        {}", report.state),
        format!("version      {} (head {})", report.version, report.head_version),
    ];
    if let Some(digest) = &report.digest {
        lines.push(format!("digest       {digest}"));
    }
    if let Some(rejected) = &report.rejected {
        lines.push(format!("rejected     version {}: {}", rejected.version, rejected.reason));
    }
    lines.push(format!(
        "members      {} alive, {} suspect, {} dead, {} left",
        members.alive, members.suspect, members.dead, members.left
    ));
    if report.targets.is_empty() {
        return lines.join("\n");
    }
    let rows: Vec<Vec<String>> = report
        .targets
        .iter()
        .map(|t| {
            vec![
                t.instance.to_string(),
                t.service.to_string(),
                t.version.to_string(),
                format!("{:?}", t.state).to_lowercase(),
                format!("{} of {}", t.in_flight, t.slots),
            ]
        })
        .collect();
    lines.push(String::new());
    lines.push(format_table(&["TARGET", "SERVICE", "VERSION", "STATE", "IN FLIGHT"], &rows));
    lines.join("\n")
}
