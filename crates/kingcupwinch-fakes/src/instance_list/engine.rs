use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::instance_list::{Instance, InstanceState};

/// The instances and the list's lag.
#[derive(Debug, Default)]
pub struct InstanceListEngine {
    lag: Span,
    current: BTreeMap<Arc<str>, Instance>,
    hidden: BTreeSet<Arc<str>>,
    /// States that a reader may still see, oldest first, each with the time it was made.
    history: VecDeque<(Time, Vec<Instance>)>,
}

impl InstanceListEngine {
    /// Makes an empty list that shows each change at once.
    pub fn new() -> Self {
        InstanceListEngine::default()
    }

    /// Makes readers see each change only after `lag`.
    pub fn with_lag(mut self, lag: Span) -> Self {
        self.lag = lag;
        self
    }

    /// Adds or replaces an instance.
    pub fn put(&mut self, now: Time, instance: Instance) {
        self.current.insert(Arc::clone(&instance.name), instance);
        self.note(now);
    }

    /// Removes an instance.
    pub fn remove(&mut self, now: Time, name: &str) {
        self.current.remove(name);
        self.note(now);
    }

    /// Marks an instance as live or leaving; one that is not listed stays so.
    pub fn set_state(&mut self, now: Time, name: &str, state: InstanceState) {
        if let Some(instance) = self.current.get_mut(name) {
            instance.state = state;
        }
        self.note(now);
    }

    /// Makes the list omit an instance wrongly, without lag, until it is shown again.
    pub fn hide(&mut self, name: &str) {
        self.hidden.insert(name.into());
    }

    /// Ends [`InstanceListEngine::hide`].
    pub fn show(&mut self, name: &str) {
        self.hidden.remove(name);
    }

    /// Returns the list as a reader sees it, in order of name.
    pub fn read(&mut self, now: Time, domain: Option<&str>) -> Vec<Instance> {
        self.forget(now);
        let Some((made, seen)) = self.history.front() else {
            return Vec::new();
        };
        if *made + self.lag > now {
            return Vec::new();
        }
        let wanted = |i: &&Instance| domain.is_none_or(|d| *i.domain == *d);
        let listed = seen.iter().filter(wanted);
        let listed = listed.filter(|i| !self.hidden.contains(&i.name));
        listed.cloned().collect()
    }

    fn note(&mut self, now: Time) {
        let state = self.current.values().cloned().collect();
        self.history.push_back((now, state));
        self.forget(now);
    }

    /// Drops states that a newer visible one has replaced.
    fn forget(&mut self, now: Time) {
        while let Some((made, _)) = self.history.get(1)
            && *made + self.lag <= now
        {
            self.history.pop_front();
        }
    }
}
