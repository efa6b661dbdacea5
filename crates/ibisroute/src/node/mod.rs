//! The node process: starts the modules, connects them and stops them.

pub mod admin;
pub mod control;
pub mod control_handle;
pub mod listeners;
pub mod logging;
pub mod messages;
pub mod run;
pub mod snapshot_actor;
pub mod status;
pub mod targets;
