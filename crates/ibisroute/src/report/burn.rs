//! Burn rates of the service-level objectives of entries.
//!
//! A burn rate of 1 uses up exactly the error budget that the objective leaves. Calls that failed,
//! were refused, or were slower than the objective count against it; mistakes of callers (4xx) are
//! no failures and do not.

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

/// Time that one slot covers.
pub const SLOT: Millis = Millis(10_000);

/// Slots of the longest window, 6 h.
const SLOTS: u64 = 6 * 3600 / 10;

/// Slots over which latencies are kept, 5 min. Histograms are large, and older latencies say little.
const LATENCY_SLOTS: u64 = 300 / 10;

/// Windows of the burn rates, by their number of slots.
const WINDOWS: [u64; 4] = [30, 180, 360, 2160];

/// Calls and bad calls in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// All calls.
    pub calls: u64,
    /// Calls that count against the objective.
    pub bad: u64,
}

/// Windows of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Windows {
    /// Five minutes.
    #[serde(rename = "5m")]
    pub five_minutes: Window,
    /// Half an hour.
    #[serde(rename = "30m")]
    pub half_hour: Window,
    /// One hour.
    #[serde(rename = "1h")]
    pub hour: Window,
    /// Six hours.
    #[serde(rename = "6h")]
    pub six_hours: Window,
}

/// Alert of a pair of burn rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// Someone must act now: the budget of 30 days would last about two days.
    #[display("page")]
    Page,
    /// Someone must act on a working day.
    #[display("ticket")]
    Ticket,
}

/// Burn of one entry. Counts cover the last six hours, latencies the last five minutes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryBurn {
    /// Entry.
    pub entry: EntryName,
    /// Who answers for it.
    pub owner: SmolStr,
    /// Calls, refused ones included.
    pub calls: u64,
    /// Calls that failed because of the target.
    pub failures: u64,
    /// Calls refused as "not run".
    pub refused: u64,
    /// Calls that were slower than the objective.
    pub slow: u64,
    /// Objective: share of good calls in percent.
    pub success_objective_percent: f64,
    /// Objective: latency of a good call.
    pub latency_objective_ms: u64,
    /// Part of the six-hour error budget that is left; negative when it is overspent.
    pub budget_left_percent: f64,
    /// Burn rate over five minutes.
    pub burn_5m: f64,
    /// Burn rate over an hour.
    pub burn_1h: f64,
    /// Burn rate over half an hour.
    pub burn_30m: f64,
    /// Burn rate over six hours.
    pub burn_6h: f64,
    /// Median latency; `None` without calls.
    pub p50_ms: Option<f64>,
    /// Latency of the slowest hundredth; `None` without calls.
    pub p99_ms: Option<f64>,
    /// The alert that a pair of windows raises.
    pub alert: Option<Alert>,
    /// What the burn rates were computed from, so that reports of nodes can be merged.
    pub windows: Windows,
    /// Calls by latency bucket.
    pub latency_buckets: Vec<u64>,
}

/// Burn of all entries that had calls or are declared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurnReport {
    /// Sorted by name.
    pub entries: Vec<EntryBurn>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    at: u64,
    calls: u32,
    failures: u32,
    refused: u32,
    slow: u32,
}

impl Slot {
    fn bad(&self) -> u64 {
        let bad = u64::from(self.failures) + u64::from(self.refused) + u64::from(self.slow);
        bad.min(u64::from(self.calls))
    }
}

#[derive(Debug, Default)]
struct Ring {
    /// Slots with calls only, oldest first.
    slots: VecDeque<Slot>,
    latencies: VecDeque<(u64, LatencyHistogram)>,
}

impl Ring {
    fn add(&mut self, at: u64, counts: &crate::telemetry::OutcomeCounts, objective: Millis) {
        if self.slots.back().is_none_or(|s| s.at < at) {
            self.slots.push_back(Slot { at, ..Slot::default() });
            self.latencies.push_back((at, LatencyHistogram::default()));
        }
        self.expire(at);
        let narrow = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
        // The histogram has failed calls as well, and does not tell which slow call failed. As many
        // as possible are taken as both, so that no call counts twice.
        let slow = counts.latency.slower_than(objective).saturating_sub(counts.failures);
        if let Some(slot) = self.slots.back_mut() {
            slot.calls = slot.calls.saturating_add(narrow(counts.calls));
            slot.failures = slot.failures.saturating_add(narrow(counts.failures));
            slot.refused = slot.refused.saturating_add(narrow(counts.refused));
            slot.slow = slot.slow.saturating_add(narrow(slow));
        }
        if let Some((_, latency)) = self.latencies.back_mut() {
            latency.add(&counts.latency);
        }
    }

    fn expire(&mut self, at: u64) {
        while self.slots.front().is_some_and(|s| s.at + SLOTS <= at) {
            self.slots.pop_front();
        }
        while self.latencies.front().is_some_and(|(l, _)| l + LATENCY_SLOTS <= at) {
            self.latencies.pop_front();
        }
    }

    fn window(&self, at: u64, slots: u64) -> Window {
        let mut window = Window::default();
        for slot in self.slots.iter().rev().take_while(|s| s.at + slots > at) {
            window.calls += u64::from(slot.calls);
            window.bad += slot.bad();
        }
        window
    }
}

/// Counts the calls of one node.
#[derive(Debug)]
pub struct BurnMeter {
    settings: ReportSettings,
    rings: BTreeMap<EntryName, Ring>,
}

impl BurnMeter {
    /// A meter without counts.
    pub fn new(settings: ReportSettings) -> Self {
        Self { settings, rings: BTreeMap::new() }
    }

    /// Adds counts; those of entries that the catalogue lacks are ignored.
    pub fn add(&mut self, now: Millis, counts: &TrafficCounts, config: &CompiledCatalogue) {
        let at = now.0 / SLOT.0;
        for (name, counts) in &counts.calls {
            let Some(entry) = config.entry(name.as_str()) else { continue };
            if !self.rings.contains_key(name) && self.rings.len() >= self.settings.max_entries {
                continue;
            }
            let ring = self.rings.entry(name.clone()).or_default();
            ring.add(at, counts, entry.objective.latency);
        }
    }

    /// Forgets entries that the catalogue no longer has.
    pub fn retain(&mut self, config: &CompiledCatalogue) {
        self.rings.retain(|name, _| config.entry(name.as_str()).is_some());
    }

    /// The burn of every entry of the catalogue.
    pub fn report(&mut self, now: Millis, config: &CompiledCatalogue) -> BurnReport {
        let at = now.0 / SLOT.0;
        let entries = config.catalogue.entries.iter().map(|entry| {
            let ring = self.rings.entry(entry.name.clone()).or_default();
            ring.expire(at);
            let windows = WINDOWS.map(|slots| ring.window(at, slots));
            let mut latency = LatencyHistogram::default();
            ring.latencies.iter().for_each(|(_, l)| latency.add(l));
            let sum = |of: fn(&Slot) -> u32| ring.slots.iter().map(|s| u64::from(of(s))).sum();
            let burn = EntryBurn {
                entry: entry.name.clone(),
                owner: entry.owner.clone(),
                calls: sum(|s| s.calls),
                failures: sum(|s| s.failures),
                refused: sum(|s| s.refused),
                slow: sum(|s| s.slow),
                success_objective_percent: entry.objective.success.0,
                latency_objective_ms: entry.objective.latency.0,
                budget_left_percent: 0.0,
                burn_5m: 0.0,
                burn_1h: 0.0,
                burn_30m: 0.0,
                burn_6h: 0.0,
                p50_ms: None,
                p99_ms: None,
                alert: None,
                windows: Windows {
                    five_minutes: windows[0],
                    half_hour: windows[1],
                    hour: windows[2],
                    six_hours: windows[3],
                },
                latency_buckets: latency.buckets().to_vec(),
            };
            derive(burn, &self.settings)
        });
        let entries = entries.collect();
        // Rings without calls are made again when needed.
        self.rings.retain(|_, ring| !ring.slots.is_empty());
        BurnReport { entries }
    }
}

/// Merges the reports of several nodes: counts add up, and what follows from them is computed anew.
/// Of two objectives of one entry, from nodes with different versions, the first is kept.
pub fn merge(reports: &[BurnReport], settings: &ReportSettings) -> BurnReport {
    let mut merged: BTreeMap<EntryName, EntryBurn> = BTreeMap::new();
    for burn in reports.iter().flat_map(|r| &r.entries) {
        let Some(known) = merged.get_mut(&burn.entry) else {
            merged.insert(burn.entry.clone(), burn.clone());
            continue;
        };
        known.calls += burn.calls;
        known.failures += burn.failures;
        known.refused += burn.refused;
        known.slow += burn.slow;
        add(&mut known.windows.five_minutes, burn.windows.five_minutes);
        add(&mut known.windows.half_hour, burn.windows.half_hour);
        add(&mut known.windows.hour, burn.windows.hour);
        add(&mut known.windows.six_hours, burn.windows.six_hours);
        let buckets = known.latency_buckets.iter_mut().zip(&burn.latency_buckets);
        buckets.for_each(|(a, b)| *a += b);
    }
    BurnReport { entries: merged.into_values().map(|burn| derive(burn, settings)).collect() }
}

fn add(to: &mut Window, window: Window) {
    to.calls += window.calls;
    to.bad += window.bad;
}

/// Fills the fields that follow from the windows and the histogram.
fn derive(mut burn: EntryBurn, settings: &ReportSettings) -> EntryBurn {
    // An objective of 100% leaves no budget; the floor keeps the rates finite.
    let budget = (1.0 - burn.success_objective_percent / 100.0).max(1e-6);
    let rate = |window: Window| {
        if window.calls == 0 { 0.0 } else { window.bad as f64 / window.calls as f64 / budget }
    };
    let windows = burn.windows;
    burn.burn_5m = rate(windows.five_minutes);
    burn.burn_30m = rate(windows.half_hour);
    burn.burn_1h = rate(windows.hour);
    burn.burn_6h = rate(windows.six_hours);
    burn.budget_left_percent = 100.0 * (1.0 - burn.burn_6h);
    burn.alert = if burn.burn_5m > settings.fast_burn && burn.burn_1h > settings.fast_burn {
        Some(Alert::Page)
    } else if burn.burn_30m > settings.slow_burn && burn.burn_6h > settings.slow_burn {
        Some(Alert::Ticket)
    } else {
        None
    };
    let latency = LatencyHistogram::from_buckets(burn.latency_buckets.clone()).unwrap_or_default();
    burn.p50_ms = latency.quantile_micros(0.5).map(|micros| micros / 1000.0);
    burn.p99_ms = latency.quantile_micros(0.99).map(|micros| micros / 1000.0);
    burn
}
