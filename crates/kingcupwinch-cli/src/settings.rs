//! Where the platform and the instances are: a settings file, overridden by arguments.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Deserialize;

use crate::error::Error;
use crate::operator::OperatorClient;

/// The settings file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct File {
    /// The log service.
    log: Option<SocketAddr>,
    /// The operators' ports of the instances.
    instances: Vec<SocketAddr>,
}

/// The addresses that a command works with.
#[derive(Debug)]
pub(crate) struct Settings {
    log: Option<SocketAddr>,
    instances: Vec<SocketAddr>,
    timeout: Duration,
}

/// Adds the arguments that name addresses.
pub(crate) fn add_address_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .env("KINGCUPWINCH_SETTINGS")
                .value_parser(value_parser!(PathBuf))
                .help("TOML file with `log` and `instances`"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("IP:PORT")
                .env("KINGCUPWINCH_LOG")
                .value_parser(value_parser!(SocketAddr))
                .help("Address of the platform's log service"),
        )
        .arg(
            Arg::new("instance")
                .long("instance")
                .value_name("IP:PORT")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("Operators' port of an instance; may be repeated"),
        )
        .arg(
            Arg::new("timeout-ms")
                .long("timeout-ms")
                .value_name("MS")
                .default_value("5000")
                .value_parser(value_parser!(u64).range(1..=600_000))
                .help("Longest wait for one answer"),
        )
}

impl Settings {
    /// Reads the settings file, if one is named, and the arguments over it.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, Error> {
        let file = match matches.get_one::<PathBuf>("settings") {
            Some(path) => read_file(path)?,
            None => File::default(),
        };
        let mut instances = file.instances;
        if let Some(given) = matches.get_many::<SocketAddr>("instance") {
            instances = given.copied().collect();
        }
        let timeout_ms = matches.get_one::<u64>("timeout-ms").copied().unwrap_or(1);
        Ok(Settings {
            log: matches.get_one("log").copied().or(file.log),
            instances,
            timeout: Duration::from_millis(timeout_ms),
        })
    }

    /// Returns the log service's address.
    pub(crate) fn log(&self) -> Result<SocketAddr, Error> {
        self.log.ok_or(Error::NoLogAddress)
    }

    /// Returns the instances, none where nothing names one.
    pub(crate) fn instances(&self) -> &[SocketAddr] {
        &self.instances
    }

    /// Returns the instances, at least one.
    pub(crate) fn require_instances(&self) -> Result<&[SocketAddr], Error> {
        if self.instances.is_empty() {
            return Err(Error::NoInstanceAddress);
        }
        Ok(&self.instances)
    }

    /// Returns the longest wait for one answer.
    pub(crate) fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Makes a client of the operators' ports.
    pub(crate) fn operator_client(&self) -> OperatorClient {
        OperatorClient::new(self.timeout)
    }
}

fn read_file(path: &Path) -> Result<File, Error> {
    let text = fs::read_to_string(path).map_err(|cause| Error::File(path.to_owned(), cause))?;
    let parsed = toml::from_str(&text);
    parsed.map_err(|e| Error::Settings(path.to_owned(), e.to_string().trim_end().to_owned()))
}
