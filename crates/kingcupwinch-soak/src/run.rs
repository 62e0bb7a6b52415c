//! One soak run: starts a cluster, submits jobs, injects and heals faults, waits for the jobs to
//! end, stops the instances and checks the invariants.

use std::collections::VecDeque;
use std::fmt::Write;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use kingcupwinch_standin::{WorkerEvent, WorkerEventKind};
use quick_error::quick_error;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::checks::{Invariant, Observations, Violation, check_invariants};
use crate::cluster::{Cluster, KeyMode};
use crate::keys::REVOKE_LIMIT;
use crate::plan::{Plan, PlanKind, PlannedFault};
use crate::workers::WORKER_MILLICORES;
use crate::workload::{Pace, Workload};

/// Default numbers of instances and workers of a run.
const INSTANCES: usize = 3;
const WORKERS: usize = 6;
/// Time for which long-running tasks are observed once every fault is healed: a task that fails in its
/// first seconds has to run again by its end.
const OBSERVATION_TIME: Duration = Duration::from_secs(14);
/// Time for which these tasks are observed beyond the load if workers leave meanwhile.
const DRAIN_OBSERVATION_TIME: Duration = Duration::from_secs(20);
/// Numbers of workers for each job with a task that crashes its workers, in the full plan and in the one
/// for such tasks.
const WORKERS_PER_CRASHING_JOB: [usize; 2] = [6, 2];
/// Time within which all accepted jobs must end once every fault is healed.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of further attempts to start the cluster, with other ports.
const RETRIES: u32 = 5;
/// Interval at which an instance that was asked to stop is checked for its exit.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// File of the workers' events in the directory of a run.
const EVENTS_FILE: &str = "events.txt";
/// Delay between the start of the instances and the first job.
const STARTUP_DELAY: Duration = Duration::from_millis(1_500);

quick_error! {
    /// Error that prevents a run.
    #[derive(Debug)]
    pub enum RunError {
        /// An I/O operation on a process, file or port of the run failed.
        Io(source: std::io::Error) {
            from()
            source(source)
            display("{source}")
        }
    }
}

/// Options of a run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Seed of the faults and the jobs.
    pub seed: u64,
    /// Duration of the load and the faults, in seconds.
    pub seconds: u64,
    /// Faults of the plan.
    pub plan: PlanKind,
    /// Number of instances.
    pub instances: usize,
    /// Number of workers.
    pub workers: usize,
    /// Bandwidth of the link of each instance to the store, in kbit/s; `None` for no limit.
    pub link_kbps: Option<u64>,
    /// Whether callers are customers, whose keys are added and withdrawn. With an even seed, no key is
    /// served by a copy of the configuration that is too old.
    pub has_customers: bool,
    /// Whether crowds of clients take the places of instances' listeners.
    pub has_crowds: bool,
    /// Path of the program that the instances run.
    pub program: PathBuf,
    /// Directory of the settings and logs.
    pub dir: PathBuf,
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Injected faults.
    pub plan: Plan,
    /// Number of submitted jobs.
    pub jobs: usize,
    /// Number of accepted jobs.
    pub accepted: usize,
    /// Number of jobs of which every attempt was refused.
    pub refused: usize,
    /// Number of runs that workers started.
    pub starts: usize,
    /// Number of responses to requests for additional routes.
    pub lookups: usize,
    /// Number of responses to requests with keys that are added, withdrawn or forged.
    pub key_uses: usize,
    /// Violations of invariants.
    pub violations: Vec<Violation>,
}

/// A phase of a fault.
#[derive(Debug, Clone, Copy)]
enum Phase {
    Begin,
    Advance,
    End,
}

/// Carries out one run.
///
/// # Errors
///
/// Fails if a process can't be started, signaled or stopped, if a file can't be written, or if no
/// ports are free.
pub async fn run(options: &RunOptions) -> Result<Outcome, RunError> {
    std::fs::create_dir_all(&options.dir)?;
    let mut plan = Plan::new(
        options.plan,
        options.seed,
        options.seconds,
        options.instances,
        options.workers,
    );
    if options.has_customers {
        plan = plan.with_isolation(options.seed, options.instances);
    }
    if options.has_crowds {
        plan = plan.with_crowds(options.seed, options.seconds, options.instances);
    }
    let mut cluster = start_cluster(options).await?;
    tokio::time::sleep(STARTUP_DELAY).await;
    let workload = Workload::new(cluster.callers(), options.has_customers);
    let pace = match options.plan {
        PlanKind::Basic => Pace::steady(),
        PlanKind::Full
        | PlanKind::Overload
        | PlanKind::Drains
        | PlanKind::Crashing
        | PlanKind::Restarts
        | PlanKind::Rejecting => Pace::varied(options.seed, options.workers),
    };
    let length = Duration::from_secs(options.seconds);
    let (seed, submitter) = (options.seed, workload.clone());
    let submissions = tokio::spawn(async move { submitter.submit_jobs(seed, length, pace).await });
    let mut operations = start_operations(&cluster, options);
    let start = (std::time::Instant::now(), SystemTime::now());
    let (workers, submitter) = (options.workers, workload.clone());
    let mut submitters = JoinSet::new();
    match options.plan {
        PlanKind::Basic | PlanKind::Rejecting => {}
        PlanKind::Restarts => {
            submitters.spawn(async move { submitter.submit_for_losses(seed, workers).await });
        }
        PlanKind::Full | PlanKind::Crashing => {
            submitters
                .spawn(async move { submitter.submit_long_running_jobs(seed, workers).await });
        }
        PlanKind::Overload | PlanKind::Drains => {
            submitters.spawn(async move { submitter.submit_overload(seed, workers, length).await });
        }
    }
    let workers_per_job = match options.plan {
        PlanKind::Full => Some(WORKERS_PER_CRASHING_JOB[0]),
        PlanKind::Crashing => Some(WORKERS_PER_CRASHING_JOB[1]),
        PlanKind::Basic
        | PlanKind::Overload
        | PlanKind::Drains
        | PlanKind::Restarts
        | PlanKind::Rejecting => None,
    };
    if let Some(workers_per_job) = workers_per_job {
        let submitter = workload.clone();
        let count = options.workers.div_ceil(workers_per_job);
        submitters.spawn(async move { submitter.submit_crashing_jobs(seed, count, length).await });
    }
    let mut healed = std::time::Instant::now();
    if !plan.faults.is_empty() {
        inject_faults(&mut cluster, &plan).await?;
        cluster.heal().await?;
        // Workers that leave under overload end no check.
        if options.plan != PlanKind::Drains {
            healed = std::time::Instant::now();
        }
    }
    // The callers end by themselves. A panic in one shows up as a job that does not end.
    let _ = submissions.await;
    let observed = match options.plan {
        PlanKind::Basic | PlanKind::Rejecting => Duration::ZERO,
        PlanKind::Full | PlanKind::Crashing | PlanKind::Restarts => OBSERVATION_TIME,
        PlanKind::Overload => length + OBSERVATION_TIME,
        PlanKind::Drains => length + DRAIN_OBSERVATION_TIME,
    };
    tokio::time::sleep(observed.saturating_sub(healed.elapsed())).await;
    let calm = [(healed, std::time::Instant::now())];
    operations.shutdown().await;
    // On a busy machine, jobs may still be submitted. Those must be cancelled too.
    while submitters.join_next().await.is_some() {}
    workload.cancel_long_running_jobs().await;
    workload.wait_for_ends(SETTLE_TIMEOUT).await;
    cluster.stop().await?;
    let jobs = workload.jobs();
    let events = cluster.history.all();
    std::fs::write(options.dir.join(EVENTS_FILE), render_events(start, &events))?;
    let appends = cluster.store.fenced_appends();
    let (routes, lookups) = cluster.operator.observations();
    let keys = cluster.operator.key_observations();
    let disturbances = cluster.disturbances.all();
    let mut violations = check_invariants(&Observations {
        jobs: &jobs,
        events: &events,
        appends: &appends,
        calm: &calm,
        is_overloaded: matches!(options.plan, PlanKind::Overload | PlanKind::Drains),
        worker_cpu: WORKER_MILLICORES,
        routes: &routes,
        lookups: &lookups,
        keys: &keys,
        revoke_limit: options.key_mode().revoke_limit,
        disturbances: &disturbances,
    });
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
        lookups: lookups.len(),
        key_uses: keys.uses.len(),
        violations,
    })
}

/// Starts to publish versions, and to look up their routes and use their keys on every instance.
fn start_operations(cluster: &Cluster, options: &RunOptions) -> JoinSet<()> {
    let mut operations = JoinSet::new();
    operations.spawn(cluster.operator.clone().publish_versions(options.seed));
    for (index, caller) in cluster.callers().into_iter().enumerate() {
        if options.has_customers {
            let operator = cluster.operator.clone();
            operations.spawn(operator.use_keys(index, caller.clone()));
        }
        operations.spawn(cluster.operator.clone().look_up(index, caller));
    }
    operations
}

/// Renders the workers' events, one a line, with their times in milliseconds after the start of the
/// plan.
fn render_events(
    (start, start_time): (std::time::Instant, SystemTime),
    events: &[WorkerEvent],
) -> String {
    let unix_time = start_time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut text = format!("The plan started at {} ms (Unix).\n", unix_time.as_millis());
    for event in events {
        let at_ms = event.at.saturating_duration_since(start).as_millis();
        let WorkerEvent {
            worker,
            task,
            run,
            kind,
            ..
        } = event;
        // Writing to a string does not fail.
        let _ = writeln!(text, "{at_ms:>6} {worker} {kind:?} {task} run {run}");
    }
    text
}

/// Starts the cluster; retries with other ports if another program has taken one meanwhile.
async fn start_cluster(options: &RunOptions) -> Result<Cluster, RunError> {
    let mut retries = 0;
    loop {
        let started = Cluster::start(
            &options.program,
            &options.dir,
            options.instances,
            options.workers,
            options.link_kbps,
            options.key_mode(),
        );
        match started.await {
            Err(error) if error.kind() == ErrorKind::AddrInUse && retries < RETRIES => retries += 1,
            started => return Ok(started?),
        }
    }
}

/// Injects and ends the faults of the plan at their times.
async fn inject_faults(cluster: &mut Cluster, plan: &Plan) -> Result<(), RunError> {
    let start = Instant::now();
    let mut faults: Vec<PlannedFault> = plan.faults.clone();
    let mut phases = phases_of(plan);
    while let Some((at, index, phase)) = phases.pop_front() {
        sleep_until(start + at).await;
        let planned = &mut faults[index];
        match phase {
            Phase::End if cluster.is_stopping(planned.fault)? => {
                let later = at + STOP_POLL_INTERVAL;
                let next = phases.partition_point(|(at, ..)| *at <= later);
                phases.insert(next, (later, index, phase));
            }
            Phase::Begin => {
                if let Some(trigger) = planned.trigger {
                    cluster.wait_for(trigger).await;
                }
                planned.fault = cluster.resolve(planned.fault);
                cluster.begin(planned.fault).await?;
            }
            Phase::Advance => cluster.advance(planned.fault).await,
            Phase::End => cluster.end(planned.fault).await?,
        }
    }
    Ok(())
}

/// Returns the phases of all faults with the index of the fault, ordered by time.
fn phases_of(plan: &Plan) -> VecDeque<(Duration, usize, Phase)> {
    let mut phases = Vec::new();
    for (index, planned) in plan.faults.iter().enumerate() {
        let at = Duration::from_millis(planned.at_ms);
        let advance = Cluster::advance_after(planned.fault);
        let length = Duration::from_millis(planned.duration_ms).max(advance.unwrap_or_default());
        phases.push((at, index, Phase::Begin));
        if let Some(advance) = advance {
            phases.push((at + advance, index, Phase::Advance));
        }
        phases.push((at + length, index, Phase::End));
    }
    phases.sort_by_key(|(at, ..)| *at);
    phases.into()
}

impl RunOptions {
    fn key_mode(&self) -> KeyMode {
        let is_closed = self.has_customers && self.seed.is_multiple_of(2);
        KeyMode {
            has_customers: self.has_customers,
            revoke_limit: is_closed.then_some(REVOKE_LIMIT),
        }
    }

    /// Builds options for a run of 12 seconds with the `kingcupwinchd` in the cargo target
    /// directory of the running program.
    ///
    /// # Errors
    ///
    /// Fails if the path of the running program is unknown or has no such directory.
    pub fn new(seed: u64, dir: &Path) -> Result<Self, RunError> {
        let current_exe = std::env::current_exe()?;
        let profile = current_exe.parent().and_then(Path::parent);
        let profile = profile.ok_or_else(|| std::io::Error::other("no cargo target directory"))?;
        Ok(RunOptions {
            seed,
            seconds: 12,
            plan: PlanKind::Full,
            instances: INSTANCES,
            workers: WORKERS,
            link_kbps: None,
            has_customers: false,
            has_crowds: false,
            program: profile.join("kingcupwinchd"),
            dir: dir.to_owned(),
        })
    }
}
