//! State machine: two entry VMs and one upstream over a network that delays, reorders and loses.
//!
//! The oracle is the upstream's own list of what it runs: never longer than its slots.

use {
    super::super::{
        decide::{fail, settle, succeed},
        news::notice,
        queue::{Placed, place},
        settings::Settings,
        state::State,
    },
    super::request,
    crate::{
        announce::{
            Announcement, Body, Granted, Lease, Notice, Token,
            decide::{announce, close, lapse},
            settings::Settings as Leases,
            state::State as Held,
        },
        call::{Ran, Reason},
        clock::Micros,
        context::Context,
        dev::fence::{Fence, Tenure},
        keys::{FlightKey, ServiceKey, ZoneKey},
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
const LEASES: Leases = Leases {
    lease_ms: 2_000,
    renew_ms: 500,
};

struct Vm {
    context: Context,
    leases: Held,
    slots: State,
    closed: bool,
}

/// What is on its way.
enum Packet {
    Announce(usize, u64, Body),
    Answer(u64, Granted),
    Request(Sent),
}

/// An attempt, as its VM and the upstream know it.
#[derive(Clone)]
struct Sent {
    vm: usize,
    life: u64,
    flight: FlightKey,
    holder: Arc<str>,
    at: Micros,
    until: Micros,
}

struct World {
    rng: StdRng,
    now: Micros,
    vms: [Vm; 2],
    fence: Fence,
    /// Whether the upstream refuses what earlier homes send.
    fenced: bool,
    /// Disturbances come this many times less often.
    calm: u32,
    asked: u64,
    incarnation: u64,
    net: Vec<Packet>,
    /// With its end, and the tenure under which it entered.
    running: Vec<(Sent, Micros, Option<Tenure>)>,
    /// Attempts whose VM still waits.
    waits: Vec<Sent>,
    most: usize,
    moves: usize,
}

fn address(vm: usize) -> SocketAddr {
    ([127, 0, 0, 1], u16::try_from(vm + 1).unwrap()).into()
}

fn body(incarnation: u64) -> Body {
    Body {
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

fn decode(body: &Body, fenced: bool) -> Announcement {
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

fn encode(lease: &Lease) -> Granted {
    Granted {
        granted: lease.granted,
        holder: lease.holder.clone(),
        token: lease.token.to_string(),
        lease_ms: lease.lease_ms,
        renew_ms: lease.renew_ms,
        home: lease.home,
    }
}

impl Vm {
    fn new(name: &str, life: u64) -> Self {
        let mut context = Context::new(name, ZoneKey(0), Arc::default());
        context.incarnation = life;
        Self {
            context,
            leases: Held::default(),
            slots: State::default(),
            closed: false,
        }
    }

    fn tell(&mut self, notices: Vec<Notice>, now: Micros) {
        for news in notices {
            notice(&mut self.slots, SETTINGS, &Policy::default(), news, now);
        }
    }

    fn tick(&mut self, now: Micros) {
        let lapsed = lapse(&mut self.leases, LEASES, now);
        self.tell(lapsed.into_iter().map(|(_, news)| news).collect(), now);
        settle(&mut self.slots, now);
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
            calm: if fenced { 1 } else { 30 },
            asked: 0,
            incarnation: 1,
            net: Vec::new(),
            running: Vec::new(),
            waits: Vec::new(),
            most: 0,
            moves: 0,
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..12 => self.announce(),
            12..50 => self.deliver(),
            50..75 => self.place(),
            75..83 => self.finish(),
            83..87 if self.rng.random_range(0..self.calm) == 0 => self.disturb(),
            _ => self.now.0 += self.rng.random_range(0..60_000),
        }
        self.tick();
        assert!(self.running.len() <= usize::from(SLOTS));
        self.most = self.most.max(self.running.len());
    }

    fn disturb(&mut self) {
        match self.rng.random_range(0..4) {
            0 => self.restart_vm(),
            1 => self.turn(),
            2 => self.drain(),
            // Without a fence, a late request of the last life would run in the next one.
            _ if self.fenced => self.restart_upstream(),
            _ => {}
        }
    }

    fn announce(&mut self) {
        self.asked += 1;
        let (home, body) = self.fence.announcement();
        let vm = usize::from(home != address(0));
        self.net.push(Packet::Announce(vm, self.asked, body));
    }

    /// Any packet may be next; one in twenty is lost.
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
            Packet::Announce(vm, asked, body) => self.hear(vm, asked, &body),
            // The upstream awaits the answer to its last announcement only.
            Packet::Answer(asked, granted) if asked == self.asked => {
                self.moves += usize::from(granted.granted);
                self.fence.adopt(&granted);
            }
            Packet::Answer(..) => {}
            Packet::Request(sent) => self.run(sent),
        }
    }

    fn hear(&mut self, at: usize, asked: u64, body: &Body) {
        let (now, fenced) = (self.now, self.fenced);
        let vm = &mut self.vms[at];
        let said = decode(body, fenced);
        let (lease, notices) = announce(&mut vm.leases, LEASES, &vm.context, now, &said);
        vm.tell(notices, now);
        self.net.push(Packet::Answer(asked, encode(&lease)));
    }

    fn place(&mut self) {
        let at = self.rng.random_range(0..2);
        let deadline = Micros(self.now.0 + self.rng.random_range(1_000..400_000));
        let (vm, now) = (&mut self.vms[at], self.now);
        if let Placed::Go(grant) = place(&mut vm.slots, SETTINGS, request(deadline), now) {
            assert!(!vm.closed, "new work from a drained VM");
            let sent = Sent {
                vm: at,
                life: vm.context.incarnation,
                flight: grant.flight,
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
        // A request is delayed by less than the grace, or its connection is gone.
        let limit = Micros(0).plus_millis(SETTINGS.grace_ms);
        if delay >= limit.since(Micros(0)) || self.now >= sent.until {
            return;
        }
        let entered = self.fence.enter(&sent.holder);
        if entered.is_some() || !self.fenced {
            let left = sent.until.0 - sent.at.0;
            let ends = Micros(self.now.0 + left);
            self.running.push((sent, ends, entered));
        } else {
            let ran = Ran::No;
            let reason = Reason::UpstreamRefused;
            self.end(&sent, Err(Failure { reason, ran }));
        }
    }

    fn finish(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.running.len());
        let (sent, _, tenure) = self.running.swap_remove(at);
        if let Some(tenure) = tenure {
            self.fence.leave(tenure);
        }
        // Its answer may be lost; then its VM waits for the deadline.
        if self.rng.random_range(0..10) > 0 {
            self.end(&sent, Ok(()));
        }
    }

    fn end(&mut self, sent: &Sent, result: Result<(), Failure>) {
        let same = |other: &Sent| {
            other.vm == sent.vm && other.life == sent.life && other.flight == sent.flight
        };
        let Some(at) = self.waits.iter().position(same) else {
            return;
        };
        self.waits.swap_remove(at);
        let (vm, now) = (&mut self.vms[sent.vm], self.now);
        if vm.context.incarnation != sent.life {
            return;
        }
        match result {
            Ok(()) => drop(succeed(&mut vm.slots, sent.flight, now)),
            Err(failure) => drop(fail(&mut vm.slots, SETTINGS, sent.flight, failure, now)),
        }
    }

    fn restart_vm(&mut self) {
        let at = self.rng.random_range(0..2);
        let life = self.vms[at].context.incarnation + 1;
        self.vms[at] = Vm::new(["a", "b"][at], life);
    }

    fn restart_upstream(&mut self) {
        self.incarnation += 1;
        self.running.clear();
        let home = address(self.rng.random_range(0..2));
        self.fence = Fence::new(body(self.incarnation), home);
        self.asked += 1;
    }

    fn turn(&mut self) {
        let home = address(self.rng.random_range(0..2));
        self.fence.turn_to(home);
    }

    fn drain(&mut self) {
        let at = self.rng.random_range(0..2);
        let (vm, now) = (&mut self.vms[at], self.now);
        vm.closed = !vm.closed;
        let notices = close(&mut vm.leases, vm.closed);
        vm.tell(notices, now);
    }

    fn tick(&mut self) {
        let now = self.now;
        while let Some(at) = self.running.iter().position(|row| row.1 <= now) {
            let (_, _, tenure) = self.running.swap_remove(at);
            if let Some(tenure) = tenure {
                self.fence.leave(tenure);
            }
        }
        let late = |sent: &Sent| sent.until <= now;
        while let Some(at) = self.waits.iter().position(late) {
            let sent = self.waits[at].clone();
            let failure = Failure {
                reason: Reason::AnswerTimeout,
                ran: Ran::Unknown,
            };
            self.end(&sent, Err(failure));
        }
        for vm in &mut self.vms {
            vm.tick(now);
        }
    }
}

fn steps() -> u64 {
    let stated = std::env::var("SISKINSTEP_FUZZ_STEPS").ok();
    stated.and_then(|text| text.parse().ok()).unwrap_or(STEPS)
}

fn drive(fenced: bool) {
    let (mut full, mut moves) = (0, 0);
    for seed in 0..SEEDS {
        eprintln!("seed {seed}");
        let mut world = World::new(seed, fenced);
        for _ in 0..steps() * u64::from(world.calm.min(4)) {
            world.step();
        }
        full += usize::from(world.most == usize::from(SLOTS));
        moves += world.moves;
    }
    // The check means something only if the slots were used to the last one, over several homes.
    assert!(full > 100, "slots were full in {full} runs");
    assert!(moves > 1_000, "{moves} grants");
}

#[test]
fn an_upstream_that_fences_never_runs_more_than_its_slots() {
    drive(true);
}

#[test]
fn an_upstream_that_does_not_fence_never_runs_more_than_its_slots() {
    drive(false);
}
