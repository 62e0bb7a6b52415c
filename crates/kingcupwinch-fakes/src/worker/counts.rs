/// Counters and peak values of a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Maximum number of concurrently running requests and tasks.
    pub peak_running: u32,
    /// Maximum number of concurrently open connections.
    pub peak_connections: u32,
    /// Requests and tasks that arrived while the slots or resources were exhausted.
    pub overflows: u32,
    /// Connections opened beyond the limit.
    pub connection_overflows: u32,
    /// Requests and tasks started.
    pub starts: u32,
    /// Requests and tasks refused for any reason.
    pub refusals: u32,
    /// Checkpoints taken.
    pub checkpoints: u32,
    /// Tasks throttled.
    pub throttles: u32,
    /// Tasks stopped on request.
    pub stops: u32,
    /// Tasks whose lease expired.
    pub expirations: u32,
    /// Crashes of the worker.
    pub crashes: u32,
}
