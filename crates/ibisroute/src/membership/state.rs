//! SWIM membership of one node (probing, suspicion, dissemination) as a pure state machine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Bound;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use smol_str::SmolStr;

use super::membership_settings::MembershipSettings;
use super::merge;
use super::record::MemberRecord;
use super::record::MemberView;
use super::record::Status;
use super::record::TargetRecord;
use crate::events::EventCode;
use crate::events::membership as codes;
use crate::types::Head;
use crate::types::Millis;
use crate::types::NodeId;
use crate::wire;
use crate::wire::Datagram;
use crate::wire::MAX_DATAGRAM_BYTES;
use crate::wire::MemberDatagram;
use crate::wire::MemberRecordWire;
use crate::wire::ProbeKind;

/// Bytes by which the length prefix of the updates can grow when updates are added to a datagram.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Input of the state machine of membership.
#[derive(Clone, Debug)]
pub enum Event {
    /// The actor's timer fired.
    Tick,
    /// A peer sent a datagram.
    Received(MemberDatagram),
    /// A peer sent its full member state.
    FullState(Vec<MemberRecordWire>),
    /// A joining node sent its record and requests the full member state.
    JoinRequest(MemberRecordWire),
    /// The complete list of targets on this host, received when it changes.
    LocalTargets(Vec<TargetRecord>),
    /// The highest head that this node knows and has not rejected.
    Head(Head),
    /// Hash over this node's move states.
    MovesHash(u64),
    /// This node leaves the fleet and then stops.
    Leave,
}

/// Output of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: SocketAddr,
        /// Takes at most 1,200 bytes when encoded.
        datagram: MemberDatagram,
    },
    /// Sends a join request to the peer at this control-request address, which replies with its
    /// full member state.
    Sync(SocketAddr),
    /// A record, possibly this node's own, was added, replaced or dropped.
    ViewChanged,
    /// A peer's datagram carried a head that differs from this node's.
    PeerHead {
        node: NodeId,
        /// The peer's address for control requests; `None` when its record is not known yet.
        peer_addr: Option<SocketAddr>,
        head: Head,
    },
    /// A datagram of the peer with this control-request address carried a hash of move states that
    /// differs from this node's.
    PeerMovesDiffer(SocketAddr),
    /// Emits the event with this detail text.
    Log(&'static EventCode, String),
}

/// How a record reached this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// In a datagram, or in the join request of the node itself.
    Update,
    /// In a full member state.
    FullState,
    /// In the first full member state, which listed the node as dead or left.
    Inherited,
}

#[derive(Clone, Debug)]
struct Member {
    record: MemberRecord,
    /// When a suspected member is declared dead; `None` unless it is suspected.
    suspicion_ends_at: Option<Millis>,
    /// When the record is dropped; `None` unless the member is dead or has left.
    drop_at: Option<Millis>,
    /// Whether the member was already dead or had left when this node joined.
    inherited: bool,
}

/// The probe in flight; there is at most one.
#[derive(Clone, Debug)]
struct Probe {
    node: NodeId,
    sequence: u64,
    /// When indirect probes are sent unless an ack has arrived.
    indirect_probes_at: Millis,
    indirect_probes_sent: bool,
    /// When the probed node is suspected unless an ack has arrived.
    ends_at: Millis,
}

/// A ping that this node sends for a peer that requested an indirect probe.
#[derive(Clone, Debug)]
struct RelayedPing {
    /// Control address of the requesting peer.
    requester: SocketAddr,
    /// Sequence number of the requesting peer's probe.
    sequence: u64,
    /// The probed node.
    node: NodeId,
    ends_at: Millis,
}

/// Remaining transmissions of a record that is being disseminated.
#[derive(Clone, Debug)]
struct PendingUpdate {
    /// Number of datagrams that may still carry the record.
    sends_left: u32,
    /// Number of push periods in which the record is still pushed without waiting for a probe.
    pushes_left: u32,
}

/// Membership state of one node.
#[derive(Debug)]
pub struct State {
    settings: MembershipSettings,
    rng: SmallRng,
    local: MemberRecord,
    /// All known members except this node.
    members: BTreeMap<NodeId, Member>,
    /// Remaining transmissions of the records that are being disseminated, by node.
    pending: BTreeMap<NodeId, PendingUpdate>,
    probe: Option<Probe>,
    /// Pings sent for other peers, by sequence number.
    relayed_pings: BTreeMap<u64, RelayedPing>,
    /// Peers that are still to be probed in the current round; the next one is at the end.
    probe_round: Vec<NodeId>,
    /// Sequence number of the last ping.
    last_sequence: u64,
    /// Local health score as in Lifeguard: 0 when healthy, higher when this node appears slow.
    health_score: u32,
    last_tick: Option<Millis>,
    next_probe_at: Millis,
    next_ring_ping_at: Millis,
    next_push_at: Millis,
    next_sync_at: Millis,
    sync_interval_ms: u64,
    /// Highest head that this node knows and has not rejected.
    head: Head,
    /// Hash over this node's move states.
    moves_hash: u64,
    joined: bool,
    leaving: bool,
    actions: Vec<Action>,
}

impl State {
    /// Creates the state of the node that owns the record `local`; it knows no peers yet.
    pub fn new(local: MemberRecord, settings: MembershipSettings, seed: u64) -> Self {
        Self {
            sync_interval_ms: settings.sync_min_ms,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            local,
            members: BTreeMap::new(),
            pending: BTreeMap::new(),
            probe: None,
            relayed_pings: BTreeMap::new(),
            probe_round: Vec::new(),
            last_sequence: 0,
            health_score: 0,
            last_tick: None,
            next_probe_at: Millis(0),
            next_ring_ping_at: Millis(0),
            next_push_at: Millis(0),
            next_sync_at: Millis(0),
            head: Head::default(),
            moves_hash: 0,
            joined: false,
            leaving: false,
            actions: Vec::new(),
        }
    }

    /// Handles one event and returns the actions to perform, in order.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Received(datagram) => self.on_datagram(now, datagram),
            Event::FullState(records) => self.apply_full_state(now, records),
            Event::JoinRequest(record) => self.apply_update(now, record),
            Event::LocalTargets(targets) => self.set_targets(targets),
            Event::Head(head) => self.head = head,
            Event::MovesHash(hash) => self.moves_hash = hash,
            Event::Leave => self.leave(),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns all known records, including this node's own.
    pub fn view(&self) -> MemberView {
        let mut members: Vec<MemberRecord> =
            self.members.values().map(|m| m.record.clone()).collect();
        members.push(self.local.clone());
        members.sort_by(|a, b| a.node.cmp(&b.node));
        MemberView { local: self.local.node.clone(), members }
    }

    /// Returns the member state sent to a joining node. It omits inherited records of dead nodes.
    pub fn full_state(&self) -> Vec<MemberRecordWire> {
        let records = self.members.values().filter(|m| !m.inherited).map(|m| &m.record);
        records.chain([&self.local]).map(MemberRecordWire::from).collect()
    }

    /// Returns this node's own record, as it is disseminated to peers.
    pub fn local(&self) -> &MemberRecord {
        &self.local
    }

    /// Returns whether a full member state has been received since the start.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    fn tick(&mut self, now: Millis) {
        let since_last_tick_ms = now.since(self.last_tick.unwrap_or(now)).0;
        self.last_tick = Some(now);
        if since_last_tick_ms > self.settings.probe_period_ms {
            self.on_resume(now, since_last_tick_ms);
        }
        self.expire(now);
        if self.leaving {
            self.push_if_due(now);
            return;
        }
        self.advance_probe(now);
        if now >= self.next_ring_ping_at {
            self.next_ring_ping_at = Millis(now.0 + self.settings.ring_period_ms);
            self.ping_successors();
        }
        if now >= self.next_probe_at {
            self.next_probe_at = Millis(now.0 + self.settings.probe_period_ms);
            self.start_probe(now);
            self.ping_random_dead_member();
            self.notify_suspects();
        }
        self.push_if_due(now);
        self.sync_if_due(now);
    }

    /// Handles a pause of this process. Acks missed during the pause do not show that a peer
    /// failed, so the probe in flight is discarded and every suspicion restarts with a longer
    /// timeout.
    fn on_resume(&mut self, now: Millis, pause_ms: u64) {
        self.probe = None;
        self.relayed_pings.clear();
        let periods = u32::try_from(pause_ms / self.settings.probe_period_ms).unwrap_or(u32::MAX);
        self.health_score =
            self.health_score.saturating_add(periods).min(self.settings.health_score_max);
        let suspicion_ends_at = Millis(now.0 + self.suspicion_timeout_ms());
        for member in self.members.values_mut().filter(|m| m.suspicion_ends_at.is_some()) {
            member.suspicion_ends_at = Some(suspicion_ends_at);
        }
        self.log(&codes::RESUMED, format!("the timer did not fire for {pause_ms} ms"));
    }

    /// Declares members dead whose suspicion timeout has ended, and drops expired records and
    /// relayed pings.
    fn expire(&mut self, now: Millis) {
        let unrefuted: Vec<NodeId> = self
            .members
            .values()
            .filter(|m| m.suspicion_ends_at.is_some_and(|t| now >= t))
            .map(|m| m.record.node.clone())
            .collect();
        for node in unrefuted {
            self.declare(now, &node, Status::Dead);
        }
        let count_before = self.members.len();
        self.members.retain(|_, m| m.drop_at.is_none_or(|t| now < t));
        if self.members.len() != count_before {
            self.actions.push(Action::ViewChanged);
        }
        self.relayed_pings.retain(|_, r| now < r.ends_at);
    }

    fn start_probe(&mut self, now: Millis) {
        let Some(node) = self.next_peer_in_round() else { return };
        let Some(to) = self.control_addr(&node) else { return };
        let sequence = self.next_sequence();
        let timeout = self.settings.probe_timeout_ms * u64::from(1 + self.health_score);
        let period = self.settings.probe_period_ms.max(2 * timeout);
        self.probe = Some(Probe {
            node: node.clone(),
            sequence,
            indirect_probes_at: Millis(now.0 + timeout),
            indirect_probes_sent: false,
            ends_at: Millis(now.0 + period),
        });
        self.send(to, Some(&node), ProbeKind::Ping { sequence }, false);
        self.next_probe_at = Millis(now.0 + period);
    }

    /// Returns the next peer to probe. Peers are probed in shuffled rounds, which bounds the time
    /// until each of them is probed.
    fn next_peer_in_round(&mut self) -> Option<NodeId> {
        for _ in 0..2 {
            while let Some(node) = self.probe_round.pop() {
                if self.members.get(&node).is_some_and(|m| m.record.is_live()) {
                    return Some(node);
                }
            }
            self.probe_round = self.live_peers();
            self.probe_round.shuffle(&mut self.rng);
        }
        None
    }

    /// Sends the indirect probes, or suspects the probed member, when that is due.
    fn advance_probe(&mut self, now: Millis) {
        let Some(probe) = self.probe.clone() else { return };
        if now >= probe.ends_at {
            self.probe = None;
            self.health_score = (self.health_score + 1).min(self.settings.health_score_max);
            self.declare(now, &probe.node, Status::Suspect);
            return;
        }
        if now < probe.indirect_probes_at || probe.indirect_probes_sent {
            return;
        }
        if let Some(p) = self.probe.as_mut() {
            p.indirect_probes_sent = true;
        }
        let Some(addr) = self.control_addr(&probe.node) else { return };
        let mut relays = self.live_peers();
        relays.retain(|n| *n != probe.node);
        let count = self.settings.indirect_probes;
        let chosen: Vec<NodeId> = relays.choose_multiple(&mut self.rng, count).cloned().collect();
        for relay in chosen {
            let Some(to) = self.control_addr(&relay) else { continue };
            let node = probe.node.clone().into();
            let kind = ProbeKind::PingReq { sequence: probe.sequence, node, addr };
            self.send(to, Some(&relay), kind, false);
        }
    }

    /// Pings a random dead member, so that a host that has restarted but cannot reach the table is
    /// discovered by its former peers.
    fn ping_random_dead_member(&mut self) {
        let dead_nodes: Vec<NodeId> = self
            .members
            .values()
            .filter(|m| !m.record.is_live())
            .map(|m| m.record.node.clone())
            .collect();
        let Some(node) = dead_nodes.choose(&mut self.rng).cloned() else { return };
        let Some(to) = self.control_addr(&node) else { return };
        let sequence = self.next_sequence();
        self.send(to, Some(&node), ProbeKind::Ping { sequence }, true);
    }

    /// Returns the members that follow this node in the ring of ids, nearest first, except those
    /// that left.
    fn successors(&self) -> Vec<NodeId> {
        let own_id = &self.local.node;
        let greater = self.members.range::<NodeId, _>((Bound::Excluded(own_id), Bound::Unbounded));
        let smaller = self.members.range::<NodeId, _>(..own_id);
        let in_ring = greater.chain(smaller).filter(|(_, m)| m.record.status != Status::Left);
        in_ring.map(|(node, _)| node.clone()).take(self.settings.ring_span).collect()
    }

    /// Pings the next live member in the ring and the dead ones before it. Random probes miss a
    /// given member for 3 s with a probability of about e^-3, which is too often for a host that
    /// restarted while the table is down: it knows no peers and must be discovered by them.
    fn ping_successors(&mut self) {
        for node in self.successors() {
            let Some(member) = self.members.get(&node) else { continue };
            let (to, is_live) = (member.record.addresses.control, member.record.is_live());
            let sequence = self.next_sequence();
            self.send(to, Some(&node), ProbeKind::Ping { sequence }, !is_live);
            if is_live {
                return;
            }
        }
    }

    /// Sends this node's record to its successors in the ring. Hosts of one rack restart together
    /// and have adjacent ids, so the first one that is discovered announces itself to the others
    /// immediately.
    fn introduce_to_successors(&mut self) {
        for node in self.successors() {
            let Some(to) = self.control_addr(&node) else { continue };
            let sequence = self.next_sequence();
            self.send(to, Some(&node), ProbeKind::Ping { sequence }, true);
        }
    }

    /// Pings up to `indirect_probes` suspected members per probe period. The ping carries the
    /// suspicion again, since an earlier datagram with it may have been lost.
    fn notify_suspects(&mut self) {
        let suspects: Vec<(NodeId, SocketAddr)> = self
            .members
            .values()
            .filter(|m| m.record.status == Status::Suspect)
            .map(|m| (m.record.node.clone(), m.record.addresses.control))
            .take(self.settings.indirect_probes)
            .collect();
        for (node, to) in suspects {
            let sequence = self.next_sequence();
            self.send(to, Some(&node), ProbeKind::Ping { sequence }, true);
        }
    }

    /// Pushes fresh updates to random peers once per push period.
    fn push_if_due(&mut self, now: Millis) {
        if now < self.next_push_at || self.pending.values().all(|p| p.pushes_left == 0) {
            return;
        }
        self.next_push_at = Millis(now.0 + self.settings.push_period_ms);
        let first_send = self.actions.len();
        self.push_to_random_peers(self.settings.push_fanout);
        // An update uses up one of its pushes only if it fitted into a datagram.
        let sent_updates = self.actions[first_send..].iter().filter_map(|action| match action {
            Action::Send { datagram, .. } => Some(&datagram.updates),
            _ => None,
        });
        let sent_nodes: BTreeSet<SmolStr> =
            sent_updates.flatten().map(|u| u.node.clone()).collect();
        for (node, pending) in &mut self.pending {
            if sent_nodes.contains(node.as_str()) {
                pending.pushes_left = pending.pushes_left.saturating_sub(1);
            }
        }
    }

    fn push_to_random_peers(&mut self, count: usize) {
        let live_nodes = self.live_peers();
        let chosen: Vec<NodeId> =
            live_nodes.choose_multiple(&mut self.rng, count).cloned().collect();
        for node in chosen {
            let Some(to) = self.control_addr(&node) else { continue };
            self.send(to, Some(&node), ProbeKind::Update, false);
        }
    }

    /// Starts a full state transfer with a random peer when one is due. The interval doubles from
    /// its minimum to its maximum; a backlog of updates, as after a mass restart, resets it,
    /// because datagrams alone would take minutes to carry the backlog.
    fn sync_if_due(&mut self, now: Millis) {
        let (min, max) = (self.settings.sync_min_ms, self.settings.sync_period_ms);
        if self.pending.len() > self.settings.sync_backlog && self.sync_interval_ms >= max {
            self.sync_interval_ms = min;
            self.next_sync_at = Millis(now.0 + self.rng.random_range(0..=min));
        }
        if !self.joined || now < self.next_sync_at {
            return;
        }
        self.next_sync_at = Millis(
            now.0 + self.sync_interval_ms / 2 + self.rng.random_range(0..=self.sync_interval_ms),
        );
        self.sync_interval_ms = (self.sync_interval_ms * 2).min(max);
        let live_members = self.members.values().filter(|m| m.record.is_live());
        let peers: Vec<SocketAddr> = live_members.map(|m| m.record.addresses.peer).collect();
        if let Some(peer) = peers.choose(&mut self.rng) {
            self.actions.push(Action::Sync(*peer));
        }
    }

    fn on_datagram(&mut self, now: Millis, datagram: MemberDatagram) {
        let Ok(from) = NodeId::try_from(datagram.from.clone()) else { return };
        if from == self.local.node {
            return;
        }
        let own_id = self.local.node.as_str();
        let own_updates = datagram.updates.iter().filter(|u| u.node == own_id);
        let reported_incarnation_revision = own_updates.map(|u| (u.incarnation, u.revision)).max();
        // The sender is new or has restarted, so it may not know any member, including this node.
        let sender_is_new =
            self.members.get(&from).is_none_or(|m| m.record.incarnation != datagram.incarnation);
        for update in datagram.updates {
            self.apply_update(now, update);
        }
        // The sender holds an older record of this node, or one that this node has just refuted.
        let sender_record_is_stale = reported_incarnation_revision
            .is_some_and(|reported| reported < (self.local.incarnation, self.local.revision));
        self.report_peer_differences(&from, datagram.head, datagram.moves_hash);
        // The sender needs the record that this node holds about it, so that it can refute the
        // record or raise its incarnation.
        let sender_must_refute = self.members.get(&from).is_some_and(|m| {
            !m.record.is_live()
                || m.record.status == Status::Suspect
                || m.record.incarnation != datagram.incarnation
        });
        let introduce =
            sender_must_refute || sender_record_is_stale || !self.members.contains_key(&from);
        match datagram.kind {
            ProbeKind::Ping { sequence } => {
                let node = self.local.node.clone().into();
                let kind = ProbeKind::Ack { sequence, node };
                self.send(datagram.from_addr, Some(&from), kind, introduce);
            }
            ProbeKind::PingReq { sequence, node, addr } => {
                let Ok(node) = NodeId::try_from(node) else { return };
                let own_sequence = self.next_sequence();
                let ends_at = Millis(now.0 + self.settings.probe_period_ms);
                let requester = datagram.from_addr;
                self.relayed_pings.insert(
                    own_sequence,
                    RelayedPing { requester, sequence, node: node.clone(), ends_at },
                );
                self.send(addr, Some(&node), ProbeKind::Ping { sequence: own_sequence }, false);
            }
            ProbeKind::Ack { sequence, node } => {
                self.on_ack(sequence, &node);
                if sender_must_refute || sender_record_is_stale || sender_is_new {
                    self.send(datagram.from_addr, Some(&from), ProbeKind::Update, true);
                }
            }
            ProbeKind::Update if sender_record_is_stale || sender_is_new => {
                self.send(datagram.from_addr, Some(&from), ProbeKind::Update, true);
            }
            ProbeKind::Update => {}
        }
    }

    fn on_ack(&mut self, sequence: u64, node: &str) {
        if self.probe.as_ref().is_some_and(|p| p.sequence == sequence && p.node.as_str() == node) {
            self.probe = None;
            self.health_score = self.health_score.saturating_sub(1);
        }
        let Some(relayed) = self.relayed_pings.remove(&sequence) else { return };
        if relayed.node.as_str() != node {
            return;
        }
        let kind = ProbeKind::Ack { sequence: relayed.sequence, node: node.into() };
        self.send(relayed.requester, None, kind, false);
    }

    fn report_peer_differences(&mut self, from: &NodeId, head: Head, moves_hash: u64) {
        let peer_addr = self.members.get(from).map(|m| m.record.addresses.peer);
        if head != self.head {
            self.actions.push(Action::PeerHead { node: from.clone(), peer_addr, head });
        }
        if let Some(peer_addr) = peer_addr.filter(|_| moves_hash != self.moves_hash) {
            self.actions.push(Action::PeerMovesDiffer(peer_addr));
        }
    }

    fn apply_full_state(&mut self, now: Millis, records: Vec<MemberRecordWire>) {
        let is_first = !self.joined;
        if is_first {
            self.joined = true;
            self.next_sync_at =
                Millis(now.0 + self.rng.random_range(0..=self.settings.sync_min_ms));
        }
        for wire in records {
            let Ok(record) = MemberRecord::try_from(wire) else { continue };
            let is_known =
                record.node == self.local.node || self.members.contains_key(&record.node);
            // The sender may still hold the record of a dead node that this node has dropped
            // already. Such a record must not be added again.
            if !is_known && !record.is_live() && !is_first {
                continue;
            }
            let inherited = !is_known && !record.is_live();
            let origin = if inherited { Origin::Inherited } else { Origin::FullState };
            self.apply_record(now, record, origin);
        }
        if is_first {
            self.introduce_to_successors();
        }
    }

    fn apply_update(&mut self, now: Millis, wire: MemberRecordWire) {
        let Ok(record) = MemberRecord::try_from(wire) else { return };
        self.apply_record(now, record, Origin::Update);
    }

    fn apply_record(&mut self, now: Millis, record: MemberRecord, origin: Origin) {
        if record.node == self.local.node {
            self.refute(&record);
            return;
        }
        let node = record.node.clone();
        let old = self.members.get(&node).map(|m| m.record.clone());
        if old.as_ref().is_some_and(|old| !merge::supersedes(&record, old)) {
            return;
        }
        let newly_live = old.as_ref().is_none_or(|old| !old.is_live()) && record.is_live();
        let peer_addr = record.addresses.peer;
        self.log_change(old.as_ref(), &record);
        self.insert_record(now, record, origin == Origin::Inherited);
        // A node that has not joined yet requests the full state from each live peer that it
        // discovers.
        if newly_live && !self.joined {
            self.actions.push(Action::Sync(peer_addr));
        }
        // Records of a full state are not queued, since other peers have already disseminated them.
        if origin == Origin::Update {
            self.enqueue_update(&node);
        }
    }

    fn insert_record(&mut self, now: Millis, record: MemberRecord, inherited: bool) {
        let suspicion_end = Millis(now.0 + self.suspicion_timeout_ms());
        let retention_ms = if inherited {
            self.settings.dead_inherited_keep_ms
        } else {
            self.settings.dead_keep_ms
        };
        let suspicion_ends_at = (record.status == Status::Suspect).then_some(suspicion_end);
        let drop_at = (!record.is_live()).then_some(Millis(now.0 + retention_ms));
        let node = record.node.clone();
        self.members.insert(node, Member { record, suspicion_ends_at, drop_at, inherited });
        self.actions.push(Action::ViewChanged);
    }

    /// Raises this node's incarnation when a peer holds a record of it that supersedes its own.
    /// This also covers a restart with a clock that is behind the one of the previous process.
    fn refute(&mut self, reported: &MemberRecord) {
        if self.leaving || !merge::supersedes(reported, &self.local) {
            return;
        }
        if reported.incarnation > self.local.incarnation {
            self.log(
                &codes::INCARNATION_RAISED,
                format!("peers hold incarnation {}", reported.incarnation),
            );
        } else {
            self.health_score = (self.health_score + 1).min(self.settings.health_score_max);
        }
        self.local.incarnation = reported.incarnation + 1;
        self.on_local_change();
    }

    /// Declares a live member suspect or dead and disseminates the new record.
    fn declare(&mut self, now: Millis, node: &NodeId, status: Status) {
        let Some(member) = self.members.get(node) else { return };
        let old = member.record.clone();
        if !old.is_live() || old.status >= status {
            return;
        }
        let record = MemberRecord { status, ..old.clone() };
        self.log_change(Some(&old), &record);
        let to = record.addresses.control;
        self.insert_record(now, record, false);
        self.enqueue_update(node);
        if status == Status::Suspect {
            let sequence = self.next_sequence();
            self.send(to, Some(node), ProbeKind::Ping { sequence }, true);
        }
    }

    fn set_targets(&mut self, mut targets: Vec<TargetRecord>) {
        targets.sort_by(|a, b| a.instance.cmp(&b.instance));
        if targets == self.local.targets || self.leaving {
            return;
        }
        self.local.targets = targets;
        self.local.revision += 1;
        self.on_local_change();
        if record_bytes(&self.local) > MAX_DATAGRAM_BYTES / 2 {
            let count = self.local.targets.len();
            self.log(&codes::RECORD_TOO_LONG, format!("{count} targets"));
        }
    }

    fn leave(&mut self) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.probe = None;
        self.local.status = Status::Left;
        self.local.revision += 1;
        self.on_local_change();
        self.push_to_random_peers(self.settings.leave_fanout);
    }

    fn on_local_change(&mut self) {
        self.actions.push(Action::ViewChanged);
        let node = self.local.node.clone();
        self.enqueue_update(&node);
    }

    /// Queues the record of `node` for dissemination.
    fn enqueue_update(&mut self, node: &NodeId) {
        let sends_left = self.settings.piggyback_factor * log2(self.live_count()).ceil() as u32;
        let pushes_left = self.settings.push_rounds;
        self.pending.insert(node.clone(), PendingUpdate { sends_left, pushes_left });
    }

    /// Sends a datagram with as many queued updates as fit; `node` is the receiver's id, if known.
    /// With `introduce` the first updates are this node's own record and the one that it holds of
    /// the receiver.
    fn send(&mut self, to: SocketAddr, node: Option<&NodeId>, kind: ProbeKind, introduce: bool) {
        let mut datagram = MemberDatagram {
            from: self.local.node.clone().into(),
            from_addr: self.local.addresses.control,
            incarnation: self.local.incarnation,
            head: self.head,
            moves_hash: self.moves_hash,
            kind,
            updates: Vec::new(),
        };
        let without_updates = Datagram::Member(datagram.clone());
        let used_bytes = wire::encode(&without_updates, MAX_DATAGRAM_BYTES)
            .map_or(MAX_DATAGRAM_BYTES, |b| b.len());
        let mut remaining_bytes =
            MAX_DATAGRAM_BYTES.saturating_sub(used_bytes + LENGTH_PREFIX_BYTES);
        let mut introduced: Vec<NodeId> = Vec::new();
        if introduce {
            introduced.push(self.local.node.clone());
            introduced.extend(node.cloned());
        }
        let mut queued: Vec<(NodeId, u32)> =
            self.pending.iter().map(|(n, p)| (n.clone(), p.sends_left)).collect();
        queued.shuffle(&mut self.rng);
        queued.sort_by_key(|(_, sends_left)| std::cmp::Reverse(*sends_left));
        let others = queued.into_iter().map(|(n, _)| n).filter(|n| !introduced.contains(n));
        for record_node in introduced.clone().into_iter().chain(others) {
            let Some(record) = self.record(&record_node) else {
                self.pending.remove(&record_node);
                continue;
            };
            let update = MemberRecordWire::from(record);
            let bytes = wire::encode(&update, MAX_DATAGRAM_BYTES).map_or(usize::MAX, |b| b.len());
            if bytes > remaining_bytes {
                continue;
            }
            remaining_bytes -= bytes;
            datagram.updates.push(update);
            self.count_send(&record_node);
        }
        self.actions.push(Action::Send { to, datagram });
    }

    /// Counts a transmission of the record of `node`, and removes the record from the queue after
    /// its last permitted transmission.
    fn count_send(&mut self, node: &NodeId) {
        let Some(pending) = self.pending.get_mut(node) else { return };
        pending.sends_left = pending.sends_left.saturating_sub(1);
        if pending.sends_left == 0 {
            self.pending.remove(node);
        }
    }

    fn record(&self, node: &NodeId) -> Option<&MemberRecord> {
        if *node == self.local.node {
            return Some(&self.local);
        }
        self.members.get(node).map(|m| &m.record)
    }

    fn control_addr(&self, node: &NodeId) -> Option<SocketAddr> {
        self.members.get(node).map(|m| m.record.addresses.control)
    }

    fn live_peers(&self) -> Vec<NodeId> {
        let live_members = self.members.values().filter(|m| m.record.is_live());
        live_members.map(|m| m.record.node.clone()).collect()
    }

    fn live_count(&self) -> usize {
        1 + self.members.values().filter(|m| m.record.is_live()).count()
    }

    fn suspicion_timeout_ms(&self) -> u64 {
        let periods = self.settings.suspicion_factor * log2(self.live_count());
        let timeout_ms = (periods * self.settings.probe_period_ms as f64) as u64;
        timeout_ms.max(self.settings.suspicion_min_ms) * u64::from(1 + self.health_score)
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    fn log_change(&mut self, old: Option<&MemberRecord>, new: &MemberRecord) {
        if old.is_some_and(|old| old.status == new.status) {
            return;
        }
        let code = match new.status {
            Status::Alive => &codes::ALIVE,
            Status::Suspect => &codes::SUSPECT,
            Status::Dead => &codes::DEAD,
            Status::Left => &codes::LEFT,
        };
        self.log(code, format!("node {} incarnation {}", new.node, new.incarnation));
    }

    fn log(&mut self, code: &'static EventCode, detail: String) {
        self.actions.push(Action::Log(code, detail));
    }
}

fn record_bytes(record: &MemberRecord) -> usize {
    let wire = MemberRecordWire::from(record);
    wire::encode(&wire, wire::MAX_CONTROL_BYTES).map_or(usize::MAX, |b| b.len())
}

/// Returns the binary logarithm of the number of nodes, at least 1.
fn log2(nodes: usize) -> f64 {
    (nodes.max(2) as f64).log2()
}
