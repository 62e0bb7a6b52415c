use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::worker::{
    EndedWork, Refusal, Renewal, RenewalReply, RunningWork, TaskStart, Usage, WorkKind, WorkOutcome,
};
use uuid::Uuid;

use super::report::Reports;
use super::run::{Resources, Run};
use super::{Counts, History, LiveStart, Start, WorkerFaults, WorkerSpec};

/// The in-memory state of a worker.
#[derive(Debug)]
pub struct WorkerEngine {
    spec: WorkerSpec,
    faults: WorkerFaults,
    leaving: bool,
    newest_term: u64,
    connections: u32,
    running: Vec<Run>,
    reports: Reports,
    counts: Counts,
    history: History,
}

impl WorkerEngine {
    /// Creates an idle worker that records its starts in `history`.
    pub fn new(now: Time, spec: WorkerSpec, history: History) -> Self {
        let reports = Reports::new(now, spec.usage_lag, spec.report_interval);
        WorkerEngine {
            spec,
            faults: WorkerFaults::default(),
            leaving: false,
            newest_term: 0,
            connections: 0,
            running: Vec::new(),
            reports,
            counts: Counts::default(),
            history,
        }
    }

    /// Returns the worker's specification.
    pub fn spec(&self) -> &WorkerSpec {
        &self.spec
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> WorkerFaults {
        self.faults
    }

    /// Sets the injected faults.
    pub fn set_faults(&mut self, faults: WorkerFaults) {
        self.faults = faults;
    }

    /// Sets whether the worker is leaving; a leaving worker finishes its running work and refuses
    /// new work.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
        self.reports.change();
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Loses all running work and starts anew, as after the crash of the process.
    pub fn crash(&mut self, now: Time) {
        for run in std::mem::take(&mut self.running) {
            self.history.end(run.index, now);
        }
        let spec = &self.spec;
        self.reports = Reports::new(now, spec.usage_lag, spec.report_interval);
        self.counts.crashes += 1;
    }

    /// Starts a live request and returns its run time.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] if the work did not start.
    pub fn start_live(&mut self, now: Time, live: &LiveStart) -> Result<Span, Refusal> {
        let services = &self.spec.capacity.services;
        let known = services.contains(&live.service);
        let checked = if known {
            self.check(now, live.term, live.not_after, Resources::default())
        } else {
            Err(Refusal::UnknownService)
        };
        self.count_refusal(checked)?;
        let work = RunningWork {
            task: live.task,
            attempt: live.attempt,
            term: live.term,
            kind: WorkKind::Live,
        };
        let start = self.start(now, work, Arc::clone(&live.service));
        let index = self.history.begin(Start {
            key: live.key.clone(),
            request: live.request.clone(),
            ..start
        });
        self.add_run(Run::new(now, work, index));
        if self.faults.fails {
            return Ok(Span::ZERO);
        }
        Ok(self.spec.run_time(&live.service, live.run_ms))
    }

    /// Ends a live request.
    pub fn end_live(&mut self, now: Time, task: Uuid, attempt: u32) {
        let matches = |r: &Run| r.work.task == task && r.work.attempt == attempt;
        if let Some(at) = self.running.iter().position(matches) {
            let run = self.running.swap_remove(at);
            self.history.end(run.index, now);
            self.reports.change();
        }
    }

    /// Starts a task; a repeated start of the same attempt has no effect.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] if the work did not start.
    pub fn start_task(
        &mut self,
        now: Time,
        task: &TaskStart,
        not_after: Time,
    ) -> Result<(), Refusal> {
        self.tick(now);
        let same = |r: &Run| r.work.task == task.task && r.work.attempt == task.attempt;
        let repeated = self.running.iter().any(same);
        if repeated || self.reports.has_ended(task.task, task.attempt) {
            return Ok(());
        }
        let resources = Resources {
            millicores: task.millicores,
            memory_mb: task.memory_mb,
            accelerators: task.accelerators,
        };
        let checked = self.check(now, task.term, not_after, resources);
        self.count_refusal(checked)?;
        let work = RunningWork {
            task: task.task,
            attempt: task.attempt,
            term: task.term,
            kind: WorkKind::Task,
        };
        let start = self.start(now, work, Arc::clone(&task.class));
        let index = self.history.begin(start);
        let left = if self.faults.fails {
            Span::ZERO
        } else {
            self.spec.run_time(&task.class, task.run_ms)
        };
        let lease = now + Span::from_millis(task.lease_ms);
        let run = Run::new(now, work, index).with_resources(resources);
        self.add_run(run.with_left(left).with_lease(lease));
        Ok(())
    }

    /// Renews leases; the reply lists the tasks that the worker does not run.
    pub fn renew(&mut self, now: Time, renewal: &Renewal) -> RenewalReply {
        self.tick(now);
        let lease = now + Span::from_millis(renewal.lease_ms);
        let stale = self.faults.checks_fencing && renewal.term < self.newest_term;
        self.newest_term = self.newest_term.max(renewal.term);
        let mut reply = RenewalReply::default();
        for task in &renewal.tasks {
            match self.task_mut(*task) {
                Some(run) if !stale => run.lease = lease,
                _ => reply.unknown.push(*task),
            }
        }
        reply
    }

    /// Takes a checkpoint of a task; returns false if the worker does not run it.
    pub fn checkpoint(&mut self, now: Time, task: Uuid) -> bool {
        self.tick(now);
        let runs = self.task_mut(task).is_some();
        self.counts.checkpoints += u32::from(runs);
        runs
    }

    /// Throttles a task to `percent` of full speed; returns false if the worker does not run it.
    pub fn throttle(&mut self, now: Time, task: Uuid, percent: u8) -> bool {
        self.tick(now);
        let Some(run) = self.task_mut(task) else {
            return false;
        };
        run.throttle(percent);
        self.counts.throttles += 1;
        true
    }

    /// Stops a task; returns false if the worker does not run it.
    pub fn stop(&mut self, now: Time, task: Uuid) -> bool {
        self.tick(now);
        let matches = |r: &Run| r.is_task() && r.work.task == task;
        let Some(at) = self.running.iter().position(matches) else {
            return false;
        };
        self.counts.stops += 1;
        self.end_task(now, at, WorkOutcome::Stopped);
        true
    }

    /// Advances the worker to `now`: ends tasks, expires leases and creates a due report.
    pub fn tick(&mut self, now: Time) {
        for run in &mut self.running {
            run.progress(now);
        }
        while let Some((at, outcome)) = self.ended_task(now) {
            self.counts.expirations += u32::from(outcome == WorkOutcome::Expired);
            self.end_task(now, at, outcome);
        }
        if self.reports.due().is_some_and(|due| due <= now) {
            let usage = self.describe();
            self.reports.add(now, usage);
        }
    }

    /// Returns the time of the next event that [`WorkerEngine::tick`] handles.
    pub fn next_event(&self) -> Option<Time> {
        let ends = self.running.iter().filter_map(Run::next_event);
        ends.chain(self.reports.due()).min()
    }

    /// Returns whether a report newer than sequence number `after` is visible.
    pub fn has_new_report(&mut self, now: Time, after: u64) -> bool {
        self.tick(now);
        self.reports.has_new_report(now, after)
    }

    /// Returns the visible report with the tasks that ended after report `after`.
    pub fn usage(&mut self, now: Time, after: u64) -> Usage {
        self.tick(now);
        self.reports.read(now, after)
    }

    /// Returns the time at which a newer report becomes visible, or none if there is none yet.
    pub fn next_visible(&self, now: Time) -> Option<Time> {
        self.reports.next_visible(now)
    }

    /// Opens a connection; returns false if the connection is refused because of the limit.
    pub fn connect(&mut self) -> bool {
        if self.connections >= self.spec.capacity.connections {
            self.counts.connection_overflows += 1;
            if self.faults.enforces_limits {
                return false;
            }
        }
        self.connections += 1;
        let highest = self.counts.peak_connections;
        self.counts.peak_connections = highest.max(self.connections);
        true
    }

    /// Closes a connection.
    pub fn disconnect(&mut self) {
        self.connections -= 1;
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> u32 {
        self.connections
    }

    fn check(
        &mut self,
        now: Time,
        term: u64,
        not_after: Time,
        resources: Resources,
    ) -> Result<(), Refusal> {
        if let Some(refusal) = self.faults.refusal {
            return Err(refusal);
        }
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if self.faults.checks_fencing && term < self.newest_term {
            return Err(Refusal::StaleTerm);
        }
        if self.faults.checks_fencing && now >= not_after {
            return Err(Refusal::Late);
        }
        self.newest_term = self.newest_term.max(term);
        if !self.has_capacity(resources) {
            self.counts.overflows += 1;
            if self.faults.enforces_limits {
                return Err(Refusal::Full);
            }
        }
        Ok(())
    }

    fn count_refusal(&mut self, checked: Result<(), Refusal>) -> Result<(), Refusal> {
        self.counts.refusals += u32::from(checked.is_err());
        checked
    }

    fn has_capacity(&self, resources: Resources) -> bool {
        let capacity = &self.spec.capacity;
        let slots = usize::try_from(capacity.slots).unwrap_or(usize::MAX);
        let used = self
            .running
            .iter()
            .map(|r| r.resources)
            .fold(resources, Resources::plus);
        self.running.len() < slots && used.fits(capacity)
    }

    fn start(&self, now: Time, work: RunningWork, class: Arc<str>) -> Start {
        Start {
            worker: Arc::clone(&self.spec.name),
            task: work.task,
            attempt: work.attempt,
            term: work.term,
            kind: work.kind,
            class,
            key: None,
            request: None,
            started: now,
            ended: None,
        }
    }

    fn add_run(&mut self, run: Run) {
        self.running.push(run);
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.counts.peak_running = self.counts.peak_running.max(running);
        self.counts.starts += 1;
        self.reports.change();
    }

    fn task_mut(&mut self, task: Uuid) -> Option<&mut Run> {
        let matches = |r: &&mut Run| r.is_task() && r.work.task == task;
        self.running.iter_mut().find(matches)
    }

    fn ended_task(&self, now: Time) -> Option<(usize, WorkOutcome)> {
        let mut runs = self.running.iter().enumerate();
        let fails = self.faults.fails;
        runs.find_map(|(at, run)| run.outcome(now, fails).map(|o| (at, o)))
    }

    fn end_task(&mut self, now: Time, at: usize, outcome: WorkOutcome) {
        let run = self.running.swap_remove(at);
        self.history.end(run.index, now);
        let work = EndedWork {
            task: run.work.task,
            attempt: run.work.attempt,
            outcome,
            run_ms: (now - run.started).as_millis(),
        };
        self.reports.end(now, work);
    }

    fn describe(&self) -> Usage {
        let busy = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let slots = self.spec.capacity.slots.max(1);
        Usage {
            leaving: self.leaving,
            busy_slots: busy,
            busy_connections: self.connections,
            cpu_percent: busy.saturating_mul(100) / slots,
            running: self.running.iter().map(|r| r.work).collect(),
            ..Usage::default()
        }
    }
}
