use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kingcupwinch_time::Time;
use kingcupwinch_wire::worker::WorkKind;
use uuid::Uuid;

use crate::clock::TokioClock;

/// The index of a start in its history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StartIndex(usize);

/// The start of a request or task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The worker's name.
    pub worker: Arc<str>,
    /// The task's ID, or the ID of a live request.
    pub task: Uuid,
    /// The attempt number.
    pub attempt: u32,
    /// The owner's term.
    pub term: u64,
    /// Whether this is a live request or a task.
    pub kind: WorkKind,
    /// The service of a request, or the class of a task.
    pub class: Arc<str>,
    /// The request's idempotency key.
    pub key: Option<Arc<str>>,
    /// The caller's ID of the request.
    pub request: Option<Arc<str>>,
    /// The start time.
    pub started: Time,
    /// The end time, or none while the work is running.
    pub ended: Option<Time>,
}

impl Start {
    /// Returns whether both ran concurrently.
    pub fn overlaps(&self, other: &Start) -> bool {
        let ends_after = |a: &Start, b: &Start| a.ended.is_none_or(|end| end > b.started);
        ends_after(self, other) && ends_after(other, self)
    }
}

/// The history of all starts on a set of workers; clones share the history.
#[derive(Debug, Clone)]
pub struct History {
    clock: TokioClock,
    starts: Arc<Mutex<Vec<Start>>>,
}

impl History {
    /// Creates an empty history.
    pub fn new() -> Self {
        History {
            clock: TokioClock::new(),
            starts: Arc::default(),
        }
    }

    /// Returns all starts in order.
    pub fn starts(&self) -> Vec<Start> {
        self.entries().clone()
    }

    /// Returns the starts of one task or live request.
    pub fn starts_of(&self, task: Uuid) -> Vec<Start> {
        let starts = self.entries();
        starts.iter().filter(|s| s.task == task).cloned().collect()
    }

    /// Returns the number of starts with this idempotency key.
    pub fn key_starts(&self, key: &str) -> usize {
        let starts = self.entries();
        starts
            .iter()
            .filter(|s| s.key.as_deref() == Some(key))
            .count()
    }

    /// Returns the number of starts with this request ID of the caller.
    pub fn request_starts(&self, request: &str) -> usize {
        let starts = self.entries();
        let matches = |s: &&Start| s.request.as_deref() == Some(request);
        starts.iter().filter(matches).count()
    }

    /// Returns the idempotency keys with more than one start.
    pub fn repeated_keys(&self) -> Vec<Arc<str>> {
        let starts = self.entries();
        let mut counts: HashMap<&Arc<str>, u32> = HashMap::new();
        for key in starts.iter().filter_map(|s| s.key.as_ref()) {
            *counts.entry(key).or_default() += 1;
        }
        let repeated = counts.into_iter().filter(|(_, n)| *n > 1);
        repeated.map(|(key, _)| Arc::clone(key)).collect()
    }

    /// Returns the starts under an older term than their worker had already seen.
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

    /// Returns the pairs of starts of the same task that ran concurrently.
    pub fn overlapping_tasks(&self) -> Vec<(Start, Start)> {
        let starts = self.entries();
        let mut by_task: HashMap<Uuid, Vec<&Start>> = HashMap::new();
        let mut overlaps = Vec::new();
        for start in starts.iter().filter(|s| s.kind == WorkKind::Task) {
            let earlier = by_task.entry(start.task).or_default();
            let overlapping = earlier.iter().filter(|e| e.overlaps(start));
            overlaps.extend(overlapping.map(|e| ((*e).clone(), start.clone())));
            earlier.push(start);
        }
        overlaps
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
