//! The daemon's local settings: addresses, failure domain, limits and logging.
//!
//! A TOML file comes first, then environment variables (`KINGCUPWINCHD_LISTEN__CALLERS` and the
//! like), then flags; a later source replaces single values of an earlier one.

mod check;
mod source;

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use check::{Fault, SettingsError};
pub use source::{Overrides, load_from_disk};

/// Everything that one daemon needs to know at its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who this instance is.
    pub instance: Instance,
    /// Where it listens.
    #[serde(default)]
    pub listen: Listen,
    /// Where the platform's services are.
    pub platform: Platform,
    /// What it logs and how.
    #[serde(default)]
    pub log: Log,
    /// How it stops.
    #[serde(default)]
    pub stop: Stop,
    /// What it holds for one request at the most.
    #[serde(default)]
    pub hold: Hold,
}

impl Settings {
    /// Makes settings that listen at the usual ports and log for people.
    pub fn new(instance: Instance, platform: Platform) -> Self {
        Settings {
            instance,
            listen: Listen::default(),
            platform,
            log: Log::default(),
            stop: Stop::default(),
            hold: Hold::default(),
        }
    }

    /// Sets where it listens.
    #[must_use]
    pub fn with_listen(mut self, listen: Listen) -> Self {
        self.listen = listen;
        self
    }

    /// Turns logging off.
    #[must_use]
    pub fn with_log_off(mut self) -> Self {
        self.log.format = LogFormat::Off;
        self
    }

    /// Sets how it stops.
    #[must_use]
    pub fn with_stop(mut self, stop: Stop) -> Self {
        self.stop = stop;
        self
    }
}

/// Who this instance is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Its name in the platform's instance list.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Declared machine size, the weight of its share of shards.
    #[serde(default = "Instance::default_weight")]
    pub weight: u32,
    /// Seed of its jitter and of its record ids; the machine's entropy where it is absent.
    #[serde(default)]
    pub seed: Option<u64>,
}

impl Instance {
    /// Makes an instance of a usual size.
    pub fn new(name: &str, domain: &str) -> Self {
        let weight = Instance::default_weight();
        Instance {
            name: name.into(),
            domain: domain.into(),
            weight,
            seed: None,
        }
    }

    const fn default_weight() -> u32 {
        1
    }
}

/// Where the daemon listens; port 0 takes any free one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Requests that siblings forward.
    pub forward: SocketAddr,
    /// Sibling links.
    pub link: SocketAddr,
    /// Operators' requests and metrics.
    pub operators: SocketAddr,
}

impl Listen {
    /// Listens on free ports of the loopback address.
    pub fn on_loopback() -> Self {
        let any = ([127, 0, 0, 1], 0).into();
        Listen {
            callers: any,
            forward: any,
            link: any,
            operators: any,
        }
    }
}

impl Default for Listen {
    fn default() -> Self {
        let loopback = [127, 0, 0, 1];
        Listen {
            callers: (loopback, 7400).into(),
            forward: (loopback, 7401).into(),
            link: (loopback, 7402).into(),
            operators: (loopback, 7403).into(),
        }
    }
}

/// Where the platform's services are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The log service.
    pub log: SocketAddr,
    /// The instance list.
    pub list: SocketAddr,
    /// How often the list is read, in milliseconds.
    #[serde(default = "Platform::default_poll_ms")]
    pub poll_ms: u64,
    /// How long one call may take, in milliseconds.
    #[serde(default = "Platform::default_call_ms")]
    pub call_ms: u64,
}

impl Platform {
    /// Makes the usual way to a log service and an instance list.
    pub fn new(log: SocketAddr, list: SocketAddr) -> Self {
        let poll_ms = Platform::default_poll_ms();
        Platform {
            log,
            list,
            poll_ms,
            call_ms: Platform::default_call_ms(),
        }
    }

    const fn default_poll_ms() -> u64 {
        1_000
    }

    const fn default_call_ms() -> u64 {
        1_500
    }
}

/// What the daemon logs and how.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// How records are written.
    pub format: LogFormat,
    /// The least level that is written.
    pub level: LogLevel,
}

/// How log records are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Terminal,
    /// One JSON document a line.
    Json,
    /// Nothing at all.
    Off,
}

/// The least level that is written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings and errors.
    Warning,
    /// What an operator wants to see.
    #[default]
    Info,
    /// What a developer wants to see.
    Debug,
}

/// How the daemon stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// How long new arrivals are still taken after readiness has fallen, in milliseconds.
    pub balancer_ms: u64,
    /// When work in flight is given up, in milliseconds after the signal.
    pub deadline_ms: u64,
}

impl Default for Stop {
    fn default() -> Self {
        Stop {
            balancer_ms: 3_000,
            deadline_ms: 60_000,
        }
    }
}

/// What the daemon holds for one request at the most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hold {
    /// The size of all headers, in bytes.
    pub header_bytes: usize,
    /// Bytes of a request body kept for a retry; a larger body streams and is not retried.
    pub request_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: u64,
    /// Bytes of an answer kept for a slow reader.
    pub answer_bytes: usize,
    /// How long a caller may send or take nothing, in milliseconds.
    pub idle_ms: u64,
    /// How many callers' connections are served at once.
    pub connections: usize,
}

impl Default for Hold {
    fn default() -> Self {
        Hold {
            header_bytes: 16 * 1024,
            request_bytes: 256 * 1024,
            body_bytes: 64 * 1024 * 1024,
            answer_bytes: 1024 * 1024,
            idle_ms: 15_000,
            connections: 4_096,
        }
    }
}
