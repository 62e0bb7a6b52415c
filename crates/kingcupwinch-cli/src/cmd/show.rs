//! `show`: shows the configuration in force, an older version, or a merged folder.

use std::path::PathBuf;
use std::sync::Arc;

use clap::{Arg, ArgMatches, Command, value_parser};
use kingcupwinch_config::{Origins, SettingValues, Tree, load_folder};

use crate::console::Console;
use crate::error::Error;
use crate::exit::Exit;
use crate::published::PublishedConfig;
use crate::settings::{Settings, add_address_args};

/// Builds the subcommand.
pub(super) fn make_subcommand() -> Command {
    let command = Command::new("show")
        .about("Shows the configuration in force, an older version, or a merged folder")
        .arg(
            Arg::new("folder")
                .long("folder")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("Show this folder after merging, with the location of each value"),
        )
        .arg(
            Arg::new("version")
                .long("version")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .conflicts_with("folder")
                .help("Show this version"),
        )
        .arg(
            Arg::new("path")
                .value_name("PATH")
                .help("Show only settings under this path, such as classes.check"),
        );
    add_address_args(command)
}

/// Runs the subcommand.
pub(super) async fn execute(
    matches: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<Exit, Error> {
    let (tree, origins) = match matches.get_one::<PathBuf>("folder") {
        Some(folder) => {
            let loaded = load_folder(folder)?;
            (loaded.tree, loaded.origins)
        }
        None => (published_tree(matches).await?, Origins::default()),
    };
    let path = matches.get_one::<String>("path").map_or("", String::as_str);
    let shown = under_path(tree.settings(), path);
    if shown.is_empty() && !path.is_empty() {
        return Err(Error::UnknownPath(Arc::from(path)));
    }
    if console.is_json() {
        console.json(&shown)?;
        return Ok(Exit::Success);
    }
    for (path, value) in &shown {
        let origin = origins
            .location(path)
            .map(|location| format!("  ({location})"));
        let origin = origin.unwrap_or_default();
        console.line(format_args!("{path} = {value}{origin}"))?;
    }
    Ok(Exit::Success)
}

async fn published_tree(matches: &ArgMatches) -> Result<Tree, Error> {
    let settings = Settings::from_matches(matches)?;
    let published = PublishedConfig::read(settings.log()?, settings.timeout()).await?;
    match matches.get_one::<u64>("version") {
        Some(version) => published.tree_at(*version),
        None => published.tree()?.ok_or(Error::Unpublished),
    }
}

fn under_path(settings: SettingValues, path: &str) -> SettingValues {
    let is_under = |setting: &str| {
        path.is_empty()
            || setting
                .strip_prefix(path)
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    };
    settings
        .into_iter()
        .filter(|(setting, _)| is_under(setting))
        .collect()
}
