//! Heartbeats of targets in the format of the external platform.

use std::net::SocketAddr;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::mesh::registry::Heartbeat;
use crate::mesh::registry::LifeState;
use crate::types::InstanceId;
use crate::types::Millis;
use crate::types::ParseError;
use crate::types::UnixMillis;

/// Maximum accepted duration of a cold start, in seconds. Targets do not announce longer cold starts, so
/// a body with a larger value is not a valid heartbeat.
const MAX_COLD_S: f64 = 600.0;

/// Maximum accepted number of slots. No target has nearly as many, so a body with a larger value is not a
/// valid heartbeat.
const MAX_SLOTS: u32 = 65_536;

/// Maximum accepted sequence number, and start of an incarnation in Unix milliseconds: the largest integer
/// that every JSON implementation keeps exactly. With a larger one, no later heartbeat would count as newer.
const MAX_COUNTER: u64 = (1 << 53) - 1;

/// JSON body of `PUT /-/instances/ID`, the heartbeat of a target.
#[derive(Clone, Debug, Deserialize)]
pub struct HeartbeatWire {
    /// IP address and port at which the target serves HTTP.
    address: SmolStr,
    info: InfoWire,
    status: StatusWire,
    /// Start of the incarnation in Unix milliseconds, or 0 if it is not reported; distinguishes
    /// incarnations that share an id.
    #[serde(default)]
    born: u64,
}

#[derive(Clone, Debug, Deserialize)]
struct InfoWire {
    service: SmolStr,
    /// Version of the target's software, not of a row.
    version: SmolStr,
    /// Data centre of the target.
    zone: SmolStr,
    /// Maximum number of requests that the target runs concurrently.
    slots: u32,
}

#[derive(Clone, Debug, Deserialize)]
struct StatusWire {
    state: StateWire,
    /// Number that increases with each heartbeat of an incarnation.
    sequence: u64,
    /// Remaining duration of the cold start, in seconds.
    cold_remaining_s: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateWire {
    Ready,
    Draining,
}

/// Reason why a heartbeat is rejected.
#[derive(Clone, Debug, PartialEq, derive_more::Display, derive_more::Error)]
pub enum HeartbeatError {
    /// The body is not a heartbeat, or its address is not valid.
    #[display("not a heartbeat: {_0}")]
    Malformed(#[error(not(source))] String),
    /// A name is not valid.
    #[display("{_0}")]
    Name(#[error(not(source))] ParseError),
    /// The named field is outside its range.
    #[display("{_0} is out of range")]
    Range(#[error(not(source))] &'static str),
}

impl TryFrom<HeartbeatWire> for Heartbeat {
    type Error = HeartbeatError;

    fn try_from(wire: HeartbeatWire) -> Result<Self, HeartbeatError> {
        let name_error = HeartbeatError::Name;
        let cold_s = wire.status.cold_remaining_s;
        if !(1..=MAX_SLOTS).contains(&wire.info.slots) {
            return Err(HeartbeatError::Range("slots"));
        }
        if wire.status.sequence > MAX_COUNTER {
            return Err(HeartbeatError::Range("sequence"));
        }
        if wire.born > MAX_COUNTER {
            return Err(HeartbeatError::Range("born"));
        }
        if !(0.0..=MAX_COLD_S).contains(&cold_s) {
            return Err(HeartbeatError::Range("cold_remaining_s"));
        }
        let address = wire.address.parse::<SocketAddr>().ok().filter(|a| a.port() != 0);
        Ok(Self {
            address: address
                .ok_or_else(|| HeartbeatError::Malformed(format!("address {:?}", wire.address)))?,
            service: wire.info.service.try_into().map_err(name_error)?,
            version: wire.info.version.try_into().map_err(name_error)?,
            data_centre: wire.info.zone.try_into().map_err(name_error)?,
            slots: wire.info.slots,
            state: match wire.status.state {
                StateWire::Ready => LifeState::Ready,
                StateWire::Draining => LifeState::Draining,
            },
            born: UnixMillis(wire.born),
            sequence: wire.status.sequence,
            cold_remaining: Millis((cold_s * 1000.0) as u64),
        })
    }
}

/// Decodes the body of a heartbeat; fails if it is malformed, a name is not valid, or a value is out of
/// range.
pub fn decode(body: &[u8]) -> Result<Heartbeat, HeartbeatError> {
    let wire: HeartbeatWire =
        serde_json::from_slice(body).map_err(|e| HeartbeatError::Malformed(e.to_string()))?;
    wire.try_into()
}

/// Returns the start of the incarnation that leaves, from the body of `DELETE /-/instances/ID`;
/// `None` if the body does not contain it or it is out of range.
pub fn decode_leave(body: &[u8]) -> Option<UnixMillis> {
    #[derive(Deserialize)]
    struct LeaveWire {
        born: u64,
    }
    let wire = serde_json::from_slice::<LeaveWire>(body).ok()?;
    (wire.born <= MAX_COUNTER).then_some(UnixMillis(wire.born))
}

/// Returns the target's id from a path under [`super::headers::INSTANCES_PATH`].
pub fn instance_of_path(path: &str) -> Option<InstanceId> {
    path.strip_prefix(super::headers::INSTANCES_PATH)?.parse().ok()
}
