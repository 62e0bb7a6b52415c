//! Learned run times: rough estimates, kinds of workers, and what a new owner knows.

use kingcupwinch_cell::{EndReason, Registration, WorkerKey};

use crate::harness::{FakeWorker, Harness, job, registration, step};

/// The work of every task, in milliseconds, whatever its estimate.
const WORK_MS: u64 = 1_000;
/// The run time of that work on a fast and on a slow worker, in milliseconds.
const FAST_MS: u64 = 700;
const SLOW_MS: u64 = 1_700;
/// Estimates far below and far above the work, in milliseconds.
const ESTIMATES: [u64; 4] = [120, 400, 1_900, 5_000];

fn of_kind(number: usize, kind: &str) -> Registration {
    let mut entry = registration(number, 4);
    entry.labels[0] = kind.into();
    entry
}

/// Builds a harness of a generation with four fast workers and two slow ones, which differ in kind.
fn two_kinds(generation: u32) -> (Harness, Vec<WorkerKey>) {
    let mut harness = Harness::of_generation(generation);
    let mut slow = Vec::new();
    for number in 0..6 {
        let kind = if number < 4 { "fast" } else { "slow" };
        let key = harness
            .cell
            .register_worker(of_kind(number, kind), false, harness.now);
        harness.workers.insert(key, FakeWorker::default());
        if number >= 4 {
            slow.push(key);
        }
    }
    harness.poll_all();
    (harness, slow)
}

/// Runs jobs with rough estimates on all workers, so that the cell can learn from them.
fn teach(harness: &mut Harness, slow: &[WorkerKey], rounds: u64) {
    for round in 0..rounds {
        for (number, estimate) in ESTIMATES.into_iter().enumerate() {
            let id = 1_000 + round * 10 + number as u64;
            harness.submit(id, job(vec![step(6, 1, estimate)]));
        }
        harness.run_round();
        harness.advance(FAST_MS);
        end_where(harness, |key| !slow.contains(&key));
        harness.advance(SLOW_MS - FAST_MS);
        end_where(harness, |_| true);
        harness.append_records();
    }
}

fn end_where(harness: &mut Harness, ends: impl Fn(WorkerKey) -> bool) {
    for (key, task) in harness.running() {
        if ends(key) {
            harness.end(key, task, EndReason::Done);
        }
    }
    harness.poll_all();
}

/// Submits an urgent task of one core and returns the worker that it starts on.
fn start_urgent(harness: &mut Harness, estimate_ms: u64) -> WorkerKey {
    let mut urgent = job(vec![step(1, 1, estimate_ms)]);
    urgent.policy.stretch = 1.5;
    urgent.policy.target_ms = 100;
    harness.submit(1, urgent);
    harness.run_round();
    let running = harness.running();
    assert_eq!(running.len(), 1);
    running[0].0
}

/// A queue whose estimates say little: what was seen of its tasks decides, and an urgent task gets a
/// fast worker whether its estimate is far too low or far too high.
#[rstest::rstest]
#[case::far_too_low(120)]
#[case::far_too_high(5_000)]
fn an_urgent_task_with_a_wrong_estimate_gets_a_fast_worker(#[case] estimate_ms: u64) {
    let (mut harness, slow) = two_kinds(1);
    teach(&mut harness, &slow, 12);
    let worker = start_urgent(&mut harness, estimate_ms);
    assert!(!slow.contains(&worker));
}

/// A worker that joins is taken to be as fast as the others of its kind before it ran anything.
#[test]
fn a_new_worker_of_a_slow_kind_is_taken_to_be_slow() {
    let (mut harness, slow) = two_kinds(1);
    teach(&mut harness, &slow, 12);
    let key = harness
        .cell
        .register_worker(of_kind(6, "slow"), false, harness.now);
    harness.workers.insert(key, FakeWorker::default());
    harness.poll(key);
    let worker = start_urgent(&mut harness, WORK_MS);
    assert!(!slow.contains(&worker) && worker != key);
}

/// Most work runs on the fast kind. The rare runs on the slow kind must not make it look like the
/// others in time.
#[test]
fn the_pace_of_a_rarely_used_kind_is_remembered() {
    let (mut harness, slow) = two_kinds(1);
    teach(&mut harness, &slow, 12);
    for round in 0..200 {
        let mut urgent = job(vec![step(3, 1, ESTIMATES[round % 4])]);
        urgent.policy.stretch = 1.5;
        urgent.policy.target_ms = 100;
        harness.submit(5_000 + round as u64, urgent);
        harness.run_round();
        let on_slow = harness.running().iter().any(|(key, _)| slow.contains(key));
        assert!(!on_slow, "in round {round}");
        harness.advance(FAST_MS);
        end_where(&mut harness, |_| true);
        harness.append_records();
    }
}

/// Starts a wide urgent job and returns the believed pace, in percent, of the given workers.
fn believed_paces(harness: &mut Harness, workers: &[WorkerKey]) -> Vec<u32> {
    let mut urgent = job(vec![step(6, 4, WORK_MS)]);
    urgent.policy.stretch = 1.5;
    harness.submit(1, urgent);
    harness.decide();
    let starts = harness.starts.iter();
    let starts = starts.filter(|start| workers.contains(&start.worker));
    starts.map(|start| start.pace_percent).collect()
}

/// A successor reads what was learned from the log.
#[test]
fn a_successor_knows_the_recorded_paces() {
    let (mut harness, slow) = two_kinds(1);
    teach(&mut harness, &slow, 12);
    assert!(harness.cell.learned_steps() > 0);
    let record = serde_json::to_vec(&harness.cell.run_time_record()).unwrap();
    let known = believed_paces(&mut harness, &slow);
    assert!(known.iter().all(|pace| *pace > 130), "{known:?}");

    let (mut successor, slow) = two_kinds(2);
    let record = serde_json::from_slice(&record).unwrap();
    successor.cell.restore_run_times(&record, successor.now);
    let restored = believed_paces(&mut successor, &slow);
    assert!(restored.iter().all(|pace| *pace > 130), "{restored:?}");
}

/// Without a record, a successor takes all workers for equal and relies on the estimates.
#[test]
fn a_successor_without_a_record_starts_from_the_priors() {
    let (mut successor, slow) = two_kinds(2);
    let empty = serde_json::from_slice(b"{}").unwrap();
    successor.cell.restore_run_times(&empty, successor.now);
    assert_eq!(believed_paces(&mut successor, &slow), [100, 100]);
}

/// A worker that was restarted since the record starts from the pace of its kind.
#[test]
fn a_restarted_worker_starts_from_the_pace_of_its_kind() {
    let mut harness = Harness::new(4, 4);
    let all = harness.keys();
    teach(&mut harness, &all[3..], 12);
    let record = harness.cell.run_time_record();

    let mut successor = Harness::of_generation(2);
    for number in 0..4 {
        let mut entry = registration(number, 4);
        entry.started_ms = Some(if number == 3 { 2 } else { 1 });
        let key = successor.cell.register_worker(entry, false, successor.now);
        successor.workers.insert(key, FakeWorker::default());
    }
    for key in successor.keys() {
        let started_ms = if key == successor.keys()[3] { 2 } else { 1 };
        successor.poll_started(key, started_ms);
    }
    successor.cell.restore_run_times(&record, successor.now);
    let keys = successor.keys();
    let mut wide = job(vec![step(4, 4, WORK_MS)]);
    wide.policy.stretch = 9.0;
    successor.submit(1, wide);
    successor.decide();
    let pace = |key| {
        let start = successor.starts.iter().find(|start| start.worker == key);
        start.unwrap().pace_percent
    };
    assert!(pace(keys[3]) < pace(keys[0]) * 3 / 2);
}

/// In the first seconds no run has ended yet. The progress of the first runs shows which kind of
/// worker is slow.
#[test]
fn progress_shows_a_slow_kind_before_any_run_ends() {
    let (mut harness, slow) = two_kinds(1);
    for number in 0..4 {
        harness.submit(1_000 + number, job(vec![step(6, 1, 4_000)]));
    }
    harness.run_round();
    harness.advance(1_000);
    for (key, fake) in &mut harness.workers {
        let percent = if slow.contains(key) { 24 } else { 58 };
        for run in &mut fake.running {
            run.percent = percent;
        }
    }
    harness.poll_all();
    assert!(harness.cell.learned_steps() > 0);
    let paces = believed_paces(&mut harness, &slow);
    assert!(paces.iter().all(|pace| *pace > 115), "{paces:?}");
}

/// Tasks of one image take three times as long as others of their queue with the same estimate. A
/// task of that image gets a fast worker, while one of the other needs none for the same objective.
#[test]
fn the_work_of_an_image_is_told_apart() {
    let (mut harness, slow) = two_kinds(1);
    teach(&mut harness, &slow, 12);
    let of_image = |image: &str| {
        let mut step = step(6, 1, WORK_MS);
        step.image = Some(image.into());
        step
    };
    for round in 0..20 {
        let (short, long) = (1_000 + round, 2_000 + round);
        harness.submit(short, job(vec![of_image("short")]));
        harness.submit(long, job(vec![of_image("long")]));
        harness.run_round();
        harness.advance(FAST_MS / 3);
        end_tasks(&mut harness, short, |key| !slow.contains(&key));
        harness.advance((SLOW_MS - FAST_MS) / 3);
        end_tasks(&mut harness, short, |_| true);
        harness.advance(FAST_MS - SLOW_MS / 3);
        end_tasks(&mut harness, long, |key| !slow.contains(&key));
        harness.advance(SLOW_MS - FAST_MS);
        end_tasks(&mut harness, long, |_| true);
        harness.append_records();
    }
    let start = |harness: &mut Harness, number: u64, image: &str| {
        let mut late = job(vec![of_image(image)]);
        late.steps[0].count = 1;
        late.policy.stretch = 0.0;
        late.policy.target_ms = 1_600;
        harness.submit(number, late);

        harness.run_round();
        let mut running = harness.running().into_iter();
        let (key, _) = running
            .find(|(_, task)| task.job == crate::harness::id(number))
            .unwrap();
        key
    };
    assert!(!slow.contains(&start(&mut harness, 1, "long")));
    assert!(slow.contains(&start(&mut harness, 2, "short")));
}

fn end_tasks(harness: &mut Harness, job: u64, ends: impl Fn(WorkerKey) -> bool) {
    for (key, task) in harness.running() {
        if ends(key) && task.job == crate::harness::id(job) {
            harness.end(key, task, EndReason::Done);
        }
    }
    harness.poll_all();
}
