//! Settings of the catalogue store.

use serde::Deserialize;
use serde::Serialize;

/// Settings of [`CatalogueStore`](super::store::CatalogueStore).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreSettings {
    /// Time during which an operation retries failed requests, in milliseconds. A request sent
    /// within this time still has its own full timeout.
    pub retry_for_ms: u64,
    /// Upper bound of the first pause between retries, in milliseconds; it doubles with each retry.
    pub first_pause_ms: u64,
    /// Upper bound of any pause between retries, in milliseconds.
    pub max_pause_ms: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self { retry_for_ms: 10_000, first_pause_ms: 50, max_pause_ms: 1_000 }
    }
}
