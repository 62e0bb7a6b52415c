//! Placement: order, shares, speeds and corrections.

mod common;

use common::{ALL_PREEMPTION, Bench, UNIT, urgent_and_batch};
use kingcupwinch_policy::{
    ClassKind, ClassSpec, Contract, CustomerSpec, Decision, Exit, MachineSpec, Outcome, Permille,
    Plan, Preemption, Resources, TaskKey, Usage,
};
use kingcupwinch_time::{Span, Time};

#[test]
fn urgent_work_starts_by_deadline_before_batch() {
    let mut bench = Bench::new(urgent_and_batch(Preemption::default()));
    let machine = bench.machine("r", 1);
    let hold = bench.cell.occupy(machine, UNIT).unwrap();
    let batch = bench
        .cell
        .submit(bench.spec("batch", 1), bench.now)
        .unwrap();
    let spec = bench.spec("live", 1);
    let late = spec.with_deadline(bench.now + Span::from_secs(60));
    let late = bench.cell.submit(late, bench.now).unwrap();
    let soon = spec.with_deadline(bench.now + Span::from_secs(30));
    let soon = bench.cell.submit(soon, bench.now).unwrap();
    assert!(bench.starts().is_empty());
    bench.cell.release(hold).unwrap();
    let mut order: Vec<TaskKey> = Vec::new();
    for _ in 0..3 {
        let starts = bench.starts();
        assert_eq!(starts.len(), 1);
        order.push(starts[0].task);
        bench.end(starts[0], Outcome::Done);
    }
    assert_eq!(order, [soon, late, batch]);
}

#[test]
fn live_work_goes_to_the_fastest_machine_with_room() {
    let mut bench = Bench::with_kind(ClassKind::Live);
    let capacity = UNIT.times(1).with_connections(1);
    let mut machines = Vec::new();
    for speed in [1.0, 8.0, 2.0] {
        let spec = MachineSpec::new("m", "z", "r", capacity).with_speed(speed);
        machines.push(bench.cell.add_machine(spec, bench.now).unwrap());
    }
    let spec = bench.spec("work", 1);
    let chosen: Vec<_> = (0..3).map(|_| bench.run(spec).machine).collect();
    assert_eq!(chosen, [machines[1], machines[2], machines[0]]);
}

#[test]
fn observed_speed_replaces_the_declared_one() {
    let mut bench = Bench::with_kind(ClassKind::Live);
    let capacity = UNIT.with_connections(1);
    let spec = MachineSpec::new("m", "z", "r", capacity).with_speed(4.0);
    let boaster = bench.cell.add_machine(spec, bench.now).unwrap();
    let honest = bench.machine("r", 1);
    let spec = bench.spec("work", 1);
    for _ in 0..60 {
        let place = bench.run(spec);
        let slow = Span::from_secs(if place.machine == boaster { 4 } else { 1 });
        let end = Exit::new(Outcome::Done, slow);
        bench.cell.ended(place, end, bench.now).unwrap();
    }
    assert_eq!(bench.run(spec).machine, honest);
}

#[test]
fn weighted_shares_settle_among_customers() {
    let plan = Plan::new()
        .with_class(ClassSpec::new("work", ClassKind::Batch, 1))
        .with_customer(CustomerSpec::new("b", 3.0));
    let mut bench = Bench::new(plan);
    bench.machine("r", 8);
    let spec = bench.spec("work", 1);
    for _ in 0..8 {
        bench.cell.submit(spec, bench.now).unwrap();
        let mut other = spec;
        other.customer = bench.customer("b");
        bench.cell.submit(other, bench.now).unwrap();
    }
    assert_eq!(bench.starts().len(), 8);
    let shares = ["a", "b"].map(|c| bench.cell.customer_share(bench.customer(c)));
    assert_eq!(shares, [0.25, 0.75]);
}

#[test]
fn the_use_of_a_contract_is_counted_over_what_is_paid() {
    let customer = CustomerSpec::new("b", 1.0).with_contract(Contract { paid_share: 0.5 });
    let class = ClassSpec::new("work", ClassKind::Batch, 1);
    let mut bench = Bench::new(Plan::new().with_class(class).with_customer(customer));
    bench.machine("r", 8);
    let mut spec = bench.spec("work", 2);
    spec.customer = bench.customer("b");
    bench.run(spec);
    assert_eq!(bench.cell.paid_use(spec.customer), Some(0.5));
    bench.run(spec);
    bench.run(spec);
    assert_eq!(
        bench.cell.paid_use(spec.customer),
        Some(1.5),
        "lent beyond the contract"
    );
    assert_eq!(bench.cell.paid_use(bench.customer("a")), None);
}

#[test]
fn a_least_share_comes_before_a_higher_band_and_a_most_share_is_a_lid() {
    let high =
        ClassSpec::new("high", ClassKind::Batch, 1).with_shares(Permille::NONE, Permille(500));
    let low = ClassSpec::new("low", ClassKind::Batch, 2).with_shares(Permille(250), Permille::ALL);
    let mut bench = Bench::new(Plan::new().with_class(high).with_class(low));
    bench.machine("r", 8);
    let (high, low) = (bench.spec("high", 1), bench.spec("low", 1));
    for _ in 0..8 {
        bench.cell.submit(high, bench.now).unwrap();
    }
    assert_eq!(bench.starts().len(), 4, "the lid");
    for _ in 0..8 {
        bench.cell.submit(low, bench.now).unwrap();
    }
    let first = bench.starts()[0].task;
    assert_eq!(
        bench.cell.class_share(low.class),
        0.5,
        "idle capacity is lent"
    );
    assert!(bench.cell.cancel(first, bench.now).is_ok());
}

#[test]
fn a_task_that_fits_nowhere_now_does_not_block_others() {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    bench.machine("r", 4);
    let place = bench.run(bench.spec("work", 2));
    let wide = bench.cell.submit(bench.spec("work", 4), bench.now).unwrap();
    let narrow = bench.cell.submit(bench.spec("work", 1), bench.now).unwrap();
    let starts = bench.starts();
    assert_eq!(starts.iter().map(|p| p.task).collect::<Vec<_>>(), [narrow]);
    bench.end(place, Outcome::Done);
    bench.end(starts[0], Outcome::Done);
    assert_eq!(bench.starts()[0].task, wide);
}

#[test]
fn use_seen_beyond_what_is_counted_is_not_given_out() {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    let machine = bench.machine("r", 4);
    let used = Resources::new(3_500, 0);
    let usage = |taken| Usage { used, taken };
    bench.cell.observe(machine, usage(bench.now)).unwrap();
    bench.cell.submit(bench.spec("work", 1), bench.now).unwrap();
    assert!(bench.starts().is_empty());
    bench.advance(10);
    let usage = Usage {
        used: Resources::ZERO,
        taken: bench.now,
    };
    bench.cell.observe(machine, usage).unwrap();
    assert_eq!(bench.starts().len(), 1);
}

#[test]
fn wrong_declarations_are_corrected_from_observed_peaks() {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    bench.machine("r", 8);
    let spec = bench.spec("work", 1);
    for _ in 0..40 {
        let place = bench.run(spec);
        let peak = Resources::new(2_000, 2_048);
        let end = Exit::new(Outcome::Done, Span::from_secs(1)).with_peak(peak);
        bench.cell.ended(place, end, bench.now).unwrap();
    }
    for _ in 0..8 {
        bench.cell.submit(spec, bench.now).unwrap();
    }
    assert_eq!(bench.starts().len(), 4, "each is counted twice as large");
}

#[test]
fn one_seed_gives_one_sequence_of_decisions() {
    let session = || {
        let mut bench = Bench::new(urgent_and_batch(ALL_PREEMPTION));
        for rack in ["r", "s", "t"] {
            bench.machine(rack, 5);
        }
        let mut log = Vec::new();
        for step in 0..200 {
            let class = if step % 3 == 0 { "batch" } else { "live" };
            let _ = bench
                .cell
                .submit(bench.spec(class, 1 + step % 2), bench.now);
            let decisions = bench.decide();
            let outcome = if step % 5 == 0 {
                Outcome::Failed
            } else {
                Outcome::Done
            };
            for decision in &decisions {
                if let Decision::Start(place) = decision {
                    bench.end(*place, outcome);
                }
            }
            log.extend(decisions);
            bench.advance(17);
        }
        log
    };
    let first = session();
    assert!(first.len() > 100);
    assert_eq!(first, session());
}

#[test]
fn machines_that_nearly_fit_do_not_hide_those_that_do() {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    let nearly = Resources::new(4_000, 4_608).with_slots(4);
    for _ in 0..400 {
        let spec = MachineSpec::new("m", "z", "r", nearly);
        bench.cell.add_machine(spec, bench.now).unwrap();
    }
    let roomy = Resources::new(4_000, 12_288).with_slots(4);
    let spec = MachineSpec::new("m", "z", "r", roomy);
    let roomy = bench.cell.add_machine(spec, bench.now).unwrap();
    let mut spec = bench.spec("work", 1);
    spec.size = Resources::new(1_000, 6_000);
    assert_eq!(bench.run(spec).machine, roomy);
    assert_eq!(bench.run(spec).machine, roomy);
}

#[test]
fn the_one_machine_that_fits_among_many_that_nearly_do_is_found_in_time() {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    for memory in std::iter::repeat_n(4_608, 400).chain([6_144]) {
        let capacity = Resources::new(4_000, memory).with_slots(4);
        let spec = MachineSpec::new("m", "z", "r", capacity);
        bench.cell.add_machine(spec, bench.now).unwrap();
    }
    let mut spec = bench.spec("work", 1);
    spec.size = Resources::new(1_000, 6_000);
    bench.cell.submit(spec, bench.now).unwrap();
    let mut started = bench.starts().len();
    while started == 0 && bench.now < Time::ZERO + Span::from_secs(60) {
        bench.now = bench.cell.next_deadline().unwrap();
        started = bench.starts().len();
    }
    assert_eq!(started, 1);
}

#[test]
fn a_least_share_is_served_before_a_higher_band() {
    let high = ClassSpec::new("high", ClassKind::Batch, 1);
    let low = ClassSpec::new("low", ClassKind::Batch, 2).with_shares(Permille(250), Permille::ALL);
    let mut bench = Bench::new(Plan::new().with_class(high).with_class(low));
    bench.machine("r", 8);
    let (high, low) = (bench.spec("high", 1), bench.spec("low", 1));
    for _ in 0..8 {
        bench.cell.submit(high, bench.now).unwrap();
        bench.cell.submit(low, bench.now).unwrap();
    }
    assert_eq!(bench.starts().len(), 8);
    let running = [high, low].map(|s| bench.cell.running(s.class));
    assert!(running[1] >= 2 && running[0] >= 5, "{running:?}");
}
