//! Event codes of `claims`.

use log::Level;

use super::EventCode;

/// A result could not be recorded.
pub const RESULT_NOT_RECORDED: EventCode = EventCode {
    number: 6001,
    level: Level::Warn,
    name: "claim_result_not_recorded",
    meaning: "The answer to a booking could not be written to the table in time; a repeat of it is told \"may have run\".",
};

/// Codes in the order of their numbers.
pub const CODES: &[EventCode] = &[RESULT_NOT_RECORDED];
