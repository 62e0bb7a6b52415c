//! The users' sites: machines and streams of work.

use kingcupwinch_policy::{
    ClassKind, ClassSpec, CustomerSpec, Permille, Plan, Preemption, Resources, Weights,
};
use kingcupwinch_time::Span;

/// One stream of arrivals.
#[derive(Debug, Clone)]
pub(crate) struct Stream {
    /// Its class.
    pub(crate) class: ClassSpec,
    /// Its part of the offered load, by dominant share.
    pub(crate) part: f64,
    /// The true size of a task.
    pub(crate) size: Resources,
    /// The mean true run on a machine of speed 1.
    pub(crate) run: Span,
    /// Tasks that start together.
    pub(crate) gang: u32,
    /// Whether tasks may run more than once.
    pub(crate) idempotent: bool,
}

impl Stream {
    fn new(class: ClassSpec, part: f64, size: Resources, run: Span) -> Self {
        Stream {
            class: class.with_typical_size(size),
            part,
            size,
            run,
            gang: 1,
            idempotent: true,
        }
    }

    fn with_gang(mut self, gang: u32) -> Self {
        self.gang = gang;
        self
    }

    fn with_idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Whether it is urgent live work.
    pub(crate) fn is_urgent(&self) -> bool {
        self.class.kind == ClassKind::Live && self.class.band == 0
    }
}

/// A site: equal machines and streams.
#[derive(Debug, Clone)]
pub(crate) struct Site {
    pub(crate) name: &'static str,
    pub(crate) zones: usize,
    pub(crate) machines: usize,
    pub(crate) rack: usize,
    pub(crate) capacity: Resources,
    /// One machine in this many has accelerators.
    pub(crate) accelerated: Option<usize>,
    pub(crate) customers: usize,
    pub(crate) weights: Weights,
    pub(crate) streams: Vec<Stream>,
}

/// What heavy batch work allows.
const YIELDS: Preemption = Preemption {
    throttle: 50,
    checkpoint: true,
    stop: true,
};
/// What light batch work allows.
const STOPS: Preemption = Preemption {
    throttle: 0,
    checkpoint: false,
    stop: true,
};
const ACCELERATORS: u64 = 7;

impl Site {
    /// Riigi: waiting first.
    pub(crate) fn riigi() -> Self {
        let check =
            ClassSpec::new("check", ClassKind::Live, 0).with_default_timeout(Span::from_secs(3));
        let manifest = ClassSpec::new("manifest", ClassKind::Batch, 1)
            .with_shares(Permille(100), Permille::ALL)
            .with_preemption(STOPS);
        let plan = ClassSpec::new("plan", ClassKind::Batch, 1)
            .with_shares(Permille(200), Permille::ALL)
            .with_preemption(YIELDS);
        let tour = ClassSpec::new("tour", ClassKind::Gang, 1);
        let live = Resources::new(1_000, 1_024).with_connections(1);
        Site {
            name: "riigi",
            zones: 3,
            machines: 48,
            rack: 8,
            capacity: Resources::new(16_000, 65_536)
                .with_slots(8)
                .with_connections(64),
            accelerated: None,
            customers: 8,
            weights: Weights {
                waiting: 3.0,
                packing: 1.0,
            },
            streams: vec![
                Stream::new(check, 0.20, live, Span::from_millis(150)),
                Stream::new(
                    manifest,
                    0.25,
                    Resources::new(1_500, 4_096),
                    Span::from_secs(4),
                ),
                Stream::new(
                    plan,
                    0.40,
                    Resources::new(4_000, 12_288),
                    Span::from_secs(25),
                ),
                Stream::new(
                    tour,
                    0.15,
                    Resources::new(2_000, 6_144),
                    Span::from_secs(10),
                )
                .with_gang(12),
            ],
        }
    }

    /// Magnolia: packing first.
    pub(crate) fn magnolia() -> Self {
        let booking =
            ClassSpec::new("booking", ClassKind::Live, 0).with_default_timeout(Span::from_secs(5));
        let repair =
            ClassSpec::new("repair", ClassKind::Batch, 1).with_shares(Permille(100), Permille::ALL);
        let render = ClassSpec::new("render", ClassKind::Batch, 1)
            .with_shares(Permille(200), Permille::ALL)
            .with_preemption(YIELDS);
        let calendar = ClassSpec::new("calendar", ClassKind::Gang, 1);
        let live = Resources::new(2_000, 2_048).with_connections(1);
        Site {
            name: "magnolia",
            zones: 4,
            machines: 48,
            rack: 6,
            capacity: Resources::new(64_000, 131_072)
                .with_slots(8)
                .with_connections(64),
            accelerated: None,
            customers: 12,
            weights: Weights {
                waiting: 1.0,
                packing: 4.0,
            },
            streams: vec![
                Stream::new(booking, 0.08, live, Span::from_millis(200)),
                Stream::new(
                    repair,
                    0.22,
                    Resources::new(6_000, 12_288),
                    Span::from_secs(8),
                )
                .with_idempotent(false),
                Stream::new(
                    render,
                    0.50,
                    Resources::new(16_000, 30_720),
                    Span::from_secs(40),
                ),
                Stream::new(
                    calendar,
                    0.20,
                    Resources::new(8_000, 16_384),
                    Span::from_secs(15),
                )
                .with_gang(16),
            ],
        }
    }

    /// The size to design for.
    pub(crate) fn full() -> Self {
        let check =
            ClassSpec::new("check", ClassKind::Live, 0).with_default_timeout(Span::from_secs(3));
        let service = ClassSpec::new("service", ClassKind::Batch, 1)
            .with_max_queued(400_000)
            .with_shares(Permille(200), Permille::ALL);
        let batch = ClassSpec::new("batch", ClassKind::Batch, 2)
            .with_max_queued(400_000)
            .with_shares(Permille(200), Permille::ALL)
            .with_preemption(YIELDS);
        let train = ClassSpec::new("train", ClassKind::Gang, 2);
        let live = Resources::new(500, 512).with_connections(1);
        let accelerated = Resources::new(2_000, 5_120).with_accelerators(1);
        Site {
            name: "full",
            zones: 7,
            machines: 12_000,
            rack: 8,
            capacity: Resources::new(64_000, 131_072)
                .with_slots(32)
                .with_connections(256),
            accelerated: Some(4),
            customers: 43,
            weights: Weights::default(),
            streams: vec![
                Stream::new(check, 0.02, live, Span::from_secs(2)),
                Stream::new(
                    service,
                    0.20,
                    Resources::new(2_000, 5_632),
                    Span::from_secs(3_600),
                ),
                Stream::new(
                    batch,
                    0.68,
                    Resources::new(2_000, 5_632),
                    Span::from_secs(100),
                ),
                Stream::new(train, 0.02, accelerated, Span::from_secs(120)).with_gang(64),
            ],
        }
    }

    /// Returns the plan that the site's operators declare.
    pub(crate) fn plan(&self) -> Plan {
        let mut plan = Plan::new().with_weights(self.weights);
        for stream in &self.streams {
            plan = plan.with_class(stream.class.clone());
        }
        for customer in 0..self.customers {
            let weight = 1.0 + (customer % 3) as f64;
            plan = plan.with_customer(CustomerSpec::new(&format!("c{customer}"), weight));
        }
        plan
    }

    /// Returns the capacity of one machine.
    pub(crate) fn capacity_of(&self, machine: usize) -> Resources {
        match self.accelerated {
            Some(every) if machine.is_multiple_of(every) => {
                self.capacity.with_accelerators(ACCELERATORS)
            }
            _ => self.capacity,
        }
    }
}
