//! Messages between nodes and their framing: a length, then the message in `bincode`.
//!
//! One connection carries many calls at a time. Frames of control and small calls go before pieces of
//! long bodies, so that an upload over a slow link does not hold up a lookup that has 100 ms.

use std::net::SocketAddr;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::facts::FactRow;
use super::facts::RowVersion;
use super::registry::InstanceRecord;
use super::rollout::Evidence;
use super::slot_queue::Load;
use super::slot_queue::RefusalReason;
use crate::types::DataCentre;
use crate::types::InstanceId;
use crate::types::NodeId;
use crate::wire;
use crate::wire::WireError;

/// Longest frame. The longest messages are whole configurations; bodies travel in pieces.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Longest body that travels inside its message, and longest piece of a longer one.
pub const PIECE_BYTES: usize = 16 * 1024;

const PREFIX_BYTES: usize = 4;

/// What a node says of itself when a connection begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeCard {
    /// Name.
    pub node: NodeId,
    /// Where it accepts connections of nodes.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// What a node tells its peers regularly and after each change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The target beside the node.
    pub instance: Option<InstanceRecord>,
    /// Whether the target takes requests as far as the node sees.
    pub available: bool,
    /// Whether the target is still slow from its start.
    pub cold: bool,
    /// Load of the target.
    pub load: Load,
    /// Whether the node is stopping.
    pub leaving: bool,
    /// Whether the node reaches the store.
    pub store_reached: bool,
    /// Highest version of the rows that the node knows.
    pub newest: RowVersion,
    /// Version of the configuration's row.
    pub config: RowVersion,
    /// Answers of the target since the order with this row version.
    pub evidence: Option<(RowVersion, Evidence)>,
    /// Orders whose version a node has judged bad.
    pub withdrawn: Vec<RowVersion>,
    /// Age of each order in milliseconds.
    pub order_ages: Vec<(RowVersion, u64)>,
}

/// Head of a call from the node of its caller to the node beside its target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardHead {
    /// Identity of the caller's attempt.
    pub request_id: SmolStr,
    /// Route.
    pub route: SmolStr,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Milliseconds to the aim.
    pub aim_ms: u32,
    /// Milliseconds to the deadline.
    pub deadline_ms: u32,
    /// The run of a target that shall serve the request.
    pub instance: InstanceId,
    /// Service of the host where the request began.
    pub caller: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub target: SmolStr,
    /// End-to-end headers.
    pub headers: Vec<(SmolStr, Bytes)>,
}

/// Why a call that was sent to its target has no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
pub enum Failure {
    /// The connection to the target broke.
    #[display("connection to the target broke")]
    Broken,
    /// The answer was not one to this request, or not whole.
    #[display("bad answer of the target")]
    BadAnswer,
    /// No answer before the deadline.
    #[display("deadline")]
    Deadline,
    /// The connection to the node beside the target broke.
    #[display("connection to the node beside the target broke")]
    LinkLost,
}

/// Outcome of a call at the node beside the target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target answered.
    Answer {
        /// Status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<(SmolStr, Bytes)>,
        /// Body when it is short; longer ones follow in pieces.
        body: Bytes,
        /// Length of the whole body.
        body_bytes: u64,
    },
    /// The request did not run and will not.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Milliseconds after which another try is worth while.
        retry_after_ms: u32,
    },
    /// The request was sent and may have run.
    Failed(Failure),
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of the node that connected, with the number of nodes that it knows.
    Hello(NodeCard, u32),
    /// First frame of the node that accepted, with the nodes that it knows if these are more.
    Welcome(NodeCard, Vec<NodeCard>),
    /// State of the sender.
    Status(Box<Status>),
    /// A status has arrived.
    StatusSeen,
    /// Rows of the store.
    Facts(Vec<FactRow>),
    /// Asks for rows that are newer than these.
    WantFacts {
        /// Highest version known.
        newest: RowVersion,
        /// Version of the configuration's row.
        config: RowVersion,
        /// Longest answer. Whoever reaches the store reads long rows there.
        most_bytes: u32,
    },
    /// The rows asked for are longer than the answer may be.
    FactsTooLong,
    /// A call with a short body, or the first frame of a call with a long one.
    Call {
        /// Identity on the connection.
        id: u64,
        /// Head.
        head: Box<ForwardHead>,
        /// Body when it is short.
        body: Bytes,
        /// Length of the whole body.
        body_bytes: u64,
    },
    /// Asks for the long body of a call.
    Grant {
        /// Identity of the call.
        id: u64,
    },
    /// A piece of a long body, of a call or an answer.
    Piece {
        /// Identity of the call.
        id: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// The caller has left.
    Cancel {
        /// Identity of the call.
        id: u64,
    },
    /// Outcome of a call, with the load of the target.
    Reply {
        /// Identity of the call.
        id: u64,
        /// Outcome.
        outcome: Box<Outcome>,
        /// Load of the target.
        load: Load,
    },
}

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Result<Bytes, WireError> {
    let message = wire::encode(frame, MAX_FRAME_BYTES)?;
    let mut buf = BytesMut::with_capacity(PREFIX_BYTES + message.len());
    buf.extend_from_slice(&(message.len() as u32).to_le_bytes());
    buf.extend_from_slice(&message);
    Ok(buf.freeze())
}

/// Takes a whole frame from the front of `buf`; `None` when more bytes are needed.
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
