//! Waits until a version is in force on every live node.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use eyre::eyre;
use tokio::time::Instant;

use crate::ctl::admin_client::AdminClient;
use crate::ctl::admin_model::StatusReport;
use crate::ctl::exit::Exit;
use crate::ctl::exit::Stop;
use crate::membership::record::MemberRecord;
use crate::types::ConfigVersion;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Nodes named in an error; more are counted only.
const MAX_NAMED_NODES: usize = 50;

/// One look at the fleet.
struct Progress {
    live: usize,
    /// Nodes without the version, each with the reason.
    missing: Vec<String>,
    /// Whether a node has rejected the version, so that waiting is useless.
    rejected: bool,
}

/// Returns when every live node has `version` or a higher one in force; the members are read again
/// for each look.
pub(super) async fn wait(
    client: &AdminClient,
    node: SocketAddr,
    version: ConfigVersion,
    limit: Duration,
) -> Result<(), Stop> {
    let deadline = Instant::now() + limit;
    let mut last_line = String::new();
    // The answer of the last look, kept for the error when time is over during the next one.
    let mut last = Err(eyre!("no node has answered yet"));
    loop {
        match tokio::time::timeout_at(deadline, look(client, node, version)).await {
            Ok(found) => last = found,
            Err(_) => return Err(not_in_force(version, last)),
        }
        let line = match &last {
            Ok(p) => {
                let done = p.live - p.missing.len();
                format!("version {version} is in force on {done} of {} nodes", p.live)
            }
            Err(e) => e.to_string(),
        };
        if line != last_line {
            eprintln!("{line}");
            last_line = line;
        }
        match &last {
            Ok(p) if p.live > 0 && p.missing.is_empty() => return Ok(()),
            Ok(p) if p.rejected => return Err(not_in_force(version, last)),
            _ => {}
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            return Err(not_in_force(version, last));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn not_in_force(version: ConfigVersion, last: Result<Progress>) -> Stop {
    let detail = match last {
        Ok(p) => {
            let named = p.missing[..p.missing.len().min(MAX_NAMED_NODES)].join("\n  ");
            let more = p.missing.len().saturating_sub(MAX_NAMED_NODES);
            let more = if more > 0 { format!("\n  and {more} more") } else { String::new() };
            format!("missing {} of {} nodes:\n  {named}{more}", p.missing.len(), p.live)
        }
        Err(e) => e.to_string(),
    };
    let report = eyre!("version {version} was accepted, but is not in force everywhere: {detail}");
    Stop::new(Exit::NotInForce, report)
}

async fn look(client: &AdminClient, node: SocketAddr, version: ConfigVersion) -> Result<Progress> {
    let members = client.live_members(node).await?;
    let mut progress = Progress { live: members.len(), missing: Vec::new(), rejected: false };
    for (member, status) in client.get_each::<StatusReport>(&members, "/status").await {
        if let Some(reason) = reason_missing(&member, status, version, &mut progress.rejected) {
            progress.missing.push(reason);
        }
    }
    progress.missing.sort();
    Ok(progress)
}

fn reason_missing(
    member: &MemberRecord,
    status: Result<StatusReport>,
    version: ConfigVersion,
    rejected: &mut bool,
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
            *rejected = true;
            Some(format!("{}: rejected it: {}", member.node, r.reason))
        }
        _ => Some(format!("{}: has version {}", member.node, status.version)),
    }
}
