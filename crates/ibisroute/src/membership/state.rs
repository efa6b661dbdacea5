//! Probing, suspicion and dissemination as a pure state machine.

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

/// Bytes that a length prefix can grow by when updates are added to a datagram.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A membership datagram arrived.
    Received(MemberDatagram),
    /// A full member state arrived from a peer.
    State(Vec<MemberRecordWire>),
    /// A newcomer asks for the member state.
    Joined(MemberRecordWire),
    /// The targets beside this node.
    LocalTargets(Vec<TargetRecord>),
    /// The highest head that this node knows.
    Head(Head),
    /// Hash over this node's move states.
    MovesHash(u64),
    /// This node stops.
    Leave,
}

/// Output of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a datagram.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Datagram of at most 1,200 bytes.
        datagram: MemberDatagram,
    },
    /// Exchanges the full member state with the peer at this address (`h2`).
    Sync(SocketAddr),
    /// The view differs from the last one.
    Changed,
    /// A peer's datagram carried a head that differs from this node's.
    PeerHead {
        /// The peer.
        node: NodeId,
        /// Its address for control requests, when its record is known.
        peer_addr: Option<SocketAddr>,
        /// Its head.
        head: Head,
    },
    /// A peer's datagram carried another hash of move states.
    PeerMovesDiffer(SocketAddr),
    /// Something to log.
    Log(&'static EventCode, String),
}

/// How a record reached this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// In a datagram, or from the newcomer itself.
    Update,
    /// In a full state.
    State,
    /// In the first full state, and dead already.
    Inherited,
}

#[derive(Clone, Debug)]
struct Member {
    record: MemberRecord,
    /// When a suspect becomes dead.
    suspect_until: Option<Millis>,
    /// When a dead or left member's record is dropped.
    drop_at: Option<Millis>,
    /// Dead already when this node joined.
    inherited: bool,
}

#[derive(Clone, Debug)]
struct Probe {
    node: NodeId,
    sequence: u64,
    indirect_at: Millis,
    indirect_sent: bool,
    ends: Millis,
}

#[derive(Clone, Debug)]
struct Relay {
    origin: SocketAddr,
    sequence: u64,
    node: NodeId,
    ends: Millis,
}

#[derive(Clone, Debug)]
struct Pending {
    /// Datagrams that may still carry the update.
    sends_left: u32,
    /// Push periods in which it is still fresh.
    pushes_left: u32,
}

/// Membership of one node.
#[derive(Debug)]
pub struct State {
    settings: MembershipSettings,
    rng: SmallRng,
    local: MemberRecord,
    members: BTreeMap<NodeId, Member>,
    pending: BTreeMap<NodeId, Pending>,
    probe: Option<Probe>,
    relays: BTreeMap<u64, Relay>,
    round: Vec<NodeId>,
    sequence: u64,
    score: u32,
    last_tick: Option<Millis>,
    next_probe: Millis,
    next_ring: Millis,
    next_push: Millis,
    next_sync: Millis,
    sync_gap: u64,
    head: Head,
    moves_hash: u64,
    joined: bool,
    leaving: bool,
    actions: Vec<Action>,
}

impl State {
    /// Membership of the node that owns `local`.
    pub fn new(local: MemberRecord, settings: MembershipSettings, seed: u64) -> Self {
        Self {
            sync_gap: settings.sync_min_ms,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            local,
            members: BTreeMap::new(),
            pending: BTreeMap::new(),
            probe: None,
            relays: BTreeMap::new(),
            round: Vec::new(),
            sequence: 0,
            score: 0,
            last_tick: None,
            next_probe: Millis(0),
            next_ring: Millis(0),
            next_push: Millis(0),
            next_sync: Millis(0),
            head: Head::default(),
            moves_hash: 0,
            joined: false,
            leaving: false,
            actions: Vec::new(),
        }
    }

    /// Handles one event.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Received(datagram) => self.receive(now, datagram),
            Event::State(records) => self.take_state(now, records),
            Event::Joined(record) => self.take_update(now, record),
            Event::LocalTargets(targets) => self.set_targets(targets),
            Event::Head(head) => self.head = head,
            Event::MovesHash(hash) => self.moves_hash = hash,
            Event::Leave => self.leave(),
        }
        std::mem::take(&mut self.actions)
    }

    /// All records, this node's own included.
    pub fn view(&self) -> MemberView {
        let mut members: Vec<MemberRecord> =
            self.members.values().map(|m| m.record.clone()).collect();
        members.push(self.local.clone());
        members.sort_by(|a, b| a.node.cmp(&b.node));
        MemberView { local: self.local.node.clone(), members }
    }

    /// The member state that a newcomer gets.
    pub fn full_state(&self) -> Vec<MemberRecordWire> {
        let known = self.members.values().filter(|m| !m.inherited).map(|m| &m.record);
        known.chain([&self.local]).map(MemberRecordWire::from).collect()
    }

    /// This node's own record.
    pub fn local(&self) -> &MemberRecord {
        &self.local
    }

    /// Whether a full member state has arrived since the start.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    fn tick(&mut self, now: Millis) {
        let gap = now.since(self.last_tick.unwrap_or(now)).0;
        self.last_tick = Some(now);
        if gap > self.settings.probe_period_ms {
            self.resume(now, gap);
        }
        self.expire(now);
        if self.leaving {
            self.push(now);
            return;
        }
        self.run_probe(now);
        if now >= self.next_ring {
            self.next_ring = Millis(now.0 + self.settings.ring_period_ms);
            self.ping_successors();
        }
        if now >= self.next_probe {
            self.next_probe = Millis(now.0 + self.settings.probe_period_ms);
            self.start_probe(now);
            self.probe_dead();
            self.remind_suspects();
        }
        self.push(now);
        self.sync(now);
    }

    /// After a pause the missing answers say nothing about the peers: the probe is forgotten and
    /// every suspicion starts again with a longer timeout.
    fn resume(&mut self, now: Millis, gap: u64) {
        self.probe = None;
        self.relays.clear();
        let periods = u32::try_from(gap / self.settings.probe_period_ms).unwrap_or(u32::MAX);
        self.score = self.score.saturating_add(periods).min(self.settings.health_score_max);
        let until = Millis(now.0 + self.suspicion_timeout());
        for member in self.members.values_mut().filter(|m| m.suspect_until.is_some()) {
            member.suspect_until = Some(until);
        }
        self.log(&codes::RESUMED, format!("no timer ran for {gap} ms"));
    }

    fn expire(&mut self, now: Millis) {
        let due: Vec<NodeId> = self
            .members
            .values()
            .filter(|m| m.suspect_until.is_some_and(|t| now >= t))
            .map(|m| m.record.node.clone())
            .collect();
        for node in due {
            self.mark(now, &node, Status::Dead);
        }
        let before = self.members.len();
        self.members.retain(|_, m| m.drop_at.is_none_or(|t| now < t));
        if self.members.len() != before {
            self.actions.push(Action::Changed);
        }
        self.relays.retain(|_, r| now < r.ends);
    }

    fn start_probe(&mut self, now: Millis) {
        let Some(node) = self.next_in_round() else { return };
        let Some(to) = self.control_addr(&node) else { return };
        let sequence = self.next_sequence();
        let timeout = self.settings.probe_timeout_ms * u64::from(1 + self.score);
        let period = self.settings.probe_period_ms.max(2 * timeout);
        self.probe = Some(Probe {
            node: node.clone(),
            sequence,
            indirect_at: Millis(now.0 + timeout),
            indirect_sent: false,
            ends: Millis(now.0 + period),
        });
        self.send(to, Some(&node), ProbeKind::Ping { sequence }, false);
        self.next_probe = Millis(now.0 + period);
    }

    /// Peers are probed in shuffled rounds, which bounds the time until each is probed.
    fn next_in_round(&mut self) -> Option<NodeId> {
        for _ in 0..2 {
            while let Some(node) = self.round.pop() {
                if self.members.get(&node).is_some_and(|m| m.record.is_live()) {
                    return Some(node);
                }
            }
            self.round = self.live_peers();
            self.round.shuffle(&mut self.rng);
        }
        None
    }

    fn run_probe(&mut self, now: Millis) {
        let Some(probe) = self.probe.clone() else { return };
        if now >= probe.ends {
            self.probe = None;
            self.score = (self.score + 1).min(self.settings.health_score_max);
            self.mark(now, &probe.node, Status::Suspect);
            return;
        }
        if now < probe.indirect_at || probe.indirect_sent {
            return;
        }
        if let Some(p) = self.probe.as_mut() {
            p.indirect_sent = true;
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

    /// A host that restarted and cannot use the table is found by its old peers this way.
    fn probe_dead(&mut self) {
        let dead: Vec<NodeId> = self
            .members
            .values()
            .filter(|m| !m.record.is_live())
            .map(|m| m.record.node.clone())
            .collect();
        let Some(node) = dead.choose(&mut self.rng).cloned() else { return };
        let Some(to) = self.control_addr(&node) else { return };
        let sequence = self.next_sequence();
        self.send(to, Some(&node), ProbeKind::Ping { sequence }, true);
    }

    /// The members that follow this node in the order of ids, nearest first. Those that left are
    /// not among them.
    fn successors(&self) -> Vec<NodeId> {
        let own = &self.local.node;
        let after = self.members.range::<NodeId, _>((Bound::Excluded(own), Bound::Unbounded));
        let before = self.members.range::<NodeId, _>(..own);
        let present = after.chain(before).filter(|(_, m)| m.record.status != Status::Left);
        present.map(|(node, _)| node.clone()).take(self.settings.ring_span).collect()
    }

    /// Pings the next live member and the dead ones before it. Random probes miss a member for 3 s
    /// with a probability of about e^-3, which is too often for a host that restarted while the
    /// table is down: it knows nobody and has to be found.
    fn ping_successors(&mut self) {
        for node in self.successors() {
            let Some(member) = self.members.get(&node) else { continue };
            let (to, live) = (member.record.addresses.control, member.record.is_live());
            let sequence = self.next_sequence();
            self.send(to, Some(&node), ProbeKind::Ping { sequence }, !live);
            if live {
                return;
            }
        }
    }

    /// Hosts of a rack restart together and follow one another in the order of ids; the first that
    /// is found tells the next ones of itself at once.
    fn introduce_to_successors(&mut self) {
        for node in self.successors() {
            let Some(to) = self.control_addr(&node) else { continue };
            let sequence = self.next_sequence();
            self.send(to, Some(&node), ProbeKind::Ping { sequence }, true);
        }
    }

    /// A suspect is told again in every period: the first notice may have been lost.
    fn remind_suspects(&mut self) {
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

    fn push(&mut self, now: Millis) {
        if now < self.next_push || self.pending.values().all(|p| p.pushes_left == 0) {
            return;
        }
        self.next_push = Millis(now.0 + self.settings.push_period_ms);
        let start = self.actions.len();
        self.push_to(self.settings.push_fanout);
        // Only updates that fitted into a datagram used up one of their pushes.
        let carried = self.actions[start..].iter().filter_map(|action| match action {
            Action::Send { datagram, .. } => Some(&datagram.updates),
            _ => None,
        });
        let carried: BTreeSet<SmolStr> = carried.flatten().map(|u| u.node.clone()).collect();
        for (node, pending) in &mut self.pending {
            if carried.contains(node.as_str()) {
                pending.pushes_left = pending.pushes_left.saturating_sub(1);
            }
        }
    }

    fn push_to(&mut self, count: usize) {
        let live = self.live_peers();
        let chosen: Vec<NodeId> = live.choose_multiple(&mut self.rng, count).cloned().collect();
        for node in chosen {
            let Some(to) = self.control_addr(&node) else { continue };
            self.send(to, Some(&node), ProbeKind::Update, false);
        }
    }

    /// Syncs with a random peer. The gap doubles from its minimum; a backlog of updates, as after a
    /// mass restart, resets it, because datagrams alone would take minutes to carry them.
    fn sync(&mut self, now: Millis) {
        let (min, max) = (self.settings.sync_min_ms, self.settings.sync_period_ms);
        if self.pending.len() > self.settings.sync_backlog && self.sync_gap >= max {
            self.sync_gap = min;
            self.next_sync = Millis(now.0 + self.rng.random_range(0..=min));
        }
        if !self.joined || now < self.next_sync {
            return;
        }
        self.next_sync =
            Millis(now.0 + self.sync_gap / 2 + self.rng.random_range(0..=self.sync_gap));
        self.sync_gap = (self.sync_gap * 2).min(max);
        let live = self.members.values().filter(|m| m.record.is_live());
        let peers: Vec<SocketAddr> = live.map(|m| m.record.addresses.peer).collect();
        if let Some(peer) = peers.choose(&mut self.rng) {
            self.actions.push(Action::Sync(*peer));
        }
    }

    fn receive(&mut self, now: Millis, datagram: MemberDatagram) {
        let Ok(from) = NodeId::try_from(datagram.from.clone()) else { return };
        if from == self.local.node {
            return;
        }
        let own = self.local.node.as_str();
        let claims = datagram.updates.iter().filter(|u| u.node == own);
        let claim = claims.map(|u| (u.incarnation, u.revision)).max();
        // The sender has restarted, or is new: it may know nobody, this node included.
        let newcomer =
            self.members.get(&from).is_none_or(|m| m.record.incarnation != datagram.incarnation);
        for update in datagram.updates {
            self.take_update(now, update);
        }
        // The sender remembers an older record of this node, or one that was just refuted.
        let stale_claim = claim.is_some_and(|c| c < (self.local.incarnation, self.local.revision));
        self.compare_peer(&from, datagram.head, datagram.moves_hash);
        // The sender learns what it is remembered as, so that it can refute or raise its
        // incarnation.
        let outdated = self.members.get(&from).is_some_and(|m| {
            !m.record.is_live()
                || m.record.status == Status::Suspect
                || m.record.incarnation != datagram.incarnation
        });
        let tell = outdated || stale_claim || !self.members.contains_key(&from);
        match datagram.kind {
            ProbeKind::Ping { sequence } => {
                let node = self.local.node.clone().into();
                let kind = ProbeKind::Ack { sequence, node };
                self.send(datagram.from_addr, Some(&from), kind, tell);
            }
            ProbeKind::PingReq { sequence, node, addr } => {
                let Ok(node) = NodeId::try_from(node) else { return };
                let own = self.next_sequence();
                let ends = Millis(now.0 + self.settings.probe_period_ms);
                let origin = datagram.from_addr;
                self.relays.insert(own, Relay { origin, sequence, node: node.clone(), ends });
                self.send(addr, Some(&node), ProbeKind::Ping { sequence: own }, false);
            }
            ProbeKind::Ack { sequence, node } => {
                self.receive_ack(sequence, &node);
                if outdated || stale_claim || newcomer {
                    self.send(datagram.from_addr, Some(&from), ProbeKind::Update, true);
                }
            }
            ProbeKind::Update if stale_claim || newcomer => {
                self.send(datagram.from_addr, Some(&from), ProbeKind::Update, true);
            }
            ProbeKind::Update => {}
        }
    }

    fn receive_ack(&mut self, sequence: u64, node: &str) {
        if self.probe.as_ref().is_some_and(|p| p.sequence == sequence && p.node.as_str() == node) {
            self.probe = None;
            self.score = self.score.saturating_sub(1);
        }
        let Some(relay) = self.relays.remove(&sequence) else { return };
        if relay.node.as_str() != node {
            return;
        }
        let kind = ProbeKind::Ack { sequence: relay.sequence, node: node.into() };
        self.send(relay.origin, None, kind, false);
    }

    fn compare_peer(&mut self, from: &NodeId, head: Head, moves_hash: u64) {
        let peer_addr = self.members.get(from).map(|m| m.record.addresses.peer);
        if head != self.head {
            self.actions.push(Action::PeerHead { node: from.clone(), peer_addr, head });
        }
        if let Some(peer_addr) = peer_addr.filter(|_| moves_hash != self.moves_hash) {
            self.actions.push(Action::PeerMovesDiffer(peer_addr));
        }
    }

    fn take_state(&mut self, now: Millis, records: Vec<MemberRecordWire>) {
        let first = !self.joined;
        if first {
            self.joined = true;
            self.next_sync = Millis(now.0 + self.rng.random_range(0..=self.settings.sync_min_ms));
        }
        for wire in records {
            let Ok(record) = MemberRecord::try_from(wire) else { continue };
            let known = record.node == self.local.node || self.members.contains_key(&record.node);
            // A dropped record of a dead node must not come back from a peer that drops it later.
            if !known && !record.is_live() && !first {
                continue;
            }
            let inherited = !known && !record.is_live();
            let origin = if inherited { Origin::Inherited } else { Origin::State };
            self.take(now, record, origin);
        }
        if first {
            self.introduce_to_successors();
        }
    }

    fn take_update(&mut self, now: Millis, wire: MemberRecordWire) {
        let Ok(record) = MemberRecord::try_from(wire) else { return };
        self.take(now, record, Origin::Update);
    }

    fn take(&mut self, now: Millis, record: MemberRecord, origin: Origin) {
        if record.node == self.local.node {
            self.refute(&record);
            return;
        }
        let node = record.node.clone();
        let old = self.members.get(&node).map(|m| m.record.clone());
        if old.as_ref().is_some_and(|old| !merge::supersedes(&record, old)) {
            return;
        }
        let met = old.as_ref().is_none_or(|old| !old.is_live()) && record.is_live();
        let peer_addr = record.addresses.peer;
        self.log_change(old.as_ref(), &record);
        self.put(now, record, origin == Origin::Inherited);
        // A node that knew nobody, and was found by a peer, learns the rest at once.
        if met && !self.joined {
            self.actions.push(Action::Sync(peer_addr));
        }
        // A full state holds what peers have spread already.
        if origin == Origin::Update {
            self.spread(&node);
        }
    }

    fn put(&mut self, now: Millis, record: MemberRecord, inherited: bool) {
        let timeout = Millis(now.0 + self.suspicion_timeout());
        let keep = if inherited {
            self.settings.dead_inherited_keep_ms
        } else {
            self.settings.dead_keep_ms
        };
        let suspect_until = (record.status == Status::Suspect).then_some(timeout);
        let drop_at = (!record.is_live()).then_some(Millis(now.0 + keep));
        let node = record.node.clone();
        self.members.insert(node, Member { record, suspect_until, drop_at, inherited });
        self.actions.push(Action::Changed);
    }

    /// A claim about this node that its own record does not override is answered by a higher
    /// incarnation. This also covers a restart with a clock behind the one of the run before.
    fn refute(&mut self, claim: &MemberRecord) {
        if self.leaving || !merge::supersedes(claim, &self.local) {
            return;
        }
        if claim.incarnation > self.local.incarnation {
            self.log(&codes::INCARNATION_RAISED, format!("peers remember {}", claim.incarnation));
        } else {
            self.score = (self.score + 1).min(self.settings.health_score_max);
        }
        self.local.incarnation = claim.incarnation + 1;
        self.local_changed();
    }

    fn mark(&mut self, now: Millis, node: &NodeId, status: Status) {
        let Some(member) = self.members.get(node) else { return };
        let old = member.record.clone();
        if !old.is_live() || old.status >= status {
            return;
        }
        let record = MemberRecord { status, ..old.clone() };
        self.log_change(Some(&old), &record);
        let to = record.addresses.control;
        self.put(now, record, false);
        self.spread(node);
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
        self.local_changed();
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
        self.local_changed();
        self.push_to(self.settings.leave_fanout);
    }

    fn local_changed(&mut self) {
        self.actions.push(Action::Changed);
        let node = self.local.node.clone();
        self.spread(&node);
    }

    fn spread(&mut self, node: &NodeId) {
        let sends_left = self.settings.piggyback_factor * log2(self.live_count()).ceil() as u32;
        let pushes_left = self.settings.push_rounds;
        self.pending.insert(node.clone(), Pending { sends_left, pushes_left });
    }

    /// Sends a datagram with as many updates as fit. `introduce` adds what the receiver is
    /// remembered as, and this node's own record.
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
        let whole = Datagram::Member(datagram.clone());
        let used = wire::encode(&whole, MAX_DATAGRAM_BYTES).map_or(MAX_DATAGRAM_BYTES, |b| b.len());
        let mut room = MAX_DATAGRAM_BYTES.saturating_sub(used + LENGTH_PREFIX_BYTES);
        let mut first: Vec<NodeId> = Vec::new();
        if introduce {
            first.push(self.local.node.clone());
            first.extend(node.cloned());
        }
        let mut queue: Vec<(NodeId, u32)> =
            self.pending.iter().map(|(n, p)| (n.clone(), p.sends_left)).collect();
        queue.shuffle(&mut self.rng);
        queue.sort_by_key(|(_, sends_left)| std::cmp::Reverse(*sends_left));
        let rest = queue.into_iter().map(|(n, _)| n).filter(|n| !first.contains(n));
        for subject in first.clone().into_iter().chain(rest) {
            let Some(record) = self.record(&subject) else {
                self.pending.remove(&subject);
                continue;
            };
            let update = MemberRecordWire::from(record);
            let bytes = wire::encode(&update, MAX_DATAGRAM_BYTES).map_or(usize::MAX, |b| b.len());
            if bytes > room {
                continue;
            }
            room -= bytes;
            datagram.updates.push(update);
            self.count_send(&subject);
        }
        self.actions.push(Action::Send { to, datagram });
    }

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
        let live = self.members.values().filter(|m| m.record.is_live());
        live.map(|m| m.record.node.clone()).collect()
    }

    fn live_count(&self) -> usize {
        1 + self.members.values().filter(|m| m.record.is_live()).count()
    }

    fn suspicion_timeout(&self) -> u64 {
        let periods = self.settings.suspicion_factor * log2(self.live_count());
        let ms = (periods * self.settings.probe_period_ms as f64) as u64;
        ms.max(self.settings.suspicion_min_ms) * u64::from(1 + self.score)
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
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

/// log2 of the fleet size, at least 1.
fn log2(nodes: usize) -> f64 {
    (nodes.max(2) as f64).log2()
}
