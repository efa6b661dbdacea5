//! Manages the life cycle of the targets on this host.

use std::collections::BTreeMap;

use actix::Actor;
use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::Recipient;
use actix::WrapFuture;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

use super::control_handle::AnnounceReply;
use super::control_handle::LeaveReply;
use super::control_handle::TargetAnnouncement;
use super::messages::LocalTargetsChanged;
use crate::clock::Clock;
use crate::events;
use crate::membership::membership_settings::MembershipSettings;
use crate::membership::record::TargetRecord;
use crate::membership::target::LocalTargetTable;
use crate::membership::target::TargetAction;
use crate::membership::target::TargetEvent;
use crate::traffic::DispatchHandle;
use crate::traffic::LocalTarget;
use crate::types::InstanceId;
use crate::types::Millis;

/// Time for which a target's first request to leave is remembered. Until then a retry after the
/// removal of the target is answered with [`LeaveReply::Removed`].
const LEAVE_REQUEST_RETENTION: Millis = Millis(600_000);

/// Section `targets` of the node settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetSettings {
    /// Interval between health checks of a target, in milliseconds.
    pub health_period_ms: u64,
    /// Timeout of a health check, in milliseconds.
    pub health_timeout_ms: u64,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self { health_period_ms: 500, health_timeout_ms: 400 }
    }
}

/// Announces a target or renews its lease.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct AnnounceTarget {
    pub target: TargetAnnouncement,
    pub reply: oneshot::Sender<AnnounceReply>,
}

/// Requests the removal of a target that leaves. The first request starts to drain it, further
/// ones query the progress.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct DrainTarget {
    /// Incarnation of the target.
    pub instance: InstanceId,
    /// Receives whether the target still has calls in flight.
    pub reply: oneshot::Sender<LeaveReply>,
}

/// A change in the state of a target, detected by the dispatch thread.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct DispatchTargetEvent(pub TargetEvent);

/// Requests the records of the targets on this host.
#[derive(Debug, Message)]
#[rtype(result = "Vec<TargetRecord>")]
pub struct QueryTargets;

/// Owns the table of local targets and checks their health; runs on the control thread.
pub struct TargetsActor {
    cfg: TargetSettings,
    lease_ms: u64,
    tick_period: Millis,
    table: LocalTargetTable,
    dispatch: DispatchHandle,
    membership: Recipient<LocalTargetsChanged>,
    /// Targets that requested to leave, with the time of the first request; kept for
    /// [`LEAVE_REQUEST_RETENTION`].
    leave_request_times: BTreeMap<InstanceId, Millis>,
    http_client: awc::Client,
    clock: Clock,
}

impl TargetsActor {
    /// Creates an actor that updates the targets of `dispatch` and reports changes to `membership`.
    pub fn new(
        cfg: TargetSettings,
        membership_cfg: &MembershipSettings,
        dispatch: DispatchHandle,
        membership: Recipient<LocalTargetsChanged>,
    ) -> Self {
        let health_timeout = Millis(cfg.health_timeout_ms).to_duration();
        Self {
            cfg,
            lease_ms: membership_cfg.lease_ms,
            tick_period: Millis(membership_cfg.tick_period_ms),
            table: LocalTargetTable::new(membership_cfg.clone()),
            dispatch,
            membership,
            leave_request_times: BTreeMap::new(),
            http_client: awc::Client::builder().timeout(health_timeout).finish(),
            clock: Clock::start(),
        }
    }

    /// Applies an event to the table and carries out the resulting actions.
    fn apply_target_event(&mut self, event: TargetEvent) {
        let now = self.clock.now();
        for action in self.table.step(now, event) {
            match action {
                TargetAction::Changed(records) => {
                    self.membership.do_send(LocalTargetsChanged(records))
                }
                TargetAction::Drain(instance) => {
                    events::emit(&events::node::TARGET_DRAINING, format_args!("{instance}"));
                    // The dispatch thread cannot undo a drain, but a target whose lease expired may
                    // announce itself again. Such a target is therefore not drained there; its
                    // record already keeps all nodes from selecting it.
                    if self.leave_request_times.contains_key(&instance) {
                        self.dispatch.drain(instance);
                    }
                }
                TargetAction::Removed(announcement) => {
                    self.on_target_removed(&announcement.instance)
                }
            }
        }
    }

    fn on_target_removed(&mut self, instance: &InstanceId) {
        events::emit(&events::node::TARGET_REMOVED, format_args!("{instance}"));
        self.dispatch.remove(instance.clone());
    }

    fn check_health(&mut self, cx: &mut Context<Self>) {
        for record in self.table.records() {
            let Some(announcement) = self.table.get(&record.instance) else { continue };
            let health_url = format!("http://{}/health", announcement.address);
            let health_request = self.http_client.get(health_url).send();
            let instance = record.instance;
            cx.spawn(health_request.into_actor(self).map(move |result, act, _| {
                let healthy = result.is_ok_and(|res| res.status().is_success());
                act.apply_target_event(TargetEvent::HealthCheck { instance, healthy });
            }));
        }
    }
}

impl Actor for TargetsActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.run_interval(self.tick_period.to_duration(), |act, _| {
            act.apply_target_event(TargetEvent::Tick)
        });
        let health_period = Millis(self.cfg.health_period_ms).to_duration();
        cx.run_interval(health_period, |act, cx| act.check_health(cx));
    }
}

impl Handler<AnnounceTarget> for TargetsActor {
    type Result = ();

    fn handle(&mut self, message: AnnounceTarget, cx: &mut Self::Context) {
        let AnnounceTarget { target, reply } = message;
        let is_new_target = self.table.get(&target.instance).is_none();
        self.dispatch.upsert(LocalTarget {
            instance: target.instance.clone(),
            service: target.service.clone(),
            version: target.version.clone(),
            address: target.address,
            slots: target.slots,
            connections: target.connections,
        });
        if is_new_target {
            events::emit(
                &events::node::TARGET_ANNOUNCED,
                format_args!("{} of {} {}", target.instance, target.service, target.version),
            );
        }
        self.apply_target_event(TargetEvent::Announce(target));
        if is_new_target {
            self.check_health(cx);
        }
        let _ = reply.send(AnnounceReply { lease_ms: self.lease_ms });
    }
}

impl Handler<DrainTarget> for TargetsActor {
    type Result = ();

    fn handle(&mut self, message: DrainTarget, _cx: &mut Self::Context) {
        let DrainTarget { instance, reply } = message;
        let now = self.clock.now();
        self.leave_request_times
            .retain(|_, requested_at| now.since(*requested_at) < LEAVE_REQUEST_RETENTION);
        if self.table.get(&instance).is_some() {
            self.leave_request_times.entry(instance.clone()).or_insert(now);
            self.apply_target_event(TargetEvent::Leave(instance.clone()));
        }
        let leave_reply = if self.table.get(&instance).is_some() {
            LeaveReply::Draining
        } else if self.leave_request_times.contains_key(&instance) {
            LeaveReply::Removed
        } else {
            LeaveReply::Unknown
        };
        // Sending fails when the target has closed the connection.
        let _ = reply.send(leave_reply);
    }
}

impl Handler<DispatchTargetEvent> for TargetsActor {
    type Result = ();

    fn handle(&mut self, message: DispatchTargetEvent, _cx: &mut Self::Context) {
        self.apply_target_event(message.0);
    }
}

impl Handler<QueryTargets> for TargetsActor {
    type Result = Vec<TargetRecord>;

    fn handle(&mut self, _message: QueryTargets, _cx: &mut Self::Context) -> Self::Result {
        self.table.records()
    }
}
