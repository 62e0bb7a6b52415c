//! Retries, attribution of failures, quarantine and probes.

mod common;

use common::{Harness, UNIT};
use kingcupwinch_policy::{
    ClassKind, ClassSpec, Disposition, Exit, MachineKey, MachineState, NotStarted, Outcome, Plan,
    Refusal, TaskSpec,
};
use kingcupwinch_time::Span;

/// Submits and runs tasks in `rounds` rounds, in which the `bad` machines fail every task, and
/// returns the number of failures.
fn run_rounds(harness: &mut Harness, spec: TaskSpec, bad: &[MachineKey], rounds: usize) -> usize {
    let mut failures = 0;
    for _ in 0..rounds {
        for _ in 0..8 {
            let _ = harness.cell.submit(spec, harness.now);
        }
        for place in harness.starts() {
            let fails = bad.contains(&place.machine);
            failures += usize::from(fails);
            let outcome = if fails {
                Outcome::Failed
            } else {
                Outcome::Done
            };
            harness.end(place, outcome);
        }
        harness.advance(20);
    }
    failures
}

#[test]
fn failing_machines_are_quarantined_up_to_a_fifth_and_return_after_probes() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    let machines: Vec<MachineKey> = (0..10).map(|_| harness.machine("r", 1)).collect();
    let bad = &machines[..3];
    let spec = harness.spec("work", 1);
    run_rounds(&mut harness, spec, bad, 400);
    let quarantined = |harness: &Harness| {
        let states = machines.iter().map(|m| harness.cell.machine_state(*m));
        states
            .filter(|s| *s == Some(MachineState::Quarantined))
            .count()
    };
    assert_eq!(quarantined(&harness), 2, "the limit is a fifth");
    let failures = run_rounds(&mut harness, spec, bad, 100);
    assert!(failures < 200, "{failures} of 800 failed");
    run_rounds(&mut harness, spec, &[], 8_000);
    assert_eq!(quarantined(&harness), 0, "recovered machines return");
}

/// The probe of a quarantined machine was stopped, so that it had no result, and the machine never
/// got another one.
#[test]
fn a_quarantined_machine_returns_though_a_probe_was_stopped() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    let machines: Vec<MachineKey> = (0..10).map(|_| harness.machine("r", 1)).collect();
    let spec = harness.spec("work", 1);
    run_rounds(&mut harness, spec, &machines[..1], 400);
    let state = |harness: &Harness| harness.cell.machine_state(machines[0]);
    assert_eq!(state(&harness), Some(MachineState::Quarantined));
    let mut is_stopped = false;
    while !is_stopped {
        harness.advance(20);
        for _ in 0..20 {
            let _ = harness.cell.submit(spec, harness.now);
        }
        for place in harness.starts() {
            let is_probe = place.machine == machines[0];
            is_stopped |= is_probe;
            let outcome = if is_probe {
                Outcome::Stopped
            } else {
                Outcome::Done
            };
            harness.end(place, outcome);
        }
    }
    run_rounds(&mut harness, spec, &[], 8_000);
    assert_eq!(state(&harness), Some(MachineState::Active));
}

#[test]
fn task_that_fails_on_three_healthy_machines_is_given_up() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    let machines: Vec<MachineKey> = (0..8).map(|_| harness.machine("r", 1)).collect();
    let faulty = harness
        .cell
        .submit(harness.spec("work", 1), harness.now)
        .unwrap();
    let mut next = Disposition::Requeued;
    for _ in 0..20 {
        for place in harness.starts() {
            assert_eq!(place.task, faulty);
            next = harness.end(place, Outcome::Failed);
        }
        harness.advance(20_000);
    }
    assert_eq!(next, Disposition::GaveUp(Refusal::FailedEverywhere));
    let active = machines
        .iter()
        .all(|m| harness.cell.machine_state(*m) == Some(MachineState::Active));
    assert!(active);
}

#[test]
fn retries_stay_within_their_budget_when_every_start_fails() {
    let class = ClassSpec::new("work", ClassKind::Live, 0);
    let mut harness = Harness::new(Plan::new().with_class(class));
    for _ in 0..8 {
        harness.machine("r", 4);
    }
    let spec = harness.spec("work", 1);
    let (mut starts, mut submitted) = (0, 0);
    for _ in 0..2_000 {
        submitted += u32::from(harness.cell.submit(spec, harness.now).is_ok());
        for place in harness.starts() {
            starts += 1;
            let _ = harness
                .cell
                .not_started(place, NotStarted::Unreachable, harness.now);
        }
        harness.advance(10);
    }
    let counters = harness.cell.class_counters(spec.class).unwrap();
    assert!(
        counters.amplification() < 1.1,
        "{starts} starts of {submitted}"
    );
    assert!(counters.retried > 0);
}

#[test]
fn backoffs_vary_and_are_bounded() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    harness.machine("r", 4);
    let spec = harness.spec("work", 1);
    let mut waits = Vec::new();
    for _ in 0..8 {
        let place = harness.run(spec);
        let next = harness
            .cell
            .not_started(place, NotStarted::Full, harness.now)
            .unwrap();
        assert_eq!(next, Disposition::Requeued);
        let due = harness.cell.next_deadline().unwrap();
        assert!(due - harness.now <= Span::from_millis(50));
        waits.push(due - harness.now);
        harness.cell.cancel(place.task, harness.now).unwrap();
    }
    waits.dedup();
    assert!(waits.len() > 5, "{waits:?}");
}

#[test]
fn task_that_is_not_idempotent_never_runs_twice() {
    for outcome in [Outcome::Failed, Outcome::Lost, Outcome::Stopped] {
        let mut harness = Harness::with_kind(ClassKind::Batch);
        harness.machine("r", 1);
        let spec = harness.spec("work", 1).with_idempotent(false);
        let place = harness.run(spec);
        let next = harness
            .cell
            .not_started(place, NotStarted::Full, harness.now)
            .unwrap();
        assert_eq!(next, Disposition::Requeued, "the task did not run");
        harness.advance(20_000);
        let place = harness.starts()[0];
        assert_eq!(harness.end(place, outcome), Disposition::Left);
        harness.advance(20_000);
        assert!(harness.starts().is_empty());
        assert_eq!(harness.cell.used().dominant_share(&UNIT), 0.0);
    }
}

#[test]
fn checkpoint_keeps_progress_and_needs_no_retry_budget() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    harness.machine("r", 1);
    let place = harness.run(harness.spec("work", 1));
    let end = Exit::new(Outcome::Checkpointed, Span::from_millis(900));
    let next = harness.cell.ended(place, end, harness.now);
    assert_eq!(next, Ok(Disposition::Requeued));
    assert_eq!(harness.starts()[0].attempt, 2);
    assert_eq!(
        harness
            .cell
            .class_counters(harness.class("work"))
            .unwrap()
            .retried,
        0
    );
}
