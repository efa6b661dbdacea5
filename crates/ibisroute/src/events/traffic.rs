//! Event codes of traffic (numbers 4xxx).

use log::Level;

use super::EventCode;

/// Connecting to a local target failed.
pub const TARGET_UNREACHABLE: EventCode = EventCode {
    number: 4001,
    level: Level::Warn,
    name: "target_unreachable",
    meaning: "A target beside the node does not accept connections; check that the target runs.",
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
    meaning: "Several consecutive calls of this node to the new version of a move failed; the node temporarily sends it no calls.",
};

/// A graceful shutdown reached its time limit with calls in flight.
pub const DRAIN_CUT: EventCode = EventCode {
    number: 4004,
    level: Level::Error,
    name: "drain_cut",
    meaning: "A graceful shutdown reached its time limit with calls in flight; raise the limit or look for calls without progress.",
};

/// All codes of this module in the order of their numbers.
pub const CODES: &[EventCode] = &[TARGET_UNREACHABLE, TARGET_REACHABLE, SHARE_STOPPED, DRAIN_CUT];
