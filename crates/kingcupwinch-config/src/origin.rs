//! Locations at which the settings were set.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::folder::SkippedEntry;
use crate::node::{Location, Node, Value};
use crate::tree::Tree;

/// A valid configuration, as loaded from a folder or from texts.
#[derive(Debug, Clone)]
pub struct LoadedConfig {
    /// Merged settings.
    pub tree: Tree,
    /// Location of each setting.
    pub origins: Origins,
    /// Names of the merged files, in merge order.
    pub files: Vec<Arc<str>>,
    /// Entries of the folder that were skipped.
    pub skipped: Vec<SkippedEntry>,
}

/// Locations of settings by dotted path; settings left at their defaults have none.
#[derive(Debug, Clone, Default)]
pub struct Origins {
    locations: BTreeMap<Arc<str>, Location>,
}

impl Origins {
    /// Collects the locations of the root and of every node below it.
    pub(crate) fn new(root: &Node) -> Self {
        let mut origins = Origins::default();
        origins.collect("", root);
        origins
    }

    /// Stores only the location of the root, for a tree read from a record.
    pub(crate) fn root_only(root: &Node) -> Self {
        let mut origins = Origins::default();
        origins
            .locations
            .insert(Arc::from(""), root.location.clone());
        origins
    }

    fn collect(&mut self, path: &str, node: &Node) {
        self.locations
            .insert(Arc::from(path), node.location.clone());
        if let Value::Table(table) = &node.value {
            for (key, child) in table {
                self.collect(&join_path(path, key), child);
            }
        }
    }

    /// Returns the location of a setting, by dotted path such as `classes.check.least`.
    pub fn location(&self, path: &str) -> Option<&Location> {
        self.locations.get(path)
    }

    /// Iterates over the paths set by files and their locations, ordered by path.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Location)> {
        self.locations.iter().filter(|(path, _)| !path.is_empty())
    }

    /// Returns the location of a setting or, if it is unset, of the innermost table around it.
    pub(crate) fn nearest(&self, path: &str) -> Option<&Location> {
        let mut path = path;
        loop {
            if let Some(location) = self.locations.get(path) {
                return Some(location);
            }
            path = path.rsplit_once('.').map_or("", |(parent, _)| parent);
        }
    }
}

/// Appends a key to a dotted path.
pub(crate) fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}
