//! Combines configuration, endpoints and moves into the snapshot that the traffic threads read.

use std::sync::Arc;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use arc_swap::ArcSwap;

use super::messages::ConfigurationApplied;
use super::messages::MembersChanged;
use super::messages::MovesChanged;
use crate::clock::Clock;
use crate::events;
use crate::membership::endpoints::RecentTargets;
use crate::membership::endpoints::endpoint_view;
use crate::membership::record::MemberView;
use crate::snapshot::Snapshot;
use crate::types::Millis;

/// Interval at which lost targets whose `retention` has passed are dropped.
const EXPIRY_PERIOD: Millis = Millis(10_000);

/// Sent when the node shuts down; makes the node refuse new calls.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct RefuseCalls;

/// The only writer of the shared snapshot; runs on the control thread.
pub struct SnapshotActor {
    shared: Arc<ArcSwap<Snapshot>>,
    current: Snapshot,
    members: Option<Arc<MemberView>>,
    recent_targets: RecentTargets,
    /// Time for which a lost target still counts in [`ServiceEndpoints::recent_target_count`], by
    /// which fleet-wide limits are divided.
    ///
    /// [`ServiceEndpoints::recent_target_count`]:
    /// crate::snapshot::ServiceEndpoints::recent_target_count
    retention: Millis,
    clock: Clock,
}

impl SnapshotActor {
    /// Creates an actor that writes to `shared` and counts lost targets for `retention`.
    pub fn new(shared: Arc<ArcSwap<Snapshot>>, retention: Millis) -> Self {
        Self {
            shared,
            current: Snapshot::default(),
            members: None,
            recent_targets: RecentTargets::default(),
            retention,
            clock: Clock::start(),
        }
    }

    fn publish(&self) {
        self.shared.store(Arc::new(self.current.clone()));
    }

    fn update_endpoints(&mut self) {
        let Some(members) = &self.members else { return };
        let now = self.clock.now();
        self.recent_targets.observe(now, members, self.retention);
        let view = endpoint_view(members, &self.recent_targets);
        if view == *self.current.endpoints {
            return;
        }
        self.current.endpoints = Arc::new(view);
        self.publish();
    }
}

impl Actor for SnapshotActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.run_interval(EXPIRY_PERIOD.to_duration(), |act, _| act.update_endpoints());
    }
}

impl Handler<ConfigurationApplied> for SnapshotActor {
    type Result = ();

    fn handle(&mut self, message: ConfigurationApplied, _cx: &mut Self::Context) {
        let is_first = self.current.config.is_none();
        let version = message.0.head.version;
        if let Some(current) = &self.current.config {
            assert!(
                version > current.head.version,
                "each applied version is higher than the previous one"
            );
        }
        self.current.config = Some(message.0);
        self.publish();
        if is_first {
            events::emit(&events::node::SERVING, format_args!("configuration version {version}"));
        }
    }
}

impl Handler<MembersChanged> for SnapshotActor {
    type Result = ();

    fn handle(&mut self, message: MembersChanged, _cx: &mut Self::Context) {
        self.members = Some(message.0);
        self.update_endpoints();
    }
}

impl Handler<MovesChanged> for SnapshotActor {
    type Result = ();

    fn handle(&mut self, message: MovesChanged, _cx: &mut Self::Context) {
        self.current.moves = message.views;
        self.publish();
    }
}

impl Handler<RefuseCalls> for SnapshotActor {
    type Result = ();

    fn handle(&mut self, _message: RefuseCalls, _cx: &mut Self::Context) {
        self.current.draining = true;
        self.publish();
    }
}
