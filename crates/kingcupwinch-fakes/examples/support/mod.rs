//! Helpers shared by the example programs.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, value_parser};
use tokio::signal::unix::{SignalKind, signal};

/// Returns the flag for the listen address.
pub(crate) fn address() -> Arg {
    Arg::new("address")
        .long("address")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
        .help("IP and port to listen on; port 0 selects a free port")
}

/// Returns the value of a flag that has a default or is required.
pub(crate) fn get<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    let value = matches.get_one::<T>(name).cloned();
    value.expect("clap rejects a command line without this flag")
}

/// Runs a program and prints its error.
pub(crate) fn run(program: impl Future<Output = io::Result<()>>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let ended = runtime.and_then(|runtime| runtime.block_on(program));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the address and waits for SIGINT or SIGTERM.
pub(crate) async fn serve_until_stopped(address: SocketAddr) -> io::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    println!("listening on {address}");
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
