//! Counts of consecutive failures of a move's new version.

use std::collections::BTreeMap;

use crate::types::MoveId;

/// Consecutive failures of the new version of each move, as seen by one thread.
#[derive(Clone, Debug, Default)]
pub struct ConsecutiveFailures {
    counts: BTreeMap<MoveId, u32>,
}

impl ConsecutiveFailures {
    /// Records the result of one call to the new version. Returns `true` when `max_failures`
    /// consecutive calls have failed and the share of the move must stop. Only a success resets the
    /// count, so that after a stop a single failure stops the share again.
    pub fn record_call(&mut self, id: &MoveId, failed: bool, max_failures: u32) -> bool {
        if !failed {
            self.counts.remove(id);
            return false;
        }
        let failure_count = self.counts.entry(id.clone()).or_insert(0);
        *failure_count = failure_count.saturating_add(1);
        *failure_count >= max_failures.max(1)
    }
}
