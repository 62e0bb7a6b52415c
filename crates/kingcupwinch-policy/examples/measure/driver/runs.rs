//! Simulated runs: starts, ends, throttles and interruptions.

use kingcupwinch_policy::{Disposition, Exit, Outcome, Placement};
use kingcupwinch_time::Span;

use super::{Driver, Event, FAIL_TIME, Run, THROTTLE_TIME, run_time};

impl Driver<'_> {
    pub(super) fn start(&mut self, place: Placement) {
        let job = self.job_of[place.task];
        let machine = &mut self.machines[self.machine_of[place.machine]];
        self.version += 1;
        let (speed, fails) = (machine.speed, machine.fails);
        let task = &mut self.jobs[job];
        assert!(task.run.is_none(), "a task runs in two places");
        machine.used = machine.used.plus(&task.size);
        let overrun = machine.used.exceeds(&machine.capacity).is_some();
        self.meter.started_using(task.stream, &task.size, self.now);
        self.meter.run_started(overrun);
        if !std::mem::replace(&mut task.started, true) {
            self.meter
                .started(task.stream, task.arrived, task.counted, self.now);
        }
        task.run = Some(Run {
            place,
            since: self.now,
            updated: self.now,
            pace: speed,
            throttle: 0,
            version: self.version,
        });
        if fails {
            self.schedule_end(job, FAIL_TIME, Outcome::Failed);
        } else {
            let time = run_time(self.jobs[job].remaining, speed);
            self.schedule_end(job, time, Outcome::Done);
        }
    }

    pub(super) fn schedule_end(&mut self, job: usize, after: Span, outcome: Outcome) {
        if let Some(run) = &self.jobs[job].run {
            let version = run.version;
            self.push(
                self.now + after,
                Event::End {
                    job,
                    version,
                    outcome,
                },
            );
        }
    }

    pub(super) fn interrupt(&mut self, place: Placement, after: Span, outcome: Outcome) {
        let job = self.job_of[place.task];
        self.schedule_end(job, after, outcome);
    }

    /// Changes the pace of a run and reschedules its end.
    pub(super) fn throttle(&mut self, place: Placement, percent: u8) {
        let job = self.job_of[place.task];
        let machine = self.machine_of[place.machine];
        self.update_progress(job);
        self.version += 1;
        let version = self.version;
        let pace = self.machines[machine].speed * f64::from(100 - percent) / 100.0;
        let before = self.jobs[job].current_usage();
        if let Some(run) = &mut self.jobs[job].run {
            run.pace = pace;
            run.throttle = percent;
            run.version = version;
        }
        let after = self.jobs[job].current_usage();
        let used = &mut self.machines[machine].used;
        *used = used.minus(&before).plus(&after);
        let stream = self.jobs[job].stream;
        self.meter.stopped_using(stream, &before, self.now);
        self.meter.started_using(stream, &after, self.now);
        let time = run_time(self.jobs[job].remaining, pace);
        self.schedule_end(job, time, Outcome::Done);
        if percent > 0 {
            self.push(self.now + THROTTLE_TIME, Event::Throttled { job, version });
        }
    }

    /// Subtracts the progress since the last update from the remaining run time.
    pub(super) fn update_progress(&mut self, job: usize) {
        let now = self.now;
        let job = &mut self.jobs[job];
        if let Some(run) = &mut job.run {
            let done = now.since(run.updated).as_micros() as f64 * run.pace;
            job.remaining = job.remaining - Span::from_micros(done as u64);
            run.updated = now;
        }
    }

    pub(super) fn current_run(&self, job: usize, version: u32) -> Option<Placement> {
        let run = self.jobs[job].run.as_ref()?;
        (run.version == version).then_some(run.place)
    }

    pub(super) fn end(&mut self, job: usize, version: u32, outcome: Outcome) {
        let Some(place) = self.current_run(job, version) else {
            return;
        };
        let machine = &mut self.machines[self.machine_of[place.machine]];
        if machine.gone && outcome != Outcome::Lost {
            return;
        }
        let current_usage = self.jobs[job].current_usage();
        machine.used = machine.used.minus(&current_usage);
        let whole = self.jobs[job].remaining;
        if outcome == Outcome::Checkpointed {
            self.update_progress(job);
        }
        let task = &mut self.jobs[job];
        let Some(run) = task.run.take() else {
            return;
        };
        if outcome != Outcome::Checkpointed {
            task.remaining = whole;
        }
        let kept = outcome == Outcome::Done || outcome == Outcome::Checkpointed;
        if outcome != Outcome::Lost {
            self.meter
                .stopped_using(task.stream, &current_usage, self.now);
        }
        if !kept && outcome != Outcome::Lost {
            self.meter.work_lost(&current_usage, run.since, self.now);
        }
        let end = Exit::new(outcome, self.now - run.since).with_peak(task.size);
        let next = self.scheduler.ended(place, end, self.now);
        if outcome == Outcome::Done {
            self.meter.done(task.stream, task.arrived);
        } else if task.counted && next != Disposition::Requeued {
            self.meter.refused(task.stream, task.arrived);
        }
    }
}
