//! The state: a short log and three instances.

use super::Rules;

/// Instances of the failure domain.
pub(super) const SLOTS: usize = 3;
/// Most records in the state.
pub(super) const MAX_RECORDS: usize = 4;

/// An incarnation: the one that runs in a slot, or a dead one of that slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u8);

impl Incarnation {
    /// Returns the incarnation that runs in `slot`.
    pub const fn live(slot: usize) -> Incarnation {
        Incarnation::of(slot, false)
    }

    /// Returns the dead or the running incarnation of `slot`.
    pub const fn of(slot: usize, dead: bool) -> Incarnation {
        Incarnation(slot as u8 * 2 + dead as u8)
    }

    /// Returns the slot.
    pub const fn slot(self) -> usize {
        (self.0 / 2) as usize
    }

    /// Returns whether it no longer runs.
    pub const fn is_dead(self) -> bool {
        self.0 % 2 == 1
    }

    /// Returns its bit in a set of incarnations.
    pub const fn bit(self) -> u8 {
        1 << self.0
    }
}

/// The running incarnations of all slots, as a set.
pub(super) const ALL_LIVE: u8 = 0b01_01_01;

/// How a record came about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordKind {
    /// A sibling takes over and waits.
    Takeover,
    /// A member claims what nobody owns.
    UnownedClaim,
    /// The owner claims again for itself.
    Reclaim,
    /// The owner handed over to its heir.
    HandOver,
    /// The owner gave the shard up; the term goes on without an owner.
    Release,
}

/// A claim that won its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Record {
    /// The new owner, or the one that gave the shard up.
    pub owner: Incarnation,
    /// The set of voters.
    pub voters: u8,
    /// How it came about.
    pub kind: RecordKind,
}

impl Record {
    /// Returns the owner, none after a release.
    pub fn holder(&self) -> Option<Incarnation> {
        (self.kind != RecordKind::Release).then_some(self.owner)
    }
}

/// A promise as the owner counts it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeldPromise {
    /// Ticks left.
    pub ticks_left: u8,
    /// Whether the incarnation that made it is dead.
    pub voter_dead: bool,
}

/// One running incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instance {
    /// Records read: the number of the newest, zero if none.
    pub view: u8,
    /// Ticks for which the view stays fresh.
    pub lease_left: u8,
    /// Whether it read its own claim of the newest term in its view.
    pub owns: bool,
    /// Ticks until that term takes effect.
    pub wait_left: u8,
    /// Promises that it holds as an owner, by the slot that made them.
    pub held_promises: [HeldPromise; SLOTS],
    /// Ticks for which it has promised not to support a claim against the owner in its view.
    pub promise_left: u8,
    /// Whether it supports a claim against that owner.
    pub voted: bool,
    /// The voters of a claim for itself that it has sent and not read back.
    pub reclaim: Option<u8>,
    /// The heir of a hand-over that it has sent and not read back.
    pub successor: Option<Incarnation>,
    /// Whether it has sent a release and not read it back.
    pub release_sent: bool,
    /// Whether it stopped dispatching to hand over or to release.
    pub stopped: bool,
    /// Whether it has sent its leave of the group.
    pub leaving: bool,
    /// Whether its leave has landed.
    pub has_left: bool,
}

/// The whole system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    /// Records that some instance has not passed, oldest first.
    pub log: [Record; MAX_RECORDS],
    /// How many of them are in use.
    pub len: u8,
    /// How many there were before the last tick, and before the one before it.
    pub past_lens: [u8; 2],
    /// Incarnations that supported a claim over the newest record.
    pub votes: u8,
    /// Restarts left.
    pub restarts_left: u8,
    /// Clock deviations left.
    pub drifts_left: u8,
    /// The instances by slot.
    pub instances: [Instance; SLOTS],
}

/// What an unused place of the log holds.
const UNUSED: Record = Record {
    owner: Incarnation(0),
    voters: 0,
    kind: RecordKind::Takeover,
};

impl State {
    /// Makes the initial state: the first instance owns the shard, all have read that.
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

    /// Returns the newest record that an instance has read.
    pub(super) fn last_read(&self, slot: usize) -> Option<&Record> {
        let view = self.instances[slot].view;
        view.checked_sub(1).map(|at| &self.log[at as usize])
    }

    /// Returns whether an instance has read everything.
    pub(super) fn is_up_to_date(&self, slot: usize) -> bool {
        self.instances[slot].view == self.len
    }

    /// Returns whether no term has begun that an instance has not read.
    pub(super) fn is_in_newest_term(&self, slot: usize) -> bool {
        let view = self.instances[slot].view;
        let unread = &self.log[view as usize..self.len as usize];
        view > 0 && unread.iter().all(|r| r.kind == RecordKind::Release)
    }

    /// Returns whether two instances hold the same term.
    pub(super) fn has_two_winners(&self) -> bool {
        let [a, b, c] = &self.instances;
        let same = |x: &Instance, y: &Instance| x.owns && y.owns && x.view == y.view;
        same(a, b) || same(a, c) || same(b, c)
    }

    /// Returns how a claim comes about that lands now: nobody waits for a released shard.
    pub(super) fn claim_kind(&self, kind: RecordKind) -> RecordKind {
        match self.newest().holder() {
            Some(_) => kind,
            None => RecordKind::UnownedClaim,
        }
    }

    /// Appends a record, if there is room for it.
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

    /// Drops the records that every instance has passed.
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

    /// Returns whether a record or a promise names an incarnation.
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
