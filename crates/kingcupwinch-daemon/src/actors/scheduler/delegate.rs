//! Tasks delegated to siblings under their grants, and tasks received from siblings.

use std::sync::Arc;
use std::time::Duration;

use kameo::message::{Context, Message};
use kingcupwinch_coord::id::{Incarnation, TaskId};
use kingcupwinch_coord::record::Member;
use kingcupwinch_policy::{Refusal, TaskKey};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::api::ForwardedTask;
use kingcupwinch_wire::sibling::{Body, TaskPhase};
use tokio::time::Instant;

use super::Scheduler;
use super::tasks::TaskEntry;
use crate::actors::jobs::TaskDelegated;
use crate::jobs::TaskIdParts;
use crate::siblings::Siblings;

/// Maximum number of times that a sibling is asked to take a task, until it replies.
const MAX_DELEGATE_ATTEMPTS: u32 = 3;

/// Time that a sibling has to reply.
const DELEGATE_TIMEOUT: Duration = Duration::from_secs(1);

/// The outcome of a delegation.
enum Delegation {
    /// The sibling accepted the task, or may have.
    Accepted,
    /// The sibling certainly did not accept the task.
    Declined,
}

/// A task that a sibling delegates to this instance.
#[derive(Debug, Clone)]
pub(crate) struct ReceiveTask {
    /// The sibling that delegates the task.
    pub(crate) from: Incarnation,
    /// The task's description.
    pub(crate) order: ForwardedTask,
}

/// Reports that a sibling declined a task, which then returns to its home shard for another
/// submission.
struct DelegationDeclined(TaskId);

impl Scheduler {
    /// Delegates queued tasks of a class to a sibling under its grant.
    pub(super) fn delegate_tasks(&mut self, class: &Arc<str>, count: usize, member: &Arc<Member>) {
        let entries = self.tasks.iter();
        let waiting =
            entries.filter(|(_, entry)| entry.can_delegate() && entry.spec.class == *class);
        let mut order: Vec<(TaskId, TaskKey)> =
            waiting.map(|(key, entry)| (entry.id, *key)).collect();
        // An id begins with the time at which its job was created.
        order.sort_unstable();
        for (_, key) in order.into_iter().take(count) {
            self.delegate_task(key, member);
        }
    }

    fn delegate_task(&mut self, key: TaskKey, member: &Arc<Member>) {
        let now = self.now();
        let Some(siblings) = self.siblings() else {
            return;
        };
        if self.cell.cancel(key, now).is_err() {
            return;
        }
        let Some(entry) = self.remove_task(key) else {
            return;
        };
        self.notify_jobs(TaskDelegated {
            task: entry.id,
            to: member.incarnation,
        });
        let order = make_order(&entry, self.start_allowance());
        let task = entry.id;
        let to = member.incarnation;
        let me = self.me.clone();
        tokio::spawn(async move {
            if let Delegation::Declined = delegate(&siblings, to, &order).await {
                // A stopped scheduler has no tasks.
                let _ = me.tell(DelegationDeclined(task)).await;
            }
        });
    }

    /// Returns how long a delegated task may wait before the sibling returns it.
    fn start_allowance(&self) -> Span {
        Span::from_millis(self.shared.config.load().tree.timers.task_lease_ms.get())
    }

    fn accept_task(&mut self, received_task: &ReceiveTask) -> Result<(), Refusal> {
        let now = self.now();
        let order = &received_task.order;
        let id = TaskId(order.task);
        if self.task_keys.contains_key(&id) {
            return Ok(());
        }
        let Some(parts) = TaskIdParts::parse(id) else {
            return Err(Refusal::BadSpec);
        };
        let spec = self.task_spec(&order.spec, true)?;
        let credit = self
            .demand
            .take_credit(received_task.from, &order.spec.class, now);
        let credit = credit.ok_or(Refusal::QueueFull(Span::ZERO))?;
        let key = self.cell.submit_with_credit(credit, spec, now)?;
        let spec = Arc::new(order.spec.clone());
        self.add_received(key, id, parts.job.id, spec, order.base);
        self.received
            .push((now + Span::from_millis(order.start_ms), key));
        Ok(())
    }

    /// Returns received tasks that did not start in time to their homes; returns the time of the
    /// next check.
    pub(super) fn return_unstarted(&mut self, now: Time) -> Option<Time> {
        let due: Vec<TaskKey> = self
            .received
            .iter()
            .filter(|(until, _)| *until <= now)
            .map(|(_, key)| *key)
            .collect();
        self.received.retain(|(until, _)| *until > now);
        for key in due {
            let waits = self
                .tasks
                .get(&key)
                .is_some_and(|entry| entry.run.is_none());
            let returned = waits && self.cell.cancel(key, now).is_ok();
            if let Some(entry) = returned.then(|| self.remove_task(key)).flatten() {
                self.notify_home(entry.id, TaskPhase::NotRun);
            }
        }
        self.received.iter().map(|(until, _)| *until).min()
    }
}

fn make_order(entry: &TaskEntry, start: Span) -> ForwardedTask {
    ForwardedTask {
        task: entry.id.0,
        base: entry.base,
        start_ms: start.as_millis(),
        spec: (*entry.spec).clone(),
    }
}

async fn delegate(siblings: &Siblings, to: Incarnation, order: &ForwardedTask) -> Delegation {
    let bytes = serde_json::to_vec(order).unwrap_or_default();
    for _ in 0..MAX_DELEGATE_ATTEMPTS {
        let deadline = Instant::now() + DELEGATE_TIMEOUT;
        let body = Body::StartTask(bytes.clone().into());
        match siblings.request(to, body, deadline).await {
            Ok(Body::Declined(_)) => return Delegation::Declined,
            Ok(_) => return Delegation::Accepted,
            Err(_) => {}
        }
    }
    Delegation::Accepted
}

impl Message<ReceiveTask> for Scheduler {
    type Reply = Result<(), Refusal>;

    async fn handle(
        &mut self,
        received_task: ReceiveTask,
        _ctx: &mut Context<Self, Self::Reply>,
    ) -> Result<(), Refusal> {
        let received = self.accept_task(&received_task);
        self.decide();
        received
    }
}

impl Message<DelegationDeclined> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, declined: DelegationDeclined, _ctx: &mut Context<Self, ()>) {
        self.notify_home(declined.0, TaskPhase::NotRun);
    }
}
