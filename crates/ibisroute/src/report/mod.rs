//! Service-level burn report.

pub mod actor;
pub mod burn;
pub mod render;
pub mod report_settings;
