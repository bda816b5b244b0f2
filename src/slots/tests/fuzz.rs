//! Randomized simulation of two entry VMs and one upstream over a network that delays, reorders and
//! loses messages.
//!
//! The invariant is checked on the upstream: it never runs more requests than it has slots.

use {
    super::super::{
        decide::{fail, release_due, succeed},
        notices::apply_notice,
        queue::{Placement, place},
        settings::Settings,
        state::State,
    },
    super::request,
    crate::{
        announce::{
            Announcement, AnnouncementBody, Lease, LeaseBody, Notice, Token,
            decide::{announce, expire, set_drained},
            settings::Settings as LeaseSettings,
            state::State as LeaseState,
        },
        call::{Ran, Reason},
        clock::Micros,
        context::Context,
        dev::fence::{Fence, Tenure},
        keys::{InFlightKey, ServiceKey, ZoneKey},
        policy::Policy,
        relay::Failure,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{net::SocketAddr, sync::Arc},
};

const SLOTS: u16 = 3;
const SEEDS: u64 = 150;
const STEPS: u64 = 1_500;

const SETTINGS: Settings = Settings {
    attempts: 1,
    attempt_ms: 300,
    grace_ms: 50,
    settle_ms: 2_000 + 300 + 50 + 50,
    queue: 0,
    retry_permille: 100,
    retry_burst: 10,
    ramp_ms: 0,
    eject_after: 3,
    backoff_ms: 1,
    reserve_permille: 0,
};
const LEASE_SETTINGS: LeaseSettings = LeaseSettings {
    lease_ms: 2_000,
    renew_ms: 500,
};

/// An entry VM: its announce and slots duties.
struct Vm {
    context: Context,
    leases: LeaseState,
    slots: State,
    drained: bool,
}

/// A message in flight.
enum Packet {
    Announce(usize, u64, AnnouncementBody),
    Response(u64, LeaseBody),
    Request(Sent),
}

/// An attempt, as its VM sent it and the upstream receives it.
#[derive(Clone)]
struct Sent {
    vm: usize,
    incarnation: u64,
    in_flight: InFlightKey,
    holder: Arc<str>,
    at: Micros,
    until: Micros,
}

/// The simulated VMs, network and upstream.
struct World {
    rng: StdRng,
    now: Micros,
    vms: [Vm; 2],
    fence: Fence,
    /// Whether the upstream refuses requests under leases of previous home VMs.
    fenced: bool,
    /// One in this many fault steps injects a fault.
    fault_interval: u32,
    announced: u64,
    incarnation: u64,
    net: Vec<Packet>,
    /// Attempts that the upstream runs, with their end and the tenure under which they entered.
    running: Vec<(Sent, Micros, Option<Tenure>)>,
    /// Attempts whose VM still waits for the response.
    waits: Vec<Sent>,
    max_running: usize,
    moves: usize,
}

fn address(vm: usize) -> SocketAddr {
    ([127, 0, 0, 1], u16::try_from(vm + 1).unwrap()).into()
}

fn body(incarnation: u64) -> AnnouncementBody {
    AnnouncementBody {
        name: "u1".to_owned(),
        service: "s".to_owned(),
        address: address(9),
        slots: SLOTS,
        incarnation,
        token: None,
        inherited: None,
        load: None,
        leaving: false,
    }
}

fn decode(body: &AnnouncementBody, fenced: bool) -> Announcement {
    Announcement {
        name: body.name.clone(),
        service: ServiceKey(0),
        address: body.address,
        slots: body.slots,
        incarnation: body.incarnation,
        token: body.token.as_deref().and_then(Token::parse),
        inherited: body.inherited.filter(|_| fenced),
        load: body.load,
        leaving: body.leaving,
    }
}

fn encode(lease: &Lease) -> LeaseBody {
    LeaseBody {
        granted: lease.granted,
        holder: lease.holder.clone(),
        token: lease.token.to_string(),
        lease_ms: lease.lease_ms,
        renew_ms: lease.renew_ms,
        home: lease.home,
    }
}

impl Vm {
    fn new(name: &str, incarnation: u64) -> Self {
        let mut context = Context::new(name, ZoneKey(0), Arc::default());
        context.incarnation = incarnation;
        Self {
            context,
            leases: LeaseState::default(),
            slots: State::default(),
            drained: false,
        }
    }

    fn apply(&mut self, notices: Vec<Notice>, now: Micros) {
        for notice in notices {
            apply_notice(&mut self.slots, SETTINGS, &Policy::default(), notice, now);
        }
    }

    fn tick(&mut self, now: Micros) {
        let expired = expire(&mut self.leases, LEASE_SETTINGS, now);
        self.apply(expired.into_iter().map(|(_, notice)| notice).collect(), now);
        release_due(&mut self.slots, now);
    }
}

impl World {
    fn new(seed: u64, fenced: bool) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Micros(1_000_000),
            vms: [Vm::new("a", 1), Vm::new("b", 1)],
            fence: Fence::new(body(1), address(0)),
            fenced,
            fault_interval: if fenced { 1 } else { 30 },
            announced: 0,
            incarnation: 1,
            net: Vec::new(),
            running: Vec::new(),
            waits: Vec::new(),
            max_running: 0,
            moves: 0,
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..12 => self.announce(),
            12..50 => self.deliver(),
            50..75 => self.place(),
            75..83 => self.finish_one(),
            83..87 if self.rng.random_range(0..self.fault_interval) == 0 => self.inject_fault(),
            _ => self.now.0 += self.rng.random_range(0..60_000),
        }
        self.tick();
        assert!(self.running.len() <= usize::from(SLOTS));
        self.max_running = self.max_running.max(self.running.len());
    }

    fn inject_fault(&mut self) {
        match self.rng.random_range(0..4) {
            0 => self.restart_vm(),
            1 => self.change_home(),
            2 => self.toggle_drain(),
            // Without a fence, a delayed request to the previous incarnation would run in the next
            // one.
            _ if self.fenced => self.restart_upstream(),
            _ => {}
        }
    }

    fn announce(&mut self) {
        self.announced += 1;
        let (home, body) = self.fence.announcement();
        let vm = usize::from(home != address(0));
        self.net.push(Packet::Announce(vm, self.announced, body));
    }

    /// Delivers a random packet; one in twenty is lost.
    fn deliver(&mut self) {
        if self.net.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.net.len());
        let packet = self.net.swap_remove(at);
        if self.rng.random_range(0..20) == 0 {
            return;
        }
        match packet {
            Packet::Announce(vm, announced, body) => self.receive(vm, announced, &body),
            // The upstream accepts only the response to its latest announcement.
            Packet::Response(announced, granted) if announced == self.announced => {
                self.moves += usize::from(granted.granted);
                self.fence.apply_lease(&granted);
            }
            Packet::Response(..) => {}
            Packet::Request(sent) => self.run(sent),
        }
    }

    fn receive(&mut self, at: usize, announced: u64, body: &AnnouncementBody) {
        let (now, fenced) = (self.now, self.fenced);
        let vm = &mut self.vms[at];
        let announcement = decode(body, fenced);
        let (lease, notices) = announce(
            &mut vm.leases,
            LEASE_SETTINGS,
            &vm.context,
            now,
            &announcement,
        );
        vm.apply(notices, now);
        self.net.push(Packet::Response(announced, encode(&lease)));
    }

    fn place(&mut self) {
        let at = self.rng.random_range(0..2);
        let deadline = Micros(self.now.0 + self.rng.random_range(1_000..400_000));
        let (vm, now) = (&mut self.vms[at], self.now);
        if let Placement::Granted(grant) = place(&mut vm.slots, SETTINGS, request(deadline), now) {
            assert!(!vm.drained, "a drained VM sent a new request");
            let sent = Sent {
                vm: at,
                incarnation: vm.context.incarnation,
                in_flight: grant.in_flight,
                holder: grant.holder,
                at: now,
                until: grant.until,
            };
            self.waits.push(sent.clone());
            self.net.push(Packet::Request(sent));
        }
    }

    fn run(&mut self, sent: Sent) {
        let delay = self.now.since(sent.at);
        // A request is delayed by less than the grace period, or its connection has closed.
        let limit = Micros(0).plus_millis(SETTINGS.grace_ms);
        if delay >= limit.since(Micros(0)) || self.now >= sent.until {
            return;
        }
        let entered = self.fence.admit(&sent.holder);
        if entered.is_some() || !self.fenced {
            let left = sent.until.0 - sent.at.0;
            let ends = Micros(self.now.0 + left);
            self.running.push((sent, ends, entered));
        } else {
            let ran = Ran::No;
            let reason = Reason::UpstreamRefused;
            self.complete(&sent, Err(Failure { reason, ran }));
        }
    }

    fn finish_one(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.running.len());
        let (sent, _, tenure) = self.running.swap_remove(at);
        if let Some(tenure) = tenure {
            self.fence.finish(tenure);
        }
        // The response may be lost; its VM then waits until the deadline.
        if self.rng.random_range(0..10) > 0 {
            self.complete(&sent, Ok(()));
        }
    }

    fn complete(&mut self, sent: &Sent, result: Result<(), Failure>) {
        let same = |other: &Sent| {
            other.vm == sent.vm
                && other.incarnation == sent.incarnation
                && other.in_flight == sent.in_flight
        };
        let Some(at) = self.waits.iter().position(same) else {
            return;
        };
        self.waits.swap_remove(at);
        let (vm, now) = (&mut self.vms[sent.vm], self.now);
        if vm.context.incarnation != sent.incarnation {
            return;
        }
        match result {
            Ok(()) => drop(succeed(&mut vm.slots, sent.in_flight, now)),
            Err(failure) => drop(fail(&mut vm.slots, SETTINGS, sent.in_flight, failure, now)),
        }
    }

    fn restart_vm(&mut self) {
        let at = self.rng.random_range(0..2);
        let incarnation = self.vms[at].context.incarnation + 1;
        self.vms[at] = Vm::new(["a", "b"][at], incarnation);
    }

    fn restart_upstream(&mut self) {
        self.incarnation += 1;
        self.running.clear();
        let home = address(self.rng.random_range(0..2));
        self.fence = Fence::new(body(self.incarnation), home);
        self.announced += 1;
    }

    fn change_home(&mut self) {
        let home = address(self.rng.random_range(0..2));
        self.fence.set_home(home);
    }

    fn toggle_drain(&mut self) {
        let at = self.rng.random_range(0..2);
        let (vm, now) = (&mut self.vms[at], self.now);
        vm.drained = !vm.drained;
        let notices = set_drained(&mut vm.leases, vm.drained);
        vm.apply(notices, now);
    }

    fn tick(&mut self) {
        let now = self.now;
        while let Some(at) = self.running.iter().position(|row| row.1 <= now) {
            let (_, _, tenure) = self.running.swap_remove(at);
            if let Some(tenure) = tenure {
                self.fence.finish(tenure);
            }
        }
        let late = |sent: &Sent| sent.until <= now;
        while let Some(at) = self.waits.iter().position(late) {
            let sent = self.waits[at].clone();
            let failure = Failure {
                reason: Reason::AnswerTimeout,
                ran: Ran::Unknown,
            };
            self.complete(&sent, Err(failure));
        }
        for vm in &mut self.vms {
            vm.tick(now);
        }
    }
}

fn steps() -> u64 {
    let value = std::env::var("SISKINSTEP_FUZZ_STEPS").ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(STEPS)
}

fn run_seeds(fenced: bool) {
    let (mut full, mut moves) = (0, 0);
    for seed in 0..SEEDS {
        eprintln!("seed {seed}");
        let mut world = World::new(seed, fenced);
        for _ in 0..steps() * u64::from(world.fault_interval.min(4)) {
            world.step();
        }
        full += usize::from(world.max_running == usize::from(SLOTS));
        moves += world.moves;
    }
    // The invariant is only exercised if all slots were in use, under changing home VMs.
    assert!(full > 100, "all slots were in use in {full} runs");
    assert!(moves > 1_000, "the upstream adopted {moves} leases");
}

#[test]
fn an_upstream_with_a_fence_never_runs_more_requests_than_slots() {
    run_seeds(true);
}

#[test]
fn an_upstream_without_a_fence_never_runs_more_requests_than_slots() {
    run_seeds(false);
}
