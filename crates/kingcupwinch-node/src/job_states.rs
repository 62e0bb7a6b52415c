//! Job states read from the log, used while the owner is unreachable.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kingcupwinch_adapter::StoreError;
use kingcupwinch_cell::{JobId, JobRecord, JobView};
use rustc_hash::FxHashMap;
use slog::o;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::events::Event;
use crate::layout::PROGRESS;
use crate::shared::Shared;

/// Maximum age of the cached states; older ones are refreshed before use.
const MAX_STALENESS: Duration = Duration::from_millis(200);
/// Cached states are discarded if the last refresh was longer ago than this.
const IDLE_EXPIRY: Duration = Duration::from_secs(10);
/// Timeout of a refresh.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before the refresh after a failed one; doubles with each failure in a row. On a narrow link,
/// repeated reads of the whole partition would take it from the requests that need it.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of doublings of the delay and of the timeout.
const MAX_DOUBLINGS: u32 = 4;

/// Cache of job states, refreshed on demand.
#[derive(Default)]
pub(crate) struct JobStateCache {
    cache: Mutex<CachedStates>,
}

#[derive(Default)]
struct CachedStates {
    next: Option<u64>,
    states: FxHashMap<JobId, JobView>,
    read_at: Option<Instant>,
    /// Number of failed refreshes since the last successful one.
    failures: u32,
    /// No refresh starts before this time.
    retry_at: Option<Instant>,
}

impl JobStateCache {
    /// Returns a job's recorded state, with its customer if the job has ended; `None` if the log has
    /// none or can't be read.
    pub(crate) async fn get(&self, shared: &Arc<Shared>, id: JobId) -> Option<JobView> {
        let mut cache = self.cache.lock().await;
        if cache
            .read_at
            .is_some_and(|read| read.elapsed() > IDLE_EXPIRY)
        {
            *cache = CachedStates::default();
        }
        let is_fresh = cache
            .read_at
            .is_some_and(|read| read.elapsed() < MAX_STALENESS);
        if !is_fresh {
            if cache.retry_at.is_some_and(|at| Instant::now() < at) {
                return None;
            }
            let result = cache.refresh(shared).await;
            cache.note_refresh(result.is_ok());
            match result {
                Ok(()) => shared.record_store_result(None),
                Err(error) => {
                    shared.record_store_result(Some(&error.to_string()));
                    return None;
                }
            }
        }
        cache.states.get(&id).cloned()
    }
}

impl CachedStates {
    /// Sets the time of the next refresh after this one, which may have failed.
    fn note_refresh(&mut self, is_successful: bool) {
        if is_successful {
            (self.failures, self.retry_at) = (0, None);
        } else {
            self.retry_at = Some(Instant::now() + RETRY_DELAY * self.backoff());
            self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        }
    }

    fn backoff(&self) -> u32 {
        1 << self.failures
    }

    async fn refresh(&mut self, shared: &Shared) -> Result<(), StoreError> {
        let started = Instant::now();
        let deadline = started + READ_TIMEOUT * self.backoff();
        match self.next {
            None => {
                let page = shared.store.read_latest(PROGRESS, deadline).await?;
                for item in &page.items {
                    self.apply(shared, &item.key, Some(&item.value));
                }
                self.next = Some(page.end);
            }
            Some(from) => match shared.store.read(PROGRESS, from, 0, deadline).await {
                Ok(batch) => {
                    for (_, record) in shared.decode_records("progress", batch.records) {
                        self.apply(shared, &record.key, record.value.as_ref());
                    }
                    self.next = Some(batch.next);
                }
                Err(error) => {
                    self.next = None;
                    return Err(error);
                }
            },
        }
        self.read_at = Some(started);
        Ok(())
    }

    fn apply(&mut self, shared: &Shared, key: &str, value: Option<&Bytes>) {
        // The partition has other keys than jobs' ids.
        let Some(id) = JobId::parse(key) else { return };
        let Some(value) = value else {
            self.states.remove(&id);
            return;
        };
        match JobRecord::decode(value) {
            Ok(record) => {
                let view = JobView {
                    state: record.state(),
                    customer: record.customer,
                };
                self.states.insert(id, view);
            }
            // The previous state may be outdated.
            Err(error) => {
                self.states.remove(&id);
                shared.log.write(
                    Event::RecordSkipped,
                    o!("partition" => "progress", "record" => key.to_owned(),
                        "error" => error.to_string()),
                );
            }
        }
    }
}
