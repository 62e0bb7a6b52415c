use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::instance_list::{Instance, InstanceState};

/// The in-memory state of the instance list, with a lag before changes become visible.
#[derive(Debug, Default)]
pub struct InstanceListEngine {
    lag: Span,
    current: BTreeMap<Arc<str>, Instance>,
    hidden: BTreeSet<Arc<str>>,
    /// Snapshots that a reader may still see, oldest first, each with its creation time.
    history: VecDeque<(Time, Vec<Instance>)>,
}

impl InstanceListEngine {
    /// Creates an empty list without lag.
    pub fn new() -> Self {
        InstanceListEngine::default()
    }

    /// Sets the time after which changes become visible to readers.
    pub fn with_lag(mut self, lag: Span) -> Self {
        self.lag = lag;
        self
    }

    /// Adds or replaces an instance.
    pub fn put(&mut self, now: Time, instance: Instance) {
        self.current.insert(Arc::clone(&instance.name), instance);
        self.record(now);
    }

    /// Removes an instance.
    pub fn remove(&mut self, now: Time, name: &str) {
        self.current.remove(name);
        self.record(now);
    }

    /// Sets the state of an instance; does nothing for an instance that is not listed.
    pub fn set_state(&mut self, now: Time, name: &str, state: InstanceState) {
        if let Some(instance) = self.current.get_mut(name) {
            instance.state = state;
        }
        self.record(now);
    }

    /// Omits an instance from the list, without lag, until [`InstanceListEngine::show`].
    pub fn hide(&mut self, name: &str) {
        self.hidden.insert(name.into());
    }

    /// Reverts [`InstanceListEngine::hide`].
    pub fn show(&mut self, name: &str) {
        self.hidden.remove(name);
    }

    /// Returns the visible list, ordered by name.
    pub fn read(&mut self, now: Time, domain: Option<&str>) -> Vec<Instance> {
        self.drop_outdated(now);
        let Some((created, visible)) = self.history.front() else {
            return Vec::new();
        };
        if *created + self.lag > now {
            return Vec::new();
        }
        let wanted = |i: &&Instance| domain.is_none_or(|d| *i.domain == *d);
        let listed = visible.iter().filter(wanted);
        let listed = listed.filter(|i| !self.hidden.contains(&i.name));
        listed.cloned().collect()
    }

    fn record(&mut self, now: Time) {
        let state = self.current.values().cloned().collect();
        self.history.push_back((now, state));
        self.drop_outdated(now);
    }

    /// Drops snapshots that a newer visible one has replaced.
    fn drop_outdated(&mut self, now: Time) {
        while let Some((created, _)) = self.history.get(1)
            && *created + self.lag <= now
        {
            self.history.pop_front();
        }
    }
}
