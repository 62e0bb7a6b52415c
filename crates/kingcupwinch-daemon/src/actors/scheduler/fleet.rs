//! Shards that come and go, the list of workers, and the workers' reports.

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
use super::seat::{Doubt, Seat};
use crate::logging::EventId;
use crate::world::{Worker, capacity_of, is_leaving};

/// How soon shards that may not be dispatched to are looked at again.
const RECHECK_GAP: Span = Span::from_millis(50);

/// Percent of a whole machine.
const WHOLE_PERCENT: u64 = 100;

/// A shard that this instance owns.
#[derive(Debug, Clone, Copy)]
pub(super) struct Holding {
    /// When the ownership takes effect.
    pub(super) effective: Time,
    /// Whether work of an earlier owner may still run there.
    pub(super) inherited: bool,
}

/// A shard was gained.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Gained(pub(crate) OwnedShard);

/// A shard is owned at a newer term.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Renewed {
    /// The shard.
    pub(crate) shard: ShardId,
    /// Its new term.
    pub(crate) term: Term,
}

/// A shard was lost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lost {
    /// The shard.
    pub(crate) shard: ShardId,
}

/// The published view says anew which shards may be dispatched to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PermitsChanged;

/// The workers of the domain as the platform lists them.
#[derive(Debug, Clone)]
pub(crate) struct Listed(pub(crate) Vec<Instance>);

/// An operator wants a worker to get nothing new.
#[derive(Debug, Clone)]
pub(crate) struct DrainWorker(pub(crate) Arc<str>);

/// Whether the worker is in the list.
#[derive(Debug, Clone, Copy, Reply)]
pub(crate) struct Drained(pub(crate) bool);

/// A worker's usage report.
#[derive(Debug, Clone)]
pub(crate) struct Reported {
    /// The worker.
    pub(crate) name: Arc<str>,
    /// When the report was asked for.
    pub(crate) sent: Time,
    /// The report.
    pub(crate) usage: report::Usage,
}

impl Scheduler {
    /// Makes seats for the listed workers of owned shards, and gives up the others.
    pub(super) fn refresh_seats(&mut self) {
        let listed = std::mem::take(&mut self.listed);
        let shards = self.shards();
        self.drop_unlisted(&listed);
        for instance in listed.iter().filter(|_| shards > 0) {
            self.refresh_seat(instance, shards);
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
        let gone = self
            .seats
            .keys()
            .filter(|name| !listed.iter().any(|i| i.name == **name));
        for name in gone.cloned().collect::<Vec<_>>() {
            if let Some(seat) = self.seats.get(&name) {
                self.orphan_runs(seat.machine);
            }
            self.drop_seat(&name);
        }
    }

    fn refresh_seat(&mut self, instance: &Instance, shards: u16) {
        if let Some(seat) = self.seats.get(&instance.name) {
            if seat.worker.matches(instance) {
                let name = Arc::clone(&instance.name);
                if is_leaving(instance) {
                    self.mark_leaving(&name);
                }
                return;
            }
            self.drop_seat(&Arc::clone(&instance.name));
        }
        let worker = Worker::new(instance, shards);
        if let Some(holding) = self.holdings.get(&worker.shard).copied() {
            let leaving = is_leaving(instance) || self.drained.contains(&instance.name);
            self.add_seat(Arc::new(worker), holding, leaving);
        }
    }

    fn add_seat(&mut self, worker: Arc<Worker>, holding: Holding, leaving: bool) {
        let now = self.now();
        let machine = match self.cell.add_machine(worker.as_machine(), now) {
            Ok(machine) => machine,
            Err(fault) => return self.note_fault("add_machine", fault),
        };
        let name = Arc::clone(&worker.name);
        let fields = o!("worker" => name.to_string(), "shard" => worker.shard.0);
        self.shared.log.write(EventId::WorkerAdded, fields);
        let permitted = self.permitted.contains(&worker.shard);
        let mut seat = Seat::new(worker, machine, &self.shared, &self.me);
        if holding.inherited {
            seat.inherited = self.fill(machine).map(|hold| (hold, holding.effective));
        }
        if !permitted {
            seat.barred = self.fill(machine);
        }
        seat.set_pace();
        self.machines.insert(machine, Arc::clone(&name));
        self.seats.insert(Arc::clone(&name), seat);
        if leaving {
            self.mark_leaving(&name);
        }
    }

    /// Counts all that is free on a machine as taken.
    fn fill(&mut self, machine: MachineKey) -> Option<kingcupwinch_policy::HoldKey> {
        let whole = Dimension::ALL
            .iter()
            .fold(Resources::ZERO, |size, dimension| {
                size.with(*dimension, kingcupwinch_policy::MAX_AMOUNT)
            });
        match self.cell.occupy(machine, whole) {
            Ok(hold) => Some(hold),
            Err(fault) => {
                self.note_fault("occupy", fault);
                None
            }
        }
    }

    /// Gives a worker nothing new from now on.
    pub(super) fn mark_leaving(&mut self, name: &Arc<str>) {
        let now = self.now();
        let Some(seat) = self.seats.get_mut(name).filter(|seat| !seat.leaving) else {
            return;
        };
        seat.leaving = true;
        let machine = seat.machine;
        self.shared
            .log
            .write(EventId::WorkerLeaving, o!("worker" => name.to_string()));
        if let Err(fault) = self.cell.set_leaving(machine, now) {
            self.note_fault("set_leaving", fault);
        }
    }

    fn drop_seat(&mut self, name: &Arc<str>) {
        let Some(seat) = self.seats.remove(name) else {
            return;
        };
        self.machines.remove(&seat.machine);
        self.shared
            .log
            .write(EventId::WorkerRemoved, o!("worker" => name.to_string()));
        let now = self.now();
        if let Err(fault) = self.cell.remove_machine(seat.machine, now) {
            self.note_fault("remove_machine", fault);
        }
    }

    fn drop_shard(&mut self, shard: ShardId) {
        self.holdings.remove(&shard);
        let lost = self
            .seats
            .values()
            .filter(|seat| seat.worker.shard == shard);
        let names: Vec<_> = lost.map(|seat| Arc::clone(&seat.worker.name)).collect();
        for name in names {
            if let Some(seat) = self.seats.get(&name) {
                self.release_runs(seat.machine);
            }
            self.drop_seat(&name);
        }
    }

    /// Takes over from the published view which shards may be dispatched to, and does so again soon
    /// while one of them may not.
    pub(super) fn refresh_permits(&mut self) {
        let now = self.now();
        let ownership = self.shared.ownership.load_full();
        let held = self.holdings.keys().copied();
        self.permitted = held
            .filter(|shard| ownership.permit(*shard, now).is_some())
            .collect();
        let lacking = self.permitted.len() < self.holdings.len();
        self.recheck = lacking.then(|| now + RECHECK_GAP);
        self.apply_permits();
    }

    /// Bars machines of shards that may not be dispatched to, and opens the others.
    fn apply_permits(&mut self) {
        let seats = self.seats.values();
        let changed: Vec<_> = seats
            .filter(|seat| self.permitted.contains(&seat.worker.shard) == seat.barred.is_some())
            .map(|seat| (Arc::clone(&seat.worker.name), seat.machine, seat.barred))
            .collect();
        for (name, machine, barred) in changed {
            let next = match barred {
                Some(hold) => {
                    self.release(hold);
                    None
                }
                None => self.fill(machine),
            };
            if let Some(seat) = self.seats.get_mut(&name) {
                seat.barred = next;
            }
        }
    }

    pub(super) fn release(&mut self, hold: kingcupwinch_policy::HoldKey) {
        if let Err(fault) = self.cell.release(hold) {
            self.note_fault("release", fault);
        }
    }

    fn take_report(&mut self, reported: &Reported) {
        let Some(seat) = self.seats.get(&reported.name) else {
            return;
        };
        let machine = seat.machine;
        let taken = reported.sent - Span::from_millis(reported.usage.age_ms);
        if reported.usage.leaving {
            self.mark_leaving(&reported.name);
        }
        let used = used_by(&reported.usage, &seat_capacity(&self.seats, &reported.name));
        if let Err(fault) = self.cell.observe(machine, Usage { used, taken }) {
            self.note_fault("observe", fault);
        }
        let now = self.now();
        self.take_ends(&reported.usage.ended, now);
        let running = reported.usage.running.iter().map(|work| TaskId(work.task));
        let running: Vec<TaskId> = running.collect();
        self.find_missing(&reported.name, &running, taken, now);
        self.settle_inheritance(reported, taken);
        self.settle_doubts(reported, taken);
        if let Some(seat) = self.seats.get(&reported.name) {
            seat.set_pace();
        }
    }

    /// Counts what a report shows to run in place of the whole machine.
    fn settle_inheritance(&mut self, reported: &Reported, taken: Time) {
        let Some(seat) = self.seats.get_mut(&reported.name) else {
            return;
        };
        let Some((hold, effective)) = seat.inherited else {
            return;
        };
        if taken < effective {
            return;
        }
        seat.inherited = None;
        let works = reported.usage.running.clone();
        self.resolve(&reported.name, hold, works, taken);
    }

    /// Counts capacity for work that may still run until a report shows that it doesn't.
    pub(super) fn doubt(
        &mut self,
        name: &Arc<str>,
        machine: MachineKey,
        work: Uuid,
        size: Resources,
        since: Time,
    ) {
        match self.cell.occupy(machine, size) {
            Ok(hold) => {
                if let Some(seat) = self.seats.get_mut(name) {
                    seat.doubts.push(Doubt { hold, work, since });
                    seat.set_pace();
                }
            }
            Err(fault) => self.note_fault("occupy", fault),
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

    fn settle_doubts(&mut self, reported: &Reported, taken: Time) {
        let Some(seat) = self.seats.get_mut(&reported.name) else {
            return;
        };
        let running = &reported.usage.running;
        let is_over = |doubt: &Doubt| {
            taken >= doubt.since && !running.iter().any(|work| work.task == doubt.work)
        };
        let over: Vec<Doubt> = seat.doubts.iter().copied().filter(is_over).collect();
        seat.doubts.retain(|doubt| !is_over(doubt));
        for doubt in over {
            self.release(doubt.hold);
        }
    }

    /// Returns the slots of all seats, and those in use.
    pub(super) fn slot_counts(&self) -> (i64, i64) {
        let slots = self.cell.capacity().get(Dimension::Slots);
        let busy = self.cell.used().get(Dimension::Slots);
        (
            i64::try_from(slots).unwrap_or(i64::MAX),
            i64::try_from(busy).unwrap_or(i64::MAX),
        )
    }
}

fn seat_capacity(seats: &rustc_hash::FxHashMap<Arc<str>, Seat>, name: &Arc<str>) -> Resources {
    seats
        .get(name)
        .map_or(Resources::ZERO, |seat| seat.worker.capacity)
}

/// Returns what a report says is in use.
fn used_by(usage: &report::Usage, capacity: &Resources) -> Resources {
    let millicores = capacity.get(Dimension::Millicores) * u64::from(usage.cpu_percent);
    Resources::new(millicores / WHOLE_PERCENT, 0)
        .with_slots(u64::from(usage.busy_slots))
        .with_connections(u64::from(usage.busy_connections))
}

impl Message<Gained> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, gained: Gained, _ctx: &mut Context<Self, ()>) {
        let Gained(owned) = gained;
        let holding = Holding {
            effective: owned.effective,
            inherited: owned.inherited,
        };
        self.holdings.insert(owned.shard, holding);
        self.refresh_seats();
        self.decide();
    }
}

impl Message<Renewed> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, renewed: Renewed, _ctx: &mut Context<Self, ()>) {
        let fields = o!("shard" => renewed.shard.0, "term" => renewed.term.0);
        self.shared.log.write(EventId::ShardRenewed, fields);
    }
}

impl Message<Lost> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, lost: Lost, _ctx: &mut Context<Self, ()>) {
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
    type Reply = Drained;

    async fn handle(&mut self, drain: DrainWorker, _ctx: &mut Context<Self, Drained>) -> Drained {
        let DrainWorker(name) = drain;
        let listed = self.listed.iter().any(|instance| instance.name == name);
        if listed {
            self.mark_leaving(&name);
            self.drained.insert(name);
            self.decide();
        }
        Drained(listed)
    }
}

impl Message<Listed> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, listed: Listed, _ctx: &mut Context<Self, ()>) {
        let shapes = listed.0.iter().map(capacity_of).collect();
        self.cell.set_remote_capacities(Some(shapes));
        self.listed = listed.0;
        self.refresh_seats();
        self.decide();
    }
}

impl Message<Reported> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, reported: Reported, _ctx: &mut Context<Self, ()>) {
        self.take_report(&reported);
        self.decide();
    }
}
