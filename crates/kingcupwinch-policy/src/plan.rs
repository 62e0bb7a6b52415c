//! The plan: classes, customers and weights as declared by the operators.

use std::sync::Arc;

use kingcupwinch_time::Span;

use crate::refusal::CellError;
use crate::resources::Resources;

/// Maximum number of classes or of customers in a plan.
pub const MAX_ENTRIES: usize = 4096;

/// Maximum sum of the paid shares, with a margin for rounding.
const PAID_LIMIT: f64 = 1.0 + 1e-6;

/// A fraction in thousandths, from 0 to 1000.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Permille(pub u16);

impl Permille {
    /// The fraction 1.
    pub const ALL: Permille = Permille(1000);
    /// The fraction 0.
    pub const NONE: Permille = Permille(0);

    /// Returns whether `used` of `total` stays within this limit. The fraction 1 means no limit.
    pub(crate) fn allows(self, used: &Resources, total: &Resources) -> bool {
        self >= Permille::ALL || used.dominant_share(total) <= self.fraction()
    }

    pub(crate) fn fraction(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// The kind of work in a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClassKind {
    /// Live requests of a service.
    Live,
    /// Independent tasks that can wait.
    Batch,
    /// Gangs of tasks that start together.
    Gang,
}

/// Preemption methods that are allowed for running tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Preemption {
    /// The percentage of its processor share that a throttled task gives back; zero if throttling
    /// is not allowed.
    pub throttle: u8,
    /// Whether a task may be checkpointed and resumed.
    pub checkpoint: bool,
    /// Whether a task may be stopped and run again. Tasks that are not idempotent are never
    /// stopped.
    pub stop: bool,
}

/// A limit on the rate of submissions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Submissions per second.
    pub per_second: f64,
    /// Maximum number of submissions at once.
    pub burst: f64,
}

/// Retry budget and backoff of a class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// Retries added to the budget by each successful task.
    pub budget_ratio: f64,
    /// Maximum delay before the first retry.
    pub base_delay: Span,
    /// Maximum delay before any retry.
    pub max_delay: Span,
    /// Maximum number of starts of a live task, or of failed runs of another task.
    pub max_attempts: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        RetryPolicy {
            budget_ratio: 0.1,
            base_delay: Span::from_millis(50),
            max_delay: Span::from_secs(10),
            max_attempts: 4,
        }
    }
}

/// Specification of a class of work.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassSpec {
    /// The name, which identifies it across plans.
    pub name: Arc<str>,
    /// The kind of work.
    pub kind: ClassKind,
    /// The priority band; 0 is the most urgent.
    pub band: u8,
    /// The share of the cell that the class receives before all others while it has tasks waiting.
    pub min_share: Permille,
    /// The share of the cell that is never exceeded.
    pub max_share: Permille,
    /// Preemption methods that are allowed for its running tasks.
    pub preemption: Preemption,
    /// The time from submission to the deadline of a task that has no deadline of its own.
    pub default_timeout: Option<Span>,
    /// Maximum number of waiting tasks; a gang counts as one.
    pub max_queued: usize,
    /// The limit on submissions.
    pub rate: Option<RateLimit>,
    /// The retry policy.
    pub retry: RetryPolicy,
    /// The size of a task that declares none; also used for headroom and credits.
    pub typical_size: Resources,
}

impl ClassSpec {
    /// Creates a class without limits on its share or rate.
    pub fn new(name: &str, kind: ClassKind, band: u8) -> Self {
        ClassSpec {
            name: Arc::from(name),
            kind,
            band,
            min_share: Permille::NONE,
            max_share: Permille::ALL,
            preemption: Preemption::default(),
            default_timeout: None,
            max_queued: 10_000,
            rate: None,
            retry: RetryPolicy::default(),
            typical_size: Resources::new(1_000, 1_024),
        }
    }

    /// Sets the minimum and maximum share.
    #[must_use]
    pub fn with_shares(mut self, min_share: Permille, max_share: Permille) -> Self {
        self.min_share = min_share;
        self.max_share = max_share;
        self
    }

    /// Sets the allowed preemption methods.
    #[must_use]
    pub fn with_preemption(mut self, preemption: Preemption) -> Self {
        self.preemption = preemption;
        self
    }

    /// Sets the time from submission to the deadline of a task that has no deadline of its own.
    #[must_use]
    pub fn with_default_timeout(mut self, default_timeout: Span) -> Self {
        self.default_timeout = Some(default_timeout);
        self
    }

    /// Sets the maximum number of waiting tasks.
    #[must_use]
    pub fn with_max_queued(mut self, max_queued: usize) -> Self {
        self.max_queued = max_queued;
        self
    }

    /// Sets the limit on submissions.
    #[must_use]
    pub fn with_rate(mut self, rate: RateLimit) -> Self {
        self.rate = Some(rate);
        self
    }

    /// Sets the retry policy.
    #[must_use]
    pub fn with_retry(mut self, retry: RetryPolicy) -> Self {
        self.retry = retry;
        self
    }

    /// Sets the size of a typical task.
    #[must_use]
    pub fn with_typical_size(mut self, typical_size: Resources) -> Self {
        self.typical_size = typical_size;
        self
    }
}

/// What a customer pays for, whether used or not.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Contract {
    /// The paid share of the capacity of the cell, from 0 to 1.
    pub paid_share: f64,
}

/// Specification of a customer and its limits.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerSpec {
    /// The name, which identifies it across plans.
    pub name: Arc<str>,
    /// The weight of its share among customers with waiting tasks.
    pub weight: f64,
    /// The share of the cell that is never exceeded.
    pub quota: Permille,
    /// The contract.
    pub contract: Contract,
    /// The limit on submissions.
    pub rate: Option<RateLimit>,
    /// Maximum number of its tasks that run at the same time.
    pub max_running: u32,
}

impl CustomerSpec {
    /// Creates a customer without limits.
    pub fn new(name: &str, weight: f64) -> Self {
        CustomerSpec {
            name: Arc::from(name),
            weight,
            quota: Permille::ALL,
            contract: Contract::default(),
            rate: None,
            max_running: u32::MAX,
        }
    }

    /// Sets the share that is never exceeded.
    #[must_use]
    pub fn with_quota(mut self, quota: Permille) -> Self {
        self.quota = quota;
        self
    }

    /// Sets the contract.
    #[must_use]
    pub fn with_contract(mut self, contract: Contract) -> Self {
        self.contract = contract;
        self
    }

    /// Sets the limit on submissions.
    #[must_use]
    pub fn with_rate(mut self, rate: RateLimit) -> Self {
        self.rate = Some(rate);
        self
    }

    /// Sets the maximum number of tasks that run at the same time.
    #[must_use]
    pub fn with_max_running(mut self, max_running: u32) -> Self {
        self.max_running = max_running;
        self
    }
}

/// Weights of conflicting goals; only their ratio matters.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// Weight of a short waiting time.
    pub waiting: f64,
    /// Weight of well-filled machines.
    pub packing: f64,
}

impl Weights {
    /// Returns the weight of waiting divided by the sum of the weights.
    pub fn waiting_fraction(&self) -> f64 {
        self.waiting / (self.waiting + self.packing)
    }
}

impl Default for Weights {
    fn default() -> Self {
        Weights {
            waiting: 1.0,
            packing: 1.0,
        }
    }
}

/// Operator configuration of one cell.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// The classes.
    pub classes: Vec<ClassSpec>,
    /// The customers.
    pub customers: Vec<CustomerSpec>,
    /// The weights of waiting time and packing.
    pub weights: Weights,
}

impl Plan {
    /// Creates an empty plan.
    pub fn new() -> Self {
        Plan::default()
    }

    /// Adds a class.
    #[must_use]
    pub fn with_class(mut self, class: ClassSpec) -> Self {
        self.classes.push(class);
        self
    }

    /// Adds a customer.
    #[must_use]
    pub fn with_customer(mut self, customer: CustomerSpec) -> Self {
        self.customers.push(customer);
        self
    }

    /// Sets the weights.
    #[must_use]
    pub fn with_weights(mut self, weights: Weights) -> Self {
        self.weights = weights;
        self
    }

    /// Validates every value.
    ///
    /// # Errors
    ///
    /// [`CellError::BadPlan`] with the first problem found.
    pub fn check(&self) -> Result<(), CellError> {
        let bad = |reason| Err(CellError::BadPlan(reason));
        if self.classes.len() > MAX_ENTRIES || self.customers.len() > MAX_ENTRIES {
            return bad("too many classes or customers");
        }
        let weights = [self.weights.waiting, self.weights.packing];
        if weights.iter().any(|w| !w.is_finite() || *w < 0.0)
            || self.weights.waiting + self.weights.packing <= 0.0
        {
            return bad("weights must not be negative, and not both zero");
        }
        if self
            .classes
            .iter()
            .any(|c| c.min_share > c.max_share || c.max_share > Permille::ALL)
        {
            return bad("a class's shares must satisfy minimum <= maximum <= 1000");
        }
        if self
            .classes
            .iter()
            .map(|c| u32::from(c.min_share.0))
            .sum::<u32>()
            > 1000
        {
            return bad("the minimum shares exceed the whole cell in sum");
        }
        if self.classes.iter().any(|c| c.preemption.throttle > 100) {
            return bad("a throttle must not exceed 100 percent");
        }
        if self.classes.iter().any(|c| c.typical_size.is_zero()) {
            return bad("a class's typical size must not be zero");
        }
        if self
            .customers
            .iter()
            .any(|c| !c.weight.is_finite() || c.weight <= 0.0)
        {
            return bad("a customer's weight must be above zero");
        }
        let paid = self.customers.iter().map(|c| c.contract.paid_share);
        if paid.clone().any(|p| !(0.0..=1.0).contains(&p)) || paid.sum::<f64>() > PAID_LIMIT {
            return bad("the paid shares must not be negative nor exceed the whole cell");
        }
        let class_rates = self.classes.iter().filter_map(|c| c.rate);
        let customer_rates = self.customers.iter().filter_map(|c| c.rate);
        if class_rates.chain(customer_rates).any(|r| !rate_is_valid(r)) {
            return bad("a rate and its burst must be above zero");
        }
        let retries = self.classes.iter().map(|c| c.retry);
        if retries
            .into_iter()
            .any(|r| !(0.0..=1.0).contains(&r.budget_ratio) || r.max_attempts == 0)
        {
            return bad(
                "a retry budget ratio must be from 0 to 1, and the maximum number of attempts at least 1",
            );
        }
        Ok(())
    }
}

fn rate_is_valid(rate: RateLimit) -> bool {
    rate.per_second.is_finite()
        && rate.per_second > 0.0
        && rate.burst.is_finite()
        && rate.burst >= 1.0
}
