use std::time::Duration;

/// Limits and timeouts of the links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkSettings {
    /// Maximum number of outstanding messages to one sibling.
    pub message_credit: u32,
    /// Maximum number of outstanding message bytes to one sibling.
    pub byte_credit: u32,
    /// Maximum number of messages queued in the inbox.
    pub inbox_size: usize,
    /// Maximum number of open incoming connections.
    pub connection_limit: usize,
    /// Timeout for establishing a connection and verifying the peer.
    pub connect_timeout: Duration,
    /// Timeout after which an unacknowledged one-way message counts as lost, and after which the
    /// receiver of a request stops waiting for its own reply.
    pub message_timeout: Duration,
    /// Interval between keep-alive probes of a sibling.
    pub probe_interval: Duration,
    /// Timeout for the response to a keep-alive probe.
    pub probe_timeout: Duration,
    /// Upper bound of the delay after the first failed connection attempt; it doubles with each
    /// further failure.
    pub min_backoff: Duration,
    /// Maximum upper bound of the delay between connection attempts.
    pub max_backoff: Duration,
}

impl Default for LinkSettings {
    fn default() -> Self {
        LinkSettings {
            message_credit: 256,
            byte_credit: 8 << 20,
            inbox_size: 4_096,
            connection_limit: 64,
            connect_timeout: Duration::from_secs(1),
            message_timeout: Duration::from_secs(5),
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_secs(1),
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
        }
    }
}
