//! Random fault schedules with fixed seeds.
//!
//! The environment variable `KCW_SCHEDULES` sets the number of schedules for each group of
//! settings, and `KCW_FIRST_SEED` the first seed.

use std::env;

use kingcupwinch_coord::ownership::{Event, Timers};
use kingcupwinch_time::{Drift, Span};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::net::Net;

const SCHEDULE_COUNT: u64 = 60;
const FAULT_COUNT: u32 = 25;
const DELAYS_MS: [u64; 4] = [50, 700, 3_000, 30_000];
const SHARD_COUNT: u16 = 6;
/// Difference between clock rates in tight settings, in parts per million.
const TIGHT_SKEW_PPM: u32 = 50_000;
/// Maximum time after the last fault until every shard is served, including the lag of the
/// instance list.
const RECOVERY_TARGET: Span = Span::from_secs(30);

/// Timers and network settings of a group of schedules.
#[derive(Debug, Clone, Copy)]
enum Setting {
    Usual,
    ShortPromises,
    /// No grace, clock rates that differ by a large drift bound, and short read polls.
    Tight,
    /// Fewer voters than members.
    FewVoters,
}

impl Setting {
    fn timers(self) -> Timers {
        let timers = Timers::default().with_snapshots(Span::from_secs(30), 40);
        match self {
            Setting::Usual => timers,
            Setting::ShortPromises => timers.with_promise(Span::from_millis(1_200)),
            Setting::FewVoters => timers.with_max_voters(3),
            Setting::Tight => timers
                .with_grace(Span::ZERO)
                .with_drift(Drift::from_ppm(TIGHT_SKEW_PPM)),
        }
    }

    fn net(self, nodes: usize, seed: u64) -> Net {
        let Setting::Tight = self else {
            return Net::new(nodes, SHARD_COUNT, self.timers(), seed);
        };
        let mut net = Net::with_skew(
            nodes,
            SHARD_COUNT,
            self.timers(),
            seed,
            TIGHT_SKEW_PPM.into(),
        );
        net.poll = Span::from_millis(20);
        net
    }
}

#[rstest]
fn random_faults_never_make_two_owners(
    #[values(2, 3, 4, 6)] nodes: usize,
    #[values(
        Setting::Usual,
        Setting::ShortPromises,
        Setting::Tight,
        Setting::FewVoters
    )]
    setting: Setting,
) {
    let first = number("KCW_FIRST_SEED", 0);
    for seed in first..first + number("KCW_SCHEDULES", SCHEDULE_COUNT) {
        run_schedule(nodes, setting, seed);
    }
}

/// Schedules that have found faults in the protocol.
#[rstest]
#[case::leaving_member_was_handed_a_shard(4, Setting::ShortPromises, 21)]
#[case::hand_over_to_a_member_that_left(4, Setting::Usual, 5)]
#[case::release_that_took_no_effect(3, Setting::ShortPromises, 54)]
#[case::hand_over_before_the_wait_was_over(3, Setting::Usual, 318)]
#[case::release_before_the_wait_was_over(4, Setting::ShortPromises, 1292)]
fn regression_schedules(#[case] nodes: usize, #[case] setting: Setting, #[case] seed: u64) {
    run_schedule(nodes, setting, seed);
}

fn number(name: &str, default: u64) -> u64 {
    env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn run_schedule(nodes: usize, setting: Setting, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut net = setting.net(nodes, seed);
    net.run(Span::from_secs(3));
    for _ in 0..FAULT_COUNT {
        inject(&mut net, &mut rng);
        net.run(Span::from_millis(rng.random_range(10..5_000)));
    }
    net.heal();
    net.run(Span::from_millis(1));
    let took = net.run_until_served(RECOVERY_TARGET);
    assert!(
        took.is_some(),
        "{nodes} nodes, {setting:?}, seed {seed}: not served, {:?}",
        net.counts()
    );
}

fn inject(net: &mut Net, rng: &mut ChaCha8Rng) {
    let alive: Vec<usize> = (0..net.nodes.len())
        .filter(|index| net.nodes[*index].alive)
        .collect();
    let Some(node) = pick(&alive, rng) else {
        net.start("entry-0", 1);
        return;
    };
    let other = pick(&alive, rng).unwrap_or(node);
    match rng.random_range(0..16) {
        0 => net.pause(node, Span::from_millis(rng.random_range(100..15_000))),
        1 => net.pause(node, Span::from_millis(rng.random_range(1_000..6_000))),
        2 => net.cut(node, other),
        3 => net.cut_one_way(node, other),
        4 => net.isolate(node),
        5 => net.nodes[node].log_cut = true,
        6 => net.log_down = true,
        7 => net.lose_replies = true,
        8 => net.loss = rng.random_range(0..60),
        9 => net.delay = Span::from_millis(DELAYS_MS[rng.random_range(0..DELAYS_MS.len())]),
        10 => net.append_delay.1 = Span::from_millis(rng.random_range(5..20_000)),
        11 => {
            net.restart(node);
        }
        12 => net.flaky_list = true,
        13 => replace(net, node),
        14 => net.log_down = false,
        _ => net.heal(),
    }
}

/// Drains an instance and starts a replacement with another name.
fn replace(net: &mut Net, node: usize) {
    net.send_event(node, Event::Drain);
    let successor = format!("entry-{}", net.nodes.len());
    net.start(&successor, 1);
}

fn pick(nodes: &[usize], rng: &mut ChaCha8Rng) -> Option<usize> {
    (!nodes.is_empty()).then(|| nodes[rng.random_range(0..nodes.len())])
}
