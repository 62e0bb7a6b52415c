//! Start orders that wait for the log and are discarded in the end.

use kingcupwinch_cell::{CellEvent, PollFailure};

use crate::harness::{Harness, MAX_LEASE, job, step};

/// How long after its last renewal a lease has certainly expired: clocks are at most 2 % slow, and
/// timers fire late.
const LEASE_TIME_MS: u64 = MAX_LEASE.as_millis() * 102 / 100 + 150;

/// A start that is not sent renews no lease. If it counts as one, the runs of a lost worker settle
/// one lease later than they could.
#[test]
fn a_start_that_is_not_sent_extends_no_lease() {
    let mut harness = Harness::new(1, 4);
    let worker = harness.keys()[0];
    harness.submit(1, job(vec![step(1, 1, 60_000)]));
    harness.run_round();
    harness.poll_all();
    assert_eq!(harness.running().len(), 1);

    // The placement of a second job waits for the log, while the worker is lost.
    harness.submit(2, job(vec![step(1, 1, 1_000)]));
    harness.decide_without_log();
    for _ in 0..3 {
        harness.cell.next_poll(worker, harness.now);
        harness.cell.poll_failed(worker, PollFailure::Unresponsive);
    }
    harness.advance(4_000);
    harness.append_records();
    assert!(harness.starts.is_empty(), "{:?}", harness.starts);

    harness.advance(LEASE_TIME_MS - 4_000);
    harness.decide();
    let events = harness.cell.take_events();
    let is_settled = |event: &CellEvent| matches!(event, CellEvent::RunsSettled { .. });
    assert!(events.iter().any(is_settled), "{events:?}");
}
