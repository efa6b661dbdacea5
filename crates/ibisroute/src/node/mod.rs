//! One node: wires the modules into a process.

pub mod handle;
pub mod logging;
pub mod messages;
