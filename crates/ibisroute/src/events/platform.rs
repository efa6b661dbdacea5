//! Event codes of the platform client (numbers 8xxx).

use log::Level;

use super::EventCode;

/// The platform responded with a status that its protocol does not define for the request.
pub const UNEXPECTED_RESPONSE: EventCode = EventCode {
    number: 8001,
    level: Level::Error,
    name: "platform_unexpected_answer",
    meaning: "The platform responded with a status that its protocol does not define for the request. \
              Check the platform's address and release.",
};

/// A row of the platform's table cannot be read.
pub const UNREADABLE_ROW: EventCode = EventCode {
    number: 8002,
    level: Level::Warn,
    name: "platform_unreadable_row",
    meaning: "A row or its value cannot be read; the other rows of the response are used. Another program \
              may write to the table.",
};

/// All codes of this module in ascending order of their numbers.
pub const CODES: &[EventCode] = &[UNEXPECTED_RESPONSE, UNREADABLE_ROW];
