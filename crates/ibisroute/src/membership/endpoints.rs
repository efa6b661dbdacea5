//! The endpoint view that traffic threads read, made from member records.

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

/// When each target was last part of a live node's record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SeenTargets {
    last: BTreeMap<(ServiceName, InstanceId), Millis>,
}

impl SeenTargets {
    /// Records what `view` shows at `now`, and forgets targets last seen more than `keep` before.
    ///
    /// Targets of a dead node that were never seen live count from now on. A target that leaves on
    /// purpose is forgotten: its share of the limits belongs to the others.
    pub fn observe(&mut self, now: Millis, view: &MemberView, keep: Millis) {
        for member in &view.members {
            for target in &member.targets {
                let key = (target.service.clone(), target.instance.clone());
                if member.status == Status::Left || target.state == TargetState::Draining {
                    self.last.remove(&key);
                } else if member.is_live() {
                    self.last.insert(key, now);
                } else {
                    self.last.entry(key).or_insert(now);
                }
            }
        }
        self.last.retain(|_, seen| now.since(*seen) < keep);
    }
}

/// Endpoints of each service. Call [`SeenTargets::observe`] with the same view first.
pub fn endpoint_view(view: &MemberView, seen: &SeenTargets) -> EndpointView {
    let mut services: BTreeMap<ServiceName, ServiceEndpoints> = BTreeMap::new();
    for member in view.live() {
        for target in member.targets.iter().filter(|t| takes_calls(t)) {
            let service = services.entry(target.service.clone()).or_default();
            service.ready.push(endpoint(view, member, target));
        }
    }
    for (service, _) in seen.last.keys() {
        services.entry(service.clone()).or_default().known += 1;
    }
    for service in services.values_mut() {
        service.ready.sort_by(|a, b| a.instance.cmp(&b.instance));
        service.known = service.known.max(u32::try_from(service.ready.len()).unwrap_or(u32::MAX));
    }
    EndpointView { services }
}

fn takes_calls(target: &TargetRecord) -> bool {
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
