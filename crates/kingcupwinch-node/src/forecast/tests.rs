use std::sync::Arc;

use kingcupwinch_cell::{JobId, JobSpec, QueueForecast};
use kingcupwinch_time::{Span, Time};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::{BELIEF_TIMEOUT, FORECAST_HEADER, ForecastRefusal, Forecasts, MAX_HEADER_BYTES};
use crate::siblings::Siblings;
use crate::test_support::{shared, unreachable_store};

/// A job of priority 0 of deployment N: one step of 0.8 s, which may wait for 3,550 ms.
const SPEC: &str = r#"{"terms":{"queue":"urgent","service":"s","attempts":1,"stretch":1.5,
    "target_ms":250,"priority":0,"advice":null},"text":"","accepted_ms":0,
    "steps":[{"count":3,"size":{"cpu":5000,"memory":1,"gpu":0},"estimate_ms":800}]}"#;

fn spec() -> JobSpec {
    serde_json::from_str(SPEC).unwrap()
}

fn rows(wait_ms: u64) -> Vec<QueueForecast> {
    vec![QueueForecast {
        queue: "urgent".into(),
        wait: Span::from_millis(wait_ms),
    }]
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns how many of 1,600 jobs are refused.
fn refused(forecasts: &Forecasts, owner: Option<&str>, now: Time) -> usize {
    let ids = (0..1_600_u64).map(|number| JobId::parse(&format!("{number:016x}")).unwrap());
    ids.filter(|id| forecasts.check(*id, &spec(), owner, now).is_err())
        .count()
}

/// Returns the forecasts of an instance that received those of an owner `o` at 10 s.
fn received(wait_ms: u64, age_ms: u64) -> Forecasts {
    let (made, received) = (Forecasts::default(), Forecasts::default());
    made.publish("o".into(), rows(wait_ms), at(100));
    let header = made.to_header(at(100 + age_ms));
    received
        .receive(&"o".into(), header.as_ref(), at(10_000))
        .unwrap();
    received
}

/// In a burst of 1.7 times the usual load of all callers, jobs that would be worthless are refused. If
/// all were, the owner would see an empty queue and all callers would be let in at once.
#[test]
fn jobs_beyond_their_late_limit_are_refused_but_for_a_share() {
    let refused_jobs = refused(&received(3_600, 0), Some("o"), at(10_000));
    assert!((1_450..1_550).contains(&refused_jobs), "{refused_jobs}");
    assert_eq!(refused(&received(3_500, 0), Some("o"), at(10_000)), 0);
}

/// An owner that goes away makes no further forecasts, and its last one must not turn callers away.
#[test]
fn forecasts_of_an_owner_that_goes_away_fade() {
    let forecasts = received(60_000, 400);
    let valid_until = at(10_000) + (BELIEF_TIMEOUT - Span::from_millis(400));
    assert!(refused(&forecasts, Some("o"), valid_until - Span::from_millis(1)) > 0);
    assert_eq!(refused(&forecasts, Some("o"), valid_until), 0);
    // Its successor has not made any, or no owner is known.
    assert_eq!(refused(&forecasts, Some("p"), at(10_000)), 0);
    assert_eq!(refused(&forecasts, None, at(10_000)), 0);
    // The owner itself is cut off and sends what it made before.
    let made = Forecasts::default();
    made.publish("o".into(), rows(60_000), at(100));
    assert_eq!(made.to_header(at(100) + BELIEF_TIMEOUT), None);
}

/// The queue has drained, or the owner was replaced by one of an earlier version: its responses hold no
/// forecasts.
#[test]
fn a_response_without_forecasts_ends_refusals() {
    let forecasts = received(60_000, 0);
    forecasts.receive(&"o".into(), None, at(10_001)).unwrap();
    assert_eq!(refused(&forecasts, Some("o"), at(10_001)), 0);
    let made = Forecasts::default();
    made.publish("o".into(), rows(100), at(0));
    assert_eq!(made.to_header(at(0)), None, "a calm queue adds no bytes");
}

/// A header that can't be decoded must neither refuse jobs nor leave an earlier forecast in force, and
/// fields of later versions are ignored.
#[test]
fn only_forecasts_that_can_be_decoded_are_believed() {
    let forecasts = received(60_000, 0);
    let odd = "[]".parse().unwrap();
    let result = forecasts.receive(&"o".into(), Some(&odd), at(10_000));
    assert!(result.is_err());
    assert_eq!(refused(&forecasts, Some("o"), at(10_000)), 0);
    let later = r#"{"a":0,"q":[["urgent",60000]],"z":1}"#.parse().unwrap();
    forecasts
        .receive(&"o".into(), Some(&later), at(10_000))
        .unwrap();
    assert!(refused(&forecasts, Some("o"), at(10_000)) > 0);
}

/// Many queues with long names must not exceed what a client accepts as a header.
#[test]
fn the_header_is_bounded() {
    let row = |number: u64| QueueForecast {
        queue: format!("{number}-ü{}", "x".repeat(50)).into(),
        wait: Span::from_millis(1_000 + number),
    };
    let made = Forecasts::default();
    made.publish("o".into(), (0..100).map(row).collect(), at(0));
    let header = made.to_header(at(0)).unwrap();
    assert!(header.len() <= MAX_HEADER_BYTES);
    let received = Forecasts::default();
    received.receive(&"o".into(), Some(&header), at(0)).unwrap();
    let mut spec = spec();
    spec.policy.queue = row(99).queue;
    spec.policy.target_ms = 0;
    spec.steps[0].estimate_ms = 1;
    let id = JobId::parse("0000000000000001").unwrap();
    let refusal = received.check(id, &spec, Some("o"), at(0)).unwrap_err();
    assert_eq!(refusal.wait, row(99).wait);
}

/// Callers that are all told the same time return together, and those told to return too early are
/// refused again.
#[test]
fn refused_callers_return_when_they_would_be_served() {
    let refusal = ForecastRefusal {
        wait: Span::from_millis(7_550),
        latest_wait: Span::from_millis(3_550),
        age: Span::ZERO,
        logged_jobs: None,
    };
    let mut random = StdRng::seed_from_u64(1);
    let times: Vec<u32> = (0..200)
        .map(|_| refusal.retry_after_s(&mut random))
        .collect();
    assert!(times.iter().all(|time| (4..=6).contains(time)));
    assert!((4..=6).all(|time| times.contains(&time)));
}

/// Each refusal as a line would push the owner's other lines out of the log's queue.
#[test]
fn refusals_are_logged_once_a_second() {
    let forecasts = received(60_000, 0);
    let id = JobId::parse("0000000000000001").unwrap();
    let logged = |ms: u64| {
        let result = forecasts.check(id, &spec(), Some("o"), at(10_000 + ms));
        result.unwrap_err().logged_jobs
    };
    assert_eq!(logged(0), Some(1));
    assert_eq!((logged(10), logged(999)), (None, None));
    assert_eq!(logged(1_000), Some(3));
}

/// A response of a sibling that is not the owner says nothing about forecasts; it must not end a refusal.
#[tokio::test]
async fn only_responses_of_the_owner_change_forecasts() {
    let shared = shared(unreachable_store());
    let siblings = Siblings::new(Arc::clone(&shared));
    shared.claim.send_replace(Some(kingcupwinch_cell::Claim {
        term: 1,
        instance: "o".into(),
        address: "127.0.0.1:1".into(),
        generation: 1,
        leases: None,
    }));
    let mut headers = hyper::HeaderMap::new();
    let value = r#"{"a":0,"q":[["urgent",60000]]}"#.parse().unwrap();
    headers.insert(FORECAST_HEADER, value);
    siblings.note_forecasts(&"127.0.0.1:2".into(), &headers);
    assert_eq!(refused(&shared.forecasts, Some("o"), shared.now()), 0);
    siblings.note_forecasts(&"127.0.0.1:1".into(), &headers);
    assert!(refused(&shared.forecasts, Some("o"), shared.now()) > 0);
    headers.clear();
    siblings.note_forecasts(&"127.0.0.1:2".into(), &headers);
    assert!(refused(&shared.forecasts, Some("o"), shared.now()) > 0);
    siblings.note_forecasts(&"127.0.0.1:1".into(), &headers);
    assert_eq!(refused(&shared.forecasts, Some("o"), shared.now()), 0);
}
