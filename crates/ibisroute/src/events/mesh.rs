//! Event codes of the mesh node.

use log::Level;

use super::EventCode;

macro_rules! code {
    ($name:ident, $number:literal, $level:ident, $event_name:literal, $meaning:literal) => {
        #[doc = $meaning]
        pub const $name: EventCode = EventCode {
            number: $number,
            level: Level::$level,
            name: $event_name,
            meaning: $meaning,
        };
    };
}

code!(
    STARTED,
    10001,
    Info,
    "mesh_started",
    "The node is listening; it serves requests once it has a configuration."
);
code!(STOPPING, 10002, Info, "mesh_stopping", "A graceful stop has begun.");
code!(
    STOPPED,
    10003,
    Info,
    "mesh_stopped",
    "The node has stopped; the fields count interrupted requests and calls."
);
code!(RELOADED, 10004, Info, "mesh_reloaded", "The settings file was reloaded and is in effect.");
code!(
    RELOAD_REFUSED,
    10005,
    Warn,
    "mesh_reload_refused",
    "The settings file is invalid at the given path; the old settings stay in effect."
);
code!(
    CONFIG_IN_EFFECT,
    10010,
    Info,
    "config_in_force",
    "A configuration is in effect on this node; the source field names its origin."
);
code!(
    ROW_REJECTED,
    10011,
    Warn,
    "row_rejected",
    "A row of the store is invalid; the previous state stays in effect."
);
code!(
    STORE_LOST,
    10012,
    Warn,
    "store_lost",
    "The store does not respond to this node; rows are requested from peers instead."
);
code!(STORE_REACHED, 10013, Info, "store_reached", "The store responds to this node again.");
code!(
    HISTORY_LOST,
    10014,
    Info,
    "store_history_lost",
    "The store has discarded its change history; the tables are read again."
);
code!(PEER_REACHED, 10020, Info, "peer_reached", "A connection to a peer is established.");
code!(PEER_LOST, 10021, Warn, "peer_lost", "The connection to a peer was closed or went silent.");
code!(
    TARGET_STARTED,
    10030,
    Info,
    "target_started",
    "The target next to the node announced a new incarnation."
);
code!(
    TARGET_UPDATED,
    10031,
    Info,
    "target_updated",
    "The target next to the node announced other slots or another version."
);
code!(
    TARGET_LEAVING,
    10032,
    Info,
    "target_leaving",
    "The target next to the node is leaving; it receives no new requests."
);
code!(
    HEARTBEAT_STALE,
    10033,
    Info,
    "heartbeat_stale",
    "A heartbeat is older than the current state of its target and was ignored."
);
code!(
    HEARTBEAT_REFUSED,
    10034,
    Warn,
    "heartbeat_refused",
    "A heartbeat could not be decoded and was ignored."
);
code!(REQUEST_SERVED, 10040, Info, "request_served", "A request got a response from a target.");
code!(REQUEST_REFUSED, 10041, Info, "request_refused", "A request did not run and was refused.");
code!(
    REQUEST_FAILED,
    10042,
    Warn,
    "request_failed",
    "A request was sent to a target and got no usable response."
);
code!(
    REQUEST_ABANDONED,
    10043,
    Info,
    "request_abandoned",
    "The caller disconnected before the response."
);
code!(
    ATTEMPT_ENDED,
    10044,
    Info,
    "attempt_ended",
    "An attempt gave no final response; the fields contain the reason and the target."
);
code!(
    ROLLOUT_REQUESTED,
    10050,
    Info,
    "rollout_ordered",
    "The operator requested a move of a service to another version."
);
code!(
    ROLLOUT_FAULT_DETECTED,
    10051,
    Warn,
    "rollout_condemned",
    "A fault of the new version of a service was detected; it receives no new requests."
);
code!(
    ROLLOUT_STATUS_CHANGED,
    10052,
    Info,
    "rollout_progress",
    "The status row of a move has changed."
);
code!(
    ROLLOUT_STATUS_NOT_WRITTEN,
    10053,
    Warn,
    "rollout_not_written",
    "The status row of a move could not be written; the write will be retried."
);

/// All codes of this module in ascending order of their numbers.
pub const CODES: &[EventCode] = &[
    STARTED,
    STOPPING,
    STOPPED,
    RELOADED,
    RELOAD_REFUSED,
    CONFIG_IN_EFFECT,
    ROW_REJECTED,
    STORE_LOST,
    STORE_REACHED,
    HISTORY_LOST,
    PEER_REACHED,
    PEER_LOST,
    TARGET_STARTED,
    TARGET_UPDATED,
    TARGET_LEAVING,
    HEARTBEAT_STALE,
    HEARTBEAT_REFUSED,
    REQUEST_SERVED,
    REQUEST_REFUSED,
    REQUEST_FAILED,
    REQUEST_ABANDONED,
    ATTEMPT_ENDED,
    ROLLOUT_REQUESTED,
    ROLLOUT_FAULT_DETECTED,
    ROLLOUT_STATUS_CHANGED,
    ROLLOUT_STATUS_NOT_WRITTEN,
];
