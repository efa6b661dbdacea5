//! State of a thread that serves callers: load balancing, budgets and counts.

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
use super::balancer::ProbePolicy;
use super::balancer::TargetOutcome;
use super::consecutive_failures::ConsecutiveFailures;
use super::dispatch::DispatchHandle;
use super::retry::RetryBudget;
use super::routing::RouteInput;
use super::routing::choose_version;
use super::token_bucket::TokenBucket;
use super::traffic_settings::TrafficSettings;
use crate::catalogue::model::Entry;
use crate::events;
use crate::events::traffic;
use crate::node::control_handle::ControlHandle;
use crate::node::control_handle::ControlWork;
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

/// Time after which the statistics of a target without calls are dropped.
const TARGET_STATS_RETENTION: Millis = Millis(60_000);

/// State shared by all threads that serve callers.
#[derive(Debug)]
pub(super) struct SharedState {
    pub(super) node: NodeId,
    pub(super) data_centre: DataCentre,
    pub(super) snapshot: Arc<ArcSwap<Snapshot>>,
    pub(super) control: ControlHandle,
    pub(super) dispatch: DispatchHandle,
    pub(super) settings: TrafficSettings,
    pub(super) peer_settings: PeerSettings,
    /// Moves whose share this node has stopped, each with the time until which it stays stopped.
    pub(super) stopped_moves: ArcSwap<BTreeMap<MoveId, Millis>>,
    pub(super) in_flight: Arc<CallsInFlight>,
    pub(super) started_at: Instant,
    pub(super) seed: u64,
}

impl SharedState {
    /// Returns the time since the start of the traffic threads. All worker threads share this
    /// clock.
    pub(super) fn now(&self) -> Millis {
        self.started_at.elapsed().into()
    }
}

/// Counts the calls in flight on all threads. A call is in flight until its response has been sent
/// completely.
#[derive(Debug, Default)]
pub(super) struct CallsInFlight {
    draining: AtomicBool,
    calls: AtomicUsize,
    /// Notified when no call is in flight.
    became_idle: Notify,
}

impl CallsInFlight {
    /// Counts a call until the returned guard is dropped. Must be called before the check for a
    /// drain, so that a drain misses no call.
    pub(super) fn start_call(self: &Arc<Self>) -> InFlightGuard {
        self.calls.fetch_add(1, Ordering::SeqCst);
        metrics::gauge!("ibis_calls_in_flight").increment(1.0);
        InFlightGuard(self.clone())
    }

    /// Makes all threads refuse new calls.
    pub(super) fn start_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Waits until no call is in flight.
    pub(super) async fn wait_idle(&self) {
        loop {
            let became_idle = self.became_idle.notified();
            if self.calls.load(Ordering::SeqCst) == 0 {
                return;
            }
            became_idle.await;
        }
    }
}

/// Counts one call as in flight until it is dropped.
pub(super) struct InFlightGuard(Arc<CallsInFlight>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        metrics::gauge!("ibis_calls_in_flight").decrement(1.0);
        if self.0.calls.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.became_idle.notify_waiters();
        }
    }
}

/// State of one thread that serves callers.
pub(super) struct Worker {
    pub(super) shared: Arc<SharedState>,
    pub(super) peers: PeerClient,
    balancer: RefCell<Balancer>,
    /// Token buckets that limit the rate of calls to the new version of each move.
    rate_buckets: RefCell<BTreeMap<MoveId, TokenBucket>>,
    /// Retry budgets of entries.
    retry_budgets: RefCell<BTreeMap<EntryName, RetryBudget>>,
    consecutive_failures: RefCell<ConsecutiveFailures>,
    /// Counts that have not been reported to the control thread yet.
    counts: RefCell<TrafficCounts>,
    rng: RefCell<SmallRng>,
}

impl Worker {
    /// Creates the state of the thread number `index` and starts the periodic reports of counts to
    /// the control thread.
    pub(super) fn start(shared: Arc<SharedState>, index: u64) -> Rc<Self> {
        // Multiples of the golden ratio give each thread a different seed.
        let seed = shared.seed.wrapping_add(index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let worker = Rc::new(Self {
            peers: PeerClient::new(shared.peer_settings),
            balancer: RefCell::new(Balancer::new(shared.settings, seed)),
            rate_buckets: RefCell::default(),
            retry_budgets: RefCell::default(),
            consecutive_failures: RefCell::default(),
            counts: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(!seed)),
            shared,
        });
        let weak_worker = Rc::downgrade(&worker);
        actix_rt::spawn(async move {
            while let Some(worker) = weak_worker.upgrade() {
                worker.report_counts();
                let report_interval = worker.shared.settings.count_interval.to_duration();
                drop(worker);
                actix_rt::time::sleep(report_interval).await;
            }
        });
        worker
    }

    /// Returns an id of 128 random bits.
    pub(super) fn random_id(&self) -> RequestId {
        RequestId::from_bits(self.rng.borrow_mut().random())
    }

    /// Whether new calls are refused.
    pub(super) fn is_draining(&self, snapshot: &Snapshot) -> bool {
        snapshot.draining || self.shared.in_flight.is_draining()
    }

    /// Chooses the version and target of an attempt. `None` when no untried target may serve the
    /// call.
    pub(super) fn choose_attempt(
        self: &Rc<Self>,
        entry: &Entry,
        id: &RequestId,
        tried_instances: &[InstanceId],
    ) -> Option<Attempt> {
        let now = self.shared.now();
        let snapshot = self.shared.snapshot.load();
        let config = snapshot.config.as_ref()?;
        let service = config.service(&entry.service)?;
        let ready = &snapshot.endpoints.services.get(&service.name)?.ready;
        // Only untried targets take part in the choice of the version, so that a retry may use the
        // other version.
        let untried_targets: Cow<'_, [Endpoint]> = match tried_instances {
            [] => ready.into(),
            _ => ready.iter().filter(|e| !tried_instances.contains(&e.instance)).cloned().collect(),
        };
        let declared_move = config.move_for_service(&service.name);
        let route_input = RouteInput {
            service,
            declared_move,
            move_view: declared_move.and_then(|m| snapshot.moves.get(&m.id)),
            share_stopped: declared_move.is_some_and(|m| self.is_share_stopped(&m.id, now)),
            threads: self.shared.settings.workers,
            request_id: id,
            ready_targets: &untried_targets,
        };
        let version = match declared_move {
            Some(m) => {
                let mut rate_buckets = self.rate_buckets.borrow_mut();
                choose_version(route_input, rate_buckets.entry(m.id.clone()).or_default(), now)?
            }
            None => choose_version(route_input, &mut TokenBucket::default(), now)?,
        };
        let candidates: Vec<&Endpoint> = ready.iter().filter(|e| e.version == version).collect();
        let local_data_centre = &self.shared.data_centre;
        let probe_policy =
            if entry.class.is_repeatable() { ProbePolicy::Allowed } else { ProbePolicy::Avoided };
        let mut balancer = self.balancer.borrow_mut();
        let instance = balancer.choose_with_probe_policy(
            now,
            local_data_centre,
            &candidates,
            tried_instances,
            probe_policy,
        )?;
        drop(balancer);
        let endpoint = candidates.into_iter().find(|e| e.instance == instance)?.clone();
        let move_id = declared_move.filter(|m| m.to == version).map(|m| m.id.clone());
        Some(Attempt {
            worker: self.clone(),
            entry: entry.name.clone(),
            config_version: config.head.version.0,
            endpoint,
            version,
            move_id,
            started_at: Instant::now(),
            queue_and_transit_time: Duration::ZERO,
            finished: false,
        })
    }

    /// Spends one retry of the entry's budget; `false` when the budget is exhausted.
    pub(super) fn try_spend_retry(&self, entry: &Entry) -> bool {
        let settings = &self.shared.settings;
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let retry_budget =
            retry_budgets.entry(entry.name.clone()).or_insert_with(|| RetryBudget::new(settings));
        retry_budget.try_spend(self.shared.now(), settings)
    }

    /// Adds the share that a success earns to the entry's retry budget.
    pub(super) fn credit_retry_budget(&self, entry: &EntryName, retry_share: Percent) {
        let settings = &self.shared.settings;
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let retry_budget =
            retry_budgets.entry(entry.clone()).or_insert_with(|| RetryBudget::new(settings));
        retry_budget.record_success(retry_share);
    }

    /// Counts a retry: an attempt of a call beyond the first.
    pub(super) fn count_retry(&self, entry: &EntryName, version: &VersionName) {
        metrics::counter!("ibis_retries_total").increment(1);
        self.counts.borrow_mut().attempt_counts_mut(entry, Some(version)).retries += 1;
    }

    /// Counts a call by its outcome for the caller. `elapsed` is the time until the head of the
    /// response.
    pub(super) fn count_call(&self, entry: &EntryName, outcome: CallOutcome, elapsed: Duration) {
        let mut counts = self.counts.borrow_mut();
        let counts = counts.calls.entry(entry.clone()).or_default();
        counts.calls += 1;
        match outcome {
            CallOutcome::Completed => {}
            CallOutcome::Failed => counts.failures += 1,
            CallOutcome::Refused => counts.refused += 1,
        }
        if outcome != CallOutcome::Refused {
            counts.latency.record(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX));
        }
    }

    fn is_share_stopped(&self, id: &MoveId, now: Millis) -> bool {
        self.shared.stopped_moves.load().get(id).is_some_and(|until| *until > now)
    }

    /// Sends the counts since the last report to the control thread, and drops the statistics of
    /// unused targets.
    fn report_counts(&self) {
        self.balancer.borrow_mut().remove_unused(self.shared.now(), TARGET_STATS_RETENTION);
        let counts = std::mem::take(&mut *self.counts.borrow_mut());
        if counts != TrafficCounts::default() {
            // Fails only when the node stops, after the end of the control thread.
            let _ = self.shared.control.send(ControlWork::Counts(counts));
        }
    }

    /// Counts a call to the new version of a move. Stops the move's share on this node when too
    /// many consecutive calls have failed.
    fn record_new_version_call(&self, id: &MoveId, failed: bool) {
        let shared = &self.shared;
        let now = shared.now();
        let failure_limit_reached = self.consecutive_failures.borrow_mut().record_call(
            id,
            failed,
            shared.settings.failure_run,
        );
        if !failure_limit_reached || self.is_share_stopped(id, now) {
            return;
        }
        let stopped_until = Millis(now.0 + shared.settings.failure_run_hold.0);
        shared.stopped_moves.rcu(|stopped| {
            let mut stopped = BTreeMap::clone(stopped);
            stopped.retain(|_, until| *until > now);
            stopped.insert(id.clone(), stopped_until);
            stopped
        });
        events::emit(&traffic::SHARE_STOPPED, format_args!("{id} on {}", shared.node));
        // Fails only when the node stops, after the end of the control thread.
        let _ = shared.control.send(ControlWork::ConsecutiveFailures(id.clone()));
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.report_counts();
    }
}

/// Outcome of a call for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOutcome {
    /// A response that is not a failure.
    Completed,
    /// A server error, or a 429, that is not a "not run" refusal.
    Failed,
    /// Refused as "not run".
    Refused,
}

/// How an attempt ended; decides how it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// Complete response with a status below 500.
    Completed,
    /// The target failed: 5xx, reset, or no complete response in time.
    Failed,
    /// The stream to the target's node broke or became unresponsive.
    ConnectionLost,
    /// The target's node cannot connect to the target: the request did not run, but the target is
    /// at fault.
    Unreachable,
    /// No connection to the target's node can be opened: the request did not run.
    NodeUnreachable,
    /// The request did not run, for a reason unrelated to the target's health.
    Refused,
}

/// An attempt on a chosen target. Counts as abandoned when it is dropped without
/// [`Attempt::finish`].
pub(super) struct Attempt {
    worker: Rc<Worker>,
    entry: EntryName,
    pub(super) config_version: u64,
    pub(super) endpoint: Endpoint,
    pub(super) version: VersionName,
    /// Move whose new version serves the attempt; `None` for any other version.
    move_id: Option<MoveId>,
    pub(super) started_at: Instant,
    /// Time that the attempt spent in the admission queue at the target's node and in transit
    /// between the nodes; 0 until the response head reports the service time.
    queue_and_transit_time: Duration,
    finished: bool,
}

impl Attempt {
    /// Records the time from the start of the request at the target to the head of its response.
    /// Moves are evaluated by this latency, because the time in the admission queue depends on how
    /// many calls a stage sends to the few targets of a version.
    pub(super) fn record_service_time(&mut self, service: Duration) {
        self.queue_and_transit_time = self.started_at.elapsed().saturating_sub(service);
    }

    /// Ends the attempt and counts it.
    pub(super) fn finish(mut self, end: AttemptEnd, load: Option<LoadWire>) {
        self.finished = true;
        let failed = !matches!(end, AttemptEnd::Completed | AttemptEnd::Refused);
        let outcome = match end {
            AttemptEnd::Completed => TargetOutcome::Success,
            AttemptEnd::Refused => TargetOutcome::Neutral,
            AttemptEnd::Failed => TargetOutcome::Failure,
            AttemptEnd::ConnectionLost | AttemptEnd::Unreachable | AttemptEnd::NodeUnreachable => {
                TargetOutcome::Unreachable
            }
        };
        self.finish_in_balancer(outcome, load);
        // The failure of a node affects about the same number of calls on each of its targets. A
        // version with a small share has few calls, so these failures would look like a fault of
        // the version. A refusal under overload reflects the load on the version's targets, which
        // the stages of a move distribute unequally, and not the quality of the version.
        if matches!(
            end,
            AttemptEnd::ConnectionLost | AttemptEnd::NodeUnreachable | AttemptEnd::Refused
        ) {
            return;
        }
        let not_run = end == AttemptEnd::Unreachable;
        {
            let mut counts = self.worker.counts.borrow_mut();
            let counts = counts.attempt_counts_mut(&self.entry, Some(&self.version));
            counts.calls += 1;
            counts.failures += u64::from(failed);
            counts.refused += u64::from(not_run);
            if !not_run {
                let latency_micros = self
                    .started_at
                    .elapsed()
                    .saturating_sub(self.queue_and_transit_time)
                    .as_micros();
                counts.latency.record(u64::try_from(latency_micros).unwrap_or(u64::MAX));
            }
        }
        if let Some(id) = self.move_id.as_ref() {
            self.worker.record_new_version_call(id, failed);
        }
    }

    fn finish_in_balancer(&self, outcome: TargetOutcome, load: Option<LoadWire>) {
        let now = self.worker.shared.now();
        let mut balancer = self.worker.balancer.borrow_mut();
        balancer.finish(now, &self.endpoint.instance, outcome, load);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.finished {
            self.finish_in_balancer(TargetOutcome::Neutral, None);
        }
    }
}
