//! Events of runs as reported by workers: failed starts, ends and throttles.

use kingcupwinch_time::Time;

use super::Cell;
use crate::decision::{Disposition, Exit, NotStarted, Outcome, Placement};
use crate::key::TaskKey;
use crate::plan::ClassKind;
use crate::refusal::{CellError, Refusal};
use crate::resources::Dimension;
use crate::task::{ReclaimState, Run};

impl Cell {
    /// Records that a worker refused a start or could not be reached, so that the task did not run.
    ///
    /// # Errors
    ///
    /// [`CellError`] if `place` is not the current run of the task; the state is unchanged.
    pub fn not_started(
        &mut self,
        place: Placement,
        reason: NotStarted,
        now: Time,
    ) -> Result<Disposition, CellError> {
        let run = self.current_run(place)?;
        self.end_run(place.task, &run);
        let fault = matches!(reason, NotStarted::Unreachable | NotStarted::Refused);
        self.record_outcome(place.task, run.machine, fault, now);
        if self.tasks[place.task].cancelled {
            self.remove_task(place.task);
            return Ok(Disposition::Left);
        }
        if self.tasks[place.task].gang.is_some() {
            return Ok(self.break_gang(place.task, now));
        }
        if reason == NotStarted::Withheld {
            self.enqueue(place.task);
            return Ok(Disposition::Requeued);
        }
        Ok(self.retry(place.task, now))
    }

    /// Records the end of a run.
    ///
    /// # Errors
    ///
    /// [`CellError`] if `place` is not the current run of the task; the state is unchanged.
    pub fn ended(
        &mut self,
        place: Placement,
        exit: Exit,
        now: Time,
    ) -> Result<Disposition, CellError> {
        let run = self.current_run(place)?;
        let evidence = match exit.outcome {
            Outcome::Crashed => self.mark_crash(place.task, &run, now),
            _ => self.weak_evidence(&run),
        };
        self.end_run(place.task, &run);
        self.count_crash(place.task, exit.outcome, evidence);
        self.record_exit(place.task, &run, &exit, now);
        let task = &self.tasks[place.task];
        if exit.outcome == Outcome::Done {
            return Ok(self.finish(place.task, now));
        }
        if task.cancelled {
            self.remove_task(place.task);
            return Ok(Disposition::Left);
        }
        if !task.spec.idempotent && exit.outcome != Outcome::Checkpointed {
            self.classes[task.spec.class.index()].counters.failed += 1;
            self.remove_task(place.task);
            return Ok(Disposition::Left);
        }
        if task.gang.is_some() {
            return Ok(self.break_gang(place.task, now));
        }
        Ok(self.resume(place.task, &run, &exit, now))
    }

    /// Removes a run that another owner now accounts for. The task leaves the cell, and its run
    /// affects no estimate.
    ///
    /// # Errors
    ///
    /// [`CellError`] if `place` is not the current run of the task; the state is unchanged.
    pub fn release_run(&mut self, place: Placement, now: Time) -> Result<(), CellError> {
        let run = self.current_run(place)?;
        self.end_run(place.task, &run);
        self.abandon_probe(place.task, run.machine, now);
        self.remove_ended(place.task, now);
        Ok(())
    }

    /// Records that a running task was throttled, and frees the processor share that it gave back.
    ///
    /// # Errors
    ///
    /// [`CellError`] if `place` is not the current run of the task or no throttle was requested.
    pub fn throttled(&mut self, place: Placement, now: Time) -> Result<(), CellError> {
        let run = self.current_run(place)?;
        let ReclaimState::Throttling(percent) = run.reclaim else {
            return Err(CellError::WrongState);
        };
        let share = run.allocated.get(Dimension::Millicores);
        let left = share - share * u64::from(percent) / 100;
        self.resize(place.task, Dimension::Millicores, left);
        self.set_reclaim(place.task, &run, ReclaimState::Throttled, now);
        self.record_release(run.machine);
        Ok(())
    }

    fn current_run(&self, place: Placement) -> Result<Run, CellError> {
        let task = self.tasks.get(place.task).ok_or(CellError::UnknownTask)?;
        let run = *task.run().ok_or(CellError::WrongState)?;
        if run.machine != place.machine || task.attempts != place.attempt {
            return Err(CellError::StaleAttempt);
        }
        Ok(run)
    }

    /// Removes a task whose run has ended, and requeues its gang if that was broken.
    fn remove_ended(&mut self, key: TaskKey, now: Time) {
        let gang = self.tasks[key].gang;
        self.remove_task(key);
        if let Some(gang) = gang {
            self.requeue_gang(gang, key, now);
        }
    }

    fn finish(&mut self, key: TaskKey, now: Time) -> Disposition {
        let class = self.tasks[key].spec.class.index();
        let class = &mut self.classes[class];
        class.counters.done += 1;
        class.budget.earn(&class.spec.retry);
        self.remove_ended(key, now);
        Disposition::Left
    }

    /// Requeues a task that was checkpointed or ended after a reclaim request, and applies the
    /// retry policy to the others.
    fn resume(&mut self, key: TaskKey, run: &Run, exit: &Exit, now: Time) -> Disposition {
        match exit.outcome {
            Outcome::Checkpointed => {
                let speed = self
                    .fleet
                    .get(run.machine)
                    .map_or(1.0, super::super::machine::Machine::mean_speed);
                self.tasks[key].keep_progress(exit.ran, speed);
            }
            Outcome::Failed => self.tasks[key].failures += 1,
            _ => {}
        }
        if exit.outcome == Outcome::Crashed || self.has_crashed_out(&self.tasks[key]) {
            return self.restart_crashed(key, now);
        }
        if run.reclaim != ReclaimState::None || exit.outcome == Outcome::Checkpointed {
            self.enqueue(key);
            return Disposition::Requeued;
        }
        if exit.outcome == Outcome::Failed && self.record_failure(key, run) {
            return self.give_up(key, Refusal::FailedEverywhere);
        }
        self.retry(key, now)
    }

    fn record_exit(&mut self, key: TaskKey, run: &Run, exit: &Exit, now: Time) {
        let spec = self.tasks[key].spec;
        let class = &mut self.classes[spec.class.index()];
        if let Some(peak) = &exit.peak {
            class.estimates.record_peak(&spec.size, peak);
        }
        let throttled = run.reclaim != ReclaimState::None;
        if exit.outcome == Outcome::Done && !throttled {
            let speed = self
                .fleet
                .get(run.machine)
                .map_or(1.0, |m| m.speed(spec.class));
            let expected = class.estimates.expected_run(spec.run);
            class.estimates.record_run(spec.run, exit.ran, speed);
            if class.spec.kind != ClassKind::Gang {
                let seen = expected.as_secs_f64() / exit.ran.as_secs_f64().max(1e-6);
                self.fleet.record_speed(run.machine, spec.class, seen);
            }
        }
        if matches!(exit.outcome, Outcome::Done | Outcome::Failed) {
            let failed = exit.outcome == Outcome::Failed;
            self.record_outcome(key, run.machine, failed, now);
        } else {
            self.abandon_probe(key, run.machine, now);
        }
    }
}
