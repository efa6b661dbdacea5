//! Distribution of the configuration: detection of a new head, epidemic push, anti-entropy and the
//! version floor.

pub mod actor;
pub mod body;
pub mod distribution_settings;
pub mod state;
