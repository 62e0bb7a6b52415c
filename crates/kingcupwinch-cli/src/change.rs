//! Differences between two trees.

use std::collections::BTreeMap;
use std::sync::Arc;

use kingcupwinch_config::Tree;
use serde::Serialize;
use serde_json::Value;

/// One setting that differs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Change {
    /// The setting's dotted path.
    pub(crate) path: Arc<str>,
    /// Its value before, none where it is new.
    pub(crate) before: Option<Value>,
    /// Its value after, none where it is gone.
    pub(crate) after: Option<Value>,
}

/// Returns the settings that differ, in the order of their paths.
pub(crate) fn changes(before: &Tree, after: &Tree) -> Vec<Change> {
    let before = settings(before);
    let mut after = settings(after);
    let mut changes: Vec<Change> = Vec::new();
    for (path, was) in before {
        let now = after.remove(&path);
        if now.as_ref() != Some(&was) {
            changes.push(Change {
                path,
                before: Some(was),
                after: now,
            });
        }
    }
    let added = after.into_iter().map(|(path, now)| Change {
        path,
        before: None,
        after: Some(now),
    });
    changes.extend(added);
    changes.sort_by(|a, b| a.path.cmp(&b.path));
    changes
}

/// Returns every setting of a tree by its dotted path; unset ones are left out.
pub(crate) fn settings(tree: &Tree) -> BTreeMap<Arc<str>, Value> {
    let value = serde_json::to_value(tree).unwrap_or_default();
    let mut found = BTreeMap::new();
    collect(&mut found, "", value);
    found
}

fn collect(found: &mut BTreeMap<Arc<str>, Value>, path: &str, value: Value) {
    match value {
        Value::Null => {}
        Value::Object(members) => {
            for (key, member) in members {
                let path = if path.is_empty() {
                    key
                } else {
                    format!("{path}.{key}")
                };
                collect(found, &path, member);
            }
        }
        value => {
            found.insert(Arc::from(path), value);
        }
    }
}
