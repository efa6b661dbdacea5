//! Drives the moves of services to another version: collects evidence, judges it, and writes the
//! status rows.

use std::rc::Rc;

use serde_json::Value;
use tokio::time::sleep;

use super::decision_log::LineClass;
use super::node::Move;
use super::node::Node;
use super::replicated_rows::RowChange;
use super::replicated_rows::RowTable;
use super::replicated_rows::RowVersion;
use super::rollout;
use super::rollout::Evidence;
use super::rollout::Rollout;
use super::rollout::RolloutRequest;
use super::rollout::RolloutStatus;
use super::rollout::Verdict;
use super::rollout::VersionGate;
use super::store::RowWrite;
use super::store::WriteOutcome;
use crate::events::mesh as codes;
use crate::platform::operator;
use crate::types::Millis;
use crate::types::ServiceName;
use crate::types::VersionName;

/// Interval at which the evidence of active moves is judged; upper bound of the time to withdraw a
/// faulty version once there is enough evidence.
const JUDGE_INTERVAL: Millis = Millis(120);

/// Delay after a failed write of a status row.
const WRITE_RETRY_DELAY: Millis = Millis(300);

impl Node {
    /// Returns the versions of a service that may receive requests.
    pub fn gate(&self, service: &ServiceName, now: Millis) -> VersionGate {
        let moves = self.moves.borrow();
        moves.get(service).map_or(VersionGate::Open, |m| m.rollout.gate(now, &self.cfg.rollout))
    }

    /// Applies a rollout request. If a peer has reported the age of the request, its start is set
    /// back by that age.
    pub fn apply_rollout_request(&self, version: RowVersion, request: RolloutRequest) {
        let now = self.clock.now();
        let fields = [
            ("service", request.service.as_str().into()),
            ("to", request.to.as_str().into()),
            ("row", version.0.into()),
        ];
        self.log.line(now, LineClass::Other, &codes::ROLLOUT_REQUESTED, &fields);
        let service = request.service.clone();
        let age = self.reported_ages.borrow().get(&version).copied().unwrap_or(Millis(0));
        let started = Millis(now.0.saturating_sub(age.0));
        let withdrawn = self.reported_withdrawn.borrow().contains(&version);
        let rollout = Rollout { request, started, recorded_verdict: None, withdrawn };
        let entry =
            Move { rollout, request_row: version, status_row: RowVersion(0), pending_write: None };
        self.moves.borrow_mut().insert(service.clone(), entry);
        // The status row may have arrived before the request.
        let early_status = self.rollout_statuses.borrow().get(&service).cloned();
        if let Some((row, status)) = early_status {
            self.apply_rollout_status(service, row, status);
        }
        self.update_evidence_collection();
    }

    /// Applies a status row.
    pub fn apply_rollout_status(
        &self,
        service: ServiceName,
        row: RowVersion,
        status: RolloutStatus,
    ) {
        self.rollout_statuses.borrow_mut().insert(service.clone(), (row, status.clone()));
        let mut moves = self.moves.borrow_mut();
        let Some(entry) = moves.get_mut(&service) else { return };
        entry.status_row = row;
        // A status row that is older than the rollout request, or names another version, belongs to an
        // earlier request.
        if row < entry.request_row || status.to != entry.rollout.request.to {
            return;
        }
        if entry.rollout.recorded_verdict != Some(status.verdict) {
            let fields = [
                ("service", service.as_str().into()),
                ("state", format!("{:?}", status.verdict).into()),
                ("row", row.0.into()),
            ];
            self.log.line(
                self.clock.now(),
                LineClass::Other,
                &codes::ROLLOUT_STATUS_CHANGED,
                &fields,
            );
        }
        // A final verdict is never replaced, not even by a later status row.
        let ended = matches!(
            entry.rollout.recorded_verdict,
            Some(Verdict::Completed | Verdict::RolledBack)
        );
        if !ended {
            entry.rollout.recorded_verdict = Some(status.verdict);
        }
        drop(moves);
        self.update_evidence_collection();
    }

    /// Applies the ages of rollout requests and the withdrawals that a peer reports.
    pub fn apply_peer_rollouts(&self, ages: &[(RowVersion, u64)], withdrawn: &[RowVersion]) {
        let now = self.clock.now();
        for (version, age) in ages {
            self.reported_ages.borrow_mut().insert(*version, Millis(*age));
        }
        self.reported_withdrawn.borrow_mut().extend(withdrawn.iter().copied());
        let mut changed = false;
        for entry in self.moves.borrow_mut().values_mut() {
            let age = ages.iter().find(|(v, _)| *v == entry.request_row);
            if let Some((_, age)) = age {
                let started = Millis(now.0.saturating_sub(*age));
                entry.rollout.started = entry.rollout.started.min(started);
            }
            if withdrawn.contains(&entry.request_row) && !entry.rollout.withdrawn {
                entry.rollout.withdrawn = true;
                changed = true;
            }
        }
        if changed {
            self.status_changed.notify_one();
        }
    }

    /// Starts collecting responses of the local target for the active move of its service; stops
    /// when there is none.
    pub fn update_evidence_collection(&self) {
        let service = self.target.record().map(|r| r.service);
        let moves = self.moves.borrow();
        let active = service.and_then(|s| moves.get(&s)).filter(|m| is_active(m));
        self.target.collect_evidence(active.map(|m| m.request_row));
    }

    /// Judges active moves and writes their status rows; never returns.
    pub async fn drive_moves(self: Rc<Self>) {
        loop {
            sleep(JUDGE_INTERVAL.to_duration()).await;
            let active: Vec<ServiceName> = {
                let moves = self.moves.borrow();
                moves.iter().filter(|(_, m)| is_active(m)).map(|(s, _)| s.clone()).collect()
            };
            for service in active {
                self.judge_move(&service);
                if let Some((change, status)) = self.due_write(&service) {
                    self.write_status(service, change, status).await;
                }
            }
        }
    }

    fn judge_move(&self, service: &ServiceName) {
        let (request_row, to) = {
            let moves = self.moves.borrow();
            let Some(entry) = moves.get(service).filter(|m| !m.rollout.withdrawn) else { return };
            (entry.request_row, entry.rollout.request.to.clone())
        };
        let evidence = self.evidence_of(service, request_row);
        let evidence_for = |new: bool| -> Vec<&Evidence> {
            evidence.iter().filter(|(v, _)| (*v == to) == new).map(|(_, e)| e).collect()
        };
        let Some(fault) =
            rollout::judge(&evidence_for(true), &evidence_for(false), &self.cfg.rollout)
        else {
            return;
        };
        let fields = [
            ("service", service.as_str().into()),
            ("version", to.as_str().into()),
            ("fault", fault.to_string().into()),
        ];
        self.log.line(self.clock.now(), LineClass::Other, &codes::ROLLOUT_FAULT_DETECTED, &fields);
        if let Some(entry) = self.moves.borrow_mut().get_mut(service) {
            entry.rollout.withdrawn = true;
        }
        self.status_changed.notify_one();
    }

    /// Returns the evidence of each target of a service since a rollout request, with the version
    /// of the target.
    fn evidence_of(
        &self,
        service: &ServiceName,
        request_row: RowVersion,
    ) -> Vec<(VersionName, Evidence)> {
        let mut all = Vec::new();
        if let (Some(record), Some((row, evidence))) =
            (self.target.record(), self.target.evidence())
            && record.service == *service
            && row == request_row
        {
            all.push((record.version, evidence));
        }
        for peer in self.peers.by_name.borrow().values() {
            let Some(status) = peer.status.as_ref() else { continue };
            if let (Some(record), Some((row, evidence))) = (&status.instance, &status.evidence)
                && record.service == *service
                && *row == request_row
            {
                all.push((record.version.clone(), evidence.clone()));
            }
        }
        all
    }

    /// Returns the write of the status row if one is needed and it is this node's turn. Nodes take turns
    /// in the order of their names, so that a write does not depend on a single node.
    fn due_write(&self, service: &ServiceName) -> Option<(RowWrite, RolloutStatus)> {
        let now = self.clock.now();
        let cfg = &self.cfg.rollout;
        let to = self.moves.borrow().get(service)?.rollout.request.to.clone();
        let (old_version_busy, new_version_ready) = self.version_state(service, &to);
        let mut moves = self.moves.borrow_mut();
        let entry = moves.get_mut(service)?;
        let desired = entry.rollout.desired_verdict(now, old_version_busy, new_version_ready, cfg);
        if entry.rollout.recorded_verdict == Some(desired) || !self.store_reached.get() {
            entry.pending_write = None;
            return None;
        }
        let due = match entry.pending_write {
            Some((verdict, at)) if verdict == desired => at,
            _ => {
                let rank = self.peers.rank(&self.descriptor.node) as u64;
                let at = Millis(now.0 + rank * cfg.writer_delay.0);
                entry.pending_write = Some((desired, at));
                at
            }
        };
        if now < due {
            return None;
        }
        let status = RolloutStatus { to, verdict: desired };
        let change = RowWrite {
            table: RowTable::Status.name(),
            key: format!("{}{service}", operator::ROLLOUT_PREFIX).into(),
            value: Some(operator::encode_rollout_status(&status).into()),
            expected_version: Some(entry.status_row),
        };
        Some((change, status))
    }

    /// Returns whether a target of another version still processes requests, and whether one of the
    /// new version accepts them.
    fn version_state(&self, service: &ServiceName, to: &VersionName) -> (bool, bool) {
        let own = self.target.record().map(|r| (r, self.target.load(), self.target.is_available()));
        let map = self.peers.by_name.borrow();
        let others = map.values().filter_map(|p| {
            let status = p.status.as_ref()?;
            Some((status.instance.clone()?, status.load, status.available))
        });
        let mut state = (false, false);
        for (record, load, available) in own.into_iter().chain(others) {
            if record.service != *service {
                continue;
            }
            if record.version == *to {
                state.1 |= available;
            } else {
                state.0 |= load.running + load.waiting > 0;
            }
        }
        state
    }

    async fn write_status(
        self: &Rc<Self>,
        service: ServiceName,
        change: RowWrite,
        status: RolloutStatus,
    ) {
        let key = change.key.clone();
        let value = change.value.clone();
        match self.store.write(change).await {
            Ok(WriteOutcome::Committed(version)) => {
                self.apply_row(RowTable::Status, RowChange { key, version, value }, "own write");
            }
            Ok(WriteOutcome::Conflict(rows)) => {
                for row in rows {
                    self.apply_row(RowTable::Status, row, "store");
                }
            }
            Err(e) => {
                // The write may have been applied; its version condition makes a retry harmless.
                let fields = [
                    ("service", Value::from(service.as_str())),
                    ("state", format!("{:?}", status.verdict).into()),
                    ("error", e.to_string().into()),
                ];
                let now = self.clock.now();
                self.log.line(now, LineClass::Other, &codes::ROLLOUT_STATUS_NOT_WRITTEN, &fields);
                self.on_store_failure(&e);
                if let Some(entry) = self.moves.borrow_mut().get_mut(&service) {
                    entry.pending_write =
                        Some((status.verdict, Millis(now.0 + WRITE_RETRY_DELAY.0)));
                }
            }
        }
    }
}

/// Returns whether no final verdict of the move is recorded.
pub fn is_active(entry: &Move) -> bool {
    !matches!(entry.rollout.recorded_verdict, Some(Verdict::Completed | Verdict::RolledBack))
}
