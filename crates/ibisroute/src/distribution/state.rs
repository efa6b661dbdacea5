//! Which configuration version this node may serve, as a pure state machine.
//!
//! A head is learned from the table, a notice or a peer; its body is fetched and checked, compiled
//! whole, announced to a peer, and applied. Nothing below the floor or the version in effect is
//! ever applied.

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

/// A live peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its id.
    pub node: NodeId,
    /// Where it receives datagrams.
    pub control_addr: SocketAddr,
    /// Where it serves control requests.
    pub peer_addr: SocketAddr,
}

/// Where a body is fetched from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The peer at this address.
    Peer(SocketAddr),
    /// The object store.
    Objects,
}

/// Why a fetch brought no body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchError {
    /// The source does not have the body yet, or is busy.
    NotThere,
    /// No usable answer.
    Failed,
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The live peers, this node not among them.
    Peers(Vec<Peer>),
    /// The table's head row; `None` when there is no row.
    TableHead(Option<Head>),
    /// The table did not answer.
    TableFailed,
    /// The history row of a version; `None` when it is absent or the table did not answer.
    History(ConfigVersion, Option<Head>),
    /// A peer announced a head and wants it acknowledged.
    Notice {
        /// The head.
        head: Head,
        /// Where the acknowledgement goes.
        control_addr: SocketAddr,
        /// Where the body can be fetched.
        peer_addr: SocketAddr,
    },
    /// A peer's probe carried a head.
    PeerHead {
        /// The head.
        head: Head,
        /// Where the body can be fetched, when known.
        peer_addr: Option<SocketAddr>,
    },
    /// A peer has recorded a head.
    Acknowledged(Head),
    /// A peer answered [`Action::AskFloor`] that it does not know the floor itself.
    FloorUnknown(SocketAddr),
    /// Answer to [`Action::AskFloor`]; `None` when the peer failed.
    FloorAnswer {
        /// The peer.
        peer_addr: SocketAddr,
        /// Highest head that it knows.
        head: Option<Head>,
    },
    /// Answer to [`Action::Fetch`].
    Fetched {
        /// The head.
        head: Head,
        /// The source.
        source: Source,
        /// The whole bytes, unchecked.
        body: Result<Arc<[u8]>, FetchError>,
    },
    /// Answer to [`Action::Compile`].
    Compiled {
        /// The head.
        head: Head,
        /// Why the version is invalid.
        result: Result<(), String>,
    },
}

/// Output of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Reads the head row.
    Poll,
    /// Reads the history row of a version.
    ReadHistory(ConfigVersion),
    /// Sends a notice.
    Notify {
        /// Receiver.
        to: SocketAddr,
        /// Head.
        head: Head,
    },
    /// Acknowledges a notice.
    Acknowledge {
        /// Receiver.
        to: SocketAddr,
        /// Head.
        head: Head,
    },
    /// Asks a peer for the highest head that it knows.
    AskFloor(SocketAddr),
    /// Fetches a body; `whole` forbids a delta.
    Fetch {
        /// The head.
        head: Head,
        /// The source.
        source: Source,
        /// Whether a delta is refused, because the last one did not lead to the digest.
        whole: bool,
    },
    /// Compiles bytes whose digest is right, and keeps the result until it is applied.
    Compile {
        /// The head.
        head: Head,
        /// Bytes.
        bytes: Arc<[u8]>,
    },
    /// Switches to the compiled version.
    Apply(Head),
    /// The highest head that this node knows and has not rejected.
    HeadLearned(Head),
    /// Something to log.
    Log(&'static EventCode, String),
}

/// What operators are told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Version in effect.
    pub in_effect: Option<Head>,
    /// Highest head known, rejected ones included.
    pub seen: Head,
    /// Floor, once known.
    pub floor: Option<ConfigVersion>,
    /// Highest rejected version and the reason.
    pub rejected: Option<(Head, String)>,
}

#[derive(Clone, Debug)]
struct Fetch {
    head: Head,
    /// The head was seen in the table before any peer told it.
    detector: bool,
    sources: Vec<SocketAddr>,
    tried: BTreeSet<SocketAddr>,
    in_flight: Option<(Source, Millis)>,
    next_at: Millis,
    objects_at: Millis,
    object_failures: u32,
    whole: bool,
}

impl Fetch {
    /// A peer that told the head fetches it too and soon has it. It is asked again, after the other
    /// peers that told, because a random peer has it later.
    fn ask_again(&mut self, source: Source) {
        let Source::Peer(addr) = source else { return };
        let Some(index) = self.sources.iter().position(|told| *told == addr) else { return };
        self.sources.remove(index);
        self.sources.push(addr);
        self.tried.remove(&addr);
    }
}

#[derive(Clone, Debug)]
struct Push {
    head: Head,
    sent_to: BTreeSet<SocketAddr>,
    again_at: Option<Millis>,
    /// No wait for an acknowledgement after this time; `None` until a peer was notified.
    ack_until: Option<Millis>,
    acknowledged: bool,
}

#[derive(Clone, Debug, Default)]
struct FloorSearch {
    answers: BTreeMap<SocketAddr, Head>,
    /// Peers that answered that they do not know the floor.
    unknowing: BTreeSet<SocketAddr>,
    /// Peers asked since all of them were.
    asked: BTreeSet<SocketAddr>,
    ask_at: Option<Millis>,
}

/// Distribution state of one node.
#[derive(Debug)]
pub struct State {
    settings: DistributionSettings,
    rng: SmallRng,
    peers: Vec<Peer>,
    known: BTreeMap<ConfigVersion, Digest>,
    rejected: BTreeMap<ConfigVersion, (Digest, String)>,
    conflicts: BTreeSet<Head>,
    floor: Option<ConfigVersion>,
    search: FloorSearch,
    held: Option<Head>,
    compiling: Option<Head>,
    compiled: Option<Head>,
    fetch: Option<Fetch>,
    push: Option<Push>,
    poll_at: Option<Millis>,
    poll_ends: Option<Millis>,
    poll_failures: u32,
    history_at: Option<Millis>,
    actions: Vec<Action>,
}

impl State {
    /// A node that has just started: it holds nothing and does not know its floor.
    pub fn new(settings: DistributionSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            peers: Vec::new(),
            known: BTreeMap::new(),
            rejected: BTreeMap::new(),
            conflicts: BTreeSet::new(),
            floor: None,
            search: FloorSearch::default(),
            held: None,
            compiling: None,
            compiled: None,
            fetch: None,
            push: None,
            poll_at: None,
            poll_ends: None,
            poll_failures: 0,
            history_at: None,
            actions: Vec::new(),
        }
    }

    /// Handles one event.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Peers(peers) => self.peers = peers,
            Event::TableHead(head) => self.table_head(now, head),
            // A poll that was given up fails again later.
            Event::TableFailed if self.poll_ends.is_none() => {}
            Event::TableFailed => self.table_failed(now),
            Event::History(version, head) => self.history(now, version, head),
            Event::Notice { head, control_addr, peer_addr } => {
                self.learn(now, head, Some(peer_addr), false);
                if self.covers(head) {
                    self.actions.push(Action::Acknowledge { to: control_addr, head });
                }
                self.acknowledged(head);
            }
            Event::PeerHead { head, peer_addr } => {
                self.learn(now, head, peer_addr, false);
                self.acknowledged(head);
            }
            Event::Acknowledged(head) => self.acknowledged(head),
            Event::FloorUnknown(peer_addr) => self.floor_unknown(now, peer_addr),
            Event::FloorAnswer { peer_addr, head } => self.floor_answer(now, peer_addr, head),
            Event::Fetched { head, source, body } => self.fetched(now, head, source, body),
            Event::Compiled { head, result } => self.compiled(now, head, result),
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// What operators are told.
    pub fn status(&self) -> Status {
        let last = self.rejected.last_key_value();
        Status {
            in_effect: self.held,
            seen: self.known.last_key_value().map(to_head).unwrap_or_default(),
            floor: self.floor,
            rejected: last.map(|(v, (d, why))| (to_head((v, d)), why.clone())),
        }
    }

    /// The highest head that this node knows and has not rejected.
    pub fn best(&self) -> Option<Head> {
        let mut known = self.known.iter().rev().map(to_head);
        let best = known.find(|h| !self.rejected.contains_key(&h.version));
        best.max(self.held)
    }

    /// The answer to a peer that asks for the floor; `None` until this node knows it itself.
    pub fn floor_reply(&self) -> Option<Head> {
        self.floor?;
        Some(self.best().unwrap_or_default())
    }

    fn tick(&mut self, now: Millis) {
        if self.poll_ends.is_some_and(|t| now >= t) {
            self.table_failed(now);
        }
        let poll_at = *self.poll_at.get_or_insert_with(|| {
            // A mass restart spreads its first reads.
            Millis(now.0 + self.rng.random_range(0..=self.settings.poll_min_ms))
        });
        if self.poll_ends.is_none() && now >= poll_at {
            self.poll_ends = Some(Millis(now.0 + self.settings.poll_patience_ms));
            self.actions.push(Action::Poll);
        }
        self.search_floor(now);
        self.push_again(now);
        self.run_history(now);
    }

    fn table_head(&mut self, now: Millis, head: Option<Head>) {
        self.poll_ends = None;
        self.poll_failures = 0;
        let base = self.poll_period();
        self.poll_at = Some(Millis(now.0 + self.rng.random_range(0..=2 * base)));
        let head = head.unwrap_or_default();
        if head.version > ConfigVersion(0) {
            self.learn(now, head, None, true);
        }
        if self.floor.is_none() {
            self.set_floor(head.version);
        }
    }

    fn table_failed(&mut self, now: Millis) {
        self.poll_ends = None;
        let (min, max) = (self.settings.poll_backoff_min_ms, self.settings.poll_backoff_max_ms);
        let bound = (min << self.poll_failures.min(16)).min(max);
        self.poll_failures += 1;
        let delay = self.rng.random_range(0..=bound);
        // A node that serves already need not poll a failing platform more often than a sound one.
        let base = if self.held.is_some() { self.poll_period() } else { min };
        self.poll_at = Some(Millis(now.0 + base + delay));
        if self.floor.is_none() && self.search.ask_at.is_none_or(|t| t > now) {
            self.search.ask_at = Some(now);
            self.search_floor(now);
        }
    }

    fn poll_period(&self) -> u64 {
        let nodes = self.peers.len() as u64 + 1;
        let period = nodes * 1_000 / self.settings.fleet_polls_per_s.max(1);
        period.clamp(self.settings.poll_min_ms, self.settings.poll_max_ms)
    }

    fn set_floor(&mut self, version: ConfigVersion) {
        self.floor = Some(version);
        self.log(&codes::FLOOR_KNOWN, format!("floor {version}"));
        self.lower_rejected_floor();
    }

    /// A rejected version was never in effect on any node, because compiling is deterministic: the
    /// floor is the highest version below it.
    fn lower_rejected_floor(&mut self) {
        while let Some(floor) = self.floor.filter(|f| self.rejected.contains_key(f)) {
            if self.held.is_some() || floor.0 == 0 {
                return;
            }
            self.floor = Some(ConfigVersion(floor.0 - 1));
            self.history_at = Some(Millis(0));
        }
    }

    /// Reads the digest of the floor version from the history when no peer tells it.
    fn run_history(&mut self, now: Millis) {
        let Some(at) = self.history_at else { return };
        let Some(floor) = self.floor.filter(|f| f.0 > 0) else {
            self.history_at = None;
            return;
        };
        if self.best().is_some_and(|best| best.version >= floor) {
            self.history_at = None;
            return;
        }
        if now < at {
            return;
        }
        let backoff = self.settings.poll_backoff_max_ms;
        let wait = self.settings.platform_timeout_ms + self.rng.random_range(0..=backoff);
        self.history_at = Some(Millis(now.0 + wait));
        self.actions.push(Action::ReadHistory(floor));
    }

    fn history(&mut self, now: Millis, version: ConfigVersion, head: Option<Head>) {
        if let Some(head) = head.filter(|h| h.version == version) {
            self.learn(now, head, None, true);
        }
    }

    fn search_floor(&mut self, now: Millis) {
        if self.floor.is_some() {
            return;
        }
        let wait = self.settings.floor_table_wait_ms;
        let ask_at = *self.search.ask_at.get_or_insert(Millis(now.0 + wait));
        if now < ask_at {
            return;
        }
        let retry = self.settings.floor_retry_ms;
        let delay = retry / 2 + self.rng.random_range(0..=retry);
        self.search.ask_at = Some(Millis(now.0 + delay));
        let mut open: Vec<SocketAddr> = self.peers.iter().map(|p| p.peer_addr).collect();
        open.retain(|addr| !self.search.answers.contains_key(addr));
        if open.iter().all(|addr| self.search.asked.contains(addr)) {
            self.search.asked.clear();
        }
        open.retain(|addr| !self.search.asked.contains(addr));
        let count = self.settings.floor_answers;
        for addr in open.choose_multiple(&mut self.rng, count) {
            self.search.asked.insert(*addr);
            self.actions.push(Action::AskFloor(*addr));
        }
    }

    fn floor_answer(&mut self, now: Millis, peer_addr: SocketAddr, head: Option<Head>) {
        let Some(head) = head else { return };
        if head.version > ConfigVersion(0) {
            self.learn(now, head, Some(peer_addr), false);
        }
        if self.floor.is_some() {
            return;
        }
        self.search.unknowing.remove(&peer_addr);
        self.search.answers.insert(peer_addr, head);
        self.decide_floor();
    }

    /// After a mass restart most peers know no floor; the next ones are asked at once.
    fn floor_unknown(&mut self, now: Millis, peer_addr: SocketAddr) {
        if self.floor.is_some() {
            return;
        }
        self.search.unknowing.insert(peer_addr);
        if self.peers.iter().any(|p| !self.search.asked.contains(&p.peer_addr)) {
            self.search.ask_at = Some(now);
        }
        self.decide_floor();
    }

    /// Enough peers have told a head, or all live ones have answered and at least one of them knows
    /// the floor. A peer that does not answer leaves it open, because it may know a higher head.
    fn decide_floor(&mut self) {
        let search = &self.search;
        let needed = self.settings.floor_answers.min(self.peers.len()).max(1);
        let answered = |p: &Peer| {
            search.answers.contains_key(&p.peer_addr) || search.unknowing.contains(&p.peer_addr)
        };
        let all = !search.answers.is_empty() && self.peers.iter().all(answered);
        if search.answers.len() >= needed || all {
            // Heads that peers told otherwise count too.
            let highest = self.search.answers.values().map(|h| h.version).max();
            let best = self.best().unwrap_or_default().version;
            self.set_floor(highest.unwrap_or_default().max(best));
        }
    }

    /// Whether this node has the head or a higher one on record, so that a peer that restarts can
    /// rely on it.
    fn covers(&self, head: Head) -> bool {
        self.best().is_some_and(|best| best == head || best.version > head.version)
    }

    fn learn(&mut self, now: Millis, head: Head, source: Option<SocketAddr>, from_table: bool) {
        if head.version == ConfigVersion(0) {
            return;
        }
        if let Some(digest) = self.known.get(&head.version).copied() {
            self.learn_again(now, head, digest, source);
            return;
        }
        // The head in effect may have left the bounded record; lower ones are of no use.
        if self.held.is_some_and(|held| head.version <= held.version) {
            return;
        }
        let best = self.best();
        self.known.insert(head.version, head.digest);
        while self.known.len() > self.settings.kept_heads {
            self.known.pop_first();
        }
        if best.is_some_and(|best| best.version > head.version) {
            return;
        }
        self.log(&codes::HEAD_LEARNED, format!("version {} digest {}", head.version, head.digest));
        self.actions.push(Action::HeadLearned(head));
        self.push_head(now, head);
        self.start_fetch(now, head, source, from_table);
    }

    fn learn_again(&mut self, now: Millis, head: Head, digest: Digest, source: Option<SocketAddr>) {
        if digest != head.digest {
            if self.conflicts.len() < self.settings.kept_heads && self.conflicts.insert(head) {
                let detail = format!("version {}: {} and {}", head.version, digest, head.digest);
                self.log(&codes::DIGEST_CONFLICT, detail);
            }
            return;
        }
        let Some(fetch) = self.fetch.as_mut().filter(|f| f.head == head) else { return };
        let Some(source) = source.filter(|s| !fetch.sources.contains(s)) else { return };
        fetch.sources.push(source);
        fetch.next_at = fetch.next_at.min(now);
    }

    fn push_head(&mut self, now: Millis, head: Head) {
        let again_at = Some(Millis(now.0 + self.settings.push_again_ms));
        let sent_to = BTreeSet::new();
        self.push = Some(Push { head, sent_to, again_at, ack_until: None, acknowledged: false });
        self.push_to_some(now);
    }

    fn push_again(&mut self, now: Millis) {
        let Some(push) = self.push.as_mut() else { return };
        if push.again_at.is_some_and(|t| now >= t) {
            push.again_at = None;
            self.push_to_some(now);
        }
    }

    fn push_to_some(&mut self, now: Millis) {
        let Some(push) = self.push.as_mut() else { return };
        let mut open: Vec<SocketAddr> = self.peers.iter().map(|p| p.control_addr).collect();
        open.retain(|addr| !push.sent_to.contains(addr));
        for to in open.choose_multiple(&mut self.rng, self.settings.push_fanout) {
            push.sent_to.insert(*to);
            push.ack_until.get_or_insert(Millis(now.0 + self.settings.ack_wait_ms));
            self.actions.push(Action::Notify { to: *to, head: push.head });
        }
    }

    fn acknowledged(&mut self, head: Head) {
        let covers = |p: &&mut Push| p.head == head || head.version > p.head.version;
        if let Some(push) = self.push.as_mut().filter(covers) {
            push.acknowledged = true;
        }
    }

    fn start_fetch(&mut self, now: Millis, head: Head, source: Option<SocketAddr>, detector: bool) {
        let nodes = self.peers.len() as u64 + 1;
        // Only a mass restart makes many detectors at once. Among nodes that serve, the fleet's polls
        // bound them, and jitter would only delay the first body: by half a second at 1,000 nodes.
        let spread = match self.held {
            Some(_) => 0,
            None => nodes * 1_000 / self.settings.fleet_object_reads_per_s.max(1),
        };
        let objects_in = if detector {
            self.rng.random_range(0..=spread)
        } else {
            let jitter = self.settings.object_fallback_jitter_ms;
            self.settings.object_fallback_ms + self.rng.random_range(0..=jitter)
        };
        self.fetch = Some(Fetch {
            head,
            detector,
            sources: source.into_iter().collect(),
            tried: BTreeSet::new(),
            in_flight: None,
            next_at: now,
            objects_at: Millis(now.0 + objects_in),
            object_failures: 0,
            whole: false,
        });
    }

    /// Starts the next attempt of the fetch, and applies what is ready.
    fn advance(&mut self, now: Millis) {
        self.run_fetch(now);
        self.try_apply(now);
    }

    fn run_fetch(&mut self, now: Millis) {
        let Some(fetch) = self.fetch.as_mut() else { return };
        if self.compiling.is_some() || fetch.in_flight.is_some_and(|(_, ends)| now < ends) {
            return;
        }
        fetch.in_flight = None;
        if now >= fetch.objects_at {
            let jitter = self.rng.random_range(0..=self.settings.poll_backoff_min_ms);
            fetch.objects_at = Millis(now.0 + self.settings.platform_timeout_ms + jitter);
            self.request(now, Source::Objects);
            return;
        }
        let waits_for_objects =
            fetch.detector && fetch.sources.is_empty() && fetch.tried.is_empty();
        if now < fetch.next_at || waits_for_objects {
            return;
        }
        let Some(addr) = self.next_source() else { return };
        self.request(now, Source::Peer(addr));
    }

    /// A slow object store holds up the next attempt no longer than a peer; its late answer is
    /// still taken.
    fn request(&mut self, now: Millis, source: Source) {
        let timeout = self.settings.peer_timeout_ms;
        let retry = self.rng.random_range(0..=self.settings.fetch_retry_ms);
        let Some(fetch) = self.fetch.as_mut() else { return };
        fetch.in_flight = Some((source, Millis(now.0 + timeout)));
        fetch.next_at = Millis(now.0 + retry);
        let (head, whole) = (fetch.head, fetch.whole);
        self.actions.push(Action::Fetch { head, source, whole });
    }

    /// A peer that told the head, the first one first, else a random one.
    fn next_source(&mut self) -> Option<SocketAddr> {
        let fetch = self.fetch.as_mut()?;
        for _ in 0..2 {
            let told = fetch.sources.iter().find(|s| !fetch.tried.contains(*s)).copied();
            let rest: Vec<SocketAddr> = self.peers.iter().map(|p| p.peer_addr).collect();
            let rest: Vec<SocketAddr> =
                rest.into_iter().filter(|s| !fetch.tried.contains(s)).collect();
            if let Some(addr) = told.or_else(|| rest.choose(&mut self.rng).copied()) {
                fetch.tried.insert(addr);
                return Some(addr);
            }
            fetch.tried.clear();
        }
        None
    }

    fn fetched(
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
        if body.as_ref().is_err_and(|e| *e == FetchError::NotThere) {
            fetch.ask_again(source);
        }
        let Ok(bytes) = body else {
            let jitter = self.rng.random_range(0..=self.settings.fetch_retry_ms);
            fetch.next_at = Millis(now.0 + self.settings.fetch_retry_ms / 4 + jitter);
            // A detector whose object read failed is served by other detectors.
            if source == Source::Objects {
                fetch.detector = false;
                let (min, max) =
                    (self.settings.poll_backoff_min_ms, self.settings.poll_backoff_max_ms);
                let bound = (min << fetch.object_failures.min(16)).min(max);
                fetch.object_failures += 1;
                fetch.objects_at = Millis(now.0 + self.rng.random_range(0..=bound));
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

    fn compiled(&mut self, now: Millis, head: Head, result: Result<(), String>) {
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
        let best = self.best().or(self.held);
        self.actions.push(Action::HeadLearned(best.unwrap_or_default()));
        let behind = |h: &Head| self.held.is_none_or(|held| h.version > held.version);
        if let Some(next) = best.filter(behind).filter(|_| self.fetch.is_none()) {
            self.push_head(now, next);
            self.start_fetch(now, next, None, true);
        }
    }

    fn try_apply(&mut self, now: Millis) {
        let Some(head) = self.compiled else { return };
        if self.held.is_some_and(|held| head.version <= held.version) {
            self.compiled = None;
            return;
        }
        let Some(floor) = self.floor else { return };
        if head.version < floor {
            return;
        }
        if !self.is_covered(now, head) {
            return;
        }
        self.compiled = None;
        self.held = Some(head);
        self.floor = Some(head.version);
        self.log(&codes::APPLIED, format!("version {} digest {}", head.version, head.digest));
        self.actions.push(Action::Apply(head));
    }

    /// Whether a peer has the head on record, or waiting for it has taken long enough.
    fn is_covered(&mut self, now: Millis, head: Head) -> bool {
        if self.peers.is_empty() {
            return true;
        }
        // Without a peer at the time of the push, it is made up for now.
        if self.push.as_ref().is_some_and(|p| p.ack_until.is_none()) {
            self.push_to_some(now);
        }
        // A push of a higher head covers this one too.
        let Some(push) = self.push.as_ref().filter(|p| p.head.version >= head.version) else {
            return true;
        };
        push.acknowledged || push.ack_until.is_some_and(|t| now >= t)
    }

    fn log(&mut self, code: &'static EventCode, detail: String) {
        self.actions.push(Action::Log(code, detail));
    }
}

fn to_head((version, digest): (&ConfigVersion, &Digest)) -> Head {
    Head { version: *version, digest: *digest }
}
