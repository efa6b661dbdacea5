//! JSON documents of the admin interface, which nodes serve and `ibisctl` reads.

use serde::Deserialize;
use serde::Serialize;

use crate::events::LoggedEvent;
use crate::membership::record::MemberRecord;
use crate::membership::record::TargetState;
use crate::moves::evaluator::MoveReport;
use crate::types::ConfigVersion;
use crate::types::DataCentre;
use crate::types::Digest;
use crate::types::InstanceId;
use crate::types::NodeId;
use crate::types::Region;
use crate::types::ServiceName;
use crate::types::VersionName;

/// Response to `GET /status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    pub node: NodeId,
    pub data_centre: DataCentre,
    pub region: Region,
    pub state: NodeState,
    /// Configuration version in effect; zero before the first one.
    pub version: ConfigVersion,
    /// Digest of the version in effect; null before the first one.
    pub digest: Option<Digest>,
    /// Highest accepted version that the node knows of; may not be in effect yet.
    pub head_version: ConfigVersion,
    /// The last version that the node rejected; null once a higher one is in effect.
    pub rejected: Option<RejectedVersion>,
    pub members: MemberCounts,
    /// Targets on the host of the node.
    pub targets: Vec<TargetReport>,
}

/// Readiness of a node for calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// The node refuses calls: it does not know its version floor yet, which is the lowest version
    /// that it may put into effect.
    #[display("starting")]
    Starting,
    /// The node accepts calls.
    #[display("serving")]
    Serving,
    /// The node finishes its calls in flight and refuses new ones.
    #[display("draining")]
    Draining,
}

/// A configuration version that a node rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedVersion {
    pub version: ConfigVersion,
    pub reason: String,
}

/// Number of members by status, including the node itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberCounts {
    pub alive: usize,
    pub suspect: usize,
    /// Members declared dead; kept for `membership.dead_keep_ms`, ten minutes by default.
    pub dead: usize,
    /// Members that left; kept as long as dead ones.
    pub left: usize,
}

/// A target on the host of the node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Incarnation of the target.
    pub instance: InstanceId,
    pub service: ServiceName,
    pub version: VersionName,
    pub state: TargetState,
    /// Number of calls that the target processes concurrently.
    pub slots: u32,
    /// Number of calls that the target is processing.
    pub in_flight: u32,
}

/// Response to `GET /members`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembersReport {
    /// The responding node.
    pub local: NodeId,
    /// All member records, sorted by node id.
    pub members: Vec<MemberRecord>,
}

/// Response to `GET /moves`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MovesReport {
    /// Declared moves, sorted by id.
    pub moves: Vec<MoveReport>,
}

/// Response to `GET /events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventsReport {
    /// Events with a sequence number above the query parameter `after`, oldest first.
    pub events: Vec<LoggedEvent>,
}
