//! Runs of consecutive failures of a move's new version.

use std::collections::BTreeMap;

use crate::types::MoveId;

/// Counts consecutive failures of the new version of each move on one thread.
#[derive(Clone, Debug, Default)]
pub struct FailureRuns {
    runs: BTreeMap<MoveId, u32>,
}

impl FailureRuns {
    /// Counts one call to the new version; `true` when the run has reached `limit`, and the share of
    /// the move must stop. A success clears the run, so a single failure after a stop stops again.
    pub fn record(&mut self, id: &MoveId, failed: bool, limit: u32) -> bool {
        if !failed {
            self.runs.remove(id);
            return false;
        }
        let run = self.runs.entry(id.clone()).or_insert(0);
        *run = run.saturating_add(1);
        *run >= limit.max(1)
    }
}
