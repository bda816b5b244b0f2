//! Local share of the affinity keys, and pacing after the first requests.

use {
    super::ms,
    crate::steer::{locality::Locality, pacing::RegionPacer},
};

fn local_keys(locality: &Locality) -> Vec<u64> {
    (0..1_000).filter(|key| locality.is_local(*key)).collect()
}

/// Simulates the seconds `from_s..to_s` with the percentages `near` and `far` of responses in time, in the
/// local zone and in other regions.
fn simulate(locality: &mut Locality, from_s: u64, to_s: u64, (near, far): (u64, u64)) {
    for step in from_s * 100..to_s * 100 {
        let now = ms(step * 10);
        // Evenly distributed, as 37 and 100 have no common factor.
        let turn = step * 37 % 100;
        locality.record(0, turn < near, now);
        locality.record(2, turn < far, now);
        locality.adapt(now);
    }
}

#[test]
fn keys_leave_a_late_zone_and_return_after_its_recovery() {
    let mut locality = Locality::default();
    assert_eq!(local_keys(&locality).len(), 1_000);
    simulate(&mut locality, 0, 10, (30, 90));
    let few = local_keys(&locality);
    assert!((500..900).contains(&few.len()), "{}", few.len());
    simulate(&mut locality, 10, 60, (90, 90));
    let all = local_keys(&locality);
    assert_eq!(all.len(), 1_000);
    // The local keys at a smaller share are a subset of those at a larger one.
    assert!(few.iter().all(|key| all.contains(key)));
}

/// A zone short of capacity in a region with spare capacity need not use another region.
#[test]
fn keys_leave_to_the_local_region_unless_others_are_better() {
    let preferred = |region: u64, far: u64| {
        let mut locality = Locality::default();
        for step in 0..1_000 {
            let (now, turn) = (ms(step * 10), step * 37 % 100);
            for (distance, percent) in [(0, 30), (1, region), (2, far)] {
                locality.record(distance, turn < percent, now);
            }
            locality.adapt(now);
        }
        let key = (0..1_000).find(|key| !locality.is_local(*key)).unwrap();
        locality.distance_order(key, false, ms(10_000))[0]
    };
    assert_eq!(preferred(90, 90), 1);
    assert_eq!(preferred(40, 90), 2);
}

#[test]
fn small_difference_moves_no_keys() {
    let mut locality = Locality::default();
    simulate(&mut locality, 0, 20, (80, 90));
    assert_eq!(local_keys(&locality).len(), 1_000);
}

#[test]
fn keys_stay_if_all_distances_are_late() {
    let mut locality = Locality::default();
    simulate(&mut locality, 0, 20, (20, 20));
    assert_eq!(local_keys(&locality).len(), 1_000);
}

#[test]
fn keys_return_without_outcomes_from_elsewhere() {
    let mut locality = Locality::default();
    locality.set_local_share(0.4);
    let initial = local_keys(&locality).len();
    for step in 0..40 {
        locality.adapt(ms(step * 500));
    }
    assert!(local_keys(&locality).len() > initial + 100);
}

/// Probes arrive before the callers do; their share must not limit that of the callers.
#[test]
fn callers_after_a_few_probes_count_as_the_first() {
    let mut pacer = RegionPacer::new(75, 2_000);
    for step in 0..6 {
        pacer.tick(0, ms(step * 1_000));
        pacer.record(false);
    }
    assert!(!pacer.is_first_window());
    for step in 0..40 {
        pacer.tick(0, ms(6_000 + step * 10));
        pacer.record(false);
    }
    assert!(pacer.is_first_window());
    for step in 0..600 {
        pacer.tick(0, ms(6_400 + step * 10));
        pacer.record(step % 2 == 0);
    }
    assert!(!pacer.is_first_window(), "after one complete window");
}
