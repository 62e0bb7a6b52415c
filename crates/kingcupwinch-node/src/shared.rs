//! State shared by all parts of an instance.

use std::hash::BuildHasher;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use kameo::actor::ActorRef;
use kingcupwinch_adapter::{
    Adviser, Appended, DEFAULT_MEMORY_BYTES, EntryError, Fence, KeyedRecord, Partition, Retry,
    Settings, Store, WriteError,
};
use kingcupwinch_cell::{Claim, Disabled, Member};
use kingcupwinch_platform::{AdaptiveTimeout, Traffic};
use kingcupwinch_time::{BoottimeClock, Clock, Span, StableWallClock, Time, WallClock, WallTime};
use rustc_hash::{FxBuildHasher, FxHashSet};
use slog::o;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::configuration::Configuration;
use crate::events::{Event, EventLog, abbreviated};
use crate::forecast::Forecasts;
use crate::metrics::Metrics;
use crate::owner::Owner;
use crate::relay::Payloads;
use crate::room::{Room, accepted_limit, smallest_memory};

/// Time without a response of the store after which the instance reports itself not ready.
const STORE_READY_TIMEOUT: Span = Span::from_millis(1_500);

/// Appends that take at least this long are logged: twenty times the duration in a healthy store.
const SLOW_APPEND: Duration = Duration::from_millis(200);

/// A failed call is logged as a loss of the store if the store last responded longer ago than this.
const STORE_LOST_DELAY: Span = Span::from_millis(500);

/// Maximum number of odd entries that are remembered, so that each is logged once.
const MAX_ODD_ENTRIES: usize = 4_096;

/// State shared by all parts of an instance.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    /// The mechanisms that the owner does not use.
    pub(crate) disabled: Disabled,
    /// Bytes on all connections, by purpose.
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) store: Store,
    /// Timeouts and hedging delays derived from recent append latencies.
    pub(crate) append_timeout: AdaptiveTimeout,
    pub(crate) adviser: Option<Adviser>,
    pub(crate) log: EventLog,
    pub(crate) metrics: Metrics,
    pub(crate) configuration: Configuration,
    pub(crate) forecasts: Forecasts,
    pub(crate) room: Room,
    pub(crate) claim: watch::Sender<Option<Claim>>,
    pub(crate) stopping: watch::Sender<bool>,
    pub(crate) members: watch::Sender<Vec<Member>>,
    /// Notified when a request could not reach the owner.
    pub(crate) owner_unreachable: Notify,
    owner: Mutex<Option<ActorRef<Owner>>>,
    payloads: Mutex<Payloads>,
    wall_time: Mutex<StableWallClock>,
    /// Hashes of the entries of the directory that were logged as odd.
    odd_entries: Mutex<FxHashSet<u64>>,
    store_responded_at: AtomicU64,
    store_lost: AtomicBool,
}

impl Shared {
    pub(crate) fn new(settings: Settings, disabled: Disabled, log: EventLog) -> Arc<Self> {
        let traffic = Arc::<Traffic>::default();
        let adviser = |address| Adviser::new(address, &traffic);
        Arc::new(Shared {
            store: Store::new(settings.store).with_traffic(Arc::clone(&traffic)),
            append_timeout: AdaptiveTimeout::new(),
            adviser: settings.adviser.map(adviser),
            traffic,
            disabled,
            log,
            metrics: Metrics::new(),
            configuration: Configuration::new(settings.config_bound),
            forecasts: Forecasts::default(),
            room: Room::default(),
            claim: watch::Sender::new(None),
            stopping: watch::Sender::new(false),
            members: watch::Sender::new(Vec::new()),
            owner_unreachable: Notify::new(),
            owner: Mutex::new(None),
            payloads: Mutex::new(Payloads::new(settings.memory_bytes())),
            wall_time: Mutex::default(),
            odd_entries: Mutex::default(),
            store_responded_at: AtomicU64::new(0),
            store_lost: AtomicBool::new(false),
            settings,
        })
    }

    pub(crate) fn now(&self) -> Time {
        BoottimeClock.now()
    }

    /// Returns the wall-clock time, corrected for clock jumps.
    pub(crate) fn wall_time(&self) -> WallTime {
        let mut wall_time = self
            .wall_time
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        wall_time.observe(self.now(), WallClock.now())
    }

    /// Returns the owner actor if this instance is the owner.
    pub(crate) fn owner(&self) -> Option<ActorRef<Owner>> {
        self.owner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the payloads of the jobs that this instance accepted last.
    pub(crate) fn payloads(&self) -> MutexGuard<'_, Payloads> {
        self.payloads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_owner(&self, owner: Option<ActorRef<Owner>>) {
        if owner.is_none() {
            self.room.retire();
        }
        *self.owner.lock().unwrap_or_else(PoisonError::into_inner) = owner;
    }

    /// Returns the bound of what is accepted, in bytes: by the memory of the smallest member, since each
    /// may own the cell next.
    pub(crate) fn accepted_limit(&self) -> u64 {
        let own = Some(self.settings.memory_bytes());
        let members = self.members.borrow();
        let known = members.iter().map(|member| member.memory_bytes);
        let all = known.chain([own]);
        accepted_limit(smallest_memory(all, DEFAULT_MEMORY_BYTES))
    }

    /// Records whether the store responded, and logs when it is lost or reachable again.
    pub(crate) fn record_store_result(&self, error: Option<&str>) {
        match error {
            None => {
                let now = self.now().as_micros();
                self.store_responded_at.store(now, Ordering::Relaxed);
                if self.store_lost.swap(false, Ordering::Relaxed) {
                    self.log.write(Event::StoreRecovered, o!());
                }
            }
            Some(error) => {
                let last_response =
                    Time::from_micros(self.store_responded_at.load(Ordering::Relaxed));
                let age = self.now().since(last_response);
                // A single lost response between others is no outage.
                if age > STORE_LOST_DELAY && !self.store_lost.swap(true, Ordering::Relaxed) {
                    self.log.write(
                        Event::StoreLost,
                        o!("error" => error.to_owned(), "heard_ms_ago" => age.as_millis()),
                    );
                }
            }
        }
    }

    /// Appends records and updates the store's status, the append timeout and the metrics, where
    /// `kind` is the label of the call.
    ///
    /// # Errors
    ///
    /// Returns the error of [`Store::append`].
    pub(crate) async fn append(
        &self,
        kind: &'static str,
        partition: Partition,
        records: &[KeyedRecord],
        fence: Option<Fence>,
        wait: Duration,
    ) -> Result<Appended, WriteError> {
        let started = Instant::now();
        let result = self
            .store
            .append(partition, records, None, fence, started + wait)
            .await;
        let took = started.elapsed();
        let error = result.as_ref().err().map(ToString::to_string);
        self.record_append(partition, records.len(), took, error.as_deref());
        let status = match &result {
            Ok(_) => {
                self.record_store_result(None);
                self.append_timeout.record_response(took);
                "ok"
            }
            // The store responded; a later owner holds the cell.
            Err(WriteError::Fenced) => return result,
            Err(cause) if cause.retry() == Retry::Permanent => {
                self.record_store_result(None);
                "rejected"
            }
            Err(cause) => {
                if matches!(cause, WriteError::Unknown(_)) {
                    self.append_timeout.record_timeout(took);
                }
                self.record_store_result(error.as_deref());
                "failed"
            }
        };
        Metrics::count(&self.metrics.store_calls, kind, status);
        result
    }

    /// Records the duration of an append, and logs it if it was slow.
    pub(crate) fn record_append(
        &self,
        partition: Partition,
        records: usize,
        took: Duration,
        error: Option<&str>,
    ) {
        self.metrics.append_time.observe(took.as_secs_f64());
        if took >= SLOW_APPEND {
            self.log.write(
                Event::SlowAppend,
                o!("topic" => partition.topic, "partition" => partition.number,
                    "records" => records, "took_ms" => took.as_millis() as u64,
                    "error" => error.map(ToOwned::to_owned)),
            );
        }
    }

    /// Counts an entry of the directory that names no worker, and logs it once for each content.
    pub(crate) fn note_odd_entry(&self, id: &str, value: &[u8], error: &EntryError) {
        let hash = FxBuildHasher.hash_one((id, value));
        let mut known = self
            .odd_entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if known.contains(&hash) {
            return;
        }
        if known.len() >= MAX_ODD_ENTRIES {
            known.clear();
        }
        known.insert(hash);
        Metrics::count_end(&self.metrics.odd_inputs, "directory_entry");
        self.log.write(
            Event::EntryIgnored,
            o!("worker" => abbreviated(id), "error" => error.to_string()),
        );
    }

    /// Decodes keyed records, and skips and logs those without a valid key. `partition` names the
    /// partition in the log event.
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

    /// Returns whether the store is reachable from this instance, as far as is known.
    pub(crate) fn is_store_available(&self) -> bool {
        !self.store_lost.load(Ordering::Relaxed)
    }

    /// Returns whether the load balancer should send callers to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        let last_response = Time::from_micros(self.store_responded_at.load(Ordering::Relaxed));
        !*self.stopping.borrow()
            && self.is_store_available()
            && self.configuration.is_loaded()
            && self.now().since(last_response) < STORE_READY_TIMEOUT
    }

    /// Waits until a stop is requested.
    pub(crate) async fn stop_requested(&self) {
        // `self` owns the sender, so the wait can't end by closing the channel.
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
