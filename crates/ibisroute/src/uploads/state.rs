//! Schedule of the deliveries of stored uploads. Performs no I/O.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;

use super::upload_settings::UploadSettings;
use crate::types::Millis;

/// Consecutive failed deliveries of an upload, and the earliest time of the next delivery.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
    not_before: Millis,
}

/// Running deliveries, and the backoff of uploads whose last delivery failed, by row key.
#[derive(Debug, Default)]
pub struct DeliverySchedule {
    running: BTreeSet<SmolStr>,
    backoffs: BTreeMap<SmolStr, Backoff>,
}

impl DeliverySchedule {
    /// Chooses the uploads to deliver now, in the order of `found_keys`, the row keys that a scan
    /// found. Marks their deliveries as running.
    pub fn start(
        &mut self,
        now: Millis,
        found_keys: &[SmolStr],
        cfg: &UploadSettings,
    ) -> Vec<SmolStr> {
        let found_key_set: BTreeSet<&SmolStr> = found_keys.iter().collect();
        self.backoffs.retain(|key, _| found_key_set.contains(key));
        let mut due_keys = Vec::new();
        for key in found_keys {
            if self.running.len() >= cfg.max_delivering {
                break;
            }
            let is_due = self.backoffs.get(key).is_none_or(|b| b.not_before <= now);
            if is_due && self.running.insert(key.clone()) {
                due_keys.push(key.clone());
            }
        }
        due_keys
    }

    /// Records the end of a delivery. A failed delivery is retried after a pause that doubles with
    /// each failure, up to a limit.
    pub fn finish(&mut self, now: Millis, key: &SmolStr, delivered: bool, cfg: &UploadSettings) {
        self.running.remove(key);
        if delivered {
            self.backoffs.remove(key);
            return;
        }
        let backoff = self.backoffs.entry(key.clone()).or_default();
        let backoff_factor = 1u64 << backoff.failures.min(16);
        let pause_ms =
            cfg.retry_pause_ms.saturating_mul(backoff_factor).min(cfg.max_retry_pause_ms);
        backoff.failures += 1;
        backoff.not_before = Millis(now.0 + pause_ms);
    }
}
