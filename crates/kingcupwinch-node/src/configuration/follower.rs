//! Keeps the copy of the configuration up to date by reading the log.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kingcupwinch_adapter::{
    CONFIGURATION, KeyedRecord, LatestRecord, Store, StoreError, decode_queues,
};
use kingcupwinch_time::{Span, Time};
use slog::o;
use tokio::task::{JoinError, JoinSet};
use tokio::time::{Instant, sleep_until};

use super::Version;
use crate::events::Event;
use crate::metrics::Metrics;
use crate::owner::view_time;
use crate::shared::Shared;

/// Maximum long-poll wait of a read.
const MAX_WAIT: Span = Span::from_millis(1_000);
/// Time after the expected end of a read from which it counts as late; doubles with each late read.
const LATE_AFTER: Duration = Duration::from_millis(150);
/// Maximum number of reads in flight.
const MAX_READS: usize = 4;
/// Time that a read may take beyond its long-poll wait.
const READ_MARGIN: Duration = Duration::from_millis(1_900);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Creates a client that shares no connections with others.
fn new_store(shared: &Shared) -> Store {
    Store::new(shared.settings.store).with_traffic(Arc::clone(&shared.traffic))
}

/// Follows the configuration for the life of the process.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let mut follower = Follower::new(shared);
    loop {
        follower.step().await;
    }
}

/// Reads the log from a cursor. A read that is late is repeated on another connection, as a
/// connection can die without a word.
pub(crate) struct Follower {
    shared: Arc<Shared>,
    /// Client that responded last. It is not shared with other calls, so that no read waits for a
    /// connection that they use.
    store: Store,
    /// Offset of the next record; `None` before the latest version is read.
    next: Option<u64>,
    reads: JoinSet<FinishedRead>,
    /// Time at which the latest read counts as late.
    late_at: Instant,
    /// Number of late reads since the last response.
    late_reads: u32,
    /// Whether the copy was too old when it was last checked.
    is_outdated: bool,
}

/// Offset, key and value of a record.
type Row = (u64, Arc<str>, Bytes);

/// Records of the configuration's partition.
struct Records {
    rows: Vec<Row>,
    next: u64,
    /// Whether the read reached the end of the partition.
    is_complete: bool,
    /// Whether the store returned no record, after the whole long-poll wait.
    is_empty: bool,
}

/// A read with or without a response.
struct FinishedRead {
    store: Store,
    sent: Time,
    wait: Span,
    result: Result<Records, StoreError>,
}

impl Follower {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Follower {
            store: new_store(&shared),
            shared,
            next: None,
            reads: JoinSet::new(),
            late_at: Instant::now(),
            late_reads: 0,
            is_outdated: false,
        }
    }

    /// Waits for a response, or until another read has to start.
    pub(crate) async fn step(&mut self) {
        if self.reads.is_empty() {
            self.start_read(self.store.clone(), self.long_poll_wait());
        }
        let may_start = self.reads.len() < MAX_READS;
        let shared = Arc::clone(&self.shared);
        tokio::select! {
            Some(read) = self.reads.join_next() => self.finish(read).await,
            () = sleep_until(self.late_at), if may_start => self.start_late_read(),
            () = shared.configuration.read_requested(), if may_start && self.late_reads == 0 => {
                self.start_late_read();
            }
        }
        self.check_age();
    }

    /// Returns the long-poll wait of the next read. A version still applies in time if the response
    /// to one such read is lost. After a failure, the copy is to be confirmed at once.
    fn long_poll_wait(&self) -> Span {
        if self.next.is_none() || self.late_reads > 0 {
            return Span::default();
        }
        (self.shared.settings.config_bound.times(2).divided_by(5)).min(MAX_WAIT)
    }

    fn start_late_read(&mut self) {
        self.late_reads += 1;
        Metrics::count(&self.shared.metrics.store_calls, "configuration", "late");
        let store = new_store(&self.shared);
        self.start_read(store, Span::default());
    }

    fn start_read(&mut self, store: Store, wait: Span) {
        let (next, sent) = (self.next, self.shared.now());
        let now = Instant::now();
        let expected = now + Duration::from(wait);
        self.late_at = expected + LATE_AFTER * (1 << self.late_reads.min(MAX_READS as u32));
        let deadline = expected + READ_MARGIN;
        let shared = Arc::clone(&self.shared);
        self.reads.spawn(async move {
            let result = match next {
                None => read_latest(&store, deadline).await,
                Some(next) => read_from(&shared, &store, next, wait, deadline).await,
            };
            FinishedRead {
                store,
                sent,
                wait,
                result,
            }
        });
    }

    async fn finish(&mut self, read: Result<FinishedRead, JoinError>) {
        let shared = Arc::clone(&self.shared);
        // A read that panicked has reported it, and counts as failed.
        let Ok(read) = read else { return };
        let status = match &read.result {
            Ok(_) => "ok",
            Err(StoreError::Expired(_)) => "expired",
            Err(_) => "failed",
        };
        Metrics::count(&shared.metrics.store_calls, "configuration", status);
        match read.result {
            Ok(records) => {
                shared.record_store_result(None);
                self.next = Some(records.next);
                self.store = read.store;
                for row in &records.rows {
                    apply(&shared, read.sent, row);
                }
                if records.is_complete {
                    let now = shared.now();
                    let at = view_time(read.sent, now, read.wait, records.is_empty);
                    confirm(&shared, at);
                }
                self.forget_reads();
            }
            Err(StoreError::Expired(_)) => {
                self.next = None;
                self.store = read.store;
                self.forget_reads();
            }
            Err(error) => {
                shared.record_store_result(Some(&error.to_string()));
                self.late_reads = self.late_reads.max(1);
                if self.reads.is_empty() {
                    self.store = new_store(&shared);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    #[cfg(test)]
    pub(super) fn reads_in_flight(&self) -> usize {
        self.reads.len()
    }

    /// Drops the reads in flight, which closes their connections.
    fn forget_reads(&mut self) {
        self.reads = JoinSet::new();
        self.late_reads = 0;
    }

    /// Logs when the copy becomes too old, and when it is confirmed again.
    fn check_age(&mut self) {
        let now = self.shared.now();
        let copy = self.shared.configuration.snapshot();
        let is_outdated =
            copy.version.is_some() && !self.shared.configuration.is_confirmed(&copy, now);
        if is_outdated == self.is_outdated {
            return;
        }
        self.is_outdated = is_outdated;
        let event = if is_outdated {
            Event::ConfigUnconfirmed
        } else {
            Event::ConfigConfirmed
        };
        self.shared.log.write(
            event,
            o!("version" => copy.number(), "offset" => copy.offset(),
                "confirmed_ms_ago" => copy.age(now).map(Span::as_millis),
                "skipped" => copy.skipped, "reads" => self.reads.len()),
        );
    }
}

async fn read_latest(store: &Store, deadline: Instant) -> Result<Records, StoreError> {
    let page = store.read_latest(CONFIGURATION, deadline).await?;
    let row = |item: LatestRecord| (item.offset, item.key, item.value);
    Ok(Records {
        rows: page.items.into_iter().map(row).collect(),
        next: page.end,
        is_complete: true,
        is_empty: false,
    })
}

async fn read_from(
    shared: &Shared,
    store: &Store,
    from: u64,
    wait: Span,
    deadline: Instant,
) -> Result<Records, StoreError> {
    let batch = store
        .read(CONFIGURATION, from, wait.as_millis(), deadline)
        .await?;
    let is_empty = batch.records.is_empty();
    let records = shared.decode_records("configuration", batch.records);
    let row = |(offset, record): (u64, KeyedRecord)| Some((offset, record.key, record.value?));
    Ok(Records {
        rows: records.into_iter().filter_map(row).collect(),
        next: batch.next,
        is_complete: batch.next >= batch.end,
        is_empty,
    })
}

/// Applies a record that was read by a call of the time `sent`, if it holds a newer version.
fn apply(shared: &Shared, sent: Time, (offset, key, value): &Row) {
    let configuration = &shared.configuration;
    let table = match decode_queues(key, value) {
        Ok(Some(table)) => table,
        Ok(None) => return,
        Err(error) => {
            configuration.skip(*offset);
            shared.log.write(
                Event::RecordSkipped,
                o!("partition" => "configuration", "offset" => *offset, "key" => key.to_string(),
                    "error" => error.to_string()),
            );
            return;
        }
    };
    let (number, routes) = (table.version, table.routes.len());
    let now = shared.now();
    let previous = configuration.snapshot();
    let is_newer = configuration.apply(Version {
        table: Arc::new(table),
        offset: *offset,
    });
    if is_newer {
        shared.metrics.config_version.set(number as i64);
        shared.log.write(
            Event::ConfigInForce,
            o!("version" => number, "routes" => routes, "offset" => *offset,
                "read_ms" => now.since(sent).as_millis(),
                "previous" => previous.number(),
                "previous_confirmed_ms_ago" => previous.age(now).map(Span::as_millis)),
        );
    }
}

fn confirm(shared: &Shared, at: Time) {
    if shared.configuration.confirm(at) {
        let age_ms = shared.now().since(at).as_millis();
        let confirmed_ms = shared.wall_time().as_millis().saturating_sub(age_ms);
        let gauge = &shared.metrics.config_confirmed;
        gauge.set(confirmed_ms as f64 / 1_000.0);
    }
}
