//! The state of the specification: the end of the log and three instances.

use super::Rules;

/// Number of instances in the failure domain.
pub(super) const SLOTS: usize = 3;
/// Maximum number of records in the state.
pub(super) const MAX_RECORDS: usize = 4;

/// An incarnation of a slot: either the running one or a dead one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u8);

impl Incarnation {
    /// Returns the incarnation that runs in `slot`.
    pub const fn live(slot: usize) -> Incarnation {
        Incarnation::of(slot, false)
    }

    /// Returns the dead incarnation of `slot` if `dead` is set, or the running one.
    pub const fn of(slot: usize, dead: bool) -> Incarnation {
        Incarnation(slot as u8 * 2 + dead as u8)
    }

    /// Returns the slot.
    pub const fn slot(self) -> usize {
        (self.0 / 2) as usize
    }

    /// Returns whether the incarnation is dead.
    pub const fn is_dead(self) -> bool {
        self.0 % 2 == 1
    }

    /// Returns the bit of the incarnation in a set of incarnations.
    pub const fn bit(self) -> u8 {
        1 << self.0
    }
}

/// The set of the running incarnations of all slots.
pub(super) const ALL_LIVE: u8 = 0b01_01_01;

/// The kind of an ownership record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordKind {
    /// A sibling claims the shard of another owner, and must wait before it dispatches.
    Takeover,
    /// A member claims an unowned shard.
    UnownedClaim,
    /// The owner claims its own shard again.
    Reclaim,
    /// The owner hands the shard over to a successor.
    HandOver,
    /// The owner releases the shard; its term continues without an owner.
    Release,
}

/// A record of the ownership log that changed the owner or the voters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Record {
    /// The new owner, or the one that released the shard.
    pub owner: Incarnation,
    /// The set of voters.
    pub voters: u8,
    /// The kind of record.
    pub kind: RecordKind,
}

impl Record {
    /// Returns the owner after this record, or `None` after a release.
    pub fn holder(&self) -> Option<Incarnation> {
        (self.kind != RecordKind::Release).then_some(self.owner)
    }
}

/// A promise held by the owner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeldPromise {
    /// Remaining validity on the clock of the owner, in ticks.
    pub ticks_left: u8,
    /// Whether the incarnation that made the promise is dead.
    pub voter_dead: bool,
}

/// The state of one running incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instance {
    /// Number of records that it has read.
    pub view: u8,
    /// Time for which its view stays fresh, in ticks.
    pub lease_left: u8,
    /// Whether it is the owner according to its view.
    pub owns: bool,
    /// Time until its own term takes effect, in ticks.
    pub wait_left: u8,
    /// Promises that it holds as the owner, by the slot of the voter.
    pub held_promises: [HeldPromise; SLOTS],
    /// Time for which it has promised not to vote against the owner in its view, in ticks.
    pub promise_left: u8,
    /// Whether it has voted for a claim against that owner.
    pub voted: bool,
    /// The voters of a reclaim that it has sent and not read back.
    pub reclaim: Option<u8>,
    /// The successor in a handover that it has sent and not read back.
    pub successor: Option<Incarnation>,
    /// Whether it has sent a release that it has not read back.
    pub release_sent: bool,
    /// Whether it has stopped dispatching for a handover or release.
    pub stopped: bool,
    /// Whether it has sent its leave record.
    pub leaving: bool,
    /// Whether its leave record is in the log.
    pub has_left: bool,
}

/// The state of the whole system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    /// The latest records, oldest first, starting at the oldest one that some instance still needs.
    pub log: [Record; MAX_RECORDS],
    /// Number of records in use.
    pub len: u8,
    /// Number of records in use before the last tick and before the tick preceding it.
    pub past_lens: [u8; 2],
    /// The set of incarnations that have voted for a claim against the owner of the newest record.
    pub votes: u8,
    /// Number of restarts that may still happen.
    pub restarts_left: u8,
    /// Number of clock deviations that may still happen.
    pub drifts_left: u8,
    /// The running incarnations by slot.
    pub instances: [Instance; SLOTS],
}

/// The value of unused entries of the log, so that equal states compare as equal.
const UNUSED: Record = Record {
    owner: Incarnation(0),
    voters: 0,
    kind: RecordKind::Takeover,
};

impl State {
    /// Creates the initial state, in which all instances have read that the first one is the owner.
    pub(super) fn new(rules: &Rules) -> Self {
        let mut log = [UNUSED; MAX_RECORDS];
        log[0] = Record {
            owner: Incarnation::live(0),
            voters: ALL_LIVE,
            kind: RecordKind::Takeover,
        };
        let mut instances = [Instance {
            view: 1,
            lease_left: rules.lease,
            ..Instance::default()
        }; SLOTS];
        instances[0].owns = true;
        State {
            log,
            len: 1,
            past_lens: [1; 2],
            votes: 0,
            restarts_left: rules.restarts,
            drifts_left: rules.drifts,
            instances,
        }
    }

    /// Returns the newest record.
    pub(super) fn newest(&self) -> &Record {
        &self.log[self.len as usize - 1]
    }

    /// Returns the newest record that an instance has read, or `None` if it has read none.
    pub(super) fn last_read(&self, slot: usize) -> Option<&Record> {
        let view = self.instances[slot].view;
        view.checked_sub(1).map(|at| &self.log[at as usize])
    }

    /// Returns whether an instance has read the whole log.
    pub(super) fn is_up_to_date(&self, slot: usize) -> bool {
        self.instances[slot].view == self.len
    }

    /// Returns whether an instance has read the record that began the newest term.
    pub(super) fn is_in_newest_term(&self, slot: usize) -> bool {
        let view = self.instances[slot].view;
        let unread = &self.log[view as usize..self.len as usize];
        view > 0 && unread.iter().all(|r| r.kind == RecordKind::Release)
    }

    /// Returns whether two instances consider themselves the winner of the same term.
    pub(super) fn has_two_winners(&self) -> bool {
        let [a, b, c] = &self.instances;
        let same = |x: &Instance, y: &Instance| x.owns && y.owns && x.view == y.view;
        same(a, b) || same(a, c) || same(b, c)
    }

    /// Returns the kind of a claim that is appended now: `kind`, or an unowned claim, which does
    /// not wait, if the shard is released.
    pub(super) fn claim_kind(&self, kind: RecordKind) -> RecordKind {
        match self.newest().holder() {
            Some(_) => kind,
            None => RecordKind::UnownedClaim,
        }
    }

    /// Appends a record, or returns `false` if the log is full.
    pub(super) fn append(&mut self, rules: &Rules, record: Record) -> bool {
        if self.len >= rules.window {
            return false;
        }
        self.log[self.len as usize] = record;
        self.len += 1;
        if record.kind != RecordKind::Release {
            self.votes = 0;
        }
        true
    }

    /// Drops the records that are older than the newest one read by every instance that has read
    /// the log.
    pub(super) fn compact(&mut self) {
        let views = self.instances.iter().map(|i| i.view).filter(|v| *v > 0);
        let passed = views.min().unwrap_or(self.len) - 1;
        if passed == 0 {
            return;
        }
        self.log.rotate_left(passed as usize);
        self.len -= passed;
        self.log[self.len as usize..].fill(UNUSED);
        for len in &mut self.past_lens {
            *len = len.saturating_sub(passed);
        }
        for instance in &mut self.instances {
            instance.view = instance.view.saturating_sub(passed);
        }
    }

    /// Returns whether the state refers to an incarnation in a record, vote, promise or append in
    /// flight.
    pub(super) fn references(&self, id: Incarnation) -> bool {
        let in_log = |r: &Record| r.owner == id || r.voters & id.bit() != 0;
        let in_instance = |i: &Instance| {
            let promise = i.held_promises[id.slot()];
            let promised = promise.ticks_left > 0 && promise.voter_dead == id.is_dead();
            promised || i.successor == Some(id) || i.reclaim.is_some_and(|v| v & id.bit() != 0)
        };
        self.votes & id.bit() != 0
            || self.log[..self.len as usize].iter().any(in_log)
            || self.instances.iter().any(in_instance)
    }
}
