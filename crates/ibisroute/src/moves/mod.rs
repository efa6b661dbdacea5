//! Staged moves of a service's traffic between target versions: schedule, evidence, verdict,
//! outcome.

pub mod actor;
pub mod evaluator;
pub mod evidence;
pub mod move_settings;
pub mod outcome;
pub mod schedule;
pub mod state;
pub mod verdict;
