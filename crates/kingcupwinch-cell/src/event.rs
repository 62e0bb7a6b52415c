//! What the cell concludes about workers and their runs, for the log of its owner.

use std::sync::Arc;

use kingcupwinch_time::Span;

use crate::cap::ResourceCap;
use crate::crash::Crash;
use crate::id::TaskName;
use crate::run::RunEnd;
use crate::spec::Resources;

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

/// The evidence that a worker has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashCause {
    /// A later process of the worker responds.
    Restarted,
    /// Another worker has taken the address of the process.
    Replaced,
    /// All leases have expired while the worker was silent.
    LeaseExpired,
}

impl CrashCause {
    /// Returns the label for log events and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CrashCause::Restarted => "restarted",
            CrashCause::Replaced => "replaced",
            CrashCause::LeaseExpired => "lease expired",
        }
    }
}

/// A step whose tasks wait although they could start, and the usable workers of its service by what
/// keeps the tasks off them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepWait {
    /// The name of the step.
    pub step: String,
    /// The queue.
    pub queue: Arc<str>,
    /// The number of tasks that could start.
    pub tasks: usize,
    /// How long the step has had such tasks.
    pub age: Span,
    /// Whether a call to the adviser is in flight.
    pub is_call_pending: bool,
    /// The workers with a valid ticket.
    pub tickets: usize,
    /// The listed workers that can take no new work of any step, or that are quarantined.
    pub unusable: usize,
    /// The workers on which a task could start after the round.
    pub startable: usize,
    /// The workers without the required label.
    pub unlabelled: usize,
    /// The workers that the adviser denied.
    pub denied: usize,
    /// The workers that are too slow for the objective.
    pub slow: usize,
    /// The workers with latency-sensitive tasks, for a best-effort step.
    pub isolated: usize,
    /// The workers with as many runs of the step as they may have.
    pub at_limit: usize,
    /// The workers with too little capacity beside their runs.
    pub full: usize,
    /// The workers whose capacity is kept for other tasks: for steps that wait for the adviser, for
    /// gangs and for moves.
    pub kept: usize,
    /// The workers about which the adviser has to be asked.
    pub no_ticket: usize,
    /// Whether the customer's cap lets no task start.
    pub is_at_cap: bool,
}

/// A decision whether tasks of a step wait for better workers than those that are free.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartDelay {
    /// The name of the step.
    pub step: String,
    /// The queue.
    pub queue: Arc<str>,
    /// The tasks that could start.
    pub tasks: usize,
    /// `wait`, or why the tasks start now.
    pub outcome: &'static str,
    /// The time until the deadline of the wait, if the tasks wait.
    pub deadline_in: Option<Span>,
    /// The expected time from a start now to the end of the job, on a worker that is free.
    pub here: Span,
    /// The same on a better worker.
    pub better: Span,
    /// The expected time until the tasks have better workers, if it is known.
    pub expected_wait: Option<Span>,
    /// The time since a run last ended on one of these.
    pub rate_age: Span,
    /// The CPU for which steps in front wait, in thousandths of a core.
    pub ahead: u64,
    /// The time left until the objective, zero once it has passed.
    pub objective_in: Span,
    /// Whether the decision is to be logged. All are counted, but the log takes a limited number.
    pub is_logged: bool,
}

/// A step that its customer's cap holds back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapHold {
    /// The name of the customer.
    pub customer: Arc<str>,
    /// The name of the step.
    pub step: String,
    /// How many tasks start together: the members of a gang, or one.
    pub together: u64,
    /// The resources of each task.
    pub task: Resources,
    /// The runs of the customer that have not certainly ended.
    pub runs: u64,
    /// The resources of these runs.
    pub used: Resources,
    /// The cap.
    pub cap: ResourceCap,
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
        /// How far the end of the last lease that was granted to the known process is ahead on the clock
        /// of the reported one. `None` if it has passed there, or if this owner granted none.
        late_grant: Option<Span>,
        /// The time until all leases on the worker count as expired.
        leases_left: Span,
    },
    /// A restarted worker carries out no order for its former process any more.
    WorkerFenced {
        /// The id of the worker.
        worker: Arc<str>,
        /// The fencing token under which it has responded.
        token: Option<u64>,
        /// The time until all leases on the worker count as expired.
        leases_left: Span,
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
        response_age: Option<Span>,
        /// The time since the worker left the directory, if it did.
        unlisted_age: Option<Span>,
        /// The failed polls in a row.
        failed_polls: u32,
        /// The start of the process that was granted the last lease, in Unix milliseconds.
        granted_to: Option<u64>,
        /// The time since all leases count as expired, if they do.
        expired_age: Option<Span>,
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
    /// A worker crashed under tasks that had just started, which counts against them.
    WorkerCrashed {
        /// The id of the worker.
        worker: Arc<str>,
        /// The evidence.
        cause: CrashCause,
        /// The number of tasks that it counts against.
        suspects: usize,
        /// The first of these tasks.
        tasks: Vec<TaskName>,
        /// Whether the crash points to a single task.
        is_clear: bool,
        /// The number of workers that crashed at once, if these are too many to point to a task.
        outage: usize,
    },
    /// A task is given up, and its job fails, because of the crashes under it.
    TaskGivenUp {
        /// The task. A gang is named by its first task.
        task: TaskName,
        /// The crashes.
        crashes: Vec<Crash>,
    },
    /// A run that waited for the log is not started, since its worker has changed meanwhile.
    StartDiscarded {
        /// The task.
        task: TaskName,
        /// The run number.
        run: u32,
        /// The id of the worker.
        worker: Arc<str>,
        /// What prevents the start.
        cause: &'static str,
        /// The time since the run was placed.
        age: Span,
    },
    /// Tasks of a step have waited for long although they could start.
    StepWaits(StepWait),
    /// Tasks of a step wait for better workers, or start on others.
    StartDelayed(StartDelay),
    /// A step of a customer waits since the customer is at its cap.
    CapReached(CapHold),
    /// A step can never start under the cap of its customer.
    CapExcludes(CapHold),
    /// A run that waited for the log is discarded, since its customer is above its cap by now.
    CapWithdraws(CapHold),
}
