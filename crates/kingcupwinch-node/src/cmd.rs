//! The subcommand that runs an instance on the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use kingcupwinch_cell::{Disabled, Mechanism};

use crate::Node;

pub mod check_queues;

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;
/// Default path of the settings file that the platform writes.
const DEFAULT_SETTINGS: &str = "/etc/kingcupwinch/boot.toml";

/// Builds the `node` subcommand.
pub fn make_subcommand() -> Command {
    Command::new("node")
        .about("Runs an instance on the users' platform")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .env("KINGCUPWINCH_CONFIG")
                .default_value(DEFAULT_SETTINGS)
                .value_parser(value_parser!(PathBuf))
                .help("The settings file that the platform wrote"),
        )
        .arg(
            mechanism_list("without", Mechanism::ALL)
                .help("Switch a mechanism off, to measure what it is worth"),
        )
        .arg(
            mechanism_list("with", Mechanism::OPT_IN)
                .help("Switch a mechanism on that is off by default"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and end"),
        )
}

/// Builds an option that takes a list of these mechanisms.
fn mechanism_list(name: &'static str, mechanisms: &'static [Mechanism]) -> Arg {
    let names = mechanisms.iter().map(|mechanism| mechanism.as_str());
    Arg::new(name)
        .long(name)
        .value_name("MECHANISM")
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_parser(PossibleValuesParser::new(names))
}

/// Runs an instance until it is asked to stop.
///
/// The exit code is 0 after a graceful stop, 1 if the instance could not start and 2 for invalid
/// settings. A process that has not stopped by the end of its grace period ends itself with 3.
pub fn execute(matches: &ArgMatches) -> ExitCode {
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::from(EXIT_SETTINGS);
    };
    let node = match Node::new(path, disabled_mechanisms(matches)) {
        Ok(node) => node,
        Err(error) => {
            eprintln!("kingcupwinchd: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(node.run()),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kingcupwinchd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn disabled_mechanisms(matches: &ArgMatches) -> Disabled {
    let is_named = |option: &str, mechanism: &Mechanism| {
        let mut names = matches.get_many::<String>(option).unwrap_or_default();
        names.any(|name| name == mechanism.as_str())
    };
    let is_off = |mechanism: &Mechanism| {
        let is_opt_in = Mechanism::OPT_IN.contains(mechanism);
        is_named("without", mechanism) || is_opt_in && !is_named("with", mechanism)
    };
    Mechanism::ALL.iter().copied().filter(is_off).collect()
}

#[cfg(test)]
mod tests;
