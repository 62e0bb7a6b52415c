//! Changes of owned shards and of the worker list, and the workers' usage reports.

use std::sync::Arc;

use kameo::Reply;
use kameo::message::{Context, Message};
use kingcupwinch_coord::id::{ShardId, TaskId, Term};
use kingcupwinch_coord::ownership::OwnedShard;
use kingcupwinch_policy::{Dimension, MachineKey, Resources, Usage};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::instance_list::Instance;
use kingcupwinch_wire::worker as report;
use slog::o;
use uuid::Uuid;

use super::Scheduler;
use super::owned_worker::{OwnedWorker, UnconfirmedRun, UnlistedWorker, used_by};
use crate::logging::EventId;
use crate::worker::{Worker, capacity_of, is_leaving};

/// Interval between checks while a shard has no permit to dispatch.
const RECHECK_INTERVAL: Span = Span::from_millis(50);

/// Ownership of a shard by this instance.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnedShardState {
    /// Time at which the ownership takes effect.
    pub(super) effective: Time,
    /// Whether work of a previous owner may still run on the shard's workers.
    pub(super) inherited: bool,
}

/// Reports that this instance now owns a shard.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShardGained(pub(crate) OwnedShard);

/// Reports that this instance owns a shard at a newer term.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShardRenewed {
    /// The shard.
    pub(crate) shard: ShardId,
    /// The new term.
    pub(crate) term: Term,
}

/// Reports that this instance no longer owns a shard.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShardLost {
    /// The shard.
    pub(crate) shard: ShardId,
}

/// Reports that the published set of shards with a permit has changed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PermitsChanged;

/// The workers of the failure domain as the platform lists them.
#[derive(Debug, Clone)]
pub(crate) struct WorkersListed(pub(crate) Vec<Instance>);

/// Asks that a worker gets no new work.
#[derive(Debug, Clone)]
pub(crate) struct DrainWorker(pub(crate) Arc<str>);

/// Whether the worker is in the platform's list.
#[derive(Debug, Clone, Copy, Reply)]
pub(crate) struct DrainReply(pub(crate) bool);

/// A worker's usage report.
#[derive(Debug, Clone)]
pub(crate) struct UsageReported {
    /// Name of the worker.
    pub(crate) name: Arc<str>,
    /// Time at which the report was requested.
    pub(crate) sent: Time,
    /// The report.
    pub(crate) usage: report::Usage,
}

impl Scheduler {
    /// Adds the listed workers of owned shards, and removes workers that are no longer listed.
    pub(super) fn refresh_workers(&mut self) {
        let listed = std::mem::take(&mut self.listed);
        let shards = self.shards();
        self.drop_unlisted(&listed);
        for instance in listed.iter().filter(|_| shards > 0) {
            self.refresh_worker(instance, shards);
        }
        self.listed = listed;
    }

    fn shards(&self) -> u16 {
        let config = self.shared.config.load();
        let domain = config
            .tree
            .domains
            .get(&*self.shared.settings.instance.domain);
        domain.map_or(0, |domain| domain.shards)
    }

    fn drop_unlisted(&mut self, listed: &[Instance]) {
        self.drained
            .retain(|name| listed.iter().any(|i| i.name == *name));
        let unlisted = self
            .workers
            .keys()
            .filter(|name| !listed.iter().any(|i| i.name == **name));
        for name in unlisted.cloned().collect::<Vec<_>>() {
            if let Some((machine, shard)) = self.place_of(&name) {
                let expiry = self.orphan_runs(machine);
                let unlisted = UnlistedWorker {
                    machine,
                    shard,
                    expiry,
                };
                self.unlisted.insert(Arc::clone(&name), unlisted);
            }
            self.remove_worker(&name);
        }
    }

    fn place_of(&self, name: &Arc<str>) -> Option<(MachineKey, ShardId)> {
        let owned = self.workers.get(name)?;
        Some((owned.machine, owned.worker.shard))
    }

    fn refresh_worker(&mut self, instance: &Instance, shards: u16) {
        let owned = self.workers.get(&instance.name);
        if owned.is_some_and(|owned| owned.worker.matches(instance)) {
            if is_leaving(instance) {
                self.mark_leaving(&instance.name);
            }
            return;
        }
        let returns = self.release_earlier(&instance.name);
        let worker = Worker::new(instance, shards);
        if let Some(mut state) = self.owned_shards.get(&worker.shard).copied() {
            if returns {
                state.inherited = true;
                state.effective = state.effective.max(self.now());
            }
            let leaving = is_leaving(instance) || self.drained.contains(&instance.name);
            self.add_worker(Arc::new(worker), state, leaving);
        }
    }

    /// Releases the runs on an earlier entry of a worker's name, and returns whether there was one.
    /// The worker's reports show which of them continue, as after a change of its owner.
    fn release_earlier(&mut self, name: &Arc<str>) -> bool {
        let listed = self.workers.get(name).map(|owned| owned.machine);
        let unlisted = self.unlisted.remove(name).map(|worker| worker.machine);
        let Some(machine) = listed.or(unlisted) else {
            return false;
        };
        self.release_runs(machine);
        self.remove_worker(name);
        true
    }

    fn add_worker(&mut self, worker: Arc<Worker>, state: OwnedShardState, leaving: bool) {
        let now = self.now();
        let machine = match self.cell.add_machine(worker.machine_spec(), now) {
            Ok(machine) => machine,
            Err(error) => return self.log_policy_error("add_machine", error),
        };
        let name = Arc::clone(&worker.name);
        let fields = o!("worker" => name.to_string(), "shard" => worker.shard.0);
        self.shared.log.write(EventId::WorkerAdded, fields);
        let permitted = self.permitted.contains(&worker.shard);
        let mut owned = OwnedWorker::new(worker, machine, &self.shared, &self.me);
        if state.inherited {
            owned.inherited = self
                .reserve_free(machine)
                .map(|hold| (hold, state.effective));
        }
        if !permitted {
            owned.blocked = self.reserve_free(machine);
        }
        owned.update_urgency();
        self.machines.insert(machine, Arc::clone(&name));
        self.workers.insert(Arc::clone(&name), owned);
        if leaving {
            self.mark_leaving(&name);
        }
    }

    /// Reserves all free capacity of a machine, so that nothing is placed there.
    fn reserve_free(&mut self, machine: MachineKey) -> Option<kingcupwinch_policy::HoldKey> {
        let whole = Dimension::ALL
            .iter()
            .fold(Resources::ZERO, |size, dimension| {
                size.with(*dimension, kingcupwinch_policy::MAX_AMOUNT)
            });
        match self.cell.occupy(machine, whole) {
            Ok(hold) => Some(hold),
            Err(error) => {
                self.log_policy_error("occupy", error);
                None
            }
        }
    }

    /// Marks a worker as leaving; it gets no new work.
    pub(super) fn mark_leaving(&mut self, name: &Arc<str>) {
        let now = self.now();
        let Some(owned) = self.workers.get_mut(name).filter(|owned| !owned.leaving) else {
            return;
        };
        owned.leaving = true;
        let machine = owned.machine;
        self.shared
            .log
            .write(EventId::WorkerLeaving, o!("worker" => name.to_string()));
        if let Err(error) = self.cell.set_leaving(machine, now) {
            self.log_policy_error("set_leaving", error);
        }
    }

    fn remove_worker(&mut self, name: &Arc<str>) {
        let Some(owned) = self.workers.remove(name) else {
            return;
        };
        owned.worker.retire();
        self.machines.remove(&owned.machine);
        self.shared
            .log
            .write(EventId::WorkerRemoved, o!("worker" => name.to_string()));
        let now = self.now();
        if let Err(error) = self.cell.remove_machine(owned.machine, now) {
            self.log_policy_error("remove_machine", error);
        }
    }

    fn drop_shard(&mut self, shard: ShardId) {
        self.owned_shards.remove(&shard);
        let lost = self
            .workers
            .values()
            .filter(|owned| owned.worker.shard == shard);
        let names: Vec<_> = lost.map(|owned| Arc::clone(&owned.worker.name)).collect();
        for name in names {
            if let Some(owned) = self.workers.get(&name) {
                self.release_runs(owned.machine);
            }
            self.remove_worker(&name);
        }
        let unlisted = self.unlisted.values().filter(|gone| gone.shard == shard);
        for machine in unlisted.map(|gone| gone.machine).collect::<Vec<_>>() {
            self.release_runs(machine);
        }
        self.unlisted.retain(|_, gone| gone.shard != shard);
    }

    /// Reloads from the published view which shards may be dispatched to. Schedules another check
    /// while one of the owned shards has no permit.
    pub(super) fn refresh_permits(&mut self) {
        let now = self.now();
        let ownership = self.shared.ownership.load_full();
        let owned = self.owned_shards.keys().copied();
        self.permitted = owned
            .filter(|shard| ownership.permit(*shard, now).is_some())
            .collect();
        let lacking = self.permitted.len() < self.owned_shards.len();
        self.recheck_at = lacking.then(|| now + RECHECK_INTERVAL);
        self.apply_permits();
    }

    /// Blocks the machines of shards without a permit, and unblocks the others.
    fn apply_permits(&mut self) {
        let workers = self.workers.values();
        let changed: Vec<_> = workers
            .filter(|owned| self.permitted.contains(&owned.worker.shard) == owned.blocked.is_some())
            .map(|owned| (Arc::clone(&owned.worker.name), owned.machine, owned.blocked))
            .collect();
        for (name, machine, blocked) in changed {
            let next = match blocked {
                Some(hold) => {
                    self.release_hold(hold);
                    None
                }
                None => self.reserve_free(machine),
            };
            if let Some(owned) = self.workers.get_mut(&name) {
                owned.blocked = next;
            }
        }
    }

    pub(super) fn release_hold(&mut self, hold: kingcupwinch_policy::HoldKey) {
        if let Err(error) = self.cell.release(hold) {
            self.log_policy_error("release", error);
        }
    }

    fn apply_usage_report(&mut self, reported: &UsageReported) {
        let Some(owned) = self.workers.get(&reported.name) else {
            return;
        };
        let machine = owned.machine;
        self.note_restart(reported);
        let taken = reported.sent - Span::from_millis(reported.usage.age_ms);
        if reported.usage.leaving {
            self.mark_leaving(&reported.name);
        }
        let used = used_by(
            &reported.usage,
            &worker_capacity(&self.workers, &reported.name),
        );
        if let Err(error) = self.cell.observe(machine, Usage { used, taken }) {
            self.log_policy_error("observe", error);
        }
        let now = self.now();
        self.apply_ended(&reported.name, &reported.usage.ended, now);
        let running = reported.usage.running.iter().map(|work| TaskId(work.task));
        let running: Vec<TaskId> = running.collect();
        self.mark_missing_lost(&reported.name, &running, taken, now);
        self.resolve_inherited(reported, taken);
        self.release_ended(reported, taken);
        if let Some(owned) = self.workers.get(&reported.name) {
            owned.update_urgency();
        }
    }

    /// Replaces the reservation of a whole inherited machine by the capacity of the work that a
    /// report shows running on it.
    fn resolve_inherited(&mut self, reported: &UsageReported, taken: Time) {
        let Some(owned) = self.workers.get_mut(&reported.name) else {
            return;
        };
        let Some((hold, effective)) = owned.inherited else {
            return;
        };
        if taken < effective {
            return;
        }
        owned.inherited = None;
        owned.ended_in_lookup = Some(Vec::new());
        let machine = owned.machine;
        let work_items = reported.usage.running.clone();
        self.look_up_inherited(&reported.name, (machine, hold), work_items, taken);
    }

    /// Reserves the capacity of work that may still run, until a report shows that it does not.
    pub(super) fn hold_unconfirmed(
        &mut self,
        name: &Arc<str>,
        machine: MachineKey,
        work: Uuid,
        size: Resources,
        since: Time,
    ) {
        match self.cell.hold_run(machine, size) {
            Ok(hold) => {
                if let Some(owned) = self.workers.get_mut(name) {
                    owned.unconfirmed.push(UnconfirmedRun { hold, work, since });
                    owned.update_urgency();
                }
            }
            Err(error) => self.log_policy_error("occupy", error),
        }
    }

    /// Returns a size that no live request of the configuration exceeds.
    pub(super) fn inherited_size(&self) -> Resources {
        let config = self.shared.config.load();
        let sizes = config.tree.classes.values().map(crate::plan::typical_size);
        sizes.fold(
            Resources::new(0, 0).with_slots(1).with_connections(1),
            |most, size| most.max(&size),
        )
    }

    fn release_ended(&mut self, reported: &UsageReported, taken: Time) {
        let Some(owned) = self.workers.get_mut(&reported.name) else {
            return;
        };
        let running = &reported.usage.running;
        let has_ended = |run: &UnconfirmedRun| {
            taken >= run.since && !running.iter().any(|work| work.task == run.work)
        };
        let ended: Vec<UnconfirmedRun> = owned
            .unconfirmed
            .iter()
            .copied()
            .filter(has_ended)
            .collect();
        owned.unconfirmed.retain(|run| !has_ended(run));
        for run in ended {
            self.release_hold(run.hold);
        }
    }

    /// Returns the number of slots of all owned workers, and the number of those in use.
    pub(super) fn slot_counts(&self) -> (i64, i64) {
        let slots = self.cell.capacity().get(Dimension::Slots);
        let busy = self.cell.used().get(Dimension::Slots);
        (
            i64::try_from(slots).unwrap_or(i64::MAX),
            i64::try_from(busy).unwrap_or(i64::MAX),
        )
    }
}

fn worker_capacity(
    workers: &rustc_hash::FxHashMap<Arc<str>, OwnedWorker>,
    name: &Arc<str>,
) -> Resources {
    workers
        .get(name)
        .map_or(Resources::ZERO, |owned| owned.worker.capacity)
}

impl Message<ShardGained> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, gained: ShardGained, _ctx: &mut Context<Self, ()>) {
        let ShardGained(owned) = gained;
        let state = OwnedShardState {
            effective: owned.effective,
            inherited: owned.inherited,
        };
        self.owned_shards.insert(owned.shard, state);
        self.refresh_workers();
        self.decide();
    }
}

impl Message<ShardRenewed> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, renewed: ShardRenewed, _ctx: &mut Context<Self, ()>) {
        let fields = o!("shard" => renewed.shard.0, "term" => renewed.term.0);
        self.shared.log.write(EventId::ShardRenewed, fields);
    }
}

impl Message<ShardLost> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, lost: ShardLost, _ctx: &mut Context<Self, ()>) {
        self.drop_shard(lost.shard);
        self.decide();
    }
}

impl Message<PermitsChanged> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, _changed: PermitsChanged, _ctx: &mut Context<Self, ()>) {
        self.refresh_permits();
        self.decide();
    }
}

impl Message<DrainWorker> for Scheduler {
    type Reply = DrainReply;

    async fn handle(
        &mut self,
        drain: DrainWorker,
        _ctx: &mut Context<Self, DrainReply>,
    ) -> DrainReply {
        let DrainWorker(name) = drain;
        let listed = self.listed.iter().any(|instance| instance.name == name);
        if listed {
            self.mark_leaving(&name);
            self.drained.insert(name);
            self.decide();
        }
        DrainReply(listed)
    }
}

impl Message<WorkersListed> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, listed: WorkersListed, _ctx: &mut Context<Self, ()>) {
        let shapes = listed.0.iter().map(capacity_of).collect();
        self.cell.set_remote_capacities(Some(shapes));
        self.listed = listed.0;
        self.refresh_workers();
        self.decide();
    }
}

impl Message<UsageReported> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, reported: UsageReported, _ctx: &mut Context<Self, ()>) {
        self.apply_usage_report(&reported);
        self.decide();
    }
}
