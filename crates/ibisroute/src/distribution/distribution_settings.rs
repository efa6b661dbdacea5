//! Settings of distribution.

use serde::Deserialize;
use serde::Serialize;

/// Periods, bounds and sizes of distribution.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DistributionSettings {
    /// Period of the actor's timer; the resolution of all other times.
    pub tick_period_ms: u64,
    /// A poll without an answer for this long counts as failed and another one is made; its late
    /// answer is still taken. Well above the answers of a slow platform, and short enough for a
    /// node to recover within 3 s after the platform has hung.
    pub poll_patience_ms: u64,
    /// Reads of the head row per second by the whole fleet.
    pub fleet_polls_per_s: u64,
    /// Shortest average period of a node's polls.
    pub poll_min_ms: u64,
    /// Longest average period of a node's polls.
    pub poll_max_ms: u64,
    /// First upper bound of the jittered delay after a failed poll.
    pub poll_backoff_min_ms: u64,
    /// Last upper bound of the jittered delay after a failed poll. With `poll_patience_ms` before
    /// it, a node polls again early enough to recover within 3 s.
    pub poll_backoff_max_ms: u64,
    /// Object reads per second by the whole fleet that a mass restart may cause; sets the jitter.
    pub fleet_object_reads_per_s: u64,
    /// Timeout of a table or object request. Peers are asked long before, so that it only has to
    /// outlast a slow platform.
    pub platform_timeout_ms: u64,
    /// Peers that a head is pushed to.
    pub push_fanout: usize,
    /// Delay of the second push, to other peers.
    pub push_again_ms: u64,
    /// Longest wait for a peer's acknowledgement before a head is applied.
    pub ack_wait_ms: u64,
    /// Answers of peers that establish the floor while the table is down.
    pub floor_answers: usize,
    /// Peers are asked for the floor when the table has not answered for this long.
    pub floor_table_wait_ms: u64,
    /// Upper bound of the jittered delay between rounds of questions for the floor.
    pub floor_retry_ms: u64,
    /// Timeout of a fetch from a peer, and of a question for the floor.
    pub peer_timeout_ms: u64,
    /// Upper bound of the jittered delay before another source is tried.
    pub fetch_retry_ms: u64,
    /// Nodes that did not see the head in the table read the object store after this time.
    pub object_fallback_ms: u64,
    /// Jitter added to `object_fallback_ms`.
    pub object_fallback_jitter_ms: u64,
    /// Last catalogues kept to serve peers.
    pub kept_catalogues: usize,
    /// Heads and rejected versions remembered.
    pub kept_heads: usize,
    /// Catalogue transfers served at once; others are answered with `Busy`.
    pub transfers_max: usize,
    /// How long a transfer counts as running.
    pub transfer_slot_ms: u64,
}

impl Default for DistributionSettings {
    fn default() -> Self {
        Self {
            tick_period_ms: 20,
            poll_patience_ms: 700,
            fleet_polls_per_s: 40,
            poll_min_ms: 200,
            poll_max_ms: 30_000,
            poll_backoff_min_ms: 200,
            poll_backoff_max_ms: 1_200,
            fleet_object_reads_per_s: 1_000,
            platform_timeout_ms: 3_000,
            push_fanout: 4,
            push_again_ms: 100,
            ack_wait_ms: 150,
            floor_answers: 3,
            floor_table_wait_ms: 500,
            floor_retry_ms: 400,
            peer_timeout_ms: 500,
            fetch_retry_ms: 100,
            object_fallback_ms: 800,
            object_fallback_jitter_ms: 700,
            kept_catalogues: 16,
            kept_heads: 16,
            transfers_max: 8,
            transfer_slot_ms: 100,
        }
    }
}
