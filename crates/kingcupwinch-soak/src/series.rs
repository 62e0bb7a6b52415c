//! Series of faults that act together. Times are relative to the start of the series.

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;

use crate::plan::{Fault, InstanceFault, PlannedFault, Trigger};

/// Range of the length of an outage after which directory entries have expired, in milliseconds:
/// more than three of the workers' heartbeats.
const EXPIRING_OUTAGE_MS: std::ops::Range<u64> = 4_600..5_500;
/// Range of the time after an outage within which directory entries come back, in milliseconds.
const RELISTING_MS: std::ops::Range<u64> = 100..2_000;
/// Range of the time for which a worker is down between two processes, in milliseconds.
const RESTART_MS: std::ops::Range<u64> = 1..400;
/// Range of the time for which calls to a worker may be carried out late before it starts again, in
/// milliseconds.
const LATE_CALLS_MS: std::ops::Range<u64> = 500..1_500;
/// Range of the time between the start of a worker's later process and its loss, in milliseconds.
const LOSS_DELAY_MS: std::ops::Range<u64> = 600..2_500;
/// Range of the time for which a worker is cut off, in milliseconds: longer than what owners grant.
const LOSS_MS: std::ops::Range<u64> = 8_500..10_500;
/// Range of the time after which another worker has the address of a crashed one, in milliseconds.
const REPLACEMENT_MS: std::ops::Range<u64> = 500..2_000;

/// Range of the time for which a capacity is smaller, in milliseconds.
const SHRINK_MS: std::ops::Range<u64> = 3_000..10_000;
/// Range of the capacity that is left, in percent.
const SHRINK_PERCENT: std::ops::RangeInclusive<u64> = 25..=75;
/// Range of the time before a worker leaves in which it drains, in milliseconds.
const NOTICE_MS: std::ops::Range<u64> = 1_000..4_000;

/// Range of the time for which records are rejected, in milliseconds.
const REJECTION_MS: std::ops::Range<u64> = 200..2_500;

const TRIGGERS: [Trigger; 4] = [
    Trigger::Append,
    Trigger::Listing,
    Trigger::Ack,
    Trigger::Start,
];

/// Returns a series of faults.
pub(crate) fn random_series(rng: &mut ChaCha8Rng, workers: usize) -> Vec<PlannedFault> {
    let kinds: [fn(&mut ChaCha8Rng, usize) -> Vec<PlannedFault>; 8] = [
        owner_ends_in_its_partition,
        owner_ends_on_slow_store,
        owner_ends_in_outage,
        owner_changes,
        directory_entries_expire,
        workers_restart,
        connections_close,
        worker_responses_are_lost,
    ];
    // The array is not empty.
    kinds
        .choose(rng)
        .map_or_else(Vec::new, |series| series(rng, workers))
}

fn planned(at_ms: u64, duration_ms: u64, fault: Fault) -> PlannedFault {
    PlannedFault {
        at_ms,
        duration_ms,
        fault,
        trigger: None,
    }
}

impl PlannedFault {
    fn after(mut self, trigger: Trigger) -> Self {
        self.trigger = Some(trigger);
        self
    }
}

fn random_trigger(rng: &mut ChaCha8Rng) -> Trigger {
    TRIGGERS.choose(rng).copied().unwrap_or(Trigger::Listing)
}

/// Returns some of the workers in random order, at least one.
fn some_workers(rng: &mut ChaCha8Rng, workers: usize) -> Vec<usize> {
    let mut chosen: Vec<usize> = (0..workers).collect();
    chosen.shuffle(rng);
    chosen.truncate(rng.random_range(1..=workers));
    chosen
}

fn kill_or_pause(rng: &mut ChaCha8Rng) -> Fault {
    let kinds = [
        InstanceFault::Kill,
        InstanceFault::Kill,
        InstanceFault::Pause,
    ];
    Fault::OnOwner(kinds.choose(rng).copied().unwrap_or(InstanceFault::Kill))
}

/// The owner loses the store right after an event, goes on with the workers for a while, and ends.
fn owner_ends_in_its_partition(rng: &mut ChaCha8Rng, _: usize) -> Vec<PlannedFault> {
    let cut = [
        InstanceFault::PartitionStore,
        InstanceFault::BlockStoreResponses,
    ];
    let cut = cut.choose(rng).copied();
    let cut = Fault::OnOwner(cut.unwrap_or(InstanceFault::PartitionStore));
    let end = rng.random_range(5..1_500);
    vec![
        planned(0, rng.random_range(2_000..6_000), cut).after(random_trigger(rng)),
        planned(end, rng.random_range(500..5_000), kill_or_pause(rng)),
    ]
}

/// On a slow store, the owner ends right after it has acknowledged an end or ordered a start.
fn owner_ends_on_slow_store(rng: &mut ChaCha8Rng, _: usize) -> Vec<PlannedFault> {
    let slow = Fault::StoreSlow(rng.random_range(100..400));
    let mut faults = vec![planned(0, rng.random_range(3_000..5_000), slow)];
    for at in [600, 2_200] {
        let trigger = [Trigger::Ack, Trigger::Ack, Trigger::Start];
        let trigger = trigger.choose(rng).copied().unwrap_or(Trigger::Ack);
        let at = at + rng.random_range(0..800);
        let length = rng.random_range(300..2_000);
        faults.push(planned(at, length, kill_or_pause(rng)).after(trigger));
    }
    faults
}

/// The store fails right after an event, and the owner ends before the store is back.
fn owner_ends_in_outage(rng: &mut ChaCha8Rng, _: usize) -> Vec<PlannedFault> {
    let outage = [
        Fault::StoreBusy,
        Fault::StoreUnresponsive,
        Fault::StoreDropsResponses,
        Fault::StoreDelaysAppends,
    ];
    let outage = outage.choose(rng).copied();
    let outage = outage.unwrap_or(Fault::StoreUnresponsive);
    let length = rng.random_range(400..3_000);
    let end = rng.random_range(5..length);
    vec![
        planned(0, length, outage).after(random_trigger(rng)),
        planned(end, rng.random_range(300..4_000), kill_or_pause(rng)),
    ]
}

/// One owner after the other is killed, paused or loses the store.
fn owner_changes(rng: &mut ChaCha8Rng, _: usize) -> Vec<PlannedFault> {
    let kinds = [
        InstanceFault::Kill,
        InstanceFault::Pause,
        InstanceFault::Pause,
        InstanceFault::PartitionStore,
        InstanceFault::BlockStoreResponses,
        InstanceFault::DelayStore,
    ];
    let mut at = 0;
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(2..=4) {
        let kind = kinds.choose(rng).copied().unwrap_or(InstanceFault::Pause);
        let length = rng.random_range(100..4_000);
        let fault = planned(at, length, Fault::OnOwner(kind));
        faults.push(fault.after(random_trigger(rng)));
        at += rng.random_range(100..1_500);
    }
    faults
}

/// In an outage of the store, directory entries of live workers expire. They come back after it,
/// while connections to the workers are closed.
fn directory_entries_expire(rng: &mut ChaCha8Rng, workers: usize) -> Vec<PlannedFault> {
    let outage = [Fault::StoreBusy, Fault::StoreUnresponsive];
    let outage = outage.choose(rng).copied().unwrap_or(Fault::StoreBusy);
    let length = rng.random_range(EXPIRING_OUTAGE_MS);
    let mut faults = vec![planned(0, length, outage)];
    for worker in some_workers(rng, workers) {
        let relisted = rng.random_range(RELISTING_MS);
        let unlisted = planned(length - 1, relisted + 1, Fault::UnlistWorker(worker));
        faults.push(unlisted);
        if rng.random_bool(0.7) {
            let at = length + rng.random_range(0..3_000);
            faults.extend(close_repeatedly(rng, at, worker));
        }
    }
    faults
}

/// Workers are started again under their ids, some of them twice. The directory shows some as they
/// were before.
fn workers_restart(rng: &mut ChaCha8Rng, workers: usize) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    for worker in some_workers(rng, workers) {
        let mut at = rng.random_range(0..1_500);
        for _ in 0..rng.random_range(1..=2) {
            let down = rng.random_range(RESTART_MS);
            faults.push(planned(at, down, Fault::CrashWorker(worker)).after(Trigger::Start));
            if rng.random_bool(0.5) {
                let late = at + down + rng.random_range(20..1_500);
                let length = rng.random_range(100..1_500);
                faults.push(planned(late, length, Fault::ListPreviousWorker(worker)));
            }
            at += down + rng.random_range(100..1_500);
        }
    }
    faults
}

/// Some of the listed workers, whose calls may be carried out late, start again under their ids and are
/// cut off soon after. The owner may end between the two.
pub(crate) fn workers_lost_after_restart(
    rng: &mut ChaCha8Rng,
    workers: &[usize],
) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    for index in some_workers(rng, workers.len()) {
        let worker = workers[index];
        let crash = rng.random_range(LATE_CALLS_MS);
        let down = rng.random_range(RESTART_MS);
        let loss = crash + down + rng.random_range(LOSS_DELAY_MS);
        let cut = Fault::PartitionWorker(worker);
        faults.push(planned(0, crash, Fault::DelayCalls(worker)));
        faults.push(planned(crash, down, Fault::CrashWorker(worker)));
        faults.push(planned(loss, rng.random_range(LOSS_MS), cut));
    }
    if rng.random_bool(0.4) {
        let at = rng.random_range(LATE_CALLS_MS.start..4_000);
        let length = rng.random_range(500..4_000);
        faults.push(planned(at, length, kill_or_pause(rng)));
    }
    faults
}

/// Workers crash, and other workers start at their addresses a little later.
pub(crate) fn workers_replaced(rng: &mut ChaCha8Rng, workers: usize) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    for worker in some_workers(rng, workers) {
        let at = rng.random_range(0..500);
        let down = rng.random_range(REPLACEMENT_MS);
        faults.push(planned(at, down, Fault::ReplaceWorker(worker)));
    }
    faults
}

/// Connections to workers that are alive are closed or reset.
fn connections_close(rng: &mut ChaCha8Rng, workers: usize) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    for worker in some_workers(rng, workers) {
        let at = rng.random_range(0..2_000);
        faults.extend(close_repeatedly(rng, at, worker));
        if rng.random_bool(0.3) {
            let length = rng.random_range(100..3_000);
            let at = at + rng.random_range(0..500);
            faults.push(planned(at, length, Fault::UnlistWorker(worker)));
        }
    }
    faults
}

fn close_repeatedly(rng: &mut ChaCha8Rng, at_ms: u64, worker: usize) -> Vec<PlannedFault> {
    let kinds = [Fault::CloseWorker(worker), Fault::AbortWorker(worker)];
    let fault = kinds.choose(rng).copied();
    let fault = fault.unwrap_or(Fault::CloseWorker(worker));
    let mut at = at_ms;
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(1..=4) {
        faults.push(planned(at, 0, fault));
        at += rng.random_range(20..300);
    }
    faults
}

/// Workers lose responses or carry start orders out late, and the owner or a worker ends meanwhile.
fn worker_responses_are_lost(rng: &mut ChaCha8Rng, workers: usize) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    for worker in some_workers(rng, workers) {
        let kinds = [
            Fault::LoseWorkerResponses(worker),
            Fault::DelayStarts(worker),
        ];
        let fault = kinds.choose(rng).copied();
        let fault = fault.unwrap_or(Fault::DelayStarts(worker));
        faults.push(planned(0, rng.random_range(1_000..5_000), fault));
        if rng.random_bool(0.2) {
            let at = rng.random_range(300..3_000);
            let down = rng.random_range(RESTART_MS);
            faults.push(planned(at, down, Fault::CrashWorker(worker)));
        }
    }
    if rng.random_bool(0.5) {
        let at = rng.random_range(300..3_000);
        let length = rng.random_range(300..3_000);
        let end = planned(at, length, kill_or_pause(rng));
        faults.push(end.after(random_trigger(rng)));
    }
    faults
}

/// All instances are started again one after the other, with signals in series, while the
/// configuration changes. Callers use their open connections until a process is gone.
pub(crate) fn rolling_restart(rng: &mut ChaCha8Rng, instances: usize) -> Vec<PlannedFault> {
    let mut order: Vec<usize> = (0..instances).collect();
    order.shuffle(rng);
    let mut at = rng.random_range(0..2_000);
    let mut faults = Vec::new();
    for instance in order {
        if rng.random_bool(0.5) {
            faults.push(planned(at, 0, Fault::Publish));
        }
        for _ in 0..rng.random_range(0..3) {
            let hangup = at + rng.random_range(0..300);
            faults.push(planned(hangup, 0, Fault::Hangup(instance)));
        }
        let stop = at + rng.random_range(0..300);
        let length = rng.random_range(300..2_500);
        faults.push(planned(stop, length, Fault::Terminate(instance)));
        if rng.random_bool(0.2) {
            let kill = stop + rng.random_range(20..1_000);
            faults.push(planned(kill, length, Fault::Kill(instance)));
        }
        at += rng.random_range(200..1_500);
    }
    faults
}

/// Connections of some instances to the store die without a word, once or twice.
pub(crate) fn connections_die(rng: &mut ChaCha8Rng, instances: usize) -> Vec<PlannedFault> {
    let mut series = Vec::new();
    for _ in 0..rng.random_range(1..=2) {
        let instance = rng.random_range(0..instances);
        let at_ms = rng.random_range(0..1_500);
        series.push(planned(at_ms, 1, Fault::SilenceStore(instance)));
    }
    series
}

/// Capacities of some workers shrink and grow again. Some of them take a while to stop tasks.
pub(crate) fn capacities_change(rng: &mut ChaCha8Rng, workers: usize) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    for worker in some_workers(rng, workers) {
        let at = rng.random_range(0..2_000);
        let length = rng.random_range(SHRINK_MS);
        let percent = rng.random_range(SHRINK_PERCENT);
        faults.push(planned(at, length, Fault::ShrinkWorker(worker, percent)));
        if rng.random_bool(0.5) {
            let at = at + rng.random_range(0..3_000);
            let length = rng.random_range(1_000..5_000);
            faults.push(planned(at, length, Fault::DelayStops(worker)));
        }
    }
    faults
}

/// Returns a series of faults around tasks that crash workers.
pub(crate) fn crash_series(rng: &mut ChaCha8Rng, workers: usize) -> Vec<PlannedFault> {
    let kinds: [fn(&mut ChaCha8Rng, usize) -> Vec<PlannedFault>; 6] = [
        owner_ends_at_crashes,
        owner_ends_at_crashes,
        owner_ends_on_slow_store,
        owner_changes,
        workers_restart,
        worker_responses_are_lost,
    ];
    // The array is not empty.
    kinds
        .choose(rng)
        .map_or_else(Vec::new, |series| series(rng, workers))
}

/// The store rejects records of some jobs, and the owner may end before it takes them again.
pub(crate) fn records_are_rejected(rng: &mut ChaCha8Rng) -> Vec<PlannedFault> {
    let at = rng.random_range(0..1_000);
    let length = rng.random_range(REJECTION_MS);
    let rejection = Fault::StoreRejects(rng.random_range(0..4));
    let mut faults = vec![planned(at, length, rejection).after(random_trigger(rng))];
    if rng.random_bool(0.6) {
        let end = at + rng.random_range(5..length);
        let length = rng.random_range(300..2_500);
        faults.push(planned(end, length, kill_or_pause(rng)).after(random_trigger(rng)));
    }
    faults
}

/// Several owners in a row end right after they have ordered a start or a worker has crashed.
pub(crate) fn owner_ends_at_crashes(rng: &mut ChaCha8Rng, _: usize) -> Vec<PlannedFault> {
    let mut at = rng.random_range(0..1_000);
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(1..=3) {
        let trigger = [Trigger::Start, Trigger::Crash, Trigger::Crash];
        let trigger = trigger.choose(rng).copied().unwrap_or(Trigger::Crash);
        let length = rng.random_range(300..2_500);
        faults.push(planned(at, length, kill_or_pause(rng)).after(trigger));
        at += rng.random_range(500..2_000);
    }
    faults
}

/// A fifth to two fifths of the workers drain and leave for good, all at once or in two steps.
pub(crate) fn workers_leave(rng: &mut ChaCha8Rng, workers: usize) -> Vec<PlannedFault> {
    let mut chosen: Vec<usize> = (0..workers).collect();
    chosen.shuffle(rng);
    chosen.truncate(rng.random_range(workers.div_ceil(5)..=(workers * 2 / 5).max(1)));
    let first_at = rng.random_range(4_000..6_500);
    let second_at = first_at + rng.random_range(1_000..3_000);
    let first = if rng.random_bool(0.5) {
        chosen.len()
    } else {
        chosen.len() / 2
    };
    let notice = [rng.random_range(NOTICE_MS), rng.random_range(NOTICE_MS)];
    let leave = |(index, worker)| {
        let (at, notice) = if index < first {
            (first_at, notice[0])
        } else {
            (second_at, notice[1])
        };
        planned(at, notice, Fault::LeaveWorker(worker))
    };
    chosen.into_iter().enumerate().map(leave).collect()
}
