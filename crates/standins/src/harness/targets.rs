//! Waiting until the nodes have targets in their member lists.

use std::time::Duration;

use serde_json::Value;

use super::cluster::Cluster;
use super::cluster::Node;

impl Cluster {
    /// Waits until every running node lists at least `count` ready targets of live nodes.
    pub fn wait_targets(&self, count: usize, timeout: Duration) -> eyre::Result<()> {
        self.wait_all(&format!("{count} ready targets"), timeout, |n| ready_targets(n) >= count)
    }
}

fn ready_targets(node: &Node) -> usize {
    let Some(response) = node.admin("/members") else { return 0 };
    let view = response.json();
    let members = view["members"].as_array().map(Vec::as_slice).unwrap_or_default();
    let live = members.iter().filter(|member| member["status"] == "Alive");
    let targets = live.filter_map(|member| member["targets"].as_array());
    targets.flatten().filter(|target: &&Value| target["state"] == "Ready").count()
}
