//! `completions`: writes a completion script for a shell.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};

use crate::console::Console;
use crate::error::Error;
use crate::exit::Exit;

/// Builds the subcommand.
pub(super) fn make_subcommand() -> Command {
    Command::new("completions")
        .about("Writes a completion script for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("Shell to write the script for"),
        )
}

/// Runs the subcommand.
pub(super) fn execute(matches: &ArgMatches, console: &mut Console<'_>) -> Result<Exit, Error> {
    let shell = matches.get_one::<Shell>("shell").copied();
    let mut script = Vec::new();
    let mut command = super::make_command();
    generate(
        shell.unwrap_or(Shell::Bash),
        &mut command,
        "kingcupwinch",
        &mut script,
    );
    console.raw(&script)?;
    Ok(Exit::Success)
}
