//! Merges the tables of a file into those of the files before it.

use std::sync::Arc;

use crate::fault::{Fault, FaultKind};
use crate::node::{Location, Node, Table, Value};
use crate::origin::join_path;

/// Key that removes an entry set by an earlier file.
const REMOVE_KEY: &str = "remove";

/// Merges `layer` into `base`: tables are merged by key, other values are replaced.
pub(crate) fn merge_table(base: &mut Table, layer: Table, path: &str, faults: &mut Vec<Fault>) {
    for (key, node) in layer {
        let path = join_path(path, &key);
        let location = node.location.clone();
        match node.value {
            Value::Table(entries) if entries.contains_key(REMOVE_KEY) => {
                remove_entry(base, &key, location, &entries, &path, faults);
            }
            Value::Table(entries) => merge_entry(base, key, location, entries, &path, faults),
            value => replace_value(base, key, Node { location, value }, &path, faults),
        }
    }
}

fn remove_entry(
    base: &mut Table,
    key: &str,
    location: Location,
    entries: &Table,
    path: &str,
    faults: &mut Vec<Fault>,
) {
    let is_true = matches!(entries[REMOVE_KEY].value, Value::Bool(true));
    if entries.len() > 1 || !is_true {
        faults.push(fault(location, path, FaultKind::InvalidRemove, None));
        return;
    }
    if base.shift_remove(key).is_none() {
        faults.push(fault(location, path, FaultKind::RemoveUnset, None));
    }
}

fn merge_entry(
    base: &mut Table,
    key: Arc<str>,
    location: Location,
    entries: Table,
    path: &str,
    faults: &mut Vec<Fault>,
) {
    let entry = base
        .entry(key)
        .or_insert_with(|| Node::new_table(location.clone()));
    match &mut entry.value {
        Value::Table(table) => merge_table(table, entries, path, faults),
        before => {
            let kind = FaultKind::TypeConflict("a table", before.type_name());
            faults.push(fault(location, path, kind, Some(entry.location.clone())));
        }
    }
}

fn replace_value(base: &mut Table, key: Arc<str>, node: Node, path: &str, faults: &mut Vec<Fault>) {
    if let Some(before) = base.get(&key)
        && matches!(before.value, Value::Table(_))
    {
        let kind = FaultKind::TypeConflict(node.value.type_name(), "a table");
        faults.push(fault(
            node.location,
            path,
            kind,
            Some(before.location.clone()),
        ));
        return;
    }
    base.insert(key, node);
}

fn fault(location: Location, path: &str, kind: FaultKind, conflict: Option<Location>) -> Fault {
    Fault {
        location,
        path: Arc::from(path),
        kind,
        conflict,
    }
}
