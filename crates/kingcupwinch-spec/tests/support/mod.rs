//! Settings of the tests that hold the real state machines against the specifications.

use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 20_261_203;

/// A fixed seed and `cases` cases, unless `PROPTEST_CASES` or `PROPTEST_RNG_SEED` asks for others.
pub(crate) fn config(cases: u32) -> Config {
    let asked = |name| std::env::var(name).ok().and_then(|v| v.parse().ok());
    let seed = asked("PROPTEST_RNG_SEED").unwrap_or(SEED);
    let more = asked("PROPTEST_CASES").and_then(|n| u32::try_from(n).ok());
    Config {
        cases: more.unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
