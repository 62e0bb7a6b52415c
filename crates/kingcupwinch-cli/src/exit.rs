//! Exit codes of the commands.

use std::process::ExitCode;

/// Outcome of a command, which determines the exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success,
    /// The configuration or a saved scrape is invalid and nothing was changed, or a local file or
    /// the output could not be read or written.
    Failure,
    /// The arguments or the settings file are invalid; nothing was changed.
    Usage,
    /// The platform or an instance could not be reached, or refused the request.
    Unreachable,
    /// The publication was refused, mostly because another one came first; nothing was changed.
    Conflict,
    /// The outcome of the publication is unknown, or some instances don't have the version yet.
    Pending,
    /// A burn-rate alert is raised.
    Alert,
}

impl Exit {
    /// Returns the exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::Usage => 2,
            Exit::Unreachable => 3,
            Exit::Conflict => 4,
            Exit::Pending => 5,
            Exit::Alert => 6,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit.code())
    }
}
