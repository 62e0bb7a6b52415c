use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

use quick_error::quick_error;

use super::Settings;

/// Minimum limit for the size of headers, in bytes. Ordinary HTTP clients need this much.
const MIN_HEADER_BYTES: usize = 8 * 1024;

quick_error! {
    /// The reason for which settings can't be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file is missing or can't be read.
        Unreadable(path: PathBuf, err: std::io::Error) {
            display("can't read settings file {}: {}; name another with --settings", path.display(), err)
            source(err)
        }
        /// A source contains an unknown setting, or a value of the wrong type.
        Malformed(err: Box<figment::Error>) {
            display("settings are malformed: {err}")
            source(err)
        }
        /// The values are well-formed but inconsistent.
        Invalid(faults: Vec<Fault>) {
            display("settings are invalid: {}", join(faults))
        }
    }
}

/// An invalid value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The setting's path, such as `listen.link`.
    pub key: &'static str,
    /// The problem with the value.
    pub problem: Arc<str>,
}

fn join(faults: &[Fault]) -> String {
    let texts: Vec<_> = faults
        .iter()
        .map(|fault| format!("{}: {}", fault.key, fault.problem))
        .collect();
    texts.join("; ")
}

/// Checks the rules that types don't express, and collects every fault.
pub(super) fn check(settings: &Settings) -> Result<(), SettingsError> {
    let mut faults = Vec::new();
    check_names(settings, &mut faults);
    check_addresses(settings, &mut faults);
    check_limits(settings, &mut faults);
    if faults.is_empty() {
        Ok(())
    } else {
        Err(SettingsError::Invalid(faults))
    }
}

fn fault(faults: &mut Vec<Fault>, bad: bool, key: &'static str, problem: &str) {
    if bad {
        faults.push(Fault {
            key,
            problem: problem.into(),
        });
    }
}

fn check_names(settings: &Settings, faults: &mut Vec<Fault>) {
    let instance = &settings.instance;
    fault(
        faults,
        instance.name.is_empty(),
        "instance.name",
        "is empty",
    );
    fault(
        faults,
        instance.domain.is_empty(),
        "instance.domain",
        "is empty",
    );
    fault(faults, instance.weight == 0, "instance.weight", "is zero");
}

fn check_addresses(settings: &Settings, faults: &mut Vec<Fault>) {
    let listen = &settings.listen;
    let listeners = [
        ("listen.callers", listen.callers),
        ("listen.forward", listen.forward),
        ("listen.link", listen.link),
        ("listen.operators", listen.operators),
    ];
    for (index, (key, address)) in listeners.iter().enumerate() {
        let taken = listeners[..index]
            .iter()
            .any(|(_, other)| clashes(*other, *address));
        fault(
            faults,
            taken,
            key,
            "is the same address as another listener's",
        );
    }
    for (key, address) in [
        ("listen.link", listen.link),
        ("listen.forward", listen.forward),
    ] {
        fault(
            faults,
            is_unspecified_ip(address.ip()),
            key,
            "must be an address that siblings can reach",
        );
    }
    fault(
        faults,
        settings.platform.log.port() == 0,
        "platform.log",
        "has port 0",
    );
    fault(
        faults,
        settings.platform.list.port() == 0,
        "platform.list",
        "has port 0",
    );
}

fn clashes(a: SocketAddr, b: SocketAddr) -> bool {
    a.port() != 0 && a == b
}

fn is_unspecified_ip(ip: IpAddr) -> bool {
    ip.is_unspecified()
}

fn check_limits(settings: &Settings, faults: &mut Vec<Fault>) {
    let hold = &settings.hold;
    let small = hold.header_bytes < MIN_HEADER_BYTES;
    fault(faults, small, "hold.header_bytes", "is below 8192");
    fault(faults, hold.connections == 0, "hold.connections", "is zero");
    fault(faults, hold.idle_ms == 0, "hold.idle_ms", "is zero");
    fault(faults, hold.buffer_ms == 0, "hold.buffer_ms", "is zero");
    fault(
        faults,
        hold.answer_bytes == 0,
        "hold.answer_bytes",
        "is zero",
    );
    let body = usize::try_from(hold.body_bytes).unwrap_or(usize::MAX);
    let inverted = hold.request_bytes > body;
    fault(
        faults,
        inverted,
        "hold.request_bytes",
        "is above hold.body_bytes",
    );
    fault(
        faults,
        hold.memory_bytes < hold.request_bytes,
        "hold.memory_bytes",
        "is below hold.request_bytes",
    );
    fault(
        faults,
        settings.platform.poll_ms == 0,
        "platform.poll_ms",
        "is zero",
    );
    fault(
        faults,
        settings.platform.call_ms == 0,
        "platform.call_ms",
        "is zero",
    );
    let stop = &settings.stop;
    let late = stop.balancer_ms >= stop.deadline_ms;
    fault(
        faults,
        late,
        "stop.deadline_ms",
        "is not above stop.balancer_ms",
    );
}
