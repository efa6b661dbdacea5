//! Merges the burn reports of many nodes.

use std::collections::BTreeMap;

use super::admin_model::Alert;
use super::admin_model::BurnEntry;
use super::admin_model::BurnReport;
use super::admin_model::WindowCounts;
use crate::telemetry::LatencyHistogram;
use crate::types::EntryName;

/// Burn over 5 minutes and 1 hour that uses 2% of a 30-day budget in 1 hour.
const PAGE_BURN: f64 = 14.4;
/// Burn over 30 minutes and 6 hours that uses 5% of a 30-day budget in 6 hours.
const TICKET_BURN: f64 = 6.0;

/// Adds up the reports. Rates, quantiles and alerts are computed from the summed counts, because
/// those of single nodes cannot be averaged.
pub fn merge(reports: &[BurnReport]) -> BurnReport {
    let mut merged: BTreeMap<EntryName, BurnEntry> = BTreeMap::new();
    for entry in reports.iter().flat_map(|r| &r.entries) {
        match merged.get_mut(&entry.entry) {
            Some(sum) => add(sum, entry),
            None => drop(merged.insert(entry.entry.clone(), entry.clone())),
        }
    }
    let mut entries: Vec<BurnEntry> = merged.into_values().collect();
    entries.iter_mut().for_each(derive);
    BurnReport { entries }
}

fn add(sum: &mut BurnEntry, entry: &BurnEntry) {
    sum.calls += entry.calls;
    sum.failures += entry.failures;
    sum.refused += entry.refused;
    sum.slow += entry.slow;
    for (window, counts) in &entry.windows {
        let of_window = sum.windows.entry(window.clone()).or_default();
        of_window.calls += counts.calls;
        of_window.bad += counts.bad;
    }
    if sum.latency_buckets.len() < entry.latency_buckets.len() {
        sum.latency_buckets.resize(entry.latency_buckets.len(), 0);
    }
    sum.latency_buckets.iter_mut().zip(&entry.latency_buckets).for_each(|(a, b)| *a += b);
}

/// Computes rates, budget, quantiles and alert from the counts of the entry.
pub fn derive(entry: &mut BurnEntry) {
    let allowed = 1.0 - entry.success_objective_percent.fraction();
    let burn = |window: &str| {
        let counts = entry.windows.get(window).copied().unwrap_or_default();
        burn_rate(counts, allowed)
    };
    let (burn_5m, burn_30m, burn_1h, burn_6h) = (burn("5m"), burn("30m"), burn("1h"), burn("6h"));
    let all = WindowCounts { calls: entry.calls, bad: entry.failures + entry.slow };
    entry.budget_left_percent = (100.0 * (1.0 - burn_rate(all, allowed))).max(0.0);
    let latency = LatencyHistogram::from_buckets(entry.latency_buckets.clone());
    let quantile = |q| latency.as_ref().and_then(|h| h.quantile_micros(q)).map(|us| us / 1000.0);
    (entry.p50_ms, entry.p99_ms) = (quantile(0.5), quantile(0.99));
    entry.alert = if burn_5m > PAGE_BURN && burn_1h > PAGE_BURN {
        Some(Alert::Page)
    } else if burn_30m > TICKET_BURN && burn_6h > TICKET_BURN {
        Some(Alert::Ticket)
    } else {
        None
    };
    (entry.burn_5m, entry.burn_30m) = (burn_5m, burn_30m);
    (entry.burn_1h, entry.burn_6h) = (burn_1h, burn_6h);
}

fn burn_rate(counts: WindowCounts, allowed: f64) -> f64 {
    if counts.calls == 0 || allowed <= 0.0 {
        return 0.0;
    }
    counts.bad as f64 / counts.calls as f64 / allowed
}
