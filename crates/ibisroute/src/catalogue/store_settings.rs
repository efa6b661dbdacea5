//! Settings of the catalogue store.

use serde::Deserialize;
use serde::Serialize;

/// Settings of [`Store`](super::store::Store).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreSettings {
    /// Longest time that an operation repeats failed requests, in milliseconds. A request that was
    /// sent before still gets its own timeout.
    pub retry_for_ms: u64,
    /// Upper bound of the first pause, in milliseconds; each further bound doubles.
    pub first_pause_ms: u64,
    /// Upper bound of any pause, in milliseconds.
    pub max_pause_ms: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self { retry_for_ms: 10_000, first_pause_ms: 50, max_pause_ms: 1_000 }
    }
}
