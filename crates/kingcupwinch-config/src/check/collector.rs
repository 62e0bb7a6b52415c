//! Gathers the faults of the checks.

use std::collections::HashSet;
use std::sync::Arc;

use crate::fault::{Fault, FaultKind};
use crate::node::Location;
use crate::origin::Origins;

/// Notes faults by the paths of the settings, and finds where those were set.
pub(super) struct FaultCollector<'a> {
    origins: &'a Origins,
    faults: &'a mut Vec<Fault>,
    faulty_paths: HashSet<Arc<str>>,
}

impl<'a> FaultCollector<'a> {
    pub(super) fn new(origins: &'a Origins, faults: &'a mut Vec<Fault>) -> Self {
        let faulty_paths = faults.iter().map(|f| Arc::clone(&f.path)).collect();
        FaultCollector {
            origins,
            faults,
            faulty_paths,
        }
    }

    /// Notes a fault of one setting.
    pub(super) fn add(&mut self, path: &str, kind: FaultKind) {
        self.insert(path, kind, None);
    }

    /// Notes a value that can't work, whatever the other settings are.
    pub(super) fn add_invalid(&mut self, path: &str, cause: String) {
        self.insert(path, FaultKind::Inconsistent(Arc::from(cause)), None);
    }

    /// Notes that two settings contradict each other.
    pub(super) fn add_conflict(&mut self, path: &str, other: &str, cause: String) {
        if self.is_faulty(other) {
            return;
        }
        let conflict = self.origins.location(other).cloned();
        self.insert(path, FaultKind::Inconsistent(Arc::from(cause)), conflict);
    }

    /// Leaves out what only follows from a fault already noted of the same setting.
    fn insert(&mut self, path: &str, kind: FaultKind, conflict: Option<Location>) {
        if self.is_faulty(path) {
            return;
        }
        let path: Arc<str> = Arc::from(path);
        self.faulty_paths.insert(Arc::clone(&path));
        let location = self.origins.nearest(&path);
        self.faults.push(Fault {
            location: location.cloned().unwrap_or_else(|| Location::new("")),
            path,
            kind,
            conflict,
        });
    }

    fn is_faulty(&self, path: &str) -> bool {
        self.faulty_paths.contains(path)
    }
}
