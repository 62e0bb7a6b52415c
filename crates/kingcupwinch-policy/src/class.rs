//! Runtime state of classes and customers.

use kingcupwinch_time::{Span, Time};

use crate::counters::ClassCounters;
use crate::decision::TaskSpec;
use crate::estimate::Estimates;
use crate::headroom::Forecast;
use crate::limit::{DrainRate, TokenBucket};
use crate::plan::{ClassKind, ClassSpec, CustomerSpec};
use crate::queue::Queue;
use crate::resources::Resources;
use crate::retry::Budget;

/// A class is served first up to this multiple of its minimum share, so that its mean share over a
/// minute does not fall below the minimum.
const MIN_SHARE_MARGIN: f64 = 1.1;
/// A class whose mean share is below this multiple of its minimum share counts as starved and may
/// use the capacity reserved for others.
const STARVED_MARGIN: f64 = 1.05;
/// Mean share assumed for a class with an empty queue.
const FULL_SHARE: f64 = 1.0;
/// Time constant of the exponential moving average of the share.
const SHARE_TIME_CONSTANT: Span = Span::from_secs(10);

/// Marks a queue from which no task could be placed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BlockedQueue {
    /// The fleet's release counter when the queue was last tried.
    pub(crate) releases: u64,
    /// The smallest request that was tried, per dimension.
    pub(crate) min_need: Resources,
}

/// A class, its queue and its current usage.
#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) spec: ClassSpec,
    /// Whether the current plan contains it.
    pub(crate) in_plan: bool,
    pub(crate) queue: Queue,
    pub(crate) used: Resources,
    pub(crate) running: u32,
    pub(crate) bucket: Option<TokenBucket>,
    pub(crate) budget: Budget,
    pub(crate) drain_rate: DrainRate,
    pub(crate) estimates: Estimates,
    pub(crate) forecast: Forecast,
    pub(crate) counters: ClassCounters,
    /// Set while no task of the queue can be placed.
    pub(crate) blocked: Option<BlockedQueue>,
    /// Count of the shapes of machines for which tasks were parked.
    pub(crate) shapes: u64,
    /// Until this time the class does not reclaim capacity from others.
    pub(crate) cooldown: Time,
    /// Moving average of the dominant share while tasks wait.
    mean_share: f64,
    /// When the mean share was last updated.
    updated: Time,
    /// When the queue is tried again even if no capacity was released.
    pub(crate) wakeup: Option<Time>,
}

impl Class {
    pub(crate) fn new(spec: ClassSpec, now: Time) -> Self {
        Class {
            bucket: spec.rate.map(|r| TokenBucket::new(r, now)),
            spec,
            in_plan: true,
            queue: Queue::default(),
            used: Resources::ZERO,
            running: 0,
            budget: Budget::default(),
            drain_rate: DrainRate::default(),
            estimates: Estimates::default(),
            forecast: Forecast::default(),
            counters: ClassCounters::new(),
            blocked: None,
            shapes: 0,
            cooldown: Time::ZERO,
            mean_share: FULL_SHARE,
            updated: now,
            wakeup: None,
        }
    }

    /// Applies a new specification.
    pub(crate) fn update_spec(&mut self, spec: ClassSpec, now: Time) {
        update_bucket(&mut self.bucket, spec.rate, now);
        self.spec = spec;
        self.in_plan = true;
        self.blocked = None;
    }

    /// Marks the queue as worth trying again if the class is urgent or `need` is smaller than what
    /// was tried.
    pub(crate) fn unblock(&mut self, need: &Resources) {
        let smaller = self.blocked.is_some_and(|b| !b.min_need.fits(need));
        if smaller || self.is_urgent() {
            self.blocked = None;
        }
    }

    /// Schedules another try of the queue at `time` at the latest, even if no capacity is released.
    pub(crate) fn wake_at(&mut self, time: Time) {
        self.wakeup = Some(self.wakeup.map_or(time, |w| w.min(time)));
    }

    /// Returns whether no capacity was released since the queue was last tried without success.
    pub(crate) fn is_blocked(&self, releases: u64) -> bool {
        self.blocked.is_some_and(|b| b.releases == releases)
    }

    /// Returns whether the class holds live tasks of band 0.
    pub(crate) fn is_urgent(&self) -> bool {
        self.spec.band == 0 && self.spec.kind == ClassKind::Live
    }

    /// Returns the dominant share of the cell that the class uses.
    pub(crate) fn share(&self, capacity: &Resources) -> f64 {
        self.used.dominant_share(capacity)
    }

    /// Returns whether the class is below its minimum share plus a margin.
    pub(crate) fn is_below_min_share(&self, capacity: &Resources) -> bool {
        let target = self.spec.min_share.fraction() * MIN_SHARE_MARGIN;
        self.spec.min_share.0 > 0 && self.share(capacity) < target
    }

    /// Updates the moving average of the share. A class with an empty queue counts as fully served.
    pub(crate) fn update_share(&mut self, capacity: &Resources, now: Time) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        if self.queue.is_empty() {
            self.mean_share = FULL_SHARE;
            return;
        }
        let weight = (elapsed / SHARE_TIME_CONSTANT.as_secs_f64()).min(1.0);
        self.mean_share += weight * (self.share(capacity) - self.mean_share);
    }

    /// Returns whether the mean share of the class is below its minimum share plus a margin.
    pub(crate) fn is_starved(&self) -> bool {
        self.spec.min_share.0 > 0
            && self.mean_share < self.spec.min_share.fraction() * STARVED_MARGIN
    }

    /// Returns whether the class stays within its maximum share if it uses `need` more.
    pub(crate) fn allows(&self, need: &Resources, capacity: &Resources) -> bool {
        self.spec.max_share.allows(&self.used.plus(need), capacity)
    }

    /// Returns the deadline of a task: its own, else the default of the class.
    pub(crate) fn deadline_of(&self, spec: &TaskSpec, now: Time) -> Option<Time> {
        spec.deadline
            .or_else(|| self.spec.default_timeout.map(|p| now + p))
    }

    /// Returns the expected queueing delay of a task that arrives now.
    pub(crate) fn expected_wait(&self) -> Span {
        self.drain_rate.expected_wait(self.queue.len())
    }
}

/// A customer and its current usage.
#[derive(Debug)]
pub(crate) struct Customer {
    pub(crate) spec: CustomerSpec,
    /// Whether the current plan contains it.
    pub(crate) in_plan: bool,
    pub(crate) used: Resources,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) bucket: Option<TokenBucket>,
}

impl Customer {
    pub(crate) fn new(spec: CustomerSpec, now: Time) -> Self {
        Customer {
            bucket: spec.rate.map(|r| TokenBucket::new(r, now)),
            spec,
            in_plan: true,
            used: Resources::ZERO,
            running: 0,
            waiting: 0,
        }
    }

    /// Applies a new specification.
    pub(crate) fn update_spec(&mut self, spec: CustomerSpec, now: Time) {
        update_bucket(&mut self.bucket, spec.rate, now);
        self.spec = spec;
        self.in_plan = true;
    }

    /// Returns the dominant share divided by the weight.
    pub(crate) fn weighted_share(&self, capacity: &Resources) -> f64 {
        self.used.dominant_share(capacity) / self.spec.weight
    }

    /// Returns whether the customer stays within its quota and task limit with `count` more tasks
    /// that use `need` in total.
    pub(crate) fn allows(&self, need: &Resources, count: u32, capacity: &Resources) -> bool {
        self.running.saturating_add(count) <= self.spec.max_running
            && self.spec.quota.allows(&self.used.plus(need), capacity)
    }

    /// Returns whether the customer has running or waiting tasks.
    pub(crate) fn is_active(&self) -> bool {
        self.running > 0 || self.waiting > 0
    }
}

fn update_bucket(
    bucket: &mut Option<TokenBucket>,
    rate: Option<crate::plan::RateLimit>,
    now: Time,
) {
    match (bucket.as_mut(), rate) {
        (Some(old), Some(rate)) => old.set_rate(rate),
        (_, rate) => *bucket = rate.map(|r| TokenBucket::new(r, now)),
    }
}
