//! Collects the value of every setting, defaults included.

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
pub(crate) trait CollectValues {
    fn collect_values(&self, path: &str, values: &mut SettingValues);
}

impl Tree {
    /// Returns every setting with its value, defaults included.
    pub fn settings(&self) -> SettingValues {
        let mut values = SettingValues::new();
        self.collect_values("", &mut values);
        values
    }
}

/// Adds one value.
pub(crate) fn insert<T: Serialize + ?Sized>(path: &str, value: &T, values: &mut SettingValues) {
    let value = serde_json::to_value(value).unwrap_or_default();
    values.insert(Arc::from(path), value);
}

impl<T: CollectValues> CollectValues for IndexMap<Arc<str>, T> {
    fn collect_values(&self, path: &str, values: &mut SettingValues) {
        for (name, entry) in self {
            entry.collect_values(&join_path(path, name), values);
        }
    }
}

impl<T: CollectValues> CollectValues for Option<T> {
    fn collect_values(&self, path: &str, values: &mut SettingValues) {
        if let Some(value) = self {
            value.collect_values(path, values);
        }
    }
}

macro_rules! collect_values {
    ($($name:ty),*) => {$(
        impl CollectValues for $name {
            fn collect_values(&self, path: &str, values: &mut SettingValues) {
                insert(path, self, values);
            }
        }
    )*};
}

collect_values!(
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
