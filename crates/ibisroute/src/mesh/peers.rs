//! The other nodes: where they are, what they said last, and the connections to them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use serde_json::Value;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use super::decision_log::Stream;
use super::frames;
use super::frames::Frame;
use super::frames::NodeDescriptor;
use super::frames::Status;
use super::link::Link;
use super::mesh_settings::MeshPeerSettings;
use super::node::Node;
use super::replicated_rows::RowVersion;
use crate::events::mesh as codes;
use crate::types::Millis;
use crate::types::NodeId;

/// Time without a connection after which a peer is tried only rarely. Rows of hosts that are gone stay
/// in the store and must not keep the nodes busy.
const GONE_AFTER: Millis = Millis(60_000);

/// Pause between attempts to reach a peer that seems gone.
const GONE_RETRY: Millis = Millis(15_000);

/// A peer.
#[derive(Debug)]
pub struct Peer {
    /// Where it is.
    pub card: NodeDescriptor,
    /// The connection that this node opened.
    pub link: Option<Rc<Link>>,
    /// What it said last.
    pub status: Option<Status>,
    dialing: AbortHandle,
}

impl Peer {
    /// Whether calls can be sent to it.
    pub fn is_reachable(&self) -> bool {
        self.link.as_ref().is_some_and(|l| !l.outbox.is_closed())
    }
}

/// All peers of a node.
#[derive(Debug, Default)]
pub struct Peers {
    /// By name.
    pub map: RefCell<BTreeMap<NodeId, Peer>>,
}

impl Peers {
    /// Number of nodes that can be reached, this one included.
    pub fn live(&self) -> usize {
        1 + self.map.borrow().values().filter(|p| p.is_reachable()).count()
    }

    /// Position of `own` among the reachable nodes that reach the store, by name.
    pub fn rank(&self, own: &NodeId) -> usize {
        let map = self.map.borrow();
        map.values()
            .filter(|p| p.is_reachable() && p.card.node < *own)
            .filter(|p| p.status.as_ref().is_some_and(|s| s.store_reached && !s.leaving))
            .count()
    }

    /// Whether `own` has to read the store for the others because none of them knows a row, as after a
    /// restart of all nodes: peers have answered, and it is among the first `readers` nodes by name,
    /// whether the others can be reached yet or not.
    pub fn nobody_knows_rows(&self, own: &NodeId, readers: usize) -> bool {
        let map = self.map.borrow();
        let mut statuses = map.values().filter_map(|p| p.status.as_ref()).peekable();
        statuses.peek().is_some()
            && statuses.all(|s| s.newest == RowVersion(0))
            && map.keys().take_while(|name| *name < own).count() < readers
    }

    /// Cards of all peers.
    pub fn cards(&self) -> Vec<NodeDescriptor> {
        self.map.borrow().values().map(|p| p.card.clone()).collect()
    }

    /// Sends a frame to every reachable peer.
    pub fn broadcast(&self, frame: &Frame) {
        // Frames beyond the limit of the protocol are not made here.
        let Ok(bytes) = frames::encode(frame) else { return };
        for peer in self.map.borrow().values() {
            if let Some(link) = peer.link.as_ref() {
                link.outbox.send_encoded(bytes.clone());
            }
        }
    }

    /// Closes connections whose peer has been silent for `limit`.
    pub fn close_silent(&self, limit: Millis) {
        for peer in self.map.borrow().values() {
            if let Some(link) = peer.link.as_ref().filter(|l| l.silent_for() > limit) {
                link.outbox.close();
            }
        }
    }

    /// Keeps a status. Returns whether it tells of a new run of the target.
    pub fn hear(&self, node: &NodeId, status: Status) -> bool {
        let mut map = self.map.borrow_mut();
        let Some(peer) = map.get_mut(node) else { return false };
        let run = |s: &Status| s.instance.as_ref().map(|i| (i.id.clone(), i.born));
        let before = peer.status.as_ref().and_then(run);
        let restarted = before != run(&status);
        peer.status = Some(status);
        restarted
    }

    /// Notes which rows a peer has after they were sent to it.
    pub fn sent_rows(&self, node: &NodeId, newest: RowVersion, config: RowVersion) {
        if let Some(status) = self.map.borrow_mut().get_mut(node).and_then(|p| p.status.as_mut()) {
            status.newest = status.newest.max(newest);
            status.config = status.config.max(config);
        }
    }
}

impl Node {
    /// Interval of statuses; grows with the fleet.
    pub fn status_interval(&self) -> Millis {
        let cfg = &self.cfg.peers;
        let peers = self.peers.map.borrow().len() as u64;
        Millis(cfg.status.0.max(cfg.status_per_peer.0 * peers))
    }

    /// Time without a frame after which a connection between nodes is closed.
    pub fn peer_silence(&self) -> Millis {
        Millis(self.cfg.peers.silence.0.max(3 * self.status_interval().0))
    }

    /// Learns of a node and connects to it. A new address replaces the old one.
    pub fn learn_peer(self: &Rc<Self>, card: &NodeDescriptor) {
        if card.node == self.card.node {
            return;
        }
        let mut map = self.peers.map.borrow_mut();
        if map.get(&card.node).is_some_and(|p| p.card == *card) {
            return;
        }
        let node = self.clone();
        let own_card = card.clone();
        let dialing = actix_rt::spawn(async move { node.keep_connected(own_card).await });
        let peer =
            Peer { card: card.clone(), link: None, status: None, dialing: dialing.abort_handle() };
        if let Some(old) = map.insert(card.node.clone(), peer) {
            old.dialing.abort();
            if let Some(link) = old.link {
                link.outbox.close();
            }
        }
    }

    fn set_link(&self, node: &NodeId, link: Option<Rc<Link>>) {
        if let Some(peer) = self.peers.map.borrow_mut().get_mut(node) {
            if link.is_none() {
                peer.status = None;
            }
            peer.link = link;
        }
    }

    /// Keeps a connection to a peer until another node answers at its address.
    async fn keep_connected(self: Rc<Self>, card: NodeDescriptor) {
        let cfg: MeshPeerSettings = self.cfg.peers;
        let mut pause = cfg.retry_first;
        let mut failing_since = self.clock.now();
        loop {
            let known = self.peers.map.borrow().len();
            match Link::open(&card, &self.card, known, cfg.connect).await {
                Ok((link, _)) if link.card.node != card.node => {
                    link.outbox.close();
                    self.peers.map.borrow_mut().remove(&card.node);
                    self.picker.borrow_mut().remove_node(&card.node);
                    let other = link.card.clone();
                    self.learn_peer(&other);
                    return;
                }
                Ok((link, reader)) => {
                    pause = cfg.retry_first;
                    self.log.line(
                        self.clock.now(),
                        Stream::Other,
                        &codes::PEER_REACHED,
                        &[("peer", card.node.as_str().into())],
                    );
                    link.outbox.send(&Frame::Status(Box::new(self.status())));
                    self.set_link(&card.node, Some(link.clone()));
                    for known in &link.known {
                        self.learn_peer(known);
                    }
                    link.run(reader, &self).await;
                    self.set_link(&card.node, None);
                    failing_since = self.clock.now();
                    let silent = Value::from(link.silent_for().0);
                    self.log.line(
                        failing_since,
                        Stream::Other,
                        &codes::PEER_LOST,
                        &[("peer", card.node.as_str().into()), ("silent_ms", silent)],
                    );
                }
                Err(_) => pause = Millis((pause.0 * 2).min(cfg.retry_last.0)),
            }
            if self.clock.now().since(failing_since) > GONE_AFTER {
                pause = GONE_RETRY;
            }
            sleep(self.scatter(pause).to_duration()).await;
        }
    }
}
