//! Faults and rate ceilings of the platform stand-in, which can be changed while it runs.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// Kind of outage, as a client observes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    #[default]
    None,
    /// Each request gets status 503 and has no effect.
    Unavailable,
    /// The port is closed, and open connections are aborted.
    Refused,
    /// Requests are accepted and get no response; they have no effect.
    Hanging,
}

/// How the response of a write that took effect is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostBy {
    /// The connection is aborted.
    #[default]
    Close,
    /// No response is sent, and the connection stays open.
    Silence,
}

/// The faults in effect. A field that is missing in the JSON has its default value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Shortest and longest latency of a request in ms. Half of it passes before the request takes
    /// effect, the rest after.
    pub latency_ms: (u64, u64),
    pub outage: Outage,
    /// Duration of the outage in ms; with `None` it lasts until the faults are replaced.
    pub outage_ms: Option<u64>,
    /// Writes accepted within any second, `None` for no limit. A transaction is one write.
    pub write_ceiling: Option<u32>,
    /// Reads accepted within any second, `None` for no limit. A scan is one read.
    pub read_ceiling: Option<u32>,
    /// Number of writes, from the next one on, whose responses are lost after they took effect.
    pub lose_next: u32,
    /// Share of the responses to writes, 0 to 1, that is lost after the writes took effect.
    pub lose_share: f64,
    pub lose_by: LostBy,
    /// Seed of the latencies and of the choice of lost responses.
    pub seed: u64,
}

impl Default for PlatformFaults {
    /// Returns no faults. The ceilings are those that the design page gives for the platform.
    fn default() -> Self {
        Self {
            latency_ms: (0, 0),
            outage: Outage::None,
            outage_ms: None,
            write_ceiling: Some(500),
            read_ceiling: Some(2000),
            lose_next: 0,
            lose_share: 0.0,
            lose_by: LostBy::Close,
            seed: 1,
        }
    }
}

/// Sliding-window rate limiter: admits no more requests than the ceiling within any second.
#[derive(Debug, Default)]
pub struct RateLimiter {
    accepted: VecDeque<Instant>,
}

impl RateLimiter {
    /// Admits one request at `now` if `ceiling` allows it, and counts it. `None` is no limit.
    pub fn admit(&mut self, now: Instant, ceiling: Option<u32>) -> bool {
        let Some(ceiling) = ceiling else { return true };
        while self
            .accepted
            .front()
            .is_some_and(|at| now.duration_since(*at) >= Duration::from_secs(1))
        {
            self.accepted.pop_front();
        }
        if self.accepted.len() >= ceiling as usize {
            return false;
        }
        self.accepted.push_back(now);
        true
    }
}
