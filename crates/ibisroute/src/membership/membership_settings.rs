//! Settings of membership.

use serde::Deserialize;
use serde::Serialize;

/// Periods, bounds and sizes of membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// Period of the actor's timer; the resolution of all other times.
    pub tick_period_ms: u64,
    /// One peer is probed per period.
    pub probe_period_ms: u64,
    /// Wait for a direct answer before indirect probes are sent.
    pub probe_timeout_ms: u64,
    /// Peers that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// The suspicion timeout is this factor times log2 of the fleet size, in probe periods.
    pub suspicion_factor: f64,
    /// Shortest suspicion timeout.
    pub suspicion_min_ms: u64,
    /// Largest local health score; timeouts are multiplied by one plus the score.
    pub health_score_max: u32,
    /// An update is piggybacked up to this factor times log2 of the fleet size.
    pub piggyback_factor: u32,
    /// Period in which fresh updates are pushed without waiting for a probe.
    pub push_period_ms: u64,
    /// Peers that a fresh update is pushed to per push period.
    pub push_fanout: usize,
    /// Push periods in which an update counts as fresh. Two rounds to four peers reach more than 99
    /// of 100 nodes; piggybacking reaches the rest.
    pub push_rounds: u32,
    /// Period of the ping to the next member in the order of ids, which finds a restarted host.
    pub ring_period_ms: u64,
    /// Following members that a newcomer introduces itself to, and dead ones that are pinged at
    /// most.
    pub ring_span: usize,
    /// How long records of dead and left nodes are kept.
    pub dead_keep_ms: u64,
    /// How long records of nodes that were dead already at the first join are kept. They are not
    /// passed on, so that a record cannot circulate from newcomer to newcomer without end.
    pub dead_inherited_keep_ms: u64,
    /// Average period of a full state transfer with a random peer, which repairs lost updates.
    pub sync_period_ms: u64,
    /// First gap between full state transfers after a start or a mass change; doubles up to
    /// `sync_period_ms`.
    pub sync_min_ms: u64,
    /// More updates than this waiting to be spread count as a mass change.
    pub sync_backlog: usize,
    /// Full state transfers served at once; others are answered with `Busy`.
    pub transfers_max: usize,
    /// How long a state transfer counts as running.
    pub transfer_slot_ms: u64,
    /// Timeout of a join request.
    pub join_timeout_ms: u64,
    /// Nodes that a newcomer joins.
    pub join_peers: usize,
    /// Rows that a newcomer reads from the table.
    pub entry_rows: usize,
    /// Period in which the entry-point row is refreshed, jittered by a tenth.
    pub entry_refresh_ms: u64,
    /// Entry points are read within this time after the start, and written within twice this time.
    pub start_jitter_ms: u64,
    /// First gap between reads of entry points after the first join; grows fourfold.
    pub read_gap_min_ms: u64,
    /// First upper bound of the jittered delay between attempts.
    pub retry_min_ms: u64,
    /// Last upper bound of the jittered delay between attempts.
    pub retry_max_ms: u64,
    /// Timeout of a table request.
    pub platform_timeout_ms: u64,
    /// Peers that are told of a leave immediately.
    pub leave_fanout: usize,
    /// How long a leaving node spreads its leave before it may stop.
    pub leave_ms: u64,
    /// Changed views are published at most this often.
    pub publish_period_ms: u64,
    /// Lease of a target's announcement.
    pub lease_ms: u64,
    /// A target that renews its lease for this long without a healthy answer is tried with calls,
    /// because health endpoints lag or mislead.
    pub starting_max_ms: u64,
    /// Warm-up of a target before it counts as ready.
    pub warming_ms: u64,
    /// Longest drain of a target that asked to leave.
    pub leave_drain_max_ms: u64,
    /// Longest drain of a target whose lease expired.
    pub lease_drain_max_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            tick_period_ms: 50,
            probe_period_ms: 1_000,
            probe_timeout_ms: 300,
            indirect_probes: 3,
            suspicion_factor: 1.0,
            suspicion_min_ms: 2_000,
            health_score_max: 8,
            piggyback_factor: 3,
            push_period_ms: 200,
            push_fanout: 4,
            push_rounds: 2,
            ring_period_ms: 500,
            ring_span: 8,
            dead_keep_ms: 600_000,
            dead_inherited_keep_ms: 300_000,
            sync_period_ms: 300_000,
            sync_min_ms: 1_000,
            sync_backlog: 64,
            transfers_max: 8,
            transfer_slot_ms: 100,
            join_timeout_ms: 1_000,
            join_peers: 3,
            entry_rows: 32,
            entry_refresh_ms: 600_000,
            start_jitter_ms: 500,
            read_gap_min_ms: 1_000,
            retry_min_ms: 200,
            retry_max_ms: 2_000,
            platform_timeout_ms: 1_000,
            leave_fanout: 8,
            leave_ms: 500,
            publish_period_ms: 50,
            lease_ms: 3_000,
            starting_max_ms: 10_000,
            warming_ms: 3_000,
            leave_drain_max_ms: 600_000,
            lease_drain_max_ms: 30_000,
        }
    }
}
