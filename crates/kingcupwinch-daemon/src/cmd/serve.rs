//! Serves until a signal or an operator requests a stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use kingcupwinch_node::cmd::check_queues;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::settings::{LogFormat, LogLevel, Overrides, Settings, load_from_disk};
use crate::{Daemon, Running, StopEnd};

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;

/// Builds the command line of the daemon.
pub fn make_command() -> Command {
    Command::new("kingcupwinchd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Accepts callers' requests and schedules them on the workers of a failure domain")
        .arg(
            Arg::new("settings")
                .long("settings")
                .short('s')
                .value_name("FILE")
                .env("KINGCUPWINCHD_SETTINGS")
                .value_parser(value_parser!(PathBuf))
                .help("TOML file with the local settings"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
        .arg(text(
            "name",
            "NAME",
            "Name of the instance in the platform's instance list",
        ))
        .arg(text("domain", "DOMAIN", "Failure domain of the instance"))
        .args(ADDRESSES.iter().map(|(name, help)| address(name, help)))
        .arg(
            Arg::new("log-format")
                .long("log-format")
                .value_name("FORMAT")
                .value_parser(["terminal", "json", "off"])
                .help("Format of log records"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .value_parser(["error", "warning", "info", "debug"])
                .help("Minimum level of log records that are written"),
        )
        .subcommand(kingcupwinch_node::cmd::make_subcommand())
        .subcommand(check_queues::make_subcommand())
}

const ADDRESSES: [(&str, &str); 6] = [
    ("callers", "Address of the port for callers"),
    (
        "forward",
        "Address of the port for requests forwarded by siblings",
    ),
    ("link", "Address of the port for sibling links"),
    ("operators", "Address of the port for operators"),
    ("log", "Address of the platform's log service"),
    ("list", "Address of the platform's instance list"),
];

fn text(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn address(name: &'static str, help: &'static str) -> Arg {
    let parser = value_parser!(SocketAddr);
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_parser(parser)
        .help(help)
}

/// Runs the daemon until it is asked to stop.
///
/// The exit code is 0 after a graceful stop, 1 if the daemon could not start, was declared dead
/// by its group or the stop was forced, 2 for settings that can't be used.
pub fn execute(matches: &ArgMatches) -> ExitCode {
    match matches.subcommand() {
        Some(("node", matches)) => return kingcupwinch_node::cmd::execute(matches),
        Some(("check-queues", matches)) => return check_queues::execute(matches),
        _ => {}
    }
    let path = matches.get_one::<PathBuf>("settings");
    let settings = match load_from_disk(path.map(PathBuf::as_path), &overrides(matches)) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("kingcupwinchd: {err}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    serve(settings)
}

fn overrides(matches: &ArgMatches) -> Overrides {
    let address = |name| matches.get_one::<SocketAddr>(name).copied();
    let text = |name| matches.get_one::<String>(name).map(String::as_str);
    Overrides {
        name: text("name").map(Into::into),
        domain: text("domain").map(Into::into),
        callers: address("callers"),
        forward: address("forward"),
        link: address("link"),
        operators: address("operators"),
        log: address("log"),
        list: address("list"),
        format: text("log-format").map(|format| match format {
            "json" => LogFormat::Json,
            "off" => LogFormat::Off,
            _ => LogFormat::Terminal,
        }),
        level: text("log-level").map(|level| match level {
            "error" => LogLevel::Error,
            "warning" => LogLevel::Warning,
            "debug" => LogLevel::Debug,
            _ => LogLevel::Info,
        }),
    }
}

fn serve(settings: Settings) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => return fail(&err),
    };
    runtime.block_on(async {
        match run(settings).await {
            Ok(StopEnd::Clean) => ExitCode::SUCCESS,
            Ok(StopEnd::Forced) => ExitCode::FAILURE,
            Err(err) => fail(&*err),
        }
    })
}

fn fail(err: &dyn std::error::Error) -> ExitCode {
    eprintln!("kingcupwinchd: {err}");
    ExitCode::FAILURE
}

async fn run(settings: Settings) -> Result<StopEnd, Box<dyn std::error::Error>> {
    let mut signals = Signals::new()?;
    let running = Daemon::new(settings).start().await?;
    print_addresses(&running);
    let declared_dead = tokio::select! {
        () = signals.next() => false,
        () = running.stop_requested() => false,
        () = running.declared_dead() => true,
    };
    let end = running.stop_unless(signals.next()).await;
    // The exit code tells the service manager to restart the process.
    Ok(if declared_dead { StopEnd::Forced } else { end })
}

/// Prints the bound addresses, for callers that configured port 0.
fn print_addresses(running: &Running) {
    let addresses = running.addresses();
    println!(
        "callers={} operators={}",
        addresses.callers, addresses.operators
    );
}

/// The signals that request a stop.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Signals {
            terminate,
            interrupt,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
