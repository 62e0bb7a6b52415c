//! `diff`: shows the settings that publishing a folder would change.

use anstyle::AnsiColor;
use clap::{ArgMatches, Command};
use kingcupwinch_config::{Origins, Tree};
use serde_json::Value;

use super::check;
use crate::change::{Change, changes};
use crate::console::Console;
use crate::error::Error;
use crate::exit::Exit;
use crate::published::PublishedConfig;
use crate::settings::{Settings, add_address_args};

/// Builds the subcommand.
pub(super) fn make_subcommand() -> Command {
    let command = Command::new("diff")
        .about("Shows the settings that publishing a folder would change")
        .arg(check::folder_arg());
    add_address_args(command)
}

/// Runs the subcommand.
pub(super) async fn execute(
    matches: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<Exit, Error> {
    let loaded = check::load(matches)?;
    let settings = Settings::from_matches(matches)?;
    let published = PublishedConfig::read(settings.log()?, settings.timeout()).await?;
    let before = published.tree()?.unwrap_or_else(Tree::default);
    let changes = changes(&before, &loaded.tree);
    if console.is_json() {
        console.json(&changes)?;
        return Ok(Exit::Success);
    }
    let version = published.version();
    if changes.is_empty() {
        console.line(format_args!("the folder equals version {version}"))?;
        return Ok(Exit::Success);
    }
    for change in &changes {
        write_change(change, &loaded.origins, console)?;
    }
    let count = changes.len();
    console.line(format_args!(
        "{count} settings differ from version {version}"
    ))?;
    Ok(Exit::Success)
}

fn write_change(
    change: &Change,
    origins: &Origins,
    console: &mut Console<'_>,
) -> Result<(), Error> {
    let origin = origins.location(&change.path);
    let origin = origin.map_or_else(String::new, |location| format!("  ({location})"));
    let path = &change.path;
    let (sign, colour, values) = match (&change.before, &change.after) {
        (None, Some(after)) => ("+", AnsiColor::Green, after.to_string()),
        (Some(before), None) => ("-", AnsiColor::Red, before.to_string()),
        (before, after) => (
            "~",
            AnsiColor::Yellow,
            before_and_after(before.as_ref(), after.as_ref()),
        ),
    };
    let sign = console.paint(sign, colour);
    console.line(format_args!("{sign} {path} {values}{origin}"))?;
    Ok(())
}

fn before_and_after(before: Option<&Value>, after: Option<&Value>) -> String {
    let text = |value: Option<&Value>| value.map_or_else(String::new, Value::to_string);
    format!("{} -> {}", text(before), text(after))
}
