//! The life cycle of an incarnation: joining, serving, draining, leaving, stopped.
//!
//! Every transition consumes the previous state, so an incarnation never returns to one.

use kingcupwinch_time::Time;

/// Reads the log and appends a join record; owns no shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Joining;

/// A member that may own shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Serving {
    pub(crate) joined: Time,
}

/// A member that hands over its shards before a planned shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Draining;

/// A member whose leave record has been appended. It dispatches nothing, even if a shard is still
/// handed over to it.
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

/// The life-cycle state of an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lifecycle {
    Joining(Joining),
    Serving(Serving),
    Draining(Draining),
    Leaving(Leaving),
    Stopped(Stopped),
}

/// The life-cycle phase of an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The incarnation reads the log and waits for its join record.
    Joining,
    /// The incarnation is a member and may own shards.
    Serving,
    /// The incarnation hands over its shards and then leaves.
    Draining,
    /// The incarnation is no longer a member.
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

    /// Returns the state after the join record of this incarnation was read back.
    pub(crate) fn joined(self, now: Time) -> Lifecycle {
        match self {
            Lifecycle::Joining(joining) => Lifecycle::Serving(joining.joined(now)),
            other => other,
        }
    }

    /// Returns the state after a planned shutdown has begun.
    pub(crate) fn drain(self) -> Lifecycle {
        match self {
            Lifecycle::Joining(joining) => Lifecycle::Stopped(joining.abort()),
            Lifecycle::Serving(serving) => Lifecycle::Draining(serving.drain()),
            other => other,
        }
    }

    /// Returns the state in which the leave record is appended.
    pub(crate) fn leave(self) -> Lifecycle {
        match self {
            Lifecycle::Draining(draining) => Lifecycle::Leaving(draining.leave()),
            other => other,
        }
    }

    /// Returns the state after the leave or retirement of this incarnation was read.
    pub(crate) fn ended(self) -> Lifecycle {
        match self {
            Lifecycle::Joining(joining) => Lifecycle::Stopped(joining.abort()),
            Lifecycle::Serving(serving) => Lifecycle::Stopped(serving.retire()),
            Lifecycle::Draining(draining) => Lifecycle::Stopped(draining.retire()),
            Lifecycle::Leaving(leaving) => Lifecycle::Stopped(leaving.left()),
            Lifecycle::Stopped(stopped) => Lifecycle::Stopped(stopped),
        }
    }

    /// Returns whether the incarnation may dispatch to the shards that it owns.
    pub(crate) fn may_dispatch(self) -> bool {
        matches!(self, Lifecycle::Serving(_) | Lifecycle::Draining(_))
    }
}
