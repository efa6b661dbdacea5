//! Settable faults of a target stand-in.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// When a failing share or a slow-down is in force; all conditions must hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Trigger {
    /// Time since the faults were set, in ms.
    pub after_ms: u64,
    /// Calls in flight, the present one included, must be above this number.
    pub above_in_flight: Option<u32>,
    /// The path must start with this prefix.
    pub path_prefix: Option<String>,
}

impl Trigger {
    /// Whether the trigger holds for a call.
    pub fn holds(&self, since: Duration, in_flight: u32, path: &str) -> bool {
        since >= Duration::from_millis(self.after_ms)
            && self.above_in_flight.is_none_or(|limit| in_flight > limit)
            && self.path_prefix.as_ref().is_none_or(|prefix| path.starts_with(prefix.as_str()))
    }
}

/// What `/health` says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthHint {
    /// Good unless the target drains, hangs or is in a failing cold start.
    #[default]
    Truth,
    /// Always good.
    AlwaysGood,
    /// Always bad.
    AlwaysBad,
}

/// The faults in force. A field that is absent from the JSON has its default value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// Share of the calls, 0 to 1, that fail after they ran.
    pub failing_share: f64,
    /// Status of failing calls.
    pub fail_status: u16,
    /// Time added to each call, in ms.
    pub slow_ms: u64,
    /// When the failing share and the slow-down are in force.
    pub trigger: Trigger,
    /// Calls are accepted and recorded, and never answered.
    pub hang: bool,
    /// Share of the calls, 0 to 1, whose connection is dropped after they ran.
    pub cut_share: f64,
    /// Share of the calls, 0 to 1, whose connection is dropped in the middle of the answer.
    pub cut_middle_share: f64,
    /// What `/health` says.
    pub health: HealthHint,
    /// `/load` reports this number in flight instead of the true one.
    pub load_in_flight: Option<u32>,
    /// `/health` and `/load` report what was true this long ago, in ms.
    pub hint_lag_ms: u64,
    /// Seed of the shares.
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

/// Behaviour of the first time after the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdStart {
    /// Length of the cold start in ms.
    pub for_ms: u64,
    /// Time added to each call meanwhile, in ms.
    pub slow_ms: u64,
    /// Whether calls fail with 500 meanwhile.
    pub failing: bool,
}
