//! Life cycle of the targets on this host.
//!
//! A target is starting, warming, ready, draining, and then removed. Each state is a type, so that
//! only the transitions defined here are possible.

use std::collections::BTreeMap;

use super::membership_settings::MembershipSettings;
use super::record::TargetRecord;
use super::record::TargetState;
use crate::node::control_handle::TargetAnnouncement;
use crate::types::InstanceId;
use crate::types::Millis;

/// Announced but not healthy yet; receives no calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Starting {
    since: Millis,
}

/// Healthy for less than the warm-up time; already receives calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warming {
    since: Millis,
}

/// Warmed up; receives calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready;

/// Finishes its calls in flight and receives no new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining {
    since: Millis,
    cause: DrainCause,
}

/// Why a target drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainCause {
    /// The target requested to leave, which is final.
    Left,
    /// The target did not renew its lease. It starts again when it announces itself again.
    LeaseExpired,
}

/// A target in one state of its life cycle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target<S> {
    announcement: TargetAnnouncement,
    lease_ends: Millis,
    state: S,
}

impl<S> Target<S> {
    fn with_state<T>(self, state: T) -> Target<T> {
        Target { announcement: self.announcement, lease_ends: self.lease_ends, state }
    }

    /// Starts to drain: the target receives no new calls.
    pub fn drain(self, now: Millis, cause: DrainCause) -> Target<Draining> {
        self.with_state(Draining { since: now, cause })
    }
}

impl Target<Starting> {
    /// Creates a target from its first announcement.
    pub fn new(announcement: TargetAnnouncement, now: Millis, lease_ends: Millis) -> Self {
        Self { announcement, lease_ends, state: Starting { since: now } }
    }

    /// Starts the warm-up: the target is healthy, or has been starting for `starting_max_ms`, after
    /// which its health endpoint is disregarded.
    pub fn start_warm_up(self, now: Millis) -> Target<Warming> {
        self.with_state(Warming { since: now })
    }
}

impl Target<Warming> {
    /// Makes the target ready after it has been healthy for `warming_ms`.
    pub fn end_warm_up(self) -> Target<Ready> {
        self.with_state(Ready)
    }

    /// Returns to starting because connections to the target fail.
    pub fn back_to_starting(self, now: Millis) -> Target<Starting> {
        self.with_state(Starting { since: now })
    }
}

impl Target<Ready> {
    /// Returns to starting because connections to the target fail.
    pub fn back_to_starting(self, now: Millis) -> Target<Starting> {
        self.with_state(Starting { since: now })
    }
}

impl Target<Draining> {
    /// Returns to starting because the target announced itself again after its lease had expired.
    pub fn back_to_starting(self, now: Millis) -> Target<Starting> {
        self.with_state(Starting { since: now })
    }

    /// Ends the life cycle of a draining target and returns the target's last announcement.
    pub fn finish(self) -> TargetAnnouncement {
        self.announcement
    }
}

/// A target of this host in any state of its life cycle.
#[derive(Clone, Debug)]
enum TargetInAnyState {
    Starting(Target<Starting>),
    Warming(Target<Warming>),
    Ready(Target<Ready>),
    Draining(Target<Draining>),
}

impl TargetInAnyState {
    /// Returns the last announcement, the end of the lease and the state in the target's record.
    fn common_fields(&self) -> (&TargetAnnouncement, Millis, TargetState) {
        match self {
            Self::Starting(t) => (&t.announcement, t.lease_ends, TargetState::Starting),
            Self::Warming(t) => (&t.announcement, t.lease_ends, TargetState::Warming),
            Self::Ready(t) => (&t.announcement, t.lease_ends, TargetState::Ready),
            Self::Draining(t) => (&t.announcement, t.lease_ends, TargetState::Draining),
        }
    }

    fn renew(&mut self, announcement: TargetAnnouncement, new_lease_ends: Millis) {
        let (old_announcement, lease_ends) = match self {
            Self::Starting(t) => (&mut t.announcement, &mut t.lease_ends),
            Self::Warming(t) => (&mut t.announcement, &mut t.lease_ends),
            Self::Ready(t) => (&mut t.announcement, &mut t.lease_ends),
            Self::Draining(t) => (&mut t.announcement, &mut t.lease_ends),
        };
        *old_announcement = announcement;
        *lease_ends = new_lease_ends;
    }

    fn drain(self, now: Millis, cause: DrainCause) -> Self {
        Self::Draining(match self {
            Self::Starting(t) => t.drain(now, cause),
            Self::Warming(t) => t.drain(now, cause),
            Self::Ready(t) => t.drain(now, cause),
            // A leave is final, even when the target is already draining because its lease expired.
            Self::Draining(t) if cause == DrainCause::Left => t.drain(now, cause),
            Self::Draining(t) => t,
        })
    }

    fn record(&self) -> TargetRecord {
        let (announcement, _, state) = self.common_fields();
        TargetRecord {
            service: announcement.service.clone(),
            version: announcement.version.clone(),
            instance: announcement.instance.clone(),
            slots: announcement.slots,
            state,
        }
    }
}

/// Input of [`LocalTargetTable`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetEvent {
    /// A target announced itself or renewed its lease.
    Announce(TargetAnnouncement),
    /// A target requested to leave.
    Leave(InstanceId),
    /// The health endpoint of a target responded, or failed to.
    HealthCheck { instance: InstanceId, healthy: bool },
    /// Connections to a target began to fail, or succeed again.
    Reachable { instance: InstanceId, reachable: bool },
    /// A draining target has no calls in flight left.
    Idle(InstanceId),
    /// The actor's timer fired.
    Tick,
}

/// Output of [`LocalTargetTable`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetAction {
    /// The records of the targets, sorted by instance, for membership.
    Changed(Vec<TargetRecord>),
    /// Stops dispatching calls to the target; a [`TargetEvent::Idle`] follows when it is idle.
    Drain(InstanceId),
    /// The target was removed; carries its last announcement.
    Removed(TargetAnnouncement),
}

/// Table of all targets on this host, with their life-cycle states.
#[derive(Clone, Debug)]
pub struct LocalTargetTable {
    settings: MembershipSettings,
    targets: BTreeMap<InstanceId, TargetInAnyState>,
    /// Records of the last [`TargetAction::Changed`].
    published: Vec<TargetRecord>,
}

impl LocalTargetTable {
    /// Creates a table without targets.
    pub fn new(settings: MembershipSettings) -> Self {
        Self { settings, targets: BTreeMap::new(), published: Vec::new() }
    }

    /// Handles one event and returns the actions to perform, in order.
    pub fn step(&mut self, now: Millis, event: TargetEvent) -> Vec<TargetAction> {
        let mut actions = Vec::new();
        match event {
            TargetEvent::Announce(announcement) => self.on_announcement(now, announcement),
            TargetEvent::Leave(instance) => {
                self.drain(now, &instance, DrainCause::Left, &mut actions);
            }
            TargetEvent::HealthCheck { instance, healthy } if healthy => {
                self.start_warm_up(now, &instance)
            }
            // An unhealthy response alone does not take a target that serves calls out of service.
            TargetEvent::HealthCheck { .. } => {}
            TargetEvent::Reachable { instance, reachable } if reachable => {
                self.start_warm_up(now, &instance);
            }
            TargetEvent::Reachable { instance, .. } => self.on_unreachable(now, &instance),
            TargetEvent::Idle(instance) => self.remove_draining(&instance, &mut actions),
            TargetEvent::Tick => self.tick(now, &mut actions),
        }
        let records = self.records();
        if records != self.published {
            self.published.clone_from(&records);
            actions.push(TargetAction::Changed(records));
        }
        actions
    }

    /// Returns the records of all targets, sorted by instance.
    pub fn records(&self) -> Vec<TargetRecord> {
        self.targets.values().map(TargetInAnyState::record).collect()
    }

    /// Returns the last announcement of a target, or `None` when it is unknown.
    pub fn get(&self, instance: &InstanceId) -> Option<&TargetAnnouncement> {
        self.targets.get(instance).map(|t| t.common_fields().0)
    }

    fn on_announcement(&mut self, now: Millis, announcement: TargetAnnouncement) {
        let lease_ends = Millis(now.0 + self.settings.lease_ms);
        let instance = announcement.instance.clone();
        let target = match self.targets.remove(&instance) {
            None => TargetInAnyState::Starting(Target::new(announcement, now, lease_ends)),
            Some(TargetInAnyState::Draining(t)) if t.state.cause == DrainCause::LeaseExpired => {
                let mut target = TargetInAnyState::Starting(t.back_to_starting(now));
                target.renew(announcement, lease_ends);
                target
            }
            Some(mut target) => {
                target.renew(announcement, lease_ends);
                target
            }
        };
        self.targets.insert(instance, target);
    }

    /// Starts the warm-up of the target if it is starting.
    fn start_warm_up(&mut self, now: Millis, instance: &InstanceId) {
        self.update_target(instance, |t| match t {
            TargetInAnyState::Starting(t) => TargetInAnyState::Warming(t.start_warm_up(now)),
            other => other,
        });
    }

    fn on_unreachable(&mut self, now: Millis, instance: &InstanceId) {
        self.update_target(instance, |t| match t {
            TargetInAnyState::Warming(t) => TargetInAnyState::Starting(t.back_to_starting(now)),
            TargetInAnyState::Ready(t) => TargetInAnyState::Starting(t.back_to_starting(now)),
            other => other,
        });
    }

    fn drain(
        &mut self,
        now: Millis,
        instance: &InstanceId,
        cause: DrainCause,
        actions: &mut Vec<TargetAction>,
    ) {
        let Some(target) = self.targets.get(instance) else { return };
        let newly_draining = !matches!(target, TargetInAnyState::Draining(_));
        self.update_target(instance, |t| t.drain(now, cause));
        if newly_draining {
            actions.push(TargetAction::Drain(instance.clone()));
        }
    }

    /// Removes the target if it is draining.
    fn remove_draining(&mut self, instance: &InstanceId, actions: &mut Vec<TargetAction>) {
        match self.targets.remove(instance) {
            Some(TargetInAnyState::Draining(t)) => actions.push(TargetAction::Removed(t.finish())),
            Some(other) => {
                self.targets.insert(instance.clone(), other);
            }
            None => {}
        }
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<TargetAction>) {
        let cfg = self.settings.clone();
        let has_elapsed = |since: Millis, ms: u64| now.since(since).0 >= ms;
        for instance in self.targets.keys().cloned().collect::<Vec<_>>() {
            let Some(target) = self.targets.get(&instance) else { continue };
            let lease_expired = now >= target.common_fields().1;
            match target {
                TargetInAnyState::Draining(t) => {
                    let drain_timeout_ms = match t.state.cause {
                        DrainCause::Left => cfg.leave_drain_max_ms,
                        DrainCause::LeaseExpired => cfg.lease_drain_max_ms,
                    };
                    if has_elapsed(t.state.since, drain_timeout_ms) {
                        self.remove_draining(&instance, actions);
                    }
                }
                _ if lease_expired => self.drain(now, &instance, DrainCause::LeaseExpired, actions),
                TargetInAnyState::Starting(t)
                    if has_elapsed(t.state.since, cfg.starting_max_ms) =>
                {
                    self.start_warm_up(now, &instance);
                }
                TargetInAnyState::Warming(t) if has_elapsed(t.state.since, cfg.warming_ms) => {
                    self.update_target(&instance, |t| match t {
                        TargetInAnyState::Warming(t) => TargetInAnyState::Ready(t.end_warm_up()),
                        other => other,
                    });
                }
                _ => {}
            }
        }
    }

    fn update_target(
        &mut self,
        instance: &InstanceId,
        f: impl FnOnce(TargetInAnyState) -> TargetInAnyState,
    ) {
        if let Some(target) = self.targets.remove(instance) {
            self.targets.insert(instance.clone(), f(target));
        }
    }
}
