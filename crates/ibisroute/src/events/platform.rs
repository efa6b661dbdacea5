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

/// All codes of this module in ascending order of their numbers.
pub const CODES: &[EventCode] = &[UNEXPECTED_RESPONSE];
