//! Event codes of `node`.

use log::Level;

use super::EventCode;

/// The node has started its listeners.
pub const STARTED: EventCode = EventCode {
    number: 1001,
    level: Level::Info,
    name: "node_started",
    meaning: "The node listens on the addresses named; it refuses calls until it knows its version floor.",
};

/// The node has a configuration in force and serves calls.
pub const SERVING: EventCode = EventCode {
    number: 1002,
    level: Level::Info,
    name: "node_serving",
    meaning: "The node has a configuration in force and serves calls.",
};

/// A graceful stop has begun.
pub const DRAINING: EventCode = EventCode {
    number: 1003,
    level: Level::Info,
    name: "node_draining",
    meaning: "A graceful stop has begun: the node takes no new calls and finishes those in flight.",
};

/// The node has stopped.
pub const STOPPED: EventCode = EventCode {
    number: 1004,
    level: Level::Info,
    name: "node_stopped",
    meaning: "The node has stopped; the detail says whether calls in flight were cut.",
};

/// A target announced itself.
pub const TARGET_ANNOUNCED: EventCode = EventCode {
    number: 1005,
    level: Level::Info,
    name: "target_announced",
    meaning: "A target beside the node announced itself for the first time.",
};

/// A target takes no new calls.
pub const TARGET_DRAINING: EventCode = EventCode {
    number: 1006,
    level: Level::Info,
    name: "target_draining",
    meaning: "A target beside the node left or did not renew its lease; it gets no new calls.",
};

/// A target is forgotten.
pub const TARGET_GONE: EventCode = EventCode {
    number: 1007,
    level: Level::Info,
    name: "target_gone",
    meaning: "The calls of a draining target have ended, or its time is over; it is forgotten.",
};

/// Codes in the order of their numbers.
pub const CODES: &[EventCode] =
    &[STARTED, SERVING, DRAINING, STOPPED, TARGET_ANNOUNCED, TARGET_DRAINING, TARGET_GONE];
