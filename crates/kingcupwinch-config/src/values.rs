//! Collects the values of all settings, including defaults.

use std::collections::BTreeMap;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use crate::origin::join_path;
use crate::tree::Tree;
use crate::units::{Millis, Share, Weight};

/// Values of settings by dotted path; unset settings without a default are left out.
pub type SettingValues = BTreeMap<Arc<str>, Value>;

/// Collects the settings of a part of the tree.
pub(crate) trait CollectValues {
    fn collect_values(&self, path: &str, values: &mut SettingValues);
}

impl Tree {
    /// Returns the values of all settings, including defaults.
    pub fn settings(&self) -> SettingValues {
        let mut values = SettingValues::new();
        self.collect_values("", &mut values);
        values
    }
}

/// Inserts the value of one setting.
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
