//! Slow starts of upstreams that turn cold more than once.

use {
    super::{NOW, World, at, ms},
    crate::{catalog::Upstream, steer::queue},
};

/// Requests sent to `a1` within the two seconds after `start`, of one each 10 ms.
fn sent_within_two_seconds(world: &mut World, start: u64) -> usize {
    world.effects();
    let mut sent = 0;
    for step in 0..200 {
        world.now = ms(start + step * 10);
        let key = world.admit("/one/x", step);
        if world.effects().contains(&"send a1".to_owned()) {
            sent += 1;
            world.respond(key);
        } else {
            queue::discard(&mut world.state, key);
        }
        world.effects();
    }
    sent
}

/// Guards against an upstream that gets the full rate although it is cold: the end of an evacuation, a second cold
/// time, or both begin while the first one lasts, or this VM starts right after an evacuation. This VM's share is
/// half of 19 requests per second.
#[test]
fn each_cause_renews_the_slow_start_of_an_upstream() {
    let cold = |seq, cold_ms| Upstream {
        seq,
        cold_ms,
        ..at("a", 1)
    };
    let limit = 2 * 19 / 2 + 2;
    // Cold for another second when the evacuation is taken back: cold for three seconds from then on.
    let mut world = World::new(&[("a1", cold(1, 3_000))]);
    world.catalog.emptied.put("a", (), 2);
    world.apply_catalog();
    world.catalog.emptied.remove("a", 3);
    world.now = ms(2_000);
    world.apply_catalog();
    assert!(sent_within_two_seconds(&mut world, 2_900) <= limit);
    // Cold again by a later report, while it was cold.
    let mut world = World::new(&[("a1", cold(1, 1_000))]);
    world.catalog.upstreams.put("a1", cold(2, 4_000), 2);
    world.now = ms(900);
    world.apply_catalog();
    assert!(sent_within_two_seconds(&mut world, 2_800) <= limit);
    // The same row in a later catalogue renews nothing.
    world.now = ms(4_900);
    world.apply_catalog();
    assert!(sent_within_two_seconds(&mut world, 4_900) > limit);
    // Started after the evacuation was taken back.
    let mut world = World::new(&[]);
    world.state.version = 0;
    world.catalog.upstreams.put("a1", cold(1, 0), 2);
    world.catalog.emptied.put("a", (), 3);
    world.catalog.emptied.remove("a", 4);
    world.apply_catalog();
    world.state.discovery_end = NOW;
    assert!(sent_within_two_seconds(&mut world, 0) <= limit);
}

/// Guards against a cold upstream that gets the limit of the whole fleet from each entry VM: a control VM that has just
/// started has heard no entry VMs yet, and a follower that moves to it takes its count of them.
#[test]
fn a_control_vm_that_knows_no_entry_vms_yet_raises_no_share_of_a_slow_start() {
    let cold = Upstream {
        cold_ms: 4_000,
        ..at("a", 1)
    };
    let mut world = World::new(&[("a1", cold)]);
    world.zones = Vec::new();
    world.now = ms(100);
    world.apply_catalog();
    assert!(sent_within_two_seconds(&mut world, 100) <= 2 * 19 / 2 + 2);
}

/// Guards against a second that begins while the upstream is cold and ends with the full rate: after an outage all
/// waiting requests went to it at the end of its cold time.
#[test]
fn the_rate_holds_in_each_second_that_begins_in_the_cold_time() {
    const COLD_MS: u64 = 3_000;
    let cold = Upstream {
        cold_ms: COLD_MS,
        slots: 1_000,
        ..at("a", 1)
    };
    let mut world = World::new(&[("a1", cold)]);
    let mut sent_at = Vec::new();
    for now in (0..COLD_MS + 2_000).step_by(10) {
        world.now = ms(now);
        let key = world.admit("/one/x", now);
        if world.effects().contains(&"send a1".to_owned()) {
            sent_at.push(now);
            world.respond(key);
        } else {
            queue::discard(&mut world.state, key);
        }
        world.effects();
    }
    let sent_in = |from: u64| {
        let sent = sent_at.iter();
        sent.filter(|at| (from..from + 1_000).contains(*at)).count()
    };
    // This VM's share is half of 19 per second.
    for from in (0..COLD_MS).step_by(10) {
        assert!(sent_in(from) <= 19 / 2 + 2, "{} from {from}", sent_in(from));
    }
    assert!(sent_in(COLD_MS + 1_000) > 90);
}
