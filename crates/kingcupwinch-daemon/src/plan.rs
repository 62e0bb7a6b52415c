//! Builds the policy's plan from the active configuration.

use kingcupwinch_config as config;
use kingcupwinch_policy::{
    ClassKind, ClassSpec, Contract, CustomerSpec, Permille, Plan, Preemption, RateLimit, Resources,
    RetryPolicy, Weights,
};
use kingcupwinch_time::Span;

const PERMILLE: f64 = 1_000.0;

/// Slowdown of a class or task that may be throttled, in percent.
const THROTTLE_PERCENT: u8 = 50;

/// Builds the plan for one failure domain, which gets an even part of the capacity that contracts
/// pay for.
pub(crate) fn make_plan(tree: &config::Tree) -> Plan {
    let mut plan = Plan::new().with_weights(Weights {
        waiting: tree.weights.waiting.get(),
        packing: tree.weights.packing.get(),
    });
    for (name, class) in &tree.classes {
        plan = plan.with_class(make_class(name, class));
    }
    for (name, customer) in &tree.customers {
        plan = plan.with_customer(make_customer(name, customer, tree));
    }
    plan
}

fn make_class(name: &str, class: &config::Class) -> ClassSpec {
    let mut spec = ClassSpec::new(name, make_kind(class.kind), class.band)
        .with_shares(permille(class.least), permille(class.most))
        .with_preemption(Preemption {
            throttle: if class.throttle { THROTTLE_PERCENT } else { 0 },
            checkpoint: class.checkpoint,
            stop: class.stop,
        })
        .with_max_queued(usize::try_from(class.queue_most).unwrap_or(usize::MAX))
        .with_retry(RetryPolicy {
            budget_ratio: class.retry.budget.get(),
            base_delay: span(class.retry.base_ms),
            max_delay: span(class.retry.cap_ms),
            max_attempts: u32::from(class.retry.attempts),
        })
        .with_typical_size(typical_size(class));
    if let Some(deadline) = class.deadline_ms {
        spec = spec.with_default_timeout(span(deadline));
    }
    if let Some(rate) = class.rate_most {
        spec = spec.with_rate(RateLimit {
            per_second: f64::from(rate),
            burst: f64::from(rate),
        });
    }
    spec
}

fn make_kind(kind: config::ClassKind) -> ClassKind {
    match kind {
        config::ClassKind::Live => ClassKind::Live,
        config::ClassKind::Batch => ClassKind::Batch,
        config::ClassKind::Gang => ClassKind::Gang,
    }
}

/// Returns the size of a class's typical task. A live task takes one slot and one connection.
pub(crate) fn typical_size(class: &config::Class) -> Resources {
    let task = &class.task;
    let connections = u64::from(class.kind == config::ClassKind::Live);
    Resources::new(u64::from(task.millicores), u64::from(task.memory_mb))
        .with_accelerators(u64::from(task.accelerators))
        .with_slots(1)
        .with_connections(connections)
}

fn make_customer(name: &str, customer: &config::Customer, tree: &config::Tree) -> CustomerSpec {
    let workers: u32 = tree.domains.values().map(|domain| domain.workers).sum();
    let paid = f64::from(customer.contract.workers) / f64::from(workers.max(1));
    CustomerSpec::new(name, customer.weight.get())
        .with_quota(permille(customer.quota))
        .with_contract(Contract {
            paid_share: paid.min(1.0),
        })
}

fn permille(share: config::Share) -> Permille {
    // A share is from 0 to 1, so the cast can't overflow.
    Permille((share.get() * PERMILLE).round() as u16)
}

fn span(millis: config::Millis) -> Span {
    Span::from_millis(millis.get())
}
