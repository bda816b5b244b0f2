//! Selection among upstreams whose reported loads are old.

use {
    super::{World, at, ms},
    crate::{
        catalog::{Upstream, tests::route},
        courier::Load,
        steer::decide::{self, RequestHead},
    },
    std::collections::BTreeMap,
};

const KEY: u64 = 42;

/// Upstreams `a1` to `aCOUNT` of the local zone; routes with affinity keys and, under `/any/`, without.
fn world(count: u16) -> World {
    let ids: Vec<String> = (1..=count).map(|port| format!("a{port}")).collect();
    let rows = (1..).zip(&ids).map(|(port, id)| (&**id, at("a", port)));
    let mut world = World::new(&rows.collect::<Vec<(&str, Upstream)>>());
    let mut keyless = route("h", "/any/");
    keyless.affinity = false;
    world.catalog.routes.put("any", keyless, 2);
    world.apply_catalog();
    world
}

/// Admits a request and returns the upstream that it is sent to, if any.
fn admit(world: &mut World, path: &str, random: u64) -> Option<String> {
    let head = RequestHead {
        host: "h",
        path,
        credential: crate::workspaces::Credential::None,
        affinity: Some(KEY),
        timeout_ms: Some(2_000),
        body_bytes: 0,
        random,
    };
    decide::admit(&mut world.state, &head, world.now).unwrap();
    let effects = world.effects();
    let sent = effects.iter().find_map(|row| row.strip_prefix("send "));
    sent.map(str::to_owned)
}

/// Reports `running` of 4 slots from an upstream that has the key's data cached.
fn report(world: &mut World, id: &str, running: u32, slow_percent: Option<u32>) {
    let key = *world.state.ids.get(id).unwrap();
    let load = Load {
        running,
        waiting: 0,
        slots: 4,
        slow_percent,
    };
    let upstream = world.state.upstreams.get_mut(key).unwrap();
    upstream.record_load(load, 500, world.now);
    upstream.record_key(KEY, world.now);
}

/// Times that each upstream is selected, over many random numbers, if both reported 5 requests that long ago.
fn selections(age_ms: u64) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for random in 0..200 {
        let mut world = world(2);
        report(&mut world, "a1", 5, None);
        report(&mut world, "a2", 5, None);
        world.now = ms(age_ms);
        let id = admit(&mut world, "/one/x", random).unwrap();
        *counts.entry(id).or_default() += 1;
    }
    counts
}

/// Guards against entry VMs that all send a key's requests to its first upstream, or all to the second, after the
/// same old reports.
#[test]
fn old_reports_spread_a_key_over_its_upstreams_and_new_ones_do_not() {
    assert_eq!(selections(0).len(), 1);
    let counts = selections(400);
    assert_eq!(counts.len(), 2, "{counts:?}");
    assert!(counts.values().all(|count| *count >= 50), "{counts:?}");
}

/// Guards against the loss of cached data: uncertainty must not move requests while the first upstream has free slots.
#[test]
fn a_key_stays_at_its_first_upstream_while_that_has_free_slots() {
    let first = admit(&mut world(8), "/one/x", 0);
    for random in 0..200 {
        let mut world = world(8);
        for id in ["a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"] {
            report(&mut world, id, 1, None);
        }
        world.now = ms(400);
        assert_eq!(admit(&mut world, "/one/x", random), first);
    }
}

/// Guards against requests without affinity key that all go to the least loaded upstream, and against those that
/// go to full ones.
#[test]
fn requests_without_affinity_key_are_spread_over_upstreams_with_free_slots() {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for random in 0..200 {
        let mut world = world(12);
        for id in ["a1", "a2"] {
            report(&mut world, id, 8, None);
        }
        report(&mut world, "a3", 0, None);
        for id in ["a4", "a5", "a6", "a7", "a8", "a9", "a10", "a11", "a12"] {
            report(&mut world, id, 1, None);
        }
        world.now = ms(200);
        let id = admit(&mut world, "/any/x", random).unwrap();
        *counts.entry(id).or_default() += 1;
    }
    assert!(!counts.contains_key("a1") && !counts.contains_key("a2"));
    assert_eq!(counts.len(), 10, "{counts:?}");
    assert!(counts["a3"] <= 60, "{counts:?}");
}

/// Guards against requests that wait for a slow upstream, and against an upstream that is avoided for longer than
/// it is slow.
#[test]
fn a_reported_slow_phase_counts_for_a_moment() {
    let first = admit(&mut world(2), "/one/x", 0).unwrap();
    let mut world = world(2);
    report(&mut world, &first, 0, Some(300));
    let second = admit(&mut world, "/one/x", 0).unwrap();
    assert_ne!(second, first);
    world.now = ms(1_000);
    assert_eq!(admit(&mut world, "/one/x", 0).unwrap(), first);
}

/// Guards against a kept ranking that hides upstreams: those beyond it, and added ones.
#[test]
fn kept_rankings_select_the_same_upstreams_as_all() {
    let order: Vec<String> = {
        let mut world = world(20);
        let mut order = Vec::new();
        while let Some(id) = admit(&mut world, "/one/x", 0) {
            let mut row = world.catalog.upstreams.get(&id).unwrap().clone();
            row.leaving = true;
            world.catalog.upstreams.put(&id, row, 3);
            world.apply_catalog();
            order.push(id);
        }
        order
    };
    // Without the first 15 from the start, the next one is found; when they come back, the first one is.
    let mut world = world(20);
    for id in &order[..15] {
        world.catalog.upstreams.remove(id, 3);
    }
    world.apply_catalog();
    assert_eq!(admit(&mut world, "/one/x", 0).unwrap(), order[15]);
    for (port, id) in (100..).zip(&order[..15]) {
        world.catalog.upstreams.put(id, at("a", port), 4);
    }
    world.apply_catalog();
    assert_eq!(admit(&mut world, "/one/x", 0).unwrap(), order[0]);
    assert_eq!(order.len(), 20);
}
