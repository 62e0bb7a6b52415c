//! The faults of one run, drawn from its seed.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Between the starts of two faults, in milliseconds; most faults last longer, so they overlap.
const INTERVAL_MS: std::ops::Range<u64> = 300..1_600;
/// How long a fault lasts, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 300..5_000;
/// No fault begins before this: the instances start and the first owner claims.
const FIRST_FAULT_MS: u64 = 2_500;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// An instance is killed, and started again at the end.
    Kill(usize),
    /// Every instance is killed, and started again at the end.
    KillAll,
    /// An instance stands still.
    Pause(usize),
    /// An instance is asked to stop, and started again once it has.
    Terminate(usize),
    /// An instance is told to read its settings again.
    Hangup(usize),
    /// The store refuses everything.
    StoreBusy,
    /// The store answers nothing.
    StoreUnresponsive,
    /// The store's answers take so many milliseconds longer.
    StoreSlow(u64),
    /// Three in ten writes are carried out and not answered.
    StoreDropsResponses,
    /// The store forgets its history.
    StoreTruncates,
    /// An instance's link to the store passes nothing.
    PartitionStore(usize),
    /// An instance's link to the store passes requests and no answers.
    BlockStoreResponses(usize),
    /// An instance's connections to the store are reset.
    ResetStore(usize),
    /// An instance's link to the store is slow.
    DelayStore(usize),
    /// A worker's link passes nothing.
    PartitionWorker(usize),
    /// A worker's link passes orders and no answers.
    BlockWorkerResponses(usize),
    /// A worker's connections are reset.
    ResetWorker(usize),
    /// A worker crashes, and starts again at the end.
    CrashWorker(usize),
    /// A worker drains and leaves, and starts again at the end.
    DrainWorker(usize),
    /// What runs on a worker stands still.
    HangWorker(usize),
    /// What runs on a worker fails.
    FailWorker(usize),
    /// A configuration is published.
    Publish,
}

/// A fault and when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// Milliseconds from the start.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub duration_ms: u64,
    /// What.
    pub fault: Fault,
}

/// The faults of one run, in the order of their start.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The faults.
    pub faults: Vec<PlannedFault>,
}

impl Plan {
    /// Draws a plan of so many seconds for so many instances and workers.
    pub fn new(seed: u64, seconds: u64, instances: usize, workers: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at_ms = FIRST_FAULT_MS;
        while at_ms < seconds * 1_000 {
            faults.push(PlannedFault {
                at_ms,
                duration_ms: rng.random_range(DURATION_MS),
                fault: random_fault(&mut rng, instances, workers),
            });
            at_ms += rng.random_range(INTERVAL_MS);
        }
        Plan { faults }
    }

    /// Returns the names of the faults, for a report.
    pub fn describe(&self) -> String {
        let row = |planned: &PlannedFault| {
            let PlannedFault {
                at_ms,
                duration_ms,
                fault,
            } = planned;
            format!("  {at_ms:>6} ms for {duration_ms:>4} ms  {fault:?}\n")
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
