//! Tests that a configuration never goes backwards and always arrives.

use {
    super::{
        decide::{self, MOST_COMMANDS, Step},
        disk::Disk,
        messages::Fetched,
    },
    crate::{
        keys::ZoneKey,
        membership::{Member, Members, Standing},
        policy::{self, Change, Command, Drain, Policy},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::net::SocketAddr,
};

/// Accepts one more change.
fn change(policy: &mut Policy) {
    let number = policy.version;
    let command = Command {
        id: format!("c-{number}"),
        operator: "ann".to_owned(),
        expected: number,
        change: Change::PutDrain(Drain::Vm(format!("vm-{number}"))),
    };
    policy::apply(policy, command).unwrap();
}

fn at_version(version: u64) -> Policy {
    let mut policy = Policy::default();
    (0..version).for_each(|_| change(&mut policy));
    policy
}

fn member(name: &str, zone: u16, version: u64) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        name: name.to_owned(),
        zone: ZoneKey(zone),
        members: address,
        callers: address,
        upstreams: address,
        peers: SocketAddr::from(([127, 0, 0, 1], u16::try_from(version).unwrap())),
        incarnation: 1,
        standing: Standing::Alive,
        beat: 0,
        free: vec![],
        version,
    }
}

#[test]
fn an_older_version_never_comes_into_force() {
    let (old, new) = (at_version(4), at_version(5));
    let offered = decide::answer(&old, 0, true);
    assert_eq!(decide::step(&new, offered), Step::Same);
    let offered = decide::answer(&new, 4, false);
    assert!(matches!(decide::step(&old, offered), Step::Newer(next) if next.version == 5));
}

#[test]
fn few_changes_travel_as_commands_and_many_as_a_whole() {
    let most = MOST_COMMANDS as u64;
    let policy = at_version(most + 5);
    let few = decide::answer(&policy, 5, false);
    assert_eq!(
        (few.commands.len(), few.policy.is_none()),
        (MOST_COMMANDS, true)
    );
    let many = decide::answer(&policy, 4, false);
    assert!(many.commands.is_empty() && many.policy.is_some());
    // Receipts that are missing lead to the whole as well.
    let bare = policy.without_receipts();
    assert!(decide::answer(&bare, most, false).policy.is_some());
}

#[test]
fn equal_versions_that_differ_are_noticed() {
    let policy = at_version(3);
    let mut other = policy.clone();
    other.drains.pop();
    let told = decide::answer(&other, 3, false);
    assert_eq!(decide::step(&policy, told), Step::Mismatch);
    // Commands that do not lead to the digest are not taken either.
    let mut ahead = policy.clone();
    change(&mut ahead);
    assert_eq!(
        decide::step(&other, decide::answer(&ahead, 3, false)),
        Step::Mismatch
    );
    let whole = decide::answer(&policy, 3, true);
    assert!(matches!(decide::step(&other, whole), Step::Newer(next) if next.drains.len() == 3));
}

#[test]
fn two_vms_of_a_zone_ask_control_and_all_agree_on_them() {
    let names: Vec<String> = (0..9).map(|number| format!("vm-{number}")).collect();
    let rows = names.iter().map(|name| member(name, 0, 1)).collect();
    let members = Members {
        rows,
        ..Members::default()
    };
    let control = [SocketAddr::from(([127, 0, 0, 1], 9))];
    let of = |name: &str| decide::sources(&members, (name, ZoneKey(0)), 1, &control, 0);
    let parents: Vec<_> = names.iter().filter(|name| of(name).parent).collect();
    assert_eq!(parents.len(), 2);
    for name in &names {
        let expected = if parents.contains(&name) { 1 } else { 3 };
        assert_eq!(of(name).watched.len(), expected);
        assert_eq!(of(name).watched.last(), control.last());
    }
}

#[test]
fn a_member_that_is_ahead_is_asked_the_nearest_first() {
    let members = Members {
        rows: vec![member("a", 0, 6), member("b", 1, 8), member("c", 0, 8)],
        ..Members::default()
    };
    let ahead = |name, version| {
        let own = (name, ZoneKey(0));
        decide::sources(&members, own, version, &[], 0).ahead
    };
    assert_eq!(ahead("a", 6), Some(members.rows[2].peers));
    assert_eq!(ahead("a", 8), None);
    assert_eq!(decide::floor(&members, ZoneKey(0)), Some(8));
    assert_eq!(decide::floor(&members, ZoneKey(7)), Some(8));
    assert_eq!(decide::floor(&Members::default(), ZoneKey(0)), None);
}

#[test]
fn a_kept_configuration_survives_and_a_damaged_one_is_not_used() {
    let folder = tempfile::tempdir().unwrap();
    let disk = Disk::open(&folder.path().join("data")).unwrap();
    assert_eq!(disk.load().unwrap(), None);
    for version in [3, 9] {
        disk.keep(&at_version(version)).unwrap();
        assert_eq!(disk.load().unwrap(), Some(at_version(version)));
    }
    let file = folder.path().join("data/configuration");
    let mut bytes = std::fs::read(&file).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    std::fs::write(&file, bytes).unwrap();
    assert!(disk.load().is_err());
}

/// A zone of entry VMs as far as versions go. Restarts lose memory, not the disk.
struct Zone {
    control: Policy,
    vms: Vec<Vm>,
}

struct Vm {
    current: Policy,
    disk: Option<Policy>,
    up: bool,
    cut: bool,
    /// Highest version that it has served under.
    served: u64,
}

impl Zone {
    fn members(&self) -> Members {
        let live = self.vms.iter().enumerate().filter(|(_, vm)| vm.up);
        let rows = live.map(|(at, vm)| member(&format!("vm-{at}"), 0, vm.current.version));
        Members {
            rows: rows.collect(),
            ..Members::default()
        }
    }

    fn take(&mut self, at: usize, fetched: Fetched) {
        let vm = &mut self.vms[at];
        match decide::step(&vm.current, fetched) {
            Step::Newer(next) => {
                if vm.disk.is_some() {
                    vm.disk = Some(next.clone());
                }
                vm.current = next;
            }
            Step::Same => {}
            Step::Mismatch => panic!("vm-{at} disagrees"),
        }
    }

    /// As the duty does at a start: its disk, control if it can, and the highest of the zone.
    fn start(&mut self, at: usize) {
        let floor = decide::floor(&self.members(), ZoneKey(0)).unwrap_or(0);
        let vm = &mut self.vms[at];
        vm.current = vm.disk.clone().unwrap_or_default();
        vm.up = true;
        if !vm.cut {
            let fetched = decide::answer(&self.control, vm.current.version, false);
            self.take(at, fetched);
        }
        if self.vms[at].current.version < floor {
            self.ask(at, self.highest(at));
        }
        let vm = &self.vms[at];
        let kept = vm.disk.as_ref().map_or(0, |_| vm.served);
        let best = if vm.cut { 0 } else { self.control.version };
        let floor = floor.max(kept).max(best);
        assert!(vm.current.version >= floor, "vm-{at} started below {floor}");
        self.vms[at].served = self.vms[at].current.version;
    }

    fn highest(&self, at: usize) -> usize {
        let others = (0..self.vms.len()).filter(|other| *other != at && self.vms[*other].up);
        others
            .max_by_key(|other| self.vms[*other].current.version)
            .unwrap_or(at)
    }

    fn ask(&mut self, at: usize, from: usize) {
        let version = self.vms[at].current.version;
        let fetched = decide::answer(&self.vms[from].current, version, false);
        self.take(at, fetched);
    }

    /// One turn of one VM: a member that is ahead, then its parents or control.
    fn poll(&mut self, at: usize) {
        let (members, name) = (self.members(), format!("vm-{at}"));
        let version = self.vms[at].current.version;
        let sources = decide::sources(&members, (&name, ZoneKey(0)), version, &[], 0);
        if sources.ahead.is_some() {
            self.ask(at, self.highest(at));
        }
        if sources.parent && !self.vms[at].cut {
            let version = self.vms[at].current.version;
            let fetched = decide::answer(&self.control, version, false);
            self.take(at, fetched);
        }
        if !sources.parent {
            let parent = &decide::parents(&members, ZoneKey(0))[0].name;
            self.ask(at, parent[3..].parse().unwrap());
        }
        let vm = &mut self.vms[at];
        assert!(vm.current.version >= vm.served, "vm-{at} went back");
        vm.served = vm.current.version;
    }
}

#[test]
fn versions_never_decrease_over_restarts_and_always_converge() {
    let runs = std::env::var("SISKINSTEP_FUZZ_STEPS");
    let runs: u64 = runs.ok().and_then(|text| text.parse().ok()).unwrap_or(30);
    for seed in 0..runs {
        let mut random = StdRng::seed_from_u64(seed);
        let vm = |at: usize| Vm {
            current: Policy::default(),
            disk: (at == 0).then(Policy::default),
            up: true,
            cut: false,
            served: 0,
        };
        let mut zone = Zone {
            control: Policy::default(),
            vms: (0..5).map(vm).collect(),
        };
        for _ in 0..300 {
            let at = random.random_range(0..zone.vms.len());
            match random.random_range(0..10) {
                0..3 => (0..random.random_range(1..30)).for_each(|_| change(&mut zone.control)),
                3 => zone.vms[at].up = false,
                4 => zone.vms[at].cut ^= true,
                5 => {
                    zone.vms[at].up = false;
                    zone.start(at);
                }
                _ if zone.vms[at].up => zone.poll(at),
                _ => {}
            }
        }
        for at in 0..zone.vms.len() {
            zone.vms[at].cut = false;
            if !zone.vms[at].up {
                zone.start(at);
            }
        }
        for _ in 0..2 {
            (0..zone.vms.len()).for_each(|at| zone.poll(at));
        }
        let versions: Vec<u64> = zone.vms.iter().map(|vm| vm.current.version).collect();
        assert_eq!(versions, vec![zone.control.version; 5], "seed {seed}");
    }
}
