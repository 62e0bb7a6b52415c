//! `explain`: shows from the logs of instances what became of a job, or where the time of jobs goes.

use std::fs::File;
use std::io::{BufReader, stdin};
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::console::Console;
use crate::error::Error;
use crate::exit::Exit;
use crate::explain::{LogReader, QueueSummary, Timeline, summarize};
use crate::table::Table;

/// Builds the subcommand.
pub(super) fn make_subcommand() -> Command {
    Command::new("explain")
        .about("Shows from instances' logs what became of a job, or where the time of jobs goes")
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .num_args(0..)
                .value_parser(value_parser!(PathBuf))
                .help("The logs of any number of instances; without one, the standard input"),
        )
        .arg(
            Arg::new("job")
                .long("job")
                .value_name("ID")
                .help("Show the timeline of this job"),
        )
}

/// Runs the subcommand.
pub(super) fn execute(matches: &ArgMatches, console: &mut Console<'_>) -> Result<Exit, Error> {
    let mut reader = LogReader::default();
    let files = matches.get_many::<PathBuf>("logs").unwrap_or_default();
    if files.len() == 0 {
        reader.read("standard input", stdin().lock())?;
    }
    for path in files {
        let file = |cause| Error::File(path.clone(), cause);
        let source = BufReader::new(File::open(path).map_err(file)?);
        reader
            .read(&path.display().to_string(), source)
            .map_err(file)?;
    }
    if let Some(bad_lines) = reader.bad_lines() {
        console.note(bad_lines)?;
    }
    let events = reader.into_events();
    match matches.get_one::<String>("job") {
        Some(job) => write_timeline(&Timeline::new(&events, job), job, console),
        None => {
            let queues = summarize(&events);
            if console.is_json() {
                console.json(&queues)?;
                return Ok(Exit::Success);
            }
            for (name, summary) in &queues {
                write_summary(name, summary, console)?;
            }
            Ok(Exit::Success)
        }
    }
}

fn write_timeline(
    timeline: &Timeline,
    job: &str,
    console: &mut Console<'_>,
) -> Result<Exit, Error> {
    if timeline.entries.is_empty() {
        return Err(Error::UnknownJob(job.into()));
    }
    if console.is_json() {
        console.json(timeline)?;
        return Ok(Exit::Success);
    }
    let mut table = Table::new(["MS", "EVENT", "INSTANCE", "WHAT", "DETAILS"]);
    for entry in &timeline.entries {
        table.push([
            entry.ms.to_string(),
            entry.event.clone(),
            entry.instance.clone(),
            entry.text.clone(),
            entry.details.clone(),
        ]);
    }
    console.table(&table)?;
    Ok(Exit::Success)
}

fn write_summary(
    name: &str,
    summary: &QueueSummary,
    console: &mut Console<'_>,
) -> Result<(), Error> {
    console.line(format_args!(
        "queue {name}: {} jobs, {} ended, {} failed; {} failed runs, {} retries",
        summary.jobs, summary.ended, summary.failed, summary.failed_runs, summary.retries
    ))?;
    for (cause, count) in &summary.refusals {
        console.line(format_args!("  {count} requests refused: {cause}"))?;
    }
    if !summary.parts.is_empty() {
        let mut table = Table::new(["  MS", "P50", "P95", "P99"]);
        for part in &summary.parts {
            table.push([
                format!("  {}", part.name),
                part.p50.to_string(),
                part.p95.to_string(),
                part.p99.to_string(),
            ]);
        }
        console.table(&table)?;
    }
    Ok(())
}
