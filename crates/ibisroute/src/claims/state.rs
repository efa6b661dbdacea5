//! State machine of a claim owner, the node that writes the claims of a shard to the table: batches
//! writes, coalesces retries of a key, resolves lost responses of the platform and releases claims.
//!
//! Performs no I/O: the driver performs the [`Action`]s and reports their results as [`Event`]s.

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

/// Number, chosen by the driver, that identifies a claim request until its reply.
pub type Ticket = u64;

/// Index of a claim shard: a part of the claim rows, by the hash of the row key.
pub type Shard = u32;

/// Returns the shard of a claim row; all nodes with the same number of shards agree on it.
pub fn shard_of(row: &str, shard_count: u32) -> Shard {
    let mut hasher = StableHasher::default();
    hasher.write(row.as_bytes());
    // The remainder fits in a u32.
    (hasher.finish() % u64::from(shard_count.max(1))) as Shard
}

/// Input of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An attempt requests a claim.
    Claim {
        ticket: Ticket,
        claim: ClaimWire,
        /// Wall-clock time that is written into the row.
        unix_now: UnixMillis,
    },
    /// The response to a claimed request arrived.
    Record {
        claim: ClaimWire,
        result: RecordedResponse,
        /// Wall-clock time that is written into the row.
        unix_now: UnixMillis,
    },
    /// A claimed request provably did not run.
    Release(ClaimWire),
    /// The transaction of a shard ended.
    TransactionDone { shard: Shard, result: Result<Outcome, PlatformError> },
    /// The read that [`Action::ReadRow`] requested ended.
    RowRead { row: SmolStr, result: Result<Option<Row>, PlatformError> },
    /// Periodic event on which expired deadlines are handled; the driver sends it at least every 20
    /// ms.
    Tick,
}

/// Work for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Commit a transaction and report [`Event::TransactionDone`].
    Transact { shard: Shard, transaction: Transaction },
    /// Read a row and report [`Event::RowRead`].
    ReadRow(SmolStr),
    /// Send the reply to the claim request with this ticket.
    Reply { ticket: Ticket, reply: ClaimReply },
    /// A result could not be recorded in time; retries of the request will be refused as "may have
    /// run".
    ResultNotRecorded(SmolStr),
}

/// Write that is queued or in flight in a transaction of its shard.
#[derive(Clone, Debug)]
enum RowWrite {
    /// Insert of a claim row, conditional on its absence.
    Insert(Insert),
    /// Unconditional write of the result of a granted claim. It needs no condition because a
    /// granted row belongs to its attempt until that attempt releases it, and an attempt never both
    /// records and releases.
    Record { row: SmolStr, value: serde_json::Value, give_up_at: Millis },
    /// Conditional delete of a row that held the attempt's own token when it was read.
    Delete { claim: ClaimWire, revision: Revision, give_up_at: Millis },
}

/// Insert of a claim row on behalf of the claim request `ticket`.
#[derive(Clone, Debug)]
struct Insert {
    ticket: Ticket,
    claim: ClaimWire,
    value: serde_json::Value,
    /// Time until which the claim request can be granted.
    deadline: Millis,
    /// Whether an earlier transaction with this insert may have taken effect, because no valid
    /// response to it arrived.
    may_have_committed: bool,
    /// Whether the attempt released the claim while the insert was in flight.
    released: bool,
}

impl RowWrite {
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

/// Writes of one shard; at most one transaction is in flight.
#[derive(Debug, Default)]
struct ShardQueue {
    queued: VecDeque<RowWrite>,
    in_flight: Vec<RowWrite>,
    /// Earliest start of the next transaction.
    next_transaction_at: Millis,
}

/// Key that this node has claimed, or is claiming, for an attempt.
#[derive(Debug)]
struct ActiveClaim {
    token: SmolStr,
    fingerprint: SmolStr,
    /// Time after which this node drops its state of the claim, unless retries wait for the result.
    expires_at: Millis,
    /// Retries with the same key that wait for the result of this attempt: ticket, claim, deadline,
    /// and the wall-clock time for the row.
    waiting_retries: VecDeque<(Ticket, ClaimWire, Millis, UnixMillis)>,
}

/// State machine of a claim owner, with the claims that this node handles.
#[derive(Debug)]
pub struct ClaimOwner {
    cfg: ClaimSettings,
    shards: BTreeMap<Shard, ShardQueue>,
    /// Claims that attempts hold or request through this node, by claim row.
    active_claims: BTreeMap<SmolStr, ActiveClaim>,
    /// Claims to release, by row and token, with the time to give up. Their rows must be read
    /// first, because the delete is conditional on the revision of the row.
    pending_releases: BTreeMap<(SmolStr, SmolStr), (ClaimWire, Millis)>,
    /// Rows of `pending_releases` whose read is in flight.
    reads_in_flight: BTreeSet<SmolStr>,
}

impl ClaimOwner {
    /// Creates the state of a node that handles no claims yet.
    pub fn new(cfg: ClaimSettings) -> Self {
        Self {
            cfg,
            shards: BTreeMap::new(),
            active_claims: BTreeMap::new(),
            pending_releases: BTreeMap::new(),
            reads_in_flight: BTreeSet::new(),
        }
    }

    /// Handles an event that happened at `now`.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Claim { ticket, claim, unix_now } => {
                self.claim(now, ticket, claim, unix_now, &mut actions);
            }
            Event::Record { claim, result, unix_now } => {
                self.record_result(now, claim, result, unix_now, &mut actions);
            }
            Event::Release(claim) => self.release(now, claim, &mut actions),
            Event::TransactionDone { shard, result } => {
                self.on_transaction_done(now, shard, result, &mut actions);
            }
            Event::RowRead { row, result } => self.on_row_read(now, &row, result),
            Event::Tick => self.on_tick(now, &mut actions),
        }
        self.start_transactions(now, &mut actions);
        actions
    }

    /// Queues the insert of a claim. If the key has an active claim, the request waits for its
    /// result, or is refused when its fingerprint differs.
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
        if let Some(active) = self.active_claims.get_mut(&claim.row) {
            if active.fingerprint != claim.fingerprint {
                actions.push(Action::Reply { ticket, reply: ClaimReply::Mismatch });
                return;
            }
            active.waiting_retries.push_back((ticket, claim, deadline, unix_now));
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
        let active = ActiveClaim {
            token: claim.token.clone(),
            fingerprint: claim.fingerprint.clone(),
            expires_at: Millis(deadline.0 + self.cfg.record_retry_ms),
            waiting_retries: VecDeque::new(),
        };
        let row = ClaimRow {
            token: claim.token.clone(),
            fingerprint: claim.fingerprint.clone(),
            unix_ms: unix_now,
            result: None,
        };
        self.active_claims.insert(claim.row.clone(), active);
        let value = serde_json::json!(row);
        let insert =
            Insert { ticket, claim, value, deadline, may_have_committed: false, released: false };
        self.enqueue(RowWrite::Insert(insert));
    }

    fn enqueue(&mut self, write: RowWrite) {
        let shard = shard_of(write.row(), self.cfg.shards);
        self.shards.entry(shard).or_default().queued.push_back(write);
    }

    /// Queues the write of a result and replies to the retries that wait for it.
    fn record_result(
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
        self.enqueue(RowWrite::Record { row: claim.row.clone(), value, give_up_at });
        if self.active_claims.get(&claim.row).is_none_or(|a| a.token != claim.token) {
            return;
        }
        let Some(active) = self.active_claims.remove(&claim.row) else { return };
        for (ticket, ..) in active.waiting_retries {
            actions.push(Action::Reply { ticket, reply: ClaimReply::Recorded(result.clone()) });
        }
    }

    /// Releases an attempt's claim, whether it waits for another attempt, or its insert is queued,
    /// in flight or committed.
    fn release(&mut self, now: Millis, claim: ClaimWire, actions: &mut Vec<Action>) {
        if self.remove_waiting_retry(&claim, actions) {
            return;
        }
        let shard = shard_of(&claim.row, self.cfg.shards);
        let queue = self.shards.entry(shard).or_default();
        let is_own_insert =
            |w: &RowWrite| matches!(w, RowWrite::Insert(i) if i.claim.token == claim.token);
        if let Some(i) = queue.queued.iter().position(is_own_insert) {
            if let Some(RowWrite::Insert(insert)) = queue.queued.remove(i) {
                self.abandon_insert(now, insert, "the attempt gave up", actions);
            }
            return;
        }
        if let Some(RowWrite::Insert(insert)) =
            queue.in_flight.iter_mut().find(|w| is_own_insert(w))
        {
            insert.released = true;
            return;
        }
        self.schedule_release(now, claim.clone());
        self.remove_active_claim(&claim, actions);
    }

    /// Cancels an insert that is not in flight, and releases the claim if an earlier transaction
    /// with the insert may have taken effect.
    fn abandon_insert(
        &mut self,
        now: Millis,
        insert: Insert,
        reason: &'static str,
        actions: &mut Vec<Action>,
    ) {
        let reply = ClaimReply::Unavailable(SmolStr::new_static(reason));
        actions.push(Action::Reply { ticket: insert.ticket, reply });
        if insert.may_have_committed {
            self.schedule_release(now, insert.claim.clone());
        }
        self.remove_active_claim(&insert.claim, actions);
    }

    /// Removes a retry that waits for the first attempt and has written nothing; returns whether
    /// there was one.
    fn remove_waiting_retry(&mut self, claim: &ClaimWire, actions: &mut Vec<Action>) -> bool {
        let Some(active) = self.active_claims.get_mut(&claim.row) else { return false };
        let Some(i) = active.waiting_retries.iter().position(|(_, c, ..)| c.token == claim.token)
        else {
            return false;
        };
        let Some((ticket, ..)) = active.waiting_retries.remove(i) else { return false };
        let reason = SmolStr::new_static("the attempt gave up");
        actions.push(Action::Reply { ticket, reply: ClaimReply::Unavailable(reason) });
        true
    }

    fn schedule_release(&mut self, now: Millis, claim: ClaimWire) {
        let give_up_at = Millis(now.0 + self.cfg.record_retry_ms);
        self.pending_releases.insert((claim.row.clone(), claim.token.clone()), (claim, give_up_at));
    }

    /// Removes the active claim of an attempt that did not run; the first waiting retry then claims
    /// the key.
    fn remove_active_claim(&mut self, claim: &ClaimWire, actions: &mut Vec<Action>) {
        if self.active_claims.get(&claim.row).is_none_or(|a| a.token != claim.token) {
            return;
        }
        let Some(mut active) = self.active_claims.remove(&claim.row) else { return };
        if self.pending_releases.contains_key(&(claim.row.clone(), claim.token.clone())) {
            // The row may still hold the released token until it is deleted, so that a retry cannot
            // claim the key yet.
            for (ticket, ..) in active.waiting_retries {
                let reason = SmolStr::new_static("the key is being released");
                actions.push(Action::Reply { ticket, reply: ClaimReply::Unavailable(reason) });
            }
            return;
        }
        let Some((ticket, next, deadline, unix_now)) = active.waiting_retries.pop_front() else {
            return;
        };
        self.enqueue_insert(ticket, next.clone(), deadline, unix_now);
        if let Some(next_active) = self.active_claims.get_mut(&next.row) {
            next_active.waiting_retries = active.waiting_retries;
        }
    }

    fn on_transaction_done(
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
                writes.into_iter().for_each(|w| self.on_committed(now, w, actions));
            }
            Ok(Outcome::Conflicts(conflicts)) => {
                self.on_conflicts(now, writes, &conflicts, actions);
            }
            Err(PlatformError::Refused(_)) => self.requeue(now, shard, writes, false),
            Err(PlatformError::NoAnswer(_) | PlatformError::Protocol(_)) => {
                self.requeue(now, shard, writes, true);
            }
        }
        self.expire_writes(now, shard, actions);
    }

    fn on_committed(&mut self, now: Millis, write: RowWrite, actions: &mut Vec<Action>) {
        if let RowWrite::Insert(insert) = write {
            self.grant_claim(now, insert, actions);
        }
    }

    /// Grants the claim of a committed insert, or releases it when the attempt no longer waits.
    fn grant_claim(&mut self, now: Millis, insert: Insert, actions: &mut Vec<Action>) {
        if insert.released || insert.deadline <= now {
            // The attempt no longer waits or its deadline has passed, so the claim must not be
            // used.
            let reason = SmolStr::new_static("claimed too late");
            let reply = ClaimReply::Unavailable(reason);
            actions.push(Action::Reply { ticket: insert.ticket, reply });
            self.schedule_release(now, insert.claim.clone());
            self.remove_active_claim(&insert.claim, actions);
            return;
        }
        actions.push(Action::Reply { ticket: insert.ticket, reply: ClaimReply::Granted });
    }

    fn on_conflicts(
        &mut self,
        now: Millis,
        writes: Vec<RowWrite>,
        conflicts: &[Conflict],
        actions: &mut Vec<Action>,
    ) {
        for write in writes.into_iter().rev() {
            let conflict = conflicts.iter().find(|c| &c.key == write.row());
            let Some(conflict) = conflict else {
                // A conflict fails the whole batch; writes without a conflict are queued again.
                let shard = shard_of(write.row(), self.cfg.shards);
                self.shards.entry(shard).or_default().queued.push_front(write);
                continue;
            };
            match write {
                RowWrite::Insert(insert) => self.on_insert_conflict(now, insert, conflict, actions),
                RowWrite::Delete { claim, .. } => self.schedule_release(now, claim),
                RowWrite::Record { .. } => {}
            }
        }
    }

    fn on_insert_conflict(
        &mut self,
        now: Millis,
        insert: Insert,
        conflict: &Conflict,
        actions: &mut Vec<Action>,
    ) {
        let reply = reply_for(&insert.claim, conflict.value.as_ref());
        if reply == ClaimReply::Granted {
            // An earlier transaction took effect although its response was lost.
            self.grant_claim(now, insert, actions);
            return;
        }
        let waiting_retries = self
            .active_claims
            .remove(&insert.claim.row)
            .map(|a| a.waiting_retries)
            .unwrap_or_default();
        for (ticket, claim, ..) in waiting_retries {
            let reply = reply_for(&claim, conflict.value.as_ref());
            actions.push(Action::Reply { ticket, reply });
        }
        actions.push(Action::Reply { ticket: insert.ticket, reply });
    }

    /// Queues the writes of a failed transaction again. `may_have_committed` means that the
    /// transaction may have taken effect.
    fn requeue(
        &mut self,
        now: Millis,
        shard: Shard,
        writes: Vec<RowWrite>,
        may_have_committed: bool,
    ) {
        let queue = self.shards.entry(shard).or_default();
        queue.next_transaction_at =
            queue.next_transaction_at.max(Millis(now.0 + self.cfg.retry_pause_ms));
        for mut write in writes.into_iter().rev() {
            if let RowWrite::Insert(insert) = &mut write {
                insert.may_have_committed |= may_have_committed;
            }
            queue.queued.push_front(write);
        }
    }

    fn on_row_read(
        &mut self,
        now: Millis,
        row: &SmolStr,
        result: Result<Option<Row>, PlatformError>,
    ) {
        self.reads_in_flight.remove(row);
        let Ok(found_row) = result else { return };
        let decoded_row = found_row.and_then(|r| {
            let value: ClaimRow = serde_json::from_value(r.value).ok()?;
            Some((value, r.revision))
        });
        let mut releases_of_row = Vec::new();
        self.pending_releases.retain(|_, (claim, give_up_at)| {
            if &claim.row == row {
                releases_of_row.push((claim.clone(), *give_up_at));
            }
            &claim.row != row
        });
        let Some((value, revision)) = decoded_row else { return };
        for (claim, give_up_at) in releases_of_row {
            if value.token == claim.token && value.result.is_none() && give_up_at > now {
                self.enqueue(RowWrite::Delete { claim, revision, give_up_at });
            }
        }
    }

    fn on_tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let shards: Vec<Shard> = self.shards.keys().copied().collect();
        shards.into_iter().for_each(|shard| self.expire_writes(now, shard, actions));
        self.pending_releases.retain(|_, (_, give_up_at)| *give_up_at > now);
        for (row, _) in self.pending_releases.keys() {
            if self.reads_in_flight.insert(row.clone()) {
                actions.push(Action::ReadRow(row.clone()));
            }
        }
        for active in self.active_claims.values_mut() {
            active.waiting_retries.retain(|(ticket, _, deadline, _)| {
                let keeps_waiting = *deadline > now;
                if !keeps_waiting {
                    // The first attempt holds the claim, and its request may be running.
                    let reply = ClaimReply::Claimed;
                    actions.push(Action::Reply { ticket: *ticket, reply });
                }
                keeps_waiting
            });
        }
        self.active_claims
            .retain(|_, active| active.expires_at > now || !active.waiting_retries.is_empty());
    }

    /// Removes the expired writes from a shard's queue, refuses the claim requests among them, and
    /// reports the results that were not recorded.
    fn expire_writes(&mut self, now: Millis, shard: Shard, actions: &mut Vec<Action>) {
        let Some(queue) = self.shards.get_mut(&shard) else { return };
        let (expired, queued): (VecDeque<RowWrite>, VecDeque<RowWrite>) =
            std::mem::take(&mut queue.queued).into_iter().partition(|w| w.is_expired(now));
        queue.queued = queued;
        for write in expired {
            match write {
                RowWrite::Insert(insert) => {
                    self.abandon_insert(
                        now,
                        insert,
                        "the claim table did not answer in time",
                        actions,
                    );
                }
                RowWrite::Record { row, .. } => actions.push(Action::ResultNotRecorded(row)),
                RowWrite::Delete { .. } => {}
            }
        }
    }

    fn start_transactions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let (max_batch, min_gap_ms) = (self.cfg.max_batch, self.cfg.min_gap_ms);
        for (shard, queue) in &mut self.shards {
            if !queue.in_flight.is_empty() || queue.next_transaction_at > now {
                continue;
            }
            queue.in_flight = dequeue_batch(&mut queue.queued, max_batch);
            if queue.in_flight.is_empty() {
                continue;
            }
            queue.next_transaction_at = Millis(now.0 + min_gap_ms);
            let transaction = build_transaction(&queue.in_flight);
            actions.push(Action::Transact { shard: *shard, transaction });
        }
    }
}

/// Dequeues a batch of writes in order; a second write of the same row stays for the next batch.
fn dequeue_batch(queued: &mut VecDeque<RowWrite>, max_batch: usize) -> Vec<RowWrite> {
    let mut batch: Vec<RowWrite> = Vec::new();
    let mut rows = BTreeSet::new();
    let mut remaining_writes = VecDeque::new();
    for write in queued.drain(..) {
        let fits_in_batch = rows.insert(write.row().clone()) && batch.len() < max_batch;
        if fits_in_batch { batch.push(write) } else { remaining_writes.push_back(write) }
    }
    *queued = remaining_writes;
    batch
}

fn build_transaction(writes: &[RowWrite]) -> Transaction {
    let mut transaction = Transaction::default();
    for write in writes {
        match write {
            RowWrite::Insert(insert) => {
                let key = insert.claim.row.clone();
                transaction.conditions.push(Condition { key: key.clone(), revision: None });
                transaction.puts.push(Put { key, value: insert.value.clone() });
            }
            RowWrite::Record { row, value, .. } => {
                transaction.puts.push(Put { key: row.clone(), value: value.clone() });
            }
            RowWrite::Delete { claim, revision, .. } => {
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
