//! Checks shares, contracts and objectives.

use super::collector::FaultCollector;
use crate::tree::{Objective, Tree};

/// Tolerance for rounding errors in a sum of shares.
const SUM_TOLERANCE: f64 = 1e-9;

pub(super) fn check(tree: &Tree, faults: &mut FaultCollector<'_>) {
    check_class_bounds(tree, faults);
    check_min_share_sum(tree, faults);
    check_contracts(tree, faults);
    for (name, objective) in &tree.objectives {
        check_objective(name, objective, faults);
    }
}

fn check_class_bounds(tree: &Tree, faults: &mut FaultCollector<'_>) {
    for (name, class) in &tree.classes {
        if class.least <= class.most {
            continue;
        }
        let least = format!("classes.{name}.least");
        let most = format!("classes.{name}.most");
        let cause = format!("is {}, above `most` of {}", class.least, class.most);
        faults.add_conflict(&least, &most, cause);
    }
}

/// Adds a fault if the shares reserved by `least` exceed 1 in sum, at the class with the largest
/// share and with the second largest as the conflict.
fn check_min_share_sum(tree: &Tree, faults: &mut FaultCollector<'_>) {
    let sum: f64 = tree.classes.values().map(|class| class.least.get()).sum();
    if sum <= 1.0 + SUM_TOLERANCE {
        return;
    }
    let with_least = tree.classes.iter().filter(|(_, c)| c.least.get() > 0.0);
    let mut largest: Vec<_> = with_least.collect();
    largest.sort_by(|a, b| b.1.least.get().total_cmp(&a.1.least.get()));
    let [(first, _), (second, _), ..] = largest.as_slice() else {
        return;
    };
    let cause = format!("brings the sum of all classes' `least` to {sum:.3}, above 1");
    let path = format!("classes.{first}.least");
    faults.add_conflict(&path, &format!("classes.{second}.least"), cause);
}

fn check_contracts(tree: &Tree, faults: &mut FaultCollector<'_>) {
    let declared: u64 = tree.domains.values().map(|d| u64::from(d.workers)).sum();
    let mut paid = 0;
    for (name, customer) in &tree.customers {
        let before = paid;
        paid += u64::from(customer.contract.workers);
        if before <= declared && paid > declared {
            let cause =
                format!("brings the workers paid for to {paid}, but the domains have {declared}");
            let path = format!("customers.{name}.contract.workers");
            faults.add_conflict(&path, "domains", cause);
        }
    }
}

fn check_objective(name: &str, objective: &Objective, faults: &mut FaultCollector<'_>) {
    if objective.waiting_target.get() >= 1.0 {
        let path = format!("objectives.{name}.waiting_target");
        let cause = "is 1, which leaves no budget for a burn rate; use less than 1";
        faults.add_invalid(&path, cause.to_owned());
    }
}
