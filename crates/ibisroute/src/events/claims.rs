//! Event codes of idempotency claims (numbers 6xxx).

use log::Level;

use super::EventCode;

/// The result of a booking was not written to its claim row.
pub const RESULT_NOT_RECORDED: EventCode = EventCode {
    number: 6001,
    level: Level::Warn,
    name: "claim_result_not_recorded",
    meaning: "The response to a booking could not be written to the table in time; a retry of it is refused as \"may have run\".",
};

/// All codes of this module in the order of their numbers.
pub const CODES: &[EventCode] = &[RESULT_NOT_RECORDED];
