/// What a worker was given and how much of it at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// The most work that ran at one time.
    pub peak_running: u32,
    /// The most connections that were open at one time.
    pub peak_connections: u32,
    /// Work that arrived while all slots or the resources were taken.
    pub overflows: u32,
    /// Connections beyond the limit.
    pub connection_overflows: u32,
    /// Work that was started.
    pub starts: u32,
    /// Work that was refused, for any reason.
    pub refusals: u32,
    /// Checkpoints taken.
    pub checkpoints: u32,
    /// Tasks throttled.
    pub throttles: u32,
    /// Tasks stopped on request.
    pub stops: u32,
    /// Tasks whose lease lapsed.
    pub expirations: u32,
}
