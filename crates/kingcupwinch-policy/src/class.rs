//! The state of a class and of a customer.

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

/// The multiple of its least share up to which a class is served first, so that its mean over a
/// minute isn't below the share.
const MIN_SHARE_MARGIN: f64 = 1.1;
/// The multiple of its least share below which a class's mean share gives it what is kept free for
/// others.
const STARVED_MARGIN: f64 = 1.05;
/// The mean share of a class that doesn't wait.
const FULL_SHARE: f64 = 1.0;
/// The time constant of the mean share.
const MEAN_TIME: Span = Span::from_secs(10);

/// What is known of a queue of which nothing could be placed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BlockedQueue {
    /// The fleet's number of releases at that time.
    pub(crate) releases: u64,
    /// The least need that was tried, by dimension.
    pub(crate) min_need: Resources,
}

/// A class and what it uses.
#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) spec: ClassSpec,
    /// Whether the plan still has it.
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
    /// Set while nothing of the queue could be placed.
    pub(crate) blocked: Option<BlockedQueue>,
    /// Before this time it takes nothing back from others.
    pub(crate) cooldown: Time,
    /// The smoothed share while work waited.
    mean_share: f64,
    /// When the mean share was last brought up to date.
    updated: Time,
    /// When its queue is tried again though nothing was released.
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
            cooldown: Time::ZERO,
            mean_share: FULL_SHARE,
            updated: now,
            wakeup: None,
        }
    }

    /// Takes over a new declaration.
    pub(crate) fn replan(&mut self, spec: ClassSpec, now: Time) {
        update_bucket(&mut self.bucket, spec.rate, now);
        self.spec = spec;
        self.in_plan = true;
        self.blocked = None;
    }

    /// Lets the queue be tried again if this need is less than what was tried, or urgent.
    pub(crate) fn unblock(&mut self, need: &Resources) {
        let smaller = self.blocked.is_some_and(|s| !s.min_need.fits(need));
        if smaller || self.is_urgent() {
            self.blocked = None;
        }
    }

    /// Has the queue tried again by `time` even if nothing is released.
    pub(crate) fn wake_at(&mut self, time: Time) {
        self.wakeup = Some(self.wakeup.map_or(time, |w| w.min(time)));
    }

    /// Whether nothing was released since its queue was tried in vain.
    pub(crate) fn is_blocked(&self, releases: u64) -> bool {
        self.blocked.is_some_and(|s| s.releases == releases)
    }

    /// Whether it holds urgent live work.
    pub(crate) fn is_urgent(&self) -> bool {
        self.spec.band == 0 && self.spec.kind == ClassKind::Live
    }

    /// Returns its share of the cell.
    pub(crate) fn share(&self, capacity: &Resources) -> f64 {
        self.used.dominant_share(capacity)
    }

    /// Whether it has less than its least share, or hardly more.
    pub(crate) fn is_below_min_share(&self, capacity: &Resources) -> bool {
        let aim = self.spec.min_share.fraction() * MIN_SHARE_MARGIN;
        self.spec.min_share.0 > 0 && self.share(capacity) < aim
    }

    /// Brings its mean share up to date; without work waiting it counts as served.
    pub(crate) fn update_share(&mut self, capacity: &Resources, now: Time) {
        let passed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        if self.queue.is_empty() {
            self.mean_share = FULL_SHARE;
            return;
        }
        let weight = (passed / MEAN_TIME.as_secs_f64()).min(1.0);
        self.mean_share += weight * (self.share(capacity) - self.mean_share);
    }

    /// Whether its mean share while work waited is below its least share.
    pub(crate) fn is_starved(&self) -> bool {
        self.spec.min_share.0 > 0
            && self.mean_share < self.spec.min_share.fraction() * STARVED_MARGIN
    }

    /// Whether `need` more stays within its most share.
    pub(crate) fn allows(&self, need: &Resources, capacity: &Resources) -> bool {
        self.spec.max_share.allows(&self.used.plus(need), capacity)
    }

    /// Returns the deadline of a task.
    pub(crate) fn deadline_of(&self, spec: &TaskSpec, now: Time) -> Option<Time> {
        spec.deadline
            .or_else(|| self.spec.default_timeout.map(|p| now + p))
    }

    /// Returns how long a task that arrives now is likely to wait.
    pub(crate) fn expected_wait(&self) -> Span {
        self.drain_rate.expected_wait(self.queue.len())
    }
}

/// A customer and what it uses.
#[derive(Debug)]
pub(crate) struct Customer {
    pub(crate) spec: CustomerSpec,
    /// Whether the plan still has it.
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

    /// Takes over a new declaration.
    pub(crate) fn replan(&mut self, spec: CustomerSpec, now: Time) {
        update_bucket(&mut self.bucket, spec.rate, now);
        self.spec = spec;
        self.in_plan = true;
    }

    /// Returns its dominant share over its weight.
    pub(crate) fn weighted_share(&self, capacity: &Resources) -> f64 {
        self.used.dominant_share(capacity) / self.spec.weight
    }

    /// Whether `need` more in `count` tasks stays within its quota.
    pub(crate) fn allows(&self, need: &Resources, count: u32, capacity: &Resources) -> bool {
        self.running.saturating_add(count) <= self.spec.max_running
            && self.spec.quota.allows(&self.used.plus(need), capacity)
    }

    /// Whether it has work running or waiting.
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
