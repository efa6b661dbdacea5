//! Event codes of `membership`.

use log::Level;

use super::EventCode;

/// A node is reachable.
pub const ALIVE: EventCode = EventCode {
    number: 2001,
    level: Level::Info,
    name: "member_alive",
    meaning: "A node is reachable: it joined, restarted or refuted a suspicion.",
};

/// A node missed a probe.
pub const SUSPECT: EventCode = EventCode {
    number: 2002,
    level: Level::Info,
    name: "member_suspect",
    meaning: "A node missed a probe; it is declared dead unless it refutes.",
};

/// A node did not refute a suspicion in time.
pub const DEAD: EventCode = EventCode {
    number: 2003,
    level: Level::Warn,
    name: "member_dead",
    meaning: "A node did not refute a suspicion in time; check its host when it does not return.",
};

/// A node left on purpose.
pub const LEFT: EventCode = EventCode {
    number: 2004,
    level: Level::Info,
    name: "member_left",
    meaning: "A node left on purpose.",
};

/// This process was stopped for longer than a probe period.
pub const RESUMED: EventCode = EventCode {
    number: 2005,
    level: Level::Warn,
    name: "membership_resumed",
    meaning: "This process was stopped for longer than a probe period; suspicions start again with a longer timeout.",
};

/// Peers remember a higher incarnation of this node.
pub const INCARNATION_RAISED: EventCode = EventCode {
    number: 2006,
    level: Level::Warn,
    name: "incarnation_raised",
    meaning: "Peers remember a higher incarnation of this node; check the clock of the host.",
};

/// This node's record is too long to travel in every datagram.
pub const RECORD_TOO_LONG: EventCode = EventCode {
    number: 2007,
    level: Level::Warn,
    name: "member_record_long",
    meaning: "This node's record is too long to travel in every datagram; run fewer targets beside one node.",
};

/// A peer sent the full member state.
pub const JOINED: EventCode = EventCode {
    number: 2008,
    level: Level::Info,
    name: "member_state_received",
    meaning: "A peer sent the full member state.",
};

/// A peer did not send the member state.
pub const JOIN_FAILED: EventCode = EventCode {
    number: 2009,
    level: Level::Info,
    name: "join_failed",
    meaning: "A peer did not send the member state; another attempt follows.",
};

/// The table did not take or return entry-point rows.
pub const ENTRY_POINT_FAILED: EventCode = EventCode {
    number: 2010,
    level: Level::Warn,
    name: "entry_point_failed",
    meaning: "The table did not take or return entry-point rows; another attempt follows.",
};

/// Codes in the order of their numbers.
pub const CODES: &[EventCode] = &[
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT,
    RESUMED,
    INCARNATION_RAISED,
    RECORD_TOO_LONG,
    JOINED,
    JOIN_FAILED,
    ENTRY_POINT_FAILED,
];
