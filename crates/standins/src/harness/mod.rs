//! Starts and controls real node processes with a platform stand-in, targets and relays.
//!
//! From the admin interface it reads `version` (or `version_in_effect`) of `/status`, and the
//! members of `/members`: an array, or an object with the array `members`. A member whose `status`
//! is `dead`, in upper or lower case, does not count.

mod catalogue;
mod cluster;
pub(crate) mod process;
mod targets;

pub use catalogue::apply_catalogue;
pub use cluster::Builder;
pub use cluster::Cluster;
pub use cluster::Node;
pub use cluster::NodeAddresses;
pub use cluster::NodeSpec;
pub use process::Output;
pub use process::run;
