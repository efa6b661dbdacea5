//! Decisions of one node about all moves: evidence, stages, withdrawal, outcome and owner report.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::catalogue::model::Move;
use crate::catalogue::model::Service;
use crate::events::EventCode;
use crate::events::moves as codes;
use crate::membership::record::MemberView;
use crate::moves::evidence::Counters;
use crate::moves::evidence::Evidence;
use crate::moves::evidence::NodeEvidence;
use crate::moves::move_settings::MoveSettings;
use crate::moves::outcome::Ending;
use crate::moves::outcome::NOT_ENOUGH_EVIDENCE;
use crate::moves::outcome::OwnerReport;
use crate::moves::outcome::RecordedOutcome;
use crate::moves::schedule;
use crate::moves::state::MoveState;
use crate::moves::state::Phase;
use crate::moves::state::hash_states;
use crate::moves::state::shorten;
use crate::moves::verdict::Judge;
use crate::moves::verdict::WarmUp;
use crate::snapshot::CompiledCatalogue;
use crate::snapshot::MoveView;
use crate::telemetry::TrafficCounts;
use crate::types::Millis;
use crate::types::MoveId;
use crate::types::NodeId;
use crate::types::UnixMillis;
use crate::types::VersionName;
use crate::wire::EvidenceWire;
use crate::wire::MoveStateWire;

/// States of moves that the catalogue in effect does not declare, kept at most.
const MAX_UNDECLARED: usize = 256;

/// Time for which a state of an undeclared move is kept: its catalogue may be on the way.
const KEEP_UNDECLARED: Millis = Millis(600_000);

/// Longest delay of "finished" by an open suspicion that the old version's calls speak against.
const SUSPICION_WAIT: Millis = Millis(4_000);

/// States in one datagram: with the longest ids and reasons they stay below its limit.
const STATES_PER_NOTICE: usize = 4;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into effect.
    Configuration(Arc<CompiledCatalogue>),
    /// The member records changed.
    Members(Arc<MemberView>),
    /// The traffic threads of this node counted calls.
    Counts(Arc<TrafficCounts>),
    /// A traffic thread of this node saw a run of failures of the new version.
    FailureRun(MoveId),
    /// Evidence of a node arrived.
    Evidence(EvidenceWire),
    /// States of a peer arrived.
    States(Vec<MoveStateWire>),
    /// The states of the peer at this address differ from this node's.
    PeerDiffers(SocketAddr),
    /// The outcome row was read; `Err` when the table gave no answer.
    OutcomeRead(MoveId, Result<Option<RecordedOutcome>, String>),
    /// The outcome was written or found written; `Err` when that is not known.
    OutcomeWritten(MoveId, Result<RecordedOutcome, String>),
    /// The report is delivered and its row written; `Err` when not.
    Reported(MoveId, Result<(), String>),
    /// Time has passed.
    Tick,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send states to peers by datagram.
    Notify {
        /// Control addresses.
        to: Vec<SocketAddr>,
        /// At most as many as fit one datagram.
        states: Vec<MoveStateWire>,
    },
    /// Send evidence to an evaluator.
    SendEvidence {
        /// Peer address.
        to: SocketAddr,
        /// Cumulative counters.
        evidence: EvidenceWire,
    },
    /// Ask a peer for its states; answered by [`Event::States`].
    FetchMoves(SocketAddr),
    /// Read the outcome row; answered by [`Event::OutcomeRead`].
    ReadOutcome(MoveId),
    /// Insert the outcome row unless it is there; answered by [`Event::OutcomeWritten`].
    WriteOutcome(MoveId, RecordedOutcome),
    /// Report to the owner unless the report row is there; answered by [`Event::Reported`].
    Report {
        /// HTTP address; `None` when only the row and the log take the report.
        url: Option<SmolStr>,
        /// The report.
        report: OwnerReport,
    },
    /// Publish the shares to the traffic threads and the hash to membership.
    Publish {
        /// Shares by move.
        views: Arc<BTreeMap<MoveId, MoveView>>,
        /// Hash over the states of declared moves.
        hash: u64,
    },
    /// Emit a log event.
    Log(EventCode, String),
}

/// A move as the node sees it, for `GET /moves`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveReport {
    /// Move.
    pub id: MoveId,
    /// Service.
    pub service: SmolStr,
    /// Old version.
    pub from: SmolStr,
    /// New version.
    pub to: SmolStr,
    /// Start.
    pub start_unix_ms: UnixMillis,
    /// Time by which the move finishes or is withdrawn.
    pub finish_by_unix_ms: UnixMillis,
    /// What happens now.
    pub phase: Phase,
    /// Permitted stage, 0 to 5.
    pub stage: u8,
    /// Share of this node's calls for the new version, in percent.
    pub share_percent: f64,
    /// Whether this node stopped its own share after a run of failures.
    pub stopped_here: bool,
    /// Why the new version was withdrawn; empty otherwise.
    pub reason: SmolStr,
    /// Nodes that judge the move.
    pub evaluators: Vec<NodeId>,
    /// Whether this node judges the move.
    pub evaluating: bool,
    /// Calls on the new version that this evaluator knows of.
    pub new_calls: u64,
    /// Calls on both versions that this evaluator knows of.
    pub all_calls: u64,
    /// Recorded outcome, when this node knows it.
    pub outcome: Option<RecordedOutcome>,
    /// Whether the owner has the report, as far as this node knows.
    pub reported: bool,
}

/// Repeats something until it succeeds, with a wait that doubles and a jitter of a half.
#[derive(Clone, Copy, Debug, Default)]
struct Retry {
    in_flight: bool,
    due: Millis,
    failures: u32,
}

impl Retry {
    fn is_due(&self, now: Millis) -> bool {
        !self.in_flight && now >= self.due
    }

    fn failed(&mut self, now: Millis, first: Millis, rng: &mut SmallRng) {
        self.in_flight = false;
        let wait = first.0.saturating_mul(1 << self.failures.min(5)).min(first.0 * 30);
        self.failures += 1;
        self.due = Millis(now.0 + wait / 2 + rng.random_range(0..=wait / 2));
    }
}

/// What a node knows of a declared move besides its state.
struct Track {
    declared: Move,
    /// Whether something may have been recorded before this node knew the move.
    must_read: bool,
    /// Known targets of the new version.
    new_targets: u64,
    own: Counters,
    unsent: bool,
    own_runs: u64,
    stopped_until: Millis,
    evidence: Evidence,
    judge: Judge,
    /// Stage, when it began here, and the calls (new, all) known then.
    stage_mark: (u8, Millis, (u64, u64)),
    read: Retry,
    write: Retry,
    ended_at: Option<Millis>,
    outcome: Option<RecordedOutcome>,
    known_at: Millis,
    report: Retry,
    reported: bool,
    late_withdrawal_logged: bool,
}

impl Track {
    fn new(declared: Move, must_read: bool) -> Self {
        Self {
            declared,
            must_read,
            new_targets: 0,
            own: Counters::new(),
            unsent: false,
            own_runs: 0,
            stopped_until: Millis(0),
            evidence: Evidence::default(),
            judge: Judge::default(),
            stage_mark: (0, Millis(0), (0, 0)),
            read: Retry::default(),
            write: Retry::default(),
            ended_at: None,
            outcome: None,
            known_at: Millis(0),
            report: Retry::default(),
            reported: false,
            late_withdrawal_logged: false,
        }
    }
}

/// A node that judges a move.
#[derive(Clone, Debug)]
struct Owner {
    node: NodeId,
    control: SocketAddr,
    peer: SocketAddr,
}

/// A report of a move that left the catalogue before its owner had the report.
struct OwedReport {
    url: Option<SmolStr>,
    report: OwnerReport,
    due: Millis,
    retry: Retry,
}

/// A notice that goes out again.
struct Push {
    due: Millis,
    ids: Vec<MoveId>,
    sent_to: Vec<SocketAddr>,
}

/// State machine of one node.
pub struct Evaluator {
    node: NodeId,
    incarnation: u64,
    settings: MoveSettings,
    rng: SmallRng,
    config: Option<Arc<CompiledCatalogue>>,
    members: Option<Arc<MemberView>>,
    states: BTreeMap<MoveId, MoveState>,
    undeclared: BTreeMap<MoveId, Millis>,
    tracks: BTreeMap<MoveId, Track>,
    /// Reports that outlive their move's declaration: the owner is told in any case.
    owed: BTreeMap<MoveId, OwedReport>,
    /// Evaluators by move, best first; ranking the whole fleet for each report would cost too much.
    owners: BTreeMap<MoveId, Vec<Owner>>,
    changed: Vec<MoveId>,
    pushes: Vec<Push>,
    evidence_due: Millis,
    published: Option<(Arc<BTreeMap<MoveId, MoveView>>, u64)>,
}

impl Evaluator {
    /// A node that knows nothing yet.
    pub fn new(node: NodeId, incarnation: u64, settings: MoveSettings, seed: u64) -> Self {
        Self {
            node,
            incarnation,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            config: None,
            members: None,
            states: BTreeMap::new(),
            undeclared: BTreeMap::new(),
            tracks: BTreeMap::new(),
            owed: BTreeMap::new(),
            owners: BTreeMap::new(),
            changed: Vec::new(),
            pushes: Vec::new(),
            evidence_due: Millis(0),
            published: None,
        }
    }

    /// Takes an event and returns what to do.
    pub fn step(&mut self, now: Millis, unix_now: UnixMillis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let only = match &event {
            Event::Evidence(wire) => MoveId::try_from(wire.id.clone()).ok(),
            _ => None,
        };
        self.take(now, unix_now, event, &mut actions);
        let ids: Vec<MoveId> = match only {
            Some(id) => vec![id],
            None => self.tracks.keys().cloned().collect(),
        };
        for id in &ids {
            self.decide(now, unix_now, id, &mut actions);
        }
        self.send_owed(now, &mut actions);
        self.send_evidence(now, unix_now, &mut actions);
        self.publish(now, unix_now, &mut actions);
        self.push(now, &mut actions);
        actions
    }

    /// States of the declared moves, as they travel.
    pub fn states(&self) -> Vec<MoveStateWire> {
        let declared = self.states.iter().filter(|(id, _)| self.tracks.contains_key(*id));
        declared.filter(|(_, s)| **s != MoveState::default()).map(|(id, s)| s.to_wire(id)).collect()
    }

    /// The declared moves, for operators.
    pub fn report(&self, now: Millis, unix_now: UnixMillis) -> Vec<MoveReport> {
        self.tracks.iter().map(|(id, track)| self.report_one(now, unix_now, id, track)).collect()
    }

    fn report_one(
        &self,
        now: Millis,
        unix_now: UnixMillis,
        id: &MoveId,
        track: &Track,
    ) -> MoveReport {
        let state = self.states.get(id).cloned().unwrap_or_default();
        let declared = &track.declared;
        let evaluators = self.evaluators(id);
        let (new_calls, all_calls) = track.judge.calls();
        MoveReport {
            id: id.clone(),
            service: declared.service.clone().into(),
            from: declared.from.clone().into(),
            to: declared.to.clone().into(),
            start_unix_ms: declared.start,
            finish_by_unix_ms: declared.finish_by,
            phase: state.phase(),
            stage: state.stage,
            share_percent: self.view(now, unix_now, id, track).share * 100.0,
            stopped_here: track.stopped_until > now,
            reason: if state.phase() == Phase::Withdrawn {
                state.reason
            } else {
                SmolStr::default()
            },
            evaluating: evaluators.contains(&self.node),
            evaluators,
            new_calls,
            all_calls,
            outcome: track.outcome.clone(),
            reported: track.reported,
        }
    }

    fn take(&mut self, now: Millis, unix_now: UnixMillis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Configuration(config) => self.configure(now, unix_now, config),
            Event::Members(members) => {
                self.members = Some(members);
                self.rank_owners();
            }
            Event::Counts(counts) => self.count(&counts),
            Event::FailureRun(id) => self.stop_here(now, &id, actions),
            Event::Evidence(wire) => self.add_evidence(now, wire),
            Event::States(states) => self.merge(now, states, actions),
            Event::PeerDiffers(addr) => actions.push(Action::FetchMoves(addr)),
            Event::OutcomeRead(id, result) => self.outcome_read(now, id, result),
            Event::OutcomeWritten(id, result) => self.outcome_written(now, id, result, actions),
            Event::Reported(id, result) => self.report_done(now, id, result, actions),
            Event::Tick => {}
        }
    }

    fn configure(&mut self, now: Millis, unix_now: UnixMillis, config: Arc<CompiledCatalogue>) {
        let moves = &config.catalogue.moves;
        // Counters live on when only the times change: they are cumulative within a run.
        let same =
            |a: &Move, b: &Move| (&a.service, &a.from, &a.to) == (&b.service, &b.from, &b.to);
        let stays =
            |id: &MoveId, declared: &Move| moves.iter().any(|m| &m.id == id && same(m, declared));
        let leaving = self.tracks.iter().filter(|(id, track)| !stays(id, &track.declared));
        let owed: Vec<_> = leaving.filter_map(|(id, track)| self.owe(id, track)).collect();
        self.owed.extend(owed);
        // A declaration that returns takes its report over.
        self.owed.retain(|id, _| !moves.iter().any(|m| &m.id == id));
        self.tracks.retain(|id, track| stays(id, &track.declared));
        for declared in moves {
            // A move seen before its start cannot have an outcome yet.
            let must_read = unix_now >= declared.start;
            let track = self
                .tracks
                .entry(declared.id.clone())
                .or_insert_with(|| Track::new(declared.clone(), must_read));
            track.declared = declared.clone();
            self.undeclared.remove(&declared.id);
        }
        for id in self.states.keys().filter(|id| !self.tracks.contains_key(*id)) {
            self.undeclared.entry(id.clone()).or_insert(now);
        }
        self.undeclared.retain(|_, since| now.since(*since) < KEEP_UNDECLARED);
        let kept = &self.undeclared;
        let tracks = &self.tracks;
        self.states.retain(|id, _| tracks.contains_key(id) || kept.contains_key(id));
        self.config = Some(config);
        self.rank_owners();
    }

    /// The report that this node, as an evaluator, still has to deliver for a move.
    fn owe(&self, id: &MoveId, track: &Track) -> Option<(MoveId, OwedReport)> {
        let rank = self.rank(id)?;
        let outcome = track.outcome.as_ref().filter(|_| !track.reported)?;
        let service = self.service(&track.declared)?;
        let due = Millis(track.known_at.0 + rank as u64 * self.settings.report_takeover.0);
        // An attempt under way may still fail; its result then makes the next one due.
        let owed = OwedReport {
            url: service.report_url.clone(),
            report: owner_report(&track.declared, outcome, &service),
            due,
            retry: track.report,
        };
        Some((id.clone(), owed))
    }

    fn rank(&self, id: &MoveId) -> Option<usize> {
        self.owners.get(id)?.iter().position(|o| o.node == self.node)
    }

    fn send_owed(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for owed in self.owed.values_mut() {
            if now < owed.due || !owed.retry.is_due(now) {
                continue;
            }
            owed.retry.in_flight = true;
            let (url, report) = (owed.url.clone(), owed.report.clone());
            actions.push(Action::Report { url, report });
        }
    }

    fn rank_owners(&mut self) {
        let Some(members) = &self.members else { return };
        let count = self.settings.evaluators;
        let rank = |id: &MoveId| {
            members.owners(id.as_str(), count).into_iter().map(|m| Owner {
                node: m.node.clone(),
                control: m.addresses.control,
                peer: m.addresses.peer,
            })
        };
        self.owners = self.tracks.keys().map(|id| (id.clone(), rank(id).collect())).collect();
        for track in self.tracks.values_mut() {
            let declared = &track.declared;
            let targets = members.live().flat_map(|m| &m.targets);
            let new = targets.filter(|t| t.service == declared.service && t.version == declared.to);
            track.new_targets = new.count() as u64;
        }
    }

    fn count(&mut self, counts: &TrafficCounts) {
        let Some(config) = &self.config else { return };
        for ((entry, version), added) in &counts.outcomes {
            let Some(version) = version else { continue };
            let Some(declared) = config.entry(entry.as_str()) else { continue };
            let Some(id) = config.move_of(&declared.service).map(|m| &m.id) else { continue };
            let Some(track) = self.tracks.get_mut(id) else { continue };
            if *version == track.declared.from || *version == track.declared.to {
                track.own.entry((entry.clone(), version.clone())).or_default().add(added);
                track.unsent = true;
            }
        }
    }

    fn stop_here(&mut self, now: Millis, id: &MoveId, actions: &mut Vec<Action>) {
        let Some(track) = self.tracks.get_mut(id) else { return };
        track.own_runs += 1;
        track.unsent = true;
        if track.stopped_until <= now {
            let detail = format!("move {id}: this node sends no calls to the new version");
            actions.push(Action::Log(codes::STOPPED_HERE, detail));
        }
        track.stopped_until = Millis(now.0 + self.settings.local_stop.0);
        self.evidence_due = now;
    }

    fn add_evidence(&mut self, now: Millis, wire: EvidenceWire) {
        let Ok(id) = MoveId::try_from(wire.id.clone()) else { return };
        let Ok(report) = NodeEvidence::try_from(wire) else { return };
        let Some(config) = self.config.clone() else { return };
        let state = self.states.get(&id).cloned().unwrap_or_default();
        let Some(track) = self.tracks.get_mut(&id) else { return };
        if state.phase() == Phase::Finished || state.phase() == Phase::Withdrawn {
            return;
        }
        let added = track.evidence.merge(&report);
        if added.failure_runs > 0 {
            track.judge.add_run(now, report.node.as_str());
        }
        let length = schedule::duration(&track.declared).0;
        let stage_warm_up = self.settings.stage_warm_up.0.min(length / 50);
        let warm_up = WarmUp {
            first: Millis(self.settings.warm_up.0.min(length / 10)),
            calls: self.settings.warm_up_calls * track.new_targets.max(1),
            longest: Millis((length as f64 * self.settings.last_stage_percent / 200.0) as u64),
            stage_until: Millis(track.stage_mark.1.0 + stage_warm_up),
        };
        let to = track.declared.to.clone();
        let is_new = |version: &VersionName| *version == to;
        // The old version first: its counts of the same report are part of the comparison.
        for ((entry, version), counts) in added.counters.iter().filter(|((_, v), _)| !is_new(v)) {
            let Some(known) = config.entry(entry.as_str()) else { continue };
            if *version == track.declared.from {
                track.judge.add_old(now, entry, counts, known.objective.latency);
            }
        }
        for ((entry, _), counts) in added.counters.iter().filter(|((_, v), _)| is_new(v)) {
            let Some(known) = config.entry(entry.as_str()) else { continue };
            let settled = !added.first;
            track.judge.add_new(now, entry, counts, known.objective.latency, warm_up, settled);
        }
    }

    fn merge(&mut self, now: Millis, states: Vec<MoveStateWire>, actions: &mut Vec<Action>) {
        for wire in states {
            let Ok((id, state)) = <(MoveId, MoveState)>::try_from(wire) else { continue };
            self.raise(now, &id, &state, actions);
        }
    }

    /// Merges a state into this node's; a change is published and pushed to peers.
    fn raise(&mut self, now: Millis, id: &MoveId, state: &MoveState, actions: &mut Vec<Action>) {
        if !self.tracks.contains_key(id) && !self.states.contains_key(id) {
            if self.undeclared.len() >= MAX_UNDECLARED {
                return;
            }
            self.undeclared.insert(id.clone(), now);
        }
        let known = self.states.entry(id.clone()).or_default();
        let before = known.phase();
        if !known.merge(state) {
            return;
        }
        let (phase, reason) = (known.phase(), known.reason.clone());
        let contradicted = known.finished && known.withdrawn;
        self.changed.push(id.clone());
        if phase != before {
            let code = match phase {
                Phase::Withdrawn => codes::WITHDRAWN,
                Phase::Finished => codes::FINISHED,
                _ => codes::STARTED,
            };
            actions.push(Action::Log(code, format!("move {id}: {reason}")));
        }
        let Some(track) = self.tracks.get_mut(id) else { return };
        if matches!(phase, Phase::Finished | Phase::Withdrawn) && track.ended_at.is_none() {
            track.ended_at = Some(now);
        }
        if contradicted && !track.late_withdrawal_logged {
            track.late_withdrawal_logged = true;
            let detail = format!("move {id} is recorded as finished; not withdrawn: {reason}");
            actions.push(Action::Log(codes::LATE_WITHDRAWAL, detail));
        }
    }

    fn outcome_read(
        &mut self,
        now: Millis,
        id: MoveId,
        result: Result<Option<RecordedOutcome>, String>,
    ) {
        let first = self.settings.retry;
        let Some(track) = self.tracks.get_mut(&id) else { return };
        match result {
            Ok(found) => {
                track.read = Retry::default();
                track.must_read = false;
                if let Some(outcome) = found {
                    track.outcome = Some(outcome);
                    track.known_at = now;
                }
            }
            Err(_) => track.read.failed(now, first, &mut self.rng),
        }
    }

    fn outcome_written(
        &mut self,
        now: Millis,
        id: MoveId,
        result: Result<RecordedOutcome, String>,
        actions: &mut Vec<Action>,
    ) {
        let first = self.settings.retry;
        let Some(track) = self.tracks.get_mut(&id) else { return };
        match result {
            Ok(outcome) => {
                track.write = Retry::default();
                track.known_at = now;
                track.outcome = Some(outcome);
            }
            Err(error) => {
                if track.write.failures == 0 {
                    let detail = format!("move {id}: {error}; repeated until known");
                    actions.push(Action::Log(codes::OUTCOME_DELAYED, detail));
                }
                track.write.failed(now, first, &mut self.rng);
            }
        }
    }

    fn report_done(
        &mut self,
        now: Millis,
        id: MoveId,
        result: Result<(), String>,
        actions: &mut Vec<Action>,
    ) {
        let first = Millis(self.settings.retry.0 * 5);
        if let Some(owed) = self.owed.get_mut(&id) {
            match result {
                Ok(()) => {
                    self.owed.remove(&id);
                    actions.push(Action::Log(codes::REPORTED, format!("move {id}")));
                }
                Err(_) => owed.retry.failed(now, first, &mut self.rng),
            }
            return;
        }
        let Some(track) = self.tracks.get_mut(&id) else { return };
        match result {
            Ok(()) => {
                track.report.in_flight = false;
                track.reported = true;
                actions.push(Action::Log(codes::REPORTED, format!("move {id}")));
            }
            Err(error) => {
                if track.report.failures == 0 {
                    let detail = format!("move {id}: {error}; repeated until delivered");
                    actions.push(Action::Log(codes::REPORT_DELAYED, detail));
                }
                track.report.failed(now, first, &mut self.rng);
            }
        }
    }

    fn evaluators(&self, id: &MoveId) -> Vec<NodeId> {
        self.owners.get(id).into_iter().flatten().map(|o| o.node.clone()).collect()
    }

    fn service(&self, declared: &Move) -> Option<Service> {
        self.config.as_ref()?.service(&declared.service).cloned()
    }

    /// Takes the decisions of an evaluator about one move.
    fn decide(
        &mut self,
        now: Millis,
        unix_now: UnixMillis,
        id: &MoveId,
        actions: &mut Vec<Action>,
    ) {
        self.adopt_outcome(now, id, actions);
        let Some(rank) = self.rank(id) else { return };
        let state = self.states.get(id).cloned().unwrap_or_default();
        self.mark_stage(now, id, &state);
        let Some(track) = self.tracks.get_mut(id) else { return };
        if track.must_read && state.stage == 0 && state.phase() == Phase::Waiting {
            if track.read.is_due(now) {
                track.read.in_flight = true;
                actions.push(Action::ReadOutcome(id.clone()));
            }
            return;
        }
        match state.phase() {
            Phase::Waiting | Phase::Moving => self.advance(now, unix_now, id, &state, actions),
            Phase::Finished | Phase::Withdrawn => {}
        }
        let state = self.states.get(id).cloned().unwrap_or_default();
        self.record(now, unix_now, id, &state, rank, actions);
        self.tell_owner(now, id, rank, actions);
    }

    /// The recorded outcome is the authority: it becomes the state of every node.
    fn adopt_outcome(&mut self, now: Millis, id: &MoveId, actions: &mut Vec<Action>) {
        let Some(outcome) = self.tracks.get(id).and_then(|t| t.outcome.clone()) else { return };
        let finished = outcome.outcome == Ending::Finished;
        let state = MoveState {
            stage: if finished { schedule::LAST_STAGE } else { 0 },
            finished,
            withdrawn: !finished,
            reason: if finished { SmolStr::default() } else { shorten(&outcome.reason) },
        };
        self.raise(now, id, &state, actions);
    }

    fn mark_stage(&mut self, now: Millis, id: &MoveId, state: &MoveState) {
        let Some(track) = self.tracks.get_mut(id) else { return };
        if track.stage_mark.0 != state.stage {
            track.stage_mark = (state.stage, now, track.judge.calls());
            track.judge.begin_stage(now);
        }
    }

    fn advance(
        &mut self,
        now: Millis,
        unix_now: UnixMillis,
        id: &MoveId,
        state: &MoveState,
        actions: &mut Vec<Action>,
    ) {
        let Some(service) = self.tracks.get(id).and_then(|t| self.service(&t.declared)) else {
            return;
        };
        let thresholds = self.settings.thresholds(service.withdrawal);
        let Some(track) = self.tracks.get_mut(id) else { return };
        if let Some(condemned) = track.judge.judge(now, &thresholds) {
            let reason = shorten(&condemned.reason());
            let withdrawn = MoveState { withdrawn: true, reason, ..state.clone() };
            return self.raise(now, id, &withdrawn, actions);
        }
        let permitted = schedule::stage_at(&track.declared, &self.settings, unix_now);
        if unix_now >= track.declared.finish_by || state.stage >= permitted {
            return;
        }
        let ready = state.stage == 0
            || (now.since(track.stage_mark.1)
                >= schedule::least_stage_time(&track.declared, &self.settings)
                && has_evidence(track, state.stage, &self.settings)
                && !track.judge.is_suspicious());
        if !ready {
            return;
        }
        let next = MoveState { stage: state.stage + 1, ..state.clone() };
        self.raise(now, id, &next, actions);
        self.mark_stage(now, id, &next);
        let detail = format!("move {id}: stage {} of {}", next.stage, schedule::LAST_STAGE);
        actions.push(Action::Log(codes::STAGE, detail));
    }

    /// Writes the outcome when it is decided, until it is known.
    fn record(
        &mut self,
        now: Millis,
        unix_now: UnixMillis,
        id: &MoveId,
        state: &MoveState,
        rank: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(track) = self.tracks.get_mut(id) else { return };
        if track.outcome.is_some() || !track.write.is_due(now) {
            return;
        }
        let due = UnixMillis(track.declared.finish_by.0 + self.settings.settle.0);
        let leaning = match track.judge.is_suspicious() && unix_now >= due {
            true => track.judge.leaning(now),
            false => None,
        };
        let (outcome, reason) = match state.phase() {
            Phase::Withdrawn => (Ending::TakenBack, state.reason.clone()),
            // The row is there already; the write only finds it.
            Phase::Finished => (Ending::Finished, SmolStr::default()),
            _ if unix_now < due => return,
            _ if leaning.is_some() => {
                (Ending::TakenBack, leaning.map(|l| shorten(&l.reason())).unwrap_or_default())
            }
            _ if track.judge.is_suspicious() && unix_now.0 < due.0 + SUSPICION_WAIT.0 => return,
            _ if state.stage == schedule::LAST_STAGE
                && has_evidence(track, state.stage, &self.settings) =>
            {
                (Ending::Finished, SmolStr::new("all stages passed"))
            }
            _ => (Ending::TakenBack, SmolStr::new(NOT_ENOUGH_EVIDENCE)),
        };
        let decided = *track.ended_at.get_or_insert(now);
        if now.since(decided).0 < rank as u64 * self.settings.outcome_takeover.0 {
            return;
        }
        track.write.in_flight = true;
        let by = self.node.clone();
        let withdraw = outcome == Ending::TakenBack && state.phase() != Phase::Withdrawn;
        let recorded = RecordedOutcome { outcome, reason: reason.clone(), unix_ms: unix_now, by };
        actions.push(Action::WriteOutcome(id.clone(), recorded));
        // A withdrawal takes effect without the table; only its record waits.
        if withdraw {
            let state = MoveState { withdrawn: true, reason, ..state.clone() };
            self.raise(now, id, &state, actions);
        }
    }

    fn tell_owner(&mut self, now: Millis, id: &MoveId, rank: usize, actions: &mut Vec<Action>) {
        let Some(service) = self.tracks.get(id).and_then(|t| self.service(&t.declared)) else {
            return;
        };
        let Some(track) = self.tracks.get_mut(id) else { return };
        let Some(outcome) = &track.outcome else { return };
        let turn = rank as u64 * self.settings.report_takeover.0;
        if track.reported || !track.report.is_due(now) || now.since(track.known_at).0 < turn {
            return;
        }
        track.report.in_flight = true;
        let report = owner_report(&track.declared, outcome, &service);
        actions.push(Action::Report { url: service.report_url, report });
    }

    fn send_evidence(&mut self, now: Millis, unix_now: UnixMillis, actions: &mut Vec<Action>) {
        if now < self.evidence_due {
            return;
        }
        self.evidence_due = Millis(now.0 + self.settings.evidence_interval.0);
        let ids: Vec<MoveId> =
            self.tracks.iter().filter(|(_, t)| t.unsent).map(|(id, _)| id.clone()).collect();
        for id in ids {
            let phase = self.states.get(&id).map_or(Phase::Waiting, MoveState::phase);
            let Some(track) = self.tracks.get_mut(&id) else { continue };
            let begun = unix_now.0 + self.settings.evidence_before.0 >= track.declared.start.0;
            if !begun || matches!(phase, Phase::Finished | Phase::Withdrawn) {
                continue;
            }
            track.unsent = false;
            let evidence = EvidenceWire {
                id: id.clone().into(),
                node: self.node.clone().into(),
                incarnation: self.incarnation,
                counts: track
                    .own
                    .iter()
                    .map(|((e, v), c)| (e.clone().into(), v.clone().into(), c.clone()))
                    .collect(),
                failure_runs: track.own_runs,
            };
            for owner in self.owners.get(&id).cloned().unwrap_or_default() {
                if owner.node == self.node {
                    self.add_evidence(now, evidence.clone());
                    self.decide(now, unix_now, &id, actions);
                    continue;
                }
                let to = owner.peer;
                actions.push(Action::SendEvidence { to, evidence: evidence.clone() });
            }
        }
    }

    fn view(&self, now: Millis, unix_now: UnixMillis, id: &MoveId, track: &Track) -> MoveView {
        let state = self.states.get(id).cloned().unwrap_or_default();
        match state.phase() {
            Phase::Finished => MoveView { share: 1.0, max_rate: None, withdrawn: false },
            Phase::Withdrawn => MoveView { share: 0.0, max_rate: None, withdrawn: true },
            _ if unix_now < track.declared.start || track.stopped_until > now => {
                MoveView::default()
            }
            _ => {
                let live = self.members.as_ref().map_or(1, |m| m.live().count()).max(1);
                let cap = self.settings.first_stage_rate / live as f64;
                let share = schedule::share(state.stage, &self.settings);
                MoveView { share, max_rate: (state.stage == 1).then_some(cap), withdrawn: false }
            }
        }
    }

    fn publish(&mut self, now: Millis, unix_now: UnixMillis, actions: &mut Vec<Action>) {
        let views: BTreeMap<MoveId, MoveView> = self
            .tracks
            .iter()
            .map(|(id, track)| (id.clone(), self.view(now, unix_now, id, track)))
            .collect();
        let declared = self.states.iter().filter(|(id, _)| self.tracks.contains_key(*id));
        let hash = hash_states(declared);
        if self.published.as_ref().is_some_and(|(v, h)| **v == views && *h == hash) {
            return;
        }
        let views = Arc::new(views);
        self.published = Some((views.clone(), hash));
        actions.push(Action::Publish { views, hash });
    }

    /// Sends changed states to some peers now, and to others after a short delay.
    fn push(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut ids = std::mem::take(&mut self.changed);
        ids.sort();
        ids.dedup();
        if !ids.is_empty() {
            let sent_to = self.notify(&ids, &[], actions);
            self.pushes.push(Push {
                due: Millis(now.0 + self.settings.push_again.0),
                ids,
                sent_to,
            });
        }
        let (due, later) =
            std::mem::take(&mut self.pushes).into_iter().partition(|push| push.due <= now);
        self.pushes = later;
        let due: Vec<Push> = due;
        for push in due {
            self.notify(&push.ids, &push.sent_to, actions);
        }
    }

    fn notify(
        &mut self,
        ids: &[MoveId],
        except: &[SocketAddr],
        actions: &mut Vec<Action>,
    ) -> Vec<SocketAddr> {
        let Some(members) = &self.members else { return Vec::new() };
        let peers: Vec<SocketAddr> = members
            .live()
            .filter(|m| m.node != self.node && !except.contains(&m.addresses.control))
            .map(|m| m.addresses.control)
            .collect();
        let mut to: Vec<SocketAddr> =
            peers.choose_multiple(&mut self.rng, self.settings.push_peers).copied().collect();
        // The other evaluators of a move hear of it first, so that they do not decide otherwise.
        for id in ids.iter().filter(|id| self.tracks.contains_key(*id)) {
            for owner in self.owners.get(id).into_iter().flatten() {
                let addr = owner.control;
                if owner.node != self.node && except.is_empty() && !to.contains(&addr) {
                    to.push(addr);
                }
            }
        }
        if to.is_empty() {
            return to;
        }
        let states: Vec<MoveStateWire> =
            ids.iter().filter_map(|id| self.states.get(id).map(|s| s.to_wire(id))).collect();
        for chunk in states.chunks(STATES_PER_NOTICE) {
            actions.push(Action::Notify { to: to.clone(), states: chunk.to_vec() });
        }
        to
    }
}

fn owner_report(declared: &Move, outcome: &RecordedOutcome, service: &Service) -> OwnerReport {
    OwnerReport {
        identity: SmolStr::new(format!("{}/{}", declared.id, outcome.unix_ms.0)),
        id: declared.id.clone(),
        service: declared.service.clone().into(),
        owner: service.owner.clone(),
        from: declared.from.clone().into(),
        to: declared.to.clone().into(),
        outcome: outcome.outcome,
        reason: outcome.reason.clone(),
        start_unix_ms: declared.start,
        finish_by_unix_ms: declared.finish_by,
        ended_unix_ms: outcome.unix_ms,
    }
}

fn has_evidence(track: &Track, stage: u8, settings: &MoveSettings) -> bool {
    let (new, all) = track.judge.calls();
    let (new_before, all_before) = track.stage_mark.2;
    let share = schedule::share(stage, settings);
    let needed = schedule::needed_calls(all.saturating_sub(all_before), share, settings);
    new.saturating_sub(new_before) >= needed
}
