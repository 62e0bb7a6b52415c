//! The faults of one run, determined by its seed.

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::series::{
    capacities_change, connections_die, crash_series, owner_ends_at_crashes, random_series,
    records_are_rejected, rolling_restart, workers_leave, workers_lost_after_restart,
    workers_replaced,
};

/// Range of the interval between the starts of two faults, in milliseconds. Most faults last longer
/// than that, so they overlap.
const INTERVAL_MS: std::ops::Range<u64> = 300..1_600;
/// Range of the duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 300..5_000;
/// Start of the first fault, in milliseconds; leaves time for the instances to start and elect an
/// owner.
const FIRST_FAULT_MS: u64 = 2_500;

/// Range of the interval between the starts of two series of faults, in milliseconds.
const SERIES_INTERVAL_MS: std::ops::Range<u64> = 1_000..3_500;
/// Range of the interval between the starts of two restarts of all instances, in milliseconds.
const RESTART_INTERVAL_MS: std::ops::Range<u64> = 4_000..9_000;
/// Range of the interval between the starts of two series of replaced workers, in milliseconds.
const REPLACEMENT_INTERVAL_MS: std::ops::Range<u64> = 3_000..6_000;
/// Range of the interval between the starts of two series of dead connections, in milliseconds.
const DEATH_INTERVAL_MS: std::ops::Range<u64> = 5_000..8_000;
/// Range of the interval between the starts of two series of rejected records, in milliseconds.
const REJECTION_INTERVAL_MS: std::ops::Range<u64> = 3_000..6_000;
/// Range of the interval between the starts of two series of changed capacities, in milliseconds.
const RESIZE_INTERVAL_MS: std::ops::Range<u64> = 4_000..7_000;
/// Range of the interval between the starts of two series around tasks that crash workers, in
/// milliseconds.
const CRASH_INTERVAL_MS: std::ops::Range<u64> = 2_500..5_000;
/// Range of the interval between the starts of two series of workers that are cut off after a restart,
/// in milliseconds.
const LOSS_INTERVAL_MS: std::ops::Range<u64> = 2_500..4_000;
/// Range of the interval between the starts of two series of owners that end at crashes in the full
/// plan, in milliseconds.
const OWNER_END_INTERVAL_MS: std::ops::Range<u64> = 4_000..8_000;
/// Range of the start of the cut of an instance in runs with customers, in milliseconds: the operator
/// withdraws keys from about 6 s on.
const ISOLATION_START_MS: std::ops::Range<u64> = 4_000..6_000;
/// Range of the duration of that cut, in milliseconds: more than twice the time for which an instance
/// may serve a withdrawn key.
const ISOLATION_MS: std::ops::Range<u64> = 7_000..9_000;
/// Range of the interval between the starts of two crowds, in milliseconds: they overlap.
const CROWD_INTERVAL_MS: std::ops::Range<u64> = 800..2_000;
/// Range of the duration of a crowd, in milliseconds.
const CROWD_MS: std::ops::Range<u64> = 1_500..3_000;
/// Distinguish the random numbers of the kinds of series from those of the single faults.
const SERIES_SEED: u64 = 0x5e41_e500_0000_0000;
const RESTART_SEED: u64 = 0x4e57_a470_0000_0000;
const REPLACEMENT_SEED: u64 = 0x4e91_ace0_0000_0000;
const DEATH_SEED: u64 = 0xdead_0000_0000_0000;
const OWNER_END_SEED: u64 = 0x0e4d_c4a5_0000_0000;
const RESIZE_SEED: u64 = 0x4e51_2e00_0000_0000;
const CRASH_SEED: u64 = 0xc4a5_4000_0000_0000;
const REJECTION_SEED: u64 = 0x4e1e_c700_0000_0000;
const ISOLATION_SEED: u64 = 0x1501_a7e0_0000_0000;
const LEAVE_SEED: u64 = 0x1ea7_e000_0000_0000;
const LOSS_SEED: u64 = 0x1055_0000_0000_0000;
const CROWD_SEED: u64 = 0xc40d_0000_0000_0000;

/// A fault of an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum InstanceFault {
    /// As [`Fault::Kill`].
    Kill,
    /// As [`Fault::Pause`].
    Pause,
    /// As [`Fault::PartitionStore`].
    PartitionStore,
    /// As [`Fault::BlockStoreResponses`].
    BlockStoreResponses,
    /// As [`Fault::DelayStore`].
    DelayStore,
}

impl InstanceFault {
    /// Returns the fault of an instance.
    pub(crate) fn on(self, instance: usize) -> Fault {
        match self {
            InstanceFault::Kill => Fault::Kill(instance),
            InstanceFault::Pause => Fault::Pause(instance),
            InstanceFault::PartitionStore => Fault::PartitionStore(instance),
            InstanceFault::BlockStoreResponses => Fault::BlockStoreResponses(instance),
            InstanceFault::DelayStore => Fault::DelayStore(instance),
        }
    }
}

/// An event right after which a fault begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trigger {
    /// The store has executed an append of the owner.
    Append,
    /// A worker has listed the end of a run for the first time.
    Listing,
    /// A worker has received the acknowledgement of an end.
    Ack,
    /// A worker has started a run.
    Start,
    /// A worker has crashed under a run.
    Crash,
}

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// An instance is killed, and started again at the end.
    Kill(usize),
    /// Every instance is killed, and started again at the end.
    KillAll,
    /// An instance is paused with `SIGSTOP`.
    Pause(usize),
    /// An instance is asked to stop, and started again once it has exited.
    Terminate(usize),
    /// An instance is told to reload its settings.
    Hangup(usize),
    /// A crowd of clients takes the places of an instance's listener.
    Crowd(usize),
    /// The store refuses every request.
    StoreBusy,
    /// The store responds to no request.
    StoreUnresponsive,
    /// The store handles each request this many milliseconds later.
    StoreSlow(u64),
    /// The store applies writes, but drops the responses to three in ten of them.
    StoreDropsResponses,
    /// The store discards the history of its log.
    StoreTruncates,
    /// An instance's link to the store is blocked in both directions.
    PartitionStore(usize),
    /// An instance's link to the store forwards requests but no responses.
    BlockStoreResponses(usize),
    /// An instance's connections to the store are reset.
    ResetStore(usize),
    /// An instance's link to the store delays all traffic.
    DelayStore(usize),
    /// An instance's connections to the store carry nothing any more, but are not closed.
    SilenceStore(usize),
    /// A worker's link is blocked in both directions.
    PartitionWorker(usize),
    /// A worker's link forwards requests but no responses.
    BlockWorkerResponses(usize),
    /// A worker's connections are reset.
    ResetWorker(usize),
    /// A worker crashes, and starts again at the end.
    CrashWorker(usize),
    /// A worker crashes, and another one starts at its address at the end.
    ReplaceWorker(usize),
    /// A worker drains and is unregistered, and starts again at the end.
    DrainWorker(usize),
    /// A worker drains, and leaves for good at the end.
    LeaveWorker(usize),
    /// A worker's capacity shrinks to this many percent, and grows again at the end.
    ShrinkWorker(usize, u64),
    /// The tasks on a worker hang.
    HangWorker(usize),
    /// The tasks on a worker fail.
    FailWorker(usize),
    /// A new version of the configuration is published.
    Publish,
    /// A fault of the instance that is the owner when the fault begins.
    OnOwner(InstanceFault),
    /// The store closes the connections of three writes in ten, and applies them seconds later.
    StoreDelaysAppends,
    /// The store rejects the owner's records of a quarter of the keys, numbered from 0.
    StoreRejects(u8),
    /// The directory lacks a worker that is alive.
    UnlistWorker(usize),
    /// The directory shows a worker as it was before it was started again.
    ListPreviousWorker(usize),
    /// A worker's connections are closed once.
    CloseWorker(usize),
    /// A worker's connections are reset once.
    AbortWorker(usize),
    /// A worker handles requests, but drops three responses in ten.
    LoseWorkerResponses(usize),
    /// A worker closes the connections of three start orders in ten, and carries them out later.
    DelayStarts(usize),
    /// A worker closes the connections of three start orders and polls in ten. The process that then
    /// runs under its id carries them out later.
    DelayCalls(usize),
    /// The tasks on a worker go on for a while after the orders to stop them.
    DelayStops(usize),
}

/// A fault and its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// Start of the fault, in milliseconds after the start of the plan.
    pub at_ms: u64,
    /// Duration of the fault, in milliseconds.
    pub duration_ms: u64,
    /// Fault to inject.
    pub fault: Fault,
    /// Event for which the fault waits from its start on.
    pub trigger: Option<Trigger>,
}

/// The faults of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanKind {
    /// Single faults.
    Basic,
    /// The single faults of the basic plan, and series of faults among them.
    Full,
    /// No faults, but more long-running tasks than the workers have room for.
    Overload,
    /// As [`PlanKind::Overload`], and some of the workers leave for good.
    Drains,
    /// Tasks that crash the workers that start them, and capacities that change.
    Crashing,
    /// The single faults of the basic plan, and a store that rejects records.
    Rejecting,
    /// Workers that start again under their ids and are cut off, calls that are carried out late, and
    /// owners that end.
    Restarts,
}

/// The faults of one run, in the order of their start.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Faults, ordered by `at_ms`.
    pub faults: Vec<PlannedFault>,
}

impl Plan {
    /// Builds the plan of a seed for a run of `seconds` with this many instances and workers.
    pub fn new(kind: PlanKind, seed: u64, seconds: u64, instances: usize, workers: usize) -> Self {
        let mut plan = Plan { faults: Vec::new() };
        match kind {
            PlanKind::Overload => return plan,
            PlanKind::Drains => {
                let mut rng = ChaCha8Rng::seed_from_u64(seed ^ LEAVE_SEED);
                plan.faults = workers_leave(&mut rng, workers);
            }
            PlanKind::Crashing => {
                let mut rng = ChaCha8Rng::seed_from_u64(seed ^ CRASH_SEED);
                plan.add_series(&mut rng, seconds, CRASH_INTERVAL_MS, |rng| {
                    crash_series(rng, workers)
                });
                plan.add_resizes(seed, seconds, workers);
            }
            PlanKind::Restarts => {
                let mut rng = ChaCha8Rng::seed_from_u64(seed ^ LOSS_SEED);
                // Series of the one half of the workers and of the other take turns, so that workers that
                // are cut off are rarely started again meanwhile.
                let mut halves: Vec<usize> = (0..workers).collect();
                halves.shuffle(&mut rng);
                plan.add_series(&mut rng, seconds, LOSS_INTERVAL_MS, |rng| {
                    halves.rotate_right(workers / 2);
                    workers_lost_after_restart(rng, &halves[..workers.div_ceil(2)])
                });
            }
            PlanKind::Basic | PlanKind::Full => {
                plan = Plan::basic(seed, seconds, instances, workers);
            }
            PlanKind::Rejecting => {
                plan = Plan::basic(seed, seconds, instances, workers);
                let mut rng = ChaCha8Rng::seed_from_u64(seed ^ REJECTION_SEED);
                plan.add_series(
                    &mut rng,
                    seconds,
                    REJECTION_INTERVAL_MS,
                    records_are_rejected,
                );
            }
        }
        if kind == PlanKind::Full {
            let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SERIES_SEED);
            plan.add_series(&mut rng, seconds, SERIES_INTERVAL_MS, |rng| {
                random_series(rng, workers)
            });
            let mut rng = ChaCha8Rng::seed_from_u64(seed ^ RESTART_SEED);
            plan.add_series(&mut rng, seconds, RESTART_INTERVAL_MS, |rng| {
                rolling_restart(rng, instances)
            });
            let mut rng = ChaCha8Rng::seed_from_u64(seed ^ REPLACEMENT_SEED);
            plan.add_series(&mut rng, seconds, REPLACEMENT_INTERVAL_MS, |rng| {
                workers_replaced(rng, workers)
            });
            let mut rng = ChaCha8Rng::seed_from_u64(seed ^ DEATH_SEED);
            plan.add_series(&mut rng, seconds, DEATH_INTERVAL_MS, |rng| {
                connections_die(rng, instances)
            });
            let mut rng = ChaCha8Rng::seed_from_u64(seed ^ OWNER_END_SEED);
            plan.add_series(&mut rng, seconds, OWNER_END_INTERVAL_MS, |rng| {
                owner_ends_at_crashes(rng, workers)
            });
            plan.add_resizes(seed, seconds, workers);
        }
        plan.faults.sort_by_key(|planned| planned.at_ms);
        plan
    }

    fn add_resizes(&mut self, seed: u64, seconds: u64, workers: usize) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ RESIZE_SEED);
        self.add_series(&mut rng, seconds, RESIZE_INTERVAL_MS, |rng| {
            capacities_change(rng, workers)
        });
    }

    /// Adds a cut of an instance from the store that lasts longer than versions take to apply, so that
    /// keys are added and withdrawn behind its back.
    pub fn with_isolation(mut self, seed: u64, instances: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ISOLATION_SEED);
        let isolation = PlannedFault {
            at_ms: rng.random_range(ISOLATION_START_MS),
            duration_ms: rng.random_range(ISOLATION_MS),
            fault: Fault::PartitionStore(rng.random_range(0..instances)),
            trigger: None,
        };
        let next = self
            .faults
            .partition_point(|other| other.at_ms <= isolation.at_ms);
        self.faults.insert(next, isolation);
        self
    }

    /// Adds crowds of clients of some of the instances.
    pub fn with_crowds(mut self, seed: u64, seconds: u64, instances: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ CROWD_SEED);
        self.add_series(&mut rng, seconds, CROWD_INTERVAL_MS, |rng| {
            vec![PlannedFault {
                at_ms: 0,
                duration_ms: rng.random_range(CROWD_MS),
                fault: Fault::Crowd(rng.random_range(0..instances)),
                trigger: None,
            }]
        });
        self.faults.sort_by_key(|planned| planned.at_ms);
        self
    }

    fn basic(seed: u64, seconds: u64, instances: usize, workers: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at_ms = FIRST_FAULT_MS;
        while at_ms < seconds * 1_000 {
            faults.push(PlannedFault {
                at_ms,
                duration_ms: rng.random_range(DURATION_MS),
                fault: random_fault(&mut rng, instances, workers),
                trigger: None,
            });
            at_ms += rng.random_range(INTERVAL_MS);
        }
        Plan { faults }
    }

    fn add_series(
        &mut self,
        rng: &mut ChaCha8Rng,
        seconds: u64,
        interval_ms: std::ops::Range<u64>,
        mut series: impl FnMut(&mut ChaCha8Rng) -> Vec<PlannedFault>,
    ) {
        let mut at_ms = FIRST_FAULT_MS;
        while at_ms < seconds * 1_000 {
            self.faults
                .extend(series(rng).into_iter().map(|mut planned| {
                    planned.at_ms += at_ms;
                    planned
                }));
            at_ms += rng.random_range(interval_ms.clone());
        }
    }

    /// Returns one line of text per fault, with its time and duration.
    pub fn describe(&self) -> String {
        let row = |planned: &PlannedFault| {
            let PlannedFault {
                at_ms,
                duration_ms,
                fault,
                trigger,
            } = planned;
            let trigger = trigger.map_or_else(String::new, |trigger| format!(" at {trigger:?}"));
            format!("  {at_ms:>6} ms for {duration_ms:>4} ms  {fault:?}{trigger}\n")
        };
        self.faults.iter().map(row).collect()
    }
}

fn random_fault(rng: &mut ChaCha8Rng, instances: usize, workers: usize) -> Fault {
    let instance = rng.random_range(0..instances);
    let worker = rng.random_range(0..workers);
    let kinds = [
        Fault::Kill(instance),
        Fault::Kill(instance),
        Fault::KillAll,
        Fault::Pause(instance),
        Fault::Pause(instance),
        Fault::Terminate(instance),
        Fault::Terminate(instance),
        Fault::Hangup(instance),
        Fault::StoreBusy,
        Fault::StoreUnresponsive,
        Fault::StoreSlow(rng.random_range(50..400)),
        Fault::StoreDropsResponses,
        Fault::StoreTruncates,
        Fault::PartitionStore(instance),
        Fault::BlockStoreResponses(instance),
        Fault::ResetStore(instance),
        Fault::DelayStore(instance),
        Fault::PartitionWorker(worker),
        Fault::BlockWorkerResponses(worker),
        Fault::ResetWorker(worker),
        Fault::CrashWorker(worker),
        Fault::DrainWorker(worker),
        Fault::HangWorker(worker),
        Fault::FailWorker(worker),
        Fault::Publish,
    ];
    kinds.choose(rng).copied().unwrap_or(Fault::Publish)
}
