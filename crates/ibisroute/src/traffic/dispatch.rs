//! The dispatch thread: admits calls to the local targets and sends the admitted ones.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use super::admission::Admission;
use super::admission::AdmissionAction;
use super::admission::AdmissionEvent;
use super::admission::Ticket;
use super::call::BodyWriter;
use super::call::CallJob;
use super::call::CallReply;
use super::call::body_stream;
use super::headers;
use super::target_client::SendFailure;
use super::target_client::TargetBody;
use super::target_client::TargetClient;
use super::traffic_settings::TrafficSettings;
use crate::catalogue::model::Entry;
use crate::events;
use crate::events::traffic;
use crate::node::control_handle::ControlHandle;
use crate::node::control_handle::ControlWork;
use crate::snapshot::Snapshot;
use crate::types::InstanceId;
use crate::types::Millis;
use crate::types::ServiceName;
use crate::types::VersionName;
use crate::wire::CallHead;
use crate::wire::LoadWire;
use crate::wire::RefusalWire;
use crate::wire::ReplyHead;

/// A local target, which receives its calls through this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalTarget {
    /// Identifies one incarnation of the target; changes with each restart.
    pub instance: InstanceId,
    pub service: ServiceName,
    pub version: VersionName,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Maximum number of calls that it runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that it accepts; also limits the concurrent calls.
    pub connections: u32,
}

/// Message to the dispatch thread.
#[derive(Debug)]
pub(super) enum DispatchWork {
    Call(CallJob),
    /// Adds a target, or changes its slots and connections.
    Upsert(LocalTarget),
    Drain(InstanceId),
    /// Drains a target and removes it when it is idle.
    Remove(InstanceId),
    /// Drains all targets, and those that are added later.
    DrainAll,
    Loads(oneshot::Sender<BTreeMap<InstanceId, LoadWire>>),
    /// Replies when no call is in flight.
    Idle(oneshot::Sender<()>),
    Stop,
}

/// Sends messages to the dispatch thread. They are ignored after the thread has ended.
#[derive(Clone, Debug)]
pub struct DispatchHandle {
    pub(super) tx: mpsc::UnboundedSender<DispatchWork>,
}

impl DispatchHandle {
    /// Adds a target, or changes its slots and connections. A draining target remains draining.
    pub fn upsert(&self, target: LocalTarget) {
        self.send(DispatchWork::Upsert(target));
    }

    /// Stops new calls to a target. [`ControlWork::TargetIdle`] is sent when none is in flight.
    pub fn drain(&self, instance: InstanceId) {
        self.send(DispatchWork::Drain(instance));
    }

    /// Drains a target and removes it when no call is in flight.
    pub fn remove(&self, instance: InstanceId) {
        self.send(DispatchWork::Remove(instance));
    }

    /// Returns the loads of the local targets; empty when the thread has ended.
    pub async fn loads(&self) -> BTreeMap<InstanceId, LoadWire> {
        let (reply_tx, reply_rx) = oneshot::channel();
        self.send(DispatchWork::Loads(reply_tx));
        reply_rx.await.unwrap_or_default()
    }

    /// Sends a call to a local target; `false` when the thread has ended.
    pub(super) fn call(&self, job: CallJob) -> bool {
        self.tx.send(DispatchWork::Call(job)).is_ok()
    }

    pub(super) fn send(&self, work: DispatchWork) {
        // Fails only when the node stops, after the end of the thread.
        let _ = self.tx.send(work);
    }
}

/// A local target with its connections and its admission state.
struct Target {
    local: LocalTarget,
    client: Rc<TargetClient>,
    admission: Admission,
    /// Channels to the calls that wait for a slot, by the id of their ticket.
    waiters: HashMap<u64, oneshot::Sender<Result<(), RefusalWire>>>,
    /// Whether the target accepts connections, as last reported to the control thread.
    reachable: bool,
    /// Whether [`ControlWork::TargetIdle`] has been sent.
    idle_reported: bool,
    /// Whether the target is to be removed when it is idle.
    remove_when_idle: bool,
}

/// State of the dispatch thread.
pub(super) struct Dispatcher {
    settings: TrafficSettings,
    snapshot: Arc<ArcSwap<Snapshot>>,
    control: ControlHandle,
    started_at: Instant,
    targets: RefCell<BTreeMap<SmolStr, Target>>,
    last_ticket_id: Cell<u64>,
    /// Number of calls whose tasks have not ended.
    calls_in_flight: Cell<usize>,
    /// Notified when `calls_in_flight` becomes 0.
    became_idle: Notify,
    /// Whether all targets drain, including those that are added from now on.
    draining: Cell<bool>,
}

/// Counts a call until its task has ended, including the copy of the response body.
struct CallGuard(Rc<Dispatcher>);

impl CallGuard {
    fn new(dispatcher: Rc<Dispatcher>) -> Self {
        dispatcher.calls_in_flight.set(dispatcher.calls_in_flight.get() + 1);
        metrics::gauge!("ibis_dispatch_in_flight").increment(1.0);
        Self(dispatcher)
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        metrics::gauge!("ibis_dispatch_in_flight").decrement(1.0);
        let calls_left = self.0.calls_in_flight.get().saturating_sub(1);
        self.0.calls_in_flight.set(calls_left);
        if calls_left == 0 {
            self.0.became_idle.notify_waiters();
        }
    }
}

/// A place in the queue or a slot of a target; released on drop. Must be dropped after the call's
/// connection has been closed or returned to the idle connections; otherwise the target could
/// receive more calls than it has slots.
struct SlotGuard {
    dispatcher: Rc<Dispatcher>,
    instance: SmolStr,
    /// Id of the call's ticket.
    id: u64,
    /// Time at which the call was sent to the target; `None` while it is queued.
    sent_at: Cell<Option<Instant>>,
    /// Whether the time since `sent_at` is recorded as a service time of the target.
    records_service_time: Cell<bool>,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let service_time = self
            .sent_at
            .get()
            .filter(|_| self.records_service_time.get())
            .map(|t| t.elapsed().into());
        self.dispatcher.step(&self.instance, AdmissionEvent::Cancel(self.id));
        self.dispatcher.step(&self.instance, AdmissionEvent::Finish(self.id, service_time));
    }
}

/// A reply that has not been sent, with the target's response body, which is copied to the reply's
/// body after the head has been sent.
struct PendingReply {
    reply: CallReply,
    // Dropped before the slot, so that the connection closes first.
    body: Option<(TargetBody, BodyWriter)>,
    _slot_guard: Option<SlotGuard>,
}

impl Dispatcher {
    pub(super) fn new(
        settings: TrafficSettings,
        snapshot: Arc<ArcSwap<Snapshot>>,
        control: ControlHandle,
    ) -> Rc<Self> {
        Rc::new(Self {
            settings,
            snapshot,
            control,
            started_at: Instant::now(),
            targets: RefCell::default(),
            last_ticket_id: Cell::new(0),
            calls_in_flight: Cell::new(0),
            became_idle: Notify::new(),
            draining: Cell::new(false),
        })
    }

    /// Handles messages until [`DispatchWork::Stop`].
    pub(super) async fn run(self: Rc<Self>, mut rx: mpsc::UnboundedReceiver<DispatchWork>) {
        while let Some(work) = rx.recv().await {
            match work {
                DispatchWork::Call(job) => self.clone().start_call(job),
                DispatchWork::Upsert(target) => self.upsert(target),
                DispatchWork::Drain(instance) => self.drain(instance.as_str(), false),
                DispatchWork::Remove(instance) => self.drain(instance.as_str(), true),
                DispatchWork::DrainAll => {
                    self.draining.set(true);
                    let instances: Vec<SmolStr> = self.targets.borrow().keys().cloned().collect();
                    instances.iter().for_each(|i| self.drain(i, false));
                }
                DispatchWork::Loads(reply_tx) => {
                    let targets = self.targets.borrow();
                    let loads =
                        targets.values().map(|t| (t.local.instance.clone(), t.admission.load()));
                    // Fails when the requester no longer waits.
                    let _ = reply_tx.send(loads.collect());
                }
                DispatchWork::Idle(reply_tx) => {
                    let dispatcher = self.clone();
                    actix_rt::spawn(async move {
                        dispatcher.wait_idle().await;
                        // Fails when the requester no longer waits.
                        let _ = reply_tx.send(());
                    });
                }
                DispatchWork::Stop => return,
            }
        }
    }

    /// Starts a call; never blocks.
    pub(super) fn start_call(self: Rc<Self>, job: CallJob) {
        let guard = CallGuard::new(self.clone());
        actix_rt::spawn(async move {
            let _guard = guard;
            self.run_call(job).await;
        });
    }

    async fn wait_idle(&self) {
        loop {
            let became_idle = self.became_idle.notified();
            if self.calls_in_flight.get() == 0 {
                return;
            }
            became_idle.await;
        }
    }

    fn now(&self) -> Millis {
        self.started_at.elapsed().into()
    }

    fn upsert(&self, local: LocalTarget) {
        let slots = local.slots.min(local.connections).max(1);
        let key = SmolStr::from(local.instance.clone());
        let mut targets = self.targets.borrow_mut();
        let existing_target = targets.get_mut(&key).filter(|t| t.local.address == local.address);
        if let Some(target) = existing_target {
            target.local = local;
            drop(targets);
            return self.step(&key, AdmissionEvent::Slots(slots));
        }
        let target = Target {
            client: Rc::new(TargetClient::new(local.address, self.settings)),
            admission: Admission::new(slots, self.settings.queue_per_slot),
            waiters: HashMap::new(),
            reachable: true,
            idle_reported: false,
            remove_when_idle: false,
            local,
        };
        targets.insert(key.clone(), target);
        drop(targets);
        if self.draining.get() {
            self.drain(&key, false);
        }
    }

    /// Drains a target; with `remove`, also removes it once it is idle.
    fn drain(&self, instance: &str, remove: bool) {
        if let Some(target) = self.targets.borrow_mut().get_mut(instance) {
            target.remove_when_idle |= remove;
        }
        self.step(instance, AdmissionEvent::Drain);
    }

    /// Applies an admission event and performs the resulting actions.
    fn step(&self, instance: &str, event: AdmissionEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut targets = self.targets.borrow_mut();
            let Some(target) = targets.get_mut(instance) else { return };
            for action in target.admission.step(self.now(), event) {
                match action {
                    AdmissionAction::Start(id) => {
                        let call_started =
                            target.waiters.remove(&id).is_some_and(|w| w.send(Ok(())).is_ok());
                        if !call_started {
                            events.push(AdmissionEvent::Finish(id, None));
                        }
                    }
                    AdmissionAction::Refuse(id, reason) => {
                        if let Some(waiter) = target.waiters.remove(&id) {
                            // Fails when the call has been abandoned.
                            let _ = waiter.send(Err(reason));
                        }
                    }
                    AdmissionAction::Idle => {
                        if !std::mem::replace(&mut target.idle_reported, true) {
                            let idle_message =
                                ControlWork::TargetIdle(target.local.instance.clone());
                            // Fails only when the node stops, after the end of the control thread.
                            let _ = self.control.send(idle_message);
                        }
                    }
                }
            }
            let can_remove = target.remove_when_idle && target.idle_reported;
            if can_remove {
                targets.remove(instance);
            }
        }
    }

    async fn run_call(self: Rc<Self>, job: CallJob) {
        let CallJob { head, body, mut reply_tx } = job;
        let deadline = Instant::now() + Duration::from_millis(head.deadline_ms);
        let pending_reply = tokio::select! {
            biased;
            () = reply_tx.closed() => return,
            pending_reply = self.serve(&head, body, deadline) => pending_reply,
        };
        // Bindings are dropped in reverse order, so that the connection closes before the slot is
        // released.
        let PendingReply { _slot_guard, body, reply: call_reply } = pending_reply;
        if reply_tx.send(call_reply).is_err() {
            return;
        }
        let Some((mut body, writer)) = body else { return };
        let body_complete = tokio::select! {
            biased;
            () = writer.closed() => false,
            () = sleep_until(deadline.into()) => false,
            body_complete = copy_body(&mut body, &writer) => body_complete,
        };
        drop(body);
        if let Some(slot_guard) = &_slot_guard {
            slot_guard.records_service_time.set(body_complete);
        }
        drop(_slot_guard);
        if body_complete {
            writer.end().await;
        }
    }

    /// Admits a call, sends it to its target and waits for the head of the response.
    async fn serve(
        self: &Rc<Self>,
        head: &CallHead,
        body: super::call::CallBody,
        deadline: Instant,
    ) -> PendingReply {
        let slot_guard = match self.admit(head, deadline).await {
            Ok(slot_guard) => slot_guard,
            Err(reason) => return self.refusal_reply(head, reason),
        };
        let client = self.targets.borrow().get(&head.instance).map(|t| t.client.clone());
        let Some(client) = client else { return self.refusal_reply(head, RefusalWire::TargetGone) };
        let sent_at = Instant::now();
        slot_guard.sent_at.set(Some(sent_at));
        let time_left = deadline.saturating_duration_since(sent_at);
        let extra_headers = [
            (headers::REQUEST_ID, head.request_id.to_string()),
            (headers::DEADLINE, time_left.as_millis().to_string()),
            (headers::DEPTH, head.depth.saturating_add(1).to_string()),
        ];
        let request_written = Cell::new(false);
        let send_result =
            timeout_at(deadline.into(), client.send(head, &extra_headers, body, &request_written))
                .await;
        slot_guard.records_service_time.set(request_written.get());
        let response = match send_result {
            Ok(Ok(response)) => response,
            Ok(Err(SendFailure { request_written: false, reason })) => {
                self.update_reachability(&head.instance, Some(&reason));
                drop(slot_guard);
                return self.refusal_reply(head, RefusalWire::Unreachable);
            }
            Ok(Err(SendFailure { reason, .. })) => {
                slot_guard.records_service_time.set(false);
                drop(slot_guard);
                return self.failure_reply(head, reason);
            }
            Err(_) if !request_written.get() => {
                drop(slot_guard);
                return self.refusal_reply(head, RefusalWire::Unreachable);
            }
            Err(_) => {
                drop(slot_guard);
                return self.failure_reply(
                    head,
                    "no answer of the target before the deadline".to_string(),
                );
            }
        };
        self.update_reachability(&head.instance, None);
        let mut response_headers = response.headers;
        // Only a node's own refusal proves that a request did not run. A target may forward the
        // response of another service, with a header that applies to that service only.
        response_headers.retain(|(name, _)| !name.eq_ignore_ascii_case(headers::OUTCOME));
        let service_micros = sent_at.elapsed().as_micros().to_string();
        response_headers
            .push((SmolStr::new_static(headers::SERVICE_MICROS), service_micros.into_bytes()));
        let (writer, _, reader) = body_stream();
        let reply = ReplyHead::Answer {
            request_id: head.request_id.clone(),
            status: response.status,
            headers: response_headers,
            body_bytes: response.body_bytes,
            load: self.load(&head.instance),
        };
        PendingReply {
            reply: CallReply { head: reply, body: Some(reader) },
            body: Some((response.body, writer)),
            _slot_guard: Some(slot_guard),
        }
    }

    /// Queues a call for its target, and waits for a slot at most until the deadline.
    async fn admit(
        self: &Rc<Self>,
        head: &CallHead,
        deadline: Instant,
    ) -> Result<SlotGuard, RefusalWire> {
        let snapshot = self.snapshot.load_full();
        let config = snapshot.config.as_ref().ok_or(RefusalWire::EntryUnknown)?;
        let entry = config.entry(&head.entry).ok_or(RefusalWire::EntryUnknown)?;
        let target_count = snapshot
            .endpoints
            .services
            .get(&entry.service)
            .map_or(1, |s| s.recent_target_count.max(1));
        let id = self.last_ticket_id.get() + 1;
        self.last_ticket_id.set(id);
        let (tx, rx) = oneshot::channel();
        {
            let mut targets = self.targets.borrow_mut();
            let target = targets.get_mut(&head.instance).ok_or(RefusalWire::TargetGone)?;
            if target.local.service != entry.service {
                return Err(RefusalWire::EntryUnknown);
            }
            target.waiters.insert(id, tx);
        }
        let slot_guard = SlotGuard {
            dispatcher: self.clone(),
            instance: head.instance.clone(),
            id,
            sent_at: Cell::new(None),
            records_service_time: Cell::new(false),
        };
        let wait_started = Instant::now();
        self.step(
            &head.instance,
            AdmissionEvent::Offer(self.ticket(id, entry, target_count, deadline)),
        );
        let admission_result = timeout_at(deadline.into(), rx).await;
        metrics::histogram!("ibis_admission_wait_seconds")
            .record(wait_started.elapsed().as_secs_f64());
        match admission_result {
            Ok(Ok(Ok(()))) => Ok(slot_guard),
            Ok(Ok(Err(reason))) => Err(reason),
            Ok(Err(_)) => Err(RefusalWire::TargetGone),
            Err(_) => Err(RefusalWire::DeadlineTooShort),
        }
    }

    fn ticket(&self, id: u64, entry: &Entry, target_count: u32, deadline: Instant) -> Ticket {
        Ticket {
            id,
            entry: entry.name.clone(),
            class: entry.class,
            deadline: deadline.saturating_duration_since(self.started_at).into(),
            rate_per_s: entry.limits.rate.0 / f64::from(target_count),
            concurrency: entry.limits.concurrency.div_ceil(target_count).max(1),
        }
    }

    fn load(&self, instance: &str) -> LoadWire {
        self.targets.borrow().get(instance).map(|t| t.admission.load()).unwrap_or_default()
    }

    fn refusal_reply(&self, head: &CallHead, reason: RefusalWire) -> PendingReply {
        let load = self.load(&head.instance);
        let head = ReplyHead::Refused { request_id: head.request_id.clone(), reason, load };
        PendingReply { reply: CallReply { head, body: None }, body: None, _slot_guard: None }
    }

    fn failure_reply(&self, head: &CallHead, reason: String) -> PendingReply {
        let load = self.load(&head.instance);
        let head =
            ReplyHead::Failed { request_id: head.request_id.clone(), reason: reason.into(), load };
        PendingReply { reply: CallReply { head, body: None }, body: None, _slot_guard: None }
    }

    /// Reports a change of a target's reachability. `failure` is the error of a failed connection;
    /// `None` means that the target responded.
    fn update_reachability(&self, instance: &str, failure: Option<&str>) {
        let mut targets = self.targets.borrow_mut();
        let Some(target) = targets.get_mut(instance) else { return };
        let reachable = failure.is_none();
        if std::mem::replace(&mut target.reachable, reachable) == reachable {
            return;
        }
        match failure {
            Some(e) => {
                events::emit(&traffic::TARGET_UNREACHABLE, format_args!("{instance}: {e}"));
            }
            None => events::emit(&traffic::TARGET_REACHABLE, format_args!("{instance}")),
        }
        let instance = target.local.instance.clone();
        // Fails only when the node stops, after the end of the control thread.
        let _ = self.control.send(ControlWork::TargetReachabilityChanged { instance, reachable });
    }
}

/// Copies a response body; returns whether all of it was copied.
async fn copy_body(body: &mut TargetBody, writer: &BodyWriter) -> bool {
    loop {
        match body.next().await {
            Some(Ok(data)) => {
                if !writer.send(data).await {
                    return false;
                }
            }
            Some(Err(_)) => return false,
            None => return true,
        }
    }
}
