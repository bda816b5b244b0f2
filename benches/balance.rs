//! Measures one selection among 100, 1,000 and 10,000 upstreams, for `docs/design/balance.md`. Not part of CI.

use {
    siskinstep::{
        balance::{
            Average, Estimate, Load, Ranking, Rankings,
            decide::{self, Candidate},
        },
        clock::Micros,
        keys::UpstreamKey,
    },
    slotmap::SlotMap,
    std::{hint::black_box, time::Instant},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

const SLOTS: u32 = 6;
const HALF_LIFE_MS: u64 = 500;
const NOW: Micros = Micros::from_millis(70_000);
const ROUNDS: u64 = 2_000;
const AFFINITY_KEYS: u64 = 122;

fn main() {
    println!(
        "upstreams: nanoseconds a selection by sampling, by kept ranking, by a new ranking, by a walk"
    );
    for count in [100_u32, 1_000, 10_000] {
        let rows: Vec<(String, Estimate)> = (0..count).map(upstream).collect();
        let mut arena: SlotMap<UpstreamKey, u32> = SlotMap::default();
        let keys: Vec<UpstreamKey> = (0..count).map(|index| arena.insert(index)).collect();
        let candidate = |index: usize| Candidate {
            expected: rows[index]
                .1
                .expect(1, SLOTS, Average::default(), NOW, HALF_LIFE_MS),
            slots: SLOTS,
            slowness: rows[index].1.slowness(1.0, NOW),
        };
        let sampled = nanos(|random| {
            black_box(decide::select(
                rows.len(),
                SLOTS,
                |index| Some(candidate(index)),
                random,
            ));
        });
        let score = |affinity: u64| {
            let score =
                move |row: &(String, Estimate)| xxh3_64_with_seed(row.0.as_bytes(), affinity);
            rows.iter().map(score).zip(keys.iter().copied())
        };
        let mut rankings: Rankings<1> = Rankings::default();
        for affinity in 0..AFFINITY_KEYS {
            rankings.insert(affinity, [Ranking::new(score(affinity))]);
        }
        let kept = nanos(|random| {
            let ranking = rankings.get(random % AFFINITY_KEYS);
            black_box(ranking.and_then(|row| row[0].take(2, Some)));
        });
        let ranked = nanos(|random| {
            black_box(Ranking::new(score(random)));
        });
        let walked = nanos(|random| {
            let load = |index: usize| candidate(index).expected.load;
            let least = (0..rows.len()).min_by(|one, other| load(*one).total_cmp(&load(*other)));
            black_box((least, score(random).max()));
        });
        println!("{count} {sampled} {kept} {ranked} {walked}");
    }
}

fn upstream(index: u32) -> (String, Estimate) {
    let mut estimate = Estimate::default();
    let load = Load {
        running: index % (SLOTS + 1),
        waiting: 0,
        slots: SLOTS,
        slow_percent: Some(90 + index % 30),
        at: Micros::from_millis(69_000 + u64::from(index % 900)),
    };
    estimate.record(load, 1, HALF_LIFE_MS);
    (format!("upstream-{index}"), estimate)
}

/// Nanoseconds of one call.
fn nanos(mut call: impl FnMut(u64)) -> u128 {
    let start = Instant::now();
    for random in 0..ROUNDS {
        call(random);
    }
    start.elapsed().as_nanos() / u128::from(ROUNDS)
}
