//! Membership: which nodes and targets exist, and where.

pub mod actor;
pub mod endpoints;
pub mod membership_settings;
pub mod merge;
pub mod record;
pub mod state;
pub mod target;
