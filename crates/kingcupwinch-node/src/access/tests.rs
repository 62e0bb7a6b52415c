//! Tests of which requests are served, by route, key and age of the copy.

use kingcupwinch_adapter::{QueueTable, decode_queues};
use kingcupwinch_cell::Requester;
use kingcupwinch_time::Span;
use rstest::rstest;

use super::{Access, CopyAge, Refusal, check};

const BOUND: Span = Span::from_millis(3_000);
const REVOKE: Span = Span::from_millis(5_000);
const CUSTOMERS: &str = r#"[{"name":"house","apiKeys":["k"]}]"#;

fn table(customers: &str) -> QueueTable {
    let config = format!(
        r#"{{"version":1,"tenants":{customers},"routes":[
        {{"name":"private","host":"h","pathPrefix":"/a/","service":"s"}},
        {{"name":"public","host":"h","pathPrefix":"/b/","service":"s","public":true}}]}}"#
    );
    decode_queues("config", config.as_bytes()).unwrap().unwrap()
}

fn copy(age: Option<Span>, revoke_limit: Option<Span>) -> CopyAge {
    CopyAge {
        is_confirmed: age.is_some_and(|age| age <= BOUND),
        age,
        revoke_limit,
    }
}

fn decide(customers: &str, path: &str, key: Option<&str>, copy: CopyAge) -> Access {
    let table = table(customers);
    let route = table.find("h", path).unwrap();
    check(&table, route, key.map(str::as_bytes), copy)
}

fn house() -> Access {
    Access::Allowed(Requester::Customer("house".into()))
}

#[rstest]
#[case::known("/a/", Some("k"), house())]
#[case::missing("/a/", None, Access::Unauthorized(Refusal::NoKey))]
#[case::empty("/a/", Some(""), Access::Unauthorized(Refusal::NoKey))]
#[case::unknown("/a/", Some("x"), Access::Unauthorized(Refusal::UnknownKey))]
#[case::public("/b/", None, Access::Allowed(Requester::Public))]
#[case::public_unknown("/b/", Some("x"), Access::Allowed(Requester::Public))]
#[case::public_known("/b/", Some("k"), house())]
fn a_confirmed_copy_decides(
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] expected: Access,
) {
    assert_eq!(
        decide(CUSTOMERS, path, key, copy(Some(BOUND), Some(REVOKE))),
        expected
    );
}

/// Callers of deployments without customers send no key.
#[rstest]
#[case(None)]
#[case(Some("x"))]
fn without_customers_no_key_is_needed(#[case] key: Option<&str>) {
    let access = decide("null", "/a/", key, copy(None, Some(REVOKE)));
    assert_eq!(access, Access::Allowed(Requester::Anyone));
}

/// An empty list asks for keys that nobody has; it must not open the routes.
#[test]
fn an_empty_list_of_customers_lets_nobody_in() {
    let access = decide("[]", "/a/", Some("k"), copy(Some(BOUND), None));
    assert_eq!(access, Access::Unauthorized(Refusal::UnknownKey));
}

/// A key that was just added would be refused for good by an instance that has not read its version.
#[rstest]
#[case(None, Refusal::NoKey)]
#[case(Some("x"), Refusal::UnknownKey)]
fn an_older_copy_does_not_show_that_a_key_is_unknown(
    #[case] key: Option<&str>,
    #[case] refusal: Refusal,
) {
    for age in [None, Some(BOUND + Span::from_micros(1))] {
        let access = decide(CUSTOMERS, "/a/", key, copy(age, None));
        assert_eq!(access, Access::NotKnown(refusal));
    }
}

/// An outage of the store must not turn callers away unless the deployment asks for it, and a
/// withdrawn key must not be served for longer if it does.
#[rstest]
#[case::open(Some(Span::from_secs(600)), None, true)]
#[case::open_unconfirmed(None, None, true)]
#[case::closed_in_time(Some(REVOKE), Some(REVOKE), true)]
#[case::closed_late(Some(REVOKE + Span::from_micros(1)), Some(REVOKE), false)]
#[case::closed_unconfirmed(None, Some(REVOKE), false)]
fn a_known_key_is_served_up_to_the_limit(
    #[case] age: Option<Span>,
    #[case] limit: Option<Span>,
    #[case] is_served: bool,
) {
    let expected = if is_served {
        house()
    } else {
        Access::NotKnown(Refusal::Revocable)
    };
    assert_eq!(
        decide(CUSTOMERS, "/a/", Some("k"), copy(age, limit)),
        expected
    );
}
