//! The place that set each setting.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::folder::Skipped;
use crate::node::{Node, Place, Value};
use crate::tree::Tree;

/// A folder that was read, merged and checked without a fault.
#[derive(Debug, Clone)]
pub struct Loaded {
    /// The merged tree.
    pub tree: Tree,
    /// Where each setting was set.
    pub origins: Origins,
    /// The files in the order of their merge.
    pub files: Vec<Arc<str>>,
    /// What was passed over in the folder.
    pub skipped: Vec<Skipped>,
}

/// The place of each setting by its dotted path; settings left to their defaults have none.
#[derive(Debug, Clone, Default)]
pub struct Origins {
    places: BTreeMap<Arc<str>, Place>,
}

impl Origins {
    /// Collects the places of every node below the root.
    pub(crate) fn new(root: &Node) -> Self {
        let mut origins = Origins::default();
        origins.collect("", root);
        origins
    }

    /// Knows only the place of the root, for a tree that comes from a record.
    pub(crate) fn with_root(root: &Node) -> Self {
        let mut origins = Origins::default();
        origins.places.insert(Arc::from(""), root.place.clone());
        origins
    }

    fn collect(&mut self, path: &str, node: &Node) {
        self.places.insert(Arc::from(path), node.place.clone());
        if let Value::Table(table) = &node.value {
            for (key, child) in table {
                self.collect(&join_path(path, key), child);
            }
        }
    }

    /// Returns where a setting was set, by its dotted path such as `classes.check.least`.
    pub fn place(&self, path: &str) -> Option<&Place> {
        self.places.get(path)
    }

    /// Returns every path that a file set, with its place, in the order of the paths.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Place)> {
        self.places.iter().filter(|(path, _)| !path.is_empty())
    }

    /// Returns the place of a setting or, where it is unset, of the nearest table around it.
    pub(crate) fn nearest(&self, path: &str) -> Option<&Place> {
        let mut path = path;
        loop {
            if let Some(place) = self.places.get(path) {
                return Some(place);
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
