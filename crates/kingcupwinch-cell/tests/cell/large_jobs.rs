//! Jobs at the limits of the protocol: what they cost an owner, and what it writes about them.

use std::sync::Arc;

use kingcupwinch_cell::{
    EndReason, JobRecord, JobState, Placement, Resources, RunEnd, Schedule, StepSpec, TaskName,
};
use kingcupwinch_time::Span;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::harness::{FakeWorker, Harness, id, job, registration, step, task};
use crate::progress_log::RECORD_BYTES;

/// The largest record of a store that takes small ones, in bytes.
const SMALL_RECORD_BYTES: usize = 16 << 10;

/// A step of tasks that need a tenth of a core each.
fn small_tasks(count: u16) -> StepSpec {
    let mut spec = step(count, 1, 1_000);
    spec.resources.cpu = 100;
    spec.resources.memory = 1;
    spec
}

/// Runs rounds in which all that runs is done, until a job ends.
fn run_to_end(harness: &mut Harness, number: u64, rounds: usize) {
    for _ in 0..rounds {
        harness.run_round();
        harness.advance(100);
        harness.end_all(EndReason::Done);
        harness.poll_all();
        harness.append_records();
        if harness.job_state(number) == Some(JobState::Completed) {
            return;
        }
    }
    panic!("the job has not ended: {:?}", harness.job_state(number));
}

/// One record with all placements of 8,000 tasks on workers with such short ids is larger than the
/// store takes. No task of any job was started any more.
#[test]
fn a_job_of_8_000_tasks_leaves_room_for_the_others() {
    let mut harness = Harness::new(48, 32);
    harness.submit(1, job(vec![small_tasks(8_000)]));
    for _ in 0..8 {
        harness.run_round();
        harness.poll_all();
    }
    assert_eq!(harness.running().len(), 8_000);
    harness.submit(2, job(vec![small_tasks(1)]));
    harness.run_round();
    assert!(harness.running().iter().any(|(_, task)| task.job == id(2)));
    run_to_end(&mut harness, 1, 8);
    harness.append_records();
    assert!(
        harness.log.parts_of(id(1)).is_empty(),
        "the parts are deleted"
    );
}

/// Guards against a job that is set aside for good, since its record is larger than the store takes and
/// smaller than any that is divided.
#[test]
fn a_store_of_small_records_takes_every_job() {
    for tasks in [100, 400, 800, 1_500, 6_000] {
        let mut harness = Harness::new(48, 32).with_record_limit(SMALL_RECORD_BYTES);
        harness.submit(1, job(vec![small_tasks(tasks)]));
        for _ in 0..8 {
            harness.run_round();
            harness.poll_all();
        }
        assert_eq!(harness.running().len(), usize::from(tasks));
        run_to_end(&mut harness, 1, 8);
    }
}

/// A change of one task writes one part, not the whole record.
#[test]
fn only_parts_that_changed_are_written() {
    let mut harness = Harness::new(48, 16);
    harness.submit(1, job(vec![small_tasks(6_000)]));
    for _ in 0..8 {
        harness.run_round();
        harness.poll_all();
    }
    harness.append_records();
    let (worker, task) = harness.running()[0];
    let before = harness.log.bytes;
    harness.end(worker, task, EndReason::Done);
    harness.poll_all();
    harness.append_records();
    let written = harness.log.bytes - before;
    assert!((1..8_192).contains(&written), "{written} bytes");
}

/// A later owner knows all placements and ends from the parts, also if it divides records in another way.
#[rstest::rstest]
#[case::same(RECORD_BYTES, RECORD_BYTES)]
#[case::smaller(RECORD_BYTES, SMALL_RECORD_BYTES)]
#[case::larger(SMALL_RECORD_BYTES, RECORD_BYTES)]
fn a_large_job_survives_a_takeover(#[case] before: usize, #[case] after: usize) {
    let mut earlier = Harness::new(48, 16).with_record_limit(before);
    let spec = job(vec![small_tasks(6_000)]);
    earlier.submit(1, spec.clone());
    for _ in 0..8 {
        earlier.run_round();
        earlier.poll_all();
    }
    let running = earlier.running();
    for (worker, task) in running.iter().take(500) {
        earlier.end(*worker, *task, EndReason::Done);
    }
    earlier.poll_all();
    earlier.append_records();
    assert!(!earlier.log.parts_of(id(1)).is_empty());

    let mut later = Harness::of_generation(2).with_record_limit(after);
    later.now = earlier.now;
    for (number, (_, fake)) in earlier.workers.into_iter().enumerate() {
        let entry = registration(number, 16);
        let key = later.cell.register_worker(entry, true, later.now);
        later.workers.insert(key, fake);
    }
    let record = &earlier.records[&id(1)];
    later
        .cell
        .restore(id(1), Some(spec), Some(record), Span::ZERO, later.now);
    later.log = earlier.log;
    later.log.limit = after;
    later.advance(5_000);
    later.poll_all();
    later.decide();
    let restarted: Vec<TaskName> = later.starts.iter().map(|order| order.task).collect();
    assert!(restarted.is_empty(), "{} tasks run twice", restarted.len());
    run_to_end(&mut later, 1, 8);
    later.append_records();
    assert!(
        later.log.parts_of(id(1)).is_empty(),
        "the parts are deleted"
    );
}

/// Each row of a record is as large as it can be.
#[test]
fn no_part_passes_the_limit_of_the_store() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    for seed in 0..20 {
        let mut harness = Harness::new(0, 16);
        let tasks = rng.random_range(1..=10_000_u16);
        let mut record = JobRecord {
            last_run: u32::MAX / 2,
            started: true,
            ..JobRecord::default()
        };
        for index in 0..tasks {
            record.placements.push(Placement {
                step: 0,
                index,
                run: 1_000_000_000 + u32::from(index),
                worker: format!("{index:w>255}").into(),
            });
            if rng.random_bool(0.8) {
                record
                    .checkpoints
                    .push((0, index, "c".repeat(1_024).into()));
            }
            if rng.random_bool(0.3) {
                let runs = 1..rng.random_range(2..100);
                record.failed_runs.push((0, index, runs.collect()));
            }
        }
        let mut spec = job(vec![small_tasks(tasks)]);
        spec.policy.max_attempts = 200;
        harness
            .cell
            .restore(id(1), Some(spec), Some(&record), Span::ZERO, harness.now);
        let mut entry = registration(0, 16);
        entry.id = Arc::clone(&record.placements[0].worker);
        let key = harness.cell.register_worker(entry, true, harness.now);
        let end = RunEnd {
            sequence: 1,
            task: task(1, 0, 0),
            run: record.placements[0].run,
            reason: EndReason::Stopped,
            checkpoint: None,
        };
        let fake = FakeWorker {
            ended: vec![end],
            ends: 1,
            ..FakeWorker::default()
        };
        harness.workers.insert(key, fake);
        harness.poll(key);
        // The log panics at a record that is too large.
        harness.append_records();
        let stored = &harness.records[&id(1)];
        assert_eq!(
            stored.placements.len() + 1,
            usize::from(tasks),
            "seed {seed}"
        );
    }
}

/// Of tasks that have not begun, the owner knows the number only.
#[test]
fn steps_that_wait_cost_nothing_for_each_task() {
    let mut harness = Harness::new(4, 16);
    let mut steps = vec![step(1, 1, 60_000)];
    steps.extend((0..200).map(|_| StepSpec {
        after: [0].into_iter().collect(),
        ..small_tasks(10_000)
    }));
    harness.submit(1, job(steps));
    harness.run_round();
    assert_eq!(harness.running().len(), 1);
    harness.end_all(EndReason::Done);
    harness.poll_all();
    for _ in 0..3 {
        harness.run_round();
        harness.poll_all();
    }
    // 64 cores, a tenth each.
    assert_eq!(harness.running().len(), 640);
    assert!(
        harness.cell.begun_tasks() <= 640,
        "{}",
        harness.cell.begun_tasks()
    );
}

/// Tasks that need nothing fit everywhere, without an end.
#[test]
fn tasks_that_need_nothing_are_bounded_by_their_number() {
    let mut harness = Harness::new(2, 16);
    let mut spec = small_tasks(10_000);
    spec.resources = Resources::default();
    harness.submit(1, job(vec![spec]));
    for _ in 0..12 {
        harness.run_round();
        harness.poll_all();
    }
    assert_eq!(harness.running().len(), 2_048);
}

/// The ranges of done steps are in one record, whatever its layout.
#[test]
fn the_size_of_the_progress_of_many_steps_is_known() {
    let mut spec = job(vec![small_tasks(1), small_tasks(1)]);
    spec.schedule = Some(Schedule {
        count: 10_000,
        first_ms: 1,
        interval_ms: 0,
    });
    let record = JobRecord {
        last_run: u32::MAX,
        started: true,
        done_steps: (0..10_000).map(|n| (2 * n, 2 * n + 1)).collect(),
        ..JobRecord::default()
    };
    let bytes = record.encode().unwrap().len();
    assert!(bytes <= spec.max_progress_bytes(), "{bytes} bytes");
    assert!(spec.max_progress_bytes() < RECORD_BYTES);
}

/// Occurrences that are all due at once, each with steps of its own.
#[test]
fn occurrences_that_overlap_are_done() {
    let mut harness = Harness::new(4, 16);
    let mut spec = job(vec![small_tasks(2), small_tasks(1)]);
    spec.schedule = Some(Schedule {
        count: 1_000,
        first_ms: 1,
        interval_ms: 0,
    });
    harness.submit(1, spec);
    harness.cell.set_wall_clock(1_000, harness.now);
    run_to_end(&mut harness, 1, 40);
}

/// A record that the store rejects for good concerns its job alone, and for a while only.
#[test]
fn a_job_that_is_set_aside_leaves_the_others_alone() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(2, 1, 1_000)]));
    harness.submit(2, job(vec![step(1, 1, 1_000)]));
    harness.decide_without_log();
    let records = harness.cell.take_records(harness.now);
    harness.cell.set_aside(id(1), &[], harness.now);
    harness.cell.records_appended(records.batch, harness.now);
    harness.run_round();
    let jobs = |harness: &Harness| -> Vec<_> {
        let running = harness.running();
        running.iter().map(|(_, task)| task.job).collect()
    };
    assert_eq!(jobs(&harness), [id(2)]);
    harness.advance(11_000);
    harness.poll_all();
    harness.run_round();
    let tried_again = jobs(&harness).into_iter().filter(|job| *job == id(1));
    assert_eq!(tried_again.count(), 2);
}
