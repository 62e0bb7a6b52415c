//! Checks the sizes of domains, and that tasks and gangs fit into them.

use super::collector::FaultCollector;
use crate::fault::FaultKind;
use crate::tree::{Class, ClassKind, Domain, TaskSize, Tree};

pub(super) fn check(tree: &Tree, faults: &mut FaultCollector<'_>) {
    for (name, domain) in &tree.domains {
        check_domain(name, domain, faults);
    }
    for (name, class) in &tree.classes {
        check_class(name, class, tree, faults);
    }
}

fn check_domain(name: &str, domain: &Domain, faults: &mut FaultCollector<'_>) {
    let path = format!("domains.{name}");
    if domain.shards == 0 {
        let cause = "is 0; a domain needs at least one shard".to_owned();
        faults.add_invalid(&format!("{path}.shards"), cause);
    }
    if domain.workers > 0 {
        let sizes = [
            ("slots", domain.slots),
            ("millicores", domain.millicores),
            ("memory_mb", domain.memory_mb),
        ];
        for (setting, _) in sizes.iter().filter(|(_, size)| *size == 0) {
            faults.add(&format!("{path}.{setting}"), FaultKind::Missing);
        }
    }
    if domain.rack_workers > domain.workers {
        let cause = format!(
            "is {}, but the domain has {} workers",
            domain.rack_workers, domain.workers
        );
        faults.add_conflict(
            &format!("{path}.rack_workers"),
            &format!("{path}.workers"),
            cause,
        );
    }
}

fn check_class(name: &str, class: &Class, tree: &Tree, faults: &mut FaultCollector<'_>) {
    let path = format!("classes.{name}");
    let gang_path = format!("{path}.gang_most");
    if class.retry.attempts == 0 {
        let cause = "is 0, but must be at least 1; it includes the first attempt".to_owned();
        faults.add_invalid(&format!("{path}.retry.attempts"), cause);
    }
    if class.retry.base_ms > class.retry.cap_ms {
        let cause = format!(
            "is {}, above `cap_ms` of {}",
            class.retry.base_ms, class.retry.cap_ms
        );
        faults.add_conflict(
            &format!("{path}.retry.base_ms"),
            &format!("{path}.retry.cap_ms"),
            cause,
        );
    }
    if class.kind != ClassKind::Gang && class.gang_most != 1 {
        let cause = format!(
            "is {}, but must be 1 for a class that is not a gang",
            class.gang_most
        );
        faults.add_conflict(&gang_path, &format!("{path}.kind"), cause);
        return;
    }
    check_task_fit(&path, class, tree, faults);
}

/// Adds a fault if the class's gang, or its single task, doesn't fit into any idle domain.
fn check_task_fit(path: &str, class: &Class, tree: &Tree, faults: &mut FaultCollector<'_>) {
    let sized = tree
        .domains
        .iter()
        .filter(|(_, domain)| has_worker_size(domain));
    let largest = sized
        .map(|(name, domain)| (task_capacity(domain, &class.task), name))
        .max();
    let Some((capacity, domain)) = largest else {
        return;
    };
    if capacity >= u64::from(class.gang_most) {
        return;
    }
    if capacity == 0 {
        let cause = "is larger than every worker".to_owned();
        faults.add_conflict(&format!("{path}.task"), "domains", cause);
        return;
    }
    let cause = format!(
        "is {}, but the widest domain, {domain}, has room for {capacity} such tasks",
        class.gang_most
    );
    let other = format!("domains.{domain}.workers");
    faults.add_conflict(&format!("{path}.gang_most"), &other, cause);
}

/// Returns whether the domain declares its workers and their size.
fn has_worker_size(domain: &Domain) -> bool {
    domain.workers > 0 && domain.slots > 0 && domain.millicores > 0 && domain.memory_mb > 0
}

/// Returns how many tasks of this size fit on the domain's workers at once.
fn task_capacity(domain: &Domain, task: &TaskSize) -> u64 {
    let per_worker = [
        (domain.slots, 1),
        (domain.millicores, task.millicores),
        (domain.memory_mb, task.memory_mb),
        (domain.accelerators, task.accelerators),
    ]
    .into_iter()
    .filter_map(|(capacity, need)| capacity.checked_div(need))
    .min()
    .unwrap_or(0);
    u64::from(per_worker) * u64::from(domain.workers)
}
