//! The target next to this node: queues calls, sends them to the target and returns its responses.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::byte_budget::ByteBudget;
use super::evidence::Evidence;
use super::evidence::EvidenceLog;
use super::frames::Failure;
use super::frames::ForwardHead;
use super::frames::Outcome;
use super::http1;
use super::registry::Heartbeat;
use super::registry::HeartbeatOutcome;
use super::registry::InstanceRecord;
use super::registry::LifeState;
use super::registry::LocalInstance;
use super::replicated_rows::RowVersion;
use super::slot_queue::Action;
use super::slot_queue::Load;
use super::slot_queue::QueueSettings;
use super::slot_queue::RefusalReason;
use super::slot_queue::SlotQueue;
use super::slot_queue::Ticket;
use super::target_conn::ExchangeError;
use super::target_conn::RequestMessage;
use super::target_conn::TargetConn;
use super::target_conn::TargetResponse;
use super::target_health::HealthSettings;
use super::target_health::TargetHealth;
use super::target_health::TargetOutcome;
use crate::clock::Clock;
use crate::platform::headers;
use crate::types::InstanceId;
use crate::types::Millis;
use crate::types::UnixMillis;

/// Maximum idle time after which a connection is still used for a request that must not run twice. A
/// target may close a connection that was idle for longer, and if the request is reset by that, it is
/// unknown whether it ran.
const MAX_IDLE_FOR_UNSAFE: Duration = Duration::from_millis(400);

/// A request is sent to the target only if more than this time is left to its deadline; otherwise
/// its response could not arrive in time.
const RESPONSE_MARGIN: Millis = Millis(4);

/// Decision of the queue on a call: it starts, or it is refused with the time to wait before a retry.
type Admission = Result<(), (RefusalReason, Millis)>;

struct TargetState {
    instance: LocalInstance,
    queue: SlotQueue,
    health: TargetHealth,
    /// Idle connections, each with the start of its idle time.
    idle_conns: Vec<(TargetConn, Instant)>,
    /// Senders that deliver the decisions of the queue to the waiting calls, by call id.
    waiters: HashMap<u64, oneshot::Sender<Admission>>,
    last_id: u64,
    /// Row version of the rollout request for which evidence is collected; `None` when none is collected.
    request_row_version: Option<RowVersion>,
    evidence: EvidenceLog,
}

/// State of the target next to this node: its queue, its health and its connections.
pub struct LocalTarget {
    clock: Clock,
    health: HealthSettings,
    /// Age up to which responses count as recent evidence.
    recent_evidence: Millis,
    /// Limit on the responses in memory, from their first byte to the last byte sent on.
    response_budget: ByteBudget,
    state: RefCell<TargetState>,
    /// Wakes [`LocalTarget::watch_queue`] when a call was queued.
    queue_changed: Notify,
    /// Calls that are queued or running.
    open_calls: Cell<usize>,
}

/// A place in the queue or a slot of the target; released when dropped.
struct Reservation<'a> {
    target: &'a LocalTarget,
    id: u64,
    /// When the call got its slot; `None` while it is queued.
    started: Option<Instant>,
    /// Whether the time in the slot is counted in the average service time.
    counts_in_average: Cell<bool>,
    /// Whether the exchange with the target has ended, so that its outcome is already recorded.
    exchange_ended: Cell<bool>,
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        let now = self.target.clock.now();
        if let Some(started) = self.started.filter(|_| !self.exchange_ended.get()) {
            self.target.count_overdue_as_lost(started.elapsed().into());
        }
        let slot_time =
            self.started.filter(|_| self.counts_in_average.get()).map(|s| s.elapsed().into());
        let actions = {
            let mut state = self.target.state.borrow_mut();
            state.waiters.remove(&self.id);
            state.queue.cancel(self.id);
            state.queue.finish(now, self.id, slot_time)
        };
        self.target.notify_waiters(actions);
        self.target.open_calls.set(self.target.open_calls.get().saturating_sub(1));
    }
}

impl LocalTarget {
    /// Creates the state of a target that has not sent a heartbeat yet.
    pub fn new(
        clock: Clock,
        queue: QueueSettings,
        health: HealthSettings,
        recent_evidence: Millis,
        response_budget: ByteBudget,
    ) -> Rc<Self> {
        let state = TargetState {
            instance: LocalInstance::default(),
            queue: SlotQueue::new(queue, 0),
            health: TargetHealth::default(),
            idle_conns: Vec::new(),
            waiters: HashMap::new(),
            last_id: 0,
            request_row_version: None,
            evidence: EvidenceLog::default(),
        };
        Rc::new(Self {
            clock,
            health,
            recent_evidence,
            response_budget,
            state: RefCell::new(state),
            queue_changed: Notify::new(),
            open_calls: Cell::new(0),
        })
    }

    /// Applies a heartbeat. A target that reports draining receives no further requests.
    pub fn apply_heartbeat(&self, id: InstanceId, heartbeat: Heartbeat) -> HeartbeatOutcome {
        let now = self.clock.now();
        let slots = heartbeat.slots;
        let (outcome, actions) = {
            let mut state = self.state.borrow_mut();
            let old_address = state.instance.address();
            let outcome = state.instance.apply_heartbeat(now, id, heartbeat);
            if outcome != HeartbeatOutcome::Stale {
                state.health.on_heartbeat(now);
            }
            let actions = match outcome {
                HeartbeatOutcome::Stale | HeartbeatOutcome::Refreshed => Vec::new(),
                HeartbeatOutcome::Started => {
                    state.health.restart(now);
                    state.evidence.clear();
                    state.idle_conns.clear();
                    state.queue.restart(now, slots)
                }
                HeartbeatOutcome::Updated => state.queue.set_slots(now, slots),
                HeartbeatOutcome::Leaving => state.queue.leave(),
            };
            if old_address != state.instance.address() {
                state.idle_conns.clear();
            }
            (outcome, actions)
        };
        self.notify_waiters(actions);
        outcome
    }

    /// Applies a leave announcement of the target. Returns whether it concerns the current
    /// incarnation.
    pub fn apply_leave(
        &self,
        id: &InstanceId,
        born: Option<UnixMillis>,
        unix_now: UnixMillis,
    ) -> bool {
        let actions = {
            let mut state = self.state.borrow_mut();
            if !state.instance.leave(id, born, unix_now) {
                return false;
            }
            state.queue.leave()
        };
        self.notify_waiters(actions);
        true
    }

    /// Refuses queued and new calls, because the node stops; running calls continue.
    pub fn stop(&self) {
        let actions = self.state.borrow_mut().queue.stop();
        self.notify_waiters(actions);
    }

    /// Returns the record of the target that is announced to peers; `None` before its first heartbeat.
    pub fn record(&self) -> Option<InstanceRecord> {
        self.state.borrow().instance.record().cloned()
    }

    /// Returns whether the target accepts requests.
    pub fn is_available(&self) -> bool {
        let state = self.state.borrow();
        let now = self.clock.now();
        let ready = state.instance.record().is_some_and(|r| r.state == LifeState::Ready);
        ready && !state.queue.is_leaving() && !state.health.is_down(now, &self.health)
    }

    /// Returns whether the target is in its cold start.
    pub fn is_cold(&self) -> bool {
        self.state.borrow().instance.is_cold(self.clock.now())
    }

    /// Returns the load of the target, including its failure rate.
    pub fn load(&self) -> Load {
        let state = self.state.borrow();
        let now = self.clock.now();
        let failing = state.health.failure_rate(now, &self.health) as f32;
        Load { failing, ..state.queue.load(now) }
    }

    /// Returns the number of calls that are queued or running.
    pub fn open_calls(&self) -> usize {
        self.open_calls.get()
    }

    /// Returns the evidence collected since a rollout request, with the row version of the request;
    /// `None` when no evidence is collected.
    pub fn evidence(&self) -> Option<(RowVersion, Evidence)> {
        let state = self.state.borrow();
        let version = state.request_row_version?;
        let now = self.clock.now();
        // Response times of a cold start do not represent the speed of the version.
        let is_warm = !state.instance.is_cold(now);
        let running = state.queue.running_since().filter(|_| is_warm);
        let running = running.map(|(route, since)| (route.clone(), now.since(since)));
        Some((version, state.evidence.evidence(now, self.recent_evidence, running)))
    }

    /// Returns whether responses are counted for a move.
    pub fn is_collecting_evidence(&self) -> bool {
        self.state.borrow().request_row_version.is_some()
    }

    /// Starts counting the responses since the rollout request with this row version; `None` stops it.
    pub fn collect_evidence(&self, request_row_version: Option<RowVersion>) {
        let mut state = self.state.borrow_mut();
        if state.request_row_version != request_row_version {
            state.request_row_version = request_row_version;
            state.evidence.clear();
        }
    }

    /// Refuses queued requests that can no longer be served in time; never returns.
    pub async fn watch_queue(&self) {
        loop {
            let next_check = self.state.borrow().queue.next_check(self.clock.now());
            let changed = self.queue_changed.notified();
            match next_check {
                None => changed.await,
                Some(at) => {
                    let wait = at.since(self.clock.now()).to_duration();
                    tokio::select! {
                        () = changed => {}
                        () = tokio::time::sleep(wait) => {}
                    }
                }
            }
            let actions = self.state.borrow_mut().queue.dispatch(self.clock.now());
            self.notify_waiters(actions);
        }
    }

    /// Informs the waiting calls of the decisions of the queue.
    fn notify_waiters(&self, actions: Vec<Action>) {
        for action in actions {
            let (id, admission) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse(id, reason, retry_after) => (id, Err((reason, retry_after))),
            };
            let tx = self.state.borrow_mut().waiters.remove(&id);
            // A call whose future was dropped has already released its place in the queue.
            let _ = tx.map(|tx| tx.send(admission));
        }
    }

    /// Refuses a call by its head, before its long body is sent; `None` when it may proceed.
    pub fn refuse_early(&self, head: &ForwardHead) -> Option<Outcome> {
        let now = self.clock.now();
        let state = self.state.borrow();
        if state.instance.record().is_none_or(|r| r.id != head.instance) {
            return Some(refused(RefusalReason::Leaving, Millis(0)));
        }
        if state.health.is_down(now, &self.health) {
            return Some(refused(RefusalReason::Unreachable, Millis(0)));
        }
        let (reason, retry_after) = state.queue.refusal(now, &ticket(0, now, head))?;
        Some(refused(reason, retry_after))
    }

    /// Returns the refusal of a call that got no permit for its long body in time.
    pub fn overload_refusal(&self) -> Outcome {
        let service_ms = self.state.borrow().queue.service_ms(self.clock.now(), "");
        refused(RefusalReason::Overloaded, Millis(service_ms as u64))
    }

    /// Serves a call: waits for a slot, sends the request to the target and returns the complete
    /// response. A refusal proves that the call did not run.
    pub async fn call(&self, head: ForwardHead, body: Bytes) -> (Outcome, Load) {
        let outcome = self.run_call(&head, body).await;
        (outcome, self.load())
    }

    async fn run_call(&self, head: &ForwardHead, body: Bytes) -> Outcome {
        let began = Instant::now();
        let deadline = began + Millis(u64::from(head.deadline_ms)).to_duration();
        let mut reservation = match self.wait_for_slot(head).await {
            Ok(reservation) => reservation,
            Err((reason, retry_after)) => return refused(reason, retry_after),
        };
        reservation.started = Some(Instant::now());
        // The target may have restarted while the call was queued; a call runs only on the
        // incarnation that it was sent to.
        let address = {
            let state = self.state.borrow();
            let same_incarnation = state.instance.record().is_some_and(|r| r.id == head.instance);
            state.instance.address().filter(|_| same_incarnation)
        };
        let Some(address) = address else { return refused(RefusalReason::Leaving, Millis(0)) };
        let mut conn = match self.take_idle_conn(head.repeatable) {
            Some(conn) => conn,
            None => match TargetConn::open(address).await {
                Ok(conn) => conn,
                Err(_) => {
                    self.record_outcome(TargetOutcome::ConnectionRefused);
                    let actions = self.state.borrow_mut().queue.refuse_all_queued();
                    self.notify_waiters(actions);
                    return refused(RefusalReason::Unreachable, Millis(0));
                }
            },
        };
        let time_left = Millis::from(deadline.saturating_duration_since(Instant::now()));
        if time_left <= RESPONSE_MARGIN {
            return refused(RefusalReason::Overloaded, Millis(0));
        }
        let request = encode_request_head(head, time_left, body.len());
        let written = Cell::new(false);
        let exchange = {
            let message = RequestMessage {
                method: &head.method,
                request_id: &head.request_id,
                head: &request,
                body: &body,
            };
            let exchange = conn.exchange(message, &self.response_budget, &written);
            let exchange = std::pin::pin!(exchange);
            timeout(time_left.to_duration(), exchange).await
        };
        reservation.exchange_ended.set(true);
        let slot_time = reservation.started.map_or(Millis(0), |s| s.elapsed().into());
        match exchange {
            Ok(Ok((response, reusable))) => {
                let outcome = self.classify_response(head, response, slot_time);
                reservation.counts_in_average.set(matches!(outcome, Outcome::Answer { .. }));
                if reusable {
                    self.state.borrow_mut().idle_conns.push((conn, Instant::now()));
                }
                outcome
            }
            Ok(Err(ExchangeError::NotSent(_))) => {
                self.record_outcome(TargetOutcome::Lost);
                refused(RefusalReason::Unreachable, Millis(0))
            }
            Ok(Err(ExchangeError::Broken(_))) => {
                self.record_outcome(TargetOutcome::Lost);
                self.record_evidence(head, false, slot_time);
                Outcome::Failed(Failure::Broken)
            }
            Ok(Err(ExchangeError::BadAnswer(reason))) => {
                metrics::counter!("ibis_bad_answers_total", "reason" => reason).increment(1);
                self.record_outcome(TargetOutcome::Failed);
                self.record_evidence(head, false, slot_time);
                Outcome::Failed(Failure::BadAnswer)
            }
            Err(_) => {
                // The other idle connections may have failed as well and would lose the next calls.
                self.state.borrow_mut().idle_conns.clear();
                self.record_outcome(TargetOutcome::Lost);
                self.record_evidence(head, false, slot_time);
                Outcome::Failed(Failure::Deadline)
            }
        }
    }

    async fn wait_for_slot(
        &self,
        head: &ForwardHead,
    ) -> Result<Reservation<'_>, (RefusalReason, Millis)> {
        let now = self.clock.now();
        let (tx, rx) = oneshot::channel();
        let (id, actions) = {
            let mut state = self.state.borrow_mut();
            let is_current = state.instance.record().is_some_and(|r| r.id == head.instance);
            if !is_current {
                return Err((RefusalReason::Leaving, Millis(0)));
            }
            if state.health.is_down(now, &self.health) {
                return Err((RefusalReason::Unreachable, Millis(0)));
            }
            state.last_id += 1;
            let id = state.last_id;
            state.waiters.insert(id, tx);
            (id, state.queue.enqueue(now, ticket(id, now, head)))
        };
        self.open_calls.set(self.open_calls.get() + 1);
        let reservation = Reservation {
            target: self,
            id,
            started: None,
            counts_in_average: Cell::new(false),
            exchange_ended: Cell::new(false),
        };
        self.notify_waiters(actions);
        self.queue_changed.notify_one();
        match rx.await {
            Ok(Ok(())) => Ok(reservation),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err((RefusalReason::Leaving, Millis(0))),
        }
    }

    fn take_idle_conn(&self, repeatable: bool) -> Option<TargetConn> {
        let mut state = self.state.borrow_mut();
        while let Some((mut conn, since)) = state.idle_conns.pop() {
            if !conn.is_reusable() {
                continue;
            }
            if !repeatable && since.elapsed() > MAX_IDLE_FOR_UNSAFE {
                // Dropping the connection closes it; the caller of this function opens a new one.
                return None;
            }
            return Some(conn);
        }
        None
    }

    /// Classifies a response as usable, as a rejection, or as invalid, for example because the target did
    /// not sign it. Records the outcome.
    fn classify_response(
        &self,
        head: &ForwardHead,
        target_response: TargetResponse,
        slot_time: Millis,
    ) -> Outcome {
        let TargetResponse { head: response, body } = target_response;
        let status = response.status;
        let response_headers = &response.headers;
        if response_headers.has(headers::NOT_EXECUTED) || status == 421 {
            self.record_outcome(TargetOutcome::Failed);
            let reason =
                if status == 421 { RefusalReason::Leaving } else { RefusalReason::Rejected };
            return refused(reason, Millis(0));
        }
        let signed = response_headers.has(headers::SIGNATURE);
        // These statuses suggest that the request did not run. Without the header that proves it, a
        // request that must not run twice may have run.
        let suggests_not_run = matches!(status, 408 | 429 | 503);
        if !signed
            || response_headers.has("content-encoding")
            || (suggests_not_run && !head.repeatable)
        {
            self.record_outcome(TargetOutcome::Failed);
            self.record_evidence(head, false, slot_time);
            return Outcome::Failed(Failure::BadAnswer);
        }
        let succeeded = status < 500;
        self.record_outcome(if succeeded {
            TargetOutcome::Succeeded
        } else {
            TargetOutcome::Failed
        });
        self.record_evidence(head, succeeded, slot_time);
        let headers = response_headers.end_to_end().cloned().collect();
        let body_bytes = body.len() as u64;
        Outcome::Answer { status, headers, body, body_bytes }
    }

    /// Counts a request that was abandoned without a response as lost if it took longer than both
    /// [`HealthSettings::lost_factor`] times the average service time and
    /// [`HealthSettings::lost_least`].
    fn count_overdue_as_lost(&self, slot_time: Millis) {
        let average_ms = self.state.borrow().queue.service_ms(self.clock.now(), "");
        let lost_after_ms =
            (average_ms * self.health.lost_factor).max(self.health.lost_least.0 as f64);
        if slot_time.0 as f64 > lost_after_ms {
            self.state.borrow_mut().idle_conns.clear();
            self.record_outcome(TargetOutcome::Lost);
        }
    }

    fn record_outcome(&self, outcome: TargetOutcome) {
        let now = self.clock.now();
        self.state.borrow_mut().health.record(now, outcome, &self.health);
    }

    fn record_evidence(&self, head: &ForwardHead, succeeded: bool, slot_time: Millis) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        // Response times of a cold start do not represent the speed of the version.
        let cold = state.instance.is_cold(now);
        if state.request_row_version.is_some() && !(succeeded && cold) {
            let window = self.recent_evidence;
            state.evidence.record(now, window, &head.route, succeeded, slot_time);
        }
    }
}

fn ticket(id: u64, now: Millis, head: &ForwardHead) -> Ticket {
    Ticket {
        id,
        route: head.route.clone(),
        priority: head.priority,
        objective: Millis(now.0 + u64::from(head.aim_ms)),
        deadline: Millis(now.0 + u64::from(head.deadline_ms)),
    }
}

fn refused(reason: RefusalReason, retry_after: Millis) -> Outcome {
    Outcome::Refused { reason, retry_after_ms: u32::try_from(retry_after.0).unwrap_or(u32::MAX) }
}

fn encode_request_head(head: &ForwardHead, time_left: Millis, length: usize) -> BytesMut {
    let mut out = BytesMut::with_capacity(512);
    let deadline_ms = time_left.0.to_string();
    let own_headers: [(&str, &[u8]); 3] = [
        (headers::DEADLINE_MS, deadline_ms.as_bytes()),
        (headers::TARGET_INSTANCE, head.instance.as_str().as_bytes()),
        (headers::CALLER_SERVICE, head.caller.as_bytes()),
    ];
    let forwarded = head.headers.iter().map(|(n, v)| (n.as_str(), &v[..]));
    let bodyless = matches!(head.method.as_str(), "GET" | "HEAD" | "DELETE" | "OPTIONS");
    let length = (length > 0 || !bodyless).then_some(length);
    http1::write_request(
        &mut out,
        &head.method,
        &head.target,
        forwarded.chain(own_headers),
        length,
    );
    out
}

/// Returns the headers of a caller that are forwarded to the target: all but hop-by-hop headers and
/// those that the nodes set themselves.
pub fn forwarded_headers(headers: &http1::Headers) -> Vec<(SmolStr, Bytes)> {
    let set_by_nodes =
        [headers::DEADLINE_MS, headers::TARGET_INSTANCE, headers::CALLER_SERVICE, "expect"];
    headers
        .end_to_end()
        .filter(|(name, _)| !set_by_nodes.iter().any(|h| name.eq_ignore_ascii_case(h)))
        .cloned()
        .collect()
}
