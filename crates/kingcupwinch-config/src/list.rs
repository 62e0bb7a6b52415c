//! Lists every setting with its value, defaults included.

use std::collections::BTreeMap;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use crate::origin::join_path;
use crate::tree::Tree;
use crate::units::{Millis, Share, Weight};

/// The value of each setting by its dotted path; unset ones without a default are left out.
pub type SettingValues = BTreeMap<Arc<str>, Value>;

/// A part of the tree that lists its settings.
pub(crate) trait List {
    fn list(&self, path: &str, found: &mut SettingValues);
}

impl Tree {
    /// Returns every setting with its value, defaults included.
    pub fn settings(&self) -> SettingValues {
        let mut found = SettingValues::new();
        self.list("", &mut found);
        found
    }
}

/// Adds one value.
pub(crate) fn insert<T: Serialize + ?Sized>(path: &str, value: &T, found: &mut SettingValues) {
    let value = serde_json::to_value(value).unwrap_or_default();
    found.insert(Arc::from(path), value);
}

impl<T: List> List for IndexMap<Arc<str>, T> {
    fn list(&self, path: &str, found: &mut SettingValues) {
        for (name, entry) in self {
            entry.list(&join_path(path, name), found);
        }
    }
}

impl<T: List> List for Option<T> {
    fn list(&self, path: &str, found: &mut SettingValues) {
        if let Some(value) = self {
            value.list(path, found);
        }
    }
}

macro_rules! list_values {
    ($($name:ty),*) => {$(
        impl List for $name {
            fn list(&self, path: &str, found: &mut SettingValues) {
                insert(path, self, found);
            }
        }
    )*};
}

list_values!(
    bool,
    u8,
    u16,
    u32,
    Arc<str>,
    Vec<Arc<str>>,
    Millis,
    Share,
    Weight
);
