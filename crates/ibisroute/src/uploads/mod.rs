//! Durable acceptance of uploads that no target can take.
//!
//! An upload that finds no target is kept in the object store with a row that drives its delivery;
//! only then does the caller get its 202.

pub mod actor;
pub mod row;
pub mod state;
pub mod store;
pub mod upload_settings;
