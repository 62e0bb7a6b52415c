//! One run: start, press, break, heal, settle, stop, judge.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::Duration;

use kingcupwinch_standin::{WorkerEvent, WorkerEventKind};
use quick_error::quick_error;
use tokio::time::{Instant, sleep_until};

use crate::checks::{Breach, Promise, check};
use crate::load::Load;
use crate::plan::{Fault, Plan};
use crate::site::Site;

/// Instances and workers of a run.
const INSTANCES: usize = 3;
const WORKERS: usize = 6;
/// How long all that was accepted may take to end once every fault is healed.
const SETTLE_TIME: Duration = Duration::from_secs(60);
/// Tries to start with other ports.
const START_TRIES: u32 = 5;
/// Callers come so long after the instances are started.
const START_TIME: Duration = Duration::from_millis(1_500);

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
    pub breaches: Vec<Breach>,
}

/// One part of a fault, at its time.
#[derive(Debug, Clone, Copy)]
enum Part {
    Begin(Fault),
    Turn(Fault),
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
    let mut site = start_site(options).await?;
    tokio::time::sleep(START_TIME).await;
    let load = Load::new(site.callers());
    let length = Duration::from_secs(options.seconds);
    let (seed, pressing) = (options.seed, load.clone());
    let pressing = tokio::spawn(async move { pressing.press(seed, length).await });
    break_things(&mut site, &plan).await?;
    site.heal().await?;
    // The callers end by themselves; a panic in them would show as jobs without an end.
    let _ = pressing.await;
    load.settle(SETTLE_TIME).await;
    site.stop().await?;
    let jobs = load.jobs();
    let seen = site.ledger.all();
    let mut breaches = check(&jobs, &seen);
    breaches.extend(site.bad_stops.iter().map(|what| Breach {
        promise: Promise::CleanStop,
        what: what.clone(),
    }));
    let is_start = |seen: &&WorkerEvent| seen.kind == WorkerEventKind::Started;
    Ok(Outcome {
        plan,
        jobs: jobs.len(),
        accepted: jobs.iter().filter(|job| job.accepted.is_some()).count(),
        refused: jobs.iter().filter(|job| job.is_refused).count(),
        starts: seen.iter().filter(is_start).count(),
        breaches,
    })
}

/// Starts the site, with other ports if another program took one meanwhile.
async fn start_site(options: &RunOptions) -> Result<Site, RunError> {
    let mut tries = 0;
    loop {
        match Site::start(&options.program, &options.dir, INSTANCES, WORKERS).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse && tries < START_TRIES => tries += 1,
            started => return Ok(started?),
        }
    }
}

/// Carries out the plan.
async fn break_things(site: &mut Site, plan: &Plan) -> Result<(), RunError> {
    let begun = Instant::now();
    for (at, part) in parts_of(plan) {
        sleep_until(begun + at).await;
        match part {
            Part::Begin(fault) => site.begin(fault)?,
            Part::Turn(fault) => site.turn(fault),
            Part::End(fault) => site.end(fault).await?,
        }
    }
    Ok(())
}

/// Returns the parts of all faults in the order of their time.
fn parts_of(plan: &Plan) -> Vec<(Duration, Part)> {
    let mut parts = Vec::new();
    for planned in &plan.faults {
        let at = Duration::from_millis(planned.at_ms);
        let turn = Site::turn_of(planned.fault);
        let length = Duration::from_millis(planned.for_ms).max(turn.unwrap_or_default());
        parts.push((at, Part::Begin(planned.fault)));
        if let Some(turn) = turn {
            parts.push((at + turn, Part::Turn(planned.fault)));
        }
        parts.push((at + length, Part::End(planned.fault)));
    }
    parts.sort_by_key(|(at, _)| *at);
    parts
}

impl RunOptions {
    /// Makes options with the program beside a running one, as cargo puts it.
    ///
    /// # Errors
    ///
    /// Fails if the running program's place is not known.
    pub fn new(seed: u64, dir: &Path) -> Result<Self, RunError> {
        let me = std::env::current_exe()?;
        let profile = me.parent().and_then(Path::parent);
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
