//! The order in which steps get capacity and calls to the adviser.
//!
//! Long-running steps come first. Then a step goes before those of less urgent queues as long as its
//! job can still be worth something; steps whose jobs can't come last. Among steps of one priority,
//! those on time come before late ones, and else the one with the least slack is first.
//!
//! A floor keeps steps from starving: one that has waited for [`MAX_WAIT`] goes before the others of its
//! priority, and before more urgent ones while its priority has less than [`FLOOR_SHARE`] of its
//! service's CPU.

use std::cmp::Ordering;
use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;

use super::WorkerPools;
use super::ready::{ObjectiveStatus, ReadyStep};
use crate::cell::Cell;
use crate::mechanism::Mechanism;

/// How long a step waits behind more urgent ones before the floor applies to it. Callers of the least
/// urgent queues accept a fixed part of 3 s in the objective, and an end after three times the
/// objective is worth nothing. A job whose only wait is this long thus ends before its late limit,
/// however short its work is.
const MAX_WAIT: Span = Span::from_millis(9_000);

/// The share of a service's CPU up to which steps that have waited for [`MAX_WAIT`] go first. At 1.7
/// times their usual load, the more urgent queues need half of the CPU, so that this much is left for
/// the others. It bounds what urgent work loses if they need more.
const FLOOR_SHARE: f64 = 0.1;

/// What the order depends on before the priority.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Long-running tasks, which are needed at once.
    #[default]
    LongRunning,
    /// The floor applies.
    Floor,
    /// The job can still be worth something.
    Worthwhile,
    /// The job will end too late to be worth anything.
    Worthless,
}

/// The part of the order that comes before status and slack. All steps are equal by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    class: Class,
    priority: u32,
    /// Whether the step has waited for less than [`MAX_WAIT`].
    is_recent: bool,
}

/// The work of one priority on one service.
type PriorityKey = (Arc<str>, u32);

impl ReadyStep {
    /// Compares by urgency. Steps that are equally urgent take turns with the callers of the adviser,
    /// and else come in the order in which they began to wait, so that none is passed over again and
    /// again.
    pub(super) fn compare(&self, other: &ReadyStep) -> Ordering {
        let rank = |step: &Self| {
            (
                step.urgency,
                step.status,
                step.slack,
                step.turn,
                step.asked_at,
                step.waiting_since,
                step.step,
            )
        };
        rank(self).cmp(&rank(other))
    }

    /// Returns whether the step has waited so long that the floor applies to it.
    fn is_overdue(&self, now: Time) -> bool {
        let is_worthwhile = self.status != ObjectiveStatus::Missed;
        is_worthwhile && !self.is_long_running && self.waiting_since + MAX_WAIT <= now
    }
}

impl Cell {
    /// Sets the urgency of the steps of a round.
    pub(super) fn set_urgency(&self, steps: &mut [ReadyStep], pools: &WorkerPools, now: Time) {
        if !self.uses(Mechanism::PriorityOrder) {
            return;
        }
        for step in &mut *steps {
            step.urgency = Urgency {
                class: if step.is_long_running {
                    Class::LongRunning
                } else if step.status == ObjectiveStatus::Missed {
                    Class::Worthless
                } else {
                    Class::Worthwhile
                },
                priority: self.jobs[step.job].spec.policy.priority,
                is_recent: !step.is_overdue(now),
            };
        }
        self.apply_floor(steps, pools, now);
    }

    /// Puts the steps that have waited for long first, the longest-waiting of each priority up to its
    /// share of the CPU.
    fn apply_floor(&self, steps: &mut [ReadyStep], pools: &WorkerPools, now: Time) {
        let is_overdue = |index: &usize| steps[*index].is_overdue(now);
        let mut overdue: Vec<usize> = (0..steps.len()).filter(is_overdue).collect();
        if overdue.is_empty() {
            return;
        }
        overdue.sort_by_key(|index| steps[*index].waiting_since);
        let mut used = self.cpu_by_priority();
        for index in overdue {
            let step = &mut steps[index];
            let job = &self.jobs[step.job];
            let policy = &job.spec.policy;
            let pool = pools.by_service.get(&policy.service);
            let floor = pool.map_or(0.0, |pool| pool.total_cpu() as f64 * FLOOR_SHARE);
            let key = (Arc::clone(&policy.service), policy.priority);
            let used = used.entry(key).or_default();
            if (*used as f64) < floor {
                step.urgency.class = Class::Floor;
                let charge = job.step_spec(step.step).charged_resources();
                *used = used.saturating_add(charge.times(step.tasks as u64).cpu);
            }
        }
    }

    /// Returns the CPU that the runs of each priority take, in thousandths of a core.
    fn cpu_by_priority(&self) -> FxHashMap<PriorityKey, u64> {
        let mut used: FxHashMap<PriorityKey, u64> = FxHashMap::default();
        for run in self.runs.values() {
            let job = &self.jobs[run.job];
            let policy = &job.spec.policy;
            let charge = job.step_spec(job.slot(run.name)).charged_resources();
            let key = (Arc::clone(&policy.service), policy.priority);
            let cpu = used.entry(key).or_default();
            *cpu = cpu.saturating_add(charge.cpu);
        }
        used
    }
}
