//! Parses and formats times of the command line: UTC, offsets and Unix milliseconds.

use crate::types::UnixMillis;

const SECONDS_PER_DAY: u64 = 86_400;
/// Days from 0000-03-01 to 1970-01-01 in the proleptic Gregorian calendar.
const DAYS_BEFORE_UNIX_EPOCH: u64 = 719_468;
/// Days in an era: 400 years, after which the Gregorian calendar repeats.
const DAYS_PER_ERA: u64 = 146_097;

/// Parses `now`, an offset from `offset_base` such as `+90s`, `+20m` or `+2h`, UTC such as
/// `2025-12-04T21:00:00Z`, or Unix milliseconds.
pub fn parse_time(s: &str, now: UnixMillis, offset_base: UnixMillis) -> Option<UnixMillis> {
    if s == "now" {
        return Some(now);
    }
    if let Some(offset) = s.strip_prefix('+') {
        return parse_offset_ms(offset)
            .and_then(|ms| offset_base.0.checked_add(ms))
            .map(UnixMillis);
    }
    parse_utc(s).or_else(|| s.parse().ok())
}

/// Parses a number with the unit `s`, `m` or `h`; returns milliseconds.
fn parse_offset_ms(s: &str) -> Option<u64> {
    let unit_ms = match s.chars().last()? {
        's' => 1_000,
        'm' => 60_000,
        'h' => 3_600_000,
        _ => return None,
    };
    s[..s.len() - 1].parse::<u64>().ok()?.checked_mul(unit_ms)
}

fn parse_utc(s: &str) -> Option<UnixMillis> {
    let (date, time) = s.strip_suffix('Z')?.split_once('T')?;
    let [year, month, day] = parse_digit_groups(date, '-', [4, 2, 2])?;
    let [hour, minute, second] = parse_digit_groups(time, ':', [2, 2, 2])?;
    if year < 1970 || hour > 23 || minute > 59 || second > 59 {
        return None;
    }
    let days = days_since_epoch(year, month, day)?;
    Some(UnixMillis((days * SECONDS_PER_DAY + hour * 3600 + minute * 60 + second) * 1000))
}

/// Parses three groups of decimal digits, each exactly as long as its entry in `widths`.
fn parse_digit_groups(s: &str, separator: char, widths: [usize; 3]) -> Option<[u64; 3]> {
    let mut groups = s.split(separator);
    let mut fields = [0; 3];
    for (field, width) in fields.iter_mut().zip(widths) {
        let group = groups.next()?;
        if group.len() != width || !group.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        *field = group.parse().ok()?;
    }
    groups.next().is_none().then_some(fields)
}

/// Converts a date to days since 1970-01-01; `None` for a date that does not exist.
fn days_since_epoch(year: u64, month: u64, day: u64) -> Option<u64> {
    if !(1..=12).contains(&month) || day == 0 {
        return None;
    }
    // Counts years from March, so that the leap day is the last day of a year.
    let march_year = if month <= 2 { year - 1 } else { year };
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    let day_of_era =
        (march_year % 400) * 365 + (march_year % 400) / 4 - (march_year % 400) / 100 + day_of_year;
    let days =
        (march_year / 400 * DAYS_PER_ERA + day_of_era).checked_sub(DAYS_BEFORE_UNIX_EPOCH)?;
    (date_from_days(days) == (year, month, day)).then_some(days)
}

/// Converts days since 1970-01-01 to year, month and day.
fn date_from_days(days: u64) -> (u64, u64, u64) {
    let calendar_days = days + DAYS_BEFORE_UNIX_EPOCH;
    let day_of_era = calendar_days % DAYS_PER_ERA;
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = calendar_days / DAYS_PER_ERA * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}

/// Formats a time as UTC, truncated to seconds, for example `2025-12-04T21:00:00Z`.
pub fn format_time(time: UnixMillis) -> String {
    let seconds = time.0 / 1000;
    let (year, month, day) = date_from_days(seconds / SECONDS_PER_DAY);
    let (hour, minute, second) = (seconds / 3600 % 24, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}
