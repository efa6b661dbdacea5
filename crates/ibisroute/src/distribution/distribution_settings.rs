//! Settings of the configuration distribution.

use serde::Deserialize;
use serde::Serialize;

/// Periods, timeouts and limits of the configuration distribution. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DistributionSettings {
    /// Period of the actor's timer, which is the resolution of all other times.
    pub tick_period_ms: u64,
    /// Timeout after which a poll counts as failed and is retried; a late response is still
    /// accepted. It is well above the response times of a slow platform, and short enough for a
    /// node to recover within 3 s after the platform has hung.
    pub poll_patience_ms: u64,
    /// Intended rate of the polls of the head row by the whole fleet, per second.
    pub fleet_polls_per_s: u64,
    /// Minimum of the average poll period of a node.
    pub poll_min_ms: u64,
    /// Maximum of the average poll period of a node.
    pub poll_max_ms: u64,
    /// Maximum jittered delay after the first failed poll or object read. It doubles with each
    /// further failure up to `poll_backoff_max_ms`.
    pub poll_backoff_min_ms: u64,
    /// Maximum jittered delay after any failed poll or object read. Even if the poll failed only
    /// after the timeout `poll_patience_ms`, the next one is early enough for the node to recover
    /// within 3 s.
    pub poll_backoff_max_ms: u64,
    /// Intended rate of the object reads by the whole fleet after a mass restart, per second. It
    /// determines the jitter of these reads.
    pub fleet_object_reads_per_s: u64,
    /// Timeout of a table or object request. Peers are queried after the shorter
    /// `floor_table_wait_ms` or `peer_timeout_ms`, so this one only has to exceed the response
    /// times of a slow platform.
    pub platform_timeout_ms: u64,
    /// Number of peers to which a head is pushed per round.
    pub push_fanout: usize,
    /// Delay of the second push round, which goes to peers that the first round did not notify.
    pub push_again_ms: u64,
    /// Timeout of the wait for a peer's acknowledgement before a head is applied.
    pub ack_wait_ms: u64,
    /// Number of peer responses from which a node determines its floor while the table is down.
    pub floor_answers: usize,
    /// Time for which a starting node waits for the table before it queries peers for the floor.
    pub floor_table_wait_ms: u64,
    /// Average of the jittered delay between rounds of floor queries.
    pub floor_retry_ms: u64,
    /// Timeout of a fetch from a peer, and of a floor query.
    pub peer_timeout_ms: u64,
    /// Upper bound of the jitter between an attempt to fetch a body and the next query of a peer.
    /// After a failed attempt, a quarter of this value is added to the jitter.
    pub fetch_retry_ms: u64,
    /// Delay before a node that did not read the head from the table reads the object store.
    pub object_fallback_ms: u64,
    /// Jitter added to `object_fallback_ms`.
    pub object_fallback_jitter_ms: u64,
    /// Number of catalogues that are kept to serve peers and to compute deltas.
    pub kept_catalogues: usize,
    /// Maximum number of known heads, and of rejected versions, that are kept.
    pub kept_heads: usize,
    /// Maximum number of concurrent catalogue transfers to peers. Further requests receive `Busy`.
    pub transfers_max: usize,
    /// Time for which a catalogue transfer counts as in progress, since its end is not observed.
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
