//! State of a node, and the handling of frames from peers. One thread owns it.

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
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use super::byte_budget::ByteBudget;
use super::decision_log::DecisionLog;
use super::decision_log::LineClass;
use super::dissemination;
use super::dissemination::Occasion;
use super::dissemination::SentStatus;
use super::frames::ForwardHead;
use super::frames::Frame;
use super::frames::NodeDescriptor;
use super::frames::Outcome;
use super::frames::Status;
use super::graceful_stop::GracefulStop;
use super::http1::RequestHead;
use super::link::LinkHandler;
use super::local_target::LocalTarget;
use super::mesh_settings::MeshSettings;
use super::peers::Peers;
use super::picker::Picker;
use super::replicated_rows;
use super::replicated_rows::ApplyOutcome;
use super::replicated_rows::ReplicatedRow;
use super::replicated_rows::ReplicatedRows;
use super::replicated_rows::RowChange;
use super::replicated_rows::RowOrigin;
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
use super::send_queue::SendQueue;
use super::slot_queue::Load;
use super::store::RowStore;
use crate::clock::Clock;
use crate::events::EventCode;
use crate::events::mesh as codes;
use crate::platform::headers;
use crate::platform::operator::CONFIG_KEY;
use crate::types::Millis;
use crate::types::NodeId;
use crate::types::ServiceName;

/// Maximum size in bytes of the rows that are pushed to a peer which can reach the store. The peer reads
/// longer rows from the store, whose network link has far more bandwidth than that of a host.
const MAX_PUSHED_BYTES: u32 = 16 * 1024;

/// Weight of a new observation in the moving average of response times.
const RESPONSE_TIME_WEIGHT: f64 = 0.1;

/// Minimum time between two requests to peers for newer rows.
const ROW_REQUEST_INTERVAL: Millis = Millis(250);

/// Minimum time between two statuses that are sent because of changes.
const MIN_STATUS_GAP: Millis = Millis(20);

/// Maximum number of rollout requests for which the ages and withdrawals reported by peers are
/// kept. Reports about older requests are evicted first, since only the last request of a service
/// is in effect.
const MAX_REPORTED_REQUESTS: usize = 64;

/// A move of a service to another version, as this node drives it.
#[derive(Debug)]
pub struct Move {
    pub rollout: Rollout,
    /// Version of the row of the rollout request; identifies the request.
    pub request_row_version: RowVersion,
    /// Version of the service's status row; the next write requires it.
    pub status_row_version: RowVersion,
    /// Verdict that this node will write to the status row, and the time at which it is this node's turn;
    /// `None` when the status row is up to date or the store cannot be reached.
    pub pending_write: Option<(super::rollout::Verdict, Millis)>,
    /// Whether a status was sent because the local target alone showed a fault of the new version.
    pub own_fault_sent: bool,
}

/// State of a node, shared by its tasks.
pub struct Node {
    pub cfg: MeshSettings,
    pub clock: Clock,
    /// Descriptor of this node that is sent to peers.
    pub descriptor: NodeDescriptor,
    pub log: DecisionLog,
    pub store: Rc<dyn RowStore>,
    pub target: Rc<LocalTarget>,
    pub peers: Peers,
    /// Local copy of the replicated rows, received from the store or from peers.
    pub replicated_rows: RefCell<ReplicatedRows>,
    /// The last requested move of each service.
    pub moves: RefCell<BTreeMap<ServiceName, Move>>,
    /// Status rows by service, with their row versions.
    pub rollout_statuses: RefCell<BTreeMap<ServiceName, (RowVersion, RolloutStatus)>>,
    /// Ages of rollout requests that peers have reported, by the version of the request's row.
    pub reported_ages: RefCell<BTreeMap<RowVersion, Millis>>,
    /// Row versions of the rollout requests whose new version a peer has reported as withdrawn.
    pub reported_withdrawn: RefCell<BTreeSet<RowVersion>>,
    /// Selects the target of each attempt.
    pub picker: RefCell<Picker>,
    /// Chooses the service of each request on a split route.
    pub split_chooser: RefCell<SplitChooser>,
    /// Whether the last call to the store succeeded.
    pub store_reached: Cell<bool>,
    /// Whether a failure of the store has been logged.
    pub store_failure_logged: Cell<bool>,
    /// Version of the store after which the next watch of the operator's table begins; zero before the
    /// table was read.
    pub watch_version: Cell<RowVersion>,
    /// Wakes [`Node::send_statuses`].
    pub status_changed: Notify,
    /// What the peers know of this node's status.
    pub sent_status: RefCell<SentStatus>,
    /// Wakes [`Node::send_statuses`] after rows arrived from a peer.
    pub rows_received: Notify,
    /// Whether a graceful stop has begun.
    pub leaving: Cell<bool>,
    /// Time limits of the graceful stop; `None` before it begins.
    pub graceful_stop: Cell<Option<GracefulStop>>,
    /// Whether new requests are refused. Set during a graceful stop while no request is in flight
    /// and none has arrived for `NO_CALLERS_AFTER` of the module `run`.
    pub refusing_requests: Cell<bool>,
    /// Whether the requests that still run have been given up, because the process is about to end.
    gave_up_requests: Cell<bool>,
    /// Wakes the tasks that wait in [`Node::requests_given_up`].
    give_up_notify: Notify,
    /// Number of requests from callers since the start.
    pub request_count: Cell<u64>,
    /// Arrival of the last request from a caller.
    pub last_request_at: Cell<Millis>,
    /// Number of requests from callers whose response is not yet written.
    pub in_flight: Cell<usize>,
    /// Limit on the callers' request bodies in memory.
    pub body_budget: ByteBudget,
    /// Permits to receive long bodies from peers.
    body_permits: Arc<Semaphore>,
    /// Wakes [`Node::follow_store`] when a peer has newer rows that are too long to be sent.
    pub read_requested: Notify,
    /// Whether rows are being read from the store; no rows are requested from peers during that time.
    pub reading_store: Cell<bool>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    budget_settings: Cell<BudgetSettings>,
    /// Longest timeout that a caller has announced, by route.
    longest_timeouts: RefCell<HashMap<SmolStr, Millis>>,
    /// Moving average of the response time in milliseconds, by route.
    average_response_ms: RefCell<HashMap<SmolStr, f64>>,
    rng: RefCell<SmallRng>,
    /// When newer rows were last requested from a peer.
    last_row_request: Cell<Option<Millis>>,
}

impl Node {
    /// Creates a node that has neither rows nor peers.
    pub fn new(
        cfg: MeshSettings,
        store: Rc<dyn RowStore>,
        log: DecisionLog,
        seed: u64,
    ) -> Rc<Self> {
        let clock = Clock::start();
        let descriptor = NodeDescriptor {
            node: cfg.node.clone(),
            address: cfg.listen.peers_told.unwrap_or(cfg.listen.peers),
            data_centre: cfg.data_centre.clone(),
        };
        let response_budget = ByteBudget::new(cfg.memory.max_response_bytes());
        let target =
            LocalTarget::new(clock, cfg.queue, cfg.health, cfg.rollout.recent, response_budget);
        let mut rng = SmallRng::seed_from_u64(seed);
        let picker = Picker::new(cfg.picker, SmallRng::seed_from_u64(rng.random()));
        Rc::new(Self {
            clock,
            descriptor,
            log,
            store,
            target,
            peers: Peers::default(),
            replicated_rows: RefCell::default(),
            moves: RefCell::default(),
            rollout_statuses: RefCell::default(),
            reported_ages: RefCell::default(),
            reported_withdrawn: RefCell::default(),
            picker: RefCell::new(picker),
            split_chooser: RefCell::default(),
            store_reached: Cell::new(false),
            store_failure_logged: Cell::new(false),
            watch_version: Cell::new(RowVersion(0)),
            status_changed: Notify::new(),
            sent_status: RefCell::default(),
            rows_received: Notify::new(),
            leaving: Cell::new(false),
            graceful_stop: Cell::new(None),
            refusing_requests: Cell::new(false),
            gave_up_requests: Cell::new(false),
            give_up_notify: Notify::new(),
            request_count: Cell::new(0),
            last_request_at: Cell::new(Millis(0)),
            in_flight: Cell::new(0),
            body_budget: ByteBudget::new(cfg.memory.max_body_bytes()),
            body_permits: Arc::new(Semaphore::new(cfg.link.max_concurrent_bodies())),
            read_requested: Notify::new(),
            reading_store: Cell::new(false),
            budgets: RefCell::default(),
            budget_settings: Cell::new(cfg.bounds.budget()),
            longest_timeouts: RefCell::default(),
            average_response_ms: RefCell::default(),
            rng: RefCell::new(rng),
            last_row_request: Cell::new(None),
            cfg,
        })
    }

    /// Returns the configuration in effect; `None` until one has been applied.
    pub fn config(&self) -> Option<Arc<RouteTable>> {
        self.replicated_rows.borrow().config().cloned()
    }

    /// Returns whether the node is ready to serve requests.
    pub fn is_ready(&self) -> bool {
        !self.leaving.get() && self.replicated_rows.borrow().config().is_some()
    }

    /// Returns whether new requests are refused because the node is about to stop.
    pub fn refuses_new_requests(&self) -> bool {
        self.refusing_requests.get()
    }

    /// Ends the requests that still run with an error response, because the process is about to end.
    pub fn give_up_requests(&self) {
        self.gave_up_requests.set(true);
        self.give_up_notify.notify_waiters();
    }

    /// Waits until [`Node::give_up_requests`] is called.
    pub async fn requests_given_up(&self) {
        let notified = self.give_up_notify.notified();
        if !self.gave_up_requests.get() {
            notified.await;
        }
    }

    /// Applies the retry budget of reloaded settings. Other settings take effect at the next start.
    pub fn apply_reloaded_settings(&self, cfg: MeshSettings) {
        self.budget_settings.set(cfg.bounds.budget());
    }

    /// Returns the name of the service on this host.
    pub fn service_name(&self) -> SmolStr {
        self.cfg.service.clone().into()
    }

    /// Returns a random number from 0.0 to 1.0.
    pub fn random(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// Returns the nodes that a greeting lists for a peer that knows `known_count` nodes.
    pub fn greeting(&self, known_count: usize) -> Vec<NodeDescriptor> {
        let nodes = self.peers.descriptors();
        let cfg = &self.cfg.peers.dissemination;
        dissemination::greeting(&nodes, known_count, &mut self.rng.borrow_mut(), cfg)
    }

    /// Returns a random time from 0.67 to 1.33 times `pause`, so that nodes do not act at the same time.
    pub fn jitter(&self, pause: Millis) -> Millis {
        Millis((pause.0 as f64 * (0.67 + 0.66 * self.random())) as u64)
    }

    /// Counts a caller's request in the retry budget of its service.
    pub fn count_request(&self, service: &ServiceName, now: Millis) {
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().count_request(now, &self.budget_settings.get());
    }

    /// Spends a retry token from the budget of a service. Returns whether there was one.
    pub fn try_spend_retry(&self, service: &ServiceName, cause: RetryCause) -> bool {
        let node_count = self.peers.reachable_count();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        let spent =
            budget.try_spend(self.clock.now(), cause, node_count, &self.budget_settings.get());
        if !spent {
            metrics::counter!("ibis_repeats_denied_total").increment(1);
        }
        spent
    }

    /// Estimates the time that a caller has spent on earlier attempts: the longest timeout that a
    /// caller of the route has announced, which is assumed to be that of a first attempt, minus this
    /// caller's timeout.
    pub fn time_on_earlier_attempts(
        &self,
        route: &SmolStr,
        caller_timeout: Option<Millis>,
    ) -> Millis {
        let Some(caller_timeout) = caller_timeout else { return Millis(0) };
        let mut longest_timeouts = self.longest_timeouts.borrow_mut();
        let longest = longest_timeouts.entry(route.clone()).or_insert(caller_timeout);
        *longest = (*longest).max(caller_timeout);
        Millis(longest.0 - caller_timeout.0)
    }

    /// Includes the response time of an attempt in the moving average of its route.
    pub fn record_response_time(&self, route: &SmolStr, took: Millis) {
        let mut averages = self.average_response_ms.borrow_mut();
        let average = averages.entry(route.clone()).or_insert(took.0 as f64);
        *average += (took.0 as f64 - *average) * RESPONSE_TIME_WEIGHT;
    }

    /// Returns the average response time of attempts on a route, in milliseconds; `None` before the
    /// first response.
    pub fn average_response_ms(&self, route: &SmolStr) -> Option<f64> {
        self.average_response_ms.borrow().get(route).copied()
    }

    /// Logs a request that was refused before any attempt.
    pub fn log_refusal(&self, code: &EventCode, head: &RequestHead, fields: &[(&str, Value)]) {
        let id = head.headers.text(headers::REQUEST_ID).unwrap_or_default();
        let mut all_fields: Vec<(&str, Value)> = vec![("id", id.into())];
        all_fields.extend(fields.iter().cloned());
        self.log.line(self.clock.now(), LineClass::Other, code, &all_fields);
    }

    /// Returns the current status of the node, its target and its active moves, as sent to peers.
    pub fn status(&self) -> Status {
        let now = self.clock.now();
        let rows = self.replicated_rows.borrow();
        let moves = self.moves.borrow();
        let active_moves = moves.values().filter(|m| rollout_driver::is_active(m));
        Status {
            instance: self.target.record(),
            available: self.target.is_available(),
            cold: self.target.is_cold(),
            load: self.target.load(),
            leaving: self.leaving.get(),
            store_reached: self.store_reached.get(),
            rows: rows.summary(),
            evidence: self.target.evidence(),
            withdrawn: moves
                .values()
                .filter(|m| m.rollout.withdrawn)
                .map(|m| m.request_row_version)
                .collect(),
            order_ages: active_moves
                .map(|m| (m.request_row_version, now.since(m.rollout.started).0))
                .collect(),
        }
    }

    /// Sends statuses to the peers after changes and at intervals, and closes connections on which
    /// no frame arrived for [`Node::peer_timeout`]; never returns.
    pub async fn send_statuses(self: Rc<Self>) {
        let next_after = |interval: Millis| Instant::now() + self.jitter(interval).to_duration();
        let mut periodic_at = next_after(self.status_interval());
        let mut evidence_at = next_after(self.cfg.peers.status);
        loop {
            let occasion = tokio::select! {
                biased;
                () = self.status_changed.notified() => Occasion::Change,
                () = sleep_until(periodic_at) => Occasion::Periodic,
                () = self.rows_received.notified() => Occasion::RowsReceived,
                () = sleep_until(evidence_at), if self.target.is_collecting_evidence() => {
                    Occasion::Evidence
                }
            };
            self.peers.close_silent(self.peer_timeout());
            self.send_status(occasion);
            evidence_at = next_after(self.cfg.peers.status);
            if matches!(occasion, Occasion::Change | Occasion::Periodic) {
                periodic_at = next_after(self.status_interval());
            }
            sleep(MIN_STATUS_GAP.to_duration()).await;
        }
    }

    /// Sends the status to the peers that need it on this occasion.
    fn send_status(&self, occasion: Occasion) {
        let cfg = &self.cfg.peers.dissemination;
        let peers = self.peers.reachable();
        let evaluators = self.peers.evaluators(&self.descriptor.node, cfg);
        let receivers = {
            let mut rng = self.rng.borrow_mut();
            dissemination::receivers(occasion, &peers, &evaluators, &mut rng, cfg)
        };
        let mut status = self.status();
        // A periodic status only repeats what most peers know.
        let informed = match occasion {
            Occasion::Periodic => self.sent_status.borrow().informed_of(&status),
            _ => BTreeSet::new(),
        };
        let all = receivers.all();
        let load_only = all.intersection(&informed).cloned().collect();
        self.peers.send_to(&load_only, &Frame::LoadReport(status.load));
        self.sent_status.borrow_mut().record(&status, all);
        let send = |receivers: &BTreeSet<NodeId>, status: &Status| {
            let receivers = receivers.difference(&informed).cloned().collect();
            self.peers.send_to(&receivers, &Frame::Status(Box::new(status.clone())));
        };
        send(&receivers.with_evidence, &status);
        status.evidence = None;
        send(&receivers.without_evidence, &status);
    }

    /// Applies a row from the store, or one that this node has written itself, and sends it to the peers if
    /// it is new.
    pub fn apply_row(self: &Rc<Self>, table: RowTable, row: RowChange, origin: RowOrigin) {
        let key = row.key.clone();
        let outcome = self.replicated_rows.borrow_mut().apply(table, row);
        let source = if origin == RowOrigin::OwnWrite { "own write" } else { "store" };
        if self.on_row_applied(outcome, source) {
            self.push_row(table, &key, origin);
            self.status_changed.notify_one();
        }
    }

    /// Logs the outcome of applying a row and updates the state that depends on the row. Returns whether
    /// the row is new and valid. `source` appears in the log.
    fn on_row_applied(self: &Rc<Self>, outcome: ApplyOutcome, source: &str) -> bool {
        match outcome {
            ApplyOutcome::Unchanged => return false,
            ApplyOutcome::Config(table) => {
                self.split_chooser.borrow_mut().retain(&table);
                let row = self.replicated_rows.borrow().config_row_version();
                let fields = [
                    ("version", table.version.0.into()),
                    ("row", row.0.into()),
                    ("routes", table.routes().len().into()),
                    ("source", source.into()),
                ];
                self.log.line(
                    self.clock.now(),
                    LineClass::Other,
                    &codes::CONFIG_IN_EFFECT,
                    &fields,
                );
                metrics::gauge!("ibis_config_version").set(table.version.0 as f64);
            }
            ApplyOutcome::Rollout(version, request) => self.apply_rollout_request(version, request),
            ApplyOutcome::RolloutStatus(service, row, status) => {
                self.apply_rollout_status(service, row, status);
            }
            ApplyOutcome::Rejected(key, error) => {
                let fields =
                    [("key", key.as_str().into()), ("error", Value::from(error.to_string()))];
                self.log.line(self.clock.now(), LineClass::Other, &codes::ROW_REJECTED, &fields);
                return false;
            }
        }
        true
    }

    /// Sends a row to the peers that lack it according to their last status. Nodes do not relay the rows that
    /// they receive so.
    fn push_row(&self, table: RowTable, key: &str, origin: RowOrigin) {
        let rows = self.replicated_rows.borrow();
        let mut encoded: HashMap<RowVersion, Bytes> = HashMap::new();
        let mut receivers = Vec::new();
        for (name, peer) in self.peers.by_name.borrow().iter() {
            let (Some(link), Some(status)) = (peer.link.as_ref(), peer.status.as_ref()) else {
                continue;
            };
            if !rows.lacks_row(&status.rows, table, key, origin) {
                continue;
            }
            let bytes = match encoded.get(&status.rows.config) {
                Some(bytes) => bytes.clone(),
                None => {
                    let Some(row) = rows.row(table, key, status.rows.config) else { return };
                    let Ok(bytes) = super::frames::encode(&Frame::Facts(vec![row])) else { return };
                    encoded.insert(status.rows.config, bytes.clone());
                    bytes
                }
            };
            // Pushing a long row to every peer would fill this host's network link. Peers see its version
            // in the status and read it from the store.
            if bytes.len() > MAX_PUSHED_BYTES as usize && status.store_reached {
                continue;
            }
            link.send_queue.send_encoded(bytes);
            receivers.push(name.clone());
        }
        let config = rows.config_row_version();
        drop(rows);
        if table == RowTable::Operator && key == CONFIG_KEY {
            for name in receivers {
                self.peers.record_sent_config(&name, config);
            }
        }
    }

    /// Requests the rows that this node lacks from the peer to which `reply` leads. At most one request is
    /// sent per [`ROW_REQUEST_INTERVAL`], over all peers, and none while rows are read from a store that
    /// responds.
    fn request_rows(&self, reply: &SendQueue) {
        let now = self.clock.now();
        if self.reading_store.get() && self.store_reached.get() {
            return;
        }
        if self.last_row_request.get().is_some_and(|at| now.since(at) < ROW_REQUEST_INTERVAL) {
            return;
        }
        self.last_row_request.set(Some(now));
        let held = self.replicated_rows.borrow().versions();
        let most_bytes = if self.store_reached.get() { MAX_PUSHED_BYTES } else { u32::MAX };
        reply.send(&Frame::WantFacts { held, most_bytes });
    }

    fn apply_peer_rows(self: &Rc<Self>, from: &str, rows: Vec<ReplicatedRow>, reply: &SendQueue) {
        for row in rows {
            let outcome = self.replicated_rows.borrow_mut().apply_replicated(row);
            match outcome {
                Some(outcome) => {
                    if self.on_row_applied(outcome, from) {
                        self.rows_received.notify_one();
                    }
                }
                // This node lacks the base of the delta, so it requests the complete configuration row.
                None => {
                    let mut held = self.replicated_rows.borrow().versions();
                    held.retain(|k| k.key != CONFIG_KEY);
                    reply.send(&Frame::WantFacts { held, most_bytes: u32::MAX });
                }
            }
        }
    }

    /// Evicts the ages and withdrawals that peers reported for the oldest rollout requests, so that
    /// at most `MAX_REPORTED_REQUESTS` of each are kept.
    pub fn evict_old_reports(&self) {
        let mut ages = self.reported_ages.borrow_mut();
        while ages.len() > MAX_REPORTED_REQUESTS {
            ages.pop_first();
        }
        let mut withdrawn = self.reported_withdrawn.borrow_mut();
        while withdrawn.len() > MAX_REPORTED_REQUESTS {
            withdrawn.pop_first();
        }
    }
}

impl LinkHandler for Rc<Node> {
    fn on_frame(&self, from: &NodeId, frame: Frame, reply: &SendQueue) {
        match frame {
            Frame::Status(status) => {
                reply.send(&Frame::StatusSeen);
                let may_lack_rows = self.replicated_rows.borrow().may_lack_rows_of(&status.rows);
                self.apply_peer_rollouts(&status.order_ages, &status.withdrawn);
                self.evict_old_reports();
                self.picker.borrow_mut().on_load_report(from);
                if self.peers.apply_status(from, *status) {
                    self.picker.borrow_mut().on_target_restart(from);
                }
                if may_lack_rows {
                    self.request_rows(reply);
                }
            }
            Frame::LoadReport(load) => {
                reply.send(&Frame::StatusSeen);
                self.picker.borrow_mut().on_load_report(from);
                // The peer's status may have arrived while rows were read from the store, and the read
                // may have failed.
                let peer_rows = self.peers.apply_load(from, load);
                let rows = self.replicated_rows.borrow();
                if peer_rows.is_some_and(|peer_rows| rows.may_lack_rows_of(&peer_rows)) {
                    drop(rows);
                    self.request_rows(reply);
                }
            }
            Frame::Facts(rows) => self.apply_peer_rows(from.as_str(), rows, reply),
            Frame::WantFacts { held, most_bytes } => {
                let rows = self.replicated_rows.borrow().newer_than(&held);
                let (rows, too_long) = replicated_rows::split_by_size(rows, most_bytes as usize);
                if !rows.is_empty() {
                    reply.send(&Frame::Facts(rows));
                }
                if !too_long.is_empty() {
                    reply.send(&Frame::FactsTooLong(too_long));
                }
            }
            Frame::FactsTooLong(keys) => {
                self.replicated_rows.borrow_mut().record_missing(keys);
                self.read_requested.notify_one();
            }
            // Greetings and the frames of calls are handled in `link`; acknowledgements of statuses
            // need no action.
            _ => {}
        }
    }

    fn admit_body(
        &self,
        head: &ForwardHead,
    ) -> impl Future<Output = Result<OwnedSemaphorePermit, (Outcome, Load)>> + 'static {
        let refusal = self.target.refuse_early(head);
        let (body_permits, target) = (self.body_permits.clone(), self.target.clone());
        let max_wait_ms = f64::from(head.deadline_ms) * self.cfg.queue.late_wait_share;
        async move {
            if let Some(outcome) = refusal {
                return Err((outcome, target.load()));
            }
            let max_wait = Millis(max_wait_ms as u64).to_duration();
            match timeout(max_wait, body_permits.acquire_owned()).await {
                Ok(Ok(permit)) => Ok(permit),
                // The wait for a permit timed out; the only other error is a closed semaphore, and
                // this one is never closed.
                _ => Err((target.overload_refusal(), target.load())),
            }
        }
    }

    async fn serve_call(&self, head: ForwardHead, body: Bytes) -> (Outcome, Load) {
        self.target.call(head, body).await
    }
}
