//! Admission: refusals with their reason, limits, and invalid input that leaves the state
//! unchanged.

mod common;

use common::{Harness, UNIT};
use kingcupwinch_policy::{
    Cell, CellError, ClassKind, ClassSpec, CustomerSpec, Dimension, Exit, GangSpec, HoldKey,
    MAX_AMOUNT, MachineKey, MachineSpec, NotStarted, Outcome, Permille, Plan, RateLimit, Refusal,
    Resources, RetryPolicy, Usage, Weights,
};
use kingcupwinch_time::{Span, Time};
use rstest::rstest;

#[rstest]
#[case::no_slot(UNIT.with_slots(0), Refusal::BadSize(Dimension::Slots))]
#[case::out_of_range(UNIT.with(Dimension::Memory, MAX_AMOUNT + 1), Refusal::BadSize(Dimension::Memory))]
#[case::overflow(UNIT.with(Dimension::Millicores, u64::MAX), Refusal::BadSize(Dimension::Millicores))]
#[case::too_large(UNIT.with(Dimension::Memory, 9_000), Refusal::TooLarge(Dimension::Memory))]
#[case::no_accelerator(UNIT.with_accelerators(1), Refusal::TooLarge(Dimension::Accelerators))]
#[case::no_combination(Resources::new(8_000, 8_000), Refusal::NoFittingMachine)]
fn refuses_sizes_that_never_fit_with_the_reason(#[case] size: Resources, #[case] refusal: Refusal) {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    for capacity in [Resources::new(8_000, 2_048), Resources::new(2_000, 8_192)] {
        let spec = MachineSpec::new("m", "z", "r", capacity.with_slots(8));
        harness.cell.add_machine(spec, harness.now).unwrap();
    }
    let mut spec = harness.spec("work", 1);
    spec.size = size;
    assert_eq!(harness.cell.submit(spec, harness.now), Err(refusal));
    assert_eq!((harness.cell.tasks(), harness.decide().len()), (0, 0));
}

#[rstest]
#[case::zero(Span::ZERO)]
#[case::endless(Span::from_micros(u64::MAX))]
fn refuses_run_times_out_of_range(#[case] run: Span) {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    harness.machine("r", 4);
    let mut spec = harness.spec("work", 1);
    spec.run = run;
    assert_eq!(
        harness.cell.submit(spec, harness.now),
        Err(Refusal::BadSpec)
    );
}

#[test]
fn refuses_keys_of_another_cell() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    harness.machine("r", 4);
    let plan = Plan::new()
        .with_class(ClassSpec::new("x", ClassKind::Batch, 0))
        .with_class(ClassSpec::new("y", ClassKind::Batch, 0))
        .with_customer(CustomerSpec::new("b", 1.0))
        .with_customer(CustomerSpec::new("c", 1.0));
    let other = Cell::new(plan, 1).unwrap();
    let mut spec = harness.spec("work", 1);
    spec.class = other.class("y").unwrap();
    assert_eq!(
        harness.cell.submit(spec, harness.now),
        Err(Refusal::UnknownClass)
    );
    let mut spec = harness.spec("work", 1);
    spec.customer = other.customer("c").unwrap();
    assert_eq!(
        harness.cell.submit(spec, harness.now),
        Err(Refusal::UnknownCustomer)
    );
}

#[rstest]
#[case::no_tasks(0, Refusal::BadSpec)]
#[case::too_wide(9, Refusal::TooWide)]
fn refuses_gangs_that_never_fit(#[case] count: u32, #[case] refusal: Refusal) {
    let mut harness = Harness::with_kind(ClassKind::Gang);
    harness.machine("r", 8);
    let gang = GangSpec::new(harness.spec("work", 1), count);
    assert_eq!(harness.cell.submit_gang(gang, harness.now), Err(refusal));
    assert_eq!(harness.cell.tasks(), 0);
}

#[test]
fn full_queue_accepts_again_after_a_start() {
    let class = ClassSpec::new("work", ClassKind::Batch, 1).with_max_queued(2);
    let mut harness = Harness::new(Plan::new().with_class(class));
    harness.machine("r", 1);
    let spec = harness.spec("work", 1);
    let running = harness.run(spec);
    for _ in 0..2 {
        harness.cell.submit(spec, harness.now).unwrap();
    }
    let refusal = harness.cell.submit(spec, harness.now).unwrap_err();
    assert!(matches!(refusal, Refusal::QueueFull(_)));
    harness.end(running, Outcome::Done);
    assert_eq!(harness.starts().len(), 1);
    assert!(harness.cell.submit(spec, harness.now).is_ok());
}

#[rstest]
#[case::class(true)]
#[case::customer(false)]
fn rate_limit_refuses_until_retry_after(#[case] by_class: bool) {
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
    let mut harness = Harness::new(plan);
    harness.machine("r", 8);
    let mut spec = harness.spec("work", 1);
    spec.customer = harness.customer("b");
    harness.cell.submit(spec, harness.now).unwrap();
    let refusal = harness.cell.submit(spec, harness.now).unwrap_err();
    assert_eq!(refusal, Refusal::RateLimit(Span::from_millis(500)));
    harness.now += refusal.retry_after().unwrap();
    assert!(harness.cell.submit(spec, harness.now).is_ok());
}

#[test]
fn refuses_a_deadline_that_cannot_be_met() {
    let mut harness = Harness::with_kind(ClassKind::Live);
    harness.machine("r", 1);
    let spec = harness.spec("work", 1);
    let late = spec.with_deadline(harness.now + Span::from_millis(900));
    let refusal = harness.cell.submit(late, harness.now).unwrap_err();
    assert!(matches!(refusal, Refusal::Deadline(_)));
    let met = spec.with_deadline(harness.now + Span::from_millis(1_100));
    assert!(harness.cell.submit(met, harness.now).is_ok());
}

#[test]
fn waiting_task_is_given_up_at_its_deadline() {
    let mut harness = Harness::with_kind(ClassKind::Live);
    harness.machine("r", 1);
    let spec = harness.spec("work", 1);
    harness.run(spec);
    let deadline = harness.now + Span::from_secs(2);
    let task = harness
        .cell
        .submit(spec.with_deadline(deadline), harness.now)
        .unwrap();
    assert!(harness.decide().is_empty());
    let wakeup = harness.cell.next_deadline().unwrap();
    assert!(wakeup <= deadline);
    harness.now = deadline;
    let decisions = harness.decide();
    let given_up = matches!(decisions[..], [kingcupwinch_policy::Decision::GiveUp { task: t, refusal: Refusal::Deadline(_) }] if t == task);
    assert!(given_up, "{decisions:?}");
    assert_eq!(harness.cell.tasks(), 1);
}

#[test]
fn quota_limits_usage_and_refuses_larger_tasks() {
    let customer = CustomerSpec::new("b", 1.0).with_quota(Permille(500));
    let plan = Plan::new()
        .with_class(ClassSpec::new("work", ClassKind::Batch, 1))
        .with_customer(customer);
    let mut harness = Harness::new(plan);
    harness.machine("r", 8);
    let mut spec = harness.spec("work", 2);
    spec.customer = harness.customer("b");
    for _ in 0..3 {
        harness.cell.submit(spec, harness.now).unwrap();
    }
    assert_eq!(harness.starts().len(), 2);
    spec.size = UNIT.times(5);
    assert_eq!(
        harness.cell.submit(spec, harness.now),
        Err(Refusal::OverQuota)
    );
}

#[test]
fn invalid_events_leave_the_state_unchanged() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    let machine = harness.machine("r", 2);
    let place = harness.run(harness.spec("work", 1));
    let end = Exit::new(Outcome::Done, Span::from_secs(1));
    let mut stale = place;
    stale.attempt += 1;
    assert_eq!(
        harness.cell.ended(stale, end, harness.now),
        Err(CellError::StaleAttempt)
    );
    let refused = harness
        .cell
        .not_started(stale, NotStarted::Full, harness.now);
    assert_eq!(refused, Err(CellError::StaleAttempt));
    assert_eq!(
        harness.cell.throttled(place, harness.now),
        Err(CellError::WrongState)
    );
    assert_eq!(harness.cell.used(), UNIT);
    harness.end(place, Outcome::Done);
    assert_eq!(
        harness.cell.ended(place, end, harness.now),
        Err(CellError::UnknownTask)
    );
    assert_eq!(
        harness.cell.cancel(place.task, harness.now),
        Err(CellError::UnknownTask)
    );
    assert_eq!(
        harness.cell.release(HoldKey::default()),
        Err(CellError::UnknownHold)
    );
    harness.cell.remove_machine(machine, harness.now).unwrap();
    let usage = Usage {
        used: UNIT,
        taken: harness.now,
    };
    assert_eq!(
        harness.cell.observe(machine, usage),
        Err(CellError::UnknownMachine)
    );
    let gone = harness.cell.remove_machine(machine, harness.now);
    assert_eq!(gone, Err(CellError::UnknownMachine));
    assert_eq!(harness.cell.capacity(), Resources::ZERO);
}

#[rstest]
#[case::no_slots(UNIT.with_slots(0), 1.0)]
#[case::out_of_range(UNIT.with(Dimension::Memory, u64::MAX), 1.0)]
#[case::zero_speed(UNIT, 0.0)]
#[case::nan_speed(UNIT, f64::NAN)]
fn rejects_machines_with_values_out_of_range(#[case] capacity: Resources, #[case] speed: f64) {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    let spec = MachineSpec::new("m", "z", "r", capacity).with_speed(speed);
    assert!(harness.cell.add_machine(spec, harness.now).is_err());
    assert_eq!(harness.cell.machine_state(MachineKey::default()), None);
}

#[rstest]
#[case::min_share_above_max_share(ClassSpec::new("w", ClassKind::Batch, 0).with_shares(Permille(600), Permille(500)))]
#[case::no_attempts(ClassSpec::new("w", ClassKind::Batch, 0).with_retry(RetryPolicy { max_attempts: 0, ..RetryPolicy::default() }))]
#[case::zero_size(ClassSpec::new("w", ClassKind::Batch, 0).with_typical_size(Resources::ZERO))]
#[case::zero_rate(ClassSpec::new("w", ClassKind::Batch, 0).with_rate(RateLimit { per_second: 0.0, burst: 1.0 }))]
fn invalid_plan_leaves_the_old_one_in_force(#[case] class: ClassSpec) {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    let refused = harness
        .cell
        .update_plan(Plan::new().with_class(class), harness.now);
    assert!(matches!(refused, Err(CellError::BadPlan(_))));
    assert!(harness.cell.class("work").is_some());
    let weights = Weights {
        waiting: 0.0,
        packing: 0.0,
    };
    assert!(Plan::new().with_weights(weights).check().is_err());
}

#[test]
fn new_plan_keeps_tasks_of_removed_classes() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    harness.machine("r", 1);
    let spec = harness.spec("work", 1);
    let running = harness.run(spec);
    let waiting = harness.cell.submit(spec, harness.now).unwrap();
    let other = ClassSpec::new("other", ClassKind::Batch, 1);
    harness
        .cell
        .update_plan(Plan::new().with_class(other), harness.now)
        .unwrap();
    assert_eq!(
        harness.cell.submit(spec, harness.now),
        Err(Refusal::UnknownClass)
    );
    harness.end(running, Outcome::Done);
    let starts = harness.starts();
    assert_eq!(starts.iter().map(|p| p.task).collect::<Vec<_>>(), [waiting]);
    assert_eq!(Time::ZERO.since(harness.now), Span::ZERO);
}
