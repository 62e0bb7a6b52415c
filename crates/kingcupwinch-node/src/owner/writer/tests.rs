use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use kingcupwinch_time::{Span, Time};

use super::{AppendStopped, retry_append};
use kingcupwinch_adapter::WriteError;

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
