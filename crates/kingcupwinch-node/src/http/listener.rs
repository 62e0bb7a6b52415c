//! Open connections of one listener, and what it closed or refused.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kingcupwinch_adapter::ClientLimits;
use rustc_hash::FxHashMap;
use slog::o;
use tokio::time::Instant;

use super::budget::Budget;
use super::connection::Connection;
use super::limits::{Capacity, Timeouts};
use super::progress::{Phase, Rank, Reason};
use crate::events::Event;
use crate::metrics::Metrics;
use crate::shared::Shared;

/// Purpose of the listener to which the limits of the configuration apply.
pub(crate) const CALLERS: &str = "callers";
/// Purpose of the listener for siblings.
pub(crate) const SIBLINGS: &str = "siblings";

/// Interval at which closed connections and refused requests are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A listener with its open connections.
pub(crate) struct Listener {
    /// What it serves; a label of metrics and log events.
    purpose: &'static str,
    pub(crate) shared: Arc<Shared>,
    pub(crate) capacity: Capacity,
    pub(crate) budget: Arc<Budget>,
    connections: Mutex<FxHashMap<u64, Arc<Connection>>>,
    next_id: AtomicU64,
    /// Whether a new connection waits for a place.
    is_waiting: AtomicBool,
    counts: Mutex<BTreeMap<Reason, u64>>,
}

impl Listener {
    /// Creates a listener with the limits of the settings, and reports once a second what it closed or
    /// refused.
    pub(crate) fn start(purpose: &'static str, shared: Arc<Shared>) -> Arc<Self> {
        let capacity = match purpose {
            CALLERS => Capacity::new(&shared.settings),
            SIBLINGS => Capacity::internal(&shared.settings),
            _ => Capacity::reduced(&shared.settings),
        };
        let listener = Arc::new(Listener {
            purpose,
            capacity,
            budget: Budget::new(capacity.body_bytes),
            shared,
            connections: Mutex::default(),
            next_id: AtomicU64::new(0),
            is_waiting: AtomicBool::new(false),
            counts: Mutex::default(),
        });
        listener.shared.log.write(
            Event::ListenerLimits,
            o!("listener" => purpose, "connection_limit" => capacity.connections,
                "body_limit" => capacity.body_bytes),
        );
        let weak = Arc::downgrade(&listener);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(REPORT_INTERVAL).await;
                let Some(listener) = weak.upgrade() else {
                    return;
                };
                listener.report();
            }
        });
        listener
    }

    /// Returns the maximum size of a header section, in bytes.
    pub(crate) fn max_header_bytes(&self) -> usize {
        self.client_limits().max_header_bytes
    }

    /// Returns the timeouts of a connection.
    pub(crate) fn timeouts(&self) -> Timeouts {
        match self.purpose {
            CALLERS => Timeouts::new(&self.client_limits()),
            _ => Timeouts::internal(),
        }
    }

    /// Returns the limits of the configuration in force.
    fn client_limits(&self) -> ClientLimits {
        let version = self.shared.configuration.snapshot().version;
        version.map_or_else(ClientLimits::default, |version| version.table.client_limits)
    }

    /// Adds a connection that was just opened.
    pub(crate) fn open(self: &Arc<Self>) -> Arc<Connection> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection::new(id, Arc::clone(self)));
        self.lock().insert(id, Arc::clone(&connection));
        connection
    }

    /// Removes a connection that has ended.
    pub(crate) fn close(&self, id: u64) {
        self.lock().remove(&id);
    }

    /// Closes the connection that has made the least progress for longest, to make room for another;
    /// returns whether there is one. An unused connection of a caller that has been served stays open
    /// while it is a crowd that takes the places.
    pub(crate) fn displace_connection(&self) -> bool {
        let is_crowded = self.is_crowded();
        self.displace(Reason::Displaced, |_, rank| {
            !(is_crowded && matches!(rank, Rank::Idle(_)))
        })
    }

    /// Returns whether more than half of the places are taken by connections that were not served so far,
    /// and that will stall or be served soon.
    fn is_crowded(&self) -> bool {
        let connections = self.lock();
        let unproven = connections.values().filter(|one| one.is_unproven());
        2 * unproven.count() > self.capacity.connections
    }

    /// Notes that a new connection waits for a place although none can be closed for it.
    pub(crate) fn note_waiting(&self) {
        let is_waiting = !self.is_crowded();
        self.is_waiting.store(is_waiting, Ordering::Relaxed);
    }

    /// Notes that no connection waits for a place.
    pub(crate) fn clear_waiting(&self) {
        self.is_waiting.store(false, Ordering::Relaxed);
    }

    /// Returns whether the connection of a response has to be closed after it, for one connection each
    /// time that one waits.
    pub(crate) fn take_waiting(&self) -> bool {
        let is_waiting = self.is_waiting.swap(false, Ordering::Relaxed);
        if is_waiting {
            self.count(Reason::Displaced);
        }
        is_waiting
    }

    /// Ends the request whose body occupies memory and has made no progress for longest; returns whether
    /// there is one.
    pub(crate) fn displace_body(&self) -> bool {
        self.displace(Reason::BodyMemory, |connection, _| {
            connection.phase() == Phase::Body && connection.has_charge()
        })
    }

    fn displace(&self, reason: Reason, is_eligible: impl Fn(&Connection, Rank) -> bool) -> bool {
        let now = Instant::now();
        let victim = {
            let connections = self.lock();
            let ranked = connections.values().filter_map(|connection| {
                let rank = connection.rank(now)?;
                is_eligible(connection, rank).then_some((rank, connection))
            });
            let victim = ranked.min_by_key(|(rank, _)| *rank);
            victim.map(|(_, connection)| Arc::clone(connection))
        };
        match victim {
            Some(victim) => {
                self.count(reason);
                victim.displace(reason);
                true
            }
            None => false,
        }
    }

    /// Counts a connection that was closed, unless it was counted when it was chosen for that.
    pub(crate) fn note_end(&self, reason: Reason) {
        if !matches!(reason, Reason::Displaced | Reason::BodyMemory) {
            self.count(reason);
        }
    }

    /// Counts a closed connection or a refused request.
    pub(crate) fn count(&self, reason: Reason) {
        let metrics = &self.shared.metrics;
        Metrics::count(&metrics.client_limits, self.purpose, reason.as_str());
        // Closing unused connections is no sign of trouble, and a refused request was counted before.
        if !matches!(reason, Reason::Idle | Reason::Refused) {
            *self.lock_counts().entry(reason).or_default() += 1;
        }
    }

    /// Logs what was closed or refused since the last report.
    fn report(&self) {
        let counts = std::mem::take(&mut *self.lock_counts());
        if counts.is_empty() {
            return;
        }
        let of = |reason| counts.get(&reason).copied().unwrap_or(0);
        self.shared.log.write(
            Event::ClientsLimited,
            o!("listener" => self.purpose, "connections" => self.lock().len(),
                "connection_limit" => self.capacity.connections,
                "body_bytes" => self.budget.used(), "body_limit" => self.capacity.body_bytes,
                "slow_header" => of(Reason::SlowHeader), "slow_body" => of(Reason::SlowBody),
                "unread_response" => of(Reason::UnreadResponse),
                "displaced" => of(Reason::Displaced), "body_memory" => of(Reason::BodyMemory),
                "pipelined" => of(Reason::Pipelined)),
        );
    }

    fn lock(&self) -> MutexGuard<'_, FxHashMap<u64, Arc<Connection>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_counts(&self) -> MutexGuard<'_, BTreeMap<Reason, u64>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
