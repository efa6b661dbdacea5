//! Tests of the measurements and charts of the bench.

use std::time::Duration;

use standins::chart;
use standins::measure;

/// Guards against reading the wrong field when the program name contains a space or a parenthesis.
#[test]
fn proc_files_are_parsed() {
    let text = "42 (a) b (c) S 1 42 42 0 -1 4194304 1 2 3 4 150 70 5 6 20 0 3 0 99 1000 200";
    assert_eq!(measure::parse_stat(text), Some(Duration::from_millis(2200)));
    assert_eq!(measure::parse_stat("42 (a) S 1"), None);
    let status = "Name:\tx\nVmPeak:\t 900 kB\nVmRSS:\t   64 kB\n";
    assert_eq!(measure::parse_status(status), Some(65_536));
    let own_usage = measure::usage(std::process::id()).expect("the test's own usage");
    assert!(own_usage.resident_bytes > 100_000);
}

/// Guards against quantiles off by one rank.
#[test]
fn quantiles_use_the_nearest_rank() {
    let values: Vec<f64> = (1..=100).rev().map(f64::from).collect();
    assert_eq!(measure::quantile(&values, 0.5), 50.0);
    assert_eq!(measure::quantile(&values, 0.99), 99.0);
    assert_eq!(measure::quantile(&values, 1.0), 100.0);
    assert_eq!(measure::quantile(&values, 0.0), 1.0);
    assert_eq!(measure::quantile(&[], 0.5), 0.0);
}

/// Guards against a slope with the wrong sign or scale.
#[test]
fn slope_of_points_on_a_line_is_exact() {
    let line = [(8.0, 30.0), (16.0, 54.0), (32.0, 102.0)];
    assert!((measure::slope(&line) - 3.0).abs() < 1e-9);
    assert_eq!(measure::slope(&[(8.0, 1.0)]), 0.0);
}

/// Guards against a chart without its points or without the name of a line.
#[test]
fn charts_contain_points_and_names() {
    let path = std::env::temp_dir().join(format!("standins-chart-{}.svg", std::process::id()));
    let series = [
        ("first".to_string(), vec![(8.0, 900.0), (16.0, 950.0)]),
        ("second".to_string(), vec![(8.0, 90.0)]),
    ];
    let draw_result = chart::draw(&path, "bytes", ("nodes", "bytes/s"), &series);
    let svg = std::fs::read_to_string(&path).unwrap_or_default();
    let _ = std::fs::remove_file(&path);
    draw_result.expect("a chart");
    // Three points, and one marker for each of the two lines in the legend.
    assert_eq!(svg.matches("<circle").count(), 5);
    for text in ["bytes/s", "first", "second"] {
        assert!(svg.contains(text), "the chart does not show {text}");
    }
}
