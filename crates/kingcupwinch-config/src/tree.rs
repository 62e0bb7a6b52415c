//! The typed tree of settings with its defaults.
//!
//! A published tree leaves out what equals its default, so that a record stays small and an older
//! daemon takes a tree that doesn't use newer settings. So a default never changes: another
//! default needs another setting. The golden file of the defaults holds this.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::decode::{choices, settings};
use crate::units::{Millis, Share, Weight};

settings! {
    /// Everything that operators declare.
    struct Tree {
        /// Failure domains by name.
        domains: IndexMap<Arc<str>, Domain> = IndexMap::new(),
        /// Live services by name.
        services: IndexMap<Arc<str>, Service> = IndexMap::new(),
        /// Classes of work by name.
        classes: IndexMap<Arc<str>, Class> = IndexMap::new(),
        /// Customers by name.
        customers: IndexMap<Arc<str>, Customer> = IndexMap::new(),
        /// Service-level objectives by the name of their class.
        objectives: IndexMap<Arc<str>, Objective> = IndexMap::new(),
        /// Bounds on what callers send.
        limits: Limits = Limits::default(),
        /// Lengths of time of the protocols.
        timers: Timers = Timers::default(),
        /// What a worker choice weighs.
        weights: Weights = Weights::default(),
    }
}

settings! {
    /// A failure domain and the shape of its workers.
    struct Domain requires "region" {
        /// The region; it must be set.
        region: Arc<str> = Arc::from(""),
        /// Parts that the domain's workers are split into for ownership.
        shards: u16 = 64,
        /// Workers that the domain is meant to have.
        workers: u32 = 0,
        /// Workers in one rack.
        rack_workers: u32 = 0,
        /// Work that one worker runs at once.
        slots: u32 = 0,
        /// Connections that one worker takes.
        connections: u32 = 0,
        /// Processor time of one worker, in thousandths of a core.
        millicores: u32 = 0,
        /// Memory of one worker, in MB.
        memory_mb: u32 = 0,
        /// Accelerators of one worker.
        accelerators: u32 = 0,
    }
}

settings! {
    /// A live service.
    struct Service requires "default_class" {
        /// Classes that requests may name.
        classes: Vec<Arc<str>> = Vec::new(),
        /// The class of a request that names none; it must be set.
        default_class: Arc<str> = Arc::from(""),
    }
}

choices! {
    /// What kind of work a class holds.
    enum ClassKind {
        /// Requests that a caller waits for.
        Live = "live",
        /// Tasks that may start one by one.
        Batch = "batch",
        /// Jobs whose tasks must all start together.
        Gang = "gang",
    }
}

settings! {
    /// A class of work.
    struct Class requires "kind" {
        /// The kind of work; it must be set.
        kind: ClassKind = ClassKind::Batch,
        /// The priority band; work of band 0 goes first.
        band: u8 = 5,
        /// The share of a domain's capacity that the class gets while it has work waiting.
        least: Share = Share::ZERO,
        /// The share of a domain's capacity that the class never exceeds.
        most: Share = Share::ONE,
        /// The longest wait for a start; a live class must set it.
        deadline_ms: Option<Millis> = None,
        /// Whether the work may run more than once.
        idempotent: bool = false,
        /// Whether running work may be slowed down.
        throttle: bool = false,
        /// Whether running work may be checkpointed and moved.
        checkpoint: bool = false,
        /// Whether running work may be stopped and run again.
        stop: bool = false,
        /// Requests or tasks that may wait at one instance.
        queue_most: u32 = 10_000,
        /// Requests or tasks that may start in a second at one instance.
        rate_most: Option<u32> = None,
        /// The most tasks of one gang.
        gang_most: u32 = 1,
        /// The declared size of one task.
        task: TaskSize = TaskSize::default(),
        /// How failed attempts are repeated.
        retry: RetryPolicy = RetryPolicy::default(),
    }
}

settings! {
    /// The declared size of one request or task; a hint, corrected by what is observed.
    struct TaskSize {
        /// Processor time, in thousandths of a core.
        millicores: u32 = 100,
        /// Memory, in MB.
        memory_mb: u32 = 128,
        /// Accelerators.
        accelerators: u32 = 0,
        /// The usual run time.
        run_ms: Millis = Millis::default_of(100),
    }
}

settings! {
    /// How failed attempts are repeated.
    struct RetryPolicy {
        /// Attempts in all, the first included.
        attempts: u8 = 3,
        /// Retries allowed per success.
        budget: Share = Share::default_of(0.1),
        /// The bound of the first backoff, before jitter.
        base_ms: Millis = Millis::default_of(10),
        /// The bound of every backoff, before jitter.
        cap_ms: Millis = Millis::default_of(1_000),
    }
}

settings! {
    /// A customer, such as a team.
    struct Customer {
        /// The customer's part among those with work waiting.
        weight: Weight = Weight::ONE,
        /// The share of a domain's capacity beyond which work only borrows.
        quota: Share = Share::ONE,
        /// The capacity that is paid for whether it is used or not.
        contract: Contract = Contract::default(),
    }
}

settings! {
    /// Capacity paid for in all domains together.
    struct Contract {
        /// Workers paid for.
        workers: u32 = 0,
    }
}

settings! {
    /// A service-level objective of one class.
    struct Objective {
        /// The bound on waiting.
        waiting_ms: Millis = Millis::default_of(1_000),
        /// The share of work that must start within the bound.
        waiting_target: Share = Share::default_of(0.99),
        /// The share of requests that may be refused as not run.
        not_run_most: Share = Share::default_of(0.01),
        /// The share of requests whose outcome may be unknown.
        unknown_most: Share = Share::default_of(0.001),
    }
}

settings! {
    /// Bounds on what callers send.
    struct Limits {
        /// Tasks in one job.
        job_tasks: u32 = 10_000,
    }
}

settings! {
    /// Lengths of time of the protocols.
    struct Timers {
        /// How long a worker runs a task without a renewal.
        task_lease_ms: Millis = Millis::default_of(10_000),
        /// How long a worker may be told late that a task has ended.
        usage_ms: Millis = Millis::default_of(1_000),
        /// How long an unspent grant of demand lasts.
        grant_ms: Millis = Millis::default_of(100),
        /// How long outcomes of non-idempotent requests are remembered.
        window_ms: Millis = Millis::default_of(600_000),
        /// How far the civil clocks of callers and instances may differ.
        clock_ms: Millis = Millis::default_of(500),
    }
}

settings! {
    /// What a worker choice weighs.
    struct Weights {
        /// The weight of a short wait.
        waiting: Weight = Weight::ONE,
        /// The weight of a full use of paid capacity.
        packing: Weight = Weight::ONE,
    }
}

impl Tree {
    /// Returns the tree as JSON without what equals its default, entries sorted by name.
    pub fn to_canonical_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
