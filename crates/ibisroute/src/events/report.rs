//! Event codes of the burn report (numbers 9xxx).

use log::Level;

use super::EventCode;

/// An alert for the burn rate of an entry became active.
pub const BURN_ALERT: EventCode = EventCode {
    number: 9001,
    level: Level::Warn,
    name: "burn_alert",
    meaning: "The entry consumes its error budget too fast, according to the calls counted by this node. Compare `ibisctl report burn` over all nodes.",
};

/// No alert for the burn rate of an entry is active any longer.
pub const BURN_ENDED: EventCode = EventCode {
    number: 9002,
    level: Level::Info,
    name: "burn_ended",
    meaning: "The entry no longer consumes its error budget too fast, according to the calls counted by this node.",
};

/// All codes of this module in the order of their numbers.
pub const CODES: &[EventCode] = &[BURN_ALERT, BURN_ENDED];
