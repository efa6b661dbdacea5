//! Event codes of `report`.

use super::EventCode;

/// Codes in the order of their numbers.
pub const CODES: &[EventCode] = &[];
