//! Differences between two configuration trees.

use std::sync::Arc;

use kingcupwinch_config::Tree;
use serde::Serialize;
use serde_json::Value;

/// A setting that differs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Change {
    /// Dotted path of the setting.
    pub(crate) path: Arc<str>,
    /// Value before the change, `None` for a new setting.
    pub(crate) before: Option<Value>,
    /// Value after the change, `None` for a removed setting.
    pub(crate) after: Option<Value>,
}

/// Returns the settings that differ, ordered by path.
pub(crate) fn changes(before: &Tree, after: &Tree) -> Vec<Change> {
    let before = before.settings();
    let mut after = after.settings();
    let mut changes: Vec<Change> = Vec::new();
    for (path, old) in before {
        let new = after.remove(&path);
        if new.as_ref() != Some(&old) {
            changes.push(Change {
                path,
                before: Some(old),
                after: new,
            });
        }
    }
    let added = after.into_iter().map(|(path, new)| Change {
        path,
        before: None,
        after: Some(new),
    });
    changes.extend(added);
    changes.sort_by(|a, b| a.path.cmp(&b.path));
    changes
}
