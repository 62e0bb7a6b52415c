//! Fences the later process of a worker from orders for its former process.
//!
//! An order without a response may still be carried out, seconds later, also by a later process under the
//! same id. A worker carries out no order with a lower fencing token than the highest that it has seen. So
//! the orders to a later process get a higher token than all those before: from its first response to such a
//! poll on, no order for the former process reaches it.

/// How far a process is fenced from orders for an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum FenceState {
    /// It carries out none of them.
    #[default]
    Closed,
    /// It may carry out some, and no token is higher than theirs yet.
    Open,
    /// Its orders have a higher token, but no poll does yet.
    Raised,
    /// A poll with the higher token was sent.
    Polled,
}

/// The fencing token of the orders to a worker.
#[derive(Debug, Default)]
pub(crate) struct OrderFence {
    state: FenceState,
    /// The token, unless it is the owner's term.
    token: Option<u64>,
}

impl OrderFence {
    /// Returns the token of the orders, or `None` for the owner's term.
    pub(crate) fn token(&self) -> Option<u64> {
        self.token
    }

    /// Returns whether the process may still carry out orders for an earlier one.
    pub(crate) fn is_open(&self) -> bool {
        self.state != FenceState::Closed
    }

    /// Records that a later process has responded, to which orders of this owner for the former one may be
    /// on their way. `newest` is the highest token that this owner may use, if it is above its term.
    pub(crate) fn open(&mut self, newest: Option<u64>) {
        self.state = FenceState::Open;
        self.raise(newest);
    }

    /// Raises the token if that is due and possible.
    fn raise(&mut self, newest: Option<u64>) {
        if self.state == FenceState::Open && newest > self.token {
            self.token = newest;
            self.state = FenceState::Raised;
        }
    }

    /// Records that a poll is sent.
    pub(crate) fn note_poll(&mut self, newest: Option<u64>) {
        self.raise(newest);
        if self.state == FenceState::Raised {
            self.state = FenceState::Polled;
        }
    }

    /// Records a response to the last poll. Returns whether it closes the fence.
    pub(crate) fn note_response(&mut self) -> bool {
        let closes = self.state == FenceState::Polled;
        if closes {
            self.state = FenceState::Closed;
        }
        closes
    }
}
