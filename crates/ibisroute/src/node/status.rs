//! Builds the response to `GET /status` from the state of the actors.

use std::collections::BTreeMap;

use super::run::NodeContext;
use crate::ctl::admin_model::MemberCounts;
use crate::ctl::admin_model::NodeState;
use crate::ctl::admin_model::RejectedVersion;
use crate::ctl::admin_model::StatusReport;
use crate::ctl::admin_model::TargetReport;
use crate::distribution::state::Status as DistributionStatus;
use crate::membership::record::MemberView;
use crate::membership::record::Status;
use crate::membership::record::TargetRecord;
use crate::types::InstanceId;
use crate::wire::LoadWire;

/// Returns the state of the node according to the current snapshot.
pub fn node_state(cx: &NodeContext) -> NodeState {
    let snapshot = cx.snapshot.load();
    if snapshot.draining {
        return NodeState::Draining;
    }
    if snapshot.config.is_none() { NodeState::Starting } else { NodeState::Serving }
}

/// Combines the state of the actors into a report. `target_loads` holds the load of each local
/// target.
pub fn status_report(
    cx: &NodeContext,
    distribution: &DistributionStatus,
    members: &MemberView,
    targets: &[TargetRecord],
    target_loads: &BTreeMap<InstanceId, LoadWire>,
) -> StatusReport {
    let head_in_effect = cx.snapshot.load().config.as_ref().map(|c| c.head);
    StatusReport {
        node: cx.settings.node.clone(),
        data_centre: cx.settings.data_centre.clone(),
        region: cx.settings.region.clone(),
        state: node_state(cx),
        version: head_in_effect.unwrap_or_default().version,
        digest: head_in_effect.map(|h| h.digest),
        head_version: distribution.highest_known.version,
        rejected: distribution.rejected.as_ref().map(|(head, reason)| RejectedVersion {
            version: head.version,
            reason: reason.clone(),
        }),
        members: member_counts(members),
        targets: targets.iter().map(|t| target_report(t, target_loads)).collect(),
    }
}

fn member_counts(members: &MemberView) -> MemberCounts {
    let count_with_status = |status| members.members.iter().filter(|m| m.status == status).count();
    MemberCounts {
        alive: count_with_status(Status::Alive),
        suspect: count_with_status(Status::Suspect),
        dead: count_with_status(Status::Dead),
        left: count_with_status(Status::Left),
    }
}

fn target_report(
    target: &TargetRecord,
    target_loads: &BTreeMap<InstanceId, LoadWire>,
) -> TargetReport {
    TargetReport {
        instance: target.instance.clone(),
        service: target.service.clone(),
        version: target.version.clone(),
        state: target.state,
        slots: target.slots,
        in_flight: target_loads.get(&target.instance).map_or(0, |l| l.in_flight),
    }
}
