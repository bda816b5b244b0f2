//! Scripted faults, one invariant each.

use {
    super::{
        super::{
            decide::{self, Effect, Input, is_current},
            member,
            messages::{MemberChange, Unavailable},
        },
        world::{World, address},
    },
    crate::{
        catalog::{Order, tests::upstream},
        clock::Micros,
        keys::OperatorCallKey,
        storage::Ack,
    },
    slotmap::SlotMap,
};

const FOUNDERS: usize = 3;

fn bootstrapped(seed: u64) -> World {
    let mut world = World::new(seed, FOUNDERS, FOUNDERS);
    world.run(6_000);
    assert!(world.leader().is_some(), "no leader after bootstrapping");
    world
}

fn accept_commands(world: &mut World, count: usize) {
    for _ in 0..count {
        let leader = world.leader().unwrap();
        world.submit_new(leader);
        world.run(60);
    }
    let newest_version = world.oracle.newest_version;
    assert!(
        newest_version >= count as u64,
        "{newest_version} of {count} accepted"
    );
}

fn isolate(world: &mut World, node: usize) {
    let others = (0..FOUNDERS).filter(|other| *other != node);
    world.cut_links = others
        .map(|other| (node.min(other), node.max(other)))
        .collect();
}

fn lose_disk(world: &mut World, node: usize) {
    world.crash(node);
    world.lose_disk(node);
    world.start(node, FOUNDERS);
}

#[test]
fn an_isolated_leader_refuses_commands_and_rejoins_without_raising_the_term() {
    for seed in 0..10 {
        let mut world = bootstrapped(seed);
        accept_commands(&mut world, 3);
        let old = world.leader().unwrap();
        isolate(&mut world, old);
        world.run(1_100);
        assert!(!world.nodes[old].state.as_ref().unwrap().is_leader());
        let refused = world.oracle.unavailable;
        world.submit_new(old);
        world.submit_read(old);
        world.run(10_000);
        assert_eq!(world.oracle.unavailable, refused + 2);
        let leader = world.leader().unwrap();
        let term = world.nodes[leader].state.as_ref().unwrap().hard.term;
        world.cut_links.clear();
        world.run(5_000);
        let after = world.nodes[leader].state.as_ref().unwrap();
        assert!(
            after.is_leader() && after.hard.term == term,
            "seed {seed}: the term changed"
        );
        world.heal_and_check(FOUNDERS);
    }
}

/// Guards against serving a stale catalogue: a replica that receives heartbeats but no entries must
/// not consider its configuration current.
#[test]
fn a_replica_that_receives_only_heartbeats_is_not_current() {
    for seed in 0..10 {
        let mut world = bootstrapped(seed);
        accept_commands(&mut world, 3);
        let leader = world.leader().unwrap();
        let behind = (leader + 1) % FOUNDERS;
        let is_current = |world: &World| {
            let state = world.nodes[behind].state.as_ref().unwrap();
            is_current(state, world.clock(behind))
        };
        world.drops_entries_to = Some(behind);
        accept_commands(&mut world, 1);
        world.run(3_000);
        assert_eq!(
            world.leader(),
            Some(leader),
            "seed {seed}: the leader changed"
        );
        assert!(!is_current(&world), "seed {seed}");
        world.drops_entries_to = None;
        world.run(1_000);
        assert!(is_current(&world), "seed {seed}");
        world.heal_and_check(FOUNDERS);
    }
}

#[test]
fn disks_lost_right_after_each_replacement_are_replaced() {
    for seed in 0..10 {
        let mut world = bootstrapped(seed);
        accept_commands(&mut world, 20);
        for lost in [0, 1, 2, 0] {
            assert!(
                world.can_lose_disk(lost),
                "seed {seed}: the disk of {lost} cannot be lost yet"
            );
            lose_disk(&mut world, lost);
            let limit = world.now + 20_000_000;
            while !(0..FOUNDERS).all(|node| world.can_lose_disk(node)) {
                assert!(
                    world.now < limit,
                    "seed {seed}: the disk of {lost} was not replaced in time"
                );
                world.run(20);
            }
        }
        world.heal_and_check(FOUNDERS);
        let version = world.nodes[0].state.as_ref().unwrap().machine.version;
        assert!(version > 20, "seed {seed}");
    }
}

#[test]
fn a_replaced_disk_does_not_vote_before_it_has_caught_up() {
    let mut world = bootstrapped(1);
    accept_commands(&mut world, 30);
    let leader = world.leader().unwrap();
    let (lost, other) = ((leader + 1) % FOUNDERS, (leader + 2) % FOUNDERS);
    // Only the leader and the VM of the lost disk remain, and the new disk is empty.
    world.crash(other);
    lose_disk(&mut world, lost);
    let newest_version = world.oracle.newest_version;
    world.submit_new(leader);
    world.run(8_000);
    assert_eq!(
        world.oracle.newest_version, newest_version,
        "accepted with the vote of an empty disk"
    );
    world.start(other, FOUNDERS);
    world.run(10_000);
    world.heal_and_check(FOUNDERS);
}

#[test]
fn two_lost_disks_never_bootstrap_a_second_cluster() {
    for seed in 0..10 {
        let mut world = bootstrapped(seed);
        accept_commands(&mut world, 5);
        world.notes.clear();
        lose_disk(&mut world, 0);
        lose_disk(&mut world, 1);
        for node in 0..FOUNDERS {
            world.submit_new(node);
        }
        world.run(20_000);
        assert_eq!(
            world.oracle.newest_version, 5,
            "seed {seed}: accepted without a quorum"
        );
        let bootstrapped = world
            .notes
            .iter()
            .any(|(_, note)| *note == super::super::decide::Note::Founded);
        assert!(!bootstrapped, "seed {seed}");
    }
}

#[test]
fn a_disk_restored_to_an_older_state_is_reinitialized() {
    let mut reinitialized = 0;
    for seed in 0..10 {
        let mut world = bootstrapped(seed);
        accept_commands(&mut world, 2);
        let victim = (world.leader().unwrap() + 1) % FOUNDERS;
        let old = world.nodes[victim].disk.clone();
        accept_commands(&mut world, 20);
        world.crash(victim);
        world.nodes[victim].disk = old;
        world.start(victim, FOUNDERS);
        world.run(10_000);
        reinitialized += world.nodes[victim].reinitialized;
        world.heal_and_check(FOUNDERS);
    }
    // Where the leader's entries arrive before the reply to the hello, the log is already complete
    // again and the disk is kept.
    assert!(reinitialized >= 5, "{reinitialized} of 10");
}

#[test]
fn a_leader_with_a_full_disk_refuses_commands_and_is_replaced() {
    let mut world = bootstrapped(3);
    accept_commands(&mut world, 3);
    let full = world.leader().unwrap();
    let detail = "no space left".to_owned();
    world.step(full, Input::Storage(Ack::Failed { detail }));
    let refused = world.oracle.unavailable;
    world.submit_new(full);
    world.run(10);
    assert_eq!(world.oracle.unavailable, refused + 1);
    world.run(10_000);
    assert_ne!(world.leader(), Some(full));
    accept_commands(&mut world, 3);
    world.step(full, Input::Storage(Ack::Synced));
    world.heal_and_check(FOUNDERS);
}

#[test]
fn results_survive_snapshots_restarts_and_long_absence() {
    let mut world = bootstrapped(4);
    let absent = (world.leader().unwrap() + 1) % FOUNDERS;
    accept_commands(&mut world, 2);
    world.crash(absent);
    accept_commands(&mut world, 60);
    for node in 0..FOUNDERS {
        world.crash(node);
        world.start(node, FOUNDERS);
    }
    world.run(10_000);
    let base = world.nodes[absent].state.as_ref().unwrap().snapshot.clone();
    assert!(
        base.is_some_and(|row| row.at.index > 40),
        "expected to catch up by a snapshot"
    );
    let leader = world.leader().unwrap();
    for command in 0..world.commands.len() {
        // The oracle compares each result with the first one.
        world.resend(leader, command);
    }
    world.run(1_000);
    world.heal_and_check(FOUNDERS);
}

#[test]
fn members_are_added_and_removed_one_at_a_time() {
    let mut world = World::new(5, FOUNDERS, 5);
    world.run(6_000);
    accept_commands(&mut world, 20);
    for node in [3, 4] {
        let name = format!("control-{node}");
        let leader = world.leader().unwrap();
        world.change(
            leader,
            MemberChange::Add {
                name,
                peers: address(node),
                operators: address(node),
            },
        );
        world.run(5_000);
    }
    let leader = world.leader().unwrap();
    let members = world.nodes[leader]
        .state
        .as_ref()
        .unwrap()
        .members()
        .clone();
    assert_eq!(members.voters().count(), 5);
    // The leader itself may be removed as well.
    let name = format!("control-{leader}");
    world.change(leader, MemberChange::Remove { name: name.clone() });
    world.run(6_000);
    let next = world.leader().unwrap();
    assert_ne!(next, leader);
    let members = world.nodes[next].state.as_ref().unwrap().members().clone();
    assert!(members.named(&name).is_none() && members.voters().count() == 4);
    assert_eq!(world.oracle.changes, 3);
    world.heal_and_check(FOUNDERS);
}

fn voters(world: &World) -> Vec<String> {
    let leader = world.leader().unwrap();
    let state = world.nodes[leader].state.as_ref().unwrap();
    let rows = state.members().rows.iter().filter(|row| row.voter);
    rows.map(|row| row.name.clone()).collect()
}

/// Guards against VMs that stay outside the cluster: each of the six is configured with three
/// seeds only, and no operator adds the other three.
#[test]
fn vms_with_the_same_seeds_become_voters_without_an_operator() {
    for seed in 0..10 {
        let mut world = World::with_auto_join(seed, FOUNDERS, 6);
        world.run(15_000);
        assert_eq!(voters(&world).len(), 6, "seed {seed}");
        accept_commands(&mut world, 3);
        // With one zone lost, four of six VMs keep the quorum.
        world.crash(1);
        world.crash(4);
        world.run(6_000);
        assert!(world.leader().is_some(), "seed {seed}");
        world.start(1, FOUNDERS);
        world.start(4, FOUNDERS);
        world.heal_and_check(FOUNDERS);
    }
}

/// Guards against a new disk that is promoted before it holds anything, and against a change of members that is
/// reported before it is committed: whoever relies on the report takes the next VM down, and no quorum is left.
#[test]
fn a_new_disk_is_reported_as_a_voter_only_once_it_holds_the_log() {
    for seed in 0..20 {
        let mut world = bootstrapped(seed);
        accept_commands(&mut world, 5);
        let lost = (world.leader().unwrap() + 1) % FOUNDERS;
        world.crash(lost);
        world.lose_disk(lost);
        world.start(lost, FOUNDERS);
        for _ in 0..6_000 {
            world.run(1);
            let Some(leader) = world.leader() else {
                continue;
            };
            let disk = world.nodes[lost].disk.hard.disk;
            let state = world.nodes[leader].state.as_ref().unwrap();
            let rows = member::status(state, Micros(0));
            let is_voter = rows
                .iter()
                .any(|row| row.name == format!("control-{lost}") && row.voter);
            if is_voter && state.members().is_voter(disk) {
                let change = state.members.last().map_or(0, |row| row.0);
                assert!(state.commit >= change, "seed {seed}");
                let disk = &world.nodes[lost].disk;
                let base = disk.snapshot.as_ref().map_or(0, |row| row.at.index);
                let held = disk.entries.last().map_or(base, |row| row.at.index);
                assert!(held >= 5, "seed {seed}: {held}");
                break;
            }
        }
    }
}

/// Guards against learners that are never promoted while commands are accepted without a pause, as during the
/// first reports of a large fleet.
#[test]
fn learners_become_voters_while_commands_are_accepted_without_a_pause() {
    let mut world = World::with_auto_join(1, FOUNDERS, 6);
    world.faults.max_delay_ms = 40;
    world.run(1_500);
    for _ in 0..300 {
        if let Some(leader) = world.leader() {
            world.submit_new(leader);
        }
        world.run(10);
    }
    assert_eq!(voters(&world).len(), 6);
}

/// Guards against a cluster that takes seconds to elect a leader after all its VMs lost power together, as
/// each of them waits for a leader of before.
#[test]
fn a_cluster_that_restarts_as_a_whole_elects_a_leader_within_a_time_out() {
    let mut slow = 0;
    for seed in 0..20 {
        let mut world = World::with_auto_join(seed, FOUNDERS, 6);
        world.run(15_000);
        accept_commands(&mut world, 3);
        for node in 0..6 {
            world.crash(node);
        }
        world.run(500);
        for node in 0..6 {
            world.start(node, FOUNDERS);
            // They do not start at the same moment.
            world.run(40);
        }
        // The election time-out of these replicas is 1 s.
        world.run(900);
        slow += usize::from(world.leader().is_none());
        world.run(5_000);
        assert!(world.leader().is_some(), "seed {seed}");
        accept_commands(&mut world, 3);
    }
    assert!(slow <= 1, "{slow} of 20");
}

/// Guards against a full cluster that keeps a dead member permanently: nine VMs vote, the maximum; one
/// of them stops permanently and a tenth starts.
#[test]
fn a_joining_vm_replaces_a_member_that_was_silent_for_long() {
    for seed in 0..5 {
        let mut world = World::with_auto_join(seed, FOUNDERS, 10);
        world.crash(9);
        world.run(30_000);
        assert_eq!(voters(&world).len(), 9, "seed {seed}");
        let leader = world.leader().unwrap();
        let stopped = (leader + 4) % 9;
        world.crash(stopped);
        world.start(9, FOUNDERS);
        world.run(30_000);
        let voters = voters(&world);
        assert!(
            voters.contains(&"control-9".to_owned()),
            "seed {seed}: {voters:?}"
        );
        assert!(
            !voters.contains(&format!("control-{stopped}")),
            "seed {seed}: {voters:?}"
        );
        accept_commands(&mut world, 3);
    }
}

#[test]
fn an_oversized_command_is_refused_and_blocks_no_others() {
    let mut world = bootstrapped(6);
    accept_commands(&mut world, 2);
    let leader = world.leader().unwrap();
    let last = |world: &World| world.nodes[leader].state.as_ref().unwrap().log.last();
    let before = last(&world);
    world.submit_new(leader);
    let at = world.commands.len() - 1;
    world.run(60);
    world.commands[at].id = "x".repeat(20_000);
    world.resend(leader, at);
    world.run(60);
    assert_eq!(last(&world).index, before.index + 1);
    let results = world.oracle.results.rows().iter();
    let refused = results.filter(|(_, result)| result.is_err()).count();
    assert_eq!(refused, 1);
    accept_commands(&mut world, 2);
}

/// Guards against an operator's order that is refused because the reports of upstreams fill the leader.
#[test]
fn reports_of_upstreams_leave_room_for_orders_of_operators() {
    let mut world = bootstrapped(7);
    accept_commands(&mut world, 1);
    let leader = world.leader().unwrap();
    let mut state = world.nodes[leader].state.clone().unwrap();
    let now = world.clock(leader);
    let mut calls: SlotMap<OperatorCallKey, ()> = SlotMap::default();
    let mut is_refused = |order: Order| {
        let operator_call = calls.insert(());
        let order = Box::new(order);
        let input = Input::Order {
            operator_call,
            order,
        };
        let effects = decide::step(&mut state, input, now, 0);
        effects.iter().any(|effect| {
            let Effect::ReplySubmit { result, .. } = effect else {
                return false;
            };
            matches!(result, Err(Unavailable::Busy))
        })
    };
    let report = |number: u64| Order::Report {
        id: "u".to_owned(),
        upstream: upstream("10.0.0.1:80", 1, number),
    };
    let mut reports = 0;
    while !is_refused(report(reports)) {
        reports += 1;
        assert!(reports < 2_000);
    }
    let evacuate = || Order::Evacuate {
        zone: "north-a".to_owned(),
        on: true,
        base: Some(0),
    };
    for _ in 0..200 {
        assert!(!is_refused(evacuate()), "after {reports} reports");
    }
}
