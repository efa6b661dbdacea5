//! Event codes of traffic (numbers 4xxx).

use log::Level;

use super::EventCode;

/// Connecting to a local target failed.
pub const TARGET_UNREACHABLE: EventCode = EventCode {
    number: 4001,
    level: Level::Warn,
    name: "target_unreachable",
    meaning: "A target beside the node cannot be connected to; check that the target runs.",
};

/// A local target accepts connections again.
pub const TARGET_REACHABLE: EventCode = EventCode {
    number: 4002,
    level: Level::Info,
    name: "target_reachable",
    meaning: "A target beside the node accepts connections again.",
};

/// The node stopped its own share of a move after consecutive failures.
pub const SHARE_STOPPED: EventCode = EventCode {
    number: 4003,
    level: Level::Warn,
    name: "share_stopped",
    meaning: "The new version of a move failed several calls in a row; this node sends it no calls for a while.",
};

/// A graceful shutdown reached its time limit with calls in flight.
pub const DRAIN_CUT: EventCode = EventCode {
    number: 4004,
    level: Level::Error,
    name: "drain_cut",
    meaning: "A graceful stop reached its time limit with calls in flight; raise the limit or look for calls without progress.",
};

/// All codes of this module in the order of their numbers.
pub const CODES: &[EventCode] = &[TARGET_UNREACHABLE, TARGET_REACHABLE, SHARE_STOPPED, DRAIN_CUT];
