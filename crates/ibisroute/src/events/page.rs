//! Generates the events page of the documentation.

use std::fmt::Write as _;

use super::all_event_codes;

/// Renders the text of `docs/events.md`.
pub fn render_events_page() -> String {
    let mut page_text = String::from(
        "# Log events\n\nEach log line of a node starts with the number and the name of an event. \
         The meaning of a number\nnever changes. `ibisctl events` shows the last 1,000 events of a \
         node.\n\nThis page is generated from the code: `UPDATE_EVENTS_PAGE=1 cargo test -p ibisroute \
         --test event_page`.\n\n| number | level | name | meaning |\n|---|---|---|---|\n",
    );
    for code in all_event_codes() {
        let level = code.level.as_str().to_ascii_lowercase();
        // Writing to a string cannot fail.
        let _ = writeln!(
            page_text,
            "| {} | {level} | `{}` | {} |",
            code.number, code.name, code.meaning
        );
    }
    page_text
}
