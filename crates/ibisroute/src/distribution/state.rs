//! Configuration distribution of one node as a pure state machine.
//!
//! The node discovers a new head in the table, in a notice or in a probe of a peer, and pushes it
//! to random peers. It fetches the body, verifies its digest, compiles it as a whole, and applies
//! it once a peer has acknowledged the head or the wait for that has timed out. A version below the
//! floor or below the version in effect is never applied.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use super::distribution_settings::DistributionSettings;
use crate::events::EventCode;
use crate::events::distribution as codes;
use crate::types::ConfigVersion;
use crate::types::Digest;
use crate::types::Head;
use crate::types::Millis;
use crate::types::NodeId;

/// A live peer and its addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    pub node: NodeId,
    /// Address for control datagrams.
    pub control_addr: SocketAddr,
    /// Address for control requests.
    pub peer_addr: SocketAddr,
}

/// Source from which a body is fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The peer at this address.
    Peer(SocketAddr),
    /// The object store of the platform.
    Objects,
}

/// Reason why a fetch returned no body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchError {
    /// The source does not have the body yet, or is busy.
    Unavailable,
    /// The request failed, timed out, or received an invalid response.
    Failed,
}

/// Input of the state machine of configuration distribution.
#[derive(Clone, Debug)]
pub enum Event {
    /// The actor's timer fired.
    Tick,
    /// All live peers, without this node; sent when they change.
    Peers(Vec<Peer>),
    /// Response to [`Action::Poll`]; `None` when the table has no head row.
    TableHead(Option<Head>),
    /// The poll failed or returned an invalid row.
    TableFailed,
    /// Response to [`Action::ReadHistory`]; `None` when the row is absent or invalid or the read
    /// failed.
    History(ConfigVersion, Option<Head>),
    /// A peer announced a head and requests an acknowledgement.
    Notice {
        head: Head,
        /// Address to which the acknowledgement is sent.
        control_addr: SocketAddr,
        /// Address at which the announcing peer serves the body.
        peer_addr: SocketAddr,
    },
    /// A membership datagram of a peer carried a head that differs from this node's.
    PeerHead {
        head: Head,
        /// Address of the peer for control requests; `None` when membership does not know it yet.
        peer_addr: Option<SocketAddr>,
    },
    /// A peer acknowledged that it has recorded a head.
    Acknowledged(Head),
    /// The peer at this address responded to [`Action::QueryFloor`] but does not know the floor.
    FloorUnknown(SocketAddr),
    /// Result of [`Action::QueryFloor`] unless it is [`Event::FloorUnknown`].
    FloorResponse {
        peer_addr: SocketAddr,
        /// The highest head that the peer knows; `None` when the request failed.
        head: Option<Head>,
    },
    /// Result of [`Action::Fetch`].
    Fetched {
        head: Head,
        source: Source,
        /// The complete body; its digest has not been verified yet.
        body: Result<Arc<[u8]>, FetchError>,
    },
    /// Result of [`Action::Compile`].
    Compiled {
        head: Head,
        /// The error says why the version is invalid.
        result: Result<(), String>,
    },
}

/// Output of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Reads the head row of the table.
    Poll,
    /// Reads the history row of a version from the table.
    ReadHistory(ConfigVersion),
    /// Sends a notice of a head to a peer.
    Notify { to: SocketAddr, head: Head },
    /// Acknowledges a notice.
    Acknowledge { to: SocketAddr, head: Head },
    /// Queries a peer for the version floor, that is, the highest head that the peer knows.
    QueryFloor(SocketAddr),
    /// Fetches the body of a head.
    Fetch {
        head: Head,
        source: Source,
        /// Whether to request the complete body instead of a delta, because the digest of the last
        /// body did not match.
        whole: bool,
    },
    /// Compiles bytes whose digest has been verified, and keeps the result until it is applied.
    Compile { head: Head, bytes: Arc<[u8]> },
    /// Puts the compiled version into effect.
    Apply(Head),
    /// Reports a change of the highest head that this node knows and has not rejected; carries the
    /// new one.
    HeadDiscovered(Head),
    /// Emits the event with this detail text.
    Log(&'static EventCode, String),
}

/// State of the distribution that is reported to operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Head in effect; `None` before the first configuration is applied.
    pub in_effect: Option<Head>,
    /// Highest known head, including rejected ones.
    pub highest_known: Head,
    /// Version floor; `None` until it is known.
    pub floor: Option<ConfigVersion>,
    /// Highest rejected head, with the reason.
    pub rejected: Option<(Head, String)>,
}

/// The fetch of the body of a new head.
#[derive(Clone, Debug)]
struct Fetch {
    head: Head,
    /// Whether the object store is read before any peer is queried, unless a peer announces the
    /// head. Set if this node has read the head from the table, or fetches it because a higher head
    /// was rejected; cleared when the object read fails.
    object_store_first: bool,
    /// Peers that announced the head, in the order in which they are queried.
    announcers: Vec<SocketAddr>,
    /// Peers already queried in the current pass over all peers.
    queried: BTreeSet<SocketAddr>,
    /// Source of the attempt in flight, and when another attempt may start even if it has not
    /// ended.
    in_flight: Option<(Source, Millis)>,
    /// When the next peer may be queried.
    next_query_at: Millis,
    /// When the object store is read next.
    object_read_at: Millis,
    object_failures: u32,
    /// Whether the complete body is requested instead of a delta.
    whole: bool,
}

impl Fetch {
    /// Moves a peer that announced the head but has no body yet to the end of the announcers, to be
    /// queried again. Such a peer is fetching the body too and has it earlier than a random peer.
    fn requeue_announcer(&mut self, source: Source) {
        let Source::Peer(addr) = source else { return };
        let Some(index) = self.announcers.iter().position(|peer| *peer == addr) else { return };
        self.announcers.remove(index);
        self.announcers.push(addr);
        self.queried.remove(&addr);
    }
}

/// Progress of the push of a head to random peers.
#[derive(Clone, Debug)]
struct Push {
    head: Head,
    /// Control addresses of the peers that have been notified.
    sent_to: BTreeSet<SocketAddr>,
    /// When the second round is sent; `None` when it has been sent.
    second_round_at: Option<Millis>,
    /// When the wait for an acknowledgement ends; `None` until a peer has been notified.
    ack_deadline: Option<Millis>,
    /// Whether a peer has shown that it knows the head or a higher one.
    acknowledged: bool,
}

/// The search for the version floor among the peers.
#[derive(Clone, Debug, Default)]
struct FloorSearch {
    /// Highest head known to each peer that knows the floor, by peer address.
    responses: BTreeMap<SocketAddr, Head>,
    /// Peers that responded that they do not know the floor.
    without_floor: BTreeSet<SocketAddr>,
    /// Peers queried in the current pass over all peers.
    queried: BTreeSet<SocketAddr>,
    /// When the next peers are queried; `None` until the search begins.
    query_at: Option<Millis>,
}

/// Distribution state of one node.
#[derive(Debug)]
pub struct State {
    settings: DistributionSettings,
    rng: SmallRng,
    /// All live peers.
    peers: Vec<Peer>,
    /// The highest discovered heads, at most `kept_heads`.
    known_heads: BTreeMap<ConfigVersion, Digest>,
    /// The highest rejected heads with the reasons of the rejection, at most `kept_heads`.
    rejected: BTreeMap<ConfigVersion, (Digest, String)>,
    /// Heads whose digest differs from that of the known head with the same version. Each is logged
    /// once.
    conflicts: BTreeSet<Head>,
    /// Lowest version that this node may serve; `None` until it is known.
    floor: Option<ConfigVersion>,
    floor_search: FloorSearch,
    in_effect: Option<Head>,
    /// Head whose body is being compiled.
    compiling: Option<Head>,
    /// Head that is compiled but not applied yet.
    compiled: Option<Head>,
    fetch: Option<Fetch>,
    /// The most recent push; `None` before the first one.
    push: Option<Push>,
    /// When the head row is read next; `None` before the first tick.
    poll_at: Option<Millis>,
    /// When the poll in flight counts as failed; `None` when there is none.
    poll_deadline: Option<Millis>,
    poll_failures: u32,
    /// When the history row of the floor is read next; `None` when it is not needed.
    history_read_at: Option<Millis>,
    actions: Vec<Action>,
}

impl State {
    /// Creates the state of a node that has just started: it has no configuration and does not know
    /// its floor.
    pub fn new(settings: DistributionSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            peers: Vec::new(),
            known_heads: BTreeMap::new(),
            rejected: BTreeMap::new(),
            conflicts: BTreeSet::new(),
            floor: None,
            floor_search: FloorSearch::default(),
            in_effect: None,
            compiling: None,
            compiled: None,
            fetch: None,
            push: None,
            poll_at: None,
            poll_deadline: None,
            poll_failures: 0,
            history_read_at: None,
            actions: Vec::new(),
        }
    }

    /// Handles one event and returns the actions to perform, in order.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Peers(peers) => self.peers = peers,
            Event::TableHead(head) => self.on_table_head(now, head),
            // The late failure of a poll that has already timed out is ignored.
            Event::TableFailed if self.poll_deadline.is_none() => {}
            Event::TableFailed => self.on_table_failed(now),
            Event::History(version, head) => self.on_history(now, version, head),
            Event::Notice { head, control_addr, peer_addr } => {
                self.discover_head(now, head, Some(peer_addr), false);
                if self.has_recorded(head) {
                    self.actions.push(Action::Acknowledge { to: control_addr, head });
                }
                self.on_acknowledged(head);
            }
            Event::PeerHead { head, peer_addr } => {
                self.discover_head(now, head, peer_addr, false);
                self.on_acknowledged(head);
            }
            Event::Acknowledged(head) => self.on_acknowledged(head),
            Event::FloorUnknown(peer_addr) => self.on_floor_unknown(now, peer_addr),
            Event::FloorResponse { peer_addr, head } => {
                self.on_floor_response(now, peer_addr, head)
            }
            Event::Fetched { head, source, body } => self.on_fetched(now, head, source, body),
            Event::Compiled { head, result } => self.on_compiled(now, head, result),
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the state that is reported to operators.
    pub fn status(&self) -> Status {
        let highest_rejected = self.rejected.last_key_value();
        Status {
            in_effect: self.in_effect,
            highest_known: self.known_heads.last_key_value().map(to_head).unwrap_or_default(),
            floor: self.floor,
            rejected: highest_rejected
                .map(|(version, (digest, reason))| (to_head((version, digest)), reason.clone())),
        }
    }

    /// Returns the highest head that this node knows and has not rejected.
    pub fn best_head(&self) -> Option<Head> {
        let mut highest_first = self.known_heads.iter().rev().map(to_head);
        let best_head = highest_first.find(|h| !self.rejected.contains_key(&h.version));
        best_head.max(self.in_effect)
    }

    /// Returns the response to a peer that queries the floor; `None` until this node knows the
    /// floor.
    pub fn floor_response(&self) -> Option<Head> {
        self.floor?;
        Some(self.best_head().unwrap_or_default())
    }

    fn tick(&mut self, now: Millis) {
        if self.poll_deadline.is_some_and(|t| now >= t) {
            self.on_table_failed(now);
        }
        let poll_at = *self.poll_at.get_or_insert_with(|| {
            // Jitter spreads the first polls of the head row after a mass restart.
            Millis(now.0 + self.rng.random_range(0..=self.settings.poll_min_ms))
        });
        if self.poll_deadline.is_none() && now >= poll_at {
            self.poll_deadline = Some(Millis(now.0 + self.settings.poll_patience_ms));
            self.actions.push(Action::Poll);
        }
        self.search_floor(now);
        self.push_second_round(now);
        self.read_floor_history(now);
    }

    fn on_table_head(&mut self, now: Millis, head: Option<Head>) {
        self.poll_deadline = None;
        self.poll_failures = 0;
        let average_period_ms = self.poll_period_ms();
        self.poll_at = Some(Millis(now.0 + self.rng.random_range(0..=2 * average_period_ms)));
        let head = head.unwrap_or_default();
        if head.version > ConfigVersion(0) {
            self.discover_head(now, head, None, true);
        }
        if self.floor.is_none() {
            self.set_floor(head.version);
        }
    }

    fn on_table_failed(&mut self, now: Millis) {
        self.poll_deadline = None;
        let (min, max) = (self.settings.poll_backoff_min_ms, self.settings.poll_backoff_max_ms);
        let max_delay_ms = (min << self.poll_failures.min(16)).min(max);
        self.poll_failures += 1;
        let jitter = self.rng.random_range(0..=max_delay_ms);
        // A node that has a configuration need not poll a failing table more often than one that
        // responds.
        let base_delay = if self.in_effect.is_some() { self.poll_period_ms() } else { min };
        self.poll_at = Some(Millis(now.0 + base_delay + jitter));
        if self.floor.is_none() && self.floor_search.query_at.is_none_or(|t| t > now) {
            self.floor_search.query_at = Some(now);
            self.search_floor(now);
        }
    }

    /// Returns the average poll period in milliseconds, which grows with the fleet to bound the
    /// polls of all nodes together.
    fn poll_period_ms(&self) -> u64 {
        let nodes = self.peers.len() as u64 + 1;
        let period = nodes * 1_000 / self.settings.fleet_polls_per_s.max(1);
        period.clamp(self.settings.poll_min_ms, self.settings.poll_max_ms)
    }

    fn set_floor(&mut self, version: ConfigVersion) {
        self.floor = Some(version);
        self.log(&codes::FLOOR_KNOWN, format!("floor {version}"));
        self.lower_rejected_floor();
    }

    /// Lowers a floor that is a rejected version to the highest version below it that is not
    /// rejected. A rejected version was never in effect on any node, because compiling is
    /// deterministic.
    fn lower_rejected_floor(&mut self) {
        while let Some(floor) = self.floor.filter(|f| self.rejected.contains_key(f)) {
            if self.in_effect.is_some() || floor.0 == 0 {
                return;
            }
            self.floor = Some(ConfigVersion(floor.0 - 1));
            self.history_read_at = Some(Millis(0));
        }
    }

    /// Reads the digest of the floor version from its history row until a head of that version or a
    /// higher one is known.
    fn read_floor_history(&mut self, now: Millis) {
        let Some(read_at) = self.history_read_at else { return };
        let Some(floor) = self.floor.filter(|f| f.0 > 0) else {
            self.history_read_at = None;
            return;
        };
        if self.best_head().is_some_and(|best_head| best_head.version >= floor) {
            self.history_read_at = None;
            return;
        }
        if now < read_at {
            return;
        }
        let max_jitter_ms = self.settings.poll_backoff_max_ms;
        let delay = self.settings.platform_timeout_ms + self.rng.random_range(0..=max_jitter_ms);
        self.history_read_at = Some(Millis(now.0 + delay));
        self.actions.push(Action::ReadHistory(floor));
    }

    fn on_history(&mut self, now: Millis, version: ConfigVersion, head: Option<Head>) {
        if let Some(head) = head.filter(|h| h.version == version) {
            self.discover_head(now, head, None, true);
        }
    }

    /// Queries random peers for the floor while the table does not respond.
    fn search_floor(&mut self, now: Millis) {
        if self.floor.is_some() {
            return;
        }
        let table_wait_ms = self.settings.floor_table_wait_ms;
        let query_at = *self.floor_search.query_at.get_or_insert(Millis(now.0 + table_wait_ms));
        if now < query_at {
            return;
        }
        let retry_ms = self.settings.floor_retry_ms;
        let delay = retry_ms / 2 + self.rng.random_range(0..=retry_ms);
        self.floor_search.query_at = Some(Millis(now.0 + delay));
        let mut remaining: Vec<SocketAddr> = self.peers.iter().map(|p| p.peer_addr).collect();
        remaining.retain(|addr| !self.floor_search.responses.contains_key(addr));
        if remaining.iter().all(|addr| self.floor_search.queried.contains(addr)) {
            self.floor_search.queried.clear();
        }
        remaining.retain(|addr| !self.floor_search.queried.contains(addr));
        let count = self.settings.floor_answers;
        for addr in remaining.choose_multiple(&mut self.rng, count) {
            self.floor_search.queried.insert(*addr);
            self.actions.push(Action::QueryFloor(*addr));
        }
    }

    fn on_floor_response(&mut self, now: Millis, peer_addr: SocketAddr, head: Option<Head>) {
        let Some(head) = head else { return };
        if head.version > ConfigVersion(0) {
            self.discover_head(now, head, Some(peer_addr), false);
        }
        if self.floor.is_some() {
            return;
        }
        self.floor_search.without_floor.remove(&peer_addr);
        self.floor_search.responses.insert(peer_addr, head);
        self.decide_floor();
    }

    /// Handles the response of a peer that does not know the floor. Most peers do not know it after
    /// a mass restart, so the next ones are queried immediately.
    fn on_floor_unknown(&mut self, now: Millis, peer_addr: SocketAddr) {
        if self.floor.is_some() {
            return;
        }
        self.floor_search.without_floor.insert(peer_addr);
        if self.peers.iter().any(|p| !self.floor_search.queried.contains(&p.peer_addr)) {
            self.floor_search.query_at = Some(now);
        }
        self.decide_floor();
    }

    /// Sets the floor when `floor_answers` peers have reported a head. If fewer peers know the
    /// floor, one reported head is enough once every live peer has responded, since a peer that has
    /// not responded may know a higher head.
    fn decide_floor(&mut self) {
        let search = &self.floor_search;
        let needed_responses = self.settings.floor_answers.min(self.peers.len()).max(1);
        let responded = |p: &Peer| {
            search.responses.contains_key(&p.peer_addr)
                || search.without_floor.contains(&p.peer_addr)
        };
        let all_responded = !search.responses.is_empty() && self.peers.iter().all(responded);
        if search.responses.len() >= needed_responses || all_responded {
            // A notice or probe may have reported a higher head than these responses.
            let highest_response = self.floor_search.responses.values().map(|h| h.version).max();
            let best_version = self.best_head().unwrap_or_default().version;
            self.set_floor(highest_response.unwrap_or_default().max(best_version));
        }
    }

    /// Returns whether this node has recorded the head or one with a higher version. If so, it can
    /// report that version to a restarted peer that searches for the floor.
    fn has_recorded(&self, head: Head) -> bool {
        self.best_head()
            .is_some_and(|best_head| best_head == head || best_head.version > head.version)
    }

    /// Records a head and, if it is the highest one, pushes it and starts to fetch its body.
    fn discover_head(
        &mut self,
        now: Millis,
        head: Head,
        source: Option<SocketAddr>,
        from_table: bool,
    ) {
        if head.version == ConfigVersion(0) {
            return;
        }
        if let Some(digest) = self.known_heads.get(&head.version).copied() {
            self.on_known_head(now, head, digest, source);
            return;
        }
        // The head in effect may have been evicted from the known heads. It and lower ones need not
        // be recorded again.
        if self.in_effect.is_some_and(|current| head.version <= current.version) {
            return;
        }
        let previous_best = self.best_head();
        self.known_heads.insert(head.version, head.digest);
        while self.known_heads.len() > self.settings.kept_heads {
            self.known_heads.pop_first();
        }
        if previous_best.is_some_and(|best_head| best_head.version > head.version) {
            return;
        }
        self.log(&codes::HEAD_LEARNED, format!("version {} digest {}", head.version, head.digest));
        self.actions.push(Action::HeadDiscovered(head));
        self.push_head(now, head);
        self.start_fetch(now, head, source, from_table);
    }

    /// Handles a head whose version is known already: logs a conflict if the digest differs,
    /// otherwise adds the peer `source` to the announcers of the head.
    fn on_known_head(
        &mut self,
        now: Millis,
        head: Head,
        digest: Digest,
        source: Option<SocketAddr>,
    ) {
        if digest != head.digest {
            if self.conflicts.len() < self.settings.kept_heads && self.conflicts.insert(head) {
                let detail = format!("version {}: {} and {}", head.version, digest, head.digest);
                self.log(&codes::DIGEST_CONFLICT, detail);
            }
            return;
        }
        let Some(fetch) = self.fetch.as_mut().filter(|f| f.head == head) else { return };
        let Some(source) = source.filter(|s| !fetch.announcers.contains(s)) else { return };
        fetch.announcers.push(source);
        fetch.next_query_at = fetch.next_query_at.min(now);
    }

    fn push_head(&mut self, now: Millis, head: Head) {
        let second_round_at = Some(Millis(now.0 + self.settings.push_again_ms));
        let sent_to = BTreeSet::new();
        self.push =
            Some(Push { head, sent_to, second_round_at, ack_deadline: None, acknowledged: false });
        self.push_to_random_peers(now);
    }

    fn push_second_round(&mut self, now: Millis) {
        let Some(push) = self.push.as_mut() else { return };
        if push.second_round_at.is_some_and(|t| now >= t) {
            push.second_round_at = None;
            self.push_to_random_peers(now);
        }
    }

    fn push_to_random_peers(&mut self, now: Millis) {
        let Some(push) = self.push.as_mut() else { return };
        let mut remaining: Vec<SocketAddr> = self.peers.iter().map(|p| p.control_addr).collect();
        remaining.retain(|addr| !push.sent_to.contains(addr));
        for to in remaining.choose_multiple(&mut self.rng, self.settings.push_fanout) {
            push.sent_to.insert(*to);
            push.ack_deadline.get_or_insert(Millis(now.0 + self.settings.ack_wait_ms));
            self.actions.push(Action::Notify { to: *to, head: push.head });
        }
    }

    /// Records that a peer knows the head, which also acknowledges the push of a lower one.
    fn on_acknowledged(&mut self, head: Head) {
        let covers_push = |p: &&mut Push| p.head == head || head.version > p.head.version;
        if let Some(push) = self.push.as_mut().filter(covers_push) {
            push.acknowledged = true;
        }
    }

    fn start_fetch(
        &mut self,
        now: Millis,
        head: Head,
        source: Option<SocketAddr>,
        object_store_first: bool,
    ) {
        let nodes = self.peers.len() as u64 + 1;
        // Jitter spreads the object reads of nodes that start together. Among nodes that already
        // have a configuration, the poll rate of the fleet bounds the number of readers, and jitter
        // would only delay the first body, by half a second at 1,000 nodes.
        let jitter_range_ms = match self.in_effect {
            Some(_) => 0,
            None => nodes * 1_000 / self.settings.fleet_object_reads_per_s.max(1),
        };
        let object_read_delay_ms = if object_store_first {
            self.rng.random_range(0..=jitter_range_ms)
        } else {
            let jitter = self.settings.object_fallback_jitter_ms;
            self.settings.object_fallback_ms + self.rng.random_range(0..=jitter)
        };
        self.fetch = Some(Fetch {
            head,
            object_store_first,
            announcers: source.into_iter().collect(),
            queried: BTreeSet::new(),
            in_flight: None,
            next_query_at: now,
            object_read_at: Millis(now.0 + object_read_delay_ms),
            object_failures: 0,
            whole: false,
        });
    }

    /// Starts the next attempt of the fetch if it is due, and applies the compiled version once its
    /// head is acknowledged or the wait for that has timed out.
    fn advance(&mut self, now: Millis) {
        self.advance_fetch(now);
        self.try_apply(now);
    }

    fn advance_fetch(&mut self, now: Millis) {
        let Some(fetch) = self.fetch.as_mut() else { return };
        if self.compiling.is_some() || fetch.in_flight.is_some_and(|(_, ends_at)| now < ends_at) {
            return;
        }
        fetch.in_flight = None;
        if now >= fetch.object_read_at {
            let jitter = self.rng.random_range(0..=self.settings.poll_backoff_min_ms);
            fetch.object_read_at = Millis(now.0 + self.settings.platform_timeout_ms + jitter);
            self.start_attempt(now, Source::Objects);
            return;
        }
        let waits_for_object_read =
            fetch.object_store_first && fetch.announcers.is_empty() && fetch.queried.is_empty();
        if now < fetch.next_query_at || waits_for_object_read {
            return;
        }
        let Some(addr) = self.take_next_peer() else { return };
        self.start_attempt(now, Source::Peer(addr));
    }

    /// Starts an attempt to fetch the body. The next attempt may start after the peer timeout, also
    /// if the source is the object store, whose late response is still accepted.
    fn start_attempt(&mut self, now: Millis, source: Source) {
        let timeout = self.settings.peer_timeout_ms;
        let retry_delay = self.rng.random_range(0..=self.settings.fetch_retry_ms);
        let Some(fetch) = self.fetch.as_mut() else { return };
        fetch.in_flight = Some((source, Millis(now.0 + timeout)));
        fetch.next_query_at = Millis(now.0 + retry_delay);
        let (head, whole) = (fetch.head, fetch.whole);
        self.actions.push(Action::Fetch { head, source, whole });
    }

    /// Returns the next peer to query and marks it as queried: first the peers that announced the
    /// head, in order, then random ones.
    fn take_next_peer(&mut self) -> Option<SocketAddr> {
        let fetch = self.fetch.as_mut()?;
        for _ in 0..2 {
            let announcer =
                fetch.announcers.iter().find(|addr| !fetch.queried.contains(*addr)).copied();
            let peers = self.peers.iter().map(|p| p.peer_addr);
            let not_queried: Vec<SocketAddr> =
                peers.filter(|addr| !fetch.queried.contains(addr)).collect();
            if let Some(addr) = announcer.or_else(|| not_queried.choose(&mut self.rng).copied()) {
                fetch.queried.insert(addr);
                return Some(addr);
            }
            fetch.queried.clear();
        }
        None
    }

    fn on_fetched(
        &mut self,
        now: Millis,
        head: Head,
        source: Source,
        body: Result<Arc<[u8]>, FetchError>,
    ) {
        let Some(fetch) = self.fetch.as_mut().filter(|f| f.head == head) else { return };
        if fetch.in_flight.is_some_and(|(s, _)| s == source) {
            fetch.in_flight = None;
        }
        if body.as_ref().is_err_and(|e| *e == FetchError::Unavailable) {
            fetch.requeue_announcer(source);
        }
        let Ok(bytes) = body else {
            let jitter = self.rng.random_range(0..=self.settings.fetch_retry_ms);
            fetch.next_query_at = Millis(now.0 + self.settings.fetch_retry_ms / 4 + jitter);
            // After a failed object read, peers that have not announced the head are queried too.
            if source == Source::Objects {
                fetch.object_store_first = false;
                let (min, max) =
                    (self.settings.poll_backoff_min_ms, self.settings.poll_backoff_max_ms);
                let max_delay_ms = (min << fetch.object_failures.min(16)).min(max);
                fetch.object_failures += 1;
                fetch.object_read_at = Millis(now.0 + self.rng.random_range(0..=max_delay_ms));
            }
            return;
        };
        if Digest::of(&bytes) != head.digest {
            fetch.whole = true;
            self.log(&codes::BODY_MISMATCH, format!("version {} from {source:?}", head.version));
            return;
        }
        self.fetch = None;
        self.compiling = Some(head);
        self.actions.push(Action::Compile { head, bytes });
    }

    fn on_compiled(&mut self, now: Millis, head: Head, result: Result<(), String>) {
        if self.compiling != Some(head) {
            return;
        }
        self.compiling = None;
        let Err(reason) = result else {
            self.compiled = Some(head);
            return;
        };
        self.log(&codes::REJECTED, format!("version {}: {reason}", head.version));
        self.rejected.insert(head.version, (head.digest, reason));
        while self.rejected.len() > self.settings.kept_heads {
            self.rejected.pop_first();
        }
        self.lower_rejected_floor();
        let best_head = self.best_head().or(self.in_effect);
        self.actions.push(Action::HeadDiscovered(best_head.unwrap_or_default()));
        let is_newer = |h: &Head| self.in_effect.is_none_or(|current| h.version > current.version);
        if let Some(next) = best_head.filter(is_newer).filter(|_| self.fetch.is_none()) {
            self.push_head(now, next);
            self.start_fetch(now, next, None, true);
        }
    }

    fn try_apply(&mut self, now: Millis) {
        let Some(head) = self.compiled else { return };
        if self.in_effect.is_some_and(|current| head.version <= current.version) {
            self.compiled = None;
            return;
        }
        let Some(floor) = self.floor else { return };
        if head.version < floor {
            return;
        }
        if !self.check_acknowledged(now, head) {
            return;
        }
        self.compiled = None;
        self.in_effect = Some(head);
        self.floor = Some(head.version);
        self.log(&codes::APPLIED, format!("version {} digest {}", head.version, head.digest));
        self.actions.push(Action::Apply(head));
    }

    /// Returns whether a peer has recorded the head, or the wait for that has timed out. Pushes the
    /// head first if there was no peer to push it to before.
    fn check_acknowledged(&mut self, now: Millis, head: Head) -> bool {
        if self.peers.is_empty() {
            return true;
        }
        if self.push.as_ref().is_some_and(|p| p.ack_deadline.is_none()) {
            self.push_to_random_peers(now);
        }
        // The acknowledgement of a higher head covers this one too.
        let Some(push) = self.push.as_ref().filter(|p| p.head.version >= head.version) else {
            return true;
        };
        push.acknowledged || push.ack_deadline.is_some_and(|t| now >= t)
    }

    fn log(&mut self, code: &'static EventCode, detail: String) {
        self.actions.push(Action::Log(code, detail));
    }
}

fn to_head((version, digest): (&ConfigVersion, &Digest)) -> Head {
    Head { version: *version, digest: *digest }
}
