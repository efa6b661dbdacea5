//! Schedule of the deliveries of stored uploads and of the removal of delivered ones. Performs no I/O.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;

use super::upload_settings::UploadSettings;
use crate::types::Millis;

/// Maximum number of rows that one scan reads.
pub const PAGE_ROWS: usize = 64;

/// Consecutive failed deliveries of an upload, and the earliest time of the next delivery.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
    not_before: Millis,
}

/// Running deliveries, and the backoff of uploads whose last delivery failed, by row key. Scans take turns
/// over all rows, so that uploads which cannot be delivered do not delay others.
#[derive(Debug, Default)]
pub struct DeliverySchedule {
    running: BTreeSet<SmolStr>,
    backoffs: BTreeMap<SmolStr, Backoff>,
    /// Last key that was considered; empty before the first row.
    after: SmolStr,
}

impl DeliverySchedule {
    /// Returns the key after which the next scan begins.
    pub fn scan_after(&self) -> &SmolStr {
        &self.after
    }

    /// Chooses the uploads to deliver now among `found_keys`, the row keys that a scan found from
    /// [`DeliverySchedule::scan_after`], in their order. Marks their deliveries as running.
    pub fn start(
        &mut self,
        now: Millis,
        found_keys: &[SmolStr],
        cfg: &UploadSettings,
    ) -> Vec<SmolStr> {
        let page_end = end_of_page(found_keys);
        let after = std::mem::take(&mut self.after);
        self.backoffs.retain(|key, _| {
            let was_scanned = *key > after && page_end.is_none_or(|end| key <= end);
            !was_scanned || found_keys.binary_search(key).is_ok()
        });
        let mut due_keys = Vec::new();
        self.after = page_end.cloned().unwrap_or_default();
        let mut last_considered = after;
        for key in found_keys {
            if self.running.len() >= cfg.max_delivering {
                self.after = last_considered;
                break;
            }
            last_considered = key.clone();
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

/// Rows of delivered uploads, with the time at which this node first saw each. The time of the node that
/// wrote them does not count, because clocks differ.
#[derive(Debug, Default)]
pub struct DeliveredRows {
    first_seen: BTreeMap<SmolStr, Millis>,
    after: SmolStr,
}

impl DeliveredRows {
    /// Returns the key after which the next scan begins.
    pub fn scan_after(&self) -> &SmolStr {
        &self.after
    }

    /// Returns the keys to delete among `found_keys`, which a scan found from
    /// [`DeliveredRows::scan_after`], in their order.
    pub fn expired(
        &mut self,
        now: Millis,
        found_keys: &[SmolStr],
        cfg: &UploadSettings,
    ) -> Vec<SmolStr> {
        let page_end = end_of_page(found_keys);
        let after = std::mem::replace(&mut self.after, page_end.cloned().unwrap_or_default());
        self.first_seen.retain(|key, _| {
            let was_scanned = *key > after && page_end.is_none_or(|end| key <= end);
            !was_scanned || found_keys.binary_search(key).is_ok()
        });
        let is_expired = |key: &&SmolStr| {
            let first_seen = *self.first_seen.entry((*key).clone()).or_insert(now);
            now.since(first_seen).0 >= cfg.delivered_kept_ms
        };
        found_keys.iter().filter(is_expired).cloned().collect()
    }
}

/// Returns the last key of a full page, after which more rows may follow; `None` for the last page.
fn end_of_page(found_keys: &[SmolStr]) -> Option<&SmolStr> {
    found_keys.last().filter(|_| found_keys.len() >= PAGE_ROWS)
}
