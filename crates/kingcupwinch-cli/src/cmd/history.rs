//! `history`: lists the versions that the log retains, or shows the outcome of a publication.

use std::sync::Arc;

use chrono::{DateTime, SecondsFormat};
use clap::{Arg, ArgMatches, Command, value_parser};
use kingcupwinch_coord::history::{Entry, PublishOutcome};
use kingcupwinch_coord::id::RecordId;
use kingcupwinch_time::WallTime;
use serde::Serialize;
use uuid::Uuid;

use crate::console::Console;
use crate::error::Error;
use crate::exit::Exit;
use crate::published::{PublishedConfig, conflict_text};
use crate::settings::{Settings, add_address_args};
use crate::table::Table;

/// JSON form of a version.
#[derive(Debug, Serialize)]
struct VersionView {
    version: u64,
    record: String,
    author: Arc<str>,
    published: String,
    in_force: bool,
}

impl VersionView {
    fn new(entry: &Entry, current: u64) -> Self {
        VersionView {
            version: entry.version.0,
            record: entry.id.to_string(),
            author: Arc::clone(&entry.author),
            published: rfc3339(entry.published),
            in_force: entry.version.0 == current,
        }
    }
}

/// Formats a time as RFC 3339 in UTC, empty if it is out of the calendar's range.
fn rfc3339(time: WallTime) -> String {
    let millis = i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
    let date = DateTime::from_timestamp_millis(millis);
    date.map_or_else(String::new, |d| {
        d.to_rfc3339_opts(SecondsFormat::Secs, true)
    })
}

/// Builds the subcommand.
pub(super) fn make_subcommand() -> Command {
    let command = Command::new("history")
        .about("Lists the published versions, or shows the outcome of a publication")
        .arg(
            Arg::new("record")
                .long("record")
                .value_name("ID")
                .value_parser(value_parser!(Uuid))
                .help("Show the outcome of the publication with this record id"),
        );
    add_address_args(command)
}

/// Runs the subcommand.
pub(super) async fn execute(
    matches: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<Exit, Error> {
    let settings = Settings::from_matches(matches)?;
    let published = PublishedConfig::read(settings.log()?, settings.timeout()).await?;
    match matches.get_one::<Uuid>("record") {
        Some(id) => write_outcome(RecordId(*id), &published, console),
        None => write_versions(&published, console),
    }
}

fn write_versions(published: &PublishedConfig, console: &mut Console<'_>) -> Result<Exit, Error> {
    let current = published.version();
    let views: Vec<VersionView> = published
        .entries()
        .map(|entry| VersionView::new(entry, current))
        .collect();
    if console.is_json() {
        console.json(&views)?;
        return Ok(Exit::Success);
    }
    let mut table = Table::new(["VERSION", "IN FORCE", "AUTHOR", "PUBLISHED", "RECORD"]);
    for view in views {
        let in_force = if view.in_force { "yes" } else { "" };
        table.push([
            view.version.to_string(),
            in_force.to_owned(),
            view.author.to_string(),
            view.published,
            view.record,
        ]);
    }
    console.table(&table)?;
    Ok(Exit::Success)
}

fn write_outcome(
    id: RecordId,
    published: &PublishedConfig,
    console: &mut Console<'_>,
) -> Result<Exit, Error> {
    let (text, exit) = match published.outcome(id) {
        Some(PublishOutcome::Won(version)) => {
            (format!("it made version {}", version.0), Exit::Success)
        }
        Some(PublishOutcome::Lost { winner }) => {
            (conflict_text(published, *winner), Exit::Conflict)
        }
        Some(PublishOutcome::Ahead) => (
            "it is based on a version that did not exist yet, so it has no effect".to_owned(),
            Exit::Conflict,
        ),
        Some(PublishOutcome::Invalid { reason }) => {
            (format!("it is refused: {reason}"), Exit::Conflict)
        }
        None => (
            "the log does not hold it; it may still arrive if it was sent only just now".to_owned(),
            Exit::Pending,
        ),
    };
    console.line(format_args!("record {id}: {text}"))?;
    Ok(exit)
}
