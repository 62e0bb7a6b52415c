//! Gangs: all-or-nothing starts, racks, reservations and restarts.

mod common;

use common::Harness;
use kingcupwinch_policy::{
    ClassKind, ClassSpec, Decision, Disposition, GangSpec, Outcome, Plan, Spread,
};
use kingcupwinch_time::Span;
use rstest::rstest;

#[rstest]
#[case(Spread::OneRack, 4)]
#[case(Spread::PreferRack, 4)]
#[case(Spread::PreferRack, 6)]
#[case(Spread::Anywhere, 6)]
fn gang_starts_as_a_whole_on_one_rack_where_it_fits(#[case] spread: Spread, #[case] count: u32) {
    let mut harness = Harness::with_kind(ClassKind::Gang);
    let racks = ["r", "r", "s", "s"];
    let machines = racks.map(|rack| harness.machine(rack, 2));
    let gang = GangSpec::new(harness.spec("work", 1), count).with_spread(spread);
    harness.cell.submit_gang(gang, harness.now).unwrap();
    let decisions = harness.decide();
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
fn waiting_gang_is_not_starved_by_small_tasks(#[case] spread: Spread) {
    let small = ClassSpec::new("small", ClassKind::Batch, 1);
    let wide = ClassSpec::new("wide", ClassKind::Gang, 1);
    let mut harness = Harness::new(Plan::new().with_class(small).with_class(wide));
    for _ in 0..4 {
        harness.machine("r", 2);
    }
    let small = harness.spec("small", 1);
    let mut running = Vec::new();
    for _ in 0..8 {
        running.push(harness.run(small));
    }
    let gang = GangSpec::new(harness.spec("wide", 1), 6).with_spread(spread);
    harness.cell.submit_gang(gang, harness.now).unwrap();
    let mut started = false;
    for _ in 0..400 {
        harness.advance(50);
        harness.cell.submit(small, harness.now).unwrap();
        let place = running.remove(0);
        harness.end(place, Outcome::Done);
        for decision in harness.decide() {
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
        && harness
            .cell
            .next_deadline()
            .is_some_and(|t| t < harness.now + Span::from_secs(30))
    {
        harness.now = harness.cell.next_deadline().unwrap();
        started = harness
            .decide()
            .iter()
            .any(|d| matches!(d, Decision::StartGang { .. }));
    }
    assert!(started);
}

#[test]
fn two_gangs_that_each_need_most_of_the_cell_both_run() {
    let mut harness = Harness::with_kind(ClassKind::Gang);
    for rack in ["r", "s", "t", "u"] {
        harness.machine(rack, 2);
    }
    let gang = GangSpec::new(harness.spec("work", 1), 6);
    for _ in 0..2 {
        harness.cell.submit_gang(gang, harness.now).unwrap();
    }
    let mut started = 0;
    for _ in 0..100 {
        for decision in harness.decide() {
            if let Decision::StartGang { places, .. } = decision {
                started += 1;
                harness.advance(500);
                places.into_iter().for_each(|p| {
                    harness.end(p, Outcome::Done);
                });
            }
        }
        harness.advance(100);
    }
    assert_eq!((started, harness.cell.tasks()), (2, 0));
}

#[test]
fn failed_member_stops_and_restarts_the_whole_gang() {
    let mut harness = Harness::with_kind(ClassKind::Gang);
    harness.machine("r", 4);
    let gang = GangSpec::new(harness.spec("work", 1), 3);
    harness.cell.submit_gang(gang, harness.now).unwrap();
    let decisions = harness.decide();
    let [Decision::StartGang { places, .. }] = &decisions[..] else {
        panic!("{decisions:?}");
    };
    harness.end(places[0], Outcome::Failed);
    let stops: Vec<_> = harness.decide();
    assert_eq!(
        stops,
        [Decision::Stop(places[1]), Decision::Stop(places[2])]
    );
    harness.end(places[1], Outcome::Stopped);
    harness.end(places[2], Outcome::Stopped);
    harness.advance(20_000);
    let again = harness.decide();
    assert!(matches!(&again[..], [Decision::StartGang { places, .. }] if places.len() == 3));
}

/// The gang is given up in the event of a member that does not lead it.
#[test]
fn every_member_of_a_gang_that_is_given_up_is_reported() {
    let mut harness = Harness::with_kind(ClassKind::Gang);
    harness.machine("r", 4);
    let spec = GangSpec::new(harness.spec("work", 1), 3);
    let gang = harness.cell.submit_gang(spec, harness.now).unwrap();
    let failing = gang.tasks[2];
    let mut gave_up = Vec::new();
    for _ in 0..1_000 {
        harness.advance(1_000);
        for decision in harness.decide() {
            match decision {
                Decision::GiveUp { task, .. } => gave_up.push(task),
                Decision::StartGang { places, .. } => {
                    for place in places {
                        let outcome = if place.task == failing {
                            Outcome::Failed
                        } else {
                            Outcome::Stopped
                        };
                        let next = harness.end(place, outcome);
                        if matches!(next, Disposition::GaveUp(_)) {
                            gave_up.push(place.task);
                        }
                    }
                }
                _ => {}
            }
        }
    }
    assert_eq!(harness.cell.tasks(), 0);
    gave_up.sort();
    assert_eq!(gave_up, gang.tasks);
}
