//! Burn report: how fast entries use up the error budgets of their service-level objectives.

pub mod actor;
pub mod burn;
pub mod render;
pub mod report_settings;
