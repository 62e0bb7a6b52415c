//! Steps that only some workers may run, and the adviser that knows which.

use std::sync::Arc;

use kingcupwinch_cell::{EndReason, StartOutcome, StepSpec, Ticket};
use kingcupwinch_time::Span;

use crate::site::{Site, job, step, with_advice};

const VALID: Span = Span::from_millis(2_500);

/// Answers the oldest call: these of the workers that it names may run the step.
fn answer(site: &mut Site, allows: impl Fn(&str) -> bool) -> Vec<Arc<str>> {
    let (ask, workers) = site.asks.remove(0);
    let tickets = workers.iter().filter(|worker| allows(worker));
    let tickets = tickets
        .map(|worker| Ticket {
            worker: Arc::clone(worker),
            text: format!("ticket-{worker}").into(),
        })
        .collect();
    site.cell
        .advice_received(ask, Some((tickets, VALID)), site.now);
    workers
}

#[test]
fn a_start_carries_the_ticket_of_its_worker() {
    let mut site = Site::new(4, 4);
    site.submit(1, with_advice(job(vec![step(1, 1, 500)]), 10.0));
    site.decide();
    assert!(site.starts.is_empty());
    answer(&mut site, |worker| worker == "i-2");
    site.decide();
    assert_eq!(site.starts.len(), 1);
    assert_eq!(site.starts[0].ticket.as_deref(), Some("ticket-i-2"));
}

#[test]
fn a_worker_that_may_not_run_a_step_is_not_asked_about_again() {
    let mut site = Site::new(4, 4);
    site.submit(1, with_advice(job(vec![step(1, 1, 500)]), 10.0));
    site.decide();
    let first = answer(&mut site, |worker| worker == "i-2");
    assert!(first.len() > 1);
    site.pass(3_000);
    site.look_all();
    site.decide();
    let again = site.asks.remove(0).1;
    assert_eq!(again, vec![Arc::from("i-2")]);
}

#[test]
fn an_expired_ticket_is_asked_for_again() {
    let mut site = Site::new(2, 4);
    site.submit(1, with_advice(job(vec![step(1, 1, 500)]), 10.0));
    site.decide();
    answer(&mut site, |worker| worker == "i-0");
    site.decide();
    let order = site.starts.remove(0);
    site.cell
        .start_answered(&order, StartOutcome::NoTicket, site.now);
    site.decide();
    assert!(site.starts.is_empty());
    assert_eq!(site.asks.len(), 1);
}

#[test]
fn a_lost_call_is_made_again() {
    let mut site = Site::new(2, 4);
    site.submit(1, with_advice(job(vec![step(1, 1, 500)]), 10.0));
    site.decide();
    let (ask, _) = site.asks.remove(0);
    site.cell.advice_received(ask, None, site.now);
    site.decide();
    assert!(site.asks.is_empty(), "not at once");
    site.pass(200);
    site.look_all();
    site.decide();
    assert_eq!(site.asks.len(), 1);
}

/// Pattern: advice is the bottleneck. Long calls leave an instance to the short ones.
#[test]
fn long_calls_leave_an_instance_to_short_ones() {
    let mut site = Site::new(4, 8);
    site.cell
        .set_advice_callers(&["desk-0".into(), "desk-1".into(), "desk-2".into()]);
    for number in 0..4 {
        site.submit(number, with_advice(job(vec![step(1, 1, 500)]), 400.0));
    }
    site.decide();
    assert_eq!(site.asks.len(), 2);
    site.submit(9, with_advice(job(vec![step(1, 1, 500)]), 10.0));
    site.decide();
    assert_eq!(site.asks.len(), 3);
}

/// Pattern: a long queue on full workers. Nothing is asked that could not be used.
#[test]
fn nobody_is_asked_while_no_worker_has_room() {
    let mut site = Site::new(2, 4);
    site.submit(1, job(vec![step(2, 4, 500)]));
    site.run_orders();
    for number in 2..500 {
        site.submit(number, with_advice(job(vec![step(4, 1, 500)]), 10.0));
    }
    site.decide();
    assert!(site.asks.is_empty());
    site.end_all(EndReason::Done);
    site.look_all();
    site.decide();
    assert!(!site.asks.is_empty());
}

/// Pattern: a gang with a long decision. One call tells all that may run it, so that the next
/// names only these.
#[test]
fn the_first_call_for_a_gang_names_every_worker() {
    let mut site = Site::new(20, 4);
    site.submit(1, job(vec![step(5, 4, 500)]));
    site.run_orders();
    let gang = StepSpec {
        gang: true,
        ..step(2, 4, 2_000)
    };
    site.submit(2, with_advice(job(vec![gang]), 400.0));
    site.decide();
    assert_eq!(site.asks[0].1.len(), 20);
}

/// Pattern: wide gangs on many workers. One call names 100 at most; a gang that needs more of them
/// is asked about in several calls.
#[test]
fn a_gang_wider_than_one_call_is_asked_about_in_several() {
    let mut site = Site::new(150, 4);
    let gang = StepSpec {
        gang: true,
        ..step(45, 3, 2_000)
    };
    site.submit(1, with_advice(job(vec![gang]), 400.0));
    for _ in 0..8 {
        site.decide();
        while !site.asks.is_empty() {
            answer(&mut site, |worker| worker.ends_with(['1', '4', '7']));
        }
        site.pass(300);
        site.look_all();
    }
    assert_eq!(site.starts.len(), 45);
}

/// The workers with the most room come first: those that are nearly full seat no gang.
#[test]
fn a_gang_is_asked_about_on_empty_workers_first() {
    let mut site = Site::new(120, 4);
    site.submit(1, job(vec![step(90, 3, 500)]));
    site.run_orders();
    let gang = StepSpec {
        gang: true,
        ..step(4, 1, 2_000)
    };
    site.submit(2, with_advice(job(vec![gang]), 400.0));
    site.decide();
    let named = &site.asks[0].1;
    let empty = |id: &Arc<str>| {
        let (key, ..) = site
            .cell
            .workers()
            .into_iter()
            .find(|(_, other, _)| other == id)
            .unwrap();
        site.workers[&key].running.is_empty()
    };
    assert_eq!(named.iter().filter(|id| empty(id)).count(), 30);
}
