//! Stand-ins for the environment of a mesh node (`ibisrouted --mesh`): the row store, application
//! instances, and whole fleets of real node processes.

pub mod fleet;
pub mod instance;
pub mod kept_connection;
pub mod soak;
pub mod store;
