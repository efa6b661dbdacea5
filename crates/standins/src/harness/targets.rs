//! Waiting for targets as the nodes see them.

use std::time::Duration;

use serde_json::Value;

use super::cluster::Cluster;
use super::cluster::Node;

impl Cluster {
    /// Waits until every running node counts at least `count` targets of live nodes as ready.
    pub fn wait_targets(&self, count: usize, bound: Duration) -> eyre::Result<()> {
        self.wait_all(&format!("{count} ready targets"), bound, |node| ready_targets(node) >= count)
    }
}

fn ready_targets(node: &Node) -> usize {
    let Some(answer) = node.admin("/members") else { return 0 };
    let view = answer.json();
    let members = view["members"].as_array().map(Vec::as_slice).unwrap_or_default();
    let live = members.iter().filter(|member| member["status"] == "Alive");
    let targets = live.filter_map(|member| member["targets"].as_array());
    targets.flatten().filter(|target: &&Value| target["state"] == "Ready").count()
}
