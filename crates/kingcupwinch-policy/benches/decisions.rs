//! The cost of a decision over the number of machines, and of a cancellation.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use kingcupwinch_policy::{
    Cell, ClassKind, ClassSpec, CustomerSpec, Decision, Exit, MachineSpec, Outcome, Placement,
    Plan, Resources, TaskKey, TaskSpec,
};
use kingcupwinch_time::{Span, Time};

const MACHINES: [usize; 4] = [48, 480, 3_000, 12_000];
/// Tasks that run on each machine: 280,000 on 12,000 machines.
const RUNNING_EACH: usize = 24;
const CUSTOMERS: usize = 43;
const CANCELLED: usize = 100_000;

/// A cell in use.
struct Busy {
    cell: Cell,
    now: Time,
    running: Vec<Placement>,
    next: usize,
    out: Vec<Decision>,
}

impl Busy {
    fn new(machines: usize) -> Self {
        let bound = machines * RUNNING_EACH + 2 * CANCELLED;
        let live = ClassSpec::new("live", ClassKind::Live, 0).with_typical_size(live_size());
        let batch = ClassSpec::new("batch", ClassKind::Batch, 1).with_max_queued(bound);
        let mut plan = Plan::new().with_class(live).with_class(batch);
        for customer in 0..CUSTOMERS {
            plan = plan.with_customer(CustomerSpec::new(&format!("c{customer}"), 1.0));
        }
        let mut cell = Cell::new(plan, 3).expect("the plan is valid");
        let now = Time::from_millis(1);
        let capacity = Resources::new(64_000, 131_072)
            .with_slots(32)
            .with_connections(64);
        for index in 0..machines {
            let rack = format!("r{}", index / 8);
            let spec = MachineSpec::new(&format!("m{index}"), "z", &rack, capacity);
            cell.add_machine(spec, now).expect("the machine is valid");
        }
        let mut busy = Busy {
            cell,
            now,
            running: Vec::new(),
            next: 0,
            out: Vec::new(),
        };
        for index in 0..machines * RUNNING_EACH {
            busy.submit("batch", index);
        }
        busy.decide();
        busy
    }

    fn submit(&mut self, class: &str, index: usize) -> TaskKey {
        let class = self.cell.class(class).expect("declared above");
        let customer = format!("c{}", index % CUSTOMERS);
        let customer = self.cell.customer(&customer).expect("declared above");
        let cores = 1_000 + 500 * (index % 5) as u64;
        let size = Resources::new(cores, 2_048 + 1_024 * (index % 3) as u64);
        let spec = TaskSpec::new(class, customer, size, Span::from_secs(60));
        self.cell
            .submit(spec, self.now)
            .expect("the bound is above the number of tasks")
    }

    fn decide(&mut self) {
        self.cell.decide(self.now, &mut self.out);
        for decision in self.out.drain(..) {
            if let Decision::Start(place) = decision {
                self.running.push(place);
            }
        }
    }

    /// Ends one task, submits another and decides.
    fn step(&mut self, class: &str) {
        self.now += Span::from_micros(400);
        self.next = (self.next + 7_919) % self.running.len();
        let place = self.running.swap_remove(self.next);
        let end = Exit::new(Outcome::Done, Span::from_secs(60));
        self.cell.ended(place, end, self.now).expect("it runs");
        self.submit(class, self.next);
        self.decide();
    }
}

fn live_size() -> Resources {
    Resources::new(1_000, 2_048)
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("end, submit and decide");
    for machines in MACHINES {
        for class in ["live", "batch"] {
            let mut busy = Busy::new(machines);
            group.bench_function(BenchmarkId::new(class, machines), |b| {
                b.iter(|| busy.step(class));
            });
            black_box(busy.cell.tasks());
        }
    }
    group.finish();
}

fn cancels(c: &mut Criterion) {
    let mut group = c.benchmark_group("cancel");
    group.throughput(Throughput::Elements(CANCELLED as u64));
    group.sample_size(10);
    let mut busy = Busy::new(480);
    group.bench_function("wave of 100,000 waiting tasks", |b| {
        b.iter_custom(|rounds| {
            let mut total = std::time::Duration::ZERO;
            for _ in 0..rounds {
                let keys: Vec<TaskKey> = (0..CANCELLED).map(|i| busy.submit("batch", i)).collect();
                let began = std::time::Instant::now();
                let count = busy.cell.cancel_many(black_box(&keys), busy.now);
                total += began.elapsed();
                assert_eq!(count, CANCELLED);
            }
            total
        });
    });
    group.finish();
}

criterion_group!(benches, decisions, cancels);
criterion_main!(benches);
