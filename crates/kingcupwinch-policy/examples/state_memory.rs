//! Prints the resident memory of a cell's state, for the capacity page.

use std::fs;

use kingcupwinch_policy::{
    Cell, ClassKind, ClassSpec, CustomerSpec, Decision, MachineSpec, Plan, Resources, TaskSpec,
};
use kingcupwinch_time::{Span, Time};

/// Machines and running tasks, one row each.
const SIZES: [(usize, usize); 5] = [
    (1_000, 0),
    (12_000, 0),
    (1_000, 23_000),
    (3_000, 70_000),
    (12_000, 280_000),
];

/// Bytes of a page of memory.
const PAGE_BYTES: usize = 4_096;

fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|n| n.parse::<usize>().ok()).unwrap_or(0) * PAGE_BYTES
}

fn filled(machines: usize, tasks: usize) -> (Cell, usize) {
    let class = ClassSpec::new("batch", ClassKind::Batch, 1).with_max_queued(tasks + 1);
    let customer = CustomerSpec::new("team", 1.0);
    let plan = Plan::new().with_class(class).with_customer(customer);
    let mut cell = Cell::new(plan, 3).expect("the plan is valid");
    let now = Time::from_millis(1);
    let capacity = Resources::new(64_000, 131_072)
        .with_slots(32)
        .with_connections(64);
    for index in 0..machines {
        let rack = format!("r{}", index / 8);
        let spec = MachineSpec::new(&format!("m{index}"), "z", &rack, capacity);
        cell.add_machine(spec, now).expect("the machine is valid");
    }
    let class = cell.class("batch").expect("declared above");
    let customer = cell.customer("team").expect("declared above");
    for _ in 0..tasks {
        let spec = TaskSpec::new(
            class,
            customer,
            Resources::new(1_000, 2_048),
            Span::from_secs(60),
        );
        cell.submit(spec, now).expect("the bound is above");
    }
    let mut started = 0;
    let mut out = Vec::new();
    for round in 0..100 {
        cell.decide(now + Span::from_millis(round), &mut out);
        let starts = out.drain(..).filter(|d| matches!(d, Decision::Start(_)));
        started += starts.count();
    }
    (cell, started)
}

fn main() {
    let mut kept = Vec::new();
    for (machines, tasks) in SIZES {
        let before = resident_bytes();
        let (cell, started) = filled(machines, tasks);
        let grown = resident_bytes().saturating_sub(before);
        kept.push(cell);
        println!(
            "{machines} machines, {started} of {tasks} tasks running: {} KB",
            grown / 1_024
        );
    }
}
