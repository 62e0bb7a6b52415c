//! Runs a stand-in worker until it is interrupted.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use kingcupwinch_fakes::{FakeWorker, History, WorkerSpec};
use kingcupwinch_time::Span;
use kingcupwinch_wire::instance_list::Capacity;

mod support;

fn command() -> Command {
    Command::new("fake_worker")
        .about("A stand-in for one of the platform's workers")
        .arg(support::address())
        .arg(
            Arg::new("name")
                .long("name")
                .default_value("worker-1")
                .help("Name of the worker"),
        )
        .arg(
            Arg::new("service")
                .long("service")
                .action(ArgAction::Append)
                .default_value("hire-booking")
                .help("A service that the worker runs; may be repeated"),
        )
        .arg(number(
            "slots",
            "8",
            "Maximum number of concurrent requests and tasks",
        ))
        .arg(number(
            "connections",
            "64",
            "Maximum number of open connections",
        ))
        .arg(number(
            "millicores",
            "16000",
            "CPU capacity in thousandths of a core",
        ))
        .arg(number("memory-mb", "65536", "Memory capacity in MB"))
        .arg(number("accelerators", "0", "Number of accelerators"))
        .arg(number(
            "speed-percent",
            "100",
            "Speed in percent of a standard worker",
        ))
        .arg(number(
            "run-ms",
            "20",
            "Run time in milliseconds of work that declares none",
        ))
        .arg(number(
            "usage-lag-ms",
            "200",
            "Age of visible usage reports in milliseconds",
        ))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u32))
        .default_value(default)
        .help(help)
}

fn spec(matches: &ArgMatches) -> WorkerSpec {
    let get = |name| support::get::<u32>(matches, name);
    let services = matches.get_many::<String>("service").unwrap_or_default();
    let capacity = Capacity {
        slots: get("slots"),
        connections: get("connections"),
        millicores: get("millicores"),
        memory_mb: get("memory-mb"),
        accelerators: get("accelerators"),
        services: services.map(|s| s.as_str().into()).collect(),
    };
    WorkerSpec::new(support::get::<String>(matches, "name"), capacity)
        .with_speed(get("speed-percent"))
        .with_run(Span::from_millis(get("run-ms").into()))
        .with_usage_lag(Span::from_millis(get("usage-lag-ms").into()))
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let address = support::get::<SocketAddr>(&matches, "address");
    let spec = spec(&matches);
    support::run(async move {
        let worker = FakeWorker::start(spec, &History::new(), address).await?;
        support::serve_until_stopped(worker.address()).await
    })
}
