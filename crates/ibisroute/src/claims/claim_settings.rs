//! Settings of claims.

use serde::Deserialize;
use serde::Serialize;

/// Section `claims` of the node settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSettings {
    /// Number of claim shards; equal on every node. Each shard has one transaction in flight, so
    /// that the number bounds the write rate of the whole fleet.
    pub shards: u32,
    /// Most rows in one transaction.
    pub max_batch: usize,
    /// Least time between the starts of two transactions of a shard, in milliseconds. With `shards` it
    /// bounds the writes of the whole fleet: 8 shards and 25 ms make at most 320 a second, of the
    /// several hundred that the platform takes, however fast it answers.
    pub min_gap_ms: u64,
    /// Pause after a transaction that the platform refused or did not answer, in milliseconds.
    pub retry_pause_ms: u64,
    /// How long an owner that did not answer is passed over, in milliseconds; longer than membership
    /// takes to declare a node dead.
    pub avoid_owner_ms: u64,
    /// How long a result is offered to the table before it is given up, in milliseconds.
    pub record_retry_ms: u64,
    /// Time that an owner leaves for the answer's way back to the caller, in milliseconds.
    pub reply_margin_ms: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            shards: 8,
            max_batch: 64,
            min_gap_ms: 25,
            retry_pause_ms: 50,
            avoid_owner_ms: 5000,
            record_retry_ms: 60_000,
            reply_margin_ms: 20,
        }
    }
}
