//! Runs a property on generated inputs of fixed seeds, so that every run has one verdict.
//!
//! `bolero` makes the inputs; its own runner draws seeds from the system, so the seeds are counted
//! here. `SISKINSTEP_FUZZ_STEPS` asks for a longer run, `SISKINSTEP_FUZZ_SEED` for one seed.

use {
    bolero::{
        TypeGenerator,
        generator::bolero_generator::driver::{Options, Rng},
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{fmt::Debug, panic},
};

const LONGEST_INPUT_BYTES: usize = 1 << 16;

/// Calls `property` with `count` inputs of the seeds from zero. A failure names its seed.
pub(crate) fn check<T: TypeGenerator + Debug>(count: u64, property: impl Fn(&T)) {
    let seeds = match (
        number("SISKINSTEP_FUZZ_SEED"),
        number("SISKINSTEP_FUZZ_STEPS"),
    ) {
        (Some(seed), _) => seed..seed + 1,
        (None, steps) => 0..steps.unwrap_or(count),
    };
    for seed in seeds {
        let options = Options::default().with_max_len(LONGEST_INPUT_BYTES);
        let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
        let Some(input) = T::generate(&mut driver) else {
            continue;
        };
        let result = panic::catch_unwind(panic::AssertUnwindSafe(|| property(&input)));
        if let Err(cause) = result {
            eprintln!("SISKINSTEP_FUZZ_SEED={seed} repeats it; input: {input:?}");
            panic::resume_unwind(cause);
        }
    }
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}
