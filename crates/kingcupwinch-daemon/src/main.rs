//! The entry instance's daemon; see the library of the same package.

use std::process::ExitCode;

use kingcupwinch_daemon::cmd;

fn main() -> ExitCode {
    cmd::execute(&cmd::make_command().get_matches())
}
