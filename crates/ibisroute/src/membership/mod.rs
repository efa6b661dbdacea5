//! Membership: the nodes and targets of the fleet and their addresses, disseminated by gossip.

pub mod actor;
pub mod endpoints;
pub mod membership_settings;
pub mod merge;
pub mod record;
pub mod state;
pub mod target;
