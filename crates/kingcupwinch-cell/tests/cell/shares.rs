//! The places of customers by their weighted shares.

use std::collections::VecDeque;
use std::sync::Arc;

use kingcupwinch_cell::{Resources, ShareTable};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn cores(cpu: u64) -> Resources {
    Resources {
        cpu,
        memory: 0,
        gpu: 0,
    }
}

fn name(number: usize) -> Option<Arc<str>> {
    Some(format!("customer-{number}").into())
}

/// Places by one resource alone would let a customer take all of another.
#[test]
fn the_dominant_resource_decides() {
    let used = Resources {
        cpu: 10,
        memory: 60,
        gpu: 0,
    };
    let table = ShareTable::new(Resources {
        cpu: 100,
        memory: 100,
        gpu: 0,
    });
    let table = table
        .with_customer(name(0), 1.0, used)
        .with_customer(name(1), 1.0, cores(40));
    assert!(table.rank(&name(0)).is_over());
    assert!(!table.rank(&name(1)).is_over());
}

/// With equal places a customer of three times the weight would get no more than the other.
#[test]
fn shares_are_weighted() {
    let mut table = ShareTable::new(cores(100))
        .with_customer(name(0), 3.0, cores(70))
        .with_customer(None, 1.0, cores(30));
    assert!(table.rank(&name(0)) < table.rank(&None));
    table.add(&name(0), cores(30));
    assert!(table.rank(&name(0)).is_over());
    assert!(
        table.rank(&name(0)) > table.rank(&None),
        "133 against 120 percent of the share"
    );
}

/// Without customers the order must not change, however much is placed in a round.
#[test]
fn all_count_alike_while_only_one_has_work() {
    let mut table = ShareTable::new(cores(100)).with_customer(None, 1.0, cores(100));
    table.add(&None, cores(500));
    assert!(!table.rank(&None).is_over());
    assert!(!ShareTable::default().rank(&None).is_over());
}

/// A customer without weight has no share, and no rank may depend on a division by zero.
#[test]
fn a_customer_without_weight_comes_last() {
    let table = ShareTable::new(cores(100))
        .with_customer(name(0), 0.0, cores(1))
        .with_customer(name(1), 1.0, cores(1_000));
    assert!(table.rank(&name(0)) > table.rank(&name(1)));
}

/// What one customer takes beyond its share must leave room for what the others send next; without
/// customers, or within the shares, nothing may stay unused.
#[test]
fn only_the_customer_furthest_over_its_share_leaves_a_reserve() {
    let alone = ShareTable::new(cores(100)).with_customer(None, 1.0, cores(99));
    assert!(alone.may_take(&None, cores(1)));
    let table = ShareTable::new(cores(100))
        .with_customer(name(0), 1.0, cores(52))
        .with_customer(name(1), 1.0, cores(40))
        .with_customer(name(2), 1.0, cores(3));
    assert!(!table.may_take(&name(0), cores(5)));
    assert!(table.may_take(&name(0), cores(6)));
    assert!(table.may_take(&name(1), cores(5)));
    assert!(table.may_take(&name(2), cores(5)));
}

const CUSTOMERS: usize = 20;
/// What deployment N has beside the work of its two other queues: 11,200 cores without 900 for priority 0
/// and 2,925 for gangs, in tasks of 3.5 cores.
const SLOTS: usize = 2_100;
const ROUND_MS: u64 = 10;
/// A call to the adviser for a step of 25 tasks, which names about as many workers.
const CALL_MS: u64 = 110;
const RUN_MS: u64 = 2_200;
const STEP_TASKS: usize = 25;
const END_MS: u64 = 60_000;

/// Returns the weight of a customer, which is in proportion to its usual load: the first is large.
fn weight(number: usize) -> f64 {
    if number == 0 { 5.0 } else { 1.0 }
}

/// Runs steps of 25 tasks of 2.2 s, as the least urgent queue of deployment N sends them, and returns the
/// 95th percentile of the waiting time of the tasks of all customers but the first, in milliseconds. The
/// first sends `factor` times its usual load from 20 s on for 8 s.
fn p95_wait(load: f64, factor: f64, uses_shares: bool, seed: u64) -> u64 {
    let mut random: Vec<ChaCha8Rng> = (0..CUSTOMERS as u64)
        .map(|number| ChaCha8Rng::seed_from_u64(seed * 100 + number))
        .collect();
    let names: Vec<_> = (0..CUSTOMERS).map(name).collect();
    let weights: f64 = (0..CUSTOMERS).map(weight).sum();
    let rate = load * SLOTS as f64 / weights / (STEP_TASKS as f64 * RUN_MS as f64);
    let mut queues: Vec<VecDeque<u64>> = vec![VecDeque::new(); CUSTOMERS];
    let mut running: VecDeque<(u64, usize)> = VecDeque::new();
    let mut used = [0_u64; CUSTOMERS];
    let mut waits = Vec::new();
    for now in (0..END_MS).step_by(ROUND_MS as usize) {
        for (number, queue) in queues.iter_mut().enumerate() {
            let is_burst = number == 0 && (20_000..28_000).contains(&now);
            let factor = if is_burst { factor } else { 1.0 };
            let chance = rate * weight(number) * factor * ROUND_MS as f64;
            if random[number].random_bool(chance.min(1.0)) {
                queue.extend([now; STEP_TASKS]);
            }
        }
        while let Some(&(end, number)) = running.front()
            && end <= now
        {
            running.pop_front();
            used[number] -= 1;
        }
        let mut table = ShareTable::new(cores(SLOTS as u64));
        for (number, used) in used.iter().enumerate() {
            table = table.with_customer(names[number].clone(), weight(number), cores(*used));
        }
        while running.len() < SLOTS {
            let free = cores((SLOTS - running.len()) as u64);
            let waiting = (0..CUSTOMERS).filter(|number| {
                let may_take = !uses_shares || table.may_take(&names[*number], free);
                !queues[*number].is_empty() && may_take
            });
            let key = |number: &usize| {
                let rank = table.rank(&names[*number]);
                (uses_shares.then_some(rank), queues[*number][0], *number)
            };
            let Some(number) = waiting.min_by_key(key) else {
                break;
            };
            let sent = queues[number].pop_front().unwrap();
            running.push_back((now + RUN_MS, number));
            used[number] += 1;
            table.add(&names[number], cores(1));
            if number > 0 && (20_000..40_000).contains(&sent) {
                waits.push(now - sent + CALL_MS);
            }
        }
    }
    waits.sort_unstable();
    waits[waits.len() * 95 / 100]
}

/// One customer sends six times its usual: in the order of arrival, all wait behind what it sends.
#[rstest]
#[case::usual(0.57)]
#[case::heavy(0.72)]
#[case::nearly_full(0.95)]
fn one_customer_sends_six_times_its_usual(#[case] load: f64, #[values(1, 2, 3)] seed: u64) {
    let usual = p95_wait(load, 1.0, true, seed);
    let burst = p95_wait(load, 6.0, true, seed);
    let by_arrival = p95_wait(load, 6.0, false, seed);
    println!("load {load}, seed {seed}: {usual} ms, {burst} ms, by arrival {by_arrival} ms");
    assert!(by_arrival > usual * 2, "the load shows no difference");
    assert!(burst * 10 < usual * 11, "{usual} ms became {burst} ms");
}
