use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kingcupwinch_time::Time;
use kingcupwinch_wire::worker::WorkKind;
use uuid::Uuid;

use crate::clock::TokioClock;

/// Where a start stands in its history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StartIndex(usize);

/// One start of work on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The worker.
    pub worker: Arc<str>,
    /// The task, or the id of a live request.
    pub task: Uuid,
    /// The attempt.
    pub attempt: u32,
    /// The owner's term.
    pub term: u64,
    /// Whether it is a live request or a task.
    pub kind: WorkKind,
    /// The service or class.
    pub class: Arc<str>,
    /// The request's idempotency key.
    pub key: Option<Arc<str>>,
    /// The caller's own id of the request.
    pub request: Option<Arc<str>>,
    /// When it started.
    pub started: Time,
    /// When it ended, none while it runs.
    pub ended: Option<Time>,
}

impl Start {
    /// Returns whether both ran at one time.
    pub fn overlaps(&self, other: &Start) -> bool {
        let ends_after = |a: &Start, b: &Start| a.ended.is_none_or(|end| end > b.started);
        ends_after(self, other) && ends_after(other, self)
    }
}

/// All that was started on a set of workers; clones share one history.
#[derive(Debug, Clone)]
pub struct History {
    clock: TokioClock,
    starts: Arc<Mutex<Vec<Start>>>,
}

impl History {
    /// Makes an empty history.
    pub fn new() -> Self {
        History {
            clock: TokioClock::new(),
            starts: Arc::default(),
        }
    }

    /// Returns every start, in order.
    pub fn starts(&self) -> Vec<Start> {
        self.entries().clone()
    }

    /// Returns the starts of one task or live request.
    pub fn starts_of(&self, task: Uuid) -> Vec<Start> {
        let starts = self.entries();
        starts.iter().filter(|s| s.task == task).cloned().collect()
    }

    /// Returns how often a request with this idempotency key was started.
    pub fn key_starts(&self, key: &str) -> usize {
        let starts = self.entries();
        starts
            .iter()
            .filter(|s| s.key.as_deref() == Some(key))
            .count()
    }

    /// Returns how often a request with this id of the caller was started.
    pub fn request_starts(&self, request: &str) -> usize {
        let starts = self.entries();
        let matches = |s: &&Start| s.request.as_deref() == Some(request);
        starts.iter().filter(matches).count()
    }

    /// Returns the idempotency keys that were started more than once.
    pub fn repeated_keys(&self) -> Vec<Arc<str>> {
        let starts = self.entries();
        let mut counts: HashMap<&Arc<str>, u32> = HashMap::new();
        for key in starts.iter().filter_map(|s| s.key.as_ref()) {
            *counts.entry(key).or_default() += 1;
        }
        let doubled = counts.into_iter().filter(|(_, n)| *n > 1);
        doubled.map(|(key, _)| Arc::clone(key)).collect()
    }

    /// Returns the starts under a term older than one that their worker had seen.
    pub fn stale_starts(&self) -> Vec<Start> {
        let starts = self.entries();
        let mut newest: HashMap<&Arc<str>, u64> = HashMap::new();
        let mut stale = Vec::new();
        for start in starts.iter() {
            let seen = newest.entry(&start.worker).or_default();
            if start.term < *seen {
                stale.push(start.clone());
            }
            *seen = start.term.max(*seen);
        }
        stale
    }

    /// Returns the pairs of starts of one task that ran at one time.
    pub fn overlapping_tasks(&self) -> Vec<(Start, Start)> {
        let starts = self.entries();
        let mut by_task: HashMap<Uuid, Vec<&Start>> = HashMap::new();
        let mut doubled = Vec::new();
        for start in starts.iter().filter(|s| s.kind == WorkKind::Task) {
            let earlier = by_task.entry(start.task).or_default();
            let overlapping = earlier.iter().filter(|e| e.overlaps(start));
            doubled.extend(overlapping.map(|e| ((*e).clone(), start.clone())));
            earlier.push(start);
        }
        doubled
    }

    pub(crate) fn begin(&self, start: Start) -> StartIndex {
        let mut starts = self.entries();
        starts.push(start);
        StartIndex(starts.len() - 1)
    }

    pub(crate) fn end(&self, index: StartIndex, now: Time) {
        if let Some(start) = self.entries().get_mut(index.0) {
            start.ended = Some(now);
        }
    }

    pub(crate) fn clock(&self) -> TokioClock {
        self.clock
    }

    fn entries(&self) -> MutexGuard<'_, Vec<Start>> {
        self.starts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for History {
    fn default() -> Self {
        History::new()
    }
}
