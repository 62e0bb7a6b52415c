//! The crashes of one worker alone, which say nothing against the task on it.

use kingcupwinch_cell::{JobState, StepSpec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::play::{DOWN_MS, Play, Return};
use crate::harness::{job, step};

/// Guards against a harmless task that is given up since the one worker it may use goes down and up.
/// The times at which that worker crashes, and those at which owners are lost, are random.
#[rstest::rstest]
fn crashes_of_one_worker_alone_blame_no_task(
    #[values(true, false)] is_long_running: bool,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // The last worker is the only one of its rack.
    let mut play = Play::new(5, Return::SameId);
    play.run_ms = 600_000;
    let spec = StepSpec {
        required_label: Some("rack-1".into()),
        long_running: is_long_running,
        ..step(1, 1, 600_000)
    };
    play.submit(1, job(vec![spec]));
    for _ in 0..rng.random_range(3..8) {
        play.run(rng.random_range(500..4_000));
        play.crash(4);
        if rng.random_bool(0.3) {
            play.hand_over();
        }
        play.run(DOWN_MS);
    }
    play.run(8_000);
    assert_eq!(play.harness.job_state(1), Some(JobState::Running));
    assert_eq!(play.harness.running().len(), 1, "its task runs");
}
