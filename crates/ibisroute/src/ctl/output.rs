//! Output of tables and JSON on standard output.

use std::io::Write;

use eyre::WrapErr;
use serde::Serialize;

use super::exit::CommandError;

/// How a command prints its result, as selected by `--output`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text for people, mostly as aligned columns.
    Table,
    /// JSON, one document per line.
    Json,
}

impl OutputFormat {
    /// Prints `value` as JSON, or as the text that `to_table` returns.
    pub fn print<T: Serialize>(
        self,
        value: &T,
        to_table: impl FnOnce(&T) -> String,
    ) -> Result<(), CommandError> {
        match self {
            Self::Table => print_line(to_table(value).trim_end()),
            Self::Json => print_line(&serde_json::to_string(value).wrap_err("cannot write JSON")?),
        }
    }
}

/// Prints a line on standard output. Returns an error when the reader has closed the pipe, where
/// `println!` would panic.
pub fn print_line(text: &str) -> Result<(), CommandError> {
    let mut out = std::io::stdout().lock();
    let result = writeln!(out, "{text}").and_then(|()| out.flush());
    Ok(result.wrap_err("cannot write to standard output")?)
}

/// Formats rows as aligned columns under their headers.
pub fn format_table(headers: &[&str], rows: &[Vec<String>]) -> String {
    let mut column_widths: Vec<usize> = headers.iter().map(|h| h.chars().count()).collect();
    for row in rows {
        for (width, cell) in column_widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let headers: Vec<String> = headers.iter().map(|h| (*h).to_string()).collect();
    let mut table = String::new();
    for row in std::iter::once(&headers).chain(rows) {
        let padded_cells: Vec<String> =
            row.iter().zip(&column_widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        table.push_str(padded_cells.join("  ").trim_end());
        table.push('\n');
    }
    table
}
