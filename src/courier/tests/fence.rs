//! Tests of attempts that are stopped after they were dispatched.

use {
    super::{World, failed, upstream},
    crate::{
        backpressure::Notice,
        call::{Ran, Reason},
        courier::Ended,
        keys::UpstreamKey,
    },
    slotmap::SlotMap,
};

const LEAVING: &str = "HTTP/1.1 200 OK\r\nid: 7\r\nleaving: 1\r\ncontent-length: 2\r\n\r\nok";

/// Guards against requests that were on their way to an upstream when it said that it leaves, and reach it later.
#[test]
fn an_attempt_at_an_upstream_that_leaves_is_not_sent() {
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::default();
    let (address, received) = upstream(LEAVING, false);
    let mut world = World::new();
    world.upstream = keys.insert(());
    let _guard = world.send(address);
    let first = world.next_report();
    assert!(matches!(first.ended, Ended::Answered { status: 200, .. }));
    let leaving = Notice {
        is_leaving: true,
        rest_until: None,
    };
    assert_eq!(first.notice, leaving);
    let _guard = world.send(address);
    let second = world.next_report();
    assert_eq!(second.ended, failed(Reason::UpstreamHeld, Ran::No));
    assert_eq!(second.notice, leaving);
    assert_eq!(received.iter().take(1).count(), 1);
    assert!(received.try_recv().is_err());
    // Its next incarnation.
    world.upstream = keys.insert(());
    assert!(matches!(world.attempt(address), Ended::Answered { .. }));
}

/// Guards against requests that were on their way to an upstream when it asked for a rest period, and reach it then.
#[test]
fn an_attempt_at_a_resting_upstream_is_not_sent() {
    let resting =
        "HTTP/1.1 503 Full\r\nid: 7\r\nrefused: 1\r\nrest: 400\r\ncontent-length: 0\r\n\r\n";
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::default();
    let (address, received) = upstream(resting, false);
    let mut world = World::new();
    world.upstream = keys.insert(());
    let _guard = world.send(address);
    let until = world.next_report().notice.rest_until.unwrap();
    received.recv().unwrap();
    let mut held = 0;
    loop {
        let _guard = world.send(address);
        let ended = world.next_report().ended;
        if ended != failed(Reason::UpstreamHeld, Ran::No) {
            assert_eq!(ended, failed(Reason::UpstreamRefused, Ran::No));
            break;
        }
        assert!(received.try_recv().is_err());
        held += 1;
    }
    assert!(held > 0 && world.context.clock.now() >= until);
}

/// Guards against an upstream that is taken out of use by the response of another one at its address.
#[test]
fn a_misdirected_response_says_nothing_about_the_intended_upstream() {
    let other = "HTTP/1.1 421 Other\r\nid: other\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n";
    let (address, _received) = upstream(other, false);
    let world = World::new();
    let _guard = world.send(address);
    assert_eq!(world.next_report().notice, Notice::default());
}
