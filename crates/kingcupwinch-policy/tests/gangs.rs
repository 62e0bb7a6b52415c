//! Gangs: all or nothing, racks, reservations, restarts.

mod common;

use common::Bench;
use kingcupwinch_policy::{ClassKind, ClassSpec, Decision, GangSpec, Outcome, Plan, Spread};
use kingcupwinch_time::Span;
use rstest::rstest;

#[rstest]
#[case(Spread::OneRack, 4)]
#[case(Spread::PreferRack, 4)]
#[case(Spread::PreferRack, 6)]
#[case(Spread::Anywhere, 6)]
fn a_gang_starts_whole_and_on_one_rack_where_it_fits(#[case] spread: Spread, #[case] count: u32) {
    let mut bench = Bench::with_kind(ClassKind::Gang);
    let racks = ["r", "r", "s", "s"];
    let machines = racks.map(|rack| bench.machine(rack, 2));
    let gang = GangSpec::new(bench.spec("work", 1), count).with_spread(spread);
    bench.cell.submit_gang(gang, bench.now).unwrap();
    let decisions = bench.decide();
    let [Decision::StartGang { places, .. }] = &decisions[..] else {
        panic!("{decisions:?}");
    };
    assert_eq!(places.len(), count as usize);
    let mut used: Vec<usize> = places
        .iter()
        .filter_map(|p| machines.iter().position(|m| *m == p.machine))
        .map(|m| m / 2)
        .collect();
    used.dedup();
    assert_eq!(used.len(), if count == 4 { 1 } else { 2 });
}

#[rstest]
#[case(Spread::Anywhere)]
#[case(Spread::OneRack)]
fn a_waiting_gang_is_not_starved_by_small_work(#[case] spread: Spread) {
    let small = ClassSpec::new("small", ClassKind::Batch, 1);
    let wide = ClassSpec::new("wide", ClassKind::Gang, 1);
    let mut bench = Bench::new(Plan::new().with_class(small).with_class(wide));
    for _ in 0..4 {
        bench.machine("r", 2);
    }
    let small = bench.spec("small", 1);
    let mut running = Vec::new();
    for _ in 0..8 {
        running.push(bench.run(small));
    }
    let gang = GangSpec::new(bench.spec("wide", 1), 6).with_spread(spread);
    bench.cell.submit_gang(gang, bench.now).unwrap();
    let mut started = false;
    for _ in 0..400 {
        bench.advance(50);
        bench.cell.submit(small, bench.now).unwrap();
        let place = running.remove(0);
        bench.end(place, Outcome::Done);
        for decision in bench.decide() {
            match decision {
                Decision::Start(place) => running.push(place),
                Decision::StartGang { .. } => started = true,
                _ => {}
            }
        }
        if started || running.is_empty() {
            break;
        }
    }
    while !started
        && bench
            .cell
            .next_deadline()
            .is_some_and(|t| t < bench.now + Span::from_secs(30))
    {
        bench.now = bench.cell.next_deadline().unwrap();
        started = bench
            .decide()
            .iter()
            .any(|d| matches!(d, Decision::StartGang { .. }));
    }
    assert!(started);
}

#[test]
fn two_gangs_that_each_need_most_of_the_cell_both_run() {
    let mut bench = Bench::with_kind(ClassKind::Gang);
    for rack in ["r", "s", "t", "u"] {
        bench.machine(rack, 2);
    }
    let gang = GangSpec::new(bench.spec("work", 1), 6);
    for _ in 0..2 {
        bench.cell.submit_gang(gang, bench.now).unwrap();
    }
    let mut started = 0;
    for _ in 0..100 {
        for decision in bench.decide() {
            if let Decision::StartGang { places, .. } = decision {
                started += 1;
                bench.advance(500);
                places.into_iter().for_each(|p| {
                    bench.end(p, Outcome::Done);
                });
            }
        }
        bench.advance(100);
    }
    assert_eq!((started, bench.cell.tasks()), (2, 0));
}

#[test]
fn a_broken_gang_stops_and_starts_again_whole() {
    let mut bench = Bench::with_kind(ClassKind::Gang);
    bench.machine("r", 4);
    let gang = GangSpec::new(bench.spec("work", 1), 3);
    bench.cell.submit_gang(gang, bench.now).unwrap();
    let decisions = bench.decide();
    let [Decision::StartGang { places, .. }] = &decisions[..] else {
        panic!("{decisions:?}");
    };
    bench.end(places[0], Outcome::Failed);
    let stops: Vec<_> = bench.decide();
    assert_eq!(
        stops,
        [Decision::Stop(places[1]), Decision::Stop(places[2])]
    );
    bench.end(places[1], Outcome::Stopped);
    bench.end(places[2], Outcome::Stopped);
    bench.advance(20_000);
    let again = bench.decide();
    assert!(matches!(&again[..], [Decision::StartGang { places, .. }] if places.len() == 3));
}
