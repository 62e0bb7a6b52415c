//! Machines that come back with less capacity than their runs use.
#![allow(clippy::unwrap_used)]

mod common;

use common::{Harness, UNIT};
use kingcupwinch_policy::{ClassKind, Outcome, Placement, TaskKey};

const RUNS: usize = 4;

/// A machine with room for two tasks, on which four are found running.
fn overfull() -> (Harness, Vec<Placement>) {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    let machine = harness.machine("r", 2);
    let spec = harness.spec("work", 1);
    let adopt = |_| harness.cell.adopt(spec, machine, harness.now).unwrap();
    let places = (0..RUNS).map(adopt).collect();
    (harness, places)
}

#[test]
fn nothing_starts_until_the_runs_fit_again() {
    let (mut harness, mut places) = overfull();
    let spec = harness.spec("work", 1);
    let task = harness.cell.submit(spec, harness.now).unwrap();
    let mut started: Vec<TaskKey> = Vec::new();
    let mut running = Vec::new();
    // The first runs have taken what was free.
    places.reverse();
    while let Some(place) = places.pop() {
        running.push(places.len() + 1);
        harness.advance(2_000);
        started.extend(harness.starts().iter().map(|place| place.task));
        assert!(started.is_empty() || places.is_empty(), "{running:?}");
        harness.end(place, Outcome::Done);
    }
    harness.advance(2_000);
    started.extend(harness.starts().iter().map(|place| place.task));
    assert_eq!(started, [task]);
}

/// The size of an adopted run was cut to what was free, and so it started again with nothing.
#[test]
fn an_adopted_task_starts_again_with_its_size() {
    let (mut harness, places) = overfull();
    harness.machine("r", 1);
    for place in places {
        harness.end(place, Outcome::Stopped);
    }
    let mut started = 0;
    for _ in 0..10 {
        harness.advance(2_000);
        started += harness.starts().len();
    }
    assert_eq!(started, 3, "the machines have room for three");
}

#[test]
fn holds_of_runs_keep_their_slots() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    let machine = harness.machine("r", 2);
    let holds: Vec<_> = (0..RUNS)
        .map(|_| harness.cell.hold_run(machine, UNIT).unwrap())
        .collect();
    let spec = harness.spec("work", 1);
    harness.cell.submit(spec, harness.now).unwrap();
    for (index, hold) in holds.into_iter().enumerate() {
        harness.advance(2_000);
        assert_eq!(harness.starts().len(), usize::from(index == RUNS - 1));
        harness.cell.release(hold).unwrap();
    }
}
