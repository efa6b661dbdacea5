//! Commands that change the catalogue.

pub mod apply;
pub mod declare;
mod in_effect;
