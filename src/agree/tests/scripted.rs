//! Scripted faults, one invariant each.

use {
    super::{
        super::{
            decide::{Input, is_current},
            messages::MemberChange,
        },
        world::{World, address},
    },
    crate::storage::Ack,
};

const FOUNDERS: usize = 3;

fn founded(seed: u64) -> World {
    let mut world = World::new(seed, FOUNDERS, FOUNDERS);
    world.run(6_000);
    assert!(world.leader().is_some(), "no leader after the founding");
    world
}

fn accept(world: &mut World, count: usize) {
    for _ in 0..count {
        let leader = world.leader().unwrap();
        world.order(leader);
        world.run(60);
    }
    let newest = world.oracle.newest;
    assert!(newest >= count as u64, "{newest} of {count} accepted");
}

fn isolate(world: &mut World, node: usize) {
    let others = (0..FOUNDERS).filter(|other| *other != node);
    world.cut = others
        .map(|other| (node.min(other), node.max(other)))
        .collect();
}

fn lose(world: &mut World, node: usize) {
    world.crash(node);
    world.lose_disk(node);
    world.start(node, FOUNDERS);
}

#[test]
fn a_cut_off_leader_refuses_and_disturbs_nobody_when_it_is_back() {
    for seed in 0..10 {
        let mut world = founded(seed);
        accept(&mut world, 3);
        let old = world.leader().unwrap();
        isolate(&mut world, old);
        world.run(1_100);
        assert!(!world.nodes[old].state.as_ref().unwrap().leads());
        let refused = world.oracle.unavailable;
        world.order(old);
        world.ask_read(old);
        world.run(10_000);
        assert_eq!(world.oracle.unavailable, refused + 2);
        let leader = world.leader().unwrap();
        let term = world.nodes[leader].state.as_ref().unwrap().hard.term;
        world.cut.clear();
        world.run(5_000);
        let after = world.nodes[leader].state.as_ref().unwrap();
        assert!(
            after.leads() && after.hard.term == term,
            "seed {seed}: the term rose"
        );
        world.heal_and_check(FOUNDERS);
    }
}

/// Hearing the leader is not having its news: who lacks entries that are committed must not serve those
/// who follow the catalogue.
#[test]
fn a_replica_that_hears_the_leader_but_lags_is_not_current() {
    for seed in 0..10 {
        let mut world = founded(seed);
        accept(&mut world, 3);
        let leader = world.leader().unwrap();
        let behind = (leader + 1) % FOUNDERS;
        let is_current = |world: &World| {
            let state = world.nodes[behind].state.as_ref().unwrap();
            is_current(state, world.clock(behind))
        };
        world.starved = Some(behind);
        accept(&mut world, 1);
        world.run(3_000);
        assert_eq!(world.leader(), Some(leader), "seed {seed}: it was heard");
        assert!(!is_current(&world), "seed {seed}");
        world.starved = None;
        world.run(1_000);
        assert!(is_current(&world), "seed {seed}");
        world.heal_and_check(FOUNDERS);
    }
}

#[test]
fn a_second_disk_is_lost_right_after_the_first_was_repaired() {
    for seed in 0..10 {
        let mut world = founded(seed);
        accept(&mut world, 20);
        for lost in [0, 1, 2, 0] {
            assert!(
                world.can_lose_disk(lost),
                "seed {seed}: {lost} was repaired"
            );
            lose(&mut world, lost);
            let limit = world.now + 20_000_000;
            while !(0..FOUNDERS).all(|node| world.can_lose_disk(node)) {
                assert!(
                    world.now < limit,
                    "seed {seed}: the disk of {lost} is not repaired"
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
fn a_lost_disk_does_not_count_before_it_has_caught_up() {
    let mut world = founded(1);
    accept(&mut world, 30);
    let leader = world.leader().unwrap();
    let (lost, other) = ((leader + 1) % FOUNDERS, (leader + 2) % FOUNDERS);
    // Only the leader and the lost disk's VM remain, which holds nothing.
    world.crash(other);
    lose(&mut world, lost);
    let newest = world.oracle.newest;
    world.order(leader);
    world.run(8_000);
    assert_eq!(
        world.oracle.newest, newest,
        "accepted by a disk that holds nothing"
    );
    world.start(other, FOUNDERS);
    world.run(10_000);
    world.heal_and_check(FOUNDERS);
}

#[test]
fn two_lost_disks_never_found_a_second_cluster() {
    for seed in 0..10 {
        let mut world = founded(seed);
        accept(&mut world, 5);
        world.notes.clear();
        lose(&mut world, 0);
        lose(&mut world, 1);
        for node in 0..FOUNDERS {
            world.order(node);
        }
        world.run(20_000);
        assert_eq!(
            world.oracle.newest, 5,
            "seed {seed}: accepted without a quorum"
        );
        let founded = world
            .notes
            .iter()
            .any(|(_, note)| *note == super::super::decide::Note::Founded);
        assert!(!founded, "seed {seed}");
    }
}

#[test]
fn a_disk_older_than_it_promised_starts_again_as_a_new_one() {
    let mut renewed = 0;
    for seed in 0..10 {
        let mut world = founded(seed);
        accept(&mut world, 2);
        let victim = (world.leader().unwrap() + 1) % FOUNDERS;
        let old = world.nodes[victim].disk.clone();
        accept(&mut world, 20);
        world.crash(victim);
        world.nodes[victim].disk = old;
        world.start(victim, FOUNDERS);
        world.run(10_000);
        renewed += world.nodes[victim].renewed;
        world.heal_and_check(FOUNDERS);
    }
    // Where the leader is faster than the answer to the hello, the log is whole again by then.
    assert!(renewed >= 5, "{renewed} of 10");
}

#[test]
fn a_full_disk_is_a_plain_refusal_and_another_leads() {
    let mut world = founded(3);
    accept(&mut world, 3);
    let full = world.leader().unwrap();
    let detail = "no space left".to_owned();
    world.step(full, Input::Storage(Ack::Failed { detail }));
    let refused = world.oracle.unavailable;
    world.order(full);
    world.run(10);
    assert_eq!(world.oracle.unavailable, refused + 1);
    world.run(10_000);
    assert_ne!(world.leader(), Some(full));
    accept(&mut world, 3);
    world.step(full, Input::Storage(Ack::Synced));
    world.heal_and_check(FOUNDERS);
}

#[test]
fn answers_outlive_snapshots_restarts_and_long_absence() {
    let mut world = founded(4);
    let absent = (world.leader().unwrap() + 1) % FOUNDERS;
    accept(&mut world, 2);
    world.crash(absent);
    accept(&mut world, 60);
    for node in 0..FOUNDERS {
        world.crash(node);
        world.start(node, FOUNDERS);
    }
    world.run(10_000);
    let base = world.nodes[absent].state.as_ref().unwrap().snapshot.clone();
    assert!(
        base.is_some_and(|row| row.at.index > 40),
        "caught up by a snapshot"
    );
    let leader = world.leader().unwrap();
    for command in 0..world.commands.len() {
        // The oracle compares each answer with the first one.
        world.resend(leader, command);
    }
    world.run(1_000);
    world.heal_and_check(FOUNDERS);
}

#[test]
fn members_are_added_and_removed_one_at_a_time() {
    let mut world = World::new(5, FOUNDERS, 5);
    world.run(6_000);
    accept(&mut world, 20);
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
    // The leader itself may be removed too.
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

/// Each knows three seeds; nobody adds the other three.
#[test]
fn all_that_start_from_the_same_seeds_vote_without_an_operator() {
    for seed in 0..10 {
        let mut world = World::open(seed, FOUNDERS, 6);
        world.run(15_000);
        assert_eq!(voters(&world).len(), 6, "seed {seed}");
        accept(&mut world, 3);
        // A zone's loss: four of six go on.
        world.crash(1);
        world.crash(4);
        world.run(6_000);
        assert!(world.leader().is_some(), "seed {seed}");
        world.start(1, FOUNDERS);
        world.start(4, FOUNDERS);
        world.heal_and_check(FOUNDERS);
    }
}

/// Nine vote, the most there may be. One is gone for good, and another one comes.
#[test]
fn a_newcomer_takes_the_place_of_one_that_was_silent_for_long() {
    for seed in 0..5 {
        let mut world = World::open(seed, FOUNDERS, 10);
        world.crash(9);
        world.run(30_000);
        assert_eq!(voters(&world).len(), 9, "seed {seed}");
        let leader = world.leader().unwrap();
        let gone = (leader + 4) % 9;
        world.crash(gone);
        world.start(9, FOUNDERS);
        world.run(30_000);
        let voters = voters(&world);
        assert!(
            voters.contains(&"control-9".to_owned()),
            "seed {seed}: {voters:?}"
        );
        assert!(
            !voters.contains(&format!("control-{gone}")),
            "seed {seed}: {voters:?}"
        );
        accept(&mut world, 3);
    }
}

#[test]
fn a_command_too_large_for_a_message_is_refused_and_blocks_nothing() {
    let mut world = founded(6);
    accept(&mut world, 2);
    let leader = world.leader().unwrap();
    let last = |world: &World| world.nodes[leader].state.as_ref().unwrap().log.last();
    let before = last(&world);
    world.order(leader);
    let at = world.commands.len() - 1;
    world.run(60);
    world.commands[at].id = "x".repeat(20_000);
    world.resend(leader, at);
    world.run(60);
    assert_eq!(last(&world).index, before.index + 1);
    let answers = world.oracle.answers.rows().iter();
    let refused = answers.filter(|(_, answer)| answer.is_err()).count();
    assert_eq!(refused, 1);
    accept(&mut world, 2);
}
