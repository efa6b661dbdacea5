//! An in-memory network of membership state machines on a virtual clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ibisroute::membership::membership_settings::MembershipSettings;
use ibisroute::membership::record::Addresses;
use ibisroute::membership::record::MemberRecord;
use ibisroute::membership::record::MemberView;
use ibisroute::membership::record::Status;
use ibisroute::membership::record::TargetRecord;
use ibisroute::membership::record::TargetState;
use ibisroute::membership::state::Action;
use ibisroute::membership::state::Event;
use ibisroute::membership::state::State;
use ibisroute::types::Millis;
use ibisroute::wire;
use ibisroute::wire::Datagram;
use ibisroute::wire::MAX_DATAGRAM_BYTES;
use ibisroute::wire::MemberDatagram;
use ibisroute::wire::MemberRecordWire;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const TICK_INTERVAL_MS: u64 = 50;
const CONTROL_PORT: u16 = 10_000;
const PEER_PORT: u16 = 20_000;

enum Delivery {
    Datagram(Box<MemberDatagram>),
    Join { from: usize, record: Box<MemberRecordWire> },
    JoinReply(Vec<MemberRecordWire>),
}

/// The simulated network with all nodes.
pub(crate) struct SimulatedNetwork {
    /// Current time of the virtual clock, in ms.
    pub(crate) now: u64,
    /// Fraction of the datagrams that is lost.
    pub(crate) loss_probability: f64,
    pub(crate) rng: SmallRng,
    /// State of each node; `None` while its process is down.
    pub(crate) nodes: Vec<Option<State>>,
    paused: Vec<bool>,
    /// Partition of each node. Nodes reach only nodes of the same partition.
    partition: Vec<u8>,
    /// Deliveries in flight, by due time in ms and sequence number, each with the index of the
    /// receiving node.
    queue: BTreeMap<(u64, u64), (usize, Delivery)>,
    /// Deliveries that wait until the receiving process resumes, with the index of its node.
    paused_node_deliveries: Vec<(usize, Delivery)>,
    /// Number of deliveries queued so far; gives each delivery its sequence number.
    enqueued: u64,
    seed: u64,
    /// Bytes of all datagrams that nodes sent, with 28 bytes of IP and UDP headers each.
    pub(crate) udp_bytes: u64,
}

/// Returns the initial member record of a node.
pub(crate) fn record(index: usize, incarnation: u64) -> MemberRecord {
    let addr = |port: u16| SocketAddr::from(([127, 0, 0, 1], port + index as u16));
    MemberRecord {
        node: format!("node-{index:02}").parse().expect("node id"),
        incarnation,
        revision: 0,
        status: Status::Alive,
        data_centre: "erongo-a".parse().expect("data centre"),
        region: "erongo".parse().expect("region"),
        addresses: Addresses {
            control: addr(CONTROL_PORT),
            peer: addr(PEER_PORT),
            caller: addr(30_000),
            admin: addr(40_000),
        },
        targets: Vec::new(),
    }
}

/// Returns the record of the target beside a node.
pub(crate) fn target(index: usize, state: TargetState) -> TargetRecord {
    TargetRecord {
        service: "counter".parse().expect("service"),
        version: "v1".parse().expect("version"),
        instance: format!("run-{index}").parse().expect("instance"),
        slots: 10,
        state,
    }
}

impl SimulatedNetwork {
    /// Creates `count` nodes that joined the first one, and runs them for 10 s.
    pub(crate) fn settled(seed: u64, count: usize, loss_probability: f64) -> Self {
        let mut network = Self {
            now: 1_000,
            loss_probability,
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            paused: vec![false; count],
            partition: vec![0; count],
            queue: BTreeMap::new(),
            paused_node_deliveries: Vec::new(),
            enqueued: 0,
            seed,
            udp_bytes: 0,
        };
        for index in 0..count {
            network.nodes.push(None);
            network.start(index, 1_000);
            network.event(index, Event::LocalTargets(vec![target(index, TargetState::Ready)]));
            if index > 0 {
                network.join(index, 0);
            }
        }
        network.run_for(10_000);
        network
    }

    /// Starts a process with this incarnation on a node; it knows no other members yet.
    pub(crate) fn start(&mut self, index: usize, incarnation: u64) {
        let seed = self.seed ^ (self.now << 8) ^ index as u64;
        let settings = MembershipSettings::default();
        self.nodes[index] = Some(State::new(record(index, incarnation), settings, seed));
        self.paused[index] = false;
    }

    /// Ends the process of a node without notice to the others.
    pub(crate) fn stop(&mut self, index: usize) {
        self.nodes[index] = None;
        // Deliveries in flight to the old process do not reach a new one.
        self.queue.retain(|_, (to, _)| *to != index);
        self.paused_node_deliveries.retain(|(to, _)| *to != index);
    }

    /// Pauses or resumes a process. Deliveries to a paused process wait until it resumes.
    pub(crate) fn set_paused(&mut self, index: usize, paused: bool) {
        self.paused[index] = paused;
        let paused_node_deliveries = std::mem::take(&mut self.paused_node_deliveries);
        let (released, remaining_deliveries) =
            paused_node_deliveries.into_iter().partition(|(to, _)| *to == index && !paused);
        self.paused_node_deliveries = remaining_deliveries;
        for delivery in released {
            self.enqueued += 1;
            self.queue.insert((self.now + 1, self.enqueued), delivery);
        }
    }

    /// Moves a node to a partition; deliveries already in flight still arrive.
    pub(crate) fn set_partition(&mut self, index: usize, partition: u8) {
        self.partition[index] = partition;
    }

    /// Sends the join request of a node to a peer.
    pub(crate) fn join(&mut self, index: usize, peer: usize) {
        let Some(state) = &self.nodes[index] else { return };
        let record = Box::new(MemberRecordWire::from(state.local()));
        self.enqueue(index, peer, 2, Delivery::Join { from: index, record });
    }

    /// Passes an event to a node and performs the resulting actions; does nothing if it is down.
    pub(crate) fn event(&mut self, index: usize, event: Event) {
        let Some(state) = self.nodes[index].as_mut() else { return };
        let actions = state.step(Millis(self.now), event);
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.send(index, to, datagram),
                Action::Sync(addr) => self.join(index, usize::from(addr.port() - PEER_PORT)),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: MemberDatagram) {
        let encodable = Datagram::Member(datagram.clone());
        let buf = wire::encode(&encodable, MAX_DATAGRAM_BYTES).expect("datagram within its limit");
        self.udp_bytes += buf.len() as u64 + 28;
        let to = usize::from(to.port() - CONTROL_PORT);
        // One datagram in twenty is duplicated.
        let copies = 1 + usize::from(self.rng.random_bool(0.05));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss_probability) {
                continue;
            }
            // One datagram in twenty is delayed long enough to arrive out of order.
            let is_delayed = self.rng.random_bool(0.05);
            let delay = self.rng.random_range(1..=if is_delayed { 400 } else { 10 });
            self.enqueue(from, to, delay, Delivery::Datagram(Box::new(datagram.clone())));
        }
    }

    fn enqueue(&mut self, from: usize, to: usize, delay: u64, delivery: Delivery) {
        if to >= self.nodes.len() || self.partition[from] != self.partition[to] {
            return;
        }
        self.enqueued += 1;
        self.queue.insert((self.now + delay, self.enqueued), (to, delivery));
    }

    /// Advances the clock by `ms` and processes all deliveries and ticks that become due.
    pub(crate) fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            self.deliver();
            for index in 0..self.nodes.len() {
                // Shifts the ticks of the nodes by 7 ms each, so that they differ in time.
                if (self.now + index as u64 * 7).is_multiple_of(TICK_INTERVAL_MS)
                    && !self.paused[index]
                {
                    self.event(index, Event::Tick);
                }
            }
        }
    }

    /// Passes all deliveries that are due to their nodes.
    fn deliver(&mut self) {
        let later_deliveries = self.queue.split_off(&(self.now + 1, 0));
        let due_deliveries = std::mem::replace(&mut self.queue, later_deliveries);
        for (_, (to, delivery)) in due_deliveries {
            if self.nodes[to].is_none() {
                continue;
            }
            if self.paused[to] {
                self.paused_node_deliveries.push((to, delivery));
                continue;
            }
            match delivery {
                Delivery::Datagram(datagram) => self.event(to, Event::Received(*datagram)),
                Delivery::Join { from, record } => {
                    self.event(to, Event::JoinRequest(*record));
                    let Some(state) = &self.nodes[to] else { continue };
                    let reply = state.full_state();
                    self.enqueue(to, from, 2, Delivery::JoinReply(reply));
                }
                Delivery::JoinReply(records) => self.event(to, Event::FullState(records)),
            }
        }
    }

    /// Returns the members that a node sees; `None` while its process is down.
    pub(crate) fn view(&self, index: usize) -> Option<MemberView> {
        self.nodes[index].as_ref().map(State::view)
    }

    /// Returns whether every running node sees exactly the running nodes as live.
    pub(crate) fn views_agree(&self) -> bool {
        let running: Vec<String> = (0..self.nodes.len())
            .filter(|i| self.nodes[*i].is_some())
            .map(|i| format!("node-{i:02}"))
            .collect();
        let live =
            |view: MemberView| -> Vec<String> { view.live().map(|m| m.node.to_string()).collect() };
        self.nodes.iter().flatten().all(|state| live(state.view()) == running)
    }
}
