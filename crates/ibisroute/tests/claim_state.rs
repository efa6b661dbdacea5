//! Simulation of claim owners: a booking runs at most once despite lost responses, outages, nodes
//! that disagree on the owner, late grants and abandoned attempts.

mod common;

use std::collections::BTreeMap;

use ibisroute::claims::claim_settings::ClaimSettings;
use ibisroute::claims::state::Action;
use ibisroute::claims::state::ClaimOwner;
use ibisroute::claims::state::Event;
use ibisroute::platform::model::Conflict;
use ibisroute::platform::model::Outcome;
use ibisroute::platform::model::PlatformError;
use ibisroute::platform::model::Revision;
use ibisroute::platform::model::Row;
use ibisroute::platform::model::Transaction;
use ibisroute::types::Millis;
use ibisroute::types::UnixMillis;
use ibisroute::wire::ClaimReply;
use ibisroute::wire::ClaimWire;
use ibisroute::wire::RecordedResponse;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

/// Number of nodes that act as owners of the same claims.
const OWNER_COUNT: usize = 2;
const KEY_COUNT: u32 = 3;
const DEADLINE_MS: u64 = 400;

/// Minimum time between the starts of two transactions of a shard.
const MIN_TRANSACTION_GAP: Millis = Millis(25);

/// Table with conditional writes that follows the platform's protocol.
#[derive(Default)]
struct Table {
    rows: BTreeMap<SmolStr, (Revision, serde_json::Value)>,
    /// Revision of the last write.
    last_revision: u64,
}

impl Table {
    fn transact(&mut self, transaction: &Transaction) -> Outcome {
        let conflicts: Vec<Conflict> = transaction
            .conditions
            .iter()
            .filter(|c| self.rows.get(&c.key).map(|r| r.0) != c.revision)
            .map(|c| Conflict {
                key: c.key.clone(),
                revision: self.rows.get(&c.key).map(|r| r.0),
                value: self.rows.get(&c.key).map(|r| r.1.clone()),
            })
            .collect();
        if !conflicts.is_empty() {
            return Outcome::Conflicts(conflicts);
        }
        for put in &transaction.puts {
            self.last_revision += 1;
            self.rows.insert(put.key.clone(), (Revision(self.last_revision), put.value.clone()));
        }
        transaction.deletes.iter().for_each(|key| {
            self.rows.remove(key);
        });
        Outcome::Committed
    }

    fn row(&self, key: &SmolStr) -> Option<Row> {
        let (revision, value) = self.rows.get(key)?;
        Some(Row { key: key.clone(), value: value.clone(), revision: *revision })
    }
}

/// Request to the table that has been sent and not yet served.
enum TableRequest {
    Transact { owner: usize, shard: u32, transaction: Transaction },
    Read { owner: usize, row: SmolStr },
}

struct Attempt {
    owner: usize,
    claim: ClaimWire,
    replied: bool,
    /// Whether the caller abandoned the attempt; a later reply is then ignored.
    abandoned: bool,
}

struct Simulation {
    rng: SmallRng,
    now: Millis,
    table: Table,
    owners: Vec<ClaimOwner>,
    pending_requests: Vec<TableRequest>,
    attempts: Vec<Attempt>,
    /// Tokens of the attempts whose requests ran, by claim row.
    executions: BTreeMap<SmolStr, Vec<SmolStr>>,
    /// Number of granted claims.
    granted_count: usize,
    /// Whether requests to the table may fail.
    faults_enabled: bool,
    /// Start of the last transaction, by owner and shard.
    last_transaction_starts: BTreeMap<(usize, u32), Millis>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let cfg = ClaimSettings {
            shards: 2,
            min_gap_ms: MIN_TRANSACTION_GAP.0,
            record_retry_ms: 2000,
            ..ClaimSettings::default()
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Millis(1),
            table: Table::default(),
            owners: (0..OWNER_COUNT).map(|_| ClaimOwner::new(cfg.clone())).collect(),
            pending_requests: Vec::new(),
            attempts: Vec::new(),
            executions: BTreeMap::new(),
            granted_count: 0,
            faults_enabled: true,
            last_transaction_starts: BTreeMap::new(),
        }
    }

    fn step_owner(&mut self, owner: usize, event: Event) -> Result<(), String> {
        let actions = self.owners[owner].step(self.now, event);
        for action in actions {
            match action {
                Action::Transact { shard, transaction } => {
                    let last_transaction_start =
                        self.last_transaction_starts.insert((owner, shard), self.now);
                    if last_transaction_start
                        .is_some_and(|start| self.now.since(start) < MIN_TRANSACTION_GAP)
                    {
                        return Err(format!(
                            "two transactions of shard {shard} within {MIN_TRANSACTION_GAP}"
                        ));
                    }
                    self.pending_requests.push(TableRequest::Transact {
                        owner,
                        shard,
                        transaction,
                    });
                }
                Action::ReadRow(row) => {
                    self.pending_requests.push(TableRequest::Read { owner, row })
                }
                Action::Reply { ticket, reply } => self.on_reply(ticket as usize, reply)?,
                Action::ResultNotRecorded(_) => {}
            }
        }
        Ok(())
    }

    /// Handles the reply to an attempt as its caller would: after a grant, runs the request and
    /// records its result, or releases the claim.
    fn on_reply(&mut self, ticket: usize, reply: ClaimReply) -> Result<(), String> {
        let attempt = &mut self.attempts[ticket];
        if std::mem::replace(&mut attempt.replied, true) {
            return Err(format!("attempt {ticket} was replied to twice"));
        }
        if attempt.abandoned {
            return Ok(());
        }
        let (owner, claim) = (attempt.owner, attempt.claim.clone());
        match reply {
            ClaimReply::Granted => {
                self.granted_count += 1;
                if self.rng.random_bool(0.2) {
                    return self.step_owner(owner, Event::Release(claim));
                }
                let executions = self.executions.entry(claim.row.clone()).or_default();
                executions.push(claim.token.clone());
                if executions.len() > 1 {
                    return Err(format!("{} executed {} times", claim.row, executions.len()));
                }
                if self.rng.random_bool(0.8) {
                    let result = RecordedResponse {
                        status: 200,
                        headers: Vec::new(),
                        body: claim.token.as_bytes().to_vec(),
                    };
                    return self.step_owner(
                        owner,
                        Event::Record { claim, result, unix_now: UnixMillis(1) },
                    );
                }
                Ok(())
            }
            ClaimReply::Recorded(response) => {
                let executed_token = self.executions.get(&claim.row).and_then(|r| r.first());
                if executed_token.map(|t| t.as_bytes()) == Some(response.body.as_slice()) {
                    return Ok(());
                }
                Err(format!("{} has a recorded response that no execution gave", claim.row))
            }
            ClaimReply::Unavailable(_) => self.step_owner(owner, Event::Release(claim)),
            ClaimReply::Claimed | ClaimReply::Mismatch => Ok(()),
        }
    }

    /// Makes a new attempt for a random key at a random owner.
    fn submit_attempt(&mut self) -> Result<(), String> {
        let ticket = self.attempts.len();
        let owner = self.rng.random_range(0..OWNER_COUNT);
        let claim = ClaimWire {
            row: SmolStr::new(format!("claim/order/{}", self.rng.random_range(0..KEY_COUNT))),
            token: SmolStr::new(format!("token-{ticket}")),
            fingerprint: SmolStr::new("f"),
            deadline_ms: DEADLINE_MS,
        };
        self.attempts.push(Attempt {
            owner,
            claim: claim.clone(),
            replied: false,
            abandoned: false,
        });
        self.step_owner(
            owner,
            Event::Claim { ticket: ticket as u64, claim, unix_now: UnixMillis(1) },
        )
    }

    /// Serves one random pending request, with or without a fault.
    fn serve_random_request(&mut self) -> Result<(), String> {
        if self.pending_requests.is_empty() {
            return Ok(());
        }
        let index = self.rng.random_range(0..self.pending_requests.len());
        let request = self.pending_requests.swap_remove(index);
        let fault_kind = if self.faults_enabled { self.rng.random_range(0..6) } else { 5 };
        let refused_error = PlatformError::Refused("outage".into());
        let no_response = PlatformError::NoAnswer("lost".into());
        match request {
            TableRequest::Transact { owner, shard, transaction } => {
                let result = match fault_kind {
                    0 => Err(refused_error),
                    1 => Err(no_response),
                    2 => {
                        self.table.transact(&transaction);
                        Err(no_response)
                    }
                    _ => Ok(self.table.transact(&transaction)),
                };
                self.step_owner(owner, Event::TransactionDone { shard, result })
            }
            TableRequest::Read { owner, row } => {
                let result =
                    if fault_kind < 2 { Err(no_response) } else { Ok(self.table.row(&row)) };
                self.step_owner(owner, Event::RowRead { row, result })
            }
        }
    }

    /// Advances the clock and ticks all owners.
    fn advance_clock(&mut self, ms: u64) -> Result<(), String> {
        self.now.0 += ms;
        (0..OWNER_COUNT).try_for_each(|owner| self.step_owner(owner, Event::Tick))
    }

    /// Abandons the first attempt that has no reply, as if its caller had disconnected.
    fn abandon_attempt(&mut self) -> Result<(), String> {
        let Some(attempt) = self.attempts.iter_mut().find(|a| !a.replied && !a.abandoned) else {
            return Ok(());
        };
        attempt.abandoned = true;
        let (owner, claim) = (attempt.owner, attempt.claim.clone());
        self.step_owner(owner, Event::Release(claim))
    }

    /// Disables faults and serves requests for long enough that every attempt ends.
    fn settle_without_faults(&mut self) -> Result<(), String> {
        self.faults_enabled = false;
        for _ in 0..400 {
            self.serve_random_request()?;
            self.advance_clock(10)?;
        }
        Ok(())
    }
}

/// Runs 200 random steps with faults; fails if a key runs twice or gets a wrong response.
fn run_random_steps(seed: u64) -> Result<Simulation, String> {
    let mut sim = Simulation::new(seed);
    for _ in 0..200 {
        match sim.rng.random_range(0..10) {
            0..=1 => sim.submit_attempt()?,
            2..=6 => sim.serve_random_request()?,
            7..=8 => {
                let ms = sim.rng.random_range(1..120);
                sim.advance_clock(ms)?;
            }
            _ => {
                let ms = sim.rng.random_range(1..20);
                sim.advance_clock(ms)?;
            }
        }
    }
    Ok(sim)
}

/// Guards against a request that runs twice: because a lost response is treated as a failure,
/// because two nodes act as owner, or because a release frees the key of a request that ran.
#[test]
fn key_runs_at_most_once() {
    fn property(seed: u64) -> bool {
        match run_random_steps(seed) {
            Ok(_) => true,
            Err(violation) => panic!("seed {seed}: {violation}"),
        }
    }
    common::quickcheck_with_fixed_seed(2000).quickcheck(property as fn(u64) -> bool);
}

/// Guards against attempts that never receive a reply, and against claim owners that stay blocked
/// after an outage: once the faults end, every attempt has a reply and a new key is granted.
#[test]
fn every_attempt_gets_reply() {
    fn property(seed: u64) -> bool {
        let mut sim =
            run_random_steps(seed).unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        sim.settle_without_faults().unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        let attempts_without_reply = sim.attempts.iter().filter(|a| !a.replied).count();
        assert_eq!(attempts_without_reply, 0, "seed {seed}: attempts without a reply");
        let granted_count_before = sim.granted_count;
        let claim = ClaimWire {
            row: SmolStr::new("claim/order/new"),
            token: SmolStr::new("token-new"),
            fingerprint: SmolStr::new("f"),
            deadline_ms: DEADLINE_MS,
        };
        let ticket = sim.attempts.len() as u64;
        sim.attempts.push(Attempt {
            owner: 0,
            claim: claim.clone(),
            replied: false,
            abandoned: false,
        });
        let event = Event::Claim { ticket, claim, unix_now: UnixMillis(1) };
        sim.step_owner(0, event).unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        while !sim.pending_requests.is_empty() {
            sim.serve_random_request()
                .unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        }
        sim.granted_count == granted_count_before + 1
    }
    common::quickcheck_with_fixed_seed(500).quickcheck(property as fn(u64) -> bool);
}

/// Guards against a key that stays claimed for an abandoned attempt whose request did not run.
#[test]
fn abandoned_attempts_release_key() {
    fn property(seed: u64) -> bool {
        let mut sim = Simulation::new(seed);
        for _ in 0..60 {
            let step = match sim.rng.random_range(0..4) {
                0 => sim.submit_attempt(),
                1 => sim.serve_random_request(),
                2 => sim.abandon_attempt(),
                _ => sim.advance_clock(15),
            };
            step.unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        }
        sim.settle_without_faults().unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        let orphaned_rows: Vec<&SmolStr> =
            sim.table.rows.keys().filter(|row| !sim.executions.contains_key(*row)).collect();
        assert!(orphaned_rows.is_empty(), "seed {seed}: claimed but never run: {orphaned_rows:?}");
        true
    }
    common::quickcheck_with_fixed_seed(1000).quickcheck(property as fn(u64) -> bool);
}
