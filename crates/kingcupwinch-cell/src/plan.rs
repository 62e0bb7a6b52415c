//! Decides what starts where.
//!
//! Steps that are due are taken in order of the time that is left to their job's objective. Each
//! starts what fits on workers that it may use; where an adviser has to allow them first, it is
//! asked about as many workers as the step is likely to need.

use std::cmp::Ordering;
use std::sync::Arc;

use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;

use crate::advice::{Verdict, call_time};
use crate::cell::{Action, Cell};
use crate::id::TaskName;
use crate::job::{JobKey, Task};
use crate::spec::{Size, StepSpec};
use crate::worker::{Worker, WorkerKey};

/// The most workers that one call to the adviser names.
const MOST_ASKED: usize = 100;
/// Room asked about, in multiples of the room needed: others take some of it meanwhile.
const ROOM_MARGIN: f64 = 2.0;
/// The least workers that a call names, where there are so many.
const LEAST_ASKED: usize = 6;

/// How much a job still has to gain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Hope {
    /// It can meet its objective.
    OnTime,
    /// It can end late, which is worth less.
    Late,
    /// It is too late.
    None,
}

/// A step with tasks to start.
#[derive(Debug)]
struct Due {
    job: JobKey,
    step: usize,
    hope: Hope,
    /// Microseconds left beyond the expected work, negative if there are none.
    slack: i64,
    /// No slack to spare for a slow worker.
    is_tight: bool,
}

impl Due {
    fn order(&self, other: &Due) -> Ordering {
        (self.hope, self.slack, self.step).cmp(&(other.hope, other.slack, other.step))
    }
}

/// Room on workers that steps ahead in the order wait for.
#[derive(Debug, Default)]
struct Reserved {
    rooms: FxHashMap<WorkerKey, Size>,
}

impl Cell {
    /// Decides what can be decided, and returns everything to be done.
    pub fn decide(&mut self, now: Time) -> Vec<Action> {
        self.expire_workers(now);
        self.send_stops(now);
        let mut reserved = Reserved::default();
        for due in self.due_steps(now) {
            self.place_step(&due, &mut reserved, now);
        }
        std::mem::take(&mut self.actions)
    }

    fn due_steps(&self, now: Time) -> Vec<Due> {
        let is_inheriting = self.is_inheriting();
        let mut due = Vec::new();
        for (key, job) in &self.jobs {
            if job.end.is_some() || (job.inherited && is_inheriting) {
                continue;
            }
            for (number, step) in job.steps.iter().enumerate() {
                if step.waiting == 0 || !job.is_due(number) {
                    continue;
                }
                // A gang starts anew only when nothing of its last run is left.
                let is_gang = job.spec.steps[number].gang;
                if is_gang && !step.tasks.iter().all(Task::is_free) {
                    continue;
                }
                let left = |end: Time| {
                    end.as_micros() as i64 - now.as_micros() as i64 - step.tail.as_micros() as i64
                };
                let slack = left(job.objective);
                let hope = if slack >= 0 {
                    Hope::OnTime
                } else if left(job.late) >= 0 {
                    Hope::Late
                } else {
                    Hope::None
                };
                due.push(Due {
                    job: key,
                    step: number,
                    hope,
                    slack,
                    is_tight: slack < step.tail.as_micros() as i64,
                });
            }
        }
        due.sort_by(Due::order);
        due
    }

    fn place_step(&mut self, due: &Due, reserved: &mut Reserved, now: Time) {
        self.expire_ask(due.job, due.step, now);
        let open = self.open_workers(due, reserved, now);
        let spec = &self.jobs[due.job].spec.steps[due.step];
        let started = if spec.gang {
            self.place_gang(due, &open, reserved, now)
        } else {
            self.place_tasks(due, &open, reserved, now)
        };
        if !started {
            self.ask(due, reserved, now);
        }
    }

    /// Returns the workers that may run the step now and have room, best first.
    fn open_workers(&self, due: &Due, reserved: &Reserved, now: Time) -> Vec<WorkerKey> {
        let job = &self.jobs[due.job];
        let spec = &job.spec.steps[due.step];
        let needs_ticket = job.spec.terms.advice.is_some();
        let tickets = &job.steps[due.step].tickets;
        let may_run = |key: WorkerKey, worker: &Worker| {
            worker.is_usable(now)
                && worker.entry.service == job.spec.terms.service
                && has_label(worker, spec)
                && (!needs_ticket || tickets.valid(key, now).is_some())
                && reserved.room(key, worker).fits(spec.charge()) > 0
        };
        let mut open: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(key, worker)| may_run(*key, worker))
            .map(|(key, _)| key)
            .collect();
        open.sort_by(|a, b| self.prefer(*a, *b, due, spec));
        open
    }

    /// Orders workers for a step: those near its data first; then the fast ones where time is
    /// short, and the slow ones where it is not; then the ones that it fills best.
    fn prefer(&self, a: WorkerKey, b: WorkerKey, due: &Due, spec: &StepSpec) -> Ordering {
        let (a, b) = (&self.workers[a], &self.workers[b]);
        let is_near = |worker: &Worker| {
            spec.rack
                .as_ref()
                .is_none_or(|rack| worker.rack() == Some(rack))
        };
        let speed = a.speed.mean().total_cmp(&b.speed.mean());
        is_near(b)
            .cmp(&is_near(a))
            .then(if due.is_tight { speed } else { speed.reverse() })
            .then(a.room().cpu.cmp(&b.room().cpu))
    }

    /// Starts as many tasks as fit; returns whether none is left waiting.
    fn place_tasks(
        &mut self,
        due: &Due,
        open: &[WorkerKey],
        reserved: &Reserved,
        now: Time,
    ) -> bool {
        let job = &self.jobs[due.job];
        let spec = &job.spec.steps[due.step];
        let size = spec.charge();
        let most = spec.spread.map_or(usize::MAX, usize::from);
        let waiting: Vec<usize> = free_tasks(&job.steps[due.step].tasks);
        let mut counts = self.step_counts(due.job, due.step);
        let mut left = waiting.len();
        for index in waiting {
            let avoid = self.jobs[due.job].steps[due.step].tasks[index].avoid;
            let fits = |key: &&WorkerKey| {
                let count = counts.get(*key).copied().unwrap_or(0);
                let room = reserved.room(**key, &self.workers[**key]);
                count < most && room.fits(size) > 0
            };
            let mut choices: Vec<&WorkerKey> = open.iter().filter(fits).take(2).collect();
            if choices.len() > 1 && avoid == Some(*choices[0]) {
                choices.swap(0, 1);
            }
            let Some(&&worker) = choices.first() else {
                break;
            };
            let number = self.jobs[due.job].numbers + 1;
            if self
                .start_run(due.job, (due.step, index), number, worker, now)
                .is_none()
            {
                break;
            }
            *counts.entry(worker).or_default() += 1;
            left -= 1;
        }
        left == 0
    }

    /// Starts a whole gang if it fits; otherwise keeps the room that there is for it.
    fn place_gang(
        &mut self,
        due: &Due,
        open: &[WorkerKey],
        reserved: &mut Reserved,
        now: Time,
    ) -> bool {
        let job = &self.jobs[due.job];
        let spec = &job.spec.steps[due.step];
        let tasks = job.steps[due.step].tasks.len();
        let Some(seats) = self.seat_gang(spec, open, reserved, tasks) else {
            let size = spec.charge();
            let mut left = tasks as u64;
            for &key in open {
                let fits = reserved.room(key, &self.workers[key]).fits(size).min(left);
                reserved.keep(key, size, fits);
                left -= fits;
            }
            return false;
        };
        let number = job.numbers + 1;
        for (index, worker) in seats.into_iter().enumerate() {
            self.start_run(due.job, (due.step, index), number, worker, now);
        }
        true
    }

    /// Returns a worker for each member of a gang, on one rack where that matters and fits.
    fn seat_gang(
        &self,
        spec: &StepSpec,
        open: &[WorkerKey],
        reserved: &Reserved,
        tasks: usize,
    ) -> Option<Vec<WorkerKey>> {
        if spec.one_rack {
            let mut racks: Vec<Option<&Arc<str>>> =
                open.iter().map(|key| self.workers[*key].rack()).collect();
            racks.sort();
            racks.dedup();
            for rack in racks {
                let on_rack = |key: &WorkerKey| self.workers[*key].rack() == rack;
                let seats: Vec<WorkerKey> = open.iter().copied().filter(on_rack).collect();
                if let Some(seats) = self.fill_seats(spec, &seats, reserved, tasks) {
                    return Some(seats);
                }
            }
        }
        self.fill_seats(spec, open, reserved, tasks)
    }

    fn fill_seats(
        &self,
        spec: &StepSpec,
        open: &[WorkerKey],
        reserved: &Reserved,
        tasks: usize,
    ) -> Option<Vec<WorkerKey>> {
        let most = spec.spread.map_or(usize::MAX, usize::from);
        let mut seats = Vec::with_capacity(tasks);
        for &key in open {
            let room = reserved.room(key, &self.workers[key]);
            let fits = usize::try_from(room.fits(spec.charge())).unwrap_or(usize::MAX);
            let take = fits.min(most).min(tasks - seats.len());
            seats.extend(std::iter::repeat_n(key, take));
        }
        (seats.len() == tasks).then_some(seats)
    }

    /// Returns how many tasks of a step are on each worker.
    fn step_counts(&self, job: JobKey, step: usize) -> FxHashMap<WorkerKey, usize> {
        let mut counts = FxHashMap::default();
        for run in self.job_runs(job) {
            if usize::from(run.name.step) == step {
                *counts.entry(run.worker).or_default() += 1;
            }
        }
        counts
    }

    /// Asks the adviser about the workers that have room, if the step could start on those of
    /// them that it is likely to allow.
    fn ask(&mut self, due: &Due, reserved: &mut Reserved, now: Time) {
        let job = &self.jobs[due.job];
        let Some(terms) = job.spec.terms.advice else {
            return;
        };
        let step = &job.steps[due.step];
        if step.tickets.pending.is_some() || step.tickets.again > now {
            return;
        }
        let (workers, room) = self.candidates(due, reserved, now);
        let spec = &self.jobs[due.job].spec.steps[due.step];
        let need = if spec.gang {
            step.tasks.len() as f64
        } else {
            1.0
        };
        if workers.is_empty() || room < need {
            return;
        }
        let length = call_time(&terms, workers.len());
        let Some((instance, until)) = self.desks.take(length, now) else {
            return;
        };
        let name = TaskName {
            job: job.id,
            occurrence: 0,
            step: due.step as u16,
            index: 0,
        };
        let ids = workers
            .iter()
            .map(|key| Arc::clone(&self.workers[*key].entry.id))
            .collect();
        self.jobs[due.job].steps[due.step].tickets.pending = Some(until);
        let ask = self.add_ask(due.job, due.step, workers, Arc::clone(&instance));
        self.actions.push(Action::Ask {
            ask,
            instance,
            step: name.step_name(),
            workers: ids,
            until,
        });
    }

    /// Returns the workers to ask about and the tasks that are expected to fit on those of them
    /// that the adviser allows.
    fn candidates(&self, due: &Due, reserved: &Reserved, now: Time) -> (Vec<WorkerKey>, f64) {
        let job = &self.jobs[due.job];
        let spec = &job.spec.steps[due.step];
        let step = &job.steps[due.step];
        let share = self
            .queues
            .get(&job.spec.terms.queue)
            .map_or(0.4, |sense| sense.allowed.mean());
        let most = spec.spread.map_or(u64::MAX, u64::from);
        let mut rows = Vec::new();
        let mut ready = 0.0;
        for (key, worker) in &self.workers {
            let is_open = worker.is_usable(now)
                && worker.entry.service == job.spec.terms.service
                && has_label(worker, spec);
            if !is_open {
                continue;
            }
            let room = reserved.room(key, worker);
            let fits = room.fits(spec.charge()).min(most) as f64;
            match step.tickets.verdict(key) {
                Some(Verdict::Barred) => {}
                Some(Verdict::Allowed { expires, .. }) if *expires > now => ready += fits,
                Some(Verdict::Allowed { .. }) if fits > 0.0 => rows.push((key, fits, 1.0)),
                None if fits > 0.0 => rows.push((key, fits, share)),
                Some(Verdict::Allowed { .. }) | None => {}
            }
        }
        rows.sort_by(|a, b| {
            b.2.total_cmp(&a.2)
                .then_with(|| self.prefer(a.0, b.0, due, spec))
        });
        let wanted = step.waiting as f64 * ROOM_MARGIN;
        let mut room = ready;
        let mut workers = Vec::new();
        for (key, fits, chance) in rows {
            if workers.len() >= MOST_ASKED || (room >= wanted && workers.len() >= LEAST_ASKED) {
                break;
            }
            room += fits * chance;
            workers.push(key);
        }
        (workers, room)
    }
}

fn has_label(worker: &Worker, spec: &StepSpec) -> bool {
    spec.label
        .as_ref()
        .is_none_or(|label| worker.entry.labels.contains(label))
}

fn free_tasks(tasks: &[Task]) -> Vec<usize> {
    tasks
        .iter()
        .enumerate()
        .filter(|(_, task)| task.is_free())
        .map(|(index, _)| index)
        .collect()
}

impl Reserved {
    fn room(&self, key: WorkerKey, worker: &Worker) -> Size {
        let kept = self.rooms.get(&key).copied().unwrap_or_default();
        worker.room().room(kept)
    }

    fn keep(&mut self, key: WorkerKey, size: Size, tasks: u64) {
        let kept = self.rooms.entry(key).or_default();
        kept.cpu += size.cpu * tasks;
        kept.memory += size.memory * tasks;
        kept.gpu += size.gpu * tasks;
    }
}
