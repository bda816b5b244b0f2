//! Tests of the bound on request bodies in flight to one upstream.

use {
    super::World,
    crate::{
        call::{Ran, Reason},
        catalog::tests::upstream,
        courier::Ended,
        keys::InFlightKey,
        steer::decide::{self, RequestHead},
    },
};

const MIB: u64 = 1 << 20;

impl World {
    fn admit_body(&mut self, body_bytes: u64) -> InFlightKey {
        let head = RequestHead {
            credential: crate::workspaces::Credential::None,
            host: "h",
            path: "/one/",
            affinity: Some(1),
            timeout_ms: Some(2_000),
            body_bytes,
            random: 7,
        };
        decide::admit(&mut self.state, &head, self.now).unwrap().0
    }

    /// Ends a request with a response that reports no load.
    fn answer(&mut self, key: InFlightKey) {
        let ended = Ended::Answered {
            status: 200,
            load: None,
        };
        self.finish(key, ended);
    }

    /// Effects of a request with a body.
    fn effects_of(&mut self, body_bytes: u64) -> Vec<String> {
        self.admit_body(body_bytes);
        self.effects()
    }
}

/// Upstreams with many free slots, which have answered so much that short waits are expected.
fn world(names: &[&'static str]) -> World {
    let mut row = upstream("127.0.0.1:1", 1, 1);
    row.slots = 100;
    let rows: Vec<_> = names.iter().map(|name| (*name, row.clone())).collect();
    let mut world = World::new(&rows);
    for _ in 0..200 {
        let key = world.admit_body(0);
        world.answer(key);
    }
    world.effects();
    world
}

/// Guards against an upstream that crashes since the bodies which it has not read exceed its memory, though it has
/// free slots.
#[test]
fn bodies_in_flight_to_one_upstream_are_bounded() {
    let mut world = world(&["u1"]);
    for _ in 0..8 {
        assert_eq!(world.effects_of(MIB), ["send u1"]);
    }
    for _ in 0..3 {
        assert_eq!(world.effects_of(MIB), ["queued"]);
    }
    assert_eq!(world.effects_of(1), ["queued"]);
}

/// Guards against an upstream that reads slowly and delays the requests that others could run.
#[test]
fn bodies_go_to_another_upstream_when_one_is_full() {
    let mut world = world(&["u1", "u2"]);
    let first = world.effects_of(6 * MIB);
    let second = world.effects_of(6 * MIB);
    assert!(
        first != second && second != ["queued"],
        "{first:?} {second:?}"
    );
    // Both have 2 MiB left.
    assert_eq!(world.effects_of(2 * MIB), first);
    assert_eq!(world.effects_of(2 * MIB), second);
    assert_eq!(world.effects_of(MIB), ["queued"]);
}

/// Guards against small requests that wait behind a large body, though there are free slots: new ones, and those that
/// waited already.
#[test]
fn a_body_that_waits_delays_no_other_request() {
    let mut world = world(&["u1"]);
    let first = world.admit_body(7 * MIB);
    let second = world.admit_body(MIB);
    world.effects();
    for _ in 0..40 {
        assert_eq!(world.effects_of(2 * MIB), ["queued"]);
    }
    assert_eq!(world.effects_of(0), ["send u1"]);
    assert_eq!(world.effects_of(MIB / 2), ["queued"]);
    // Room for the last one alone, behind 40 that are too large.
    world.answer(second);
    assert_eq!(world.effects(), ["deliver", "send u1"]);
    assert_eq!(world.effects_of(0), ["send u1"]);
    world.answer(first);
    let sent = world.effects();
    assert_eq!(sent.len(), 1 + 3, "{sent:?}");
}

/// Guards against a body above the bound that could never be sent.
#[test]
fn a_body_above_the_bound_goes_alone() {
    let mut world = world(&["u1"]);
    let first = world.admit_body(1);
    assert_eq!(world.effects(), ["send u1"]);
    assert_eq!(world.effects_of(20 * MIB), ["queued"]);
    world.answer(first);
    assert_eq!(world.effects(), ["deliver", "send u1"]);
    assert_eq!(world.effects_of(1), ["queued"]);
}

/// Guards against bytes that count for ever: after failed attempts, and after a crash, whose reports come when the
/// next incarnation is known.
#[test]
fn the_end_of_an_attempt_makes_room() {
    let mut world = world(&["u1"]);
    for _ in 0..5 {
        let key = world.admit_body(8 * MIB);
        assert_eq!(world.effects(), ["send u1"]);
        let ended = Ended::Failed {
            reason: Reason::Cancelled,
            ran: Ran::Unknown,
            load: None,
        };
        world.finish(key, ended);
        world.effects();
    }
    let lost = world.admit_body(8 * MIB);
    world.effects();
    let mut next = upstream("127.0.0.1:1", 2, 2);
    next.slots = 100;
    world.catalog.revision += 1;
    world.catalog.upstreams.put("u1", next, 2);
    world.apply_catalog();
    assert_eq!(world.effects_of(6 * MIB), ["send u1"]);
    let ended = Ended::Failed {
        reason: Reason::AnswerCut,
        ran: Ran::Unknown,
        load: None,
    };
    world.finish(lost, ended);
    world.effects();
    assert_eq!(world.effects_of(3 * MIB), ["queued"]);
    assert_eq!(world.effects_of(2 * MIB), ["send u1"]);
}
