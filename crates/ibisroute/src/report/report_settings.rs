//! Settings of the burn report.

use serde::Deserialize;
use serde::Serialize;

/// Section `report` of the node settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReportSettings {
    /// Burn rate above which the 5-minute and the 1-hour window together raise
    /// [`BurnAlert::Page`](super::burn::BurnAlert::Page).
    pub fast_burn: f64,
    /// Burn rate above which the 30-minute and the 6-hour window together raise
    /// [`BurnAlert::Ticket`](super::burn::BurnAlert::Ticket).
    pub slow_burn: f64,
    /// Largest number of entries that are counted, which bounds the memory; further ones are
    /// ignored.
    pub max_entries: usize,
}

impl Default for ReportSettings {
    fn default() -> Self {
        Self { fast_burn: 14.4, slow_burn: 6.0, max_entries: 1_000 }
    }
}
