//! Renders the burn report as a text table or as JSON.

use std::fmt::Write;

use crate::report::burn::BurnReport;
use crate::report::burn::EntryBurn;

const COLUMN_HEADINGS: [&str; 12] = [
    "ENTRY", "CALLS", "FAILED", "REFUSED", "SLOW", "LEFT", "5M", "1H", "30M", "6H", "P99 MS",
    "ALERT",
];

/// Returns the report as JSON, in the form of `GET /report/burn`.
pub fn json(report: &BurnReport) -> serde_json::Value {
    serde_json::json!(report)
}

/// Returns the report as a text table with a heading and one line for each entry.
pub fn table(report: &BurnReport) -> String {
    let mut rows = vec![COLUMN_HEADINGS.map(String::from)];
    rows.extend(report.entries.iter().map(table_row));
    let column_widths: Vec<usize> = (0..COLUMN_HEADINGS.len())
        .map(|i| rows.iter().map(|row| row[i].len()).max().unwrap_or_default())
        .collect();
    let mut table_text = String::new();
    for row in rows {
        let mut line = format!("{:<width$}", row[0], width = column_widths[0]);
        for (cell, width) in row.iter().zip(&column_widths).skip(1) {
            // Writing to a String cannot fail.
            let _ = write!(line, "  {cell:>width$}");
        }
        table_text.push_str(line.trim_end());
        table_text.push('\n');
    }
    table_text
}

fn table_row(burn: &EntryBurn) -> [String; 12] {
    let format_burn_rate = |rate: f64| format!("{rate:.1}");
    [
        burn.entry.to_string(),
        burn.calls.to_string(),
        burn.failures.to_string(),
        burn.refused.to_string(),
        burn.slow.to_string(),
        format!("{:.1}%", burn.budget_left_percent),
        format_burn_rate(burn.burn_5m),
        format_burn_rate(burn.burn_1h),
        format_burn_rate(burn.burn_30m),
        format_burn_rate(burn.burn_6h),
        burn.p99_ms.map_or_else(|| "-".to_string(), |ms| format!("{ms:.1}")),
        burn.alert.map_or_else(|| "-".to_string(), |alert| alert.to_string()),
    ]
}
