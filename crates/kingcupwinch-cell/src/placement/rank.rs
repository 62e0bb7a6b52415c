//! The order of the workers that a step may use.

use std::sync::Arc;

use super::{Candidate, ReadyStep};
use crate::cell::Cell;
use crate::crash::Suspicion;
use crate::mechanism::Mechanism;
use crate::spec::StepSpec;
use crate::worker::{RACK_LABEL, WorkerKey};

/// The order of workers for a step. Workers that are likely to crash come last. Otherwise, workers on
/// the rack of the step's data come first. Among these, fast workers come first if slack is short.
/// Otherwise workers come first whose capacity no other step is about to use, and slow ones of these.
/// Then come the workers with the least CPU left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CandidateRank {
    is_risky: bool,
    is_far: bool,
    /// Latency-sensitive tasks avoid workers with best-effort tasks. Where that isn't possible, the
    /// best-effort tasks are stopped.
    has_best_effort: bool,
    /// The pace and the contention, the more important one first.
    pressure: (i64, i64),
    free_cpu: u64,
    key: WorkerKey,
}

impl Cell {
    pub(super) fn rack(&self, worker: WorkerKey) -> Option<&Arc<str>> {
        self.workers[worker].registration.labels.get(RACK_LABEL)
    }

    /// Returns the place of a worker in the order of workers for a step.
    pub(super) fn rank(
        &self,
        candidate: &Candidate,
        ready: &ReadyStep,
        spec: &StepSpec,
    ) -> CandidateRank {
        let data_rack = spec.data_rack.as_ref();
        let is_far = |rack| self.rack(candidate.key) != Some(rack);
        let avoids_best_effort = spec.latency_sensitive && self.uses(Mechanism::Isolation);
        let contention = candidate.contention(spec.charged_resources());
        let contention = i64::try_from(contention).unwrap_or(i64::MAX);
        CandidateRank {
            is_risky: candidate.suspicion >= Suspicion::Repeated,
            is_far: data_rack.is_some_and(is_far),
            has_best_effort: avoids_best_effort && candidate.has_best_effort,
            pressure: if ready.is_tight {
                (candidate.pace_band, contention)
            } else {
                (contention, -candidate.pace_band)
            },
            free_cpu: candidate.available.cpu,
            key: candidate.key,
        }
    }
}
