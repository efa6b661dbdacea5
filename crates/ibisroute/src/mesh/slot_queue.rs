//! Admission at the node beside a target: who starts, who waits and who is refused.
//!
//! The node is the only sender to its target, so it knows how many requests run. Requests wait here
//! and not at the target, because a hand-back from here is proof that nothing ran.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::types::Millis;

/// Settings of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QueueSettings {
    /// Service time that is assumed before the first answer.
    pub first_service: Millis,
    /// Half-life of the service time that is told to others while no request ends. A target that was
    /// slow once would otherwise never be tried again.
    pub forget: Millis,
    /// Weight of a new observation in the average service time.
    pub estimate_weight: f64,
    /// Multiple of the average service time that a request must have left when it starts. Service
    /// times scatter; with the bare average half of the requests would miss their deadline.
    pub start_margin: f64,
    /// The same for a request that finds a free slot: below it, the slot would work for nobody.
    pub free_margin: f64,
    /// Multiple of the average service time that a request must have left before its aim to count as
    /// in time.
    pub aim_margin: f64,
    /// Every n-th start goes to the least urgent class that waits, so that no class starves.
    pub fair_turn: u32,
    /// Share of its remaining time that a request without hope for its aim may wait. A refusal after
    /// that leaves the caller too little time for another try.
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

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Identity, unique on the node.
    pub id: u64,
    /// Route; service times are kept for each.
    pub route: SmolStr,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// An answer after this point is of less use.
    pub aim: Millis,
    /// An answer after this point is of no use.
    pub deadline: Millis,
}

/// Why a request did not get a slot. It did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The wait would leave too little time.
    #[display("overloaded")]
    Overloaded,
    /// The target leaves, has gone or is another run.
    #[display("leaving")]
    Leaving,
    /// The target could not be reached.
    #[display("unreachable")]
    Unreachable,
    /// The target rejected the request and says so.
    #[display("rejected")]
    Rejected,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the target.
    Start(u64),
    /// Hand the request back; it may come again after the time.
    Refuse(u64, RefusalReason, Millis),
}

/// What the node tells others of its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at a time.
    pub slots: u32,
    /// Average time that a request holds a slot, in milliseconds.
    pub service_ms: f32,
    /// Share of recent requests that the target failed or rejected, 0.0 to 1.0.
    pub failing: f32,
}

/// A request that waits.
#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    since: Millis,
}

/// The queue of one target.
#[derive(Debug)]
pub struct SlotQueue {
    cfg: QueueSettings,
    slots: u32,
    leaving: bool,
    running: HashMap<u64, SmolStr>,
    waiting: Vec<Waiting>,
    /// Service time of each route and when it was last observed.
    estimates: BTreeMap<SmolStr, (f64, Millis)>,
    average_ms: f64,
    /// When the last service time was observed; absent for a run without one.
    observed: Option<Millis>,
    starts: u32,
}

impl SlotQueue {
    /// An empty queue.
    pub fn new(cfg: QueueSettings, slots: u32) -> Self {
        Self {
            cfg,
            slots,
            leaving: false,
            running: HashMap::new(),
            waiting: Vec::new(),
            estimates: BTreeMap::new(),
            average_ms: cfg.first_service.0 as f64,
            observed: None,
            starts: 0,
        }
    }

    /// Counts for other nodes; the failing share is the caller's to fill in. The service time is zero
    /// while it is not known.
    pub fn load(&self, now: Millis) -> Load {
        let service_ms = self.observed.map_or(0.0, |at| {
            let idle = if self.running.is_empty() { now.since(at) } else { Millis(0) };
            self.faded(self.average_ms, idle)
        });
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: self.slots,
            service_ms: service_ms as f32,
            failing: 0.0,
        }
    }

    /// Average time that a request of a route holds a slot. It fades without observations: an estimate
    /// above every deadline would refuse all requests and never be corrected.
    pub fn service_ms(&self, now: Millis, route: &str) -> f64 {
        match self.estimates.get(route) {
            Some((ms, at)) => self.faded(*ms, now.since(*at)),
            None => self.faded(self.average_ms, now.since(self.observed.unwrap_or(now))),
        }
    }

    fn faded(&self, ms: f64, age: Millis) -> f64 {
        ms * (-(age.0 as f64) / (self.cfg.forget.0 as f64).max(1.0)).exp2()
    }

    /// Why a request would be refused now, and after which time it may come again.
    pub fn refusal(&self, now: Millis, ticket: &Ticket) -> Option<(RefusalReason, Millis)> {
        if self.leaving {
            return Some((RefusalReason::Leaving, Millis(0)));
        }
        let wait = self.wait_ms(now, ticket);
        let service = self.service_ms(now, &ticket.route);
        let left = ticket.deadline.since(now).0 as f64;
        let to_aim = ticket.aim.since(now).0 as f64;
        let in_time = wait + service * self.cfg.aim_margin <= to_aim;
        let margin = if wait > 0.0 { self.cfg.start_margin } else { self.cfg.free_margin };
        let hopeless = wait + service * margin > left;
        let too_late = !in_time && wait > left * self.cfg.late_wait_share;
        let refused = left <= 0.0 || hopeless || too_late;
        refused.then(|| (RefusalReason::Overloaded, Millis(wait.max(service) as u64)))
    }

    /// Offers a request.
    pub fn offer(&mut self, now: Millis, ticket: Ticket) -> Vec<Action> {
        if let Some((reason, back)) = self.refusal(now, &ticket) {
            return vec![Action::Refuse(ticket.id, reason, back)];
        }
        self.waiting.push(Waiting { ticket, since: now });
        self.fill(now)
    }

    /// A request has ended. The time is absent when it tells nothing of the target's speed.
    pub fn finish(&mut self, now: Millis, id: u64, took: Option<Millis>) -> Vec<Action> {
        let Some(route) = self.running.remove(&id) else { return Vec::new() };
        if let Some(took) = took {
            let took = (took.0 as f64).max(1.0);
            let weight = self.cfg.estimate_weight;
            let (estimate, at) = self.estimates.entry(route).or_insert((took, now));
            *estimate += (took - *estimate) * weight;
            *at = now;
            self.average_ms += (took - self.average_ms) * weight;
            if self.observed.is_none() {
                self.average_ms = took;
            }
            self.observed = Some(now);
        }
        self.fill(now)
    }

    /// The sender of a waiting request has gone.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|w| w.ticket.id != id);
    }

    /// The target leaves: what waits is handed back, what runs ends.
    pub fn leave(&mut self) -> Vec<Action> {
        self.leaving = true;
        self.waiting
            .drain(..)
            .map(|w| Action::Refuse(w.ticket.id, RefusalReason::Leaving, Millis(0)))
            .collect()
    }

    /// Hands back everything that waits, because the target does not answer.
    pub fn give_back(&mut self) -> Vec<Action> {
        self.waiting
            .drain(..)
            .map(|w| Action::Refuse(w.ticket.id, RefusalReason::Unreachable, Millis(0)))
            .collect()
    }

    /// A new run of the target began: nothing is known of its speed.
    pub fn restart(&mut self, now: Millis, slots: u32) -> Vec<Action> {
        self.estimates.clear();
        self.average_ms = self.cfg.first_service.0 as f64;
        self.observed = None;
        self.reset(now, slots)
    }

    /// The target announced its slots.
    pub fn reset(&mut self, now: Millis, slots: u32) -> Vec<Action> {
        self.slots = slots.max(1);
        self.leaving = false;
        self.fill(now)
    }

    /// Whether the target leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Starts what may start and refuses what can no longer be served; call it again at
    /// [`SlotQueue::next_check`].
    pub fn fill(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting);
        let free = self.running.len() < self.slots as usize;
        waiting.retain(|waiting| {
            let ticket = &waiting.ticket;
            let keep = now <= self.latest_start(now, waiting) || (free && now < ticket.deadline);
            if !keep {
                let back = Millis(self.average_ms as u64);
                actions.push(Action::Refuse(ticket.id, RefusalReason::Overloaded, back));
            }
            keep
        });
        self.waiting = waiting;
        while self.running.len() < self.slots as usize {
            let Some(i) = self.next(now) else { break };
            let ticket = self.waiting.swap_remove(i).ticket;
            self.starts = self.starts.wrapping_add(1);
            self.running.insert(ticket.id, ticket.route);
            actions.push(Action::Start(ticket.id));
        }
        actions
    }

    /// The point at which the next waiting request has to be refused.
    pub fn next_check(&self, now: Millis) -> Option<Millis> {
        self.waiting.iter().map(|w| Millis(self.latest_start(now, w).0 + 1)).min()
    }

    /// Last point at which a start is of use: in time for the aim, or else within the share of its time
    /// that a late request may wait, and always before the deadline is out of reach.
    fn latest_start(&self, now: Millis, waiting: &Waiting) -> Millis {
        let Waiting { ticket, since } = waiting;
        let service = self.service_ms(now, &ticket.route);
        let before = |end: Millis, margin: f64| end.0.saturating_sub((service * margin) as u64);
        let patience = ticket.deadline.since(*since).0 as f64 * self.cfg.late_wait_share;
        let useful = before(ticket.aim, self.cfg.aim_margin).max(since.0 + patience as u64);
        Millis(useful.min(before(ticket.deadline, self.cfg.start_margin)))
    }

    /// Index of the ticket to start next: those that can still meet their aim first, by priority and
    /// then by aim; every n-th start goes to the least urgent class.
    fn next(&self, now: Millis) -> Option<usize> {
        let fair = self.cfg.fair_turn > 0 && self.starts.is_multiple_of(self.cfg.fair_turn);
        let rank = |t: &Ticket| {
            let priority = i16::from(t.priority) * if fair { -1 } else { 1 };
            (self.is_late(now, t), priority, t.aim)
        };
        (0..self.waiting.len()).min_by_key(|i| rank(&self.waiting[*i].ticket))
    }

    fn is_late(&self, now: Millis, ticket: &Ticket) -> bool {
        let service = self.service_ms(now, &ticket.route) * self.cfg.aim_margin;
        now.0 as f64 + service > ticket.aim.0 as f64
    }

    /// Expected wait of a new request behind those that would start before it.
    fn wait_ms(&self, now: Millis, ticket: &Ticket) -> f64 {
        if self.running.len() < self.slots as usize && self.waiting.is_empty() {
            return 0.0;
        }
        let late = self.is_late(now, ticket);
        let key = (late, ticket.priority, ticket.aim);
        let ahead: f64 = self
            .waiting
            .iter()
            .map(|w| &w.ticket)
            .filter(|t| (self.is_late(now, t), t.priority, t.aim) <= key)
            .map(|t| self.service_ms(now, &t.route))
            .sum();
        // Running requests free a slot every `average / slots` on average.
        (ahead + self.average_ms) / f64::from(self.slots.max(1))
    }
}
