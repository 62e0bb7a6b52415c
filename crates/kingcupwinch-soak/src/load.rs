//! Callers that hand in jobs, ask for them and cancel some.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kingcupwinch_standin::{CallOutcome, Caller, JobBody, StepBody};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checks::{JobSeen, StepSeen};

/// Between two jobs.
const JOB_GAP: Duration = Duration::from_millis(60);
/// How long a caller waits for one answer.
const PATIENCE: Duration = Duration::from_millis(3_000);
/// Tries to hand a job in.
const TRIES: u32 = 4;
/// The pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// One in so many jobs is cancelled.
const CANCELLED: u32 = 10;
/// How long before a job's state is first asked for, in milliseconds.
const FIRST_LOOK_MS: std::ops::Range<u64> = 200..4_000;
/// The pause between two looks at the jobs that have not ended.
const LOOK_PAUSE: Duration = Duration::from_millis(400);

/// The callers and what they saw.
#[derive(Clone)]
pub(crate) struct Load {
    callers: Arc<Vec<Caller>>,
    jobs: Arc<Mutex<Vec<JobSeen>>>,
}

impl Load {
    pub(crate) fn new(callers: Vec<Caller>) -> Self {
        Load {
            callers: Arc::new(callers),
            jobs: Arc::default(),
        }
    }

    /// Hands jobs in for so long.
    pub(crate) async fn press(&self, seed: u64, length: Duration) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end = Instant::now() + length;
        let mut callers = tokio::task::JoinSet::new();
        while Instant::now() < end {
            let job = draw_job(&mut rng);
            let seen = JobSeen {
                id: format!("{:016x}", rng.random::<u64>()),
                steps: job.steps.iter().map(step_seen).collect(),
                ..JobSeen::default()
            };
            let number = {
                let mut jobs = self.lock();
                jobs.push(seen);
                jobs.len() - 1
            };
            let is_cancelled = rng.random_ratio(1, CANCELLED);
            let wait = Duration::from_millis(rng.random_range(FIRST_LOOK_MS));
            let load = self.clone();
            callers.spawn(async move { load.follow(number, job, is_cancelled, wait).await });
            tokio::time::sleep(JOB_GAP).await;
        }
        callers.join_all().await;
    }

    async fn follow(self, number: usize, job: JobBody, is_cancelled: bool, wait: Duration) {
        self.hand_in(number, &job).await;
        if self.lock()[number].accepted.is_none() {
            return;
        }
        tokio::time::sleep(wait).await;
        if is_cancelled {
            self.cancel(number).await;
        }
        self.look(number).await;
    }

    async fn hand_in(&self, number: usize, job: &JobBody) {
        let id = self.lock()[number].id.clone();
        let mut is_refused = true;
        for _ in 0..TRIES {
            match self.any().submit(&id, job, PATIENCE).await {
                CallOutcome::Succeeded(_) => {
                    self.lock()[number].accepted = Some(Instant::now());
                    return;
                }
                CallOutcome::Refused => {}
                CallOutcome::Gone | CallOutcome::Unknown => is_refused = false,
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        self.lock()[number].is_refused = is_refused;
    }

    async fn cancel(&self, number: usize) {
        let id = self.lock()[number].id.clone();
        self.lock()[number].cancel_sent = Some(Instant::now());
        for _ in 0..TRIES {
            if let CallOutcome::Succeeded(_) = self.any().cancel(&id, PATIENCE).await {
                self.lock()[number].cancelled = Some(Instant::now());
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Asks for a job's state and notes it.
    async fn look(&self, number: usize) {
        let id = self.lock()[number].id.clone();
        let state = match self.any().state(&id, PATIENCE).await {
            CallOutcome::Succeeded(state) => state,
            CallOutcome::Gone => Some("gone".to_owned()),
            CallOutcome::Refused | CallOutcome::Unknown => None,
        };
        if let Some(state) = state {
            self.lock()[number].shown.push((Instant::now(), state));
        }
    }

    /// Asks for the accepted jobs that have not ended until they have, or for so long.
    pub(crate) async fn settle(&self, patience: Duration) {
        let deadline = Instant::now() + patience;
        loop {
            let open: Vec<usize> = {
                let jobs = self.lock();
                let is_open = |number: &usize| is_open(&jobs[*number]);
                (0..jobs.len()).filter(is_open).collect()
            };
            if open.is_empty() || Instant::now() > deadline {
                return;
            }
            for number in open {
                self.look(number).await;
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }

    /// Returns what the callers saw.
    pub(crate) fn jobs(&self) -> Vec<JobSeen> {
        self.lock().clone()
    }

    fn any(&self) -> Caller {
        let chosen = self.callers.choose(&mut rand::rng());
        chosen.unwrap_or(&self.callers[0]).clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<JobSeen>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_open(job: &JobSeen) -> bool {
    let last = job.shown.last().map(|(_, state)| state.as_str());
    job.accepted.is_some() && !matches!(last, Some("completed" | "failed" | "cancelled"))
}

fn step_seen(step: &StepBody) -> StepSeen {
    StepSeen {
        count: step.count,
        after: step.after.clone(),
    }
}

fn draw_job(rng: &mut ChaCha8Rng) -> JobBody {
    let count = rng.random_range(1..=3_u16);
    let mut steps = Vec::new();
    let mut sizes = Vec::new();
    for number in 0..count {
        let cpu = rng.random_range(200..1_500);
        let work_ms: u64 = rng.random_range(50..900);
        sizes.push(format!("{cpu}:{work_ms}"));
        steps.push(StepBody {
            count: rng.random_range(1..=4),
            cpu,
            estimated_duration_ms: work_ms,
            after: if number > 0 { vec![number - 1] } else { vec![] },
        });
    }
    JobBody {
        specification: sizes.join(","),
        steps,
    }
}
