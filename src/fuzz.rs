//! Property tests on inputs generated from fixed seeds, so that results are reproducible.
//!
//! `bolero` generates the inputs. Its own runner takes random seeds from the system, so this module
//! iterates over the seeds instead. `SISKINSTEP_FUZZ_STEPS` sets the number of seeds,
//! `SISKINSTEP_FUZZ_SEED` runs a single seed.

use {
    bolero::{
        TypeGenerator,
        generator::bolero_generator::driver::{Options, Rng},
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{fmt::Debug, panic},
};

const MAX_INPUT_BYTES: usize = 1 << 16;

/// Calls `property` with one generated input for each seed from 0 to `count - 1`. Prints the seed and the
/// input when `property` panics.
pub(crate) fn check<T: TypeGenerator + Debug>(count: u64, property: impl Fn(&T)) {
    let seeds = match (
        number("SISKINSTEP_FUZZ_SEED"),
        number("SISKINSTEP_FUZZ_STEPS"),
    ) {
        (Some(seed), _) => seed..seed + 1,
        (None, steps) => 0..steps.unwrap_or(count),
    };
    for seed in seeds {
        let options = Options::default().with_max_len(MAX_INPUT_BYTES);
        let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
        let Some(input) = T::generate(&mut driver) else {
            continue;
        };
        let result = panic::catch_unwind(panic::AssertUnwindSafe(|| property(&input)));
        if let Err(cause) = result {
            eprintln!("reproduce with SISKINSTEP_FUZZ_SEED={seed}; input: {input:?}");
            panic::resume_unwind(cause);
        }
    }
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}
