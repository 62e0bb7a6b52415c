//! One run: start, press, break, heal, settle, stop, judge.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::Duration;

use kingcupwinch_standin::{WorkerEvent, WorkerEventKind};
use quick_error::quick_error;
use tokio::time::{Instant, sleep_until};

use crate::checks::{Invariant, Violation, check_invariants};
use crate::cluster::Cluster;
use crate::plan::{Fault, Plan};
use crate::workload::Workload;

/// Instances and workers of a run.
const INSTANCES: usize = 3;
const WORKERS: usize = 6;
/// How long all that was accepted may take to end once every fault is healed.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Tries to start with other ports.
const RETRIES: u32 = 5;
/// Callers come so long after the instances are started.
const STARTUP_DELAY: Duration = Duration::from_millis(1_500);

quick_error! {
    /// Why a run could not be made.
    #[derive(Debug)]
    pub enum RunError {
        /// Something of the run itself failed.
        Io(source: std::io::Error) {
            from()
            source(source)
            display("{source}")
        }
    }
}

/// How a run is made.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Gives the faults and the jobs.
    pub seed: u64,
    /// How long callers and faults come, in seconds.
    pub seconds: u64,
    /// The program of the instances.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub dir: PathBuf,
}

/// What a run showed.
#[derive(Debug)]
pub struct Outcome {
    /// The faults.
    pub plan: Plan,
    /// Jobs handed in.
    pub jobs: usize,
    /// Jobs accepted.
    pub accepted: usize,
    /// Jobs of which every try was refused.
    pub refused: usize,
    /// Runs that workers began.
    pub starts: usize,
    /// The promises that were broken.
    pub violations: Vec<Violation>,
}

/// One part of a fault, at its time.
#[derive(Debug, Clone, Copy)]
enum Phase {
    Begin(Fault),
    Advance(Fault),
    End(Fault),
}

/// Makes one run.
///
/// # Errors
///
/// Fails if the processes, the files or the ports of the run can't be had.
pub async fn run(options: &RunOptions) -> Result<Outcome, RunError> {
    std::fs::create_dir_all(&options.dir)?;
    let plan = Plan::new(options.seed, options.seconds, INSTANCES, WORKERS);
    let mut cluster = start_cluster(options).await?;
    tokio::time::sleep(STARTUP_DELAY).await;
    let workload = Workload::new(cluster.callers());
    let length = Duration::from_secs(options.seconds);
    let (seed, submissions) = (options.seed, workload.clone());
    let submissions = tokio::spawn(async move { submissions.submit_jobs(seed, length).await });
    inject_faults(&mut cluster, &plan).await?;
    cluster.heal().await?;
    // The callers end by themselves; a panic in them would show as jobs without an end.
    let _ = submissions.await;
    workload.wait_for_ends(SETTLE_TIMEOUT).await;
    cluster.stop().await?;
    let jobs = workload.jobs();
    let events = cluster.history.all();
    let mut violations = check_invariants(&jobs, &events);
    violations.extend(cluster.unclean_stops.iter().map(|detail| Violation {
        invariant: Invariant::CleanShutdown,
        detail: detail.clone(),
    }));
    let is_start = |event: &&WorkerEvent| event.kind == WorkerEventKind::Started;
    Ok(Outcome {
        plan,
        jobs: jobs.len(),
        accepted: jobs.iter().filter(|job| job.accepted.is_some()).count(),
        refused: jobs.iter().filter(|job| job.is_refused).count(),
        starts: events.iter().filter(is_start).count(),
        violations,
    })
}

/// Starts the site, with other ports if another program took one meanwhile.
async fn start_cluster(options: &RunOptions) -> Result<Cluster, RunError> {
    let mut retries = 0;
    loop {
        match Cluster::start(&options.program, &options.dir, INSTANCES, WORKERS).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse && retries < RETRIES => retries += 1,
            started => return Ok(started?),
        }
    }
}

/// Carries out the plan.
async fn inject_faults(cluster: &mut Cluster, plan: &Plan) -> Result<(), RunError> {
    let start = Instant::now();
    for (at, phase) in phases_of(plan) {
        sleep_until(start + at).await;
        match phase {
            Phase::Begin(fault) => cluster.begin(fault)?,
            Phase::Advance(fault) => cluster.advance(fault),
            Phase::End(fault) => cluster.end(fault).await?,
        }
    }
    Ok(())
}

/// Returns the parts of all faults in the order of their time.
fn phases_of(plan: &Plan) -> Vec<(Duration, Phase)> {
    let mut phases = Vec::new();
    for planned in &plan.faults {
        let at = Duration::from_millis(planned.at_ms);
        let advance = Cluster::advance_after(planned.fault);
        let length = Duration::from_millis(planned.duration_ms).max(advance.unwrap_or_default());
        phases.push((at, Phase::Begin(planned.fault)));
        if let Some(advance) = advance {
            phases.push((at + advance, Phase::Advance(planned.fault)));
        }
        phases.push((at + length, Phase::End(planned.fault)));
    }
    phases.sort_by_key(|(at, _)| *at);
    phases
}

impl RunOptions {
    /// Makes options with the program beside a running one, as cargo puts it.
    ///
    /// # Errors
    ///
    /// Fails if the running program's place is not known.
    pub fn new(seed: u64, dir: &Path) -> Result<Self, RunError> {
        let current_exe = std::env::current_exe()?;
        let profile = current_exe.parent().and_then(Path::parent);
        let profile = profile.ok_or_else(|| std::io::Error::other("no target directory"))?;
        Ok(RunOptions {
            seed,
            seconds: 12,
            program: profile.join("kingcupwinchd"),
            dir: dir.to_owned(),
        })
    }

    /// Sets how long callers and faults come.
    #[must_use]
    pub fn with_seconds(mut self, seconds: u64) -> Self {
        self.seconds = seconds;
        self
    }
}
