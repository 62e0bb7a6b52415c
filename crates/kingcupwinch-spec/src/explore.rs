//! Breadth-first exploration of all reachable states of a model.

use std::fmt;
use std::hash::Hash;

use indexmap::IndexSet;
use rustc_hash::FxBuildHasher;

/// A specification as a pure transition function.
pub trait Model {
    /// A state, small and cheap to copy.
    type State: Copy + Eq + Hash;
    /// A step from one state to the next; its text appears in traces.
    type Event: fmt::Display;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;

    /// Calls `visit` with every enabled event and the state after it.
    fn for_each_next(&self, state: &Self::State, visit: &mut dyn FnMut(Self::Event, Self::State));

    /// Returns the representative of all states that are equal to this one by symmetry.
    fn canonical(&self, state: Self::State) -> Self::State {
        state
    }

    /// Returns the name of a property that the state violates, or `None` if it satisfies all.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// The outcome of an exploration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Every reachable state satisfies every property.
    Holds,
    /// A state violates a property.
    Violated {
        /// The name of the property.
        property: &'static str,
        /// A shortest sequence of events from the initial state to the violating one.
        trace: Vec<String>,
    },
    /// The maximum number of states was exceeded before the exploration ended.
    Truncated,
}

/// The result of an exploration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The outcome.
    pub outcome: Outcome,
    /// Number of distinct states reached.
    pub states: usize,
    /// Number of transitions taken.
    pub transitions: u64,
    /// The longest of the shortest distances from the initial state, as a number of events.
    pub depth: u32,
}

const NO_PARENT: u32 = u32::MAX;

struct Search<'a, M: Model> {
    model: &'a M,
    seen: IndexSet<M::State, FxBuildHasher>,
    parents: Vec<u32>,
    transitions: u64,
    depth: u32,
}

/// Visits all reachable states, and stops when more than `max_states` have been reached.
pub fn explore<M: Model>(model: &M, max_states: usize) -> Report {
    let mut search = Search {
        model,
        seen: IndexSet::default(),
        parents: Vec::new(),
        transitions: 0,
        depth: 0,
    };
    let outcome = search.run(max_states);
    Report {
        outcome,
        states: search.seen.len(),
        transitions: search.transitions,
        depth: search.depth,
    }
}

impl<M: Model> Search<'_, M> {
    fn run(&mut self, max_states: usize) -> Outcome {
        self.add(self.model.initial(), NO_PARENT);
        let mut index = 0;
        let mut level_end = 1;
        while let Some(state) = self.seen.get_index(index).copied() {
            if let Some(property) = self.model.violation(&state) {
                let trace = self.trace(index);
                return Outcome::Violated { property, trace };
            }
            if self.seen.len() > max_states {
                return Outcome::Truncated;
            }
            if index == level_end {
                self.depth += 1;
                level_end = self.seen.len();
            }
            self.expand(index, &state);
            index += 1;
        }
        Outcome::Holds
    }

    fn expand(&mut self, index: usize, state: &M::State) {
        let model = self.model;
        let parent = u32::try_from(index).unwrap_or(NO_PARENT);
        model.for_each_next(state, &mut |_, next| {
            self.transitions += 1;
            self.add(next, parent);
        });
    }

    fn add(&mut self, state: M::State, parent: u32) {
        if self.seen.insert(self.model.canonical(state)) {
            self.parents.push(parent);
        }
    }

    fn trace(&self, index: usize) -> Vec<String> {
        let mut path = vec![index];
        let mut current = self.parents[index];
        while current != NO_PARENT {
            path.push(current as usize);
            current = self.parents[current as usize];
        }
        path.reverse();
        path.windows(2).map(|w| self.event(w[0], w[1])).collect()
    }

    /// Returns the text of an event that leads from one state directly to another.
    fn event(&self, from: usize, to: usize) -> String {
        let (from, to) = (&self.seen[from], &self.seen[to]);
        let mut name = None;
        self.model.for_each_next(from, &mut |event, next| {
            if name.is_none() && self.model.canonical(next) == *to {
                name = Some(event.to_string());
            }
        });
        name.unwrap_or_default()
    }
}
