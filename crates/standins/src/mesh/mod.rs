//! Stand-ins for the users' platform: its store of rows, application instances and whole fleets of
//! real node processes.

pub mod fleet;
pub mod instance;
pub mod soak;
pub mod store;
