//! Tests of leases.

use {
    super::{
        decide::{announce, expire, set_drained},
        messages::{Absence, Announcement, Home, Lease, Notice},
        settings::Settings,
        state::State,
        token::Token,
    },
    crate::{
        clock::Micros,
        context::Context,
        keys::{ServiceKey, ZoneKey},
        policy::{Drain, Policy},
    },
};

fn announcement(incarnation: u64) -> Announcement {
    Announcement {
        name: "u1".to_owned(),
        service: ServiceKey(0),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 3,
        incarnation,
        token: None,
        inherited: Some(0),
        load: None,
        leaving: false,
    }
}

struct Vm {
    context: Context,
    state: State,
}

impl Vm {
    fn new(name: &str) -> Self {
        Self {
            context: Context::new(name, ZoneKey(0), std::sync::Arc::default()),
            state: State::default(),
        }
    }

    fn announce(&mut self, ms: u64, announcement: &Announcement) -> (Lease, Vec<Notice>) {
        let now = Micros::from_millis(ms);
        announce(
            &mut self.state,
            Settings::default(),
            &self.context,
            now,
            announcement,
        )
    }

    fn echo(&mut self, ms: u64, announcement: Announcement, lease: &Lease) -> (Lease, Vec<Notice>) {
        let token = Some(lease.token.clone());
        self.announce(
            ms,
            &Announcement {
                token,
                ..announcement
            },
        )
    }

    fn expire(&mut self, ms: u64) -> usize {
        expire(
            &mut self.state,
            Settings::default(),
            Micros::from_millis(ms),
        )
        .len()
    }
}

fn absences(notices: &[Notice]) -> Vec<Absence> {
    let why = notices.iter().filter_map(|notice| match notice {
        Notice::Absent { why, .. } => Some(*why),
        Notice::Present { .. } => None,
    });
    why.collect()
}

#[test]
fn a_lease_starts_with_an_echo_and_expires_without_renewal() {
    let mut vm = Vm::new("a");
    let (first, notices) = vm.announce(0, &announcement(1));
    assert!(!first.granted && notices.is_empty());
    let (second, notices) = vm.echo(10, announcement(1), &first);
    assert!(second.granted);
    assert!(matches!(notices[..], [Notice::Present { .. }]));
    assert!(vm.echo(1_500, announcement(1), &second).0.granted);
    // The lease counts from the token at 10 ms, not from the renewal at 1500 ms.
    assert_eq!(vm.expire(2_009), 0);
    assert_eq!(vm.expire(2_011), 1);
    assert!(vm.state.names.is_empty());
}

#[test]
fn a_delayed_echo_does_not_extend_a_lease() {
    let mut vm = Vm::new("a");
    let (first, _) = vm.announce(0, &announcement(1));
    let (late, notices) = vm.echo(2_001, announcement(1), &first);
    assert!(!late.granted && notices.is_empty());
}

#[test]
fn an_upstream_has_only_one_home() {
    let (mut a, mut b) = (Vm::new("a"), Vm::new("b"));
    let (at_a, _) = a.announce(0, &announcement(1));
    let (at_a, _) = a.echo(1, announcement(1), &at_a);
    let (at_b, _) = b.echo(2, announcement(1), &at_a);
    assert!(!at_b.granted);
    assert!(b.echo(3, announcement(1), &at_b).0.granted);
    // When it returns to the first home, its lease has ended and a token of the first tenure is void.
    let (returned, notices) = a.echo(4, announcement(1), &at_b);
    assert!(!returned.granted);
    assert_eq!(absences(&notices), [Absence::Moved]);
    assert!(!a.echo(5, announcement(1), &at_a).0.granted);
    assert!(a.echo(6, announcement(1), &returned).0.granted);
}

#[test]
fn a_restarted_vm_counts_as_another_home() {
    let mut before = Vm::new("a");
    let (lease, _) = before.announce(0, &announcement(1));
    let mut after = Vm::new("a");
    after.context.incarnation = before.context.incarnation + 1;
    let (lease, notices) = after.echo(1, announcement(1), &lease);
    assert!(!lease.granted && notices.is_empty());
    assert_ne!(lease.holder, before.announce(1, &announcement(1)).0.holder);
}

#[test]
fn a_restarted_upstream_gets_a_new_key_and_stale_announcements_are_ignored() {
    let mut vm = Vm::new("a");
    let (lease, _) = vm.announce(0, &announcement(1));
    let (lease, _) = vm.echo(0, announcement(1), &lease);
    let (_, notices) = vm.echo(1, announcement(2), &lease);
    assert!(matches!(
        notices[..],
        [Notice::Absent { .. }, Notice::Present { .. }]
    ));
    let stale = Announcement {
        leaving: true,
        ..announcement(1)
    };
    assert!(vm.announce(2, &stale).1.is_empty());
    assert_eq!(vm.state.rows.len(), 1);
}

#[test]
fn a_leaving_upstream_is_absent_immediately() {
    let mut vm = Vm::new("a");
    let (lease, _) = vm.announce(0, &announcement(1));
    let (lease, _) = vm.echo(0, announcement(1), &lease);
    let leaving = Announcement {
        leaving: true,
        ..announcement(1)
    };
    let (response, notices) = vm.echo(1, leaving, &lease);
    assert!(!response.granted);
    assert_eq!(absences(&notices), [Absence::Leaving]);
}

#[test]
fn a_drained_vm_releases_upstreams_and_names_another_home() {
    let mut vm = Vm::new("a");
    let (lease, _) = vm.announce(0, &announcement(1));
    let (lease, _) = vm.echo(0, announcement(1), &lease);
    let address = "127.0.0.1:9".parse().unwrap();
    vm.state.homes = vec![home("far", 1), home("near", 0)];
    assert_eq!(
        absences(&set_drained(&mut vm.state, true)),
        [Absence::Released]
    );
    let (lease, _) = vm.echo(1, announcement(1), &lease);
    assert_eq!((lease.granted, lease.home), (false, Some(address)));
    set_drained(&mut vm.state, false);
    vm.state.homes.clear();
    assert!(vm.echo(2, announcement(1), &lease).0.granted);
}

#[test]
fn each_upstream_has_one_best_home_in_its_zone() {
    let names = ["a", "b", "c"];
    let home = |name: &str, port: u16| Home {
        name: name.to_owned(),
        zone: ZoneKey(0),
        address: ([127, 0, 0, 1], port).into(),
    };
    let homes = vec![home("a", 1), home("b", 2), home("c", 3)];
    for upstream in 0..50 {
        let announcement = Announcement {
            name: format!("u{upstream}"),
            ..announcement(1)
        };
        let at_home = names.iter().filter(|name| {
            let mut vm = Vm::new(name);
            vm.state.homes.clone_from(&homes);
            vm.announce(0, &announcement).0.home.is_none()
        });
        assert_eq!(at_home.count(), 1);
    }
}

#[test]
fn malformed_tokens_are_rejected() {
    for text in [
        "",
        "a",
        "a.b",
        "a.1.2.3",
        "a.x.1",
        "a.1.",
        "..",
        "a.1.fffffffffffffffff",
    ] {
        assert_eq!(Token::parse(text), None, "{text}");
    }
    let token = Token::parse("entry-1.18f.2a").unwrap();
    assert_eq!(token.to_string(), "entry-1.18f.2a");
}

#[test]
fn an_upstream_that_cannot_reach_the_better_home_keeps_this_one() {
    let mut vm = Vm::new("a");
    let better = (0..100).map(|at| format!("b{at}")).find(|name| {
        let mut trial = Vm::new("a");
        trial.state.homes = vec![home(name, 0)];
        trial.announce(0, &announcement(1)).0.home.is_some()
    });
    vm.state.homes = vec![home(&better.unwrap(), 0)];
    let (first, _) = vm.announce(0, &announcement(1));
    assert!(first.home.is_some() && !first.granted);
    let (returned, _) = vm.echo(1_000, announcement(1), &first);
    assert!(returned.granted && returned.home.is_none());
    // The hint is repeated only after the interval, and never names a drained VM.
    let mut lease = returned;
    let mut hints = 0;
    for ms in (1_500..61_000).step_by(500) {
        lease = vm.echo(ms, announcement(1), &lease).0;
        assert!(lease.granted);
        hints += usize::from(lease.home.is_some());
    }
    assert_eq!(hints, 1);
    let drained = Drain::Vm(vm.state.homes[0].name.clone());
    vm.state.policy = std::sync::Arc::new(Policy {
        drains: vec![drained],
        ..Policy::default()
    });
    assert!(vm.announce(62_000, &announcement(2)).0.home.is_none());
}

fn home(name: &str, zone: u16) -> Home {
    Home {
        name: name.to_owned(),
        zone: ZoneKey(zone),
        address: "127.0.0.1:9".parse().unwrap(),
    }
}
