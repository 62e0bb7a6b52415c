//! Typed tree of settings and their defaults.
//!
//! A published tree leaves out settings that equal their default, so that records stay small and
//! older daemons accept trees that don't use newer settings. A default must therefore never
//! change; a different default needs a new setting. A snapshot test guards the defaults.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::decode::{choices, settings};
use crate::units::{Millis, Share, Weight};

settings! {
    /// Configuration declared by operators.
    struct Tree {
        /// Failure domains by name.
        domains: IndexMap<Arc<str>, Domain> = IndexMap::new(),
        /// Live services by name.
        services: IndexMap<Arc<str>, Service> = IndexMap::new(),
        /// Work classes by name.
        classes: IndexMap<Arc<str>, Class> = IndexMap::new(),
        /// Customers by name.
        customers: IndexMap<Arc<str>, Customer> = IndexMap::new(),
        /// Service-level objectives by class name.
        objectives: IndexMap<Arc<str>, Objective> = IndexMap::new(),
        /// Limits on submitted jobs.
        limits: Limits = Limits::default(),
        /// Durations of the protocols.
        timers: Timers = Timers::default(),
        /// Weights of the worker selection.
        weights: Weights = Weights::default(),
    }
}

settings! {
    /// A failure domain and the size of its workers.
    struct Domain requires "region" {
        /// Region, required.
        region: Arc<str> = Arc::from(""),
        /// Number of shards that the domain's workers are divided into for ownership.
        shards: u16 = 64,
        /// Planned number of workers in the domain.
        workers: u32 = 0,
        /// Number of workers per rack.
        rack_workers: u32 = 0,
        /// Number of tasks or requests that a worker runs concurrently.
        slots: u32 = 0,
        /// Number of connections that a worker accepts.
        connections: u32 = 0,
        /// CPU capacity of a worker, in thousandths of a core.
        millicores: u32 = 0,
        /// Memory of a worker, in MB.
        memory_mb: u32 = 0,
        /// Number of accelerators of a worker.
        accelerators: u32 = 0,
    }
}

settings! {
    /// A service for live requests.
    struct Service requires "default_class" {
        /// Classes that requests to the service may name.
        classes: Vec<Arc<str>> = Vec::new(),
        /// Class of requests that name none, required.
        default_class: Arc<str> = Arc::from(""),
    }
}

choices! {
    /// Kind of work in a class.
    enum ClassKind {
        /// Requests with a waiting caller.
        Live = "live",
        /// Tasks that may start independently.
        Batch = "batch",
        /// Jobs whose tasks must all start at the same time.
        Gang = "gang",
    }
}

settings! {
    /// A work class.
    struct Class requires "kind" {
        /// Kind of work, required.
        kind: ClassKind = ClassKind::Batch,
        /// Priority band; band 0 has the highest priority.
        band: u8 = 5,
        /// Minimum share of a domain's capacity, guaranteed while work is waiting.
        least: Share = Share::ZERO,
        /// Maximum share of a domain's capacity.
        most: Share = Share::ONE,
        /// Maximum waiting time before a start, required for live classes.
        deadline_ms: Option<Millis> = None,
        /// Whether the work may run more than once.
        idempotent: bool = false,
        /// Whether running work may be throttled.
        throttle: bool = false,
        /// Whether running work may be checkpointed and moved.
        checkpoint: bool = false,
        /// Whether running work may be stopped and restarted.
        stop: bool = false,
        /// Maximum number of requests or tasks queued at an instance.
        queue_most: u32 = 10_000,
        /// Maximum number of requests or tasks that start per second at an instance.
        rate_most: Option<u32> = None,
        /// Maximum number of tasks in a gang.
        gang_most: u32 = 1,
        /// Declared size of a request or task.
        task: TaskSize = TaskSize::default(),
        /// Retry policy for failed attempts.
        retry: RetryPolicy = RetryPolicy::default(),
    }
}

settings! {
    /// Declared size of a request or task: an estimate that is corrected by measured usage.
    struct TaskSize {
        /// CPU, in thousandths of a core.
        millicores: u32 = 100,
        /// Memory, in MB.
        memory_mb: u32 = 128,
        /// Number of accelerators.
        accelerators: u32 = 0,
        /// Typical run time.
        run_ms: Millis = Millis::default_of(100),
    }
}

settings! {
    /// Retry policy for failed attempts.
    struct RetryPolicy {
        /// Maximum number of attempts, including the first.
        attempts: u8 = 3,
        /// Number of retries allowed per successful attempt.
        budget: Share = Share::default_of(0.1),
        /// Upper bound of the first backoff, before jitter.
        base_ms: Millis = Millis::default_of(10),
        /// Upper bound of every backoff, before jitter.
        cap_ms: Millis = Millis::default_of(1_000),
    }
}

settings! {
    /// A customer, such as a team.
    struct Customer {
        /// Weight relative to other customers with waiting work.
        weight: Weight = Weight::ONE,
        /// Share of a domain's capacity beyond which the customer only borrows capacity.
        quota: Share = Share::ONE,
        /// Capacity that is paid for whether used or not.
        contract: Contract = Contract::default(),
    }
}

settings! {
    /// Paid capacity, over all domains.
    struct Contract {
        /// Number of paid workers.
        workers: u32 = 0,
    }
}

settings! {
    /// Service-level objective of a class.
    struct Objective {
        /// Upper bound on the waiting time.
        waiting_ms: Millis = Millis::default_of(1_000),
        /// Minimum share of work that starts within `waiting_ms`.
        waiting_target: Share = Share::default_of(0.99),
        /// Maximum share of requests refused without being run.
        not_run_most: Share = Share::default_of(0.01),
        /// Maximum share of requests with an unknown outcome.
        unknown_most: Share = Share::default_of(0.001),
    }
}

settings! {
    /// Limits on submitted jobs.
    struct Limits {
        /// Maximum number of tasks in a job.
        job_tasks: u32 = 10_000,
    }
}

settings! {
    /// Durations of the protocols.
    struct Timers {
        /// Lease of a task: how long a worker runs it without a renewal.
        task_lease_ms: Millis = Millis::default_of(10_000),
        /// Long-poll wait for a worker's usage: how late the end of a task may be reported.
        usage_ms: Millis = Millis::default_of(1_000),
        /// Validity of an unused capacity grant.
        grant_ms: Millis = Millis::default_of(100),
        /// Retention of the outcomes of non-idempotent requests.
        window_ms: Millis = Millis::default_of(600_000),
        /// Maximum difference between the wall clocks of callers and instances.
        clock_ms: Millis = Millis::default_of(500),
    }
}

settings! {
    /// Weights of the worker selection.
    struct Weights {
        /// Weight of a short waiting time.
        waiting: Weight = Weight::ONE,
        /// Weight of high utilization of paid capacity.
        packing: Weight = Weight::ONE,
    }
}

impl Tree {
    /// Returns the tree as JSON, without settings that equal their default and with entries sorted
    /// by name.
    pub fn to_canonical_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
