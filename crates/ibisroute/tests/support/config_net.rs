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

const TICK_INTERVAL_MS: u64 = 20;
const PING_INTERVAL_MS: u64 = 1_000;
const CONTROL_PORT: u16 = 10_000;
const PEER_PORT: u16 = 20_000;

#[derive(Clone)]
enum Delivery {
    /// Event that is passed to the state machine unchanged.
    Event(Event),
    /// Membership probe, which carries the head of its sender.
    Ping { from: usize, head: Head },
    /// Query for the head that a peer returns as its `floor_response`.
    QueryFloor { from: usize },
    /// Request of a peer for the body of a catalogue.
    FetchBody { from: usize, head: Head },
}

/// The simulated platform.
#[derive(Default)]
pub(crate) struct Platform {
    /// Whether every request fails.
    pub(crate) down: bool,
    /// Longest latency of a response, in ms; the latency is random from 1 ms on.
    pub(crate) latency_ms: u64,
    /// The only node that can reach the platform; `None` when all can.
    pub(crate) only_reachable_from: Option<usize>,
    /// Newest published head.
    pub(crate) head: Option<Head>,
    /// History of all published heads.
    heads: Vec<Head>,
    objects: BTreeMap<Digest, Arc<[u8]>>,
}

/// A running process of a node.
pub(crate) struct SimulatedNode {
    pub(crate) state: State,
    /// Head of the last body that compiled.
    compiled: Option<Head>,
    /// Head of the configuration in effect.
    pub(crate) applied: Option<Head>,
    /// Bodies that compiled, which peers can fetch.
    bodies: BTreeMap<Head, Arc<[u8]>>,
    /// Latest head discovered, which the node's membership probes carry.
    advertised: Head,
    /// Number of the process; see [`SimulatedNetwork::started_processes`].
    process_number: u64,
}

/// The simulated network with all nodes and the platform.
pub(crate) struct SimulatedNetwork {
    /// Current time of the virtual clock, in ms.
    pub(crate) now: u64,
    /// Fraction of the datagrams that is lost.
    pub(crate) loss_probability: f64,
    pub(crate) rng: SmallRng,
    /// Process of each node; `None` while it is down.
    pub(crate) nodes: Vec<Option<SimulatedNode>>,
    paused: Vec<bool>,
    /// Highest version that each node has applied, over all its restarts.
    highest_applied: Vec<ConfigVersion>,
    pub(crate) platform: Platform,
    /// Deliveries by due time and sequence number, each with its node and the number of the process
    /// that may receive it; process number 0 stands for any process.
    queue: BTreeMap<(u64, u64), (usize, u64, Delivery)>,
    /// Number of deliveries queued so far; gives each delivery its sequence number.
    enqueued: u64,
    /// Number of processes started so far; each gets the next number.
    started_processes: u64,
    seed: u64,
    /// Descriptions of the violated guarantees. Each starts with the number of the guarantee: P1,
    /// the version of a node does not decrease; P3, nodes apply only undamaged catalogues that
    /// compiled.
    pub(crate) violations: Vec<String>,
    /// Fraction of the bodies from peers that arrive damaged.
    pub(crate) damage_probability: f64,
}

fn control_addr(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], CONTROL_PORT + index as u16))
}

fn peer_addr(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], PEER_PORT + index as u16))
}

impl Platform {
    /// Whether requests of this node fail.
    fn refuses(&self, index: usize) -> bool {
        self.down || self.only_reachable_from.is_some_and(|node| node != index)
    }

    /// Stores a catalogue object without publishing a head for it.
    pub(crate) fn store(&mut self, bytes: &[u8]) -> Digest {
        let digest = Digest::of(bytes);
        self.objects.insert(digest, Arc::from(bytes));
        digest
    }
}

impl SimulatedNetwork {
    /// Creates a network and starts `count` nodes without a configuration.
    pub(crate) fn new(seed: u64, count: usize, loss_probability: f64) -> Self {
        let mut network = Self {
            now: 1_000,
            loss_probability,
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            paused: vec![false; count],
            highest_applied: vec![ConfigVersion(0); count],
            platform: Platform { latency_ms: 5, ..Platform::default() },
            queue: BTreeMap::new(),
            enqueued: 0,
            started_processes: 0,
            seed,
            violations: Vec::new(),
            damage_probability: 0.0,
        };
        network.nodes.resize_with(count, || None);
        for index in 0..count {
            network.start(index);
        }
        network
    }

    /// Starts a process without a configuration on a node and passes it all other nodes as peers.
    pub(crate) fn start(&mut self, index: usize) {
        self.started_processes += 1;
        let seed = self.seed ^ (self.started_processes << 32);
        self.nodes[index] = Some(SimulatedNode {
            state: State::new(DistributionSettings::default(), seed),
            compiled: None,
            applied: None,
            bodies: BTreeMap::new(),
            advertised: Head::default(),
            process_number: self.started_processes,
        });
        self.paused[index] = false;
        let peers = (0..self.nodes.len()).filter(|i| *i != index).map(|i| Peer {
            node: format!("node-{i}").parse().expect("node id"),
            control_addr: control_addr(i),
            peer_addr: peer_addr(i),
        });
        let peers = peers.collect();
        self.event(index, Event::Peers(peers));
    }

    /// Ends the process of a node.
    pub(crate) fn stop(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    /// Pauses or resumes a process. Deliveries to a paused process wait until it resumes.
    pub(crate) fn set_paused(&mut self, index: usize, paused: bool) {
        self.paused[index] = paused;
    }

    /// Delivers to a node the oldest of the heads that its running peers advertise.
    pub(crate) fn send_oldest_head_to(&mut self, index: usize) {
        let peers = (0..self.nodes.len()).filter(|i| *i != index);
        let heads = peers.filter_map(|i| self.nodes[i].as_ref().map(|n| (n.advertised, i)));
        if let Some((head, from)) = heads.min() {
            self.event(index, Event::PeerHead { head, peer_addr: Some(peer_addr(from)) });
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

    /// Passes an event to a node and performs the resulting actions; does nothing if it is down.
    pub(crate) fn event(&mut self, index: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let Some(node) = self.nodes[index].as_mut() else { return };
            for action in node.state.step(Millis(self.now), event) {
                self.perform(index, action, &mut events);
            }
        }
    }

    /// Performs an action of a node. Events that follow at once are added to `events`.
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
                let (control_addr, peer_addr) = (control_addr(index), peer_addr(index));
                let notice = Event::Notice { head, control_addr, peer_addr };
                self.send_datagram(to, Delivery::Event(notice));
            }
            Action::Acknowledge { to, head } => {
                self.send_datagram(to, Delivery::Event(Event::Acknowledged(head)));
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

    /// Simulates the compilation of a body and checks that the body is undamaged.
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

    /// Puts a configuration into effect. Checks that it compiled and that the version of the node
    /// does not decrease.
    fn apply(&mut self, index: usize, head: Head) {
        let now = self.now;
        let Some(node) = self.nodes[index].as_mut() else { return };
        if node.compiled != Some(head) {
            self.violations
                .push(format!("P3: node {index} applied {head:?}, which did not compile"));
        }
        if head.version < self.highest_applied[index] {
            let highest_applied = self.highest_applied[index];
            let version = head.version;
            self.violations.push(format!(
                "P1: node {index} went from {highest_applied} down to {version} at {now}"
            ));
        }
        self.highest_applied[index] = self.highest_applied[index].max(head.version);
        node.applied = Some(head);
    }

    /// Delivers a response of the platform after a random latency.
    fn respond(&mut self, index: usize, event: Event) {
        let latency = self.platform.latency_ms;
        let delay = self.rng.random_range(1..=latency.max(1));
        self.enqueue(index, delay, Delivery::Event(event));
    }

    /// Sends a datagram, which may be lost, duplicated or delayed.
    fn send_datagram(&mut self, to: SocketAddr, delivery: Delivery) {
        let to = usize::from(to.port() - CONTROL_PORT);
        for _ in 0..1 + usize::from(self.rng.random_bool(0.05)) {
            if self.rng.random_bool(self.loss_probability) {
                continue;
            }
            // One datagram in twenty is delayed long enough to arrive out of order.
            let is_delayed = self.rng.random_bool(0.05);
            let delay = self.rng.random_range(1..=if is_delayed { 400 } else { 10 });
            self.enqueue(to, delay, delivery.clone());
        }
    }

    /// Queues a delivery. A response does not reach a process that was started after the request;
    /// datagrams and requests of peers do, since they are addressed to the host.
    fn enqueue(&mut self, to: usize, delay: u64, delivery: Delivery) {
        let requires_same_process = matches!(
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
        let process_number = self.nodes[to].as_ref().map_or(0, |n| n.process_number);
        self.enqueued += 1;
        let process_number = if requires_same_process { process_number } else { 0 };
        self.queue.insert((self.now + delay, self.enqueued), (to, process_number, delivery));
    }

    /// Advances the clock by `ms` and processes all deliveries and ticks that become due.
    pub(crate) fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            self.deliver();
            for index in 0..self.nodes.len() {
                if self.paused[index] {
                    continue;
                }
                // Shifts the ticks and probes of the nodes by 7 ms each, so that they differ in
                // time.
                let node_now = self.now + index as u64 * 7;
                if node_now.is_multiple_of(TICK_INTERVAL_MS) {
                    self.event(index, Event::Tick);
                }
                if node_now.is_multiple_of(PING_INTERVAL_MS) {
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
            self.send_datagram(control_addr(to), Delivery::Ping { from: index, head });
        }
    }

    /// Passes all deliveries that are due to their nodes.
    fn deliver(&mut self) {
        let later_deliveries = self.queue.split_off(&(self.now + 1, 0));
        let due_deliveries = std::mem::replace(&mut self.queue, later_deliveries);
        for (key, (to, process_number, delivery)) in due_deliveries {
            let Some(node) = self.nodes[to].as_ref() else { continue };
            if process_number != 0 && process_number != node.process_number {
                continue;
            }
            if self.paused[to] {
                self.queue.insert((self.now + 1, key.1), (to, process_number, delivery));
                continue;
            }
            match delivery {
                Delivery::Event(event) => self.event(to, event),
                Delivery::Ping { from, head } if head != node.advertised => {
                    let own_head = node.advertised;
                    self.event(to, Event::PeerHead { head, peer_addr: Some(peer_addr(from)) });
                    let reply = Event::PeerHead { head: own_head, peer_addr: Some(peer_addr(to)) };
                    self.send_datagram(control_addr(from), Delivery::Event(reply));
                }
                Delivery::Ping { .. } => {}
                Delivery::QueryFloor { from } => {
                    let head = node.state.floor_response();
                    let response = match head {
                        Some(_) => Event::FloorResponse { peer_addr: peer_addr(to), head },
                        None => Event::FloorUnknown(peer_addr(to)),
                    };
                    self.enqueue(from, 3, Delivery::Event(response));
                }
                Delivery::FetchBody { from, head } => {
                    let body = node.bodies.get(&head).cloned().ok_or(FetchError::Unavailable);
                    let damaged = self.rng.random_bool(self.damage_probability);
                    let body = body.map(|b| if damaged { Arc::from(&b[..4]) } else { b });
                    let source = Source::Peer(peer_addr(to));
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
