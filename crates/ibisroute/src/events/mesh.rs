//! Event codes of `mesh`.

use log::Level;

use super::EventCode;

macro_rules! code {
    ($name:ident, $number:literal, $level:ident, $text:literal, $meaning:literal) => {
        #[doc = $meaning]
        pub const $name: EventCode =
            EventCode { number: $number, level: Level::$level, name: $text, meaning: $meaning };
    };
}

code!(
    STARTED,
    10001,
    Info,
    "mesh_started",
    "The node listens; it serves once it knows a configuration."
);
code!(STOPPING, 10002, Info, "mesh_stopping", "A graceful stop has begun.");
code!(STOPPED, 10003, Info, "mesh_stopped", "The node has stopped; the fields count what was cut.");
code!(RELOADED, 10004, Info, "mesh_reloaded", "The settings file was read again and is in force.");
code!(
    RELOAD_REFUSED,
    10005,
    Warn,
    "mesh_reload_refused",
    "The settings file is wrong at the path named; the old settings stay."
);
code!(
    CONFIG_IN_FORCE,
    10010,
    Info,
    "config_in_force",
    "A configuration is in force on this node; the source tells from where it came."
);
code!(
    ROW_REJECTED,
    10011,
    Warn,
    "row_rejected",
    "A row of the store cannot be used; what was in force stays."
);
code!(
    STORE_LOST,
    10012,
    Warn,
    "store_lost",
    "The store does not serve this node; peers are asked instead."
);
code!(STORE_REACHED, 10013, Info, "store_reached", "The store serves this node again.");
code!(
    HISTORY_LOST,
    10014,
    Info,
    "store_history_lost",
    "The store dropped its history; the tables are read again."
);
code!(PEER_REACHED, 10020, Info, "peer_reached", "A connection to a peer is up.");
code!(PEER_LOST, 10021, Warn, "peer_lost", "The connection to a peer ended or went silent.");
code!(
    TARGET_STARTED,
    10030,
    Info,
    "target_started",
    "The target beside the node announced a new run."
);
code!(
    TARGET_UPDATED,
    10031,
    Info,
    "target_updated",
    "The target beside the node announced other slots or another version."
);
code!(
    TARGET_LEAVING,
    10032,
    Info,
    "target_leaving",
    "The target beside the node leaves; it gets nothing new."
);
code!(
    HEARTBEAT_STALE,
    10033,
    Info,
    "heartbeat_stale",
    "A heartbeat is older than what is known and changes nothing."
);
code!(
    HEARTBEAT_REFUSED,
    10034,
    Warn,
    "heartbeat_refused",
    "A heartbeat cannot be read and names no target."
);
code!(REQUEST_SERVED, 10040, Info, "request_served", "A request got the answer of a target.");
code!(REQUEST_REFUSED, 10041, Info, "request_refused", "A request did not run and was refused.");
code!(
    REQUEST_FAILED,
    10042,
    Warn,
    "request_failed",
    "A request was sent to a target and has no usable answer."
);
code!(REQUEST_ABANDONED, 10043, Info, "request_abandoned", "The caller left before the answer.");
code!(
    ATTEMPT_ENDED,
    10044,
    Info,
    "attempt_ended",
    "An attempt gave no final answer; the fields tell why and on which target."
);
code!(
    ORDER_SEEN,
    10050,
    Info,
    "rollout_ordered",
    "The operator ordered a move of a service to another version."
);
code!(
    VERSION_CONDEMNED,
    10051,
    Warn,
    "rollout_condemned",
    "The new version of a service is judged bad; it gets no new requests."
);
code!(PROGRESS_SEEN, 10052, Info, "rollout_progress", "The status row of a move has changed.");
code!(
    PROGRESS_NOT_WRITTEN,
    10053,
    Warn,
    "rollout_not_written",
    "The status row of a move could not be written; it is tried again."
);

/// All codes, in the order of their numbers.
pub const CODES: &[EventCode] = &[
    STARTED,
    STOPPING,
    STOPPED,
    RELOADED,
    RELOAD_REFUSED,
    CONFIG_IN_FORCE,
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
    ORDER_SEEN,
    VERSION_CONDEMNED,
    PROGRESS_SEEN,
    PROGRESS_NOT_WRITTEN,
];
