//! Configuration of the tests that compare real state machines with the specifications.

use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 20_261_203;

/// Returns a configuration with a fixed seed and `cases` cases, which the environment variables
/// `PROPTEST_RNG_SEED` and `PROPTEST_CASES` override.
pub(crate) fn config(cases: u32) -> Config {
    let env_number = |name| std::env::var(name).ok().and_then(|v| v.parse().ok());
    let seed = env_number("PROPTEST_RNG_SEED").unwrap_or(SEED);
    let env_cases = env_number("PROPTEST_CASES").and_then(|n| u32::try_from(n).ok());
    Config {
        cases: env_cases.unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
