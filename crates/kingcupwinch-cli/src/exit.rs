//! Exit codes.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// It did what was asked.
    Success,
    /// The configuration or a saved scrape is at fault; nothing was changed.
    Fault,
    /// The arguments or the command's settings are wrong; nothing was changed.
    Usage,
    /// The platform or an instance could not be reached or refused.
    Unreachable,
    /// Another publication won; nothing was changed.
    Lost,
    /// The outcome is not known yet, or not in force everywhere yet.
    Pending,
    /// A burn rate alert is raised.
    Alert,
}

impl Exit {
    /// Returns the process's exit code.
    pub const fn code(self) -> u8 {
        match self {
            Exit::Success => 0,
            Exit::Fault => 1,
            Exit::Usage => 2,
            Exit::Unreachable => 3,
            Exit::Lost => 4,
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
