//! Delay scheduling on fast and slow workers, for loads from idle to full.

use std::collections::{BTreeMap, HashMap};

use kingcupwinch_cell::{
    CellEvent, Disabled, EndReason, JobId, JobSpec, Mechanism, Registration, StartDelay, TaskName,
    WorkerKey,
};
use kingcupwinch_time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::harness::{FakeWorker, Harness, id, job, registration, step, task};

const FAST_WORKERS: usize = 6;
const SLOW_WORKERS: usize = 3;
const CORES: u64 = 4;
const FAST_PACE: f64 = 0.7;
const SLOW_PACE: f64 = 1.7;
const ROUND_MS: u64 = 20;
/// The owner learns the paces and the rates in this time, which does not count.
const WARM_UP_MS: u64 = 15_000;
const MEASURED_MS: u64 = 30_000;
const SEEDS: u64 = 3;
/// The mean time to completion may exceed that of the better fixed rule by this factor.
const TOLERANCE: f64 = 1.1;

/// A rule for tasks of which only slow workers have room.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Rule {
    Start,
    /// The slow workers are never used.
    Wait,
    Decide,
}

struct Simulation {
    harness: Harness,
    paces: HashMap<WorkerKey, f64>,
    works_ms: HashMap<JobId, f64>,
    sent: HashMap<JobId, Time>,
    spans: HashMap<TaskName, (Time, Time)>,
    ends: BTreeMap<(Time, TaskName), WorkerKey>,
    took: HashMap<JobId, Span>,
    rng: ChaCha8Rng,
    next_poll: usize,
    delays: Vec<StartDelay>,
}

impl Simulation {
    fn new(rule: Rule, seed: u64) -> Self {
        let mut harness = Harness::of_generation(1);
        let disabled: &[Mechanism] = match rule {
            Rule::Decide => &[],
            Rule::Start | Rule::Wait => &[Mechanism::PaceLimit, Mechanism::DelayScheduling],
        };
        let disabled: Disabled = disabled.iter().copied().collect();
        harness.cell = harness.cell.with_disabled(disabled);
        let slow = if rule == Rule::Wait { 0 } else { SLOW_WORKERS };
        let mut paces = HashMap::new();
        for number in 0..FAST_WORKERS + slow {
            let (kind, pace) = if number < FAST_WORKERS {
                ("fast", FAST_PACE)
            } else {
                ("slow", SLOW_PACE)
            };
            let entry = Registration {
                labels: vec![kind.into(), "rack".into()],
                ..registration(number, CORES)
            };
            let key = harness.cell.register_worker(entry, false, harness.now);
            harness.workers.insert(key, FakeWorker::default());
            paces.insert(key, pace);
        }
        harness.poll_all();
        Simulation {
            harness,
            paces,
            works_ms: HashMap::new(),
            sent: HashMap::new(),
            spans: HashMap::new(),
            ends: BTreeMap::new(),
            took: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_poll: 0,
            delays: Vec::new(),
        }
    }

    fn submit(&mut self, stretch: f64) {
        let number = self.sent.len() as u64 + 1;
        let work_ms: f64 = self.rng.random_range(600.0..1_400.0);
        let mut spec: JobSpec = job(vec![step(1, 1, work_ms as u64)]);
        spec.policy.stretch = stretch;
        spec.policy.target_ms = 100;
        self.works_ms.insert(id(number), work_ms);
        self.sent.insert(id(number), self.harness.now);
        self.harness.submit(number, spec);
    }

    fn round(&mut self) {
        let harness = &mut self.harness;
        harness.decide();
        let delays = harness.cell.take_events();
        self.delays
            .extend(delays.into_iter().filter_map(|event| match event {
                CellEvent::StartDelayed(delay) => Some(delay),
                _ => None,
            }));
        for order in std::mem::take(&mut harness.starts) {
            harness.start(&order);
            let ms = self.works_ms[&order.task.job] * self.paces[&order.worker];
            let end = harness.now + Span::from_millis(ms as u64);
            self.spans.insert(order.task, (harness.now, end));
            self.ends.insert((end, order.task), order.worker);
        }
        harness.advance(ROUND_MS);
        let now = harness.now;
        let later = self.ends.split_off(&(now, task(0, 0, 0)));
        let keys = harness.keys();
        let mut busy = vec![keys[self.next_poll % keys.len()]];
        self.next_poll += 1;
        for ((end, task), worker) in std::mem::replace(&mut self.ends, later) {
            harness.end(worker, task, EndReason::Done);
            self.took.insert(task.job, end - self.sent[&task.job]);
            busy.push(worker);
        }
        busy.sort();
        busy.dedup();
        for worker in busy {
            harness.poll_in_progress(worker, &self.spans, now);
        }
    }

    /// Plays `load`, as a part of the capacity of all workers. Returns the mean time to completion in
    /// seconds of the jobs that were sent after the warm-up.
    fn play(&mut self, load: f64, stretch: f64) -> f64 {
        let capacity =
            CORES as f64 * (FAST_WORKERS as f64 / FAST_PACE + SLOW_WORKERS as f64 / SLOW_PACE);
        let begin = self.harness.now;
        let (measured, end) = (WARM_UP_MS, WARM_UP_MS + MEASURED_MS);
        let mut next_ms = 0.0;
        loop {
            let passed = (self.harness.now - begin).as_millis();
            if passed >= end && self.took.len() == self.sent.len() {
                break;
            }
            while next_ms <= passed as f64 && next_ms < end as f64 {
                self.submit(stretch);
                let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
                next_ms -= uniform.ln() * 1_000.0 / (load * capacity);
            }
            self.round();
        }
        let counted = self
            .took
            .iter()
            .filter(|(job, _)| (self.sent[job] - begin).as_millis() >= measured);
        let (sum, count) = counted.fold((0.0, 0.0), |(sum, count), (_, took)| {
            (sum + took.as_secs_f64(), count + 1.0)
        });
        sum / count
    }
}

fn mean(rule: Rule, load: f64, stretch: f64) -> f64 {
    let seeds = 0..SEEDS;
    let sum: f64 = seeds
        .map(|seed| Simulation::new(rule, seed).play(load, stretch))
        .sum();
    sum / SEEDS as f64
}

/// Fixed rules are each bad at some load: a start at once takes slow workers just before fast ones are free,
/// and a wait leaves slow workers idle under full load.
#[rstest]
fn tasks_end_about_as_soon_as_by_the_better_fixed_rule(
    #[values(0.05, 0.3, 0.5, 0.7, 0.8, 0.9, 1.0)] load: f64,
    #[values(2.0, 6.0)] stretch: f64,
) {
    let [start, wait, decide] =
        [Rule::Start, Rule::Wait, Rule::Decide].map(|rule| mean(rule, load, stretch));
    println!("| {stretch} | {load} | {start:.3} | {wait:.3} | {decide:.3} |");
    assert!(
        decide <= TOLERANCE * start.min(wait),
        "{decide:.3} s, start {start:.3} s, wait {wait:.3} s"
    );
}

/// Each round reported the same decision again.
#[test]
fn a_wait_of_a_step_is_reported_once() {
    let mut simulation = Simulation::new(Rule::Decide, 1);
    simulation.play(0.8, 2.0);
    let mut waits: HashMap<&str, usize> = HashMap::new();
    for delay in simulation
        .delays
        .iter()
        .filter(|delay| delay.outcome == "wait")
    {
        assert!(
            delay
                .deadline_in
                .is_some_and(|left| left <= delay.objective_in)
        );
        *waits.entry(&delay.step).or_default() += 1;
    }
    assert!(!waits.is_empty(), "some tasks wait");
    assert!(waits.values().all(|lines| *lines == 1), "{waits:?}");
}

const GANG: u64 = 3;

/// Sends a gang that has room on two racks, while a task that is about to end is in its way on the first
/// and a long one on the second.
fn gang_on_two_racks(far_factor: Option<f64>) -> Harness {
    let mut harness = Harness::new(8, CORES);
    let cell = std::mem::replace(&mut harness.cell, Harness::of_generation(1).cell);
    let all_on: Disabled = [].into_iter().collect();
    harness.cell = cell.with_disabled(all_on).with_far_factor(far_factor);
    for number in 10..14 {
        harness.submit(number, job(vec![step(8, CORES, 500)]));
        harness.run_round();
        harness.advance(500);
        harness.end_all(EndReason::Done);
        harness.poll_all();
    }
    for (number, estimate_ms) in [(1, 500), (2, 20_000)] {
        let mut in_the_way = step(1, CORES, estimate_ms);
        in_the_way.required_label = Some(format!("rack-{}", number - 1).into());
        harness.submit(number, job(vec![in_the_way]));
    }
    harness.run_round();
    let mut gang = step(4, CORES, 60_000);
    gang.gang = true;
    gang.same_rack = true;
    harness.submit(GANG, job(vec![gang]));
    harness.run_round();
    harness
}

fn members(harness: &Harness) -> Vec<WorkerKey> {
    let members = harness.running().into_iter();
    let members = members.filter(|(_, task)| task.job == id(GANG));
    members.map(|(worker, _)| worker).collect()
}

/// A gang spread over racks, and was slower for all its time, although one rack was about to be free.
#[test]
fn a_gang_waits_for_a_rack_that_is_about_to_be_free() {
    let mut harness = gang_on_two_racks(Some(2.0));
    assert_eq!(members(&harness), []);
    let first = harness.running().into_iter();
    let (worker, task) = first.min_by_key(|(worker, _)| *worker).unwrap();
    harness.end(worker, task, EndReason::Done);
    harness.poll_all();
    harness.run_round();
    assert_eq!(members(&harness), harness.keys()[..4]);
}

/// The task in the way did not end when it should have.
#[test]
fn a_gang_starts_on_two_racks_after_its_deadline() {
    let mut harness = gang_on_two_racks(Some(2.0));
    assert_eq!(members(&harness), []);
    harness.advance(4_000);
    harness.poll_all();
    harness.run_round();
    assert_eq!(members(&harness).len(), 4);
}

/// It is not known what a gang loses on two racks.
#[test]
fn a_gang_starts_at_once_without_a_far_factor() {
    assert_eq!(members(&gang_on_two_racks(None)).len(), 4);
}
