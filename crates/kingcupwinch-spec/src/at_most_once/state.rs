//! The state of the specification: the key, its home, the runners and the messages in flight.

use super::Rules;

/// Number of instances; each may be the home of the key or run it.
pub(super) const SLOTS: usize = 3;
/// Maximum number of attempts of the home in one term.
pub(super) const MAX_ATTEMPTS: u8 = 2;
/// Maximum number of terms in a run.
pub(super) const MAX_TERMS: usize = 3;

/// The number of an attempt, starting at one.
pub type Attempt = u8;

/// The state of the key in the home's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Home {
    /// The home has no entry for the key.
    Unknown,
    /// No permit of this attempt has been sent yet.
    Fresh(Attempt),
    /// A permit of this attempt was sent to this slot.
    Sent(Attempt, u8),
    /// The home is querying its siblings about the key.
    QueryingSiblings,
    /// The key ended with this outcome.
    Ended(RunOutcome),
    /// The key was refused because the memory was full; its issue time is at or below the floor.
    RefusedFull,
    /// The key was evicted; its issue time is at or below the floor.
    Evicted,
}

/// The outcome of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// The key certainly did not run.
    NotRun,
    /// The key ran.
    Ran,
    /// The key may have run.
    MayHaveRun,
}

/// The state of the key in a runner's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Run {
    /// The runner has no entry for the key.
    Unknown,
    /// The runner accepted the permit and has sent nothing to the worker.
    Fresh(Attempt),
    /// The runner has sent the dispatch to the worker.
    Dispatched(Attempt),
    /// The attempt ended with this outcome.
    Ended(Attempt, RunOutcome),
}

/// The state of one slot in its role as a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Runner {
    /// The state of the key in its memory.
    pub run: Run,
    /// The term of the last permit that it accepted.
    pub term: u8,
    /// The newest term that it knows of; it rejects permits of older terms.
    pub fence: u8,
    /// Number of its dispatches in flight to the worker.
    pub dispatches: u8,
    /// Whether the worker's answer is in flight.
    pub answer_sent: bool,
    /// Whether the worker's refusal is in flight.
    pub refusal_sent: bool,
}

/// The replies that the caller has received so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct CallerReplies {
    /// Whether the key was refused as not run.
    pub not_run: bool,
    /// Whether the key was answered as run.
    pub ran: bool,
}

/// The state of the whole system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    /// The current term.
    pub term: u8,
    /// The home's slot, or `None` while the shard has no owner.
    pub home_slot: Option<u8>,
    /// The state of the key in the home's memory.
    pub home: Home,
    /// The term in which the caller issued the key, or zero before that.
    pub issue_term: u8,
    /// Whether the issue time is at or below the initial floor of that term.
    pub below_floor: bool,
    /// Permits in flight, as a bit set over term, attempt and slot.
    pub permits: u32,
    /// Results in flight to the home of the current term, as a bit set over attempt and outcome.
    pub results: u8,
    /// The runners by slot.
    pub runners: [Runner; SLOTS],
    /// Number of dispatches in flight whose senders have restarted.
    pub orphan_dispatches: u8,
    /// Number of times that the worker ran the key.
    pub executions: u8,
    /// The replies that the caller has received.
    pub replies: CallerReplies,
    /// Number of restarts that may still happen.
    pub restarts_left: u8,
}

pub(super) const IDLE_RUNNER: Runner = Runner {
    run: Run::Unknown,
    term: 0,
    fence: 0,
    dispatches: 0,
    answer_sent: false,
    refusal_sent: false,
};

impl State {
    pub(super) fn new(rules: &Rules) -> Self {
        State {
            term: 1,
            home_slot: Some(0),
            home: Home::Unknown,
            issue_term: 0,
            below_floor: false,
            permits: 0,
            results: 0,
            runners: [IDLE_RUNNER; SLOTS],
            orphan_dispatches: 0,
            executions: 0,
            replies: CallerReplies::default(),
            restarts_left: rules.restarts,
        }
    }

    /// Returns the bit of a permit in flight.
    pub(super) fn permit_bit(term: u8, attempt: Attempt, slot: usize) -> u32 {
        let row = (term as usize - 1) * MAX_ATTEMPTS as usize + attempt as usize - 1;
        1 << (row * SLOTS + slot)
    }

    /// Returns the bit of a result in flight.
    pub(super) fn result_bit(attempt: Attempt, outcome: RunOutcome) -> u8 {
        let column = match outcome {
            RunOutcome::NotRun => 0,
            RunOutcome::Ran => 1,
            RunOutcome::MayHaveRun => 2,
        };
        1 << ((attempt - 1) * 3 + column)
    }

    /// Drops the permits in flight to a slot.
    pub(super) fn drop_permits_to(&mut self, slot: usize) {
        for term in 1..=MAX_TERMS as u8 {
            for attempt in 1..=MAX_ATTEMPTS {
                self.permits &= !Self::permit_bit(term, attempt, slot);
            }
        }
    }

    /// Ends the key at its home and replies to the caller.
    pub(super) fn end(&mut self, outcome: RunOutcome) {
        self.home = Home::Ended(outcome);
        self.reply(outcome);
    }

    /// Replies to the caller with an outcome.
    pub(super) fn reply(&mut self, outcome: RunOutcome) {
        match outcome {
            RunOutcome::NotRun => self.replies.not_run = true,
            RunOutcome::Ran => self.replies.ran = true,
            RunOutcome::MayHaveRun => {}
        }
    }
}
