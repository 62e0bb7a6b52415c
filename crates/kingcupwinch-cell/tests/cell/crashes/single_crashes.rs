//! Gangs on most of a small service, whose workers crash one at a time.

use std::ops::Range;

use kingcupwinch_cell::JobState;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::gang;
use super::play::{DOWN_MS, MAX_STARTS, Play, Return};

const WORKERS: usize = 12;
/// How long workers crash, and the calm after it.
const CRASHES_MS: u64 = 60_000;
const CALM_MS: u64 = 60_000;
/// The numbers of the harmless gangs.
const HARMLESS: Range<u64> = 100..104;

/// Guards against a harmless gang that is given up after the crashes of three single workers, since it runs
/// on nearly all of them.
#[test]
fn a_gang_on_most_workers_outlives_the_crashes_of_single_ones() {
    let mut play = Play::new(WORKERS, Return::SameId);
    play.run_ms = 15_000;
    let mut spec = gang(10);
    spec.steps[0].worker_limit = Some(1);
    play.submit(1, spec);
    for _ in 0..3 {
        while !play.is_running(1) {
            play.round();
        }
        play.run(2_500);
        play.crash_first();
        play.run(DOWN_MS + 3_500);
    }
    assert_eq!(play.state(1), Some(JobState::Running));
    play.run(30_000);
    assert_eq!(play.state(1), Some(JobState::Completed));
}

/// What went wrong in some worlds, by gangs.
#[derive(Debug, Default, PartialEq)]
struct Errors {
    given_up: u32,
    /// Neither given up nor completed at the end of the calm.
    unserved: u32,
    /// Gangs that crash their workers and started more often than they may.
    started: u32,
    /// Such gangs that were not given up.
    kept: u32,
    /// The most starts of such a gang.
    most_starts: u32,
}

/// Plays a minute in which a worker crashes every 2 to 10 s, beside gangs of 3 to 12 tasks.
fn play_crashes(seed: u64, crashing: u64, errors: &mut Errors) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let returns = *[Return::SameId, Return::OtherId].choose(&mut rng).unwrap();
    let mut play = Play::new(WORKERS, returns);
    play.run_ms = rng.random_range(4_000..9_500);
    play.crash_ms = rng.random_range(0..1_500);
    for number in HARMLESS {
        let mut spec = gang(rng.random_range(3..=12));
        spec.steps[0].worker_limit = Some(1);
        play.submit(number, spec);
    }
    for number in 1..=crashing {
        let mut spec = gang(rng.random_range(3..=12));
        spec.steps[0].worker_limit = Some(1);
        play.submit_crashing(number, spec);
    }
    let mut left_ms = CRASHES_MS;
    while left_ms > 0 {
        let pause = rng.random_range(2_000..=10_000).min(left_ms);
        play.run(pause);
        left_ms -= pause;
        let up = |index: &usize| play.hosts[*index].down_until.is_none();
        let up: Vec<usize> = (0..play.hosts.len()).filter(up).collect();
        play.crash(*up.choose(&mut rng).unwrap());
    }
    play.run(CALM_MS);
    for number in HARMLESS {
        let state = play.state(number);
        errors.given_up += u32::from(state == Some(JobState::Failed));
        let is_over = matches!(state, Some(JobState::Failed | JobState::Completed));
        errors.unserved += u32::from(!is_over);
        if state != Some(JobState::Completed) {
            println!("seed {seed}, {crashing} beside it: job {number} is {state:?}");
        }
    }
    for number in 1..=crashing {
        let starts = play.starts(number);
        errors.started += u32::from(starts > MAX_STARTS);
        errors.kept += u32::from(play.state(number) != Some(JobState::Failed));
        errors.most_starts = errors.most_starts.max(starts);
    }
}

/// Guards against gangs that are given up for crashes that hit any task on most of the workers.
#[rstest::rstest]
fn no_harmless_gang_is_given_up_for_single_crashes(#[values(0, 10, 20, 30)] first: u64) {
    let mut errors = Errors::default();
    for seed in first..first + 10 {
        play_crashes(seed, 0, &mut errors);
    }
    assert_eq!((errors.given_up, errors.unserved), (0, 0), "{errors:?}");
}

/// Plays the seeds of `SINGLE_CRASH_SEEDS=FIRST..AFTER`, for longer searches by hand.
#[test]
fn search_many_single_crashes() {
    let Ok(range) = std::env::var("SINGLE_CRASH_SEEDS") else {
        return;
    };
    let (first, after) = range.split_once("..").unwrap();
    for crashing in [0, 1] {
        let mut errors = Errors::default();
        for seed in first.parse().unwrap()..after.parse().unwrap() {
            play_crashes(seed, crashing, &mut errors);
        }
        println!("{crashing} gangs that crash their workers: {errors:?}");
    }
}
