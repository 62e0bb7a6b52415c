//! Tasks that are stopped for more urgent steps.

use kingcupwinch_cell::{CellEvent, Disabled, EndReason, JobSpec, Mechanism, StepSpec, TaskName};

use crate::harness::{Harness, id, job, step};

const CORES: u64 = 4;
/// How long a step waits before tasks are stopped for it.
const MIN_WAIT_MS: u64 = 1_000;
/// So many workers that the budget allows a few stops.
const WORKERS: usize = 40;
const OTHERS: u64 = 3;
const BATCH: u64 = 1;
const URGENT: u64 = 2;

/// Builds a job of one task that fills a worker, with an objective that leaves it much slack.
fn filling(priority: u32, work_ms: u64) -> JobSpec {
    with_priority(job(vec![step(1, CORES, work_ms)]), priority)
}

fn with_priority(mut spec: JobSpec, priority: u32) -> JobSpec {
    spec.policy.priority = priority;
    spec.policy.stretch = 8.0;
    spec.policy.target_ms = 20_000;
    spec
}

/// Has batch fill `workers` workers and other urgent tasks the rest, and sends an urgent job some time
/// later. Plays on until tasks were stopped for it, if they are.
fn play_case(
    workers: u16,
    batch: &JobSpec,
    age_ms: u64,
    urgent: JobSpec,
    off: &[Mechanism],
) -> Harness {
    let mut harness = Harness::new(WORKERS, CORES);
    let disabled: Disabled = off.iter().copied().collect();
    harness.cell = harness.cell.with_disabled(disabled);
    let others = step(WORKERS as u16 - workers, CORES, 60_000);
    harness.submit(OTHERS, with_priority(job(vec![others]), 0));
    harness.run_round();
    harness.submit(BATCH, batch.clone());
    harness.run_round();
    play(&mut harness, age_ms);
    harness.submit(URGENT, urgent);
    play(&mut harness, MIN_WAIT_MS + 500);
    harness
}

/// Plays some time in rounds of 100 ms, in which all runs make progress.
fn play(harness: &mut Harness, ms: u64) {
    for _ in 0..ms / 100 {
        harness.advance(100);
        for run in harness
            .workers
            .values_mut()
            .flat_map(|worker| &mut worker.running)
        {
            run.percent = (run.percent + 1).min(99);
        }
        harness.poll_all();
        harness.run_round();
    }
}

fn runs_of(harness: &Harness, number: u64) -> Vec<TaskName> {
    let tasks = harness.running().into_iter().map(|(_, task)| task);
    tasks.filter(|task| task.job == id(number)).collect()
}

/// An urgent job that could still be in time waited for the end of batch with slack.
#[test]
fn batch_is_stopped_for_an_urgent_step_without_room() {
    let batch = filling(2, 10_000);
    let mut harness = play_case(1, &batch, 500, filling(0, 5_000), &[]);
    assert_eq!(runs_of(&harness, URGENT).len(), 1);
    let events = harness.cell.take_events();
    let stops = events.iter().filter_map(|event| match event {
        CellEvent::StepPreempts(stops) => Some(stops.stopped),
        _ => None,
    });
    assert_eq!(stops.collect::<Vec<_>>(), [1]);
    // The stopped task runs again once the urgent one has ended.
    for task in runs_of(&harness, URGENT) {
        let worker = harness
            .running()
            .iter()
            .find(|row| row.1 == task)
            .map(|row| row.0);
        harness.end(worker.unwrap(), task, EndReason::Done);
    }
    play(&mut harness, 500);
    assert_eq!(runs_of(&harness, BATCH).len(), 1);
    let harness = play_case(1, &batch, 500, filling(0, 5_000), &[Mechanism::Preemption]);
    assert_eq!(runs_of(&harness, BATCH).len(), 1);
}

/// Stopping costs more than it gives: another priority of the same or higher urgency, work that is
/// larger than that of the urgent step, a job that would be late, and tasks that must not be stopped.
#[test]
fn tasks_are_not_stopped_at_a_loss() {
    let long = filling(2, 60_000);
    let gang = StepSpec {
        gang: true,
        ..step(2, CORES, 10_000)
    };
    let lasting = StepSpec {
        long_running: true,
        ..step(1, CORES, 10_000)
    };
    // The runs make progress as if they took 10 s.
    let mut hurried = filling(2, 10_000);
    hurried.policy.stretch = 1.5;
    hurried.policy.target_ms = 500;
    let cases = [
        ("equal priority", 1, filling(0, 10_000), 500, 5_000),
        ("much work lost", 1, long, 6_000, 5_000),
        ("would be late", 1, hurried, 5_000, 10_000),
        ("gang", 2, with_priority(job(vec![gang]), 2), 500, 5_000),
        (
            "long-running",
            1,
            with_priority(job(vec![lasting]), 2),
            500,
            5_000,
        ),
    ];
    for (name, workers, batch, age_ms, work_ms) in cases {
        let harness = play_case(workers, &batch, age_ms, filling(0, work_ms), &[]);
        assert_eq!(runs_of(&harness, URGENT), [], "{name}");
    }
}

/// A run that has just saved its work loses the least, however long it has run.
#[test]
fn a_run_with_a_fresh_checkpoint_is_stopped_first() {
    let tasks = StepSpec {
        checkpoints: true,
        ..step(3, CORES, 20_000)
    };
    let mut harness = Harness::new(3, CORES);
    harness.submit(BATCH, with_priority(job(vec![tasks]), 2));
    harness.run_round();
    play(&mut harness, 2_000);
    harness.submit(URGENT, filling(0, 5_000));
    play(&mut harness, MIN_WAIT_MS - 200);
    let keys = harness.keys();
    let saved = harness.workers.get_mut(&keys[1]).unwrap();
    saved.running[0].checkpoint = Some("saved".into());
    play(&mut harness, 700);
    let running = harness.running();
    let urgent = running.iter().find(|(_, task)| task.job == id(URGENT));
    assert_eq!(urgent.map(|(worker, _)| *worker), Some(keys[1]));
}

/// Room for some members of a gang is of no use to it.
#[test]
fn a_gang_gets_room_for_all_members_or_none() {
    let gang = |tasks| {
        let step = StepSpec {
            gang: true,
            ..step(tasks, CORES, 5_000)
        };
        with_priority(job(vec![step]), 1)
    };
    let batch = with_priority(job(vec![step(3, CORES, 10_000)]), 2);
    let harness = play_case(3, &batch, 500, gang(3), &[]);
    assert_eq!(runs_of(&harness, URGENT).len(), 3);
    let harness = play_case(3, &batch, 500, gang(4), &[]);
    assert_eq!(runs_of(&harness, BATCH).len(), 3);
}

/// A flood of urgent jobs had all of batch stopped again and again.
#[test]
fn the_work_discarded_stays_within_its_budget() {
    let mut harness = Harness::new(20, CORES);
    harness.submit(BATCH, with_priority(job(vec![step(20, CORES, 30_000)]), 2));
    harness.run_round();
    play(&mut harness, 1_000);
    for number in 0..20 {
        harness.submit(100 + number, filling(0, 20_000));
    }
    play(&mut harness, 10_000);
    let events = harness.cell.take_events();
    let lost = events.iter().filter_map(|event| match event {
        CellEvent::StepPreempts(stops) => Some(stops.lost_core_ms),
        _ => None,
    });
    // A fiftieth of 80 cores for 10 s at first, and for the 11 s since.
    let lost: u64 = lost.sum();
    assert!((1..=16_000 + 1_600 * 11).contains(&lost), "{lost}");
}
