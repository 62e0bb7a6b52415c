//! The location that set each setting.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::folder::SkippedEntry;
use crate::node::{Location, Node, Value};
use crate::tree::Tree;

/// A folder that was read, merged and checked without a fault.
#[derive(Debug, Clone)]
pub struct LoadedConfig {
    /// The merged tree.
    pub tree: Tree,
    /// Where each setting was set.
    pub origins: Origins,
    /// The files in the order of their merge.
    pub files: Vec<Arc<str>>,
    /// What was passed over in the folder.
    pub skipped: Vec<SkippedEntry>,
}

/// The location of each setting by its dotted path; settings left to their defaults have none.
#[derive(Debug, Clone, Default)]
pub struct Origins {
    locations: BTreeMap<Arc<str>, Location>,
}

impl Origins {
    /// Collects the locations of every node below the root.
    pub(crate) fn new(root: &Node) -> Self {
        let mut origins = Origins::default();
        origins.collect("", root);
        origins
    }

    /// Knows only the location of the root, for a tree that comes from a record.
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

    /// Returns where a setting was set, by its dotted path such as `classes.check.least`.
    pub fn location(&self, path: &str) -> Option<&Location> {
        self.locations.get(path)
    }

    /// Returns every path that a file set, with its location, in the order of the paths.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Location)> {
        self.locations.iter().filter(|(path, _)| !path.is_empty())
    }

    /// Returns the location of a setting or, where it is unset, of the nearest table around it.
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
