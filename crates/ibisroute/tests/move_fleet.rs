//! Guards against nodes that disagree about a move, calls that reach a faulty version more than 1 s
//! after its first failure, and outcomes that are lost with the table's responses. Simulates
//! several nodes in memory.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use ibisroute::catalogue::model::Catalogue;
use ibisroute::catalogue::model::Class;
use ibisroute::catalogue::model::Entry;
use ibisroute::catalogue::model::Limits;
use ibisroute::catalogue::model::Move;
use ibisroute::catalogue::model::Objective;
use ibisroute::catalogue::model::Service;
use ibisroute::catalogue::model::WithdrawalSensitivity;
use ibisroute::membership::record::Addresses;
use ibisroute::membership::record::MemberRecord;
use ibisroute::membership::record::MemberView;
use ibisroute::membership::record::Status;
use ibisroute::moves::evaluator::Action;
use ibisroute::moves::evaluator::Evaluator;
use ibisroute::moves::evaluator::Event;
use ibisroute::moves::evaluator::MoveReport;
use ibisroute::moves::move_settings::MoveSettings;
use ibisroute::moves::outcome::Ending;
use ibisroute::moves::outcome::NOT_ENOUGH_EVIDENCE;
use ibisroute::moves::outcome::RecordedOutcome;
use ibisroute::moves::state::Phase;
use ibisroute::snapshot::CompiledCatalogue;
use ibisroute::snapshot::MoveView;
use ibisroute::telemetry::TrafficCounts;
use ibisroute::types::ByteSize;
use ibisroute::types::Head;
use ibisroute::types::Millis;
use ibisroute::types::Percent;
use ibisroute::types::RatePerSecond;
use ibisroute::types::UnixMillis;
use ibisroute::wire::MoveStateWire;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Wall-clock time at the start of each test, in Unix milliseconds.
const TEST_START_UNIX_MS: u64 = 1_000_000;

/// Start of the move, in ms from the start of the test.
const MOVE_START_MS: u64 = 5_000;

/// Time by which the move must finish, in ms from the start of the test.
const FINISH_BY_MS: u64 = 65_000;

/// Duration of a simulation step, in ms.
const STEP_MS: u64 = 50;

/// One-way delay between nodes, in ms.
const DELAY_MS: u64 = 5;

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(s: &str) -> T {
    s.parse().expect("valid name")
}

fn addr(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + node as u16))
}

fn catalogue(withdrawal: WithdrawalSensitivity) -> Arc<CompiledCatalogue> {
    let service = Service {
        name: name("counter"),
        owner: "desk".into(),
        version: name("v1"),
        report_url: None,
        withdrawal,
    };
    let entry = Entry {
        name: name("search"),
        owner: "desk".into(),
        class: Class::CounterQuery,
        service: name("counter"),
        path: "/search".into(),
        methods: vec!["GET".into()],
        idempotency_header: None,
        limits: Limits {
            rate: RatePerSecond(2000.0),
            concurrency: 64,
            deadline: Millis(2000),
            retry: Percent(10.0),
            max_body: ByteSize(65536),
        },
        objective: Objective { min_success: Percent(99.9), latency: Millis(250) },
    };
    let declared = Move {
        id: name("m"),
        service: name("counter"),
        from: name("v1"),
        to: name("v2"),
        start: UnixMillis(TEST_START_UNIX_MS + MOVE_START_MS),
        finish_by: UnixMillis(TEST_START_UNIX_MS + FINISH_BY_MS),
    };
    let catalogue = Catalogue {
        name: "test".into(),
        services: vec![service],
        entries: vec![entry],
        moves: vec![declared],
    };
    Arc::new(CompiledCatalogue::new(Head::default(), catalogue, Arc::from(Vec::new())))
}

fn members(local: usize, count: usize) -> Arc<MemberView> {
    let member = |i: usize| MemberRecord {
        node: name(&format!("n{i:03}")),
        incarnation: 1,
        revision: 1,
        status: Status::Alive,
        data_centre: name("dc"),
        region: name("region"),
        addresses: Addresses { control: addr(i), peer: addr(i), caller: addr(i), admin: addr(i) },
        targets: Vec::new(),
    };
    let local = name(&format!("n{local:03}"));
    Arc::new(MemberView { local, members: (0..count).map(member).collect() })
}

/// A table that holds the outcome row and can fail.
#[derive(Default)]
struct Table {
    row: Option<RecordedOutcome>,
    /// End of an outage, in ms from the start of the test.
    down_until: u64,
    /// Number of writes that take effect but whose response is lost.
    lost_responses: u32,
    /// Nodes whose writes reached the table.
    writers: BTreeSet<String>,
}

impl Table {
    /// Inserts the outcome unless the row exists, like the actor does, and returns the row.
    fn write(&mut self, now: u64, outcome: RecordedOutcome) -> Result<RecordedOutcome, String> {
        if now < self.down_until {
            return Err("down".to_string());
        }
        self.writers.insert(outcome.by.to_string());
        let row = self.row.get_or_insert(outcome).clone();
        if self.lost_responses > 0 {
            self.lost_responses -= 1;
            return Err("no answer".to_string());
        }
        Ok(row)
    }
}

struct Fleet {
    now: u64,
    nodes: Vec<Evaluator>,
    /// Last view of the move, with the new version's share, that each node published.
    views: Vec<MoveView>,
    table: Table,
    /// Number of reports to the owner.
    reports: u32,
    /// Pending events, each with its time in ms from the start of the test and its node.
    queue: Vec<(u64, usize, Event)>,
    rng: SmallRng,
    /// Fraction of datagrams that are lost.
    loss: f64,
}

impl Fleet {
    fn new(count: usize, seed: u64, withdrawal: WithdrawalSensitivity) -> Self {
        let config = catalogue(withdrawal);
        let mut queue = Vec::new();
        let node = |i: usize| {
            queue.push((0, i, Event::Configuration(config.clone())));
            queue.push((0, i, Event::Members(members(i, count))));
            let id = name(&format!("n{i:03}"));
            Evaluator::new(id, 1, MoveSettings::default(), seed + i as u64)
        };
        Self {
            now: 0,
            nodes: (0..count).map(node).collect(),
            views: vec![MoveView::default(); count],
            table: Table::default(),
            reports: 0,
            queue,
            rng: SmallRng::seed_from_u64(seed),
            loss: 0.0,
        }
    }

    fn node_at(&self, to: SocketAddr) -> usize {
        usize::from(to.port()) - 1000
    }

    fn perform(&mut self, from: usize, action: Action) {
        let (now, arrival) = (self.now, self.now + DELAY_MS);
        match action {
            Action::Notify { to, states } => {
                for to in to {
                    let to = self.node_at(to);
                    if self.rng.random::<f64>() >= self.loss {
                        self.queue.push((arrival, to, Event::States(states.clone())));
                    }
                }
            }
            Action::SendEvidence { to, evidence } => {
                let to = self.node_at(to);
                self.queue.push((arrival, to, Event::Evidence(evidence)));
            }
            Action::FetchMoves(to) => {
                let states: Vec<MoveStateWire> = self.nodes[self.node_at(to)].states();
                self.queue.push((arrival + DELAY_MS, from, Event::States(states)));
            }
            Action::ReadOutcome(id) => {
                let row = match now < self.table.down_until {
                    true => Err("down".to_string()),
                    false => Ok(self.table.row.clone()),
                };
                self.queue.push((arrival, from, Event::OutcomeRead(id, row)));
            }
            Action::WriteOutcome(id, outcome) => {
                let write_result = self.table.write(now, outcome);
                self.queue.push((arrival, from, Event::OutcomeWritten(id, write_result)));
            }
            Action::Report { report, .. } => {
                self.reports += 1;
                self.queue.push((arrival, from, Event::Reported(report.id, Ok(()))));
            }
            Action::Publish { views, .. } => {
                self.views[from] = views.values().next().copied().unwrap_or_default();
            }
            Action::Log(..) => {}
        }
    }

    /// Sends a tick to every node and processes all events up to the end of one step.
    fn step(&mut self) {
        for node in 0..self.nodes.len() {
            self.queue.push((self.now, node, Event::Tick));
        }
        let end_ms = self.now + STEP_MS;
        while self.now < end_ms {
            while let Some(i) = self.queue.iter().position(|(at, ..)| *at <= self.now) {
                let (_, node, event) = self.queue.remove(i);
                let unix_now = UnixMillis(TEST_START_UNIX_MS + self.now);
                for action in self.nodes[node].step(Millis(self.now), unix_now, event) {
                    self.perform(node, action);
                }
            }
            self.now += DELAY_MS;
        }
    }

    /// Counts one call on `node`; returns whether it went to the new version, where it fails with
    /// probability `failure_probability`.
    fn count_call(&mut self, node: usize, failure_probability: f64) -> bool {
        let is_new = self.rng.random::<f64>() < self.views[node].share;
        let mut counts = TrafficCounts::default();
        let version = name(if is_new { "v2" } else { "v1" });
        let outcome_counts = counts.attempt_counts_mut(&name("search"), Some(&version));
        outcome_counts.calls = 1;
        outcome_counts.failures =
            u64::from(is_new && self.rng.random::<f64>() < failure_probability);
        outcome_counts.latency.record(20_000);
        self.queue.push((self.now, node, Event::Counts(Arc::new(counts))));
        is_new
    }

    fn move_report(&self, node: usize) -> MoveReport {
        let unix_now = UnixMillis(TEST_START_UNIX_MS + self.now);
        self.nodes[node].move_reports(Millis(self.now), unix_now).remove(0)
    }

    fn phases(&self) -> BTreeMap<usize, Phase> {
        (0..self.nodes.len()).map(|i| (i, self.move_report(i).phase)).collect()
    }

    /// Makes every node fetch the states of its successor, as it does when the hash in a ping
    /// differs from its own.
    fn exchange_states(&mut self) {
        for node in 0..self.nodes.len() {
            let peer = addr((node + 1) % self.nodes.len());
            self.queue.push((self.now, node, Event::PeerStatesDiffer(peer)));
        }
        self.step();
    }

    fn run_until(&mut self, end_ms: u64, calls_per_step: usize, failure_probability: f64) {
        while self.now < end_ms {
            for _ in 0..calls_per_step {
                let node = self.rng.random_range(0..self.nodes.len());
                self.count_call(node, failure_probability);
            }
            self.step();
        }
    }
}

fn assert_phase_on_all(fleet: &Fleet, phase: Phase, seed: u64) {
    let phases = fleet.phases();
    assert!(phases.values().all(|p| *p == phase), "seed {seed}: not all {phase:?}: {phases:?}");
}

/// Guards against a healthy version that is withdrawn, does not finish on a node, or is not
/// reported.
#[test]
fn healthy_version_finishes_on_all_nodes_and_is_reported() {
    let mut fleet = Fleet::new(8, 1, WithdrawalSensitivity::Cautious);
    fleet.run_until(FINISH_BY_MS + 3_000, 6, 0.0);
    assert_phase_on_all(&fleet, Phase::Finished, 1);
    assert!(fleet.views.iter().all(|v| v.share == 1.0), "{:?}", fleet.views);
    assert!(fleet.reports >= 1, "the owner received no report");
}

/// Guards against calls that reach a faulty version more than 1 s after its first failure, also
/// when a fifth of the datagrams is lost.
#[test]
fn faulty_version_receives_no_calls_after_one_second() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(30, seed, WithdrawalSensitivity::Tolerant);
        fleet.loss = 0.2;
        let fault_start = MOVE_START_MS + 35_000;
        fleet.run_until(fault_start, 10, 0.0);
        let stage = fleet.move_report(0).stage;
        assert!(stage >= 4, "seed {seed}: stage {stage}");
        // The fault becomes visible with the first failed call of the new version.
        let mut first_failure = None;
        let mut last_call = 0;
        while fleet.now < fault_start + 5_000 {
            for _ in 0..10 {
                let node = fleet.rng.random_range(0..30);
                if fleet.count_call(node, 1.0) {
                    first_failure.get_or_insert(fleet.now);
                    last_call = fleet.now;
                }
            }
            fleet.step();
        }
        let first_failure = first_failure.expect("calls on the new version");
        assert!(
            last_call - first_failure < 1_000,
            "seed {seed}: last call after {} ms",
            last_call - first_failure
        );
        fleet.exchange_states();
        assert_phase_on_all(&fleet, Phase::Withdrawn, seed);
    }
}

/// Guards against a fault of a rarely called service that is not detected before `finish_by`.
#[test]
fn fault_is_detected_with_at_most_six_calls() {
    for withdrawal in [
        WithdrawalSensitivity::Cautious,
        WithdrawalSensitivity::Balanced,
        WithdrawalSensitivity::Tolerant,
    ] {
        let mut fleet = Fleet::new(4, 3, withdrawal);
        fleet.run_until(MOVE_START_MS + 45_000, 0, 0.0);
        // The service receives one call every two seconds. In the last stage, nine of ten calls go
        // to the new version.
        let mut calls = 0;
        while fleet.move_report(0).phase != Phase::Withdrawn {
            assert!(fleet.now < FINISH_BY_MS, "{withdrawal:?}: not detected with {calls} calls");
            let node = fleet.rng.random_range(0..4);
            calls += u32::from(fleet.count_call(node, 1.0));
            let next_call = fleet.now + 2_000;
            fleet.run_until(next_call, 0, 0.0);
        }
        assert!(calls <= 6, "{withdrawal:?}: {calls} calls on the new version");
    }
}

/// Guards against a service without calls whose moves never finish for lack of evidence.
#[test]
fn service_without_traffic_finishes() {
    let mut fleet = Fleet::new(4, 4, WithdrawalSensitivity::Balanced);
    fleet.run_until(FINISH_BY_MS + 3_000, 0, 0.0);
    assert_phase_on_all(&fleet, Phase::Finished, 4);
}

/// Guards against a version without targets that finishes although it was never called.
#[test]
fn version_without_calls_is_withdrawn() {
    let mut fleet = Fleet::new(4, 5, WithdrawalSensitivity::Balanced);
    while fleet.now < FINISH_BY_MS + 3_000 {
        for _ in 0..10 {
            // The new version has no targets, so that the old version also receives the new
            // version's share of the calls.
            let node = fleet.rng.random_range(0..4);
            fleet.views[node].share = 0.0;
            fleet.count_call(node, 0.0);
        }
        fleet.step();
    }
    assert_phase_on_all(&fleet, Phase::Withdrawn, 5);
    assert_eq!(fleet.move_report(0).reason, NOT_ENOUGH_EVIDENCE);
}

/// Guards against a withdrawal that waits for the table, and against an outcome that is not
/// recorded after the outage.
#[test]
fn withdrawal_takes_effect_while_the_table_is_down() {
    let mut fleet = Fleet::new(8, 6, WithdrawalSensitivity::Balanced);
    fleet.run_until(MOVE_START_MS + 20_000, 10, 0.0);
    fleet.table.down_until = MOVE_START_MS + 40_000;
    fleet.run_until(MOVE_START_MS + 25_000, 10, 1.0);
    assert_phase_on_all(&fleet, Phase::Withdrawn, 6);
    assert!(fleet.table.row.is_none());
    fleet.run_until(MOVE_START_MS + 50_000, 10, 1.0);
    assert_eq!(fleet.table.row.as_ref().map(|r| r.outcome), Some(Ending::TakenBack));
}

/// Guards against a healthy version that is withdrawn because the responses to the writes of the
/// outcome were lost.
#[test]
fn lost_write_responses_do_not_change_the_outcome() {
    let mut fleet = Fleet::new(4, 7, WithdrawalSensitivity::Balanced);
    fleet.table.lost_responses = 3;
    fleet.run_until(FINISH_BY_MS + 10_000, 6, 0.0);
    assert_phase_on_all(&fleet, Phase::Finished, 7);
    assert!(fleet.reports >= 1, "the owner received no report");
}

/// Guards against nodes that disagree when a withdrawal arrives while the finish is being recorded.
#[test]
fn withdrawal_near_the_finish_leaves_one_outcome() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(6, seed, WithdrawalSensitivity::Balanced);
        fleet.run_until(FINISH_BY_MS, 4, 0.0);
        // A node on the other side of a partition withdrew the version while "finished" was
        // written.
        let withdrawn = MoveStateWire {
            id: "m".into(),
            stage: 5,
            finished: false,
            withdrawn: true,
            reason: "failures".into(),
        };
        let node = fleet.rng.random_range(0..6);
        let arrival = FINISH_BY_MS + fleet.rng.random_range(0..1_500);
        fleet.queue.push((arrival, node, Event::States(vec![withdrawn])));
        fleet.run_until(FINISH_BY_MS + 8_000, 4, 0.0);
        fleet.exchange_states();
        let row = fleet.table.row.clone().expect("outcome");
        let expected_phase = match row.outcome {
            Ending::Finished => Phase::Finished,
            Ending::TakenBack => Phase::Withdrawn,
        };
        assert_phase_on_all(&fleet, expected_phase, seed);
    }
}

/// Guards against a restarted fleet that calls a withdrawn version before it can read the outcome.
#[test]
fn restarted_fleet_does_not_repeat_a_withdrawn_move() {
    let mut fleet = Fleet::new(4, 8, WithdrawalSensitivity::Balanced);
    fleet.run_until(MOVE_START_MS + 20_000, 10, 0.0);
    fleet.run_until(MOVE_START_MS + 25_000, 10, 1.0);
    assert_phase_on_all(&fleet, Phase::Withdrawn, 8);
    let mut new_fleet = Fleet::new(4, 9, WithdrawalSensitivity::Balanced);
    new_fleet.table.row = fleet.table.row.clone();
    new_fleet.table.down_until = fleet.now + 5_000;
    new_fleet.now = fleet.now;
    for _ in 0..200 {
        for _ in 0..10 {
            let node = new_fleet.rng.random_range(0..4);
            assert!(!new_fleet.count_call(node, 1.0), "a call went to the withdrawn version");
        }
        new_fleet.step();
    }
    assert_phase_on_all(&new_fleet, Phase::Withdrawn, 8);
}

/// Guards against a node that keeps calling the new version after it observed consecutive failures,
/// that never calls it again, or whose observation alone withdraws the version.
#[test]
fn node_stops_its_own_share_temporarily() {
    let mut fleet = Fleet::new(4, 10, WithdrawalSensitivity::Balanced);
    fleet.run_until(MOVE_START_MS + 30_000, 10, 0.0);
    assert!(fleet.views[1].share > 0.0);
    fleet.queue.push((fleet.now, 1, Event::ConsecutiveFailures(name("m"))));
    fleet.step();
    assert_eq!(fleet.views[1].share, 0.0);
    assert!(
        fleet.views[2].share > 0.0,
        "consecutive failures on one node withdrew a healthy version"
    );
    let end_ms = fleet.now + 6_000;
    fleet.run_until(end_ms, 10, 0.0);
    assert!(fleet.views[1].share > 0.0, "the node did not resume");
}
