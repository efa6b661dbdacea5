//! At-most-once claims for requests that may not be repeated.
//!
//! A request is dispatched only by the attempt whose token stands in the claim row of its
//! idempotency key. The table's conditional insert decides; everything in memory only saves writes.

pub mod actor;
pub mod claim_settings;
pub mod row;
pub mod state;
