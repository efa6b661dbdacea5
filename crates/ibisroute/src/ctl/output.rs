//! Tables and JSON on standard output.

use std::io::Write;

use eyre::WrapErr;
use serde::Serialize;

use super::exit::Stop;

/// Format of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Aligned columns for people.
    Table,
    /// JSON for programs, one document a line.
    Json,
}

impl Output {
    /// Prints `value` as JSON, or what `table` makes.
    pub fn print<T: Serialize>(
        self,
        value: &T,
        table: impl FnOnce(&T) -> String,
    ) -> Result<(), Stop> {
        match self {
            Self::Table => line(table(value).trim_end()),
            Self::Json => line(&serde_json::to_string(value).wrap_err("cannot write JSON")?),
        }
    }
}

/// Prints a line on standard output; a closed pipe is an error, not a panic.
pub fn line(text: &str) -> Result<(), Stop> {
    let mut out = std::io::stdout().lock();
    let result = writeln!(out, "{text}").and_then(|()| out.flush());
    Ok(result.wrap_err("cannot write to standard output")?)
}

/// Aligns rows under their headers.
pub fn table(headers: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = headers.iter().map(|h| h.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let headers: Vec<String> = headers.iter().map(|h| (*h).to_string()).collect();
    let mut text = String::new();
    for row in std::iter::once(&headers).chain(rows) {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
