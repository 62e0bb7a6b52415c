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

/// The local settings of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of this instance.
    pub instance: Instance,
    /// Addresses that the daemon listens on.
    #[serde(default)]
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Logging.
    #[serde(default)]
    pub log: Log,
    /// Graceful stop.
    #[serde(default)]
    pub stop: Stop,
    /// Limits on the resources of one request and of connections.
    #[serde(default)]
    pub hold: Hold,
}

impl Settings {
    /// Creates settings with the default ports, logging to the terminal.
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

    /// Sets the addresses to listen on.
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

    /// Sets the parameters of a graceful stop.
    #[must_use]
    pub fn with_stop(mut self, stop: Stop) -> Self {
        self.stop = stop;
        self
    }
}

/// Identity of this instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name in the platform's instance list.
    pub name: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Declared machine size, which weights the instance's share of shards.
    #[serde(default = "Instance::default_weight")]
    pub weight: u32,
    /// Seed of jitter and record ids; random if absent.
    #[serde(default)]
    pub seed: Option<u64>,
}

impl Instance {
    /// Creates an instance of weight 1 with a random seed.
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

/// Addresses that the daemon listens on; port 0 selects any free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Listen {
    /// Port for callers' requests.
    pub callers: SocketAddr,
    /// Port for requests that siblings forward.
    pub forward: SocketAddr,
    /// Port for sibling links.
    pub link: SocketAddr,
    /// Port for operators' requests and metrics.
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

/// Addresses of the platform's services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Interval between reads of the instance list, in milliseconds.
    #[serde(default = "Platform::default_poll_ms")]
    pub poll_ms: u64,
    /// Timeout of one call, in milliseconds.
    #[serde(default = "Platform::default_call_ms")]
    pub call_ms: u64,
}

impl Platform {
    /// Creates settings with the default interval and timeout.
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

/// Logging.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Format of log records.
    pub format: LogFormat,
    /// Minimum level of log records that are written.
    pub level: LogLevel,
}

/// Format of log records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Terminal,
    /// One JSON document per line.
    Json,
    /// No output.
    Off,
}

/// Minimum level of log records that are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings and errors.
    Warning,
    /// Informational records for operators.
    #[default]
    Info,
    /// Detailed records for developers.
    Debug,
}

/// Parameters of a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// Time for which new requests are still accepted after the instance reports not ready, in
    /// milliseconds.
    pub balancer_ms: u64,
    /// Time after the signal at which work in flight is abandoned, in milliseconds.
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

/// Limits on the resources of one request and of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hold {
    /// Maximum size of all headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body that is buffered for a retry, in bytes; a larger body is
    /// streamed and not retried.
    pub request_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Size of the buffer for an answer to a slow reader, in bytes.
    pub answer_bytes: usize,
    /// Time for which a caller may send or read nothing, in milliseconds.
    pub idle_ms: u64,
    /// Maximum size of all buffered request bodies together, in bytes; the first 8 KiB of each are not
    /// counted.
    pub memory_bytes: usize,
    /// Time for the buffered part of a request body, in milliseconds.
    pub buffer_ms: u64,
    /// Maximum number of connections per port. Each may take the size of all headers, and a receive
    /// buffer of 16 KiB (64 KiB on HTTP/2).
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
            memory_bytes: 8 * 1024 * 1024,
            buffer_ms: 10_000,
            connections: 1_024,
        }
    }
}
