//! The owner of the cell: an actor around the scheduler's state machine, and the background loops
//! that send it events.

mod cancels;
mod cell_events;
mod deletions;
mod forecasts;
mod freshness;
mod leases;
mod loops;
mod messages;
mod origins;
mod start_rate;
mod starts;
mod takeover;
mod term;
mod worker_shards;
mod writer;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kingcupwinch_adapter::{OrderError, Partition, WorkerClient};
use kingcupwinch_cell::{Action, Cell, JobId, PaceOrder, Registration, WorkerKey};
use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;
use slog::o;
use tokio::sync::{Notify, oneshot};

use crate::events::Event;
use crate::layout::IntakeKey;
use crate::link::OrderBudget;
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::siblings::Siblings;

use deletions::Deletions;
use start_rate::StartRate;
use starts::Relayed;
use term::TermDoubt;

use freshness::MAX_LOOKUP_AGE;
pub(crate) use freshness::{Freshness, view_time};
pub(crate) use leases::LeaseLimits;
pub(crate) use messages::{
    CountWaiting, GetJobState, IntakeRead, JobsAnnounced, JobsNotAppended, Members, Release,
    Superseded, TermConfirmed, TokenOffered,
};
#[cfg(test)]
pub(crate) use messages::{NextPoll, PollPlan};
pub(crate) use origins::Origins;
pub(crate) use takeover::{Takeover, TakeoverError, take_over};
pub(crate) use worker_shards::WorkerShards;

/// Delay before a scheduling decision, so that events arriving close together share one.
const DECISION_DELAY: Duration = Duration::from_millis(5);
/// The delay before a decision is at least this multiple of the time that the last one took, so
/// that a long queue leaves CPU time for other work.
const DECISION_PAUSE_FACTOR: u32 = 4;
/// Maximum time between two decisions.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// An owner that was not confirmed to hold the cell for this long dispatches nothing until it is.
pub(crate) const TERM_TIMEOUT: Span = Span::from_millis(4_000);

/// Arguments for starting an [`Owner`].
pub(crate) struct OwnerArgs {
    pub(crate) shared: Arc<Shared>,
    pub(crate) siblings: Siblings,
    pub(crate) term: u64,
    pub(crate) cell: Cell,
    pub(crate) confirmed_at: Time,
    /// When all earlier owners that had not stopped were certainly fenced.
    pub(crate) fenced_at: Time,
    pub(crate) leases: LeaseLimits,
    /// From when on no lease is held that is longer than this owner grants.
    pub(crate) lease_record_due: Time,
    pub(crate) origins: Origins,
    /// Duplicates of acceptances that are to be deleted.
    pub(crate) duplicates: Vec<(Partition, IntakeKey)>,
    pub(crate) freshness: Freshness,
    /// What the log holds of the list of workers.
    pub(crate) shards: WorkerShards,
}

/// Actor that schedules the cell's jobs during one term of ownership.
pub(crate) struct Owner {
    shared: Arc<Shared>,
    siblings: Siblings,
    me: WeakActorRef<Owner>,
    term: u64,
    cell: Cell,
    clients: FxHashMap<WorkerKey, WorkerClient>,
    addresses: FxHashMap<Arc<str>, Arc<str>>,
    /// Last time at which this owner certainly still held the cell.
    confirmed_at: Time,
    /// When all earlier owners that had not stopped were certainly fenced.
    fenced_at: Time,
    doubt: TermDoubt,
    is_suspended: bool,
    /// Whether this owner has stopped dispatching for good.
    is_retired: bool,
    release_done: Option<oneshot::Sender<()>>,
    is_decision_scheduled: bool,
    decision_delay: Duration,
    next_forecast: Time,
    /// Intake records that are to be deleted.
    deletions: Deletions,
    origins: Origins,
    freshness: Freshness,
    is_worker_list_dirty: bool,
    /// Version of the configuration whose customers the cell has.
    customers_version: Option<u64>,
    /// The number of steps that the recorded run times were learned from.
    recorded_steps: u64,
    leases: LeaseLimits,
    /// When to record the longest lease, unless that was done.
    lease_record_due: Option<Time>,
    /// Wakes the writer when starts wait for their records to be appended.
    write_due: Arc<Notify>,
    /// Bytes of orders that this instance may send itself; `None` if the link's bandwidth is unknown.
    budget: Option<OrderBudget>,
    start_rate: StartRate,
}

impl Actor for Owner {
    type Args = OwnerArgs;
    type Error = Infallible;

    async fn on_start(args: OwnerArgs, me: ActorRef<Self>) -> Result<Self, Infallible> {
        let now = args.shared.now();
        let budget = |link_mbps| OrderBudget::new(link_mbps, now);
        let budget = args.shared.settings.link_mbps.map(budget);
        let start_rate = StartRate::new(args.shared.settings.cpu_share, now);
        let mut deletions = Deletions::default();
        for (partition, key) in args.duplicates {
            deletions.add(partition, key);
        }
        let mut owner = Owner {
            shared: args.shared,
            siblings: args.siblings,
            me: me.downgrade(),
            term: args.term,
            cell: args.cell,
            clients: FxHashMap::default(),
            addresses: FxHashMap::default(),
            confirmed_at: args.confirmed_at,
            fenced_at: args.fenced_at,
            doubt: TermDoubt::default(),
            is_suspended: false,
            is_retired: false,
            release_done: None,
            is_decision_scheduled: false,
            decision_delay: DECISION_DELAY,
            next_forecast: now,
            deletions,
            origins: args.origins,
            freshness: args.freshness,
            is_worker_list_dirty: true,
            customers_version: None,
            recorded_steps: 0,
            leases: args.leases,
            lease_record_due: Some(args.lease_record_due),
            write_due: Arc::default(),
            budget,
            start_rate,
        };
        owner
            .cell
            .bound_leases(LeaseLimits::end_after(owner.confirmed_at));
        owner.schedule_restored_cleanup();
        owner.publish_room([], now);
        owner.connect_workers();
        owner.start_loops(args.shards);
        Ok(owner)
    }
}

impl Owner {
    fn start_loops(&self, shards: WorkerShards) {
        let Some(me) = self.me.upgrade() else { return };
        tokio::spawn(tick(me.downgrade()));
        tokio::spawn(writer::run(
            Arc::clone(&self.shared),
            me.downgrade(),
            self.term,
            Arc::clone(&self.write_due),
            shards,
        ));
    }

    fn register_worker(&mut self, entry: Registration, now: Time) {
        let (id, draining) = (Arc::clone(&entry.id), entry.draining);
        let address = Arc::clone(&entry.address);
        let key = self.cell.register_worker(entry, false, now);
        self.log_cell_events();
        let known = self.clients.get(&key).map(WorkerClient::address);
        if known.is_some_and(|known| address.parse() == Ok(known)) {
            return;
        }
        self.is_worker_list_dirty = true;
        self.shared.log.write(
            Event::WorkerListed,
            o!("worker" => id.to_string(), "address" => address.to_string(),
                "draining" => draining),
        );
        self.connect_workers();
    }

    /// Returns a client of a worker for orders that are sent now.
    fn client(&self, key: WorkerKey) -> Option<WorkerClient> {
        let client = self.clients.get(&key)?.clone();
        Some(client.with_token(self.order_token(key)))
    }

    /// Returns the fencing token of the orders to a worker that are sent now.
    fn order_token(&self, key: WorkerKey) -> u64 {
        self.cell.order_token(key).unwrap_or(self.term)
    }

    /// Creates a client and a polling loop for each worker that has none, and replaces the client
    /// of a worker that restarted at another address.
    fn connect_workers(&mut self) {
        for (key, id, address) in self.cell.workers() {
            // Only the id is known of a worker without an address.
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
                .clients
                .get(&key)
                .is_some_and(|client| client.address() == address)
            {
                continue;
            }
            let client = WorkerClient::new(address, Arc::clone(&id), self.term)
                .with_traffic(&self.shared.traffic);
            let is_new = self.clients.insert(key, client).is_none();
            if is_new && let Some(me) = self.me.upgrade() {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(loops::poll_worker(shared, me.downgrade(), key, id));
            }
        }
    }

    /// Schedules a decision after a short delay, unless one is scheduled already.
    fn schedule_decision(&mut self) {
        if std::mem::replace(&mut self.is_decision_scheduled, true) {
            return;
        }
        let me = self.me.clone();
        let pause = self.decision_delay;
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            if let Some(me) = me.upgrade() {
                // The owner may have stopped in the meantime.
                let _ = me.tell(messages::Decide).await;
            }
        });
    }

    fn decide(&mut self) {
        self.is_decision_scheduled = false;
        let now = self.shared.now();
        if !self.may_dispatch(now) {
            return;
        }
        self.cell
            .set_wall_clock(self.shared.wall_time().as_millis(), now);
        self.update_customers();
        let actions = self.cell.decide(now);
        self.publish_forecasts(now);
        self.log_cell_events();
        let took = Duration::from(self.shared.now().since(now));
        self.decision_delay = DECISION_DELAY.max(took * DECISION_PAUSE_FACTOR);
        self.execute(actions);
        if self.cell.has_unsent_starts() {
            self.write_due.notify_one();
        }
        self.publish_room([], now);
        let metrics = &self.shared.metrics;
        metrics.held_bytes.set(self.cell.footprint().total() as i64);
        metrics.live_jobs.set(self.cell.live_jobs() as i64);
        let caps = self.cell.cap_counts();
        metrics.cap_waiting.set(caps.held as i64);
        metrics.cap_excluded.set(caps.excluded as i64);
        metrics.used_millicores.set(self.cell.cpu_load().0 as i64);
    }

    /// Publishes the room that the jobs leave, which now include the requests of `keys`.
    fn publish_room(&self, keys: impl IntoIterator<Item = IntakeKey>, now: Time) {
        let limit = self.shared.accepted_limit();
        self.shared
            .room
            .publish(self.cell.footprint(), limit, keys, now);
    }

    /// Passes the customers of the configuration in force to the cell, if they may have changed.
    fn update_customers(&mut self) {
        let copy = self.shared.configuration.snapshot();
        let Some(version) = copy.version else { return };
        if self.customers_version == Some(version.table.version) {
            return;
        }
        self.customers_version = Some(version.table.version);
        let customers = version.table.customers.as_deref().unwrap_or_default();
        self.cell.set_customers(customers);
    }

    /// Executes the actions whose records have been appended.
    fn execute_recorded(&mut self) {
        let now = self.shared.now();
        if !self.may_dispatch(now) {
            return;
        }
        self.update_customers();
        let actions = self.cell.take_actions(now);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        let mut relayed = Relayed::default();
        self.refill_budget();
        for action in actions {
            match action {
                Action::Start(order) => self.start(order, &mut relayed),
                Action::Stop(order) => self.send_stop(order),
                Action::RequestAdvice {
                    call,
                    instance,
                    step,
                    workers,
                    deadline,
                } => {
                    let request = loops::AdviceCall {
                        call,
                        instance,
                        step,
                        workers,
                        deadline,
                    };
                    self.send_advice_call(request);
                }
                Action::Pace(order) => self.send_pace(order),
                Action::ProbeCaller(instance) => self.probe_caller(instance),
            }
        }
        for ((address, _, token), orders) in relayed {
            self.relay_starts(address, token, orders);
        }
    }

    fn send_stop(&self, order: kingcupwinch_cell::StopOrder) {
        let Some(client) = self.client(order.worker) else {
            return;
        };
        let (me, shared) = (self.me.clone(), Arc::clone(&self.shared));
        tokio::spawn(async move {
            let error = count_order(&shared, "stop", client.stop(&order).await);
            shared.log.write(
                Event::RunStopSent,
                o!("task" => order.task.to_string(), "run" => order.run,
                    "worker" => client.id().to_string(), "error" => error.clone()),
            );
            if error.is_none()
                && let Some(me) = me.upgrade()
            {
                let _ = me.tell(messages::Stopped { order }).await;
            }
        });
    }

    fn send_pace(&self, order: PaceOrder) {
        let Some(client) = self.client(order.worker) else {
            return;
        };
        let (me, shared) = (self.me.clone(), Arc::clone(&self.shared));
        tokio::spawn(async move {
            let error = count_order(&shared, "pace", client.set_pace(&order).await);
            shared.log.write(
                Event::PaceSent,
                o!("task" => order.task.to_string(), "run" => order.run, "percent" => order.percent,
                    "worker" => client.id().to_string(), "error" => error.clone()),
            );
            if error.is_none()
                && let Some(me) = me.upgrade()
            {
                // The owner may have stopped in the meantime.
                let _ = me.tell(messages::PaceSet { order }).await;
            }
        });
    }

    fn send_advice_call(&self, request: loops::AdviceCall) {
        let address = self.addresses.get(&request.instance).cloned();
        let (me, shared) = (self.me.clone(), Arc::clone(&self.shared));
        let siblings = self.siblings.clone();
        tokio::spawn(async move {
            let call = request.call;
            let advice = loops::call_adviser(&shared, &siblings, address, request).await;
            if let Some(me) = me.upgrade() {
                let _ = me.tell(messages::AdviceArrived { call, advice }).await;
            }
        });
    }

    fn probe_caller(&self, instance: Arc<str>) {
        let address = self.addresses.get(&instance).cloned();
        let is_self = instance == self.shared.settings.instance;
        let (me, siblings) = (self.me.clone(), self.siblings.clone());
        tokio::spawn(async move {
            let has_responded = match address {
                _ if is_self => true,
                Some(address) => siblings.responds(&address).await,
                None => false,
            };
            if let Some(me) = me.upgrade() {
                // The owner may have stopped in the meantime.
                let _ = me
                    .tell(messages::CallerProbed {
                        instance,
                        has_responded,
                    })
                    .await;
            }
        });
    }

    /// Records that a partition holds a record of a job, for deletion after the job ends. A duplicate of
    /// its acceptance is deleted soon.
    fn add_origin(&mut self, key: IntakeKey, partition: Partition) {
        if let Some(duplicate) = self.origins.add(key, partition) {
            self.deletions.add(duplicate, key);
        }
    }

    /// Schedules the deletion of the intake records that an earlier owner left of ended jobs.
    fn schedule_restored_cleanup(&mut self) {
        let has_ended = |id: &JobId| self.cell.is_end_recorded(*id);
        let ended: Vec<JobId> = self.origins.jobs().filter(has_ended).collect();
        for id in ended {
            self.schedule_cleanup(id);
        }
    }

    /// Schedules the deletion of a job's intake records.
    fn schedule_cleanup(&mut self, id: JobId) {
        for partition in self.origins.remove(id) {
            self.deletions.add(partition, IntakeKey::Accepted(id));
            self.deletions.add(partition, IntakeKey::Cancelled(id));
        }
    }

    /// Forgets the ends and the cancellations of unknown jobs that were kept for long enough, unless the log
    /// may still hold an acceptance or a cancellation of the job, on which a later owner would act. Schedules
    /// the deletion of these cancellations.
    fn forget_expired(&mut self, now: Time) {
        // What was appended long ago may be unread.
        if !self.is_view_fresh(MAX_LOOKUP_AGE) {
            return;
        }
        let (origins, deletions) = (&self.origins, &self.deletions);
        let is_in_intake = |id| origins.contains_job(id) || deletions.contains(id);
        self.cell.forget_ends(now, is_in_intake);
        for id in self.cell.forget_cancels(now, is_in_intake) {
            // There is no acceptance, and a later one must stay.
            for partition in self.origins.remove(id) {
                self.deletions.add(partition, IntakeKey::Cancelled(id));
            }
        }
    }
}

/// Counts the outcome of an order to a worker. Returns its error as it is logged.
fn count_order(
    shared: &Shared,
    order: &'static str,
    result: Result<(), OrderError>,
) -> Option<String> {
    let label = if result.is_ok() { "ok" } else { "failed" };
    Metrics::count(&shared.metrics.orders, order, label);
    result.err().map(|error| error.to_string())
}

async fn tick(me: WeakActorRef<Owner>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let Some(me) = me.upgrade() else { return };
        if me.tell(messages::Decide).await.is_err() {
            return;
        }
    }
}
