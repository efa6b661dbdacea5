//! Event codes of moves (numbers 5xxx).

use log::Level;

use super::EventCode;

/// The new version receives its first share of the calls.
pub const STARTED: EventCode = EventCode {
    number: 5001,
    level: Level::Info,
    name: "move_started",
    meaning: "The new version receives its first share of the calls.",
};

/// An evaluator permitted the next stage of a move.
pub const STAGE: EventCode = EventCode {
    number: 5002,
    level: Level::Info,
    name: "move_stage",
    meaning: "This evaluator permitted the given stage; all nodes follow within a second.",
};

/// The new version of a move is withdrawn.
pub const WITHDRAWN: EventCode = EventCode {
    number: 5003,
    level: Level::Warn,
    name: "move_withdrawn",
    meaning: "The new version receives no more calls, for the reason given. Declare a new move after the fault is repaired.",
};

/// The outcome of a move is recorded as finished.
pub const FINISHED: EventCode = EventCode {
    number: 5004,
    level: Level::Info,
    name: "move_finished",
    meaning: "The outcome is recorded as finished: the new version receives all calls. Make it the service's version in the catalogue.",
};

/// This node stopped its own calls to a new version after consecutive failures.
pub const STOPPED_HERE: EventCode = EventCode {
    number: 5005,
    level: Level::Warn,
    name: "move_stopped_here",
    meaning: "Consecutive calls of this node to the new version failed; the node temporarily sends it no calls. The evaluators decide about the move.",
};

/// A withdrawal of the new version arrived after the outcome "finished" had been recorded.
pub const LATE_WITHDRAWAL: EventCode = EventCode {
    number: 5006,
    level: Level::Error,
    name: "move_late_withdrawal",
    meaning: "A fault was detected after the move was recorded as finished. The recorded outcome stands; declare a move back to the old version if the fault is real.",
};

/// The outcome of a move could not be recorded yet.
pub const OUTCOME_DELAYED: EventCode = EventCode {
    number: 5007,
    level: Level::Warn,
    name: "move_outcome_delayed",
    meaning: "The table did not confirm the outcome; the write is retried until the outcome is confirmed. A withdrawal is already in effect.",
};

/// The owner of a service has received the report on a move.
pub const REPORTED: EventCode = EventCode {
    number: 5008,
    level: Level::Info,
    name: "move_reported",
    meaning: "The report to the owner was delivered and recorded.",
};

/// The report on a move could not be delivered to the owner yet.
pub const REPORT_DELAYED: EventCode = EventCode {
    number: 5009,
    level: Level::Warn,
    name: "move_report_delayed",
    meaning: "The report to the owner could not be delivered or recorded; it is retried until delivered. Check the service's report_url.",
};

/// All codes of this module in the order of their numbers.
pub const CODES: &[EventCode] = &[
    STARTED,
    STAGE,
    WITHDRAWN,
    FINISHED,
    STOPPED_HERE,
    LATE_WITHDRAWAL,
    OUTCOME_DELAYED,
    REPORTED,
    REPORT_DELAYED,
];
