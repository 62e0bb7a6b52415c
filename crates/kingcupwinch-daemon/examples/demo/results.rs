//! The results reported to callers, and the state that the daemons report.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kingcupwinch_wire::api::{JobPhase, JobStatus};

use crate::cluster::{Targets, read_status};
use crate::load::Caller;

/// Time limit for a configuration to become active everywhere.
pub(crate) const ACTIVATION_LIMIT: Duration = Duration::from_secs(6);

/// The result of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CallResult {
    /// The work ran and the answer was complete and correct, or the job was accepted.
    Ran,
    /// The answer was incomplete or belonged to another request.
    WrongAnswer,
    /// The work certainly did not run.
    NotRun,
    /// The job was refused.
    JobRefused,
    /// A request with the same key is still running; the caller has to retry.
    Running,
    /// The work may have run.
    Unknown,
    /// The work ran and failed.
    Failed,
    /// The connection broke although its daemon was running.
    Disconnected,
    /// The connection broke because its daemon was killed.
    DaemonKilled,
}

/// The results of one class.
#[derive(Debug, Default)]
pub(crate) struct ClassResults {
    /// Number of calls by result.
    pub(crate) counts: BTreeMap<CallResult, u64>,
    /// Times from request to answer, in milliseconds.
    pub(crate) millis: Vec<u64>,
}

#[derive(Debug, Default)]
struct Inner {
    classes: BTreeMap<&'static str, ClassResults>,
    not_run: Vec<String>,
    jobs: Vec<Arc<str>>,
    activation: Option<Duration>,
    rollbacks: u64,
}

/// The results reported to callers, and the state that the daemons report.
#[derive(Debug, Default)]
pub(crate) struct Results {
    inner: Mutex<Inner>,
}

impl Results {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the result of a call.
    pub(crate) fn record(&self, class: &'static str, id: &str, result: CallResult, took: Duration) {
        let mut inner = self.inner();
        let results = inner.classes.entry(class).or_default();
        *results.counts.entry(result).or_default() += 1;
        results
            .millis
            .push(u64::try_from(took.as_millis()).unwrap_or(u64::MAX));
        if result == CallResult::NotRun {
            inner.not_run.push(id.to_owned());
        }
    }

    /// Records an accepted job.
    pub(crate) fn record_job(&self, job: Arc<str>) {
        self.inner().jobs.push(job);
    }

    /// Records the time until the second configuration became active everywhere, `None` if the
    /// limit was exceeded.
    pub(crate) fn record_activation(&self, took: Option<Duration>) {
        self.inner().activation = took;
    }

    /// Calls `read` with the results by class.
    pub(crate) fn with_classes<T>(
        &self,
        read: impl FnOnce(&BTreeMap<&'static str, ClassResults>) -> T,
    ) -> T {
        read(&self.inner().classes)
    }

    /// Returns the number of calls of all classes with this result.
    pub(crate) fn count(&self, result: CallResult) -> u64 {
        self.inner()
            .classes
            .values()
            .filter_map(|results| results.counts.get(&result))
            .sum()
    }

    /// Returns the ids of the requests that were refused as not run.
    pub(crate) fn not_run(&self) -> Vec<String> {
        self.inner().not_run.clone()
    }

    /// Returns the time until the second configuration became active everywhere, or `None` if the
    /// limit was exceeded.
    pub(crate) fn activation(&self) -> Option<Duration> {
        self.inner().activation
    }

    /// Returns how often a daemon went back to an older version.
    pub(crate) fn rollbacks(&self) -> u64 {
        self.inner().rollbacks
    }

    /// Waits until every accepted job has ended; returns false if one has not after `timeout`.
    pub(crate) async fn wait_jobs(&self, targets: &Targets, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut open = self.inner().jobs.clone();
        while !open.is_empty() && Instant::now() < deadline {
            let mut left = Vec::new();
            for job in open {
                if !has_ended(targets, &job).await {
                    left.push(job);
                }
            }
            open = left;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        for job in &open {
            let state = read_job(targets, job).await;
            eprintln!("job {job} has not ended: {state:?}");
        }
        open.is_empty()
    }
}

async fn has_ended(targets: &Targets, job: &str) -> bool {
    let state = read_job(targets, job).await;
    state.is_some_and(|state| !matches!(state.phase, JobPhase::Waiting | JobPhase::Running))
}

/// Returns a job's state from a running daemon.
async fn read_job(targets: &Targets, job: &str) -> Option<JobStatus> {
    let target = targets.all().first().copied()?;
    let path = format!("/v1/jobs/{job}");
    let reply = Caller::new().get(target.callers, &path).await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}

/// Waits until a version is active on every daemon; returns false if the limit was exceeded.
pub(crate) async fn wait_version(targets: &Targets, version: u64) -> bool {
    let deadline = Instant::now() + ACTIVATION_LIMIT;
    while Instant::now() < deadline {
        let mut everywhere = true;
        for target in targets.all() {
            let status = read_status(&target).await;
            everywhere &= status.is_some_and(|status| status.version >= version);
        }
        if everywhere {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    false
}

/// Prints progress every second, and checks that no version goes back.
pub(crate) async fn report_progress(results: Arc<Results>, targets: Targets, began: Instant) {
    let mut versions = BTreeMap::new();
    loop {
        let mut line = String::new();
        for target in targets.all() {
            let Some(status) = read_status(&target).await else {
                continue;
            };
            let last = versions
                .insert(target.operators, status.version)
                .unwrap_or(0);
            if status.version < last {
                results.inner().rollbacks += 1;
            }
            let waiting: u64 = status.queues.iter().map(|queue| queue.waiting).sum();
            let running: u64 = status.queues.iter().map(|queue| queue.running).sum();
            let shards = status
                .shards
                .iter()
                .filter(|shard| shard.dispatching)
                .count();
            let name = status.instance;
            line += &format!("  {name}: {shards} shards, {running} run, {waiting} wait");
        }
        println!("{:>3} s{line}", began.elapsed().as_secs());
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}
