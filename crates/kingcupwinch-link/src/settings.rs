use std::time::Duration;

/// Bounds and times of the links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkSettings {
    /// The most messages that are outstanding to one sibling.
    pub message_credit: u32,
    /// The most bytes that are outstanding to one sibling.
    pub byte_credit: u32,
    /// The most messages that wait to be taken from the inbox.
    pub inbox_size: usize,
    /// The most connections that are open to this instance.
    pub connection_limit: usize,
    /// The time in which a connection must be made and prove itself.
    pub connect_timeout: Duration,
    /// The time after which a told message that is not acknowledged counts as lost, and after
    /// which an asked one that is not answered is given up by the side that was asked.
    pub message_timeout: Duration,
    /// The time between two probes of a sibling.
    pub probe_interval: Duration,
    /// The time in which a sibling must answer a probe.
    pub probe_timeout: Duration,
    /// The longest wait before the second attempt to connect; it doubles with each attempt.
    pub min_backoff: Duration,
    /// The longest wait before any attempt to connect.
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
