//! One test for each rule that prevents two owners, in a schedule that depends on the rule.

use kingcupwinch_coord::id::Incarnation;
use kingcupwinch_coord::ownership::{Event, Message, Note, Timers};
use kingcupwinch_coord::record::OwnerRecord;
use kingcupwinch_time::{Drift, Span};
use rstest::rstest;

use crate::net::{Net, settled, settled_with};

const TAKEOVER_TARGET: Span = Span::from_secs(8);
const MINUTE: Span = Span::from_secs(60);

fn is_claim_by(record: &OwnerRecord, owner: Incarnation) -> bool {
    matches!(record, OwnerRecord::Claim(claim) if claim.owner == owner)
}

fn is_promise_request(message: &Message) -> bool {
    matches!(message, Message::PromiseRequest(_))
}

fn others(net: &Net, node: usize) -> Vec<usize> {
    net.serving()
        .into_iter()
        .filter(|other| *other != node)
        .collect()
}

/// A voter votes for a claim. Before the claim is appended, the voter and the owner are cut off
/// together, so that a promise of the voter would give the owner a majority.
#[test]
fn no_promise_after_a_vote_against_the_owner() {
    let mut net = settled(3, 8, 40);
    let owner = net.busiest();
    let [voter, claimant] = others(&net, owner)[..] else {
        panic!("expected two other members");
    };
    net.isolate(owner);
    net.append_delay = (Span::from_secs(10), Span::from_secs(10));
    net.run(Span::from_secs(3));
    net.heal();
    net.cut(claimant, voter);
    net.cut(claimant, owner);
    net.nodes[owner].log_cut = true;
    net.nodes[voter].log_cut = true;
    net.run(MINUTE);
    let counts = net.counts();
    assert_eq!(counts[owner], 0, "{counts:?}");
    assert!(counts[claimant] > 0, "{counts:?}");
    let is_voted_against = |note: &Note| matches!(note, Note::VotedAgainst { .. });
    assert!(net.nodes[owner].notes.iter().any(is_voted_against));
}

/// A voter granted a promise just before the owner crashed, and must not vote against the owner
/// before the promise expires.
#[test]
fn no_vote_before_the_promise_expires() {
    let timers = Timers::default().with_promise(Span::from_secs(5));
    let mut net = settled_with(3, 8, timers, 41);
    let owner = net.busiest();
    net.log_down = true;
    net.run(Span::from_secs(10));
    net.keep_sent = true;
    net.wait_for(|net| {
        net.sent
            .iter()
            .any(|(sender, message)| *sender == owner && is_promise_request(message))
    });
    net.run(Span::from_millis(10));
    net.keep_sent = false;
    net.sent.clear();
    net.log_down = false;
    net.kill(owner);
    let promised = net.now;
    net.keep_sent = true;
    net.wait_for(|net| {
        net.sent
            .iter()
            .any(|(_, message)| matches!(message, Message::Vote(_)))
    });
    let waited = net.now - promised;
    assert!(waited >= Span::from_millis(4_970), "{waited:?}");
}

/// The owner's claim with an additional voter is appended but not read back. Then the owner and one
/// of the old voters are cut off, which is a majority of the old voters only.
#[test]
fn unread_claim_requires_both_majorities() {
    let mut net = settled(3, 8, 42);
    let joined = net.start("entry-3", 1);
    let four_voters = |record: &OwnerRecord| matches!(record, OwnerRecord::Claim(claim) if claim.voters.len() == 4);
    let start = net.log.len();
    net.wait_for(|net| net.find(start, four_voters).is_some());
    let offset = net.find(start, four_voters).unwrap_or_default();
    let Some(OwnerRecord::Claim(claim)) = net.log[offset].clone().map(|record| record.body) else {
        panic!("expected a claim record");
    };
    let owner = (0..3)
        .find(|node| net.id(*node) == claim.owner)
        .unwrap_or(0);
    let [friend, other] = others(&net, owner)[..2] else {
        panic!("expected at least two other members");
    };
    for node in [owner, friend] {
        assert!(net.nodes[node].coord.next_offset().0 <= offset as u64);
        net.nodes[node].log_cut = true;
        net.cut(node, other);
        net.cut(node, joined);
    }
    let shard = claim.shards[0].0.0;
    assert_eq!(net.dispatcher(shard), Some(owner));
    net.run(Span::from_secs(20));
    let successor = net.dispatcher(shard);
    assert!(
        successor == Some(other) || successor == Some(joined),
        "{successor:?}"
    );
}

/// With half of the voters on each side of a partition, no side dispatches during an outage of the
/// log.
#[test]
fn half_of_the_voters_is_not_a_majority() {
    let mut net = settled(4, 8, 43);
    net.log_down = true;
    for left in 0..2 {
        net.cut(left, 2);
        net.cut(left, 3);
    }
    net.run(Span::from_secs(5));
    assert_eq!(net.counts(), [0, 0, 0, 0]);
    net.heal();
    assert!(net.run_until_served(TAKEOVER_TARGET).is_some());
}

/// A new owner that still waits for the previous one is drained. The next owner would not wait, so
/// the shards must not be handed over or released before the wait is over.
#[rstest]
#[case::handed_over(false)]
#[case::released(true)]
fn shards_are_not_transferred_before_ownership_takes_effect(#[case] alone: bool) {
    let timers = Timers::default().with_offer_timeout(Span::from_millis(100));
    let mut net = settled_with(3, 8, timers, 44);
    let owner = net.busiest();
    net.isolate(owner);
    let start = net.log.len();
    let successors = others(&net, owner);
    let ids: Vec<Incarnation> = successors
        .iter()
        .map(|successor| net.id(*successor))
        .collect();
    let taken = |net: &Net| {
        ids.iter()
            .position(|id| net.find(start, |record| is_claim_by(record, *id)).is_some())
    };
    net.wait_for(|net| taken(net).is_some());
    let successor = successors[taken(&net).unwrap_or_default()];
    net.nodes[owner].log_cut = true;
    if alone {
        net.isolate(successor);
    }
    assert!(net.counts()[owner] > 0);
    net.send_event(successor, Event::Drain);
    net.run(MINUTE);
    assert!(net.all_dispatched());
    assert!(!net.nodes[successor].alive);
}

/// Lets an owner append a handover to a new member, and drains that member at the same time.
fn drain_before_handover(hand_over: Span, leave: Span) -> (Net, usize, usize) {
    let mut net = settled(3, 8, 45);
    net.keep_sent = true;
    let new_member = net.start("entry-3", 1);
    let is_taken =
        |message: &Message| matches!(message, Message::OfferReply(reply) if reply.accepted);
    net.wait_for(|net| net.sent.iter().any(|(_, message)| is_taken(message)));
    net.append_delay = (hand_over, hand_over);
    net.run(Span::from_millis(4));
    net.append_delay = (leave, leave);
    net.send_event(new_member, Event::Drain);
    let start = net.log.len();
    (net, new_member, start)
}

/// The handover is appended first. The new member reads it, but not its own leave record after it.
#[test]
fn leaving_member_dispatches_nothing() {
    let (hand_over, leave) = (Span::from_millis(200), Span::from_millis(500));
    let (mut net, new_member, start) = drain_before_handover(hand_over, leave);
    let given = |record: &OwnerRecord| matches!(record, OwnerRecord::HandOver(_));
    net.wait_for(|net| net.find(start, given).is_some());
    net.run(Span::from_millis(60));
    let offset = net.find(start, given).unwrap_or_default() as u64;
    assert!(net.nodes[new_member].coord.next_offset().0 > offset);
    net.nodes[new_member].log_cut = true;
    net.isolate(new_member);
    net.run(Span::from_secs(20));
    assert!(net.all_dispatched());
    assert_eq!(net.counts()[new_member], 0);
}

/// The leave record is appended first, so the handover is invalid and the shards stay with their
/// owner.
#[test]
fn invalid_handover_leaves_no_shard_idle() {
    let (hand_over, leave) = (Span::from_millis(700), Span::from_millis(100));
    let (mut net, new_member, start) = drain_before_handover(hand_over, leave);
    net.append_delay = (Span::from_millis(1), Span::from_millis(5));
    net.run(Span::from_secs(2));
    let left = net.find(start, |record| matches!(record, OwnerRecord::Leave(_)));
    let given = net.find(start, |record| matches!(record, OwnerRecord::HandOver(_)));
    assert!(left.is_some() && left < given, "{left:?} {given:?}");
    assert!(net.run_until_served(TAKEOVER_TARGET).is_some());
    assert!(!net.nodes[new_member].alive);
}

/// Records expired before the owner read them. They may have moved its shards, so it must not
/// request promises.
#[rstest]
fn no_promises_while_records_are_missing(#[values(70, 71, 72, 73, 74, 75)] seed: u64) {
    let mut net = settled(3, 8, seed);
    let owner = net.busiest();
    net.isolate(owner);
    net.nodes[owner].log_cut = true;
    net.run(Span::from_secs(10));
    assert!(net.all_dispatched());
    net.first = net.log.len();
    for node in others(&net, owner) {
        net.nodes[node].log_cut = true;
    }
    net.nodes[owner].log_cut = false;
    net.run(Span::from_secs(2));
    let is_expired = |note: &Note| matches!(note, Note::Expired { .. });
    assert!(net.nodes[owner].notes.iter().any(is_expired));
    net.log_down = true;
    net.reconnect();
    net.run(Span::from_secs(10));
    assert_eq!(net.counts()[owner], 0);
}

/// Two lists without a live instance, with a long gap between them, do not prove that it stopped.
#[test]
fn sparse_instance_lists_are_not_evidence() {
    let mut net = settled(3, 8, 46);
    let list = |net: &Net| Event::InstanceList {
        sent: net.now,
        live: vec!["entry-0".into(), "entry-2".into()],
        leaving: Vec::new(),
    };
    let records = net.log.len();
    net.nodes[0].log_cut = true;
    net.send_event(0, list(&net));
    net.run(Span::from_secs(30));
    net.nodes[0].log_cut = false;
    net.send_event(0, list(&net));
    net.run(Span::from_secs(10));
    assert_eq!(net.log.len(), records);
}

/// The clock rates differ by a tenth and there is no grace, so only the drift bound prevents two
/// owners. The owner's last read is sent just before the claim is appended.
#[rstest]
fn drift_bound_alone_prevents_two_owners(
    #[values(50, 51, 52, 53)] seed: u64,
    #[values(100_000, -90_000)] skew: i64,
) {
    let timers = Timers::default()
        .with_drift(Drift::from_ppm(100_000))
        .with_grace(Span::ZERO);
    let mut net = Net::with_skew(3, 8, timers, seed, skew);
    net.run(Span::from_secs(20));
    for owner in 0..3 {
        net.isolate(owner);
        net.poll = Span::ZERO;
        let start = net.log.len();
        let id = net.id(owner);
        net.wait_for(|net| {
            net.find(
                start,
                |record| matches!(record, OwnerRecord::Claim(claim) if claim.owner != id),
            )
            .is_some()
        });
        net.nodes[owner].log_cut = true;
        net.poll = Span::from_millis(500);
        net.run(Span::from_secs(10));
        net.heal();
        net.run(Span::from_secs(30));
        assert!(net.all_dispatched());
    }
}
