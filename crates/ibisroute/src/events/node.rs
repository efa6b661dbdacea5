//! Event codes of the node process (numbers 1xxx).

use log::Level;

use super::EventCode;

/// The listeners of the node are bound.
pub const NODE_STARTED: EventCode = EventCode {
    number: 1001,
    level: Level::Info,
    name: "node_started",
    meaning: "The node listens on the given addresses; it refuses calls until it knows its version floor.",
};

/// The first configuration is in effect.
pub const NODE_SERVING: EventCode = EventCode {
    number: 1002,
    level: Level::Info,
    name: "node_serving",
    meaning: "The node has a configuration in effect and serves calls.",
};

/// A graceful shutdown has started.
pub const NODE_DRAINING: EventCode = EventCode {
    number: 1003,
    level: Level::Info,
    name: "node_draining",
    meaning: "A graceful shutdown has started: the node refuses new calls and finishes those in flight.",
};

/// The node has stopped.
pub const NODE_STOPPED: EventCode = EventCode {
    number: 1004,
    level: Level::Info,
    name: "node_stopped",
    meaning: "The node has stopped; the detail states whether calls in flight were aborted.",
};

/// A target has announced itself for the first time.
pub const TARGET_ANNOUNCED: EventCode = EventCode {
    number: 1005,
    level: Level::Info,
    name: "target_announced",
    meaning: "A target on the host of the node announced itself for the first time.",
};

/// A target requested to leave, or its lease has expired.
pub const TARGET_DRAINING: EventCode = EventCode {
    number: 1006,
    level: Level::Info,
    name: "target_draining",
    meaning: "A target on the host of the node left or did not renew its lease; it receives no new calls.",
};

/// A draining target has been removed.
pub const TARGET_REMOVED: EventCode = EventCode {
    number: 1007,
    level: Level::Info,
    name: "target_gone",
    meaning: "The calls of a draining target have ended, or its drain timeout has expired; the target is removed.",
};

/// All codes of this module in the order of their numbers.
pub const CODES: &[EventCode] = &[
    NODE_STARTED,
    NODE_SERVING,
    NODE_DRAINING,
    NODE_STOPPED,
    TARGET_ANNOUNCED,
    TARGET_DRAINING,
    TARGET_REMOVED,
];
