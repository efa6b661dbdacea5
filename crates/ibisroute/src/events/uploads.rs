//! Event codes of stored uploads (numbers 7xxx).

use log::Level;

use super::EventCode;

/// An upload was stored because no target could accept it.
pub const STORED: EventCode = EventCode {
    number: 7001,
    level: Level::Info,
    name: "upload_stored",
    meaning: "No target could accept an upload; it was written to the object store and will be delivered later.",
};

/// No target could accept an upload, and it could not be stored either.
pub const NOT_STORED: EventCode = EventCode {
    number: 7002,
    level: Level::Warn,
    name: "upload_not_stored",
    meaning: "No target could accept an upload and it could not be stored; the call was refused as \"not run\".",
};

/// A stored upload reached a target.
pub const DELIVERED: EventCode = EventCode {
    number: 7003,
    level: Level::Info,
    name: "upload_delivered",
    meaning: "A stored upload reached a target; its row and chunks are deleted.",
};

/// The delivery of a stored upload failed and will be retried.
pub const DELIVERY_FAILED: EventCode = EventCode {
    number: 7004,
    level: Level::Warn,
    name: "upload_delivery_failed",
    meaning: "A stored upload could not be delivered, or its row could not be deleted; the delivery will be retried.",
};

/// All codes of this module in the order of their numbers.
pub const CODES: &[EventCode] = &[STORED, NOT_STORED, DELIVERED, DELIVERY_FAILED];
