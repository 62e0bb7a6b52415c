//! State of one connection that its stream, its requests and its listener share.

use std::future::poll_fn;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use tokio::time::Instant;

use super::listener::Listener;
use super::progress::{Phase, Progress, Rank, Reason};

/// An open connection.
pub(crate) struct Connection {
    id: u64,
    pub(crate) listener: Arc<Listener>,
    state: Mutex<State>,
    /// Whether its body has charged the budget.
    has_charge: AtomicBool,
}

struct State {
    progress: Progress,
    /// Why the connection or its request is to end.
    displaced: Option<Reason>,
    /// Whether the peer does not take what is written.
    is_blocked: bool,
    /// Wakes the connection's task.
    waker: Option<Waker>,
}

impl Connection {
    /// Creates the state of a connection that was just opened.
    pub(crate) fn new(id: u64, listener: Arc<Listener>) -> Self {
        let progress = Progress::new(Instant::now(), &listener.timeouts());
        Connection {
            id,
            listener,
            state: Mutex::new(State {
                progress,
                displaced: None,
                is_blocked: false,
                waker: None,
            }),
            has_charge: AtomicBool::new(false),
        }
    }

    /// Returns what the connection is doing.
    pub(crate) fn phase(&self) -> Phase {
        self.lock().progress.phase()
    }

    /// Returns its place among the connections that are closed for others.
    pub(crate) fn rank(&self, now: Instant) -> Option<Rank> {
        let state = self.lock();
        match state.displaced {
            Some(_) => None,
            None => state.progress.rank(now),
        }
    }

    /// Returns whether it has not been served so far, and no request of it is being handled.
    pub(crate) fn is_unproven(&self) -> bool {
        self.lock().progress.is_unproven()
    }

    /// Returns whether its body has charged the budget.
    pub(crate) fn has_charge(&self) -> bool {
        self.has_charge.load(Ordering::Relaxed)
    }

    /// Notes whether its body has charged the budget.
    pub(crate) fn set_charge(&self, has_charge: bool) {
        self.has_charge.store(has_charge, Ordering::Relaxed);
    }

    /// Ends the connection, or the request whose body is being read.
    pub(crate) fn displace(&self, reason: Reason) {
        let mut state = self.lock();
        state.displaced = Some(reason);
        wake(&mut state);
    }

    /// Returns whether the connection, or its request, is to end for this reason.
    pub(crate) fn is_displaced(&self, reason: Reason) -> bool {
        self.lock().displaced == Some(reason)
    }

    /// Waits until the body must not be read any further.
    pub(crate) async fn displaced(&self) -> Reason {
        poll_fn(|cx| {
            let mut state = self.lock();
            match state.displaced {
                Some(reason) => Poll::Ready(reason),
                None => {
                    state.waker = Some(cx.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }

    /// Records that the request is being handled, which nothing interrupts any more; returns what the
    /// connection was doing.
    pub(crate) fn begin_request(&self) -> Phase {
        let mut state = self.lock();
        let previous = state.progress.phase();
        state.displaced = None;
        state.progress.on_request(Instant::now());
        previous
    }

    /// Returns whether the connection has to be closed after the response.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.lock().progress.is_exhausted()
    }

    /// Changes the progress at the current time.
    pub(crate) fn advance(&self, change: impl FnOnce(&mut Progress, Instant)) {
        change(&mut self.lock().progress, Instant::now());
    }

    /// Returns the deadline of the connection.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.lock().progress.deadline()
    }

    /// Returns why the connection has to be closed now; remembers the task to wake otherwise.
    pub(crate) fn poll_end(&self, cx: &Context<'_>) -> Poll<Reason> {
        let mut state = self.lock();
        let reason = state.displaced.or(state.progress.overdue(Instant::now()));
        if let Some(reason) = reason {
            return Poll::Ready(reason);
        }
        state.waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Notes whether the peer takes what is written.
    pub(crate) fn set_blocked(&self, is_blocked: bool) {
        let mut state = self.lock();
        if state.is_blocked && !is_blocked {
            wake(&mut state);
        }
        state.is_blocked = is_blocked;
    }

    /// Waits until the peer takes what is written. Otherwise responses to pipelined requests would
    /// pile up in hyper's buffer, which bounds only those with a body.
    pub(crate) fn poll_writable(&self, cx: &Context<'_>) -> Poll<()> {
        let mut state = self.lock();
        if state.is_blocked {
            state.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes the connection from its listener when dropped.
pub(crate) struct OpenConnection(pub(crate) Arc<Connection>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.listener.close(self.0.id);
    }
}

fn wake(state: &mut State) {
    if let Some(waker) = state.waker.take() {
        waker.wake();
    }
}
