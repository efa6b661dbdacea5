//! Drives the life cycle of the targets beside this node.

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

use super::handle::AnnounceReply;
use super::handle::LeaveReply;
use super::handle::TargetAnnouncement;
use super::messages::LocalTargets;
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

/// How long a target's leave is remembered after it has gone.
const LEFT_KEPT: Millis = Millis(600_000);

/// Settings of the node's dealings with the targets beside it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetSettings {
    /// Period of health checks, in milliseconds.
    pub health_period_ms: u64,
    /// Longest time for a health check, in milliseconds.
    pub health_timeout_ms: u64,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self { health_period_ms: 500, health_timeout_ms: 400 }
    }
}

/// A target announces itself or renews its lease.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Announce {
    /// The announcement.
    pub target: TargetAnnouncement,
    /// Takes the answer.
    pub reply: oneshot::Sender<AnnounceReply>,
}

/// A target leaves.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Leave {
    /// The run of the target.
    pub instance: InstanceId,
    /// Takes how far the leave is.
    pub reply: oneshot::Sender<LeaveReply>,
}

/// What the dispatch thread saw of a target.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Observed(pub TargetEvent);

/// Asks for the records of the targets beside this node.
#[derive(Debug, Message)]
#[rtype(result = "Vec<TargetRecord>")]
pub struct QueryTargets;

/// The actor; lives on the control thread.
pub struct TargetsActor {
    cfg: TargetSettings,
    lease_ms: u64,
    tick: Millis,
    table: LocalTargetTable,
    dispatch: DispatchHandle,
    membership: Recipient<LocalTargets>,
    /// Targets that asked to leave, with the time; kept so that a repeated request is answered.
    left: BTreeMap<InstanceId, Millis>,
    client: awc::Client,
    clock: Clock,
}

impl TargetsActor {
    /// Makes the actor; it commands `dispatch` and tells `membership` of changes.
    pub fn new(
        cfg: TargetSettings,
        membership_cfg: &MembershipSettings,
        dispatch: DispatchHandle,
        membership: Recipient<LocalTargets>,
    ) -> Self {
        let timeout = Millis(cfg.health_timeout_ms).to_duration();
        Self {
            cfg,
            lease_ms: membership_cfg.lease_ms,
            tick: Millis(membership_cfg.tick_period_ms),
            table: LocalTargetTable::new(membership_cfg.clone()),
            dispatch,
            membership,
            left: BTreeMap::new(),
            client: awc::Client::builder().timeout(timeout).finish(),
            clock: Clock::start(),
        }
    }

    fn step(&mut self, event: TargetEvent) {
        let now = self.clock.now();
        for action in self.table.step(now, event) {
            match action {
                TargetAction::Changed(records) => self.membership.do_send(LocalTargets(records)),
                TargetAction::Drain(instance) => {
                    events::emit(&events::node::TARGET_DRAINING, format_args!("{instance}"));
                    // Dispatch never reverts a drain, but a target whose lease expired may return.
                    // Until then it is enough that no node chooses it.
                    if self.left.contains_key(&instance) {
                        self.dispatch.drain(instance);
                    }
                }
                TargetAction::Removed(announcement) => self.gone(&announcement.instance),
            }
        }
    }

    fn gone(&mut self, instance: &InstanceId) {
        events::emit(&events::node::TARGET_GONE, format_args!("{instance}"));
        self.dispatch.remove(instance.clone());
    }

    fn check_health(&mut self, cx: &mut Context<Self>) {
        for record in self.table.records() {
            let Some(announcement) = self.table.get(&record.instance) else { continue };
            let url = format!("http://{}/health", announcement.address);
            let answer = self.client.get(url).send();
            let instance = record.instance;
            cx.spawn(answer.into_actor(self).map(move |result, act, _| {
                let healthy = result.is_ok_and(|res| res.status().is_success());
                act.step(TargetEvent::HealthCheck { instance, healthy });
            }));
        }
    }
}

impl Actor for TargetsActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.run_interval(self.tick.to_duration(), |act, _| act.step(TargetEvent::Tick));
        let period = Millis(self.cfg.health_period_ms).to_duration();
        cx.run_interval(period, |act, cx| act.check_health(cx));
    }
}

impl Handler<Announce> for TargetsActor {
    type Result = ();

    fn handle(&mut self, message: Announce, cx: &mut Self::Context) {
        let Announce { target, reply } = message;
        let is_new = self.table.get(&target.instance).is_none();
        self.dispatch.upsert(LocalTarget {
            instance: target.instance.clone(),
            service: target.service.clone(),
            version: target.version.clone(),
            address: target.address,
            slots: target.slots,
            connections: target.connections,
        });
        if is_new {
            events::emit(
                &events::node::TARGET_ANNOUNCED,
                format_args!("{} of {} {}", target.instance, target.service, target.version),
            );
        }
        self.step(TargetEvent::Announce(target));
        if is_new {
            self.check_health(cx);
        }
        let _ = reply.send(AnnounceReply { lease_ms: self.lease_ms });
    }
}

impl Handler<Leave> for TargetsActor {
    type Result = ();

    fn handle(&mut self, message: Leave, _cx: &mut Self::Context) {
        let Leave { instance, reply } = message;
        let now = self.clock.now();
        self.left.retain(|_, since| now.since(*since) < LEFT_KEPT);
        if self.table.get(&instance).is_some() {
            self.left.entry(instance.clone()).or_insert(now);
            self.step(TargetEvent::Leave(instance.clone()));
        }
        let answer = if self.table.get(&instance).is_some() {
            LeaveReply::Draining
        } else if self.left.contains_key(&instance) {
            LeaveReply::Gone
        } else {
            LeaveReply::Unknown
        };
        // The target may not wait for the answer.
        let _ = reply.send(answer);
    }
}

impl Handler<Observed> for TargetsActor {
    type Result = ();

    fn handle(&mut self, message: Observed, _cx: &mut Self::Context) {
        self.step(message.0);
    }
}

impl Handler<QueryTargets> for TargetsActor {
    type Result = Vec<TargetRecord>;

    fn handle(&mut self, _message: QueryTargets, _cx: &mut Self::Context) -> Self::Result {
        self.table.records()
    }
}
