//! Settings of the claims of idempotency keys.

use serde::Deserialize;
use serde::Serialize;

/// Section `claims` of the node settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSettings {
    /// Number of claim shards; must be equal on every node. Each shard has at most one transaction
    /// in flight, so the number of shards bounds the write rate of the whole fleet.
    pub shards: u32,
    /// Maximum number of rows in one transaction.
    pub max_batch: usize,
    /// Minimum time between the starts of two transactions of a shard, in milliseconds. Together
    /// with `shards` it bounds the transactions of the whole fleet, however fast the platform
    /// responds: 8 shards and 25 ms give at most 320 per second, and the platform accepts several
    /// hundred.
    pub min_gap_ms: u64,
    /// Pause before the next transaction of a shard after the platform refused one or did not
    /// respond to it, in milliseconds.
    pub retry_pause_ms: u64,
    /// Time for which an owner that did not respond is skipped, in milliseconds; must be longer
    /// than membership takes to detect a dead node.
    pub avoid_owner_ms: u64,
    /// Time for which writing a result or releasing a claim is retried, in milliseconds.
    pub record_retry_ms: u64,
    /// Time before a claim's deadline that the owner reserves for the transmission of its reply, in
    /// milliseconds.
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
