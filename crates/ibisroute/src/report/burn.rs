//! Burn rates of the service-level objectives of entries.
//!
//! The error budget is the share of calls that may miss the objective. The burn rate is the share
//! of calls that did miss it, divided by the error budget: at a burn rate of 1 the budget is used
//! up exactly. Calls miss the objective when they failed, were refused, or were slower than its
//! latency; client errors (4xx) do not.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::report::report_settings::ReportSettings;
use crate::snapshot::CompiledCatalogue;
use crate::telemetry::LatencyHistogram;
use crate::telemetry::TrafficCounts;
use crate::types::EntryName;
use crate::types::Millis;

/// Length of a time slot; the counts received within a time slot are added up.
pub const TIME_SLOT_DURATION: Millis = Millis(10_000);

/// Number of time slots in the longest window, 6 h.
const MAX_TIME_SLOTS: u64 = 6 * 3600 / 10;

/// Number of time slots for which latency histograms are kept, 5 min. Histograms are large, and
/// older latencies are of little use.
const MAX_LATENCY_TIME_SLOTS: u64 = 300 / 10;

/// Lengths of the burn rate windows in time slots: 5 min, 30 min, 1 h and 6 h.
const WINDOW_TIME_SLOTS: [u64; 4] = [30, 180, 360, 2160];

/// Counts of calls in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallCounts {
    /// All calls, refused ones included.
    pub calls: u64,
    /// Calls that failed, were refused, or were slower than the objective.
    pub bad: u64,
}

/// Counts of an entry in each window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CountsByWindow {
    #[serde(rename = "5m")]
    pub five_minutes: CallCounts,
    #[serde(rename = "30m")]
    pub half_hour: CallCounts,
    #[serde(rename = "1h")]
    pub hour: CallCounts,
    #[serde(rename = "6h")]
    pub six_hours: CallCounts,
}

/// Alert for a burn rate that exceeds a threshold in both a short and a long window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BurnAlert {
    /// Requires action now: the error budget of 30 days would last about two days.
    #[display("page")]
    Page,
    /// Requires action on a working day.
    #[display("ticket")]
    Ticket,
}

/// Error budget consumption of one entry. Counts cover the last six hours, latencies the last five
/// minutes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryBurn {
    pub entry: EntryName,
    /// Contact responsible for the entry.
    pub owner: SmolStr,
    /// Calls, refused ones included.
    pub calls: u64,
    /// Calls that failed because of the target.
    pub failures: u64,
    /// Calls refused as "not run".
    pub refused: u64,
    /// Calls slower than the objective, minus the failed calls, which are all assumed to be among
    /// them.
    pub slow: u64,
    /// Percentage of calls that the objective requires to succeed in time.
    pub success_objective_percent: f64,
    /// Highest latency of a call that meets the objective, in milliseconds.
    pub latency_objective_ms: u64,
    /// Percentage of the six-hour error budget that remains; negative when it is overspent.
    pub budget_left_percent: f64,
    pub burn_5m: f64,
    pub burn_1h: f64,
    pub burn_30m: f64,
    pub burn_6h: f64,
    /// Median latency; `None` without calls.
    pub p50_ms: Option<f64>,
    /// 99th percentile of the latency; `None` without calls.
    pub p99_ms: Option<f64>,
    /// The more urgent of the active alerts; `None` when no alert is active.
    pub alert: Option<BurnAlert>,
    /// Counts that the burn rates are computed from, so that reports of several nodes can be
    /// merged.
    pub windows: CountsByWindow,
    /// Number of calls in each bucket of [`LatencyHistogram`].
    pub latency_buckets: Vec<u64>,
}

/// Error budget consumption of the declared entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurnReport {
    /// Entries, sorted by name.
    pub entries: Vec<EntryBurn>,
}

/// Counts of one entry in one time slot.
#[derive(Clone, Copy, Debug, Default)]
struct TimeSlot {
    /// Index of the time slot, counted from the start of the clock.
    slot_index: u64,
    calls: u32,
    failures: u32,
    refused: u32,
    slow: u32,
}

impl TimeSlot {
    /// Returns the number of calls that missed the objective.
    fn missed_objective_count(&self) -> u64 {
        let bad = u64::from(self.failures) + u64::from(self.refused) + u64::from(self.slow);
        bad.min(u64::from(self.calls))
    }
}

/// Counts of one entry over the last six hours.
#[derive(Debug, Default)]
struct EntryCallHistory {
    /// Time slots in which calls were counted, oldest first; those without calls are left out.
    time_slots: VecDeque<TimeSlot>,
    /// Histograms with the indexes of their time slots, oldest first.
    latency_histograms: VecDeque<(u64, LatencyHistogram)>,
}

impl EntryCallHistory {
    fn add_counts(
        &mut self,
        slot_index: u64,
        counts: &crate::telemetry::OutcomeCounts,
        objective: Millis,
    ) {
        if self.time_slots.back().is_none_or(|s| s.slot_index < slot_index) {
            self.time_slots.push_back(TimeSlot { slot_index, ..TimeSlot::default() });
            self.latency_histograms.push_back((slot_index, LatencyHistogram::default()));
        }
        self.expire(slot_index);
        let saturate_to_u32 = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
        // The histogram includes failed calls, but does not show which of the slow calls failed.
        // All failed calls are assumed to be slow, so that no call counts twice.
        let slow = counts.latency.count_slower_than(objective).saturating_sub(counts.failures);
        if let Some(slot) = self.time_slots.back_mut() {
            slot.calls = slot.calls.saturating_add(saturate_to_u32(counts.calls));
            slot.failures = slot.failures.saturating_add(saturate_to_u32(counts.failures));
            slot.refused = slot.refused.saturating_add(saturate_to_u32(counts.refused));
            slot.slow = slot.slow.saturating_add(saturate_to_u32(slow));
        }
        if let Some((_, latency)) = self.latency_histograms.back_mut() {
            latency.add(&counts.latency);
        }
    }

    /// Drops the time slots and histograms whose retention has ended at time slot `slot_index`.
    fn expire(&mut self, slot_index: u64) {
        while self.time_slots.front().is_some_and(|s| s.slot_index + MAX_TIME_SLOTS <= slot_index) {
            self.time_slots.pop_front();
        }
        while self
            .latency_histograms
            .front()
            .is_some_and(|(slot, _)| slot + MAX_LATENCY_TIME_SLOTS <= slot_index)
        {
            self.latency_histograms.pop_front();
        }
    }

    /// Adds up the last `slot_count` time slots up to time slot `slot_index`.
    fn window_counts(&self, slot_index: u64, slot_count: u64) -> CallCounts {
        let mut counts = CallCounts::default();
        for slot in
            self.time_slots.iter().rev().take_while(|s| s.slot_index + slot_count > slot_index)
        {
            counts.calls += u64::from(slot.calls);
            counts.bad += slot.missed_objective_count();
        }
        counts
    }
}

/// Tracks the calls of one node by entry.
#[derive(Debug)]
pub struct BurnMeter {
    settings: ReportSettings,
    histories: BTreeMap<EntryName, EntryCallHistory>,
}

impl BurnMeter {
    /// Creates a meter without counts.
    pub fn new(settings: ReportSettings) -> Self {
        Self { settings, histories: BTreeMap::new() }
    }

    /// Adds counts. Ignores those of entries that are not in the catalogue, and of further entries
    /// when `max_entries` are tracked already.
    pub fn add(&mut self, now: Millis, counts: &TrafficCounts, config: &CompiledCatalogue) {
        let slot_index = now.0 / TIME_SLOT_DURATION.0;
        for (name, counts) in &counts.calls {
            let Some(entry) = config.entry(name.as_str()) else { continue };
            if !self.histories.contains_key(name)
                && self.histories.len() >= self.settings.max_entries
            {
                continue;
            }
            let history = self.histories.entry(name.clone()).or_default();
            history.add_counts(slot_index, counts, entry.objective.latency);
        }
    }

    /// Drops the counts of entries that are no longer in the catalogue.
    pub fn retain_declared_entries(&mut self, config: &CompiledCatalogue) {
        self.histories.retain(|name, _| config.entry(name.as_str()).is_some());
    }

    /// Returns the report for all entries of the catalogue.
    pub fn report(&mut self, now: Millis, config: &CompiledCatalogue) -> BurnReport {
        let slot_index = now.0 / TIME_SLOT_DURATION.0;
        let entries = config.catalogue.entries.iter().map(|entry| {
            let history = self.histories.entry(entry.name.clone()).or_default();
            history.expire(slot_index);
            let windows =
                WINDOW_TIME_SLOTS.map(|slot_count| history.window_counts(slot_index, slot_count));
            let mut latency = LatencyHistogram::default();
            history.latency_histograms.iter().for_each(|(_, slot)| latency.add(slot));
            let sum_over_slots = |field: fn(&TimeSlot) -> u32| {
                history.time_slots.iter().map(|s| u64::from(field(s))).sum()
            };
            let burn = EntryBurn {
                entry: entry.name.clone(),
                owner: entry.owner.clone(),
                calls: sum_over_slots(|s| s.calls),
                failures: sum_over_slots(|s| s.failures),
                refused: sum_over_slots(|s| s.refused),
                slow: sum_over_slots(|s| s.slow),
                success_objective_percent: entry.objective.min_success.0,
                latency_objective_ms: entry.objective.latency.0,
                budget_left_percent: 0.0,
                burn_5m: 0.0,
                burn_1h: 0.0,
                burn_30m: 0.0,
                burn_6h: 0.0,
                p50_ms: None,
                p99_ms: None,
                alert: None,
                windows: CountsByWindow {
                    five_minutes: windows[0],
                    half_hour: windows[1],
                    hour: windows[2],
                    six_hours: windows[3],
                },
                latency_buckets: latency.buckets().to_vec(),
            };
            compute_derived_fields(burn, &self.settings)
        });
        let entries = entries.collect();
        // Drops the histories without calls, among them those that the loop above has created.
        self.histories.retain(|_, history| !history.time_slots.is_empty());
        BurnReport { entries }
    }
}

/// Merges the reports of several nodes: adds up the counts, and computes the derived fields anew.
/// When nodes with different configuration versions report different objectives of an entry, the
/// objective in the first of the reports is kept.
pub fn merge_reports(reports: &[BurnReport], settings: &ReportSettings) -> BurnReport {
    let mut merged_entries: BTreeMap<EntryName, EntryBurn> = BTreeMap::new();
    for burn in reports.iter().flat_map(|r| &r.entries) {
        let Some(total) = merged_entries.get_mut(&burn.entry) else {
            merged_entries.insert(burn.entry.clone(), burn.clone());
            continue;
        };
        total.calls += burn.calls;
        total.failures += burn.failures;
        total.refused += burn.refused;
        total.slow += burn.slow;
        add_call_counts(&mut total.windows.five_minutes, burn.windows.five_minutes);
        add_call_counts(&mut total.windows.half_hour, burn.windows.half_hour);
        add_call_counts(&mut total.windows.hour, burn.windows.hour);
        add_call_counts(&mut total.windows.six_hours, burn.windows.six_hours);
        let buckets = total.latency_buckets.iter_mut().zip(&burn.latency_buckets);
        buckets.for_each(|(sum, count)| *sum += count);
    }
    BurnReport {
        entries: merged_entries
            .into_values()
            .map(|burn| compute_derived_fields(burn, settings))
            .collect(),
    }
}

fn add_call_counts(total: &mut CallCounts, added: CallCounts) {
    total.calls += added.calls;
    total.bad += added.bad;
}

/// Computes the fields that are derived from the windows and the histogram.
fn compute_derived_fields(mut burn: EntryBurn, settings: &ReportSettings) -> EntryBurn {
    // An objective of 100% leaves no budget. The lower bound keeps the burn rates finite.
    let error_budget = (1.0 - burn.success_objective_percent / 100.0).max(1e-6);
    let burn_rate = |window: CallCounts| {
        if window.calls == 0 { 0.0 } else { window.bad as f64 / window.calls as f64 / error_budget }
    };
    let windows = burn.windows;
    burn.burn_5m = burn_rate(windows.five_minutes);
    burn.burn_30m = burn_rate(windows.half_hour);
    burn.burn_1h = burn_rate(windows.hour);
    burn.burn_6h = burn_rate(windows.six_hours);
    burn.budget_left_percent = 100.0 * (1.0 - burn.burn_6h);
    burn.alert = if burn.burn_5m > settings.fast_burn && burn.burn_1h > settings.fast_burn {
        Some(BurnAlert::Page)
    } else if burn.burn_30m > settings.slow_burn && burn.burn_6h > settings.slow_burn {
        Some(BurnAlert::Ticket)
    } else {
        None
    };
    let latency = LatencyHistogram::from_buckets(burn.latency_buckets.clone()).unwrap_or_default();
    burn.p50_ms = latency.quantile_micros(0.5).map(|micros| micros / 1000.0);
    burn.p99_ms = latency.quantile_micros(0.99).map(|micros| micros / 1000.0);
    burn
}
