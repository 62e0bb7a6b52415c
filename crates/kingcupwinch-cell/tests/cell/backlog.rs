//! Decisions while far more jobs wait than fit.

use kingcupwinch_cell::StepSpec;

use crate::harness::{Harness, job, step, with_advice};

/// A service of 60 workers of which 6 have room, and 200 gangs that need more than that and were never
/// asked about.
fn backlog() -> Harness {
    let mut harness = Harness::new(60, 4);
    harness.submit(1, job(vec![step(54, 4, 60_000)]));
    harness.run_round();
    assert_eq!(harness.running().len(), 54);
    for number in 100..300 {
        let gang = StepSpec {
            gang: true,
            ..step(30, 4, 5_000)
        };
        harness.submit(number, with_advice(job(vec![gang]), 300.0));
    }
    harness
}

/// An owner with a thousand waiting jobs was busy with putting workers in order for steps that could not
/// start on them, and what could start waited for its next decision.
#[test]
fn steps_without_room_put_no_workers_in_order() {
    let mut harness = backlog();
    let before = harness.cell.counters().ranked_workers;
    for _ in 0..20 {
        harness.advance(40);
        harness.poll_all();
        harness.decide();
    }
    assert_eq!(harness.calls.len(), 0, "no gang fits");
    assert_eq!(harness.cell.counters().ranked_workers, before);
}

#[test]
fn a_small_job_starts_with_its_advice_beside_a_backlog() {
    let mut harness = backlog();
    harness.advance(40);
    harness.poll_all();
    harness.decide();
    harness.submit(2, with_advice(job(vec![step(3, 2, 500)]), 10.0));
    harness.decide();
    assert_eq!(harness.calls.len(), 1);
    harness.answer_calls(|_, _| true);
    harness.run_round();
    assert_eq!(harness.running().len(), 54 + 3);
}

/// A service of 2,000 idle workers with more callers of the adviser than the steps of a test need.
fn large_service() -> Harness {
    let mut harness = Harness::new(2_000, 4);
    let callers: Vec<_> = (0..64)
        .map(|number| format!("caller-{number}").into())
        .collect();
    harness.cell.set_advice_callers(&callers);
    harness
}

/// With 3,000 workers an owner put all of them in order for each step, its rounds took longer than the
/// jobs that came meanwhile had time, and the next rounds took longer still.
#[test]
fn the_workers_that_a_step_looks_at_do_not_grow_with_the_service() {
    let mut harness = large_service();
    for number in 0..50 {
        harness.submit(number, with_advice(job(vec![step(3, 2, 500)]), 10.0));
    }
    harness.decide();
    assert_eq!(harness.calls.len(), 50);
    let ranked = harness.cell.counters().ranked_workers;
    assert!(ranked <= 50 * 1_000, "{ranked} workers put in order");
}

/// Steps that begin their search at the same worker would all ask about the same few.
#[test]
fn steps_of_one_round_ask_about_different_workers() {
    let mut harness = large_service();
    for number in 0..50 {
        let id = number * 0x9e37_79b9;
        harness.submit(id, with_advice(job(vec![step(3, 4, 500)]), 10.0));
    }
    harness.decide();
    let named = harness.calls.iter().flat_map(|(_, workers)| workers);
    let different: std::collections::HashSet<_> = named.clone().collect();
    assert!(different.len() * 2 > named.count());
}
