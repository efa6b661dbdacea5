//! Drives the moves of services to another version: collects evidence, detects faults of the new version,
//! and writes the status rows.

use std::rc::Rc;

use serde_json::Value;
use tokio::time::sleep;

use super::decision_log::LineClass;
use super::evidence::Evidence;
use super::node::Move;
use super::node::Node;
use super::replicated_rows::RowChange;
use super::replicated_rows::RowOrigin;
use super::replicated_rows::RowTable;
use super::replicated_rows::RowVersion;
use super::rollout::AllowedVersions;
use super::rollout::Rollout;
use super::rollout::RolloutRequest;
use super::rollout::RolloutStatus;
use super::rollout::Verdict;
use super::store::RowWrite;
use super::store::WriteOutcome;
use super::version_fault;
use crate::events::mesh as codes;
use crate::platform::operator;
use crate::types::Millis;
use crate::types::ServiceName;
use crate::types::VersionName;

/// Interval at which the evidence of active moves is checked for a fault. It bounds the time until a
/// faulty version is withdrawn once there is enough evidence.
const FAULT_CHECK_INTERVAL: Millis = Millis(120);

/// Time after a failed write of a status row before the next attempt.
const WRITE_RETRY_DELAY: Millis = Millis(300);

impl Node {
    /// Returns the versions of a service that may receive requests.
    pub fn allowed_versions(&self, service: &ServiceName, now: Millis) -> AllowedVersions {
        let moves = self.moves.borrow();
        moves
            .get(service)
            .map_or(AllowedVersions::Any, |m| m.rollout.allowed_versions(now, &self.cfg.rollout))
    }

    /// Applies a rollout request. The move starts now or, if a peer has reported the age of the request,
    /// earlier by that age.
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
        let service_move = Move {
            rollout,
            request_row_version: version,
            status_row_version: RowVersion(0),
            pending_write: None,
            own_fault_sent: false,
        };
        self.moves.borrow_mut().insert(service.clone(), service_move);
        // The status row may have arrived before the request.
        let stored_status = self.rollout_statuses.borrow().get(&service).cloned();
        if let Some((row_version, status)) = stored_status {
            self.apply_rollout_status(service, row_version, status);
        }
        self.update_evidence_collection();
    }

    /// Applies a version of the status row of a service's move. A row that belongs to an earlier request
    /// does not change the move's verdict.
    pub fn apply_rollout_status(
        &self,
        service: ServiceName,
        row_version: RowVersion,
        status: RolloutStatus,
    ) {
        self.rollout_statuses.borrow_mut().insert(service.clone(), (row_version, status.clone()));
        let mut moves = self.moves.borrow_mut();
        let Some(service_move) = moves.get_mut(&service) else { return };
        service_move.status_row_version = row_version;
        // A status row that is older than the rollout request, or names another version, belongs to an
        // earlier request.
        if row_version < service_move.request_row_version
            || status.to != service_move.rollout.request.to
        {
            return;
        }
        if service_move.rollout.recorded_verdict != Some(status.verdict) {
            let fields = [
                ("service", service.as_str().into()),
                ("state", format!("{:?}", status.verdict).into()),
                ("row", row_version.0.into()),
            ];
            self.log.line(
                self.clock.now(),
                LineClass::Other,
                &codes::ROLLOUT_STATUS_CHANGED,
                &fields,
            );
        }
        // A final verdict is never replaced, not even by a later status row.
        let is_final = matches!(
            service_move.rollout.recorded_verdict,
            Some(Verdict::Completed | Verdict::RolledBack)
        );
        if !is_final {
            service_move.rollout.recorded_verdict = Some(status.verdict);
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
        for service_move in self.moves.borrow_mut().values_mut() {
            let age = ages.iter().find(|(v, _)| *v == service_move.request_row_version);
            if let Some((_, age)) = age {
                let started = Millis(now.0.saturating_sub(*age));
                service_move.rollout.started = service_move.rollout.started.min(started);
            }
            if withdrawn.contains(&service_move.request_row_version)
                && !service_move.rollout.withdrawn
            {
                service_move.rollout.withdrawn = true;
                changed = true;
            }
        }
        if changed {
            // The evaluator that detected the fault tells all nodes; this only reaches those it missed.
            self.rows_received.notify_one();
        }
    }

    /// Starts collecting responses of the local target if its service has an active move; stops if it has
    /// none.
    pub fn update_evidence_collection(&self) {
        let service = self.target.record().map(|r| r.service);
        let moves = self.moves.borrow();
        let active_move = service.and_then(|s| moves.get(&s)).filter(|m| is_active(m));
        self.target.collect_evidence(active_move.map(|m| m.request_row_version));
    }

    /// Checks active moves for faults and writes their status rows; never returns.
    pub async fn drive_moves(self: Rc<Self>) {
        loop {
            sleep(FAULT_CHECK_INTERVAL.to_duration()).await;
            let active_services: Vec<ServiceName> = {
                let moves = self.moves.borrow();
                moves.iter().filter(|(_, m)| is_active(m)).map(|(s, _)| s.clone()).collect()
            };
            for service in active_services {
                self.check_for_fault(&service);
                if let Some((row_write, status)) = self.due_write(&service) {
                    self.write_status(service, row_write, status).await;
                }
            }
        }
    }

    /// Checks the evidence of an active move for a fault of the new version; withdraws the version if it
    /// is faulty.
    fn check_for_fault(&self, service: &ServiceName) {
        let (request_row_version, to) = {
            let moves = self.moves.borrow();
            let Some(service_move) = moves.get(service).filter(|m| !m.rollout.withdrawn) else {
                return;
            };
            (service_move.request_row_version, service_move.rollout.request.to.clone())
        };
        let evidence = self.evidence_of(service, request_row_version);
        let evidence_of_targets = |new_version: bool| -> Vec<&Evidence> {
            evidence.iter().filter(|(v, _)| (*v == to) == new_version).map(|(_, e)| e).collect()
        };
        let (new, old) = (evidence_of_targets(true), evidence_of_targets(false));
        self.send_own_fault(service, &to, &old);
        // The other nodes receive no evidence and follow the withdrawal.
        let own_name = &self.descriptor.node;
        if !self.peers.evaluators(own_name, &self.cfg.peers.dissemination).contains(own_name) {
            return;
        }
        let Some(fault) = version_fault::detect_fault(&new, &old, &self.cfg.rollout) else {
            return;
        };
        let fields = [
            ("service", service.as_str().into()),
            ("version", to.as_str().into()),
            ("fault", fault.to_string().into()),
        ];
        self.log.line(self.clock.now(), LineClass::Other, &codes::ROLLOUT_FAULT_DETECTED, &fields);
        if let Some(service_move) = self.moves.borrow_mut().get_mut(service) {
            service_move.rollout.withdrawn = true;
        }
        self.status_changed.notify_one();
    }

    /// Sends a status as soon as the evidence of the local target alone shows a fault of its new version, so
    /// that the other nodes need not wait for the next periodic one.
    fn send_own_fault(&self, service: &ServiceName, to: &VersionName, old: &[&Evidence]) {
        let own_version = self.target.record().filter(|r| r.service == *service).map(|r| r.version);
        let mut moves = self.moves.borrow_mut();
        let Some(service_move) = moves.get_mut(service).filter(|m| !m.own_fault_sent) else {
            return;
        };
        let own = self.target.evidence().filter(|(v, _)| *v == service_move.request_row_version);
        let Some((_, own)) = own.filter(|_| own_version.as_ref() == Some(to)) else { return };
        if version_fault::detect_fault(&[&own], old, &self.cfg.rollout).is_some() {
            service_move.own_fault_sent = true;
            self.status_changed.notify_one();
        }
    }

    /// Returns the evidence of each target of a service since a rollout request, with the version
    /// of the target.
    fn evidence_of(
        &self,
        service: &ServiceName,
        request_row_version: RowVersion,
    ) -> Vec<(VersionName, Evidence)> {
        let mut evidence_by_version = Vec::new();
        if let (Some(record), Some((row_version, evidence))) =
            (self.target.record(), self.target.evidence())
            && record.service == *service
            && row_version == request_row_version
        {
            evidence_by_version.push((record.version, evidence));
        }
        for peer in self.peers.by_name.borrow().values() {
            let Some(status) = peer.status.as_ref() else { continue };
            if let (Some(record), Some((row_version, evidence))) =
                (&status.instance, &status.evidence)
                && record.service == *service
                && *row_version == request_row_version
            {
                evidence_by_version.push((record.version.clone(), evidence.clone()));
            }
        }
        evidence_by_version
    }

    /// Returns the write of the status row if one is needed and it is this node's turn. Each node in the
    /// order of names gets its turn [`super::rollout::RolloutSettings::writer_delay`] later than the one before
    /// it, so that a write does not depend on a single node.
    fn due_write(&self, service: &ServiceName) -> Option<(RowWrite, RolloutStatus)> {
        let now = self.clock.now();
        let cfg = &self.cfg.rollout;
        let to = self.moves.borrow().get(service)?.rollout.request.to.clone();
        let (old_version_busy, new_version_ready) = self.version_state(service, &to);
        let mut moves = self.moves.borrow_mut();
        let service_move = moves.get_mut(service)?;
        let desired_verdict =
            service_move.rollout.desired_verdict(now, old_version_busy, new_version_ready, cfg);
        if service_move.rollout.recorded_verdict == Some(desired_verdict)
            || !self.store_reached.get()
        {
            service_move.pending_write = None;
            return None;
        }
        let due_at = match service_move.pending_write {
            Some((verdict, planned_at)) if verdict == desired_verdict => planned_at,
            _ => {
                let rank = self.peers.rank(&self.descriptor.node) as u64;
                let planned_at = Millis(now.0 + rank * cfg.writer_delay.0);
                service_move.pending_write = Some((desired_verdict, planned_at));
                planned_at
            }
        };
        if now < due_at {
            return None;
        }
        let status = RolloutStatus { to, verdict: desired_verdict };
        let row_write = RowWrite {
            table: RowTable::Status.name(),
            key: format!("{}{service}", operator::ROLLOUT_PREFIX).into(),
            value: Some(operator::encode_rollout_status(&status).into()),
            expected_version: Some(service_move.status_row_version),
        };
        Some((row_write, status))
    }

    /// Returns whether a target of another version still processes requests, and whether one of the
    /// new version accepts them.
    fn version_state(&self, service: &ServiceName, to: &VersionName) -> (bool, bool) {
        let own_target =
            self.target.record().map(|r| (r, self.target.load(), self.target.is_available()));
        let peers = self.peers.by_name.borrow();
        let peer_targets = peers.values().filter_map(|p| {
            let status = p.status.as_ref()?;
            Some((status.instance.clone()?, status.load, status.available))
        });
        let (mut old_version_busy, mut new_version_ready) = (false, false);
        for (record, load, available) in own_target.into_iter().chain(peer_targets) {
            if record.service != *service {
                continue;
            }
            if record.version == *to {
                new_version_ready |= available;
            } else {
                old_version_busy |= load.running + load.waiting > 0;
            }
        }
        (old_version_busy, new_version_ready)
    }

    /// Writes a status row, and applies the row that is in the store afterwards.
    async fn write_status(
        self: &Rc<Self>,
        service: ServiceName,
        row_write: RowWrite,
        status: RolloutStatus,
    ) {
        let key = row_write.key.clone();
        let value = row_write.value.clone();
        match self.store.write(row_write).await {
            Ok(WriteOutcome::Committed(version)) => {
                self.apply_row(
                    RowTable::Status,
                    RowChange { key, version, value },
                    RowOrigin::OwnWrite,
                );
            }
            Ok(WriteOutcome::Conflict(rows)) => {
                for row in rows {
                    self.apply_row(RowTable::Status, row, RowOrigin::Change);
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
                if let Some(service_move) = self.moves.borrow_mut().get_mut(&service) {
                    service_move.pending_write =
                        Some((status.verdict, Millis(now.0 + WRITE_RETRY_DELAY.0)));
                }
            }
        }
    }
}

/// Returns whether the move still runs: no status row records that it has completed or was rolled back.
pub fn is_active(service_move: &Move) -> bool {
    !matches!(service_move.rollout.recorded_verdict, Some(Verdict::Completed | Verdict::RolledBack))
}
