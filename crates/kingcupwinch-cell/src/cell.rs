//! The state of a cell and the events that change it.

mod advice_calls;
mod asked_work;
mod caps;
mod counters;
mod crash_evidence;
mod crash_weights;
mod crashes;
mod early_cancels;
mod forecasts;
mod job_states;
mod left_runs;
mod long_running;
mod occurrences;
mod paces;
mod polls;
mod quarantine;
mod records;
mod restarts;
mod restore;
mod run_ends;
mod runs;
mod speculation;
mod tentative;

use std::collections::VecDeque;
use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::{FxHashMap, FxHashSet};
use slotmap::SlotMap;

use crate::advice::AdviceCallers;
use crate::customer::Customers;
use crate::estimate::ShareEstimate;
use crate::event::CellEvent;
use crate::footprint::Footprint;
use crate::forecast::Forecasts;
use crate::id::{JobId, TaskName};
use crate::job::{Job, JobKey, JobState, TaskState};
use crate::mechanism::{Disabled, Mechanism};
use crate::placement::{KeptPlace, WaitBudget};
use crate::record::{JobRecord, PartKey, RecordLayout, WorkerRecord};
use crate::run::{Run, RunKey};
use crate::run_time::{RunTimeRecord, RunTimes};
use crate::spec::JobSpec;
use crate::worker::{OrderFence, PollFailure, Registration, Worker, WorkerKey, longest_expiry};

use crashes::CrashLog;
use early_cancels::EarlyCancels;
use records::PendingAck;

pub use advice_calls::AdviceCallId;
pub(crate) use advice_calls::NamedWorker;
pub use counters::Counters;
pub use job_states::JobView;
pub use paces::PaceOrder;
pub use records::RecordBatch;
pub use runs::{Action, StartOrder, StopOrder};

/// The assumed share of workers that an adviser allows until responses have been observed.
const INITIAL_ALLOWED_SHARE: f64 = 0.4;

/// The largest number of workers in a record of run times, which has to fit into one record of the
/// log. Those that deviate most from their kind are kept.
const MAX_RECORDED_WORKERS: usize = 1_000;

/// How long after a takeover an acceptance that an earlier owner was appending may still be read, and
/// after a job was dropped whose acceptance was not confirmed in time.
const ACCEPTANCE_TIMEOUT: Span = Span::from_millis(10_000);

/// The timers of a cell.
#[derive(Debug, Clone, Copy)]
pub struct CellTimers {
    /// The longest lease that a worker is granted.
    pub max_lease: Span,
    /// The longest lease that an earlier owner may have granted.
    pub inherited_lease: Span,
    /// The longest lease that a worker holds, whatever it is granted.
    pub longest_lease: Span,
    /// How long after the claim of a successor the previous owner may still have given orders.
    pub handover_overlap: Span,
    /// How long the final state of a job stays available to queries.
    pub end_retention: Span,
    /// A worker whose directory entry disappears within this time of its last heartbeat removed the
    /// entry itself. The entry of a silent worker would expire later.
    pub exit_window: Span,
}

/// The outcome of submitting a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job was not known before.
    New,
    /// The job was already known, live or ended.
    Known,
    /// The job was cancelled before it was submitted.
    Cancelled,
}

/// What the log says about a run that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunSummary {
    /// The time since the run began.
    pub age: Span,
    /// The run time that the caller estimated.
    pub estimate: Span,
    /// The image that the task runs.
    pub image: Option<Arc<str>>,
    /// The id of the worker.
    pub worker: Arc<str>,
    /// The kind of the worker.
    pub worker_kind: Option<Arc<str>>,
}

/// The workers and jobs of one owner.
#[derive(Debug)]
pub struct Cell {
    timers: CellTimers,
    /// When all leases of earlier owners have certainly expired, if that is known.
    inherited_until: Option<Time>,
    /// When the leases that are granted now end at the latest, if there is a bound.
    leases_until: Option<Time>,
    disabled: Disabled,
    layout: RecordLayout,
    /// Run numbers start above this value, which keeps them above those of earlier owners.
    run_base: u32,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    jobs_by_id: FxHashMap<JobId, JobKey>,
    ended_jobs: FxHashMap<JobId, JobView>,
    /// The progress that an earlier owner recorded of jobs whose acceptance was not read yet.
    unaccepted: FxHashMap<JobId, JobRecord>,
    /// When the acceptances of these jobs have certainly been read, if they are in the log.
    accepted_by: Time,
    /// When the final states of jobs expire, in order of time.
    end_expiry: VecDeque<(Time, JobId)>,
    early_cancels: EarlyCancels,
    footprint: Footprint,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    workers_by_id: FxHashMap<Arc<str>, WorkerKey>,
    pub(crate) runs: SlotMap<RunKey, Run>,
    runs_by_name: FxHashMap<(TaskName, u32), RunKey>,
    /// The share of workers that the adviser of each queue allowed of those it was asked about.
    allowed_shares: FxHashMap<Arc<str>, ShareEstimate>,
    pub(crate) customers: Customers,
    asked_work: asked_work::AskedWork,
    /// Runs of jobs that had ended before a takeover.
    inherited_runs: Vec<left_runs::InheritedRuns>,
    pub(crate) run_times: RunTimes,
    pub(crate) advice_callers: AdviceCallers,
    advice_calls: FxHashMap<AdviceCallId, advice_calls::AdviceCall>,
    next_call: u64,
    pub(crate) actions: Vec<Action>,
    /// Conclusions that were not taken for the log yet.
    events: Vec<CellEvent>,
    pub(crate) wait_budget: WaitBudget,
    forecasts: Forecasts,
    pub(crate) delay_budget: WaitBudget,
    crash_log: CrashLog,
    /// Whether a worker's record for a later owner has changed since the records were last taken.
    are_workers_changed: bool,
    /// The highest fencing token that this owner may use, if it is above its term.
    newest_token: Option<u64>,
    /// The fences of workers that were removed and may be back.
    left_fences: FxHashMap<Arc<str>, OrderFence>,
    /// Jobs that have speculative steps, long-running steps, or a schedule.
    speculative_jobs: FxHashSet<JobKey>,
    pub(crate) long_running_jobs: FxHashSet<JobKey>,
    scheduled_jobs: FxHashSet<JobKey>,
    /// The last known wall-clock time in Unix milliseconds, and the time at which it was read.
    wall_clock: Option<(u64, Time)>,
    dirty: FxHashSet<JobKey>,
    batch: u64,
    pending_acks: Vec<PendingAck>,
    pending_ends: Vec<(u64, JobKey)>,
    /// Start orders that wait until their placements and their jobs are in the log, each with its run
    /// and the batch that holds its placement.
    unsent_starts: Vec<(u64, RunKey, StartOrder)>,
    /// The last batch that is in the log.
    appended_batch: u64,
    /// Jobs whose acceptance is not in the log yet, with the time of their submission. No orders
    /// are sent for them.
    tentative: FxHashMap<JobKey, Time>,
    /// Places that are kept for tasks that move.
    pub(crate) kept_places: Vec<KeptPlace>,
    /// Dropped jobs that may have progress records in the log, and parts of such records.
    dropped_jobs: Vec<JobId>,
    dropped_parts: Vec<(JobId, PartKey)>,
    pub(crate) counters: Counters,
}

/// The size of the largest record of the log unless it is stated, in bytes.
const DEFAULT_RECORD_BYTES: usize = 256 << 10;
/// The run numbers that each generation of owners may use per job.
const RUNS_PER_GENERATION: u32 = 1_000;

impl Cell {
    /// Creates an empty cell for the owner of a generation, counted from 1.
    pub fn new(timers: CellTimers, generation: u32) -> Self {
        Cell {
            timers,
            inherited_until: None,
            leases_until: None,
            disabled: Disabled::default(),
            layout: RecordLayout::new(DEFAULT_RECORD_BYTES),
            run_base: generation.saturating_sub(1) * RUNS_PER_GENERATION,
            jobs: SlotMap::with_key(),
            jobs_by_id: FxHashMap::default(),
            ended_jobs: FxHashMap::default(),
            unaccepted: FxHashMap::default(),
            accepted_by: Time::ZERO,
            end_expiry: VecDeque::new(),
            early_cancels: EarlyCancels::default(),
            footprint: Footprint::default(),
            workers: SlotMap::with_key(),
            workers_by_id: FxHashMap::default(),
            runs: SlotMap::with_key(),
            runs_by_name: FxHashMap::default(),
            allowed_shares: FxHashMap::default(),
            customers: Customers::default(),
            asked_work: asked_work::AskedWork::default(),
            inherited_runs: Vec::new(),
            run_times: RunTimes::default(),
            advice_callers: AdviceCallers::default(),
            advice_calls: FxHashMap::default(),
            next_call: 0,
            actions: Vec::new(),
            events: Vec::new(),
            wait_budget: WaitBudget::default(),
            forecasts: Forecasts::default(),
            delay_budget: WaitBudget::default(),
            crash_log: CrashLog::default(),
            are_workers_changed: false,
            newest_token: None,
            left_fences: FxHashMap::default(),
            speculative_jobs: FxHashSet::default(),
            long_running_jobs: FxHashSet::default(),
            scheduled_jobs: FxHashSet::default(),
            wall_clock: None,
            dirty: FxHashSet::default(),
            batch: 1,
            pending_acks: Vec::new(),
            pending_ends: Vec::new(),
            unsent_starts: Vec::new(),
            appended_batch: 0,
            tentative: FxHashMap::default(),
            kept_places: Vec::new(),
            dropped_jobs: Vec::new(),
            dropped_parts: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// Divides records for a log that takes records of at most `bytes` bytes, with their keys.
    pub fn with_record_limit(self, bytes: usize) -> Self {
        Cell {
            layout: RecordLayout::new(bytes),
            ..self
        }
    }

    /// Switches mechanisms off.
    pub fn with_disabled(mut self, disabled: Disabled) -> Self {
        self.disabled = disabled;
        self.run_times = self.run_times.with_disabled(disabled);
        self.advice_callers = AdviceCallers::default().with_disabled(disabled);
        self
    }

    pub(crate) fn uses(&self, mechanism: Mechanism) -> bool {
        self.disabled.uses(mechanism)
    }

    /// Adds a job whose acceptance is in the log.
    pub fn submit(&mut self, id: JobId, spec: JobSpec, now: Time) -> SubmitOutcome {
        if self.jobs_by_id.contains_key(&id) || self.ended_jobs.contains_key(&id) {
            return SubmitOutcome::Known;
        }
        let mut job = Job::new(id, spec, now);
        job.update_paths(&self.run_times);
        job.last_run = self.run_base;
        job.forecast = Some(self.forecasts.wait(&job.spec.policy.queue));
        let is_speculative = job.spec.steps.iter().any(|step| step.speculative);
        let is_long_running = job.spec.steps.iter().any(|step| step.long_running);
        let is_scheduled = job.spec.schedule.is_some();
        self.footprint.add(&job.spec.demand());
        let key = self.jobs.insert(job);
        if is_speculative {
            self.speculative_jobs.insert(key);
        }
        if is_long_running {
            self.long_running_jobs.insert(key);
        }
        if is_scheduled {
            self.scheduled_jobs.insert(key);
        }
        self.jobs_by_id.insert(id, key);
        if let Some(record) = self.unaccepted.remove(&id) {
            self.restore_progress(key, &record, now);
        }
        let customer = self.jobs[key].spec.customer.as_deref();
        let is_cancelled = self.early_cancels.take(id, customer);
        self.footprint.set_early_cancels(self.early_cancels.len());
        if is_cancelled {
            self.end_job(key, JobState::Cancelled);
            return SubmitOutcome::Cancelled;
        }
        SubmitOutcome::New
    }

    /// Sets when all leases of earlier owners have certainly expired, if that is known.
    #[must_use]
    pub fn with_inherited_until(mut self, leases_expire: Option<Time>) -> Self {
        self.inherited_until = leases_expire;
        self
    }

    /// Bounds the end of all leases that are granted from now on.
    pub fn bound_leases(&mut self, until: Time) {
        self.leases_until = Some(until);
    }

    /// Returns the length of a lease that begins now.
    fn lease_length(&self, now: Time) -> Span {
        let longest = self.timers.max_lease;
        self.leases_until
            .map_or(longest, |until| longest.min(until.since(now)))
    }

    /// Adds a worker listed in the directory, or updates its entry. `inherited` is set for workers
    /// that an earlier owner may have used.
    pub fn register_worker(
        &mut self,
        entry: Registration,
        inherited: bool,
        now: Time,
    ) -> WorkerKey {
        if let Some(&key) = self.workers_by_id.get(&entry.id) {
            let longest = self.timers.longest_lease;
            self.change_worker(key, |worker| {
                worker.update_registration(entry, longest, now);
            });
            return key;
        }
        let id = Arc::clone(&entry.id);
        let mut worker = Worker::new(entry);
        worker.fence = self.left_fences.remove(&id).unwrap_or_default();
        if inherited {
            let handover_until = now + self.timers.handover_overlap;
            let by_grant = handover_until + longest_expiry(self.timers.inherited_lease);
            let leases_expire = by_grant.min(self.inherited_until.unwrap_or(by_grant));
            worker = worker.with_earlier_owner(handover_until, leases_expire);
        }
        let key = self.workers.insert(worker);
        self.workers_by_id.insert(id, key);
        key
    }

    /// Adds a worker that an earlier owner used, unless the directory still lists it, as this owner
    /// recorded it. Its recorded placements count as running until a poll or the expiry of the leases
    /// settles them. A worker with an empty address cannot be polled.
    pub fn register_lost_worker(&mut self, record: &WorkerRecord, now: Time) -> WorkerKey {
        let WorkerRecord { id, address, .. } = record;
        let longest = self.timers.longest_lease;
        if let Some(&known) = self.workers_by_id.get(id) {
            self.workers[known].set_recorded(record, longest, now);
            return known;
        }
        let entry = Registration::of_lost(id, Arc::clone(address));
        let key = self.register_worker(entry, true, now);
        let worker = &mut self.workers[key];
        worker.set_recorded(record, longest, now);
        worker.unlisted_at = Some(now);
        if address.is_empty() {
            worker.note_poll_failure(PollFailure::Unresponsive);
        }
        key
    }

    /// Records that the directory has a heartbeat of a worker that was written after a time.
    pub fn note_heartbeat(&mut self, id: &str, written_after: Time) {
        if let Some(&key) = self.workers_by_id.get(id) {
            let worker = &mut self.workers[key];
            worker.heartbeat_after = worker.heartbeat_after.max(written_after);
        }
    }

    /// Records that a worker left the directory.
    pub fn mark_unlisted(&mut self, id: &str, now: Time) {
        if let Some(&key) = self.workers_by_id.get(id) {
            self.workers[key].unlisted_at.get_or_insert(now);
        }
    }

    /// Replaces the instances that can call advisers.
    pub fn set_advice_callers(&mut self, instances: &[Arc<str>]) {
        self.advice_callers.set_instances(instances);
    }

    /// Returns how many steps the run times were learned from, which shows whether the record of
    /// them is outdated.
    pub fn learned_steps(&self) -> u64 {
        self.run_times.learned_steps()
    }

    /// Builds the record of the learned run times for a later owner.
    pub fn run_time_record(&self) -> RunTimeRecord {
        let workers = self.workers.values();
        let known = workers.filter(|worker| worker.pace.is_known());
        let mut known: Vec<&Worker> = known.collect();
        known.sort_by(|a, b| b.pace.distance().total_cmp(&a.pace.distance()));
        known.truncate(MAX_RECORDED_WORKERS);
        let to_row = |worker: &&Worker| {
            let entry = &worker.registration;
            (Arc::clone(&entry.id), entry.started_ms, worker.pace)
        };
        let mut record = self.run_times.to_record();
        record.workers = known.iter().map(to_row).collect();
        record
    }

    /// Restores the run times that an earlier owner learned. Workers have to be registered before;
    /// those that are not, or were restarted since, start from the pace of their kind.
    pub fn restore_run_times(&mut self, record: &RunTimeRecord, now: Time) {
        if !self.uses(Mechanism::RunTimeRecord) {
            return;
        }
        self.run_times.restore(record);
        for (id, started_ms, pace) in &record.workers {
            let Some(&key) = self.workers_by_id.get(id) else {
                continue;
            };
            let worker = &mut self.workers[key];
            if !worker.registration.is_restart(*started_ms) {
                worker.pace = pace.observed_now(now);
            }
        }
    }

    /// Describes an unsettled run for the log, or returns `None` if there is no such run.
    pub fn describe_run(&self, task: TaskName, run: u32, now: Time) -> Option<RunSummary> {
        let run = &self.runs[*self.runs_by_name.get(&(task, run))?];
        let job = &self.jobs[run.job];
        let step = job.step_spec(job.slot(run.name));
        let worker = &self.workers[run.worker].registration;
        Some(RunSummary {
            age: now.since(run.started_at),
            estimate: Span::from_millis(step.estimate_ms),
            image: step.image.clone(),
            worker: Arc::clone(&worker.id),
            worker_kind: worker.labels.first().cloned(),
        })
    }

    /// Returns the number of jobs of a queue that have not begun.
    pub fn queued_jobs(&self, queue: &str) -> usize {
        let is_queued =
            |job: &&Job| job.end.is_none() && !job.started && &*job.spec.policy.queue == queue;
        self.jobs.values().filter(is_queued).count()
    }

    /// Returns the event counts since the cell was created.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of jobs that have not ended.
    pub fn live_jobs(&self) -> usize {
        self.jobs.values().filter(|job| job.end.is_none()).count()
    }

    /// Returns the memory of jobs, final states and cancellations.
    pub fn footprint(&self) -> &Footprint {
        &self.footprint
    }

    /// Returns the CPU in use and the total CPU of all workers, in thousandths of a core.
    pub fn cpu_load(&self) -> (u64, u64) {
        self.workers.values().fold((0, 0), |(used, all), worker| {
            (
                used.saturating_add(worker.used.cpu),
                all.saturating_add(worker.registration.capacity.cpu),
            )
        })
    }

    /// Returns the number of tasks that have a state of their own, which is most of what jobs take of
    /// the memory.
    pub fn begun_tasks(&self) -> usize {
        let steps = self.jobs.values().flat_map(|job| &job.steps);
        steps.map(|step| step.tasks.begun().count()).sum()
    }

    /// Returns the key, id and address of every worker.
    pub fn workers(&self) -> Vec<(WorkerKey, Arc<str>, Arc<str>)> {
        let to_row = |(key, worker): (WorkerKey, &Worker)| {
            let entry = &worker.registration;
            (key, Arc::clone(&entry.id), Arc::clone(&entry.address))
        };
        self.workers.iter().map(to_row).collect()
    }

    /// Takes the actions that accumulated since the last call, with the start orders whose placements
    /// and jobs are in the log by now. To be called only while the owner may give orders, since the
    /// actions count as carried out.
    pub fn take_actions(&mut self, now: Time) -> Vec<Action> {
        self.send_recorded_starts(now);
        std::mem::take(&mut self.actions)
    }

    /// Takes the conclusions since the last call.
    pub fn take_events(&mut self) -> Vec<CellEvent> {
        std::mem::take(&mut self.events)
    }

    pub(crate) fn push_event(&mut self, event: CellEvent) {
        self.events.push(event);
    }

    /// Returns whether start orders wait for the log.
    pub fn has_unsent_starts(&self) -> bool {
        !self.unsent_starts.is_empty()
    }

    /// Ends a job: stops its runs and has the final state recorded.
    fn end_job(&mut self, key: JobKey, end: JobState) {
        let job = &mut self.jobs[key];
        if job.end.is_some() {
            return;
        }
        job.end = Some(end);
        match end {
            JobState::Completed => self.counters.jobs_completed += 1,
            JobState::Failed => self.counters.jobs_failed += 1,
            _ => {}
        }
        self.dirty.insert(key);
        let runs: Vec<RunKey> = job.runs.iter().copied().collect();
        for run in runs {
            self.stop_run(run);
        }
    }

    /// Removes a job that has no runs and whose final state is recorded. The final state can still
    /// be queried.
    fn remove_if_settled(&mut self, key: JobKey, now: Time) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let (Some(state), true, true) = (job.end, job.is_end_recorded, job.runs.is_empty()) else {
            return;
        };
        let (id, customer) = (job.id, job.spec.customer.clone());
        self.remove_job(key);
        self.unindex_job(key);
        self.jobs_by_id.remove(&id);
        self.retain_end(id, JobView { state, customer }, now);
    }

    fn remove_job(&mut self, key: JobKey) -> Option<Job> {
        let job = self.jobs.remove(key)?;
        self.footprint.remove(&job.spec.demand());
        Some(job)
    }

    fn unindex_job(&mut self, key: JobKey) {
        self.speculative_jobs.remove(&key);
        self.long_running_jobs.remove(&key);
        self.scheduled_jobs.remove(&key);
        self.tentative.remove(&key);
    }

    /// Returns the run time on a worker as a multiple of that on a worker of mean pace.
    pub(crate) fn worker_pace(&self, key: WorkerKey, now: Time) -> f64 {
        let worker = &self.workers[key];
        self.run_times.pace(worker.kind(), &worker.pace, now)
    }

    /// Returns the share of workers that the adviser of a queue is expected to allow.
    pub(crate) fn allowed_share(&self, queue: &str) -> f64 {
        let share = self.allowed_shares.get(queue);
        share.map_or(INITIAL_ALLOWED_SHARE, |share| share.mean())
    }

    fn is_task_active(&self, key: JobKey, name: TaskName, run: RunKey) -> bool {
        let job = &self.jobs[key];
        let task = &job.steps[job.slot(name)].tasks[usize::from(name.index)];
        task.state == TaskState::Active(run)
    }
}
