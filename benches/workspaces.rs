//! Measures the look-up of API keys by the number of keys.

use {
    siskinstep::{
        catalog::{Table, Workspace},
        workspaces::{self, Credential, Digest, Index},
    },
    std::{
        hint::black_box,
        time::{Duration, Instant},
    },
};

/// Keys of one workspace.
const KEYS_PER_WORKSPACE: usize = 100;
/// Look-ups in one run.
const LOOK_UPS: u32 = 2_000_000;
const RUNS: usize = 5;

fn workspace(number: usize) -> Workspace {
    let range = number * KEYS_PER_WORKSPACE..(number + 1) * KEYS_PER_WORKSPACE;
    let mut keys: Vec<Digest> = range.map(digest).collect();
    keys.sort_unstable();
    Workspace {
        keys,
        rank: None,
        rate: 0,
        burst: 0,
        homes: Vec::new(),
        source: String::new(),
    }
}

fn digest(number: usize) -> Digest {
    Digest::of(format!("key-{number}").as_bytes())
}

/// Time of one pass of look-ups, in nanoseconds for each.
fn measure(index: &Index, credentials: &[Credential]) -> f64 {
    let started = Instant::now();
    for (credential, _) in credentials.iter().cycle().zip(0..LOOK_UPS) {
        let identity = workspaces::identify(index, false, *black_box(credential), true);
        let _ = black_box(identity);
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(LOOK_UPS)
}

fn main() {
    for count in [100, 10_000, 1_000_000] {
        let mut table = Table::default();
        for number in 0..count / KEYS_PER_WORKSPACE {
            table.put(&format!("workspace-{number:06}"), workspace(number), 1);
        }
        let mut index = Index::default();
        let started = Instant::now();
        index.apply(&table, true);
        let built: Duration = started.elapsed();
        // The same number of distinct keys for every size, so that the cache holds the credentials themselves.
        let step = (count / 100).max(1);
        let known: Vec<Credential> = (0..count)
            .step_by(step)
            .map(|number| Credential::Key(digest(number)))
            .collect();
        let scattered: Vec<Credential> = (0..count.min(100_000))
            .map(|number| Credential::Key(digest(number * 7_919 % count)))
            .collect();
        let unknown: Vec<Credential> = (count..count + 100)
            .map(|number| Credential::Key(digest(number)))
            .collect();
        for (name, credentials) in [
            ("100 known", &known),
            ("scattered", &scattered),
            ("100 unknown", &unknown),
        ] {
            let mut runs: Vec<f64> = (0..RUNS).map(|_| measure(&index, credentials)).collect();
            runs.sort_by(f64::total_cmp);
            println!(
                "{count} keys, {name}: {:.1} ns median, {:.1} to {:.1}",
                runs[RUNS / 2],
                runs[0],
                runs[RUNS - 1]
            );
        }
        println!("{count} keys, index built in {} us", built.as_micros());
    }
}
