//! Checks that settings are set and name entries that exist.

use std::sync::Arc;

use indexmap::IndexMap;

use super::report::Report;
use crate::decode::nearest_name;
use crate::fault::FaultKind;
use crate::tree::{Class, ClassKind, Service, Tree};

pub(super) fn check(tree: &Tree, report: &mut Report<'_>) {
    for (name, class) in &tree.classes {
        check_class(name, class, report);
    }
    for (name, service) in &tree.services {
        check_service(name, service, tree, report);
    }
    for name in tree.objectives.keys() {
        if !tree.classes.contains_key(name) {
            let kind = undeclared("class", name, &tree.classes);
            report.fault(&format!("objectives.{name}"), kind);
        }
    }
}

fn check_class(name: &str, class: &Class, report: &mut Report<'_>) {
    let path = format!("classes.{name}");
    if class.kind == ClassKind::Live && class.deadline_ms.is_none() {
        report.fault(&format!("{path}.deadline_ms"), FaultKind::Missing);
    }
    if class.stop && !class.idempotent {
        report.contradiction(
            &format!("{path}.stop"),
            &format!("{path}.idempotent"),
            "allows stopping, but the class is not idempotent, so stopped work could not run again"
                .to_owned(),
        );
    }
}

fn check_service(name: &str, service: &Service, tree: &Tree, report: &mut Report<'_>) {
    let path = format!("services.{name}");
    let default_path = format!("{path}.default_class");
    let classes_path = format!("{path}.classes");
    for class in &service.classes {
        check_live_class(&classes_path, class, tree, report);
    }
    let default = &service.default_class;
    if default.is_empty() {
        return;
    }
    check_live_class(&default_path, default, tree, report);
    if !service.classes.contains(default) {
        let cause = format!("is {default:?}, which the service's `classes` don't list");
        report.contradiction(&default_path, &classes_path, cause);
    }
}

fn check_live_class(path: &str, class: &Arc<str>, tree: &Tree, report: &mut Report<'_>) {
    match tree.classes.get(class) {
        None => report.fault(path, undeclared("class", class, &tree.classes)),
        Some(found) if found.kind != ClassKind::Live => {
            let cause = format!("names {class:?}, which is not a live class");
            report.contradiction(path, &format!("classes.{class}.kind"), cause);
        }
        Some(_) => {}
    }
}

fn undeclared<T>(what: &'static str, name: &Arc<str>, known: &IndexMap<Arc<str>, T>) -> FaultKind {
    let nearest = nearest_name(name, known.keys().map(AsRef::as_ref));
    FaultKind::Undeclared(what, Arc::clone(name), nearest)
}
