//! `status`: shows the state of each instance, its workers, its queues and its view of the log.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use anstyle::AnsiColor;
use clap::{Arg, ArgAction, ArgMatches, Command};
use kingcupwinch_wire::api::{Status, WorkerState};
use serde::Serialize;

use crate::console::Console;
use crate::error::Error;
use crate::exit::Exit;
use crate::settings::{Settings, add_address_args};
use crate::table::Table;

/// JSON form of the status of an instance.
#[derive(Debug, Serialize)]
struct InstanceView {
    address: SocketAddr,
    status: Option<Status>,
    error: Option<String>,
}

/// Builds the subcommand.
pub(super) fn make_subcommand() -> Command {
    let command = Command::new("status")
        .about("Shows the state of the instances, workers, queues and the log")
        .arg(
            Arg::new("workers")
                .long("workers")
                .action(ArgAction::SetTrue)
                .help("List every worker"),
        );
    add_address_args(command)
}

/// Runs the subcommand.
pub(super) async fn execute(
    matches: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<Exit, Error> {
    let settings = Settings::from_matches(matches)?;
    let operator = settings.operator_client();
    let mut views = Vec::new();
    for address in settings.require_instances()? {
        let answer = operator.get_json::<Status>(*address, "/v1/status").await;
        let error = answer.as_ref().err().map(ToString::to_string);
        views.push(InstanceView {
            address: *address,
            status: answer.ok(),
            error,
        });
    }
    let all_answered = views.iter().all(|view| view.status.is_some());
    if console.is_json() {
        console.json(&views)?;
    } else {
        write_instances(&views, console)?;
        write_domains(&views, console)?;
        write_queues(&views, console)?;
        if matches.get_flag("workers") {
            write_workers(&views, console)?;
        }
        write_errors(&views, console)?;
    }
    Ok(if all_answered {
        Exit::Success
    } else {
        Exit::Unreachable
    })
}

fn statuses(views: &[InstanceView]) -> impl Iterator<Item = &Status> {
    views.iter().filter_map(|view| view.status.as_ref())
}

fn write_instances(views: &[InstanceView], console: &mut Console<'_>) -> Result<(), Error> {
    let mut table = Table::new([
        "INSTANCE", "DOMAIN", "PHASE", "VERSION", "LOG LAG", "VIEW", "SHARDS", "WORKERS", "BUSY",
        "SLOTS",
    ]);
    for status in statuses(views) {
        let owned = status.shards.iter().filter(|s| s.dispatching).count();
        let busy: u32 = status.workers.iter().map(|w| w.busy).sum();
        let slots: u32 = status.workers.iter().map(|w| w.slots).sum();
        let lag = status.log.tail.saturating_sub(status.log.next);
        let phase = if status.phase.is_empty() {
            "-"
        } else {
            &status.phase
        };
        let view = if status.log.fresh { "fresh" } else { "stale" };
        table.push([
            status.instance.to_string(),
            status.domain.to_string(),
            phase.to_owned(),
            status.version.to_string(),
            lag.to_string(),
            view.to_owned(),
            format!("{owned}/{}", status.shards.len()),
            status.workers.len().to_string(),
            busy.to_string(),
            slots.to_string(),
        ]);
    }
    console.table(&table)?;
    Ok(())
}

/// Dispatching of the shards of a failure domain, as reported by the instances that answered.
#[derive(Debug, Default)]
struct DomainShards {
    /// Number of instances that dispatch to each shard.
    dispatchers: Vec<u32>,
}

impl DomainShards {
    fn add(&mut self, status: &Status) {
        let length = self.dispatchers.len().max(status.shards.len());
        self.dispatchers.resize(length, 0);
        let owned = status.shards.iter().filter(|shard| shard.dispatching);
        for shard in owned {
            if let Some(count) = self.dispatchers.get_mut(usize::from(shard.shard)) {
                *count += 1;
            }
        }
    }

    fn count(&self, is_counted: impl Fn(u32) -> bool) -> usize {
        let dispatchers = self.dispatchers.iter();
        dispatchers.filter(|count| is_counted(**count)).count()
    }
}

fn write_domains(views: &[InstanceView], console: &mut Console<'_>) -> Result<(), Error> {
    let mut domains: BTreeMap<Arc<str>, DomainShards> = BTreeMap::new();
    for status in statuses(views) {
        domains
            .entry(Arc::clone(&status.domain))
            .or_default()
            .add(status);
    }
    if domains.is_empty() {
        return Ok(());
    }
    let mut table = Table::new(["DOMAIN", "SHARDS", "DISPATCHED", "IDLE", "CONTESTED"]);
    for (domain, shards) in &domains {
        table.push([
            domain.to_string(),
            shards.dispatchers.len().to_string(),
            shards.count(|n| n == 1).to_string(),
            shards.count(|n| n == 0).to_string(),
            shards.count(|n| n > 1).to_string(),
        ]);
    }
    console.line("")?;
    console.table(&table)?;
    Ok(())
}

fn write_queues(views: &[InstanceView], console: &mut Console<'_>) -> Result<(), Error> {
    let mut table = Table::new(["INSTANCE", "CLASS", "WAITING", "RUNNING"]);
    let mut is_empty = true;
    for status in statuses(views) {
        for queue in &status.queues {
            is_empty = false;
            table.push([
                status.instance.to_string(),
                queue.class.to_string(),
                queue.waiting.to_string(),
                queue.running.to_string(),
            ]);
        }
    }
    if !is_empty {
        console.line("")?;
        console.table(&table)?;
    }
    Ok(())
}

fn write_workers(views: &[InstanceView], console: &mut Console<'_>) -> Result<(), Error> {
    let mut table = Table::new(["WORKER", "RACK", "OWNER", "SHARD", "STATE", "BUSY", "SLOTS"]);
    for status in statuses(views) {
        for worker in &status.workers {
            table.push([
                worker.name.to_string(),
                worker.rack.to_string(),
                status.instance.to_string(),
                worker.shard.to_string(),
                state_text(worker.state).to_owned(),
                worker.busy.to_string(),
                worker.slots.to_string(),
            ]);
        }
    }
    console.line("")?;
    console.table(&table)?;
    Ok(())
}

fn state_text(state: WorkerState) -> &'static str {
    match state {
        WorkerState::Live => "live",
        WorkerState::Leaving => "leaving",
        WorkerState::Quarantined => "quarantined",
        WorkerState::Inherited => "inherited",
    }
}

fn write_errors(views: &[InstanceView], console: &mut Console<'_>) -> Result<(), Error> {
    for view in views {
        if let Some(error) = &view.error {
            let word = console.paint("no answer", AnsiColor::Red);
            console.note(format_args!("{}: {word}: {error}", view.address))?;
        }
    }
    Ok(())
}
