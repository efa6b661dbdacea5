//! Configuration distribution and traffic routing for a service mesh.
//!
//! A node ([`node`]) runs on each host. It accepts calls from callers, selects a target for each,
//! forwards the call to the node on the host of that target, and takes part in the distribution of
//! the catalogue.
//! `docs/design.md` describes the modules and which of them owns which state.

pub mod catalogue;
pub mod claims;
pub mod clock;
pub mod ctl;
pub mod distribution;
pub mod events;
pub mod membership;
pub mod mesh;
pub mod moves;
pub mod node;
pub mod peers;
pub mod platform;
pub mod report;
pub mod settings;
pub mod snapshot;
pub mod telemetry;
pub mod traffic;
pub mod types;
pub mod uploads;
pub mod wire;
