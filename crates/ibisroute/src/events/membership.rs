//! Event codes of membership (numbers 2xxx).

use log::Level;

use super::EventCode;

/// A node joined, restarted or refuted a suspicion.
pub const ALIVE: EventCode = EventCode {
    number: 2001,
    level: Level::Info,
    name: "member_alive",
    meaning: "A node is reachable: it joined, restarted or refuted a suspicion.",
};

/// A node did not respond to a probe and is suspected.
pub const SUSPECT: EventCode = EventCode {
    number: 2002,
    level: Level::Info,
    name: "member_suspect",
    meaning: "A node did not respond to a probe; it is declared dead unless it refutes the suspicion in time.",
};

/// A suspected node did not refute the suspicion in time.
pub const DEAD: EventCode = EventCode {
    number: 2003,
    level: Level::Warn,
    name: "member_dead",
    meaning: "A suspected node did not refute the suspicion in time; check its host if it does not return.",
};

/// A node announced that it leaves the mesh.
pub const LEFT: EventCode = EventCode {
    number: 2004,
    level: Level::Info,
    name: "member_left",
    meaning: "A node announced that it leaves the mesh.",
};

/// This process was paused for longer than a probe period.
pub const RESUMED: EventCode = EventCode {
    number: 2005,
    level: Level::Warn,
    name: "membership_resumed",
    meaning: "This process was paused for longer than a probe period; suspicions restart with a longer timeout.",
};

/// A peer holds a record of this node with a higher incarnation, so this node raised its own.
pub const INCARNATION_RAISED: EventCode = EventCode {
    number: 2006,
    level: Level::Warn,
    name: "incarnation_raised",
    meaning: "Peers hold a record with a higher incarnation of this node; check the clock of the host.",
};

/// This node's record takes more than half of a datagram.
pub const RECORD_TOO_LONG: EventCode = EventCode {
    number: 2007,
    level: Level::Warn,
    name: "member_record_long",
    meaning: "This node's record is too long to fit into every datagram; run fewer targets per node.",
};

/// A peer sent the full member state.
pub const STATE_RECEIVED: EventCode = EventCode {
    number: 2008,
    level: Level::Info,
    name: "member_state_received",
    meaning: "A peer sent the full member state.",
};

/// A peer did not send the full member state.
pub const JOIN_FAILED: EventCode = EventCode {
    number: 2009,
    level: Level::Info,
    name: "join_failed",
    meaning: "A peer did not send the full member state; another attempt follows.",
};

/// Entry-point rows could not be read from the table.
pub const ENTRY_POINT_FAILED: EventCode = EventCode {
    number: 2010,
    level: Level::Warn,
    name: "entry_point_failed",
    meaning: "Entry-point rows could not be read from the table; the read is retried.",
};

/// All codes of this module in the order of their numbers.
pub const CODES: &[EventCode] = &[
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT,
    RESUMED,
    INCARNATION_RAISED,
    RECORD_TOO_LONG,
    STATE_RECEIVED,
    JOIN_FAILED,
    ENTRY_POINT_FAILED,
];
