//! Settings of the burn report.

use serde::Deserialize;
use serde::Serialize;

/// Settings of the burn report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReportSettings {
    /// Burn rate that alerts when the 5-minute and the 1-hour window both exceed it.
    pub fast_burn: f64,
    /// Burn rate that alerts when the 30-minute and the 6-hour window both exceed it.
    pub slow_burn: f64,
    /// Entries that are counted; further ones are ignored, so that memory is bounded.
    pub max_entries: usize,
}

impl Default for ReportSettings {
    fn default() -> Self {
        Self { fast_burn: 14.4, slow_burn: 6.0, max_entries: 1_000 }
    }
}
