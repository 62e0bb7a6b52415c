//! The state: the key, its home, the runners and the messages in flight.

use super::Rules;

/// Instances that may be home or run the key.
pub(super) const SLOTS: usize = 3;
/// Most attempts of the home in one term.
pub(super) const MAX_ATTEMPTS: u8 = 2;
/// Most terms in a run.
pub(super) const MAX_TERMS: usize = 3;

/// The number of an attempt, from one.
pub type Attempt = u8;

/// What the home's memory says of the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Home {
    /// Nothing.
    Unknown,
    /// The token is fresh: no permit of this attempt was sent.
    Fresh(Attempt),
    /// A permit was sent to a slot.
    Sent(Attempt, u8),
    /// The siblings are being asked.
    QueryingSiblings,
    /// It ended.
    Ended(RunOutcome),
    /// It was refused for want of memory; it lies at or before the floor.
    RefusedFull,
    /// It was forgotten; it lies at or before the floor.
    Evicted,
}

/// An outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// It certainly did not run.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    MayHaveRun,
}

/// What a runner's memory says of the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Run {
    /// Nothing.
    Unknown,
    /// It took the permit and wrote nothing to the worker.
    Fresh(Attempt),
    /// It wrote the dispatch.
    Dispatched(Attempt),
    /// It ended.
    Ended(Attempt, RunOutcome),
}

/// One slot as a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Runner {
    /// Its memory.
    pub run: Run,
    /// The term of the permit that it took.
    pub term: u8,
    /// The newest term that it has heard of.
    pub fence: u8,
    /// Dispatches on their way to the worker.
    pub dispatches: u8,
    /// Whether the worker's answer is on its way.
    pub answer_sent: bool,
    /// Whether the worker's refusal is on its way.
    pub refusal_sent: bool,
}

/// What the caller was told, at any time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct CallerReplies {
    /// It was refused as not run.
    pub not_run: bool,
    /// It was answered.
    pub ran: bool,
}

/// The whole system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    /// The term in effect.
    pub term: u8,
    /// The home's slot, none while the shard has no owner.
    pub home_slot: Option<u8>,
    /// The home's memory.
    pub home: Home,
    /// The term in which the caller issued the key, zero before.
    pub issue_term: u8,
    /// Whether the key lies at or before the floor of that term.
    pub below_floor: bool,
    /// Permits in flight, by term, attempt and slot.
    pub permits: u32,
    /// The runners' results in flight to the home of the term, by attempt and outcome.
    pub results: u8,
    /// Runners by slot.
    pub runners: [Runner; SLOTS],
    /// Dispatches on their way from incarnations that are dead.
    pub orphan_dispatches: u8,
    /// Times that the worker ran the key.
    pub executions: u8,
    /// What the caller was told.
    pub replies: CallerReplies,
    /// Restarts left.
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

    /// Ends the key at home and tells the caller.
    pub(super) fn end(&mut self, outcome: RunOutcome) {
        self.home = Home::Ended(outcome);
        self.reply(outcome);
    }

    /// Tells the caller.
    pub(super) fn reply(&mut self, outcome: RunOutcome) {
        match outcome {
            RunOutcome::NotRun => self.replies.not_run = true,
            RunOutcome::Ran => self.replies.ran = true,
            RunOutcome::MayHaveRun => {}
        }
    }
}
