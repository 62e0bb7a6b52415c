//! Ownership state, replicated by applying the records of the ownership stream in order.
//!
//! The validity of a record depends only on the records before it, so every reader computes the
//! same state. A duplicate record changes nothing, even if a reader no longer remembers its id. The
//! one exception is a join repeated after its member left: it adds a dead member, which owns no
//! shard and is retired later.

use quick_error::quick_error;
use rustc_hash::FxHashMap;

use crate::id::{Incarnation, Offset, ShardId, Term};
use crate::record::{Claim, HandOver, Member, Members, OwnerRecord, OwnerSnapshot, ShardState};

use super::group::Group;

quick_error! {
    /// The reason for which a record, or its part for one shard, is skipped.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum RecordFault {
        /// The failure domain has no such shard.
        UnknownShard(shard: ShardId) {
            display("the domain has no shard {}", shard.0)
        }
        /// The term does not match: a claim or handover must use the term after the latest one, and
        /// a release the latest one.
        StaleTerm(shard: ShardId, term: Term) {
            display("term {} of shard {} does not match the latest term", term.0, shard.0)
        }
        /// The incarnation is not a member.
        UnknownMember(incarnation: Incarnation) {
            display("incarnation {} is not a member", incarnation)
        }
        /// The incarnation is already a member.
        AlreadyMember(incarnation: Incarnation) {
            display("incarnation {} is already a member", incarnation)
        }
        /// The incarnation does not own the shard in that term.
        NotOwner(shard: ShardId, incarnation: Incarnation) {
            display("incarnation {} does not own shard {}", incarnation, shard.0)
        }
        /// The new owner is not among the voters.
        NoVote(incarnation: Incarnation) {
            display("incarnation {} is not among its own voters", incarnation)
        }
    }
}

/// Ownership of one shard according to the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Ownership {
    pub(crate) term: Term,
    pub(crate) owner: Option<Incarnation>,
    pub(crate) voters: Members,
}

/// The kind of record that changed a shard's ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChangeCause {
    Claim,
    HandOver,
    Release,
    Snapshot,
}

/// A state change made by a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    Joined(Incarnation),
    Left(Incarnation),
    Retired(Incarnation),
    Shard {
        shard: ShardId,
        before: Option<Incarnation>,
        cause: ChangeCause,
    },
}

/// Members and shard owners as of the last applied record.
#[derive(Debug, Clone)]
pub(crate) struct OwnershipState {
    group: Group,
    shards: Vec<Ownership>,
    counts: FxHashMap<Incarnation, usize>,
    unowned: usize,
}

impl OwnershipState {
    pub(crate) fn new(shards: u16) -> Self {
        OwnershipState {
            group: Group::default(),
            shards: vec![Ownership::default(); usize::from(shards)],
            counts: FxHashMap::default(),
            unowned: usize::from(shards),
        }
    }

    pub(crate) fn group(&self) -> &Group {
        &self.group
    }

    /// Returns the ownership of a shard, or `None` if the failure domain has no such shard.
    pub(crate) fn shard(&self, shard: ShardId) -> Option<&Ownership> {
        self.shards.get(usize::from(shard.0))
    }

    pub(crate) fn shards(&self) -> impl Iterator<Item = (ShardId, &Ownership)> {
        (0..).map(ShardId).zip(&self.shards)
    }

    /// Returns the number of shards that an incarnation owns.
    pub(crate) fn count(&self, owner: Incarnation) -> usize {
        self.counts.get(&owner).copied().unwrap_or(0)
    }

    /// Returns the number of unowned shards.
    pub(crate) fn unowned(&self) -> usize {
        self.unowned
    }

    /// Returns the incarnations that own at least one shard.
    pub(crate) fn owners(&self) -> impl Iterator<Item = Incarnation> {
        self.counts.keys().copied()
    }

    /// Applies a record, and appends its effects to `changes` and the skipped parts to `faults`.
    pub(crate) fn apply(
        &mut self,
        record: &OwnerRecord,
        changes: &mut Vec<Change>,
        faults: &mut Vec<RecordFault>,
    ) {
        match record {
            OwnerRecord::Join(member) => self.join(member, changes, faults),
            OwnerRecord::Leave(member) => self.leave(*member, changes, faults),
            OwnerRecord::Retire(member) => self.retire(*member, changes, faults),
            OwnerRecord::Claim(claim) => self.claim(claim, changes, faults),
            OwnerRecord::Release { owner, shards } => {
                self.release(*owner, shards, changes, faults);
            }
            OwnerRecord::HandOver(plan) => self.hand_over(plan, changes, faults),
            OwnerRecord::Snapshot(_) => {}
        }
    }

    fn join(&mut self, member: &Member, changes: &mut Vec<Change>, faults: &mut Vec<RecordFault>) {
        let incarnation = member.incarnation;
        if self.group.join(member.clone()) {
            changes.push(Change::Joined(incarnation));
        } else {
            faults.push(RecordFault::AlreadyMember(incarnation));
        }
    }

    /// Removes a member that has stopped dispatching; its shards become unowned at once.
    fn leave(
        &mut self,
        member: Incarnation,
        changes: &mut Vec<Change>,
        faults: &mut Vec<RecordFault>,
    ) {
        if !self.group.remove(member) {
            faults.push(RecordFault::UnknownMember(member));
            return;
        }
        for index in 0..self.shards.len() {
            if self.shards[index].owner == Some(member) {
                self.set_owner(index, None, ChangeCause::Release, changes);
            }
        }
        changes.push(Change::Left(member));
    }

    /// Removes a member that is presumed dead.
    ///
    /// Its shards keep it as their owner, so that a claimant waits until its lease has expired.
    fn retire(
        &mut self,
        member: Incarnation,
        changes: &mut Vec<Change>,
        faults: &mut Vec<RecordFault>,
    ) {
        if self.group.remove(member) {
            changes.push(Change::Retired(member));
        } else {
            faults.push(RecordFault::UnknownMember(member));
        }
    }

    fn claim(&mut self, claim: &Claim, changes: &mut Vec<Change>, faults: &mut Vec<RecordFault>) {
        if let Err(fault) = self.check_owner(claim.owner, &claim.voters) {
            faults.push(fault);
            return;
        }
        for (shard, term) in &claim.shards {
            match self.check_term(*shard, *term) {
                Ok(index) => {
                    self.begin_term(
                        index,
                        claim.owner,
                        &claim.voters,
                        ChangeCause::Claim,
                        changes,
                    );
                }
                Err(fault) => faults.push(fault),
            }
        }
    }

    fn hand_over(
        &mut self,
        plan: &HandOver,
        changes: &mut Vec<Change>,
        faults: &mut Vec<RecordFault>,
    ) {
        if let Err(fault) = self.check_owner(plan.to, &plan.voters) {
            faults.push(fault);
            return;
        }
        for (shard, term) in &plan.shards {
            match self.check_hand_over(plan.from, *shard, *term) {
                Ok(index) => {
                    self.begin_term(index, plan.to, &plan.voters, ChangeCause::HandOver, changes);
                }
                Err(fault) => faults.push(fault),
            }
        }
    }

    fn release(
        &mut self,
        owner: Incarnation,
        shards: &[(ShardId, Term)],
        changes: &mut Vec<Change>,
        faults: &mut Vec<RecordFault>,
    ) {
        for (shard, term) in shards {
            match self.check_release(owner, *shard, *term) {
                Ok(index) => self.set_owner(index, None, ChangeCause::Release, changes),
                Err(fault) => faults.push(fault),
            }
        }
    }

    fn check_owner(&self, owner: Incarnation, voters: &Members) -> Result<(), RecordFault> {
        if !self.group.contains(owner) {
            return Err(RecordFault::UnknownMember(owner));
        }
        if !voters.contains(&owner) {
            return Err(RecordFault::NoVote(owner));
        }
        Ok(())
    }

    fn check_shard(&self, shard: ShardId) -> Result<usize, RecordFault> {
        let index = usize::from(shard.0);
        if index >= self.shards.len() {
            return Err(RecordFault::UnknownShard(shard));
        }
        Ok(index)
    }

    fn check_term(&self, shard: ShardId, term: Term) -> Result<usize, RecordFault> {
        let index = self.check_shard(shard)?;
        if term != self.shards[index].term.next() {
            return Err(RecordFault::StaleTerm(shard, term));
        }
        Ok(index)
    }

    fn check_hand_over(
        &self,
        from: Incarnation,
        shard: ShardId,
        term: Term,
    ) -> Result<usize, RecordFault> {
        let index = self.check_term(shard, term)?;
        if self.shards[index].owner != Some(from) {
            return Err(RecordFault::NotOwner(shard, from));
        }
        Ok(index)
    }

    fn check_release(
        &self,
        owner: Incarnation,
        shard: ShardId,
        term: Term,
    ) -> Result<usize, RecordFault> {
        let index = self.check_shard(shard)?;
        if self.shards[index].term != term {
            return Err(RecordFault::StaleTerm(shard, term));
        }
        if self.shards[index].owner != Some(owner) {
            return Err(RecordFault::NotOwner(shard, owner));
        }
        Ok(index)
    }

    fn begin_term(
        &mut self,
        index: usize,
        owner: Incarnation,
        voters: &Members,
        cause: ChangeCause,
        changes: &mut Vec<Change>,
    ) {
        self.shards[index].term = self.shards[index].term.next();
        self.shards[index].voters = voters.clone();
        self.set_owner(index, Some(owner), cause, changes);
    }

    fn set_owner(
        &mut self,
        index: usize,
        owner: Option<Incarnation>,
        cause: ChangeCause,
        changes: &mut Vec<Change>,
    ) {
        let before = std::mem::replace(&mut self.shards[index].owner, owner);
        self.count_owner(before, owner);
        let shard = ShardId(u16::try_from(index).unwrap_or(u16::MAX));
        changes.push(Change::Shard {
            shard,
            before,
            cause,
        });
    }

    fn count_owner(&mut self, before: Option<Incarnation>, after: Option<Incarnation>) {
        match before {
            None => self.unowned -= 1,
            Some(before) => self.uncount(before),
        }
        match after {
            None => self.unowned += 1,
            Some(after) => *self.counts.entry(after).or_insert(0) += 1,
        }
    }

    fn uncount(&mut self, owner: Incarnation) {
        let Some(count) = self.counts.get_mut(&owner) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&owner);
        }
    }

    /// Returns a snapshot of the state, which covers all records before offset `covers`.
    pub(crate) fn snapshot(&self, covers: Offset) -> OwnerSnapshot {
        let shards = self
            .shards()
            .filter(|(_, ownership)| ownership.term > Term(0))
            .map(|(shard, ownership)| ShardState {
                shard,
                term: ownership.term,
                owner: ownership.owner,
                voters: ownership.voters.clone(),
            })
            .collect();
        OwnerSnapshot {
            covers,
            members: self.group.members().to_vec(),
            shards,
        }
    }

    /// Restores a snapshot: replaces the members, and those shards for which the snapshot has a
    /// newer term or a release in the same term.
    pub(crate) fn restore(
        &mut self,
        snapshot: &OwnerSnapshot,
        changes: &mut Vec<Change>,
        faults: &mut Vec<RecordFault>,
    ) {
        let before = std::mem::replace(&mut self.group, Group::new(snapshot.members.clone()));
        self.push_member_changes(&before, changes);
        for state in &snapshot.shards {
            match self.check_shard(state.shard) {
                Ok(index) => self.restore_shard(index, state, changes),
                Err(fault) => faults.push(fault),
            }
        }
    }

    fn push_member_changes(&self, before: &Group, changes: &mut Vec<Change>) {
        for member in before.members() {
            if !self.group.contains(member.incarnation) {
                changes.push(Change::Retired(member.incarnation));
            }
        }
        for member in self.group.members() {
            if !before.contains(member.incarnation) {
                changes.push(Change::Joined(member.incarnation));
            }
        }
    }

    fn restore_shard(&mut self, index: usize, state: &ShardState, changes: &mut Vec<Change>) {
        let current = &mut self.shards[index];
        let released = state.term == current.term && state.owner.is_none();
        if state.term <= current.term && !released {
            return;
        }
        current.term = state.term;
        current.voters = state.voters.clone();
        self.set_owner(index, state.owner, ChangeCause::Snapshot, changes);
    }
}
