//! State machine of one node for all moves: evidence, stages, withdrawal, outcome and owner report.

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
use crate::moves::state::truncate_reason;
use crate::moves::verdict::CanaryAnalysis;
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

/// Maximum number of moves whose state is kept although the catalogue in effect does not declare
/// them.
const MAX_UNDECLARED_MOVES: usize = 256;

/// Time for which the state of an undeclared move is kept: the catalogue that declares it may not
/// have arrived yet.
const UNDECLARED_RETENTION: Millis = Millis(600_000);

/// Maximum time for which a suspected fault that is not confirmed delays a due outcome.
const SUSPECTED_FAULT_WAIT: Millis = Millis(4_000);

/// Maximum number of states in one datagram. With the longest ids and reasons they do not exceed
/// the maximum size of a datagram.
const STATES_PER_NOTICE: usize = 4;

/// Input of [`Evaluator::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration took effect.
    Configuration(Arc<CompiledCatalogue>),
    /// The member records changed.
    Members(Arc<MemberView>),
    /// Calls counted by the traffic threads of this node.
    Counts(Arc<TrafficCounts>),
    /// A traffic thread of this node observed consecutive failures of the new version.
    ConsecutiveFailures(MoveId),
    /// Evidence received from a node.
    Evidence(EvidenceWire),
    /// Move states received from a peer.
    States(Vec<MoveStateWire>),
    /// The move states of a peer differ from those of this node. The peer serves control requests
    /// at this address.
    PeerStatesDiffer(SocketAddr),
    /// Result of [`Action::ReadOutcome`]; `Err` if the row could not be read.
    OutcomeRead(MoveId, Result<Option<RecordedOutcome>, String>),
    /// Result of [`Action::WriteOutcome`]: the outcome of the first writer; `Err` if the recorded
    /// outcome could not be determined.
    OutcomeWritten(MoveId, Result<RecordedOutcome, String>),
    /// Result of [`Action::Report`]: `Ok` once the report is delivered and its row is written.
    Reported(MoveId, Result<(), String>),
    /// The actor's timer fired.
    Tick,
}

/// Output of [`Evaluator::step`], performed by the actor.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send move states to peers by datagram.
    Notify {
        /// Control addresses of the receivers.
        to: Vec<SocketAddr>,
        /// At most `STATES_PER_NOTICE` states, which fit into one datagram.
        states: Vec<MoveStateWire>,
    },
    /// Send evidence to an evaluator.
    SendEvidence {
        to: SocketAddr,
        /// Counters are cumulative, so evidence that is lost need not be sent again.
        evidence: EvidenceWire,
    },
    /// Request the move states of a peer; completed by [`Event::States`].
    FetchMoves(SocketAddr),
    /// Read the outcome row; completed by [`Event::OutcomeRead`].
    ReadOutcome(MoveId),
    /// Insert the outcome row unless it exists; completed by [`Event::OutcomeWritten`].
    WriteOutcome(MoveId, RecordedOutcome),
    /// Report to the owner unless the report row exists; completed by [`Event::Reported`].
    Report {
        /// HTTP address to which the report is sent; `None` if it is only written to its row.
        url: Option<SmolStr>,
        report: OwnerReport,
    },
    /// Publish the traffic shares to the traffic threads and the hash of the move states to
    /// membership.
    Publish {
        views: Arc<BTreeMap<MoveId, MoveView>>,
        /// Hash over the states of declared moves.
        hash: u64,
    },
    /// Emit a log event.
    Log(EventCode, String),
}

/// Status of a move on this node, for `GET /moves`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveReport {
    pub id: MoveId,
    pub service: SmolStr,
    /// Version that the move replaces.
    pub from: SmolStr,
    /// Version that the move introduces.
    pub to: SmolStr,
    pub start_unix_ms: UnixMillis,
    /// Time by which the move must finish; otherwise the new version is withdrawn.
    pub finish_by_unix_ms: UnixMillis,
    pub phase: Phase,
    /// Permitted stage, 0 to 5.
    pub stage: u8,
    /// Share of this node's calls that goes to the new version, in percent.
    pub share_percent: f64,
    /// Whether this node has stopped its own share after consecutive failures.
    pub stopped_here: bool,
    /// Reason of the withdrawal; empty if the new version is not withdrawn.
    pub reason: SmolStr,
    /// Nodes that evaluate the move, highest rank first.
    pub evaluators: Vec<NodeId>,
    /// Whether this node is one of the evaluators.
    pub evaluating: bool,
    /// Executed calls on the new version in the evidence that this node has received; 0 unless it
    /// evaluates the move.
    pub new_calls: u64,
    /// Calls on both versions in the evidence that this node has received; 0 unless it evaluates
    /// the move.
    pub all_calls: u64,
    /// Recorded outcome; `None` if there is none or this node has not read it.
    pub outcome: Option<RecordedOutcome>,
    /// Whether this node has delivered the report to the owner or found it delivered.
    pub reported: bool,
}

/// Retry state of an operation. The delay grows exponentially with the failures, and half of it is
/// jitter.
#[derive(Clone, Copy, Debug, Default)]
struct Retry {
    in_flight: bool,
    next_attempt_at: Millis,
    failures: u32,
}

impl Retry {
    fn is_due(&self, now: Millis) -> bool {
        !self.in_flight && now >= self.next_attempt_at
    }

    fn schedule_retry(&mut self, now: Millis, base_delay: Millis, rng: &mut SmallRng) {
        self.in_flight = false;
        let delay = base_delay.0.saturating_mul(1 << self.failures.min(5)).min(base_delay.0 * 30);
        self.failures += 1;
        self.next_attempt_at = Millis(now.0 + delay / 2 + rng.random_range(0..=delay / 2));
    }
}

/// What this node stores about a declared move besides the [`MoveState`], which all nodes exchange.
struct TrackedMove {
    declared: Move,
    /// Whether an outcome may have been recorded before this node discovered the move.
    must_read_outcome: bool,
    /// Number of targets of the new version on live nodes.
    new_targets: u64,
    own_counters: Counters,
    has_unsent_evidence: bool,
    /// Number of series of consecutive failures of the new version that this node has observed.
    own_failure_runs: u64,
    /// End of the time for which this node keeps its own share at zero.
    stopped_until: Millis,
    evidence: Evidence,
    analysis: CanaryAnalysis,
    stage_start: StageStart,
    read_retry: Retry,
    write_retry: Retry,
    /// When this node first decided the outcome or received it from a peer; `None` before. The
    /// takeover delay of the evaluators is counted from then.
    decided_at: Option<Millis>,
    /// Recorded outcome; `None` until this node has read or written its row.
    outcome: Option<RecordedOutcome>,
    /// When `outcome` was set; not used while it is `None`.
    outcome_known_at: Millis,
    report_retry: Retry,
    reported: bool,
    late_withdrawal_logged: bool,
}

impl TrackedMove {
    fn new(declared: Move, must_read_outcome: bool) -> Self {
        Self {
            declared,
            must_read_outcome,
            new_targets: 0,
            own_counters: Counters::new(),
            has_unsent_evidence: false,
            own_failure_runs: 0,
            stopped_until: Millis(0),
            evidence: Evidence::default(),
            analysis: CanaryAnalysis::default(),
            stage_start: StageStart::default(),
            read_retry: Retry::default(),
            write_retry: Retry::default(),
            decided_at: None,
            outcome: None,
            outcome_known_at: Millis(0),
            report_retry: Retry::default(),
            reported: false,
            late_withdrawal_logged: false,
        }
    }
}

/// When the current stage of a move began on this node, and the calls counted until then.
#[derive(Clone, Copy, Debug, Default)]
struct StageStart {
    stage: u8,
    at: Millis,
    /// Calls on the new version before the stage.
    new_calls: u64,
    /// Calls on both versions before the stage.
    all_calls: u64,
}

/// A node that evaluates a move.
#[derive(Clone, Debug)]
struct EvaluatorNode {
    node: NodeId,
    control_addr: SocketAddr,
    peer_addr: SocketAddr,
}

/// A report of a move that was removed from the catalogue before the report was delivered.
struct PendingReport {
    url: Option<SmolStr>,
    report: OwnerReport,
    /// Start of the first attempt: evaluators of a lower rank wait longer.
    first_attempt_at: Millis,
    retry: Retry,
}

/// A notice of changed states whose second transmission, to other peers, is pending.
struct PendingNotice {
    send_at: Millis,
    ids: Vec<MoveId>,
    /// Receivers of the first transmission, which the second one excludes.
    sent_to: Vec<SocketAddr>,
}

/// State machine of one node. It performs no input or output; see [`Event`] and [`Action`].
pub struct Evaluator {
    node: NodeId,
    incarnation: u64,
    settings: MoveSettings,
    rng: SmallRng,
    config: Option<Arc<CompiledCatalogue>>,
    members: Option<Arc<MemberView>>,
    states: BTreeMap<MoveId, MoveState>,
    /// Moves in `states` that the configuration does not declare, with the time at which each was
    /// first found undeclared.
    undeclared_since: BTreeMap<MoveId, Millis>,
    tracked_moves: BTreeMap<MoveId, TrackedMove>,
    /// Undelivered owner reports of moves that have been removed from the catalogue.
    pending_reports: BTreeMap<MoveId, PendingReport>,
    /// Evaluators by move, highest rank first. Cached because ranking the whole fleet for each
    /// received report would cost too much.
    evaluators: BTreeMap<MoveId, Vec<EvaluatorNode>>,
    /// Moves whose changed states have not been sent yet.
    unsent: Vec<MoveId>,
    pending_notices: Vec<PendingNotice>,
    next_evidence_at: Millis,
    /// Shares and hash of the last [`Action::Publish`].
    published: Option<(Arc<BTreeMap<MoveId, MoveView>>, u64)>,
}

impl Evaluator {
    /// Creates the state machine of a node that has not received a configuration or member records
    /// yet.
    pub fn new(node: NodeId, incarnation: u64, settings: MoveSettings, seed: u64) -> Self {
        Self {
            node,
            incarnation,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            config: None,
            members: None,
            states: BTreeMap::new(),
            undeclared_since: BTreeMap::new(),
            tracked_moves: BTreeMap::new(),
            pending_reports: BTreeMap::new(),
            evaluators: BTreeMap::new(),
            unsent: Vec::new(),
            pending_notices: Vec::new(),
            next_evidence_at: Millis(0),
            published: None,
        }
    }

    /// Processes an event and returns the resulting actions in order.
    pub fn step(&mut self, now: Millis, unix_now: UnixMillis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        // An evidence event affects only the move that it names; any other event may affect all
        // moves.
        let evidence_id = match &event {
            Event::Evidence(wire) => MoveId::try_from(wire.id.clone()).ok(),
            _ => None,
        };
        self.apply_event(now, unix_now, event, &mut actions);
        let ids: Vec<MoveId> = match evidence_id {
            Some(id) => vec![id],
            None => self.tracked_moves.keys().cloned().collect(),
        };
        for id in &ids {
            self.decide(now, unix_now, id, &mut actions);
        }
        self.send_pending_reports(now, &mut actions);
        self.send_evidence(now, unix_now, &mut actions);
        self.publish(now, unix_now, &mut actions);
        self.send_changed_states(now, &mut actions);
        actions
    }

    /// Returns the non-default states of the declared moves in wire format.
    pub fn states(&self) -> Vec<MoveStateWire> {
        let declared_states =
            self.states.iter().filter(|(id, _)| self.tracked_moves.contains_key(*id));
        declared_states
            .filter(|(_, s)| **s != MoveState::default())
            .map(|(id, s)| s.to_wire(id))
            .collect()
    }

    /// Returns the status of all declared moves for `GET /moves`.
    pub fn move_reports(&self, now: Millis, unix_now: UnixMillis) -> Vec<MoveReport> {
        self.tracked_moves
            .iter()
            .map(|(id, tracked_move)| self.move_report(now, unix_now, id, tracked_move))
            .collect()
    }

    fn move_report(
        &self,
        now: Millis,
        unix_now: UnixMillis,
        id: &MoveId,
        tracked_move: &TrackedMove,
    ) -> MoveReport {
        let state = self.states.get(id).cloned().unwrap_or_default();
        let declared = &tracked_move.declared;
        let evaluators = self.evaluator_ids(id);
        let (new_calls, all_calls) = tracked_move.analysis.new_and_all_calls();
        MoveReport {
            id: id.clone(),
            service: declared.service.clone().into(),
            from: declared.from.clone().into(),
            to: declared.to.clone().into(),
            start_unix_ms: declared.start,
            finish_by_unix_ms: declared.finish_by,
            phase: state.phase(),
            stage: state.stage,
            share_percent: self.move_view(now, unix_now, id, tracked_move).share * 100.0,
            stopped_here: tracked_move.stopped_until > now,
            reason: if state.phase() == Phase::Withdrawn {
                state.reason
            } else {
                SmolStr::default()
            },
            evaluating: evaluators.contains(&self.node),
            evaluators,
            new_calls,
            all_calls,
            outcome: tracked_move.outcome.clone(),
            reported: tracked_move.reported,
        }
    }

    fn apply_event(
        &mut self,
        now: Millis,
        unix_now: UnixMillis,
        event: Event,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::Configuration(config) => self.apply_configuration(now, unix_now, config),
            Event::Members(members) => {
                self.members = Some(members);
                self.update_from_members();
            }
            Event::Counts(counts) => self.add_own_counts(&counts),
            Event::ConsecutiveFailures(id) => self.stop_own_share(now, &id, actions),
            Event::Evidence(wire) => self.add_evidence(now, wire),
            Event::States(states) => self.merge_states(now, states, actions),
            Event::PeerStatesDiffer(addr) => actions.push(Action::FetchMoves(addr)),
            Event::OutcomeRead(id, result) => self.on_outcome_read(now, id, result),
            Event::OutcomeWritten(id, result) => self.on_outcome_written(now, id, result, actions),
            Event::Reported(id, result) => self.on_report_result(now, id, result, actions),
            Event::Tick => {}
        }
    }

    fn apply_configuration(
        &mut self,
        now: Millis,
        unix_now: UnixMillis,
        config: Arc<CompiledCatalogue>,
    ) {
        let moves = &config.catalogue.moves;
        // Counters are kept if only the times change: they are cumulative within an incarnation.
        let has_same_versions =
            |a: &Move, b: &Move| (&a.service, &a.from, &a.to) == (&b.service, &b.from, &b.to);
        let is_kept = |id: &MoveId, declared: &Move| {
            moves.iter().any(|m| &m.id == id && has_same_versions(m, declared))
        };
        let removed = self
            .tracked_moves
            .iter()
            .filter(|(id, tracked_move)| !is_kept(id, &tracked_move.declared));
        let pending: Vec<_> = removed
            .filter_map(|(id, tracked_move)| self.pending_report(id, tracked_move))
            .collect();
        self.pending_reports.extend(pending);
        // If a removed move is declared again, its report is delivered from its `TrackedMove`
        // instead.
        self.pending_reports.retain(|id, _| !moves.iter().any(|m| &m.id == id));
        self.tracked_moves.retain(|id, tracked_move| is_kept(id, &tracked_move.declared));
        for declared in moves {
            // A move discovered before its start cannot have an outcome yet.
            let must_read_outcome = unix_now >= declared.start;
            let tracked_move = self
                .tracked_moves
                .entry(declared.id.clone())
                .or_insert_with(|| TrackedMove::new(declared.clone(), must_read_outcome));
            tracked_move.declared = declared.clone();
            self.undeclared_since.remove(&declared.id);
        }
        for id in self.states.keys().filter(|id| !self.tracked_moves.contains_key(*id)) {
            self.undeclared_since.entry(id.clone()).or_insert(now);
        }
        self.undeclared_since.retain(|_, since| now.since(*since) < UNDECLARED_RETENTION);
        let undeclared_since = &self.undeclared_since;
        let tracked_moves = &self.tracked_moves;
        self.states
            .retain(|id, _| tracked_moves.contains_key(id) || undeclared_since.contains_key(id));
        self.config = Some(config);
        self.update_from_members();
    }

    /// Returns the report that this node, as an evaluator of the move, still has to deliver.
    fn pending_report(
        &self,
        id: &MoveId,
        tracked_move: &TrackedMove,
    ) -> Option<(MoveId, PendingReport)> {
        let rank = self.rank(id)?;
        let outcome = tracked_move.outcome.as_ref().filter(|_| !tracked_move.reported)?;
        let service = self.service(&tracked_move.declared)?;
        let first_attempt_at =
            Millis(tracked_move.outcome_known_at.0 + rank as u64 * self.settings.report_takeover.0);
        // The retry state is kept: if an attempt in flight fails, its result schedules the next
        // one.
        let pending = PendingReport {
            url: service.report_url.clone(),
            report: owner_report(&tracked_move.declared, outcome, &service),
            first_attempt_at,
            retry: tracked_move.report_retry,
        };
        Some((id.clone(), pending))
    }

    /// Returns the rank of this node among the evaluators of the move, 0 for the highest; `None`
    /// if it does not evaluate the move.
    fn rank(&self, id: &MoveId) -> Option<usize> {
        self.evaluators.get(id)?.iter().position(|e| e.node == self.node)
    }

    fn send_pending_reports(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for pending in self.pending_reports.values_mut() {
            if now < pending.first_attempt_at || !pending.retry.is_due(now) {
                continue;
            }
            pending.retry.in_flight = true;
            let (url, report) = (pending.url.clone(), pending.report.clone());
            actions.push(Action::Report { url, report });
        }
    }

    /// Ranks the evaluators of each move and counts the targets of its new version.
    fn update_from_members(&mut self) {
        let Some(members) = &self.members else { return };
        let count = self.settings.evaluators;
        let ranked_evaluators = |id: &MoveId| {
            members.owners(id.as_str(), count).into_iter().map(|m| EvaluatorNode {
                node: m.node.clone(),
                control_addr: m.addresses.control,
                peer_addr: m.addresses.peer,
            })
        };
        self.evaluators = self
            .tracked_moves
            .keys()
            .map(|id| (id.clone(), ranked_evaluators(id).collect()))
            .collect();
        for tracked_move in self.tracked_moves.values_mut() {
            let declared = &tracked_move.declared;
            let targets = members.live().flat_map(|m| &m.targets);
            let new_targets =
                targets.filter(|t| t.service == declared.service && t.version == declared.to);
            tracked_move.new_targets = new_targets.count() as u64;
        }
    }

    fn add_own_counts(&mut self, counts: &TrafficCounts) {
        let Some(config) = &self.config else { return };
        for ((entry, version), added) in &counts.attempts {
            let Some(version) = version else { continue };
            let Some(declared) = config.entry(entry.as_str()) else { continue };
            let Some(id) = config.move_for_service(&declared.service).map(|m| &m.id) else {
                continue;
            };
            let Some(tracked_move) = self.tracked_moves.get_mut(id) else { continue };
            if *version == tracked_move.declared.from || *version == tracked_move.declared.to {
                tracked_move
                    .own_counters
                    .entry((entry.clone(), version.clone()))
                    .or_default()
                    .add(added);
                tracked_move.has_unsent_evidence = true;
            }
        }
    }

    fn stop_own_share(&mut self, now: Millis, id: &MoveId, actions: &mut Vec<Action>) {
        let Some(tracked_move) = self.tracked_moves.get_mut(id) else { return };
        tracked_move.own_failure_runs += 1;
        tracked_move.has_unsent_evidence = true;
        if tracked_move.stopped_until <= now {
            let detail = format!("move {id}: this node sends no calls to the new version");
            actions.push(Action::Log(codes::STOPPED_HERE, detail));
        }
        tracked_move.stopped_until = Millis(now.0 + self.settings.local_stop.0);
        self.next_evidence_at = now;
    }

    fn add_evidence(&mut self, now: Millis, wire: EvidenceWire) {
        let Ok(id) = MoveId::try_from(wire.id.clone()) else { return };
        let Ok(report) = NodeEvidence::try_from(wire) else { return };
        let Some(config) = self.config.clone() else { return };
        let state = self.states.get(&id).cloned().unwrap_or_default();
        let Some(tracked_move) = self.tracked_moves.get_mut(&id) else { return };
        if state.phase() == Phase::Finished || state.phase() == Phase::Withdrawn {
            return;
        }
        let added = tracked_move.evidence.merge(&report);
        if added.failure_runs > 0 {
            tracked_move.analysis.add_consecutive_failures(now, report.node.as_str());
        }
        let duration_ms = schedule::duration(&tracked_move.declared).0;
        let stage_warm_up = self.settings.stage_warm_up.0.min(duration_ms / 50);
        let warm_up = WarmUp {
            min_duration: Millis(self.settings.warm_up.0.min(duration_ms / 10)),
            min_calls: self.settings.warm_up_calls * tracked_move.new_targets.max(1),
            // The second stage ends at half of the time between the start and the last stage.
            max_duration: Millis(
                (duration_ms as f64 * self.settings.last_stage_percent / 200.0) as u64,
            ),
            stage_warm_up_until: Millis(tracked_move.stage_start.at.0 + stage_warm_up),
        };
        let to = tracked_move.declared.to.clone();
        let is_new = |version: &VersionName| *version == to;
        // The old version's counts are added first, so that the new version's counts are compared
        // with those of the same report.
        for ((entry, version), counts) in added.counters.iter().filter(|((_, v), _)| !is_new(v)) {
            let Some(configured) = config.entry(entry.as_str()) else { continue };
            if *version == tracked_move.declared.from {
                tracked_move.analysis.add_old_calls(
                    now,
                    entry,
                    counts,
                    configured.objective.latency,
                );
            }
        }
        for ((entry, _), counts) in added.counters.iter().filter(|((_, v), _)| is_new(v)) {
            let Some(configured) = config.entry(entry.as_str()) else { continue };
            let counts_are_recent = !added.first_report;
            tracked_move.analysis.add_new_calls(
                now,
                entry,
                counts,
                configured.objective.latency,
                warm_up,
                counts_are_recent,
            );
        }
    }

    fn merge_states(&mut self, now: Millis, states: Vec<MoveStateWire>, actions: &mut Vec<Action>) {
        for wire in states {
            let Ok((id, state)) = <(MoveId, MoveState)>::try_from(wire) else { continue };
            self.merge_state(now, &id, &state, actions);
        }
    }

    /// Merges the given state into the state that this node holds of the move. A change is
    /// published and sent to peers.
    fn merge_state(
        &mut self,
        now: Millis,
        id: &MoveId,
        state: &MoveState,
        actions: &mut Vec<Action>,
    ) {
        if !self.tracked_moves.contains_key(id) && !self.states.contains_key(id) {
            if self.undeclared_since.len() >= MAX_UNDECLARED_MOVES {
                return;
            }
            self.undeclared_since.insert(id.clone(), now);
        }
        let own_state = self.states.entry(id.clone()).or_default();
        let previous_phase = own_state.phase();
        if !own_state.merge(state) {
            return;
        }
        let (phase, reason) = (own_state.phase(), own_state.reason.clone());
        let finished_and_withdrawn = own_state.finished && own_state.withdrawn;
        self.unsent.push(id.clone());
        if phase != previous_phase {
            let code = match phase {
                Phase::Withdrawn => codes::WITHDRAWN,
                Phase::Finished => codes::FINISHED,
                _ => codes::STARTED,
            };
            actions.push(Action::Log(code, format!("move {id}: {reason}")));
        }
        let Some(tracked_move) = self.tracked_moves.get_mut(id) else { return };
        if matches!(phase, Phase::Finished | Phase::Withdrawn) && tracked_move.decided_at.is_none()
        {
            tracked_move.decided_at = Some(now);
        }
        if finished_and_withdrawn && !tracked_move.late_withdrawal_logged {
            tracked_move.late_withdrawal_logged = true;
            let detail = format!("move {id} is recorded as finished; not withdrawn: {reason}");
            actions.push(Action::Log(codes::LATE_WITHDRAWAL, detail));
        }
    }

    fn on_outcome_read(
        &mut self,
        now: Millis,
        id: MoveId,
        result: Result<Option<RecordedOutcome>, String>,
    ) {
        let base_delay = self.settings.retry;
        let Some(tracked_move) = self.tracked_moves.get_mut(&id) else { return };
        match result {
            Ok(recorded) => {
                tracked_move.read_retry = Retry::default();
                tracked_move.must_read_outcome = false;
                if let Some(outcome) = recorded {
                    tracked_move.outcome = Some(outcome);
                    tracked_move.outcome_known_at = now;
                }
            }
            Err(_) => tracked_move.read_retry.schedule_retry(now, base_delay, &mut self.rng),
        }
    }

    fn on_outcome_written(
        &mut self,
        now: Millis,
        id: MoveId,
        result: Result<RecordedOutcome, String>,
        actions: &mut Vec<Action>,
    ) {
        let base_delay = self.settings.retry;
        let Some(tracked_move) = self.tracked_moves.get_mut(&id) else { return };
        match result {
            Ok(outcome) => {
                tracked_move.write_retry = Retry::default();
                tracked_move.outcome_known_at = now;
                tracked_move.outcome = Some(outcome);
            }
            Err(error) => {
                if tracked_move.write_retry.failures == 0 {
                    let detail =
                        format!("move {id}: {error}; retrying until the outcome is confirmed");
                    actions.push(Action::Log(codes::OUTCOME_DELAYED, detail));
                }
                tracked_move.write_retry.schedule_retry(now, base_delay, &mut self.rng);
            }
        }
    }

    fn on_report_result(
        &mut self,
        now: Millis,
        id: MoveId,
        result: Result<(), String>,
        actions: &mut Vec<Action>,
    ) {
        let base_delay = Millis(self.settings.retry.0 * 5);
        if let Some(pending) = self.pending_reports.get_mut(&id) {
            match result {
                Ok(()) => {
                    self.pending_reports.remove(&id);
                    actions.push(Action::Log(codes::REPORTED, format!("move {id}")));
                }
                Err(_) => pending.retry.schedule_retry(now, base_delay, &mut self.rng),
            }
            return;
        }
        let Some(tracked_move) = self.tracked_moves.get_mut(&id) else { return };
        match result {
            Ok(()) => {
                tracked_move.report_retry.in_flight = false;
                tracked_move.reported = true;
                actions.push(Action::Log(codes::REPORTED, format!("move {id}")));
            }
            Err(error) => {
                if tracked_move.report_retry.failures == 0 {
                    let detail = format!("move {id}: {error}; retrying until delivered");
                    actions.push(Action::Log(codes::REPORT_DELAYED, detail));
                }
                tracked_move.report_retry.schedule_retry(now, base_delay, &mut self.rng);
            }
        }
    }

    fn evaluator_ids(&self, id: &MoveId) -> Vec<NodeId> {
        self.evaluators.get(id).into_iter().flatten().map(|e| e.node.clone()).collect()
    }

    fn service(&self, declared: &Move) -> Option<Service> {
        self.config.as_ref()?.service(&declared.service).cloned()
    }

    /// Applies the recorded outcome of one move. If this node evaluates the move, it also advances
    /// the stage, records the outcome and reports to the owner, each when it is due.
    fn decide(
        &mut self,
        now: Millis,
        unix_now: UnixMillis,
        id: &MoveId,
        actions: &mut Vec<Action>,
    ) {
        self.apply_outcome(now, id, actions);
        let Some(rank) = self.rank(id) else { return };
        let state = self.states.get(id).cloned().unwrap_or_default();
        self.record_stage_start(now, id, &state);
        let Some(tracked_move) = self.tracked_moves.get_mut(id) else { return };
        if tracked_move.must_read_outcome && state.stage == 0 && state.phase() == Phase::Waiting {
            if tracked_move.read_retry.is_due(now) {
                tracked_move.read_retry.in_flight = true;
                actions.push(Action::ReadOutcome(id.clone()));
            }
            return;
        }
        match state.phase() {
            Phase::Waiting | Phase::Moving => {
                self.withdraw_or_advance_stage(now, unix_now, id, &state, actions)
            }
            Phase::Finished | Phase::Withdrawn => {}
        }
        let state = self.states.get(id).cloned().unwrap_or_default();
        self.record_outcome(now, unix_now, id, &state, rank, actions);
        self.report_to_owner(now, id, rank, actions);
    }

    /// Merges the recorded outcome, if it is known, into the state of the move. A recorded outcome
    /// takes precedence over this node's own verdict.
    fn apply_outcome(&mut self, now: Millis, id: &MoveId, actions: &mut Vec<Action>) {
        let Some(outcome) = self.tracked_moves.get(id).and_then(|t| t.outcome.clone()) else {
            return;
        };
        let finished = outcome.outcome == Ending::Finished;
        let state = MoveState {
            stage: if finished { schedule::LAST_STAGE } else { 0 },
            finished,
            withdrawn: !finished,
            reason: if finished { SmolStr::default() } else { truncate_reason(&outcome.reason) },
        };
        self.merge_state(now, id, &state, actions);
    }

    fn record_stage_start(&mut self, now: Millis, id: &MoveId, state: &MoveState) {
        let Some(tracked_move) = self.tracked_moves.get_mut(id) else { return };
        if tracked_move.stage_start.stage != state.stage {
            let (new_calls, all_calls) = tracked_move.analysis.new_and_all_calls();
            tracked_move.stage_start =
                StageStart { stage: state.stage, at: now, new_calls, all_calls };
            tracked_move.analysis.begin_stage(now);
        }
    }

    /// Withdraws the new version if a fault is detected; otherwise permits the next stage if the
    /// schedule and the evidence allow it.
    fn withdraw_or_advance_stage(
        &mut self,
        now: Millis,
        unix_now: UnixMillis,
        id: &MoveId,
        state: &MoveState,
        actions: &mut Vec<Action>,
    ) {
        let Some(service) = self.tracked_moves.get(id).and_then(|t| self.service(&t.declared))
        else {
            return;
        };
        let thresholds = self.settings.thresholds(service.withdrawal);
        let Some(tracked_move) = self.tracked_moves.get_mut(id) else { return };
        if let Some(fault) = tracked_move.analysis.evaluate(now, &thresholds) {
            let reason = truncate_reason(&fault.reason());
            let withdrawn = MoveState { withdrawn: true, reason, ..state.clone() };
            return self.merge_state(now, id, &withdrawn, actions);
        }
        let scheduled_stage = schedule::stage_at(&tracked_move.declared, &self.settings, unix_now);
        if unix_now >= tracked_move.declared.finish_by || state.stage >= scheduled_stage {
            return;
        }
        let stage_is_passed = state.stage == 0
            || (now.since(tracked_move.stage_start.at)
                >= schedule::min_stage_time(&tracked_move.declared, &self.settings)
                && has_enough_calls(tracked_move, state.stage, &self.settings)
                && !tracked_move.analysis.has_suspected_fault());
        if !stage_is_passed {
            return;
        }
        let next_state = MoveState { stage: state.stage + 1, ..state.clone() };
        self.merge_state(now, id, &next_state, actions);
        self.record_stage_start(now, id, &next_state);
        let detail = format!("move {id}: stage {} of {}", next_state.stage, schedule::LAST_STAGE);
        actions.push(Action::Log(codes::STAGE, detail));
    }

    /// Decides the outcome if it is due, and requests the write of its row until the recorded
    /// outcome is known.
    fn record_outcome(
        &mut self,
        now: Millis,
        unix_now: UnixMillis,
        id: &MoveId,
        state: &MoveState,
        rank: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked_move) = self.tracked_moves.get_mut(id) else { return };
        if tracked_move.outcome.is_some() || !tracked_move.write_retry.is_due(now) {
            return;
        }
        let outcome_due = UnixMillis(tracked_move.declared.finish_by.0 + self.settings.settle.0);
        let likely_fault =
            match tracked_move.analysis.has_suspected_fault() && unix_now >= outcome_due {
                true => tracked_move.analysis.likely_fault(now),
                false => None,
            };
        let (outcome, reason) = match state.phase() {
            Phase::Withdrawn => (Ending::TakenBack, state.reason.clone()),
            // The outcome row exists already; the attempt to insert it returns its value.
            Phase::Finished => (Ending::Finished, SmolStr::default()),
            _ if unix_now < outcome_due => return,
            _ if likely_fault.is_some() => (
                Ending::TakenBack,
                likely_fault.map(|f| truncate_reason(&f.reason())).unwrap_or_default(),
            ),
            _ if tracked_move.analysis.has_suspected_fault()
                && unix_now.0 < outcome_due.0 + SUSPECTED_FAULT_WAIT.0 =>
            {
                return;
            }
            _ if state.stage == schedule::LAST_STAGE
                && has_enough_calls(tracked_move, state.stage, &self.settings) =>
            {
                (Ending::Finished, SmolStr::new("all stages passed"))
            }
            _ => (Ending::TakenBack, SmolStr::new(NOT_ENOUGH_EVIDENCE)),
        };
        let decided_at = *tracked_move.decided_at.get_or_insert(now);
        if now.since(decided_at).0 < rank as u64 * self.settings.outcome_takeover.0 {
            return;
        }
        tracked_move.write_retry.in_flight = true;
        let by = self.node.clone();
        let newly_withdrawn = outcome == Ending::TakenBack && state.phase() != Phase::Withdrawn;
        let recorded = RecordedOutcome { outcome, reason: reason.clone(), unix_ms: unix_now, by };
        actions.push(Action::WriteOutcome(id.clone(), recorded));
        // A withdrawal takes effect immediately, without waiting for the outcome row to be written.
        if newly_withdrawn {
            let state = MoveState { withdrawn: true, reason, ..state.clone() };
            self.merge_state(now, id, &state, actions);
        }
    }

    fn report_to_owner(
        &mut self,
        now: Millis,
        id: &MoveId,
        rank: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(service) = self.tracked_moves.get(id).and_then(|t| self.service(&t.declared))
        else {
            return;
        };
        let Some(tracked_move) = self.tracked_moves.get_mut(id) else { return };
        let Some(outcome) = &tracked_move.outcome else { return };
        let takeover_delay_ms = rank as u64 * self.settings.report_takeover.0;
        if tracked_move.reported
            || !tracked_move.report_retry.is_due(now)
            || now.since(tracked_move.outcome_known_at).0 < takeover_delay_ms
        {
            return;
        }
        tracked_move.report_retry.in_flight = true;
        let report = owner_report(&tracked_move.declared, outcome, &service);
        actions.push(Action::Report { url: service.report_url, report });
    }

    fn send_evidence(&mut self, now: Millis, unix_now: UnixMillis, actions: &mut Vec<Action>) {
        if now < self.next_evidence_at {
            return;
        }
        self.next_evidence_at = Millis(now.0 + self.settings.evidence_interval.0);
        let ids: Vec<MoveId> = self
            .tracked_moves
            .iter()
            .filter(|(_, t)| t.has_unsent_evidence)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let phase = self.states.get(&id).map_or(Phase::Waiting, MoveState::phase);
            let Some(tracked_move) = self.tracked_moves.get_mut(&id) else { continue };
            let evidence_period_began =
                unix_now.0 + self.settings.evidence_before.0 >= tracked_move.declared.start.0;
            if !evidence_period_began || matches!(phase, Phase::Finished | Phase::Withdrawn) {
                continue;
            }
            tracked_move.has_unsent_evidence = false;
            let evidence = EvidenceWire {
                id: id.clone().into(),
                node: self.node.clone().into(),
                incarnation: self.incarnation,
                counts: tracked_move
                    .own_counters
                    .iter()
                    .map(|((e, v), c)| (e.clone().into(), v.clone().into(), c.clone()))
                    .collect(),
                failure_runs: tracked_move.own_failure_runs,
            };
            for evaluator in self.evaluators.get(&id).cloned().unwrap_or_default() {
                if evaluator.node == self.node {
                    self.add_evidence(now, evidence.clone());
                    self.decide(now, unix_now, &id, actions);
                    continue;
                }
                let to = evaluator.peer_addr;
                actions.push(Action::SendEvidence { to, evidence: evidence.clone() });
            }
        }
    }

    /// Returns the share of this node's calls that goes to the new version at present.
    fn move_view(
        &self,
        now: Millis,
        unix_now: UnixMillis,
        id: &MoveId,
        tracked_move: &TrackedMove,
    ) -> MoveView {
        let state = self.states.get(id).cloned().unwrap_or_default();
        match state.phase() {
            Phase::Finished => MoveView { share: 1.0, max_calls_per_s: None, withdrawn: false },
            Phase::Withdrawn => MoveView { share: 0.0, max_calls_per_s: None, withdrawn: true },
            _ if unix_now < tracked_move.declared.start || tracked_move.stopped_until > now => {
                MoveView::default()
            }
            _ => {
                let live_nodes = self.members.as_ref().map_or(1, |m| m.live().count()).max(1);
                let node_rate = self.settings.first_stage_rate / live_nodes as f64;
                let share = schedule::share(state.stage, &self.settings);
                MoveView {
                    share,
                    max_calls_per_s: (state.stage == 1).then_some(node_rate),
                    withdrawn: false,
                }
            }
        }
    }

    fn publish(&mut self, now: Millis, unix_now: UnixMillis, actions: &mut Vec<Action>) {
        let views: BTreeMap<MoveId, MoveView> = self
            .tracked_moves
            .iter()
            .map(|(id, tracked_move)| (id.clone(), self.move_view(now, unix_now, id, tracked_move)))
            .collect();
        let declared_states =
            self.states.iter().filter(|(id, _)| self.tracked_moves.contains_key(*id));
        let hash = hash_states(declared_states);
        if self.published.as_ref().is_some_and(|(v, h)| **v == views && *h == hash) {
            return;
        }
        let views = Arc::new(views);
        self.published = Some((views.clone(), hash));
        actions.push(Action::Publish { views, hash });
    }

    /// Sends changed states to `push_peers` random peers and the other evaluators immediately, and
    /// to further random peers after `push_again`.
    fn send_changed_states(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut ids = std::mem::take(&mut self.unsent);
        ids.sort();
        ids.dedup();
        if !ids.is_empty() {
            let sent_to = self.send_notices(&ids, &[], actions);
            self.pending_notices.push(PendingNotice {
                send_at: Millis(now.0 + self.settings.push_again.0),
                ids,
                sent_to,
            });
        }
        let (due_notices, later_notices): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending_notices)
                .into_iter()
                .partition(|notice| notice.send_at <= now);
        self.pending_notices = later_notices;
        for notice in due_notices {
            self.send_notices(&notice.ids, &notice.sent_to, actions);
        }
    }

    /// Sends the states of these moves to random live peers, except those already notified, and
    /// returns the receivers.
    fn send_notices(
        &mut self,
        ids: &[MoveId],
        already_notified: &[SocketAddr],
        actions: &mut Vec<Action>,
    ) -> Vec<SocketAddr> {
        let Some(members) = &self.members else { return Vec::new() };
        let peers: Vec<SocketAddr> = members
            .live()
            .filter(|m| m.node != self.node && !already_notified.contains(&m.addresses.control))
            .map(|m| m.addresses.control)
            .collect();
        let mut to: Vec<SocketAddr> =
            peers.choose_multiple(&mut self.rng, self.settings.push_peers).copied().collect();
        // The other evaluators of a move always receive the first notice, so that they do not
        // decide differently.
        for id in ids.iter().filter(|id| self.tracked_moves.contains_key(*id)) {
            for evaluator in self.evaluators.get(id).into_iter().flatten() {
                let addr = evaluator.control_addr;
                if evaluator.node != self.node && already_notified.is_empty() && !to.contains(&addr)
                {
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

/// Whether the new version has had enough calls in this stage to be judged healthy.
fn has_enough_calls(tracked_move: &TrackedMove, stage: u8, settings: &MoveSettings) -> bool {
    let (new_calls, all_calls) = tracked_move.analysis.new_and_all_calls();
    let start = &tracked_move.stage_start;
    let share = schedule::share(stage, settings);
    let needed_calls =
        schedule::needed_calls(all_calls.saturating_sub(start.all_calls), share, settings);
    new_calls.saturating_sub(start.new_calls) >= needed_calls
}
