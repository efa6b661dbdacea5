//! Numbered log events.
//!
//! The meaning of an event number never changes. `docs/events.md` lists all events; the test
//! `event_page` checks that the page matches the code. Numbers: 1xxx node, 2xxx membership, 3xxx
//! distribution, 4xxx traffic, 5xxx moves, 6xxx claims, 7xxx uploads, 8xxx platform, 9xxx report,
//! 10xxx mesh.

pub mod claims;
pub mod distribution;
pub mod membership;
pub mod mesh;
pub mod moves;
pub mod node;
pub mod page;
pub mod platform;
pub mod report;
pub mod traffic;
pub mod uploads;

use std::collections::VecDeque;
use std::fmt;
use std::sync::Mutex;
use std::sync::PoisonError;

use log::Level;
use serde::Deserialize;
use serde::Serialize;

use crate::types::UnixMillis;

/// Number of events that the process keeps for `GET /events`; older ones are dropped.
const MAX_KEPT_EVENTS: usize = 1000;

/// Definition of a numbered event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventCode {
    /// Unique among the events of all modules.
    pub number: u16,
    pub level: Level,
    /// Unique short name in snake case.
    pub name: &'static str,
    /// What happened, and what an operator can do.
    pub meaning: &'static str,
}

/// An occurrence of an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedEvent {
    /// Sequence number within the process; starts at 1, without gaps.
    pub sequence: u64,
    /// Wall-clock time of the event.
    pub unix_ms: UnixMillis,
    /// Number of the event code.
    pub number: u16,
    /// Name of the event code.
    pub name: String,
    /// Severity in lower case.
    pub level: String,
    /// Values of this occurrence, for example the name of the target concerned.
    pub detail: String,
}

/// Returns all event codes, ordered by number.
pub fn all_event_codes() -> impl Iterator<Item = &'static EventCode> {
    [
        node::CODES,
        membership::CODES,
        distribution::CODES,
        traffic::CODES,
        moves::CODES,
        claims::CODES,
        uploads::CODES,
        platform::CODES,
        report::CODES,
        mesh::CODES,
    ]
    .into_iter()
    .flatten()
}

/// The latest events of the process, for `GET /events`.
struct RecentEvents {
    /// Sequence number of the latest event; 0 before the first one.
    last_sequence: u64,
    events: VecDeque<LoggedEvent>,
}

static RECENT_EVENTS: Mutex<RecentEvents> =
    Mutex::new(RecentEvents { last_sequence: 0, events: VecDeque::new() });

/// Logs an event and keeps it for `GET /events`. Acquires a lock that all threads share, so the
/// code that handles a successful call must not emit events.
pub fn emit(code: &EventCode, detail: fmt::Arguments<'_>) {
    log::log!(code.level, "[{}] {}: {}", code.number, code.name, detail);
    let mut recent_events = RECENT_EVENTS.lock().unwrap_or_else(PoisonError::into_inner);
    recent_events.last_sequence += 1;
    let event = LoggedEvent {
        sequence: recent_events.last_sequence,
        unix_ms: UnixMillis::now(),
        number: code.number,
        name: code.name.to_string(),
        level: code.level.as_str().to_ascii_lowercase(),
        detail: detail.to_string(),
    };
    recent_events.events.push_back(event);
    if recent_events.events.len() > MAX_KEPT_EVENTS {
        recent_events.events.pop_front();
    }
}

/// Returns the kept events with a sequence number above `after_sequence`, oldest first.
pub fn recent_events_after(after_sequence: u64) -> Vec<LoggedEvent> {
    let recent_events = RECENT_EVENTS.lock().unwrap_or_else(PoisonError::into_inner);
    recent_events.events.iter().filter(|e| e.sequence > after_sequence).cloned().collect()
}
