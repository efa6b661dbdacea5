//! Messages between the actors of the control thread.
//!
//! An actor that publishes a value keeps a list of `actix::Recipient`s that the node fills at
//! start-up.

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

/// Published by membership when the member records changed.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct MembersChanged(pub Arc<MemberView>);

/// Published by distribution when a configuration came into force.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct ConfigurationApplied(pub Arc<CompiledCatalogue>);

/// Published by distribution when it knows a higher head; membership puts it into its datagrams.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct HeadLearned(pub Head);

/// Published by membership when a peer's datagram carried a head.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct PeerHead {
    /// The peer.
    pub node: NodeId,
    /// Its address for control requests, when its record is known.
    pub peer_addr: Option<SocketAddr>,
    /// Highest head that it knows.
    pub head: Head,
}

/// Published by membership when a peer's datagram carried a hash of move states that differs from
/// this node's own; moves fetches the peer's states.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct PeerMovesDiffer {
    /// The peer's address for control requests.
    pub peer_addr: SocketAddr,
}

/// Published by moves when the shares changed.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct MovesChanged {
    /// State of each declared move, for the traffic threads.
    pub views: Arc<BTreeMap<MoveId, MoveView>>,
    /// Hash over the move states, for membership datagrams.
    pub hash: u64,
}

/// Sent to membership when the targets beside this node changed.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct LocalTargets(pub Vec<TargetRecord>);

/// Sent to moves and the burn report with what the traffic threads counted.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct CountsCollected(pub Arc<TrafficCounts>);

/// A datagram that the control socket received, for the actor that owns its kind.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct DatagramReceived {
    /// Sender as the socket saw it.
    pub from: SocketAddr,
    /// The datagram.
    pub datagram: Datagram,
}
