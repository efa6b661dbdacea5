//! Measurements for the bench: processor time and memory of a process, quantiles and slopes.

use std::time::Duration;

use eyre::OptionExt;
use eyre::WrapErr;

/// Clock ticks per second in `/proc/<pid>/stat`. Linux reports 100 to user space on all platforms
/// that the project supports.
const TICKS_PER_S: u64 = 100;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all threads since the start, with a resolution of 10 ms.
    pub processor: Duration,
    pub resident_bytes: u64,
}

/// Reads the usage of a process from `/proc`.
pub fn usage(process_id: u32) -> eyre::Result<Usage> {
    let read = |file: &str| {
        let path = format!("/proc/{process_id}/{file}");
        std::fs::read_to_string(&path).wrap_err(path)
    };
    Ok(Usage {
        processor: parse_stat(&read("stat")?).ok_or_eyre("unexpected format of the stat file")?,
        resident_bytes: parse_status(&read("status")?)
            .ok_or_eyre("unexpected format of the status file")?,
    })
}

/// Parses the sum of user and system time from the text of `/proc/<pid>/stat`.
pub fn parse_stat(text: &str) -> Option<Duration> {
    // The name in parentheses may contain spaces and parentheses, so fields are counted after it.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let user_ticks: u64 = fields.get(11)?.parse().ok()?;
    let system_ticks: u64 = fields.get(12)?.parse().ok()?;
    Some(Duration::from_millis((user_ticks + system_ticks) * 1000 / TICKS_PER_S))
}

/// Parses the resident memory, in bytes, from the text of `/proc/<pid>/status`.
pub fn parse_status(text: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * 1024)
}

/// Returns the value at quantile `q`, 0 to 1, by the nearest-rank method; 0 without values.
pub fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (q * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied().unwrap_or_default()
}

/// Returns the slope of the least-squares line through the points; 0 without two distinct `x`.
pub fn slope(points: &[(f64, f64)]) -> f64 {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if variance > 0.0 { covariance / variance } else { 0.0 }
}
