//! Jobs: group commit, duplicate records, snapshots and recovery by a new owner.

use kingcupwinch_coord::id::{Attempt, JobId, Offset, RecordId, ShardId, Term};
use kingcupwinch_coord::jobs::{
    BatchPolicy, Evidence, GroupCommit, Jobs, Limits, Recovery, RecoveryStep,
};
use kingcupwinch_coord::record::{
    AcceptedJob, CrashCount, JobEnd, JobRecord, Stamped, TaskCrashes,
};
use kingcupwinch_time::{Span, Time, WallTime};
use rstest::rstest;
use uuid::Uuid;

fn job(n: u128) -> JobId {
    JobId(Uuid::from_u128(n))
}

fn id(n: u128) -> RecordId {
    RecordId(Uuid::from_u128(n))
}

fn accepted(n: u128, idempotent: bool) -> AcceptedJob {
    AcceptedJob {
        job: job(n),
        home: ShardId(n as u16 % 2),
        accepted: WallTime::from_millis(0),
        idempotent,
        spec: b"spec".as_slice().into(),
    }
}

fn accept(n: u128) -> JobRecord {
    JobRecord::Accepted(vec![accepted(n, false)])
}

fn end(n: u128) -> JobRecord {
    JobRecord::Ended(vec![(job(n), JobEnd::Done)])
}

fn start(n: u128) -> JobRecord {
    JobRecord::Started(vec![(job(n), Term(3))])
}

fn crashes(index: u32, attempt: u32, total: u8) -> (JobId, TaskCrashes) {
    let count = CrashCount {
        attempt: Attempt(attempt),
        total,
        clear: 0,
    };
    (job(1), TaskCrashes { index, count })
}

fn read(start: usize, log: &[JobRecord]) -> Jobs {
    let mut jobs = Jobs::new(Offset(start as u64), Limits::new());
    for (offset, body) in log.iter().enumerate().skip(start) {
        let record = Stamped {
            id: id(offset as u128),
            body: body.clone(),
        };
        jobs.apply(Offset(offset as u64), Some(record), Time::ZERO);
    }
    jobs
}

/// The count of each task is that of its latest attempt, in whichever order the records arrive.
#[test]
fn crashes_of_tasks_are_kept_until_the_job_ends() {
    let mut log = vec![
        JobRecord::Crashed(vec![crashes(0, 1, 1)]),
        accept(1),
        JobRecord::Crashed(vec![crashes(0, 3, 2), crashes(7, 2, 1)]),
        JobRecord::Crashed(vec![crashes(0, 2, 9), crashes(7, 5, 0)]),
    ];
    let expected = [crashes(0, 3, 2).1, crashes(7, 5, 0).1];
    let jobs = read(0, &log);
    assert_eq!(jobs.open(job(1)).unwrap().crashes, expected);
    log.push(jobs.snapshot().unwrap().into_record());
    let jobs = read(4, &log);
    assert_eq!(jobs.open(job(1)).unwrap().crashes, expected);
    log.push(end(1));
    assert_eq!(read(0, &log).open(job(1)), None);
}

#[test]
fn a_job_is_open_until_its_first_end() {
    let log = [accept(1), accept(2), start(2), end(1)];
    let jobs = read(0, &log);
    assert_eq!(jobs.end(job(1)), Some(JobEnd::Done));
    assert_eq!(jobs.open(job(2)).unwrap().started, Some(Term(3)));
    assert_eq!(jobs.in_shard(ShardId(0)).len(), 1);
    assert!(jobs.in_shard(ShardId(1)).is_empty());
}

#[rstest]
#[case::accepted_twice(&[accept(1), accept(1), end(1)])]
#[case::accepted_again_after_its_end(&[accept(1), end(1), accept(1)])]
#[case::ended_before_it_was_accepted(&[end(1), accept(1)])]
#[case::ended_twice(&[accept(1), end(1), JobRecord::Ended(vec![(job(1), JobEnd::Failed)])])]
fn duplicate_records_change_nothing(#[case] log: &[JobRecord]) {
    let jobs = read(0, log);
    assert_eq!(jobs.open_len(), 0);
    assert_eq!(jobs.end(job(1)), Some(JobEnd::Done));
}

#[test]
fn late_reader_builds_the_same_state_from_a_snapshot() {
    let mut log = vec![accept(1), end(1), accept(2), start(2), accept(3)];
    let snapshot = read(0, &log[..4]).snapshot().unwrap();
    log.push(snapshot.into_record());
    log.push(accept(1));
    let whole = read(0, &log).snapshot();
    assert!(whole.is_some());
    for first in [3, 4] {
        assert_eq!(read(first, &log).snapshot(), whole, "reader from {first}");
    }
    assert!(
        !read(5, &log).is_complete(),
        "a record is missing before the snapshot"
    );
}

#[test]
fn a_reader_that_lost_records_waits_for_a_snapshot() {
    let mut jobs = read(0, &[accept(1)]);
    jobs.skip_to(Offset(9));
    assert_eq!(jobs.open_len(), 0);
    assert_eq!(jobs.snapshot(), None);
}

#[test]
fn open_jobs_are_bounded_before_they_are_accepted() {
    let mut jobs = Jobs::new(Offset(0), Limits::new().with_open(1, 10_000));
    assert!(jobs.has_capacity(100));
    assert!(!jobs.has_capacity(10_000));
    let record = Stamped {
        id: id(1),
        body: accept(1),
    };
    jobs.apply(Offset(0), Some(record), Time::ZERO);
    assert!(!jobs.has_capacity(100));
}

#[test]
fn snapshots_become_due_by_age_and_by_record_count() {
    let limits = Limits::new().with_snapshots(Span::from_secs(10), 2);
    let mut jobs = Jobs::new(Offset(0), limits);
    assert!(!jobs.is_snapshot_due(Time::MAX));
    for offset in 0..3 {
        let body = accept(offset.into());
        let record = Stamped { id: id(7), body };
        jobs.apply(Offset(offset), Some(record), Time::ZERO);
    }
    assert!(
        jobs.is_snapshot_due(Time::ZERO),
        "three records, none covered"
    );
    let body = jobs.snapshot().unwrap().into_record();
    jobs.apply(Offset(3), Some(Stamped { id: id(8), body }), Time::ZERO);
    assert!(!jobs.is_snapshot_due(Time::from_millis(9_999)));
    assert!(jobs.is_snapshot_due(Time::from_millis(10_000)));
}

fn policy() -> BatchPolicy {
    BatchPolicy::new()
        .with_batch(Span::from_millis(50), 3)
        .with_retry(Span::from_secs(2))
}

fn take(commit: &mut GroupCommit, now_ms: u64, first_id: u128) -> Vec<Stamped<JobRecord>> {
    let mut next = first_id;
    commit.take(Time::from_millis(now_ms), || {
        next += 1;
        id(next)
    })
}

#[test]
fn batch_is_appended_at_its_deadline_as_one_record() {
    let mut commit = GroupCommit::new(policy());
    commit.accept(accepted(1, true), Time::from_millis(0));
    commit.accept(accepted(2, true), Time::from_millis(30));
    assert!(take(&mut commit, 49, 0).is_empty());
    let records = take(&mut commit, 50, 0);
    let both = JobRecord::Accepted(vec![accepted(1, true), accepted(2, true)]);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].body, both);
}

#[test]
fn full_batch_is_appended_at_once() {
    let mut commit = GroupCommit::new(policy());
    commit.accept(accepted(1, false), Time::ZERO);
    commit.start(job(2), Term(1), Time::ZERO);
    commit.crash(job(2), crashes(0, 1, 1).1, Time::ZERO);
    commit.end(job(3), JobEnd::Done, Time::ZERO);
    let kinds: Vec<&str> = take(&mut commit, 0, 0)
        .iter()
        .map(|r| match r.body {
            JobRecord::Accepted(_) => "accepted",
            JobRecord::Started(_) => "started",
            JobRecord::Ended(_) => "ended",
            JobRecord::Crashed(_) => "crashed",
            JobRecord::Snapshot { .. } => "snapshot",
        })
        .collect();
    assert_eq!(kinds, ["accepted", "started", "crashed", "ended"]);
}

#[test]
fn lost_acknowledgement_is_resolved_by_reading_back() {
    let mut commit = GroupCommit::new(policy());
    commit.accept(accepted(1, true), Time::ZERO);
    let first = take(&mut commit, 50, 0);
    assert!(take(&mut commit, 2_049, 10).is_empty());
    assert_eq!(take(&mut commit, 2_050, 10), first, "same id, same body");
    assert!(commit.read_back(first[0].id));
    assert!(!commit.read_back(first[0].id));
    assert!(commit.is_empty());
    assert_eq!(commit.deadline(), None);
}

const EFFECT: Time = Time::from_millis(1_000);
const LEASE_EXPIRY: Time = Time::from_millis(5_000);

#[rstest]
#[case::idempotent_waits(true, false, None, 4_999, RecoveryStep::Wait)]
#[case::idempotent_restarts(true, false, None, 5_000, RecoveryStep::Run)]
#[case::never_started(false, false, None, 1_000, RecoveryStep::Run)]
#[case::may_have_started_waits(false, true, None, 4_999, RecoveryStep::Wait)]
#[case::may_have_started(false, true, None, 5_000, RecoveryStep::End(JobEnd::Unknown))]
#[case::reported_running(true, false, Some(Evidence::Running), 5_000, RecoveryStep::Adopt)]
#[case::started_and_reported_running(
    false,
    true,
    Some(Evidence::Running),
    5_000,
    RecoveryStep::Adopt
)]
#[case::reported_ended(
    false,
    true,
    Some(Evidence::Ended(JobEnd::Failed)),
    1_000,
    RecoveryStep::End(JobEnd::Failed)
)]
fn recovery_step_of_an_inherited_job(
    #[case] idempotent: bool,
    #[case] started: bool,
    #[case] evidence: Option<Evidence>,
    #[case] now_ms: u64,
    #[case] expected: RecoveryStep,
) {
    let mut log = vec![JobRecord::Accepted(vec![accepted(1, idempotent)])];
    if started {
        log.push(start(1));
    }
    let jobs = read(0, &log);
    let mut recovery = Recovery::new(EFFECT, LEASE_EXPIRY);
    recovery.record_tail_read(EFFECT);
    if let Some(evidence) = evidence {
        recovery.record_evidence(job(1), evidence, EFFECT);
    }
    let step = recovery.step(jobs.open(job(1)).unwrap(), Time::from_millis(now_ms));
    assert_eq!(step, expected);
}

#[test]
fn nothing_starts_before_the_stream_is_read_to_its_end() {
    let jobs = read(0, &[accept(1)]);
    let open = jobs.open(job(1)).unwrap();
    let mut recovery = Recovery::new(EFFECT, LEASE_EXPIRY);
    recovery.record_tail_read(Time::from_millis(999));
    assert_eq!(recovery.step(open, LEASE_EXPIRY), RecoveryStep::Wait);
    recovery.record_tail_read(EFFECT);
    assert_eq!(recovery.step(open, LEASE_EXPIRY), RecoveryStep::Run);
}

#[test]
fn old_report_does_not_prove_a_running_job_and_a_reported_end_is_final() {
    let jobs = read(0, &[JobRecord::Accepted(vec![accepted(1, true)])]);
    let open = jobs.open(job(1)).unwrap();
    let mut recovery = Recovery::new(EFFECT, LEASE_EXPIRY);
    recovery.record_tail_read(EFFECT);
    recovery.record_evidence(job(1), Evidence::Running, Time::from_millis(999));
    assert_eq!(recovery.step(open, LEASE_EXPIRY), RecoveryStep::Run);
    recovery.record_evidence(
        job(1),
        Evidence::Ended(JobEnd::Done),
        Time::from_millis(999),
    );
    recovery.record_evidence(job(1), Evidence::Running, EFFECT);
    assert_eq!(
        recovery.step(open, LEASE_EXPIRY),
        RecoveryStep::End(JobEnd::Done)
    );
}
