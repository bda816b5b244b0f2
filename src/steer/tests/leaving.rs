//! Tests of upstreams that say in a response that they leave.

use {
    super::{World, at, failed, ms},
    crate::{
        backpressure::Notice,
        call::{Ran, Reason},
        catalog::Upstream,
        courier::Target,
        keys::{InFlightKey, UpstreamKey},
        steer::{decide, pressure},
    },
};

impl World {
    /// A response of the incarnation `born` of `a1` says that it leaves.
    fn announce(&mut self, born: u64) {
        let target = Target {
            address: at("a", 1).address,
            id: "a1".into(),
            born,
            key: UpstreamKey::default(),
        };
        let notice = Notice {
            is_leaving: true,
            rest_until: None,
        };
        pressure::heed(&mut self.state, &target, notice, 7, self.now);
    }

    /// The control VMs list `a1` as ready, with the incarnation `born` and the report `seq`.
    fn list(&mut self, born: u64, seq: u64) {
        let row = Upstream {
            born,
            seq,
            ..at("a", 1)
        };
        self.catalog.revision += 1;
        self.catalog.upstreams.put("a1", row, self.catalog.revision);
        self.apply_catalog();
    }

    fn refused(&mut self) -> bool {
        self.admit("/one/x", 1);
        self.effects() == ["refuse no_upstream No"]
    }
}

/// Guards against requests to an upstream that is leaving: new ones, waiting ones and retries.
#[test]
fn an_upstream_that_leaves_gets_no_requests() {
    let mut world = World::new(&[("a1", at("a", 1))]);
    let sent: Vec<InFlightKey> = (0..4).map(|_| world.admit("/one/x", 1)).collect();
    world.effects();
    while !world.effects().contains(&"queued".to_owned()) {
        world.admit("/one/x", 1);
    }
    world.announce(1);
    world.respond(sent[0]);
    world.finish(sent[1], failed(Reason::ConnectFailed, Ran::No));
    world.admit("/one/x", 1);
    for step in 0..100 {
        world.now = ms(step * 20);
        decide::tick(&mut world.state, 7, world.now);
    }
    let effects = world.effects();
    assert!(
        !effects.iter().any(|row| row.starts_with("send")),
        "{effects:?}"
    );
}

/// Guards against a late or reordered report of the same incarnation, or of an earlier one, that brings the upstream
/// back, also after the catalogue has dropped it for a while.
#[test]
fn only_a_new_incarnation_ends_a_departure() {
    let mut world = World::new(&[("a1", at("a", 1))]);
    world.list(5, 1);
    world.announce(5);
    assert!(world.refused());
    for (born, seq) in [(5, 2), (5, 1), (4, 9), (5, 3)] {
        world.list(born, seq);
        assert!(world.refused(), "incarnation {born}, report {seq}");
    }
    world.catalog.upstreams.remove("a1", 50);
    world.catalog.revision = 50;
    world.apply_catalog();
    world.now = ms(60_000);
    world.list(5, 4);
    assert!(world.refused());
    world.list(6, 1);
    world.admit("/one/x", 1);
    assert_eq!(world.effects(), ["send a1"]);
    // A response of the earlier incarnation that arrives late.
    world.announce(5);
    world.admit("/one/x", 1);
    assert_eq!(world.effects(), ["send a1"]);
}

/// Guards against a response of an incarnation that the catalogue does not list at the moment, and lists later.
#[test]
fn a_departure_of_an_unlisted_upstream_is_remembered() {
    let mut world = World::new(&[("b1", at("b", 2))]);
    world.announce(5);
    world.catalog.upstreams.remove("b1", 2);
    world.list(5, 1);
    assert!(world.refused());
}
