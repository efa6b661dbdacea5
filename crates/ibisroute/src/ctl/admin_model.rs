//! JSON of the admin interface. The node serves these types, `ibisctl` reads them.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::events::LoggedEvent;
use crate::membership::record::MemberRecord;
use crate::membership::record::TargetState;
use crate::moves::evaluator::MoveReport;
use crate::types::ConfigVersion;
use crate::types::DataCentre;
use crate::types::Digest;
use crate::types::EntryName;
use crate::types::InstanceId;
use crate::types::NodeId;
use crate::types::Percent;
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

/// Answer of `GET /report/burn`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Entries, sorted by name.
    pub entries: Vec<BurnEntry>,
}

/// Service-level burn of one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnEntry {
    /// Entry.
    pub entry: EntryName,
    /// Who answers for it.
    pub owner: String,
    /// Calls that ended.
    pub calls: u64,
    /// Calls that failed.
    pub failures: u64,
    /// Calls refused as "not run".
    pub refused: u64,
    /// Calls that succeeded more slowly than the objective.
    pub slow: u64,
    /// Objective: share of good calls.
    pub success_objective_percent: Percent,
    /// Objective: latency of a good call.
    pub latency_objective_ms: u64,
    /// Error budget that is left of the calls counted; zero when it is used up.
    pub budget_left_percent: f64,
    /// Burn rate over 5 minutes; 1.0 uses up the budget exactly.
    pub burn_5m: f64,
    /// Burn rate over 1 hour.
    pub burn_1h: f64,
    /// Burn rate over 30 minutes.
    pub burn_30m: f64,
    /// Burn rate over 6 hours.
    pub burn_6h: f64,
    /// Median latency in milliseconds; null without calls.
    pub p50_ms: Option<f64>,
    /// 99th percentile in milliseconds; null without calls.
    pub p99_ms: Option<f64>,
    /// Alert that the burn rates raise.
    pub alert: Option<Alert>,
    /// Raw counts by window: `5m`, `30m`, `1h`, `6h`.
    #[serde(default)]
    pub windows: BTreeMap<String, WindowCounts>,
    /// Calls by latency bucket, see `telemetry::LatencyHistogram`.
    #[serde(default)]
    pub latency_buckets: Vec<u64>,
}

/// Counts of one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Calls.
    pub calls: u64,
    /// Calls against the objective.
    pub bad: u64,
}

/// Alert of a burn rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// Someone must act now.
    #[display("page")]
    Page,
    /// Someone must act on a working day.
    #[display("ticket")]
    Ticket,
}
