//! The life cycle of runs: placed, ordered, stopped and settled.

mod start_check;

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use super::{AdviceCallId, Cell, PaceOrder};
use crate::id::TaskName;
use crate::job::{JobKey, TaskState};
use crate::run::{NewRun, Run, RunKey, RunState, StartOutcome};
use crate::worker::WorkerKey;

use start_check::PlannedStart;

/// How long a stop order may remain unanswered before it is sent again.
const STOP_RETRY: Span = Span::from_millis(600);

/// An action that the owner has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Order a worker to start a run.
    Start(StartOrder),
    /// Order a worker to stop a run.
    Stop(StopOrder),
    /// Ask the adviser which of these workers may run a step.
    RequestAdvice {
        /// The id of the call, to be passed to [`Cell::advice_received`].
        call: AdviceCallId,
        /// The instance that makes the call.
        instance: Arc<str>,
        /// The name of the step.
        step: String,
        /// The ids of the workers.
        workers: Vec<Arc<str>>,
        /// When the call counts as lost.
        deadline: Time,
    },
    /// Order a worker to run a best-effort task at a part of its pace.
    Pace(PaceOrder),
    /// Find out whether an instance responds, to be passed to [`Cell::caller_probed`].
    ProbeCaller(Arc<str>),
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq)]
pub struct StartOrder {
    /// The worker.
    pub worker: WorkerKey,
    /// The task.
    pub task: TaskName,
    /// The run number.
    pub run: u32,
    /// The caller's text.
    pub payload: Arc<str>,
    /// The end of the lease on the worker's clock, in milliseconds.
    pub lease_until: u64,
    /// The adviser's ticket, if one is needed.
    pub ticket: Option<Arc<str>>,
    /// The checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Observed over expected run time on the worker, in percent.
    pub pace_percent: u32,
    /// The instance that accepted the job, if it is known; it may still have the payload.
    pub accepted_by: Option<Arc<str>>,
}

/// An order to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopOrder {
    /// The worker.
    pub worker: WorkerKey,
    /// The task.
    pub task: TaskName,
    /// The run number.
    pub run: u32,
}

impl Cell {
    /// Places a run of a task, given by its slot and index, on a worker. The start order is sent once
    /// the placement is in the log, so that a later owner knows of every run that may exist. Returns
    /// `None` if the run may not start there or the worker's clock is unknown. The caller has checked the
    /// cap of the customer.
    pub(crate) fn place_run(
        &mut self,
        key: JobKey,
        place: (usize, usize),
        number: u32,
        worker: WorkerKey,
        now: Time,
    ) -> Option<RunKey> {
        let (step, index) = place;
        let start = PlannedStart {
            job: key,
            step,
            worker,
            run: None,
        };
        self.may_start(start, now).ok()?;
        let lease = self.lease_length(now);
        let lease_until = self.workers[worker].grant_lease(now, lease)?;
        let job = &self.jobs[key];
        let name = job.task_name(step, index);
        let spec = job.step_spec(step);
        let pace_percent = (self.worker_pace(worker, now) * 100.0) as u32;
        let order = StartOrder {
            worker,
            pace_percent,
            task: name,
            run: number,
            payload: Arc::clone(&job.spec.payload),
            accepted_by: job.spec.accepted_by.clone(),
            lease_until,
            ticket: job.steps[step].tickets.valid_ticket(worker, now).cloned(),
            checkpoint: spec
                .checkpoints
                .then(|| job.steps[step].tasks[index].checkpoint.clone())
                .flatten(),
        };
        let is_whole = order.checkpoint.is_none();
        let new_run = NewRun {
            name,
            number,
            worker,
            state: RunState::Planned,
        };
        let run = self.add_run(key, new_run, now);
        self.runs[run].is_whole = is_whole;
        self.runs[run].expected_end = self.expected_end(key, step, worker, now);
        let job = &mut self.jobs[key];
        job.last_run = job.last_run.max(number);
        job.start_task(step, index, run);
        self.dirty.insert(key);
        self.unsent_starts.push((self.batch, run, order));
        Some(run)
    }

    /// Sends the start orders whose placements and jobs are in the log.
    pub(crate) fn send_recorded_starts(&mut self, now: Time) {
        self.discard_unfit_runs(now);
        for (batch, run, order) in std::mem::take(&mut self.unsent_starts) {
            let job = self.jobs_by_id.get(&order.task.job);
            let is_tentative = job.is_some_and(|key| self.tentative.contains_key(key));
            if batch > self.appended_batch || is_tentative {
                self.unsent_starts.push((batch, run, order));
            } else {
                self.send_start(run, order, now);
            }
        }
    }

    /// Discards runs that wait for the log where they no longer fit, on their workers or under the cap of
    /// their customer, those that were placed last first: either may have shrunk since, or a run of an
    /// earlier owner may have been found.
    fn discard_unfit_runs(&mut self, now: Time) {
        let unsent = self.unsent_starts.iter().rev();
        let runs: SmallVec<[RunKey; 16]> = unsent.map(|(_, run, _)| *run).collect();
        for key in runs {
            let Some(run) = self.runs.get(key) else {
                continue;
            };
            let is_unsent = matches!(run.state, RunState::Planned | RunState::Withdrawn);
            let (worker, is_planned) = (run.worker, run.state == RunState::Planned);
            if !is_unsent {
                continue;
            }
            let is_within_cap = self.is_within_cap(key);
            if !is_within_cap && is_planned {
                self.note_cap_withdrawal(key);
            }
            if !is_within_cap || self.workers[worker].is_over_capacity() {
                self.discard_run(key, now);
            }
        }
    }

    /// Sends a start order, unless its run was withdrawn or may no longer start on its worker.
    fn send_start(&mut self, run: RunKey, mut order: StartOrder, now: Time) {
        let planned = self.runs.get(run);
        let Some(planned) = planned.filter(|run| run.state == RunState::Planned) else {
            return;
        };
        let (job, worker) = (planned.job, order.worker);
        let step = self.jobs[job].slot(planned.name);
        let start = PlannedStart {
            job,
            step,
            worker,
            run: Some(run),
        };
        let lease = self.lease_length(now);
        // No lease is granted for an order that isn't sent: it would put off the expiry of all.
        let lease_until = match self.may_start(start, now) {
            Ok(()) => self.workers[worker].grant_lease(now, lease),
            Err(obstacle) => {
                self.note_discarded_start(run, obstacle, now);
                None
            }
        };
        let Some(lease_until) = lease_until else {
            self.discard_run(run, now);
            return;
        };
        order.lease_until = lease_until;
        let tickets = &self.jobs[job].steps[step].tickets;
        order.ticket = tickets.valid_ticket(worker, now).cloned();
        let state = &mut self.runs[run];
        state.state = RunState::Starting;
        state.started_at = now;
        state.progressed_at = now;
        self.counters.starts += 1;
        self.actions.push(Action::Start(order));
    }

    fn add_run(&mut self, key: JobKey, new_run: NewRun, now: Time) -> RunKey {
        let NewRun {
            name,
            number,
            worker,
            state,
        } = new_run;
        let run = self.runs.insert(Run {
            job: key,
            name,
            number,
            worker,
            state,
            started_at: now,
            expected_end: Time::ZERO,
            percent: 0,
            progressed_at: now,
            missed_listings: 0,
            is_whole: false,
            pace: None,
            pace_retry_at: Time::ZERO,
        });
        self.runs_by_name.insert((name, number), run);
        self.note_first_start(key, now);
        let job = &mut self.jobs[key];
        job.runs.insert(run);
        let slot = job.slot(name);
        job.steps[slot].tasks[usize::from(name.index)].unsettled_runs += 1;
        let spec = self.jobs[key].step_spec(slot);
        let customer = &self.jobs[key].spec.customer;
        self.customers.add_runs(customer, spec.resources, 1);
        let worker = &mut self.workers[worker];
        worker.runs.insert(run);
        worker.add_run(spec);
        run
    }

    pub(crate) fn job_runs(&self, key: JobKey) -> impl Iterator<Item = &Run> {
        self.jobs[key].runs.iter().map(|run| &self.runs[*run])
    }

    /// Adds a run that an earlier owner ordered, and returns it, or `None` if its task does not
    /// exist. If the task has several runs, the latest one stays active and the others are stopped.
    pub(crate) fn adopt_run(&mut self, key: JobKey, new_run: NewRun, now: Time) -> Option<RunKey> {
        let NewRun {
            name,
            number,
            state,
            ..
        } = new_run;
        let (step, index) = (self.jobs[key].slot(name), usize::from(name.index));
        self.jobs[key].open_through(step, now);
        if !self.jobs[key].has_task(step, index) {
            return None;
        }
        if let Some(&known) = self.runs_by_name.get(&(name, number)) {
            return Some(known);
        }
        let run = self.add_run(key, new_run, now);
        let job = &mut self.jobs[key];
        job.last_run = job.last_run.max(number);
        // A recorded placement does not show that its order was ever sent.
        job.started |= state == RunState::Running;
        let other = match job.steps[step].tasks[index].state {
            _ if job.end.is_some() => Some(run),
            TaskState::Waiting => None,
            TaskState::Active(other) if self.runs[other].number < number => Some(other),
            TaskState::Active(_) | TaskState::Done => Some(run),
        };
        if other != Some(run) {
            job.start_task(step, index, run);
        }
        if let Some(other) = other {
            self.stop_run(other);
        }
        Some(run)
    }

    /// Handles the outcome of a start order.
    pub fn start_answered(&mut self, order: &StartOrder, outcome: StartOutcome, now: Time) {
        let Some(&key) = self.runs_by_name.get(&(order.task, order.run)) else {
            return;
        };
        let run = &mut self.runs[key];
        if run.state != RunState::Starting {
            return;
        }
        let job = run.job;
        match outcome {
            StartOutcome::Started => {
                run.state = RunState::Running;
                run.started_at = now;
                run.progressed_at = now;
                if let Some(job) = self.jobs.get_mut(job)
                    && !job.started
                {
                    job.started = true;
                    self.dirty.insert(run.job);
                }
                self.pace_started_run(key, now);
            }
            StartOutcome::Lost => run.state = RunState::Unconfirmed(now),
            StartOutcome::NoTicket => {
                let (worker, name) = (run.worker, run.name);
                let job = &mut self.jobs[job];
                let step = job.slot(name);
                job.steps[step].tickets.expire(worker, now);
                self.discard_run(key, now);
            }
            StartOutcome::NotSent => {
                let worker = run.worker;
                self.workers[worker].failed_polls += 1;
                self.discard_run(key, now);
            }
            StartOutcome::Fenced
            | StartOutcome::Stale
            | StartOutcome::Late
            | StartOutcome::Full
            | StartOutcome::Refused => self.discard_run(key, now),
        }
    }

    /// Settles a run that certainly does not exist, and stops the rest of its gang.
    fn discard_run(&mut self, key: RunKey, now: Time) {
        let run = &self.runs[key];
        let (job, name, number) = (run.job, run.name, run.number);
        self.restore_original(key);
        self.settle(key, now);
        self.stop_gang(job, name, number);
    }

    /// Makes the original of a speculative run that does not exist the active run of its task again.
    fn restore_original(&mut self, key: RunKey) {
        let (job_key, name) = (self.runs[key].job, self.runs[key].name);
        if !self.is_task_active(job_key, name, key) {
            return;
        }
        let is_original = |other: &&RunKey| {
            let run = &self.runs[**other];
            **other != key && run.name == name && run.state.is_wanted()
        };
        let job = &mut self.jobs[job_key];
        if let Some(&original) = job.runs.iter().find(is_original) {
            let (step, index) = (job.slot(name), usize::from(name.index));
            job.steps[step].tasks[index].state = TaskState::Active(original);
        }
    }

    /// Stops the runs of a gang that can't become complete.
    pub(super) fn stop_gang(&mut self, key: JobKey, name: TaskName, number: u32) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if !job.step_spec(job.slot(name)).gang {
            return;
        }
        let member = |run: &&RunKey| {
            let run = &self.runs[**run];
            run.name.is_same_step(name) && run.number == number
        };
        let members: Vec<RunKey> = job.runs.iter().filter(member).copied().collect();
        for member in members {
            self.stop_run(member);
        }
    }

    /// Stops the members of gangs that lost other members with an earlier owner. All members of a
    /// run are ordered together, so a member that still waits to be started can't join the others.
    pub(crate) fn stop_partial_gangs(&mut self) {
        let mut partial = Vec::new();
        for (key, job) in &self.jobs {
            if !job.inherited || job.end.is_some() {
                continue;
            }
            for (slot, step) in job.steps.iter().enumerate() {
                let is_gang = job.step_spec(slot).gang;
                if is_gang && step.waiting > 0 && step.waiting < step.remaining {
                    partial.push((key, slot));
                }
            }
        }
        for (key, slot) in partial {
            let job = &self.jobs[key];
            let in_step = |run: &&RunKey| job.slot(self.runs[**run].name) == slot;
            let runs = job.runs.iter().filter(in_step);
            let members: Vec<RunKey> = runs.copied().collect();
            for member in members {
                self.stop_run(member);
            }
        }
    }

    /// Marks a run to be stopped. If its start order was not sent yet, the next scheduling round
    /// settles it.
    pub(crate) fn stop_run(&mut self, key: RunKey) {
        let run = &mut self.runs[key];
        match run.state {
            RunState::Stopping(_) | RunState::Stopped(_) | RunState::Withdrawn => {}
            RunState::Planned => run.state = RunState::Withdrawn,
            _ => run.state = RunState::Stopping(Time::ZERO),
        }
    }

    /// Settles the runs that were withdrawn before their start orders were sent.
    pub(crate) fn settle_withdrawn_runs(&mut self, now: Time) {
        let withdrawn =
            |(key, run): (RunKey, &Run)| (run.state == RunState::Withdrawn).then_some(key);
        let runs: Vec<RunKey> = self.runs.iter().filter_map(withdrawn).collect();
        for run in runs {
            self.settle(run, now);
        }
    }

    /// Sends the stop orders that are due.
    pub(crate) fn send_stops(&mut self, now: Time) {
        for run in self.runs.values_mut() {
            if let RunState::Stopping(due) = run.state
                && due <= now
            {
                run.state = RunState::Stopping(now + STOP_RETRY);
                self.actions.push(Action::Stop(StopOrder {
                    worker: run.worker,
                    task: run.name,
                    run: run.number,
                }));
            }
        }
    }

    /// Records that a worker accepted a stop order.
    pub fn stop_answered(&mut self, order: &StopOrder, now: Time) {
        if let Some(&key) = self.runs_by_name.get(&(order.task, order.run)) {
            let run = &mut self.runs[key];
            if matches!(run.state, RunState::Stopping(_)) {
                run.state = RunState::Stopped(now);
            }
        }
    }

    /// Removes a run that certainly is not active and never will be, and releases its capacity and
    /// its task.
    pub(crate) fn settle(&mut self, key: RunKey, now: Time) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        self.runs_by_name.remove(&(run.name, run.number));
        let job = &mut self.jobs[run.job];
        let (step, index) = (job.slot(run.name), usize::from(run.name.index));
        let charge = job.step_spec(step).resources;
        self.customers.remove_runs(&job.spec.customer, charge, 1);
        if let Some(worker) = self.workers.get_mut(run.worker) {
            worker.runs.remove(&key);
            worker.remove_run(job.step_spec(step));
            if !matches!(run.state, RunState::Planned | RunState::Withdrawn) {
                let freed = job.step_spec(step).charged_resources().cpu;
                worker.end_rate.observe(freed, now);
            }
        }
        job.runs.remove(&key);
        let task = &mut job.steps[step].tasks[index];
        task.unsettled_runs -= 1;
        let was_active = !matches!(
            run.state,
            RunState::Planned | RunState::Withdrawn | RunState::Starting
        );
        if was_active {
            task.interrupted_at = Some(now);
        }
        job.release_task(step, index, key);
        job.steps[step].tasks.forget_finished(index);
        self.dirty.insert(run.job);
        self.remove_if_settled(run.job, now);
    }
}
