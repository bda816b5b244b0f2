//! Which keys a zone keeps, and when the pacing lets them go.

use {
    super::ms,
    crate::steer::{moves::Moves, reach::Reach},
};

fn kept(reach: &Reach) -> Vec<u64> {
    (0..1_000).filter(|key| reach.stays(*key)).collect()
}

/// Plays seconds in which parts of a hundred are in time in the own zone and beyond the region.
fn play(reach: &mut Reach, from_s: u64, to_s: u64, (near, far): (u64, u64)) {
    for step in from_s * 100..to_s * 100 {
        let now = ms(step * 10);
        // Spread evenly: 37 and 100 have no common factor.
        let turn = step * 37 % 100;
        reach.note(0, turn < near, now);
        reach.note(2, turn < far, now);
        reach.look(now);
    }
}

#[test]
fn keys_leave_a_zone_that_is_late_and_come_back_when_it_is_not() {
    let mut reach = Reach::default();
    assert_eq!(kept(&reach).len(), 1_000);
    play(&mut reach, 0, 10, (30, 90));
    let few = kept(&reach);
    assert!((500..900).contains(&few.len()), "{}", few.len());
    play(&mut reach, 10, 60, (90, 90));
    let all = kept(&reach);
    assert_eq!(all.len(), 1_000);
    // Whoever keeps fewer keeps some of the same.
    assert!(few.iter().all(|key| all.contains(key)));
}

/// A zone that is short within a region that has room need not cross to another one.
#[test]
fn keys_leave_to_the_region_first_if_it_does_as_well() {
    let leaves = |region: u64, far: u64| {
        let mut reach = Reach::default();
        for step in 0..1_000 {
            let (now, turn) = (ms(step * 10), step * 37 % 100);
            for (distance, part) in [(0, 30), (1, region), (2, far)] {
                reach.note(distance, turn < part, now);
            }
            reach.look(now);
        }
        let key = (0..1_000).find(|key| !reach.stays(*key)).unwrap();
        reach.order(key, false, ms(10_000))[0]
    };
    assert_eq!(leaves(90, 90), 1);
    assert_eq!(leaves(40, 90), 2);
}

#[test]
fn a_little_worse_is_no_reason_to_leave() {
    let mut reach = Reach::default();
    play(&mut reach, 0, 20, (80, 90));
    assert_eq!(kept(&reach).len(), 1_000);
}

#[test]
fn where_all_are_late_nothing_leaves() {
    let mut reach = Reach::default();
    play(&mut reach, 0, 20, (20, 20));
    assert_eq!(kept(&reach).len(), 1_000);
}

#[test]
fn without_news_from_beyond_keys_come_back() {
    let mut reach = Reach::default();
    reach.begin(0.4);
    let before = kept(&reach).len();
    for step in 0..40 {
        reach.look(ms(step * 500));
    }
    assert!(kept(&reach).len() > before + 100);
}

/// Probes come before the callers; the share that they had is no share to keep to.
#[test]
fn callers_that_come_after_a_few_probes_are_the_first() {
    let mut moves = Moves::new(75, 2_000);
    for step in 0..6 {
        moves.tick(0, ms(step * 1_000));
        moves.note(false);
    }
    assert!(!moves.is_first());
    for step in 0..40 {
        moves.tick(0, ms(6_000 + step * 10));
        moves.note(false);
    }
    assert!(moves.is_first());
    for step in 0..600 {
        moves.tick(0, ms(6_400 + step * 10));
        moves.note(step % 2 == 0);
    }
    assert!(!moves.is_first(), "after one whole window");
}
