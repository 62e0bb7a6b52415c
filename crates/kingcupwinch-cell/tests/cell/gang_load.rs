//! Gangs beside batch load that needs no adviser and takes whatever becomes free: a third of the workers
//! is allowed, calls take 390 ms and 5.6 ms a worker, tickets last 2.5 s.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use kingcupwinch_cell::{
    AdviceCallId, AdviceCost, EndReason, JobId, JobSpec, StepSpec, TaskName, WorkerKey,
};
use kingcupwinch_time::{Span, Time};

use crate::harness::{Harness, id, job, step, task};

const ADVICE: AdviceCost = AdviceCost {
    call_ms: 390.0,
    worker_ms: 5.6,
    valid_ms: 2_500.0,
};
const WORKERS: usize = 180;
const CORES: u64 = 16;
/// The batch tasks of two sizes: cores and run time in milliseconds.
const BATCH: [(u64, u64); 2] = [(4, 1_000), (3, 2_700)];
/// How long the members of a gang run, and the cores of each.
const GANG_MS: u64 = 5_000;
const GANG_CORES: u64 = 5;
/// Polls of workers without ended runs in a round.
const IDLE_POLLS: usize = 4;
/// The first gang comes when the service is as busy as it will be.
const FIRST_GANG_MS: u64 = 6_000;

/// A service under batch load of a given share of its capacity.
struct Load {
    harness: Harness,
    /// The runs and when they end.
    ends: BTreeMap<(Time, TaskName), WorkerKey>,
    /// The calls to the adviser and when their responses arrive.
    calls: Vec<(Time, AdviceCallId, Vec<Arc<str>>)>,
    next_job: u64,
    /// The cores that batch jobs are behind their share, in core-milliseconds.
    owed: f64,
    share: f64,
    /// Every so many calls one is lost.
    lost_every: Option<usize>,
    call_count: usize,
    /// When each gang was submitted and when it started.
    gangs: BTreeMap<JobId, (Time, Option<Time>)>,
    run_times: HashMap<JobId, Span>,
    /// The worker to poll next.
    next_poll: usize,
}

fn gang(tasks: u16) -> JobSpec {
    let gang = StepSpec {
        gang: true,
        ..step(tasks, GANG_CORES, GANG_MS)
    };
    let mut spec = job(vec![gang]);
    spec.policy.queue = "gangs".into();
    spec.policy.advice = Some(ADVICE);
    spec
}

impl Load {
    fn new(share: f64) -> Self {
        let mut harness = Harness::new(WORKERS, CORES);
        let callers = (0..40).map(|number| format!("caller-{number}").into());
        let callers: Vec<Arc<str>> = callers.collect();
        harness.cell.set_advice_callers(&callers);
        Load {
            harness,
            ends: BTreeMap::new(),
            calls: Vec::new(),
            next_job: 1,
            owed: 0.0,
            share,
            lost_every: None,
            call_count: 0,
            gangs: BTreeMap::new(),
            run_times: HashMap::new(),
            next_poll: 0,
        }
    }

    fn with_lost_calls(self, every: usize) -> Self {
        Load {
            lost_every: Some(every),
            ..self
        }
    }

    fn submit(&mut self, spec: JobSpec, run_ms: u64) -> JobId {
        let number = self.next_job;
        self.next_job += 1;
        self.harness.submit(number, spec);
        self.run_times.insert(id(number), Span::from_millis(run_ms));
        id(number)
    }

    fn submit_gang(&mut self, tasks: u16) {
        let job = self.submit(gang(tasks), GANG_MS);
        self.gangs.insert(job, (self.harness.now, None));
    }

    /// Submits batch jobs of three tasks for the time that has passed.
    fn submit_batch(&mut self, ms: u64) {
        self.owed += self.share * (WORKERS as u64 * CORES * ms) as f64;
        while self.owed > 0.0 {
            let (cores, run_ms) = BATCH[self.next_job as usize % BATCH.len()];
            self.owed -= (3 * cores * run_ms) as f64;
            self.submit(job(vec![step(3, cores, run_ms)]), run_ms);
        }
    }

    /// Plays some time in rounds of 20 ms.
    fn play(&mut self, ms: u64) {
        let start = self.harness.now;
        let mut round = start;
        while (self.harness.now - start).as_millis() < ms {
            let passed = (self.harness.now - round).as_millis();
            round = self.harness.now;
            self.submit_batch(passed);
            self.play_round();
        }
    }

    fn play_round(&mut self) {
        let harness = &mut self.harness;
        harness.decide();
        harness.stops.clear();
        for order in std::mem::take(&mut harness.starts) {
            harness.start(&order);
            if let Some((_, started)) = self.gangs.get_mut(&order.task.job) {
                started.get_or_insert(harness.now);
            }
            let end = harness.now + self.run_times[&order.task.job];
            self.ends.insert((end, order.task), order.worker);
        }
        for (call, named) in std::mem::take(&mut harness.calls) {
            let ms = ADVICE.call_ms + ADVICE.worker_ms * named.len() as f64;
            let due = harness.now + Span::from_millis(ms as u64);
            self.call_count += 1;
            let is_lost = self
                .lost_every
                .is_some_and(|every| self.call_count.is_multiple_of(every));
            if !is_lost {
                self.calls.push((due, call, named));
            }
        }
        harness.call_steps.clear();
        harness.advance(20);
        let now = harness.now;
        let later = self.ends.split_off(&(now, task(0, 0, 0)));
        let mut workers: Vec<WorkerKey> = Vec::new();
        for ((_, task), worker) in std::mem::replace(&mut self.ends, later) {
            harness.end(worker, task, EndReason::Done);
            workers.push(worker);
        }
        // The others respond from time to time.
        let keys = harness.keys();
        let rotation = keys.iter().cycle().skip(self.next_poll).take(IDLE_POLLS);
        workers.extend(rotation);
        self.next_poll = (self.next_poll + IDLE_POLLS) % keys.len();
        workers.sort();
        workers.dedup();
        for worker in workers {
            harness.poll(worker);
        }
        for (_, call, named) in self.calls.extract_if(.., |(due, ..)| *due <= now) {
            let is_allowed = |id: &str| {
                let number: u32 = id.trim_start_matches("i-").parse().unwrap();
                number.is_multiple_of(3)
            };
            harness.answer_call(call, &named, is_allowed);
        }
    }

    /// Returns how long each gang waited to start, in milliseconds; `None` if it did not.
    fn waits(&self) -> Vec<Option<u64>> {
        let waits = self.gangs.values();
        waits
            .map(|(submitted, started)| started.map(|at| (at - *submitted).as_millis()))
            .collect()
    }
}

/// The longest wait of a gang that fits on the empty workers that are allowed to it. Callers expect a start
/// within 3 s of acceptance; a call about all workers takes 1.4 s of that, and another one follows it.
const MAX_WAIT_MS: u64 = 5_000;

fn assert_gang_starts(tasks: u16, share: f64) {
    let mut load = Load::new(share);
    load.play(FIRST_GANG_MS);
    load.submit_gang(tasks);
    load.play(2 * MAX_WAIT_MS);
    let wait = load.waits()[0];
    assert!(
        wait.is_some_and(|ms| ms <= MAX_WAIT_MS),
        "{tasks} tasks, load {share}: {wait:?}"
    );
}

/// A gang waited until the load had gone, since batch tasks took each core that became free.
#[test]
fn a_gang_starts_beside_batch_of_80_percent() {
    for tasks in [2, 16, 40, 80] {
        assert_gang_starts(tasks, 0.8);
    }
}

#[test]
fn a_gang_starts_beside_batch_of_95_percent() {
    for tasks in [2, 16, 40, 80] {
        assert_gang_starts(tasks, 0.95);
    }
}

/// One call in four gets no response.
#[test]
fn a_gang_starts_although_calls_are_lost() {
    let mut load = Load::new(0.8).with_lost_calls(4);
    load.play(FIRST_GANG_MS);
    load.submit_gang(60);
    load.play(3 * MAX_WAIT_MS);
    let wait = load.waits()[0];
    assert!(wait.is_some_and(|ms| ms <= 2 * MAX_WAIT_MS), "{wait:?}");
}

/// Gangs that come together take turns, the large ones as well.
#[test]
fn gangs_of_all_sizes_take_turns() {
    let mut load = Load::new(0.8);
    load.play(FIRST_GANG_MS);
    for tasks in [60, 8, 16, 40, 8] {
        load.submit_gang(tasks);
    }
    load.play(5 * MAX_WAIT_MS);
    let waits = load.waits();
    let is_soon = |wait: &Option<u64>| wait.is_some_and(|ms| ms <= 3 * MAX_WAIT_MS);
    assert!(waits.iter().all(is_soon), "{waits:?}");
}
