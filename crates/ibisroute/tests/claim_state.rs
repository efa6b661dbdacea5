//! Claims: a request that may not be repeated runs at most once, under lost answers, outages,
//! disagreeing owners, late grants and attempts that give up.

mod common;

use std::collections::BTreeMap;

use ibisroute::claims::claim_settings::ClaimSettings;
use ibisroute::claims::state::Action;
use ibisroute::claims::state::Claims;
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

const OWNERS: usize = 2;
const KEYS: u32 = 3;
const DEADLINE_MS: u64 = 400;

/// Least time between two transactions of a shard; bounds the writes of the fleet.
const MIN_GAP: Millis = Millis(25);

/// A table with conditional writes, as the platform's protocol describes it.
#[derive(Default)]
struct Table {
    rows: BTreeMap<SmolStr, (Revision, serde_json::Value)>,
    last: u64,
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
            self.last += 1;
            self.rows.insert(put.key.clone(), (Revision(self.last), put.value.clone()));
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

/// A request to the table that is on its way.
enum Request {
    Transact { owner: usize, shard: u32, transaction: Transaction },
    Read { owner: usize, row: SmolStr },
}

struct Attempt {
    owner: usize,
    claim: ClaimWire,
    replied: bool,
    /// The caller gave up and nobody receives the reply.
    abandoned: bool,
}

struct World {
    rng: SmallRng,
    now: Millis,
    table: Table,
    owners: Vec<Claims>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    runs: BTreeMap<SmolStr, Vec<SmolStr>>,
    granted: usize,
    faults: bool,
    /// Start of the last transaction of each owner's shard.
    started: BTreeMap<(usize, u32), Millis>,
}

impl World {
    fn new(seed: u64) -> Self {
        let cfg = ClaimSettings {
            shards: 2,
            min_gap_ms: MIN_GAP.0,
            record_retry_ms: 2000,
            ..ClaimSettings::default()
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Millis(1),
            table: Table::default(),
            owners: (0..OWNERS).map(|_| Claims::new(cfg.clone())).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            runs: BTreeMap::new(),
            granted: 0,
            faults: true,
            started: BTreeMap::new(),
        }
    }

    fn step(&mut self, owner: usize, event: Event) -> Result<(), String> {
        let actions = self.owners[owner].step(self.now, event);
        for action in actions {
            match action {
                Action::Transact { shard, transaction } => {
                    let last = self.started.insert((owner, shard), self.now);
                    if last.is_some_and(|last| self.now.since(last) < MIN_GAP) {
                        return Err(format!("two transactions of shard {shard} within {MIN_GAP}"));
                    }
                    self.requests.push(Request::Transact { owner, shard, transaction });
                }
                Action::ReadRow(row) => self.requests.push(Request::Read { owner, row }),
                Action::Reply { ticket, reply } => self.reply(ticket as usize, reply)?,
                Action::ResultNotRecorded(_) => {}
            }
        }
        Ok(())
    }

    fn reply(&mut self, ticket: usize, reply: ClaimReply) -> Result<(), String> {
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
                self.granted += 1;
                if self.rng.random_bool(0.2) {
                    return self.step(owner, Event::Release(claim));
                }
                let runs = self.runs.entry(claim.row.clone()).or_default();
                runs.push(claim.token.clone());
                if runs.len() > 1 {
                    return Err(format!("{} ran {} times", claim.row, runs.len()));
                }
                if self.rng.random_bool(0.8) {
                    let result = RecordedResponse {
                        status: 200,
                        headers: Vec::new(),
                        body: claim.token.as_bytes().to_vec(),
                    };
                    return self
                        .step(owner, Event::Record { claim, result, unix_now: UnixMillis(1) });
                }
                Ok(())
            }
            ClaimReply::Recorded(answer) => {
                let ran = self.runs.get(&claim.row).and_then(|r| r.first());
                if ran.map(|t| t.as_bytes()) == Some(answer.body.as_slice()) {
                    return Ok(());
                }
                Err(format!("{} has a recorded answer of a run that did not happen", claim.row))
            }
            ClaimReply::Unavailable(_) => self.step(owner, Event::Release(claim)),
            ClaimReply::Claimed | ClaimReply::Mismatch => Ok(()),
        }
    }

    fn submit(&mut self) -> Result<(), String> {
        let ticket = self.attempts.len();
        let owner = self.rng.random_range(0..OWNERS);
        let claim = ClaimWire {
            row: SmolStr::new(format!("claim/order/{}", self.rng.random_range(0..KEYS))),
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
        self.step(owner, Event::Claim { ticket: ticket as u64, claim, unix_now: UnixMillis(1) })
    }

    /// Serves one waiting request to the table, with a fault or without.
    fn serve(&mut self) -> Result<(), String> {
        if self.requests.is_empty() {
            return Ok(());
        }
        let index = self.rng.random_range(0..self.requests.len());
        let request = self.requests.swap_remove(index);
        let fault = if self.faults { self.rng.random_range(0..6) } else { 5 };
        let refused = PlatformError::Refused("outage".into());
        let no_answer = PlatformError::NoAnswer("lost".into());
        match request {
            Request::Transact { owner, shard, transaction } => {
                let result = match fault {
                    0 => Err(refused),
                    1 => Err(no_answer),
                    2 => {
                        self.table.transact(&transaction);
                        Err(no_answer)
                    }
                    _ => Ok(self.table.transact(&transaction)),
                };
                self.step(owner, Event::TransactionDone { shard, result })
            }
            Request::Read { owner, row } => {
                let result = if fault < 2 { Err(no_answer) } else { Ok(self.table.row(&row)) };
                self.step(owner, Event::RowRead { row, result })
            }
        }
    }

    fn advance(&mut self, ms: u64) -> Result<(), String> {
        self.now.0 += ms;
        (0..OWNERS).try_for_each(|owner| self.step(owner, Event::Tick))
    }

    /// An attempt whose caller gave up before the reply.
    fn give_up(&mut self) -> Result<(), String> {
        let Some(attempt) = self.attempts.iter_mut().find(|a| !a.replied && !a.abandoned) else {
            return Ok(());
        };
        attempt.abandoned = true;
        let (owner, claim) = (attempt.owner, attempt.claim.clone());
        self.step(owner, Event::Release(claim))
    }

    /// Serves the table without faults until nothing is open.
    fn settle(&mut self) -> Result<(), String> {
        self.faults = false;
        for _ in 0..400 {
            self.serve()?;
            self.advance(10)?;
        }
        Ok(())
    }
}

fn random_history(seed: u64) -> Result<World, String> {
    let mut world = World::new(seed);
    for _ in 0..200 {
        match world.rng.random_range(0..10) {
            0..=1 => world.submit()?,
            2..=6 => world.serve()?,
            7..=8 => {
                let ms = world.rng.random_range(1..120);
                world.advance(ms)?;
            }
            _ => {
                let ms = world.rng.random_range(1..20);
                world.advance(ms)?;
            }
        }
    }
    Ok(world)
}

/// Guards against a second run of a key: by a lost answer taken for a failure, by two owners, or by
/// a release that frees a key that has run.
#[test]
fn key_runs_at_most_once() {
    fn holds(seed: u64) -> bool {
        match random_history(seed) {
            Ok(_) => true,
            Err(fault) => panic!("seed {seed}: {fault}"),
        }
    }
    common::fixed_quickcheck(2000).quickcheck(holds as fn(u64) -> bool);
}

/// Guards against attempts that are never replied to, and against a table that is left blocked by an
/// outage: after the faults end, everybody has a reply and new keys are granted.
#[test]
fn every_attempt_ends() {
    fn holds(seed: u64) -> bool {
        let mut world = random_history(seed).unwrap_or_else(|f| panic!("seed {seed}: {f}"));
        world.settle().unwrap_or_else(|f| panic!("seed {seed}: {f}"));
        let open = world.attempts.iter().filter(|a| !a.replied).count();
        assert_eq!(open, 0, "seed {seed}: attempts without a reply");
        let before = world.granted;
        let claim = ClaimWire {
            row: SmolStr::new("claim/order/new"),
            token: SmolStr::new("token-new"),
            fingerprint: SmolStr::new("f"),
            deadline_ms: DEADLINE_MS,
        };
        let ticket = world.attempts.len() as u64;
        world.attempts.push(Attempt {
            owner: 0,
            claim: claim.clone(),
            replied: false,
            abandoned: false,
        });
        let event = Event::Claim { ticket, claim, unix_now: UnixMillis(1) };
        world.step(0, event).unwrap_or_else(|f| panic!("seed {seed}: {f}"));
        while !world.requests.is_empty() {
            world.serve().unwrap_or_else(|f| panic!("seed {seed}: {f}"));
        }
        world.granted == before + 1
    }
    common::fixed_quickcheck(500).quickcheck(holds as fn(u64) -> bool);
}

/// Guards against a key that stays claimed for an attempt whose caller gave up, although nothing ran.
#[test]
fn abandoned_attempts_free_the_key() {
    fn holds(seed: u64) -> bool {
        let mut world = World::new(seed);
        for _ in 0..60 {
            let step = match world.rng.random_range(0..4) {
                0 => world.submit(),
                1 => world.serve(),
                2 => world.give_up(),
                _ => world.advance(15),
            };
            step.unwrap_or_else(|f| panic!("seed {seed}: {f}"));
        }
        world.settle().unwrap_or_else(|f| panic!("seed {seed}: {f}"));
        let stuck: Vec<&SmolStr> =
            world.table.rows.keys().filter(|row| !world.runs.contains_key(*row)).collect();
        assert!(stuck.is_empty(), "seed {seed}: claimed but never run: {stuck:?}");
        true
    }
    common::fixed_quickcheck(1000).quickcheck(holds as fn(u64) -> bool);
}
