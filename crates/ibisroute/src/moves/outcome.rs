//! The recorded outcome of a move and the report to the owner of the service.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::types::MoveId;
use crate::types::NodeId;
use crate::types::UnixMillis;

/// Reason recorded when the last stage was not reached, or had too few calls, by `finish_by`.
pub const NOT_ENOUGH_EVIDENCE: &str = "not enough evidence by the stated time";

/// Final result of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The new version receives all calls.
    Finished,
    /// The new version was withdrawn; the old version receives all calls.
    TakenBack,
}

/// Value of the row `move/<id>/outcome`; only the first write takes effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOutcome {
    pub outcome: Ending,
    /// Reason of the withdrawal, or how the move finished.
    pub reason: SmolStr,
    /// Time at which the node `by` sent this write of the row. It may be later than its decision,
    /// as the write is retried.
    pub unix_ms: UnixMillis,
    /// Node that wrote the row.
    pub by: NodeId,
}

/// Report to the owner of the service, and value of row `report/<id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerReport {
    /// Equal in all deliveries of the same report, so that the receiver can discard duplicates.
    pub identity: SmolStr,
    #[serde(rename = "move")]
    pub id: MoveId,
    pub service: SmolStr,
    pub owner: SmolStr,
    /// Name of the old version.
    pub from: SmolStr,
    /// Name of the new version.
    pub to: SmolStr,
    pub outcome: Ending,
    /// Reason in the outcome row.
    pub reason: SmolStr,
    pub start_unix_ms: UnixMillis,
    /// Time by which the move had to finish.
    pub finish_by_unix_ms: UnixMillis,
    /// Time in the outcome row.
    pub ended_unix_ms: UnixMillis,
}

/// Returns the table key of the row that records how the move ended.
pub fn outcome_key(id: &MoveId) -> String {
    format!("move/{id}/outcome")
}

/// Returns the table key of the row that is written once the owner has received the report.
pub fn report_key(id: &MoveId) -> String {
    format!("report/{id}")
}
