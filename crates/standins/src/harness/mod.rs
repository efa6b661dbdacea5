//! Starts real node processes with a platform stand-in, targets and relays, and drives them.
//!
//! What it reads from the admin interface: `version` (or `version_in_effect`) of `/status`, and the
//! list of `/members` (an array, or an object with the array `members`; a member whose `status` is
//! `dead`, in any case, does not count).

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
