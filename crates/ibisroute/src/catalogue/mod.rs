//! The catalogue: what operators edit. Parsing, validation, difference, delta and digest.

pub mod model;
