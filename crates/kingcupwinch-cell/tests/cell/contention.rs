//! Steps that compete for capacity, and what they ask the adviser about meanwhile.

use std::collections::BTreeMap;
use std::sync::Arc;

use kingcupwinch_cell::{EndReason, JobSpec, StepSpec, Ticket};
use kingcupwinch_time::Span;

use crate::harness::{Harness, id, job, step, with_advice};

const TICKET_VALIDITY: Span = Span::from_millis(2_500);
/// How soon a long-running task has to run while there is capacity for it.
const START_TARGET: Span = Span::from_millis(3_000);
/// The number of jobs that ask at the same time.
const JOBS: u64 = 60;

fn single_task_job() -> JobSpec {
    let step = StepSpec {
        long_running: true,
        ..step(1, 1, 1_000)
    };
    with_advice(job(vec![step]), 400.0)
}

/// Builds 120 workers of 4 cores, on half of which one core is left.
fn half_full() -> Harness {
    let mut harness = Harness::new(120, 4);
    let instances: Vec<Arc<str>> = (0..40).map(|n| format!("caller-{n}").into()).collect();
    harness.cell.set_advice_callers(&instances);
    harness.submit(1_000, job(vec![step(60, 3, 3_600_000)]));
    harness.run_round();
    harness
}

/// Whether the adviser allows a job on a worker: a third of the workers, others for each job.
fn allows(job: u64, worker: &str) -> bool {
    let number: u64 = worker.trim_start_matches("i-").parse().unwrap();
    let hash = ((number + 1) * 2_654_435_761) ^ ((job + 1) * 40_503_113);
    (hash >> 9).is_multiple_of(3)
}

/// Answers all calls. The steps of the calls are told by the order of the jobs.
fn answer_calls(harness: &mut Harness) {
    let calls = std::mem::take(&mut harness.calls);
    let steps = std::mem::take(&mut harness.call_steps);
    for ((call, workers), step) in calls.into_iter().zip(steps) {
        let job = u64::from_str_radix(&step[..16], 16).unwrap();
        let allowed = workers.iter().filter(|worker| allows(job, worker));
        let tickets = allowed.map(|worker| Ticket {
            worker: Arc::clone(worker),
            text: format!("ticket-{worker}").into(),
        });
        let response = Some((tickets.collect(), TICKET_VALIDITY));
        harness.cell.advice_received(call, response, harness.now);
    }
}

fn running_jobs(harness: &Harness) -> usize {
    let mut jobs: Vec<_> = harness.running().iter().map(|(_, task)| task.job).collect();
    jobs.sort();
    jobs.dedup();
    jobs.len() - 1
}

/// Steps that ran out of luck asked for a few workers at a time, the fullest ones, which other steps
/// took while the call was in flight.
#[test]
fn steps_that_ask_at_the_same_time_all_start_soon() {
    let mut harness = half_full();
    for number in 0..JOBS {
        harness.submit(number, single_task_job());
    }
    let until = harness.now + START_TARGET;
    while harness.now < until {
        harness.run_round();
        harness.advance(500 - 120);
        answer_calls(&mut harness);
        harness.set_ready();
        harness.poll_all();
    }
    assert_eq!(running_jobs(&harness), JOBS as usize);
}

/// All steps asked about the same workers, the fullest ones, and filled them for each other.
#[test]
fn steps_that_ask_at_the_same_time_name_different_workers() {
    let mut harness = half_full();
    for number in 0..JOBS {
        harness.submit(number, single_task_job());
    }
    harness.decide();
    let mut named: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, workers) in &harness.calls {
        for worker in workers {
            *named.entry(worker).or_default() += 1;
        }
    }
    assert!(harness.calls.len() > 20, "{} calls", harness.calls.len());
    // A third of those who ask may use a worker, so that two of them have half a chance each.
    for (key, id, _) in harness.cell.workers() {
        let room = 4 - 3 * harness.workers[&key].running.len();
        let askers = named.get(&*id).copied().unwrap_or(0);
        assert!(
            askers <= 3 * room,
            "{askers} steps ask about room for {room}"
        );
    }
}

/// A step that got no capacity from a call asked about just as few workers again.
#[test]
fn a_call_that_led_to_no_start_is_followed_by_a_wider_one() {
    let mut harness = Harness::new(120, 4);
    harness.submit(1, single_task_job());
    let mut sizes = Vec::new();
    for _ in 0..4 {
        harness.decide();
        let (call, workers) = harness.calls.remove(0);
        sizes.push(workers.len());
        let denial = Some((Vec::new(), TICKET_VALIDITY));
        harness.cell.advice_received(call, denial, harness.now);
        harness.advance(1_000);
        harness.poll_all();
    }
    assert!(
        sizes.is_sorted_by(|a, b| 2 * a <= *b || *b == 100),
        "{sizes:?}"
    );
}

/// Of steps that are equally urgent, the first in the order of jobs always came first: a job whose
/// task kept ending took the room from one that had never run.
#[test]
fn of_equally_urgent_steps_the_longest_waiting_one_starts_first() {
    let mut harness = Harness::new(1, 4);
    let whole_worker = StepSpec {
        long_running: true,
        ..step(1, 4, 1_000)
    };
    harness.submit(1, job(vec![whole_worker.clone()]));
    harness.run_round();
    harness.submit(2, job(vec![whole_worker]));
    harness.run_round();
    harness.advance(100);
    harness.end_all(EndReason::Stopped);
    harness.poll_all();
    harness.run_round();
    let running: Vec<_> = harness.running().iter().map(|(_, task)| task.job).collect();
    assert_eq!(running, vec![id(2)]);
}

/// With room on so few workers that less than one of them was expected to be allowed, the adviser was
/// never asked, and the task never started.
#[test]
fn a_step_asks_about_the_last_workers_with_room_after_a_while() {
    let mut harness = Harness::new(2, 4);
    let whole_worker = StepSpec {
        long_running: true,
        ..step(1, 4, 1_000)
    };
    harness.submit(1, with_advice(job(vec![whole_worker]), 400.0));
    let until = harness.now + START_TARGET;
    while harness.calls.is_empty() && harness.now < until {
        harness.run_round();
        harness.advance(100);
        harness.poll_all();
    }
    assert_eq!(harness.calls[0].1.len(), 2);
}
