//! Checks that required settings are set and that references name declared entries.

use std::sync::Arc;

use indexmap::IndexMap;

use super::collector::FaultCollector;
use crate::decode::suggest_name;
use crate::fault::FaultKind;
use crate::tree::{Class, ClassKind, Service, Tree};

pub(super) fn check(tree: &Tree, faults: &mut FaultCollector<'_>) {
    for (name, class) in &tree.classes {
        check_class(name, class, faults);
    }
    for (name, service) in &tree.services {
        check_service(name, service, tree, faults);
    }
    for name in tree.objectives.keys() {
        if !tree.classes.contains_key(name) {
            let kind = undeclared("class", name, &tree.classes);
            faults.add(&format!("objectives.{name}"), kind);
        }
    }
}

fn check_class(name: &str, class: &Class, faults: &mut FaultCollector<'_>) {
    let path = format!("classes.{name}");
    if class.kind == ClassKind::Live && class.deadline_ms.is_none() {
        faults.add(&format!("{path}.deadline_ms"), FaultKind::Missing);
    }
    if class.stop && !class.idempotent {
        faults.add_conflict(
            &format!("{path}.stop"),
            &format!("{path}.idempotent"),
            "allows stopping, but the class is not idempotent, so stopped work could not run again"
                .to_owned(),
        );
    }
}

fn check_service(name: &str, service: &Service, tree: &Tree, faults: &mut FaultCollector<'_>) {
    let path = format!("services.{name}");
    let default_path = format!("{path}.default_class");
    let classes_path = format!("{path}.classes");
    for class in &service.classes {
        check_live_class(&classes_path, class, tree, faults);
    }
    let default = &service.default_class;
    if default.is_empty() {
        return;
    }
    check_live_class(&default_path, default, tree, faults);
    if !service.classes.contains(default) {
        let cause = format!("is {default:?}, which the service's `classes` don't list");
        faults.add_conflict(&default_path, &classes_path, cause);
    }
}

fn check_live_class(path: &str, class: &Arc<str>, tree: &Tree, faults: &mut FaultCollector<'_>) {
    match tree.classes.get(class) {
        None => faults.add(path, undeclared("class", class, &tree.classes)),
        Some(found) if found.kind != ClassKind::Live => {
            let cause = format!("names {class:?}, which is not a live class");
            faults.add_conflict(path, &format!("classes.{class}.kind"), cause);
        }
        Some(_) => {}
    }
}

fn undeclared<T>(
    entry_kind: &'static str,
    name: &Arc<str>,
    known: &IndexMap<Arc<str>, T>,
) -> FaultKind {
    let nearest = suggest_name(name, known.keys().map(AsRef::as_ref));
    FaultKind::Undeclared(entry_kind, Arc::clone(name), nearest)
}
