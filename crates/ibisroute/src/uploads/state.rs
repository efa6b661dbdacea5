//! Which stored upload is delivered when. Pure.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;

use super::upload_settings::UploadSettings;
use crate::types::Millis;

#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
    not_before: Millis,
}

/// Delivery state of the node that delivers stored uploads.
#[derive(Debug, Default)]
pub struct Deliveries {
    running: BTreeSet<SmolStr>,
    backoff: BTreeMap<SmolStr, Backoff>,
}

impl Deliveries {
    /// Chooses among the rows found, in key order, which to deliver now, and notes them as running.
    pub fn start(&mut self, now: Millis, found: &[SmolStr], cfg: &UploadSettings) -> Vec<SmolStr> {
        let found_set: BTreeSet<&SmolStr> = found.iter().collect();
        self.backoff.retain(|key, _| found_set.contains(key));
        let mut chosen = Vec::new();
        for key in found {
            if self.running.len() >= cfg.max_delivering {
                break;
            }
            let due = self.backoff.get(key).is_none_or(|b| b.not_before <= now);
            if due && self.running.insert(key.clone()) {
                chosen.push(key.clone());
            }
        }
        chosen
    }

    /// Notes the end of a delivery; a failed one waits before it is tried again.
    pub fn finish(&mut self, now: Millis, key: &SmolStr, delivered: bool, cfg: &UploadSettings) {
        self.running.remove(key);
        if delivered {
            self.backoff.remove(key);
            return;
        }
        let backoff = self.backoff.entry(key.clone()).or_default();
        let factor = 1u64 << backoff.failures.min(16);
        let pause = cfg.retry_pause_ms.saturating_mul(factor).min(cfg.max_retry_pause_ms);
        backoff.failures += 1;
        backoff.not_before = Millis(now.0 + pause);
    }
}
