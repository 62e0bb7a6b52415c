//! Counts of what happened in a cell.

/// Event counts since the cell was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Start orders sent.
    pub starts: u64,
    /// Runs that completed their work.
    pub done: u64,
    /// Runs that ended for any other reason than completion or failure, and all ended runs of
    /// long-running tasks.
    pub interrupted: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Jobs completed.
    pub jobs_completed: u64,
    /// Jobs that failed.
    pub jobs_failed: u64,
    /// Calls to advisers.
    pub advice_calls: u64,
    /// Workers that were put in order for a step, which is much of the cost of decisions.
    pub ranked_workers: u64,
    /// Crashes of workers that counted against tasks.
    pub crashes: u64,
    /// Tasks that were given up because of such crashes.
    pub tasks_given_up: u64,
    /// Runs that were discarded before their orders were sent, since their customers were above their
    /// caps.
    pub cap_withdrawals: u64,
}
