//! Stateful fuzzing of the decisions against independent counters, and tests of single properties.

use {
    super::{
        decide::{add_grant, apply, headroom, route},
        grant::{HeadroomRequest, grant, outstanding, record_arrival},
        settings::Settings,
        state::{ReceivedGrant, State, Wait},
    },
    crate::{
        call::Meta,
        clock::Micros,
        keys::{KindKey, RequestId, ServiceKey, ZoneKey},
        policy::{Amount, Cap, Place, Policy, Shift},
        settings::topology::Topology,
        sorted::Sorted,
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::collections::VecDeque,
};

const SERVICES: [&str; 2] = ["cellwatch", "swapdesk"];
const REGIONS: [&str; 3] = ["derwent", "tamar", "macquarie"];
const ZONES: u16 = 6;
const ENTRIES: usize = 5;
const SECOND: u64 = 1_000_000;
const STEPS: usize = 20_000;

fn topology() -> Topology {
    let mut topology = Topology::default();
    for region in REGIONS {
        let zones = ["a", "b"].map(|letter| format!("{region}-{letter}"));
        topology.add_region(region.to_owned(), zones.to_vec());
    }
    for service in SERVICES {
        topology.add_service(service.to_owned(), vec![]);
    }
    topology
}

fn settings() -> Settings {
    Settings {
        ramp_ms: 0,
        rate_vms: u32::try_from(ENTRIES).unwrap(),
        ..Settings::default()
    }
}

fn meta(service: u16, origin: ZoneKey) -> Meta {
    Meta {
        id: RequestId(1),
        service: ServiceKey(service),
        kind: KindKey(0),
        origin,
        target: origin,
        deadline: Micros(u64::MAX),
        hops: 0,
    }
}

fn shift(amount: Amount, cap: Amount) -> Shift {
    Shift {
        name: "one".to_owned(),
        service: SERVICES[0].to_owned(),
        from: Place::Region(REGIONS[0].to_owned()),
        to: Place::Region(REGIONS[1].to_owned()),
        amount,
        cap,
    }
}

fn share(permille: u16) -> Shift {
    shift(Amount::Permille(permille), Amount::Permille(permille))
}

fn policy(shifts: Vec<Shift>, caps: Vec<Cap>) -> Policy {
    Policy {
        shifts,
        caps,
        ..Policy::default()
    }
}

fn received_grant(zone: u16, count: u32) -> ReceivedGrant {
    ReceivedGrant {
        service: ServiceKey(0),
        zone: ZoneKey(zone),
        count,
        until: Micros(u64::MAX),
    }
}

/// Counters of one ordered shift or cap, over all entry VMs and incarnations.
#[derive(Default)]
struct Tally {
    seen: u64,
    moved: u64,
    last_second: VecDeque<u64>,
}

impl Tally {
    fn check(&mut self, order: &Shift, now: u64) {
        for limit in [order.amount, order.cap] {
            match limit {
                Amount::Permille(max) => {
                    assert!(
                        self.moved * 1_000 <= u64::from(max) * self.seen,
                        "{order:?}"
                    );
                }
                Amount::PerSecond(max) => {
                    while self
                        .last_second
                        .front()
                        .is_some_and(|at| at + SECOND <= now)
                    {
                        self.last_second.pop_front();
                    }
                    assert!(
                        self.last_second.len() <= usize::try_from(max).unwrap(),
                        "{order:?}"
                    );
                }
            }
        }
    }
}

/// Whether a place contains a zone, without the topology under test: zones 2n and 2n + 1 make up
/// region n.
fn covers(place: &Place, zone: ZoneKey) -> bool {
    match place {
        Place::Region(name) => REGIONS[usize::from(zone.0 / 2)] == name,
        Place::AvailabilityZone(name) => {
            let letter = ["a", "b"][usize::from(zone.0 % 2)];
            *name == format!("{}-{letter}", REGIONS[usize::from(zone.0 / 2)])
        }
    }
}

fn random_place(rng: &mut StdRng) -> Place {
    let region = *REGIONS.choose(rng).unwrap();
    match rng.random_range(0..3) {
        0 => Place::AvailabilityZone(format!("{region}-a")),
        _ => Place::Region(region.to_owned()),
    }
}

fn random_amount(rng: &mut StdRng) -> Amount {
    if rng.random_bool(0.7) {
        Amount::Permille(rng.random_range(0..=1_000))
    } else {
        Amount::PerSecond(rng.random_range(0..40))
    }
}

/// Entry VMs with their policies, which may be outdated, and the counters of the test oracle.
struct Model {
    topology: Topology,
    policy: Policy,
    entries: Vec<(ZoneKey, State, Policy)>,
    tallies: Vec<(Shift, Tally)>,
    caps: Vec<(Cap, Tally)>,
    now: u64,
    moves: u64,
}

impl Model {
    fn new() -> Self {
        let zones = [0, 0, 1, 2, 4].map(ZoneKey);
        Self {
            topology: topology(),
            policy: Policy::default(),
            entries: zones
                .map(|zone| (zone, State::default(), Policy::default()))
                .into(),
            tallies: Vec::new(),
            caps: Vec::new(),
            now: 60 * SECOND,
            moves: 0,
        }
    }

    fn step(&mut self, rng: &mut StdRng) {
        self.now += rng.random_range(0..20_000);
        let at = rng.random_range(0..ENTRIES);
        match rng.random_range(0..100) {
            0 => self.change(rng),
            1 | 2 => self.deliver(at),
            3 if rng.random_bool(0.3) => {
                let last = self.entries[at].2.clone();
                self.entries[at].1 = State::default();
                self.install(at, &last);
            }
            4 => self.entries[at].1.received.clear(),
            5..=14 => self.headroom(at, rng),
            _ => self.request(at, rng),
        }
    }

    fn change(&mut self, rng: &mut StdRng) {
        let name = format!("s{}", rng.random_range(0..4));
        self.policy.shifts.retain(|shift| shift.name != name);
        if rng.random_bool(0.8) {
            let service = (*SERVICES.choose(rng).unwrap()).to_owned();
            let (from, to) = (random_place(rng), random_place(rng));
            let (amount, cap) = (random_amount(rng), random_amount(rng));
            let shift = Shift {
                name,
                service,
                from,
                to,
                amount,
                cap,
            };
            self.policy.shifts.push(shift);
            self.policy.shifts.sort_by(|a, b| a.name.cmp(&b.name));
        }
        self.policy.caps.clear();
        if rng.random_bool(0.5) {
            let (service, to) = (SERVICES[0].to_owned(), random_place(rng));
            let amount = random_amount(rng);
            self.policy.caps.push(Cap {
                service,
                to,
                amount,
            });
        }
    }

    /// Delivers the newest configuration to one entry VM; the others keep theirs.
    fn deliver(&mut self, at: usize) {
        let newest = self.policy.clone();
        self.install(at, &newest);
    }

    fn install(&mut self, at: usize, policy: &Policy) {
        let now = Micros(self.now);
        let (_, state, installed) = &mut self.entries[at];
        apply(state, policy, &self.topology, settings(), now);
        *installed = policy.clone();
    }

    fn headroom(&mut self, at: usize, rng: &mut StdRng) {
        let grant = ReceivedGrant {
            service: ServiceKey(rng.random_range(0..2)),
            zone: ZoneKey(rng.random_range(0..ZONES)),
            count: rng.random_range(0..30),
            until: Micros(self.now + rng.random_range(0..2 * SECOND)),
        };
        add_grant(&mut self.entries[at].1, grant, Micros(self.now));
    }

    fn request(&mut self, at: usize, rng: &mut StdRng) {
        let now = Micros(self.now);
        let (origin, state, policy) = &mut self.entries[at];
        let service = rng.random_range(0..2_u16);
        let name = SERVICES[usize::from(service)];
        let before = state.clone();
        let chosen = route(state, &meta(service, *origin), settings(), now);
        let matching = policy
            .shifts
            .iter()
            .filter(|shift| shift.service == name && covers(&shift.from, *origin));
        for order in matching.clone() {
            tally(&mut self.tallies, order).seen += 1;
        }
        for cap in policy.caps.iter().filter(|cap| cap.service == name) {
            let all = (0..ZONES).map(ZoneKey);
            let overlaps = |shift: &Shift| {
                all.clone()
                    .any(|zone| covers(&shift.to, zone) && covers(&cap.to, zone))
            };
            if matching.clone().any(overlaps) {
                tally(&mut self.caps, cap).seen += 1;
            }
        }
        let Some(chosen) = chosen else { return };
        self.moves += 1;
        assert!(headroom(&before, ServiceKey(service), chosen.zone, now) > 0);
        let order = &state.rows[chosen.shift].order;
        assert!(order.service == name && covers(&order.from, *origin));
        assert!(covers(&order.to, chosen.zone));
        let counts = tally(&mut self.tallies, order);
        counts.moved += 1;
        counts.last_second.push_back(self.now);
        counts.check(order, self.now);
        let protects = |cap: &&Cap| cap.service == name && covers(&cap.to, chosen.zone);
        for cap in policy.caps.iter().filter(protects) {
            let counts = tally(&mut self.caps, cap);
            counts.moved += 1;
            counts.last_second.push_back(self.now);
            counts.check(&shift(cap.amount, cap.amount), self.now);
        }
    }
}

fn tally<'a, T: Clone + PartialEq>(tallies: &'a mut Vec<(T, Tally)>, order: &T) -> &'a mut Tally {
    let at = tallies.iter().position(|(other, _)| other == order);
    let at = at.unwrap_or_else(|| {
        tallies.push((order.clone(), Tally::default()));
        tallies.len() - 1
    });
    &mut tallies[at].1
}

fn steps() -> usize {
    let configured = std::env::var("SISKINSTEP_FUZZ_STEPS").ok();
    configured
        .and_then(|text| text.parse().ok())
        .unwrap_or(STEPS)
}

#[test]
fn shifts_and_caps_are_not_exceeded_across_all_entries() {
    for seed in 0..8 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut model = Model::new();
        for _ in 0..steps() {
            model.step(&mut rng);
        }
        assert!(model.moves > 100, "seed {seed} moved only {}", model.moves);
    }
}

#[test]
fn granted_headroom_never_exceeds_free_slots() {
    for seed in 0..8 {
        let mut rng = StdRng::seed_from_u64(seed);
        let settings = Settings {
            reserve_permille: 250,
            ..settings()
        };
        let (mut state, mut now) = (State::default(), 60 * SECOND);
        // Oracle: every unit granted, with the time at which it expires at the source.
        let mut units: Vec<(ZoneKey, u64)> = Vec::new();
        for _ in 0..steps() {
            now += rng.random_range(0..30_000);
            let zone = ZoneKey(rng.random_range(1..4));
            units.retain(|(_, until)| *until > now);
            let service = ServiceKey(0);
            if rng.random_bool(0.5) {
                let (requested, free) = (rng.random_range(0..40), rng.random_range(0..30));
                let request = HeadroomRequest {
                    service,
                    zone,
                    requested,
                    free,
                };
                let count = grant(&mut state, request, settings, Micros(now));
                units.extend((0..count).map(|_| (zone, now + settings.lease_ms * 1_000)));
                let max = if count > 0 { free * 3 / 4 } else { u32::MAX };
                assert!(units.len() <= usize::try_from(max).unwrap(), "seed {seed}");
                assert!(count <= requested);
            } else if let Some(at) = units.iter().position(|unit| unit.0 == zone) {
                units.remove(at);
                let before = outstanding(&state, service, Micros(now));
                record_arrival(&mut state, service, zone, Micros(now));
                // The request stays counted until the slot counts include it.
                assert_eq!(outstanding(&state, service, Micros(now)), before);
            }
        }
    }
}

#[test]
fn a_shift_without_headroom_moves_nothing_and_reports_the_reason() {
    let (mut state, topology) = (State::default(), topology());
    let policy = policy(vec![share(500)], vec![]);
    apply(&mut state, &policy, &topology, settings(), Micros(0));
    let origin = meta(0, ZoneKey(0));
    let moved = |state: &mut State| {
        let results = (0..10).map(|_| route(state, &origin, settings(), Micros(1)).is_some());
        results.filter(|moved| *moved).count()
    };
    assert_eq!(moved(&mut state), 0);
    assert_eq!(
        state.rows.values().next().unwrap().wait,
        Some(Wait::NoHeadroom)
    );
    add_grant(&mut state, received_grant(2, 2), Micros(1));
    assert_eq!(moved(&mut state), 2, "no more than was granted");
    add_grant(&mut state, received_grant(3, 100), Micros(1));
    // Requests that could not move before do not cause a later burst.
    assert!(moved(&mut state) <= 6);
}

#[test]
fn counters_are_kept_for_an_unchanged_shift_and_reset_for_a_changed_one() {
    let (mut state, topology) = (State::default(), topology());
    add_grant(&mut state, received_grant(2, 1_000), Micros(0));
    let install = |state: &mut State, shift: Shift| {
        apply(
            state,
            &policy(vec![shift], vec![]),
            &topology,
            settings(),
            Micros(0),
        );
    };
    let seen = |state: &State| state.rows.values().next().unwrap().seen;
    install(&mut state, share(500));
    route(&mut state, &meta(0, ZoneKey(1)), settings(), Micros(0));
    install(&mut state, share(500));
    assert_eq!(seen(&state), 1);
    install(&mut state, share(400));
    assert_eq!(seen(&state), 0);
    apply(
        &mut state,
        &Policy::default(),
        &topology,
        settings(),
        Micros(0),
    );
    assert!(state.rows.is_empty() && state.names == Sorted::default());
}

#[test]
fn a_new_shift_ramps_up_to_its_amount() {
    let (mut state, topology) = (State::default(), topology());
    let settings = Settings {
        ramp_ms: 1_000,
        ..settings()
    };
    add_grant(&mut state, received_grant(2, 10_000), Micros(0));
    apply(
        &mut state,
        &policy(vec![share(1_000)], vec![]),
        &topology,
        settings,
        Micros(0),
    );
    let mut moved = |millis: u64| {
        let now = Micros::from_millis(millis);
        let results = (0..100).map(|_| route(&mut state, &meta(0, ZoneKey(0)), settings, now));
        results.flatten().count()
    };
    let counts = [0, 100, 500, 1_000].map(&mut moved);
    assert_eq!(counts, [0, 10, 50, 100]);
}

#[test]
fn an_absolute_rate_moves_nothing_if_the_number_of_vms_is_unknown() {
    let (mut state, topology) = (State::default(), topology());
    let settings = Settings {
        rate_vms: 0,
        ..settings()
    };
    add_grant(&mut state, received_grant(2, 10), Micros(0));
    let rate = shift(Amount::PerSecond(9), Amount::PerSecond(9));
    apply(
        &mut state,
        &policy(vec![rate], vec![]),
        &topology,
        settings,
        Micros(0),
    );
    let late = Micros(10 * SECOND);
    assert_eq!(
        route(&mut state, &meta(0, ZoneKey(0)), settings, late),
        None
    );
    assert_eq!(state.rows.values().next().unwrap().wait, Some(Wait::NoPart));
}

#[test]
fn an_absolute_rate_holds_in_every_second_across_changes_and_restarts() {
    let topology = topology();
    let settings = Settings {
        rate_vms: 1,
        ..settings()
    };
    let rate = shift(Amount::PerSecond(7), Amount::Permille(1_000));
    let order = policy(vec![rate], vec![]);
    let mut moved = VecDeque::new();
    let mut state = State::default();
    for millis in 0..10_000_u64 {
        let now = Micros::from_millis(millis);
        if millis % 2_900 == 0 {
            state = State::default();
            apply(&mut state, &order, &topology, settings, now);
            add_grant(&mut state, received_grant(2, 1_000), now);
        }
        if route(&mut state, &meta(0, ZoneKey(0)), settings, now).is_some() {
            moved.push_back(millis);
        }
        moved.retain(|at| at + 1_000 > millis);
        assert!(moved.len() <= 7, "{moved:?}");
    }
    assert!(!moved.is_empty());
}

#[test]
fn headroom_expires_with_its_lease() {
    let (mut state, topology) = (State::default(), topology());
    apply(
        &mut state,
        &policy(vec![share(1_000)], vec![]),
        &topology,
        settings(),
        Micros(0),
    );
    let lease = ReceivedGrant {
        until: Micros(100),
        ..received_grant(2, 9)
    };
    add_grant(&mut state, lease, Micros(0));
    let mut moves =
        |now| route(&mut state, &meta(0, ZoneKey(0)), settings(), Micros(now)).is_some();
    assert!(moves(99));
    assert!(!moves(100));
}
