//! The instance list's engine: lag and flicker.

use kingcupwinch_fakes::RosterEngine;
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::instance_list::{Capacity, Instance, InstanceState, Role};

const LAG: Span = Span::from_millis(500);
const START: Time = Time::from_millis(1_000);

fn instance(name: &str, domain: &str) -> Instance {
    Instance {
        name: name.into(),
        domain: domain.into(),
        rack: "r1".into(),
        role: Role::Worker,
        state: InstanceState::Live,
        address: ([127, 0, 0, 1], 1).into(),
        capacity: Capacity::default(),
    }
}

fn names(roster: &mut RosterEngine, now: Time, domain: Option<&str>) -> Vec<String> {
    let listed = roster.read(now, domain);
    listed.iter().map(|i| i.name.to_string()).collect()
}

#[test]
fn changes_are_seen_only_after_the_lag() {
    let mut roster = RosterEngine::new().with_lag(LAG);
    roster.put(START, instance("a", "harju-a"));
    let removed = START + Span::from_millis(200);
    roster.remove(removed, "a");
    assert!(names(&mut roster, START + Span::from_millis(499), None).is_empty());
    assert_eq!(names(&mut roster, START + LAG, None), ["a"]);
    assert_eq!(
        names(&mut roster, START + Span::from_millis(699), None),
        ["a"]
    );
    assert!(names(&mut roster, removed + LAG, None).is_empty());
}

#[test]
fn a_domain_sees_only_its_own() {
    let mut roster = RosterEngine::new();
    roster.put(START, instance("a", "harju-a"));
    roster.put(START, instance("b", "harju-b"));
    assert_eq!(names(&mut roster, START, Some("harju-b")), ["b"]);
    assert_eq!(names(&mut roster, START, None), ["a", "b"]);
}

#[test]
fn a_hidden_instance_is_omitted_at_once_and_comes_back() {
    let mut roster = RosterEngine::new();
    roster.put(START, instance("a", "harju-a"));
    roster.hide("a");
    assert!(names(&mut roster, START, None).is_empty());
    roster.show("a");
    assert_eq!(names(&mut roster, START, None), ["a"]);
}

#[test]
fn a_leaving_instance_is_listed_as_such() {
    let mut roster = RosterEngine::new();
    roster.put(START, instance("a", "harju-a"));
    roster.set_state(START, "a", InstanceState::Leaving);
    assert_eq!(roster.read(START, None)[0].state, InstanceState::Leaving);
}
