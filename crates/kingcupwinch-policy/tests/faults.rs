//! Retries, blame, quarantine and probes.

mod common;

use common::{Bench, UNIT};
use kingcupwinch_policy::{
    ClassKind, ClassSpec, Disposition, Exit, MachineKey, MachineState, NotStarted, Outcome, Plan,
    Refusal, TaskSpec,
};
use kingcupwinch_time::Span;

/// Runs tasks, one after the other, on a cell where `bad` fails all that it starts.
fn serve(bench: &mut Bench, spec: TaskSpec, bad: &[MachineKey], rounds: usize) -> usize {
    let mut failures = 0;
    for _ in 0..rounds {
        for _ in 0..8 {
            let _ = bench.cell.submit(spec, bench.now);
        }
        for place in bench.starts() {
            let fails = bad.contains(&place.machine);
            failures += usize::from(fails);
            let outcome = if fails {
                Outcome::Failed
            } else {
                Outcome::Done
            };
            bench.end(place, outcome);
        }
        bench.advance(20);
    }
    failures
}

#[test]
fn black_holes_go_to_quarantine_up_to_a_fifth_and_return_by_probes() {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    let machines: Vec<MachineKey> = (0..10).map(|_| bench.machine("r", 1)).collect();
    let bad = &machines[..3];
    let spec = bench.spec("work", 1);
    serve(&mut bench, spec, bad, 400);
    let confined = |bench: &Bench| {
        let standing = machines.iter().map(|m| bench.cell.machine_state(*m));
        standing
            .filter(|s| *s == Some(MachineState::Quarantined))
            .count()
    };
    assert_eq!(confined(&bench), 2, "the cap is a fifth");
    let failures = serve(&mut bench, spec, bad, 100);
    assert!(failures < 200, "{failures} of 800 failed");
    serve(&mut bench, spec, &[], 8_000);
    assert_eq!(confined(&bench), 0, "healed machines come back");
}

#[test]
fn a_task_that_fails_on_three_healthy_machines_is_at_fault_itself() {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    let machines: Vec<MachineKey> = (0..8).map(|_| bench.machine("r", 1)).collect();
    let faulty = bench.cell.submit(bench.spec("work", 1), bench.now).unwrap();
    let mut next = Disposition::Requeued;
    for _ in 0..20 {
        for place in bench.starts() {
            assert_eq!(place.task, faulty);
            next = bench.end(place, Outcome::Failed);
        }
        bench.advance(20_000);
    }
    assert_eq!(next, Disposition::GaveUp(Refusal::FailedEverywhere));
    let active = machines
        .iter()
        .all(|m| bench.cell.machine_state(*m) == Some(MachineState::Active));
    assert!(active);
}

#[test]
fn retries_stay_within_a_tenth_of_successes_when_everything_fails() {
    let class = ClassSpec::new("work", ClassKind::Live, 0);
    let mut bench = Bench::new(Plan::new().with_class(class));
    for _ in 0..8 {
        bench.machine("r", 4);
    }
    let spec = bench.spec("work", 1);
    let (mut starts, mut submitted) = (0, 0);
    for _ in 0..2_000 {
        submitted += u32::from(bench.cell.submit(spec, bench.now).is_ok());
        for place in bench.starts() {
            starts += 1;
            let _ = bench
                .cell
                .not_started(place, NotStarted::Unreachable, bench.now);
        }
        bench.advance(10);
    }
    let counters = bench.cell.class_counters(spec.class).unwrap();
    assert!(
        counters.amplification() < 1.1,
        "{starts} starts of {submitted}"
    );
    assert!(counters.retried > 0);
}

#[test]
fn backoffs_are_spread_and_bounded() {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    bench.machine("r", 4);
    let spec = bench.spec("work", 1);
    let mut waits = Vec::new();
    for _ in 0..8 {
        let place = bench.run(spec);
        let next = bench
            .cell
            .not_started(place, NotStarted::Full, bench.now)
            .unwrap();
        assert_eq!(next, Disposition::Requeued);
        let due = bench.cell.next_deadline().unwrap();
        assert!(due - bench.now <= Span::from_millis(50));
        waits.push(due - bench.now);
        bench.cell.cancel(place.task, bench.now).unwrap();
    }
    waits.dedup();
    assert!(waits.len() > 5, "{waits:?}");
}

#[test]
fn work_that_is_not_idempotent_never_runs_twice() {
    for outcome in [Outcome::Failed, Outcome::Lost, Outcome::Stopped] {
        let mut bench = Bench::with_kind(ClassKind::Batch);
        bench.machine("r", 1);
        let spec = bench.spec("work", 1).with_idempotent(false);
        let place = bench.run(spec);
        let next = bench
            .cell
            .not_started(place, NotStarted::Full, bench.now)
            .unwrap();
        assert_eq!(next, Disposition::Requeued, "it certainly did not run");
        bench.advance(20_000);
        let place = bench.starts()[0];
        assert_eq!(bench.end(place, outcome), Disposition::Left);
        bench.advance(20_000);
        assert!(bench.starts().is_empty());
        assert_eq!(bench.cell.used().dominant_share(&UNIT), 0.0);
    }
}

#[test]
fn a_checkpoint_keeps_progress_and_needs_no_retry_budget() {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    bench.machine("r", 1);
    let place = bench.run(bench.spec("work", 1));
    let end = Exit::new(Outcome::Checkpointed, Span::from_millis(900));
    let next = bench.cell.ended(place, end, bench.now);
    assert_eq!(next, Ok(Disposition::Requeued));
    assert_eq!(bench.starts()[0].attempt, 2);
    assert_eq!(
        bench
            .cell
            .class_counters(bench.class("work"))
            .unwrap()
            .retried,
        0
    );
}
