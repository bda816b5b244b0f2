//! Tests of the order in which the requests of several workspaces wait, are sent and are refused.

use {
    super::{
        World, ms,
        workspaces::{block, try_admit, workspaces_sent, world},
    },
    crate::{
        keys::InFlightKey,
        steer::{decide, queue},
        workspaces::{Credential, tests::credential},
    },
};

fn admit(world: &mut World, path: &str, key: &str) -> InFlightKey {
    world.now = world.now.plus_millis(1);
    try_admit(world, path, credential(key)).unwrap()
}

fn waiting(world: &World) -> Vec<InFlightKey> {
    world.state.pools.get("s").unwrap().waiting.keys().collect()
}

/// Guards against a workspace whose many requests are all sent before the few of another, and against room that is left
/// idle while requests wait: one slot becomes free after the other, and each is used at once.
#[test]
fn workspaces_that_wait_take_turns() {
    let mut world = world();
    block(&mut world);
    for key in ["a1", "a1", "a1", "a1", "b1", "b1"] {
        admit(&mut world, "/one/x", key);
    }
    world.effects();
    world.now = ms(300);
    decide::tick(&mut world.state, 7, world.now);
    let mut sent = workspaces_sent(&mut world);
    while let Some(running) = world
        .state
        .in_flight
        .iter()
        .find_map(|(key, row)| row.upstream.map(|_| key))
    {
        let before = waiting(&world).len();
        world.respond(running);
        assert!(before == 0 || waiting(&world).len() < before);
        sent.extend(workspaces_sent(&mut world));
    }
    sent.retain(|effect| effect.starts_with("as "));
    assert_eq!(
        sent,
        [
            "as acme", "as bolt", "as acme", "as bolt", "as acme", "as acme"
        ]
    );
}

/// Guards against another order, or other refusals, than before in deployments without workspaces: routes of a rank share
/// one flow, and a request that finds the queue full is refused itself.
#[test]
fn without_workspaces_requests_wait_by_arrival() {
    let mut world = world();
    world.catalog.has_workspaces = false;
    world.catalog.workspaces.remove("acme", 3);
    world.catalog.workspaces.remove("bolt", 3);
    world.apply_catalog();
    block(&mut world);
    let mut expected = Vec::new();
    for path in ["/one/x", "/one/x", "/one/x", "/public/x"] {
        world.now = world.now.plus_millis(1);
        expected.push(try_admit(&mut world, path, Credential::None).unwrap());
    }
    assert_eq!(waiting(&world), expected);
    world.state.settings.max_waiting = 4;
    world.effects();
    try_admit(&mut world, "/public/x", Credential::None).unwrap();
    assert_eq!(world.effects(), ["refuse shed No"]);
    assert_eq!(waiting(&world), expected);
}

/// Guards against a workspace that fills the queue, so that the requests of all others are refused.
#[test]
fn a_full_queue_refuses_the_workspace_that_filled_it() {
    let mut world = world();
    block(&mut world);
    world.state.settings.max_waiting = 4;
    let acme: Vec<_> = (0..4).map(|_| admit(&mut world, "/one/x", "a1")).collect();
    world.effects();
    admit(&mut world, "/one/x", "a1");
    assert_eq!(world.effects(), ["refuse shed No"]);
    let bolt = admit(&mut world, "/one/x", "b1");
    assert_eq!(world.effects(), ["refuse shed No", "queued"]);
    assert_eq!(waiting(&world), [acme[0], bolt, acme[1], acme[2]]);
}

/// Guards against a workspace that may only use a region whose upstreams are all busy, and that keeps others from free
/// slots elsewhere: those that arrive later, and those that wait behind it.
#[test]
fn a_workspace_without_room_in_its_region_does_not_block_others() {
    let mut world = world();
    let mut homed = crate::workspaces::tests::workspace(&["h1"]);
    homed.homes = vec!["s".to_owned()];
    world.catalog.workspaces.put("homed", homed, 3);
    world.apply_catalog();
    loop {
        let key = admit(&mut world, "/one/x", "h1");
        if waiting(&world) == [key] {
            break;
        }
    }
    world.effects();
    let sent = admit(&mut world, "/one/x", "b1");
    assert_eq!(workspaces_sent(&mut world), ["as bolt"]);
    // Until no slot is free, and one becomes free again.
    while waiting(&world).len() < 2 {
        admit(&mut world, "/one/x", "b1");
    }
    world.effects();
    world.respond(sent);
    assert_eq!(
        workspaces_sent(&mut world),
        [format!("Deliver({sent:?})"), "as bolt".to_owned()]
    );
    assert_eq!(waiting(&world).len(), 1);
    assert!(queue::has_waiting(&world.state));
}
