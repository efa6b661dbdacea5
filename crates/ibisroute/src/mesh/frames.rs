//! Messages between nodes and their framing: a length prefix, then the message in `bincode`.
//!
//! A connection carries many concurrent calls. Control frames and small calls have priority over
//! chunks of long bodies, so that an upload over a slow link does not delay a lookup with a
//! deadline of 100 ms.

use std::net::SocketAddr;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::evidence::Evidence;
use super::registry::InstanceRecord;
use super::replicated_rows::ReplicatedRow;
use super::replicated_rows::RowVersion;
use super::replicated_rows::RowsSummary;
use super::replicated_rows::VersionedKey;
use super::slot_queue::Load;
use super::slot_queue::RefusalReason;
use crate::types::DataCentre;
use crate::types::InstanceId;
use crate::types::NodeId;
use crate::wire;
use crate::wire::WireError;

/// Maximum size of a frame in bytes, without its prefix. The longest frames carry whole
/// configurations; longer bodies are sent in chunks.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Maximum size in bytes of a body that is sent in the same frame as its call or outcome, and of a
/// chunk of a longer body.
pub const CHUNK_BYTES: usize = 16 * 1024;

/// Size in bytes of the length prefix of a frame.
const PREFIX_BYTES: usize = 4;

/// Identity of a node, exchanged when a connection begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeDescriptor {
    pub node: NodeId,
    /// Address at which the node accepts connections of other nodes.
    pub address: SocketAddr,
    pub data_centre: DataCentre,
}

/// Status that a node sends to its peers at intervals and after each change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The target next to the node; `None` before its first heartbeat.
    pub instance: Option<InstanceRecord>,
    /// Whether the target accepts requests, according to its heartbeats and its health.
    pub available: bool,
    /// Whether the target is in its cold start.
    pub cold: bool,
    /// Load of the target when the status was sent.
    pub load: Load,
    /// Whether the node is stopping.
    pub leaving: bool,
    /// Whether the node can reach the store.
    pub store_reached: bool,
    /// Versions of the node's replicated rows.
    pub rows: RowsSummary,
    /// Responses of the target since the rollout request of its service's active move, with the row
    /// version of that request; `None` when the service has no active move.
    pub evidence: Option<(RowVersion, Evidence)>,
    /// Row versions of the rollout requests whose new version has a detected fault.
    pub withdrawn: Vec<RowVersion>,
    /// Row version and age, in milliseconds, of each rollout request without a final verdict.
    pub order_ages: Vec<(RowVersion, u64)>,
}

impl Status {
    /// Returns whether this status differs from an earlier one by the load only, so that a
    /// [`Frame::LoadReport`] tells the same. During a move, ages and evidence change all the time.
    pub fn differs_by_load_only(&self, earlier: &Self) -> bool {
        self.order_ages.is_empty() && Self { load: earlier.load, ..self.clone() } == *earlier
    }
}

/// Head of a call from the node of its caller to the node next to its target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardHead {
    /// Identifier that the caller gave to its attempt.
    pub request_id: SmolStr,
    pub route: SmolStr,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time left until the latency objective, in milliseconds.
    pub aim_ms: u32,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Identifier of the incarnation of the target that must process the request.
    pub instance: InstanceId,
    /// Name of the service on the host from which the request came.
    pub caller: SmolStr,
    pub method: SmolStr,
    /// HTTP request target: path and query.
    pub target: SmolStr,
    /// End-to-end headers.
    pub headers: Vec<(SmolStr, Bytes)>,
}

/// Reason why a call that was sent to its target has no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
pub enum Failure {
    /// The connection to the target broke.
    #[display("connection to the target broke")]
    Broken,
    /// The response does not belong to this request, or is incomplete.
    #[display("bad answer of the target")]
    BadAnswer,
    /// No response before the deadline.
    #[display("deadline")]
    Deadline,
    /// The connection to the node next to the target broke.
    #[display("connection to the node next to the target broke")]
    LinkLost,
}

/// Outcome of a call at the node next to the target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target responded.
    Answer {
        status: u16,
        /// End-to-end headers.
        headers: Vec<(SmolStr, Bytes)>,
        /// Body of the response. On the wire, a long body is left out and follows in chunks.
        body: Bytes,
        /// Length of the whole body.
        body_bytes: u64,
    },
    /// The request did not run and will not.
    Refused {
        reason: RefusalReason,
        /// Milliseconds after which a retry is worthwhile.
        retry_after_ms: u32,
    },
    /// The request was sent and may have run.
    Failed(Failure),
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of the connecting node, with the number of nodes that it knows.
    Hello(NodeDescriptor, u32),
    /// First frame of the accepting node, with the nodes that it knows; empty if the connecting node
    /// knows as many.
    Welcome(NodeDescriptor, Vec<NodeDescriptor>),
    /// Current status of the sending node.
    Status(Box<Status>),
    /// Load of the target of the sending node, instead of a [`Frame::Status`] that differs from the previous
    /// one by nothing else.
    LoadReport(Load),
    /// Acknowledges a [`Frame::Status`] or [`Frame::LoadReport`] from the receiver of this frame.
    StatusSeen,
    /// Replicated rows that the receiver lacks or has in an older version.
    Facts(Vec<ReplicatedRow>),
    /// Requests the replicated rows that the sender lacks or has in an older version.
    WantFacts {
        /// Versions of the sender's rows.
        held: Vec<VersionedKey>,
        /// Maximum size of the response in bytes. A node that can reach the store reads long rows
        /// there.
        most_bytes: u32,
    },
    /// Response to [`Frame::WantFacts`]: requested rows that do not fit into its `most_bytes`.
    FactsTooLong(Vec<VersionedKey>),
    /// A call with a short body, or the first frame of a call with a long one.
    Call {
        /// Identifier of the call on the connection.
        id: u64,
        head: Box<ForwardHead>,
        /// The whole body if it is short; empty for a long one, which follows in chunks after a grant.
        body: Bytes,
        /// Length of the whole body.
        body_bytes: u64,
    },
    /// Permits the peer to send the long body of a call.
    Grant {
        /// Identifier of the call.
        id: u64,
    },
    /// A chunk of a long body, of a call or of a response.
    Piece {
        /// Identifier of the call.
        id: u64,
        bytes: Bytes,
    },
    /// The node that sent the call no longer needs its outcome, for example because the caller has
    /// disconnected.
    Cancel {
        /// Identifier of the call.
        id: u64,
    },
    /// Outcome of a call, with the load of the target.
    Reply {
        /// Identifier of the call.
        id: u64,
        outcome: Box<Outcome>,
        load: Load,
    },
}

/// Encodes a frame with its length prefix.
pub fn encode(frame: &Frame) -> Result<Bytes, WireError> {
    let message = wire::encode(frame, MAX_FRAME_BYTES)?;
    let mut buf = BytesMut::with_capacity(PREFIX_BYTES + message.len());
    buf.extend_from_slice(&(message.len() as u32).to_le_bytes());
    buf.extend_from_slice(&message);
    Ok(buf.freeze())
}

/// Removes a complete frame from the front of `buf`; returns `None` when more bytes are needed.
pub fn decode(buf: &mut BytesMut) -> Result<Option<Frame>, WireError> {
    let Some(prefix) = buf.first_chunk::<PREFIX_BYTES>() else { return Ok(None) };
    let len = u32::from_le_bytes(*prefix) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(WireError::TooLong(len, MAX_FRAME_BYTES));
    }
    if buf.len() < PREFIX_BYTES + len {
        return Ok(None);
    }
    buf.advance(PREFIX_BYTES);
    wire::decode(&buf.split_to(len), MAX_FRAME_BYTES).map(Some)
}
