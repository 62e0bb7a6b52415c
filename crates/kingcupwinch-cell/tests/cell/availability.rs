//! The limit on the tasks of a step that the owner takes away at a time, whatever the order is for.

use std::collections::BTreeSet;

use kingcupwinch_cell::{JobSpec, PaceOrder, StepSpec, TaskName, WorkerKey};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::harness::{Harness, id, job, registration, step};

const ROUND_MS: u64 = 100;
const TARGET_MS: u32 = 100;
/// The rounds until a task is ready.
const STARTUP_ROUNDS: u64 = 5;

fn serving(count: u16) -> JobSpec {
    job(vec![StepSpec {
        long_running: true,
        latency_sensitive: true,
        target_ms: Some(TARGET_MS),
        worker_limit: Some(1),
        ..step(count, 1, 1_000)
    }])
}

fn filling(count: u16, max_unavailable: u16) -> JobSpec {
    job(vec![StepSpec {
        long_running: true,
        best_effort: true,
        worker_limit: Some(1),
        max_unavailable,
        ..step(count, 8, 1_000)
    }])
}

/// A world of workers in which job 1 fills, and the others serve.
struct World {
    harness: Harness,
    count: usize,
    max_unavailable: usize,
    tail_ms: u32,
    rounds: u64,
    /// The fewest tasks of the filling job that were at work after an order.
    fewest: usize,
}

impl World {
    fn new(workers: usize, max_unavailable: u16) -> Self {
        let mut world = World {
            harness: Harness::new(workers, 16),
            count: workers,
            max_unavailable: max_unavailable.into(),
            tail_ms: 10,
            rounds: 0,
            fewest: workers,
        };
        let spec = filling(workers as u16, max_unavailable);
        world.harness.submit(1, spec);
        world.pass(20);
        assert_eq!(world.at_work().len(), workers);
        world.fewest = workers;
        world
    }

    fn at_work(&self) -> BTreeSet<(WorkerKey, TaskName)> {
        let workers = self.harness.workers.iter();
        let runs = workers.flat_map(|(key, fake)| fake.running.iter().map(|run| (*key, run)));
        runs.filter(|(_, run)| run.task.job == id(1) && run.percent == 100)
            .map(|(key, run)| (key, run.task))
            .collect()
    }

    /// Lets a round pass, and checks each stop of a task at work.
    fn round(&mut self) {
        self.rounds += 1;
        self.harness.advance(ROUND_MS);
        for run in self
            .harness
            .workers
            .values_mut()
            .flat_map(|fake| &mut fake.running)
        {
            let gained = 100 / STARTUP_ROUNDS as u8;
            run.percent = (run.percent + gained).min(100);
            run.tail_ms = (run.task.job != id(1)).then_some(self.tail_ms);
        }
        self.harness.poll_all();
        let mut at_work = self.at_work();
        self.harness.decide();
        for order in std::mem::take(&mut self.harness.stops) {
            if at_work.remove(&(order.worker, order.task)) {
                let missing = self.count - at_work.len();
                assert!(
                    missing <= self.max_unavailable,
                    "round {}: {order:?}",
                    self.rounds
                );
            }
            self.harness.stop(&order);
        }
        self.fewest = self.fewest.min(at_work.len());
        for order in std::mem::take(&mut self.harness.starts) {
            self.harness.start(&order);
        }
        for order in std::mem::take(&mut self.harness.paces) {
            self.harness.cell.pace_answered(&order);
        }
    }

    fn pass(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.round();
        }
    }

    fn serves(&self) -> usize {
        let running = self.harness.running();
        running.iter().filter(|(_, task)| task.job != id(1)).count()
    }
}

/// Guards against a step that loses all its tasks at once: tasks that serve came to each of its workers.
#[test]
fn tasks_that_serve_take_no_more_than_may_be_unavailable() {
    let mut world = World::new(4, 1);
    world.harness.submit(2, serving(4));
    world.round();
    assert_eq!(world.serves(), 4, "they don't wait for the tasks that fill");
    world.pass(50);
    assert_eq!(world.fewest, 3);
    assert_eq!(
        world.at_work().len(),
        4,
        "all are back beside those that serve"
    );
}

/// Guards against tasks that keep their full pace beside tasks that serve, since they may not be stopped.
#[test]
fn tasks_that_are_not_stopped_are_slowed_down() {
    let mut world = World::new(4, 1);
    world.harness.submit(2, serving(4));
    let mut slowed = BTreeSet::new();
    for _ in 0..3 {
        world.harness.decide();
        for order in std::mem::take(&mut world.harness.starts) {
            world.harness.start(&order);
        }
        world.harness.poll_all();
        let orders: Vec<PaceOrder> = std::mem::take(&mut world.harness.paces);
        slowed.extend(
            orders
                .iter()
                .filter(|order| order.percent <= 10)
                .map(|order| order.task),
        );
    }
    assert!(slowed.len() >= 3, "{slowed:?}");
}

/// Guards against orders that take tasks away for different reasons, each within the limit, and together
/// beyond it: moves from workers that drain, tasks that serve, and tails over their targets.
#[test]
fn orders_of_all_kinds_share_one_limit() {
    for seed in 0..30 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let workers = rng.random_range(3..8);
        let mut world = World::new(workers, rng.random_range(1..3));
        for job in 2..12 {
            if rng.random_bool(0.6) {
                let count = rng.random_range(1..=workers) as u16;
                world.harness.submit(job, serving(count));
            }
            let draining = rng.random_bool(0.5).then(|| rng.random_range(0..workers));
            for number in 0..workers {
                let mut entry = registration(number, 16);
                entry.draining = Some(number) == draining;
                world
                    .harness
                    .cell
                    .register_worker(entry, false, world.harness.now);
            }
            world.tail_ms = if rng.random_bool(0.4) { 300 } else { 20 };
            world.pass(rng.random_range(5..60));
            if rng.random_bool(0.5) {
                world.harness.cell.cancel(id(job), world.harness.now);
            }
        }
        assert!(
            world.fewest < workers,
            "seed {seed}: no task was taken away"
        );
    }
}
