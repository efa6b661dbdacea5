//! Event codes of `moves`.

use log::Level;

use super::EventCode;

/// The new version gets its first share.
pub const STARTED: EventCode = EventCode {
    number: 5001,
    level: Level::Info,
    name: "move_started",
    meaning: "The new version gets its first share of the calls.",
};

/// A further stage is permitted.
pub const STAGE: EventCode = EventCode {
    number: 5002,
    level: Level::Info,
    name: "move_stage",
    meaning: "This evaluator permitted the stage named; all nodes follow within a second.",
};

/// The new version is withdrawn.
pub const WITHDRAWN: EventCode = EventCode {
    number: 5003,
    level: Level::Warn,
    name: "move_withdrawn",
    meaning: "The new version gets no calls any more, for the reason named. Declare a new move when the fault is repaired.",
};

/// The move has finished.
pub const FINISHED: EventCode = EventCode {
    number: 5004,
    level: Level::Info,
    name: "move_finished",
    meaning: "The outcome is recorded as finished: the new version gets all calls. Make it the service's version in the catalogue.",
};

/// A run of failures stopped this node's share.
pub const STOPPED_HERE: EventCode = EventCode {
    number: 5005,
    level: Level::Warn,
    name: "move_stopped_here",
    meaning: "Consecutive calls of this node to the new version failed; the node sends it none for a while. The evaluators decide about the move.",
};

/// A withdrawal came after the recorded outcome.
pub const LATE_WITHDRAWAL: EventCode = EventCode {
    number: 5006,
    level: Level::Error,
    name: "move_late_withdrawal",
    meaning: "A fault was found after the move was recorded as finished. The recorded outcome stands; declare a move back when the fault is real.",
};

/// The outcome could not be recorded yet.
pub const OUTCOME_DELAYED: EventCode = EventCode {
    number: 5007,
    level: Level::Warn,
    name: "move_outcome_delayed",
    meaning: "The table did not confirm the outcome; the write is repeated until it is known. A withdrawal is in effect already.",
};

/// The owner has the report.
pub const REPORTED: EventCode = EventCode {
    number: 5008,
    level: Level::Info,
    name: "move_reported",
    meaning: "The owner's report is delivered and recorded.",
};

/// The owner's report could not be delivered yet.
pub const REPORT_DELAYED: EventCode = EventCode {
    number: 5009,
    level: Level::Warn,
    name: "move_report_delayed",
    meaning: "The owner's report address or the table gave no success; the report is repeated until delivered. Check the service's report_url.",
};

/// Codes in the order of their numbers.
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
