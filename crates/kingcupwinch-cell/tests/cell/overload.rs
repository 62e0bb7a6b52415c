//! More long-running tasks than fit: which of them the adviser is asked about first.

use kingcupwinch_cell::{
    AdviceCost, CellEvent, EndReason, JobSpec, StartOutcome, StepSpec, StepWait,
};
use kingcupwinch_time::Span;

use crate::harness::{FakeWorker, Harness, id, job, registration, step, task, with_advice};

const CALL_MS: u64 = 450;
/// Longer than a ticket is valid and than a run that counts as short.
const RUN_MS: u64 = 3_000;
/// The jobs that have never run.
const NEW_JOBS: std::ops::Range<u64> = 10..30;

fn long_running_job(cores: u64) -> JobSpec {
    let step = StepSpec {
        long_running: true,
        ..step(1, cores, 1_000)
    };
    with_advice(job(vec![step]), CALL_MS as f64)
}

/// Starts the task of each of these jobs, which the adviser allows everywhere, one after the other.
fn start_jobs(harness: &mut Harness, jobs: std::ops::Range<u64>, cores: u64) {
    for number in jobs {
        harness.submit(number, long_running_job(cores));
        let is_running = |harness: &Harness| {
            let mut running = harness.running().into_iter();
            running.any(|(_, name)| name == task(number, 0, 0))
        };
        while !is_running(harness) {
            harness.decide();
            harness.advance(CALL_MS);
            harness.answer_calls(|_, _| true);
            harness.run_round();
            harness.set_ready();
            harness.poll_all();
        }
    }
}

fn submit_new_jobs(harness: &mut Harness) {
    for number in NEW_JOBS {
        harness.submit(number, long_running_job(1));
    }
}

/// Ends the run of a job's task on its worker.
fn fail(harness: &mut Harness, number: u64) {
    let name = task(number, 0, 0);
    let running = harness.running();
    let (worker, _) = running.iter().find(|(_, task)| *task == name).unwrap();
    harness.end(*worker, name, EndReason::Failed);
    harness.poll_all();
}

/// Returns the steps of the calls that follow when the adviser denies all workers of those in
/// flight.
fn calls_after_denials(harness: &mut Harness) -> Vec<String> {
    harness.advance(CALL_MS);
    harness.answer_calls(|_, _| false);
    harness.poll_all();
    harness.decide();
    harness.call_steps.clone()
}

/// A task that failed joined the calls to the adviser behind all steps that had never asked, and
/// stayed away for as long as new jobs kept coming.
#[test]
fn a_task_that_ran_asks_before_tasks_that_never_ran() {
    let mut harness = Harness::new(8, 4);
    start_jobs(&mut harness, 1..2, 1);
    harness.advance(RUN_MS);
    harness.poll_all();
    submit_new_jobs(&mut harness);
    harness.decide();
    assert_eq!(harness.calls.len(), 2, "both callers are busy");
    fail(&mut harness, 1);
    harness.decide();
    assert_eq!(harness.calls.len(), 2, "no caller is free");
    let steps = calls_after_denials(&mut harness);
    assert_eq!(steps[0], format!("{}.0.0", id(1)));
}

/// The record of a job did not show which of its tasks had run, so that a later owner let them wait
/// like tasks that had never run.
#[test]
fn a_task_that_ran_under_an_earlier_owner_asks_first() {
    let mut earlier = Harness::new(8, 4);
    start_jobs(&mut earlier, 1..2, 1);
    earlier.advance(RUN_MS);
    earlier.poll_all();
    fail(&mut earlier, 1);
    earlier.decide();
    let record = &earlier.records[&id(1)];
    assert_eq!(record.interrupted, vec![(0, vec![0])]);

    let mut harness = Harness::of_generation(2);
    for number in 0..8 {
        let entry = registration(number, 4);
        let key = harness.cell.register_worker(entry, true, harness.now);
        harness.workers.insert(key, FakeWorker::default());
    }
    let callers = ["caller-0".into(), "caller-1".into()];
    harness.cell.set_advice_callers(&callers);
    harness.poll_all();
    submit_new_jobs(&mut harness);
    let spec = Some(long_running_job(1));
    let now = harness.now;
    harness
        .cell
        .restore(id(1), spec, Some(record), Span::ZERO, now);
    harness.decide();
    assert_eq!(harness.call_steps[0], format!("{}.0.0", id(1)));
}

/// A step that had just asked came last for the room as well: others took it while its call was in
/// flight, again and again.
#[test]
fn of_tasks_that_ran_the_longest_waiting_one_gets_the_room() {
    let mut harness = Harness::new(1, 4);
    start_jobs(&mut harness, 2..3, 2);
    start_jobs(&mut harness, 1..2, 2);
    fail(&mut harness, 1);
    harness.advance(10);
    fail(&mut harness, 2);
    let with_room_for_one = registration(0, 2);
    harness
        .cell
        .register_worker(with_room_for_one, false, harness.now);
    harness.run_round();
    let running: Vec<_> = harness.running().iter().map(|(_, task)| task.job).collect();
    assert_eq!(running, vec![id(1)]);
}

/// A gang of which one member had run was started by the turn of its restarts, and again by that of its
/// first starts.
#[test]
fn a_gang_of_which_some_members_ran_starts_once() {
    let mut harness = Harness::new(8, 4);
    let mut gang = long_running_job(1);
    gang.steps[0].count = 2;
    gang.steps[0].gang = true;
    harness.submit(1, gang);
    harness.decide();
    harness.advance(CALL_MS);
    harness.answer_calls(|_, _| true);
    harness.decide();
    let orders = std::mem::take(&mut harness.starts);
    assert_eq!(orders.len(), 2);
    harness.start(&orders[0]);
    let now = harness.now;
    harness
        .cell
        .start_answered(&orders[1], StartOutcome::Refused, now);
    for _ in 0..4 {
        harness.advance(100);
        harness.run_round();
        harness.poll_all();
    }
    let mut running: Vec<_> = harness
        .running()
        .into_iter()
        .map(|(_, name)| name)
        .collect();
    running.sort();
    assert_eq!(running, vec![task(1, 0, 0), task(1, 0, 1)]);
}

/// Returns the last report of a waiting step of a job.
fn last_wait(harness: &mut Harness, number: u64) -> Option<StepWait> {
    let step_name = task(number, 0, 0).step_name();
    let events = harness.cell.take_events().into_iter();
    let waits = events.filter_map(|event| match event {
        CellEvent::StepWaits(wait) if wait.step == step_name => Some(wait),
        _ => None,
    });
    waits.last()
}

/// A report counted the workers that others keep as full, like those that are full of runs.
#[test]
fn a_report_tells_kept_workers_from_full_ones() {
    let mut harness = Harness::new(2, 4);
    let mut slow_advice = long_running_job(4);
    slow_advice.policy.advice.as_mut().unwrap().call_ms = 2_000.0;
    harness.submit(1, slow_advice);
    while harness.calls.is_empty() {
        harness.decide();
        harness.advance(100);
        harness.poll_all();
    }
    harness.answer_calls(|_, _| true);
    harness.run_round();
    harness.set_ready();
    harness.submit(2, job(vec![step(1, 1, 60_000)]));
    harness.run_round();
    harness.advance(RUN_MS);
    fail(&mut harness, 1);
    harness.submit(10, long_running_job(4));
    for _ in 0..12 {
        harness.decide();
        harness.advance(100);
        harness.poll_all();
    }
    let wait = last_wait(&mut harness, 10).unwrap();
    assert_eq!((wait.full, wait.kept), (1, 1));
}

/// Fills workers with tasks of a job that need no advice, beside a long-running task on a worker that
/// then drains, where the task fails.
fn lose_a_worker_of_a_full_service(harness: &mut Harness, advice: AdviceCost) {
    let mut spec = long_running_job(4);
    spec.policy.advice = Some(advice);
    harness.submit(1, spec);
    while harness.running().is_empty() {
        harness.decide();
        harness.advance(100);
        harness.answer_calls(|_, _| true);
        harness.run_round();
        harness.poll_all();
    }
    harness.set_ready();
    let tasks = 4 * (harness.workers.len() as u16 - 1);
    harness.submit(2, job(vec![step(tasks, 1, 60_000)]));
    harness.run_round();
    assert_eq!(harness.running().len(), usize::from(tasks) + 1);
    harness.advance(RUN_MS);
    harness.poll_all();
    let running = harness.running();
    let mut running = running.iter();
    let (worker, _) = running.find(|(_, name)| *name == task(1, 0, 0)).unwrap();
    let number = harness.keys().iter().position(|key| key == worker).unwrap();
    let mut entry = registration(number, 4);
    entry.draining = true;
    harness.cell.register_worker(entry, false, harness.now);
    fail(harness, 1);
}

/// A step whose tasks had lost their workers asked the adviser only about workers that had capacity. On
/// a full service, others had taken it when the response came, again and again.
#[test]
fn a_task_that_ran_starts_at_once_where_capacity_becomes_free() {
    let mut harness = Harness::new(4, 4);
    let advice = AdviceCost {
        call_ms: CALL_MS as f64,
        worker_ms: 1.0,
        valid_ms: 2_500.0,
    };
    lose_a_worker_of_a_full_service(&mut harness, advice);
    harness.decide();
    harness.advance(CALL_MS);
    let full = harness.running();
    let (allowed, _) = full[0];
    let number = harness.keys().iter().position(|key| *key == allowed);
    let allowed_id = format!("i-{}", number.unwrap());
    harness.answer_calls(|_, worker| worker == allowed_id);
    harness.run_round();
    for (worker, name) in full {
        if worker == allowed {
            harness.end(worker, name, EndReason::Done);
        }
    }
    harness.poll_all();
    harness.run_round();
    assert!(harness.running().contains(&(allowed, task(1, 0, 0))));
}

/// Calls about workers without capacity may take twice as long as a call has to.
#[test]
fn a_call_ahead_names_few_workers_if_naming_takes_long() {
    let mut harness = Harness::new(20, 4);
    let advice = AdviceCost {
        call_ms: 400.0,
        worker_ms: 50.0,
        valid_ms: 2_500.0,
    };
    lose_a_worker_of_a_full_service(&mut harness, advice);
    harness.decide();
    let (_, workers) = &harness.calls[0];
    assert_eq!(workers.len(), 8);
}

/// The steps whose tasks fitted nowhere took all instances that call the adviser, and steps that had
/// capacity for their tasks made no call.
#[test]
fn calls_ahead_leave_callers_to_steps_with_capacity() {
    let mut harness = Harness::new(12, 4);
    let callers: Vec<_> = (0..12).map(|n| format!("caller-{n}").into()).collect();
    harness.cell.set_advice_callers(&callers);
    start_jobs(&mut harness, 1..13, 4);
    harness.advance(RUN_MS);
    harness.poll_all();
    for number in 1..13 {
        fail(&mut harness, number);
    }
    harness.submit(100, job(vec![step(12, 2, 60_000)]));
    for number in 0..12 {
        harness
            .cell
            .register_worker(registration(number, 2), false, harness.now);
    }
    harness.run_round();
    harness.calls.clear();
    harness.call_steps.clear();
    harness.submit(20, long_running_job(2));
    for number in 0..12 {
        harness
            .cell
            .register_worker(registration(number, 4), false, harness.now);
    }
    harness.decide();
    assert!(harness.call_steps.contains(&format!("{}.0.0", id(20))));
}

/// Calls about full workers counted as calls in vain, so that the first ones after a long wait named
/// all workers that had become free, and took as long.
#[test]
fn a_call_after_calls_ahead_names_as_few_workers_as_any() {
    let mut harness = Harness::new(4, 4);
    let advice = AdviceCost {
        call_ms: CALL_MS as f64,
        worker_ms: 1.0,
        valid_ms: 2_500.0,
    };
    lose_a_worker_of_a_full_service(&mut harness, advice);
    for _ in 0..40 {
        harness.decide();
        harness.advance(CALL_MS);
        harness.answer_calls(|_, worker| worker != "i-0");
        harness.poll_all();
    }
    for number in 4..44 {
        let key = harness
            .cell
            .register_worker(registration(number, 4), false, harness.now);
        harness.workers.insert(key, FakeWorker::default());
    }
    harness.poll_all();
    harness.decide();
    let (_, workers) = harness.calls.last().unwrap();
    assert!(workers.len() <= 6, "{workers:?}");
}
