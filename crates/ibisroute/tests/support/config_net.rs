//! An in-memory network of distribution state machines on a virtual clock, with a platform that can
//! be down or slow.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use ibisroute::distribution::distribution_settings::DistributionSettings;
use ibisroute::distribution::state::Action;
use ibisroute::distribution::state::Event;
use ibisroute::distribution::state::FetchError;
use ibisroute::distribution::state::Peer;
use ibisroute::distribution::state::Source;
use ibisroute::distribution::state::State;
use ibisroute::types::ConfigVersion;
use ibisroute::types::Digest;
use ibisroute::types::Head;
use ibisroute::types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const TICK_MS: u64 = 20;
const PING_MS: u64 = 1_000;
const CONTROL_PORT: u16 = 10_000;
const PEER_PORT: u16 = 20_000;

#[derive(Clone)]
enum Delivery {
    Event(Event),
    Ping { from: usize, head: Head },
    QueryFloor { from: usize },
    FetchBody { from: usize, head: Head },
}

#[derive(Default)]
pub(crate) struct Platform {
    pub(crate) down: bool,
    pub(crate) latency_ms: u64,
    /// The only node that can reach the platform; `None` when all can.
    pub(crate) only_reachable_from: Option<usize>,
    pub(crate) head: Option<Head>,
    heads: Vec<Head>,
    objects: BTreeMap<Digest, Arc<[u8]>>,
}

pub(crate) struct Node {
    pub(crate) state: State,
    compiled: Option<Head>,
    pub(crate) applied: Option<Head>,
    bodies: BTreeMap<Head, Arc<[u8]>>,
    /// Latest head discovered, which the node's membership probes carry.
    advertised: Head,
    epoch: u64,
}

pub(crate) struct Net {
    pub(crate) now: u64,
    /// Fraction of the datagrams that is lost.
    pub(crate) loss: f64,
    pub(crate) rng: SmallRng,
    pub(crate) nodes: Vec<Option<Node>>,
    paused: Vec<bool>,
    /// Highest version that each node ever served, over all its restarts.
    served: Vec<ConfigVersion>,
    pub(crate) platform: Platform,
    /// Deliveries by due time and sequence number, each with its node and the epoch of the process
    /// that may receive it; epoch 0 stands for any process.
    queue: BTreeMap<(u64, u64), (usize, u64, Delivery)>,
    /// Number of deliveries queued so far, from which sequence numbers are taken.
    sent: u64,
    /// Number of processes started so far; each gets the next number as its epoch.
    epochs: u64,
    seed: u64,
    /// Descriptions of the violations of guarantees that were found.
    pub(crate) violations: Vec<String>,
    /// Fraction of the bodies from peers that arrive damaged.
    pub(crate) damage: f64,
}

fn control(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], CONTROL_PORT + index as u16))
}

fn peer(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], PEER_PORT + index as u16))
}

impl Platform {
    fn refuses(&self, index: usize) -> bool {
        self.down || self.only_reachable_from.is_some_and(|node| node != index)
    }

    /// Stores an object without a head.
    pub(crate) fn store(&mut self, bytes: &[u8]) -> Digest {
        let digest = Digest::of(bytes);
        self.objects.insert(digest, Arc::from(bytes));
        digest
    }
}

impl Net {
    pub(crate) fn new(seed: u64, count: usize, loss: f64) -> Self {
        let mut net = Self {
            now: 1_000,
            loss,
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            paused: vec![false; count],
            served: vec![ConfigVersion(0); count],
            platform: Platform { latency_ms: 5, ..Platform::default() },
            queue: BTreeMap::new(),
            sent: 0,
            epochs: 0,
            seed,
            violations: Vec::new(),
            damage: 0.0,
        };
        net.nodes.resize_with(count, || None);
        for index in 0..count {
            net.start(index);
        }
        net
    }

    pub(crate) fn start(&mut self, index: usize) {
        self.epochs += 1;
        let seed = self.seed ^ (self.epochs << 32);
        self.nodes[index] = Some(Node {
            state: State::new(DistributionSettings::default(), seed),
            compiled: None,
            applied: None,
            bodies: BTreeMap::new(),
            advertised: Head::default(),
            epoch: self.epochs,
        });
        self.paused[index] = false;
        let peers = (0..self.nodes.len()).filter(|i| *i != index).map(|i| Peer {
            node: format!("node-{i}").parse().expect("node id"),
            control_addr: control(i),
            peer_addr: peer(i),
        });
        let peers = peers.collect();
        self.event(index, Event::Peers(peers));
    }

    pub(crate) fn stop(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    pub(crate) fn pause(&mut self, index: usize, paused: bool) {
        self.paused[index] = paused;
    }

    /// Delivers to a node the oldest of the heads that its running peers advertise.
    pub(crate) fn send_oldest_head_to(&mut self, index: usize) {
        let peers = (0..self.nodes.len()).filter(|i| *i != index);
        let heads = peers.filter_map(|i| self.nodes[i].as_ref().map(|n| (n.advertised, i)));
        if let Some((head, from)) = heads.min() {
            self.event(index, Event::PeerHead { head, peer_addr: Some(peer(from)) });
        }
    }

    /// Publishes the next version; it compiles only if `compiles` is true.
    pub(crate) fn publish(&mut self, compiles: bool) -> Head {
        let version = self.platform.head.unwrap_or_default().version.next();
        let text = format!("{} version {version}", if compiles { "good" } else { "bad" });
        let bytes: Arc<[u8]> = Arc::from(text.into_bytes());
        let head = Head { version, digest: Digest::of(&bytes) };
        self.platform.objects.insert(head.digest, bytes);
        self.platform.head = Some(head);
        self.platform.heads.push(head);
        head
    }

    pub(crate) fn event(&mut self, index: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let Some(node) = self.nodes[index].as_mut() else { return };
            for action in node.state.step(Millis(self.now), event) {
                self.perform(index, action, &mut events);
            }
        }
    }

    fn perform(&mut self, index: usize, action: Action, events: &mut Vec<Event>) {
        match action {
            Action::Poll => {
                let event = if self.platform.refuses(index) {
                    Event::TableFailed
                } else {
                    Event::TableHead(self.platform.head)
                };
                self.respond(index, event);
            }
            Action::ReadHistory(version) => {
                let head = self.platform.heads.iter().find(|h| h.version == version).copied();
                let head = head.filter(|_| !self.platform.refuses(index));
                self.respond(index, Event::History(version, head));
            }
            Action::Notify { to, head } => {
                let (control_addr, peer_addr) = (control(index), peer(index));
                let notice = Event::Notice { head, control_addr, peer_addr };
                self.datagram(to, Delivery::Event(notice));
            }
            Action::Acknowledge { to, head } => {
                self.datagram(to, Delivery::Event(Event::Acknowledged(head)));
            }
            Action::QueryFloor(addr) => {
                let to = usize::from(addr.port() - PEER_PORT);
                self.enqueue(to, 3, Delivery::QueryFloor { from: index });
            }
            Action::Fetch { head, source: Source::Objects, .. } => {
                let object = self.platform.objects.get(&head.digest).cloned();
                let body =
                    object.filter(|_| !self.platform.refuses(index)).ok_or(FetchError::Failed);
                self.respond(index, Event::Fetched { head, source: Source::Objects, body });
            }
            Action::Fetch { head, source: Source::Peer(addr), .. } => {
                let to = usize::from(addr.port() - PEER_PORT);
                self.enqueue(to, 3, Delivery::FetchBody { from: index, head });
            }
            Action::Compile { head, bytes } => self.compile(index, head, bytes, events),
            Action::Apply(head) => self.apply(index, head),
            Action::HeadDiscovered(head) => {
                if let Some(node) = self.nodes[index].as_mut() {
                    node.advertised = head;
                }
            }
            Action::Log(..) => {}
        }
    }

    fn compile(&mut self, index: usize, head: Head, bytes: Arc<[u8]>, events: &mut Vec<Event>) {
        let Some(node) = self.nodes[index].as_mut() else { return };
        let intact = self.platform.objects.get(&head.digest) == Some(&bytes);
        if !intact {
            self.violations.push(format!("P3: node {index} compiled damaged bytes of {head:?}"));
        }
        let result =
            if bytes.starts_with(b"good") { Ok(()) } else { Err("does not parse".to_string()) };
        if result.is_ok() {
            node.compiled = Some(head);
            node.bodies.insert(head, bytes);
        }
        events.push(Event::Compiled { head, result });
    }

    fn apply(&mut self, index: usize, head: Head) {
        let now = self.now;
        let Some(node) = self.nodes[index].as_mut() else { return };
        if node.compiled != Some(head) {
            self.violations
                .push(format!("P3: node {index} applied {head:?}, which did not compile"));
        }
        if head.version < self.served[index] {
            let served = self.served[index];
            let version = head.version;
            self.violations
                .push(format!("P1: node {index} went from {served} down to {version} at {now}"));
        }
        self.served[index] = self.served[index].max(head.version);
        node.applied = Some(head);
    }

    /// Delivers a response of the platform after its latency.
    fn respond(&mut self, index: usize, event: Event) {
        let latency = self.platform.latency_ms;
        let delay = self.rng.random_range(1..=latency.max(1));
        self.enqueue(index, delay, Delivery::Event(event));
    }

    fn datagram(&mut self, to: SocketAddr, delivery: Delivery) {
        let to = usize::from(to.port() - CONTROL_PORT);
        for _ in 0..1 + usize::from(self.rng.random_bool(0.05)) {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let is_delayed = self.rng.random_bool(0.05);
            let delay = self.rng.random_range(1..=if is_delayed { 400 } else { 10 });
            self.enqueue(to, delay, delivery.clone());
        }
    }

    /// Queues a delivery. A response does not reach a process that was started after the request;
    /// datagrams and requests of peers do, since they are addressed to the host.
    fn enqueue(&mut self, to: usize, delay: u64, delivery: Delivery) {
        let to_process = matches!(
            &delivery,
            Delivery::Event(
                Event::TableHead(_)
                    | Event::TableFailed
                    | Event::History(..)
                    | Event::Fetched { .. }
                    | Event::FloorResponse { .. }
                    | Event::FloorUnknown(_)
            )
        );
        let epoch = self.nodes[to].as_ref().map_or(0, |n| n.epoch);
        self.sent += 1;
        let epoch = if to_process { epoch } else { 0 };
        self.queue.insert((self.now + delay, self.sent), (to, epoch, delivery));
    }

    /// Advances the clock by `ms` and processes all deliveries and ticks that become due.
    pub(crate) fn run_for(&mut self, ms: u64) {
        let ends = self.now + ms;
        while self.now < ends {
            self.now += 1;
            self.deliver();
            for index in 0..self.nodes.len() {
                if self.paused[index] {
                    continue;
                }
                let at = self.now + index as u64 * 7;
                if at.is_multiple_of(TICK_MS) {
                    self.event(index, Event::Tick);
                }
                if at.is_multiple_of(PING_MS) {
                    self.ping(index);
                }
            }
        }
    }

    /// Simulates a membership probe, which carries the head.
    fn ping(&mut self, index: usize) {
        let Some(node) = &self.nodes[index] else { return };
        let head = node.advertised;
        let to = self.rng.random_range(0..self.nodes.len());
        if to != index {
            self.datagram(control(to), Delivery::Ping { from: index, head });
        }
    }

    fn deliver(&mut self) {
        let later = self.queue.split_off(&(self.now + 1, 0));
        let due = std::mem::replace(&mut self.queue, later);
        for (key, (to, epoch, delivery)) in due {
            let Some(node) = self.nodes[to].as_ref() else { continue };
            if epoch != 0 && epoch != node.epoch {
                continue;
            }
            if self.paused[to] {
                self.queue.insert((self.now + 1, key.1), (to, epoch, delivery));
                continue;
            }
            match delivery {
                Delivery::Event(event) => self.event(to, event),
                Delivery::Ping { from, head } if head != node.advertised => {
                    let own = node.advertised;
                    self.event(to, Event::PeerHead { head, peer_addr: Some(peer(from)) });
                    let reply = Event::PeerHead { head: own, peer_addr: Some(peer(to)) };
                    self.datagram(control(from), Delivery::Event(reply));
                }
                Delivery::Ping { .. } => {}
                Delivery::QueryFloor { from } => {
                    let head = node.state.floor_response();
                    let response = match head {
                        Some(_) => Event::FloorResponse { peer_addr: peer(to), head },
                        None => Event::FloorUnknown(peer(to)),
                    };
                    self.enqueue(from, 3, Delivery::Event(response));
                }
                Delivery::FetchBody { from, head } => {
                    let body = node.bodies.get(&head).cloned().ok_or(FetchError::Unavailable);
                    let damaged = self.rng.random_bool(self.damage);
                    let body = body.map(|b| if damaged { Arc::from(&b[..4]) } else { b });
                    let source = Source::Peer(peer(to));
                    self.enqueue(from, 3, Delivery::Event(Event::Fetched { head, source, body }));
                }
            }
        }
    }

    /// Returns whether every running node that is not paused has applied `head`.
    pub(crate) fn all_serve(&self, head: Head) -> bool {
        let nodes = self.nodes.iter().zip(&self.paused);
        nodes
            .filter(|(_, paused)| !**paused)
            .all(|(node, _)| node.as_ref().is_none_or(|n| n.applied == Some(head)))
    }
}
