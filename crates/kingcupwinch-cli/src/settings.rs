//! Addresses of the platform and the instances, from a settings file and the arguments.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Deserialize;

use crate::error::Error;
use crate::operator::OperatorClient;

/// Contents of the settings file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct File {
    /// Address of the log service.
    log: Option<SocketAddr>,
    /// Operators' ports of the instances.
    instances: Vec<SocketAddr>,
}

/// Addresses and timeout of a command.
#[derive(Debug)]
pub(crate) struct Settings {
    log: Option<SocketAddr>,
    instances: Vec<SocketAddr>,
    timeout: Duration,
}

/// Adds the arguments for addresses and the timeout.
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
                .help("Address of an instance's operators' port; may be repeated"),
        )
        .arg(
            Arg::new("timeout-ms")
                .long("timeout-ms")
                .value_name("MS")
                .default_value("5000")
                .value_parser(value_parser!(u64).range(1..=600_000))
                .help("Timeout of a request, in milliseconds"),
        )
}

impl Settings {
    /// Reads the settings file, if one is given; arguments override it.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is invalid.
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

    /// Returns the address of the log service, or an error if none is set.
    pub(crate) fn log(&self) -> Result<SocketAddr, Error> {
        self.log.ok_or(Error::NoLogAddress)
    }

    /// Returns the addresses of the instances, possibly none.
    pub(crate) fn instances(&self) -> &[SocketAddr] {
        &self.instances
    }

    /// Returns the addresses of the instances, or an error if there is none.
    pub(crate) fn require_instances(&self) -> Result<&[SocketAddr], Error> {
        if self.instances.is_empty() {
            return Err(Error::NoInstanceAddress);
        }
        Ok(&self.instances)
    }

    /// Returns the timeout of a request.
    pub(crate) fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Creates a client of the operators' ports.
    pub(crate) fn operator_client(&self) -> OperatorClient {
        OperatorClient::new(self.timeout)
    }
}

fn read_file(path: &Path) -> Result<File, Error> {
    let text = fs::read_to_string(path).map_err(|cause| Error::File(path.to_owned(), cause))?;
    let parsed = toml::from_str(&text);
    parsed.map_err(|e| Error::Settings(path.to_owned(), e.to_string().trim_end().to_owned()))
}
