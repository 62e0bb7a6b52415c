//! What every part of an instance shares.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use kameo::actor::ActorRef;
use kingcupwinch_adapter::{
    Adviser, Appended, Fence, KeyedRecord, Partition, QueueTable, Settings, Store, WriteError,
};
use kingcupwinch_cell::{Claim, Member};
use kingcupwinch_platform::AdaptiveTimeout;
use kingcupwinch_time::{Clock, DayClock, Span, SuspendClock, Time, WallClock, WallTime};
use slog::o;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::events::{Event, EventLog};
use crate::metrics::Metrics;
use crate::owner::Owner;

/// How long the store may be silent before the instance sends callers elsewhere.
const STORE_PATIENCE: Span = Span::from_millis(1_500);

/// An append that takes so long is told: twenty times what it takes in a store in good order.
const SLOW_APPEND: Duration = Duration::from_millis(200);

/// A call that fails after so long without any answer of the store is told as a loss of it.
const LOST_AFTER: Span = Span::from_millis(500);

/// What every part of an instance shares.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) store: Store,
    /// How long appends take.
    pub(crate) patience: AdaptiveTimeout,
    pub(crate) adviser: Option<Adviser>,
    pub(crate) log: EventLog,
    pub(crate) metrics: Metrics,
    pub(crate) queues: watch::Sender<Option<Arc<QueueTable>>>,
    pub(crate) claim: watch::Sender<Option<Claim>>,
    pub(crate) stopping: watch::Sender<bool>,
    pub(crate) members: watch::Sender<Vec<Member>>,
    /// Told when a request did not reach the owner.
    pub(crate) owner_missed: Notify,
    owner: Mutex<Option<ActorRef<Owner>>>,
    day: Mutex<DayClock>,
    store_heard: AtomicU64,
    store_lost: AtomicBool,
}

impl Shared {
    pub(crate) fn new(settings: Settings, log: EventLog) -> Arc<Self> {
        Arc::new(Shared {
            store: Store::new(settings.store),
            patience: AdaptiveTimeout::new(),
            adviser: settings.adviser.map(Adviser::new),
            settings,
            log,
            metrics: Metrics::new(),
            queues: watch::Sender::new(None),
            claim: watch::Sender::new(None),
            stopping: watch::Sender::new(false),
            members: watch::Sender::new(Vec::new()),
            owner_missed: Notify::new(),
            owner: Mutex::new(None),
            day: Mutex::default(),
            store_heard: AtomicU64::new(0),
            store_lost: AtomicBool::new(false),
        })
    }

    pub(crate) fn now(&self) -> Time {
        SuspendClock.now()
    }

    /// Returns the time of day.
    pub(crate) fn day(&self) -> WallTime {
        let mut day = self.day.lock().unwrap_or_else(PoisonError::into_inner);
        day.observe(self.now(), WallClock.now())
    }

    /// Returns the owner if it is this instance.
    pub(crate) fn owner(&self) -> Option<ActorRef<Owner>> {
        self.owner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn set_owner(&self, owner: Option<ActorRef<Owner>>) {
        *self.owner.lock().unwrap_or_else(PoisonError::into_inner) = owner;
    }

    /// Notes whether the store answered.
    pub(crate) fn note_store(&self, error: Option<&str>) {
        match error {
            None => {
                let now = self.now().as_micros();
                self.store_heard.store(now, Ordering::Relaxed);
                if self.store_lost.swap(false, Ordering::Relaxed) {
                    self.log.write(Event::StoreRegained, o!());
                }
            }
            Some(error) => {
                let heard = Time::from_micros(self.store_heard.load(Ordering::Relaxed));
                let age = self.now().since(heard);
                // A single lost answer between others is no outage.
                if age > LOST_AFTER && !self.store_lost.swap(true, Ordering::Relaxed) {
                    self.log.write(
                        Event::StoreLost,
                        o!("error" => error.to_owned(), "heard_ms_ago" => age.as_millis()),
                    );
                }
            }
        }
    }

    /// Appends, and notes what the append tells of the store; `kind` names it in the metrics.
    pub(crate) async fn append(
        &self,
        kind: &'static str,
        partition: Partition,
        records: &[KeyedRecord],
        fence: Option<Fence>,
        wait: Duration,
    ) -> Result<Appended, WriteError> {
        let begun = Instant::now();
        let result = self
            .store
            .append(partition, records, None, fence, begun + wait)
            .await;
        let took = begun.elapsed();
        let error = result.as_ref().err().map(ToString::to_string);
        self.note_append(partition, records.len(), took, error.as_deref());
        let status = match &result {
            Ok(_) => {
                self.note_store(None);
                self.patience.record_response(took);
                "ok"
            }
            // The store answered; a later owner holds the cell.
            Err(WriteError::Fenced) => return result,
            Err(cause) => {
                if matches!(cause, WriteError::Unknown(_)) {
                    self.patience.record_timeout(took);
                }
                self.note_store(error.as_deref());
                "failed"
            }
        };
        Metrics::count(&self.metrics.store_calls, kind, status);
        result
    }

    /// Notes how long an append of so many records took, and how it ended.
    pub(crate) fn note_append(
        &self,
        partition: Partition,
        records: usize,
        took: Duration,
        error: Option<&str>,
    ) {
        self.metrics.append_time.observe(took.as_secs_f64());
        if took >= SLOW_APPEND {
            self.log.write(
                Event::AppendSlow,
                o!("topic" => partition.topic, "partition" => partition.number,
                    "records" => records, "took_ms" => took.as_millis() as u64,
                    "error" => error.map(ToOwned::to_owned)),
            );
        }
    }

    /// Reads the records of a partition that this instance calls `partition` in its log; those that
    /// can't be read are skipped and told.
    pub(crate) fn decode_records(
        &self,
        partition: &'static str,
        records: Vec<(u64, Bytes)>,
    ) -> Vec<(u64, KeyedRecord)> {
        let mut decoded = Vec::with_capacity(records.len());
        for (offset, bytes) in records {
            match KeyedRecord::decode(bytes) {
                Some(record) => decoded.push((offset, record)),
                None => self.log.write(
                    Event::RecordSkipped,
                    o!("partition" => partition, "offset" => offset, "error" => "no key"),
                ),
            }
        }
        decoded
    }

    /// Returns whether the store answers this instance, as far as it knows.
    pub(crate) fn has_store(&self) -> bool {
        !self.store_lost.load(Ordering::Relaxed)
    }

    /// Returns whether callers are best served here.
    pub(crate) fn is_ready(&self) -> bool {
        let heard = Time::from_micros(self.store_heard.load(Ordering::Relaxed));
        !*self.stopping.borrow()
            && self.has_store()
            && self.queues.borrow().is_some()
            && self.now().since(heard) < STORE_PATIENCE
    }

    /// Returns when the instance is asked to stop.
    pub(crate) async fn stop_asked(&self) {
        // The sender lives as long as this value, so the wait ends only by the value.
        let _ = self
            .stopping
            .subscribe()
            .wait_for(|stopping| *stopping)
            .await;
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }
}
