//! JSON of the admin interface. The node serves these types, `ibisctl` reads them.

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

/// Answer of `GET /status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The node.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Whether it takes calls.
    pub state: NodeState,
    /// Version in force; zero before the first.
    pub version: ConfigVersion,
    /// Digest of the version in force; null before the first.
    pub digest: Option<Digest>,
    /// Highest version that the node knows of.
    pub head_version: ConfigVersion,
    /// The last version that the node rejected, until a higher one is in force.
    pub rejected: Option<RejectedVersion>,
    /// Members by reachability.
    pub members: MemberCounts,
    /// Targets beside the node.
    pub targets: Vec<TargetReport>,
}

/// State of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// It does not know its version floor yet and refuses calls.
    #[display("starting")]
    Starting,
    /// It takes calls.
    #[display("serving")]
    Serving,
    /// It finishes the calls it has.
    #[display("draining")]
    Draining,
}

/// A version that a node rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedVersion {
    /// Version.
    pub version: ConfigVersion,
    /// Why.
    pub reason: String,
}

/// Number of members by reachability, the node itself included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberCounts {
    /// Alive.
    pub alive: usize,
    /// Suspected.
    pub suspect: usize,
    /// Dead, kept for ten minutes.
    pub dead: usize,
    /// Left, kept for ten minutes.
    pub left: usize,
}

/// A target beside the node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Run of the target.
    pub instance: InstanceId,
    /// Service.
    pub service: ServiceName,
    /// Version.
    pub version: VersionName,
    /// Life-cycle state.
    pub state: TargetState,
    /// Calls that it runs at a time.
    pub slots: u32,
    /// Calls that it runs now.
    pub in_flight: u32,
}

/// Answer of `GET /members`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembersReport {
    /// The node that answers.
    pub local: NodeId,
    /// All records, sorted by node id.
    pub members: Vec<MemberRecord>,
}

/// Answer of `GET /moves`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MovesReport {
    /// Declared moves, sorted by id.
    pub moves: Vec<MoveReport>,
}

/// Answer of `GET /events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventsReport {
    /// Events above the given sequence, oldest first.
    pub events: Vec<LoggedEvent>,
}
