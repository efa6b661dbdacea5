//! Durable storage of uploads that no target can accept.
//!
//! First the body of such an upload is written to the object store, then a row to the table. The
//! caller receives 202 only after both writes. A node scans for the rows and delivers their
//! uploads.

pub mod actor;
pub mod delivery;
pub mod row;
pub mod state;
pub mod store;
pub mod upload_settings;
