//! The life cycle of an incarnation: joining, serving, draining, leaving, stopped.
//!
//! Each step consumes the state before it, so no incarnation goes back.

use kingcupwinch_time::Time;

/// Reads the log and asks to join; owns nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Joining;

/// A member that may own shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Serving {
    pub(crate) joined: Time,
}

/// A member that gives its shards to heirs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Draining;

/// A member whose leave has been appended; it dispatches nothing, whatever it may yet be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Leaving;

/// No longer a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Stopped;

impl Joining {
    pub(crate) fn joined(self, now: Time) -> Serving {
        Serving { joined: now }
    }

    pub(crate) fn abort(self) -> Stopped {
        Stopped
    }
}

impl Serving {
    pub(crate) fn drain(self) -> Draining {
        Draining
    }

    pub(crate) fn retire(self) -> Stopped {
        Stopped
    }
}

impl Draining {
    pub(crate) fn leave(self) -> Leaving {
        Leaving
    }

    pub(crate) fn retire(self) -> Stopped {
        Stopped
    }
}

impl Leaving {
    pub(crate) fn left(self) -> Stopped {
        Stopped
    }
}

/// The state of an incarnation's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lifecycle {
    Joining(Joining),
    Serving(Serving),
    Draining(Draining),
    Leaving(Leaving),
    Stopped(Stopped),
}

/// The phase of an incarnation's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It reads the log and asks to join.
    Joining,
    /// It is a member and may own shards.
    Serving,
    /// It gives its shards to heirs, then leaves.
    Draining,
    /// It is no longer a member.
    Stopped,
}

impl Lifecycle {
    pub(crate) fn phase(self) -> Phase {
        match self {
            Lifecycle::Joining(_) => Phase::Joining,
            Lifecycle::Serving(_) => Phase::Serving,
            Lifecycle::Draining(_) | Lifecycle::Leaving(_) => Phase::Draining,
            Lifecycle::Stopped(_) => Phase::Stopped,
        }
    }

    /// Its own join was read back.
    pub(crate) fn joined(self, now: Time) -> Lifecycle {
        match self {
            Lifecycle::Joining(joining) => Lifecycle::Serving(joining.joined(now)),
            other => other,
        }
    }

    /// A planned stop begins.
    pub(crate) fn drain(self) -> Lifecycle {
        match self {
            Lifecycle::Joining(joining) => Lifecycle::Stopped(joining.abort()),
            Lifecycle::Serving(serving) => Lifecycle::Draining(serving.drain()),
            other => other,
        }
    }

    /// Its leave is about to be appended.
    pub(crate) fn leave(self) -> Lifecycle {
        match self {
            Lifecycle::Draining(draining) => Lifecycle::Leaving(draining.leave()),
            other => other,
        }
    }

    /// Its own leave, or its retirement, was read.
    pub(crate) fn ended(self) -> Lifecycle {
        match self {
            Lifecycle::Joining(joining) => Lifecycle::Stopped(joining.abort()),
            Lifecycle::Serving(serving) => Lifecycle::Stopped(serving.retire()),
            Lifecycle::Draining(draining) => Lifecycle::Stopped(draining.retire()),
            Lifecycle::Leaving(leaving) => Lifecycle::Stopped(leaving.left()),
            Lifecycle::Stopped(stopped) => Lifecycle::Stopped(stopped),
        }
    }

    /// Returns whether it may dispatch to shards that it owns.
    pub(crate) fn may_dispatch(self) -> bool {
        matches!(self, Lifecycle::Serving(_) | Lifecycle::Draining(_))
    }
}
