//! Messages between nodes, encoded with `bincode`.
//!
//! Every message is length-limited before it is decoded; a decoder returns an error for any input
//! that is not exactly one message. Domain types are converted with `From` and `TryFrom` in the
//! modules that own them.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::telemetry::OutcomeCounts;
use crate::types::Head;

/// Largest control datagram in bytes: fits one Ethernet frame with IPv6 and UDP headers.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Largest control request or reply in bytes: a whole catalogue or member state fits.
pub const MAX_CONTROL_BYTES: usize = 16 * 1024 * 1024;

/// Largest head of a call or answer in bytes.
pub const MAX_CALL_HEAD_BYTES: usize = 64 * 1024;

/// Why a message could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum WireError {
    /// The message is longer than its limit.
    #[display("message of {_0} bytes exceeds the limit of {_1}")]
    TooLong(usize, usize),
    /// The bytes are not one message of the expected type.
    #[display("malformed message: {_0}")]
    Malformed(String),
}

impl std::error::Error for WireError {}

fn codec() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_CONTROL_BYTES>()
}

/// Encodes a message; fails when it is longer than `limit` bytes.
pub fn encode<T: Serialize>(message: &T, limit: usize) -> Result<Vec<u8>, WireError> {
    let buf = bincode::serde::encode_to_vec(message, codec())
        .map_err(|e| WireError::Malformed(e.to_string()))?;
    if buf.len() > limit {
        return Err(WireError::TooLong(buf.len(), limit));
    }
    Ok(buf)
}

/// Decodes exactly one message of at most `limit` bytes.
pub fn decode<T: DeserializeOwned>(buf: &[u8], limit: usize) -> Result<T, WireError> {
    if buf.len() > limit {
        return Err(WireError::TooLong(buf.len(), limit));
    }
    let (message, used) = bincode::serde::decode_from_slice(buf, codec())
        .map_err(|e| WireError::Malformed(e.to_string()))?;
    if used != buf.len() {
        return Err(WireError::Malformed(format!("{} bytes after the message", buf.len() - used)));
    }
    Ok(message)
}

/// A control datagram (UDP).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Membership: probes, answers and piggybacked updates.
    Member(MemberDatagram),
    /// A higher head than the receiver may know.
    HeadNotice(HeadNotice),
    /// The receiver has recorded the head; answers [`Datagram::HeadNotice`].
    HeadAck(HeadNotice),
    /// Changed move states.
    MoveNotice(Vec<MoveStateWire>),
}

/// A membership datagram. `head` and `moves_hash` let any probe reveal a missed update.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberDatagram {
    /// The sender's node id.
    pub from: SmolStr,
    /// The sender's address for datagrams, as it is to be answered.
    pub from_addr: SocketAddr,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Highest head the sender knows.
    pub head: Head,
    /// Hash over the sender's move states.
    pub moves_hash: u64,
    /// The probe or answer.
    pub kind: ProbeKind,
    /// Piggybacked member updates.
    pub updates: Vec<MemberRecordWire>,
}

/// Kind of a membership datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeKind {
    /// Direct probe.
    Ping {
        /// Matches the answer to the probe.
        sequence: u64,
    },
    /// Request to probe another node on the sender's behalf.
    PingReq {
        /// Matches the answer to the probe.
        sequence: u64,
        /// The node to probe.
        node: SmolStr,
        /// Its address.
        addr: SocketAddr,
    },
    /// Answer to a probe, direct or on behalf of `node`.
    Ack {
        /// The sequence of the probe.
        sequence: u64,
        /// The node that is alive.
        node: SmolStr,
    },
    /// Updates alone, sent on leaving.
    Update,
}

/// Reachability of a node as the sender sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StatusWire {
    /// Answers probes.
    Alive,
    /// Missed a probe; dead unless it refutes.
    Suspect,
    /// Did not refute in time.
    Dead,
    /// Left on purpose.
    Left,
}

/// Record of a node, as it travels.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecordWire {
    /// Node id.
    pub node: SmolStr,
    /// Start of the process in Unix milliseconds, raised to refute.
    pub incarnation: u64,
    /// Rises with each change of the record by its owner.
    pub revision: u64,
    /// Reachability.
    pub status: StatusWire,
    /// Data centre.
    pub data_centre: SmolStr,
    /// Region.
    pub region: SmolStr,
    /// Address for control datagrams (UDP).
    pub control_addr: SocketAddr,
    /// Address for calls and control requests (TCP, `h2`).
    pub peer_addr: SocketAddr,
    /// Address for callers (TCP, HTTP).
    pub caller_addr: SocketAddr,
    /// Address for operators (TCP, HTTP).
    pub admin_addr: SocketAddr,
    /// Targets beside the node.
    pub targets: Vec<TargetRecordWire>,
}

/// Record of a target, as it travels.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetRecordWire {
    /// Service.
    pub service: SmolStr,
    /// Version.
    pub version: SmolStr,
    /// Run of the target.
    pub instance: SmolStr,
    /// Slots.
    pub slots: u32,
    /// Life-cycle state.
    pub state: TargetStateWire,
}

/// Life-cycle state of a target, as it travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetStateWire {
    /// Announced, not healthy yet.
    Starting,
    /// Healthy for a short time; gets a reduced share.
    Warming,
    /// Gets calls.
    Ready,
    /// Leaving; gets no new calls.
    Draining,
}

/// Head and the sender's address, so that the receiver can fetch the body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeadNotice {
    /// The head.
    pub head: Head,
    /// The sender's node id.
    pub from: SmolStr,
    /// Where the sender serves the body (TCP, `h2`).
    pub peer_addr: SocketAddr,
    /// Where the sender receives the acknowledgement (UDP).
    pub control_addr: SocketAddr,
}

/// State of a move, as it travels; merges by maximum of each field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStateWire {
    /// Move id.
    pub id: SmolStr,
    /// Index of the permitted stage.
    pub stage: u8,
    /// Whether all stages are done and the outcome is recorded as finished.
    pub finished: bool,
    /// Whether the new version is withdrawn.
    pub withdrawn: bool,
    /// Why it was withdrawn; of two reasons the greater text is kept.
    pub reason: SmolStr,
}

/// A control request (`POST /control` on a peer stream).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// A newcomer's record; answered by [`ControlReply::Members`].
    Join(MemberRecordWire),
    /// Asks for the catalogue `want`, as a delta from `have` if the peer can make one; answered by
    /// [`ControlReply::Catalogue`] or [`ControlReply::Unknown`].
    FetchCatalogue {
        /// What the asking node holds.
        have: Head,
        /// What it needs.
        want: Head,
    },
    /// Asks for the highest head the peer knows; answered by [`ControlReply::Head`].
    FetchHead,
    /// Asks for all move states; answered by [`ControlReply::Moves`].
    FetchMoves,
    /// Cumulative evidence of a node; answered by [`ControlReply::Done`].
    Evidence(EvidenceWire),
    /// Claims a key; answered by [`ControlReply::Claim`].
    Claim(ClaimWire),
    /// Records the result of a claimed request; answered by [`ControlReply::Done`].
    RecordResult {
        /// The claim.
        claim: ClaimWire,
        /// The answer to give to repeats.
        result: RecordedAnswer,
    },
    /// Releases a claim whose request provably did not run; answered by [`ControlReply::Done`].
    ReleaseClaim(ClaimWire),
}

/// A control reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Nothing more to say.
    Done,
    /// The peer does not have what was asked for.
    Unknown,
    /// The peer has no capacity for the request now.
    Busy,
    /// Full member state.
    Members(Vec<MemberRecordWire>),
    /// The highest head known.
    Head(Head),
    /// A catalogue body.
    Catalogue(CatalogueBody),
    /// All move states.
    Moves(Vec<MoveStateWire>),
    /// Outcome of a claim.
    Claim(ClaimReply),
}

/// A catalogue body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CatalogueBody {
    /// The canonical bytes.
    Whole(Vec<u8>),
    /// JSON delta from the catalogue the asking node holds.
    Delta(Vec<u8>),
}

/// Cumulative counters of one node for one move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceWire {
    /// Move id.
    pub id: SmolStr,
    /// Counting node.
    pub node: SmolStr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Counters by entry and version.
    pub counts: Vec<(SmolStr, SmolStr, OutcomeCounts)>,
    /// Runs of consecutive failures of the new version that the node saw, cumulative.
    pub failure_runs: u64,
}

/// A claim of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimWire {
    /// Table key: `claim/<entry>/<sha-256 of the idempotency key>`.
    pub row: SmolStr,
    /// Unique token of the attempt.
    pub token: SmolStr,
    /// Fingerprint of the request; a repeat must match it.
    pub fingerprint: SmolStr,
    /// Remaining time of the caller in milliseconds.
    pub deadline_ms: u64,
}

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim is this attempt's: the request may be dispatched.
    Granted,
    /// The key has a recorded result.
    Recorded(RecordedAnswer),
    /// The key is claimed by another attempt without a result: it may have run.
    Claimed,
    /// The key is claimed by a request with another fingerprint.
    Mismatch,
    /// Nothing is claimed for this attempt, and nothing was run.
    Unavailable(SmolStr),
}

/// An answer that is kept for repeats of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers, values as text.
    pub headers: Vec<(SmolStr, SmolStr)>,
    /// Body of at most 64 KB.
    pub body: Vec<u8>,
}

/// Head of a call (`POST /call` on a peer stream); the raw body follows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallHead {
    /// Identity of the call.
    pub request_id: SmolStr,
    /// Entry name.
    pub entry: SmolStr,
    /// Configuration version that the choosing node used.
    pub config_version: u64,
    /// The chosen run of a target.
    pub instance: SmolStr,
    /// Remaining time in milliseconds.
    pub deadline_ms: u64,
    /// Depth of the call, 0 for a call from outside.
    pub depth: u8,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: String,
    /// End-to-end headers; values are bytes.
    pub headers: Vec<(SmolStr, Vec<u8>)>,
    /// Length of the body when it is known.
    pub body_bytes: Option<u64>,
    /// Whether the call must not take an idle connection to the target, which may be silent.
    pub new_connection: bool,
}

/// Head of an answer on a peer stream; the raw body follows an [`ReplyHead::Answer`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplyHead {
    /// The target answered.
    Answer {
        /// Identity of the call.
        request_id: SmolStr,
        /// HTTP status.
        status: u16,
        /// End-to-end headers; values are bytes.
        headers: Vec<(SmolStr, Vec<u8>)>,
        /// Length of the body when it is known.
        body_bytes: Option<u64>,
        /// Load of the target.
        load: LoadWire,
    },
    /// The call was refused before its first byte reached the target: it did not run.
    Refused {
        /// Identity of the call.
        request_id: SmolStr,
        /// Why.
        reason: RefusalWire,
        /// Load of the target.
        load: LoadWire,
    },
    /// The call failed after it was sent: it may have run.
    Failed {
        /// Identity of the call.
        request_id: SmolStr,
        /// Why, for people.
        reason: SmolStr,
        /// Load of the target.
        load: LoadWire,
    },
}

/// Why a call was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum RefusalWire {
    /// No such target beside the node any more.
    #[display("target gone")]
    TargetGone,
    /// The target is leaving.
    #[display("target draining")]
    Draining,
    /// Slots and queue are full.
    #[display("overloaded")]
    Overloaded,
    /// The remaining time is too short.
    #[display("deadline too short")]
    DeadlineTooShort,
    /// The entry's rate or concurrency limit is reached.
    #[display("limit reached")]
    LimitReached,
    /// The target could not be connected to.
    #[display("target unreachable")]
    Unreachable,
    /// The node does not know the entry.
    #[display("entry unknown")]
    EntryUnknown,
}

/// Load of a target as the node beside it counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadWire {
    /// Calls in flight.
    pub in_flight: u32,
    /// Calls queued.
    pub queued: u32,
    /// Slots.
    pub slots: u32,
}
