//! Decides what starts where.
//!
//! Steps that are due are taken in order of the time that is left to their job's objective. Each
//! starts what fits on workers that it may use; where an adviser has to allow them first, it is
//! asked about as many workers as the step is likely to need.

use std::cmp::Ordering;
use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;
use slotmap::SecondaryMap;

use crate::advice::{Verdict, call_time};
use crate::cell::{Action, Cell};
use crate::job::{Job, JobKey, Task};
use crate::spec::{Resources, StepSpec};
use crate::worker::{RACK_LABEL, WorkerKey};

/// The most workers that one call to the adviser names.
const MOST_ASKED: usize = 100;
/// Room asked about, in multiples of the room needed: others take some of it meanwhile.
const ROOM_MARGIN: f64 = 2.0;
/// The least workers that a call names, where there are so many.
const LEAST_ASKED: usize = 6;

/// How long a step for which there is too little room is not considered for a call again.
const FULL_PAUSE: Span = Span::from_millis(30);

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
    /// The slowest worker that still meets the objective, as observed over expected run time.
    slowest: f64,
}

impl Due {
    /// Judges a step by the time that it takes on the fastest workers.
    fn new(key: JobKey, number: usize, job: &Job, fastest: f64, now: Time) -> Self {
        let step = &job.steps[number];
        let spec = job.step_spec(number);
        if spec.long_running {
            return Due::of_lasting(key, number);
        }
        let tail = step.tail.as_micros() as f64;
        let left = |end: Time| {
            let left = end.as_micros() as i64 - now.as_micros() as i64;
            left - (tail * fastest) as i64
        };
        let slack = left(step.objective);
        let hope = if slack >= 0 {
            Hope::OnTime
        } else if left(step.late) >= 0 {
            Hope::Late
        } else {
            Hope::None
        };
        // A gang needs too many workers at once to be choosy.
        let is_choosy = hope == Hope::OnTime && !spec.gang;
        let slowest = if is_choosy {
            fastest + slack as f64 / tail.max(1.0)
        } else {
            f64::INFINITY
        };
        Due {
            job: key,
            step: number,
            hope,
            slack,
            is_tight: (slack as f64) < tail * (2.0 - fastest),
            slowest,
        }
    }

    /// A lasting task has no end to meet, and is missed from its start on.
    fn of_lasting(key: JobKey, number: usize) -> Self {
        Due {
            job: key,
            step: number,
            hope: Hope::OnTime,
            slack: 0,
            is_tight: false,
            slowest: f64::INFINITY,
        }
    }

    fn order(&self, other: &Due) -> Ordering {
        (self.hope, self.slack, self.step).cmp(&(other.hope, other.slack, other.step))
    }
}

impl Cell {
    /// Decides what can be decided, and returns everything to be done.
    pub fn decide(&mut self, now: Time) -> Vec<Action> {
        self.expire_workers(now);
        self.expire_tentative(now);
        self.recall_partial_gangs();
        self.settle_withdrawn(now);
        self.open_occurrences(now);
        self.evacuate_lasting(now);
        self.send_stops(now);
        let mut floor = self.open_floor(now);
        for due in self.due_steps(&floor, now) {
            let service = &self.jobs[due.job].spec.policy.service;
            if let Some(hall) = floor.services.get_mut(service) {
                self.place_step(&due, hall, now);
            }
        }
        self.copy_slow_runs(&mut floor, now);
        self.take_actions()
    }

    /// Returns the workers that may be given work now.
    fn open_floor(&self, now: Time) -> Floor {
        let mut floor = Floor::default();
        for (key, worker) in &self.workers {
            if !worker.is_usable(now) {
                continue;
            }
            let service = &worker.entry.service;
            if !floor.services.contains_key(service) {
                floor.services.insert(Arc::clone(service), Hall::default());
            }
            let Some(hall) = floor.services.get_mut(service) else {
                continue;
            };
            hall.places.insert(key, hall.seats.len());
            hall.seats.push(Seat {
                key,
                room: worker.room(),
                is_filled: worker.filling > 0,
                is_serving: worker.serving > 0,
                speed: worker.speed.mean(),
            });
        }
        floor
    }

    /// Returns the steps with tasks to start, the most urgent first.
    fn due_steps(&self, floor: &Floor, now: Time) -> Vec<Due> {
        let mut due = Vec::new();
        for (key, job) in &self.jobs {
            if job.end.is_some() {
                continue;
            }
            let hall = floor.services.get(&job.spec.policy.service);
            let fastest = hall.map_or(1.0, Hall::fastest);
            for (number, step) in job.steps.iter().enumerate() {
                if step.waiting == 0 || !job.is_due(number) {
                    continue;
                }
                // A gang starts anew only when nothing of its last run is left.
                let is_gang = job.step_spec(number).gang;
                let mut tasks = step.tasks.iter();
                if is_gang && !tasks.all(|task| task.is_free(now)) {
                    continue;
                }
                due.push(Due::new(key, number, job, fastest, now));
            }
        }
        due.sort_by(Due::order);
        due
    }

    fn place_step(&mut self, due: &Due, hall: &mut Hall, now: Time) {
        self.expire_ask(due.job, due.step, now);
        let job = &self.jobs[due.job];
        let spec = job.step_spec(due.step);
        if !hall.fits_any(spec.charge()) {
            return;
        }
        let open = self.open_seats(due, hall, now);
        let is_placed = if open.is_empty() {
            false
        } else if spec.gang {
            self.place_gang(due, &open, hall, now)
        } else {
            self.place_tasks(due, &open, hall, now)
        };
        if !is_placed {
            self.ask(due, hall, now);
        }
    }

    /// Returns the seats that may run the step now and have room, best first.
    fn open_seats(&self, due: &Due, hall: &Hall, now: Time) -> Vec<usize> {
        let spec = self.jobs[due.job].step_spec(due.step);
        let mut open = self.allowed_seats(due.job, due.step, hall, now);
        open.retain(|seat| hall.seats[*seat].speed <= due.slowest);
        open.sort_by(|a, b| self.prefer(&hall.seats[*a], &hall.seats[*b], due, spec));
        open
    }

    /// Returns the seats that may run a step now and have room, in no order.
    pub(crate) fn allowed_seats(
        &self,
        key: JobKey,
        step: usize,
        hall: &Hall,
        now: Time,
    ) -> Vec<usize> {
        let job = &self.jobs[key];
        let spec = job.step_spec(step);
        let is_open = |seat: &usize| {
            let seat = &hall.seats[*seat];
            let is_barred = spec.best_effort && seat.is_serving;
            seat.room.task_capacity(spec.charge()) > 0
                && !is_barred
                && self.has_label(seat.key, spec)
        };
        if job.spec.policy.advice.is_some() {
            let allowed = job.steps[step].tickets.allowed(now);
            let seats = allowed.filter_map(|key| hall.places.get(key).copied());
            seats.filter(is_open).collect()
        } else {
            (0..hall.seats.len()).filter(is_open).collect()
        }
    }

    /// Starts a run on a seat, and takes its room for this round; false if nothing was started.
    pub(crate) fn seat_run(
        &mut self,
        key: JobKey,
        place: (usize, usize),
        number: u32,
        (seat, hall): (usize, &mut Hall),
        now: Time,
    ) -> bool {
        let worker = hall.seats[seat].key;
        if self.start_run(key, place, number, worker, now).is_none() {
            return false;
        }
        let spec = self.jobs[key].step_spec(place.0);
        let is_serving = spec.latency_sensitive;
        hall.take(seat, spec.charge(), 1);
        hall.seats[seat].is_filled |= spec.best_effort;
        hall.seats[seat].is_serving |= is_serving;
        if is_serving {
            self.stop_filling(worker);
        }
        true
    }

    pub(crate) fn has_label(&self, worker: WorkerKey, spec: &StepSpec) -> bool {
        let Some(label) = &spec.required_label else {
            return true;
        };
        self.workers[worker].entry.labels.contains(label)
    }

    fn rack(&self, worker: WorkerKey) -> Option<&Arc<str>> {
        self.workers[worker].entry.labels.get(RACK_LABEL)
    }

    /// Orders workers for a step: those near its data first; then the fast ones where time is
    /// short, and the slow ones where it is not; then the ones that it fills best.
    fn prefer(&self, a: &Seat, b: &Seat, due: &Due, spec: &StepSpec) -> Ordering {
        let near = match &spec.data_rack {
            None => Ordering::Equal,
            Some(rack) => {
                let is_near = |seat: &Seat| self.rack(seat.key) == Some(rack);
                is_near(b).cmp(&is_near(a))
            }
        };
        // What serves is kept apart from what fills; where it can't be, the filling tasks go.
        let apart = if spec.latency_sensitive {
            a.is_filled.cmp(&b.is_filled)
        } else {
            Ordering::Equal
        };
        let speed = a.speed.total_cmp(&b.speed);
        near.then(apart)
            .then(if due.is_tight { speed } else { speed.reverse() })
            .then(a.room.cpu.cmp(&b.room.cpu))
            .then(a.key.cmp(&b.key))
    }

    /// Returns a seat for each member of a gang, on one rack where that matters and fits.
    fn seat_gang(
        &self,
        spec: &StepSpec,
        open: &[usize],
        hall: &Hall,
        tasks: usize,
    ) -> Option<Vec<usize>> {
        if spec.same_rack {
            let rack_of = |seat: &usize| self.rack(hall.seats[*seat].key);
            let mut racks: Vec<_> = open.iter().map(rack_of).collect();
            racks.sort();
            racks.dedup();
            for rack in racks {
                let on_rack = open.iter().copied().filter(|seat| rack_of(seat) == rack);
                let seats: Vec<usize> = on_rack.collect();
                if let Some(seats) = fill_seats(spec, &seats, hall, tasks) {
                    return Some(seats);
                }
            }
        }
        fill_seats(spec, open, hall, tasks)
    }

    /// Starts as many tasks as fit; returns whether none is left waiting.
    fn place_tasks(&mut self, due: &Due, open: &[usize], hall: &mut Hall, now: Time) -> bool {
        let job = &self.jobs[due.job];
        let spec = job.step_spec(due.step);
        let size = spec.charge();
        let most = spec.worker_limit.map_or(usize::MAX, usize::from);
        let waiting: Vec<usize> = free_tasks(&job.steps[due.step].tasks, now);
        let mut counts = self.step_counts(due.job, due.step);
        let mut left = waiting.len();
        for index in waiting {
            let avoid = self.jobs[due.job].steps[due.step].tasks[index].avoid;
            let fits = |seat: &&usize| {
                let seat = &hall.seats[**seat];
                let count = counts.get(&seat.key).copied().unwrap_or(0);
                count < most && seat.room.task_capacity(size) > 0
            };
            let mut choices = open.iter().filter(fits);
            let Some(mut seat) = choices.next() else {
                break;
            };
            if avoid == Some(hall.seats[*seat].key) {
                seat = choices.next().unwrap_or(seat);
            }
            let worker = hall.seats[*seat].key;
            let number = self.jobs[due.job].numbers + 1;
            let place = (due.step, index);
            if !self.seat_run(due.job, place, number, (*seat, hall), now) {
                break;
            }
            *counts.entry(worker).or_default() += 1;
            left -= 1;
        }
        left == 0
    }

    /// Starts a whole gang if it fits; otherwise keeps the room that there is for it.
    fn place_gang(&mut self, due: &Due, open: &[usize], hall: &mut Hall, now: Time) -> bool {
        let job = &self.jobs[due.job];
        let spec = job.step_spec(due.step);
        let size = spec.charge();
        let tasks = job.steps[due.step].tasks.len();
        let Some(seats) = self.seat_gang(spec, open, hall, tasks) else {
            let mut left = tasks as u64;
            for &seat in open {
                let fits = hall.seats[seat].room.task_capacity(size).min(left);
                hall.take(seat, size, fits);
                left -= fits;
            }
            return false;
        };
        let number = job.numbers + 1;
        for (index, seat) in seats.into_iter().enumerate() {
            self.seat_run(due.job, (due.step, index), number, (seat, hall), now);
        }
        true
    }

    /// Returns how many tasks of a step are on each worker.
    pub(crate) fn step_counts(&self, job: JobKey, step: usize) -> FxHashMap<WorkerKey, usize> {
        let mut counts = FxHashMap::default();
        for run in self.job_runs(job) {
            if self.jobs[job].slot(run.name) == step {
                *counts.entry(run.worker).or_default() += 1;
            }
        }
        counts
    }

    /// Asks the adviser about the workers that have room, if the step could start on those of
    /// them that it is likely to allow.
    fn ask(&mut self, due: &Due, hall: &Hall, now: Time) {
        let job = &self.jobs[due.job];
        let Some(terms) = job.spec.policy.advice else {
            return;
        };
        let step = &job.steps[due.step];
        let is_open = step.tickets.pending.is_none() && step.tickets.again <= now;
        if !is_open || !self.desks.is_open(call_time(&terms, 1), now) {
            return;
        }
        let (workers, room) = self.candidates(due, hall, now);
        let spec = self.jobs[due.job].step_spec(due.step);
        let need = if spec.gang {
            step.tasks.len() as f64
        } else {
            1.0
        };
        if workers.is_empty() || room < need {
            self.jobs[due.job].steps[due.step].tickets.again = now + FULL_PAUSE;
            return;
        }
        let length = call_time(&terms, workers.len());
        let Some((instance, until)) = self.desks.take(length, now) else {
            return;
        };
        let name = job.task_name(due.step, 0);
        let ids = workers
            .iter()
            .map(|key| Arc::clone(&self.workers[*key].entry.id))
            .collect();
        self.jobs[due.job].steps[due.step].tickets.pending = Some(until);
        let ask = self.add_ask(due.job, due.step, workers, Arc::clone(&instance));
        self.actions.push(Action::RequestAdvice {
            call: ask,
            instance,
            step: name.step_name(),
            workers: ids,
            deadline: until,
        });
    }

    /// Returns the workers to ask about next, and the tasks that are expected to fit on all workers
    /// that the adviser allows.
    fn candidates(&self, due: &Due, hall: &Hall, now: Time) -> (Vec<WorkerKey>, f64) {
        let job = &self.jobs[due.job];
        let spec = job.step_spec(due.step);
        let step = &job.steps[due.step];
        let share = self.allowed_share(&job.spec.policy.queue);
        let most = spec.worker_limit.map_or(u64::MAX, u64::from);
        // The first call for a gang names every worker: which may run it never changes, so that
        // later calls name only these.
        let is_first_of_gang = spec.gang && !step.tickets.is_known();
        let mut rows = Vec::new();
        let mut room = 0.0;
        for seat in &hall.seats {
            let fits = seat.room.task_capacity(spec.charge()).min(most) as f64;
            let is_of_use = fits > 0.0 || is_first_of_gang;
            let is_fast_enough = seat.speed <= due.slowest;
            if !is_of_use || !is_fast_enough || !self.has_label(seat.key, spec) {
                continue;
            }
            match step.tickets.verdict(seat.key) {
                Some(Verdict::Barred) => {}
                Some(Verdict::Allowed { expires, .. }) if *expires > now => room += fits,
                Some(Verdict::Allowed { .. }) => rows.push((seat, fits, 1.0)),
                None => rows.push((seat, fits, share)),
            }
        }
        rows.sort_by(|a, b| {
            let known = b.2.total_cmp(&a.2);
            let wide = if spec.gang {
                b.1.total_cmp(&a.1)
            } else {
                Ordering::Equal
            };
            known
                .then(wide)
                .then_with(|| self.prefer(a.0, b.0, due, spec))
        });
        let wanted = step.waiting as f64 * ROOM_MARGIN;
        let mut asked = room;
        let mut workers = Vec::new();
        for (seat, fits, chance) in rows {
            room += fits * chance;
            let is_enough = asked >= wanted && workers.len() >= LEAST_ASKED && !is_first_of_gang;
            if !is_enough && workers.len() < MOST_ASKED {
                asked += fits * chance;
                workers.push(seat.key);
            }
        }
        (workers, room)
    }
}

/// A worker that may be given work, with the room that is left for the steps not yet decided on.
#[derive(Debug)]
pub(crate) struct Seat {
    pub(crate) key: WorkerKey,
    pub(crate) room: Resources,
    /// Whether tasks fill there, or serve users of their own.
    is_filled: bool,
    is_serving: bool,
    /// Observed over expected run time: less is faster.
    pub(crate) speed: f64,
}

/// The workers of one service in one round of decisions.
#[derive(Debug, Default)]
pub(crate) struct Hall {
    pub(crate) seats: Vec<Seat>,
    places: SecondaryMap<WorkerKey, usize>,
}

/// The workers of one round of decisions.
#[derive(Debug, Default)]
pub(crate) struct Floor {
    pub(crate) services: FxHashMap<Arc<str>, Hall>,
}

impl Hall {
    /// Returns the speed of the fastest worker; 1 if there are none.
    fn fastest(&self) -> f64 {
        let speeds = self.seats.iter().map(|seat| seat.speed);
        speeds.reduce(f64::min).unwrap_or(1.0)
    }

    /// Returns whether any worker has room for a task of a size.
    fn fits_any(&self, size: Resources) -> bool {
        self.seats
            .iter()
            .any(|seat| seat.room.task_capacity(size) > 0)
    }

    /// Takes room for tasks that start, or that a step ahead waits for.
    fn take(&mut self, seat: usize, size: Resources, tasks: u64) {
        let room = &mut self.seats[seat].room;
        for _ in 0..tasks {
            room.sub(size);
        }
    }
}

fn fill_seats(spec: &StepSpec, open: &[usize], hall: &Hall, tasks: usize) -> Option<Vec<usize>> {
    let most = spec.worker_limit.map_or(usize::MAX, usize::from);
    let mut seats = Vec::with_capacity(tasks);
    for &seat in open {
        let fits = hall.seats[seat].room.task_capacity(spec.charge());
        let fits = usize::try_from(fits).unwrap_or(usize::MAX);
        let take = fits.min(most).min(tasks - seats.len());
        seats.extend(std::iter::repeat_n(seat, take));
    }
    (seats.len() == tasks).then_some(seats)
}

fn free_tasks(tasks: &[Task], now: Time) -> Vec<usize> {
    let free = tasks
        .iter()
        .enumerate()
        .filter(|(_, task)| task.is_free(now));
    free.map(|(index, _)| index).collect()
}
