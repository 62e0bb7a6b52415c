//! Tasks and their lifecycle.

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use crate::crash::{Evidence, SEPARATION_WAIT};
use crate::decision::TaskSpec;
use crate::key::{GangKey, MachineKey};
use crate::queue::Rank;
use crate::resources::Resources;

/// Minimum expected run time of a task.
const MIN_RUN: Span = Span::from_millis(1);

/// Lifecycle phase of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Queued in its class under this rank.
    Queued(Rank),
    /// Waits for the end of its backoff, then is queued.
    Delayed(Time),
    /// Removed from the queue, with a claim on a machine from which other tasks are moved.
    Claiming(Claim),
    /// In no queue and on no machine: a gang member that the queue holds through the leader, or a
    /// task between two phases.
    Detached,
    /// Allocated on a machine.
    Running(Run),
}

/// A reservation of the free capacity of a machine for one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Claim {
    /// The machine.
    pub(crate) machine: MachineKey,
    /// Expiry time of the claim.
    pub(crate) expires: Time,
}

/// A run that is allocated on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Run {
    /// The machine.
    pub(crate) machine: MachineKey,
    /// When the start was decided.
    pub(crate) started: Time,
    /// Expected end of the run.
    pub(crate) expected_end: Time,
    /// Allocated resources.
    pub(crate) allocated: Resources,
    /// Position in the task list of the machine.
    pub(crate) position: u32,
    /// State of a request to give capacity back.
    pub(crate) reclaim: ReclaimState,
    /// When the request is sent again if the worker does not answer.
    pub(crate) resend_at: Time,
    /// Whether the run is counted as movable on its machine.
    pub(crate) movable: bool,
    /// What the crash of the machine says about the task, once the machine has crashed.
    pub(crate) evidence: Option<Evidence>,
}

/// State of a request to a running task to give capacity back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReclaimState {
    /// No request.
    None,
    /// A throttle by this percentage was requested but not yet confirmed.
    Throttling(u8),
    /// The task is throttled.
    Throttled,
    /// A checkpoint was requested.
    Checkpointing,
    /// A stop was requested.
    Stopping,
}

impl ReclaimState {
    /// Returns whether the worker has yet to answer the request.
    pub(crate) fn awaits_reply(self) -> bool {
        matches!(
            self,
            ReclaimState::Throttling(_) | ReclaimState::Checkpointing | ReclaimState::Stopping
        )
    }
}

/// A task between its submission and its end.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    /// The task as submitted. Its run time shrinks by the progress kept in checkpoints.
    pub(crate) spec: TaskSpec,
    /// Time of submission.
    pub(crate) submitted: Time,
    /// Current phase.
    pub(crate) phase: Phase,
    /// The gang that the task belongs to.
    pub(crate) gang: Option<GangKey>,
    /// Number of starts.
    pub(crate) attempts: u32,
    /// Number of runs that count against the attempt limit.
    pub(crate) failures: u32,
    /// Machines on which the task failed, without duplicates.
    pub(crate) failed_on: SmallVec<[MachineKey; 4]>,
    /// Whether the next run still has to be paid for from the retry budget.
    pub(crate) owes_retry: bool,
    /// Whether the task was cancelled and leaves the cell at the end of its run.
    pub(crate) cancelled: bool,
    /// Until when a suspect waits for a machine without other suspects.
    pub(crate) apart_until: Time,
}

impl Task {
    pub(crate) fn new(spec: TaskSpec, now: Time, phase: Phase) -> Self {
        Task {
            spec,
            submitted: now,
            phase,
            gang: None,
            attempts: 0,
            failures: 0,
            failed_on: SmallVec::new(),
            owes_retry: false,
            cancelled: false,
            apart_until: now + SEPARATION_WAIT,
        }
    }

    /// Returns the current run, if the task is running.
    pub(crate) fn run(&self) -> Option<&Run> {
        match &self.phase {
            Phase::Running(run) => Some(run),
            _ => None,
        }
    }

    /// Subtracts the progress that a checkpoint saved after a run of duration `ran` at this speed.
    pub(crate) fn keep_progress(&mut self, ran: Span, speed: f64) {
        let progress = Span::from_micros((ran.as_micros() as f64 * speed) as u64);
        let left = self.spec.run - progress;
        self.spec.run = left.max(MIN_RUN);
    }
}
