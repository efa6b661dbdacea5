//! Messages between nodes, encoded with `bincode`.
//!
//! Fields and variants are encoded by position and must keep their order. The length of a message
//! is checked before it is decoded; decoding fails for any input that is not exactly one message.
//! The conversions to and from the domain types (`From`, `TryFrom`) are in the modules that define
//! those types.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::telemetry::OutcomeCounts;
use crate::types::Head;

/// Largest control datagram, in bytes; fits into one Ethernet frame with IPv6 and UDP headers.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Largest control request or reply, in bytes; fits a whole catalogue or all member records.
pub const MAX_CONTROL_BYTES: usize = 16 * 1024 * 1024;

/// Largest head of a call or reply, in bytes.
pub const MAX_CALL_HEAD_BYTES: usize = 64 * 1024;

/// Error when encoding or decoding a message.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum WireError {
    /// The message is longer than the limit: its length and the limit, in bytes.
    #[display("message of {_0} bytes exceeds the limit of {_1}")]
    TooLong(usize, usize),
    /// The bytes are not exactly one message of the expected type.
    #[display("malformed message: {_0}")]
    Malformed(String),
}

impl std::error::Error for WireError {}

fn codec_config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_CONTROL_BYTES>()
}

/// Encodes a message; fails when it is longer than `max_bytes` bytes.
pub fn encode<T: Serialize>(message: &T, max_bytes: usize) -> Result<Vec<u8>, WireError> {
    let buf = bincode::serde::encode_to_vec(message, codec_config())
        .map_err(|e| WireError::Malformed(e.to_string()))?;
    if buf.len() > max_bytes {
        return Err(WireError::TooLong(buf.len(), max_bytes));
    }
    Ok(buf)
}

/// Decodes exactly one message of at most `max_bytes` bytes.
pub fn decode<T: DeserializeOwned>(buf: &[u8], max_bytes: usize) -> Result<T, WireError> {
    if buf.len() > max_bytes {
        return Err(WireError::TooLong(buf.len(), max_bytes));
    }
    let (message, consumed) = bincode::serde::decode_from_slice(buf, codec_config())
        .map_err(|e| WireError::Malformed(e.to_string()))?;
    if consumed != buf.len() {
        return Err(WireError::Malformed(format!(
            "{} bytes after the message",
            buf.len() - consumed
        )));
    }
    Ok(message)
}

/// Control datagram (UDP).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Membership: probes, acknowledgements and piggybacked updates.
    Member(MemberDatagram),
    /// Announces a head whose version may be higher than that of the receiver's head.
    HeadNotice(HeadNotice),
    /// Acknowledges a [`Datagram::HeadNotice`]: the node that sends the acknowledgement has
    /// recorded the head.
    HeadAck(HeadNotice),
    /// Changed move states.
    MoveNotice(Vec<MoveStateWire>),
}

/// Membership datagram. `head` and `moves_hash` let the receiver of any probe detect a missed
/// update.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberDatagram {
    /// Node id of the sender.
    pub from: SmolStr,
    /// Address at which the sender receives the reply (UDP).
    pub from_addr: SocketAddr,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Head with the highest version known to the sender.
    pub head: Head,
    /// Hash of the move states of the sender.
    pub moves_hash: u64,
    pub kind: ProbeKind,
    /// Piggybacked member updates.
    pub updates: Vec<MemberRecordWire>,
}

/// Kind of a membership datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeKind {
    /// Probe; a live receiver responds with [`ProbeKind::Ack`].
    Ping {
        /// Sequence number, which the acknowledgement repeats.
        sequence: u64,
    },
    /// Request to probe another node on behalf of the sender.
    PingReq {
        /// Sequence number, which the acknowledgement repeats.
        sequence: u64,
        /// Node to probe.
        node: SmolStr,
        /// Address of the node to probe (UDP).
        addr: SocketAddr,
    },
    /// Acknowledgement of a probe, sent by the probed node or on its behalf.
    Ack {
        /// Sequence number of the probe.
        sequence: u64,
        /// The probed node, which is alive.
        node: SmolStr,
    },
    /// Updates without a probe, sent by a node that leaves.
    Update,
}

/// Reachability of a node as seen by the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StatusWire {
    /// Responds to probes.
    Alive,
    /// Missed a probe; becomes dead unless it refutes the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Announced that it leaves the mesh.
    Left,
}

/// Wire form of the record of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecordWire {
    pub node: SmolStr,
    /// Start of the process in milliseconds since the Unix epoch; raised to refute a suspicion.
    pub incarnation: u64,
    /// Increases with each change of the record by the node itself.
    pub revision: u64,
    pub status: StatusWire,
    pub data_centre: SmolStr,
    pub region: SmolStr,
    /// Address for control datagrams (UDP).
    pub control_addr: SocketAddr,
    /// Address for calls and control requests (TCP, HTTP/2).
    pub peer_addr: SocketAddr,
    /// Address for callers (TCP, HTTP).
    pub caller_addr: SocketAddr,
    /// Address for operators (TCP, HTTP).
    pub admin_addr: SocketAddr,
    /// Targets on the host of the node.
    pub targets: Vec<TargetRecordWire>,
}

/// Wire form of the record of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetRecordWire {
    pub service: SmolStr,
    pub version: SmolStr,
    /// Incarnation of the target process.
    pub instance: SmolStr,
    /// Number of calls that the target processes concurrently.
    pub slots: u32,
    pub state: TargetStateWire,
}

/// Wire form of the life-cycle state of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetStateWire {
    /// Announced, but not yet healthy.
    Starting,
    /// Healthy for a short time only; receives a reduced share of calls.
    Warming,
    /// Receives its full share of calls.
    Ready,
    /// Leaving; receives no new calls.
    Draining,
}

/// A head, with the address of the sender from which the receiver can fetch the catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeadNotice {
    pub head: Head,
    /// Node id of the sender.
    pub from: SmolStr,
    /// Address at which the sender serves the catalogue (TCP, HTTP/2).
    pub peer_addr: SocketAddr,
    /// Address at which the sender receives the acknowledgement (UDP).
    pub control_addr: SocketAddr,
}

/// Wire form of the state of a move; two states merge by the maximum of each field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStateWire {
    pub id: SmolStr,
    /// Index of the highest permitted stage.
    pub stage: u8,
    /// Whether all stages are complete and the outcome row records the move as finished.
    pub finished: bool,
    /// Whether the new version is withdrawn.
    pub withdrawn: bool,
    /// Reason for the withdrawal; the lexicographically greater one wins in a merge.
    pub reason: SmolStr,
}

/// Control request (`POST /control` on a peer stream).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Announces the record of a joining node; answered by [`ControlReply::Members`].
    Join(MemberRecordWire),
    /// Requests the catalogue `want`, as a delta from `have` if the peer can compute one; answered
    /// by [`ControlReply::Catalogue`] or [`ControlReply::Unknown`].
    FetchCatalogue {
        /// Catalogue that the requesting node has.
        have: Head,
        /// Catalogue that the requesting node needs.
        want: Head,
    },
    /// Requests the head with the highest version known to the peer; answered by
    /// [`ControlReply::Head`].
    FetchHead,
    /// Requests all move states; answered by [`ControlReply::Moves`].
    FetchMoves,
    /// Reports the cumulative evidence of a node; answered by [`ControlReply::Done`].
    Evidence(EvidenceWire),
    /// Claims an idempotency key; answered by [`ControlReply::Claim`].
    Claim(ClaimWire),
    /// Records the response to a claimed request; answered by [`ControlReply::Done`].
    RecordResult {
        claim: ClaimWire,
        /// Response to return to retries of the request.
        result: RecordedResponse,
    },
    /// Releases a claim whose request is proven not to have run; answered by
    /// [`ControlReply::Done`].
    ReleaseClaim(ClaimWire),
}

/// Reply to a [`ControlRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Success without a result.
    Done,
    /// The peer does not have the requested item.
    Unknown,
    /// The peer has no capacity for the request at present.
    Busy,
    /// All member records.
    Members(Vec<MemberRecordWire>),
    /// Head with the highest version known to the peer.
    Head(Head),
    Catalogue(CatalogueBody),
    Moves(Vec<MoveStateWire>),
    Claim(ClaimReply),
}

/// Transferred catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CatalogueBody {
    /// Canonical bytes of the catalogue.
    Whole(Vec<u8>),
    /// JSON delta from the catalogue that the requesting node has.
    Delta(Vec<u8>),
}

/// Cumulative counters of one node for one move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceWire {
    pub id: SmolStr,
    /// Id of the node that collected the counters.
    pub node: SmolStr,
    /// Incarnation of the node that collected the counters.
    pub incarnation: u64,
    /// Counters by entry and version, in this order.
    pub counts: Vec<(SmolStr, SmolStr, OutcomeCounts)>,
    /// Number of times that the node has detected consecutive failures of the new version.
    pub failure_runs: u64,
}

/// Claim of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimWire {
    /// Table key of the claim: `claim/<entry>/<SHA-256 of the idempotency key>`.
    pub row: SmolStr,
    /// Unique token of the attempt.
    pub token: SmolStr,
    /// Fingerprint of the request; retries must have the same one.
    pub fingerprint: SmolStr,
    /// Remaining time until the deadline of the caller, in milliseconds.
    pub deadline_ms: u64,
}

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// This attempt owns the claim: the request may be dispatched.
    Granted,
    /// The key has a recorded result, which is to be returned.
    Recorded(RecordedResponse),
    /// Another attempt has claimed the key and has not recorded a result; that attempt may have
    /// run.
    Claimed,
    /// A request with another fingerprint has claimed the key.
    Mismatch,
    /// The key could not be claimed, so the request has not run; holds the reason.
    Unavailable(SmolStr),
}

/// Response that is stored for retries of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedResponse {
    pub status: u16,
    /// Headers with their values as text.
    pub headers: Vec<(SmolStr, SmolStr)>,
    /// Body of at most 64 KB.
    pub body: Vec<u8>,
}

/// Head of a call (`POST /call` on a peer stream), followed by the raw body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallHead {
    pub request_id: SmolStr,
    pub entry: SmolStr,
    /// Configuration version used by the node that selected the target.
    pub config_version: u64,
    /// Selected target, by its incarnation.
    pub instance: SmolStr,
    /// Remaining time until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Depth in the call chain; 0 for a call from outside the mesh.
    pub depth: u8,
    pub method: SmolStr,
    /// Path and query.
    pub path: String,
    /// End-to-end headers; values are raw bytes.
    pub headers: Vec<(SmolStr, Vec<u8>)>,
    /// Length of the body; `None` when it is unknown.
    pub body_bytes: Option<u64>,
    /// Whether the call must open a new connection to the target, because an idle one may have
    /// failed unnoticed.
    pub new_connection: bool,
}

/// Head of a reply on a peer stream; the raw body follows a [`ReplyHead::Answer`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplyHead {
    /// The target sent a response.
    Answer {
        request_id: SmolStr,
        status: u16,
        /// End-to-end headers; values are raw bytes.
        headers: Vec<(SmolStr, Vec<u8>)>,
        /// Length of the body; `None` when it is unknown.
        body_bytes: Option<u64>,
        load: LoadWire,
    },
    /// The call was refused before its first byte was sent to the target: it did not run.
    Refused { request_id: SmolStr, reason: RefusalWire, load: LoadWire },
    /// The call failed after it was sent to the target: it may have run.
    Failed {
        request_id: SmolStr,
        /// Human-readable reason.
        reason: SmolStr,
        load: LoadWire,
    },
}

/// Reason why a call was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum RefusalWire {
    /// The target is no longer on the host of the node.
    #[display("target gone")]
    TargetGone,
    /// The target is leaving.
    #[display("target draining")]
    Draining,
    /// All slots of the target are taken and its queue is full.
    #[display("overloaded")]
    Overloaded,
    /// The time until the deadline is too short for the call to wait for a slot and run.
    #[display("deadline too short")]
    DeadlineTooShort,
    /// The rate or concurrency limit of the entry is reached.
    #[display("limit reached")]
    LimitReached,
    /// No connection to the target could be opened.
    #[display("target unreachable")]
    Unreachable,
    /// The configuration of the node has no entry of this name, or the entry belongs to another
    /// service than the target.
    #[display("entry unknown")]
    EntryUnknown,
}

/// Load of a target as counted by the node on its host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadWire {
    /// Calls that the target is processing.
    pub in_flight: u32,
    /// Calls that wait in the node for a slot of the target.
    pub queued: u32,
    pub slots: u32,
}
