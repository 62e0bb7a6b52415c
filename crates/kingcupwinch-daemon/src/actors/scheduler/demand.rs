//! Flow control between siblings. An instance announces the work that is queued on it; a sibling
//! with free capacity grants permission to forward some of it. Work moves only under such a grant.
//!
//! A grant is credit with a deadline, like the `request(n)` signal of Reactive Streams, which has
//! no deadline. The receiver limits what it is sent, and nothing queues up on its side.

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

use super::{LiveDecision, Scheduler};
use crate::actors::jobs::JobManager;
use crate::siblings::Siblings;

/// A sibling's announcement of queued work.
#[derive(Debug, Clone)]
struct DemandRequest {
    from: Incarnation,
    class: Arc<str>,
    count: u32,
    until: Time,
}

/// The demand that siblings announced, and the credit granted to them.
#[derive(Default)]
pub(super) struct Demand {
    siblings: Option<Arc<Siblings>>,
    announced: FxHashMap<Arc<str>, Time>,
    requests: Vec<DemandRequest>,
    credits: FxHashMap<(Incarnation, Arc<str>), SmallVec<[Credit; 4]>>,
}

impl Demand {
    /// Returns the connection to siblings, once there is one.
    pub(super) fn siblings(&self) -> Option<Arc<Siblings>> {
        self.siblings.clone()
    }

    /// Takes one unit of the credit under which a sibling may forward work of a class, or returns
    /// `None` if it has none left.
    pub(super) fn take_credit(
        &mut self,
        from: Incarnation,
        class: &Arc<str>,
        now: Time,
    ) -> Option<CreditKey> {
        let credits = self.credits.get_mut(&(from, Arc::clone(class)))?;
        credits.retain(|credit| credit.deadline > now && credit.count > 0);
        let first = credits.first_mut()?;
        first.count -= 1;
        Some(first.key)
    }
}

/// Connects the scheduler to siblings and to the job manager.
pub(crate) struct ConnectSiblings {
    /// The connection to siblings.
    pub(crate) siblings: Arc<Siblings>,
    /// The job manager of this instance.
    pub(crate) jobs: ActorRef<JobManager>,
}

/// A sibling's announcement of queued work.
#[derive(Debug, Clone)]
pub(crate) struct SiblingQueued {
    /// The sibling's incarnation.
    pub(crate) from: Incarnation,
    /// The class and number of queued items.
    pub(crate) queued: Queued,
}

/// A sibling's grant for forwarded work.
#[derive(Debug, Clone)]
pub(crate) struct SiblingGrant {
    /// The sibling's incarnation.
    pub(crate) from: Incarnation,
    /// The class and number of items granted.
    pub(crate) grant: Grant,
    /// Time at which the grant expires.
    pub(crate) until: Time,
}

impl Scheduler {
    fn grant_duration(&self) -> Span {
        Span::from_millis(self.shared.config.load().tree.timers.grant_ms.get())
    }

    /// Announces queued work to siblings, at most once per grant duration and class; returns the
    /// time of the next announcement.
    pub(super) fn announce(&mut self, now: Time) -> Option<Time> {
        let siblings = self.demand.siblings.clone()?;
        let span = self.grant_duration();
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
            .filter(|entry| entry.can_delegate() && entry.class == *class);
        let tasks = self
            .tasks
            .values()
            .filter(|entry| entry.can_delegate() && entry.spec.class == *class);
        let count = live.count() + tasks.count();
        if count > 0 {
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            self.send_to_siblings(
                siblings,
                &Body::Queued(Queued {
                    class: Arc::clone(class),
                    count,
                }),
            );
        }
    }

    fn send_to_siblings(&self, siblings: &Siblings, body: &Body) {
        for member in &self.shared.ownership.load().members {
            if member.incarnation != self.shared.incarnation {
                self.shared.metrics.link_messages.inc();
                siblings.send_one_way(member.incarnation, body.clone());
            }
        }
    }

    /// Grants free capacity to siblings that have announced queued work.
    pub(super) fn grant_capacity(&mut self, now: Time) {
        let Some(siblings) = self.demand.siblings.clone() else {
            return;
        };
        let mut requests = std::mem::take(&mut self.demand.requests);
        requests.retain(|request| request.until > now);
        for request in &mut requests {
            self.grant_to(request, &siblings, now);
        }
        requests.retain(|request| request.count > 0);
        // Rotates the order, so that the next round starts with another sibling.
        if !requests.is_empty() {
            requests.rotate_left(1);
        }
        self.demand.requests = requests;
    }

    fn grant_to(&mut self, request: &mut DemandRequest, siblings: &Siblings, now: Time) {
        let Some(class) = self.cell.class(&request.class) else {
            return;
        };
        let until = now + self.grant_duration();
        let credit = match self.cell.grant(class, request.count, until, now) {
            Ok(Some(credit)) => credit,
            Ok(None) => return,
            Err(error) => return self.log_policy_error("grant", error),
        };
        let holder = (request.from, Arc::clone(&request.class));
        let credits = self.demand.credits.entry(holder).or_default();
        credits.retain(|credit| credit.deadline > now);
        credits.push(credit);
        request.count -= credit.count.min(request.count);
        let grant = Grant {
            class: Arc::clone(&request.class),
            count: credit.count,
            time_left: until.since(now),
        };
        self.shared.metrics.link_messages.inc();
        siblings.send_one_way(request.from, Body::Grant(grant));
    }

    fn record_demand(&mut self, message: SiblingQueued) {
        let now = self.now();
        let until = now + self.grant_duration().times(2);
        let SiblingQueued { from, queued } = message;
        self.demand
            .requests
            .retain(|request| request.from != from || request.class != queued.class);
        let request = DemandRequest {
            from,
            class: queued.class,
            count: queued.count,
            until,
        };
        self.demand.requests.push(request);
    }

    /// Forwards the most urgent queued work to a sibling under its grant.
    fn apply_grant(&mut self, message: &SiblingGrant) {
        if self.now() >= message.until {
            return;
        }
        let ownership = self.shared.ownership.load_full();
        let Some(member) = ownership.member(message.from) else {
            return;
        };
        let count = usize::try_from(message.grant.count).unwrap_or(usize::MAX);
        for task in self.most_urgent(&message.grant.class, count) {
            self.forward_live(task, member);
        }
        self.delegate_tasks(&message.grant.class, count, member);
    }

    fn most_urgent(&self, class: &Arc<str>, count: usize) -> Vec<TaskKey> {
        let entries = self.live.iter();
        let waiting = entries.filter(|(_, entry)| entry.can_delegate() && entry.class == *class);
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

    fn forward_live(&mut self, task: TaskKey, member: &Arc<Member>) {
        let now = self.now();
        if self.cell.cancel(task, now).is_err() {
            return;
        }
        if let Some(entry) = self.remove_live(task) {
            // A handler that has stopped needs no reply.
            let _ = entry
                .decisions
                .send(LiveDecision::Forward(Arc::clone(member)));
        }
    }
}

impl Message<ConnectSiblings> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, connect: ConnectSiblings, _ctx: &mut Context<Self, ()>) {
        self.demand.siblings = Some(connect.siblings);
        self.jobs = Some(connect.jobs);
    }
}

impl Message<SiblingQueued> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, queued: SiblingQueued, _ctx: &mut Context<Self, ()>) {
        self.record_demand(queued);
        self.decide();
    }
}

impl Message<SiblingGrant> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, grant: SiblingGrant, _ctx: &mut Context<Self, ()>) {
        self.apply_grant(&grant);
        self.decide();
    }
}
