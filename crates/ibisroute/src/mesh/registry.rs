//! Heartbeats and leave announcements of the target next to the node, and the state that follows from
//! them. Delayed announcements of an earlier incarnation are ignored.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::types::DataCentre;
use crate::types::InstanceId;
use crate::types::Millis;
use crate::types::ServiceName;
use crate::types::UnixMillis;
use crate::types::VersionName;

/// Lifecycle state of a target, as it announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LifeState {
    /// Accepts requests.
    Ready,
    /// Finishes its running requests and accepts no new ones.
    Draining,
}

/// A decoded heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Address at which the target serves HTTP.
    pub address: SocketAddr,
    pub service: ServiceName,
    /// Version of the target's software.
    pub version: VersionName,
    pub data_centre: DataCentre,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
    pub state: LifeState,
    /// Start of the incarnation; zero when it is not reported.
    pub born: UnixMillis,
    /// Number that increases with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Remaining time of the target's cold start; zero when the target is warm.
    pub cold_remaining: Millis,
}

/// The target next to a node, as the node reports it to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Identifier of the incarnation; a later incarnation may reuse it.
    pub id: InstanceId,
    pub service: ServiceName,
    /// Version of the target's software.
    pub version: VersionName,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
    pub state: LifeState,
    /// Start of the incarnation.
    pub born: UnixMillis,
}

/// Effect of a heartbeat on the state of the target.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// Ignored, because the heartbeat is older than the current state.
    Stale,
    /// The record of the target is unchanged.
    Refreshed,
    /// The heartbeat is the first one received from a new incarnation.
    Started,
    /// State, version or slots of the current incarnation changed.
    Updated,
    /// The target announces that it no longer accepts requests.
    Leaving,
}

/// State of the target next to this node.
#[derive(Debug, Default)]
pub struct LocalInstance {
    /// Newest incarnation that has sent a heartbeat.
    current: Option<CurrentInstance>,
    /// Identifier and start of the newest incarnation that left; older announcements are ignored.
    departed: Option<(InstanceId, UnixMillis)>,
}

#[derive(Debug)]
struct CurrentInstance {
    record: InstanceRecord,
    address: SocketAddr,
    sequence: u64,
    last_heartbeat: Millis,
    cold_until: Millis,
}

impl LocalInstance {
    /// Returns the record to report to other nodes; `None` before the first heartbeat.
    pub fn record(&self) -> Option<&InstanceRecord> {
        self.current.as_ref().map(|c| &c.record)
    }

    /// Returns the address at which the target serves HTTP.
    pub fn address(&self) -> Option<SocketAddr> {
        self.current.as_ref().map(|c| c.address)
    }

    /// Returns whether the target is in its cold start.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.current.as_ref().is_some_and(|c| now < c.cold_until)
    }

    /// Returns the time since the last heartbeat of the current incarnation; `None` before the first one.
    pub fn since_last_heartbeat(&self, now: Millis) -> Option<Millis> {
        self.current.as_ref().map(|c| now.since(c.last_heartbeat))
    }

    /// Applies a heartbeat. Incarnations are ordered by their start, heartbeats of one incarnation
    /// by their sequence number. A heartbeat that a network partition delayed may arrive after the
    /// next incarnation has announced itself.
    pub fn apply_heartbeat(
        &mut self,
        now: Millis,
        id: InstanceId,
        heartbeat: Heartbeat,
    ) -> HeartbeatOutcome {
        let departed = self.departed.as_ref();
        if departed.is_some_and(|(departed_id, born)| {
            heartbeat.born < *born || (*departed_id == id && heartbeat.born == *born)
        }) {
            return HeartbeatOutcome::Stale;
        }
        let current = self.current.as_ref();
        if current.is_some_and(|c| {
            let same_incarnation = c.record.id == id && c.record.born == heartbeat.born;
            heartbeat.born < c.record.born || (same_incarnation && heartbeat.sequence <= c.sequence)
        }) {
            return HeartbeatOutcome::Stale;
        }
        let record = InstanceRecord {
            id,
            service: heartbeat.service,
            version: heartbeat.version,
            slots: heartbeat.slots,
            state: heartbeat.state,
            born: heartbeat.born,
        };
        let outcome = match current {
            Some(c) if c.record == record => HeartbeatOutcome::Refreshed,
            _ if record.state == LifeState::Draining => HeartbeatOutcome::Leaving,
            Some(c) if c.record.id == record.id && c.record.born == record.born => {
                // An incarnation that announced its departure does not return.
                if c.record.state == LifeState::Draining {
                    return HeartbeatOutcome::Stale;
                }
                HeartbeatOutcome::Updated
            }
            _ => HeartbeatOutcome::Started,
        };
        self.current = Some(CurrentInstance {
            record,
            address: heartbeat.address,
            sequence: heartbeat.sequence,
            last_heartbeat: now,
            cold_until: Millis(now.0 + heartbeat.cold_remaining.0),
        });
        outcome
    }

    /// Applies a leave announcement. `born` is `None` when the target does not report its start;
    /// `unix_now` is the wall-clock time. Returns whether the current incarnation is the one that
    /// leaves. The leave announcement of an unknown incarnation is recorded as well, since heartbeats
    /// of that incarnation may arrive later.
    pub fn leave(
        &mut self,
        id: &InstanceId,
        born: Option<UnixMillis>,
        unix_now: UnixMillis,
    ) -> bool {
        let current = self.current.as_mut();
        if let Some(current) = current.filter(|c| c.record.id == *id) {
            if born.is_some_and(|born| born < current.record.born) {
                return false;
            }
            current.record.state = LifeState::Draining;
            self.departed = Some((id.clone(), current.record.born));
            return true;
        }
        let born = born.unwrap_or(unix_now);
        if self.current.as_ref().is_none_or(|c| born > c.record.born) {
            self.departed = Some((id.clone(), born));
        }
        false
    }
}
