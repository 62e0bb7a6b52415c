//! Runs a stand-in log service until it is interrupted.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use kingcupwinch_fakes::{FakeLog, LogEngine, LogServer};
use kingcupwinch_time::Span;

mod support;

fn command() -> Command {
    Command::new("fake_log")
        .about("A stand-in for the platform's log service")
        .arg(support::address())
        .arg(
            Arg::new("retention-secs")
                .long("retention-secs")
                .value_parser(value_parser!(u64))
                .default_value("86400")
                .help("Seconds until a record expires"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let address = support::get::<SocketAddr>(&matches, "address");
    let retention = Span::from_secs(support::get(&matches, "retention-secs"));
    let engine = LogEngine::new().with_retention(retention);
    support::run(async move {
        let log = FakeLog::with_engine(engine);
        let server = LogServer::start(&log, address).await?;
        support::serve_until_stopped(server.address()).await
    })
}
