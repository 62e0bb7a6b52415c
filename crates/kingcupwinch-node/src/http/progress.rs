//! Progress of one connection: what it waits for, until when, and whether it may be closed for another.

use std::time::Duration;

use tokio::time::Instant;

use super::limits::Timeouts;

/// Bytes of a body that count as progress: a peer that sends less than this within a stall timeout
/// keeps memory occupied for too long.
const MIN_PROGRESS: u64 = 4 << 10;
/// Time without progress after which a connection that sent no whole header section is closed for
/// another one: a header section of 16 KiB takes 70 ms at 2 Mbit/s.
const HEADER_STALL: Duration = Duration::from_millis(500);
/// The same for a connection with a body or a response that makes no progress: 4 KiB take 16 ms at
/// 2 Mbit/s, and a lost packet is sent again within a second.
const TRANSFER_STALL: Duration = Duration::from_millis(1_000);

/// Number of pipelined requests after which a connection is closed: callers wait for each response, and
/// 620 clients with 1,000 requests each kept an instance busy for over a minute.
const MAX_PIPELINED: u32 = 100;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Nothing arrived since it was opened.
    New,
    /// All requests so far are responded to.
    Idle,
    /// A part of a header section arrived.
    Header,
    /// A header section and a part of the body arrived.
    Body,
    /// The request is being handled.
    Handling,
    /// The response is being written.
    Writing,
    /// The response to a refused request is written, and what its peer still sends is dropped.
    Closing,
}

/// Why a connection is closed or a request refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Reason {
    /// No request for too long.
    Idle,
    /// A header section took too long.
    SlowHeader,
    /// A body took too long.
    SlowBody,
    /// A response was not read.
    UnreadResponse,
    /// The place was needed for another connection.
    Displaced,
    /// The bodies' memory is in use.
    BodyMemory,
    /// Too many requests arrived together with others.
    Pipelined,
    /// What was left of a refused request has been dropped for long enough.
    Refused,
}

impl Reason {
    /// Returns the name of the reason in metrics and log events.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Reason::Idle => "idle",
            Reason::SlowHeader => "slow_header",
            Reason::SlowBody => "slow_body",
            Reason::UnreadResponse => "unread_response",
            Reason::Displaced => "displaced",
            Reason::BodyMemory => "body_memory",
            Reason::Pipelined => "pipelined",
            Reason::Refused => "refused",
        }
    }
}

/// Phase of a connection with its deadline and its last progress.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    phase: Phase,
    /// Time of the last progress.
    moved_at: Instant,
    /// Time at which the connection is closed; none while its request is handled.
    deadline: Option<Instant>,
    /// Time until which the whole body has to be there.
    body_until: Instant,
    /// Bytes of the body since the last progress.
    unmoved: u64,
    /// Number of requests that arrived together with the one before.
    pipelined: u32,
    /// Whether a response to a request that was not refused has been written.
    is_served: bool,
    /// Whether the body of the request was refused.
    is_refused: bool,
}

/// Place of a connection in the order in which connections are closed for others, the first one first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// What it sends is dropped anyway.
    Refused(Instant),
    /// It has made no progress since this time.
    Stalled(Instant),
    /// It has been unused since this time.
    Idle(Instant),
}

impl Progress {
    /// Creates the progress of a connection that was opened at `now`.
    pub(crate) fn new(now: Instant, timeouts: &Timeouts) -> Self {
        Progress {
            phase: Phase::New,
            moved_at: now,
            deadline: Some(now + timeouts.idle),
            body_until: now,
            unmoved: 0,
            pipelined: 0,
            is_served: false,
            is_refused: false,
        }
    }

    /// Returns what the connection is doing.
    pub(crate) fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the time at which the connection is closed unless it makes progress.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.deadline
    }

    /// Records that bytes arrived.
    pub(crate) fn on_read(&mut self, now: Instant, timeouts: &Timeouts) {
        // Further bytes of a header section do not extend its deadline.
        if matches!(self.phase, Phase::New | Phase::Idle) {
            self.enter(Phase::Header, now, Some(now + timeouts.header));
        }
    }

    /// Records that a whole header section arrived.
    pub(crate) fn on_request(&mut self, now: Instant) {
        // Nothing was read since the request before.
        if matches!(self.phase, Phase::Idle | Phase::Writing) {
            self.pipelined += 1;
        }
        self.enter(Phase::Handling, now, None);
    }

    /// Returns whether the connection has to be closed after the response: its peer sends requests
    /// without waiting for responses.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.pipelined >= MAX_PIPELINED
    }

    /// Records that the body is being read.
    pub(crate) fn on_body_start(&mut self, now: Instant, timeouts: &Timeouts) {
        self.body_until = now + timeouts.body;
        self.unmoved = 0;
        let deadline = self.body_until.min(now + timeouts.stall);
        self.enter(Phase::Body, now, Some(deadline));
    }

    /// Records that bytes of the body arrived.
    pub(crate) fn on_body(&mut self, now: Instant, bytes: u64, timeouts: &Timeouts) {
        self.unmoved += bytes;
        if self.phase == Phase::Body && self.unmoved >= MIN_PROGRESS {
            self.unmoved = 0;
            let deadline = self.body_until.min(now + timeouts.stall);
            self.enter(Phase::Body, now, Some(deadline));
        }
    }

    /// Records that the body is refused, so that the connection ends with the response.
    pub(crate) fn on_refusal(&mut self) {
        self.is_refused = true;
    }

    /// Returns whether the connection takes a place without having been served so far, and without a
    /// request that is being handled.
    pub(crate) fn is_unproven(&self) -> bool {
        !self.is_served && !matches!(self.phase, Phase::Handling)
    }

    /// Records that a response is ready to be written.
    pub(crate) fn on_response(&mut self, now: Instant, timeouts: &Timeouts) {
        self.enter(Phase::Writing, now, Some(now + timeouts.write));
    }

    /// Records that the peer accepted bytes of a response.
    pub(crate) fn on_write(&mut self, now: Instant, timeouts: &Timeouts) {
        if self.phase == Phase::Writing {
            self.enter(Phase::Writing, now, Some(now + timeouts.write));
        }
    }

    /// Records that everything is written.
    pub(crate) fn on_flush(&mut self, now: Instant, timeouts: &Timeouts) {
        if self.phase != Phase::Writing {
            return;
        }
        if self.is_refused {
            self.enter(Phase::Closing, now, Some(now + timeouts.discard));
        } else {
            self.is_served = true;
            self.enter(Phase::Idle, now, Some(now + timeouts.idle));
        }
    }

    /// Returns why the connection has to be closed at `now`, if it has.
    pub(crate) fn overdue(&self, now: Instant) -> Option<Reason> {
        if self.deadline.is_none_or(|deadline| now < deadline) {
            return None;
        }
        match self.phase {
            Phase::New | Phase::Idle => Some(Reason::Idle),
            Phase::Header => Some(Reason::SlowHeader),
            Phase::Body => Some(Reason::SlowBody),
            Phase::Writing => Some(Reason::UnreadResponse),
            Phase::Closing => Some(Reason::Refused),
            Phase::Handling => None,
        }
    }

    /// Returns the place among the connections that are closed for others; `None` if this one may not
    /// be. A request that is handled may be accepted, and one that makes progress is served.
    pub(crate) fn rank(&self, now: Instant) -> Option<Rank> {
        let stall = match self.phase {
            Phase::Closing => return Some(Rank::Refused(self.moved_at)),
            Phase::Idle => return Some(Rank::Idle(self.moved_at)),
            Phase::Handling => return None,
            Phase::New | Phase::Header => HEADER_STALL,
            Phase::Body | Phase::Writing => TRANSFER_STALL,
        };
        let is_stalled = now.saturating_duration_since(self.moved_at) >= stall;
        is_stalled.then_some(Rank::Stalled(self.moved_at))
    }

    fn enter(&mut self, phase: Phase, now: Instant, deadline: Option<Instant>) {
        self.phase = phase;
        self.moved_at = now;
        self.deadline = deadline;
    }
}
