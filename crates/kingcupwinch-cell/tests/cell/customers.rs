//! Whose requests for a job have an effect.

use std::sync::Arc;

use kingcupwinch_cell::{EndReason, JobRecord, JobSpec, JobState, Requester};
use kingcupwinch_time::Span;
use rstest::rstest;

use crate::harness::{Harness, id, job, step};

fn customer(name: &str) -> Requester {
    Requester::Customer(name.into())
}

fn job_of(name: &str) -> JobSpec {
    JobSpec {
        customer: Some(name.into()),
        ..job(vec![step(1, 1, 500)])
    }
}

#[rstest]
#[case::of_nobody(Requester::Anyone, None, true)]
#[case::without_customers(Requester::Anyone, Some("a"), true)]
#[case::public_job(Requester::Public, None, true)]
#[case::private_job(Requester::Public, Some("a"), false)]
#[case::own(customer("a"), Some("a"), true)]
#[case::other(customer("b"), Some("a"), false)]
#[case::unowned(customer("b"), None, true)]
fn a_job_is_for_its_own_customer(
    #[case] requester: Requester,
    #[case] of: Option<&str>,
    #[case] may_access: bool,
) {
    assert_eq!(requester.may_access(of), may_access);
}

/// A customer could cancel the jobs of another one whose ids it knew.
#[test]
fn another_customer_cancels_nothing() {
    let mut harness = Harness::new(1, 4);
    // Work of customers starts once a configuration was read.
    harness.cell.set_customers(&[]);
    harness.submit(1, job_of("a"));
    harness.run_round();
    let now = harness.now;
    for other in [customer("b"), Requester::Public] {
        assert!(!harness.cell.cancel_for(id(1), &other, now));
    }
    assert_eq!(harness.job_state(1), Some(JobState::Running));
    assert!(harness.cell.cancel_for(id(1), &customer("a"), now));
    assert_eq!(harness.job_state(1), Some(JobState::Cancelled));
}

/// A cancellation can be read before the acceptance, which is in another partition.
#[test]
fn an_early_cancellation_holds_for_its_own_customer_only() {
    let mut harness = Harness::new(1, 4);
    // Work of customers starts once a configuration was read.
    harness.cell.set_customers(&[]);
    let now = harness.now;
    for name in ["b", "c"] {
        harness.cell.cancel_for(id(1), &customer(name), now);
        harness.cell.cancel_for(id(2), &customer(name), now);
    }
    harness.submit(1, job_of("a"));
    harness.submit(2, job_of("c"));
    assert_eq!(harness.job_state(1), Some(JobState::Queued));
    assert_eq!(harness.job_state(2), Some(JobState::Cancelled));
}

/// The acceptance of an ended job is deleted, so that a later owner would show its state to all.
#[test]
fn the_customer_of_an_ended_job_survives_a_takeover() {
    let mut harness = Harness::new(1, 4);
    // Work of customers starts once a configuration was read.
    harness.cell.set_customers(&[]);
    harness.submit(1, job_of("a"));
    harness.run_round();
    harness.end_all(EndReason::Done);
    harness.poll_all();
    harness.run_round();
    let view = harness.cell.job_view(id(1)).unwrap();
    assert_eq!(
        (view.state, view.customer.as_deref()),
        (JobState::Completed, Some("a"))
    );
    let stored = harness.records[&id(1)].encode().unwrap();
    let record = JobRecord::decode(&stored).unwrap();
    let mut later = Harness::of_generation(2);
    let now = later.now;
    later
        .cell
        .restore(id(1), None, Some(&record), Span::ZERO, now);
    assert_eq!(later.cell.job_view(id(1)), Some(view));
    assert!(!later.cell.cancel_for(id(1), &customer("b"), now));
}

/// Records of earlier versions name no customer; such a job stays open to all.
#[test]
fn the_end_of_an_earlier_version_is_shown_to_all() {
    let record = JobRecord::decode(br#"{"n":1,"b":true,"e":"Completed"}"#).unwrap();
    let mut later = Harness::of_generation(2);
    let now = later.now;
    later
        .cell
        .restore(id(1), None, Some(&record), Span::ZERO, now);
    let shown: Option<Arc<str>> = later.cell.job_view(id(1)).unwrap().customer;
    assert!(customer("b").may_access(shown.as_deref()));
    // What is stored for jobs without a customer is as before.
    assert_eq!(
        record.encode().unwrap(),
        br#"{"n":1,"b":true,"e":"Completed"}"#
    );
}
