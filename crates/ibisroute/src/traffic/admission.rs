//! Admission control of one target, on the target's own node: slots, queue, limits and drain.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::catalogue::model::Class;
use crate::traffic::token_bucket::TokenBucket;
use crate::types::EntryName;
use crate::types::Millis;
use crate::wire::LoadWire;
use crate::wire::RefusalWire;

/// Half-life of a service-time estimate without new samples. Without the decay, an estimate above
/// every deadline would refuse all calls and never be corrected.
const SERVICE_ESTIMATE_HALF_LIFE_MS: f64 = 1000.0;

/// Weight of a new sample in the moving average of the service time.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.2;

/// A call that requests a slot.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Identifies the call; unique per target.
    pub id: u64,
    pub entry: EntryName,
    pub class: Class,
    /// Time at which the caller stops waiting for the response.
    pub deadline: Millis,
    /// This target's part of the entry's rate limit, in calls per second.
    pub rate_per_s: f64,
    /// This target's part of the entry's concurrency limit; queued and running calls count.
    pub concurrency: u32,
}

/// Event that changes the admission state of a target.
#[derive(Clone, Debug)]
pub enum AdmissionEvent {
    /// A call arrived.
    Offer(Ticket),
    /// A running call has ended, or its connection was closed. The second field is the service
    /// time; `None` when the target did not respond.
    Finish(u64, Option<Millis>),
    /// The caller of a queued call has disconnected, or the deadline of the call has passed.
    Cancel(u64),
    /// The target is leaving: new and queued calls are refused, running ones complete.
    Drain,
    /// The target announced a new number of slots.
    Slots(u32),
}

/// Action that the dispatch thread performs after an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send the call to the target.
    Start(u64),
    /// Refuse the call, which has not run.
    Refuse(u64, RefusalWire),
    /// The target is draining and has no running call left.
    Idle,
}

/// Admission state of one entry on a target.
#[derive(Debug, Default)]
struct EntryState {
    rate_bucket: TokenBucket,
    /// Number of queued and running calls.
    active_calls: u32,
    /// Moving average of the service time; decays while there are no samples.
    service_estimate_ms: f64,
    /// Time of the last service-time sample.
    estimate_updated_at: Millis,
}

/// Admission state of one target.
#[derive(Debug)]
pub struct Admission {
    slots: u32,
    queue_per_slot: u32,
    running: BTreeMap<u64, EntryName>,
    /// Queued calls by shed rank; calls of a lower rank start first and are shed last.
    queues: [VecDeque<Ticket>; Class::ALL.len()],
    entries: BTreeMap<EntryName, EntryState>,
    draining: bool,
}

impl Admission {
    /// Creates the state of an idle target.
    pub fn new(slots: u32, queue_per_slot: u32) -> Self {
        Self {
            slots: slots.max(1),
            queue_per_slot,
            running: BTreeMap::new(),
            queues: Default::default(),
            entries: BTreeMap::new(),
            draining: false,
        }
    }

    /// Returns the number of running calls, queued calls and slots.
    pub fn load(&self) -> LoadWire {
        LoadWire {
            in_flight: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.queued_count()).unwrap_or(u32::MAX),
            slots: self.slots,
        }
    }

    /// Whether [`AdmissionEvent::Drain`] has been applied.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Applies an event and returns the actions to take.
    pub fn step(&mut self, now: Millis, event: AdmissionEvent) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        match event {
            AdmissionEvent::Offer(ticket) => self.offer(now, ticket, &mut actions),
            AdmissionEvent::Finish(id, service_time) => self.finish_call(now, id, service_time),
            AdmissionEvent::Cancel(id) => self.cancel_queued(id),
            AdmissionEvent::Slots(slots) => self.slots = slots.max(1),
            AdmissionEvent::Drain => {
                self.draining = true;
                for ticket in self.queues.iter_mut().flat_map(std::mem::take).collect::<Vec<_>>() {
                    self.refuse(&ticket, RefusalWire::Draining, &mut actions);
                }
            }
        }
        self.start_queued(now, &mut actions);
        if self.draining && self.running.is_empty() {
            actions.push(AdmissionAction::Idle);
        }
        actions
    }

    fn queued_count(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    fn offer(&mut self, now: Millis, ticket: Ticket, actions: &mut Vec<AdmissionAction>) {
        let rank_to_shed = self.rank_to_shed(&ticket);
        let refusal = if self.draining {
            Some(RefusalWire::Draining)
        } else if !self.meets_deadline(now, &ticket) {
            Some(RefusalWire::DeadlineTooShort)
        } else if rank_to_shed.is_err() {
            Some(RefusalWire::Overloaded)
        } else {
            self.apply_limits(now, &ticket)
        };
        if let Some(reason) = refusal {
            actions.push(AdmissionAction::Refuse(ticket.id, reason));
            return;
        }
        let shed_ticket = rank_to_shed.ok().flatten().and_then(|rank| self.queues[rank].pop_back());
        if let Some(shed_ticket) = shed_ticket {
            self.refuse(&shed_ticket, RefusalWire::Overloaded, actions);
        }
        self.entries.entry(ticket.entry.clone()).or_default().active_calls += 1;
        self.queues[ticket.class.shed_rank()].push_back(ticket);
    }

    /// Returns the rank of the queue whose newest call is shed in favour of `ticket`: that of the
    /// lowest queued class, if it is below the class of `ticket`. `Ok(None)` when no call needs to
    /// be shed, an error when no lower class is queued.
    fn rank_to_shed(&self, ticket: &Ticket) -> Result<Option<usize>, RefusalWire> {
        let queue_capacity = (self.slots * self.queue_per_slot) as usize;
        if self.running.len() < self.slots as usize || self.queued_count() < queue_capacity {
            return Ok(None);
        }
        let rank = ticket.class.shed_rank();
        let lowest_rank = (rank + 1..self.queues.len()).rev().find(|r| !self.queues[*r].is_empty());
        lowest_rank.map(Some).ok_or(RefusalWire::Overloaded)
    }

    /// Returns the refusal of a call that exceeds the limits of its entry; otherwise takes a token
    /// from the entry's rate limit.
    fn apply_limits(&mut self, now: Millis, ticket: &Ticket) -> Option<RefusalWire> {
        let state = self.entries.entry(ticket.entry.clone()).or_default();
        let within_limits = state.active_calls < ticket.concurrency
            && state.rate_bucket.try_take(now, ticket.rate_per_s, ticket.rate_per_s.max(1.0));
        (!within_limits).then_some(RefusalWire::LimitReached)
    }

    /// Whether the call is expected to complete before its deadline, given the calls ahead of it in
    /// the queues.
    fn meets_deadline(&self, now: Millis, ticket: &Ticket) -> bool {
        let service_ms = self.estimated_service_ms(now, &ticket.entry);
        let rank = ticket.class.shed_rank();
        let queued_ahead_ms: f64 = self.queues[..=rank]
            .iter()
            .flatten()
            .map(|t| self.estimated_service_ms(now, &t.entry))
            .sum::<f64>();
        let wait_ms = if self.running.len() < self.slots as usize {
            0.0
        } else {
            queued_ahead_ms / f64::from(self.slots)
        };
        ticket.deadline > now && now.0 as f64 + wait_ms + service_ms <= ticket.deadline.0 as f64
    }

    fn estimated_service_ms(&self, now: Millis, entry: &EntryName) -> f64 {
        let Some(state) = self.entries.get(entry) else { return 0.0 };
        let estimate_age_ms = now.since(state.estimate_updated_at).0 as f64;
        state.service_estimate_ms * (-estimate_age_ms / SERVICE_ESTIMATE_HALF_LIFE_MS).exp2()
    }

    fn finish_call(&mut self, now: Millis, id: u64, service_time: Option<Millis>) {
        let Some(entry) = self.running.remove(&id) else { return };
        self.decrement_active_calls(&entry);
        let Some(service_time) = service_time else { return };
        let state = self.entries.entry(entry).or_default();
        state.service_estimate_ms +=
            (service_time.0 as f64 - state.service_estimate_ms) * SERVICE_SAMPLE_WEIGHT;
        state.estimate_updated_at = now;
    }

    fn cancel_queued(&mut self, id: u64) {
        for rank in 0..self.queues.len() {
            let Some(i) = self.queues[rank].iter().position(|t| t.id == id) else { continue };
            if let Some(ticket) = self.queues[rank].remove(i) {
                self.decrement_active_calls(&ticket.entry);
            }
        }
    }

    fn refuse(&mut self, ticket: &Ticket, reason: RefusalWire, actions: &mut Vec<AdmissionAction>) {
        self.decrement_active_calls(&ticket.entry);
        actions.push(AdmissionAction::Refuse(ticket.id, reason));
    }

    fn decrement_active_calls(&mut self, entry: &EntryName) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.active_calls = state.active_calls.saturating_sub(1);
        }
    }

    fn start_queued(&mut self, now: Millis, actions: &mut Vec<AdmissionAction>) {
        while self.running.len() < self.slots as usize {
            let Some(ticket) = self.queues.iter_mut().find_map(VecDeque::pop_front) else { return };
            if now.0 as f64 + self.estimated_service_ms(now, &ticket.entry)
                > ticket.deadline.0 as f64
            {
                self.refuse(&ticket, RefusalWire::DeadlineTooShort, actions);
                continue;
            }
            self.running.insert(ticket.id, ticket.entry);
            actions.push(AdmissionAction::Start(ticket.id));
        }
    }
}
