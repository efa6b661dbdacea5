//! Guards against burn rates that alert on a short spike, miss a lasting one, count client errors,
//! or change when the reports of nodes are merged.

use std::sync::Arc;

use ibisroute::catalogue::model::Catalogue;
use ibisroute::catalogue::model::Class;
use ibisroute::catalogue::model::Entry;
use ibisroute::catalogue::model::Limits;
use ibisroute::catalogue::model::Objective;
use ibisroute::report::burn::Alert;
use ibisroute::report::burn::BurnMeter;
use ibisroute::report::burn::EntryBurn;
use ibisroute::report::burn::merge;
use ibisroute::report::render;
use ibisroute::report::report_settings::ReportSettings;
use ibisroute::snapshot::CompiledCatalogue;
use ibisroute::telemetry::TrafficCounts;
use ibisroute::types::ByteSize;
use ibisroute::types::Head;
use ibisroute::types::Millis;
use ibisroute::types::Percent;
use ibisroute::types::RatePerSecond;

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(s: &str) -> T {
    s.parse().expect("valid name")
}

fn catalogue() -> CompiledCatalogue {
    let entry = Entry {
        name: name("search"),
        owner: "desk".into(),
        class: Class::CounterQuery,
        service: name("counter"),
        path: "/search".into(),
        methods: vec!["GET".into()],
        idempotency_header: None,
        limits: Limits {
            rate: RatePerSecond(2000.0),
            concurrency: 64,
            deadline: Millis(2000),
            retry: Percent(10.0),
            max_body: ByteSize(65536),
        },
        objective: Objective { success: Percent(99.0), latency: Millis(250) },
    };
    let catalogue = Catalogue {
        name: "test".into(),
        services: Vec::new(),
        entries: vec![entry],
        moves: Vec::new(),
    };
    CompiledCatalogue::new(Head::default(), catalogue, Arc::from(Vec::new()))
}

/// Counts of `calls` calls, of which some failed, were refused, or were slow.
fn counts(calls: u64, failures: u64, refused: u64, slow: u64) -> TrafficCounts {
    let mut counts = TrafficCounts::default();
    let outcomes = counts.calls.entry(name("search")).or_default();
    (outcomes.calls, outcomes.failures, outcomes.refused) = (calls, failures, refused);
    for i in 0..calls - refused {
        outcomes.latency.record(if i < slow { 900_000 } else { 20_000 });
    }
    counts
}

/// Adds the same counts every 10 s from `from` to `to` minutes.
fn fill(meter: &mut BurnMeter, from: u64, to: u64, counts: &TrafficCounts) {
    for slot in from * 6..to * 6 {
        meter.add(Millis(slot * 10_000), counts, &catalogue());
    }
}

fn burn_at(meter: &mut BurnMeter, minute: u64) -> EntryBurn {
    meter.report(Millis(minute * 60_000 - 1), &catalogue()).entries.remove(0)
}

#[test]
fn short_spike_does_not_alert() {
    let mut meter = BurnMeter::new(ReportSettings::default());
    fill(&mut meter, 0, 60, &counts(100, 0, 0, 0));
    fill(&mut meter, 60, 65, &counts(100, 30, 0, 0));
    let burn = burn_at(&mut meter, 65);
    assert!(burn.burn_5m > 14.4 && burn.burn_1h < 14.4, "{burn:?}");
    assert_eq!(burn.alert, None, "{burn:?}");
}

#[test]
fn lasting_burn_alerts_on_both_pairs() {
    let mut fast = BurnMeter::new(ReportSettings::default());
    fill(&mut fast, 0, 60, &counts(100, 16, 0, 0));
    assert_eq!(burn_at(&mut fast, 60).alert, Some(Alert::Page));
    let mut slow = BurnMeter::new(ReportSettings::default());
    fill(&mut slow, 0, 360, &counts(100, 7, 0, 0));
    let burn = burn_at(&mut slow, 360);
    assert!(burn.burn_5m < 14.4, "{burn:?}");
    assert_eq!(burn.alert, Some(Alert::Ticket), "{burn:?}");
}

#[test]
fn refusals_and_slow_calls_count_but_each_call_once() {
    let mut meter = BurnMeter::new(ReportSettings::default());
    // Three slow calls, of which one failed.
    fill(&mut meter, 0, 5, &counts(100, 1, 2, 3));
    let burn = burn_at(&mut meter, 5);
    assert_eq!((burn.calls, burn.failures, burn.refused, burn.slow), (3000, 30, 60, 60));
    assert_eq!(burn.windows.five_minutes.bad, 150);
    assert!((burn.burn_5m - 5.0).abs() < 1e-9, "{burn:?}");
    assert!((burn.budget_left_percent + 400.0).abs() < 1e-9, "{burn:?}");
}

#[test]
fn calls_without_failures_leave_the_budget() {
    // Client errors (4xx) are counted as calls without failure.
    let mut meter = BurnMeter::new(ReportSettings::default());
    fill(&mut meter, 0, 5, &counts(100, 0, 0, 0));
    let burn = burn_at(&mut meter, 5);
    assert_eq!((burn.budget_left_percent, burn.alert), (100.0, None));
}

#[test]
fn old_counts_leave_the_windows() {
    let mut meter = BurnMeter::new(ReportSettings::default());
    fill(&mut meter, 0, 10, &counts(100, 50, 0, 0));
    let burn = burn_at(&mut meter, 371);
    assert_eq!((burn.calls, burn.windows.six_hours.calls, burn.p99_ms), (0, 0, None));
}

#[test]
fn merged_reports_equal_the_report_of_all_calls() {
    let settings = ReportSettings::default();
    let (mut a, mut b, mut all) = (
        BurnMeter::new(settings.clone()),
        BurnMeter::new(settings.clone()),
        BurnMeter::new(settings.clone()),
    );
    let node_counts = [counts(100, 3, 1, 5), counts(40, 20, 0, 30)];
    // The common meter receives the counts of both nodes in chronological order.
    for minute in 0..30 {
        fill(&mut a, minute, minute + 1, &node_counts[0]);
        fill(&mut b, minute, minute + 1, &node_counts[1]);
        for slot in minute * 6..(minute + 1) * 6 {
            node_counts
                .iter()
                .for_each(|counts| all.add(Millis(slot * 10_000), counts, &catalogue()));
        }
    }
    let now = Millis(30 * 60_000 - 1);
    let merged = merge(&[a.report(now, &catalogue()), b.report(now, &catalogue())], &settings);
    assert_eq!(merged, all.report(now, &catalogue()));
}

#[test]
fn report_has_the_documented_fields_and_a_table() {
    let mut meter = BurnMeter::new(ReportSettings::default());
    fill(&mut meter, 0, 60, &counts(100, 16, 0, 0));
    let report = meter.report(Millis(60 * 60_000 - 1), &catalogue());
    let json = render::json(&report);
    let entry = json["entries"][0].as_object().expect("object");
    for field in [
        "entry",
        "owner",
        "calls",
        "failures",
        "refused",
        "slow",
        "success_objective_percent",
        "latency_objective_ms",
        "budget_left_percent",
        "burn_5m",
        "burn_1h",
        "burn_30m",
        "burn_6h",
        "p50_ms",
        "p99_ms",
        "alert",
        "windows",
        "latency_buckets",
    ] {
        assert!(entry.contains_key(field), "{field} is missing");
    }
    assert!(["5m", "30m", "1h", "6h"].iter().all(|w| entry["windows"][w]["calls"].is_u64()));
    let table = render::table(&report);
    assert!(table.starts_with("ENTRY") && table.lines().count() == 2, "{table}");
    assert!(table.lines().nth(1).is_some_and(|l| l.ends_with("page")), "{table}");
}
