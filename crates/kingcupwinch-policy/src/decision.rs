//! What the cell decides, and what it is told about the outcome.

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use crate::key::{ClassKey, CreditKey, CustomerKey, GangKey, MachineKey, TaskKey};
use crate::refusal::Refusal;
use crate::resources::Resources;

/// One run of a task on a machine. Events name it whole, so that one of an earlier run is told
/// apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Placement {
    /// The task.
    pub task: TaskKey,
    /// The machine.
    pub machine: MachineKey,
    /// The number of the run, from 1.
    pub attempt: u32,
}

/// The placements of a gang.
pub type Placements = SmallVec<[Placement; 8]>;

/// One thing to do. The cell already counts it as done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Start a task; answer with `not_started` or `ended`.
    Start(Placement),
    /// Start every task of a gang.
    StartGang {
        /// The gang.
        gang: GangKey,
        /// All of its tasks.
        places: Placements,
    },
    /// Lower a running task's processor share; answer with `throttled`. Zero percent gives the whole
    /// share back and needs no answer.
    Throttle {
        /// What runs where.
        target: Placement,
        /// The part of its share that it gives back, in percent.
        percent: u8,
    },
    /// Checkpoint a running task; like every order without an answer, it is given again after a while.
    /// Answer with `ended` and `Outcome::Checkpointed`.
    Checkpoint(Placement),
    /// Stop a running idempotent task; answer with `ended` and `Outcome::Stopped`.
    Stop(Placement),
    /// A waiting task leaves without having run in this attempt; its key is no longer valid.
    GiveUp {
        /// The task.
        task: TaskKey,
        /// Why.
        refusal: Refusal,
    },
}

/// A task as submitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskSpec {
    /// Its class.
    pub class: ClassKey,
    /// Whose work it is.
    pub customer: CustomerKey,
    /// Its declared size.
    pub size: Resources,
    /// Its declared run time on a machine of speed 1.
    pub run: Span,
    /// When its whole answer is due.
    pub deadline: Option<Time>,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

impl TaskSpec {
    /// Makes an idempotent task without a deadline of its own.
    pub const fn new(class: ClassKey, customer: CustomerKey, size: Resources, run: Span) -> Self {
        TaskSpec {
            class,
            customer,
            size,
            run,
            deadline: None,
            idempotent: true,
        }
    }

    /// Sets the deadline.
    #[must_use]
    pub const fn with_deadline(mut self, deadline: Time) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Sets whether it may run more than once.
    #[must_use]
    pub const fn with_idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }
}

/// A gang as accepted.
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
    /// It ran to its end.
    Done,
    /// It ran and failed.
    Failed,
    /// It was stopped before its end.
    Stopped,
    /// It was checkpointed and can resume.
    Checkpointed,
    /// Its machine is gone and its lease has certainly lapsed.
    Lost,
}

/// The end of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exit {
    /// How it ended.
    pub outcome: Outcome,
    /// How long it ran.
    pub ran: Span,
    /// The most that it used, where the worker says so.
    pub peak: Option<Resources>,
}

impl Exit {
    /// Makes an end without a report of the peak.
    pub const fn new(outcome: Outcome, ran: Span) -> Self {
        Exit {
            outcome,
            ran,
            peak: None,
        }
    }

    /// Sets the peak.
    #[must_use]
    pub const fn with_peak(mut self, peak: Resources) -> Self {
        self.peak = Some(peak);
        self
    }
}

/// What became of a task after an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// It has left the cell; its key is no longer valid.
    Left,
    /// It waits again.
    Requeued,
    /// It has left the cell without a good end.
    GaveUp(Refusal),
}

/// What a cancellation did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The task had not run and has left the cell.
    Left,
    /// The task runs and leaves at its end.
    Leaving,
}

/// Why a worker did not start a task; it certainly did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotStarted {
    /// The worker is full.
    Full,
    /// The worker is leaving.
    Leaving,
    /// Nothing was written to the worker.
    Unreachable,
    /// The worker refused it for another reason.
    Refused,
    /// This instance withheld it at the last check: it costs no retry, and its embedder gives the
    /// machine nothing more until it may.
    Withheld,
}

/// Use of a machine as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// What is in use; dimensions that are not reported are zero.
    pub used: Resources,
    /// When it was so.
    pub taken: Time,
}

/// Live work of one class that a sibling may send by a deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Credit {
    /// The key to spend it by.
    pub key: CreditKey,
    /// The class.
    pub class: ClassKey,
    /// How many tasks.
    pub count: u32,
    /// When it expires.
    pub deadline: Time,
}
