//! Settings of the membership protocol and of the targets on this host.

use serde::Deserialize;
use serde::Serialize;

/// Periods, timeouts and limits of membership. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// Period of the actor's timer, which is the resolution of all other times.
    pub tick_period_ms: u64,
    /// Period of the probes of random peers; one peer is probed per period.
    pub probe_period_ms: u64,
    /// Timeout of a direct probe, after which indirect probes are sent.
    pub probe_timeout_ms: u64,
    /// Number of peers that are requested to probe a peer that did not respond to the direct probe.
    pub indirect_probes: usize,
    /// The suspicion timeout is this factor times log2 of the fleet size, in probe periods.
    pub suspicion_factor: f64,
    /// Minimum of the suspicion timeout.
    pub suspicion_min_ms: u64,
    /// Maximum of the local health score. The probe and suspicion timeouts are multiplied by one
    /// plus the score.
    pub health_score_max: u32,
    /// Maximum number of datagrams that carry an update, as a multiple of log2 of the fleet size.
    pub piggyback_factor: u32,
    /// Period at which updates that are fresh (see `push_rounds`) are pushed without waiting for a
    /// probe.
    pub push_period_ms: u64,
    /// Number of peers to which fresh updates are pushed per push period.
    pub push_fanout: usize,
    /// Number of push periods in which an update counts as fresh. Two rounds to four peers reach
    /// more than 99 of 100 nodes; piggybacking reaches the rest.
    pub push_rounds: u32,
    /// Period of the ping to the next member in the ring of ids, which discovers a restarted host.
    pub ring_period_ms: u64,
    /// Number of successors in the ring to which a joining node introduces itself. It also limits
    /// the dead successors that are pinged per ring period.
    pub ring_span: usize,
    /// Retention of the records of dead and left nodes.
    pub dead_keep_ms: u64,
    /// Retention of the records of nodes that were already dead or had left when this node joined.
    /// They are not sent to joining nodes, so that a record cannot circulate among them
    /// indefinitely.
    pub dead_inherited_keep_ms: u64,
    /// Average period of the full state transfers with a random peer, which repair lost updates.
    pub sync_period_ms: u64,
    /// First interval between full state transfers after a start, or after more than `sync_backlog`
    /// updates were queued. It doubles up to `sync_period_ms`.
    pub sync_min_ms: u64,
    /// Number of queued updates above which the interval between full state transfers returns to
    /// `sync_min_ms`, as after a mass restart.
    pub sync_backlog: usize,
    /// Maximum number of concurrent full state transfers to peers. Further requests receive `Busy`.
    pub transfers_max: usize,
    /// Time for which a full state transfer counts as in progress, since its end is not observed.
    pub transfer_slot_ms: u64,
    /// Timeout of a join request.
    pub join_timeout_ms: u64,
    /// Number of peers to which a joining node sends join requests.
    pub join_peers: usize,
    /// Maximum number of entry-point rows that one read of the table returns.
    pub entry_rows: usize,
    /// Period at which a node rewrites its entry-point row, with a jitter of 10 % either way.
    pub entry_refresh_ms: u64,
    /// Upper bound of the jitter before the first read of entry points. The jitter before the first
    /// write of this node's own entry point is up to twice as long.
    pub start_jitter_ms: u64,
    /// First interval between reads of entry points after the first join. It quadruples up to
    /// `entry_refresh_ms`.
    pub read_gap_min_ms: u64,
    /// Maximum jittered delay before the first retry of a table request. It doubles with each
    /// failure up to `retry_max_ms`.
    pub retry_min_ms: u64,
    /// Maximum jittered delay before any retry of a table request.
    pub retry_max_ms: u64,
    /// Timeout of a table request.
    pub platform_timeout_ms: u64,
    /// Number of peers that are notified of a leave immediately.
    pub leave_fanout: usize,
    /// Time for which a leaving node disseminates its leave before it may stop.
    pub leave_ms: u64,
    /// Minimum interval between publications of a changed view.
    pub publish_period_ms: u64,
    /// Duration of the lease of a target, which is renewed by each of its announcements.
    pub lease_ms: u64,
    /// Time after which a starting target that renews its lease receives calls although its health
    /// endpoint does not report it healthy, because health endpoints lag or are wrong.
    pub starting_max_ms: u64,
    /// Time for which a healthy target counts as warming before it counts as ready.
    pub warming_ms: u64,
    /// Drain timeout of a target that requested to leave.
    pub leave_drain_max_ms: u64,
    /// Drain timeout of a target whose lease expired.
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
