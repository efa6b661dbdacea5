//! The decisions of a claim owner: batching, coalescing, lost answers, release.
//!
//! Pure: the driver performs the [`Action`]s and reports back with [`Event`]s.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::hash::Hasher;

use smol_str::SmolStr;

use super::claim_settings::ClaimSettings;
use super::row::ClaimRow;
use super::row::ResultRow;
use super::row::reply_for;
use crate::membership::record::StableHasher;
use crate::platform::model::Condition;
use crate::platform::model::Conflict;
use crate::platform::model::Outcome;
use crate::platform::model::PlatformError;
use crate::platform::model::Put;
use crate::platform::model::Revision;
use crate::platform::model::Row;
use crate::platform::model::Transaction;
use crate::types::Millis;
use crate::types::UnixMillis;
use crate::wire::ClaimReply;
use crate::wire::ClaimWire;
use crate::wire::RecordedResponse;

/// Identifies a claim request until it is replied to; chosen by the driver.
pub type Ticket = u64;

/// Index of a claim shard.
pub type Shard = u32;

/// The shard of a claim row; equal on every node with the same number of shards.
pub fn shard_of(row: &str, shards: u32) -> Shard {
    let mut hasher = StableHasher::default();
    hasher.write(row.as_bytes());
    // The remainder is below a u32.
    (hasher.finish() % u64::from(shards.max(1))) as Shard
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An attempt asks for its key.
    Claim {
        /// Identifies the request.
        ticket: Ticket,
        /// The claim.
        claim: ClaimWire,
        /// Wall clock, written into the row.
        unix_now: UnixMillis,
    },
    /// A claimed request was answered.
    Record {
        /// The claim.
        claim: ClaimWire,
        /// The answer.
        result: RecordedResponse,
        /// Wall clock, written into the row.
        unix_now: UnixMillis,
    },
    /// A claimed request provably did not run.
    Release(ClaimWire),
    /// The transaction of a shard ended.
    TransactionDone {
        /// The shard.
        shard: Shard,
        /// What the platform said.
        result: Result<Outcome, PlatformError>,
    },
    /// A row that was to be released has been read.
    RowRead {
        /// Key.
        row: SmolStr,
        /// What the platform said.
        result: Result<Option<Row>, PlatformError>,
    },
    /// Time passed; due at least every 20 ms.
    Tick,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Commit a transaction and report [`Event::TransactionDone`].
    Transact {
        /// The shard.
        shard: Shard,
        /// The writes.
        transaction: Transaction,
    },
    /// Read a row and report [`Event::RowRead`].
    ReadRow(SmolStr),
    /// Reply to a claim request.
    Reply {
        /// The request.
        ticket: Ticket,
        /// The outcome.
        reply: ClaimReply,
    },
    /// A result could not be recorded in time; repeats will be told "may have run".
    ResultNotRecorded(SmolStr),
}

/// A write that waits for its shard's next transaction.
#[derive(Clone, Debug)]
enum Write {
    /// Conditional insert of a claim.
    Insert(Insert),
    /// Result of a claim that is known to be granted. Unconditional: a granted row belongs to its
    /// attempt until that attempt releases it, and an attempt never both records and releases.
    Record { row: SmolStr, value: serde_json::Value, give_up_at: Millis },
    /// Conditional delete of a row that was read with the attempt's own token.
    Delete { claim: ClaimWire, revision: Revision, give_up_at: Millis },
}

#[derive(Clone, Debug)]
struct Insert {
    ticket: Ticket,
    claim: ClaimWire,
    value: serde_json::Value,
    deadline: Millis,
    /// Whether an earlier transaction with this insert may have taken effect.
    ambiguous: bool,
    /// Whether the attempt gave up while the insert was in flight.
    released: bool,
}

impl Write {
    fn is_expired(&self, now: Millis) -> bool {
        match self {
            Self::Insert(insert) => insert.deadline <= now || insert.released,
            Self::Record { give_up_at, .. } | Self::Delete { give_up_at, .. } => *give_up_at <= now,
        }
    }

    fn row(&self) -> &SmolStr {
        match self {
            Self::Insert(insert) => &insert.claim.row,
            Self::Record { row, .. } => row,
            Self::Delete { claim, .. } => &claim.row,
        }
    }
}

#[derive(Debug, Default)]
struct ShardQueue {
    waiting: VecDeque<Write>,
    in_flight: Vec<Write>,
    /// The next transaction starts at the earliest then.
    next_at: Millis,
}

/// A key that this node has claimed, or is claiming, for an attempt.
#[derive(Debug)]
struct Active {
    token: SmolStr,
    fingerprint: SmolStr,
    expires: Millis,
    /// Repeats that arrived meanwhile, with their deadlines.
    waiters: VecDeque<(Ticket, ClaimWire, Millis, UnixMillis)>,
}

/// State of the claims that pass through this node.
#[derive(Debug)]
pub struct Claims {
    cfg: ClaimSettings,
    shards: BTreeMap<Shard, ShardQueue>,
    active: BTreeMap<SmolStr, Active>,
    /// Claims by row and token to read before they can be released, with the time to give up.
    releasing: BTreeMap<(SmolStr, SmolStr), (ClaimWire, Millis)>,
    reading: BTreeSet<SmolStr>,
}

impl Claims {
    /// Starts without claims.
    pub fn new(cfg: ClaimSettings) -> Self {
        Self {
            cfg,
            shards: BTreeMap::new(),
            active: BTreeMap::new(),
            releasing: BTreeMap::new(),
            reading: BTreeSet::new(),
        }
    }

    /// Handles one event at time `now`.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Claim { ticket, claim, unix_now } => {
                self.claim(now, ticket, claim, unix_now, &mut actions);
            }
            Event::Record { claim, result, unix_now } => {
                self.record(now, claim, result, unix_now, &mut actions);
            }
            Event::Release(claim) => self.release(now, claim, &mut actions),
            Event::TransactionDone { shard, result } => {
                self.transaction_done(now, shard, result, &mut actions);
            }
            Event::RowRead { row, result } => self.row_read(now, &row, result),
            Event::Tick => self.tick(now, &mut actions),
        }
        self.start_transactions(now, &mut actions);
        actions
    }

    fn claim(
        &mut self,
        now: Millis,
        ticket: Ticket,
        claim: ClaimWire,
        unix_now: UnixMillis,
        actions: &mut Vec<Action>,
    ) {
        let deadline =
            Millis(now.0 + claim.deadline_ms.saturating_sub(self.cfg.reply_margin_ms).max(1));
        if let Some(active) = self.active.get_mut(&claim.row) {
            if active.fingerprint != claim.fingerprint {
                actions.push(Action::Reply { ticket, reply: ClaimReply::Mismatch });
                return;
            }
            active.waiters.push_back((ticket, claim, deadline, unix_now));
            return;
        }
        self.enqueue_insert(ticket, claim, deadline, unix_now);
    }

    fn enqueue_insert(
        &mut self,
        ticket: Ticket,
        claim: ClaimWire,
        deadline: Millis,
        unix_now: UnixMillis,
    ) {
        let active = Active {
            token: claim.token.clone(),
            fingerprint: claim.fingerprint.clone(),
            expires: Millis(deadline.0 + self.cfg.record_retry_ms),
            waiters: VecDeque::new(),
        };
        let row = ClaimRow {
            token: claim.token.clone(),
            fingerprint: claim.fingerprint.clone(),
            unix_ms: unix_now,
            result: None,
        };
        self.active.insert(claim.row.clone(), active);
        let value = serde_json::json!(row);
        let insert = Insert { ticket, claim, value, deadline, ambiguous: false, released: false };
        self.enqueue(Write::Insert(insert));
    }

    fn enqueue(&mut self, write: Write) {
        let shard = shard_of(write.row(), self.cfg.shards);
        self.shards.entry(shard).or_default().waiting.push_back(write);
    }

    fn record(
        &mut self,
        now: Millis,
        claim: ClaimWire,
        result: RecordedResponse,
        unix_now: UnixMillis,
        actions: &mut Vec<Action>,
    ) {
        let row = ClaimRow {
            token: claim.token.clone(),
            fingerprint: claim.fingerprint.clone(),
            unix_ms: unix_now,
            result: Some(ResultRow::from(&result)),
        };
        let give_up_at = Millis(now.0 + self.cfg.record_retry_ms);
        let value = serde_json::json!(row);
        self.enqueue(Write::Record { row: claim.row.clone(), value, give_up_at });
        if self.active.get(&claim.row).is_none_or(|a| a.token != claim.token) {
            return;
        }
        let Some(active) = self.active.remove(&claim.row) else { return };
        for (ticket, ..) in active.waiters {
            actions.push(Action::Reply { ticket, reply: ClaimReply::Recorded(result.clone()) });
        }
    }

    fn release(&mut self, now: Millis, claim: ClaimWire, actions: &mut Vec<Action>) {
        if self.remove_waiter(&claim, actions) {
            return;
        }
        let shard = shard_of(&claim.row, self.cfg.shards);
        let queue = self.shards.entry(shard).or_default();
        let is_own = |w: &Write| matches!(w, Write::Insert(i) if i.claim.token == claim.token);
        if let Some(i) = queue.waiting.iter().position(is_own) {
            if let Some(Write::Insert(insert)) = queue.waiting.remove(i) {
                self.abandon(now, insert, "the attempt gave up", actions);
            }
            return;
        }
        if let Some(Write::Insert(insert)) = queue.in_flight.iter_mut().find(|w| is_own(w)) {
            insert.released = true;
            return;
        }
        self.read_for_release(now, claim.clone());
        self.forget(&claim, actions);
    }

    /// Ends an insert that is not in flight; one that may have taken effect is released.
    fn abandon(
        &mut self,
        now: Millis,
        insert: Insert,
        reason: &'static str,
        actions: &mut Vec<Action>,
    ) {
        let reply = ClaimReply::Unavailable(SmolStr::new_static(reason));
        actions.push(Action::Reply { ticket: insert.ticket, reply });
        if insert.ambiguous {
            self.read_for_release(now, insert.claim.clone());
        }
        self.forget(&insert.claim, actions);
    }

    /// Ends a repeat that waits for the first attempt; it has written nothing.
    fn remove_waiter(&mut self, claim: &ClaimWire, actions: &mut Vec<Action>) -> bool {
        let Some(active) = self.active.get_mut(&claim.row) else { return false };
        let Some(i) = active.waiters.iter().position(|(_, c, ..)| c.token == claim.token) else {
            return false;
        };
        let Some((ticket, ..)) = active.waiters.remove(i) else { return false };
        let reason = SmolStr::new_static("the attempt gave up");
        actions.push(Action::Reply { ticket, reply: ClaimReply::Unavailable(reason) });
        true
    }

    fn read_for_release(&mut self, now: Millis, claim: ClaimWire) {
        let give_up_at = Millis(now.0 + self.cfg.record_retry_ms);
        self.releasing.insert((claim.row.clone(), claim.token.clone()), (claim, give_up_at));
    }

    /// Drops the active entry of an attempt that did not run; the first waiter claims the key anew.
    fn forget(&mut self, claim: &ClaimWire, actions: &mut Vec<Action>) {
        if self.active.get(&claim.row).is_none_or(|a| a.token != claim.token) {
            return;
        }
        let Some(mut active) = self.active.remove(&claim.row) else { return };
        if self.releasing.contains_key(&(claim.row.clone(), claim.token.clone())) {
            // The row may still hold the token of the attempt that gave up.
            for (ticket, ..) in active.waiters {
                let reason = SmolStr::new_static("the key is being released");
                actions.push(Action::Reply { ticket, reply: ClaimReply::Unavailable(reason) });
            }
            return;
        }
        let Some((ticket, next, deadline, unix_now)) = active.waiters.pop_front() else { return };
        self.enqueue_insert(ticket, next.clone(), deadline, unix_now);
        if let Some(entry) = self.active.get_mut(&next.row) {
            entry.waiters = active.waiters;
        }
    }

    fn transaction_done(
        &mut self,
        now: Millis,
        shard: Shard,
        result: Result<Outcome, PlatformError>,
        actions: &mut Vec<Action>,
    ) {
        let Some(queue) = self.shards.get_mut(&shard) else { return };
        let writes = std::mem::take(&mut queue.in_flight);
        match result {
            Ok(Outcome::Committed) => {
                writes.into_iter().for_each(|w| self.committed(now, w, actions));
            }
            Ok(Outcome::Conflicts(conflicts)) => self.conflicts(now, writes, &conflicts, actions),
            Err(PlatformError::Refused(_)) => self.requeue(now, shard, writes, false),
            Err(PlatformError::NoAnswer(_) | PlatformError::Protocol(_)) => {
                self.requeue(now, shard, writes, true);
            }
        }
        self.expire(now, shard, actions);
    }

    fn committed(&mut self, now: Millis, write: Write, actions: &mut Vec<Action>) {
        if let Write::Insert(insert) = write {
            self.grant(now, insert, actions);
        }
    }

    fn grant(&mut self, now: Millis, insert: Insert, actions: &mut Vec<Action>) {
        if insert.released || insert.deadline <= now {
            // The caller has been refused, or will be: the grant must not be used.
            let reason = SmolStr::new_static("claimed too late");
            let reply = ClaimReply::Unavailable(reason);
            actions.push(Action::Reply { ticket: insert.ticket, reply });
            self.read_for_release(now, insert.claim.clone());
            self.forget(&insert.claim, actions);
            return;
        }
        actions.push(Action::Reply { ticket: insert.ticket, reply: ClaimReply::Granted });
    }

    fn conflicts(
        &mut self,
        now: Millis,
        writes: Vec<Write>,
        conflicts: &[Conflict],
        actions: &mut Vec<Action>,
    ) {
        for write in writes.into_iter().rev() {
            let conflict = conflicts.iter().find(|c| &c.key == write.row());
            let Some(conflict) = conflict else {
                // Nothing of the batch took effect; the rest goes into the next one.
                let shard = shard_of(write.row(), self.cfg.shards);
                self.shards.entry(shard).or_default().waiting.push_front(write);
                continue;
            };
            match write {
                Write::Insert(insert) => self.conflict(now, insert, conflict, actions),
                Write::Delete { claim, .. } => self.read_for_release(now, claim),
                Write::Record { .. } => {}
            }
        }
    }

    fn conflict(
        &mut self,
        now: Millis,
        insert: Insert,
        conflict: &Conflict,
        actions: &mut Vec<Action>,
    ) {
        let reply = reply_for(&insert.claim, conflict.value.as_ref());
        if reply == ClaimReply::Granted {
            // An earlier transaction took effect although its answer was lost.
            self.grant(now, insert, actions);
            return;
        }
        let waiters = self.active.remove(&insert.claim.row).map(|a| a.waiters).unwrap_or_default();
        for (ticket, claim, ..) in waiters {
            let reply = reply_for(&claim, conflict.value.as_ref());
            actions.push(Action::Reply { ticket, reply });
        }
        actions.push(Action::Reply { ticket: insert.ticket, reply });
    }

    fn requeue(&mut self, now: Millis, shard: Shard, writes: Vec<Write>, ambiguous: bool) {
        let queue = self.shards.entry(shard).or_default();
        queue.next_at = queue.next_at.max(Millis(now.0 + self.cfg.retry_pause_ms));
        for mut write in writes.into_iter().rev() {
            if let Write::Insert(insert) = &mut write {
                insert.ambiguous |= ambiguous;
            }
            queue.waiting.push_front(write);
        }
    }

    fn row_read(&mut self, now: Millis, row: &SmolStr, result: Result<Option<Row>, PlatformError>) {
        self.reading.remove(row);
        let Ok(found) = result else { return };
        let found = found.and_then(|r| {
            let value: ClaimRow = serde_json::from_value(r.value).ok()?;
            Some((value, r.revision))
        });
        let mut releases = Vec::new();
        self.releasing.retain(|_, (claim, give_up_at)| {
            if &claim.row == row {
                releases.push((claim.clone(), *give_up_at));
            }
            &claim.row != row
        });
        let Some((value, revision)) = found else { return };
        for (claim, give_up_at) in releases {
            if value.token == claim.token && value.result.is_none() && give_up_at > now {
                self.enqueue(Write::Delete { claim, revision, give_up_at });
            }
        }
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let shards: Vec<Shard> = self.shards.keys().copied().collect();
        shards.into_iter().for_each(|shard| self.expire(now, shard, actions));
        self.releasing.retain(|_, (_, give_up_at)| *give_up_at > now);
        for (row, _) in self.releasing.keys() {
            if self.reading.insert(row.clone()) {
                actions.push(Action::ReadRow(row.clone()));
            }
        }
        for active in self.active.values_mut() {
            active.waiters.retain(|(ticket, _, deadline, _)| {
                let waits = *deadline > now;
                if !waits {
                    // The first attempt holds the claim and may be running.
                    let reply = ClaimReply::Claimed;
                    actions.push(Action::Reply { ticket: *ticket, reply });
                }
                waits
            });
        }
        self.active.retain(|_, active| active.expires > now || !active.waiters.is_empty());
    }

    /// Ends writes of a shard whose time is over.
    fn expire(&mut self, now: Millis, shard: Shard, actions: &mut Vec<Action>) {
        let Some(queue) = self.shards.get_mut(&shard) else { return };
        let (expired, waiting): (VecDeque<Write>, VecDeque<Write>) =
            std::mem::take(&mut queue.waiting).into_iter().partition(|w| w.is_expired(now));
        queue.waiting = waiting;
        for write in expired {
            match write {
                Write::Insert(insert) => {
                    self.abandon(now, insert, "the claim table did not answer in time", actions);
                }
                Write::Record { row, .. } => actions.push(Action::ResultNotRecorded(row)),
                Write::Delete { .. } => {}
            }
        }
    }

    fn start_transactions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let (max_batch, min_gap_ms) = (self.cfg.max_batch, self.cfg.min_gap_ms);
        for (shard, queue) in &mut self.shards {
            if !queue.in_flight.is_empty() || queue.next_at > now {
                continue;
            }
            queue.in_flight = take_batch(&mut queue.waiting, max_batch);
            if queue.in_flight.is_empty() {
                continue;
            }
            queue.next_at = Millis(now.0 + min_gap_ms);
            let transaction = transaction_of(&queue.in_flight);
            actions.push(Action::Transact { shard: *shard, transaction });
        }
    }
}

/// Takes writes of distinct rows in order; a second write of a row waits for the next batch.
fn take_batch(waiting: &mut VecDeque<Write>, max_batch: usize) -> Vec<Write> {
    let mut batch: Vec<Write> = Vec::new();
    let mut rows = BTreeSet::new();
    let mut rest = VecDeque::new();
    for write in waiting.drain(..) {
        let fits = rows.insert(write.row().clone()) && batch.len() < max_batch;
        if fits { batch.push(write) } else { rest.push_back(write) }
    }
    *waiting = rest;
    batch
}

fn transaction_of(writes: &[Write]) -> Transaction {
    let mut transaction = Transaction::default();
    for write in writes {
        match write {
            Write::Insert(insert) => {
                let key = insert.claim.row.clone();
                transaction.conditions.push(Condition { key: key.clone(), revision: None });
                transaction.puts.push(Put { key, value: insert.value.clone() });
            }
            Write::Record { row, value, .. } => {
                transaction.puts.push(Put { key: row.clone(), value: value.clone() });
            }
            Write::Delete { claim, revision, .. } => {
                let key = claim.row.clone();
                transaction
                    .conditions
                    .push(Condition { key: key.clone(), revision: Some(*revision) });
                transaction.deletes.push(key);
            }
        }
    }
    transaction
}
