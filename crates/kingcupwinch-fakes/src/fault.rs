//! Faults that every stand-in can be given.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use kingcupwinch_time::Span;
use tokio::sync::watch;

/// How a server meets requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Reach {
    /// It answers.
    #[default]
    Up,
    /// It answers each request with 503 and does nothing.
    Out,
    /// It takes requests and stays silent, as across a cut network.
    Silent,
}

/// The faults of one server.
#[derive(Debug)]
pub(crate) struct Faults {
    reach: watch::Sender<Reach>,
    delay_micros: AtomicU64,
    lost_answers: AtomicU32,
}

impl Faults {
    pub(crate) fn new() -> Self {
        Faults {
            reach: watch::Sender::new(Reach::Up),
            delay_micros: AtomicU64::new(0),
            lost_answers: AtomicU32::new(0),
        }
    }

    pub(crate) fn set_reach(&self, reach: Reach) {
        self.reach.send_replace(reach);
    }

    pub(crate) fn reach(&self) -> Reach {
        *self.reach.borrow()
    }

    pub(crate) fn watch_reach(&self) -> watch::Receiver<Reach> {
        self.reach.subscribe()
    }

    pub(crate) fn set_delay(&self, delay: Span) {
        let micros = delay.as_micros();
        self.delay_micros.store(micros, Ordering::SeqCst);
    }

    pub(crate) fn lose_answers(&self, count: u32) {
        self.lost_answers.store(count, Ordering::SeqCst);
    }

    /// Takes one of the answers that are to be lost.
    pub(crate) fn take_lost_answer(&self) -> bool {
        let take = |n: u32| n.checked_sub(1);
        self.lost_answers
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
            .is_ok()
    }

    /// Waits while the server is silent and for its delay; returns whether it is up then.
    pub(crate) async fn admit(&self) -> bool {
        let micros = self.delay_micros.load(Ordering::SeqCst);
        if micros > 0 {
            tokio::time::sleep(Duration::from_micros(micros)).await;
        }
        let mut reach = self.reach.subscribe();
        let heard = reach.wait_for(|r| *r != Reach::Silent).await;
        heard.is_ok_and(|r| *r == Reach::Up)
    }
}
