//! How little is refused below the limits, over entry VMs that are 20 ms from the leader.

use {
    crate::{
        clock::Micros,
        keys::WorkspaceKey,
        shares::{
            Hold, Limit, Settings, Taken,
            grant::{self, Grants, Start},
            hold::WAIT_MS,
            messages::{LeaseRequest, LeaseResponse},
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    slotmap::SlotMap,
    std::sync::Arc,
};

const VMS: usize = 63;
const ONE_WAY_MS: u64 = 20;
/// Interval at which an entry VM looks whether a call is due.
const LOOK_MS: u64 = 2;

struct Sender {
    key: WorkspaceKey,
    name: Arc<str>,
    /// Usual requests per second, in thousandths.
    usual: u64,
    /// Requests per second in this part of the test, in thousandths.
    rate: u64,
    /// Entry VMs that its requests reach.
    vms: std::ops::Range<usize>,
    served: u64,
    refused: u64,
}

struct Fleet {
    rng: StdRng,
    ms: u64,
    grants: Grants,
    holds: Vec<Hold>,
    senders: Vec<Sender>,
    calls: Vec<(u64, usize, LeaseRequest)>,
    answers: Vec<(u64, usize, LeaseResponse)>,
    /// Time until which each request waits, its entry VM and its workspace.
    waiting: Vec<(u64, usize, usize)>,
}

fn hold(vm: usize, incarnation: u64) -> Hold {
    Hold::new(&format!("entry-{vm}"), incarnation)
}

impl Fleet {
    /// Limits are 1.6 times the usual rates; bursts are one second of the limit. The buckets are full.
    fn new(usual: &[u64]) -> Self {
        let mut keys = SlotMap::with_key();
        let sender = |(at, usual): (usize, &u64)| Sender {
            key: keys.insert(()),
            name: format!("workspace-{at:03}").into(),
            usual: *usual,
            rate: *usual,
            vms: 0..VMS,
            served: 0,
            refused: 0,
        };
        let senders: Vec<Sender> = usual.iter().enumerate().map(sender).collect();
        let mut grants = Grants::new(Settings::default(), Start::Settled, Micros(0));
        let limits = senders.iter().map(|sender| {
            let rate = sender.usual * 8 / 5;
            (&*sender.name, Limit { rate, burst: rate })
        });
        grant::set_limits(&mut grants, limits, Micros(0));
        Self {
            rng: StdRng::seed_from_u64(7),
            ms: 60_000,
            grants,
            holds: (0..VMS).map(|vm| hold(vm, 1)).collect(),
            senders,
            calls: Vec::new(),
            answers: Vec::new(),
            waiting: Vec::new(),
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.ms += 1;
            self.step();
        }
    }

    fn step(&mut self) {
        let (ms, now) = (self.ms, Micros::from_millis(self.ms));
        for at in 0..self.senders.len() {
            let sender = &self.senders[at];
            let rest = u32::try_from(sender.rate % 1_000_000).unwrap();
            let arrivals =
                sender.rate / 1_000_000 + u64::from(self.rng.random_ratio(rest, 1_000_000));
            for _ in 0..arrivals {
                let sender = &mut self.senders[at];
                let vm = self.rng.random_range(sender.vms.clone());
                match self.holds[vm].take(sender.key, &sender.name, now) {
                    Taken::Token(_) => sender.served += 1,
                    Taken::Wait => self.waiting.push((ms + WAIT_MS, vm, at)),
                    Taken::Denied { .. } => sender.refused += 1,
                }
            }
        }
        for (_, vm, request) in self.calls.extract_if(.., |row| row.0 <= ms) {
            if let Ok(answer) = grant::lease(&mut self.grants, &request, now) {
                self.answers.push((ms + ONE_WAY_MS, vm, answer));
            }
        }
        for (_, vm, answer) in self.answers.extract_if(.., |row| row.0 <= ms) {
            self.holds[vm].answered(&answer, now);
        }
        let (holds, senders) = (&mut self.holds, &mut self.senders);
        self.waiting.retain(|(until, vm, at)| {
            let (hold, sender) = (&mut holds[*vm], &mut senders[*at]);
            if hold.take_waiting(sender.key, now).is_some() {
                sender.served += 1;
                return false;
            }
            let is_refused =
                *until <= ms || hold.is_denied(sender.key, Micros::from_millis(*until));
            if is_refused {
                hold.stop_waiting(sender.key, now);
                sender.refused += 1;
            }
            !is_refused
        });
        if ms.is_multiple_of(200) {
            grant::expire(&mut self.grants, now);
        }
        for vm in 0..VMS {
            let is_looking = (ms + u64::try_from(vm).unwrap()).is_multiple_of(LOOK_MS);
            if let Some(request) = is_looking.then(|| self.holds[vm].next_call(now)).flatten() {
                self.calls.push((ms + ONE_WAY_MS, vm, request));
            }
        }
    }

    fn forget_counts(&mut self) {
        for sender in &mut self.senders {
            (sender.served, sender.refused) = (0, 0);
        }
    }

    /// Checks that fewer than 1 in 100 requests were refused, of those senders together.
    fn expect_few_refused(&self, senders: std::ops::Range<usize>) {
        let senders = &self.senders[senders];
        let served: u64 = senders.iter().map(|sender| sender.served).sum();
        let refused: u64 = senders.iter().map(|sender| sender.refused).sum();
        assert!(
            served > 0 && refused * 100 < served + refused,
            "{refused} refused, {served} served"
        );
    }
}

/// 74 workspaces of 888 requests per second together, their sizes proportional to 1/k^1.2.
fn uneven() -> Vec<u64> {
    let part = |k: u32| f64::from(k).powf(-1.2);
    let sum: f64 = (1..=74).map(part).sum();
    let rate = |k| format!("{:.0}", 888_000.0 * part(k) / sum);
    (1..=74).map(|k| rate(k).parse().unwrap()).collect()
}

/// Guards against refusals of workspaces that stay below their limits: each of these sends less than one request in 5 s
/// through most entry VMs.
#[test]
fn workspaces_below_their_limits_are_served() {
    let mut fleet = Fleet::new(&uneven());
    fleet.run(20_000);
    fleet.expect_few_refused(0..74);
    for workspace in 0..74 {
        let sender = &fleet.senders[workspace];
        assert!(
            sender.refused * 20 <= sender.served,
            "{workspace}: {} refused",
            sender.refused
        );
    }
}

/// Guards against equal parts: all requests of a small workspace may arrive at one entry VM.
#[test]
fn a_small_workspace_at_one_entry_vm_is_served() {
    let mut fleet = Fleet::new(&[2_000]);
    fleet.senders[0].vms = 9..10;
    fleet.run(60_000);
    fleet.expect_few_refused(0..1);
}

/// Guards against tokens that stay where a workspace no longer sends: it moves to other entry VMs within a second.
#[test]
fn a_workspace_that_moves_to_another_zone_is_served() {
    let mut fleet = Fleet::new(&[200_000, 20_000]);
    for zone in [0..10, 10..20, 30..40, 0..10] {
        fleet
            .senders
            .iter_mut()
            .for_each(|sender| sender.vms = zone.clone());
        fleet.run(5_000);
    }
    fleet.expect_few_refused(0..1);
    fleet.expect_few_refused(1..2);
}

/// Guards against a start at which an entry VM that holds no tokens refuses requests.
#[test]
fn an_entry_vm_that_has_just_started_serves() {
    let mut fleet = Fleet::new(&uneven());
    fleet.run(3_000);
    fleet.forget_counts();
    for vm in 0..10 {
        fleet.holds[vm] = hold(vm, 2);
        fleet.run(300);
    }
    fleet.expect_few_refused(0..74);
}

/// Guards against a workspace over its limit that gets much less than it, or that takes from others.
#[test]
fn a_workspace_over_its_limit_gets_about_the_limit() {
    let mut fleet = Fleet::new(&uneven());
    fleet.run(3_000);
    fleet.senders[1].rate *= 8;
    // Its bucket was full.
    fleet.run(3_000);
    fleet.forget_counts();
    fleet.run(10_000);
    let sender = &fleet.senders[1];
    let limit = sender.usual * 8 / 5 / 100;
    assert!(
        sender.served * 10 >= limit * 9,
        "{} of {limit}",
        sender.served
    );
    fleet.expect_few_refused(2..74);
}

/// Guards against buckets that stay empty after all entry VMs were killed: the tokens of the former processes are
/// written off.
#[test]
fn all_entry_vms_restarted_at_once_serve() {
    let mut fleet = Fleet::new(&uneven());
    fleet.run(3_000);
    fleet.forget_counts();
    fleet.holds = (0..VMS).map(|vm| hold(vm, 2)).collect();
    fleet.waiting.clear();
    fleet.run(5_000);
    fleet.expect_few_refused(0..74);
}
