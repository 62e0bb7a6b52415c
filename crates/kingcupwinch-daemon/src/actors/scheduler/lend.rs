//! Tasks lent to siblings that have granted demand, and tasks borrowed from them.

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
use crate::actors::jobs::TasksLent;
use crate::jobs::TaskName;
use crate::siblings::Siblings;

/// How often a sibling is asked to take a task, until it has answered.
const LEND_TRIES: u32 = 3;

/// How long a sibling may take to answer.
const LEND_TIMEOUT: Duration = Duration::from_secs(1);

/// What became of a loan.
enum Loan {
    /// The sibling took it, or may have.
    Taken,
    /// The sibling certainly did not take it.
    Declined,
}

/// A task that a sibling's home hands to this instance.
#[derive(Debug, Clone)]
pub(crate) struct Borrow {
    /// The sibling that granted demand was asked by.
    pub(crate) from: Incarnation,
    /// The task.
    pub(crate) order: ForwardedTask,
}

/// A loan was declined; its home hands the task out again.
struct LoanDeclined(TaskId);

impl Scheduler {
    /// Lends waiting tasks of a class to a sibling that takes them.
    pub(super) fn lend_tasks(&mut self, class: &Arc<str>, count: usize, member: &Arc<Member>) {
        let entries = self.tasks.iter();
        let waiting =
            entries.filter(|(_, entry)| entry.is_lendable() && entry.spec.class == *class);
        let mut order: Vec<(TaskId, TaskKey)> =
            waiting.map(|(key, entry)| (entry.id, *key)).collect();
        // Ids begin with the time at which their job was made.
        order.sort_unstable();
        for (_, key) in order.into_iter().take(count) {
            self.lend_task(key, member);
        }
    }

    fn lend_task(&mut self, key: TaskKey, member: &Arc<Member>) {
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
        self.tell_jobs(TasksLent {
            task: entry.id,
            to: member.incarnation,
        });
        let order = make_order(&entry, self.start_span());
        let task = entry.id;
        let to = member.incarnation;
        let me = self.me.clone();
        tokio::spawn(async move {
            if let Loan::Declined = lend(&siblings, to, &order).await {
                // A stopped scheduler has no tasks.
                let _ = me.tell(LoanDeclined(task)).await;
            }
        });
    }

    /// Returns how long a borrowed task may wait before it is given back.
    fn start_span(&self) -> Span {
        Span::from_millis(self.shared.config.load().tree.timers.task_lease_ms.get())
    }

    fn borrow_task(&mut self, borrow: &Borrow) -> Result<(), Refusal> {
        let now = self.now();
        let order = &borrow.order;
        let id = TaskId(order.task);
        if self.task_keys.contains_key(&id) {
            return Ok(());
        }
        let Some(name) = TaskName::read(id) else {
            return Err(Refusal::BadSpec);
        };
        let spec = self.task_spec(&order.spec, true)?;
        let credit = self.demand.take_credit(borrow.from, &order.spec.class, now);
        let credit = credit.ok_or(Refusal::QueueFull(Span::ZERO))?;
        let key = self.cell.submit_with_credit(credit, spec, now)?;
        let spec = Arc::new(order.spec.clone());
        self.add_lent(key, id, name.job.id, spec, order.base);
        self.borrowed
            .push((now + Span::from_millis(order.start_ms), key));
        Ok(())
    }

    /// Gives back borrowed tasks that could not start in time; returns when to look again.
    pub(super) fn return_borrowed(&mut self, now: Time) -> Option<Time> {
        let due: Vec<TaskKey> = self
            .borrowed
            .iter()
            .filter(|(until, _)| *until <= now)
            .map(|(_, key)| *key)
            .collect();
        self.borrowed.retain(|(until, _)| *until > now);
        for key in due {
            let waits = self
                .tasks
                .get(&key)
                .is_some_and(|entry| entry.run.is_none());
            let returned = waits && self.cell.cancel(key, now).is_ok();
            if let Some(entry) = returned.then(|| self.remove_task(key)).flatten() {
                self.tell_home(entry.id, TaskPhase::NotRun);
            }
        }
        self.borrowed.iter().map(|(until, _)| *until).min()
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

async fn lend(siblings: &Siblings, to: Incarnation, order: &ForwardedTask) -> Loan {
    let bytes = serde_json::to_vec(order).unwrap_or_default();
    for _ in 0..LEND_TRIES {
        let deadline = Instant::now() + LEND_TIMEOUT;
        let body = Body::StartTask(bytes.clone().into());
        match siblings.ask(to, body, deadline).await {
            Ok(Body::Declined(_)) => return Loan::Declined,
            Ok(_) => return Loan::Taken,
            Err(_) => {}
        }
    }
    Loan::Taken
}

impl Message<Borrow> for Scheduler {
    type Reply = Result<(), Refusal>;

    async fn handle(
        &mut self,
        borrow: Borrow,
        _ctx: &mut Context<Self, Self::Reply>,
    ) -> Result<(), Refusal> {
        let borrowed = self.borrow_task(&borrow);
        self.decide();
        borrowed
    }
}

impl Message<LoanDeclined> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, declined: LoanDeclined, _ctx: &mut Context<Self, ()>) {
        self.tell_home(declined.0, TaskPhase::NotRun);
    }
}
