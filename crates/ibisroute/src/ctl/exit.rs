//! Exit codes, and errors that carry one.

use std::process::ExitCode;

use eyre::Report;
use eyre::eyre;

use crate::catalogue::store::StoreError;

/// How a run ended; the number is the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Everything was done.
    Done = 0,
    /// Any other failure, for example a file or node that cannot be read.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The catalogue is invalid; nothing was written.
    Invalid = 3,
    /// Another operator's version is the head; nothing was written.
    Conflict = 4,
    /// The version was accepted, but is not in force everywhere in time.
    NotInForce = 5,
    /// The platform is unavailable, or it is unknown whether the version was accepted.
    Unavailable = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Ends the run before its end.
#[derive(Debug)]
pub struct Stop {
    /// Exit status.
    pub exit: Exit,
    /// What to print on standard error; `None` when the command has printed all.
    pub report: Option<Report>,
}

impl Stop {
    /// Stops with a message.
    pub fn new(exit: Exit, report: Report) -> Self {
        Self { exit, report: Some(report) }
    }

    /// Stops without a message.
    pub fn silent(exit: Exit) -> Self {
        Self { exit, report: None }
    }

    /// Stops because the command line is wrong.
    pub fn usage(message: String) -> Self {
        Self::new(Exit::Usage, eyre!(message))
    }
}

impl From<Report> for Stop {
    fn from(report: Report) -> Self {
        Self::new(Exit::Failed, report)
    }
}

impl From<StoreError> for Stop {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Platform(e) => Self::new(Exit::Unavailable, eyre!("{e}")),
            StoreError::NoVersion(_) | StoreError::Damaged(_) => {
                Self::new(Exit::Failed, eyre!("{error}"))
            }
        }
    }
}
