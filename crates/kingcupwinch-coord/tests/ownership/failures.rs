//! Single failures of instances, links, the log and the instance list.

use kingcupwinch_coord::id::ShardId;
use kingcupwinch_coord::ownership::{Event, Message, Note, Phase, Timers};
use kingcupwinch_coord::record::OwnerRecord;
use kingcupwinch_time::{Drift, Span};
use rstest::rstest;

use crate::net::{Net, settled, settled_with};

/// Maximum time until the shards of a failed owner are served again.
const TAKEOVER_TARGET: Span = Span::from_secs(8);
/// Maximum time if only the instance list proves the failure, including its delay and lag bound.
const LIST_TAKEOVER_TARGET: Span = Span::from_secs(22);
const MINUTE: Span = Span::from_secs(60);

fn assert_served_in(net: &mut Net, bound: Span) {
    let took = net.run_until_served(bound);
    assert!(
        took.is_some(),
        "not served after {bound:?}: {:?}",
        net.counts()
    );
}

fn joins_and_leaves(net: &Net) -> usize {
    net.log
        .iter()
        .flatten()
        .filter(|record| {
            matches!(
                record.body,
                OwnerRecord::Join(_) | OwnerRecord::Leave(_) | OwnerRecord::Retire(_)
            )
        })
        .count()
}

#[rstest]
#[case(1, &[16])]
#[case(3, &[5, 5, 6])]
#[case(5, &[3, 3, 3, 3, 4])]
fn shards_are_balanced_and_the_log_stays_quiet(#[case] nodes: usize, #[case] expected: &[usize]) {
    let mut net = settled(nodes, 16, 1);
    let mut counts = net.counts();
    counts.sort_unstable();
    assert_eq!(counts, expected);
    let records = net.log.len();
    net.run(Span::from_secs(300));
    assert_eq!(net.log.len(), records);
}

#[test]
fn shares_follow_declared_weights() {
    let mut net = Net::new(2, 16, Timers::default(), 1);
    net.start("big", 2);
    net.run(Span::from_secs(30));
    assert_eq!(net.counts(), [4, 4, 8]);
}

#[rstest]
fn silent_owner_is_replaced_within_the_target(
    #[values(3, 4, 7)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut net = settled(nodes, 16, seed);
    net.kill(net.busiest());
    assert_served_in(&mut net, TAKEOVER_TARGET);
}

#[test]
fn owner_paused_beyond_its_lease_loses_its_shards_and_serves_again() {
    let mut net = settled(3, 8, 3);
    let owner = net.busiest();
    net.pause(owner, Span::from_secs(20));
    assert_served_in(&mut net, TAKEOVER_TARGET);
    assert_eq!(net.counts()[owner], 0);
    net.run(MINUTE);
    assert!(net.counts()[owner] > 0);
}

/// The claimants are paused at different moments of a takeover and resume much later.
#[rstest]
fn claimant_paused_during_takeover_causes_no_second_owner(
    #[values(1_600, 1_800, 2_000, 2_200, 2_600, 3_500)] after_ms: u64,
    #[values(3, 30)] pause_secs: u64,
) {
    let mut net = settled(3, 8, 4);
    let owner = net.busiest();
    net.isolate(owner);
    net.run(Span::from_millis(after_ms));
    let successors: Vec<usize> = net
        .serving()
        .into_iter()
        .filter(|node| *node != owner)
        .collect();
    for successor in successors {
        net.pause(successor, Span::from_secs(pause_secs));
    }
    net.run(Span::from_secs(pause_secs + 5));
    net.heal();
    net.run(Span::from_secs(10));
    assert_served_in(&mut net, TAKEOVER_TARGET);
}

/// A claim that has a quorum of votes is appended long after the owner is in contact again.
#[test]
fn late_claim_loses_to_the_reclaim_of_its_owner() {
    let mut net = settled(3, 8, 5);
    let owner = net.busiest();
    net.isolate(owner);
    net.append_delay = (Span::from_secs(20), Span::from_secs(20));
    net.run(Span::from_millis(2_500));
    net.heal();
    net.run(Span::from_secs(5));
    let records = net.log.len();
    net.run(MINUTE);
    assert!(net.log.len() > records, "no late claim was appended");
    assert!(net.all_dispatched());
    assert!(net.counts()[owner] > 0);
    let is_voted_against = |note: &Note| matches!(note, Note::VotedAgainst { .. });
    assert!(net.nodes[owner].notes.iter().any(is_voted_against));
}

#[test]
fn partition_between_siblings_keeps_one_owner_per_shard() {
    let mut net = settled(5, 16, 6);
    for left in 0..2 {
        for right in 2..5 {
            net.cut(left, right);
        }
    }
    net.run(MINUTE);
    assert!(net.all_dispatched());
    net.heal();
    net.run(MINUTE);
    assert!(net.counts().iter().all(|count| *count >= 3));
}

#[test]
fn majority_side_of_a_partition_serves_during_a_log_outage() {
    let mut net = settled(5, 20, 7);
    net.log_down = true;
    for left in 0..2 {
        for right in 2..5 {
            net.cut(left, right);
        }
    }
    net.run(MINUTE);
    assert_eq!(net.counts(), [0, 0, 4, 4, 4]);
    net.heal();
    net.run(Span::from_secs(5));
    assert!(net.all_dispatched());
}

#[test]
fn log_outage_longer_than_every_timer_keeps_all_shards_served() {
    let mut net = settled(3, 16, 8);
    net.log_down = true;
    for _ in 0..600 {
        net.run(Span::from_secs(1));
        assert!(net.all_dispatched());
    }
    net.heal();
    net.run(MINUTE);
    assert!(net.all_dispatched());
}

#[test]
fn instance_without_the_log_continues_on_relayed_records() {
    let mut net = settled(3, 16, 9);
    net.nodes[1].log_cut = true;
    let records = net.log.len();
    for _ in 0..120 {
        net.run(Span::from_secs(1));
        assert!(net.all_dispatched());
    }
    assert_eq!(net.log.len(), records);
}

#[test]
fn sibling_that_crashes_in_an_outage_is_replaced_after_it() {
    let mut net = settled(3, 16, 10);
    net.log_down = true;
    net.run(Span::from_secs(10));
    net.kill(1);
    net.run(MINUTE);
    let served = net.counts().iter().sum::<usize>();
    assert!((10..=11).contains(&served), "{served}");
    net.heal();
    assert_served_in(&mut net, TAKEOVER_TARGET);
}

#[test]
fn isolated_owner_stops_within_its_lease() {
    let mut net = settled(3, 16, 11);
    net.isolate(2);
    net.nodes[2].log_cut = true;
    net.run(Span::from_millis(2_100));
    assert_eq!(net.counts()[2], 0);
    assert_served_in(&mut net, TAKEOVER_TARGET);
}

#[test]
fn owner_that_receives_nothing_but_sends_heartbeats_is_replaced() {
    let mut net = settled(3, 16, 12);
    net.nodes[2].log_cut = true;
    net.cut_one_way(0, 2);
    net.cut_one_way(1, 2);
    net.run(Span::from_secs(5));
    assert_served_in(&mut net, TAKEOVER_TARGET);
    assert_eq!(net.counts()[2], 0);
}

/// Every append acknowledgement is lost, so records are appended twice but applied once.
#[test]
fn lost_append_acknowledgements_change_nothing() {
    let mut net = settled(3, 16, 13);
    net.lose_replies = true;
    net.kill(0);
    assert_served_in(&mut net, TAKEOVER_TARGET);
    net.start("entry-0", 1);
    net.run(MINUTE);
    assert!(net.all_dispatched());
}

#[test]
fn racing_claims_have_one_winner() {
    let mut net = settled(4, 16, 14);
    net.kill(0);
    net.append_delay = (Span::from_millis(1_900), Span::from_millis(2_000));
    net.run(Span::from_secs(30));
    assert!(net.all_dispatched());
}

#[test]
fn rolling_replacement_keeps_shards_served() {
    let mut net = settled(3, 16, 15);
    let mut longest = Span::ZERO;
    for instance in 0..3 {
        net.send_event(instance, Event::Drain);
        while net.nodes[instance].alive {
            net.run(Span::from_millis(10));
            if !net.all_dispatched() {
                longest = longest.max(net.run_until_served(TAKEOVER_TARGET).unwrap_or(MINUTE));
            }
        }
        net.start(&format!("entry-{instance}"), 1);
        net.run(Span::from_secs(20));
        assert!(net.all_dispatched());
    }
    assert!(longest < Span::from_secs(1), "{longest:?}");
    assert_eq!(net.serving(), [3, 4, 5]);
    assert!(net.counts()[3..].iter().all(|count| *count >= 5));
}

#[test]
fn shards_are_served_again_after_each_of_a_series_of_crashes() {
    let mut net = settled(3, 16, 16);
    for instance in 0..3 {
        net.restart(instance);
        net.run(Span::from_secs(40));
        assert!(net.all_dispatched());
    }
    let members = net.nodes[5].coord.group().members().len();
    assert_eq!(members, 3);
}

#[test]
fn domain_recovers_when_all_instances_crash_at_once() {
    let mut net = settled(3, 16, 17);
    for instance in 0..3 {
        net.restart(instance);
    }
    assert_served_in(&mut net, TAKEOVER_TARGET);
}

#[test]
fn two_crashes_of_three_are_resolved_by_the_instance_list() {
    let mut net = settled(3, 16, 18);
    net.kill(0);
    net.kill(1);
    assert_served_in(&mut net, LIST_TAKEOVER_TARGET);
}

#[test]
fn without_the_instance_list_two_crashes_of_three_need_an_operator() {
    let timers = Timers::default().with_list_lag(None);
    let mut net = settled_with(3, 16, timers, 19);
    net.kill(0);
    net.kill(1);
    net.run(MINUTE);
    assert!(!net.all_dispatched());
    for dead in 0..2 {
        let retire = OwnerRecord::Retire(net.nodes[dead].coord.member().incarnation);
        net.append_raw(Some(crate::input::stamped(dead as u64, retire)));
    }
    assert_served_in(&mut net, TAKEOVER_TARGET);
}

/// An instance that was retired by mistake stops, and another one takes over its shards.
#[test]
fn live_instance_that_is_retired_stops() {
    let mut net = settled(3, 16, 24);
    let retire = OwnerRecord::Retire(net.id(1));
    net.append_raw(Some(crate::input::stamped(1, retire)));
    net.run(Span::from_secs(1));
    assert!(!net.nodes[1].alive);
    assert_served_in(&mut net, TAKEOVER_TARGET);
}

/// An instance that starts during an outage of the log learns the owners but does not join.
#[test]
fn new_instance_learns_the_owners_by_relay_in_an_outage() {
    let mut net = settled(3, 16, 25);
    net.log_down = true;
    let new_member = net.start("entry-3", 1);
    net.run(Span::from_secs(3));
    assert!(net.nodes[new_member].coord.owner_of(ShardId(0)).is_none());
    let ask = net.nodes[new_member].coord.relay_request(net.now);
    let from = net.id(new_member);
    let body = Message::RelayRequest(ask);
    net.send_event(0, Event::Message { from, body });
    net.run(Span::from_secs(1));
    for shard in 0..16 {
        let known = net.nodes[new_member].coord.owner_of(ShardId(shard));
        assert_eq!(known, net.nodes[0].coord.owner_of(ShardId(shard)));
    }
    assert_eq!(net.counts()[new_member], 0);
    assert_eq!(net.nodes[new_member].coord.phase(), Phase::Joining);
}

#[test]
fn flapping_instance_list_moves_no_shard() {
    let mut net = settled(3, 16, 20);
    let records = net.log.len();
    net.flaky_list = true;
    net.run(Span::from_secs(300));
    assert_eq!(net.log.len(), records);
}

#[test]
fn join_moves_the_fewest_shards() {
    let mut net = settled(3, 16, 21);
    let before: Vec<Option<usize>> = (0..16).map(|shard| net.dispatcher(shard)).collect();
    net.start("entry-3", 1);
    net.run(MINUTE);
    let moved = (0..16)
        .filter(|shard| net.dispatcher(*shard) != before[usize::from(*shard)])
        .count();
    assert_eq!(moved, 4);
    assert_eq!(joins_and_leaves(&net), 4);
}

/// The clock rates differ by the full drift bound while an owner is cut off from all others.
#[rstest]
fn drift_at_the_bound_keeps_one_owner(#[values(1_000, -999)] skew: i64) {
    let timers = Timers::default().with_drift(Drift::from_ppm(1_000));
    let mut net = Net::with_skew(3, 8, timers, 22, skew);
    net.run(Span::from_secs(15));
    for owner in 0..3 {
        assert!(net.counts()[owner] > 0);
        net.isolate(owner);
        net.nodes[owner].log_cut = true;
        net.run(Span::from_secs(3));
        assert_eq!(net.counts()[owner], 0);
        assert_served_in(&mut net, TAKEOVER_TARGET);
        net.heal();
        net.run(MINUTE);
        assert!(net.all_dispatched());
    }
}

#[test]
fn heartbeats_go_only_to_voters() {
    let mut net = Net::new(20, 64, Timers::default(), 23);
    net.checked = false;
    net.run(Span::from_secs(60));
    assert!(net.all_dispatched());
    net.keep_sent = true;
    net.run(Span::from_secs(10));
    let heartbeats = net
        .sent
        .iter()
        .filter(|(_, message)| matches!(message, Message::Heartbeat(_)))
        .count();
    let voters = Timers::default().max_voters - 1;
    assert!(heartbeats <= 20 * voters * 21, "{heartbeats}");
}
