//! The recorded outcome of a move and the report to its owner.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::types::MoveId;
use crate::types::NodeId;
use crate::types::UnixMillis;

/// Reason of a withdrawal when the last stage was not reached in time.
pub const NOT_ENOUGH_EVIDENCE: &str = "not enough evidence by the stated time";

/// How a move ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The new version has the traffic.
    Finished,
    /// The old version has the traffic.
    TakenBack,
}

/// Value of row `move/<id>/outcome`; the first writer wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// How the move ended.
    pub outcome: Ending,
    /// Why it was withdrawn, or how it finished.
    pub reason: SmolStr,
    /// When the writer decided.
    pub unix_ms: UnixMillis,
    /// The node that decided.
    pub by: NodeId,
}

/// Report to the owner, and value of row `report/<id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerReport {
    /// Equal in all copies of the report, so that the receiver can drop repeats.
    pub identity: SmolStr,
    /// The move.
    #[serde(rename = "move")]
    pub id: MoveId,
    /// Service.
    pub service: SmolStr,
    /// Owner of the service.
    pub owner: SmolStr,
    /// Old version.
    pub from: SmolStr,
    /// New version.
    pub to: SmolStr,
    /// How the move ended.
    pub outcome: Ending,
    /// Why.
    pub reason: SmolStr,
    /// Start of the move.
    pub start_unix_ms: UnixMillis,
    /// Time by which the move had to finish.
    pub finish_by_unix_ms: UnixMillis,
    /// When the outcome was decided.
    pub ended_unix_ms: UnixMillis,
}

/// Key of the outcome row.
pub fn outcome_key(id: &MoveId) -> String {
    format!("move/{id}/outcome")
}

/// Key of the report row.
pub fn report_key(id: &MoveId) -> String {
    format!("report/{id}")
}
