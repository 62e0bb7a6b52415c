//! Faults that can be injected into every stand-in server.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use kingcupwinch_time::Span;
use tokio::sync::watch;

/// How a server responds to requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Availability {
    /// The server handles requests.
    #[default]
    Up,
    /// The server responds to each request with status 503 and does nothing.
    Unavailable,
    /// The server accepts requests without responding, as across a network partition.
    Unresponsive,
}

/// The injected faults of one server.
#[derive(Debug)]
pub(crate) struct ServerFaults {
    availability: watch::Sender<Availability>,
    delay_micros: AtomicU64,
    dropped_responses: AtomicU32,
}

impl ServerFaults {
    pub(crate) fn new() -> Self {
        ServerFaults {
            availability: watch::Sender::new(Availability::Up),
            delay_micros: AtomicU64::new(0),
            dropped_responses: AtomicU32::new(0),
        }
    }

    pub(crate) fn set_availability(&self, availability: Availability) {
        self.availability.send_replace(availability);
    }

    pub(crate) fn availability(&self) -> Availability {
        *self.availability.borrow()
    }

    pub(crate) fn watch_availability(&self) -> watch::Receiver<Availability> {
        self.availability.subscribe()
    }

    pub(crate) fn set_delay(&self, delay: Span) {
        let micros = delay.as_micros();
        self.delay_micros.store(micros, Ordering::SeqCst);
    }

    pub(crate) fn drop_responses(&self, count: u32) {
        self.dropped_responses.store(count, Ordering::SeqCst);
    }

    /// Returns whether the next response is to be dropped, and counts it.
    pub(crate) fn take_dropped_response(&self) -> bool {
        let take = |n: u32| n.checked_sub(1);
        self.dropped_responses
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
            .is_ok()
    }

    /// Waits for the configured delay and while the server is unresponsive; returns whether the
    /// server is up afterwards.
    pub(crate) async fn admit(&self) -> bool {
        let micros = self.delay_micros.load(Ordering::SeqCst);
        if micros > 0 {
            tokio::time::sleep(Duration::from_micros(micros)).await;
        }
        let mut availability = self.availability.subscribe();
        let reached = availability
            .wait_for(|r| *r != Availability::Unresponsive)
            .await;
        reached.is_ok_and(|r| *r == Availability::Up)
    }
}
