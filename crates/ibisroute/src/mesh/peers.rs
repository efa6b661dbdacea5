//! The other nodes: their addresses, their last statuses and the connections to them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use serde_json::Value;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use super::decision_log::LineClass;
use super::dissemination;
use super::dissemination::DisseminationSettings;
use super::frames;
use super::frames::Frame;
use super::frames::NodeDescriptor;
use super::frames::Status;
use super::link::Link;
use super::mesh_settings::MeshPeerSettings;
use super::node::Node;
use super::replicated_rows::RowVersion;
use super::replicated_rows::RowsSummary;
use super::slot_queue::Load;
use crate::events::mesh as codes;
use crate::types::Millis;
use crate::types::NodeId;

/// Time without a connection after which a peer is dialed less frequently. Rows of removed hosts
/// stay in the store, and connecting to those hosts always fails.
const UNREACHABLE_AFTER: Millis = Millis(60_000);

/// Pause between attempts to reach a peer after [`UNREACHABLE_AFTER`].
const UNREACHABLE_RETRY_PAUSE: Millis = Millis(15_000);

/// Address, connection and last status of a peer.
#[derive(Debug)]
pub struct Peer {
    pub descriptor: NodeDescriptor,
    /// The connection that this node opened; `None` while there is none.
    pub link: Option<Rc<Link>>,
    /// The last status received; `None` without a connection.
    pub status: Option<Status>,
    /// Task that connects to the peer and reconnects after failures.
    dial_task: AbortHandle,
}

impl Peer {
    /// Returns whether calls can be sent to the peer.
    pub fn is_reachable(&self) -> bool {
        self.link.as_ref().is_some_and(|l| !l.send_queue.is_closed())
    }
}

/// All other nodes that a node knows.
#[derive(Debug, Default)]
pub struct Peers {
    pub by_name: RefCell<BTreeMap<NodeId, Peer>>,
}

impl Peers {
    /// Counts the nodes that can be reached, this one included.
    pub fn reachable_count(&self) -> usize {
        1 + self.by_name.borrow().values().filter(|p| p.is_reachable()).count()
    }

    /// Returns the number of nodes whose names precede `own_name`, without the nodes that cannot be
    /// reached, cannot reach the store or are stopping.
    pub fn rank(&self, own_name: &NodeId) -> usize {
        let peers = self.by_name.borrow();
        peers
            .values()
            .filter(|p| p.is_reachable() && p.descriptor.node < *own_name)
            .filter(|p| p.status.as_ref().is_some_and(|s| s.store_reached && !s.leaving))
            .count()
    }

    /// Returns whether the node `own_name` has to read the store because no peer has a row, as after a
    /// restart of all nodes. This is the case when at least one peer has sent a status, no status shows a
    /// row, and `own_name` is among the first `readers` nodes by name, reachable or not.
    pub fn must_read_store(&self, own_name: &NodeId, readers: usize) -> bool {
        let peers = self.by_name.borrow();
        let mut statuses = peers.values().filter_map(|p| p.status.as_ref()).peekable();
        statuses.peek().is_some()
            && statuses.all(|s| s.rows.newest == RowVersion(0))
            && peers.keys().take_while(|name| *name < own_name).count() < readers
    }

    /// Returns the descriptors of all peers.
    pub fn descriptors(&self) -> Vec<NodeDescriptor> {
        self.by_name.borrow().values().map(|p| p.descriptor.clone()).collect()
    }

    /// Returns the names of the reachable peers.
    pub fn reachable(&self) -> Vec<NodeId> {
        let peers = self.by_name.borrow();
        peers.iter().filter(|(_, p)| p.is_reachable()).map(|(name, _)| name.clone()).collect()
    }

    /// Sends a frame to the given peers.
    pub fn send_to(&self, receivers: &BTreeSet<NodeId>, frame: &Frame) {
        if receivers.is_empty() {
            return;
        }
        // Encoding fails only above the maximum size of a frame, which no status exceeds.
        let Ok(bytes) = frames::encode(frame) else { return };
        let peers = self.by_name.borrow();
        for link in receivers.iter().filter_map(|name| peers.get(name)?.link.as_ref()) {
            link.send_queue.send_encoded(bytes.clone());
        }
    }

    /// Returns the nodes that judge moves, among this node and the peers that can be reached, can reach the
    /// store and are not stopping.
    pub fn evaluators(&self, own_name: &NodeId, cfg: &DisseminationSettings) -> BTreeSet<NodeId> {
        let peers = self.by_name.borrow();
        let can_record = |p: &Peer| {
            p.is_reachable() && p.status.as_ref().is_some_and(|s| s.store_reached && !s.leaving)
        };
        let mut eligible: BTreeSet<&NodeId> =
            peers.iter().filter(|(_, p)| can_record(p)).map(|(name, _)| name).collect();
        eligible.insert(own_name);
        dissemination::evaluators(eligible.into_iter(), peers.len(), cfg)
    }

    /// Closes connections whose peer has been silent for longer than `timeout`.
    pub fn close_silent(&self, timeout: Millis) {
        for peer in self.by_name.borrow().values() {
            if let Some(link) = peer.link.as_ref().filter(|l| l.silent_for() > timeout) {
                link.send_queue.close();
            }
        }
    }

    /// Stores the status of a peer. Returns whether the incarnation of the peer's target has changed
    /// since the previous status.
    pub fn apply_status(&self, node: &NodeId, status: Status) -> bool {
        let mut peers = self.by_name.borrow_mut();
        let Some(peer) = peers.get_mut(node) else { return false };
        let incarnation = |s: &Status| s.instance.as_ref().map(|i| (i.id.clone(), i.born));
        let old_incarnation = peer.status.as_ref().and_then(incarnation);
        let restarted = old_incarnation != incarnation(&status);
        peer.status = Some(status);
        restarted
    }

    /// Stores the load of a peer's target in the peer's status. Returns the versions of the peer's rows;
    /// `None` if its status is unknown.
    pub fn apply_load(&self, node: &NodeId, load: Load) -> Option<RowsSummary> {
        let mut peers = self.by_name.borrow_mut();
        let status = peers.get_mut(node).and_then(|p| p.status.as_mut())?;
        status.load = load;
        Some(status.rows)
    }

    /// Raises the version of the configuration in the stored status of a peer to the one that was sent to
    /// it, so that the next change is sent as a delta from that one.
    pub fn record_sent_config(&self, node: &NodeId, config: RowVersion) {
        if let Some(status) =
            self.by_name.borrow_mut().get_mut(node).and_then(|p| p.status.as_mut())
        {
            status.rows.config = status.rows.config.max(config);
        }
    }
}

impl Node {
    /// Returns the interval between periodic statuses; it grows with the number of peers.
    pub fn status_interval(&self) -> Millis {
        let cfg = &self.cfg.peers;
        let peers = self.peers.by_name.borrow().len() as u64;
        Millis(cfg.status.0.max(cfg.status_per_peer.0 * peers))
    }

    /// Returns the time without a frame after which a connection between nodes is closed.
    pub fn peer_timeout(&self) -> Millis {
        Millis(self.cfg.peers.silence.0.max(3 * self.status_interval().0))
    }

    /// Adds a peer and starts to connect to it. A new address replaces the old one.
    pub fn discover_peer(self: &Rc<Self>, descriptor: &NodeDescriptor) {
        if descriptor.node == self.descriptor.node {
            return;
        }
        let mut peers = self.peers.by_name.borrow_mut();
        if peers.get(&descriptor.node).is_some_and(|p| p.descriptor == *descriptor) {
            return;
        }
        let node = self.clone();
        let peer_descriptor = descriptor.clone();
        let dial_task = actix_rt::spawn(async move { node.keep_connected(peer_descriptor).await });
        let peer = Peer {
            descriptor: descriptor.clone(),
            link: None,
            status: None,
            dial_task: dial_task.abort_handle(),
        };
        if let Some(old) = peers.insert(descriptor.node.clone(), peer) {
            old.dial_task.abort();
            if let Some(link) = old.link {
                link.send_queue.close();
            }
        }
    }

    /// Stores the connection to a peer; `None` removes it and clears the stored status of the peer.
    fn set_link(&self, node: &NodeId, link: Option<Rc<Link>>) {
        if let Some(peer) = self.peers.by_name.borrow_mut().get_mut(node) {
            if link.is_none() {
                peer.status = None;
            }
            peer.link = link;
        }
    }

    /// Keeps a connection to a peer, reconnecting after failures; returns when another node responds at
    /// its address.
    async fn keep_connected(self: Rc<Self>, descriptor: NodeDescriptor) {
        let cfg: MeshPeerSettings = self.cfg.peers;
        let mut pause = cfg.retry_first;
        let mut unreachable_since = self.clock.now();
        loop {
            let known_count = self.peers.by_name.borrow().len();
            match Link::open(&descriptor, &self.descriptor, known_count, cfg.connect).await {
                Ok((link, _)) if link.descriptor.node != descriptor.node => {
                    link.send_queue.close();
                    self.peers.by_name.borrow_mut().remove(&descriptor.node);
                    self.picker.borrow_mut().remove_node(&descriptor.node);
                    let actual_descriptor = link.descriptor.clone();
                    self.discover_peer(&actual_descriptor);
                    return;
                }
                Ok((link, reader)) => {
                    pause = cfg.retry_first;
                    self.log.line(
                        self.clock.now(),
                        LineClass::Other,
                        &codes::PEER_REACHED,
                        &[("peer", descriptor.node.as_str().into())],
                    );
                    let status = self.status();
                    self.sent_status.borrow_mut().record(&status, [descriptor.node.clone()]);
                    link.send_queue.send(&Frame::Status(Box::new(status)));
                    self.set_link(&descriptor.node, Some(link.clone()));
                    for known_node in &link.known_nodes {
                        self.discover_peer(known_node);
                    }
                    link.run(reader, &self).await;
                    self.set_link(&descriptor.node, None);
                    unreachable_since = self.clock.now();
                    let silent_ms = Value::from(link.silent_for().0);
                    self.log.line(
                        unreachable_since,
                        LineClass::Other,
                        &codes::PEER_LOST,
                        &[("peer", descriptor.node.as_str().into()), ("silent_ms", silent_ms)],
                    );
                }
                Err(_) => pause = Millis((pause.0 * 2).min(cfg.retry_last.0)),
            }
            if self.clock.now().since(unreachable_since) > UNREACHABLE_AFTER {
                pause = UNREACHABLE_RETRY_PAUSE;
            }
            sleep(self.jitter(pause).to_duration()).await;
        }
    }
}
