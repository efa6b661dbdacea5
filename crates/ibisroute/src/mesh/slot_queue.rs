//! Admission queue on the node next to a target: decides which requests start, wait or are refused.
//!
//! The node is the only sender to its target, so it can count the running requests. Requests wait in
//! this queue and not at the target, because a refusal before dispatch proves that the request did not
//! run.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::types::Millis;

/// Settings of the admission queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QueueSettings {
    /// Service time that is assumed before the first response.
    pub first_service: Millis,
    /// Half-life of the average service times while no request ends. Without this decay, a target that
    /// was slow once would keep reporting a long service time and would never be selected again.
    pub forget: Millis,
    /// Weight of a new observation in the average service time, 0.0 to 1.0.
    pub estimate_weight: f64,
    /// Multiple of the average service time that must remain until a request's deadline when the
    /// request starts after a wait. Service times vary; with a factor of 1.0 half of the requests
    /// would miss their deadline.
    pub start_margin: f64,
    /// Like `start_margin`, for a request that finds a free slot. Below this margin, the slot would
    /// be used for a response that arrives too late.
    pub free_margin: f64,
    /// Multiple of the average service time that must remain until a request's latency objective
    /// for the request to be expected to meet it.
    pub aim_margin: f64,
    /// Interval, in started requests, at which the least urgent priority class with queued requests goes
    /// first, so that no class starves. 0 disables the rule.
    pub fair_turn: u32,
    /// Maximum wait of a request that will miss its latency objective, as a fraction of the time to its
    /// deadline. A refusal after a longer wait leaves the caller too little time for a retry.
    pub late_wait_share: f64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            first_service: Millis(100),
            forget: Millis(3_000),
            estimate_weight: 0.1,
            start_margin: 1.3,
            free_margin: 0.8,
            aim_margin: 1.2,
            fair_turn: 5,
            late_wait_share: 0.18,
        }
    }
}

/// A request for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Identifier, unique on the node.
    pub id: u64,
    /// Route; the queue keeps a service time for each route.
    pub route: SmolStr,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Latency objective: a response after this time is of less use to the caller.
    pub objective: Millis,
    /// Time after which the caller no longer accepts a response.
    pub deadline: Millis,
}

/// Reason why a request did not get a slot. A refused request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The expected wait leaves too little time to run the request before its deadline.
    #[display("overloaded")]
    Overloaded,
    /// The target is leaving, has left or is another incarnation.
    #[display("leaving")]
    Leaving,
    /// The target cannot be reached.
    #[display("unreachable")]
    Unreachable,
    /// The target rejected the request and confirmed that it did not run.
    #[display("rejected")]
    Rejected,
}

/// Instruction of the queue to the node, which sends requests and refusals.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the target.
    Start(u64),
    /// Refuse the request before dispatch; a retry is worthwhile after the given time.
    Refuse(u64, RefusalReason, Millis),
}

/// Load of a target that its node reports to other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that are running at the target.
    pub running: u32,
    /// Requests in the admission queue that wait for a slot.
    pub waiting: u32,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
    /// Average time that a request holds a slot, in milliseconds; 0.0 while unknown.
    pub service_ms: f32,
    /// Fraction of recent requests that the target failed or rejected, 0.0 to 1.0.
    pub failing: f32,
}

#[derive(Debug)]
struct QueuedTicket {
    ticket: Ticket,
    queued_at: Millis,
}

/// Admission queue of one target.
#[derive(Debug)]
pub struct SlotQueue {
    cfg: QueueSettings,
    slots: u32,
    /// Whether the target is leaving; no request is accepted until its next incarnation.
    leaving: bool,
    /// Whether the node is stopping; no request is accepted any more.
    stopped: bool,
    /// Route and start of each running request, by [`Ticket::id`].
    running: HashMap<u64, (SmolStr, Millis)>,
    queued: Vec<QueuedTicket>,
    /// Average service time in milliseconds of each route, and when it was last updated.
    estimates: BTreeMap<SmolStr, (f64, Millis)>,
    /// Average service time in milliseconds over all routes.
    average_ms: f64,
    /// When a service time was last observed; `None` if none was observed since the target started.
    last_observed: Option<Millis>,
    /// Number of requests started, modulo 2^32.
    start_count: u32,
}

impl SlotQueue {
    /// Creates an empty queue for a target that runs at most `slots` requests concurrently.
    pub fn new(cfg: QueueSettings, slots: u32) -> Self {
        Self {
            cfg,
            slots,
            leaving: false,
            stopped: false,
            running: HashMap::new(),
            queued: Vec::new(),
            estimates: BTreeMap::new(),
            average_ms: cfg.first_service.0 as f64,
            last_observed: None,
            start_count: 0,
        }
    }

    /// Returns the load for other nodes. The queue does not know the failure rate; the caller of this
    /// function sets `failing`.
    pub fn load(&self, now: Millis) -> Load {
        let service_ms = self.last_observed.map_or(0.0, |at| {
            let idle_time = if self.running.is_empty() { now.since(at) } else { Millis(0) };
            self.decayed(self.average_ms, idle_time)
        });
        Load {
            running: self.running.len() as u32,
            waiting: self.queued.len() as u32,
            slots: self.slots,
            service_ms: service_ms as f32,
            failing: 0.0,
        }
    }

    /// Returns the average time that a request of a route holds a slot, in milliseconds. It decays
    /// without observations: an estimate above every deadline would refuse all requests and never
    /// be corrected.
    pub fn service_ms(&self, now: Millis, route: &str) -> f64 {
        match self.estimates.get(route) {
            Some((ms, updated_at)) => self.decayed(*ms, now.since(*updated_at)),
            None => self.decayed(self.average_ms, now.since(self.last_observed.unwrap_or(now))),
        }
    }

    /// Returns the service time `ms` after a time `age` without observations; it halves once per
    /// [`QueueSettings::forget`].
    fn decayed(&self, ms: f64, age: Millis) -> f64 {
        ms * (-(age.0 as f64) / (self.cfg.forget.0 as f64).max(1.0)).exp2()
    }

    /// Returns why a request would be refused now and after which time a retry is worthwhile;
    /// `None` if it would be accepted.
    pub fn refusal(&self, now: Millis, ticket: &Ticket) -> Option<(RefusalReason, Millis)> {
        if self.is_leaving() {
            return Some((RefusalReason::Leaving, Millis(0)));
        }
        let wait_ms = self.wait_ms(now, ticket);
        let service_ms = self.service_ms(now, &ticket.route);
        let remaining_ms = ticket.deadline.since(now).0 as f64;
        let time_to_objective = ticket.objective.since(now).0 as f64;
        let meets_objective = wait_ms + service_ms * self.cfg.aim_margin <= time_to_objective;
        let margin = if wait_ms > 0.0 { self.cfg.start_margin } else { self.cfg.free_margin };
        let misses_deadline = wait_ms + service_ms * margin > remaining_ms;
        let too_late = !meets_objective && wait_ms > remaining_ms * self.cfg.late_wait_share;
        let is_refused = remaining_ms <= 0.0 || misses_deadline || too_late;
        is_refused.then(|| (RefusalReason::Overloaded, Millis(wait_ms.max(service_ms) as u64)))
    }

    /// Adds a request to the queue, or refuses it.
    pub fn enqueue(&mut self, now: Millis, ticket: Ticket) -> Vec<Action> {
        if let Some((reason, retry_after)) = self.refusal(now, &ticket) {
            return vec![Action::Refuse(ticket.id, reason, retry_after)];
        }
        self.queued.push(QueuedTicket { ticket, queued_at: now });
        self.dispatch(now)
    }

    /// Handles the end of a request. `took` is its time in the slot, or `None` if that time must not be
    /// counted in the average service time, because the target gave no usable response.
    pub fn finish(&mut self, now: Millis, id: u64, took: Option<Millis>) -> Vec<Action> {
        let Some((route, _)) = self.running.remove(&id) else { return Vec::new() };
        if let Some(took) = took {
            let took = (took.0 as f64).max(1.0);
            let weight = self.cfg.estimate_weight;
            let (estimate, updated_at) = self.estimates.entry(route).or_insert((took, now));
            *estimate += (took - *estimate) * weight;
            *updated_at = now;
            self.average_ms += (took - self.average_ms) * weight;
            if self.last_observed.is_none() {
                self.average_ms = took;
            }
            self.last_observed = Some(now);
        }
        self.dispatch(now)
    }

    /// Removes a request from the queue without refusing it, because its sender does not wait for a slot
    /// any more; does nothing if the request has started.
    pub fn cancel(&mut self, id: u64) {
        self.queued.retain(|q| q.ticket.id != id);
    }

    /// Handles a target that is leaving: refuses all queued requests; running ones continue.
    pub fn leave(&mut self) -> Vec<Action> {
        self.leaving = true;
        self.queued
            .drain(..)
            .map(|q| Action::Refuse(q.ticket.id, RefusalReason::Leaving, Millis(0)))
            .collect()
    }

    /// Handles the stop of the node like a leave, but for good: a new incarnation is not used either.
    pub fn stop(&mut self) -> Vec<Action> {
        self.stopped = true;
        self.leave()
    }

    /// Refuses all queued requests, because no connection to the target can be opened.
    pub fn refuse_all_queued(&mut self) -> Vec<Action> {
        self.queued
            .drain(..)
            .map(|q| Action::Refuse(q.ticket.id, RefusalReason::Unreachable, Millis(0)))
            .collect()
    }

    /// Handles a new incarnation of the target: discards all service time estimates, and accepts requests
    /// again after a leave.
    pub fn restart(&mut self, now: Millis, slots: u32) -> Vec<Action> {
        self.leaving = false;
        self.estimates.clear();
        self.average_ms = self.cfg.first_service.0 as f64;
        self.last_observed = None;
        self.set_slots(now, slots)
    }

    /// Applies the number of slots that the target announced.
    pub fn set_slots(&mut self, now: Millis, slots: u32) -> Vec<Action> {
        self.slots = slots.max(1);
        self.dispatch(now)
    }

    /// Returns whether requests are refused because the target is leaving or the node is stopping.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.stopped
    }

    /// Returns the number of requests that were started and have not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the route and the start of each running request.
    pub fn running_since(&self) -> impl Iterator<Item = (&SmolStr, Millis)> {
        self.running.values().map(|(route, since)| (route, *since))
    }

    /// Starts the requests that fit into free slots and refuses those that can no longer be served
    /// in time. Has to be called again at [`SlotQueue::next_check`].
    pub fn dispatch(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut queued = std::mem::take(&mut self.queued);
        let has_free_slot = self.running.len() < self.slots as usize;
        queued.retain(|queued_ticket| {
            let ticket = &queued_ticket.ticket;
            let can_still_start = now <= self.latest_start(now, queued_ticket)
                || (has_free_slot && now < ticket.deadline);
            if !can_still_start {
                let retry_after = Millis(self.average_ms as u64);
                actions.push(Action::Refuse(ticket.id, RefusalReason::Overloaded, retry_after));
            }
            can_still_start
        });
        self.queued = queued;
        while self.running.len() < self.slots as usize {
            let Some(i) = self.next_index(now) else { break };
            let ticket = self.queued.swap_remove(i).ticket;
            self.start_count = self.start_count.wrapping_add(1);
            self.running.insert(ticket.id, (ticket.route, now));
            actions.push(Action::Start(ticket.id));
        }
        actions
    }

    /// Returns when the next queued request has to be refused if it has not started; `None` when none is
    /// queued.
    pub fn next_check(&self, now: Millis) -> Option<Millis> {
        self.queued.iter().map(|q| Millis(self.latest_start(now, q).0 + 1)).min()
    }

    /// Returns the latest useful start of a queued request: the later of the last start that meets its
    /// latency objective and the end of the wait that [`QueueSettings::late_wait_share`] allows, but not
    /// after the last start that meets its deadline.
    fn latest_start(&self, now: Millis, queued: &QueuedTicket) -> Millis {
        let QueuedTicket { ticket, queued_at } = queued;
        let service_ms = self.service_ms(now, &ticket.route);
        let latest_start_for =
            |end: Millis, margin: f64| end.0.saturating_sub((service_ms * margin) as u64);
        let late_wait = ticket.deadline.since(*queued_at).0 as f64 * self.cfg.late_wait_share;
        let latest_useful_start = latest_start_for(ticket.objective, self.cfg.aim_margin)
            .max(queued_at.0 + late_wait as u64);
        Millis(latest_useful_start.min(latest_start_for(ticket.deadline, self.cfg.start_margin)))
    }

    /// Returns the index of the ticket to start next. Tickets that can still meet their latency
    /// objective come first, ordered by priority and then by objective. Every
    /// [`QueueSettings::fair_turn`]-th start, the order of the priorities is reversed.
    fn next_index(&self, now: Millis) -> Option<usize> {
        let reverse_priorities =
            self.cfg.fair_turn > 0 && self.start_count.is_multiple_of(self.cfg.fair_turn);
        let rank = |t: &Ticket| {
            let priority = i16::from(t.priority) * if reverse_priorities { -1 } else { 1 };
            (self.is_late(now, t), priority, t.objective)
        };
        (0..self.queued.len()).min_by_key(|i| rank(&self.queued[*i].ticket))
    }

    /// Returns whether a request that starts now is expected to miss its latency objective.
    fn is_late(&self, now: Millis, ticket: &Ticket) -> bool {
        let service_ms = self.service_ms(now, &ticket.route) * self.cfg.aim_margin;
        now.0 as f64 + service_ms > ticket.objective.0 as f64
    }

    /// Returns the expected wait of a new request behind the requests that would start before it.
    fn wait_ms(&self, now: Millis, ticket: &Ticket) -> f64 {
        if self.running.len() < self.slots as usize && self.queued.is_empty() {
            return 0.0;
        }
        let is_late = self.is_late(now, ticket);
        let rank = (is_late, ticket.priority, ticket.objective);
        let work_ahead_ms: f64 = self
            .queued
            .iter()
            .map(|q| &q.ticket)
            .filter(|t| (self.is_late(now, t), t.priority, t.objective) <= rank)
            .map(|t| self.service_ms(now, &t.route))
            .sum();
        // On average, one of the running requests ends every `average_ms / slots`.
        (work_ahead_ms + self.average_ms) / f64::from(self.slots.max(1))
    }
}
