//! The owner of the cell: an actor around the pure state machine, and the loops that feed it.

mod freshness;
mod loops;
mod messages;
mod takeover;
mod writer;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kingcupwinch_adapter::{Partition, WorkerPort};
use kingcupwinch_cell::{Action, Cell, JobId, Registration, StartOutcome, WorkerKey};
use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;
use slog::o;
use smallvec::SmallVec;
use tokio::sync::{Notify, oneshot};

use crate::events::Event;
use crate::layout::IntakeKey;
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::siblings::Siblings;

pub(crate) use freshness::Freshness;
pub(crate) use messages::{
    Announced, Confirmed, IntakeRead, Members, NotKept, Release, StateOf, Superseded, WaitingOf,
};
pub(crate) use takeover::take_over;

/// Events of so long are decided on together.
const DECIDE_PAUSE: Duration = Duration::from_millis(5);
/// A pause between decisions is at least so many times as long as the last one took, so that a
/// long queue leaves time for everything else.
const DECIDE_SHARE: u32 = 4;
/// The longest time between two decisions.
const TICK: Duration = Duration::from_millis(100);
/// An owner that could not write for so long gives no more orders.
pub(crate) const STOP_AFTER: Span = Span::from_millis(4_000);

/// What an owner needs from the start.
pub(crate) struct OwnerArgs {
    pub(crate) shared: Arc<Shared>,
    pub(crate) siblings: Siblings,
    pub(crate) term: u64,
    pub(crate) cell: Cell,
    pub(crate) confirmed: Time,
    pub(crate) origins: Origins,
    pub(crate) freshness: Freshness,
}

/// In which partitions of the intake the records of each job are.
pub(crate) type Origins = FxHashMap<JobId, SmallVec<[Partition; 2]>>;

/// The owner of the cell under one term.
pub(crate) struct Owner {
    shared: Arc<Shared>,
    siblings: Siblings,
    me: WeakActorRef<Owner>,
    term: u64,
    cell: Cell,
    ports: FxHashMap<WorkerKey, WorkerPort>,
    addresses: FxHashMap<Arc<str>, Arc<str>>,
    /// When the last append under this term was sent that succeeded.
    confirmed: Time,
    is_suspended: bool,
    /// Set once this owner gives no more orders for good.
    is_over: bool,
    released: Option<oneshot::Sender<()>>,
    is_decision_due: bool,
    decide_pause: Duration,
    /// Records of ended jobs to drop.
    ended: Vec<(Partition, IntakeKey)>,
    /// In which partitions of the intake a job's records are.
    origins: Origins,
    freshness: Freshness,
    is_worker_list_new: bool,
    /// Told when orders wait for the log.
    write_due: Arc<Notify>,
}

impl Actor for Owner {
    type Args = OwnerArgs;
    type Error = Infallible;

    async fn on_start(args: OwnerArgs, me: ActorRef<Self>) -> Result<Self, Infallible> {
        let mut owner = Owner {
            shared: args.shared,
            siblings: args.siblings,
            me: me.downgrade(),
            term: args.term,
            cell: args.cell,
            ports: FxHashMap::default(),
            addresses: FxHashMap::default(),
            confirmed: args.confirmed,
            is_suspended: false,
            is_over: false,
            released: None,
            is_decision_due: false,
            decide_pause: DECIDE_PAUSE,
            ended: Vec::new(),
            origins: args.origins,
            freshness: args.freshness,
            is_worker_list_new: true,
            write_due: Arc::default(),
        };
        owner.open_ports();
        owner.start_loops();
        Ok(owner)
    }
}

impl Owner {
    fn start_loops(&self) {
        let Some(me) = self.me.upgrade() else { return };
        tokio::spawn(tick(me.downgrade()));
        tokio::spawn(writer::run(
            Arc::clone(&self.shared),
            me.downgrade(),
            self.term,
            Arc::clone(&self.write_due),
        ));
    }

    /// Returns whether orders may be given now.
    fn may_order(&mut self, now: Time) -> bool {
        if self.is_over {
            return false;
        }
        let is_silent = now.since(self.confirmed) > STOP_AFTER;
        if is_silent != self.is_suspended {
            self.is_suspended = is_silent;
            let event = if is_silent {
                Event::Suspended
            } else {
                Event::Resumed
            };
            let age = now.since(self.confirmed).as_millis();
            self.shared
                .log
                .write(event, o!("term" => self.term, "confirmed_ms_ago" => age));
        }
        !is_silent
    }

    /// A later owner was seen: this one gives no more orders.
    fn fence(&mut self, by: &'static str) {
        if !self.is_over {
            self.is_over = true;
            self.shared
                .log
                .write(Event::Fenced, o!("term" => self.term, "seen_by" => by));
        }
    }

    fn list(&mut self, entry: Registration, now: Time) {
        let (id, draining) = (Arc::clone(&entry.id), entry.draining);
        let address = Arc::clone(&entry.address);
        let key = self.cell.register_worker(entry, false, now);
        let known = self.ports.get(&key).map(WorkerPort::address);
        if known.is_some_and(|known| address.parse() == Ok(known)) {
            return;
        }
        self.is_worker_list_new = true;
        self.shared.log.write(
            Event::WorkerListed,
            o!("worker" => id.to_string(), "draining" => draining),
        );
        self.open_ports();
    }

    /// Opens a port and a loop of looks for each worker that has none, and another port for a worker
    /// that started anew elsewhere.
    fn open_ports(&mut self) {
        for (key, id, address) in self.cell.workers() {
            // Of a worker without an address only its id is known.
            if address.is_empty() {
                continue;
            }
            let Ok(address) = address.parse() else {
                self.shared.log.write(
                    Event::RecordSkipped,
                    o!("worker" => id.to_string(), "error" => "address"),
                );
                continue;
            };
            if self
                .ports
                .get(&key)
                .is_some_and(|port| port.address() == address)
            {
                continue;
            }
            let port = WorkerPort::new(address, Arc::clone(&id), self.term);
            let is_new = self.ports.insert(key, port).is_none();
            if is_new && let Some(me) = self.me.upgrade() {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(loops::look(shared, me.downgrade(), key, id));
            }
        }
    }

    /// Has a decision made soon, together with the events that come until then.
    fn decide_soon(&mut self) {
        if std::mem::replace(&mut self.is_decision_due, true) {
            return;
        }
        let me = self.me.clone();
        let pause = self.decide_pause;
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            if let Some(me) = me.upgrade() {
                // The owner may have stopped meanwhile.
                let _ = me.tell(messages::Decide).await;
            }
        });
    }

    fn decide(&mut self) {
        self.is_decision_due = false;
        let now = self.shared.now();
        if !self.may_order(now) {
            return;
        }
        self.cell.set_wall_clock(self.shared.day().as_millis(), now);
        let actions = self.cell.decide(now);
        let took = Duration::from(self.shared.now().since(now));
        self.decide_pause = DECIDE_PAUSE.max(took * DECIDE_SHARE);
        for action in actions {
            self.carry_out(action);
        }
        if self.cell.has_unsent_starts() {
            self.write_due.notify_one();
        }
        let metrics = &self.shared.metrics;
        metrics.live.set(self.cell.live_jobs() as i64);
        metrics.used.set(self.cell.cpu_load().0 as i64);
    }

    /// Sends what the last records allow.
    fn send_recorded(&mut self) {
        let now = self.shared.now();
        let actions = self.cell.take_actions();
        if !self.may_order(now) {
            return;
        }
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start(order) => self.send_start(order),
            Action::Stop(order) => self.send_stop(order),
            Action::RequestAdvice {
                call: ask,
                instance,
                step,
                workers,
                deadline: until,
            } => {
                let question = loops::Question {
                    ask,
                    instance,
                    step,
                    workers,
                    until,
                };
                self.send_question(question);
            }
        }
    }

    fn send_start(&self, order: kingcupwinch_cell::StartOrder) {
        let Some(port) = self.ports.get(&order.worker).cloned() else {
            return;
        };
        self.shared.log.write(
            Event::RunOrdered,
            o!("task" => order.task.to_string(), "run" => order.run,
                "worker" => port.id().to_string(), "worker_pace" => order.pace_percent,
                "until" => order.lease_until, "term" => self.term),
        );
        let (me, shared) = (self.me.clone(), Arc::clone(&self.shared));
        tokio::spawn(async move {
            let answer = port.start(&order).await;
            Metrics::count(&shared.metrics.orders, "start", start_label(answer));
            if answer != StartOutcome::Started {
                shared.log.write(
                    Event::RunRefused,
                    o!("task" => order.task.to_string(), "run" => order.run,
                        "worker" => port.id().to_string(), "answer" => start_label(answer)),
                );
            }
            if let Some(me) = me.upgrade() {
                let _ = me.tell(messages::Started { order, answer }).await;
            }
        });
    }

    fn send_stop(&self, order: kingcupwinch_cell::StopOrder) {
        let Some(port) = self.ports.get(&order.worker).cloned() else {
            return;
        };
        let (me, shared) = (self.me.clone(), Arc::clone(&self.shared));
        tokio::spawn(async move {
            let result = port.stop(&order).await;
            let label = if result.is_ok() { "ok" } else { "failed" };
            Metrics::count(&shared.metrics.orders, "stop", label);
            let error = result.err().map(|error| error.to_string());
            shared.log.write(
                Event::RunStopped,
                o!("task" => order.task.to_string(), "run" => order.run,
                    "worker" => port.id().to_string(), "error" => error.clone()),
            );
            if error.is_none()
                && let Some(me) = me.upgrade()
            {
                let _ = me.tell(messages::Stopped { order }).await;
            }
        });
    }

    fn send_question(&self, question: loops::Question) {
        let address = self.addresses.get(&question.instance).cloned();
        let (me, shared) = (self.me.clone(), Arc::clone(&self.shared));
        let siblings = self.siblings.clone();
        tokio::spawn(async move {
            let ask = question.ask;
            let answer = loops::ask(&shared, &siblings, address, question).await;
            if let Some(me) = me.upgrade() {
                let _ = me.tell(messages::Advised { ask, answer }).await;
            }
        });
    }

    /// Remembers where a record of a job is, so that it can be dropped after the job's end.
    fn note_origin(&mut self, id: JobId, partition: Partition) {
        let origins = self.origins.entry(id).or_default();
        if !origins.contains(&partition) {
            origins.push(partition);
        }
    }

    /// Has the intake's records of a job dropped.
    fn note_ended(&mut self, id: JobId) {
        for partition in self.origins.remove(&id).unwrap_or_default() {
            self.ended.push((partition, IntakeKey::Accepted(id)));
            self.ended.push((partition, IntakeKey::Cancelled(id)));
        }
    }
}

fn start_label(answer: StartOutcome) -> &'static str {
    match answer {
        StartOutcome::Started => "started",
        StartOutcome::Fenced => "fenced",
        StartOutcome::Stale => "stale",
        StartOutcome::Late => "late",
        StartOutcome::Full => "full",
        StartOutcome::NoTicket => "no_ticket",
        StartOutcome::Refused => "refused",
        StartOutcome::NotSent => "not_sent",
        StartOutcome::Lost => "lost",
    }
}

async fn tick(me: WeakActorRef<Owner>) {
    loop {
        tokio::time::sleep(TICK).await;
        let Some(me) = me.upgrade() else { return };
        if me.tell(messages::Decide).await.is_err() {
            return;
        }
    }
}
