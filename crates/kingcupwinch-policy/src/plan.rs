//! The plan: classes, customers and weights as the operators declare them.

use std::sync::Arc;

use kingcupwinch_time::Span;

use crate::refusal::CellError;
use crate::resources::Resources;

/// The most classes, customers or racks that a cell tracks.
pub const MAX_ENTRIES: usize = 4096;

/// The most that the paid shares may sum to, with room for rounding.
const PAID_LIMIT: f64 = 1.0 + 1e-6;

/// A fraction in thousandths, from 0 to 1000.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Permille(pub u16);

impl Permille {
    /// The whole.
    pub const ALL: Permille = Permille(1000);
    /// Nothing.
    pub const NONE: Permille = Permille(0);

    /// Whether `used` of `total` stays within this lid; the whole is no lid.
    pub(crate) fn allows(self, used: &Resources, total: &Resources) -> bool {
        self >= Permille::ALL || used.dominant_share(total) <= self.fraction()
    }

    pub(crate) fn fraction(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// What kind of work a class holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClassKind {
    /// Live requests of a service.
    Live,
    /// Independent tasks that may wait.
    Batch,
    /// Tasks that start together.
    Gang,
}

/// What may be done to running work to take capacity back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Preemption {
    /// The part of the processor share that a throttled task gives back, zero if not allowed.
    pub throttle: u8,
    /// Whether it may be checkpointed and resumed.
    pub checkpoint: bool,
    /// Whether it may be stopped and run again; never used on work that isn't idempotent.
    pub stop: bool,
}

/// A limit on the rate of submissions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Submissions a second.
    pub per_second: f64,
    /// Submissions that may come at once.
    pub burst: f64,
}

/// How a class retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// Retries earned by each success.
    pub budget_ratio: f64,
    /// The largest delay of the first retry.
    pub base_delay: Span,
    /// The largest delay of any retry.
    pub max_delay: Span,
    /// The most starts of one task.
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

/// A class of work.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassSpec {
    /// Its name, the key over plans.
    pub name: Arc<str>,
    /// What kind of work it holds.
    pub kind: ClassKind,
    /// Its priority; zero is urgent.
    pub band: u8,
    /// The share of the cell that it is given first while it has work waiting.
    pub min_share: Permille,
    /// The share of the cell that it never exceeds.
    pub max_share: Permille,
    /// What may be done to its running work.
    pub preemption: Preemption,
    /// The deadline given to work that comes without one.
    pub default_timeout: Option<Span>,
    /// The most tasks that wait.
    pub max_queued: usize,
    /// The limit on its submissions.
    pub rate: Option<RateLimit>,
    /// How it retries.
    pub retry: RetryPolicy,
    /// The size of a task that declares none, also used for credits.
    pub typical_size: Resources,
}

impl ClassSpec {
    /// Makes a class without lids or limits.
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

    /// Sets the shares.
    #[must_use]
    pub fn with_shares(mut self, min_share: Permille, max_share: Permille) -> Self {
        self.min_share = min_share;
        self.max_share = max_share;
        self
    }

    /// Sets what may be done to running work.
    #[must_use]
    pub fn with_preemption(mut self, preemption: Preemption) -> Self {
        self.preemption = preemption;
        self
    }

    /// Sets the deadline given to work that comes without one.
    #[must_use]
    pub fn with_default_timeout(mut self, default_timeout: Span) -> Self {
        self.default_timeout = Some(default_timeout);
        self
    }

    /// Sets the most tasks that wait.
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

    /// Sets how it retries.
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

/// What a customer pays for, whether it uses it or not.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Contract {
    /// The paid share of the cell's capacity.
    pub paid_share: f64,
}

/// A customer (a team) and its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerSpec {
    /// Its name, the key over plans.
    pub name: Arc<str>,
    /// Its weight among customers with work waiting.
    pub weight: f64,
    /// The share of the cell that it never exceeds.
    pub quota: Permille,
    /// What it has paid for.
    pub contract: Contract,
    /// The limit on its submissions.
    pub rate: Option<RateLimit>,
    /// The most of its tasks that run at once.
    pub max_running: u32,
}

impl CustomerSpec {
    /// Makes a customer without lids or limits.
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

    /// Sets the hard share.
    #[must_use]
    pub fn with_quota(mut self, quota: Permille) -> Self {
        self.quota = quota;
        self
    }

    /// Sets what it has paid for.
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

    /// Sets the most tasks that run at once.
    #[must_use]
    pub fn with_max_running(mut self, max_running: u32) -> Self {
        self.max_running = max_running;
        self
    }
}

/// What the operators weigh against each other; only the ratio counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// The weight of short waiting.
    pub waiting: f64,
    /// The weight of full machines.
    pub packing: f64,
}

impl Weights {
    /// Returns the part of the whole that waiting has, from 0 to 1.
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

/// Everything that the operators declare for one cell.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// The classes.
    pub classes: Vec<ClassSpec>,
    /// The customers.
    pub customers: Vec<CustomerSpec>,
    /// Waiting against packing.
    pub weights: Weights,
}

impl Plan {
    /// Makes an empty plan.
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

    /// Checks every value.
    ///
    /// # Errors
    ///
    /// [`CellError::BadPlan`] with the first fault found.
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
            return bad("a class's shares must satisfy least <= most <= 1000");
        }
        if self
            .classes
            .iter()
            .map(|c| u32::from(c.min_share.0))
            .sum::<u32>()
            > 1000
        {
            return bad("the least shares exceed the whole cell");
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
            return bad("a retry ratio is from 0 to 1 and attempts are at least 1");
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
