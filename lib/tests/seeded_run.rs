//! Property test runs with a fixed seed.

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The number of cases per property; the variable `DAMASKLOOM_CASES` overrides it.
const DEFAULT_CASES: u32 = 10_000;

/// Makes a property runner with a fixed seed.
pub fn seeded_runner(seed: u8) -> TestRunner {
    let setting = std::env::var("DAMASKLOOM_CASES").ok();
    let cases = setting.and_then(|cases| cases.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(config, rng)
}
