//! Attribution of machine crashes to tasks.

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use super::Cell;
use crate::crash::{Crashes, Evidence, SEPARATION_WAIT};
use crate::decision::{Disposition, Outcome};
use crate::key::{MachineKey, TaskKey};
use crate::place::Separation;
use crate::plan::ClassKind;
use crate::refusal::Refusal;
use crate::retry::backoff;
use crate::task::{Phase, Run, Task};

/// Interval between two tries to place a suspect on such a machine.
const SEPARATION_RETRY: Span = Span::from_millis(500);

impl Cell {
    /// Returns the crashes counted for a task; `None` if it is unknown.
    pub fn crashes(&self, key: TaskKey) -> Option<Crashes> {
        self.tasks.get(key).map(|task| task.spec.crashes)
    }

    /// Records on every run of a machine that crashed what the crash says about the run's task.
    /// Runs with a record are left over from an earlier crash.
    pub(super) fn mark_crash(&mut self, key: TaskKey, run: &Run, now: Time) -> Evidence {
        if let Some(evidence) = run.evidence {
            return evidence;
        }
        let mass = self.crashes.record(self.fleet.len(), now);
        let Some(machine) = self.fleet.get(run.machine) else {
            return Evidence::Weak;
        };
        let is_new = |task: &TaskKey| {
            self.tasks[*task]
                .run()
                .is_some_and(|r| r.evidence.is_none())
        };
        let tasks: SmallVec<[TaskKey; 16]> =
            machine.running.iter().copied().filter(is_new).collect();
        let suspects = tasks.iter().filter(|t| self.is_suspect(**t)).count();
        let gang = self.tasks[key].gang;
        let one_gang = gang.is_some() && tasks.iter().all(|t| self.tasks[*t].gang == gang);
        let sole = tasks.len() == 1 || one_gang;
        let (drained, weak) = (machine.drained, mass || machine.is_gone());
        for &task in &tasks {
            let clear = sole || (suspects == 1 && self.is_suspect(task));
            let evidence = match (drained, weak, clear) {
                (true, ..) => Evidence::None,
                (_, false, true) => Evidence::Clear,
                _ => Evidence::Weak,
            };
            if let Phase::Running(run) = &mut self.tasks[task].phase {
                run.evidence = Some(evidence);
            }
        }
        let marked = self.tasks[key].run().and_then(|run| run.evidence);
        marked.unwrap_or(Evidence::Weak)
    }

    /// Returns what the loss of a run without a known crash says about its task.
    pub(super) fn weak_evidence(&self, run: &Run) -> Evidence {
        let drained = self.fleet.get(run.machine).is_some_and(|m| m.drained);
        match run.evidence {
            Some(evidence) => evidence,
            None if drained => Evidence::None,
            None => Evidence::Weak,
        }
    }

    fn is_suspect(&self, key: TaskKey) -> bool {
        self.tasks[key].spec.crashes.is_suspect()
    }

    /// Counts the end of a run in the crashes of its task. Any end but the loss of the machine
    /// shows that the task does not crash it.
    pub(super) fn count_crash(&mut self, key: TaskKey, outcome: Outcome, evidence: Evidence) {
        let crashes = &mut self.tasks[key].spec.crashes;
        match outcome {
            Outcome::Crashed | Outcome::Lost => *crashes = crashes.after(evidence),
            Outcome::Done | Outcome::Failed | Outcome::Stopped | Outcome::Checkpointed => {
                *crashes = Crashes::NONE;
            }
        }
        if outcome == Outcome::Crashed {
            self.counters.crashes += 1;
        }
    }

    /// Returns whether a task is not to be started again because of its crashes.
    pub(super) fn has_crashed_out(&self, task: &Task) -> bool {
        let crashes = task.spec.crashes;
        let live = self.class_of(task).spec.kind == ClassKind::Live;
        crashes.is_conclusive() || (live && crashes.ends_live())
    }

    /// Requeues a task whose machine crashed, unless the crashes are attributed to the task. The
    /// count bounds the starts, so that they need no retry budget.
    pub(super) fn restart_crashed(&mut self, key: TaskKey, now: Time) -> Disposition {
        let task = &self.tasks[key];
        if self.has_crashed_out(task) {
            return self.give_up(key, Refusal::MachineCrashes);
        }
        let class = &self.classes[task.spec.class.index()];
        if class.spec.kind == ClassKind::Live {
            return self.retry(key, now);
        }
        let pause = backoff(&class.spec.retry, task.attempts, &mut self.rng);
        self.tasks[key].apart_until = now + pause + SEPARATION_WAIT;
        self.delay(key, now + pause);
        Disposition::Requeued
    }

    /// Returns the machines that a task may share.
    pub(super) fn separation_of(&self, task: &Task, now: Time) -> Separation {
        let live = self.class_of(task).spec.kind == ClassKind::Live;
        let waits = task.spec.crashes.is_suspect() && now < task.apart_until;
        if waits && !live && task.gang.is_none() {
            Separation::Alone
        } else {
            Separation::None
        }
    }

    /// Takes a suspect that found no machine without other suspects out of the queue for a while,
    /// so that it blocks no other task.
    pub(super) fn postpone_suspect(&mut self, key: TaskKey, now: Time) {
        self.stop_waiting(key);
        self.delay(key, now + SEPARATION_RETRY);
    }

    /// Counts the suspects that run on a machine.
    pub(super) fn count_suspect(&mut self, key: TaskKey, machine: MachineKey, starts: bool) {
        if !self.is_suspect(key) {
            return;
        }
        self.fleet.update(machine, |m| {
            m.suspects = if starts {
                m.suspects + 1
            } else {
                m.suspects.saturating_sub(1)
            };
        });
    }
}
