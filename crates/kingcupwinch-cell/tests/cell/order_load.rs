//! Three queues of different priority on workers of two paces, at times with more load than capacity:
//! one of three domains of deployment N of `docs/design/hard-load.md`.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use kingcupwinch_cell::{
    AdviceCallId, AdviceCost, Disabled, EndReason, JobId, JobSpec, Mechanism, Registration,
    StepSpec, TaskName, WorkerKey,
};
use kingcupwinch_time::{Span, Time};

use crate::harness::{FakeWorker, Harness, id, job, registration, step, task};

const WORKERS: usize = 117;
const CORES: u64 = 32;
const CALLERS: usize = 11;
/// Polls of workers without ended runs in a round.
const IDLE_POLLS: usize = 4;
/// A job that ends after this many times its objective is worth nothing.
const LATE_LIMIT: f64 = 3.0;
/// What a job is worth that ends late, but before that.
const LATE_VALUE: f64 = 0.2;
/// How long a step waits until the floor applies to it, and one call to the adviser.
const MAX_WAIT_MS: u64 = 9_000 + 1_000;

/// A queue: its load, and what its jobs need.
struct Queue {
    name: &'static str,
    /// Jobs a second in one domain.
    rate: f64,
    tasks: u16,
    cores: u64,
    work_ms: u64,
    stretch: f64,
    target_ms: u64,
    advice: AdviceCost,
}

const fn advice(call_ms: f64, worker_ms: f64) -> AdviceCost {
    AdviceCost {
        call_ms,
        worker_ms,
        valid_ms: 2_500.0,
    }
}

/// The queues by priority.
const QUEUES: [Queue; 3] = [
    Queue {
        name: "small",
        rate: 25.0,
        tasks: 3,
        cores: 5,
        work_ms: 800,
        stretch: 1.5,
        target_ms: 250,
        advice: advice(9.0, 0.13),
    },
    Queue {
        name: "gangs",
        rate: 1.083,
        tasks: 20,
        cores: 9,
        work_ms: 5_000,
        stretch: 2.2,
        target_ms: 1_000,
        advice: advice(430.0, 6.2),
    },
    Queue {
        name: "batch",
        rate: 4.867,
        tasks: 25,
        cores: 4,
        work_ms: 2_200,
        stretch: 4.0,
        target_ms: 3_000,
        advice: advice(80.0, 1.1),
    },
];

/// A job from its submission to its end.
struct Sent {
    priority: usize,
    at: Time,
    objective_ms: f64,
    work_ms: u64,
    /// The tasks that have not ended.
    left: usize,
    ended: Option<Time>,
    /// When the first task started.
    started: Option<Time>,
}

/// A domain under load.
pub(crate) struct Domain {
    harness: Harness,
    slow: Vec<WorkerKey>,
    /// The runs and when they end.
    ends: BTreeMap<(Time, TaskName), WorkerKey>,
    /// When each task started, and when it ends.
    spans: HashMap<TaskName, (Time, Time)>,
    calls: Vec<(Time, AdviceCallId, Vec<Arc<str>>, u64)>,
    jobs: BTreeMap<JobId, Sent>,
    owed: [f64; 3],
    /// The load of each queue, as a multiple of its usual load.
    pub(crate) load: [f64; 3],
    /// When forecasts are made next; `None` if all jobs are accepted.
    next_forecast: Option<Time>,
    /// Jobs refused by the forecast of their queue.
    pub(crate) refused: [usize; 3],
    next_poll: usize,
    random: u64,
}

/// The results of the jobs of one priority.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    jobs: usize,
    on_time: usize,
    late: usize,
    /// The longest wait for the first start, in milliseconds.
    longest_wait: u64,
}

impl Outcome {
    fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.jobs.max(1) as f64
    }

    fn value(&self) -> f64 {
        (self.on_time as f64 + LATE_VALUE * self.late as f64) / self.jobs.max(1) as f64
    }
}

impl Domain {
    pub(crate) fn new(without: &[Mechanism]) -> Self {
        let mut harness = Harness::of_generation(1);
        harness.cell = harness
            .cell
            .with_disabled(without.iter().copied().collect::<Disabled>());
        let mut slow = Vec::new();
        for number in 0..WORKERS {
            let is_slow = number.is_multiple_of(3);
            let kind = if is_slow { "slow" } else { "fast" };
            let entry = Registration {
                labels: vec![kind.into(), format!("rack-{}", number / 12).into()],
                ..registration(number, CORES)
            };
            let key = harness.cell.register_worker(entry, false, harness.now);
            harness.workers.insert(key, FakeWorker::default());
            if is_slow {
                slow.push(key);
            }
        }
        let callers = (0..CALLERS).map(|number| format!("caller-{number}").into());
        let callers: Vec<Arc<str>> = callers.collect();
        harness.cell.set_advice_callers(&callers);
        harness.poll_all();
        Domain {
            harness,
            slow,
            ends: BTreeMap::new(),
            spans: HashMap::new(),
            calls: Vec::new(),
            jobs: BTreeMap::new(),
            owed: [0.0; 3],
            load: [1.0; 3],
            next_forecast: None,
            refused: [0; 3],
            next_poll: 0,
            random: 7,
        }
    }

    /// Refuses jobs by the forecasts of their queues.
    pub(crate) fn with_admission(self) -> Self {
        Domain {
            next_forecast: Some(Time::ZERO),
            ..self
        }
    }

    /// Returns the forecast of a queue, in milliseconds.
    pub(crate) fn forecast_ms(&self, priority: usize) -> u64 {
        let rows = self.harness.cell.forecasts();
        let row = rows.iter().find(|row| &*row.queue == QUEUES[priority].name);
        row.map_or(0, |row| row.wait.as_millis())
    }

    fn is_refused(&mut self, priority: usize, spec: &JobSpec) -> bool {
        let wait = Span::from_millis(self.forecast_ms(priority));
        let is_late = spec.latest_wait().is_some_and(|latest| wait > latest);
        let is_refused = self.next_forecast.is_some() && is_late;
        self.refused[priority] += usize::from(is_refused);
        is_refused
    }

    /// Returns a factor from 0.6 to 1.4, from a generator with a fixed seed (splitmix64).
    fn factor(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.random;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        0.6 + 0.8 * ((bits ^ (bits >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn submit(&mut self, priority: usize) {
        let queue = &QUEUES[priority];
        let number = self.jobs.len() as u64 + 1;
        let work_ms = (queue.work_ms as f64 * self.factor()) as u64;
        let tasks = (f64::from(queue.tasks) * self.factor()).round() as u16;
        let count = if priority == 2 && number.is_multiple_of(2) {
            2
        } else {
            1
        };
        let steps = (0..count).map(|index| StepSpec {
            gang: priority == 1,
            after: (0..index).collect(),
            ..step(tasks, queue.cores, work_ms)
        });
        let mut spec: JobSpec = job(steps.collect());
        spec.policy.queue = queue.name.into();
        spec.policy.priority = priority as u32;
        spec.policy.stretch = queue.stretch;
        spec.policy.target_ms = queue.target_ms;
        spec.policy.advice = Some(queue.advice);
        if self.is_refused(priority, &spec) {
            return;
        }
        let sent = Sent {
            priority,
            at: self.harness.now,
            objective_ms: queue.stretch * f64::from(count) * work_ms as f64
                + queue.target_ms as f64,
            work_ms,
            left: usize::from(tasks * count),
            ended: None,
            started: None,
        };
        self.harness.submit(number, spec);
        self.jobs.insert(id(number), sent);
    }

    /// Plays some time in rounds of 20 ms.
    pub(crate) fn play(&mut self, ms: u64) {
        let start = self.harness.now;
        let mut round = start;
        while (self.harness.now - start).as_millis() < ms {
            let passed = (self.harness.now - round).as_millis();
            round = self.harness.now;
            for (priority, queue) in QUEUES.iter().enumerate() {
                self.owed[priority] += queue.rate * self.load[priority] * passed as f64 / 1_000.0;
                while self.owed[priority] >= 1.0 {
                    self.owed[priority] -= 1.0;
                    self.submit(priority);
                }
            }
            self.play_round();
        }
    }

    fn play_round(&mut self) {
        let harness = &mut self.harness;
        harness.decide();
        if let Some(next) = self.next_forecast
            && next <= harness.now
        {
            self.next_forecast = Some(harness.now + Span::from_millis(250));
            harness.cell.update_forecasts(harness.now);
        }
        let mut busy: Vec<WorkerKey> = Vec::new();
        for order in std::mem::take(&mut harness.stops) {
            self.ends.retain(|(_, task), _| *task != order.task);
            harness.stop(&order);
            busy.push(order.worker);
        }
        let starts = std::mem::take(&mut harness.starts);
        // The members of a gang run at the pace of the slowest.
        let slow_gangs: HashSet<JobId> = starts
            .iter()
            .filter(|order| self.slow.contains(&order.worker))
            .map(|order| order.task.job)
            .filter(|job| self.jobs[job].priority == 1)
            .collect();
        for order in starts {
            harness.start(&order);
            let Some(job) = self.jobs.get_mut(&order.task.job) else {
                continue;
            };
            job.started.get_or_insert(harness.now);
            let is_slow = self.slow.contains(&order.worker) || slow_gangs.contains(&order.task.job);
            let pace = if is_slow { 1.7 } else { 0.7 };
            let end = harness.now + Span::from_millis((job.work_ms as f64 * pace) as u64);
            self.ends.insert((end, order.task), order.worker);
            self.spans.insert(order.task, (harness.now, end));
        }
        let steps = std::mem::take(&mut harness.call_steps);
        for ((call, named), step) in std::mem::take(&mut harness.calls).into_iter().zip(steps) {
            let job = JobId::parse(step.split('.').next().unwrap()).unwrap();
            let cost = QUEUES[self.jobs[&job].priority].advice;
            let ms = cost.call_ms + cost.worker_ms * named.len() as f64;
            let due = harness.now + Span::from_millis(ms as u64);
            let hash = u64::from_str_radix(step.split('.').next().unwrap(), 16).unwrap();
            self.calls.push((due, call, named, hash));
        }
        harness.advance(20);
        let now = harness.now;
        let later = self.ends.split_off(&(now, task(0, 0, 0)));
        for ((_, task), worker) in std::mem::replace(&mut self.ends, later) {
            harness.end(worker, task, EndReason::Done);
            busy.push(worker);
            let job = self.jobs.get_mut(&task.job).unwrap();
            job.left -= 1;
            if job.left == 0 {
                job.ended = Some(now);
            }
        }
        let keys = harness.keys();
        busy.extend(keys.iter().cycle().skip(self.next_poll).take(IDLE_POLLS));
        self.next_poll = (self.next_poll + IDLE_POLLS) % keys.len();
        busy.sort();
        busy.dedup();
        for worker in busy {
            harness.poll_in_progress(worker, &self.spans, now);
        }
        for (_, call, named, hash) in self.calls.extract_if(.., |(due, ..)| *due <= now) {
            let is_allowed = |id: &str| {
                let number: u64 = id.trim_start_matches("i-").parse().unwrap();
                (number + hash) % 5 < 2
            };
            harness.answer_call(call, &named, is_allowed);
        }
    }

    /// Returns the outcomes by priority of the jobs submitted so far.
    fn outcomes(&self) -> [Outcome; 3] {
        let mut outcomes = [Outcome::default(); 3];
        for job in self.jobs.values() {
            let outcome = &mut outcomes[job.priority];
            outcome.jobs += 1;
            let wait = job.started.unwrap_or(self.harness.now) - job.at;
            outcome.longest_wait = outcome.longest_wait.max(wait.as_millis());
            let Some(ended) = job.ended else {
                continue;
            };
            let took = (ended - job.at).as_millis() as f64;
            outcome.on_time += usize::from(took <= job.objective_ms);
            let is_late = took > job.objective_ms && took <= job.objective_ms * LATE_LIMIT;
            outcome.late += usize::from(is_late);
        }
        outcomes
    }
}

/// Plays the usual load with a time of a multiple of it, and then lets all jobs end.
fn play(without: &[Mechanism], load: [f64; 3], ms: u64) -> [Outcome; 3] {
    let mut domain = Domain::new(without);
    domain.play(6_000);
    domain.load = load;
    domain.play(ms);
    domain.load = [1.0; 3];
    domain.play(8_000);
    domain.load = [0.0; 3];
    domain.play(20_000);
    domain.outcomes()
}

pub(crate) const WITHOUT: &[Mechanism] = &[Mechanism::PriorityOrder];

/// The share of jobs that end within their objective while all callers send 1.7 times their usual load
/// for 3 s: at least what the order by slack reaches, and 0.95 of the most urgent queue.
#[test]
fn urgent_jobs_are_on_time_in_a_burst() {
    let (with, without) = (play(&[], [1.7; 3], 3_000), play(WITHOUT, [1.7; 3], 3_000));
    for (priority, (with, without)) in with.iter().zip(&without).enumerate() {
        let (share, before) = (with.on_time_share(), without.on_time_share());
        assert!(share + 0.01 >= before, "{priority}: {with:?}, {without:?}");
    }
    assert!(with[0].on_time_share() >= 0.95, "{with:?}");
    assert!(with[0].value() >= without[0].value(), "{with:?}");
}

/// Batch waits longest for what more urgent queues take, and no longer than the floor allows.
#[test]
fn batch_does_not_wait_beyond_the_floor() {
    for (load, ms) in [
        ([1.7; 3], 3_000),
        ([1.7; 3], 12_000),
        ([6.0, 1.0, 1.0], 6_000),
    ] {
        let batch = play(&[], load, ms)[2];
        assert!(batch.longest_wait <= MAX_WAIT_MS, "{load:?}: {batch:?}");
    }
}
