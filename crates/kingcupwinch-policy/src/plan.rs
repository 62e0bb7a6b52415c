//! The plan: classes, customers and weights as the operators declare them.

use std::sync::Arc;

use kingcupwinch_time::Span;

use crate::refusal::Fault;
use crate::size::Size;

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
    pub(crate) fn allows(self, used: &Size, total: &Size) -> bool {
        self >= Permille::ALL || used.dominant_share(total) <= self.fraction()
    }

    pub(crate) fn fraction(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// What kind of work a class holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Live requests of a service.
    Live,
    /// Independent tasks that may wait.
    Batch,
    /// Tasks that start together.
    Gang,
}

/// What may be done to running work to take capacity back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Means {
    /// The part of the processor share that a throttled task gives back, zero if not allowed.
    pub throttle: u8,
    /// Whether it may be checkpointed and resumed.
    pub checkpoint: bool,
    /// Whether it may be stopped and run again; never used on work that isn't idempotent.
    pub stop: bool,
}

/// A limit on the rate of submissions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Submissions a second.
    pub each_second: f64,
    /// Submissions that may come at once.
    pub burst: f64,
}

/// How a class retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Retry {
    /// Retries earned by each success.
    pub ratio: f64,
    /// The largest delay of the first retry.
    pub base: Span,
    /// The largest delay of any retry.
    pub cap: Span,
    /// The most starts of one task.
    pub attempts: u32,
}

impl Default for Retry {
    fn default() -> Self {
        Retry {
            ratio: 0.1,
            base: Span::from_millis(50),
            cap: Span::from_secs(10),
            attempts: 4,
        }
    }
}

/// A class of work.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassSpec {
    /// Its name, the key over plans.
    pub name: Arc<str>,
    /// What kind of work it holds.
    pub kind: Kind,
    /// Its priority; zero is urgent.
    pub band: u8,
    /// The share of the cell that it is given first while it has work waiting.
    pub least: Permille,
    /// The share of the cell that it never exceeds.
    pub most: Permille,
    /// What may be done to its running work.
    pub means: Means,
    /// The deadline given to work that comes without one.
    pub patience: Option<Span>,
    /// The most tasks that wait.
    pub bound: usize,
    /// The limit on its submissions.
    pub rate: Option<Rate>,
    /// How it retries.
    pub retry: Retry,
    /// The size of a task that declares none, also used for credits.
    pub typical: Size,
}

impl ClassSpec {
    /// Makes a class without lids or limits.
    pub fn new(name: &str, kind: Kind, band: u8) -> Self {
        ClassSpec {
            name: Arc::from(name),
            kind,
            band,
            least: Permille::NONE,
            most: Permille::ALL,
            means: Means::default(),
            patience: None,
            bound: 10_000,
            rate: None,
            retry: Retry::default(),
            typical: Size::new(1_000, 1_024),
        }
    }

    /// Sets the shares.
    #[must_use]
    pub fn with_shares(mut self, least: Permille, most: Permille) -> Self {
        self.least = least;
        self.most = most;
        self
    }

    /// Sets what may be done to running work.
    #[must_use]
    pub fn with_means(mut self, means: Means) -> Self {
        self.means = means;
        self
    }

    /// Sets the deadline given to work that comes without one.
    #[must_use]
    pub fn with_patience(mut self, patience: Span) -> Self {
        self.patience = Some(patience);
        self
    }

    /// Sets the most tasks that wait.
    #[must_use]
    pub fn with_bound(mut self, bound: usize) -> Self {
        self.bound = bound;
        self
    }

    /// Sets the limit on submissions.
    #[must_use]
    pub fn with_rate(mut self, rate: Rate) -> Self {
        self.rate = Some(rate);
        self
    }

    /// Sets how it retries.
    #[must_use]
    pub fn with_retry(mut self, retry: Retry) -> Self {
        self.retry = retry;
        self
    }

    /// Sets the size of a typical task.
    #[must_use]
    pub fn with_typical(mut self, typical: Size) -> Self {
        self.typical = typical;
        self
    }
}

/// What a customer pays for, whether it uses it or not.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Contract {
    /// The paid share of the cell's capacity.
    pub paid: f64,
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
    pub rate: Option<Rate>,
    /// The most of its tasks that run at once.
    pub running: u32,
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
            running: u32::MAX,
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
    pub fn with_rate(mut self, rate: Rate) -> Self {
        self.rate = Some(rate);
        self
    }

    /// Sets the most tasks that run at once.
    #[must_use]
    pub fn with_running(mut self, running: u32) -> Self {
        self.running = running;
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
    pub fn urgency(&self) -> f64 {
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
    /// [`Fault::BadPlan`] with the first fault found.
    pub fn check(&self) -> Result<(), Fault> {
        let bad = |reason| Err(Fault::BadPlan(reason));
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
            .any(|c| c.least > c.most || c.most > Permille::ALL)
        {
            return bad("a class's shares must satisfy least <= most <= 1000");
        }
        if self
            .classes
            .iter()
            .map(|c| u32::from(c.least.0))
            .sum::<u32>()
            > 1000
        {
            return bad("the least shares exceed the whole cell");
        }
        if self.classes.iter().any(|c| c.means.throttle > 100) {
            return bad("a throttle must not exceed 100 percent");
        }
        if self.classes.iter().any(|c| c.typical.is_zero()) {
            return bad("a class's typical size must not be zero");
        }
        if self
            .customers
            .iter()
            .any(|c| !c.weight.is_finite() || c.weight <= 0.0)
        {
            return bad("a customer's weight must be above zero");
        }
        let paid = self.customers.iter().map(|c| c.contract.paid);
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
            .any(|r| !(0.0..=1.0).contains(&r.ratio) || r.attempts == 0)
        {
            return bad("a retry ratio is from 0 to 1 and attempts are at least 1");
        }
        Ok(())
    }
}

fn rate_is_valid(rate: Rate) -> bool {
    rate.each_second.is_finite()
        && rate.each_second > 0.0
        && rate.burst.is_finite()
        && rate.burst >= 1.0
}
