//! Faults of a target stand-in, which can be changed while it runs.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Conditions, all of which must hold, for the failing share and the slow-down to be in effect.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Trigger {
    /// Minimum time since the faults were set, in ms.
    pub after_ms: u64,
    /// The number of calls in flight, the arriving one included, must exceed this limit; `None` is
    /// no condition.
    pub above_in_flight: Option<u32>,
    /// The path must start with this prefix; `None` is no condition.
    pub path_prefix: Option<String>,
}

impl Trigger {
    /// Whether the conditions hold for a call that arrives `elapsed` after the faults were set.
    pub fn holds(&self, elapsed: Duration, in_flight: u32, path: &str) -> bool {
        elapsed >= Duration::from_millis(self.after_ms)
            && self.above_in_flight.is_none_or(|limit| in_flight > limit)
            && self.path_prefix.as_ref().is_none_or(|prefix| path.starts_with(prefix.as_str()))
    }
}

/// Whether `/health` reports the true health of the target or a fixed one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthHint {
    /// Healthy unless the target drains, hangs or is in a failing cold start.
    #[default]
    Truth,
    AlwaysGood,
    AlwaysBad,
}

/// The faults in effect. A field that is missing in the JSON has its default value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// Share of the calls, 0 to 1, that fail after their service time.
    pub failing_share: f64,
    /// Status of the responses to failing calls.
    pub fail_status: u16,
    /// Time added to each call, in ms.
    pub slow_ms: u64,
    /// Conditions for the failing share and the slow-down.
    pub trigger: Trigger,
    /// Calls are accepted and recorded but never complete: they get status 504 at their deadline, or
    /// no response without a deadline.
    pub hang: bool,
    /// Share of the calls, 0 to 1, whose connection is aborted after they ran, before the response.
    pub cut_share: f64,
    /// Share of the calls, 0 to 1, whose connection is aborted in the middle of the response.
    pub cut_middle_share: f64,
    /// Health that `/health` reports.
    pub health: HealthHint,
    /// Number of calls in flight that `/load` reports; `None` for the true number.
    pub load_in_flight: Option<u32>,
    /// Age of the state that `/health` and `/load` report, in ms.
    pub hint_lag_ms: u64,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            failing_share: 0.0,
            fail_status: 500,
            slow_ms: 0,
            trigger: Trigger::default(),
            hang: false,
            cut_share: 0.0,
            cut_middle_share: 0.0,
            health: HealthHint::Truth,
            load_in_flight: None,
            hint_lag_ms: 0,
            seed: 1,
        }
    }
}

/// Behaviour of a target in the time after its start, before it has warmed up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdStart {
    /// Duration of the cold start in ms.
    pub for_ms: u64,
    /// Time added to each call during the cold start, in ms.
    pub slow_ms: u64,
    /// Whether calls fail with status 500 during the cold start.
    pub failing: bool,
}
