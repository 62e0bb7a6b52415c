//! Jobs' states as the log tells them, for when the owner is out of reach.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kingcupwinch_adapter::StoreError;
use kingcupwinch_cell::{JobId, JobRecord, JobState};
use rustc_hash::FxHashMap;
use slog::o;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::events::Event;
use crate::layout::PROGRESS;
use crate::shared::Shared;

/// States older than this are read anew before an answer.
const MOST_AGE: Duration = Duration::from_millis(200);
/// States that nobody asked for so long are forgotten.
const KEEP: Duration = Duration::from_secs(10);
/// How long a read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// The states, read on demand only.
#[derive(Default)]
pub(crate) struct LogStates {
    view: Mutex<View>,
}

#[derive(Default)]
struct View {
    next: Option<u64>,
    states: FxHashMap<JobId, JobState>,
    read: Option<Instant>,
}

impl LogStates {
    /// Returns a job's state as recorded; `None` if the log has none or can't be read.
    pub(crate) async fn find(&self, shared: &Arc<Shared>, id: JobId) -> Option<JobState> {
        let mut view = self.view.lock().await;
        if view.read.is_some_and(|read| read.elapsed() > KEEP) {
            *view = View::default();
        }
        let is_fresh = view.read.is_some_and(|read| read.elapsed() < MOST_AGE);
        if !is_fresh {
            match view.refresh(shared).await {
                Ok(()) => shared.note_store(None),
                Err(error) => {
                    shared.note_store(Some(&error.to_string()));
                    return None;
                }
            }
        }
        view.states.get(&id).copied()
    }
}

impl View {
    async fn refresh(&mut self, shared: &Shared) -> Result<(), StoreError> {
        let begun = Instant::now();
        let deadline = begun + READ_TIMEOUT;
        match self.next {
            None => {
                let page = shared.store.newest_all(PROGRESS, deadline).await?;
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
        self.read = Some(begun);
        Ok(())
    }

    fn apply(&mut self, shared: &Shared, key: &str, value: Option<&Bytes>) {
        // Other keys of the partition are no jobs.
        let Some(id) = JobId::parse(key) else { return };
        let Some(value) = value else {
            self.states.remove(&id);
            return;
        };
        match JobRecord::decode(value) {
            Ok(record) => {
                self.states.insert(id, record.state());
            }
            // A state from before would be a guess.
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
