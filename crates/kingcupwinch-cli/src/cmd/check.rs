//! `check`: checks a configuration folder and reports all faults.

use std::path::PathBuf;
use std::sync::Arc;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use kingcupwinch_config::{Fault, LoadedConfig, load_folder};
use serde::Serialize;

use crate::console::Console;
use crate::error::Error;
use crate::exit::Exit;

/// JSON form of a fault.
#[derive(Debug, Serialize)]
struct FaultView {
    file: Arc<str>,
    line: u32,
    column: u32,
    path: Arc<str>,
    message: String,
    clash: Option<String>,
}

impl From<&Fault> for FaultView {
    fn from(fault: &Fault) -> Self {
        FaultView {
            file: Arc::clone(&fault.location.file),
            line: fault.location.line,
            column: fault.location.column,
            path: Arc::clone(&fault.path),
            message: fault.kind.to_string(),
            clash: fault.conflict.as_ref().map(ToString::to_string),
        }
    }
}

/// JSON form of the result.
#[derive(Debug, Serialize)]
struct CheckView {
    is_valid: bool,
    files: Vec<Arc<str>>,
    faults: Vec<FaultView>,
}

/// Builds the subcommand.
pub(super) fn make_subcommand() -> Command {
    Command::new("check")
        .about("Checks a configuration folder and reports all faults")
        .arg(folder_arg())
        .arg(
            Arg::new("verbose")
                .long("verbose")
                .short('v')
                .action(ArgAction::SetTrue)
                .help("Also list the merged and the skipped files"),
        )
}

/// Builds the argument for a configuration folder.
pub(super) fn folder_arg() -> Arg {
    Arg::new("folder")
        .value_name("DIR")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Folder of *.toml files, merged in the order of their names")
}

/// Loads the folder given by the argument.
pub(super) fn load(matches: &ArgMatches) -> Result<LoadedConfig, Error> {
    let folder = matches.get_one::<PathBuf>("folder").cloned();
    Ok(load_folder(folder.unwrap_or_default())?)
}

/// Runs the subcommand.
pub(super) fn execute(matches: &ArgMatches, console: &mut Console<'_>) -> Result<Exit, Error> {
    let loaded = match load(matches) {
        Err(Error::Faults(faults)) if console.is_json() => {
            console.json(&CheckView {
                is_valid: false,
                files: Vec::new(),
                faults: faults.list.iter().map(FaultView::from).collect(),
            })?;
            return Ok(Exit::Failure);
        }
        other => other?,
    };
    if console.is_json() {
        console.json(&CheckView {
            is_valid: true,
            files: loaded.files,
            faults: Vec::new(),
        })?;
        return Ok(Exit::Success);
    }
    if matches.get_flag("verbose") {
        write_files(&loaded, console)?;
    }
    let tree = &loaded.tree;
    console.line(format_args!(
        "ok: {} files, {} passed over; {} domains, {} services, {} classes, {} customers, {} objectives",
        loaded.files.len(),
        loaded.skipped.len(),
        tree.domains.len(),
        tree.services.len(),
        tree.classes.len(),
        tree.customers.len(),
        tree.objectives.len(),
    ))?;
    Ok(Exit::Success)
}

fn write_files(loaded: &LoadedConfig, console: &mut Console<'_>) -> Result<(), Error> {
    for name in &loaded.files {
        console.line(format_args!("merged {name}"))?;
    }
    for skipped in &loaded.skipped {
        let reason = skipped.reason.as_str();
        console.line(format_args!("passed over {} ({reason})", skipped.name))?;
    }
    Ok(())
}
