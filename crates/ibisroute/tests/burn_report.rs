//! Guards against burn rates that raise an alert for a short spike, raise none for a lasting burn,
//! count client errors as failures, or change when the reports of nodes are merged.

use std::sync::Arc;

use ibisroute::catalogue::model::Catalogue;
use ibisroute::catalogue::model::Class;
use ibisroute::catalogue::model::Entry;
use ibisroute::catalogue::model::Limits;
use ibisroute::catalogue::model::Objective;
use ibisroute::report::burn::BurnAlert;
use ibisroute::report::burn::BurnMeter;
use ibisroute::report::burn::EntryBurn;
use ibisroute::report::burn::merge_reports;
use ibisroute::report::render;
use ibisroute::report::report_settings::ReportSettings;
use ibisroute::snapshot::CompiledCatalogue;
use ibisroute::telemetry::TrafficCounts;
use ibisroute::types::ByteSize;
use ibisroute::types::Head;
use ibisroute::types::Millis;
use ibisroute::types::Percent;
use ibisroute::types::RatePerSecond;

fn parse_name<T: std::str::FromStr<Err: std::fmt::Debug>>(s: &str) -> T {
    s.parse().expect("valid name")
}

fn catalogue() -> CompiledCatalogue {
    let entry = Entry {
        name: parse_name("search"),
        owner: "desk".into(),
        class: Class::CounterQuery,
        service: parse_name("counter"),
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
        objective: Objective { min_success: Percent(99.0), latency: Millis(250) },
    };
    let catalogue = Catalogue {
        name: "test".into(),
        services: Vec::new(),
        entries: vec![entry],
        moves: Vec::new(),
    };
    CompiledCatalogue::new(Head::default(), catalogue, Arc::from(Vec::new()))
}

/// Returns the counts of `calls` calls; `failures`, `refused` and `slow` are the numbers of calls
/// among them that failed, were refused, or took 900 ms instead of 20 ms.
fn counts(calls: u64, failures: u64, refused: u64, slow: u64) -> TrafficCounts {
    let mut counts = TrafficCounts::default();
    let entry_counts = counts.calls.entry(parse_name("search")).or_default();
    (entry_counts.calls, entry_counts.failures, entry_counts.refused) = (calls, failures, refused);
    for i in 0..calls - refused {
        entry_counts.latency.record(if i < slow { 900_000 } else { 20_000 });
    }
    counts
}

/// Adds the same counts every 10 s from minute `from_minute` up to minute `to_minute`.
fn add_counts_every_10_s(
    meter: &mut BurnMeter,
    from_minute: u64,
    to_minute: u64,
    counts: &TrafficCounts,
) {
    for tick in from_minute * 6..to_minute * 6 {
        meter.add(Millis(tick * 10_000), counts, &catalogue());
    }
}

/// Returns the burn rates of the only entry, reported 1 ms before the given minute begins.
fn burn_at_minute(meter: &mut BurnMeter, minute: u64) -> EntryBurn {
    meter.report(Millis(minute * 60_000 - 1), &catalogue()).entries.remove(0)
}

/// Guards against an alert for failures that exceed the threshold only in the 5-minute window.
#[test]
fn short_spike_does_not_alert() {
    let mut meter = BurnMeter::new(ReportSettings::default());
    add_counts_every_10_s(&mut meter, 0, 60, &counts(100, 0, 0, 0));
    add_counts_every_10_s(&mut meter, 60, 65, &counts(100, 30, 0, 0));
    let burn = burn_at_minute(&mut meter, 65);
    assert!(burn.burn_5m > 14.4 && burn.burn_1h < 14.4, "{burn:?}");
    assert_eq!(burn.alert, None, "{burn:?}");
}

/// Guards against a lasting burn without an alert: a fast one must raise `Page`, a slow one
/// `Ticket`.
#[test]
fn lasting_burn_raises_page_or_ticket() {
    let mut fast_burn_meter = BurnMeter::new(ReportSettings::default());
    add_counts_every_10_s(&mut fast_burn_meter, 0, 60, &counts(100, 16, 0, 0));
    assert_eq!(burn_at_minute(&mut fast_burn_meter, 60).alert, Some(BurnAlert::Page));
    let mut slow_burn_meter = BurnMeter::new(ReportSettings::default());
    add_counts_every_10_s(&mut slow_burn_meter, 0, 360, &counts(100, 7, 0, 0));
    let burn = burn_at_minute(&mut slow_burn_meter, 360);
    assert!(burn.burn_5m < 14.4, "{burn:?}");
    assert_eq!(burn.alert, Some(BurnAlert::Ticket), "{burn:?}");
}

/// Guards against refused or slow calls that do not use up the budget, and against a call that is
/// both slow and failed and counts twice.
#[test]
fn refused_and_slow_calls_count_once() {
    let mut meter = BurnMeter::new(ReportSettings::default());
    // Every 10 s: three slow calls, of which one failed, and two refused calls.
    add_counts_every_10_s(&mut meter, 0, 5, &counts(100, 1, 2, 3));
    let burn = burn_at_minute(&mut meter, 5);
    assert_eq!((burn.calls, burn.failures, burn.refused, burn.slow), (3000, 30, 60, 60));
    assert_eq!(burn.windows.five_minutes.bad, 150);
    assert!((burn.burn_5m - 5.0).abs() < 1e-9, "{burn:?}");
    assert!((burn.budget_left_percent + 400.0).abs() < 1e-9, "{burn:?}");
}

/// Guards against calls without failure that use up the budget. Client errors (4xx) are counted as
/// calls without failure.
#[test]
fn calls_without_failure_use_up_no_budget() {
    let mut meter = BurnMeter::new(ReportSettings::default());
    add_counts_every_10_s(&mut meter, 0, 5, &counts(100, 0, 0, 0));
    let burn = burn_at_minute(&mut meter, 5);
    assert_eq!((burn.budget_left_percent, burn.alert), (100.0, None));
}

/// Guards against counts that are still reported more than six hours later.
#[test]
fn counts_expire_after_six_hours() {
    let mut meter = BurnMeter::new(ReportSettings::default());
    add_counts_every_10_s(&mut meter, 0, 10, &counts(100, 50, 0, 0));
    let burn = burn_at_minute(&mut meter, 371);
    assert_eq!((burn.calls, burn.windows.six_hours.calls, burn.p99_ms), (0, 0, None));
}

/// Guards against a merged report that differs from the report of one node with all the calls.
#[test]
fn merged_reports_equal_the_report_of_all_calls() {
    let settings = ReportSettings::default();
    let (mut first_node_meter, mut second_node_meter, mut combined_meter) = (
        BurnMeter::new(settings.clone()),
        BurnMeter::new(settings.clone()),
        BurnMeter::new(settings.clone()),
    );
    let node_counts = [counts(100, 3, 1, 5), counts(40, 20, 0, 30)];
    // The combined meter receives the counts of both nodes in chronological order.
    for minute in 0..30 {
        add_counts_every_10_s(&mut first_node_meter, minute, minute + 1, &node_counts[0]);
        add_counts_every_10_s(&mut second_node_meter, minute, minute + 1, &node_counts[1]);
        for tick in minute * 6..(minute + 1) * 6 {
            node_counts
                .iter()
                .for_each(|counts| combined_meter.add(Millis(tick * 10_000), counts, &catalogue()));
        }
    }
    let now = Millis(30 * 60_000 - 1);
    let merged_report = merge_reports(
        &[first_node_meter.report(now, &catalogue()), second_node_meter.report(now, &catalogue())],
        &settings,
    );
    assert_eq!(merged_report, combined_meter.report(now, &catalogue()));
}

/// Guards against a JSON report without one of the documented fields, and against a table that
/// lacks its heading, an entry or the alert.
#[test]
fn report_has_the_documented_fields_and_a_table() {
    let mut meter = BurnMeter::new(ReportSettings::default());
    add_counts_every_10_s(&mut meter, 0, 60, &counts(100, 16, 0, 0));
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
