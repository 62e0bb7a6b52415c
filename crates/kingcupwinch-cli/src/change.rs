//! Differences between two trees.

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
    let before = before.settings();
    let mut after = after.settings();
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
