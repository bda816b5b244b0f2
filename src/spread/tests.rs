//! Tests that the version in force never decreases and that updates reach every VM.

use {
    super::{
        decide::{self, MAX_COMMANDS, Outcome},
        disk::Disk,
        messages::FetchResponse,
    },
    crate::{
        keys::ZoneKey,
        membership::{Member, MemberStatus, Members},
        policy::{self, Change, Command, Drain, Policy},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::net::SocketAddr,
};

/// Applies one more change.
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
        status: MemberStatus::Alive,
        heartbeat: 0,
        free_slots: vec![],
        version,
    }
}

#[test]
fn older_version_is_never_applied() {
    let (old, new) = (at_version(4), at_version(5));
    let response = decide::respond(&old, 0, true);
    assert_eq!(decide::evaluate(&new, response), Outcome::Unchanged);
    let response = decide::respond(&new, 4, false);
    assert!(matches!(decide::evaluate(&old, response), Outcome::Newer(next) if next.version == 5));
}

#[test]
fn few_changes_are_sent_as_commands_and_many_as_full_configuration() {
    let max = MAX_COMMANDS as u64;
    let policy = at_version(max + 5);
    let few = decide::respond(&policy, 5, false);
    assert_eq!(
        (few.commands.len(), few.policy.is_none()),
        (MAX_COMMANDS, true)
    );
    let many = decide::respond(&policy, 4, false);
    assert!(many.commands.is_empty() && many.policy.is_some());
    // Missing receipts lead to the full configuration as well.
    let bare = policy.without_receipts();
    assert!(decide::respond(&bare, max, false).policy.is_some());
}

#[test]
fn different_contents_of_one_version_are_detected() {
    let policy = at_version(3);
    let mut other = policy.clone();
    other.drains.pop();
    let response = decide::respond(&other, 3, false);
    assert_eq!(decide::evaluate(&policy, response), Outcome::Mismatch);
    // Commands that do not lead to the digest are rejected as well.
    let mut ahead = policy.clone();
    change(&mut ahead);
    assert_eq!(
        decide::evaluate(&other, decide::respond(&ahead, 3, false)),
        Outcome::Mismatch
    );
    let full = decide::respond(&policy, 3, true);
    assert!(
        matches!(decide::evaluate(&other, full), Outcome::Newer(next) if next.drains.len() == 3)
    );
}

#[test]
fn two_vms_per_zone_poll_control_and_all_select_the_same() {
    let names: Vec<String> = (0..9).map(|number| format!("vm-{number}")).collect();
    let rows = names.iter().map(|name| member(name, 0, 1)).collect();
    let members = Members {
        rows,
        ..Members::default()
    };
    let control = [SocketAddr::from(([127, 0, 0, 1], 9))];
    let sources_of = |name: &str| decide::sources(&members, (name, ZoneKey(0)), 1, &control, 0);
    let parents: Vec<_> = names
        .iter()
        .filter(|name| sources_of(name).is_parent)
        .collect();
    assert_eq!(parents.len(), 2);
    for name in &names {
        let expected = if parents.contains(&name) { 1 } else { 3 };
        assert_eq!(sources_of(name).long_polled.len(), expected);
        assert_eq!(sources_of(name).long_polled.last(), control.last());
    }
}

#[test]
fn member_with_newest_version_is_polled_local_zone_first() {
    let members = Members {
        rows: vec![member("a", 0, 6), member("b", 1, 8), member("c", 0, 8)],
        ..Members::default()
    };
    let ahead = |name, version| {
        let local = (name, ZoneKey(0));
        decide::sources(&members, local, version, &[], 0).ahead
    };
    assert_eq!(ahead("a", 6), Some(members.rows[2].peers));
    assert_eq!(ahead("a", 8), None);
    assert_eq!(decide::version_floor(&members, ZoneKey(0)), Some(8));
    assert_eq!(decide::version_floor(&members, ZoneKey(7)), Some(8));
    assert_eq!(decide::version_floor(&Members::default(), ZoneKey(0)), None);
}

#[test]
fn reports_cover_the_zone_and_the_current_local_version() {
    let members = Members {
        rows: vec![member("a", 0, 6), member("b", 1, 8), member("c", 0, 8)],
        ..Members::default()
    };
    let reports = decide::reports(&members, (ZoneKey(0), "derwent-a"), ("a", 9));
    let rows: Vec<_> = reports
        .iter()
        .map(|row| (row.vm.as_str(), row.version))
        .collect();
    assert_eq!(rows, [("c", 8), ("a", 9)]);
}

#[test]
fn stored_configuration_is_loaded_and_corrupted_one_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let disk = Disk::open(&folder.path().join("data")).unwrap();
    assert_eq!(disk.load().unwrap(), None);
    for version in [3, 9] {
        disk.store(&at_version(version)).unwrap();
        assert_eq!(disk.load().unwrap(), Some(at_version(version)));
    }
    let file = folder.path().join("data/configuration");
    let mut bytes = std::fs::read(&file).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    std::fs::write(&file, bytes).unwrap();
    assert!(disk.load().is_err());
}

/// Model of the versions in a zone of entry VMs. A restart loses the memory but not the disk.
struct Zone {
    control: Policy,
    vms: Vec<Vm>,
}

struct Vm {
    current: Policy,
    disk: Option<Policy>,
    is_up: bool,
    is_partitioned: bool,
    /// Version under which it last served.
    served: u64,
}

impl Zone {
    fn members(&self) -> Members {
        let live = self.vms.iter().enumerate().filter(|(_, vm)| vm.is_up);
        let rows = live.map(|(at, vm)| member(&format!("vm-{at}"), 0, vm.current.version));
        Members {
            rows: rows.collect(),
            ..Members::default()
        }
    }

    fn apply_response(&mut self, at: usize, response: FetchResponse) {
        let vm = &mut self.vms[at];
        match decide::evaluate(&vm.current, response) {
            Outcome::Newer(next) => {
                if vm.disk.is_some() {
                    vm.disk = Some(next.clone());
                }
                vm.current = next;
            }
            Outcome::Unchanged => {}
            Outcome::Mismatch => panic!("vm-{at} has different contents for the same version"),
        }
    }

    /// Follows the startup of the duty: disk, control if reachable, then the highest version in the
    /// zone.
    fn start(&mut self, at: usize) {
        let floor = decide::version_floor(&self.members(), ZoneKey(0)).unwrap_or(0);
        let vm = &mut self.vms[at];
        vm.current = vm.disk.clone().unwrap_or_default();
        vm.is_up = true;
        if !vm.is_partitioned {
            let response = decide::respond(&self.control, vm.current.version, false);
            self.apply_response(at, response);
        }
        if self.vms[at].current.version < floor {
            self.fetch(at, self.highest(at));
        }
        let vm = &self.vms[at];
        let stored = vm.disk.as_ref().map_or(0, |_| vm.served);
        let available = if vm.is_partitioned {
            0
        } else {
            self.control.version
        };
        let floor = floor.max(stored).max(available);
        assert!(
            vm.current.version >= floor,
            "vm-{at} started below the version floor {floor}"
        );
        self.vms[at].served = self.vms[at].current.version;
    }

    fn highest(&self, at: usize) -> usize {
        let others = (0..self.vms.len()).filter(|other| *other != at && self.vms[*other].is_up);
        others
            .max_by_key(|other| self.vms[*other].current.version)
            .unwrap_or(at)
    }

    fn fetch(&mut self, at: usize, from: usize) {
        let version = self.vms[at].current.version;
        let response = decide::respond(&self.vms[from].current, version, false);
        self.apply_response(at, response);
    }

    /// One polling cycle of one VM: a member with a newer version, then control or a parent.
    fn poll(&mut self, at: usize) {
        let (members, name) = (self.members(), format!("vm-{at}"));
        let version = self.vms[at].current.version;
        let sources = decide::sources(&members, (&name, ZoneKey(0)), version, &[], 0);
        if sources.ahead.is_some() {
            self.fetch(at, self.highest(at));
        }
        if sources.is_parent && !self.vms[at].is_partitioned {
            let version = self.vms[at].current.version;
            let response = decide::respond(&self.control, version, false);
            self.apply_response(at, response);
        }
        if !sources.is_parent {
            let parent = &decide::parents(&members, ZoneKey(0))[0].name;
            self.fetch(at, parent[3..].parse().unwrap());
        }
        let vm = &mut self.vms[at];
        assert!(
            vm.current.version >= vm.served,
            "version of vm-{at} decreased"
        );
        vm.served = vm.current.version;
    }
}

#[test]
fn versions_never_decrease_over_restarts_and_converge() {
    let runs = std::env::var("SISKINSTEP_FUZZ_STEPS");
    let runs: u64 = runs.ok().and_then(|text| text.parse().ok()).unwrap_or(30);
    for seed in 0..runs {
        let mut random = StdRng::seed_from_u64(seed);
        let vm = |at: usize| Vm {
            current: Policy::default(),
            disk: (at == 0).then(Policy::default),
            is_up: true,
            is_partitioned: false,
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
                3 => zone.vms[at].is_up = false,
                4 => zone.vms[at].is_partitioned ^= true,
                5 => {
                    zone.vms[at].is_up = false;
                    zone.start(at);
                }
                _ if zone.vms[at].is_up => zone.poll(at),
                _ => {}
            }
        }
        for at in 0..zone.vms.len() {
            zone.vms[at].is_partitioned = false;
            if !zone.vms[at].is_up {
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
