//! No start brings a customer above its cap, in any order of events.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use kingcupwinch_cell::{
    CustomerPolicy, EndReason, JobId, JobSpec, PollFailure, ResourceCap, Resources, StartOrder,
    StartOutcome, StepSpec, TaskName,
};
use kingcupwinch_time::Span;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::harness::{Harness, id, job, registration, step, with_advice};

const WORKERS: usize = 3;
const CORES: u64 = 8;
const CUSTOMERS: [&str; 2] = ["gallery", "archive"];
const OVERAGE: f64 = 0.1;
/// Sequences of each case; the cases run beside one another and are 10,000 together.
const SEQUENCES: u64 = 1_250;
const EVENTS: usize = 30;
/// Longer than all leases, also those of an earlier owner.
const OUTAGE_MS: u64 = 12_000;

/// A cell with its workers, and what is known of its customers from outside.
struct World {
    harness: Harness,
    seed: u64,
    random: ChaCha8Rng,
    generation: u32,
    /// Orders of earlier owners that may still arrive, by the number of their worker.
    stale: Vec<(usize, StartOrder)>,
    specs: BTreeMap<u64, JobSpec>,
    policies: Vec<CustomerPolicy>,
    /// The cap in force of each customer; it outlasts the entry in the configuration.
    caps: HashMap<Arc<str>, ResourceCap>,
    checked: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut harness = Harness::new(WORKERS, CORES);
        let cell = std::mem::replace(&mut harness.cell, Harness::of_generation(1).cell);
        harness.cell = cell.with_cap_overage(OVERAGE);
        let mut world = World {
            harness,
            seed,
            random: ChaCha8Rng::seed_from_u64(seed),
            generation: 1,
            stale: Vec::new(),
            specs: BTreeMap::new(),
            policies: Vec::new(),
            caps: HashMap::new(),
            checked: 0,
        };
        world.change_caps();
        world
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability)
    }

    /// Puts a version into force, with other caps; it may not name a customer any more.
    fn change_caps(&mut self) {
        self.policies.clear();
        for name in CUSTOMERS {
            if !self.caps.is_empty() && self.chance(0.2) {
                continue;
            }
            let limit = |random: &mut ChaCha8Rng, unit| {
                random
                    .random_bool(0.7)
                    .then(|| random.random_range(1..12_u64) * unit)
            };
            let cap = ResourceCap {
                cpu: limit(&mut self.random, 1_000),
                memory: limit(&mut self.random, 100),
                gpu: None,
            };
            let name: Arc<str> = name.into();
            self.caps.insert(Arc::clone(&name), cap);
            self.policies.push(CustomerPolicy {
                name,
                weight: 1.0,
                cap,
            });
        }
        self.harness.cell.set_customers(&self.policies);
    }

    fn submit(&mut self) {
        let random = &mut self.random;
        let count = random.random_range(1..5);
        let tasks = step(count, random.random_range(1..5), 500);
        let tasks = match random.random_range(0..5) {
            0 => StepSpec {
                gang: true,
                ..tasks
            },
            1 => StepSpec {
                gang: true,
                ..step(11, 1, 500)
            },
            2 => StepSpec {
                long_running: true,
                max_unavailable: 1,
                ..tasks
            },
            3 => StepSpec {
                speculative: true,
                ..tasks
            },
            _ => tasks,
        };
        let mut spec = job(vec![tasks]);
        if random.random_bool(0.2) {
            spec = with_advice(spec, 10.0);
        }
        if random.random_bool(0.9) {
            spec.customer = CUSTOMERS.choose(random).map(|name| (*name).into());
        }
        let number = self.specs.len() as u64 + 1;
        self.harness.submit(number, spec.clone());
        self.specs.insert(number, spec);
    }

    fn spec(&self, job: JobId) -> &JobSpec {
        let mut specs = self.specs.iter();
        specs.find(|(number, _)| id(**number) == job).unwrap().1
    }

    /// Runs a round, checks its start orders, and has workers carry out some of them.
    fn run_round(&mut self) {
        let earlier = std::mem::take(&mut self.harness.starts);
        if self.chance(0.2) {
            self.harness.decide_without_log();
        } else {
            self.harness.decide();
        }
        let new = std::mem::replace(&mut self.harness.starts, earlier);
        self.harness.starts.extend(new.iter().cloned());
        for order in &new {
            self.check(order);
        }
        for order in std::mem::take(&mut self.harness.stops) {
            if self.chance(0.8) {
                let is_other =
                    |start: &StartOrder| (start.task, start.run) != (order.task, order.run);
                self.harness.starts.retain(is_other);
                self.stale.retain(|(_, start)| is_other(start));
                self.harness.stop(&order);
            }
        }
        for order in std::mem::take(&mut self.harness.starts) {
            match self.random.random_range(0..10) {
                // The order is still on its way.
                0 => self.harness.starts.push(order),
                1 => self.answer(&order, StartOutcome::Lost),
                2 => self.answer(&order, StartOutcome::Refused),
                3 => {
                    self.harness.start_with_lost_response(&order);
                    self.answer(&order, StartOutcome::Lost);
                }
                _ => self.harness.start(&order),
            }
        }
        self.harness.answer_calls(|_, _| true);
    }

    fn answer(&mut self, order: &StartOrder, outcome: StartOutcome) {
        let now = self.harness.now;
        self.harness.cell.start_answered(order, outcome, now);
    }

    /// Checks that all that may be on workers after a start is within the cap, or is this task or its
    /// gang alone.
    fn check(&mut self, order: &StartOrder) {
        let Some(customer) = self.spec(order.task.job).customer.clone() else {
            return;
        };
        let Some(cap) = self.caps.get(&customer).copied() else {
            return;
        };
        let running = self.harness.running().into_iter().map(|(_, task)| task);
        let sent = self.harness.starts.iter().map(|order| order.task);
        let stale = self.stale.iter().map(|(_, order)| order.task);
        let all: Vec<TaskName> = running.chain(sent).chain(stale).collect();
        let (mut used, mut is_alone) = (Resources::default(), true);
        let spec = &self.spec(order.task.job).steps[0];
        for task in all {
            let other = self.spec(task.job);
            if other.customer.as_ref() == Some(&customer) {
                used.add(other.steps[0].resources);
                is_alone &= task == order.task || (spec.gang && task.job == order.task.job);
            }
        }
        let share = if spec.gang && spec.count > 1 {
            1.0 + OVERAGE
        } else {
            f64::INFINITY
        };
        let is_within = |share: f64| {
            let fits = |used: u64, limit: Option<u64>| {
                limit.is_none_or(|limit| used as f64 <= limit as f64 * share)
            };
            fits(used.cpu, cap.cpu) && fits(used.memory, cap.memory)
        };
        assert!(
            is_within(1.0) || (is_alone && is_within(share)),
            "seed {}, owner {}: {customer} has {used:?} with a cap of {cap:?}",
            self.seed,
            self.generation
        );
        self.checked += 1;
    }

    /// Ends a run; the platform ends the other members of a gang with it.
    fn end_run(&mut self) {
        let running = self.harness.running();
        let Some(&(worker, task)) = running.choose(&mut self.random) else {
            return;
        };
        let reasons = [EndReason::Done, EndReason::Failed, EndReason::Stopped];
        let reason = *reasons.choose(&mut self.random).unwrap();
        self.harness.end(worker, task, reason);
        if self.spec(task.job).steps[0].gang {
            let members = running.iter().filter(|(_, other)| other.job == task.job);
            for (worker, member) in members.filter(|(_, other)| *other != task) {
                self.harness.end(*worker, *member, EndReason::GangEnded);
            }
        }
    }

    /// Polls some workers; others don't respond. A worker that has responded refuses orders of earlier
    /// owners.
    fn poll(&mut self) {
        for (number, key) in self.harness.keys().into_iter().enumerate() {
            if self.chance(0.6) {
                self.harness.poll(key);
                self.stale.retain(|(worker, _)| *worker != number);
            } else if self.chance(0.2) {
                self.harness
                    .cell
                    .poll_failed(key, PollFailure::Unresponsive);
            }
        }
    }

    /// Lets all leases expire, on workers and for the owner.
    fn lapse(&mut self) {
        self.harness.end_all(EndReason::LeaseExpired);
        for order in std::mem::take(&mut self.harness.starts) {
            self.answer(&order, StartOutcome::Late);
        }
        self.stale.clear();
        self.harness.advance(OUTAGE_MS);
    }

    /// Has a later owner take over, which reads the log. Orders that are on their way may still arrive.
    fn take_over(&mut self) {
        self.generation += 1;
        let keys = self.harness.keys();
        for order in std::mem::take(&mut self.harness.starts) {
            let number = keys.iter().position(|key| *key == order.worker).unwrap();
            self.stale.push((number, order));
        }
        let mut next = Harness::of_generation(self.generation);
        next.cell = next.cell.with_cap_overage(OVERAGE);
        next.now = self.harness.now + Span::from_millis(1);
        let old = std::mem::replace(&mut self.harness, next);
        let harness = &mut self.harness;
        (harness.log, harness.records) = (old.log, old.records);
        for (number, fake) in old.workers.into_values().enumerate() {
            let entry = registration(number, CORES);
            let key = harness.cell.register_worker(entry, true, harness.now);
            harness.workers.insert(key, fake);
        }
        harness
            .cell
            .set_advice_callers(&["caller-0".into(), "caller-1".into()]);
        let named = |name: &Arc<str>| self.policies.iter().any(|policy| policy.name == *name);
        self.caps.retain(|name, _| named(name));
        harness.cell.set_customers(&self.policies);
        for (number, spec) in &self.specs {
            let record = harness.records.get(&id(*number)).cloned();
            harness.cell.restore(
                id(*number),
                Some(spec.clone()),
                record.as_ref(),
                Span::ZERO,
                harness.now,
            );
        }
    }

    /// Has an order of an earlier owner arrive on a worker that has not heard of the later one.
    fn deliver_stale(&mut self) {
        if let Some((number, mut order)) = self.stale.pop() {
            order.worker = self.harness.keys()[number];
            self.harness.start_with_lost_response(&order);
        }
    }

    fn cancel(&mut self) {
        let number = self.random.random_range(1..=self.specs.len().max(1) as u64);
        let now = self.harness.now;
        self.harness.cell.cancel(id(number), now);
    }

    fn drain(&mut self) {
        let number = self.random.random_range(0..WORKERS);
        let mut entry = registration(number, CORES);
        entry.draining = self.chance(0.5);
        let now = self.harness.now;
        self.harness.cell.register_worker(entry, false, now);
    }

    fn run(&mut self) {
        for _ in 0..EVENTS {
            match self.random.random_range(0..40) {
                0..8 => self.submit(),
                8..11 => self.change_caps(),
                11..18 => self.end_run(),
                18..26 => self.poll(),
                26..28 => self.harness.append_records(),
                28 => self.lapse(),
                29 => self.take_over(),
                30 => self.cancel(),
                31 => self.drain(),
                32..34 => self.deliver_stale(),
                34 => self.harness.set_ready(),
                _ => {}
            }
            let ms = self.random.random_range(1..300);
            self.harness.advance(ms);
            self.run_round();
        }
    }
}

/// Whatever is on a worker and is not counted lets a customer start too much: a run whose response was
/// lost, an order on its way, a placement of an earlier owner, a run that is being stopped.
#[rstest]
fn no_start_brings_a_customer_above_its_cap(#[values(0, 1, 2, 3, 4, 5, 6, 7)] case: u64) {
    let mut checked = 0;
    for seed in case * SEQUENCES..(case + 1) * SEQUENCES {
        let mut world = World::new(seed);
        world.run();
        checked += world.checked;
    }
    assert!(checked > 5_000, "only {checked} starts were checked");
}
