//! The target beside this node: takes calls from the queue to the target and back.

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
use super::rollout;
use super::rollout::Evidence;
use super::slot_queue::Action;
use super::slot_queue::Load;
use super::slot_queue::QueueSettings;
use super::slot_queue::RefusalReason;
use super::slot_queue::SlotQueue;
use super::slot_queue::Ticket;
use super::target_conn::ExchangeError;
use super::target_conn::TargetAnswer;
use super::target_conn::TargetConn;
use super::target_health::HealthSettings;
use super::target_health::TargetHealth;
use super::target_health::TargetOutcome;
use crate::clock::Clock;
use crate::platform::headers;
use crate::types::InstanceId;
use crate::types::Millis;
use crate::types::UnixMillis;

/// Idle time of a connection up to which a request that must not run twice uses it. A target may have
/// forgotten a connection that was idle for longer, and the reset would leave open whether it ran.
const FRESH_FOR_UNSAFE: Duration = Duration::from_millis(400);

/// Time kept back from the deadline at the target, so that a late answer does not cross it.
const ANSWER_MARGIN: Millis = Millis(4);

type Admitted = Result<(), (RefusalReason, Millis)>;

struct Inner {
    instance: LocalInstance,
    queue: SlotQueue,
    health: TargetHealth,
    idle: Vec<(TargetConn, Instant)>,
    waiting: HashMap<u64, oneshot::Sender<Admitted>>,
    last_id: u64,
    order: Option<RowVersion>,
    evidence: Evidence,
}

/// The target beside this node.
pub struct LocalTarget {
    clock: Clock,
    health: HealthSettings,
    inner: RefCell<Inner>,
    queue_changed: Notify,
    calls: Cell<usize>,
}

/// A place in the queue or a slot; given back when dropped.
struct Place<'a> {
    target: &'a LocalTarget,
    id: u64,
    started: Option<Instant>,
    timed: Cell<bool>,
    ended: Cell<bool>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let now = self.target.clock.now();
        if let Some(started) = self.started.filter(|_| !self.ended.get()) {
            self.target.count_if_lost(started.elapsed().into());
        }
        let took = self.started.filter(|_| self.timed.get()).map(|s| s.elapsed().into());
        let actions = {
            let mut inner = self.target.inner.borrow_mut();
            inner.waiting.remove(&self.id);
            inner.queue.cancel(self.id);
            inner.queue.finish(now, self.id, took)
        };
        self.target.perform(actions);
        self.target.calls.set(self.target.calls.get().saturating_sub(1));
    }
}

impl LocalTarget {
    /// A target that has not been heard of yet.
    pub fn new(clock: Clock, queue: QueueSettings, health: HealthSettings) -> Rc<Self> {
        let inner = Inner {
            instance: LocalInstance::default(),
            queue: SlotQueue::new(queue, 0),
            health: TargetHealth::default(),
            idle: Vec::new(),
            waiting: HashMap::new(),
            last_id: 0,
            order: None,
            evidence: Evidence::new(),
        };
        Rc::new(Self {
            clock,
            health,
            inner: RefCell::new(inner),
            queue_changed: Notify::new(),
            calls: Cell::new(0),
        })
    }

    /// Applies a heartbeat. A target that leaves gets nothing new from this moment on.
    pub fn hear(&self, id: InstanceId, beat: Heartbeat) -> HeartbeatOutcome {
        let now = self.clock.now();
        let slots = beat.slots;
        let (change, actions) = {
            let mut inner = self.inner.borrow_mut();
            let before = inner.instance.address();
            let change = inner.instance.apply_heartbeat(now, id, beat);
            if change != HeartbeatOutcome::Stale {
                inner.health.on_heartbeat(now);
            }
            let actions = match change {
                HeartbeatOutcome::Stale | HeartbeatOutcome::Refreshed => Vec::new(),
                HeartbeatOutcome::Started => {
                    inner.health.restart(now);
                    inner.evidence.clear();
                    inner.idle.clear();
                    inner.queue.restart(now, slots)
                }
                HeartbeatOutcome::Updated => inner.queue.set_slots(now, slots),
                HeartbeatOutcome::Leaving => inner.queue.leave(),
            };
            if before != inner.instance.address() {
                inner.idle.clear();
            }
            (change, actions)
        };
        self.perform(actions);
        change
    }

    /// The target says that it goes; true when the known run is meant.
    pub fn leave(&self, id: &InstanceId, born: Option<UnixMillis>, wall: UnixMillis) -> bool {
        let actions = {
            let mut inner = self.inner.borrow_mut();
            if !inner.instance.leave(id, born, wall) {
                return false;
            }
            inner.queue.leave()
        };
        self.perform(actions);
        true
    }

    /// The node stops: nothing new is sent to the target.
    pub fn stop(&self) {
        let actions = self.inner.borrow_mut().queue.leave();
        self.perform(actions);
    }

    /// The target as it is told to others.
    pub fn record(&self) -> Option<InstanceRecord> {
        self.inner.borrow().instance.record().cloned()
    }

    /// Whether the target takes requests.
    pub fn is_available(&self) -> bool {
        let inner = self.inner.borrow();
        let now = self.clock.now();
        let ready = inner.instance.record().is_some_and(|r| r.state == LifeState::Ready);
        ready && !inner.queue.is_leaving() && !inner.health.is_down(now, &self.health)
    }

    /// Whether the target is still slow from its start.
    pub fn is_cold(&self) -> bool {
        self.inner.borrow().instance.is_cold(self.clock.now())
    }

    /// Load of the target.
    pub fn load(&self) -> Load {
        let inner = self.inner.borrow();
        let now = self.clock.now();
        let failing = inner.health.failing(now, &self.health) as f32;
        Load { failing, ..inner.queue.load(now) }
    }

    /// Calls that are here, waiting or running.
    pub fn calls(&self) -> usize {
        self.calls.get()
    }

    /// Answers since the order, for the judgement of a move.
    pub fn evidence(&self) -> Option<(RowVersion, Evidence)> {
        let inner = self.inner.borrow();
        inner.order.map(|order| (order, inner.evidence.clone()))
    }

    /// Starts to collect answers for an order; `None` ends it.
    pub fn collect(&self, order: Option<RowVersion>) {
        let mut inner = self.inner.borrow_mut();
        if inner.order != order {
            inner.order = order;
            inner.evidence.clear();
        }
    }

    /// Refuses waiting requests whose time has run out; never ends.
    pub async fn watch_queue(&self) {
        loop {
            let check = self.inner.borrow().queue.next_check(self.clock.now());
            let changed = self.queue_changed.notified();
            match check {
                None => changed.await,
                Some(at) => {
                    let wait = at.since(self.clock.now()).to_duration();
                    tokio::select! {
                        () = changed => {}
                        () = tokio::time::sleep(wait) => {}
                    }
                }
            }
            let actions = self.inner.borrow_mut().queue.fill(self.clock.now());
            self.perform(actions);
        }
    }

    fn perform(&self, actions: Vec<Action>) {
        for action in actions {
            let (id, admitted) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse(id, reason, back) => (id, Err((reason, back))),
            };
            let tx = self.inner.borrow_mut().waiting.remove(&id);
            // A waiter that has gone gives its place back when it is dropped.
            let _ = tx.map(|tx| tx.send(admitted));
        }
    }

    /// Refuses a call from its head alone, before its long body is sent.
    pub fn refuse_early(&self, head: &ForwardHead) -> Option<Outcome> {
        let now = self.clock.now();
        let inner = self.inner.borrow();
        if inner.instance.record().is_none_or(|r| r.id != head.instance) {
            return Some(refused(RefusalReason::Leaving, Millis(0)));
        }
        if inner.health.is_down(now, &self.health) {
            return Some(refused(RefusalReason::Unreachable, Millis(0)));
        }
        let (reason, back) = inner.queue.refusal(now, &ticket(0, now, head))?;
        Some(refused(reason, back))
    }

    /// The refusal of a call that found no room.
    pub fn overloaded(&self) -> Outcome {
        let service = self.inner.borrow().queue.service_ms(self.clock.now(), "");
        refused(RefusalReason::Overloaded, Millis(service as u64))
    }

    /// Serves a call: waits for a slot, sends it to the target and returns the whole answer. A refusal
    /// is proof that the call did not run.
    pub async fn call(&self, head: ForwardHead, body: Bytes) -> (Outcome, Load) {
        let outcome = self.serve(&head, body).await;
        (outcome, self.load())
    }

    async fn serve(&self, head: &ForwardHead, body: Bytes) -> Outcome {
        let began = Instant::now();
        let deadline = began + Millis(u64::from(head.deadline_ms)).to_duration();
        let mut place = match self.admit(head).await {
            Ok(place) => place,
            Err((reason, back)) => return refused(reason, back),
        };
        place.started = Some(Instant::now());
        // The run may have changed while the call waited.
        let address = {
            let inner = self.inner.borrow();
            let same = inner.instance.record().is_some_and(|r| r.id == head.instance);
            inner.instance.address().filter(|_| same)
        };
        let Some(address) = address else { return refused(RefusalReason::Leaving, Millis(0)) };
        let mut conn = match self.take_idle(head.repeatable) {
            Some(conn) => conn,
            None => match TargetConn::open(address).await {
                Ok(conn) => conn,
                Err(_) => {
                    self.count(TargetOutcome::ConnectionRefused);
                    let actions = self.inner.borrow_mut().queue.return_undispatched();
                    self.perform(actions);
                    return refused(RefusalReason::Unreachable, Millis(0));
                }
            },
        };
        let left = Millis::from(deadline.saturating_duration_since(Instant::now()));
        if left <= ANSWER_MARGIN {
            return refused(RefusalReason::Overloaded, Millis(0));
        }
        let request = request_bytes(head, left, body.len());
        let written = Cell::new(false);
        let exchange = {
            let exchange = conn.exchange(&head.method, &head.request_id, &request, &body, &written);
            let exchange = std::pin::pin!(exchange);
            timeout(left.to_duration(), exchange).await
        };
        place.ended.set(true);
        let took = place.started.map_or(Millis(0), |s| s.elapsed().into());
        match exchange {
            Ok(Ok((answer, reusable))) => {
                let outcome = self.judge(head, answer, took);
                place.timed.set(matches!(outcome, Outcome::Answer { .. }));
                if reusable {
                    self.inner.borrow_mut().idle.push((conn, Instant::now()));
                }
                outcome
            }
            Ok(Err(ExchangeError::NotSent(_))) => {
                self.count(TargetOutcome::Lost);
                refused(RefusalReason::Unreachable, Millis(0))
            }
            Ok(Err(ExchangeError::Broken(_))) => {
                self.count(TargetOutcome::Lost);
                self.record_evidence(head, false, took);
                Outcome::Failed(Failure::Broken)
            }
            Ok(Err(ExchangeError::BadAnswer(_))) => {
                self.count(TargetOutcome::Failed);
                self.record_evidence(head, false, took);
                Outcome::Failed(Failure::BadAnswer)
            }
            Err(_) => {
                // Other connections that went silent with this one would lose the next calls.
                self.inner.borrow_mut().idle.clear();
                self.count(TargetOutcome::Lost);
                self.record_evidence(head, false, took);
                Outcome::Failed(Failure::Deadline)
            }
        }
    }

    async fn admit(&self, head: &ForwardHead) -> Result<Place<'_>, (RefusalReason, Millis)> {
        let now = self.clock.now();
        let (tx, rx) = oneshot::channel();
        let (id, actions) = {
            let mut inner = self.inner.borrow_mut();
            let known = inner.instance.record().is_some_and(|r| r.id == head.instance);
            if !known {
                return Err((RefusalReason::Leaving, Millis(0)));
            }
            if inner.health.is_down(now, &self.health) {
                return Err((RefusalReason::Unreachable, Millis(0)));
            }
            inner.last_id += 1;
            let id = inner.last_id;
            inner.waiting.insert(id, tx);
            (id, inner.queue.offer(now, ticket(id, now, head)))
        };
        self.calls.set(self.calls.get() + 1);
        let place = Place {
            target: self,
            id,
            started: None,
            timed: Cell::new(false),
            ended: Cell::new(false),
        };
        self.perform(actions);
        self.queue_changed.notify_one();
        match rx.await {
            Ok(Ok(())) => Ok(place),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err((RefusalReason::Leaving, Millis(0))),
        }
    }

    fn take_idle(&self, repeatable: bool) -> Option<TargetConn> {
        let mut inner = self.inner.borrow_mut();
        while let Some((mut conn, since)) = inner.idle.pop() {
            if !conn.is_fresh() {
                continue;
            }
            if !repeatable && since.elapsed() > FRESH_FOR_UNSAFE {
                // The new connection takes the place of this one.
                return None;
            }
            return Some(conn);
        }
        None
    }

    /// Tells a usable answer from a rejection and from bytes that are not the target's answer.
    fn judge(&self, head: &ForwardHead, answer: TargetAnswer, took: Millis) -> Outcome {
        let TargetAnswer { head: response, body } = answer;
        let status = response.status;
        let found = &response.headers;
        if found.has(headers::NOT_EXECUTED) || status == 421 {
            self.count(TargetOutcome::Failed);
            let reason =
                if status == 421 { RefusalReason::Leaving } else { RefusalReason::Rejected };
            return refused(reason, Millis(0));
        }
        let signed = found.has(headers::SIGNATURE);
        // Statuses that promise that nothing ran count only with the target's own proof of it.
        let promise = matches!(status, 408 | 429 | 503);
        if !signed || found.has("content-encoding") || (promise && !head.repeatable) {
            self.count(TargetOutcome::Failed);
            self.record_evidence(head, false, took);
            return Outcome::Failed(Failure::BadAnswer);
        }
        let good = status < 500;
        self.count(if good { TargetOutcome::Succeeded } else { TargetOutcome::Failed });
        self.record_evidence(head, good, took);
        let headers = found.end_to_end().cloned().collect();
        let body_bytes = body.len() as u64;
        Outcome::Answer { status, headers, body, body_bytes }
    }

    /// Counts a request that was given up without an answer as lost if it took very long.
    fn count_if_lost(&self, took: Millis) {
        let usual = self.inner.borrow().queue.service_ms(self.clock.now(), "");
        let lost = (usual * self.health.lost_factor).max(self.health.lost_least.0 as f64);
        if took.0 as f64 > lost {
            self.inner.borrow_mut().idle.clear();
            self.count(TargetOutcome::Lost);
        }
    }

    fn count(&self, ended: TargetOutcome) {
        let now = self.clock.now();
        self.inner.borrow_mut().health.record(now, ended, &self.health);
    }

    fn record_evidence(&self, head: &ForwardHead, good: bool, took: Millis) {
        let now = self.clock.now();
        let mut inner = self.inner.borrow_mut();
        // A cold start says nothing of the version's speed.
        let cold = inner.instance.is_cold(now);
        if inner.order.is_some() && !(good && cold) {
            rollout::record_response(&mut inner.evidence, &head.route, good, took);
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

fn refused(reason: RefusalReason, back: Millis) -> Outcome {
    Outcome::Refused { reason, retry_after_ms: u32::try_from(back.0).unwrap_or(u32::MAX) }
}

fn request_bytes(head: &ForwardHead, left: Millis, length: usize) -> BytesMut {
    let mut out = BytesMut::with_capacity(512);
    let left = left.0.to_string();
    let own: [(&str, &[u8]); 3] = [
        (headers::DEADLINE_MS, left.as_bytes()),
        (headers::TARGET_INSTANCE, head.instance.as_str().as_bytes()),
        (headers::CALLER_SERVICE, head.caller.as_bytes()),
    ];
    let passed = head.headers.iter().map(|(n, v)| (n.as_str(), &v[..]));
    let bodyless = matches!(head.method.as_str(), "GET" | "HEAD" | "DELETE" | "OPTIONS");
    let length = (length > 0 || !bodyless).then_some(length);
    http1::write_request(&mut out, &head.method, &head.target, passed.chain(own), length);
    out
}

/// Headers of a caller that travel to the target: those of one connection and those that the nodes set
/// themselves stay behind.
pub fn forwarded_headers(headers: &http1::Headers) -> Vec<(SmolStr, Bytes)> {
    let own = [headers::DEADLINE_MS, headers::TARGET_INSTANCE, headers::CALLER_SERVICE, "expect"];
    headers
        .end_to_end()
        .filter(|(name, _)| !own.iter().any(|o| name.eq_ignore_ascii_case(o)))
        .cloned()
        .collect()
}
