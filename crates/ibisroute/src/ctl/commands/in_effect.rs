//! Waits until a version is in effect on every live node.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use eyre::eyre;
use tokio::time::Instant;

use crate::ctl::admin_client::AdminClient;
use crate::ctl::admin_model::StatusReport;
use crate::ctl::exit::CommandError;
use crate::ctl::exit::Exit;
use crate::membership::record::MemberRecord;
use crate::types::ConfigVersion;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Largest number of nodes that an error lists; further nodes are only counted.
const MAX_LISTED_NODES: usize = 50;

/// Result of one poll of the fleet.
struct FleetProgress {
    /// Number of live nodes.
    live_nodes: usize,
    /// Nodes without the version, each with the reason.
    missing_nodes: Vec<String>,
    /// Whether a node has rejected the version; waiting longer is then useless.
    is_rejected: bool,
}

/// Waits until `version` or a higher one is in effect on every live node. Each poll reads the
/// member list again. Fails on a timeout, or when a node rejects the version.
pub(super) async fn wait(
    client: &AdminClient,
    node: SocketAddr,
    version: ConfigVersion,
    timeout: Duration,
) -> Result<(), CommandError> {
    let deadline = Instant::now() + timeout;
    let mut last_progress_line = String::new();
    // Result of the latest completed poll; reported if the deadline passes during the next poll.
    let mut last_poll = Err(eyre!("no node has responded yet"));
    loop {
        match tokio::time::timeout_at(deadline, poll_fleet(client, node, version)).await {
            Ok(result) => last_poll = result,
            Err(_) => return Err(not_in_effect_error(version, last_poll)),
        }
        let progress_line = match &last_poll {
            Ok(p) => {
                let up_to_date_nodes = p.live_nodes - p.missing_nodes.len();
                format!(
                    "version {version} is in force on {up_to_date_nodes} of {} nodes",
                    p.live_nodes
                )
            }
            Err(e) => e.to_string(),
        };
        if progress_line != last_progress_line {
            eprintln!("{progress_line}");
            last_progress_line = progress_line;
        }
        match &last_poll {
            Ok(p) if p.live_nodes > 0 && p.missing_nodes.is_empty() => return Ok(()),
            Ok(p) if p.is_rejected => return Err(not_in_effect_error(version, last_poll)),
            _ => {}
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            return Err(not_in_effect_error(version, last_poll));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn not_in_effect_error(version: ConfigVersion, last_poll: Result<FleetProgress>) -> CommandError {
    let detail = match last_poll {
        Ok(p) => {
            let listed_nodes =
                p.missing_nodes[..p.missing_nodes.len().min(MAX_LISTED_NODES)].join("\n  ");
            let omitted_nodes = p.missing_nodes.len().saturating_sub(MAX_LISTED_NODES);
            let omitted_notice = if omitted_nodes > 0 {
                format!("\n  and {omitted_nodes} more")
            } else {
                String::new()
            };
            format!(
                "missing {} of {} nodes:\n  {listed_nodes}{omitted_notice}",
                p.missing_nodes.len(),
                p.live_nodes
            )
        }
        Err(e) => e.to_string(),
    };
    let error = eyre!("version {version} was accepted, but is not in force everywhere: {detail}");
    CommandError::new(Exit::NotInEffect, error)
}

async fn poll_fleet(
    client: &AdminClient,
    node: SocketAddr,
    version: ConfigVersion,
) -> Result<FleetProgress> {
    let members = client.live_members(node).await?;
    let mut progress =
        FleetProgress { live_nodes: members.len(), missing_nodes: Vec::new(), is_rejected: false };
    for (member, status) in client.get_from_members::<StatusReport>(&members, "/status").await {
        if let Some(reason) = missing_reason(&member, status, version, &mut progress.is_rejected) {
            progress.missing_nodes.push(reason);
        }
    }
    progress.missing_nodes.sort();
    Ok(progress)
}

/// Returns why a member lacks the version, or `None` when the version or a higher one is in effect
/// there. Sets `is_rejected` when the member has rejected the version.
fn missing_reason(
    member: &MemberRecord,
    status: Result<StatusReport>,
    version: ConfigVersion,
    is_rejected: &mut bool,
) -> Option<String> {
    let status = match status {
        Ok(status) => status,
        Err(e) => return Some(format!("{}: {e}", member.node)),
    };
    if status.version >= version {
        return None;
    }
    match status.rejected {
        Some(r) if r.version == version => {
            *is_rejected = true;
            Some(format!("{}: rejected it: {}", member.node, r.reason))
        }
        _ => Some(format!("{}: has version {}", member.node, status.version)),
    }
}
