//! The bound on further attempts, over many entry VMs.

use {
    super::ms,
    crate::steer::budget::Budget,
    rand::{Rng, SeedableRng, rngs::StdRng},
};

/// Sixty VMs, busy for a while, then in trouble: all that fails wants another attempt. In no window of
/// ten seconds may these be more than a fifth of its requests, and 60 besides. The users count the requests
/// of that window, of the one before it or of the one half a window before it, whichever are most.
#[test]
fn no_window_costs_more_than_its_requests_earn() {
    let mut random = StdRng::seed_from_u64(5);
    let mut vms: Vec<Budget> = (0..60).map(|_| Budget::new(10_000)).collect();
    let (mut first, mut further) = (Vec::new(), Vec::new());
    for second in 0..60_u64 {
        let (mut asked, mut again) = (0, 0);
        for vm in &mut vms {
            // Busy, then quiet.
            let count = if second < 30 { 20 } else { 3 };
            for step in 0..count {
                let now = ms(second * 1_000 + step * 50 + random.random_range(0..50));
                vm.note(now);
                asked += 1;
                let fails = second >= 25;
                again += u32::from(fails && vm.take(200, 1.0, now));
            }
        }
        first.push(asked);
        further.push(again);
    }
    let sums = |row: &[u32]| -> Vec<u32> { row.windows(10).map(|row| row.iter().sum()).collect() };
    let (first, sent) = (sums(&first), sums(&further));
    for (at, sent) in sent.iter().enumerate() {
        let before = |by: usize| at.checked_sub(by).map_or(0, |at| first[at]);
        let most = first[at].max(before(5)).max(before(10));
        assert!(*sent <= most / 5 + 60, "{sent} of {most} from second {at}");
    }
    assert!(further[26] > 60, "{further:?}");
}

#[test]
fn what_is_older_than_a_window_earns_nothing() {
    let mut budget = Budget::new(10_000);
    for _ in 0..100 {
        budget.note(ms(0));
    }
    assert!(budget.take(200, 0.0, ms(5_000)));
    assert!(!budget.take(200, 0.0, ms(30_000)));
}
