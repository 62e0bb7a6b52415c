//! `publish`: appends the tree of a folder to the log and waits until it is in force.
//!
//! The record is sent only once. If the response to the append is lost, the log is read until the
//! outcome of the record is known.

use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use kingcupwinch_config::Tree;
use kingcupwinch_coord::history::PublishOutcome;
use kingcupwinch_coord::id::{RecordId, Version};
use kingcupwinch_coord::record::{ConfigRecord, Stamped};
use kingcupwinch_time::WallClock;
use kingcupwinch_wire::encode_config;
use serde::Serialize;
use tokio::time::Instant;
use uuid::Uuid;

use super::check;
use crate::console::Console;
use crate::error::Error;
use crate::exit::Exit;
use crate::published::{PublishedConfig, conflict_text};
use crate::rollout::{Rollout, wait_in_force};
use crate::settings::{Settings, add_address_args};

/// Long-poll wait, and backoff after a failed read, while the outcome is read back.
const READ_BACK_POLL: Duration = Duration::from_millis(500);

/// JSON form of the outcome of a publication.
#[derive(Debug, Serialize)]
struct PublishView {
    record: Option<String>,
    outcome: &'static str,
    version: Option<u64>,
    detail: String,
    behind: Vec<String>,
}

/// Builds the subcommand.
pub(super) fn make_subcommand() -> Command {
    let command = Command::new("publish")
        .about("Publishes a configuration folder and waits until it is in force")
        .arg(check::folder_arg())
        .arg(
            Arg::new("on")
                .long("on")
                .value_name("VERSION")
                .required(true)
                .value_parser(value_parser!(u64))
                .help("Version that the folder is based on; 0 before the first"),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .env("USER")
                .default_value("unknown")
                .help("Author shown in the history"),
        )
        .arg(
            Arg::new("wait-ms")
                .long("wait-ms")
                .value_name("MS")
                .default_value("10000")
                .value_parser(value_parser!(u64).range(1..=600_000))
                .help("Timeout in milliseconds for the outcome, and again for the instances"),
        );
    add_address_args(command)
}

/// Runs the subcommand.
pub(super) async fn execute(
    matches: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<Exit, Error> {
    let loaded = check::load(matches)?;
    let settings = Settings::from_matches(matches)?;
    let based = Version(matches.get_one::<u64>("on").copied().unwrap_or_default());
    let mut published = PublishedConfig::read(settings.log()?, settings.timeout()).await?;
    if published.version() != based.0 {
        return reject_stale_base(based, published.version(), console);
    }
    let record = make_record(matches, based, &loaded.tree);
    let wait_ms = matches.get_one::<u64>("wait-ms").copied().unwrap_or(1);
    let wait = Duration::from_millis(wait_ms);
    append(&record, &mut published, wait, console).await?;
    match published.outcome(record.id).cloned() {
        Some(PublishOutcome::Won(version)) => {
            report_rollout(record.id, version, &settings, wait, console).await
        }
        outcome => report_outcome(record.id, outcome.as_ref(), &published, console),
    }
}

/// Reports that the folder is based on a version that isn't in force; nothing was sent.
fn reject_stale_base(
    based: Version,
    current: u64,
    console: &mut Console<'_>,
) -> Result<Exit, Error> {
    let detail = format!(
        "version {current} is in force, not {}; look at it with `diff` and publish again with `--on {current}`; nothing was changed",
        based.0
    );
    let view = PublishView {
        record: None,
        outcome: "stale",
        version: None,
        detail,
        behind: Vec::new(),
    };
    write_view(&view, console)?;
    Ok(Exit::Conflict)
}

fn make_record(matches: &ArgMatches, based: Version, tree: &Tree) -> Stamped<ConfigRecord> {
    let author = matches.get_one::<String>("author");
    Stamped {
        id: RecordId(Uuid::now_v7()),
        body: ConfigRecord {
            based,
            version: Version(based.0 + 1),
            origin: None,
            author: Arc::from(author.map_or("unknown", String::as_str)),
            published: WallClock.now(),
            tree: Arc::from(tree.to_canonical_json()),
        },
    }
}

/// Appends the record and reads the log until its outcome is known or `wait` has passed.
async fn append(
    record: &Stamped<ConfigRecord>,
    published: &mut PublishedConfig,
    wait: Duration,
    console: &mut Console<'_>,
) -> Result<(), Error> {
    if let Some(cause) = published.log().append(encode_config(record)).await? {
        console.note(format_args!("{cause}; reading back record {}", record.id))?;
    }
    let deadline = Instant::now() + wait;
    while published.outcome(record.id).is_none() && Instant::now() < deadline {
        // The log may recover before the deadline.
        if published.read_page(READ_BACK_POLL).await.is_err() {
            tokio::time::sleep(READ_BACK_POLL).await;
        }
    }
    Ok(())
}

async fn report_rollout(
    id: RecordId,
    version: Version,
    settings: &Settings,
    wait: Duration,
    console: &mut Console<'_>,
) -> Result<Exit, Error> {
    let rollout = wait_in_force(settings, version.0, wait).await;
    let text = rollout_text(version.0, &rollout);
    let exit = if rollout.behind.is_empty() {
        Exit::Success
    } else {
        Exit::Pending
    };
    let view = PublishView {
        record: Some(id.to_string()),
        outcome: "won",
        version: Some(version.0),
        detail: text,
        behind: rollout.behind,
    };
    write_view(&view, console)?;
    Ok(exit)
}

fn rollout_text(version: u64, rollout: &Rollout) -> String {
    if rollout.queried == 0 {
        return format!("version {version} is published; no instance is known, so none was asked");
    }
    if rollout.behind.is_empty() {
        return format!(
            "version {version} is in force on {0} of {0} instances",
            rollout.queried
        );
    }
    format!(
        "version {version} is published, but not yet in force on {} of {} instances; each takes it once it reaches the log or a sibling",
        rollout.behind.len(),
        rollout.queried
    )
}

fn report_outcome(
    id: RecordId,
    outcome: Option<&PublishOutcome>,
    published: &PublishedConfig,
    console: &mut Console<'_>,
) -> Result<Exit, Error> {
    let (outcome, detail, exit) = match outcome {
        Some(PublishOutcome::Lost { winner }) => {
            ("lost", conflict_text(published, *winner), Exit::Conflict)
        }
        Some(PublishOutcome::Invalid { reason }) => (
            "refused",
            format!("it is refused: {reason}"),
            Exit::Conflict,
        ),
        Some(PublishOutcome::Ahead) => {
            let detail = "it is based on a version that does not exist; nothing was changed";
            ("refused", detail.to_owned(), Exit::Conflict)
        }
        Some(PublishOutcome::Won(_)) | None => {
            let detail = format!(
                "its outcome is not known yet; ask again with `kingcupwinch history --record {id}` before you publish anything else"
            );
            ("unknown", detail, Exit::Pending)
        }
    };
    let view = PublishView {
        record: Some(id.to_string()),
        outcome,
        version: None,
        detail,
        behind: Vec::new(),
    };
    write_view(&view, console)?;
    Ok(exit)
}

fn write_view(view: &PublishView, console: &mut Console<'_>) -> Result<(), Error> {
    if console.is_json() {
        console.json(view)?;
        return Ok(());
    }
    match &view.record {
        _ if view.outcome == "won" => console.line(&view.detail)?,
        Some(record) => console.error(format_args!("record {record}: {}", view.detail))?,
        None => console.error(&view.detail)?,
    }
    for behind in &view.behind {
        console.line(format_args!("behind: {behind}"))?;
    }
    Ok(())
}
