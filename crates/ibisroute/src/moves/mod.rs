//! Moves of traffic between target versions: schedule, evidence, verdict and outcome.

pub mod actor;
pub mod evaluator;
pub mod evidence;
pub mod move_settings;
pub mod outcome;
pub mod schedule;
pub mod state;
pub mod verdict;
