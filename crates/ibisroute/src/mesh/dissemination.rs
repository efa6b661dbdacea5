//! Decides which peers receive a status and which nodes judge moves. In a large fleet, only changes of a
//! target and periodic statuses go to all peers, because a status that each node sends to all others costs
//! the square of the fleet's size.

use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;

use super::frames::Status;
use crate::types::NodeId;

/// Numbers of receivers, and the size of a fleet below which they do not apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DisseminationSettings {
    /// Number of peers up to which each status goes to all of them.
    pub small_fleet: usize,
    /// Number of random peers that learn from a node that it has received rows from a peer. The node that
    /// read the rows pushes them to all, so these statuses only reach nodes that the push missed.
    pub fan_out: usize,
    /// Number of nodes, the first by name, that receive evidence and judge moves.
    pub evaluators: usize,
    /// Maximum number of nodes that a greeting lists.
    pub greeted: usize,
}

impl Default for DisseminationSettings {
    fn default() -> Self {
        Self { small_fleet: 24, fan_out: 8, evaluators: 5, greeted: 24 }
    }
}

/// Reason for sending a status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occasion {
    /// The node, its target or the verdict of a move has changed.
    Change,
    /// The interval between periodic statuses has passed.
    Periodic,
    /// Rows arrived from a peer.
    RowsReceived,
    /// New evidence of a move was collected.
    Evidence,
}

/// Peers that receive a status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Receivers {
    /// Peers that receive the status with the evidence of the local target.
    pub with_evidence: BTreeSet<NodeId>,
    /// Peers that receive the status without the evidence.
    pub without_evidence: BTreeSet<NodeId>,
}

impl Receivers {
    /// Returns all receivers.
    pub fn all(&self) -> BTreeSet<NodeId> {
        self.with_evidence.union(&self.without_evidence).cloned().collect()
    }
}

/// The last status that was sent, and which peers received it. They need only the load afterwards.
#[derive(Clone, Debug, Default)]
pub struct SentStatus {
    status: Option<Status>,
    informed: BTreeSet<NodeId>,
}

impl SentStatus {
    /// Records that a status was sent to `receivers`.
    pub fn record(&mut self, status: &Status, receivers: impl IntoIterator<Item = NodeId>) {
        if !self.status.as_ref().is_some_and(|s| status.differs_by_load_only(s)) {
            self.informed.clear();
        }
        self.status = Some(status.clone());
        self.informed.extend(receivers);
    }

    /// Records that a peer has connected again, after which it knows no status.
    pub fn forget_peer(&mut self, peer: &NodeId) {
        self.informed.remove(peer);
    }

    /// Returns the peers that know all of `status` but the load.
    pub fn informed_of(&self, status: &Status) -> BTreeSet<NodeId> {
        match &self.status {
            Some(sent) if status.differs_by_load_only(sent) => self.informed.clone(),
            _ => BTreeSet::new(),
        }
    }
}

/// Returns the nodes that judge moves: `eligible` are the nodes that can be reached and can record a
/// verdict, this node included, in the order of their names.
pub fn evaluators<'a>(
    eligible: impl Iterator<Item = &'a NodeId>,
    peer_count: usize,
    cfg: &DisseminationSettings,
) -> BTreeSet<NodeId> {
    let count = if peer_count <= cfg.small_fleet { usize::MAX } else { cfg.evaluators };
    eligible.take(count).cloned().collect()
}

/// Selects the receivers of a status among `peers`. `evaluators` are the nodes that judge moves.
pub fn receivers(
    occasion: Occasion,
    peers: &[NodeId],
    evaluators: &BTreeSet<NodeId>,
    rng: &mut SmallRng,
    cfg: &DisseminationSettings,
) -> Receivers {
    let is_small = peers.len() <= cfg.small_fleet;
    let selected: Vec<&NodeId> = match occasion {
        Occasion::RowsReceived if !is_small => peers.choose_multiple(rng, cfg.fan_out).collect(),
        Occasion::Evidence => peers.iter().filter(|p| evaluators.contains(*p)).collect(),
        Occasion::Change | Occasion::Periodic | Occasion::RowsReceived => peers.iter().collect(),
    };
    let (with_evidence, without_evidence) =
        selected.into_iter().cloned().partition(|p| is_small || evaluators.contains(p));
    Receivers { with_evidence, without_evidence }
}

/// Returns the nodes that a greeting lists for a peer that knows `known_count` nodes: none if it knows at
/// least as many as this node, else at most [`DisseminationSettings::greeted`] random ones. A newcomer
/// opens connections to many nodes, whose lists complement each other.
pub fn greeting<T: Clone>(
    nodes: &[T],
    known_count: usize,
    rng: &mut SmallRng,
    cfg: &DisseminationSettings,
) -> Vec<T> {
    if nodes.len() <= known_count {
        return Vec::new();
    }
    nodes.choose_multiple(rng, cfg.greeted).cloned().collect()
}
