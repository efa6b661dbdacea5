//! What targets say of themselves, and which of their statements holds.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::types::DataCentre;
use crate::types::InstanceId;
use crate::types::Millis;
use crate::types::ServiceName;
use crate::types::UnixMillis;
use crate::types::VersionName;

/// Stage of a target's life as it tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LifeState {
    /// Takes requests.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
}

/// A decoded heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Where the target serves HTTP.
    pub address: SocketAddr,
    /// Its service.
    pub service: ServiceName,
    /// Version of its software.
    pub version: VersionName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Stage of its life.
    pub state: LifeState,
    /// Start of the run; zero when it is not told.
    pub born: UnixMillis,
    /// Rises with each heartbeat of a run.
    pub sequence: u64,
    /// Time for which the target stays slow after its start.
    pub cold: Millis,
}

/// The target beside a node, as the node tells it to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Id of the run; may be used again by a later run.
    pub id: InstanceId,
    /// Its service.
    pub service: ServiceName,
    /// Version of its software.
    pub version: VersionName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: LifeState,
    /// Start of the run.
    pub born: UnixMillis,
}

/// What a heartbeat changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Nothing: the heartbeat is older than what is known.
    Stale,
    /// Only times and counts.
    Refreshed,
    /// A new run of the target.
    Started,
    /// State, version or slots of the known run.
    Updated,
    /// The target leaves.
    Leaving,
}

/// The run of the target beside this node.
#[derive(Debug, Default)]
pub struct LocalInstance {
    current: Option<Known>,
    /// Start of the newest run that is gone; older statements are ignored.
    gone: Option<(InstanceId, UnixMillis)>,
}

#[derive(Debug)]
struct Known {
    record: InstanceRecord,
    address: SocketAddr,
    sequence: u64,
    heard: Millis,
    cold_until: Millis,
}

impl LocalInstance {
    /// The record to tell others; absent before the first heartbeat and after the target has gone.
    pub fn record(&self) -> Option<&InstanceRecord> {
        self.current.as_ref().map(|k| &k.record)
    }

    /// Where the target serves.
    pub fn address(&self) -> Option<SocketAddr> {
        self.current.as_ref().map(|k| k.address)
    }

    /// Whether the target is still slow from its start.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.current.as_ref().is_some_and(|k| now < k.cold_until)
    }

    /// Time since the last heartbeat of the known run.
    pub fn silent_for(&self, now: Millis) -> Option<Millis> {
        self.current.as_ref().map(|k| now.since(k.heard))
    }

    /// Applies a heartbeat. Runs are ordered by their start, heartbeats of a run by their sequence. A
    /// heartbeat that a partition delayed may arrive after the next run has announced itself.
    pub fn hear(&mut self, now: Millis, id: InstanceId, beat: Heartbeat) -> Change {
        let left = self.gone.as_ref();
        if left.is_some_and(|(gone, born)| beat.born < *born || (*gone == id && beat.born == *born))
        {
            return Change::Stale;
        }
        let known = self.current.as_ref();
        if known.is_some_and(|k| {
            let same_run = k.record.id == id && k.record.born == beat.born;
            beat.born < k.record.born || (same_run && beat.sequence <= k.sequence)
        }) {
            return Change::Stale;
        }
        let record = InstanceRecord {
            id,
            service: beat.service,
            version: beat.version,
            slots: beat.slots,
            state: beat.state,
            born: beat.born,
        };
        let change = match known {
            Some(k) if k.record == record => Change::Refreshed,
            _ if record.state == LifeState::Draining => Change::Leaving,
            Some(k) if k.record.id == record.id && k.record.born == record.born => {
                // A run that said that it leaves does not come back.
                if k.record.state == LifeState::Draining {
                    return Change::Stale;
                }
                Change::Updated
            }
            _ => Change::Started,
        };
        self.current = Some(Known {
            record,
            address: beat.address,
            sequence: beat.sequence,
            heard: now,
            cold_until: Millis(now.0 + beat.cold.0),
        });
        change
    }

    /// Applies a leave. `born` is absent when the target does not tell its start; `wall` is the time of
    /// day. Returns whether the known run is the one that leaves. The leave of a run that is not known
    /// binds as well: its heartbeats may come later.
    pub fn leave(&mut self, id: &InstanceId, born: Option<UnixMillis>, wall: UnixMillis) -> bool {
        let known = self.current.as_mut();
        if let Some(known) = known.filter(|k| k.record.id == *id) {
            if born.is_some_and(|born| born < known.record.born) {
                return false;
            }
            known.record.state = LifeState::Draining;
            self.gone = Some((id.clone(), known.record.born));
            return true;
        }
        let born = born.unwrap_or(wall);
        if self.current.as_ref().is_none_or(|k| born > k.record.born) {
            self.gone = Some((id.clone(), born));
        }
        false
    }
}
