//! Shares of a limit for all entry VMs, while VMs restart and control VMs list only some of them.

use {
    super::{World, at, ms},
    crate::{
        beacon::{
            Beacon, LiveEntries,
            state::{DISTANT_INTERVAL_MS, HEARTBEAT_INTERVAL_MS},
        },
        catalog::Upstream,
        clock::Micros,
        steer::queue,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
};

const ZONES: [&str; 3] = ["a", "b", "c"];
const STEP_MS: u64 = 10;
/// Time for which a control VM holds a poll back, and time until a new one is led and serves followers.
const HOLD_MS: u64 = 600;
const LEADERLESS_MS: u64 = 700;
/// Requests per second to a cold upstream: those that the service allows, and those that users accept.
const RATE: usize = 19;
const MAX_IN_SECOND: usize = RATE * 3 / 2 + 5;

/// A control VM, which is in the zone of its index.
struct Control {
    entries: LiveEntries,
    serves_at: u64,
}

/// An entry VM; without a world while it is down.
struct Entry {
    zone: usize,
    world: Option<World>,
    /// Start of its process, and its next poll.
    started: u64,
    next_poll: u64,
    beats: u64,
}

struct Fleet {
    control: Vec<Control>,
    entries: Vec<Entry>,
    random: StdRng,
    /// Requests sent to the cold upstream in each step.
    sent: Vec<usize>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let control = ZONES.map(|_| Control {
            entries: LiveEntries::default(),
            serves_at: 0,
        });
        let entries = [0, 0, 1, 1, 2, 2, 2].map(|zone| Entry {
            zone,
            world: None,
            started: 0,
            next_poll: 0,
            beats: 0,
        });
        Self {
            control: control.into(),
            entries: entries.into(),
            random: StdRng::seed_from_u64(seed),
            sent: Vec::new(),
        }
    }

    fn restart_entry(&mut self, vm: usize, at: u64) {
        let down_ms = self.random.random_range(10..150) * STEP_MS;
        let entry = &mut self.entries[vm];
        entry.world = None;
        entry.started = at + down_ms;
        entry.next_poll = entry.started;
    }

    fn restart_control(&mut self, index: usize, at: u64) {
        let down_ms = self.random.random_range(10..150) * STEP_MS;
        self.control[index] = Control {
            entries: LiveEntries::default(),
            serves_at: at + down_ms + LEADERLESS_MS,
        };
    }

    /// Polls the nearest control VM that serves, if there is one.
    fn poll(&mut self, vm: usize, now: u64) {
        let entry = &mut self.entries[vm];
        if now < entry.next_poll {
            return;
        }
        entry.next_poll = now + 50;
        let order = (0..ZONES.len()).map(|step| (entry.zone + step) % ZONES.len());
        let mut serving = order.filter(|index| self.control[*index].serves_at <= now);
        let Some(index) = serving.next() else { return };
        entry.next_poll = now + HOLD_MS;
        let is_first = entry.world.is_none();
        let world = entry.world.get_or_insert_with(|| started_in(entry.zone));
        world.now = ms(now);
        world.zones = self.control[index].entries.ready_by_zone();
        world.apply_catalog();
        if is_first {
            self.beat(vm, now, true);
        }
    }

    /// Sends heartbeats: to distant control VMs less often, except for the first one.
    fn beat(&mut self, vm: usize, now: u64, is_first: bool) {
        let entry = &mut self.entries[vm];
        entry.beats += 1;
        let port = 8_000 + u16::try_from(vm).unwrap();
        let beacon = Beacon {
            vm: format!("entry-{vm}"),
            zone: ZONES[entry.zone].to_owned(),
            callers: ([10, 0, 0, 1], port).into(),
            incarnation: entry.started,
            beat: entry.beats,
            ready: true,
        };
        let is_distant_due = entry
            .beats
            .is_multiple_of(DISTANT_INTERVAL_MS / HEARTBEAT_INTERVAL_MS);
        for (index, control) in self.control.iter_mut().enumerate() {
            let is_due = is_first || index == entry.zone || is_distant_due;
            let is_up = control.serves_at.saturating_sub(LEADERLESS_MS) <= now;
            // One in ten is lost.
            if is_due && is_up && self.random.random_range(0..10) > 0 {
                control.entries.record(beacon.clone(), ms(now));
            }
        }
    }

    /// Each running VM has a request for the cold upstream in each step.
    fn step(&mut self, now: u64) {
        let mut sent = 0;
        for vm in 0..self.entries.len() {
            self.poll(vm, now);
            let started = self.entries[vm].started;
            if (now.saturating_sub(started)).is_multiple_of(HEARTBEAT_INTERVAL_MS)
                && self.entries[vm].world.is_some()
            {
                self.beat(vm, now, false);
            }
            let Some(world) = &mut self.entries[vm].world else {
                continue;
            };
            world.now = ms(now);
            let key = world.admit("/one/x", now);
            if world.effects().contains(&"send a1".to_owned()) {
                sent += 1;
                world.respond(key);
            } else {
                queue::discard(&mut world.state, key);
            }
            world.effects();
        }
        for (index, control) in self.control.iter_mut().enumerate() {
            control.entries.expire(ZONES[index], ms(now));
        }
        self.sent.push(sent);
    }

    fn max_in_second(&self) -> usize {
        let steps = usize::try_from(1_000 / STEP_MS).unwrap();
        let sums = self.sent.windows(steps).map(|row| row.iter().sum());
        sums.max().unwrap_or(0)
    }
}

/// A VM of that zone without a catalogue, whose first one has an upstream that stays cold.
fn started_in(zone: usize) -> World {
    let mut world = World::new(&[]);
    let zones = [("a", "r"), ("b", "r"), ("c", "s")];
    let zones = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    let settings = crate::steer::Settings::default();
    world.state = crate::steer::state::State::new(settings, ZONES[zone], &zones, Micros(0));
    let cold = Upstream {
        cold_ms: 3_600_000,
        slots: 1_000,
        ..at("a", 1)
    };
    world.catalog.upstreams.put("a1", cold, 1);
    world
}

/// Guards against shares of a cold upstream's rate that add up to more than the rate: after a restart a VM knows no
/// other, and after a restart of its control VM that one lists only the entry VMs that it has heard since.
#[test]
fn shares_of_a_cold_upstream_hold_while_entry_and_control_vms_restart() {
    let mut total = 0;
    for seed in 0..12 {
        let mut fleet = Fleet::new(seed);
        for now in (0..40_000).step_by(usize::try_from(STEP_MS).unwrap()) {
            let event = fleet.random.random_range(0..20_000);
            let index = fleet.random.random_range(0..ZONES.len());
            let vm = fleet.random.random_range(0..fleet.entries.len());
            match event {
                0..10 => fleet.restart_control(index, now),
                10..15 => (0..ZONES.len()).for_each(|index| fleet.restart_control(index, now)),
                15..25 => fleet.restart_entry(vm, now),
                25..30 => {
                    (0..ZONES.len()).for_each(|index| fleet.restart_control(index, now));
                    (0..fleet.entries.len()).for_each(|vm| fleet.restart_entry(vm, now));
                }
                _ => {}
            }
            fleet.step(now);
        }
        let max = fleet.max_in_second();
        assert!(
            max <= MAX_IN_SECOND,
            "seed {seed}: {max} requests in a second"
        );
        total += fleet.sent.iter().sum::<usize>();
    }
    // Of 12 times 40 s, the VMs of the zone run most of the time.
    assert!(total > 12 * 40 * RATE / 2, "{total}");
}
