//! Settable faults and rate ceilings of the platform stand-in.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// How an outage looks to a client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// There is no outage.
    #[default]
    None,
    /// Each request is answered with 503 and has no effect.
    Unavailable,
    /// The port is closed and open connections are dropped.
    Refused,
    /// Requests are accepted and never answered; they have no effect.
    Hanging,
}

/// How the answer of a write that took effect is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostBy {
    /// The connection is dropped.
    #[default]
    Close,
    /// The answer never comes and the connection stays open.
    Silence,
}

/// The faults in force. A field that is absent from the JSON has its default value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Shortest and longest time a request takes, in ms; half of it passes before the effect.
    pub latency_ms: (u64, u64),
    /// Outage.
    pub outage: Outage,
    /// The outage ends by itself after this time.
    pub outage_ms: Option<u64>,
    /// Writes accepted within any second. A transaction is one write.
    pub write_ceiling: Option<u32>,
    /// Reads accepted within any second. A scan is one read.
    pub read_ceiling: Option<u32>,
    /// The answers of this many further writes are lost after the writes took effect.
    pub lose_next: u32,
    /// Share of the answers to writes, 0 to 1, that is lost after the writes took effect.
    pub lose_share: f64,
    /// How answers are lost.
    pub lose_by: LostBy,
    /// Seed of latencies and lost answers.
    pub seed: u64,
}

impl Default for PlatformFaults {
    /// No fault; the ceilings are those that the design page gives for the platform.
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

/// Counts requests over the last second; never lets more than the ceiling through in any second.
#[derive(Debug, Default)]
pub struct Ceiling {
    accepted: VecDeque<Instant>,
}

impl Ceiling {
    /// Whether one more request fits under `ceiling` at `now`. An accepted request is counted.
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
