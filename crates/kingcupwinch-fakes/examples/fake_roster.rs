//! Runs a stand-in instance list until it is interrupted.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use kingcupwinch_fakes::{FakeInstanceList, InstanceListEngine, InstanceListServer};
use kingcupwinch_time::Span;
use kingcupwinch_wire::instance_list::Instances;

mod support;

fn command() -> Command {
    Command::new("fake_roster")
        .about("A stand-in for the platform's instance list")
        .arg(support::address())
        .arg(
            Arg::new("instances")
                .long("instances")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("JSON file in the format of the list's response"),
        )
        .arg(
            Arg::new("lag-ms")
                .long("lag-ms")
                .value_parser(value_parser!(u64))
                .default_value("0")
                .help("Milliseconds until a change becomes visible"),
        )
}

fn load(path: &Path) -> io::Result<Instances> {
    let text = fs::read(path)?;
    Ok(serde_json::from_slice(&text)?)
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let address = support::get::<SocketAddr>(&matches, "address");
    let path = support::get::<PathBuf>(&matches, "instances");
    let lag = Span::from_millis(support::get(&matches, "lag-ms"));
    support::run(async move {
        let list = FakeInstanceList::with_engine(InstanceListEngine::new().with_lag(lag));
        for instance in load(&path)?.instances {
            list.put(instance);
        }
        let server = InstanceListServer::start(&list, address).await?;
        support::serve_until_stopped(server.address()).await
    })
}
