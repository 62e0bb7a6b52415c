//! Steps that compete for capacity, and what they ask the adviser about meanwhile.

use std::collections::BTreeMap;
use std::sync::Arc;

use kingcupwinch_cell::{EndReason, JobSpec, StepSpec, WorkerKey};
use kingcupwinch_time::Span;

use crate::harness::{Harness, id, job, registration, step, with_advice};

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
    harness.answer_calls(|step, worker| {
        let job = u64::from_str_radix(&step[..16], 16).unwrap();
        allows(job, worker)
    });
}

fn running_jobs(harness: &Harness) -> usize {
    let mut jobs: Vec<_> = harness.running().iter().map(|(_, task)| task.job).collect();
    jobs.sort();
    jobs.dedup();
    jobs.len() - 1
}

/// Returns the number of runs on a worker.
fn runs_on(harness: &Harness, worker: WorkerKey) -> usize {
    let running = harness.running();
    running.iter().filter(|(on, _)| *on == worker).count()
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
        harness.answer_call(call, &workers, |_| false);
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

/// What is expected of a call in flight only orders the choice: work that could start isn't held up.
#[test]
fn a_call_in_flight_keeps_no_other_step_from_the_only_room() {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, single_task_job());
    harness.decide();
    assert_eq!(harness.calls.len(), 1);
    harness.submit(2, job(vec![step(4, 1, 500)]));
    harness.run_round();
    assert_eq!(harness.running().len(), 4);
}

/// Steps with a choice filled the workers about which others were asking.
#[test]
fn a_placement_leaves_the_room_that_a_call_in_flight_asks_about() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(1, 3, 3_600_000)]));
    harness.run_round();
    let (fuller, _) = harness.running()[0];
    let mut only_there = single_task_job();
    only_there.steps[0].required_label = Some("fuller".into());
    let mut entry = registration(0, 4);
    assert_eq!(harness.keys()[0], fuller);
    entry.labels.push("fuller".into());
    harness.cell.register_worker(entry, false, harness.now);
    harness.submit(2, only_there);
    harness.run_round();
    // One worker is not likely to be allowed, so that the step asks only after a while.
    harness.advance(1_000);
    harness.poll_all();
    harness.run_round();
    assert_eq!(harness.calls[0].1.len(), 1);
    harness.submit(3, job(vec![step(1, 1, 500)]));
    harness.run_round();
    assert_eq!(
        runs_on(&harness, fuller),
        1,
        "the room for the step that asks is taken"
    );
}

/// A call for a job that has ended leaves no trace on the workers that it named.
#[test]
fn nothing_is_expected_of_a_call_for_an_ended_job() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(1, 3, 3_600_000)]));
    harness.run_round();
    let (fuller, _) = harness.running()[0];
    harness.submit(2, single_task_job());
    harness.decide();
    assert_eq!(harness.calls.len(), 1);
    harness.cell.cancel(id(2), harness.now);
    harness.submit(3, job(vec![step(1, 1, 500)]));
    harness.run_round();
    assert_eq!(
        runs_on(&harness, fuller),
        2,
        "the fullest worker comes first again"
    );
}

/// Guards against a long-running task that never starts on a busy worker: each time room became free
/// there, a step without adviser took it while the call was in flight.
#[test]
fn room_that_a_long_waiting_step_asks_about_is_kept_until_the_response() {
    /// Longer than tickets are valid, so that each ticket expires before room is free again.
    const RUN_MS: u64 = 3_000;
    const CALL_MS: u64 = 500;
    let mut harness = Harness::new(1, 4);
    for number in 100..110 {
        harness.submit(number, job(vec![step(1, 4, RUN_MS)]));
    }
    harness.run_round();
    let long_running = StepSpec {
        long_running: true,
        ..step(1, 4, 1_000)
    };
    harness.submit(1, with_advice(job(vec![long_running]), 400.0));
    let is_started = |harness: &Harness| {
        let running = harness.running();
        running.iter().any(|(_, task)| task.job == id(1))
    };
    for _ in 0..3 {
        harness.advance(RUN_MS - CALL_MS);
        harness.end_all(EndReason::Done);
        harness.poll_all();
        harness.run_round();
        harness.advance(CALL_MS);
        harness.poll_all();
        harness.answer_calls(|_, _| true);
        harness.run_round();
        if is_started(&harness) {
            return;
        }
    }
    panic!("the long-running task did not start");
}

/// Guards against steps that are never asked about: the same steps, which are ahead in the order, took
/// each caller of the adviser that became free.
#[test]
fn steps_take_turns_with_the_callers() {
    const STEPS: u64 = 12;
    const CALL_MS: u64 = 400;
    let mut harness = Harness::new(100, 4);
    let callers: Vec<Arc<str>> = (0..3).map(|n| format!("caller-{n}").into()).collect();
    harness.cell.set_advice_callers(&callers);
    for number in 0..STEPS {
        harness.submit(number, single_task_job());
    }
    let mut asked = std::collections::BTreeSet::new();
    // Two callers make all long calls, so two rounds more than the steps need.
    for _ in 0..STEPS / 2 + 2 {
        harness.run_round();
        asked.extend(std::mem::take(&mut harness.call_steps));
        harness.advance(CALL_MS + 120);
        for (call, _) in std::mem::take(&mut harness.calls) {
            harness.answer_call(call, &[], |_| false);
        }
        harness.poll_all();
    }
    assert_eq!(asked.len() as u64, STEPS);
}

/// Guards against room that is kept for long on behalf of a step whose calls to the adviser are lost.
#[test]
fn no_room_is_kept_for_calls_that_are_lost() {
    let mut harness = Harness::new(1, 4);
    let long_running = StepSpec {
        long_running: true,
        ..step(1, 4, 1_000)
    };
    harness.submit(1, with_advice(job(vec![long_running]), 400.0));
    harness.run_round();
    for _ in 0..30 {
        harness.advance(100);
        harness.poll_all();
        harness.run_round();
    }
    harness.submit(2, job(vec![step(1, 4, 500)]));
    harness.run_round();
    let running = harness.running();
    assert!(running.iter().any(|(_, task)| task.job == id(2)));
}

/// Guards against a step with a ticket that is held back by one which only asks about the worker.
#[test]
fn room_is_not_kept_from_an_equally_urgent_step_with_a_ticket() {
    let mut harness = Harness::new(1, 4);
    let whole_worker = || {
        let step = StepSpec {
            long_running: true,
            ..step(1, 4, 1_000)
        };
        with_advice(job(vec![step]), 400.0)
    };
    harness.submit(1, whole_worker());
    harness.submit(2, whole_worker());
    harness.run_round();
    harness.advance(1_100);
    harness.poll_all();
    harness.run_round();
    let calls = std::mem::take(&mut harness.calls);
    let (call, workers) = calls.into_iter().next_back().unwrap();
    harness.answer_call(call, &workers, |worker| *worker == *workers[0]);
    harness.run_round();
    assert_eq!(harness.running().len(), 1);
}
