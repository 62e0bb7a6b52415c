use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use kingcupwinch_adapter::WriteError;
use kingcupwinch_cell::{JobId, JobRecord, JobState};
use kingcupwinch_time::{Span, Time};

use super::{AppendStopped, CleanupFailed, TakeBatch, delete_ended, retry_append};
use crate::layout::{IntakeKey, OWNER_PARTITION};
use crate::owner::Origins;
use crate::test_support::{cell, shared, start_owner, unreachable_store};

/// Returns the outcome of an append whose attempts take a second each and end as given.
async fn append_with(outcomes: Vec<Result<(), WriteError>>) -> Result<Time, AppendStopped> {
    let now = Cell::new(Time::ZERO);
    let outcomes = RefCell::new(VecDeque::from(outcomes));
    let attempt = |_| {
        now.set(now.get() + Span::from_secs(1));
        let outcome = outcomes.borrow_mut().pop_front();
        async move { outcome.expect("no further attempt is made") }
    };
    retry_append(|| now.get(), || true, attempt).await
}

/// An owner is cut off while its append is on its way and another takes over. After the cut the
/// store answers the repeat as it answered the original, which must not count as a fresh write.
#[tokio::test(start_paused = true)]
async fn a_repeat_confirms_the_time_of_the_first_attempt() {
    let lost = || Err(WriteError::Unknown("no response".into()));
    let confirmed = append_with(vec![lost(), lost(), lost(), Ok(())]).await;
    assert_eq!(confirmed, Ok(Time::ZERO));
}

#[tokio::test(start_paused = true)]
async fn a_later_owner_ends_the_attempts() {
    let lost = Err(WriteError::Unknown("no response".into()));
    let result = append_with(vec![lost, Err(WriteError::Fenced)]).await;
    assert_eq!(result, Err(AppendStopped::Fenced));
}

fn job() -> JobId {
    JobId::parse("45c1eb641e14275e").unwrap()
}

/// An owner recorded the end of a job and was killed before it deleted the job's acceptance. If its
/// successor kept the acceptance and dropped the end after the retention time, the owner after that
/// would run the job again.
#[tokio::test]
async fn a_successor_deletes_the_acceptances_of_jobs_that_have_ended() {
    let mut cell = cell();
    let record = JobRecord {
        end: Some(JobState::Completed),
        ..JobRecord::default()
    };
    cell.restore(job(), None, Some(&record), Span::ZERO, Time::ZERO);
    let mut origins = Origins::default();
    origins.add(IntakeKey::Accepted(job()), OWNER_PARTITION);
    let owner = start_owner(7, cell, origins, Time::ZERO);
    let batch = owner.ask(TakeBatch { with_cleanup: true }).await.unwrap();
    let acceptance = (OWNER_PARTITION, IntakeKey::Accepted(job()));
    assert!(batch.cleanup.contains(&acceptance), "{:?}", batch.cleanup);
}

/// The store refused the deletion of an acceptance, which must not outlive the record of the end.
#[tokio::test]
async fn a_failed_deletion_is_repeated() {
    let acceptance = (OWNER_PARTITION, IntakeKey::Accepted(job()));
    let remaining = delete_ended(&shared(unreachable_store()), &[acceptance]).await;
    assert_eq!(remaining, [acceptance]);
    let owner = start_owner(7, cell(), Origins::default(), Time::ZERO);
    owner.tell(CleanupFailed(remaining)).await.unwrap();
    let batch = owner.ask(TakeBatch { with_cleanup: true }).await.unwrap();
    assert_eq!(batch.cleanup, [acceptance]);
}
