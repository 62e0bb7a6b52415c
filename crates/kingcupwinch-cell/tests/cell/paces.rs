//! Best-effort tasks beside latency-sensitive ones: when they share a worker, and at what pace.

use std::collections::HashMap;

use kingcupwinch_cell::{EndReason, JobSpec, JobState, PaceOrder, StepSpec, TaskName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::harness::{Harness, id, job, step};

const ROUND_MS: u64 = 100;
/// The target of the tails.
const TARGET_MS: f64 = 100.0;
/// How long a tail may be over its target.
const HARM_MS: u64 = 4_000;

fn serving(count: u16) -> JobSpec {
    job(vec![StepSpec {
        long_running: true,
        latency_sensitive: true,
        target_ms: Some(TARGET_MS as u32),
        worker_limit: Some(1),
        ..step(count, 1, 1_000)
    }])
}

fn filling(count: u16) -> JobSpec {
    job(vec![StepSpec {
        best_effort: true,
        ..step(count, 8, 1_000)
    }])
}

/// Returns whether a task is of the job that fills.
fn fills(task: TaskName) -> bool {
    task.job == id(2)
}

/// Workers on which tasks that fill lengthen the tails of those that serve.
struct Disturbed {
    harness: Harness,
    paces: HashMap<(TaskName, u32), u8>,
    done: HashMap<(TaskName, u32), f64>,
    /// The tail without disturbance, and what a task at full pace adds.
    base_ms: f64,
    added_ms: f64,
    /// The rounds in a row for which a tail has been over its target, on any worker.
    over_rounds: u64,
    longest_over: u64,
    /// The work of tasks that fill, in tasks at full pace times rounds.
    filled: f64,
    is_answering: bool,
}

impl Disturbed {
    fn new(workers: usize, added_ms: f64) -> Self {
        Disturbed {
            harness: Harness::new(workers, 16),
            paces: HashMap::new(),
            done: HashMap::new(),
            base_ms: 10.0,
            added_ms,
            over_rounds: 0,
            longest_over: 0,
            filled: 0.0,
            is_answering: true,
        }
    }

    /// Starts tasks that serve.
    fn serve(&mut self, count: u16) {
        self.harness.submit(1, serving(count));
        for _ in 0..10 {
            self.round();
        }
    }

    fn set_paces(&mut self) {
        let orders: Vec<PaceOrder> = std::mem::take(&mut self.harness.paces);
        for order in orders.into_iter().filter(|_| self.is_answering) {
            self.paces.insert((order.task, order.run), order.percent);
            self.harness.cell.pace_answered(&order);
        }
    }

    fn round(&mut self) {
        self.harness.advance(ROUND_MS);
        let mut is_over = false;
        let mut ended = Vec::new();
        for (key, fake) in &mut self.harness.workers {
            let pace = |task, run| f64::from(*self.paces.get(&(task, run)).unwrap_or(&100)) / 100.0;
            let runs = fake.running.iter().filter(|run| fills(run.task));
            let load: f64 = runs.map(|run| pace(run.task, run.run)).sum();
            self.filled += load;
            let tail = self.base_ms + self.added_ms * load;
            for run in &mut fake.running {
                if fills(run.task) {
                    let done = self.done.entry((run.task, run.run)).or_default();
                    *done += pace(run.task, run.run) * ROUND_MS as f64;
                    run.percent = (*done / 10.0).min(99.0) as u8;
                    if *done >= 1_000.0 {
                        ended.push((*key, run.task));
                    }
                } else {
                    run.percent = 100;
                    run.tail_ms = Some(tail as u32);
                    is_over |= tail > TARGET_MS;
                }
            }
        }
        self.over_rounds = if is_over { self.over_rounds + 1 } else { 0 };
        self.longest_over = self.longest_over.max(self.over_rounds * ROUND_MS);
        for (key, task) in ended {
            self.harness.end(key, task, EndReason::Done);
        }
        self.harness.poll_all();
        self.set_paces();
        self.harness.run_round();
        self.set_paces();
    }
}

/// With a small task that serves on each worker, tasks that fill never ran on a service of which nine
/// tenths were free.
#[rstest::rstest]
#[case::harmless(10.0)]
#[case::disturbing(60.0)]
#[case::very_disturbing(400.0)]
fn tasks_that_fill_run_beside_tasks_that_serve(#[case] added_ms: f64) {
    let mut world = Disturbed::new(4, added_ms);
    world.serve(4);
    assert_eq!(world.harness.running().len(), 4);
    world.harness.submit(2, filling(4));
    for _ in 0..30 {
        world.round();
    }
    let started = world.harness.running().len();
    assert_eq!(started, 8, "within 3 s all have started");
    for _ in 0..900 {
        world.round();
    }
    assert_eq!(world.harness.job_state(2), Some(JobState::Completed));
    assert!(
        world.longest_over < HARM_MS,
        "{} ms over",
        world.longest_over
    );
    let serving = world.harness.running();
    assert_eq!(serving.len(), 4, "all that serve go on");
}

/// What tasks disturb may change within seconds.
#[test]
fn a_tail_is_never_over_its_target_for_long() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = Disturbed::new(6, 30.0);
        world.harness.submit(1, serving(6));
        world.harness.submit(2, filling(60));
        for _ in 0..60 {
            world.added_ms = rng.random_range(0.0..300.0);
            world.base_ms = rng.random_range(5.0..70.0);
            for _ in 0..rng.random_range(10..60) {
                world.round();
            }
        }
        assert!(
            world.longest_over < HARM_MS,
            "seed {seed}: {} ms",
            world.longest_over
        );
        assert!(world.filled > 0.0, "seed {seed}");
    }
}

/// A worker that doesn't carry out the orders to slow down.
#[test]
fn tasks_that_fill_are_stopped_if_their_pace_cannot_be_set() {
    let mut world = Disturbed::new(2, 400.0);
    world.is_answering = false;
    world.serve(2);
    world.harness.submit(2, filling(2));
    for _ in 0..300 {
        world.round();
        assert!(
            world.longest_over < HARM_MS,
            "{} ms over",
            world.longest_over
        );
    }
}

/// A task that fills prefers a worker without tasks that serve, and is at full pace there.
#[test]
fn a_worker_without_tasks_that_serve_comes_first() {
    let mut world = Disturbed::new(3, 60.0);
    world.serve(2);
    world.harness.submit(2, filling(1));
    for _ in 0..20 {
        world.round();
    }
    assert_eq!(world.harness.job_state(2), Some(JobState::Completed));
    assert!(world.harness.paces.is_empty() && world.paces.is_empty());
}
