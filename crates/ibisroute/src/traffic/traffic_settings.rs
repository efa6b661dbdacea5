//! Settings of the traffic threads.

use serde::Deserialize;
use serde::Serialize;

use crate::types::ByteSize;
use crate::types::Millis;

/// Settings of the listener for callers, routing, admission and dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficSettings {
    /// Number of threads that serve callers, at least 1.
    pub workers: usize,
    /// Largest request body that is buffered for retries. Larger ones are streamed and sent only
    /// once.
    pub replay_body: ByteSize,
    /// Maximum depth of a call in its call chain. Deeper calls are refused, which ends call loops.
    pub max_depth: u8,
    /// Maximum number of attempts per call, including the first.
    pub max_attempts: usize,
    /// Consecutive failures after which a target is ejected.
    pub eject_after: u32,
    /// Duration of the first ejection. It doubles with each failed probe, up to 16 times this
    /// value.
    pub eject: Millis,
    /// Half-life of the weight of a load report in load balancing.
    pub report_half_life: Millis,
    /// Load per slot from which a target counts as saturated. Calls spill over to other data
    /// centres when all targets of the node's own data centre are saturated.
    pub spill_load: f64,
    /// Maximum number of queued calls per slot of a target.
    pub queue_per_slot: u32,
    /// Retries that are allowed without any success, per entry and thread.
    pub retry_floor: f64,
    /// Refill rate of the retry floor, in retries per second.
    pub retry_floor_per_s: f64,
    /// Consecutive failures of a new version, on one thread, that stop its share on this node.
    pub failure_run: u32,
    /// Time for which a stopped share receives no calls. After that time, a single failure stops
    /// the share again.
    pub failure_run_hold: Millis,
    /// Timeout for connecting to a local target.
    pub target_connect: Millis,
    /// Time after which idle connections to targets are closed; must be shorter than the keep-alive
    /// timeout of the targets, so that the node closes first.
    pub target_idle: Millis,
    /// Interval at which counts are reported to the control thread.
    pub count_interval: Millis,
}

impl Default for TrafficSettings {
    fn default() -> Self {
        Self {
            workers: 2,
            replay_body: ByteSize(64 * 1024),
            max_depth: 32,
            max_attempts: 3,
            eject_after: 5,
            eject: Millis(1_000),
            report_half_life: Millis(200),
            spill_load: 1.5,
            queue_per_slot: 4,
            retry_floor: 3.0,
            retry_floor_per_s: 0.2,
            failure_run: 5,
            failure_run_hold: Millis(5_000),
            target_connect: Millis(500),
            target_idle: Millis(3_000),
            count_interval: Millis(100),
        }
    }
}
