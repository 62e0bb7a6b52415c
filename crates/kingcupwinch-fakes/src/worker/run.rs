//! A running request or task on a worker.

use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::instance_list::Capacity;
use kingcupwinch_wire::worker::{RunningWork, WorkKind, WorkOutcome};

use super::StartIndex;

const FULL_SPEED_PERCENT: u8 = 100;

/// A running request or task.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) work: RunningWork,
    pub(crate) resources: Resources,
    pub(crate) started: Time,
    pub(crate) lease: Time,
    pub(crate) index: StartIndex,
    /// The remaining run time at full speed as of `updated`; unused for live requests, which end on
    /// [`WorkerEngine::end_live`](super::WorkerEngine::end_live).
    left: Span,
    percent: u8,
    updated: Time,
}

/// The resources used by a request or task.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Resources {
    pub(crate) millicores: u32,
    pub(crate) memory_mb: u32,
    pub(crate) accelerators: u32,
}

impl Resources {
    pub(crate) fn plus(self, other: Resources) -> Resources {
        Resources {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    pub(crate) fn fits(self, capacity: &Capacity) -> bool {
        self.millicores <= capacity.millicores
            && self.memory_mb <= capacity.memory_mb
            && self.accelerators <= capacity.accelerators
    }
}

impl Run {
    pub(crate) fn new(now: Time, work: RunningWork, index: StartIndex) -> Self {
        Run {
            work,
            resources: Resources::default(),
            started: now,
            lease: Time::MAX,
            index,
            left: Span::ZERO,
            percent: FULL_SPEED_PERCENT,
            updated: now,
        }
    }

    pub(crate) fn with_resources(mut self, resources: Resources) -> Self {
        self.resources = resources;
        self
    }

    pub(crate) fn with_left(mut self, left: Span) -> Self {
        self.left = left;
        self
    }

    pub(crate) fn with_lease(mut self, lease: Time) -> Self {
        self.lease = lease;
        self
    }

    pub(crate) fn throttle(&mut self, percent: u8) {
        self.percent = percent.min(FULL_SPEED_PERCENT);
    }

    pub(crate) fn outcome(&self, now: Time, fails: bool) -> Option<WorkOutcome> {
        if !self.is_task() {
            return None;
        }
        if self.left == Span::ZERO {
            let ended = if fails {
                WorkOutcome::Failed
            } else {
                WorkOutcome::Done
            };
            return Some(ended);
        }
        (self.lease <= now).then_some(WorkOutcome::Expired)
    }

    pub(crate) fn is_task(&self) -> bool {
        self.work.kind == WorkKind::Task
    }

    pub(crate) fn progress(&mut self, now: Time) {
        let percent = u64::from(self.percent);
        let done = (now - self.updated).times(percent);
        self.left = self.left - done.divided_by(u64::from(FULL_SPEED_PERCENT));
        self.updated = now;
    }

    pub(crate) fn next_event(&self) -> Option<Time> {
        if !self.is_task() {
            return None;
        }
        let percent = u64::from(self.percent);
        if percent == 0 {
            return Some(self.lease);
        }
        // Rounded up, so that no run time remains at the returned time.
        let micros = self
            .left
            .as_micros()
            .saturating_mul(u64::from(FULL_SPEED_PERCENT));
        let span = Span::from_micros(micros.div_ceil(percent));
        Some(self.lease.min(self.updated + span))
    }
}
