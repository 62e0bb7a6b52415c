//! Placement: order, shares, speeds and corrections of declared values.

mod common;

use common::{ALL_PREEMPTION, Harness, UNIT, urgent_and_batch};
use kingcupwinch_policy::{
    ClassKind, ClassSpec, Contract, CustomerSpec, Decision, Exit, MachineSpec, Outcome, Permille,
    Plan, Preemption, Resources, TaskKey, Usage,
};
use kingcupwinch_time::{Span, Time};

#[test]
fn urgent_work_starts_by_deadline_before_batch() {
    let mut harness = Harness::new(urgent_and_batch(Preemption::default()));
    let machine = harness.machine("r", 1);
    let hold = harness.cell.occupy(machine, UNIT).unwrap();
    let batch = harness
        .cell
        .submit(harness.spec("batch", 1), harness.now)
        .unwrap();
    let spec = harness.spec("live", 1);
    let late = spec.with_deadline(harness.now + Span::from_secs(60));
    let late = harness.cell.submit(late, harness.now).unwrap();
    let soon = spec.with_deadline(harness.now + Span::from_secs(30));
    let soon = harness.cell.submit(soon, harness.now).unwrap();
    assert!(harness.starts().is_empty());
    harness.cell.release(hold).unwrap();
    let mut order: Vec<TaskKey> = Vec::new();
    for _ in 0..3 {
        let starts = harness.starts();
        assert_eq!(starts.len(), 1);
        order.push(starts[0].task);
        harness.end(starts[0], Outcome::Done);
    }
    assert_eq!(order, [soon, late, batch]);
}

#[test]
fn live_work_goes_to_the_fastest_machine_with_room() {
    let mut harness = Harness::with_kind(ClassKind::Live);
    let capacity = UNIT.times(1).with_connections(1);
    let mut machines = Vec::new();
    for speed in [1.0, 8.0, 2.0] {
        let spec = MachineSpec::new("m", "z", "r", capacity).with_speed(speed);
        machines.push(harness.cell.add_machine(spec, harness.now).unwrap());
    }
    let spec = harness.spec("work", 1);
    let chosen: Vec<_> = (0..3).map(|_| harness.run(spec).machine).collect();
    assert_eq!(chosen, [machines[1], machines[2], machines[0]]);
}

/// Tasks that fit no machine any more, at the head of their lane, kept the ones behind them waiting
/// beside free machines.
#[test]
fn tasks_that_fit_no_machine_any_more_do_not_block_those_behind_them() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    let large = harness.machine("r", 8);
    harness.machine("r", 2);
    harness.cell.occupy(large, UNIT).unwrap();
    for _ in 0..10 {
        let spec = harness.spec("work", 8);
        harness.cell.submit(spec, harness.now).unwrap();
    }
    let small = harness.spec("work", 1);
    let small = harness.cell.submit(small, harness.now).unwrap();
    harness.cell.remove_machine(large, harness.now).unwrap();
    let mut started = Vec::new();
    for _ in 0..30 {
        harness.advance(100);
        started.extend(harness.starts().iter().map(|place| place.task));
    }
    assert_eq!(started, [small]);
}

/// Such tasks still wait, and start in their order once a machine is added that holds them.
#[test]
fn tasks_that_fit_no_machine_start_when_one_is_added() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    harness.machine("r", 2);
    let remote = UNIT.times(8).with_connections(8);
    harness.cell.set_remote_capacities(Some(vec![remote]));
    let large = harness.spec("work", 8);
    let mut submit = |spec| harness.cell.submit(spec, harness.now).unwrap();
    let tasks: Vec<TaskKey> = (0..10).map(|_| submit(large)).collect();
    assert!(harness.starts().is_empty());
    assert_eq!(harness.cell.queued(large.class), 10);
    harness.cell.cancel(tasks[0], harness.now).unwrap();
    assert_eq!(harness.cell.queued(large.class), 9);
    harness.machine("r", 8);
    let mut started = Vec::new();
    for _ in 0..9 {
        harness.advance(100);
        let place = harness.starts()[0];
        started.push(place.task);
        harness.end(place, Outcome::Done);
    }
    assert_eq!(started, tasks[1..]);
    assert_eq!(harness.cell.queued(large.class), 0);
}

#[test]
fn observed_speed_replaces_the_declared_one() {
    let mut harness = Harness::with_kind(ClassKind::Live);
    let capacity = UNIT.with_connections(1);
    let spec = MachineSpec::new("m", "z", "r", capacity).with_speed(4.0);
    let overstated = harness.cell.add_machine(spec, harness.now).unwrap();
    let accurate = harness.machine("r", 1);
    let spec = harness.spec("work", 1);
    for _ in 0..60 {
        let place = harness.run(spec);
        let slow = Span::from_secs(if place.machine == overstated { 4 } else { 1 });
        let end = Exit::new(Outcome::Done, slow);
        harness.cell.ended(place, end, harness.now).unwrap();
    }
    assert_eq!(harness.run(spec).machine, accurate);
}

#[test]
fn customers_share_by_weight() {
    let plan = Plan::new()
        .with_class(ClassSpec::new("work", ClassKind::Batch, 1))
        .with_customer(CustomerSpec::new("b", 3.0));
    let mut harness = Harness::new(plan);
    harness.machine("r", 8);
    let spec = harness.spec("work", 1);
    for _ in 0..8 {
        harness.cell.submit(spec, harness.now).unwrap();
        let mut other = spec;
        other.customer = harness.customer("b");
        harness.cell.submit(other, harness.now).unwrap();
    }
    assert_eq!(harness.starts().len(), 8);
    let shares = ["a", "b"].map(|c| harness.cell.customer_share(harness.customer(c)));
    assert_eq!(shares, [0.25, 0.75]);
}

#[test]
fn contract_usage_is_relative_to_the_paid_share() {
    let customer = CustomerSpec::new("b", 1.0).with_contract(Contract { paid_share: 0.5 });
    let class = ClassSpec::new("work", ClassKind::Batch, 1);
    let mut harness = Harness::new(Plan::new().with_class(class).with_customer(customer));
    harness.machine("r", 8);
    let mut spec = harness.spec("work", 2);
    spec.customer = harness.customer("b");
    harness.run(spec);
    assert_eq!(harness.cell.contract_usage(spec.customer), Some(0.5));
    harness.run(spec);
    harness.run(spec);
    assert_eq!(
        harness.cell.contract_usage(spec.customer),
        Some(1.5),
        "lent beyond the contract"
    );
    assert_eq!(harness.cell.contract_usage(harness.customer("a")), None);
}

#[test]
fn max_share_limits_a_class_and_idle_capacity_is_lent() {
    let high =
        ClassSpec::new("high", ClassKind::Batch, 1).with_shares(Permille::NONE, Permille(500));
    let low = ClassSpec::new("low", ClassKind::Batch, 2).with_shares(Permille(250), Permille::ALL);
    let mut harness = Harness::new(Plan::new().with_class(high).with_class(low));
    harness.machine("r", 8);
    let (high, low) = (harness.spec("high", 1), harness.spec("low", 1));
    for _ in 0..8 {
        harness.cell.submit(high, harness.now).unwrap();
    }
    assert_eq!(harness.starts().len(), 4, "the maximum share");
    for _ in 0..8 {
        harness.cell.submit(low, harness.now).unwrap();
    }
    let first = harness.starts()[0].task;
    assert_eq!(
        harness.cell.class_share(low.class),
        0.5,
        "idle capacity is lent"
    );
    assert!(harness.cell.cancel(first, harness.now).is_ok());
}

#[test]
fn task_that_fits_nowhere_does_not_block_others() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    harness.machine("r", 4);
    let place = harness.run(harness.spec("work", 2));
    let wide = harness
        .cell
        .submit(harness.spec("work", 4), harness.now)
        .unwrap();
    let narrow = harness
        .cell
        .submit(harness.spec("work", 1), harness.now)
        .unwrap();
    let starts = harness.starts();
    assert_eq!(starts.iter().map(|p| p.task).collect::<Vec<_>>(), [narrow]);
    harness.end(place, Outcome::Done);
    harness.end(starts[0], Outcome::Done);
    assert_eq!(harness.starts()[0].task, wide);
}

#[test]
fn observed_excess_usage_is_not_allocated() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    let machine = harness.machine("r", 4);
    let used = Resources::new(3_500, 0);
    let usage = |taken| Usage { used, taken };
    harness.cell.observe(machine, usage(harness.now)).unwrap();
    harness
        .cell
        .submit(harness.spec("work", 1), harness.now)
        .unwrap();
    assert!(harness.starts().is_empty());
    harness.advance(10);
    let usage = Usage {
        used: Resources::ZERO,
        taken: harness.now,
    };
    harness.cell.observe(machine, usage).unwrap();
    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn declared_sizes_are_corrected_from_observed_peaks() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    harness.machine("r", 8);
    let spec = harness.spec("work", 1);
    for _ in 0..40 {
        let place = harness.run(spec);
        let peak = Resources::new(2_000, 2_048);
        let end = Exit::new(Outcome::Done, Span::from_secs(1)).with_peak(peak);
        harness.cell.ended(place, end, harness.now).unwrap();
    }
    for _ in 0..8 {
        harness.cell.submit(spec, harness.now).unwrap();
    }
    assert_eq!(
        harness.starts().len(),
        4,
        "each task is allocated twice its declared size"
    );
}

#[test]
fn one_seed_gives_one_sequence_of_decisions() {
    let session = || {
        let mut harness = Harness::new(urgent_and_batch(ALL_PREEMPTION));
        for rack in ["r", "s", "t"] {
            harness.machine(rack, 5);
        }
        let mut log = Vec::new();
        for step in 0..200 {
            let class = if step % 3 == 0 { "batch" } else { "live" };
            let _ = harness
                .cell
                .submit(harness.spec(class, 1 + step % 2), harness.now);
            let decisions = harness.decide();
            let outcome = if step % 5 == 0 {
                Outcome::Failed
            } else {
                Outcome::Done
            };
            for decision in &decisions {
                if let Decision::Start(place) = decision {
                    harness.end(*place, outcome);
                }
            }
            log.extend(decisions);
            harness.advance(17);
        }
        log
    };
    let first = session();
    assert!(first.len() > 100);
    assert_eq!(first, session());
}

#[test]
fn machines_that_nearly_fit_do_not_hide_one_that_fits() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    let nearly = Resources::new(4_000, 4_608).with_slots(4);
    for _ in 0..400 {
        let spec = MachineSpec::new("m", "z", "r", nearly);
        harness.cell.add_machine(spec, harness.now).unwrap();
    }
    let roomy = Resources::new(4_000, 12_288).with_slots(4);
    let spec = MachineSpec::new("m", "z", "r", roomy);
    let roomy = harness.cell.add_machine(spec, harness.now).unwrap();
    let mut spec = harness.spec("work", 1);
    spec.size = Resources::new(1_000, 6_000);
    assert_eq!(harness.run(spec).machine, roomy);
    assert_eq!(harness.run(spec).machine, roomy);
}

#[test]
fn the_only_machine_that_fits_is_found_within_a_minute() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    for memory in std::iter::repeat_n(4_608, 400).chain([6_144]) {
        let capacity = Resources::new(4_000, memory).with_slots(4);
        let spec = MachineSpec::new("m", "z", "r", capacity);
        harness.cell.add_machine(spec, harness.now).unwrap();
    }
    let mut spec = harness.spec("work", 1);
    spec.size = Resources::new(1_000, 6_000);
    harness.cell.submit(spec, harness.now).unwrap();
    let mut started = harness.starts().len();
    while started == 0 && harness.now < Time::ZERO + Span::from_secs(60) {
        harness.now = harness.cell.next_deadline().unwrap();
        started = harness.starts().len();
    }
    assert_eq!(started, 1);
}

#[test]
fn min_share_is_served_before_a_higher_band() {
    let high = ClassSpec::new("high", ClassKind::Batch, 1);
    let low = ClassSpec::new("low", ClassKind::Batch, 2).with_shares(Permille(250), Permille::ALL);
    let mut harness = Harness::new(Plan::new().with_class(high).with_class(low));
    harness.machine("r", 8);
    let (high, low) = (harness.spec("high", 1), harness.spec("low", 1));
    for _ in 0..8 {
        harness.cell.submit(high, harness.now).unwrap();
        harness.cell.submit(low, harness.now).unwrap();
    }
    assert_eq!(harness.starts().len(), 8);
    let running = [high, low].map(|s| harness.cell.running(s.class));
    assert!(running[1] >= 2 && running[0] >= 5, "{running:?}");
}
