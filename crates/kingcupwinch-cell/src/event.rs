//! What the cell concludes about workers and their runs, for the log of its owner.

use std::sync::Arc;

use kingcupwinch_time::Span;

use crate::run::RunEnd;

/// The evidence that nothing runs on a worker that does not respond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettleCause {
    /// All leases have expired.
    LeaseExpired,
    /// The process has exited.
    Exited,
    /// Another worker has taken the address of the process.
    Replaced,
}

impl SettleCause {
    /// Returns the label for log events.
    pub fn as_str(self) -> &'static str {
        match self {
            SettleCause::LeaseExpired => "lease expired",
            SettleCause::Exited => "exited",
            SettleCause::Replaced => "replaced",
        }
    }
}

/// A conclusion that no single order or response shows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellEvent {
    /// The process of a worker was replaced by a later one.
    WorkerRestarted {
        /// The id of the worker.
        worker: Arc<str>,
        /// The start of the known process in Unix milliseconds.
        known_ms: Option<u64>,
        /// The start of the reported process in Unix milliseconds.
        reported_ms: Option<u64>,
        /// The number of runs of the known process.
        runs: usize,
    },
    /// Runs count as ended although their worker did not list their ends.
    RunsSettled {
        /// The id of the worker.
        worker: Arc<str>,
        /// The evidence.
        cause: SettleCause,
        /// The number of runs.
        runs: usize,
        /// The time since the worker's last response to a poll.
        response_age: Span,
        /// The time since the worker left the directory, if it did.
        unlisted_age: Option<Span>,
        /// The failed polls in a row.
        failed_polls: u32,
        /// The id of the worker that is listed at the address now, if another one is.
        successor: Option<Arc<str>>,
    },
    /// A worker lists the end of a run that this owner did not order or has settled before.
    LateEnd {
        /// The id of the worker.
        worker: Arc<str>,
        /// The end.
        end: RunEnd,
        /// Whether the end was counted for its task.
        is_counted: bool,
    },
}
