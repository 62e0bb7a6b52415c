//! Compares two ways to share live work among the owners of a failure domain, in event time.
//!
//! Credit: a request runs at the instance that took it if that owner has room; else it waits there,
//! and owners with room grant credits to instances with work waiting. Push: a request goes at once to
//! the owner that reported the least load, and waits there. Prints a Markdown table; the same seed
//! gives the same figures.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use kingcupwinch_policy::{
    Cell, ClassKey, ClassKind, ClassSpec, Credit, CustomerSpec, Decision, Exit, MachineSpec,
    Outcome, Placement, Plan, Resources, TaskKey, TaskSpec,
};
use kingcupwinch_time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SecondaryMap;

/// Machines of each owner; the balancer spreads requests evenly.
const OWNERS: [usize; 3] = [24, 16, 8];
const SLOTS: u64 = 8;
const RUN: Span = Span::from_millis(150);
/// The latency of one message between siblings.
const LINK: Span = Span::from_micros(500);
/// The time between two demands of an instance, and the life of a credit.
const DEMAND_EVERY: Span = Span::from_millis(2);
const CREDIT_LIFE: Span = Span::from_millis(20);
/// The time between two reports of load.
const REPORT_EVERY: Span = Span::from_millis(50);
const WARM: Time = Time::from_millis(10_000);
const END: Time = Time::from_millis(70_000);
const LOADS: [u32; 5] = [50, 80, 90, 95, 99];
const SEED: u64 = 1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Credit,
    Push,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive,
    /// A request reaches an owner, under a credit if it has one.
    Reach {
        owner: usize,
        arrived: Time,
        credit: Option<Credit>,
    },
    Ended {
        owner: usize,
        place: Placement,
    },
    /// An instance's demand reaches an owner.
    Demand {
        owner: usize,
        from: usize,
        count: u32,
    },
    /// A credit reaches the instance that asked for it.
    Granted {
        from: usize,
        owner: usize,
        credit: Credit,
    },
    AskAgain {
        from: usize,
    },
    Report,
    Wake {
        owner: usize,
    },
}

struct Owner {
    cell: Cell,
    class: ClassKey,
    spec: TaskSpec,
    arrived: SecondaryMap<TaskKey, Time>,
    waiting: VecDeque<Time>,
    asking: bool,
    load: f64,
    woken: Time,
}

struct Domain {
    way: Way,
    owners: Vec<Owner>,
    events: BinaryHeap<Reverse<(Time, u64, usize)>>,
    bodies: Vec<Event>,
    now: Time,
    rate: f64,
    rng: ChaCha8Rng,
    waits: Vec<u64>,
    requests: u64,
    messages: u64,
}

impl Domain {
    fn new(way: Way, load: u32) -> Self {
        let slots: u64 = OWNERS.iter().map(|m| *m as u64 * SLOTS).sum();
        let rate = slots as f64 / RUN.as_secs_f64() * f64::from(load) / 100.0;
        let mut domain = Domain {
            way,
            owners: OWNERS.into_iter().map(owner).collect(),
            events: BinaryHeap::new(),
            bodies: Vec::new(),
            now: Time::ZERO,
            rate,
            rng: ChaCha8Rng::seed_from_u64(SEED),
            waits: Vec::new(),
            requests: 0,
            messages: 0,
        };
        domain.push(Span::ZERO, Event::Arrive);
        domain.push(Span::ZERO, Event::Report);
        domain
    }

    fn push(&mut self, after: Span, event: Event) {
        let index = self.bodies.len();
        self.bodies.push(event);
        self.events
            .push(Reverse((self.now + after, index as u64, index)));
    }

    fn send(&mut self, event: Event) {
        self.messages += 1;
        self.push(LINK, event);
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((time, _, index))) = self.events.pop() {
            if time > END {
                break;
            }
            self.now = time;
            self.handle(self.bodies[index]);
        }
        self.waits.sort_unstable();
        self
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach {
                owner,
                arrived,
                credit,
            } => self.reach(owner, arrived, credit),
            Event::Ended { owner, place } => {
                let end = Exit::new(Outcome::Done, RUN);
                let ended = self.owners[owner].cell.ended(place, end, self.now);
                ended.expect("it runs");
                self.serve_waiting(owner);
                self.decide(owner);
            }
            Event::Demand { owner, from, count } => self.grant(owner, from, count),
            Event::Granted {
                from,
                owner,
                credit,
            } => self.use_credit(from, owner, credit),
            Event::AskAgain { from } => {
                self.owners[from].asking = false;
                self.ask(from);
            }
            Event::Report => self.report(),
            Event::Wake { owner } => self.decide(owner),
        }
    }

    fn arrive(&mut self) {
        let wait = -(1.0 - self.rng.random::<f64>()).ln() / self.rate;
        self.push(Span::from_micros((wait * 1e6) as u64), Event::Arrive);
        let taker = self.rng.random_range(0..self.owners.len());
        self.requests += 1;
        match self.way {
            Way::Credit => {
                self.owners[taker].waiting.push_back(self.now);
                self.serve_waiting(taker);
                self.decide(taker);
                self.ask(taker);
            }
            Way::Push => {
                let loads = self.owners.iter().map(|o| o.load);
                let least = loads.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
                let owner = least.map_or(taker, |(i, _)| i);
                let (arrived, credit) = (self.now, None);
                if owner == taker {
                    self.reach(owner, arrived, credit);
                } else {
                    self.send(Event::Reach {
                        owner,
                        arrived,
                        credit,
                    });
                }
            }
        }
    }

    /// Starts what waits at an instance on its own machines, as far as they have room.
    fn serve_waiting(&mut self, index: usize) {
        let owner = &mut self.owners[index];
        while owner.cell.available_places(owner.class) > 0 {
            let Some(arrived) = owner.waiting.pop_front() else {
                return;
            };
            let task = owner
                .cell
                .submit(owner.spec, self.now)
                .expect("it is admitted");
            owner.arrived.insert(task, arrived);
        }
    }

    fn reach(&mut self, index: usize, arrived: Time, credit: Option<Credit>) {
        let owner = &mut self.owners[index];
        let task = match credit {
            Some(credit) => owner
                .cell
                .submit_with_credit(credit.key, owner.spec, self.now),
            None => owner.cell.submit(owner.spec, self.now),
        };
        owner.arrived.insert(task.expect("it is admitted"), arrived);
        self.decide(index);
    }

    fn decide(&mut self, index: usize) {
        let mut out = Vec::new();
        let owner = &mut self.owners[index];
        owner.cell.decide(self.now, &mut out);
        for decision in out {
            let Decision::Start(place) = decision else {
                continue;
            };
            let arrived = self.owners[index].arrived[place.task];
            if arrived >= WARM {
                self.waits.push(self.now.since(arrived).as_micros());
            }
            let rest = -(1.0 - self.rng.random::<f64>()).ln();
            let run = (RUN.as_micros() as f64 * (0.25 + 0.75 * rest)) as u64;
            self.push(
                Span::from_micros(run),
                Event::Ended {
                    owner: index,
                    place,
                },
            );
        }
        let owner = &mut self.owners[index];
        let next = owner.cell.next_deadline();
        if let Some(next) = next.filter(|t| *t > owner.woken) {
            owner.woken = next;
            self.push(next - self.now, Event::Wake { owner: index });
        }
    }

    /// Tells the other owners how much waits at an instance, and again while something does.
    fn ask(&mut self, from: usize) {
        let waiting = self.owners[from].waiting.len() as u32;
        if waiting == 0 || self.owners[from].asking {
            return;
        }
        self.owners[from].asking = true;
        for owner in (0..self.owners.len()).filter(|o| *o != from) {
            self.send(Event::Demand {
                owner,
                from,
                count: waiting,
            });
        }
        self.push(DEMAND_EVERY, Event::AskAgain { from });
    }

    fn grant(&mut self, index: usize, from: usize, count: u32) {
        let owner = &mut self.owners[index];
        let deadline = self.now + CREDIT_LIFE;
        let credit = owner.cell.grant(owner.class, count, deadline, self.now);
        if let Some(credit) = credit.expect("the class is known") {
            self.send(Event::Granted {
                from,
                owner: index,
                credit,
            });
        }
        self.decide(index);
    }

    fn use_credit(&mut self, from: usize, owner: usize, credit: Credit) {
        for _ in 0..credit.count {
            let Some(arrived) = self.owners[from].waiting.pop_front() else {
                return;
            };
            let credit = Some(credit);
            self.send(Event::Reach {
                owner,
                arrived,
                credit,
            });
        }
    }

    fn report(&mut self) {
        for owner in &mut self.owners {
            let busy =
                f64::from(owner.cell.running(owner.class)) + owner.cell.queued(owner.class) as f64;
            let slots = owner
                .cell
                .capacity()
                .get(kingcupwinch_policy::Dimension::Slots);
            owner.load = busy / slots as f64;
        }
        if self.way == Way::Push {
            let count = self.owners.len() as u64;
            self.messages += count * (count - 1);
        }
        self.push(REPORT_EVERY, Event::Report);
    }
}

fn owner(machines: usize) -> Owner {
    let size = Resources::new(1_000, 1_024).with_connections(1);
    let class = ClassSpec::new("check", ClassKind::Live, 0)
        .with_typical_size(size)
        .with_max_queued(1_000_000);
    let plan = Plan::new()
        .with_class(class)
        .with_customer(CustomerSpec::new("all", 1.0));
    let mut cell = Cell::new(plan, SEED).expect("the plan is valid");
    for index in 0..machines {
        let capacity = Resources::new(16_000, 65_536)
            .with_slots(SLOTS)
            .with_connections(64);
        let spec = MachineSpec::new(&format!("m{index}"), "harju-a", "r", capacity);
        cell.add_machine(spec, Time::ZERO)
            .expect("the machine is valid");
    }
    let class = cell.class("check").expect("declared above");
    let customer = cell.customer("all").expect("declared above");
    Owner {
        class,
        spec: TaskSpec::new(class, customer, size, RUN),
        cell,
        arrived: SecondaryMap::new(),
        waiting: VecDeque::new(),
        asking: false,
        load: 0.0,
        woken: Time::ZERO,
    }
}

fn main() {
    println!(
        "| load % | way | wait p50 ms | wait p99 ms | wait max ms | messages for each request |"
    );
    println!("|---|---|---|---|---|---|");
    for load in LOADS {
        for way in [Way::Credit, Way::Push] {
            let domain = Domain::new(way, load).run();
            let wait = |part: f64| {
                let last = domain.waits.len().saturating_sub(1);
                let index = ((domain.waits.len() as f64 * part) as usize).min(last);
                domain.waits.get(index).copied().unwrap_or(0) as f64 / 1000.0
            };
            let messages = domain.messages as f64 / domain.requests as f64;
            println!(
                "| {load} | {way:?} | {:.1} | {:.1} | {:.1} | {messages:.2} |",
                wait(0.5),
                wait(0.99),
                wait(1.0),
            );
        }
    }
}
