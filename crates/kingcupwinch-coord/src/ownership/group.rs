//! Group membership of a failure domain.

use std::cmp::Reverse;

use crate::hash::voter_score;
use crate::id::Incarnation;
use crate::record::{Member, Members};

/// The member incarnations of a failure domain, in the order in which they joined.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Group {
    members: Vec<Member>,
}

impl Group {
    /// Builds a group from members in the order in which they joined.
    pub(crate) fn new(members: Vec<Member>) -> Self {
        Group { members }
    }

    /// Returns the members in the order in which they joined.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the member with the given incarnation.
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members
            .iter()
            .find(|member| member.incarnation == incarnation)
    }

    /// Returns whether an incarnation is a member.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        self.member(incarnation).is_some()
    }

    /// Returns the zero-based position of a member in the order of joining.
    pub fn position(&self, incarnation: Incarnation) -> Option<usize> {
        self.members
            .iter()
            .position(|member| member.incarnation == incarnation)
    }

    /// Returns whether a newer incarnation of the same instance has joined.
    pub(crate) fn is_superseded(&self, incarnation: Incarnation) -> bool {
        let Some(position) = self.position(incarnation) else {
            return false;
        };
        let instance = &self.members[position].instance;
        self.members[position + 1..]
            .iter()
            .any(|later| later.instance == *instance)
    }

    /// Selects up to `bound` voters for the terms of an owner: the owner and the other members that
    /// rank highest for it by rendezvous hashing.
    pub(crate) fn voters_of(&self, owner: &Member, bound: usize) -> Members {
        let mut others: Vec<&Member> = self
            .members
            .iter()
            .filter(|member| member.incarnation != owner.incarnation)
            .filter(|member| !self.is_superseded(member.incarnation))
            .collect();
        others.sort_by_key(|other| (Reverse(voter_score(owner, other)), other.incarnation));
        let mut voters: Members = others
            .iter()
            .take(bound - 1)
            .map(|other| other.incarnation)
            .collect();
        voters.push(owner.incarnation);
        voters.sort_unstable();
        voters
    }

    pub(crate) fn join(&mut self, member: Member) -> bool {
        if self.contains(member.incarnation) {
            return false;
        }
        self.members.push(member);
        true
    }

    pub(crate) fn remove(&mut self, incarnation: Incarnation) -> bool {
        let before = self.members.len();
        self.members
            .retain(|member| member.incarnation != incarnation);
        self.members.len() < before
    }
}
