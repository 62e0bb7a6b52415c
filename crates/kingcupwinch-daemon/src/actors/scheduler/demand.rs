//! Demand between siblings: an instance with work that waits says so, one with free capacity
//! grants leave to forward some of it, and work moves only under such a grant.
//!
//! Grants are credit with a deadline, as the `request(n)` signal of Reactive Streams is credit
//! without one: the receiver bounds what it is sent, and nothing is queued at its side.

use std::sync::Arc;

use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use kingcupwinch_coord::id::Incarnation;
use kingcupwinch_coord::record::Member;
use kingcupwinch_policy::{Credit, CreditKey, TaskKey};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::sibling::{Body, Grant, Queued};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use super::{Scheduler, Verdict};
use crate::actors::jobs::JobKeeper;
use crate::siblings::Siblings;

/// A sibling's work that waits.
#[derive(Debug, Clone)]
struct Asked {
    from: Incarnation,
    class: Arc<str>,
    count: u32,
    until: Time,
}

/// What this instance asked for and granted.
#[derive(Default)]
pub(super) struct Demand {
    siblings: Option<Arc<Siblings>>,
    announced: FxHashMap<Arc<str>, Time>,
    asked: Vec<Asked>,
    credits: FxHashMap<(Incarnation, Arc<str>), SmallVec<[Credit; 4]>>,
}

impl Demand {
    /// Returns the way to siblings, once there is one.
    pub(super) fn siblings(&self) -> Option<Arc<Siblings>> {
        self.siblings.clone()
    }

    /// Takes one unit of the credit under which a sibling may forward work of a class.
    pub(super) fn take_credit(
        &mut self,
        from: Incarnation,
        class: &Arc<str>,
        now: Time,
    ) -> Option<CreditKey> {
        let held = self.credits.get_mut(&(from, Arc::clone(class)))?;
        held.retain(|credit| credit.deadline > now && credit.count > 0);
        let first = held.first_mut()?;
        first.count -= 1;
        Some(first.key)
    }
}

/// Siblings can be reached from now on.
pub(crate) struct Connect {
    /// The way to them.
    pub(crate) siblings: Arc<Siblings>,
    /// Keeps the jobs of this instance's homes.
    pub(crate) jobs: ActorRef<JobKeeper>,
}

/// A sibling has work that waits.
#[derive(Debug, Clone)]
pub(crate) struct SiblingQueued {
    /// The sibling.
    pub(crate) from: Incarnation,
    /// Its work.
    pub(crate) queued: Queued,
}

/// A sibling takes work.
#[derive(Debug, Clone)]
pub(crate) struct SiblingGrant {
    /// The sibling.
    pub(crate) from: Incarnation,
    /// What it takes.
    pub(crate) grant: Grant,
    /// Until when.
    pub(crate) until: Time,
}

impl Scheduler {
    fn grant_span(&self) -> Span {
        Span::from_millis(self.shared.config.load().tree.timers.grant_ms.get())
    }

    /// Tells siblings of work that waits, at most once a grant's length for each class; returns
    /// when to look again.
    pub(super) fn announce(&mut self, now: Time) -> Option<Time> {
        let siblings = self.demand.siblings.clone()?;
        let span = self.grant_span();
        let config = self.shared.config.load_full();
        for class in config.tree.classes.keys() {
            let key = self.cell.class(class);
            if key.is_none_or(|key| self.cell.queued(key) == 0) {
                self.demand.announced.remove(class);
                continue;
            }
            let due = self
                .demand
                .announced
                .get(class)
                .is_none_or(|until| *until <= now);
            if due {
                self.demand.announced.insert(Arc::clone(class), now + span);
                self.announce_class(class, &siblings);
            }
        }
        self.demand.announced.values().min().copied()
    }

    fn announce_class(&self, class: &Arc<str>, siblings: &Siblings) {
        let live = self
            .live
            .values()
            .filter(|entry| entry.is_lendable() && entry.class == *class);
        let tasks = self
            .tasks
            .values()
            .filter(|entry| entry.is_lendable() && entry.spec.class == *class);
        let count = live.count() + tasks.count();
        if count > 0 {
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            self.tell_siblings(
                siblings,
                &Body::Queued(Queued {
                    class: Arc::clone(class),
                    count,
                }),
            );
        }
    }

    fn tell_siblings(&self, siblings: &Siblings, body: &Body) {
        for member in &self.shared.ownership.load().members {
            if member.incarnation != self.shared.incarnation {
                self.shared.metrics.messages.inc();
                siblings.tell(member.incarnation, body.clone());
            }
        }
    }

    /// Grants free capacity to siblings that asked for it.
    pub(super) fn offer(&mut self, now: Time) {
        let Some(siblings) = self.demand.siblings.clone() else {
            return;
        };
        let mut asked = std::mem::take(&mut self.demand.asked);
        asked.retain(|ask| ask.until > now);
        for ask in &mut asked {
            self.offer_to(ask, &siblings, now);
        }
        asked.retain(|ask| ask.count > 0);
        // The next round begins with another sibling.
        if !asked.is_empty() {
            asked.rotate_left(1);
        }
        self.demand.asked = asked;
    }

    fn offer_to(&mut self, ask: &mut Asked, siblings: &Siblings, now: Time) {
        let Some(class) = self.cell.class(&ask.class) else {
            return;
        };
        let until = now + self.grant_span();
        let credit = match self.cell.grant(class, ask.count, until, now) {
            Ok(Some(credit)) => credit,
            Ok(None) => return,
            Err(fault) => return self.note_fault("grant", fault),
        };
        let holder = (ask.from, Arc::clone(&ask.class));
        let held = self.demand.credits.entry(holder).or_default();
        held.retain(|credit| credit.deadline > now);
        held.push(credit);
        ask.count -= credit.count.min(ask.count);
        let grant = Grant {
            class: Arc::clone(&ask.class),
            count: credit.count,
            time_left: until.since(now),
        };
        self.shared.metrics.messages.inc();
        siblings.tell(ask.from, Body::Grant(grant));
    }

    fn take_queued(&mut self, message: SiblingQueued) {
        let now = self.now();
        let until = now + self.grant_span().times(2);
        let SiblingQueued { from, queued } = message;
        self.demand
            .asked
            .retain(|ask| ask.from != from || ask.class != queued.class);
        let ask = Asked {
            from,
            class: queued.class,
            count: queued.count,
            until,
        };
        self.demand.asked.push(ask);
    }

    /// Hands the most urgent work that waits to a sibling that takes it.
    fn take_grant(&mut self, message: &SiblingGrant) {
        if self.now() >= message.until {
            return;
        }
        let ownership = self.shared.ownership.load_full();
        let Some(member) = ownership.member(message.from) else {
            return;
        };
        let count = usize::try_from(message.grant.count).unwrap_or(usize::MAX);
        for task in self.most_urgent(&message.grant.class, count) {
            self.hand_over(task, member);
        }
        self.lend_tasks(&message.grant.class, count, member);
    }

    fn most_urgent(&self, class: &Arc<str>, count: usize) -> Vec<TaskKey> {
        let entries = self.live.iter();
        let waiting = entries.filter(|(_, entry)| entry.is_lendable() && entry.class == *class);
        let mut order: Vec<_> = waiting
            .map(|(task, entry)| (entry.deadline.unwrap_or(Time::MAX), entry.arrived, *task))
            .collect();
        order.sort_unstable_by_key(|(deadline, arrived, _)| (*deadline, *arrived));
        order
            .into_iter()
            .take(count)
            .map(|(_, _, task)| task)
            .collect()
    }

    fn hand_over(&mut self, task: TaskKey, member: &Arc<Member>) {
        let now = self.now();
        if self.cell.cancel(task, now).is_err() {
            return;
        }
        if let Some(entry) = self.remove_live(task) {
            // A handler that is gone needs no answer.
            let _ = entry.verdicts.send(Verdict::Forward(Arc::clone(member)));
        }
    }
}

impl Message<Connect> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, connect: Connect, _ctx: &mut Context<Self, ()>) {
        self.demand.siblings = Some(connect.siblings);
        self.jobs = Some(connect.jobs);
    }
}

impl Message<SiblingQueued> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, queued: SiblingQueued, _ctx: &mut Context<Self, ()>) {
        self.take_queued(queued);
        self.decide();
    }
}

impl Message<SiblingGrant> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, grant: SiblingGrant, _ctx: &mut Context<Self, ()>) {
        self.take_grant(&grant);
        self.decide();
    }
}
