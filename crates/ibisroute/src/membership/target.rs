//! Life cycle of the targets beside this node.
//!
//! A target starts, warms up, is ready, drains and is gone. Each state is a type, so that only the
//! transitions written here exist.

use std::collections::BTreeMap;

use super::membership_settings::MembershipSettings;
use super::record::TargetRecord;
use super::record::TargetState;
use crate::node::handle::TargetAnnouncement;
use crate::types::InstanceId;
use crate::types::Millis;

/// Announced, not healthy yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Starting {
    since: Millis,
}

/// Healthy for a short time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warming {
    since: Millis,
}

/// Gets calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready;

/// Gets no new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining {
    since: Millis,
    cause: DrainCause,
}

/// Why a target drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainCause {
    /// It asked to leave; it never returns.
    Left,
    /// It did not renew its lease; it returns when it announces itself again.
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
    fn with<T>(self, state: T) -> Target<T> {
        Target { announcement: self.announcement, lease_ends: self.lease_ends, state }
    }

    /// Takes no new calls from now on.
    pub fn drain(self, now: Millis, cause: DrainCause) -> Target<Draining> {
        self.with(Draining { since: now, cause })
    }
}

impl Target<Starting> {
    /// A target that has announced itself.
    pub fn new(announcement: TargetAnnouncement, now: Millis, lease_ends: Millis) -> Self {
        Self { announcement, lease_ends, state: Starting { since: now } }
    }

    /// It is healthy, or has been starting for so long that its health endpoint is not believed.
    pub fn warm(self, now: Millis) -> Target<Warming> {
        self.with(Warming { since: now })
    }
}

impl Target<Warming> {
    /// It has been healthy for the warm-up time.
    pub fn ready(self) -> Target<Ready> {
        self.with(Ready)
    }

    /// Connections to it fail.
    pub fn restart(self, now: Millis) -> Target<Starting> {
        self.with(Starting { since: now })
    }
}

impl Target<Ready> {
    /// Connections to it fail.
    pub fn restart(self, now: Millis) -> Target<Starting> {
        self.with(Starting { since: now })
    }
}

impl Target<Draining> {
    /// It announces itself again after its lease had expired.
    pub fn restart(self, now: Millis) -> Target<Starting> {
        self.with(Starting { since: now })
    }

    /// Its calls have ended; the announcement is all that remains.
    pub fn gone(self) -> TargetAnnouncement {
        self.announcement
    }
}

#[derive(Clone, Debug)]
enum AnyTarget {
    Starting(Target<Starting>),
    Warming(Target<Warming>),
    Ready(Target<Ready>),
    Draining(Target<Draining>),
}

impl AnyTarget {
    fn common(&self) -> (&TargetAnnouncement, Millis, TargetState) {
        match self {
            Self::Starting(t) => (&t.announcement, t.lease_ends, TargetState::Starting),
            Self::Warming(t) => (&t.announcement, t.lease_ends, TargetState::Warming),
            Self::Ready(t) => (&t.announcement, t.lease_ends, TargetState::Ready),
            Self::Draining(t) => (&t.announcement, t.lease_ends, TargetState::Draining),
        }
    }

    fn renew(&mut self, announcement: TargetAnnouncement, ends: Millis) {
        let (old, lease_ends) = match self {
            Self::Starting(t) => (&mut t.announcement, &mut t.lease_ends),
            Self::Warming(t) => (&mut t.announcement, &mut t.lease_ends),
            Self::Ready(t) => (&mut t.announcement, &mut t.lease_ends),
            Self::Draining(t) => (&mut t.announcement, &mut t.lease_ends),
        };
        *old = announcement;
        *lease_ends = ends;
    }

    fn drain(self, now: Millis, cause: DrainCause) -> Self {
        Self::Draining(match self {
            Self::Starting(t) => t.drain(now, cause),
            Self::Warming(t) => t.drain(now, cause),
            Self::Ready(t) => t.drain(now, cause),
            // A leave after the lease expired is final; a leave is never taken back.
            Self::Draining(t) if cause == DrainCause::Left => t.drain(now, cause),
            Self::Draining(t) => t,
        })
    }

    fn record(&self) -> TargetRecord {
        let (announcement, _, state) = self.common();
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
    /// A target announces itself or renews its lease.
    Announce(TargetAnnouncement),
    /// A target leaves.
    Leave(InstanceId),
    /// What its health endpoint said.
    Hint {
        /// The target.
        instance: InstanceId,
        /// Whether it calls itself healthy.
        healthy: bool,
    },
    /// Whether connections to it succeed.
    Reachable {
        /// The target.
        instance: InstanceId,
        /// Whether connections succeed.
        reachable: bool,
    },
    /// A draining target has no calls in flight left.
    Idle(InstanceId),
    /// Time has passed.
    Tick,
}

/// Output of [`LocalTargetTable`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetAction {
    /// The records of the targets, sorted by instance, for membership.
    Changed(Vec<TargetRecord>),
    /// The target takes no new calls; dispatch reports when it is idle.
    Drain(InstanceId),
    /// The target is forgotten.
    Gone(TargetAnnouncement),
}

/// All targets beside this node.
#[derive(Clone, Debug)]
pub struct LocalTargetTable {
    settings: MembershipSettings,
    targets: BTreeMap<InstanceId, AnyTarget>,
    published: Vec<TargetRecord>,
}

impl LocalTargetTable {
    /// No targets yet.
    pub fn new(settings: MembershipSettings) -> Self {
        Self { settings, targets: BTreeMap::new(), published: Vec::new() }
    }

    /// Handles one event.
    pub fn step(&mut self, now: Millis, event: TargetEvent) -> Vec<TargetAction> {
        let mut actions = Vec::new();
        match event {
            TargetEvent::Announce(announcement) => self.announce(now, announcement),
            TargetEvent::Leave(instance) => {
                self.drain(now, &instance, DrainCause::Left, &mut actions);
            }
            TargetEvent::Hint { instance, healthy } if healthy => self.warm(now, &instance),
            // A health endpoint only hints: a target that serves calls stays in service.
            TargetEvent::Hint { .. } => {}
            TargetEvent::Reachable { instance, reachable } if reachable => {
                self.warm(now, &instance);
            }
            TargetEvent::Reachable { instance, .. } => self.unreachable(now, &instance),
            TargetEvent::Idle(instance) => self.idle(&instance, &mut actions),
            TargetEvent::Tick => self.tick(now, &mut actions),
        }
        let records = self.records();
        if records != self.published {
            self.published.clone_from(&records);
            actions.push(TargetAction::Changed(records));
        }
        actions
    }

    /// Records of all targets, sorted by instance.
    pub fn records(&self) -> Vec<TargetRecord> {
        self.targets.values().map(AnyTarget::record).collect()
    }

    /// What a target announced.
    pub fn get(&self, instance: &InstanceId) -> Option<&TargetAnnouncement> {
        self.targets.get(instance).map(|t| t.common().0)
    }

    fn announce(&mut self, now: Millis, announcement: TargetAnnouncement) {
        let ends = Millis(now.0 + self.settings.lease_ms);
        let instance = announcement.instance.clone();
        let target = match self.targets.remove(&instance) {
            None => AnyTarget::Starting(Target::new(announcement, now, ends)),
            Some(AnyTarget::Draining(t)) if t.state.cause == DrainCause::LeaseExpired => {
                let mut target = AnyTarget::Starting(t.restart(now));
                target.renew(announcement, ends);
                target
            }
            Some(mut target) => {
                target.renew(announcement, ends);
                target
            }
        };
        self.targets.insert(instance, target);
    }

    fn warm(&mut self, now: Millis, instance: &InstanceId) {
        self.change(instance, |t| match t {
            AnyTarget::Starting(t) => AnyTarget::Warming(t.warm(now)),
            other => other,
        });
    }

    fn unreachable(&mut self, now: Millis, instance: &InstanceId) {
        self.change(instance, |t| match t {
            AnyTarget::Warming(t) => AnyTarget::Starting(t.restart(now)),
            AnyTarget::Ready(t) => AnyTarget::Starting(t.restart(now)),
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
        let announced = !matches!(target, AnyTarget::Draining(_));
        self.change(instance, |t| t.drain(now, cause));
        if announced {
            actions.push(TargetAction::Drain(instance.clone()));
        }
    }

    fn idle(&mut self, instance: &InstanceId, actions: &mut Vec<TargetAction>) {
        match self.targets.remove(instance) {
            Some(AnyTarget::Draining(t)) => actions.push(TargetAction::Gone(t.gone())),
            Some(other) => {
                self.targets.insert(instance.clone(), other);
            }
            None => {}
        }
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<TargetAction>) {
        let cfg = self.settings.clone();
        let past = |since: Millis, ms: u64| now.since(since).0 >= ms;
        for instance in self.targets.keys().cloned().collect::<Vec<_>>() {
            let Some(target) = self.targets.get(&instance) else { continue };
            let expired = now >= target.common().1;
            match target {
                AnyTarget::Draining(t) => {
                    let limit = match t.state.cause {
                        DrainCause::Left => cfg.leave_drain_max_ms,
                        DrainCause::LeaseExpired => cfg.lease_drain_max_ms,
                    };
                    if past(t.state.since, limit) {
                        self.idle(&instance, actions);
                    }
                }
                _ if expired => self.drain(now, &instance, DrainCause::LeaseExpired, actions),
                AnyTarget::Starting(t) if past(t.state.since, cfg.starting_max_ms) => {
                    self.warm(now, &instance);
                }
                AnyTarget::Warming(t) if past(t.state.since, cfg.warming_ms) => {
                    self.change(&instance, |t| match t {
                        AnyTarget::Warming(t) => AnyTarget::Ready(t.ready()),
                        other => other,
                    });
                }
                _ => {}
            }
        }
    }

    fn change(&mut self, instance: &InstanceId, f: impl FnOnce(AnyTarget) -> AnyTarget) {
        if let Some(target) = self.targets.remove(instance) {
            self.targets.insert(instance.clone(), f(target));
        }
    }
}
