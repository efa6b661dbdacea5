//! Settings of the traffic threads.

use serde::Deserialize;
use serde::Serialize;

use crate::types::ByteSize;
use crate::types::Millis;

/// Settings of callers' listener, routing, admission and dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficSettings {
    /// Threads that serve callers, at least 1.
    pub workers: usize,
    /// Larger bodies are streamed and never sent twice.
    pub replay_body: ByteSize,
    /// Calls with a greater depth are refused, which ends call loops.
    pub max_depth: u8,
    /// Attempts of one call, the first included.
    pub max_attempts: usize,
    /// Consecutive failures after which a target is ejected.
    pub eject_after: u32,
    /// First ejection time; it doubles with each failed probe up to 16 times.
    pub eject: Millis,
    /// A reported queue counts half after this time.
    pub report_half_life: Millis,
    /// Load per slot from which a data centre counts as saturated.
    pub spill_load: f64,
    /// Queued calls per slot of a target.
    pub queue_per_slot: u32,
    /// Retries per entry that are allowed without any success.
    pub retry_floor: f64,
    /// Refill of the retry floor per second.
    pub retry_floor_per_s: f64,
    /// Consecutive failures of a new version that stop its share on this node.
    pub failure_run: u32,
    /// How long a stopped share stays stopped before one call tries the version again.
    pub failure_run_hold: Millis,
    /// Longest time to connect to a target beside the node.
    pub target_connect: Millis,
    /// Idle target connections are closed after this time, before the target closes them.
    pub target_idle: Millis,
    /// Interval of count reports to the control thread.
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
