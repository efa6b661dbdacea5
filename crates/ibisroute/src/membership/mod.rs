//! Membership: which nodes and targets exist, and where.

pub mod record;
