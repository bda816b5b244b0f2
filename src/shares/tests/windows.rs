//! The fleet never spends more than the capacity and the rate allow, whatever is lost, late, repeated or restarted.

use {
    crate::{
        clock::Micros,
        fuzz,
        keys::WorkspaceKey,
        shares::{
            Hold, Limit, Settings, Taken, Token,
            grant::{self, Grants, Start, WRITE_OFF_MS},
            messages::{LeaseRequest, LeaseResponse},
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    slotmap::SlotMap,
    std::sync::Arc,
};

const VMS: usize = 5;
const STEPS: usize = 1_000;
const HIGH: Limit = Limit {
    rate: 20_000,
    burst: 6_000,
};
const LOW: Limit = Limit {
    rate: 2_000,
    burst: 1_000,
};
/// Time after a change of limits from which windows must satisfy the lower one: 2.5 s and a window.
const LOWERED_MS: u64 = 7_500;

struct World {
    rng: StdRng,
    now: Micros,
    grants: Grants,
    led_since: Micros,
    holds: Vec<Hold>,
    /// Entry VMs that do nothing, but whose clock runs.
    suspended_until: [Micros; VMS],
    calls: Vec<(usize, LeaseRequest)>,
    answers: Vec<(usize, LeaseResponse)>,
    key: WorkspaceKey,
    limit: Limit,
    /// Whether requests arrive; in pauses the bucket fills.
    is_busy: bool,
    /// Entry VM, time and token of each request.
    spent: Vec<(usize, Micros, Token)>,
}

impl World {
    fn limits(&mut self, limit: Limit) {
        self.limit = limit;
        grant::set_limits(&mut self.grants, [("a", limit)], self.now);
    }

    fn lead(&mut self) {
        let is_settled = self.led_since.plus_millis(WRITE_OFF_MS) <= self.now;
        let start = if is_settled {
            Start::Settled
        } else {
            Start::Unsettled
        };
        self.grants = Grants::new(Settings::default(), start, self.now);
        self.led_since = self.now;
        self.limits(self.limit);
    }

    fn work(&mut self, vm: usize) {
        if self.suspended_until[vm] > self.now {
            return;
        }
        let hold = &mut self.holds[vm];
        let name: Arc<str> = "a".into();
        while let Some(token) = hold.take_waiting(self.key, self.now) {
            self.spent.push((vm, self.now, token));
        }
        let most = if self.is_busy { 8 } else { 0 };
        for _ in 0..self.rng.random_range(0..=most) {
            if let Taken::Token(token) = hold.take(self.key, &name, self.now) {
                self.spent.push((vm, self.now, token));
            }
        }
        // One of the last requests ends without having run.
        let back = self.rng.random_range(1..20);
        if let Some(at) = self.spent.len().checked_sub(back)
            && self.spent[at].0 == vm
            && hold.give_back(self.key, self.spent[at].2)
        {
            self.spent.remove(at);
        }
        if self.rng.random_ratio(1, 20) {
            hold.failed(self.now);
        }
        if let Some(request) = hold.next_call(self.now) {
            self.calls.push((vm, request));
        }
    }

    /// Mostly the latest of `count` messages, as most of them arrive in time.
    fn choose(&mut self, count: usize) -> usize {
        if self.rng.random_ratio(3, 4) {
            count - 1
        } else {
            self.rng.random_range(0..count)
        }
    }

    /// Delivers any of the calls, in any order; some are lost or remain and arrive again.
    fn call(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let at = self.choose(self.calls.len());
        let (vm, request) = self.calls[at].clone();
        if !self.rng.random_ratio(1, 10) {
            self.calls.swap_remove(at);
        }
        if !self.rng.random_ratio(1, 10)
            && let Ok(answer) = grant::lease(&mut self.grants, &request, self.now)
        {
            self.answers.push((vm, answer));
        }
    }

    fn answer(&mut self) {
        if self.answers.is_empty() {
            return;
        }
        let at = self.choose(self.answers.len());
        let (vm, answer) = self.answers[at].clone();
        if !self.rng.random_ratio(1, 10) {
            self.answers.swap_remove(at);
        }
        if !self.rng.random_ratio(1, 10) && self.suspended_until[vm] <= self.now {
            self.holds[vm].answered(&answer, self.now);
        }
    }

    fn step(&mut self) {
        let pause_ms = match self.rng.random_range(0..200) {
            0 => 3_000,
            1..6 => 400,
            _ => 12,
        };
        self.now = Micros(self.now.0 + self.rng.random_range(0..pause_ms * 1_000));
        let vm = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..400) {
            0..2 => self.lead(),
            2..5 => self.is_busy = !self.is_busy,
            5..7 => {
                let incarnation = self.now.0;
                self.holds[vm] = Hold::new(&format!("vm-{vm}"), incarnation);
            }
            7..10 => {
                let pause_ms = self.rng.random_range(0..4_000);
                self.suspended_until[vm] = self.now.plus_millis(pause_ms);
            }
            10..20 => grant::expire(&mut self.grants, self.now),
            20..160 => self.call(),
            160..300 => self.answer(),
            _ => self.work(vm),
        }
    }
}

/// Guards against a bucket that permits more in a window than the limit with its excess.
#[test]
fn a_full_bucket_and_its_gain_in_a_window_stay_within_the_limit() {
    let settings = Settings::default();
    for (rate, burst) in [
        (1, 0),
        (500, 0),
        (2_300, 2_300),
        (380_000, 380_000),
        (1 << 39, 7),
    ] {
        let limit = Limit { rate, burst };
        let [rate, burst, window_ms] = [rate, burst, settings.window_ms].map(u128::from);
        let usual = rate * window_ms / 1_000 + burst;
        let allowed = usual
            + usual * u128::from(settings.overage_permille) / 1_000
            + u128::from(settings.slack) * 1_000;
        let gain = u128::from(settings.fill_rate(limit)) * window_ms / 1_000;
        assert!(
            u128::from(settings.capacity(limit)) + gain <= allowed,
            "{limit:?}"
        );
    }
}

/// Checks all windows that begin at `from` or later.
fn check(spent: &[(usize, Micros, Token)], limit: Limit, from: Micros) {
    let capacity = i128::from(Settings::default().capacity(limit)) * 1_000_000;
    let mut floor = i128::MAX;
    let mut count = 0;
    for (_, at, _) in spent.iter().filter(|row| row.1 >= from) {
        let allowed = i128::from(Settings::default().fill_rate(limit)) * i128::from(at.0);
        floor = floor.min(count - allowed);
        count += 1_000_000_000;
        let excess = count - allowed - floor;
        assert!(excess <= capacity, "{excess} at {at:?}, {capacity} allowed");
    }
}

fn run(seed: u64, is_lowered: bool) -> usize {
    let now = Micros::from_millis(60_000);
    let mut keys = SlotMap::with_key();
    let mut world = World {
        rng: StdRng::seed_from_u64(seed),
        now,
        grants: Grants::new(Settings::default(), Start::Settled, now),
        led_since: now,
        holds: (0..VMS)
            .map(|vm| Hold::new(&format!("vm-{vm}"), 1))
            .collect(),
        suspended_until: [Micros(0); VMS],
        calls: Vec::new(),
        answers: Vec::new(),
        key: keys.insert(()),
        limit: HIGH,
        is_busy: true,
        spent: Vec::new(),
    };
    world.limits(HIGH);
    for _ in 0..STEPS {
        world.step();
    }
    if is_lowered {
        let lowered_at = world.now;
        world.limits(LOW);
        for _ in 0..STEPS {
            world.step();
        }
        check(&world.spent, LOW, lowered_at.plus_millis(LOWERED_MS));
    }
    check(&world.spent, HIGH, Micros(0));
    world.spent.len()
}

/// Guards against tokens that are counted twice or not at all, so that a window has more requests than its limit.
#[test]
fn no_window_exceeds_the_limit() {
    fuzz::check::<u64>(3_000, |seed| {
        run(*seed, false);
    });
}

/// Guards against tokens that are leased on and on under a former, higher limit.
#[test]
fn a_lowered_limit_holds_after_one_window() {
    fuzz::check::<u64>(1_500, |seed| {
        run(*seed, true);
    });
}

/// Guards against a check that passes because next to nothing is spent.
#[test]
fn the_fleet_of_these_tests_spends_tokens() {
    let spent: usize = (0..100).map(|seed| run(seed, false)).sum();
    assert!(spent > 100 * 50, "{spent}");
}
