//! Parsing and formatting of the times on the command line of `ibisctl`.

use ibisroute::ctl::times::format_time;
use ibisroute::ctl::times::parse_time;
use ibisroute::types::UnixMillis;

const NOW: UnixMillis = UnixMillis(1_764_820_000_000);
const MOVE_START: UnixMillis = UnixMillis(1_764_820_060_000);

/// Guards against a move that starts or ends at a different time than the operator wrote.
#[test]
fn valid_times_are_parsed() {
    let cases = [
        ("now", NOW.0),
        ("+90s", MOVE_START.0 + 90_000),
        ("+20m", MOVE_START.0 + 1_200_000),
        ("+2h", MOVE_START.0 + 7_200_000),
        ("1764820000000", NOW.0),
        ("2025-12-04T03:46:40Z", NOW.0),
        ("2024-02-29T00:00:00Z", 1_709_164_800_000),
        ("1970-01-01T00:00:00Z", 0),
    ];
    for (s, expected) in cases {
        assert_eq!(parse_time(s, NOW, MOVE_START), Some(UnixMillis(expected)), "{s}");
    }
}

/// Guards against accepting a text that is not a valid time.
#[test]
fn invalid_times_are_rejected() {
    let cases = [
        "",
        "+",
        "+20",
        "+m",
        "+20d",
        "soon",
        "2025-12-04",
        "2025-12-04T03:46:40",
        "2025-02-29T00:00:00Z",
        "2025-13-01T00:00:00Z",
        "2025-12-04T24:00:00Z",
        "1969-12-31T23:59:59Z",
        "+99999999999999999999h",
        "+2ü",
    ];
    for s in cases {
        assert_eq!(parse_time(s, NOW, MOVE_START), None, "{s:?}");
    }
}

/// Guards against errors of the calendar arithmetic at ends of months and in leap years.
#[test]
fn formatted_times_parse_to_the_same_time() {
    for day in 0..60_000 {
        let time = UnixMillis(day * 86_400_000 + 86_399_000);
        let formatted = format_time(time);
        assert_eq!(parse_time(&formatted, NOW, NOW), Some(time), "{formatted}");
    }
}
