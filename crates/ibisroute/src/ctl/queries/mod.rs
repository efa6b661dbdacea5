//! Read-only commands.

pub mod burn;
pub mod check;
pub mod completions;
pub mod diff;
pub mod events;
pub mod history;
pub mod moves;
pub mod show;
pub mod status;
