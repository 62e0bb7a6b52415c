//! Admission: refusals with the truth, limits, and bad input that leaves the state unchanged.

mod common;

use common::{Bench, UNIT};
use kingcupwinch_policy::{
    Cell, CellError, ClassKind, ClassSpec, CustomerSpec, Dimension, Exit, GangSpec, HoldKey,
    MAX_AMOUNT, MachineKey, MachineSpec, NotStarted, Outcome, Permille, Plan, RateLimit, Refusal,
    Resources, RetryPolicy, Usage, Weights,
};
use kingcupwinch_time::{Span, Time};
use rstest::rstest;

#[rstest]
#[case::no_slot(UNIT.with_slots(0), Refusal::BadSize(Dimension::Slots))]
#[case::absurd(UNIT.with(Dimension::Memory, MAX_AMOUNT + 1), Refusal::BadSize(Dimension::Memory))]
#[case::overflow(UNIT.with(Dimension::Millicores, u64::MAX), Refusal::BadSize(Dimension::Millicores))]
#[case::large(UNIT.with(Dimension::Memory, 9_000), Refusal::TooLarge(Dimension::Memory))]
#[case::accelerator(UNIT.with_accelerators(1), Refusal::TooLarge(Dimension::Accelerators))]
#[case::shape(Resources::new(8_000, 8_000), Refusal::NoFittingMachine)]
fn sizes_that_never_fit_are_refused_with_the_reason(
    #[case] size: Resources,
    #[case] refusal: Refusal,
) {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    for capacity in [Resources::new(8_000, 2_048), Resources::new(2_000, 8_192)] {
        let spec = MachineSpec::new("m", "z", "r", capacity.with_slots(8));
        bench.cell.add_machine(spec, bench.now).unwrap();
    }
    let mut spec = bench.spec("work", 1);
    spec.size = size;
    assert_eq!(bench.cell.submit(spec, bench.now), Err(refusal));
    assert_eq!((bench.cell.tasks(), bench.decide().len()), (0, 0));
}

#[rstest]
#[case::no_run(Span::ZERO)]
#[case::endless(Span::from_micros(u64::MAX))]
fn runs_out_of_range_are_refused(#[case] run: Span) {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    bench.machine("r", 4);
    let mut spec = bench.spec("work", 1);
    spec.run = run;
    assert_eq!(bench.cell.submit(spec, bench.now), Err(Refusal::BadSpec));
}

#[test]
fn keys_of_a_larger_cell_are_unknown() {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    bench.machine("r", 4);
    let plan = Plan::new()
        .with_class(ClassSpec::new("x", ClassKind::Batch, 0))
        .with_class(ClassSpec::new("y", ClassKind::Batch, 0))
        .with_customer(CustomerSpec::new("b", 1.0))
        .with_customer(CustomerSpec::new("c", 1.0));
    let other = Cell::new(plan, 1).unwrap();
    let mut spec = bench.spec("work", 1);
    spec.class = other.class("y").unwrap();
    assert_eq!(
        bench.cell.submit(spec, bench.now),
        Err(Refusal::UnknownClass)
    );
    let mut spec = bench.spec("work", 1);
    spec.customer = other.customer("c").unwrap();
    assert_eq!(
        bench.cell.submit(spec, bench.now),
        Err(Refusal::UnknownCustomer)
    );
}

#[rstest]
#[case::none(0, Refusal::BadSpec)]
#[case::too_wide(9, Refusal::TooWide)]
fn gangs_that_never_fit_are_refused(#[case] count: u32, #[case] refusal: Refusal) {
    let mut bench = Bench::with_kind(ClassKind::Gang);
    bench.machine("r", 8);
    let gang = GangSpec::new(bench.spec("work", 1), count);
    assert_eq!(bench.cell.submit_gang(gang, bench.now), Err(refusal));
    assert_eq!(bench.cell.tasks(), 0);
}

#[test]
fn a_full_queue_refuses_and_takes_again_after_a_start() {
    let class = ClassSpec::new("work", ClassKind::Batch, 1).with_max_queued(2);
    let mut bench = Bench::new(Plan::new().with_class(class));
    bench.machine("r", 1);
    let spec = bench.spec("work", 1);
    let running = bench.run(spec);
    for _ in 0..2 {
        bench.cell.submit(spec, bench.now).unwrap();
    }
    let refusal = bench.cell.submit(spec, bench.now).unwrap_err();
    assert!(matches!(refusal, Refusal::QueueFull(_)));
    bench.end(running, Outcome::Done);
    assert_eq!(bench.starts().len(), 1);
    assert!(bench.cell.submit(spec, bench.now).is_ok());
}

#[rstest]
#[case::class(true)]
#[case::customer(false)]
fn a_spent_rate_refuses_until_its_time(#[case] by_class: bool) {
    let rate = RateLimit {
        per_second: 2.0,
        burst: 1.0,
    };
    let class = ClassSpec::new("work", ClassKind::Batch, 1);
    let customer = CustomerSpec::new("b", 1.0);
    let plan = if by_class {
        let class = class.with_rate(rate);
        Plan::new().with_class(class).with_customer(customer)
    } else {
        let customer = customer.with_rate(rate);
        Plan::new().with_class(class).with_customer(customer)
    };
    let mut bench = Bench::new(plan);
    bench.machine("r", 8);
    let mut spec = bench.spec("work", 1);
    spec.customer = bench.customer("b");
    bench.cell.submit(spec, bench.now).unwrap();
    let refusal = bench.cell.submit(spec, bench.now).unwrap_err();
    assert_eq!(refusal, Refusal::RateLimit(Span::from_millis(500)));
    bench.now += refusal.retry_after().unwrap();
    assert!(bench.cell.submit(spec, bench.now).is_ok());
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut bench = Bench::with_kind(ClassKind::Live);
    bench.machine("r", 1);
    let spec = bench.spec("work", 1);
    let late = spec.with_deadline(bench.now + Span::from_millis(900));
    let refusal = bench.cell.submit(late, bench.now).unwrap_err();
    assert!(matches!(refusal, Refusal::Deadline(_)));
    let met = spec.with_deadline(bench.now + Span::from_millis(1_100));
    assert!(bench.cell.submit(met, bench.now).is_ok());
}

#[test]
fn a_waiting_task_is_given_up_at_its_deadline() {
    let mut bench = Bench::with_kind(ClassKind::Live);
    bench.machine("r", 1);
    let spec = bench.spec("work", 1);
    bench.run(spec);
    let deadline = bench.now + Span::from_secs(2);
    let task = bench
        .cell
        .submit(spec.with_deadline(deadline), bench.now)
        .unwrap();
    assert!(bench.decide().is_empty());
    let wake = bench.cell.next_deadline().unwrap();
    assert!(wake <= deadline);
    bench.now = deadline;
    let decisions = bench.decide();
    let given = matches!(decisions[..], [kingcupwinch_policy::Decision::GiveUp { task: t, refusal: Refusal::Deadline(_) }] if t == task);
    assert!(given, "{decisions:?}");
    assert_eq!(bench.cell.tasks(), 1);
}

#[test]
fn a_quota_is_a_lid_and_a_task_beyond_it_is_refused() {
    let customer = CustomerSpec::new("b", 1.0).with_quota(Permille(500));
    let plan = Plan::new()
        .with_class(ClassSpec::new("work", ClassKind::Batch, 1))
        .with_customer(customer);
    let mut bench = Bench::new(plan);
    bench.machine("r", 8);
    let mut spec = bench.spec("work", 2);
    spec.customer = bench.customer("b");
    for _ in 0..3 {
        bench.cell.submit(spec, bench.now).unwrap();
    }
    assert_eq!(bench.starts().len(), 2);
    spec.size = UNIT.times(5);
    assert_eq!(bench.cell.submit(spec, bench.now), Err(Refusal::OverQuota));
}

#[test]
fn events_that_match_nothing_leave_the_state_unchanged() {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    let machine = bench.machine("r", 2);
    let place = bench.run(bench.spec("work", 1));
    let end = Exit::new(Outcome::Done, Span::from_secs(1));
    let mut stale = place;
    stale.attempt += 1;
    assert_eq!(
        bench.cell.ended(stale, end, bench.now),
        Err(CellError::StaleAttempt)
    );
    let refused = bench.cell.not_started(stale, NotStarted::Full, bench.now);
    assert_eq!(refused, Err(CellError::StaleAttempt));
    assert_eq!(
        bench.cell.throttled(place, bench.now),
        Err(CellError::WrongState)
    );
    assert_eq!(bench.cell.used(), UNIT);
    bench.end(place, Outcome::Done);
    assert_eq!(
        bench.cell.ended(place, end, bench.now),
        Err(CellError::UnknownTask)
    );
    assert_eq!(
        bench.cell.cancel(place.task, bench.now),
        Err(CellError::UnknownTask)
    );
    assert_eq!(
        bench.cell.release(HoldKey::default()),
        Err(CellError::UnknownHold)
    );
    bench.cell.remove_machine(machine, bench.now).unwrap();
    let usage = Usage {
        used: UNIT,
        taken: bench.now,
    };
    assert_eq!(
        bench.cell.observe(machine, usage),
        Err(CellError::UnknownMachine)
    );
    let gone = bench.cell.remove_machine(machine, bench.now);
    assert_eq!(gone, Err(CellError::UnknownMachine));
    assert_eq!(bench.cell.capacity(), Resources::ZERO);
}

#[rstest]
#[case::no_slots(UNIT.with_slots(0), 1.0)]
#[case::absurd(UNIT.with(Dimension::Memory, u64::MAX), 1.0)]
#[case::no_speed(UNIT, 0.0)]
#[case::not_a_speed(UNIT, f64::NAN)]
fn machines_out_of_range_are_not_added(#[case] capacity: Resources, #[case] speed: f64) {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    let spec = MachineSpec::new("m", "z", "r", capacity).with_speed(speed);
    assert!(bench.cell.add_machine(spec, bench.now).is_err());
    assert_eq!(bench.cell.machine_state(MachineKey::default()), None);
}

#[rstest]
#[case::least_over_most(ClassSpec::new("w", ClassKind::Batch, 0).with_shares(Permille(600), Permille(500)))]
#[case::no_attempts(ClassSpec::new("w", ClassKind::Batch, 0).with_retry(RetryPolicy { max_attempts: 0, ..RetryPolicy::default() }))]
#[case::no_size(ClassSpec::new("w", ClassKind::Batch, 0).with_typical_size(Resources::ZERO))]
#[case::no_rate(ClassSpec::new("w", ClassKind::Batch, 0).with_rate(RateLimit { per_second: 0.0, burst: 1.0 }))]
fn a_plan_out_of_range_leaves_the_old_one_in_force(#[case] class: ClassSpec) {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    let refused = bench
        .cell
        .update_plan(Plan::new().with_class(class), bench.now);
    assert!(matches!(refused, Err(CellError::BadPlan(_))));
    assert!(bench.cell.class("work").is_some());
    let weights = Weights {
        waiting: 0.0,
        packing: 0.0,
    };
    assert!(Plan::new().with_weights(weights).check().is_err());
}

#[test]
fn a_new_plan_keeps_the_work_of_classes_that_it_drops() {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    bench.machine("r", 1);
    let spec = bench.spec("work", 1);
    let running = bench.run(spec);
    let waiting = bench.cell.submit(spec, bench.now).unwrap();
    let other = ClassSpec::new("other", ClassKind::Batch, 1);
    bench
        .cell
        .update_plan(Plan::new().with_class(other), bench.now)
        .unwrap();
    assert_eq!(
        bench.cell.submit(spec, bench.now),
        Err(Refusal::UnknownClass)
    );
    bench.end(running, Outcome::Done);
    let starts = bench.starts();
    assert_eq!(starts.iter().map(|p| p.task).collect::<Vec<_>>(), [waiting]);
    assert_eq!(Time::ZERO.since(bench.now), Span::ZERO);
}
