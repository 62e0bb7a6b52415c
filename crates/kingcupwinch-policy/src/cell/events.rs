//! What workers report about runs.

use kingcupwinch_time::Time;

use super::Cell;
use crate::decision::{Disposition, Exit, NotStarted, Outcome, Placement};
use crate::key::TaskKey;
use crate::plan::ClassKind;
use crate::refusal::{CellError, Refusal};
use crate::resources::Dimension;
use crate::task::{ReclaimState, Run};

impl Cell {
    /// A worker refused a start, or nothing was written to it: the task certainly did not run.
    ///
    /// # Errors
    ///
    /// [`CellError`] if this run is not the present one; the state is unchanged.
    pub fn not_started(
        &mut self,
        place: Placement,
        why: NotStarted,
        now: Time,
    ) -> Result<Disposition, CellError> {
        let run = self.current_run(place)?;
        self.end_run(place.task, &run);
        let fault = matches!(why, NotStarted::Unreachable | NotStarted::Refused);
        self.record_outcome(place.task, run.machine, fault, now);
        if self.tasks[place.task].cancelled {
            self.remove_task(place.task);
            return Ok(Disposition::Left);
        }
        if self.tasks[place.task].gang.is_some() {
            return Ok(self.break_gang(place.task, now));
        }
        if why == NotStarted::Withheld {
            self.enqueue(place.task);
            return Ok(Disposition::Requeued);
        }
        Ok(self.retry(place.task, now))
    }

    /// A run ended.
    ///
    /// # Errors
    ///
    /// [`CellError`] if this run is not the present one; the state is unchanged.
    pub fn ended(
        &mut self,
        place: Placement,
        end: Exit,
        now: Time,
    ) -> Result<Disposition, CellError> {
        let run = self.current_run(place)?;
        self.end_run(place.task, &run);
        self.record_exit(place.task, &run, &end, now);
        let task = &self.tasks[place.task];
        if end.outcome == Outcome::Done {
            return Ok(self.finish(place.task, now));
        }
        if task.cancelled {
            self.remove_task(place.task);
            return Ok(Disposition::Left);
        }
        if !task.spec.idempotent && end.outcome != Outcome::Checkpointed {
            self.classes[task.spec.class.index()].counters.failed += 1;
            self.remove_task(place.task);
            return Ok(Disposition::Left);
        }
        if task.gang.is_some() {
            return Ok(self.break_gang(place.task, now));
        }
        Ok(self.resume(place.task, &run, &end, now))
    }

    /// Lets go of a run that another owner now counts: the task leaves the cell, and nothing is
    /// learned from it.
    ///
    /// # Errors
    ///
    /// [`CellError`] if this run is not the present one; the state is unchanged.
    pub fn release_run(&mut self, place: Placement, now: Time) -> Result<(), CellError> {
        let run = self.current_run(place)?;
        self.end_run(place.task, &run);
        self.remove_ended(place.task, now);
        Ok(())
    }

    /// A running task was throttled: the processor share that it gave back is free.
    ///
    /// # Errors
    ///
    /// [`CellError`] if this run is not the present one, or nothing was asked of it.
    pub fn throttled(&mut self, place: Placement, now: Time) -> Result<(), CellError> {
        let run = self.current_run(place)?;
        let ReclaimState::Throttling(percent) = run.reclaim else {
            return Err(CellError::WrongState);
        };
        let share = run.charge.get(Dimension::Millicores);
        let left = share - share * u64::from(percent) / 100;
        self.recharge(place.task, Dimension::Millicores, left);
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

    /// Removes a task whose run has ended, and sees to its gang.
    fn remove_ended(&mut self, key: TaskKey, now: Time) {
        let gang = self.tasks[key].gang;
        self.remove_task(key);
        if let Some(gang) = gang {
            self.requeue_gang(gang, now);
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

    /// Queues again what was moved on our word, and retries the rest.
    fn resume(&mut self, key: TaskKey, run: &Run, end: &Exit, now: Time) -> Disposition {
        match end.outcome {
            Outcome::Checkpointed => {
                let speed = self
                    .fleet
                    .get(run.machine)
                    .map_or(1.0, super::super::machine::Machine::mean_speed);
                self.tasks[key].keep_progress(end.ran, speed);
            }
            Outcome::Failed => self.tasks[key].failures += 1,
            _ => {}
        }
        if run.reclaim != ReclaimState::None || end.outcome == Outcome::Checkpointed {
            self.enqueue(key);
            return Disposition::Requeued;
        }
        if end.outcome == Outcome::Failed && self.record_failure(key, run) {
            return self.give_up(key, Refusal::FailedEverywhere);
        }
        self.retry(key, now)
    }

    fn record_exit(&mut self, key: TaskKey, run: &Run, end: &Exit, now: Time) {
        let spec = self.tasks[key].spec;
        let class = &mut self.classes[spec.class.index()];
        if let Some(peak) = &end.peak {
            class.estimates.record_peak(&spec.size, peak);
        }
        let throttled = run.reclaim != ReclaimState::None;
        if end.outcome == Outcome::Done && !throttled {
            let speed = self
                .fleet
                .get(run.machine)
                .map_or(1.0, |m| m.speed(spec.class));
            let expected = class.estimates.expected_run(spec.run);
            class.estimates.record_run(spec.run, end.ran, speed);
            if class.spec.kind != ClassKind::Gang {
                let seen = expected.as_secs_f64() / end.ran.as_secs_f64().max(1e-6);
                self.fleet.record_speed(run.machine, spec.class, seen);
            }
        }
        if matches!(end.outcome, Outcome::Done | Outcome::Failed) {
            let failed = end.outcome == Outcome::Failed;
            self.record_outcome(key, run.machine, failed, now);
        }
    }
}
