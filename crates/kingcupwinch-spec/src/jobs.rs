//! Specification of a job stream: its state is a fold over the whole log.

use std::collections::{BTreeMap, BTreeSet};

/// An entry of the job stream. A job is identified by a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEntry {
    /// A job was accepted.
    Accepted(u64),
    /// A job may have started.
    Started {
        /// The job.
        job: u64,
        /// The term of the owner that started it.
        term: u64,
    },
    /// A job ended.
    Ended {
        /// The job.
        job: u64,
        /// Whether the job succeeded.
        succeeded: bool,
    },
    /// A snapshot of the first `covers` entries.
    Snapshot {
        /// Number of entries that the snapshot covers.
        covers: usize,
    },
}

/// The open, started and ended jobs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobState {
    /// Open jobs.
    pub open: BTreeSet<u64>,
    /// The newest term in which each open job may have started.
    pub started: BTreeMap<u64, u64>,
    /// Ended jobs, and whether they succeeded.
    pub ended: BTreeMap<u64, bool>,
}

/// Returns the state after all entries of the log.
///
/// Snapshots don't change the state.
pub fn job_state(log: &[JobEntry]) -> JobState {
    let mut state = JobState::default();
    for entry in log {
        match *entry {
            JobEntry::Accepted(job) => state.accept(job),
            JobEntry::Started { job, term } => state.start(job, term),
            JobEntry::Ended { job, succeeded } => state.end(job, succeeded),
            JobEntry::Snapshot { .. } => {}
        }
    }
    state
}

impl JobState {
    fn accept(&mut self, job: u64) {
        if !self.ended.contains_key(&job) {
            self.open.insert(job);
        }
    }

    fn start(&mut self, job: u64, term: u64) {
        if self.open.contains(&job) {
            let newest = self.started.entry(job).or_default();
            *newest = term.max(*newest);
        }
    }

    fn end(&mut self, job: u64, succeeded: bool) {
        self.open.remove(&job);
        self.started.remove(&job);
        self.ended.entry(job).or_insert(succeeded);
    }
}
