//! Tests that the events page matches the event definitions.

use std::collections::BTreeSet;
use std::path::Path;

use ibisroute::events;

fn events_page_path() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/events.md")
}

/// Guards against adding or changing an event without updating the page.
#[test]
fn events_page_matches_definitions() {
    let expected = events::page::render_events_page();
    if std::env::var_os("UPDATE_EVENTS_PAGE").is_some() {
        std::fs::write(events_page_path(), &expected).expect("docs/events.md is writable");
    }
    let page = std::fs::read_to_string(events_page_path()).expect("docs/events.md is readable");
    assert_eq!(page, expected, "docs/events.md is out of date");
}

/// Guards against two events with the same number or name, and against numbers out of order.
#[test]
fn event_numbers_and_names_are_unique() {
    let numbers: Vec<u16> = events::all_event_codes().map(|c| c.number).collect();
    assert!(numbers.is_sorted(), "events are listed in the order of their numbers: {numbers:?}");
    assert_eq!(numbers.iter().collect::<BTreeSet<_>>().len(), numbers.len());
    let names: BTreeSet<&str> = events::all_event_codes().map(|c| c.name).collect();
    assert_eq!(names.len(), numbers.len());
}
