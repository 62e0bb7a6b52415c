//! The tasks of a step. Only those that have begun and are not done take memory.

use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};
use std::sync::LazyLock;

use kingcupwinch_time::Time;
use smallvec::{SmallVec, smallvec};

use crate::job::{Task, TaskState};

static WAITING: LazyLock<Task> = LazyLock::new(|| Task::new(TaskState::Waiting));
static DONE: LazyLock<Task> = LazyLock::new(|| Task::new(TaskState::Done));

/// The tasks of a step by their indexes.
#[derive(Debug)]
pub(crate) struct TaskTable {
    count: u16,
    /// The tasks that have a state of their own.
    begun: BTreeMap<u16, Task>,
    /// A bit for each task that is done. Empty while none is.
    done: SmallVec<[u64; 1]>,
}

impl TaskTable {
    /// Creates a table of tasks that wait.
    pub(crate) fn new(count: u16) -> Self {
        TaskTable {
            count,
            begun: BTreeMap::new(),
            done: SmallVec::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        usize::from(self.count)
    }

    /// Returns all tasks in order of their indexes.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Task> {
        let mut begun = self.begun.iter().peekable();
        (0..self.count).map(
            move |index| match begun.next_if(|(known, _)| **known == index) {
                Some((_, task)) => task,
                None => self.untouched(index),
            },
        )
    }

    /// Returns the tasks that have a state of their own, with their indexes.
    pub(crate) fn begun(&self) -> impl Iterator<Item = (usize, &Task)> {
        let begun = self.begun.iter();
        begun.map(|(index, task)| (usize::from(*index), task))
    }

    /// Returns the indexes of the tasks that may be started now, in order.
    pub(crate) fn free(&self, now: Time) -> impl Iterator<Item = usize> {
        let tasks = self.iter().enumerate();
        tasks.filter_map(move |(index, task)| task.is_free(now).then_some(index))
    }

    /// Marks a task as done.
    pub(crate) fn finish(&mut self, index: usize) {
        if self.done.is_empty() {
            self.done = smallvec![0; self.len().div_ceil(64)];
        }
        self.done[index / 64] |= 1 << (index % 64);
        if let Some(task) = self.begun.get_mut(&(index as u16)) {
            task.state = TaskState::Done;
        }
        self.forget_finished(index);
    }

    /// Frees what a task takes that is done and whose runs have all ended.
    pub(crate) fn forget_finished(&mut self, index: usize) {
        let index = index as u16;
        let is_over = |task: &Task| task.state == TaskState::Done && task.unsettled_runs == 0;
        if self.begun.get(&index).is_some_and(is_over) {
            self.begun.remove(&index);
        }
    }

    fn is_done(&self, index: u16) -> bool {
        let bits = self.done.get(usize::from(index / 64));
        bits.is_some_and(|bits| bits >> (index % 64) & 1 == 1)
    }

    /// Returns a task that has no state of its own.
    fn untouched(&self, index: u16) -> &Task {
        if self.is_done(index) { &DONE } else { &WAITING }
    }
}

impl Index<usize> for TaskTable {
    type Output = Task;

    fn index(&self, index: usize) -> &Task {
        assert!(index < self.len(), "the step has no task {index}");
        let index = index as u16;
        let begun = self.begun.get(&index);
        begun.unwrap_or_else(|| self.untouched(index))
    }
}

impl IndexMut<usize> for TaskTable {
    fn index_mut(&mut self, index: usize) -> &mut Task {
        assert!(index < self.len(), "the step has no task {index}");
        let index = index as u16;
        let state = self.untouched(index).state;
        let task = || Task::new(state);
        self.begun.entry(index).or_insert_with(task)
    }
}
