use kingcupwinch_adapter::Partition;
use kingcupwinch_cell::JobId;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::layout::IntakeKey;

#[cfg(test)]
mod tests;

/// Partitions of the intake that hold records of each job.
#[derive(Debug, Default)]
pub(crate) struct Origins {
    partitions: FxHashMap<JobId, SmallVec<[Partition; 2]>>,
    /// The highest partition that holds the acceptance of each job.
    accepted: FxHashMap<JobId, Partition>,
}

impl Origins {
    /// Adds a record that is in the log. Returns the partition of a duplicate of the job's acceptance that
    /// may be deleted, so that a takeover reads one: all but the one in the highest partition. No owner
    /// deletes that one before the job ends, whatever it knows of the others.
    pub(crate) fn add(&mut self, key: IntakeKey, partition: Partition) -> Option<Partition> {
        let id = key.job();
        let known = self.partitions.entry(id).or_default();
        if !known.contains(&partition) {
            known.push(partition);
        }
        if matches!(key, IntakeKey::Cancelled(_)) {
            return None;
        }
        let highest = self.accepted.entry(id).or_insert(partition);
        let duplicate = if partition.number > highest.number {
            std::mem::replace(highest, partition)
        } else {
            partition
        };
        (duplicate != *highest).then_some(duplicate)
    }

    /// Returns whether any partition holds a record of a job.
    pub(crate) fn contains_job(&self, id: JobId) -> bool {
        self.partitions.contains_key(&id)
    }

    /// Forgets a job; returns the partitions that hold records of it.
    pub(crate) fn remove(&mut self, id: JobId) -> SmallVec<[Partition; 2]> {
        self.accepted.remove(&id);
        self.partitions.remove(&id).unwrap_or_default()
    }

    /// Returns the jobs that have records.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.partitions.keys().copied()
    }
}
