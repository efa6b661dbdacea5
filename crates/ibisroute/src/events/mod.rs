//! Numbered log events.
//!
//! Each event has a number that never changes its meaning. `docs/events.md` lists them all; a test
//! checks that page and code agree. Numbers: 1xxx node, 2xxx membership, 3xxx distribution,
//! 4xxx traffic, 5xxx moves, 6xxx claims, 7xxx uploads, 8xxx platform, 9xxx report,
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

/// Events that the process keeps for `GET /events`; older ones are dropped.
const KEPT_EVENTS: usize = 1000;

/// Definition of a numbered event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventCode {
    /// Number, unique over all modules.
    pub number: u16,
    /// Severity.
    pub level: Level,
    /// Short name in snake case.
    pub name: &'static str,
    /// What happened, and what an operator may do.
    pub meaning: &'static str,
}

/// An event that happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedEvent {
    /// Rises by one with each event of the process, from 1.
    pub sequence: u64,
    /// Wall-clock time.
    pub unix_ms: UnixMillis,
    /// Number of the event code.
    pub number: u16,
    /// Name of the event code.
    pub name: String,
    /// Severity in lower case.
    pub level: String,
    pub detail: String,
}

/// Every event code, in the order of their numbers.
pub fn all() -> impl Iterator<Item = &'static EventCode> {
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

struct Ring {
    last: u64,
    events: VecDeque<LoggedEvent>,
}

static RING: Mutex<Ring> = Mutex::new(Ring { last: 0, events: VecDeque::new() });

/// Logs an event and keeps it for `GET /events`. Not for the path of a successful call: it takes a
/// lock.
pub fn emit(code: &EventCode, detail: fmt::Arguments<'_>) {
    log::log!(code.level, "[{}] {}: {}", code.number, code.name, detail);
    let mut ring = RING.lock().unwrap_or_else(PoisonError::into_inner);
    ring.last += 1;
    let event = LoggedEvent {
        sequence: ring.last,
        unix_ms: UnixMillis::now(),
        number: code.number,
        name: code.name.to_string(),
        level: code.level.as_str().to_ascii_lowercase(),
        detail: detail.to_string(),
    };
    ring.events.push_back(event);
    if ring.events.len() > KEPT_EVENTS {
        ring.events.pop_front();
    }
}

/// Kept events with a sequence above `after`, oldest first.
pub fn since(after: u64) -> Vec<LoggedEvent> {
    let ring = RING.lock().unwrap_or_else(PoisonError::into_inner);
    ring.events.iter().filter(|e| e.sequence > after).cloned().collect()
}
