//! Claims of idempotency keys, which make bookings run at most once.
//!
//! A booking is sent to a target only by the attempt whose token is in the claim row of its
//! idempotency key. Correctness rests on the table's conditional insert alone; the state that nodes
//! hold in memory only reduces the number of writes.

pub mod actor;
pub mod claim_settings;
pub mod row;
pub mod state;
