//! The subcommands.

mod check;
mod completions;
mod diff;
mod drain;
mod explain;
mod history;
mod publish;
mod report;
mod show;
mod status;

use std::ffi::OsString;
use std::io;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgMatches, Command};

use crate::console::{Console, Format};
use crate::error::Error;
use crate::exit::Exit;

/// Maximum number of faults listed in the text output.
const MAX_LISTED_FAULTS: usize = 20;

/// Builds the command with all its subcommands.
pub fn make_command() -> Command {
    Command::new("kingcupwinch")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates the kingcupwinch cluster scheduler")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("output")
                .long("output")
                .global(true)
                .value_name("FORM")
                .default_value("table")
                .value_parser(PossibleValuesParser::new(["table", "json"]))
                .help("Output format"),
        )
        .subcommand(check::make_subcommand())
        .subcommand(diff::make_subcommand())
        .subcommand(publish::make_subcommand())
        .subcommand(show::make_subcommand())
        .subcommand(history::make_subcommand())
        .subcommand(status::make_subcommand())
        .subcommand(drain::make_subcommand())
        .subcommand(report::make_subcommand())
        .subcommand(explain::make_subcommand())
        .subcommand(completions::make_subcommand())
}

/// Runs a command with its arguments, starting with the program name.
pub async fn run(
    args: impl IntoIterator<Item = impl Into<OsString> + Clone>,
    console: &mut Console<'_>,
) -> Exit {
    let matches = match make_command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => return report_parse_error(&error, console),
    };
    if matches
        .get_one::<String>("output")
        .is_some_and(|f| f == "json")
    {
        console.set_format(Format::Json);
    }
    match execute(&matches, console).await {
        Ok(exit) => exit,
        Err(error) => report_error(&error, console),
    }
}

async fn execute(matches: &ArgMatches, console: &mut Console<'_>) -> Result<Exit, Error> {
    match matches.subcommand() {
        Some(("check", sub)) => check::execute(sub, console),
        Some(("diff", sub)) => diff::execute(sub, console).await,
        Some(("publish", sub)) => publish::execute(sub, console).await,
        Some(("show", sub)) => show::execute(sub, console).await,
        Some(("history", sub)) => history::execute(sub, console).await,
        Some(("status", sub)) => status::execute(sub, console).await,
        Some(("drain", sub)) => drain::execute(sub, console).await,
        Some(("report", sub)) => report::execute(sub, console).await,
        Some(("explain", sub)) => explain::execute(sub, console),
        Some(("completions", sub)) => completions::execute(sub, console),
        _ => Ok(Exit::Usage),
    }
}

/// Writes clap's message: help and version to the output, errors to the error stream.
fn report_parse_error(error: &clap::Error, console: &mut Console<'_>) -> Exit {
    let text = error.render();
    let text = text.to_string();
    let (written, exit) = if error.use_stderr() {
        (console.note(text.trim_end()), Exit::Usage)
    } else {
        (console.line(text.trim_end()), Exit::Success)
    };
    written.map_or(Exit::Failure, |()| exit)
}

fn report_error(error: &Error, console: &mut Console<'_>) -> Exit {
    let is_closed_pipe =
        matches!(error, Error::Write(cause) if cause.kind() == io::ErrorKind::BrokenPipe);
    if is_closed_pipe {
        return Exit::Success;
    }
    // If the error stream can't be written, only the exit code reports the failure.
    let _ = write_failure(error, console);
    error.exit()
}

fn write_failure(error: &Error, console: &mut Console<'_>) -> io::Result<()> {
    if let Error::Faults(faults) = error {
        for fault in faults.list.iter().take(MAX_LISTED_FAULTS) {
            console.note(fault)?;
        }
        let more = faults.list.len().saturating_sub(MAX_LISTED_FAULTS);
        if more > 0 {
            console.note(format_args!("... and {more} more; fix these first"))?;
        }
    }
    console.error(error)
}
