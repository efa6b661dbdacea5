//! Distribution of the configuration: head detection, push, anti-entropy and version floor.

pub mod actor;
pub mod body;
pub mod distribution_settings;
pub mod state;
