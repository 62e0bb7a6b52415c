use kingcupwinch_adapter::Partition;
use kingcupwinch_cell::JobId;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::layout::IntakeKey;

#[cfg(test)]
mod tests;

/// Intake records that are to be deleted, until their deletions are known to be executed.
#[derive(Debug, Default)]
pub(crate) struct Deletions {
    due: FxHashSet<(Partition, IntakeKey)>,
    /// The number of deletions of each job that are due or sent. A record that was appended again since its
    /// deletion was sent has a further one.
    open: FxHashMap<JobId, usize>,
}

impl Deletions {
    /// Adds a record that is to be deleted.
    pub(crate) fn add(&mut self, partition: Partition, key: IntakeKey) {
        if self.due.insert((partition, key)) {
            *self.open.entry(key.job()).or_default() += 1;
        }
    }

    /// Takes what is due. The caller reports the outcome with [`Deletions::finish`].
    pub(crate) fn take_due(&mut self) -> Vec<(Partition, IntakeKey)> {
        self.due.drain().collect()
    }

    /// Records that deletions have been sent. Those that may not have been executed become due again.
    pub(crate) fn finish(
        &mut self,
        sent: &[(Partition, IntakeKey)],
        failed: &[(Partition, IntakeKey)],
    ) {
        for (partition, key) in failed {
            self.add(*partition, *key);
        }
        for (_, key) in sent {
            let id = key.job();
            if let Some(open) = self.open.get_mut(&id) {
                *open -= 1;
                if *open == 0 {
                    self.open.remove(&id);
                }
            }
        }
    }

    /// Returns whether the log may hold a record of a job that is to be deleted.
    pub(crate) fn contains(&self, id: JobId) -> bool {
        self.open.contains_key(&id)
    }
}
