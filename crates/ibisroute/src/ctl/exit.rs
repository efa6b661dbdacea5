//! Exit codes, and errors that determine the exit code.

use std::process::ExitCode;

use eyre::Report;
use eyre::eyre;

use crate::catalogue::store::StoreError;

/// Outcome of a command; the discriminant is the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// Any other failure, for example a file or a node that cannot be read.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The catalogue is invalid; nothing was written.
    Invalid = 3,
    /// The head is another operator's version; nothing was written.
    Conflict = 4,
    /// The version was accepted, but did not take effect on every live node in time.
    NotInEffect = 5,
    /// The platform is unavailable, or it is unknown whether the version was accepted.
    Unavailable = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Failure of a command, with the resulting exit code.
#[derive(Debug)]
pub struct CommandError {
    pub exit: Exit,
    /// Message for standard error; `None` if the command has already printed everything.
    pub report: Option<Report>,
}

impl CommandError {
    /// Creates an error with a message.
    pub fn new(exit: Exit, report: Report) -> Self {
        Self { exit, report: Some(report) }
    }

    /// Creates an error without a message, for a command that has already printed the reason.
    pub fn silent(exit: Exit) -> Self {
        Self { exit, report: None }
    }

    /// Creates an error for a wrong command line.
    pub fn usage(message: String) -> Self {
        Self::new(Exit::Usage, eyre!(message))
    }
}

impl From<Report> for CommandError {
    fn from(report: Report) -> Self {
        Self::new(Exit::Failed, report)
    }
}

impl From<StoreError> for CommandError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Platform(e) => Self::new(Exit::Unavailable, eyre!("{e}")),
            StoreError::NoVersion(_) | StoreError::Damaged(_) => {
                Self::new(Exit::Failed, eyre!("{error}"))
            }
        }
    }
}
