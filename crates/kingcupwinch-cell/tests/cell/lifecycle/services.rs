//! A larger world with long-running jobs, an adviser and workers that drain. Faults come in bursts
//! with calm times between them, in which waits are bounded.

use std::sync::Arc;

use kingcupwinch_cell::{AdviceCost, JobId, JobSpec, StartOrder, StepSpec, Ticket};
use kingcupwinch_time::{Span, Time};

use super::adviser::Adviser;
use super::faults::CORES;
use super::log::IntakeRecord;
use super::simulation::{Event, Simulation, Variant};
use super::worker::{Work, Worker};
use crate::harness::{id, job, step};

/// The kinds of workers, one of which a step may ask for.
const KINDS: [&str; 2] = ["kind-a", "kind-b"];
/// The numbers of workers of which one is drawn.
pub(super) const WORKERS: [usize; 4] = [16, 24, 40, 64];
/// The same for worlds in which many steps wait at once.
pub(super) const MANY_WORKERS: [usize; 4] = [100, 130, 160, 200];
/// The instances that call the adviser.
const ADVICE_CALLERS: usize = 3;
/// The same with more tasks than fit: the number of workers per instance, as on the platform.
const WORKERS_PER_CALLER: usize = 5;
/// The share of the CPU of all workers that long-running tasks take at most, in percent.
const LONG_RUNNING_PERCENT: u64 = 45;
/// The same for jobs that are more than fit: the least and the most.
const OVERLOAD_PERCENT: (u64, u64) = (200, 400);
/// The mean numbers of events per second: workers that begin to drain, and jobs with advice among all
/// jobs that end.
const DRAINS: f64 = 0.15;
/// The same for workers whose capacity changes, one by one and many at once.
const RESIZES: f64 = 2.0;
const RESIZE_WAVES: f64 = 0.1;
const ADVISED_JOBS: f64 = 0.05;
/// The share of the long-running jobs with a task that crashes its workers.
const CRASHING_LONG_RUNNING_JOBS: f64 = 0.2;
/// The share of calls to the adviser that are lost, and that are late, while there are faults.
const LOST_CALLS: f64 = 0.1;
const LATE_CALLS: f64 = 0.1;
/// The time from the end of the faults until the long-running jobs are cancelled.
const CALM_END: Span = Span::from_secs(14);

pub(super) fn labels(machine: usize) -> Vec<Arc<str>> {
    vec![
        KINDS[machine % KINDS.len()].into(),
        format!("rack-{}", machine / 4).into(),
    ]
}

pub(super) fn no_adviser() -> Adviser {
    Adviser::new(
        AdviceCost {
            call_ms: 0.0,
            worker_ms: 0.0,
            valid_ms: 0.0,
        },
        0,
        0,
    )
}

impl Simulation {
    /// Draws the workers, the adviser, the bursts of faults and the long-running jobs.
    pub(super) fn set_up_services(&mut self) {
        let workers = self.set_up_workers(WORKERS, (60, 400), (1, 8), |_| ADVICE_CALLERS);
        for begin in [6_000, 25_000] {
            let begin = self.now + self.span(begin, begin + 2_000);
            let length = self.span(500, 2_500);
            self.bursts.push((begin, begin + length));
            if self.chance(0.5) {
                self.schedule(begin.since(self.now), Event::CrashWave);
            }
        }
        let mut cores = workers as u64 * 8 * LONG_RUNNING_PERCENT / 100;
        for _ in 0..self.between(2, 5) {
            let spec = self.draw_long_running(&mut cores);
            if !spec.steps.is_empty() {
                let delay = self.span(0, 5_000);
                self.schedule(delay, Event::Submit(Box::new(spec)));
            }
        }
        let cancel_at = self.faults_end + CALM_END;
        self.schedule(cancel_at.since(self.now), Event::CancelLongRunning);
        if self.chance(0.3) {
            let delay = self.span(10_000, 44_000);
            self.schedule(delay, Event::DrainWave);
        }
    }

    /// Draws the workers, as many as one of these numbers, and an adviser whose calls take times in
    /// these ranges, in milliseconds: in all, and for each worker named. Returns the number of workers.
    fn set_up_workers(
        &mut self,
        workers: [usize; 4],
        call_ms: (u64, u64),
        worker_ms: (u64, u64),
        callers: fn(usize) -> usize,
    ) -> usize {
        let workers = workers[self.between(0, 3) as usize];
        let cost = AdviceCost {
            call_ms: self.between(call_ms.0, call_ms.1) as f64,
            worker_ms: self.between(worker_ms.0, worker_ms.1) as f64,
            valid_ms: self.between(1_500, 4_000) as f64,
        };
        let (seed, percent) = (self.between(0, u64::MAX), self.between(25, 45));
        self.adviser = Adviser::new(cost, seed, percent);
        self.advice_callers = (0..callers(workers))
            .map(|number| format!("caller-{number}").into())
            .collect();
        for machine in 0..workers {
            self.add_worker(machine);
        }
        workers
    }

    /// Draws the workers, an adviser whose callers are always busy, and long-running jobs that are
    /// handed in one after the other.
    pub(super) fn set_up_overload(&mut self) {
        let callers = |workers| workers / WORKERS_PER_CALLER;
        let workers = self.set_up_workers(WORKERS, (300, 500), (4, 8), callers);
        self.hand_in_overload(workers, 4);
    }

    /// Draws the same with some larger jobs and longer calls, and when workers leave.
    pub(super) fn set_up_departures(&mut self, workers: [usize; 4]) {
        let callers = |workers| workers / WORKERS_PER_CALLER;
        let workers = self.set_up_workers(workers, (300, 900), (4, 8), callers);
        self.hand_in_overload(workers, 10);
        for _ in 0..self.between(1, 2) {
            let delay = self.span(10_000, 30_000);
            self.schedule(delay, Event::DepartureWave);
        }
    }

    /// Draws long-running jobs of at most `most_tasks` tasks, more than fit, and when they are handed
    /// in.
    fn hand_in_overload(&mut self, workers: usize, most_tasks: u64) {
        let (least, most) = OVERLOAD_PERCENT;
        let mut cores = workers as u64 * 8 * self.between(least, most) / 100;
        let last_ms = self.faults_end.since(self.now).as_millis();
        while cores > 0 {
            let (size, count) = (self.between(1, 3), self.between(1, most_tasks));
            let count = count.min(cores.div_ceil(size));
            cores = cores.saturating_sub(count * size);
            let mut step = step(count as u16, size, 1_000);
            step.long_running = true;
            step.worker_limit = Some(self.between(1, 2) as u16);
            let mut spec = job(vec![step]);
            spec.policy.advice = Some(self.adviser.cost);
            let delay = self.span(0, last_ms);
            self.schedule(delay, Event::Submit(Box::new(spec)));
        }
        let cancel_at = self.faults_end + CALM_END;
        self.schedule(cancel_at.since(self.now), Event::CancelLongRunning);
    }

    /// Draws a job of one or two long-running steps, within the cores that are left.
    fn draw_long_running(&mut self, cores: &mut u64) -> JobSpec {
        let workers = self.workers.len() as u64;
        let mut steps: Vec<StepSpec> = Vec::new();
        for _ in 0..self.between(1, 2) {
            let count = match self.between(0, 3) {
                0 => self.between(1, 4),
                1 => self.between(2, workers / 4),
                _ => self.between(workers / 4, workers / 2),
            };
            let size = self.between(1, 3);
            let count = count.min(*cores / size);
            if count == 0 {
                break;
            }
            *cores -= count * size;
            let mut step = step(count as u16, size, 1_000);
            step.long_running = true;
            step.max_unavailable = self.between(0, 3) as u16;
            step.worker_limit = match self.between(0, 9) {
                0..6 => Some(1),
                6..8 => Some(2),
                _ => None,
            };
            if self.chance(0.2) {
                step.required_label = Some(KINDS[self.between(0, 1) as usize].into());
            }
            steps.push(step);
        }
        let mut spec = job(steps);
        spec.policy.queue = format!("queue-{}", self.between(0, 2)).into();
        if self.chance(0.7) {
            spec.policy.advice = Some(self.adviser.cost);
        }
        spec
    }

    /// Gives some of the jobs that end what long-running jobs have.
    pub(super) fn vary_job(&mut self, spec: &mut JobSpec) {
        if self.chance(ADVISED_JOBS) {
            spec.policy.advice = Some(self.adviser.cost);
        }
        // With few callers and long calls, what is left of these jobs at the end would wait for a caller.
        if self.variant == Variant::Departures {
            spec.policy.advice = None;
        }
        for step in &mut spec.steps {
            if self.chance(0.1) {
                step.worker_limit = Some(1);
            }
            if self.chance(0.1) {
                step.required_label = Some(KINDS[self.between(0, 1) as usize].into());
            }
        }
    }

    pub(super) fn cancel_long_running(&mut self) {
        let is_long_running = |spec: &JobSpec| spec.steps.iter().any(|step| step.long_running);
        let accepted = self.log.accepted.iter();
        let jobs: Vec<JobId> = accepted
            .filter(|(_, spec)| is_long_running(spec))
            .map(|(id, _)| *id)
            .collect();
        for id in jobs {
            let delay = self.span(0, 500);
            self.schedule(delay, Event::Intake(IntakeRecord::Cancelled(id)));
        }
        self.is_cancelling = true;
    }

    pub(super) fn submit_spec(&mut self, spec: JobSpec) {
        let number = self.callers.jobs.len();
        if self.variant == Variant::Crashes && self.chance(CRASHING_LONG_RUNNING_JOBS) {
            self.draw_crashing_task(id(number as u64 + 1), &spec);
        }
        self.callers.jobs.push((id(number as u64 + 1), spec));
        self.submit(number);
    }

    /// Draws how a long-running task behaves: it becomes ready and fails at some time.
    pub(super) fn draw_long_run(&mut self, cpu: u64) -> Work {
        let duration = if self.chance(0.08) {
            self.span(20, 2_000)
        } else {
            self.span(2_000, 60_000)
        };
        Work {
            cpu,
            duration,
            startup: Some(self.span(200, 1_500)),
            reason: kingcupwinch_cell::EndReason::Failed,
        }
    }

    /// Returns whether a start order carries the ticket that its step needs, if any.
    pub(super) fn has_ticket(&self, order: &StartOrder, life: (usize, u64)) -> bool {
        let spec = self.log.accepted.get(&order.task.job);
        let needs_ticket = spec.is_some_and(|spec| spec.policy.advice.is_some());
        let step = order.task.step_name();
        let ticket = order.ticket.as_ref();
        !needs_ticket || self.adviser.accepts(ticket, &step, life, self.now)
    }

    /// Returns whether no worker will ever run some step of a job: the adviser allows none that has
    /// the label.
    pub(super) fn has_no_worker(&self, id: JobId) -> bool {
        let Some(spec) = self.log.accepted.get(&id) else {
            return false;
        };
        let is_barred = |(number, step): (usize, &StepSpec)| {
            let name = format!("{id}.0.{number}");
            let mut workers = self.workers.iter();
            !workers.any(|worker| worker.life.is_some() && self.may_use(spec, step, &name, worker))
        };
        spec.steps.iter().enumerate().any(is_barred)
    }

    /// Returns whether a worker has the label of a step and the adviser allows it.
    pub(super) fn may_use(
        &self,
        spec: &JobSpec,
        step: &StepSpec,
        name: &str,
        worker: &Worker,
    ) -> bool {
        let label = step.required_label.as_ref();
        let has_label = label.is_none_or(|label| worker.labels.contains(label));
        has_label && (spec.policy.advice.is_none() || self.adviser.allows(name, &worker.id))
    }

    /// Has an instance call the adviser. The tickets, or `None` by the deadline, reach the owner.
    pub(super) fn ask_adviser(
        &mut self,
        instance: &Arc<str>,
        step: &str,
        workers: &[Arc<str>],
        deadline: Time,
        event: impl Fn(Option<(Vec<Ticket>, Span)>) -> Event,
    ) {
        let now = self.now;
        let is_lost = self.is_disturbed() && self.chance(LOST_CALLS);
        let is_late = self.is_disturbed() && self.chance(LATE_CALLS);
        let handled_at = self.adviser.handle(instance, workers.len(), now);
        let mut tickets = Vec::new();
        for id in workers {
            if self.adviser.allows(step, id) {
                let number = self.workers.iter().position(|worker| worker.id == *id);
                let number = number.unwrap();
                let life = (number, self.workers[number].lives);
                tickets.push(self.adviser.issue(step, id, life, handled_at));
            }
        }
        let mut received_at = handled_at + self.delay(0.05, 400);
        if is_late {
            received_at += self.span(100, 1_500);
        }
        let job = JobId::parse(&step[..16]);
        self.trace(job, None, || {
            let (allowed, all) = (tickets.len(), workers.len());
            let named: Vec<&str> = workers.iter().map(|id| &**id).collect();
            format!("{instance} asks about {step}: {allowed} of {all} allowed, {named:?}")
        });
        if is_lost || received_at > deadline {
            self.schedule(deadline.since(now), event(None));
        } else {
            let advice = (tickets, self.adviser.validity());
            self.schedule(received_at.since(now), event(Some(advice)));
        }
    }

    /// Has workers begin to drain from time to time.
    pub(super) fn tick_drains(&mut self) {
        if !self.is_quiet() && self.occurs(DRAINS) {
            let number = self.between(0, self.workers.len() as u64 - 1) as usize;
            self.begin_drain(number);
        }
    }

    /// Has some of the workers drain at about the same time.
    pub(super) fn drain_wave(&mut self) {
        for number in 0..self.workers.len() {
            if self.chance(0.15) {
                self.begin_drain(number);
            }
        }
    }

    /// Has a share of the workers drain at about the same time and leave for good.
    pub(super) fn departure_wave(&mut self) {
        let share = self.between(10, 40) as f64 / 100.0;
        let notice = self.between(2_000, 6_000);
        for number in 0..self.workers.len() {
            if self.chance(share) {
                let takes = self.span(notice, notice + 500);
                self.drain(number, takes);
            }
        }
    }

    fn begin_drain(&mut self, number: usize) {
        let takes = self.span(4_000, 9_000);
        self.drain(number, takes);
    }

    fn drain(&mut self, number: usize, takes: Span) {
        let worker = &mut self.workers[number];
        let Some(life) = worker.life.as_ref().filter(|_| !worker.is_draining) else {
            return;
        };
        let life = life.number;
        worker.is_draining = true;
        worker.next_heartbeat = self.now;
        self.trace(None, Some(number), || "it drains".to_owned());
        self.schedule(takes, Event::WorkerLeave(number, life));
    }

    /// Has the capacity of workers shrink and grow from time to time, of some at once now and then.
    pub(super) fn tick_resizes(&mut self) {
        if self.is_quiet() {
            for number in 0..self.workers.len() {
                self.resize(number, CORES);
            }
            return;
        }
        if self.occurs(RESIZES) {
            let number = self.between(0, self.workers.len() as u64 - 1) as usize;
            let cores = self.between(0, CORES);
            self.resize(number, cores);
        }
        if self.occurs(RESIZE_WAVES) {
            let (share, cores) = (self.between(10, 50) as f64 / 100.0, self.between(0, CORES));
            for number in 0..self.workers.len() {
                if self.chance(share) {
                    self.resize(number, cores);
                }
            }
        }
    }

    fn resize(&mut self, number: usize, cores: u64) {
        let now = self.now;
        let worker = &mut self.workers[number];
        if worker.capacity_cpu != cores * 1_000 {
            worker.resize(cores * 1_000, now);
            self.trace(None, Some(number), || format!("it has {cores} cores now"));
        }
    }

    /// Ends a worker that has drained. Another one follows on its machine, unless workers leave for good.
    pub(super) fn leave(&mut self, number: usize, life: u64) {
        let is_same = self.workers[number].life.as_ref();
        if is_same.is_some_and(|current| current.number == life) {
            self.end_process(number, true);
            if self.variant == Variant::Departures {
                self.workers[number].is_gone = true;
            } else {
                self.replace_worker(number);
            }
        }
    }

    /// Crashes some of the workers at once.
    pub(super) fn crash_wave(&mut self) {
        let share = self.between(5, 35) as f64 / 100.0;
        for number in 0..self.workers.len() {
            if self.workers[number].life.is_some() && self.chance(share) {
                self.end_process(number, false);
                self.return_worker(number);
            }
        }
    }

    /// Has something run on the machine of an ended worker again, or nothing.
    pub(super) fn return_worker(&mut self, number: usize) {
        match self.between(0, 9) {
            0..4 => {
                let delay = self.span(300, 4_000);
                self.schedule(delay, Event::WorkerStart(number));
            }
            4..8 => self.replace_worker(number),
            _ => self.workers[number].is_gone = true,
        }
    }

    pub(super) fn replace_worker(&mut self, number: usize) {
        self.workers[number].is_gone = true;
        let delay = self.span(300, 4_000);
        let machine = self.workers[number].machine;
        self.schedule(delay, Event::MachineStart(machine));
    }

    /// Starts a worker with a new id at the address of an earlier one.
    pub(super) fn start_machine(&mut self, machine: usize) {
        let now = self.now;
        for worker in &mut self.workers {
            if worker.machine == machine
                && let Some(loss) = &mut worker.loss
            {
                loss.replaced_at.get_or_insert(now);
            }
        }
        self.add_worker(machine);
    }

    /// Extends the time that counts as disturbed while a fault goes on.
    pub(super) fn note_disturbances(&mut self) {
        let now = self.now;
        let owner = &self.owners[self.current()];
        let is_harmed = |worker: &Worker| {
            let is_up = worker.life.is_some();
            is_up && (worker.cut_at(now).is_some() || worker.unregistered_until > now)
        };
        if self.is_disturbed()
            || self.log.is_down(now)
            || owner.is_lost()
            || owner.cut_until > now
            || self.workers.iter().any(is_harmed)
        {
            self.note_fault();
        }
    }

    pub(super) fn note_fault(&mut self) {
        self.disturbed_until = self.now;
    }

    /// Records a takeover, with the end of the time in which owners before may have renewed leases.
    pub(super) fn note_takeover(&mut self, overlap_until: Time) {
        self.note_fault();
        self.taken_over_at = self.now;
        self.overlap_until = overlap_until;
    }
}
