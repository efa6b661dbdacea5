//! Event codes of `claims`.

use super::EventCode;

/// Codes in the order of their numbers.
pub const CODES: &[EventCode] = &[];
