//! Tasks and the phases of their life.

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use crate::decision::TaskSpec;
use crate::key::{GangKey, MachineKey};
use crate::queue::Rank;
use crate::resources::Resources;

/// The shortest run that is expected of a task.
const MIN_RUN: Span = Span::from_millis(1);

/// Where a task is; it is in exactly one phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// In its class's queue under this rank.
    Queued(Rank),
    /// Waits for the deadline of its backoff, then is queued.
    Delayed(Time),
    /// Out of the queue, with a claim on a machine that is being cleared for it.
    Claiming(Claim),
    /// Waits with its gang.
    Detached,
    /// Counted on a machine.
    Running(Run),
}

/// A machine whose free capacity is kept for one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Claim {
    /// The machine.
    pub(crate) machine: MachineKey,
    /// When the claim lapses.
    pub(crate) expires: Time,
}

/// A run that is counted on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Run {
    /// The machine.
    pub(crate) machine: MachineKey,
    /// When it was decided.
    pub(crate) started: Time,
    /// When it is likely to have ended.
    pub(crate) expected_end: Time,
    /// What is counted for it.
    pub(crate) charge: Resources,
    /// Its position in the machine's list.
    pub(crate) position: u32,
    /// What was asked of it to give capacity back.
    pub(crate) reclaim: ReclaimState,
    /// When it is asked again if there is no answer.
    pub(crate) resend_at: Time,
    /// Whether it counts among the movable work of its machine.
    pub(crate) movable: bool,
}

/// What a running task was asked to give back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReclaimState {
    /// Nothing.
    None,
    /// Part of its processor share, not yet confirmed.
    Throttling(u8),
    /// It is throttled.
    Throttled,
    /// All of it, by a checkpoint.
    Checkpointing,
    /// All of it, by a stop.
    Stopping,
}

impl ReclaimState {
    /// Whether the worker has yet to answer.
    pub(crate) fn awaits_reply(self) -> bool {
        matches!(
            self,
            ReclaimState::Throttling(_) | ReclaimState::Checkpointing | ReclaimState::Stopping
        )
    }
}

/// A task from its submission expires its end.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    /// As submitted; its run shrinks when a checkpoint keeps progress.
    pub(crate) spec: TaskSpec,
    /// When it was submitted.
    pub(crate) submitted: Time,
    /// Its phase.
    pub(crate) phase: Phase,
    /// Its gang.
    pub(crate) gang: Option<GangKey>,
    /// How often it was started.
    pub(crate) attempts: u32,
    /// How many of its runs count against it.
    pub(crate) failures: u32,
    /// Distinct machines on which it failed.
    pub(crate) failed_on: SmallVec<[MachineKey; 4]>,
    /// Whether its next run still has to be paid from the retry budget.
    pub(crate) owes_retry: bool,
    /// Whether it leaves at the end of its run.
    pub(crate) cancelled: bool,
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
        }
    }

    /// Returns the run that is counted on a machine.
    pub(crate) fn run(&self) -> Option<&Run> {
        match &self.phase {
            Phase::Running(run) => Some(run),
            _ => None,
        }
    }

    /// Takes off what a checkpoint has kept after a run at this speed.
    pub(crate) fn keep_progress(&mut self, ran: Span, speed: f64) {
        let progress = Span::from_micros((ran.as_micros() as f64 * speed) as u64);
        let left = self.spec.run - progress;
        self.spec.run = left.max(MIN_RUN);
    }
}
