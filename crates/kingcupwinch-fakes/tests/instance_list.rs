//! The instance list engine: lag and temporarily omitted instances.

use kingcupwinch_fakes::InstanceListEngine;
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

fn names(list: &mut InstanceListEngine, now: Time, domain: Option<&str>) -> Vec<String> {
    let listed = list.read(now, domain);
    listed.iter().map(|i| i.name.to_string()).collect()
}

#[test]
fn changes_become_visible_after_the_lag() {
    let mut list = InstanceListEngine::new().with_lag(LAG);
    list.put(START, instance("a", "harju-a"));
    let removed = START + Span::from_millis(200);
    list.remove(removed, "a");
    assert!(names(&mut list, START + Span::from_millis(499), None).is_empty());
    assert_eq!(names(&mut list, START + LAG, None), ["a"]);
    assert_eq!(
        names(&mut list, START + Span::from_millis(699), None),
        ["a"]
    );
    assert!(names(&mut list, removed + LAG, None).is_empty());
}

#[test]
fn a_domain_lists_only_its_own_instances() {
    let mut list = InstanceListEngine::new();
    list.put(START, instance("a", "harju-a"));
    list.put(START, instance("b", "harju-b"));
    assert_eq!(names(&mut list, START, Some("harju-b")), ["b"]);
    assert_eq!(names(&mut list, START, None), ["a", "b"]);
}

#[test]
fn a_hidden_instance_is_omitted_at_once_until_shown() {
    let mut list = InstanceListEngine::new();
    list.put(START, instance("a", "harju-a"));
    list.hide("a");
    assert!(names(&mut list, START, None).is_empty());
    list.show("a");
    assert_eq!(names(&mut list, START, None), ["a"]);
}

#[test]
fn a_leaving_instance_is_listed_as_leaving() {
    let mut list = InstanceListEngine::new();
    list.put(START, instance("a", "harju-a"));
    list.set_state(START, "a", InstanceState::Leaving);
    assert_eq!(list.read(START, None)[0].state, InstanceState::Leaving);
}
