//! Event codes of `moves`.

use super::EventCode;

/// Codes in the order of their numbers.
pub const CODES: &[EventCode] = &[];
