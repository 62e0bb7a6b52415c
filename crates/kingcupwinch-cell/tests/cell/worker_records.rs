//! The records of workers for a later owner.

use kingcupwinch_cell::{PollFailure, Registration, WorkerKey, WorkerRecord};

use crate::harness::{FakeWorker, Harness, registration};

fn record(started_ms: Option<u64>) -> WorkerRecord {
    let Registration { id, address, .. } = registration(0, 4);
    WorkerRecord {
        id,
        address,
        started_ms,
    }
}

/// Builds the harness of an owner that knows a worker from the record of the last owner alone, and has
/// got a response of it.
fn with_lost_worker() -> (Harness, WorkerKey) {
    let mut harness = Harness::of_generation(2);
    let lost = harness
        .cell
        .register_lost_worker(&record(Some(1)), harness.now);
    harness.workers.insert(lost, FakeWorker::default());
    harness.poll(lost);
    (harness, lost)
}

#[rstest::rstest]
#[case::started(Some(7))]
#[case::without_start(None)]
fn a_record_survives_encoding(#[case] started_ms: Option<u64>) {
    let record = record(started_ms);
    let text = serde_json::to_string(&record).unwrap();
    assert_eq!(serde_json::from_str::<WorkerRecord>(&text).unwrap(), record);
}

/// Earlier owners recorded the id and the address.
#[test]
fn a_row_of_an_earlier_owner_has_no_start() {
    let row = r#"["i-0","127.0.0.1:1000"]"#;
    let decoded: WorkerRecord = serde_json::from_str(row).unwrap();
    assert_eq!(decoded, record(None));
}

/// Guards against a restart between owners that no owner notices: the record says which process
/// responded, not which one the directory lists.
#[test]
fn the_start_of_the_process_that_responded_is_recorded() {
    let mut harness = Harness::new(1, 4);
    assert!(harness.cell.take_worker_changes());
    assert_eq!(harness.cell.worker_records(), vec![record(Some(1))]);
    assert!(!harness.cell.take_worker_changes());
    let key = harness.keys()[0];
    harness.poll_started(key, 2);
    assert!(harness.cell.take_worker_changes());
    assert_eq!(harness.cell.worker_records()[0].started_ms, Some(2));
}

/// The worker is silent for as long as the owner in between lasts.
#[test]
fn the_start_of_a_silent_worker_is_recorded_again() {
    let mut harness = Harness::of_generation(2);
    let listed = Registration {
        started_ms: Some(2),
        ..registration(0, 4)
    };
    harness.cell.register_worker(listed, true, harness.now);
    let record = record(Some(1));
    harness.cell.register_lost_worker(&record, harness.now);
    assert_eq!(harness.cell.worker_records(), vec![record]);
}

/// Guards against runs that wait for the leases: the directory lacked the worker, its address was
/// lost once it had responded, and the next owner could not poll it.
#[test]
fn the_address_of_a_worker_that_only_the_last_owner_knew_is_recorded_again() {
    let (harness, _) = with_lost_worker();
    assert_eq!(harness.cell.worker_records(), vec![record(Some(1))]);
}

/// As above, until the directory lists another process of the worker at an address of its own.
#[test]
fn the_address_of_a_worker_is_not_recorded_once_another_process_is_listed() {
    let (mut harness, lost) = with_lost_worker();
    harness.cell.poll_failed(lost, PollFailure::Unresponsive);
    let earlier = Registration {
        address: registration(9, 4).address,
        started_ms: Some(0),
        ..registration(0, 4)
    };
    harness.cell.register_worker(earlier, false, harness.now);
    assert_eq!(&*harness.cell.worker_records()[0].address, "");
}

/// Guards against runs that wait for the leases: a restarted worker responds before its entry is read.
/// Its address was recorded as unknown, and stayed so.
#[test]
fn the_address_of_a_restarted_worker_is_recorded_once_its_entry_is_read() {
    let mut harness = Harness::new(1, 4);
    let key = harness.keys()[0];
    harness.poll_started(key, 2);
    assert!(harness.cell.take_worker_changes());
    let entry = Registration {
        started_ms: Some(2),
        ..registration(0, 4)
    };
    harness.cell.register_worker(entry, false, harness.now);
    assert!(harness.cell.take_worker_changes());
    assert_eq!(harness.cell.worker_records(), vec![record(Some(2))]);
}

/// The last owner recorded the address as unknown, or another one.
#[rstest::rstest]
#[case::unknown("")]
#[case::another("127.0.0.1:1")]
fn the_address_of_a_worker_is_recorded_once_it_has_responded(#[case] address: &str) {
    let mut harness = Harness::of_generation(2);
    let key = harness
        .cell
        .register_worker(registration(0, 4), true, harness.now);
    harness.workers.insert(key, FakeWorker::default());
    let earlier = WorkerRecord {
        address: address.into(),
        ..record(Some(1))
    };
    harness.cell.register_lost_worker(&earlier, harness.now);
    harness.cell.take_worker_changes();
    harness.poll(key);
    assert!(harness.cell.take_worker_changes());
    assert_eq!(harness.cell.worker_records(), vec![record(Some(1))]);
}
