//! Retry budgets of many entry VMs together.

use {
    super::ms,
    crate::steer::budget::RetryBudget,
    rand::{Rng, SeedableRng, rngs::StdRng},
};

/// Sixty VMs under high load, then with failing upstreams, where every failed request asks for a retry. In no
/// window of ten seconds may the retries exceed a fifth of its requests plus 60. As in the acceptance
/// criterion, these are the requests of that window, of the one before it or of the one half a window before
/// it, whichever are most.
#[test]
fn retries_stay_within_the_budget_in_every_window() {
    let mut random = StdRng::seed_from_u64(5);
    let mut vms: Vec<RetryBudget> = (0..60).map(|_| RetryBudget::new(10_000)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for second in 0..60_u64 {
        let (mut request_count, mut retry_count) = (0, 0);
        for vm in &mut vms {
            // High load, then low load.
            let count = if second < 30 { 20 } else { 3 };
            for step in 0..count {
                let now = ms(second * 1_000 + step * 50 + random.random_range(0..50));
                vm.record_request(now);
                request_count += 1;
                let has_failed = second >= 25;
                retry_count += u32::from(has_failed && vm.try_spend(200, 1.0, now));
            }
        }
        requests.push(request_count);
        retries.push(retry_count);
    }
    let sums = |row: &[u32]| -> Vec<u32> { row.windows(10).map(|row| row.iter().sum()).collect() };
    let (requests, sent) = (sums(&requests), sums(&retries));
    for (at, sent) in sent.iter().enumerate() {
        let earlier = |by: usize| at.checked_sub(by).map_or(0, |at| requests[at]);
        let max = requests[at].max(earlier(5)).max(earlier(10));
        assert!(
            *sent <= max / 5 + 60,
            "{sent} retries, {max} requests from second {at}"
        );
    }
    assert!(retries[26] > 60, "{retries:?}");
}

#[test]
fn expired_requests_earn_no_retries() {
    let mut budget = RetryBudget::new(10_000);
    for _ in 0..100 {
        budget.record_request(ms(0));
    }
    assert!(budget.try_spend(200, 0.0, ms(5_000)));
    assert!(!budget.try_spend(200, 0.0, ms(30_000)));
}
