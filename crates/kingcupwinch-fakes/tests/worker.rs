//! The worker engine: slots, leases, reports and the history of starts.

use std::sync::Arc;

use kingcupwinch_fakes::{History, LiveStart, WorkerEngine, WorkerFaults, WorkerSpec};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::instance_list::Capacity;
use kingcupwinch_wire::worker::{Refusal, Renewal, TaskStart, WorkOutcome};
use rstest::rstest;
use uuid::Uuid;

const START: Time = Time::from_millis(1_000);
const RUN_MS: u64 = 100;
const LEASE_MS: u64 = 1_000;

fn at(ms: u64) -> Time {
    START + Span::from_millis(ms)
}

fn spec(name: &str) -> WorkerSpec {
    let capacity = Capacity {
        slots: 2,
        connections: 2,
        millicores: 4_000,
        memory_mb: 8_000,
        accelerators: 1,
        services: vec!["hire-booking".into()],
    };
    let mut spec = WorkerSpec::new(name, capacity);
    spec.report_interval = Span::ZERO;
    spec
}

fn worker(history: &History) -> WorkerEngine {
    WorkerEngine::new(START, spec("w1"), history.clone())
}

fn task(n: u128) -> TaskStart {
    TaskStart {
        task: Uuid::from_u128(n),
        attempt: 1,
        term: 5,
        lease_ms: LEASE_MS,
        class: "plans".into(),
        millicores: 1_000,
        memory_mb: 1_000,
        accelerators: 0,
        run_ms: Some(RUN_MS),
        payload: serde_json::Value::Null,
    }
}

fn live(n: u128) -> LiveStart {
    LiveStart {
        task: Uuid::from_u128(n),
        attempt: 1,
        term: 5,
        not_after: Time::MAX,
        service: "hire-booking".into(),
        key: Some(format!("key-{n}").into()),
        request: Some(format!("request-{n}").into()),
        run_ms: Some(RUN_MS),
    }
}

#[test]
fn work_beyond_the_slots_is_refused_and_counted() {
    let mut worker = worker(&History::new());
    assert_eq!(
        worker.start_live(START, &live(1)),
        Ok(Span::from_millis(RUN_MS))
    );
    assert_eq!(worker.start_task(START, &task(2), Time::MAX), Ok(()));
    assert_eq!(worker.start_live(START, &live(3)), Err(Refusal::Full));
    worker.end_live(at(1), Uuid::from_u128(1), 1);
    assert!(worker.start_live(at(1), &live(4)).is_ok());
    let counts = worker.counts();
    assert_eq!((counts.overflows, counts.peak_running), (1, 2));
}

#[test]
fn a_worker_without_enforced_limits_counts_overflows() {
    let mut worker = worker(&History::new());
    worker.set_faults(WorkerFaults {
        enforces_limits: false,
        ..WorkerFaults::default()
    });
    for n in 1..=3 {
        assert!(worker.start_live(START, &live(n)).is_ok());
    }
    let counts = worker.counts();
    assert_eq!((counts.overflows, counts.peak_running), (1, 3));
}

#[rstest]
#[case::memory(TaskStart { memory_mb: 7_001, ..task(2) })]
#[case::processor(TaskStart { millicores: 3_001, ..task(2) })]
#[case::accelerators(TaskStart { accelerators: 2, ..task(2) })]
fn work_beyond_the_resources_is_refused(#[case] second: TaskStart) {
    let mut worker = worker(&History::new());
    assert_eq!(worker.start_task(START, &task(1), Time::MAX), Ok(()));
    assert_eq!(
        worker.start_task(START, &second, Time::MAX),
        Err(Refusal::Full)
    );
}

#[rstest]
#[case::stale(LiveStart { term: 4, ..live(2) }, Refusal::StaleTerm)]
#[case::late(LiveStart { not_after: START, ..live(2) }, Refusal::Late)]
#[case::service(LiveStart { service: "x".into(), ..live(2) }, Refusal::UnknownService)]
fn invalid_starts_are_refused(#[case] start: LiveStart, #[case] refusal: Refusal) {
    let history = History::new();
    let mut worker = worker(&history);
    assert!(worker.start_live(START, &live(1)).is_ok());
    assert_eq!(worker.start_live(START, &start), Err(refusal));
    assert_eq!(history.starts().len(), 1);
}

#[test]
fn a_leaving_worker_refuses_work_and_reports_it() {
    let mut worker = worker(&History::new());
    worker.set_leaving(true);
    assert_eq!(worker.start_live(START, &live(1)), Err(Refusal::Leaving));
    assert!(worker.usage(START, 0).leaving);
}

#[test]
fn a_task_runs_for_its_run_time_and_is_reported_as_done() {
    let history = History::new();
    let mut worker = worker(&history);
    worker.start_task(START, &task(1), Time::MAX).unwrap();
    assert_eq!(worker.usage(at(99), 1).running.len(), 1);
    assert_eq!(worker.next_event(), Some(at(RUN_MS)));
    let usage = worker.usage(at(RUN_MS), 1);
    assert!(usage.running.is_empty());
    assert_eq!(usage.ended.len(), 1);
    assert_eq!(usage.ended[0].outcome, WorkOutcome::Done);
    assert_eq!(usage.ended[0].run_ms, RUN_MS);
    assert_eq!(history.starts()[0].ended, Some(at(RUN_MS)));
}

#[test]
fn a_repeated_start_of_an_attempt_has_no_effect() {
    let history = History::new();
    let mut worker = worker(&history);
    worker.start_task(START, &task(1), Time::MAX).unwrap();
    worker.start_task(at(50), &task(1), Time::MAX).unwrap();
    worker
        .start_task(at(RUN_MS + 50), &task(1), Time::MAX)
        .unwrap();
    assert_eq!(history.starts_of(Uuid::from_u128(1)).len(), 1);
}

#[test]
fn an_expired_lease_stops_the_task() {
    let mut worker = worker(&History::new());
    let long = TaskStart {
        run_ms: Some(10 * LEASE_MS),
        ..task(1)
    };
    worker.start_task(START, &long, Time::MAX).unwrap();
    let renewal = Renewal {
        term: 5,
        lease_ms: LEASE_MS,
        tasks: vec![long.task, Uuid::from_u128(9)],
    };
    let reply = worker.renew(at(500), &renewal);
    assert_eq!(reply.unknown, [Uuid::from_u128(9)]);
    assert!(worker.usage(at(1_499), 1).ended.is_empty());
    let usage = worker.usage(at(1_500), 1);
    assert_eq!(usage.ended[0].outcome, WorkOutcome::Expired);
    assert_eq!(worker.counts().expirations, 1);
}

#[test]
fn a_throttled_task_takes_longer_and_can_be_stopped() {
    let mut worker = worker(&History::new());
    worker.start_task(START, &task(1), Time::MAX).unwrap();
    assert!(worker.throttle(at(50), Uuid::from_u128(1), 50));
    assert!(worker.usage(at(149), 1).ended.is_empty());
    assert!(worker.stop(at(149), Uuid::from_u128(1)));
    assert!(!worker.stop(at(149), Uuid::from_u128(1)));
    let usage = worker.usage(at(149), 1);
    assert_eq!(usage.ended[0].outcome, WorkOutcome::Stopped);
}

#[test]
fn a_throttled_task_completes() {
    let mut worker = worker(&History::new());
    worker.start_task(START, &task(1), Time::MAX).unwrap();
    worker.throttle(at(50), Uuid::from_u128(1), 50);
    assert_eq!(worker.next_event(), Some(at(150)));
    assert_eq!(worker.usage(at(150), 1).ended[0].outcome, WorkOutcome::Done);
}

#[test]
fn a_failing_worker_fails_tasks_at_once() {
    let mut worker = worker(&History::new());
    worker.set_faults(WorkerFaults {
        fails: true,
        ..WorkerFaults::default()
    });
    worker.start_task(START, &task(1), Time::MAX).unwrap();
    assert_eq!(worker.usage(START, 1).ended[0].outcome, WorkOutcome::Failed);
}

#[test]
fn a_slow_worker_runs_longer() {
    let slow = spec("slow").with_speed(50);
    let mut worker = WorkerEngine::new(START, slow, History::new());
    let run = worker.start_live(START, &live(1));
    assert_eq!(run, Ok(Span::from_millis(2 * RUN_MS)));
}

#[test]
fn reports_lag_behind_the_worker() {
    let lagging = spec("w1").with_usage_lag(Span::from_millis(30));
    let mut worker = WorkerEngine::new(START, lagging, History::new());
    worker.start_live(at(100), &live(1)).unwrap();
    worker.tick(at(100));
    assert!(!worker.has_new_report(at(129), 1));
    assert_eq!(worker.next_visible(at(129)), Some(at(130)));
    assert!(worker.has_new_report(at(130), 1));
    let usage = worker.usage(at(140), 1);
    assert_eq!((usage.age_ms, usage.busy_slots), (30, 1));
    worker.start_live(at(200), &live(2)).unwrap();
    worker.tick(at(220));
    let usage = worker.usage(at(225), 1);
    assert_eq!(
        (usage.age_ms, usage.busy_slots),
        (125, 1),
        "the change is not visible yet"
    );
}

#[test]
fn task_ends_are_reported_again_after_a_lost_response() {
    let mut worker = worker(&History::new());
    worker.start_task(START, &task(1), Time::MAX).unwrap();
    let first = worker.usage(at(RUN_MS), 1);
    let again = worker.usage(at(RUN_MS + 1), 1);
    assert_eq!(first.ended, again.ended);
    assert!(worker.usage(at(RUN_MS + 2), again.seq).ended.is_empty());
}

#[test]
fn connections_beyond_the_limit_are_refused_and_counted() {
    let mut worker = worker(&History::new());
    assert!(worker.connect());
    assert!(worker.connect());
    assert!(!worker.connect());
    worker.disconnect();
    assert!(worker.connect());
    let counts = worker.counts();
    assert_eq!(
        (counts.peak_connections, counts.connection_overflows),
        (2, 1)
    );
}

#[test]
fn history_reports_a_task_that_runs_twice_concurrently() {
    let history = History::new();
    let mut first = WorkerEngine::new(START, spec("w1"), history.clone());
    let mut second = WorkerEngine::new(START, spec("w2"), history.clone());
    let again = TaskStart {
        attempt: 2,
        ..task(1)
    };
    first.start_task(START, &task(1), Time::MAX).unwrap();
    second.start_task(at(50), &again, Time::MAX).unwrap();
    let overlaps = history.overlapping_tasks();
    assert_eq!(overlaps.len(), 1);
    assert_eq!(overlaps[0].0.worker, Arc::from("w1"));
    assert_eq!(overlaps[0].1.worker, Arc::from("w2"));
}

#[test]
fn a_restart_after_the_end_does_not_overlap() {
    let history = History::new();
    let mut worker = worker(&history);
    let again = TaskStart {
        attempt: 2,
        ..task(1)
    };
    worker.start_task(START, &task(1), Time::MAX).unwrap();
    worker.start_task(at(RUN_MS), &again, Time::MAX).unwrap();
    assert!(history.overlapping_tasks().is_empty());
}

#[test]
fn history_reports_a_key_that_ran_twice() {
    let history = History::new();
    let mut worker = worker(&history);
    worker.start_live(START, &live(1)).unwrap();
    assert!(history.repeated_keys().is_empty());
    let again = LiveStart {
        attempt: 2,
        ..live(1)
    };
    worker.start_live(START, &again).unwrap();
    assert_eq!(history.repeated_keys(), [Arc::from("key-1")]);
    assert_eq!(history.key_starts("key-1"), 2);
    assert_eq!(history.request_starts("request-1"), 2);
}

#[test]
fn history_reports_a_start_under_a_stale_term() {
    let history = History::new();
    let mut worker = worker(&history);
    worker.set_faults(WorkerFaults {
        checks_fencing: false,
        ..WorkerFaults::default()
    });
    worker.start_live(START, &live(1)).unwrap();
    assert!(history.stale_starts().is_empty());
    let old = LiveStart { term: 4, ..live(2) };
    worker.start_live(START, &old).unwrap();
    let stale = history.stale_starts();
    assert_eq!(stale.len(), 1);
    assert_eq!(stale[0].task, old.task);
}
