//! Event codes of `report`.

use log::Level;

use super::EventCode;

/// An entry burns its error budget too fast.
pub const BURN_ALERT: EventCode = EventCode {
    number: 9001,
    level: Level::Warn,
    name: "burn_alert",
    meaning: "The entry named burns its error budget too fast, as this node sees it. Compare `ibisctl report burn` over all nodes.",
};

/// An entry no longer burns its error budget too fast.
pub const BURN_ENDED: EventCode = EventCode {
    number: 9002,
    level: Level::Info,
    name: "burn_ended",
    meaning: "The entry named no longer burns its error budget too fast, as this node sees it.",
};

/// All codes of `report`, in the order of their numbers.
pub const CODES: &[EventCode] = &[BURN_ALERT, BURN_ENDED];
