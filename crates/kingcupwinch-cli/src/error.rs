//! Errors of commands; their messages name the cause and, where possible, a remedy.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use kingcupwinch_config::Faults;
use quick_error::quick_error;

use crate::burn::{PlotError, ScrapeError};
use crate::exit::Exit;
use crate::http::HttpError;
use crate::log::LogError;

quick_error! {
    /// Error of a command.
    #[derive(Debug)]
    pub enum Error {
        /// The configuration is invalid.
        Faults(faults: Faults) {
            display("the configuration has {}", count_faults(faults))
            from()
        }
        /// The output can't be written.
        Write(cause: io::Error) {
            display("the output can't be written: {cause}")
            source(cause)
            from()
        }
        /// A local file can't be read or written.
        File(path: PathBuf, cause: io::Error) {
            display("{} can't be used: {cause}", path.display())
            source(cause)
        }
        /// The settings file is invalid.
        Settings(path: PathBuf, cause: String) {
            display("the settings file {} is wrong: {cause}", path.display())
        }
        /// No address of the log service is given.
        NoLogAddress {
            display("no log service is known; give --log IP:PORT or set `log` in the settings file")
        }
        /// No address of an instance is given.
        NoInstanceAddress {
            display("no instance is known; give --instance IP:PORT or set `instances` in the settings file")
        }
        /// A request to an instance failed.
        Instance(address: SocketAddr, cause: HttpError) {
            display("the request to the instance at {address} failed: {cause}; check the address, or use another instance")
            source(cause)
        }
        /// The log service failed.
        Log(cause: LogError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The oldest records have expired and no snapshot covers them.
        Truncated {
            display("the log no longer holds the whole configuration; the instances append a snapshot while they run, so start one and try again")
        }
        /// The log doesn't hold the version.
        UnknownVersion(version: u64, newest: u64) {
            display("version {version} is not kept; the newest is {newest}, and `kingcupwinch history` lists those that are")
        }
        /// No version has been published.
        Unpublished {
            display("nothing is published yet; `kingcupwinch publish DIR --on 0` makes the first version")
        }
        /// The configuration has no setting under the path.
        UnknownPath(path: Arc<str>) {
            display("the configuration has no `{path}`; show it whole to see its settings")
        }
        /// A saved scrape can't be used.
        Scrape(cause: ScrapeError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// No instance has two scrapes, so that no rate can be computed.
        NoScrapes {
            display("there are no two scrapes of one instance; collect for longer, or give a folder with more of them")
        }
        /// The logs have no line about the job.
        UnknownJob(job: Arc<str>) {
            display("no line is about the job {job}; give the logs of all instances, and of the time when it was sent")
        }
        /// The configuration has no objectives.
        NoObjectives {
            display("the configuration sets no objectives; add a table [objectives.CLASS]")
        }
        /// The plot can't be drawn.
        Plot(cause: PlotError) {
            display("{cause}")
            source(cause)
            from()
        }
    }
}

fn count_faults(faults: &Faults) -> String {
    match faults.list.len() {
        1 => "1 fault".to_owned(),
        n => format!("{n} faults"),
    }
}

impl Error {
    /// Returns the exit code class of the error.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Error::Faults(_) | Error::Scrape(_) | Error::NoScrapes | Error::NoObjectives => {
                Exit::Failure
            }
            Error::Settings(..)
            | Error::NoLogAddress
            | Error::NoInstanceAddress
            | Error::UnknownVersion(..)
            | Error::UnknownPath(_)
            | Error::UnknownJob(_)
            | Error::Unpublished => Exit::Usage,
            Error::Write(_) | Error::File(..) | Error::Plot(_) => Exit::Failure,
            Error::Instance(..) | Error::Log(_) | Error::Truncated => Exit::Unreachable,
        }
    }
}
