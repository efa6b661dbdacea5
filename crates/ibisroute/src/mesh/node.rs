//! State of a node and what arrives from peers. One thread owns it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio::time::timeout;

use super::decision_log::DecisionLog;
use super::decision_log::Stream;
use super::frames::ForwardHead;
use super::frames::Frame;
use super::frames::NodeDescriptor;
use super::frames::Outcome;
use super::frames::Status;
use super::graceful_stop::GracefulStop;
use super::http1::RequestHead;
use super::link::LinkEvents;
use super::local_target::LocalTarget;
use super::mesh_settings::MeshSettings;
use super::outbox::Outbox;
use super::peers::Peers;
use super::picker::Picker;
use super::replicated_rows::ApplyOutcome;
use super::replicated_rows::ReplicatedRow;
use super::replicated_rows::ReplicatedRows;
use super::replicated_rows::RowChange;
use super::replicated_rows::RowTable;
use super::replicated_rows::RowVersion;
use super::retry_budget::BudgetSettings;
use super::retry_budget::RetryBudget;
use super::retry_budget::RetryCause;
use super::rollout::Rollout;
use super::rollout::RolloutStatus;
use super::rollout_driver;
use super::routes::RouteTable;
use super::routes::SplitChooser;
use super::slot_queue::Load;
use super::store::RowStore;
use crate::clock::Clock;
use crate::events::EventCode;
use crate::events::mesh as codes;
use crate::platform::headers;
use crate::types::Millis;
use crate::types::ServiceName;

/// Longest rows that are pushed to a peer which reaches the store. The store's link is far wider than
/// that of a host.
const MOST_PUSHED_BYTES: u32 = 16 * 1024;

/// Weight of a new observation in the usual time to an answer.
const ANSWER_WEIGHT: f64 = 0.1;

/// Shortest time between two requests for newer rows to peers.
const ASK_INTERVAL: Millis = Millis(250);

/// Shortest time between two statuses that follow changes.
const STATUS_GAP: Millis = Millis(20);

/// Orders whose withdrawal or age a node keeps from peers; older ones are of no use.
const KEPT_ORDERS: usize = 64;

/// A move of a service as this node carries it.
#[derive(Debug)]
pub struct Move {
    /// Its state.
    pub rollout: Rollout,
    /// Version of the order's row; tells orders apart.
    pub order_row: RowVersion,
    /// Version of the service's status row; the condition of the next write.
    pub status_row: RowVersion,
    /// What this node is to write, and when it is its turn.
    pub due: Option<(super::rollout::Verdict, Millis)>,
}

/// A node.
pub struct Node {
    /// Settings.
    pub cfg: MeshSettings,
    /// Steady clock.
    pub clock: Clock,
    /// This node as it is told to others.
    pub card: NodeDescriptor,
    /// Log.
    pub log: DecisionLog,
    /// The store.
    pub store: Rc<dyn RowStore>,
    /// The target beside this node.
    pub target: Rc<LocalTarget>,
    /// The other nodes.
    pub peers: Peers,
    /// What was read from the store.
    pub facts: RefCell<ReplicatedRows>,
    /// Moves by service.
    pub moves: RefCell<BTreeMap<ServiceName, Move>>,
    /// Status rows by service.
    pub progress: RefCell<BTreeMap<ServiceName, (RowVersion, RolloutStatus)>>,
    /// Ages of orders that peers told.
    pub told_ages: RefCell<BTreeMap<RowVersion, Millis>>,
    /// Orders that peers judged bad.
    pub told_withdrawn: RefCell<BTreeSet<RowVersion>>,
    /// Choice of targets.
    pub picker: RefCell<Picker>,
    /// Shares of split routes.
    pub splits: RefCell<SplitChooser>,
    /// Whether the last call to the store worked.
    pub store_reached: Cell<bool>,
    /// Whether a failure of the store was logged.
    pub store_failure_told: Cell<bool>,
    /// Version from which the operator's table is watched.
    pub watched: Cell<RowVersion>,
    /// Wakes the sender of statuses.
    pub status_changed: Notify,
    /// A graceful stop has begun.
    pub leaving: Cell<bool>,
    /// The graceful stop, if one has begun.
    pub stop: Cell<Option<GracefulStop>>,
    /// All requests are refused, because the callers seem to have left.
    pub refusing: Cell<bool>,
    /// Requests of callers since the start.
    pub requests: Cell<u64>,
    /// When the last one arrived.
    pub last_request: Cell<Millis>,
    /// Requests of callers that have no answer yet.
    pub in_flight: Cell<usize>,
    /// Bytes of their bodies.
    pub held_bytes: Cell<usize>,
    /// Long bodies that may arrive from peers at a time.
    bodies: Arc<Semaphore>,
    /// Wakes the reader of the store: rows there are newer, and too long to come from a peer.
    pub read_again: Notify,
    /// Highest version of the rows that peers know.
    pub newest_told: Cell<RowVersion>,
    /// Whether rows are being read from the store; peers are not asked for them meanwhile.
    pub reading: Cell<bool>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    budget: Cell<BudgetSettings>,
    patience: RefCell<HashMap<SmolStr, Millis>>,
    answers: RefCell<HashMap<SmolStr, f64>>,
    rng: RefCell<SmallRng>,
    asked: Cell<Option<Millis>>,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(
        cfg: MeshSettings,
        store: Rc<dyn RowStore>,
        log: DecisionLog,
        seed: u64,
    ) -> Rc<Self> {
        let clock = Clock::start();
        let card = NodeDescriptor {
            node: cfg.node.clone(),
            address: cfg.listen.peers_told.unwrap_or(cfg.listen.peers),
            data_centre: cfg.data_centre.clone(),
        };
        let target = LocalTarget::new(clock, cfg.queue, cfg.health);
        let mut rng = SmallRng::seed_from_u64(seed);
        let picker = Picker::new(cfg.picker, SmallRng::seed_from_u64(rng.random()));
        Rc::new(Self {
            clock,
            card,
            log,
            store,
            target,
            peers: Peers::default(),
            facts: RefCell::default(),
            moves: RefCell::default(),
            progress: RefCell::default(),
            told_ages: RefCell::default(),
            told_withdrawn: RefCell::default(),
            picker: RefCell::new(picker),
            splits: RefCell::default(),
            store_reached: Cell::new(false),
            store_failure_told: Cell::new(false),
            watched: Cell::new(RowVersion(0)),
            status_changed: Notify::new(),
            leaving: Cell::new(false),
            stop: Cell::new(None),
            refusing: Cell::new(false),
            requests: Cell::new(0),
            last_request: Cell::new(Millis(0)),
            in_flight: Cell::new(0),
            held_bytes: Cell::new(0),
            bodies: Arc::new(Semaphore::new(cfg.link.bodies())),
            read_again: Notify::new(),
            newest_told: Cell::new(RowVersion(0)),
            reading: Cell::new(false),
            budgets: RefCell::default(),
            budget: Cell::new(cfg.bounds.budget()),
            patience: RefCell::default(),
            answers: RefCell::default(),
            rng: RefCell::new(rng),
            asked: Cell::new(None),
            cfg,
        })
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<RouteTable>> {
        self.facts.borrow().config().cloned()
    }

    /// Whether the node takes requests.
    pub fn is_ready(&self) -> bool {
        !self.leaving.get() && self.facts.borrow().config().is_some()
    }

    /// Whether new requests are refused because the stop is near.
    pub fn refuses_new(&self) -> bool {
        self.refusing.get()
    }

    /// Takes over the bounds of new settings. The rest holds from the next start.
    pub fn reload(&self, cfg: MeshSettings) {
        self.budget.set(cfg.bounds.budget());
    }

    /// Service of this host.
    pub fn service_name(&self) -> SmolStr {
        self.cfg.service.clone().into()
    }

    /// Bytes of bodies that may be held at a time.
    pub fn body_limit(&self) -> usize {
        let bytes = self.cfg.memory.limit_mb as f64 * 1024.0 * 1024.0;
        (bytes * self.cfg.memory.bodies_share) as usize
    }

    /// A random number from 0.0 to 1.0.
    pub fn random(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// A pause scattered by a third, so that nodes do not act in step.
    pub fn scatter(&self, pause: Millis) -> Millis {
        Millis((pause.0 as f64 * (0.67 + 0.66 * self.random())) as u64)
    }

    /// Counts a request to a service for its retry budget.
    pub fn count_request(&self, service: &ServiceName, now: Millis) {
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().count_request(now, &self.budget.get());
    }

    /// Takes a repeat from the budget of a service.
    pub fn take_repeat(&self, service: &ServiceName, cause: RetryCause) -> bool {
        let nodes = self.peers.live();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        let taken = budget.try_spend(self.clock.now(), cause, nodes, &self.budget.get());
        if !taken {
            metrics::counter!("ibis_repeats_denied_total").increment(1);
        }
        taken
    }

    /// Time that a caller spent on earlier tries, from the time that it still waits: the longest time
    /// that callers of a route wait is that of their first try.
    pub fn spent_before(&self, route: &SmolStr, patience: Option<Millis>) -> Millis {
        let Some(patience) = patience else { return Millis(0) };
        let mut all = self.patience.borrow_mut();
        let longest = all.entry(route.clone()).or_insert(patience);
        *longest = (*longest).max(patience);
        Millis(longest.0 - patience.0)
    }

    /// Counts the time that an attempt took to its answer.
    pub fn count_answer(&self, route: &SmolStr, took: Millis) {
        let mut answers = self.answers.borrow_mut();
        let usual = answers.entry(route.clone()).or_insert(took.0 as f64);
        *usual += (took.0 as f64 - *usual) * ANSWER_WEIGHT;
    }

    /// Usual time of an attempt on a route, in milliseconds.
    pub fn usual_answer(&self, route: &SmolStr) -> Option<f64> {
        self.answers.borrow().get(route).copied()
    }

    /// Logs a request that was not taken up.
    pub fn log_request(&self, code: &EventCode, head: &RequestHead, fields: &[(&str, Value)]) {
        let id = head.headers.text(headers::REQUEST_ID).unwrap_or_default();
        let mut all: Vec<(&str, Value)> = vec![("id", id.into())];
        all.extend(fields.iter().cloned());
        self.log.line(self.clock.now(), Stream::Other, code, &all);
    }

    /// What the node tells its peers.
    pub fn status(&self) -> Status {
        let now = self.clock.now();
        let facts = self.facts.borrow();
        let moves = self.moves.borrow();
        let active = moves.values().filter(|m| rollout_driver::is_active(m));
        Status {
            instance: self.target.record(),
            available: self.target.is_available(),
            cold: self.target.is_cold(),
            load: self.target.load(),
            leaving: self.leaving.get(),
            store_reached: self.store_reached.get(),
            newest: facts.newest(),
            config: facts.config_row(),
            evidence: self.target.evidence(),
            withdrawn: moves
                .values()
                .filter(|m| m.rollout.withdrawn)
                .map(|m| m.order_row)
                .collect(),
            order_ages: active.map(|m| (m.order_row, now.since(m.rollout.started).0)).collect(),
        }
    }

    /// Sends statuses after changes and at intervals, and closes silent connections; never ends.
    pub async fn send_statuses(self: Rc<Self>) {
        loop {
            let interval = self.scatter(self.status_interval());
            tokio::select! {
                () = self.status_changed.notified() => {}
                () = sleep(interval.to_duration()) => {}
            }
            self.peers.close_silent(self.peer_silence());
            self.peers.broadcast(&Frame::Status(Box::new(self.status())));
            sleep(STATUS_GAP.to_duration()).await;
        }
    }

    /// Applies a row from the store, from a peer or from an own write.
    pub fn learn(self: &Rc<Self>, source: RowTable, row: RowChange, from: &str) {
        let learned = self.facts.borrow_mut().apply(source, row);
        self.learned(learned, from, None);
    }

    fn learned(self: &Rc<Self>, learned: ApplyOutcome, from: &str, except: Option<&str>) {
        match learned {
            ApplyOutcome::Unchanged => return,
            ApplyOutcome::Config(table) => {
                self.splits.borrow_mut().retain(&table);
                let row = self.facts.borrow().config_row();
                let fields = [
                    ("version", table.version.0.into()),
                    ("row", row.0.into()),
                    ("routes", table.routes().len().into()),
                    ("source", from.into()),
                ];
                self.log.line(self.clock.now(), Stream::Other, &codes::CONFIG_IN_EFFECT, &fields);
                metrics::gauge!("ibis_config_version").set(table.version.0 as f64);
            }
            ApplyOutcome::Rollout(version, order) => self.apply_rollout_request(version, order),
            ApplyOutcome::RolloutStatus(service, row, progress) => {
                self.apply_rollout_status(service, row, progress);
            }
            ApplyOutcome::Rejected(key, error) => {
                let fields =
                    [("key", key.as_str().into()), ("error", Value::from(error.to_string()))];
                self.log.line(self.clock.now(), Stream::Other, &codes::ROW_REJECTED, &fields);
                return;
            }
        }
        // Whoever reads the store tells the others; rows from peers are not passed on.
        if except.is_none() {
            self.push_rows();
        }
        self.status_changed.notify_one();
    }

    fn push_rows(&self) {
        let facts = self.facts.borrow();
        let (newest, config) = (facts.newest(), facts.config_row());
        let mut made: HashMap<(RowVersion, RowVersion), Bytes> = HashMap::new();
        let mut sent = Vec::new();
        for (name, peer) in self.peers.map.borrow().iter() {
            let (Some(link), Some(status)) = (peer.link.as_ref(), peer.status.as_ref()) else {
                continue;
            };
            if status.newest >= newest {
                continue;
            }
            let key = (status.newest, status.config);
            let bytes = match made.get(&key) {
                Some(bytes) => bytes.clone(),
                None => {
                    let frame = Frame::Facts(facts.since(key.0, key.1));
                    let Ok(bytes) = super::frames::encode(&frame) else { return };
                    made.insert(key, bytes.clone());
                    bytes
                }
            };
            // A long change would fill the link of this host; the status tells peers to read it.
            if bytes.len() > MOST_PUSHED_BYTES as usize && status.store_reached {
                continue;
            }
            link.outbox.send_encoded(bytes);
            sent.push(name.clone());
        }
        drop(facts);
        for name in sent {
            self.peers.sent_rows(&name, newest, config);
        }
    }

    fn ask_for_rows(&self, reply: &Outbox) {
        let now = self.clock.now();
        if self.reading.get() {
            return;
        }
        if self.asked.get().is_some_and(|at| now.since(at) < ASK_INTERVAL) {
            return;
        }
        self.asked.set(Some(now));
        let facts = self.facts.borrow();
        let most_bytes = if self.store_reached.get() { MOST_PUSHED_BYTES } else { u32::MAX };
        let (newest, config) = (facts.newest(), facts.config_row());
        reply.send(&Frame::WantFacts { newest, config, most_bytes });
    }

    fn hear_facts(self: &Rc<Self>, from: &str, rows: Vec<ReplicatedRow>, reply: &Outbox) {
        for row in rows {
            let applied = self.facts.borrow_mut().apply_replicated(row);
            match applied {
                Some(learned) => self.learned(learned, from, Some(from)),
                // The base of a difference is not known here.
                None => {
                    let newest = self.facts.borrow().newest();
                    let config = RowVersion(0);
                    let most_bytes = u32::MAX;
                    reply.send(&Frame::WantFacts { newest, config, most_bytes });
                }
            }
        }
    }

    /// Keeps the collections that peers fill within bounds.
    pub fn trim(&self) {
        let mut ages = self.told_ages.borrow_mut();
        while ages.len() > KEPT_ORDERS {
            ages.pop_first();
        }
        let mut withdrawn = self.told_withdrawn.borrow_mut();
        while withdrawn.len() > KEPT_ORDERS {
            withdrawn.pop_first();
        }
    }
}

/// A node as the connections between nodes see it.
impl LinkEvents for Rc<Node> {
    fn frame(&self, from: &crate::types::NodeId, frame: Frame, reply: &Outbox) {
        match frame {
            Frame::Status(status) => {
                reply.send(&Frame::StatusSeen);
                let newer = status.newest > self.facts.borrow().newest();
                self.newest_told.set(self.newest_told.get().max(status.newest));
                self.apply_peer_rollouts(&status.order_ages, &status.withdrawn);
                self.trim();
                self.picker.borrow_mut().on_load_report(from);
                if self.peers.hear(from, *status) {
                    self.picker.borrow_mut().on_target_restart(from);
                }
                if newer {
                    self.ask_for_rows(reply);
                }
            }
            Frame::Facts(rows) => self.hear_facts(from.as_str(), rows, reply),
            Frame::WantFacts { newest, config, most_bytes } => {
                let rows = self.facts.borrow().since(newest, config);
                let bytes: usize = rows.iter().map(|r| r.value.bytes()).sum();
                if bytes > most_bytes as usize {
                    reply.send(&Frame::FactsTooLong);
                } else if !rows.is_empty() {
                    reply.send(&Frame::Facts(rows));
                }
            }
            Frame::FactsTooLong => self.read_again.notify_one(),
            // Greetings and calls are handled by the connection; the rest carries no news.
            _ => {}
        }
    }

    fn admit_body(
        &self,
        head: &ForwardHead,
    ) -> impl Future<Output = Result<OwnedSemaphorePermit, (Outcome, Load)>> + 'static {
        let refusal = self.target.refuse_early(head);
        let (bodies, target) = (self.bodies.clone(), self.target.clone());
        let patience = f64::from(head.deadline_ms) * self.cfg.queue.late_wait_share;
        async move {
            if let Some(outcome) = refusal {
                return Err((outcome, target.load()));
            }
            let limit = Millis(patience as u64).to_duration();
            match timeout(limit, bodies.acquire_owned()).await {
                Ok(Ok(permit)) => Ok(permit),
                // The wait was too long; the semaphore is never closed.
                _ => Err((target.overloaded(), target.load())),
            }
        }
    }

    async fn call(&self, head: ForwardHead, body: Bytes) -> (Outcome, Load) {
        self.target.call(head, body).await
    }
}
