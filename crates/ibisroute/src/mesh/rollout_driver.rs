//! Carries moves of services to another version: gathers evidence, judges, and writes the status row.

use std::rc::Rc;

use serde_json::Value;
use tokio::time::sleep;

use super::decision_log::Stream;
use super::facts::RowChange;
use super::facts::RowVersion;
use super::facts::Source;
use super::node::Move;
use super::node::Node;
use super::rollout;
use super::rollout::Evidence;
use super::rollout::Gate;
use super::rollout::Order;
use super::rollout::Progress;
use super::rollout::Rollout;
use super::rollout::Verdict;
use super::store::RowWrite;
use super::store::WriteOutcome;
use crate::events::mesh as codes;
use crate::platform::operator;
use crate::types::Millis;
use crate::types::ServiceName;
use crate::types::VersionName;

/// How often evidence is judged while a move runs; bad versions are withdrawn within it.
const JUDGE_INTERVAL: Millis = Millis(120);

/// Pause after a failed write of a status row.
const WRITE_RETRY: Millis = Millis(300);

impl Node {
    /// Which versions of a service take requests.
    pub fn gate(&self, service: &ServiceName, now: Millis) -> Gate {
        let moves = self.moves.borrow();
        moves.get(service).map_or(Gate::Open, |m| m.rollout.gate(now, &self.cfg.rollout))
    }

    /// Learns of an order. An age that a peer told sets its start back.
    pub fn order_seen(&self, version: RowVersion, order: Order) {
        let now = self.clock.now();
        let fields = [
            ("service", order.service.as_str().into()),
            ("to", order.to.as_str().into()),
            ("row", version.0.into()),
        ];
        self.log.line(now, Stream::Other, &codes::ORDER_SEEN, &fields);
        let service = order.service.clone();
        let age = self.reported_ages.borrow().get(&version).copied().unwrap_or(Millis(0));
        let began = Millis(now.0.saturating_sub(age.0));
        let withdrawn = self.reported_withdrawn.borrow().contains(&version);
        let rollout = Rollout { order, began, recorded: None, withdrawn };
        let entry = Move { rollout, request_row: version, status_row: RowVersion(0), due: None };
        self.moves.borrow_mut().insert(service.clone(), entry);
        // A status may have arrived before its order.
        let known = self.rollout_statuses.borrow().get(&service).cloned();
        if let Some((row, progress)) = known {
            self.progress_seen(service, row, progress);
        }
        self.collect_evidence();
    }

    /// Learns of a status row.
    pub fn progress_seen(&self, service: ServiceName, row: RowVersion, progress: Progress) {
        self.rollout_statuses.borrow_mut().insert(service.clone(), (row, progress.clone()));
        let mut moves = self.moves.borrow_mut();
        let Some(entry) = moves.get_mut(&service) else { return };
        entry.status_row = row;
        // An earlier status is about an earlier order.
        if row < entry.request_row || progress.to != entry.rollout.order.to {
            return;
        }
        if entry.rollout.recorded != Some(progress.verdict) {
            let fields = [
                ("service", service.as_str().into()),
                ("state", format!("{:?}", progress.verdict).into()),
                ("row", row.0.into()),
            ];
            self.log.line(self.clock.now(), Stream::Other, &codes::PROGRESS_SEEN, &fields);
        }
        // An end is final, whatever arrives later.
        let ended =
            matches!(entry.rollout.recorded, Some(Verdict::Completed | Verdict::RolledBack));
        if !ended {
            entry.rollout.recorded = Some(progress.verdict);
        }
        drop(moves);
        self.collect_evidence();
    }

    /// Applies what a peer says of orders: their ages and which versions were judged bad.
    pub fn hear_of_moves(&self, ages: &[(RowVersion, u64)], withdrawn: &[RowVersion]) {
        let now = self.clock.now();
        for (version, age) in ages {
            self.reported_ages.borrow_mut().insert(*version, Millis(*age));
        }
        self.reported_withdrawn.borrow_mut().extend(withdrawn.iter().copied());
        let mut changed = false;
        for entry in self.moves.borrow_mut().values_mut() {
            let age = ages.iter().find(|(v, _)| *v == entry.request_row);
            if let Some((_, age)) = age {
                let began = Millis(now.0.saturating_sub(*age));
                entry.rollout.began = entry.rollout.began.min(began);
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

    /// Tells the target's side for which order to collect answers.
    pub fn collect_evidence(&self) {
        let service = self.target.record().map(|r| r.service);
        let moves = self.moves.borrow();
        let order = service.and_then(|s| moves.get(&s)).filter(|m| is_active(m));
        self.target.collect_evidence(order.map(|m| m.request_row));
    }

    /// Judges and records moves; never ends.
    pub async fn drive_moves(self: Rc<Self>) {
        loop {
            sleep(JUDGE_INTERVAL.to_duration()).await;
            let active: Vec<ServiceName> = {
                let moves = self.moves.borrow();
                moves.iter().filter(|(_, m)| is_active(m)).map(|(s, _)| s.clone()).collect()
            };
            for service in active {
                self.judge_move(&service);
                if let Some((change, progress)) = self.due_write(&service) {
                    self.write_progress(service, change, progress).await;
                }
            }
        }
    }

    fn judge_move(&self, service: &ServiceName) {
        let (order_row, to) = {
            let moves = self.moves.borrow();
            let Some(entry) = moves.get(service).filter(|m| !m.rollout.withdrawn) else { return };
            (entry.request_row, entry.rollout.order.to.clone())
        };
        let evidence = self.evidence_of(service, order_row);
        let of = |new: bool| -> Vec<&Evidence> {
            evidence.iter().filter(|(v, _)| (*v == to) == new).map(|(_, e)| e).collect()
        };
        let Some(fault) = rollout::judge(&of(true), &of(false), &self.cfg.rollout) else { return };
        let fields = [
            ("service", service.as_str().into()),
            ("version", to.as_str().into()),
            ("fault", fault.to_string().into()),
        ];
        self.log.line(self.clock.now(), Stream::Other, &codes::VERSION_CONDEMNED, &fields);
        if let Some(entry) = self.moves.borrow_mut().get_mut(service) {
            entry.rollout.withdrawn = true;
        }
        self.status_changed.notify_one();
    }

    /// Answers of each target of a service since an order, with the target's version.
    fn evidence_of(
        &self,
        service: &ServiceName,
        order: RowVersion,
    ) -> Vec<(VersionName, Evidence)> {
        let mut all = Vec::new();
        if let (Some(record), Some((row, evidence))) =
            (self.target.record(), self.target.evidence())
            && record.service == *service
            && row == order
        {
            all.push((record.version, evidence));
        }
        for peer in self.peers.by_name.borrow().values() {
            let Some(status) = peer.status.as_ref() else { continue };
            if let (Some(record), Some((row, evidence))) = (&status.instance, &status.evidence)
                && record.service == *service
                && *row == order
            {
                all.push((record.version.clone(), evidence.clone()));
            }
        }
        all
    }

    /// The write of the status row that is due now and is this node's to make. Nodes take turns by
    /// name, so that a write does not depend on one of them.
    fn due_write(&self, service: &ServiceName) -> Option<(RowWrite, Progress)> {
        let now = self.clock.now();
        let cfg = &self.cfg.rollout;
        let to = self.moves.borrow().get(service)?.rollout.order.to.clone();
        let (old_busy, ready) = self.version_state(service, &to);
        let mut moves = self.moves.borrow_mut();
        let entry = moves.get_mut(service)?;
        let wanted = entry.rollout.wanted(now, old_busy, ready, cfg);
        if entry.rollout.recorded == Some(wanted) || !self.store_reached.get() {
            entry.due = None;
            return None;
        }
        let due = match entry.due {
            Some((verdict, at)) if verdict == wanted => at,
            _ => {
                let rank = self.peers.rank(&self.descriptor.node) as u64;
                let at = Millis(now.0 + rank * cfg.writer_delay.0);
                entry.due = Some((wanted, at));
                at
            }
        };
        if now < due {
            return None;
        }
        let progress = Progress { to, verdict: wanted };
        let change = RowWrite {
            table: Source::Status.table(),
            key: format!("{}{service}", operator::ROLLOUT_PREFIX).into(),
            value: Some(operator::encode_rollout_status(&progress).into()),
            expected_version: Some(entry.status_row),
        };
        Some((change, progress))
    }

    /// Whether a target of another version still works on requests, and whether one of the new version
    /// takes them.
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

    async fn write_progress(
        self: &Rc<Self>,
        service: ServiceName,
        change: RowWrite,
        progress: Progress,
    ) {
        let key = change.key.clone();
        let value = change.value.clone();
        match self.store.write(change).await {
            Ok(WriteOutcome::Committed(version)) => {
                self.apply_row(Source::Status, RowChange { key, version, value }, "own write");
            }
            Ok(WriteOutcome::Conflict(rows)) => {
                for row in rows {
                    self.apply_row(Source::Status, row, "store");
                }
            }
            Err(e) => {
                // The write may have been made; its condition keeps a repeat from harm.
                let fields = [
                    ("service", Value::from(service.as_str())),
                    ("state", format!("{:?}", progress.verdict).into()),
                    ("error", e.to_string().into()),
                ];
                let now = self.clock.now();
                self.log.line(now, Stream::Other, &codes::PROGRESS_NOT_WRITTEN, &fields);
                self.on_store_failure(&e);
                if let Some(entry) = self.moves.borrow_mut().get_mut(&service) {
                    entry.due = Some((progress.verdict, Millis(now.0 + WRITE_RETRY.0)));
                }
            }
        }
    }
}

/// Whether a move has no recorded end.
pub fn is_active(entry: &Move) -> bool {
    !matches!(entry.rollout.recorded, Some(Verdict::Completed | Verdict::RolledBack))
}
