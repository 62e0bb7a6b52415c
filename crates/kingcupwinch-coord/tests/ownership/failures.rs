//! Failures of a domain brought about one by one.

use kingcupwinch_coord::id::ShardId;
use kingcupwinch_coord::ownership::{Event, Message, Note, Phase, Timers};
use kingcupwinch_coord::record::OwnerRecord;
use kingcupwinch_time::{Drift, Span};
use rstest::rstest;

use crate::net::{Net, settled, settled_with};

/// A silent owner's capacity is back within this time.
const TARGET: Span = Span::from_secs(8);
/// The same where only the instance list can tell: its own delay and lag bound come on top.
const LIST_TARGET: Span = Span::from_secs(22);
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
fn shards_are_spread_evenly_and_the_log_rests(#[case] nodes: usize, #[case] expected: &[usize]) {
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
fn a_silent_owner_is_replaced_in_time(
    #[values(3, 4, 7)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut net = settled(nodes, 16, seed);
    net.kill(net.busiest());
    assert_served_in(&mut net, TARGET);
}

#[test]
fn an_owner_paused_across_its_lease_loses_its_shards_and_serves_again() {
    let mut net = settled(3, 8, 3);
    let owner = net.busiest();
    net.pause(owner, Span::from_secs(20));
    assert_served_in(&mut net, TARGET);
    assert_eq!(net.counts()[owner], 0);
    net.run(MINUTE);
    assert!(net.counts()[owner] > 0);
}

/// The claimant pauses at each moment of a take-over and wakes much later.
#[rstest]
fn a_claimant_that_wakes_in_a_take_over_harms_nothing(
    #[values(1_600, 1_800, 2_000, 2_200, 2_600, 3_500)] after_ms: u64,
    #[values(3, 30)] pause_secs: u64,
) {
    let mut net = settled(3, 8, 4);
    let owner = net.busiest();
    net.isolate(owner);
    net.run(Span::from_millis(after_ms));
    let heirs: Vec<usize> = net
        .serving()
        .into_iter()
        .filter(|node| *node != owner)
        .collect();
    for heir in heirs {
        net.pause(heir, Span::from_secs(pause_secs));
    }
    net.run(Span::from_secs(pause_secs + 5));
    net.heal();
    net.run(Span::from_secs(10));
    assert_served_in(&mut net, TARGET);
}

/// A claim with support is appended long after the owner was heard again.
#[test]
fn a_late_claim_finds_the_owner_claimed_again() {
    let mut net = settled(3, 8, 5);
    let owner = net.busiest();
    net.isolate(owner);
    net.append_delay = (Span::from_secs(20), Span::from_secs(20));
    net.run(Span::from_millis(2_500));
    net.heal();
    net.run(Span::from_secs(5));
    let records = net.log.len();
    net.run(MINUTE);
    assert!(net.log.len() > records, "no late claim came");
    assert!(net.all_dispatched());
    assert!(net.counts()[owner] > 0);
    let is_distrusted = |note: &Note| matches!(note, Note::VotedAgainst { .. });
    assert!(net.nodes[owner].notes.iter().any(is_distrusted));
}

#[test]
fn both_sides_of_a_cut_between_siblings_keep_one_owner() {
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
fn the_larger_side_serves_in_an_outage_and_the_smaller_stops() {
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
fn an_outage_longer_than_every_timer_stops_nothing() {
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
fn an_instance_cut_from_the_log_goes_on_by_relays() {
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
fn a_sibling_that_dies_in_an_outage_is_replaced_after_it() {
    let mut net = settled(3, 16, 10);
    net.log_down = true;
    net.run(Span::from_secs(10));
    net.kill(1);
    net.run(MINUTE);
    let served = net.counts().iter().sum::<usize>();
    assert!((10..=11).contains(&served), "{served}");
    net.heal();
    assert_served_in(&mut net, TARGET);
}

#[test]
fn an_owner_cut_off_from_all_stops_within_its_lease() {
    let mut net = settled(3, 16, 11);
    net.isolate(2);
    net.nodes[2].log_cut = true;
    net.run(Span::from_millis(2_100));
    assert_eq!(net.counts()[2], 0);
    assert_served_in(&mut net, TARGET);
}

#[test]
fn an_owner_that_hears_nobody_but_is_heard_is_replaced() {
    let mut net = settled(3, 16, 12);
    net.nodes[2].log_cut = true;
    net.cut_one_way(0, 2);
    net.cut_one_way(1, 2);
    net.run(Span::from_secs(5));
    assert_served_in(&mut net, TARGET);
    assert_eq!(net.counts()[2], 0);
}

/// Every answer to an append is lost: records come twice and still count once.
#[test]
fn lost_answers_after_appends_change_nothing() {
    let mut net = settled(3, 16, 13);
    net.lose_answers = true;
    net.kill(0);
    assert_served_in(&mut net, TARGET);
    net.start("entry-0", 1);
    net.run(MINUTE);
    assert!(net.all_dispatched());
}

#[test]
fn two_racing_claims_have_one_winner() {
    let mut net = settled(4, 16, 14);
    net.kill(0);
    net.append_delay = (Span::from_millis(1_900), Span::from_millis(2_000));
    net.run(Span::from_secs(30));
    assert!(net.all_dispatched());
}

#[test]
fn all_instances_are_replaced_one_after_another() {
    let mut net = settled(3, 16, 15);
    let mut longest = Span::ZERO;
    for instance in 0..3 {
        net.tell(instance, Event::Drain);
        while net.nodes[instance].alive {
            net.run(Span::from_millis(10));
            if !net.all_dispatched() {
                longest = longest.max(net.run_until_served(TARGET).unwrap_or(MINUTE));
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
fn all_instances_crash_and_restart_one_after_another() {
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
fn a_whole_domain_that_crashes_at_once_comes_back() {
    let mut net = settled(3, 16, 17);
    for instance in 0..3 {
        net.restart(instance);
    }
    assert_served_in(&mut net, TARGET);
}

#[test]
fn two_deaths_of_three_are_settled_by_the_list() {
    let mut net = settled(3, 16, 18);
    net.kill(0);
    net.kill(1);
    assert_served_in(&mut net, LIST_TARGET);
}

#[test]
fn without_the_list_two_deaths_of_three_wait_for_a_person() {
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
    assert_served_in(&mut net, TARGET);
}

/// An instance that was declared dead by mistake stops for good, and another one takes its shards.
#[test]
fn a_retired_instance_that_lives_stops() {
    let mut net = settled(3, 16, 24);
    let retire = OwnerRecord::Retire(net.id(1));
    net.append_raw(Some(crate::input::stamped(1, retire)));
    net.run(Span::from_secs(1));
    assert!(!net.nodes[1].alive);
    assert_served_in(&mut net, TARGET);
}

/// An instance that starts in an outage learns the owners from a sibling, and owns nothing.
#[test]
fn a_newcomer_in_an_outage_learns_the_owners_by_relay() {
    let mut net = settled(3, 16, 25);
    net.log_down = true;
    let newcomer = net.start("entry-3", 1);
    net.run(Span::from_secs(3));
    assert!(net.nodes[newcomer].coord.owner_of(ShardId(0)).is_none());
    let ask = net.nodes[newcomer].coord.relay_request(net.now);
    let from = net.id(newcomer);
    let body = Message::RelayRequest(ask);
    net.tell(0, Event::Message { from, body });
    net.run(Span::from_secs(1));
    for shard in 0..16 {
        let known = net.nodes[newcomer].coord.owner_of(ShardId(shard));
        assert_eq!(known, net.nodes[0].coord.owner_of(ShardId(shard)));
    }
    assert_eq!(net.counts()[newcomer], 0);
    assert_eq!(net.nodes[newcomer].coord.phase(), Phase::Joining);
}

#[test]
fn a_flickering_list_moves_nothing() {
    let mut net = settled(3, 16, 20);
    let records = net.log.len();
    net.flicker = true;
    net.run(Span::from_secs(300));
    assert_eq!(net.log.len(), records);
}

#[test]
fn one_join_moves_the_least() {
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

/// Clocks apart by the bound, an owner cut off from all.
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
        assert_served_in(&mut net, TARGET);
        net.heal();
        net.run(MINUTE);
        assert!(net.all_dispatched());
    }
}

#[test]
fn heartbeats_go_to_voters_alone() {
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
