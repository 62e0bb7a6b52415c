//! Callers that submit jobs, poll their states and cancel some of them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kingcupwinch_standin::{CallOutcome, Caller, JobBody, StepBody};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checks::{ObservedJob, ObservedStep};
use crate::keys::{REFUSED_KEY, lasting_key};

/// Interval between two submissions.
const JOB_INTERVAL: Duration = Duration::from_millis(60);
/// Intervals between two submissions of a varied pace, in milliseconds.
const INTERVALS_MS: [u64; 4] = [25, 60, 150, 400];
/// Time for which a varied pace stays the same.
const PACE_DURATION: Duration = Duration::from_millis(1_500);
/// Distinguishes the random numbers of a pace from those of the jobs.
const PACE_SEED: u64 = 0x9ace_0000_0000_0000;
/// Distinguishes the random numbers of the long-running jobs.
const LONG_RUNNING_SEED: u64 = 0x1a57_0000_0000_0000;
/// Interval between two submissions of long-running jobs.
const LONG_RUNNING_INTERVAL: Duration = Duration::from_millis(500);
/// Number of workers per long-running job.
const WORKERS_PER_JOB: usize = 2;
/// Number of long-running jobs per worker with more tasks than fit: their tasks need more than twice
/// the CPU of the worker.
const OVERLOAD_JOBS_PER_WORKER: usize = 15;
/// Number of long-running jobs per worker that are submitted early, where workers are lost.
const LOSS_JOBS_PER_WORKER: usize = 4;
/// Time within which these jobs are submitted.
const LOSS_SUBMISSION_TIME: Duration = Duration::from_millis(1_500);
/// Number of workers per task of a long-running step, so that half of the workers that the adviser
/// allows have room for another task.
const WORKERS_PER_TASK: usize = 4;
/// Distinguishes the random numbers of the jobs with a task that crashes its workers.
const CRASHING_SEED: u64 = 0xc4a5_4b0d_0000_0000;
/// Number of workers for which the intervals are made.
const WORKERS_PER_SCALE: usize = 6;
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Maximum number of attempts to submit or cancel a job.
const MAX_ATTEMPTS: u32 = 4;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Average number of jobs of which one is cancelled.
const JOBS_PER_CANCEL: u32 = 10;
/// Range of the delay between the acceptance of a job and its first poll, in milliseconds.
const FIRST_POLL_MS: std::ops::Range<u64> = 200..4_000;
/// Pause between two rounds of polls of the unfinished jobs.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// The callers and the jobs that they observed.
#[derive(Clone)]
pub(crate) struct Workload {
    callers: Arc<Vec<Caller>>,
    /// Clients of the queue of the long-running jobs.
    advised_callers: Arc<Vec<Caller>>,
    jobs: Arc<Mutex<Vec<ObservedJob>>>,
    /// Whether each job has a customer, whose key its callers send.
    has_customers: bool,
}

/// Intervals between submissions.
pub(crate) struct Pace {
    /// Random numbers of the intervals; `None` if they are all the same.
    rng: Option<ChaCha8Rng>,
    /// Factor of the number of jobs.
    scale: u32,
    current: Duration,
    until: Instant,
}

impl Pace {
    /// Returns equal intervals.
    pub(crate) fn steady() -> Self {
        Pace {
            rng: None,
            scale: 1,
            current: JOB_INTERVAL,
            until: Instant::now(),
        }
    }

    /// Returns intervals that change from time to time, for a number of workers. With few jobs,
    /// the owner often has nothing to write.
    pub(crate) fn varied(seed: u64, workers: usize) -> Self {
        Pace {
            rng: Some(ChaCha8Rng::seed_from_u64(seed ^ PACE_SEED)),
            scale: u32::try_from(workers / WORKERS_PER_SCALE).map_or(1, |scale| scale.max(1)),
            ..Pace::steady()
        }
    }

    fn next(&mut self) -> Duration {
        if let Some(rng) = &mut self.rng
            && self.until <= Instant::now()
        {
            self.until = Instant::now() + PACE_DURATION;
            let interval_ms = INTERVALS_MS.choose(rng).copied();
            self.current = interval_ms.map_or(JOB_INTERVAL, Duration::from_millis) / self.scale;
        }
        self.current
    }
}

impl Workload {
    pub(crate) fn new(callers: Vec<Caller>, has_customers: bool) -> Self {
        let advised = callers.iter().cloned().map(Caller::with_advised_queue);
        Workload {
            advised_callers: Arc::new(advised.collect()),
            callers: Arc::new(callers),
            jobs: Arc::default(),
            has_customers,
        }
    }

    /// Submits random jobs for `length` and waits until every caller is done with its job.
    pub(crate) async fn submit_jobs(&self, seed: u64, length: Duration, mut pace: Pace) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end = Instant::now() + length;
        let mut callers = tokio::task::JoinSet::new();
        while Instant::now() < end {
            let job = random_job(&mut rng);
            let index = self.add_job(&mut rng, &job);
            let is_cancelled = rng.random_ratio(1, JOBS_PER_CANCEL);
            let delay = Duration::from_millis(rng.random_range(FIRST_POLL_MS));
            let workload = self.clone();
            callers
                .spawn(async move { workload.run_caller(index, job, is_cancelled, delay).await });
            tokio::time::sleep(pace.next()).await;
        }
        callers.join_all().await;
    }

    /// Submits random long-running jobs for a number of workers.
    pub(crate) async fn submit_long_running_jobs(&self, seed: u64, workers: usize) {
        let count = workers.div_ceil(WORKERS_PER_JOB);
        let interval = LONG_RUNNING_INTERVAL;
        self.submit_each(seed, workers, count, interval).await;
    }

    /// Submits random long-running jobs so early that most workers run some when the first is lost.
    pub(crate) async fn submit_for_losses(&self, seed: u64, workers: usize) {
        let count = workers * LOSS_JOBS_PER_WORKER;
        let interval = LOSS_SUBMISSION_TIME / u32::try_from(count).unwrap_or(u32::MAX);
        self.submit_each(seed, workers, count, interval).await;
    }

    /// Submits more random long-running jobs than fit on a number of workers, within `length`.
    pub(crate) async fn submit_overload(&self, seed: u64, workers: usize, length: Duration) {
        let count = workers * OVERLOAD_JOBS_PER_WORKER;
        let interval = length / u32::try_from(count).unwrap_or(u32::MAX);
        self.submit_each(seed, workers, count, interval).await;
    }

    /// Submits random jobs with a task that crashes its workers, until every caller is done.
    pub(crate) async fn submit_crashing_jobs(&self, seed: u64, count: usize, length: Duration) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ CRASHING_SEED);
        let interval = length / u32::try_from(count).unwrap_or(u32::MAX);
        let mut callers = tokio::task::JoinSet::new();
        for _ in 0..count {
            let (job, crashing) = random_crashing_job(&mut rng);
            let index = self.add_job(&mut rng, &job);
            let (step, task) = crashing;
            self.lock()[index].steps[step].crashing = Some(task);
            let delay = Duration::from_millis(rng.random_range(FIRST_POLL_MS));
            let workload = self.clone();
            callers.spawn(async move { workload.run_caller(index, job, false, delay).await });
            tokio::time::sleep(interval).await;
        }
        callers.join_all().await;
    }

    async fn submit_each(&self, seed: u64, workers: usize, count: usize, interval: Duration) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ LONG_RUNNING_SEED);
        for _ in 0..count {
            let job = random_long_running_job(&mut rng, workers);
            let index = self.add_job(&mut rng, &job);
            self.submit(index, &job).await;
            tokio::time::sleep(interval).await;
        }
    }

    /// Cancels the accepted long-running jobs, except those that have to fail.
    pub(crate) async fn cancel_long_running_jobs(&self) {
        let is_active = |job: &ObservedJob| {
            job.is_long_running() && job.accepted.is_some() && !job.is_crashing()
        };
        let jobs = self.jobs();
        for (index, _) in jobs.iter().enumerate().filter(|(_, job)| is_active(job)) {
            self.cancel(index).await;
        }
    }

    fn add_job(&self, rng: &mut ChaCha8Rng, job: &JobBody) -> usize {
        let mut jobs = self.lock();
        jobs.push(ObservedJob {
            id: format!("{:016x}", rng.random::<u64>()),
            steps: job.steps.iter().map(observed_step).collect(),
            ..ObservedJob::default()
        });
        jobs.len() - 1
    }

    /// Submits one job, cancels it if `is_cancelled` is set, and polls its state once.
    async fn run_caller(self, index: usize, job: JobBody, is_cancelled: bool, delay: Duration) {
        self.submit(index, &job).await;
        if self.lock()[index].accepted.is_none() {
            return;
        }
        if self.has_customers {
            self.intrude(index).await;
        }
        tokio::time::sleep(delay).await;
        if is_cancelled {
            self.cancel(index).await;
        }
        self.poll_state(index).await;
    }

    async fn submit(&self, index: usize, job: &JobBody) {
        let id = self.lock()[index].id.clone();
        self.lock()[index].sent = Some(Instant::now());
        let mut is_refused = true;
        for _ in 0..MAX_ATTEMPTS {
            match self.any_caller(index).submit(&id, job, CALL_TIMEOUT).await {
                CallOutcome::Succeeded(_) => {
                    self.lock()[index].accepted = Some(Instant::now());
                    return;
                }
                CallOutcome::Refused => {}
                CallOutcome::Unauthorized => {
                    let refusal = (Instant::now(), REFUSED_KEY.to_owned());
                    self.lock()[index].states.push(refusal);
                }
                CallOutcome::Gone | CallOutcome::Conflict | CallOutcome::Unknown => {
                    is_refused = false;
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        self.lock()[index].is_refused = is_refused;
    }

    async fn cancel(&self, index: usize) {
        let id = self.lock()[index].id.clone();
        self.lock()[index].cancel_sent = Some(Instant::now());
        for _ in 0..MAX_ATTEMPTS {
            if let CallOutcome::Succeeded(_) =
                self.any_caller(index).cancel(&id, CALL_TIMEOUT).await
            {
                self.lock()[index].cancelled = Some(Instant::now());
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Sends a cancellation of a job with the key of another customer, which must have no effect.
    async fn intrude(&self, index: usize) {
        let id = self.lock()[index].id.clone();
        let caller = self.any_caller(index).with_key(&lasting_key(index + 1));
        caller.cancel(&id, CALL_TIMEOUT).await;
    }

    /// Requests the state of a job and records it.
    async fn poll_state(&self, index: usize) {
        let id = self.lock()[index].id.clone();
        let state = match self.any_caller(index).state(&id, CALL_TIMEOUT).await {
            CallOutcome::Succeeded(state) => state,
            CallOutcome::Gone => Some("gone".to_owned()),
            CallOutcome::Unauthorized => Some(REFUSED_KEY.to_owned()),
            CallOutcome::Refused | CallOutcome::Conflict | CallOutcome::Unknown => None,
        };
        if let Some(state) = state {
            self.lock()[index].states.push((Instant::now(), state));
        }
    }

    /// Polls the accepted jobs until all have ended or `timeout` has passed.
    pub(crate) async fn wait_for_ends(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        loop {
            let unfinished: Vec<usize> = {
                let jobs = self.lock();
                let is_unfinished = |index: &usize| is_unfinished(&jobs[*index]);
                (0..jobs.len()).filter(is_unfinished).collect()
            };
            if unfinished.is_empty() || Instant::now() > deadline {
                return;
            }
            for index in unfinished {
                self.poll_state(index).await;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns all submitted jobs as the callers observed them.
    pub(crate) fn jobs(&self) -> Vec<ObservedJob> {
        self.lock().clone()
    }

    /// Returns a client of the queue of a job.
    fn any_caller(&self, index: usize) -> Caller {
        let callers = if self.lock()[index].is_long_running() {
            &self.advised_callers
        } else {
            &self.callers
        };
        let chosen = callers.choose(&mut rand::rng());
        let caller = chosen.unwrap_or(&callers[0]).clone();
        if self.has_customers {
            caller.with_key(&lasting_key(index))
        } else {
            caller
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ObservedJob>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_unfinished(job: &ObservedJob) -> bool {
    let last = job.states.last().map(|(_, state)| state.as_str());
    job.accepted.is_some() && !matches!(last, Some("completed" | "failed" | "cancelled"))
}

fn observed_step(step: &StepBody) -> ObservedStep {
    ObservedStep {
        count: step.count,
        after: step.after.clone(),
        cpu: step.cpu,
        worker_limit: (step.anti_affinity > 0).then_some(step.anti_affinity),
        is_long_running: step.long_running,
        crashing: None,
    }
}

fn random_long_running_job(rng: &mut ChaCha8Rng, workers: usize) -> JobBody {
    let most = u16::try_from(workers / WORKERS_PER_TASK).map_or(1, |most| most.max(1));
    let cpu = rng.random_range(200..600);
    JobBody {
        specification: format!("{cpu}:-"),
        steps: vec![StepBody {
            count: rng.random_range(most.div_ceil(2)..=most),
            cpu,
            estimated_duration_ms: 5_000,
            after: vec![],
            anti_affinity: rng.random_range(1..=2),
            long_running: true,
        }],
    }
}

/// Returns a job of one to three tasks a step, and the step and the index of the task that crashes its
/// workers. One in three is long-running.
fn random_crashing_job(rng: &mut ChaCha8Rng) -> (JobBody, (usize, u16)) {
    let mut job = if rng.random_ratio(1, 3) {
        let mut job = random_long_running_job(rng, WORKERS_PER_TASK);
        job.steps[0].count = rng.random_range(1..=3);
        // The other tasks must not take all the workers that the adviser allows.
        job.steps[0].anti_affinity = 0;
        job
    } else {
        random_job(rng)
    };
    let step = rng.random_range(0..job.steps.len());
    let index = rng.random_range(0..job.steps[step].count);
    let sizes = job.specification.split(',').enumerate();
    let sizes = sizes.map(|(number, size)| {
        if number == step {
            format!("{size}:{index}")
        } else {
            size.to_owned()
        }
    });
    job.specification = sizes.collect::<Vec<_>>().join(",");
    (job, (step, index))
}

fn random_job(rng: &mut ChaCha8Rng) -> JobBody {
    let count = rng.random_range(1..=3_u16);
    let mut steps = Vec::new();
    let mut sizes = Vec::new();
    for index in 0..count {
        let cpu = rng.random_range(200..1_500);
        let work_ms: u64 = rng.random_range(50..900);
        sizes.push(format!("{cpu}:{work_ms}"));
        steps.push(StepBody {
            count: rng.random_range(1..=4),
            cpu,
            estimated_duration_ms: work_ms,
            after: if index > 0 { vec![index - 1] } else { vec![] },
            anti_affinity: 0,
            long_running: false,
        });
    }
    JobBody {
        specification: sizes.join(","),
        steps,
    }
}
