//! Builds the endpoint view that traffic threads read from the member records.

use std::collections::BTreeMap;

use super::record::MemberRecord;
use super::record::MemberView;
use super::record::Status;
use super::record::TargetRecord;
use super::record::TargetState;
use crate::snapshot::Endpoint;
use crate::snapshot::EndpointView;
use crate::snapshot::ServiceEndpoints;
use crate::types::InstanceId;
use crate::types::Millis;
use crate::types::ServiceName;

/// Targets seen recently, with the time at which each was last in the record of a live node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecentTargets {
    last_seen: BTreeMap<(ServiceName, InstanceId), Millis>,
}

impl RecentTargets {
    /// Updates the times from `view` at `now`, and drops targets that were last seen `retention` or
    /// longer ago.
    ///
    /// A target that is first found in the record of a dead node counts as seen at `now`. A target
    /// that drains or whose node left is dropped immediately, because the fleet-wide limits are
    /// then divided among the remaining targets.
    pub fn observe(&mut self, now: Millis, view: &MemberView, retention: Millis) {
        for member in &view.members {
            for target in &member.targets {
                let key = (target.service.clone(), target.instance.clone());
                if member.status == Status::Left || target.state == TargetState::Draining {
                    self.last_seen.remove(&key);
                } else if member.is_live() {
                    self.last_seen.insert(key, now);
                } else {
                    self.last_seen.entry(key).or_insert(now);
                }
            }
        }
        self.last_seen.retain(|_, last_seen| now.since(*last_seen) < retention);
    }
}

/// Returns the endpoints of each service. Call [`RecentTargets::observe`] with the same view first.
pub fn endpoint_view(view: &MemberView, recent: &RecentTargets) -> EndpointView {
    let mut services: BTreeMap<ServiceName, ServiceEndpoints> = BTreeMap::new();
    for member in view.live() {
        for target in member.targets.iter().filter(|t| accepts_calls(t)) {
            let service = services.entry(target.service.clone()).or_default();
            service.ready.push(endpoint(view, member, target));
        }
    }
    for (service, _) in recent.last_seen.keys() {
        services.entry(service.clone()).or_default().recent_target_count += 1;
    }
    for service in services.values_mut() {
        service.ready.sort_by(|a, b| a.instance.cmp(&b.instance));
        service.recent_target_count =
            service.recent_target_count.max(u32::try_from(service.ready.len()).unwrap_or(u32::MAX));
    }
    EndpointView { services }
}

fn accepts_calls(target: &TargetRecord) -> bool {
    matches!(target.state, TargetState::Warming | TargetState::Ready)
}

fn endpoint(view: &MemberView, member: &MemberRecord, target: &TargetRecord) -> Endpoint {
    Endpoint {
        instance: target.instance.clone(),
        version: target.version.clone(),
        node: member.node.clone(),
        peer_addr: member.addresses.peer,
        data_centre: member.data_centre.clone(),
        slots: target.slots,
        local: member.node == view.local,
    }
}
