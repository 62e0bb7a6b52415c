//! `drain`: starts the graceful stop of an instance.

use clap::{ArgMatches, Command};

use crate::console::Console;
use crate::error::Error;
use crate::exit::Exit;
use crate::settings::{Settings, with_addresses};

/// Makes the subcommand.
pub(super) fn make_subcommand() -> Command {
    let instance = Command::new("instance")
        .about("Hands over an instance's shards and finishes its requests in flight");
    Command::new("drain")
        .about("Starts the graceful stop of an instance")
        .subcommand_required(true)
        .subcommand(with_addresses(instance))
}

/// Runs the subcommand.
pub(super) async fn execute(
    matches: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<Exit, Error> {
    let Some(("instance", matches)) = matches.subcommand() else {
        return Ok(Exit::Usage);
    };
    let settings = Settings::with_matches(matches)?;
    let [address] = settings.known_instances()? else {
        console.error("name exactly one instance to drain with --instance IP:PORT")?;
        return Ok(Exit::Usage);
    };
    let answer = settings.operator().post(*address, "/v1/drain").await;
    answer.map_err(|cause| Error::Instance(*address, cause))?;
    console.line(format_args!(
        "{address} is draining; `kingcupwinch status` shows when it has stopped"
    ))?;
    Ok(Exit::Success)
}
