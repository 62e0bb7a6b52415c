//! Collects the faults that the checks find.

use std::collections::HashSet;
use std::sync::Arc;

use crate::fault::{Fault, FaultKind};
use crate::node::Location;
use crate::origin::Origins;

/// Collects at most one fault per setting and looks up the locations of the settings.
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

    /// Adds a fault of a setting.
    pub(super) fn add(&mut self, path: &str, kind: FaultKind) {
        self.insert(path, kind, None);
    }

    /// Adds a fault for a value that is invalid regardless of other settings.
    pub(super) fn add_invalid(&mut self, path: &str, cause: String) {
        self.insert(path, FaultKind::Inconsistent(Arc::from(cause)), None);
    }

    /// Adds a fault for a setting that conflicts with another one, unless that one has a fault.
    pub(super) fn add_conflict(&mut self, path: &str, other: &str, cause: String) {
        if self.is_faulty(other) {
            return;
        }
        let conflict = self.origins.location(other).cloned();
        self.insert(path, FaultKind::Inconsistent(Arc::from(cause)), conflict);
    }

    /// Inserts a fault unless the setting has one: later ones may only follow from the first.
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
