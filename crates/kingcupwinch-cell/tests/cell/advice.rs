//! Steps that only some workers may run, as decided by an adviser.

use std::sync::Arc;

use kingcupwinch_cell::{EndReason, StartOutcome, StepSpec};

use crate::harness::{Harness, job, step, with_advice};

/// Responds to the oldest call with tickets for those of its workers that `allows` accepts. Returns
/// the workers that the call named.
fn respond(harness: &mut Harness, allows: impl Fn(&str) -> bool) -> Vec<Arc<str>> {
    let (call, workers) = harness.calls.remove(0);
    harness.answer_call(call, &workers, allows);
    workers
}

#[test]
fn a_start_carries_the_ticket_of_its_worker() {
    let mut harness = Harness::new(4, 4);
    harness.submit(1, with_advice(job(vec![step(1, 1, 500)]), 10.0));
    harness.decide();
    assert!(harness.starts.is_empty());
    respond(&mut harness, |worker| worker == "i-2");
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
    assert_eq!(harness.starts[0].ticket.as_deref(), Some("ticket-i-2"));
}

#[test]
fn a_denied_worker_is_not_asked_about_again() {
    let mut harness = Harness::new(4, 4);
    harness.submit(1, with_advice(job(vec![step(1, 1, 500)]), 10.0));
    harness.decide();
    let first = respond(&mut harness, |worker| worker == "i-2");
    assert!(first.len() > 1);
    harness.advance(3_000);
    harness.poll_all();
    harness.decide();
    let again = harness.calls.remove(0).1;
    assert_eq!(again, vec![Arc::from("i-2")]);
}

#[test]
fn an_expired_ticket_is_asked_for_again() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, with_advice(job(vec![step(1, 1, 500)]), 10.0));
    harness.decide();
    respond(&mut harness, |worker| worker == "i-0");
    harness.decide();
    let order = harness.starts.remove(0);
    harness
        .cell
        .start_answered(&order, StartOutcome::NoTicket, harness.now);
    harness.decide();
    assert!(harness.starts.is_empty());
    assert_eq!(harness.calls.len(), 1);
}

#[test]
fn a_lost_call_is_retried() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, with_advice(job(vec![step(1, 1, 500)]), 10.0));
    harness.decide();
    let (call, _) = harness.calls.remove(0);
    harness.cell.advice_received(call, None, harness.now);
    harness.decide();
    assert!(
        harness.calls.is_empty(),
        "the step waits before it calls again"
    );
    harness.advance(200);
    harness.poll_all();
    harness.decide();
    assert_eq!(harness.calls.len(), 1);
}

/// Several long calls at once would block the short ones if they could use every caller.
#[test]
fn long_calls_leave_a_caller_free_for_short_ones() {
    let mut harness = Harness::new(4, 8);
    harness
        .cell
        .set_advice_callers(&["caller-0".into(), "caller-1".into(), "caller-2".into()]);
    for number in 0..4 {
        harness.submit(number, with_advice(job(vec![step(1, 1, 500)]), 400.0));
    }
    harness.decide();
    assert_eq!(harness.calls.len(), 2);
    harness.submit(9, with_advice(job(vec![step(1, 1, 500)]), 10.0));
    harness.decide();
    assert_eq!(harness.calls.len(), 3);
}

/// With a long queue on full workers, calls would be made whose responses can't be used.
#[test]
fn no_call_is_made_while_no_worker_has_capacity() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(2, 4, 500)]));
    harness.run_round();
    for number in 2..500 {
        harness.submit(number, with_advice(job(vec![step(4, 1, 500)]), 10.0));
    }
    harness.decide();
    assert!(harness.calls.is_empty());
    harness.end_all(EndReason::Done);
    harness.poll_all();
    harness.decide();
    assert!(!harness.calls.is_empty());
}

/// Calls for a gang may take long. The first one shows which workers may run the gang, so that
/// later calls name only these.
#[test]
fn the_first_call_for_a_gang_names_every_worker() {
    let mut harness = Harness::new(20, 4);
    harness.submit(1, job(vec![step(5, 4, 500)]));
    harness.run_round();
    let gang = StepSpec {
        gang: true,
        ..step(2, 4, 2_000)
    };
    harness.submit(2, with_advice(job(vec![gang]), 400.0));
    harness.decide();
    assert_eq!(harness.calls[0].1.len(), 20);
}

/// A call names at most 100 workers, so a gang that needs more takes several calls.
#[test]
fn a_gang_wider_than_one_call_needs_several_calls() {
    let mut harness = Harness::new(150, 4);
    let gang = StepSpec {
        gang: true,
        ..step(45, 3, 2_000)
    };
    harness.submit(1, with_advice(job(vec![gang]), 400.0));
    for _ in 0..8 {
        harness.decide();
        while !harness.calls.is_empty() {
            respond(&mut harness, |worker| worker.ends_with(['1', '4', '7']));
        }
        harness.advance(300);
        harness.poll_all();
    }
    assert_eq!(harness.starts.len(), 45);
}

/// The workers with the most capacity come first, since nearly full ones can't hold a gang.
#[test]
fn a_gang_is_asked_about_on_empty_workers_first() {
    let mut harness = Harness::new(120, 4);
    harness.submit(1, job(vec![step(90, 3, 500)]));
    harness.run_round();
    let gang = StepSpec {
        gang: true,
        ..step(4, 1, 2_000)
    };
    harness.submit(2, with_advice(job(vec![gang]), 400.0));
    harness.decide();
    let named = &harness.calls[0].1;
    let empty = |id: &Arc<str>| {
        let (key, ..) = harness
            .cell
            .workers()
            .into_iter()
            .find(|(_, other, _)| other == id)
            .unwrap();
        harness.workers[&key].running.is_empty()
    };
    assert_eq!(named.iter().filter(|id| empty(id)).count(), 30);
}

/// Submits a job in each round of 50 ms, and answers the calls of `caller-0` only. Returns the
/// callers in the order of their calls.
fn with_an_unreachable_caller(rounds: u64) -> Vec<Arc<str>> {
    let mut harness = Harness::new(8, 4);
    for round in 0..rounds {
        harness.submit(round, with_advice(job(vec![step(1, 1, 500)]), 10.0));
        harness.decide();
        harness.advance(50);
        let calls = std::mem::take(&mut harness.calls);
        let first = harness.callers.len() - calls.len();
        for (number, call) in calls.into_iter().enumerate() {
            if &*harness.callers[first + number] == "caller-0" {
                harness.calls = vec![call];
                respond(&mut harness, |_| true);
            }
        }
        harness.calls.clear();
        harness.run_round();
        harness.end_all(EndReason::Done);
        harness.poll_all();
    }
    harness.callers
}

/// One of two callers is cut off and its calls are lost. Once the first of them is overdue, the
/// other caller gets all calls but single ones that probe whether the first is back.
#[test]
fn a_caller_in_a_cut_domain_gets_no_further_calls() {
    let callers = with_an_unreachable_caller(100);
    let lost = callers.iter().filter(|caller| &***caller == "caller-1");
    let lost = lost.count();
    assert!(callers.len() > 90, "{} calls", callers.len());
    assert!((1..=8).contains(&lost), "{lost} calls were lost");
}
