//! Plan of shard moves that give each member a share in proportion to its weight.

use crate::id::Incarnation;
use crate::record::Member;

/// A member's weight and its number of owned shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Share {
    pub(crate) member: Incarnation,
    pub(crate) weight: u64,
    pub(crate) count: u64,
}

impl Share {
    pub(crate) fn new(member: &Member, count: usize) -> Self {
        Share {
            member: member.incarnation,
            weight: u64::from(member.weight.max(1)),
            count: count as u64,
        }
    }
}

/// A number of shards to move from one member to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Move {
    pub(crate) from: Incarnation,
    pub(crate) to: Incarnation,
    pub(crate) count: u64,
}

/// Returns the minimal set of moves that brings every member to its target.
///
/// Targets are computed by the largest-remainder method. Members that already own more than the
/// integral part of their share get the remainders first, so that rounding alone moves no shard.
pub(crate) fn plan_moves(shares: &[Share]) -> Vec<Move> {
    let targets = targets(shares);
    let mut surplus: Vec<(Incarnation, u64)> = Vec::new();
    let mut deficit: Vec<(Incarnation, u64)> = Vec::new();
    for (share, target) in shares.iter().zip(targets) {
        if share.count > target {
            surplus.push((share.member, share.count - target));
        } else if share.count < target {
            deficit.push((share.member, target - share.count));
        }
    }
    match_moves(surplus, deficit)
}

fn targets(shares: &[Share]) -> Vec<u64> {
    let total: u64 = shares.iter().map(|share| share.count).sum();
    let weights: u64 = shares.iter().map(|share| share.weight).sum();
    if weights == 0 {
        return Vec::new();
    }
    let mut targets: Vec<u64> = shares
        .iter()
        .map(|share| total * share.weight / weights)
        .collect();
    let left = total - targets.iter().sum::<u64>();
    let mut order: Vec<usize> = (0..shares.len()).collect();
    order.sort_by_key(|index| {
        let share = &shares[*index];
        let keeps = share.count > targets[*index];
        let remainder = total * share.weight % weights;
        (!keeps, u64::MAX - remainder)
    });
    for index in order.into_iter().cycle().take(left as usize) {
        targets[index] += 1;
    }
    targets
}

fn match_moves(surplus: Vec<(Incarnation, u64)>, deficit: Vec<(Incarnation, u64)>) -> Vec<Move> {
    let mut moves = Vec::new();
    let mut successors = deficit.into_iter();
    let mut successor = successors.next();
    for (from, mut left) in surplus {
        while let Some((to, wanted)) = successor.filter(|_| left > 0) {
            let count = left.min(wanted);
            moves.push(Move { from, to, count });
            left -= count;
            successor = if wanted > count {
                Some((to, wanted - count))
            } else {
                successors.next()
            };
        }
    }
    moves
}
