//! At-most-once claims for requests that are not safe to retry.
//!
//! A request is dispatched only by the attempt whose token is in the claim row of its idempotency
//! key. Correctness rests on the table's conditional insert alone; the state in memory only saves
//! writes.

pub mod actor;
pub mod claim_settings;
pub mod row;
pub mod state;
