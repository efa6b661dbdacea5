//! Durable storage of uploads that no target can accept.
//!
//! The body of such an upload is written to the object store, then a row that drives its delivery
//! to the table. The caller receives 202 only after both writes.

pub mod actor;
pub mod row;
pub mod state;
pub mod store;
pub mod upload_settings;
