//! Tests of limits of workspaces: requests that wait for a token, and tokens of requests that did not run.

use {
    super::{NOW, World, at, failed, ms},
    crate::{
        call::{Ran, Reason},
        catalog::tests::route,
        keys::InFlightKey,
        shares::{LeaseResponse, messages::ResponseRow},
        steer::{
            allotment,
            decide::{self, RequestHead},
            state::Effect,
        },
        workspaces::tests::{credential, workspace},
    },
};

/// A VM with the workspace `acme` (key `a1`), which may send one request a second.
fn world() -> World {
    let mut world = World::new(&[("a1", at("a", 1))]);
    world.catalog.routes.put("one", route("h", "/one/"), 2);
    world.catalog.has_workspaces = true;
    let mut limited = workspace(&["a1"]);
    limited.rate = 1_000;
    world.catalog.workspaces.put("acme", limited, 2);
    world.catalog.workspaces.put("free", workspace(&["f1"]), 2);
    world.apply_catalog();
    world
}

fn ask(world: &mut World, key: &str) -> InFlightKey {
    let head = RequestHead {
        host: "h",
        path: "/one/x",
        affinity: Some(1),
        credential: credential(key),
        timeout_ms: Some(2_000),
        body_bytes: 0,
        random: 7,
    };
    decide::admit(&mut world.state, &head, world.now).unwrap().0
}

/// Effects of the next tick.
fn tick(world: &mut World) -> Vec<String> {
    decide::tick(&mut world.state, 7, world.now);
    world.effects()
}

/// Answers the call in progress with `granted` tokens, or a denial for `retry_ms`.
fn answer(world: &mut World, sequence: u64, granted: u32, retry_ms: u32) -> Vec<String> {
    let answer = LeaseResponse {
        sequence,
        rows: vec![ResponseRow {
            name: "acme".to_owned(),
            granted,
            retry_ms,
        }],
    };
    allotment::apply_answer(&mut world.state, Some(&answer), 7, world.now);
    world.effects()
}

/// Guards against requests that are sent before the fleet's limit permits them, and against requests within the limit
/// that are refused because this VM holds no token yet.
#[test]
fn a_request_without_a_token_waits_for_the_answer_of_the_leader() {
    let mut world = world();
    ask(&mut world, "a1");
    assert!(world.effects().is_empty());
    assert_eq!(tick(&mut world), ["lease"]);
    world.now = ms(40);
    assert_eq!(answer(&mut world, 1, 1, 0), ["send a1"]);
}

/// Guards against calls for workspaces without a limit, and for deployments without workspaces.
#[test]
fn requests_without_a_limit_need_no_token() {
    let mut world = world();
    ask(&mut world, "f1");
    assert_eq!(world.effects(), ["send a1"]);
    assert!(tick(&mut world).is_empty());
    assert_eq!(allotment::next_tick(&world.state, world.now), None);
}

/// Guards against a refusal that names a time at which there is no room yet.
#[test]
fn a_request_over_the_limit_is_refused_with_the_delay_of_the_leader() {
    let mut world = world();
    ask(&mut world, "a1");
    tick(&mut world);
    let answer = LeaseResponse {
        sequence: 1,
        rows: vec![ResponseRow {
            name: "acme".to_owned(),
            granted: 0,
            retry_ms: 900,
        }],
    };
    allotment::apply_answer(&mut world.state, Some(&answer), 0, world.now);
    let effects = std::mem::take(&mut world.state.effects);
    let [Effect::Refuse(_, refusal)] = effects.as_slice() else {
        panic!("{effects:?}");
    };
    assert_eq!((refusal.reason, refusal.ran), (Reason::OverLimit, Ran::No));
    assert!(refusal.retry_ms >= 900, "{}", refusal.retry_ms);
    // The next one is refused at once.
    ask(&mut world, "a1");
    assert_eq!(world.effects(), ["refuse over_limit No"]);
}

/// Guards against requests that wait until their deadline while the control VMs are lost.
#[test]
fn a_request_is_refused_if_no_control_vm_answers() {
    let mut world = world();
    ask(&mut world, "a1");
    tick(&mut world);
    world.now = ms(149);
    assert!(tick(&mut world).is_empty());
    let next = allotment::next_tick(&world.state, world.now);
    assert!(next <= Some(ms(150)), "{next:?}");
    world.now = ms(150);
    assert_eq!(tick(&mut world), ["refuse limit_unknown No"]);
    assert!(world.state.in_flight.is_empty() && world.state.awaiting.is_empty());
}

/// Guards against tokens that are lost with requests that no upstream ran.
#[test]
fn a_request_that_did_not_run_gives_its_token_back() {
    let mut world = world();
    ask(&mut world, "a1");
    tick(&mut world);
    answer(&mut world, 1, 1, 0);
    let key = world.state.in_flight.keys().next().unwrap();
    world.finish(key, failed(Reason::ConnectFailed, Ran::No));
    assert!(
        world
            .effects()
            .contains(&"refuse connect_failed No".to_owned())
    );
    world.now = NOW.plus_millis(1_000);
    ask(&mut world, "a1");
    assert_eq!(world.effects(), ["send a1"]);
}

/// Guards against a request that is sent with a key that was removed while it waited for a token.
#[test]
fn a_request_whose_key_is_removed_does_not_wait_on() {
    let mut world = world();
    ask(&mut world, "a1");
    tick(&mut world);
    world.catalog.workspaces.put("acme", workspace(&["a2"]), 3);
    world.apply_catalog();
    crate::steer::identity::refuse_changed(&mut world.state, 7, world.now);
    allotment::apply_workspaces(&mut world.state);
    let effects = world.effects();
    assert!(
        effects.iter().any(|row| row.starts_with("refuse")),
        "{effects:?}"
    );
    assert!(answer(&mut world, 1, 1, 0).is_empty());
    assert!(world.state.awaiting.is_empty());
}
