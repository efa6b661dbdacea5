//! Messages between the actors of the control thread.
//!
//! An actor that publishes a message keeps a list of its subscribers as `actix::Recipient`s;
//! [`run`](super::run) fills the list at start-up.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use actix::Message;

use crate::membership::record::MemberView;
use crate::membership::record::TargetRecord;
use crate::snapshot::CompiledCatalogue;
use crate::snapshot::MoveView;
use crate::telemetry::TrafficCounts;
use crate::types::Head;
use crate::types::MoveId;
use crate::types::NodeId;
use crate::wire::Datagram;

/// Published by membership when the member records change.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct MembersChanged(pub Arc<MemberView>);

/// Published by distribution when a configuration takes effect.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct ConfigurationApplied(pub Arc<CompiledCatalogue>);

/// Published by distribution when it learns of a head with a higher version than any before;
/// membership includes the head in its datagrams.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct HeadDiscovered(pub Head);

/// Published by membership when a datagram from a peer carries a head.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct PeerHeadReceived {
    pub node: NodeId,
    /// The peer's address for control requests; `None` while its record is unknown.
    pub peer_addr: Option<SocketAddr>,
    /// Head with the highest version that the peer knows of.
    pub head: Head,
}

/// Published by membership when a datagram from a peer carries a hash of move states that differs
/// from this node's own; the moves actor then fetches the peer's states.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct PeerMovesDiffer {
    /// The peer's address for control requests.
    pub peer_addr: SocketAddr,
}

/// Published by the moves actor when the shares of a move change.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct MovesChanged {
    /// State of each declared move, for the traffic threads.
    pub views: Arc<BTreeMap<MoveId, MoveView>>,
    /// Hash of the move states, which membership includes in its datagrams.
    pub moves_hash: u64,
}

/// Sent to membership when the records of the local targets change.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct LocalTargetsChanged(pub Vec<TargetRecord>);

/// Counters of a traffic thread since its last report, sent to the moves actor and the burn actor.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct CountsCollected(pub Arc<TrafficCounts>);

/// A datagram received on the control socket, sent to the actor that handles its kind.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct DatagramReceived {
    /// Source address of the datagram.
    pub from: SocketAddr,
    pub datagram: Datagram,
}
