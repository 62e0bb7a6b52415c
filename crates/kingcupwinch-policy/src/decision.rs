//! Decisions of the cell, and the reports that it receives about their outcomes.

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use crate::crash::Crashes;
use crate::key::{ClassKey, CreditKey, CustomerKey, GangKey, MachineKey, TaskKey};
use crate::refusal::Refusal;
use crate::resources::Resources;

/// One run of a task on a machine. Events carry the whole placement, so that a late event of an
/// earlier run is recognised as stale.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Placement {
    /// The task.
    pub task: TaskKey,
    /// The machine.
    pub machine: MachineKey,
    /// The number of the start of this task, from 1.
    pub attempt: u32,
}

/// The placements of a gang.
pub type Placements = SmallVec<[Placement; 8]>;

/// An action for the embedder to carry out. The cell already accounts for it as done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Start a task. Report the result with [`Cell::not_started`](crate::Cell::not_started) or
    /// [`Cell::ended`](crate::Cell::ended).
    Start(Placement),
    /// Start every task of a gang.
    StartGang {
        /// The gang.
        gang: GangKey,
        /// The placements of all of its tasks.
        places: Placements,
    },
    /// Lower the processor share of a running task and report it with
    /// [`Cell::throttled`](crate::Cell::throttled). Zero percent restores the full share and needs
    /// no report.
    Throttle {
        /// The placement of the running task.
        target: Placement,
        /// The part of its processor share that the task gives back, in percent.
        percent: u8,
    },
    /// Checkpoint a running task and report its end with [`Outcome::Checkpointed`]. Like every
    /// request to a running task, it is issued again if no report arrives in time.
    Checkpoint(Placement),
    /// Stop a running idempotent task and report its end with [`Outcome::Stopped`].
    Stop(Placement),
    /// Give up a waiting task that has not run in this attempt. Its key is no longer valid.
    GiveUp {
        /// The task.
        task: TaskKey,
        /// The reason.
        refusal: Refusal,
    },
}

/// A task as its submitter describes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskSpec {
    /// Its class.
    pub class: ClassKey,
    /// The customer that the task belongs to.
    pub customer: CustomerKey,
    /// Its declared resource request.
    pub size: Resources,
    /// Its declared run time on a machine of speed 1.
    pub run: Span,
    /// The time by which it must have ended.
    pub deadline: Option<Time>,
    /// Whether the task may run more than once.
    pub idempotent: bool,
    /// The machines that crashed under earlier runs.
    pub crashes: Crashes,
}

impl TaskSpec {
    /// Creates an idempotent task without a deadline.
    pub const fn new(class: ClassKey, customer: CustomerKey, size: Resources, run: Span) -> Self {
        TaskSpec {
            class,
            customer,
            size,
            run,
            deadline: None,
            idempotent: true,
            crashes: Crashes::NONE,
        }
    }

    /// Sets the deadline.
    #[must_use]
    pub const fn with_deadline(mut self, deadline: Time) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Sets whether the task may run more than once.
    #[must_use]
    pub const fn with_idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Sets the machines that crashed under earlier runs.
    #[must_use]
    pub const fn with_crashes(mut self, crashes: Crashes) -> Self {
        self.crashes = crashes;
        self
    }
}

/// The keys of an accepted gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GangTicket {
    /// The gang.
    pub gang: GangKey,
    /// Its tasks.
    pub tasks: Vec<TaskKey>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The run completed successfully.
    Done,
    /// The run failed.
    Failed,
    /// The run was stopped before its end.
    Stopped,
    /// The run was checkpointed; the task can resume from the checkpoint.
    Checkpointed,
    /// The run ended without a report of its end, because the machine is gone or no longer knows the
    /// task. For a live task: the outcome is unknown.
    Lost,
    /// The machine crashed or restarted, and the run ended with it. Report every run of the machine
    /// in one go: what the crash says about them depends on which tasks the machine ran.
    Crashed,
}

/// Describes how a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exit {
    /// The outcome.
    pub outcome: Outcome,
    /// The duration of the run.
    pub ran: Span,
    /// The peak usage, if the worker reports it.
    pub peak: Option<Resources>,
}

impl Exit {
    /// Creates an exit without a peak usage.
    pub const fn new(outcome: Outcome, ran: Span) -> Self {
        Exit {
            outcome,
            ran,
            peak: None,
        }
    }

    /// Sets the peak usage.
    #[must_use]
    pub const fn with_peak(mut self, peak: Resources) -> Self {
        self.peak = Some(peak);
        self
    }
}

/// The state of a task after an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// The task left the cell; its key is no longer valid.
    Left,
    /// The task waits again.
    Requeued,
    /// The task left the cell without success.
    GaveUp(Refusal),
}

/// The effect of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The task was not running and has left the cell.
    Left,
    /// The task is running and leaves the cell when the run ends.
    Leaving,
}

/// The reason why a worker did not start a task. In each case the task did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotStarted {
    /// The worker has no free capacity.
    Full,
    /// The worker is leaving.
    Leaving,
    /// No request reached the worker.
    Unreachable,
    /// The worker refused the task for another reason.
    Refused,
    /// This instance withheld the start at its last check. This costs no retry; the embedder
    /// assigns the machine no more tasks until it may start them again.
    Withheld,
}

/// Resource usage of a machine as reported by its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// The resources in use; dimensions that are not reported are zero.
    pub used: Resources,
    /// When the usage was measured.
    pub taken: Time,
}

/// Permission for a sibling instance to submit live tasks of one class before a deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Credit {
    /// The key to submit tasks with.
    pub key: CreditKey,
    /// The class.
    pub class: ClassKey,
    /// The number of tasks that may still be submitted.
    pub count: u32,
    /// The expiry time.
    pub deadline: Time,
}
