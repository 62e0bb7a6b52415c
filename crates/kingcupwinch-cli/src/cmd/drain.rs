//! `drain`: starts the graceful shutdown of an instance or a worker.

use clap::{Arg, ArgMatches, Command};

use crate::console::Console;
use crate::error::Error;
use crate::exit::Exit;
use crate::settings::{Settings, add_address_args};

/// Builds the subcommand.
pub(super) fn make_subcommand() -> Command {
    let worker = Command::new("worker")
        .about("Stops new work on a worker; sent to every instance, since any may own the worker")
        .arg(
            Arg::new("name")
                .value_name("WORKER")
                .required(true)
                .help("Name of the worker in the platform's list"),
        );
    let instance = Command::new("instance")
        .about("Hands over an instance's shards and finishes its requests in flight");
    Command::new("drain")
        .about("Starts the graceful shutdown of an instance or a worker")
        .subcommand_required(true)
        .subcommand(add_address_args(instance))
        .subcommand(add_address_args(worker))
}

/// Runs the subcommand.
pub(super) async fn execute(
    matches: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<Exit, Error> {
    match matches.subcommand() {
        Some(("worker", sub)) => drain_worker(sub, console).await,
        Some((_, sub)) => drain_instance(sub, console).await,
        None => Ok(Exit::Usage),
    }
}

async fn drain_instance(matches: &ArgMatches, console: &mut Console<'_>) -> Result<Exit, Error> {
    let settings = Settings::from_matches(matches)?;
    let [address] = settings.require_instances()? else {
        console.error("name exactly one instance to drain with --instance IP:PORT")?;
        return Ok(Exit::Usage);
    };
    let answer = settings.operator_client().post(*address, "/v1/drain").await;
    answer.map_err(|cause| Error::Instance(*address, cause))?;
    console.line(format_args!(
        "{address} is draining; `kingcupwinch status` shows when it has stopped"
    ))?;
    Ok(Exit::Success)
}

async fn drain_worker(matches: &ArgMatches, console: &mut Console<'_>) -> Result<Exit, Error> {
    let settings = Settings::from_matches(matches)?;
    let operator = settings.operator_client();
    let name = matches.get_one::<String>("name").map_or("", String::as_str);
    if !is_worker_name(name) {
        console.error(format_args!(
            "{name:?} can't be a worker's name; use letters, digits, '-', '_' and '.'"
        ))?;
        return Ok(Exit::Usage);
    }
    let path = format!("/v1/workers/{name}/drain");
    let mut exit = Exit::Unreachable;
    for address in settings.require_instances()? {
        match operator.post(*address, &path).await {
            Ok(()) => {
                exit = Exit::Success;
                console.line(format_args!("{address}: {name} is draining"))?;
            }
            Err(cause) => console.note(format_args!("{address}: {cause}"))?,
        }
    }
    if exit != Exit::Success {
        console.error(format_args!(
            "no instance drains {name}; `kingcupwinch status` lists the workers and their owners"
        ))?;
    }
    Ok(exit)
}

fn is_worker_name(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.bytes().all(is_allowed)
}
