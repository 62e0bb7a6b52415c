//! Checks of shares, quotas, contracts and objectives.

use super::report::Report;
use crate::tree::{Objective, Tree};

/// Rounding that a sum of shares is allowed.
const SUM_TOLERANCE: f64 = 1e-9;

pub(super) fn check(tree: &Tree, report: &mut Report<'_>) {
    check_class_bounds(tree, report);
    check_least_sum(tree, report);
    check_contracts(tree, report);
    for (name, objective) in &tree.objectives {
        check_objective(name, objective, report);
    }
}

fn check_class_bounds(tree: &Tree, report: &mut Report<'_>) {
    for (name, class) in &tree.classes {
        if class.least <= class.most {
            continue;
        }
        let least = format!("classes.{name}.least");
        let most = format!("classes.{name}.most");
        let cause = format!("is {}, above `most` of {}", class.least, class.most);
        report.contradiction(&least, &most, cause);
    }
}

/// Notes the class whose share takes the sum over the whole, in the order of the names.
fn check_least_sum(tree: &Tree, report: &mut Report<'_>) {
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
    report.contradiction(&path, &format!("classes.{second}.least"), cause);
}

fn check_contracts(tree: &Tree, report: &mut Report<'_>) {
    let meant: u64 = tree.domains.values().map(|d| u64::from(d.workers)).sum();
    let mut paid = 0;
    for (name, customer) in &tree.customers {
        let before = paid;
        paid += u64::from(customer.contract.workers);
        if before <= meant && paid > meant {
            let cause =
                format!("brings the workers paid for to {paid}, but the domains have {meant}");
            let path = format!("customers.{name}.contract.workers");
            report.contradiction(&path, "domains", cause);
        }
    }
}

fn check_objective(name: &str, objective: &Objective, report: &mut Report<'_>) {
    if objective.waiting_target.get() >= 1.0 {
        let path = format!("objectives.{name}.waiting_target");
        let cause = "is 1, which leaves no budget for a burn rate; use less than 1";
        report.refuse(&path, cause.to_owned());
    }
}
