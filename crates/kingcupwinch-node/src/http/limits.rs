//! Limits of a listener, derived from the settings and the configuration.

use std::time::Duration;

use kingcupwinch_adapter::{ClientLimits, Settings};

/// Part of an instance's memory for the bodies of one listener, as a divisor.
const BODY_SHARE: u64 = 8;
/// Part of an instance's memory for the connections of one listener, as a divisor.
const CONNECTION_SHARE: u64 = 4;
/// Receive buffer of a connection, in bytes. The kernel would grow it to megabytes by itself, and what
/// waits in it counts toward the memory of an instance. At a round trip of 30 ms the largest body still
/// takes less than a second.
const RECEIVE_BYTES: usize = 8 << 10;
/// The same for connections within the deployment, whose messages are larger.
const INTERNAL_RECEIVE_BYTES: usize = 64 << 10;
/// Memory of a receive buffer as a multiple of its size: the kernel counts its own structures too.
const RECEIVE_OVERHEAD: u64 = 2;
/// Part of an instance's memory for connections that were not accepted yet, as a divisor.
const BACKLOG_SHARE: u64 = 12;
/// Minimum and maximum number of such connections; the kernel's default maximum is 4,096.
const BACKLOG_RANGE: (u64, u64) = (64, 1_024);
/// Memory of one connection, in bytes: hyper's buffers for reading and writing (16 KiB each), the start
/// of a body that is not charged to the budget (8 KiB), the state of its task, and the receive buffer.
const CONNECTION_BYTES: u64 = (40 << 10) + RECEIVE_OVERHEAD * RECEIVE_BYTES as u64;
/// Part of the file descriptors for the connections of one listener, as a divisor; most others are
/// connections to workers and siblings.
const DESCRIPTOR_SHARE: u64 = 4;
/// Maximum open connections of one listener, as before there were limits by memory.
const MAX_CONNECTIONS: u64 = 600;
/// Minimum of that limit, so that no setting makes a listener unusable.
const MIN_CONNECTIONS: u64 = 16;
/// Maximum open connections for readiness probes and metrics: load balancers and collectors have a few
/// each.
const FEW_CONNECTIONS: usize = 64;
/// Smallest size to which hyper can bound its buffers, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Largest size to which they are bounded, in bytes. A configuration that allows header sections of more
/// than 16 KiB takes more memory than `CONNECTION_BYTES`.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Time for a whole body: callers wait for 3 s, and the largest body takes 1.1 s at 2 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for the next `MIN_PROGRESS` of a body: longer than callers wait for a response.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which the rest of a refused request is read and dropped. A connection that is closed before
/// is reset, and its peer may lose the response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a response may make no progress: longer than callers wait for it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of each part of a request within the deployment, as before there were others: on a narrow
/// link it may wait behind other messages.
const INTERNAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Numbers of connections and bytes of one listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Capacity {
    /// Maximum open connections.
    pub(crate) connections: usize,
    /// Maximum size of the bodies together, in bytes.
    pub(crate) body_bytes: usize,
    /// Maximum number of connections that were not accepted yet.
    pub(crate) backlog: u32,
    /// Size of a connection's receive buffer, in bytes.
    pub(crate) receive_bytes: usize,
}

/// Limits of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Timeouts {
    /// Time for a header section.
    pub(crate) header: Duration,
    /// Time without a request.
    pub(crate) idle: Duration,
    /// Time for a whole body.
    pub(crate) body: Duration,
    /// Time for the next part of a body.
    pub(crate) stall: Duration,
    /// Time without progress of a response.
    pub(crate) write: Duration,
    /// Time for which the rest of a refused request is dropped.
    pub(crate) discard: Duration,
}

impl Capacity {
    /// Returns the capacity of a listener without request bodies that few peers use.
    pub(crate) fn reduced(settings: &Settings) -> Self {
        Capacity {
            connections: Capacity::new(settings).connections.min(FEW_CONNECTIONS),
            body_bytes: 0,
            backlog: FEW_CONNECTIONS as u32,
            receive_bytes: RECEIVE_BYTES,
        }
    }

    /// Returns the capacity of a listener for siblings.
    pub(crate) fn internal(settings: &Settings) -> Self {
        Capacity {
            receive_bytes: INTERNAL_RECEIVE_BYTES,
            ..Capacity::new(settings)
        }
    }

    /// Computes the capacity of a listener for callers.
    pub(crate) fn new(settings: &Settings) -> Self {
        let memory = settings.memory_bytes();
        let by_memory = memory / CONNECTION_SHARE / CONNECTION_BYTES;
        let by_descriptors = settings.file_descriptors.map(|all| all / DESCRIPTOR_SHARE);
        let connections = by_memory.min(by_descriptors.unwrap_or(MAX_CONNECTIONS));
        let waiting = memory / BACKLOG_SHARE / (RECEIVE_OVERHEAD * RECEIVE_BYTES as u64);
        let (least, most) = BACKLOG_RANGE;
        Capacity {
            connections: connections.clamp(MIN_CONNECTIONS, MAX_CONNECTIONS) as usize,
            body_bytes: (memory / BODY_SHARE) as usize,
            backlog: waiting.clamp(least, most) as u32,
            receive_bytes: RECEIVE_BYTES,
        }
    }
}

impl Timeouts {
    /// Returns the timeouts of callers' connections.
    pub(crate) fn new(limits: &ClientLimits) -> Self {
        Timeouts {
            header: limits.header_timeout,
            idle: limits.idle_timeout,
            body: BODY_TIMEOUT,
            stall: STALL_TIMEOUT,
            write: WRITE_TIMEOUT,
            discard: DISCARD_TIMEOUT,
        }
    }

    /// Returns the timeouts of connections within the deployment.
    pub(crate) fn internal() -> Self {
        Timeouts {
            header: INTERNAL_TIMEOUT,
            idle: INTERNAL_TIMEOUT,
            body: INTERNAL_TIMEOUT,
            stall: INTERNAL_TIMEOUT,
            write: INTERNAL_TIMEOUT,
            discard: DISCARD_TIMEOUT,
        }
    }
}

/// Returns the bound of hyper's buffers for header sections of at most `header_bytes`.
pub(crate) fn buffer_bytes(header_bytes: usize) -> usize {
    header_bytes.clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES)
}
