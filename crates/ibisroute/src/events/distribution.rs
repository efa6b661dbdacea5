//! Event codes of the configuration distribution (numbers 3xxx).

use log::Level;

use super::EventCode;

/// The node knows the version floor and may serve a configuration that is not below it.
pub const FLOOR_KNOWN: EventCode = EventCode {
    number: 3001,
    level: Level::Info,
    name: "version_floor_known",
    meaning: "The node knows the version floor and may serve a configuration that is not below it.",
};

/// The node discovered a higher configuration version.
pub const HEAD_LEARNED: EventCode = EventCode {
    number: 3002,
    level: Level::Info,
    name: "head_learned",
    meaning: "The node discovered a higher configuration version.",
};

/// A configuration version came into effect.
pub const APPLIED: EventCode = EventCode {
    number: 3003,
    level: Level::Info,
    name: "configuration_applied",
    meaning: "A configuration version came into effect.",
};

/// A configuration version is invalid and was rejected as a whole.
pub const REJECTED: EventCode = EventCode {
    number: 3004,
    level: Level::Error,
    name: "configuration_rejected",
    meaning: "A configuration version is invalid and was rejected as a whole; publish a higher version.",
};

/// A head was ignored because its digest differs from that of the known head with the same version.
pub const DIGEST_CONFLICT: EventCode = EventCode {
    number: 3005,
    level: Level::Error,
    name: "head_digest_conflict",
    meaning: "A head has a known version but another digest, and is ignored; check who writes the head row.",
};

/// The digest of a catalogue body does not match its head.
pub const BODY_MISMATCH: EventCode = EventCode {
    number: 3006,
    level: Level::Warn,
    name: "catalogue_body_mismatch",
    meaning: "The digest of a catalogue body does not match its head; the body is fetched again.",
};

/// The head row of the table cannot be parsed.
pub const HEAD_ROW_INVALID: EventCode = EventCode {
    number: 3007,
    level: Level::Error,
    name: "head_row_invalid",
    meaning: "The head row of the table cannot be parsed; check who writes it.",
};

/// All codes of this module in the order of their numbers.
pub const CODES: &[EventCode] = &[
    FLOOR_KNOWN,
    HEAD_LEARNED,
    APPLIED,
    REJECTED,
    DIGEST_CONFLICT,
    BODY_MISMATCH,
    HEAD_ROW_INVALID,
];
