//! Tests of the identity of callers: at admission, in the queue, before retries, and in ranks and home regions.

use {
    super::{NOW, World, at, failed, ms},
    crate::{
        call::{Ran, Reason, Refusal},
        catalog::{Idempotency, tests::route},
        keys::InFlightKey,
        steer::{
            decide::{self, RequestHead},
            state::Effect,
        },
        workspaces::{
            Credential,
            tests::{credential, workspace},
        },
    },
};

/// A fleet with the workspaces `acme` and `bolt`, whose keys are `a1` and `b1`, and a public route.
pub(super) fn world() -> World {
    let mut world = World::new(&[("a1", at("a", 1)), ("c1", at("c", 2))]);
    world.state.is_control_reachable = true;
    let mut public = route("h", "/public/");
    public.public = true;
    let mut again = route("h", "/again/");
    again.kind = Idempotency::Repeatable;
    again.rank = 1;
    for (name, mut row) in [
        ("one", route("h", "/one/")),
        ("again", again),
        ("public", public),
    ] {
        // Requests may wait for long, so that only their identity has them refused.
        row.timeout_ms = 20_000;
        row.objective_ms = 20_000;
        world.catalog.routes.put(name, row, 2);
    }
    world.catalog.has_workspaces = true;
    put(&mut world, 2, &[("acme", &["a1"]), ("bolt", &["b1"])]);
    world
}

fn put(world: &mut World, revision: u64, rows: &[(&str, &[&str])]) {
    for (name, keys) in rows {
        world
            .catalog
            .workspaces
            .put(name, workspace(keys), revision);
    }
    world.apply_catalog();
}

pub(super) fn try_admit(
    world: &mut World,
    path: &str,
    credential: Credential,
) -> Result<InFlightKey, Refusal> {
    let head = RequestHead {
        host: "h",
        path,
        affinity: Some(1),
        credential,
        timeout_ms: Some(20_000),
        body_bytes: 0,
        random: 7,
    };
    decide::admit(&mut world.state, &head, world.now).map(|admitted| admitted.0)
}

fn refusal(world: &mut World, path: &str, credential: Credential) -> Reason {
    let refusal = try_admit(world, path, credential).unwrap_err();
    assert_eq!(refusal.ran, Ran::No);
    refusal.reason
}

/// Makes the only upstream of the region back off, so that requests wait for it.
pub(super) fn block(world: &mut World) {
    world.catalog.upstreams.remove("c1", 3);
    world.apply_catalog();
    let key = try_admit(world, "/one/x", credential("b1")).unwrap();
    world.finish(key, failed(Reason::ConnectFailed, Ran::No));
    world.effects();
}

/// Names of the workspaces with which requests are sent, and all other effects.
pub(super) fn workspaces_sent(world: &mut World) -> Vec<String> {
    let describe = |effect: &Effect| match effect {
        Effect::Send { workspace, .. } => {
            format!("as {}", workspace.as_deref().unwrap_or("nobody"))
        }
        Effect::Refuse(_, refusal) => format!("{} {:?}", refusal.reason.name(), refusal.ran),
        other => format!("{other:?}"),
    };
    std::mem::take(&mut world.state.effects)
        .iter()
        .map(describe)
        .collect()
}

/// Guards against an order of checks that shows callers without a key which routes exist, and against a 401 for a
/// request that no key could make acceptable.
#[test]
fn identity_is_checked_after_the_configuration_the_route_and_the_size() {
    let mut world = world();
    assert_eq!(
        refusal(&mut world, "/none/", Credential::None),
        Reason::UnknownKind
    );
    world.state.body_bytes = 0;
    let head = RequestHead {
        host: "h",
        path: "/one/x",
        affinity: None,
        credential: Credential::None,
        timeout_ms: None,
        body_bytes: 1,
        random: 7,
    };
    let refused = decide::admit(&mut world.state, &head, NOW).unwrap_err();
    assert_eq!(refused.reason, Reason::TooLarge);
    for unknown in [Credential::None, Credential::Malformed, credential("c1")] {
        let reason = refusal(&mut world, "/one/x", unknown);
        assert_eq!(reason, Reason::Unauthorized);
    }
    world.state.is_control_reachable = false;
    for (unknown, expected) in [
        (Credential::None, Reason::Unauthorized),
        (Credential::Malformed, Reason::Unauthorized),
        (credential("c1"), Reason::IdentityUnknown),
    ] {
        assert_eq!(refusal(&mut world, "/one/x", unknown), expected);
    }
    try_admit(&mut world, "/one/x", credential("a1")).unwrap();
    assert_eq!(workspaces_sent(&mut world), ["as acme"]);
    world.state.version = 0;
    let reason = refusal(&mut world, "/one/x", credential("c1"));
    assert_eq!(reason, Reason::NotJoined);
}

/// Guards against a public route that asks for a key, and against one that hides who the caller is.
#[test]
fn a_public_route_needs_no_key_but_identifies_known_ones() {
    let mut world = world();
    for (sent, expected) in [
        (Credential::None, "as nobody"),
        (Credential::Malformed, "as nobody"),
        (credential("c1"), "as nobody"),
        (credential("b1"), "as bolt"),
    ] {
        let key = try_admit(&mut world, "/public/x", sent).unwrap();
        assert_eq!(workspaces_sent(&mut world), [expected]);
        world.respond(key);
        world.effects();
    }
}

/// Guards against routes whose rank still applies to a workspace that has one: `/again/` has rank 1.
#[test]
fn the_rank_of_the_workspace_replaces_that_of_the_route() {
    let mut world = world();
    block(&mut world);
    let mut first = workspace(&["a1"]);
    first.rank = Some(0);
    let mut last = workspace(&["b1"]);
    last.rank = Some(2);
    world.catalog.workspaces.put("acme", first, 4);
    world.catalog.workspaces.put("bolt", last, 4);
    world.apply_catalog();
    // Without ranks of workspaces, the second would be sent first.
    let late = try_admit(&mut world, "/one/x", credential("b1")).unwrap();
    let early = try_admit(&mut world, "/again/x", credential("a1")).unwrap();
    world.effects();
    let waiting = &world.state.pools.get("s").unwrap().waiting;
    assert!(waiting.keys().eq([early, late]));
    world.now = ms(300);
    decide::tick(&mut world.state, 7, world.now);
    assert_eq!(workspaces_sent(&mut world), ["as acme", "as bolt"]);
}

/// Guards against requests that leave the regions to which either the workspace or the route is bound.
#[test]
fn the_home_regions_of_the_workspace_and_of_the_route_both_apply() {
    // Regions of the route and of the workspace, and the upstream that both allow. This VM is in region `r`.
    let cases: [(&[&str], &[&str], &str); 7] = [
        (&[], &[], "send a1"),
        (&[], &["s"], "send c1"),
        (&["s"], &[], "send c1"),
        (&["r", "s"], &["s"], "send c1"),
        (&["s"], &["r", "s"], "send c1"),
        (&["r", "s"], &["r"], "send a1"),
        (&["r"], &["s"], "queued"),
    ];
    for (of_route, of_workspace, expected) in cases {
        let mut world = world();
        let list = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
        let mut homed = route("h", "/home/");
        homed.homes = list(of_route);
        let mut row = workspace(&["a1"]);
        row.homes = list(of_workspace);
        world.catalog.routes.put("home", homed, 3);
        world.catalog.workspaces.put("acme", row, 3);
        world.apply_catalog();
        try_admit(&mut world, "/home/x", credential("a1")).unwrap();
        assert_eq!(
            world.effects(),
            [expected],
            "route {of_route:?}, workspace {of_workspace:?}"
        );
    }
}

/// Guards against requests that wait while their key is removed or moved, and run all the same.
#[test]
fn a_change_of_the_key_refuses_requests_that_wait() {
    let removed: &[(&str, &[&str])] = &[("acme", &["a2"])];
    let moved: &[(&str, &[&str])] = &[("acme", &["a2"]), ("bolt", &["a1", "b1"])];
    for (change, expected) in [(removed, "unauthorized No"), (moved, "identity_unknown No")] {
        let mut world = world();
        block(&mut world);
        for path in ["/one/x", "/public/x"] {
            try_admit(&mut world, path, credential("a1")).unwrap();
        }
        try_admit(&mut world, "/one/x", credential("b1")).unwrap();
        world.effects();
        put(&mut world, 4, change);
        // Of the public route no caller gets 401: the key is not needed there.
        assert_eq!(
            workspaces_sent(&mut world),
            [expected, "identity_unknown No"]
        );
        world.now = ms(300);
        decide::tick(&mut world.state, 7, world.now);
        assert_eq!(workspaces_sent(&mut world), ["as bolt"]);
        assert!(world.state.pools.get("s").unwrap().waiting.is_empty());
    }
}

/// Guards against requests that wait while the control VMs are lost, and are refused although their key is known.
#[test]
fn known_keys_stay_valid_while_the_control_vms_are_lost() {
    let mut world = world();
    block(&mut world);
    try_admit(&mut world, "/one/x", credential("a1")).unwrap();
    world.effects();
    world.state.is_control_reachable = false;
    put(&mut world, 4, &[("cask", &["c1"])]);
    world.now = ms(300);
    decide::tick(&mut world.state, 7, world.now);
    assert_eq!(workspaces_sent(&mut world), ["as acme"]);
}

/// Guards against retries with a key that was removed since the first attempt, and against a refusal that promises
/// that the request did not run if an attempt may have run it.
#[test]
fn no_retry_is_sent_with_a_removed_key() {
    for (ran, expected) in [
        (Ran::No, "unauthorized No"),
        (Ran::Unknown, "unauthorized Unknown"),
    ] {
        let mut world = world();
        let key = try_admit(&mut world, "/again/x", credential("a1")).unwrap();
        assert_eq!(workspaces_sent(&mut world), ["as acme"]);
        put(&mut world, 4, &[("acme", &["a2"])]);
        assert_eq!(world.effects(), ["revoke"]);
        world.finish(key, failed(Reason::ConnectFailed, ran));
        assert_eq!(workspaces_sent(&mut world), [expected]);
    }
}

/// Guards against an attempt that was taken back before it was sent, and counts against its upstream.
#[test]
fn a_revoked_attempt_leaves_its_upstream_available() {
    let mut world = world();
    let key = try_admit(&mut world, "/one/x", credential("a1")).unwrap();
    world.effects();
    put(&mut world, 4, &[("acme", &["a2"])]);
    assert_eq!(world.effects(), ["revoke"]);
    world.finish(key, failed(Reason::IdentityUnknown, Ran::No));
    assert_eq!(workspaces_sent(&mut world), ["unauthorized No"]);
    try_admit(&mut world, "/one/x", credential("a2")).unwrap();
    assert_eq!(world.effects(), ["send a1"]);
}

/// Guards against responses that are lost since the key was removed while the upstream worked.
#[test]
fn a_request_that_runs_when_its_key_is_removed_gets_its_response() {
    let mut world = world();
    let key = try_admit(&mut world, "/one/x", credential("a1")).unwrap();
    world.effects();
    put(&mut world, 4, &[("acme", &["a2"])]);
    world.effects();
    world.respond(key);
    assert_eq!(world.effects(), ["deliver"]);
}

/// Guards against requests that may only be served in another region and that count as overflow of this one: others
/// then leave the region too, although its upstreams are idle.
#[test]
fn requests_with_a_remote_home_make_no_others_leave() {
    let mut world = world();
    let mut homed = workspace(&["h1"]);
    homed.homes = vec!["s".to_owned()];
    world.catalog.workspaces.put("homed", homed, 3);
    world.apply_catalog();
    for round in 0..200 {
        world.now = ms(50 * round);
        decide::tick(&mut world.state, 7, world.now);
        for (key, expected) in [("h1", "send c1"), ("a1", "send a1")] {
            let admitted = try_admit(&mut world, "/one/x", credential(key)).unwrap();
            assert_eq!(world.effects(), [expected], "round {round}");
            world.respond(admitted);
            world.effects();
        }
    }
}
