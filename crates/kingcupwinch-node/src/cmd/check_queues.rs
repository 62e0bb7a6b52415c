//! The subcommand that checks a configuration before it is published.

use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use kingcupwinch_adapter::{Document, Finding, Severity};

/// Exit code for unreadable files and invalid arguments.
const EXIT_USAGE: u8 = 2;

/// Builds the `check-queues` subcommand.
pub fn make_subcommand() -> Command {
    let file = value_parser!(PathBuf);
    Command::new("check-queues")
        .about("Checks a configuration of the users' platform before it is published")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(file.clone())
                .help("The configuration; `-` reads the standard input"),
        )
        .arg(
            Arg::new("in-force")
                .long("in-force")
                .value_name("FILE")
                .value_parser(file)
                .help("The version in force, to show what differs from it"),
        )
}

/// Prints what is wrong with a configuration, one finding a line.
///
/// The exit code is 0 without errors, 1 with errors and 2 for files that can't be read.
pub fn execute(matches: &ArgMatches) -> ExitCode {
    let file = |name| matches.get_one::<PathBuf>(name).map(PathBuf::as_path);
    match check(file("file").unwrap_or(Path::new("-")), file("in-force")) {
        Ok(findings) => {
            for finding in &findings {
                println!("{finding}");
            }
            let is_error = |finding: &Finding| finding.severity == Severity::Error;
            ExitCode::from(u8::from(findings.iter().any(is_error)))
        }
        Err(error) => {
            eprintln!("kingcupwinchd: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn check(file: &Path, in_force: Option<&Path>) -> Result<Vec<Finding>, String> {
    if file == Path::new("-") && in_force == Some(file) {
        return Err("only one file can be the standard input".to_owned());
    }
    let bytes = read(file)?;
    let old = in_force.map(|path| Ok::<_, String>((path, read(path)?)));
    let old = match old.transpose()? {
        None => None,
        Some((path, bytes)) => Some(Document::decode(&bytes).map_err(|findings| {
            let first = findings.first().map(Finding::to_string).unwrap_or_default();
            format!("{} can't be in force: {first}", path.display())
        })?),
    };
    Ok(match Document::decode(&bytes) {
        Ok(document) => document.check(old.as_ref()),
        Err(findings) => findings,
    })
}

fn read(path: &Path) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    let result = if path == Path::new("-") {
        io::stdin().read_to_end(&mut bytes).map(drop)
    } else {
        std::fs::read(path).map(|read| bytes = read)
    };
    result.map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(bytes)
}
