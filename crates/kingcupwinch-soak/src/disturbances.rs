//! Times at which an instance may be unable to apply a configuration.

use std::time::{Duration, Instant};

use crate::plan::Fault;

/// Time without a disturbance after which an instance has to apply configurations within the bound.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// A fault of an instance, of its link to the store, or of the store.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    /// Index of the instance; `None` if all are disturbed.
    pub instance: Option<usize>,
    /// Start of the fault.
    pub from: Instant,
    /// End of the fault; `None` if it has not ended.
    pub until: Option<Instant>,
}

impl Disturbance {
    fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// Disturbances of a run, with the faults that cause them.
#[derive(Debug, Default)]
pub(crate) struct Disturbances {
    rows: Vec<(Fault, Disturbance)>,
}

impl Disturbances {
    /// Records the start of a fault.
    pub(crate) fn begin(&mut self, fault: Fault) {
        if let Some(instance) = disturbed_instance(fault) {
            let disturbance = Disturbance {
                instance,
                from: Instant::now(),
                until: None,
            };
            self.rows.push((fault, disturbance));
        }
    }

    /// Records the end of a fault.
    pub(crate) fn end(&mut self, fault: Fault) {
        let mut rows = self.rows.iter_mut();
        let open = rows.find(|(begun, row)| *begun == fault && row.until.is_none());
        if let Some((_, row)) = open {
            row.until = Some(Instant::now());
        }
    }

    /// Records the end of all faults.
    pub(crate) fn end_all(&mut self) {
        for (_, row) in &mut self.rows {
            row.until.get_or_insert_with(Instant::now);
        }
    }

    /// Returns the disturbances so far.
    pub(crate) fn all(&self) -> Vec<Disturbance> {
        self.rows.iter().map(|(_, row)| *row).collect()
    }
}

/// Returns which instance a fault disturbs, where `Some(None)` stands for all; `None` for a fault of a
/// worker or of the operator.
fn disturbed_instance(fault: Fault) -> Option<Option<usize>> {
    match fault {
        Fault::Kill(index)
        | Fault::Pause(index)
        | Fault::Terminate(index)
        | Fault::PartitionStore(index)
        | Fault::BlockStoreResponses(index)
        | Fault::ResetStore(index)
        | Fault::DelayStore(index)
        | Fault::SilenceStore(index) => Some(Some(index)),
        Fault::KillAll
        | Fault::OnOwner(_)
        | Fault::StoreBusy
        | Fault::StoreUnresponsive
        | Fault::StoreSlow(_)
        | Fault::StoreDropsResponses
        | Fault::StoreTruncates
        | Fault::StoreDelaysAppends => Some(None),
        Fault::Hangup(_)
        | Fault::Crowd(_)
        | Fault::PartitionWorker(_)
        | Fault::BlockWorkerResponses(_)
        | Fault::ResetWorker(_)
        | Fault::CrashWorker(_)
        | Fault::ReplaceWorker(_)
        | Fault::DrainWorker(_)
        | Fault::LeaveWorker(_)
        | Fault::ShrinkWorker(..)
        | Fault::HangWorker(_)
        | Fault::FailWorker(_)
        | Fault::Publish
        | Fault::StoreRejects(_)
        | Fault::UnlistWorker(_)
        | Fault::ListPreviousWorker(_)
        | Fault::CloseWorker(_)
        | Fault::AbortWorker(_)
        | Fault::LoseWorkerResponses(_)
        | Fault::DelayStarts(_)
        | Fault::DelayCalls(_)
        | Fault::DelayStops(_) => None,
    }
}

/// Returns whether an instance was undisturbed all the while between two times, and for the contact
/// time before.
pub(crate) fn is_in_touch(
    disturbances: &[Disturbance],
    instance: usize,
    from: Instant,
    until: Instant,
) -> bool {
    let Some(start) = from.checked_sub(CONTACT_TIME) else {
        return false;
    };
    let mut rows = disturbances.iter();
    !rows
        .any(|row| row.instance.is_none_or(|index| index == instance) && row.overlaps(start, until))
}
