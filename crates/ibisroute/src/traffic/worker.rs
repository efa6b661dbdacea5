//! State of one thread that serves callers.

use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;

use super::balancer::Balancer;
use super::balancer::Observed;
use super::balancer::Probing;
use super::dispatch::DispatchHandle;
use super::failure_run::FailureRuns;
use super::retry::RetryBudget;
use super::routing::RouteInput;
use super::routing::choose_version;
use super::token_bucket::TokenBucket;
use super::traffic_settings::TrafficSettings;
use crate::catalogue::model::Entry;
use crate::events;
use crate::events::traffic;
use crate::node::handle::ControlHandle;
use crate::node::handle::ControlWork;
use crate::peers::client::PeerClient;
use crate::peers::peer_settings::PeerSettings;
use crate::snapshot::Endpoint;
use crate::snapshot::Snapshot;
use crate::telemetry::TrafficCounts;
use crate::types::DataCentre;
use crate::types::EntryName;
use crate::types::InstanceId;
use crate::types::Millis;
use crate::types::MoveId;
use crate::types::NodeId;
use crate::types::Percent;
use crate::types::RequestId;
use crate::types::VersionName;
use crate::wire::LoadWire;

/// Targets that got no call for this time are forgotten.
const FORGET_TARGETS: Millis = Millis(60_000);

/// What all threads that serve callers share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) node: NodeId,
    pub(super) data_centre: DataCentre,
    pub(super) snapshot: Arc<ArcSwap<Snapshot>>,
    pub(super) control: ControlHandle,
    pub(super) dispatch: DispatchHandle,
    pub(super) settings: TrafficSettings,
    pub(super) peer_settings: PeerSettings,
    /// Moves whose share this node stopped, and until when.
    pub(super) stopped_moves: ArcSwap<BTreeMap<MoveId, Millis>>,
    pub(super) in_flight: Arc<InFlight>,
    pub(super) started: Instant,
    pub(super) seed: u64,
}

impl Shared {
    /// The shared clock.
    pub(super) fn now(&self) -> Millis {
        self.started.elapsed().into()
    }
}

/// Counts the callers' calls that are not wholly answered.
#[derive(Debug, Default)]
pub(super) struct InFlight {
    draining: AtomicBool,
    calls: AtomicUsize,
    ended: Notify,
}

impl InFlight {
    /// Counts a call until the guard is dropped. A call is counted before it checks for a drain, so
    /// that a drain misses none.
    pub(super) fn enter(self: &Arc<Self>) -> InFlightGuard {
        self.calls.fetch_add(1, Ordering::SeqCst);
        metrics::gauge!("ibis_calls_in_flight").increment(1.0);
        InFlightGuard(self.clone())
    }

    /// Makes the threads refuse new calls.
    pub(super) fn start_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Waits until no call is in flight.
    pub(super) async fn idle(&self) {
        loop {
            let ended = self.ended.notified();
            if self.calls.load(Ordering::SeqCst) == 0 {
                return;
            }
            ended.await;
        }
    }
}

/// One call in flight.
pub(super) struct InFlightGuard(Arc<InFlight>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        metrics::gauge!("ibis_calls_in_flight").decrement(1.0);
        if self.0.calls.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.ended.notify_waiters();
        }
    }
}

/// State of one thread.
pub(super) struct Worker {
    pub(super) shared: Arc<Shared>,
    pub(super) peers: PeerClient,
    balancer: RefCell<Balancer>,
    buckets: RefCell<BTreeMap<MoveId, TokenBucket>>,
    budgets: RefCell<BTreeMap<EntryName, RetryBudget>>,
    runs: RefCell<FailureRuns>,
    counts: RefCell<TrafficCounts>,
    rng: RefCell<SmallRng>,
}

impl Worker {
    /// Makes the state and starts its reports to the control thread.
    pub(super) fn start(shared: Arc<Shared>, index: u64) -> Rc<Self> {
        let seed = shared.seed.wrapping_add(index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let worker = Rc::new(Self {
            peers: PeerClient::new(shared.peer_settings),
            balancer: RefCell::new(Balancer::new(shared.settings, seed)),
            buckets: RefCell::default(),
            budgets: RefCell::default(),
            runs: RefCell::default(),
            counts: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(!seed)),
            shared,
        });
        let weak = Rc::downgrade(&worker);
        actix_rt::spawn(async move {
            while let Some(worker) = weak.upgrade() {
                worker.report();
                let interval = worker.shared.settings.count_interval.to_duration();
                drop(worker);
                actix_rt::time::sleep(interval).await;
            }
        });
        worker
    }

    /// 128 random bits as an id.
    pub(super) fn random_id(&self) -> RequestId {
        RequestId::from_bits(self.rng.borrow_mut().random())
    }

    /// Whether new calls are refused.
    pub(super) fn is_draining(&self, snapshot: &Snapshot) -> bool {
        snapshot.draining || self.shared.in_flight.is_draining()
    }

    /// Chooses version and target of an attempt. `None` when there is no untried target.
    pub(super) fn choose(
        self: &Rc<Self>,
        entry: &Entry,
        id: &RequestId,
        tried: &[InstanceId],
    ) -> Option<Attempt> {
        let now = self.shared.now();
        let snapshot = self.shared.snapshot.load();
        let config = snapshot.config.as_ref()?;
        let service = config.service(&entry.service)?;
        let ready = &snapshot.endpoints.services.get(&service.name)?.ready;
        // The version is chosen among untried targets, so that a retry may use the other version.
        let untried: Cow<'_, [Endpoint]> = match tried {
            [] => ready.into(),
            _ => ready.iter().filter(|e| !tried.contains(&e.instance)).cloned().collect(),
        };
        let declared = config.move_of(&service.name);
        let input = RouteInput {
            service,
            declared,
            view: declared.and_then(|m| snapshot.moves.get(&m.id)),
            stopped: declared.is_some_and(|m| self.is_stopped(&m.id, now)),
            threads: self.shared.settings.workers,
            request_id: id,
            ready: &untried,
        };
        let version = match declared {
            Some(m) => {
                let mut buckets = self.buckets.borrow_mut();
                choose_version(input, buckets.entry(m.id.clone()).or_default(), now)?
            }
            None => choose_version(input, &mut TokenBucket::default(), now)?,
        };
        let candidates: Vec<&Endpoint> = ready.iter().filter(|e| e.version == version).collect();
        let own = &self.shared.data_centre;
        let probing = if entry.class.is_repeatable() { Probing::Allowed } else { Probing::Avoided };
        let mut balancer = self.balancer.borrow_mut();
        let instance = balancer.choose_for(now, own, &candidates, tried, probing)?;
        drop(balancer);
        let endpoint = candidates.into_iter().find(|e| e.instance == instance)?.clone();
        let move_id = declared.filter(|m| m.to == version).map(|m| m.id.clone());
        Some(Attempt {
            worker: self.clone(),
            entry: entry.name.clone(),
            config_version: config.head.version.0,
            endpoint,
            version,
            move_id,
            began: Instant::now(),
            outside_target: Duration::ZERO,
            ended: false,
        })
    }

    /// Takes a retry of a repeatable call from the budget.
    pub(super) fn take_retry(&self, entry: &Entry) -> bool {
        let settings = &self.shared.settings;
        let mut budgets = self.budgets.borrow_mut();
        let budget =
            budgets.entry(entry.name.clone()).or_insert_with(|| RetryBudget::new(settings));
        budget.take(self.shared.now(), settings)
    }

    /// Earns the share of a success.
    pub(super) fn earn_retry(&self, entry: &EntryName, share: Percent) {
        let settings = &self.shared.settings;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(entry.clone()).or_insert_with(|| RetryBudget::new(settings));
        budget.succeeded(share);
    }

    /// Counts an attempt beyond the first.
    pub(super) fn count_retry(&self, entry: &EntryName, version: &VersionName) {
        metrics::counter!("ibis_retries_total").increment(1);
        self.counts.borrow_mut().of(entry, Some(version)).retries += 1;
    }

    /// Counts a call as its caller saw it, up to the head of the answer.
    pub(super) fn count_call(&self, entry: &EntryName, end: CallEnd, took: Duration) {
        let mut counts = self.counts.borrow_mut();
        let counts = counts.calls.entry(entry.clone()).or_default();
        counts.calls += 1;
        match end {
            CallEnd::Answered => {}
            CallEnd::Failed => counts.failures += 1,
            CallEnd::Refused => counts.refused += 1,
        }
        if end != CallEnd::Refused {
            counts.latency.record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
        }
    }

    fn is_stopped(&self, id: &MoveId, now: Millis) -> bool {
        self.shared.stopped_moves.load().get(id).is_some_and(|until| *until > now)
    }

    fn report(&self) {
        self.balancer.borrow_mut().forget(self.shared.now(), FORGET_TARGETS);
        let counts = std::mem::take(&mut *self.counts.borrow_mut());
        if counts != TrafficCounts::default() {
            // The control thread ends only when the node stops.
            let _ = self.shared.control.send(ControlWork::Counts(counts));
        }
    }

    fn record_run(&self, id: &MoveId, failed: bool) {
        let shared = &self.shared;
        let now = shared.now();
        let over = self.runs.borrow_mut().record(id, failed, shared.settings.failure_run);
        if !over || self.is_stopped(id, now) {
            return;
        }
        let until = Millis(now.0 + shared.settings.failure_run_hold.0);
        shared.stopped_moves.rcu(|stopped| {
            let mut stopped = BTreeMap::clone(stopped);
            stopped.retain(|_, until| *until > now);
            stopped.insert(id.clone(), until);
            stopped
        });
        events::emit(&traffic::SHARE_STOPPED, format_args!("{id} on {}", shared.node));
        // The control thread ends only when the node stops.
        let _ = shared.control.send(ControlWork::ConsecutiveFailures(id.clone()));
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.report();
    }
}

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallEnd {
    /// An answer.
    Answered,
    /// No answer, or one that tells of a failure.
    Failed,
    /// Refused as "not run".
    Refused,
}

/// How an attempt ended, for the counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// A good answer, whole.
    Answered,
    /// The target failed: 5xx, reset, no whole answer in time.
    Failed,
    /// The stream to the node beside the target broke or went silent.
    Broken,
    /// The target cannot be connected to: nothing ran, but the fault is its own.
    Unreachable,
    /// The node beside the target cannot be connected to: nothing ran.
    NodeUnreachable,
    /// Nothing ran; says nothing about the target's health.
    Refused,
}

/// An attempt on a chosen target; counted as abandoned when dropped.
pub(super) struct Attempt {
    worker: Rc<Worker>,
    entry: EntryName,
    pub(super) config_version: u64,
    pub(super) endpoint: Endpoint,
    pub(super) version: VersionName,
    move_id: Option<MoveId>,
    pub(super) began: Instant,
    /// Time before the target got the call and on the way back, as far as it is known.
    outside_target: Duration,
    ended: bool,
}

impl Attempt {
    /// Notes the target's own time until the head of its answer. A move is judged by it: a wait in
    /// the queue of the target tells of the share of calls that a stage gives to a few targets.
    pub(super) fn note_service_time(&mut self, service: Duration) {
        self.outside_target = self.began.elapsed().saturating_sub(service);
    }

    /// Ends the attempt and counts it.
    pub(super) fn finish(mut self, end: AttemptEnd, load: Option<LoadWire>) {
        self.ended = true;
        let failed = !matches!(end, AttemptEnd::Answered | AttemptEnd::Refused);
        let observed = match end {
            AttemptEnd::Answered => Observed::Success,
            AttemptEnd::Refused => Observed::Neutral,
            AttemptEnd::Failed => Observed::Failure,
            AttemptEnd::Broken | AttemptEnd::Unreachable | AttemptEnd::NodeUnreachable => {
                Observed::Unreachable
            }
        };
        self.release(observed, load);
        // A lost node fails about the same number of calls on each of its targets. A version with a
        // small share has few calls, so these failures would look like a fault of the version.
        // A refusal for want of room tells of the load on the version's targets, which the stages of a
        // move divide unequally, and nothing of the version.
        if matches!(end, AttemptEnd::Broken | AttemptEnd::NodeUnreachable | AttemptEnd::Refused) {
            return;
        }
        let not_run = end == AttemptEnd::Unreachable;
        {
            let mut counts = self.worker.counts.borrow_mut();
            let counts = counts.of(&self.entry, Some(&self.version));
            counts.calls += 1;
            counts.failures += u64::from(failed);
            counts.refused += u64::from(not_run);
            if !not_run {
                let micros = self.began.elapsed().saturating_sub(self.outside_target).as_micros();
                counts.latency.record(u64::try_from(micros).unwrap_or(u64::MAX));
            }
        }
        if let Some(id) = self.move_id.as_ref() {
            self.worker.record_run(id, failed);
        }
    }

    fn release(&self, observed: Observed, load: Option<LoadWire>) {
        let now = self.worker.shared.now();
        let mut balancer = self.worker.balancer.borrow_mut();
        balancer.finish(now, &self.endpoint.instance, observed, load);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.ended {
            self.release(Observed::Neutral, None);
        }
    }
}
