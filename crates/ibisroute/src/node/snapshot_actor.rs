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

/// Interval at which lost targets whose `target_retention` has passed are dropped.
const LOST_TARGET_EXPIRY_PERIOD: Millis = Millis(10_000);

/// Sent when the node shuts down; makes the node refuse new calls.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct RefuseCalls;

/// The only writer of the shared snapshot; runs on the control thread.
pub struct SnapshotActor {
    shared_snapshot: Arc<ArcSwap<Snapshot>>,
    current_snapshot: Snapshot,
    members: Option<Arc<MemberView>>,
    recent_targets: RecentTargets,
    /// Time for which a lost target still counts in [`ServiceEndpoints::recent_target_count`], by
    /// which fleet-wide limits are divided.
    ///
    /// [`ServiceEndpoints::recent_target_count`]:
    /// crate::snapshot::ServiceEndpoints::recent_target_count
    target_retention: Millis,
    clock: Clock,
}

impl SnapshotActor {
    /// Creates an actor that writes to `shared_snapshot`. A lost target still counts as recent until
    /// `target_retention` has passed.
    pub fn new(shared_snapshot: Arc<ArcSwap<Snapshot>>, target_retention: Millis) -> Self {
        Self {
            shared_snapshot,
            current_snapshot: Snapshot::default(),
            members: None,
            recent_targets: RecentTargets::default(),
            target_retention,
            clock: Clock::start(),
        }
    }

    fn publish(&self) {
        self.shared_snapshot.store(Arc::new(self.current_snapshot.clone()));
    }

    fn update_endpoints(&mut self) {
        let Some(members) = &self.members else { return };
        let now = self.clock.now();
        self.recent_targets.observe(now, members, self.target_retention);
        let endpoints = endpoint_view(members, &self.recent_targets);
        if endpoints == *self.current_snapshot.endpoints {
            return;
        }
        self.current_snapshot.endpoints = Arc::new(endpoints);
        self.publish();
    }
}

impl Actor for SnapshotActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.run_interval(LOST_TARGET_EXPIRY_PERIOD.to_duration(), |act, _| act.update_endpoints());
    }
}

impl Handler<ConfigurationApplied> for SnapshotActor {
    type Result = ();

    fn handle(&mut self, message: ConfigurationApplied, _cx: &mut Self::Context) {
        let is_first_configuration = self.current_snapshot.config.is_none();
        let version = message.0.head.version;
        if let Some(previous) = &self.current_snapshot.config {
            assert!(
                version > previous.head.version,
                "each applied version is higher than the previous one"
            );
        }
        self.current_snapshot.config = Some(message.0);
        self.publish();
        if is_first_configuration {
            events::emit(
                &events::node::NODE_SERVING,
                format_args!("configuration version {version}"),
            );
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
        self.current_snapshot.moves = message.views;
        self.publish();
    }
}

impl Handler<RefuseCalls> for SnapshotActor {
    type Result = ();

    fn handle(&mut self, _message: RefuseCalls, _cx: &mut Self::Context) {
        self.current_snapshot.draining = true;
        self.publish();
    }
}
