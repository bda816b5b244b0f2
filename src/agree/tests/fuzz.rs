//! Random commands and faults against the oracle.

use {
    super::{
        super::messages::MemberChange,
        world::{Weather, World, address},
    },
    rand::Rng,
};

const SEEDS: u64 = 24;
const STEPS: usize = 250;

fn steps() -> usize {
    let given = std::env::var("SISKINSTEP_FUZZ_STEPS").ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(STEPS)
}

/// One fault or one operator's act, chosen by a number below 100.
fn act(world: &mut World, founders: usize, dice: u32) {
    let node = world.random.random_range(0..world.nodes.len());
    let up = world.nodes[node].state.is_some();
    match dice {
        0..30 => world.order(node),
        30..45 => {
            let leader = world.leader().unwrap_or(node);
            world.order(leader);
            world.order(leader);
        }
        45..55 if !world.commands.is_empty() => {
            let command = world.random.random_range(0..world.commands.len());
            world.resend(node, command);
        }
        55..65 => {
            let target = if dice < 60 {
                node
            } else {
                world.leader().unwrap_or(node)
            };
            world.ask_read(target);
        }
        65..70 if up => world.crash(node),
        70..82 if !up => world.start(node, founders),
        82..85 => {
            let ms = world.random.random_range(100..6_000);
            world.freeze(node, ms);
        }
        85..87 => {
            let other = world.random.random_range(0..world.nodes.len());
            world.cut.push((node.min(other), node.max(other)));
        }
        87..90 => world.cut.clear(),
        90..92 => {
            world.weather = Weather {
                lost: world.random.random_range(0..150),
                doubled: world.random.random_range(0..300),
                longest_ms: [3, 30, 60, 400][world.random.random_range(0..4)],
            };
        }
        92..96 if up && world.can_lose_disk(node) => {
            world.crash(node);
            world.lose_disk(node);
            world.start(node, founders);
        }
        96..98 => change_members(world, node),
        _ => {}
    }
}

fn change_members(world: &mut World, node: usize) {
    let name = format!("control-{node}");
    let leader = world.leader().unwrap_or(node);
    let present = world.nodes[leader].state.as_ref().is_some_and(|state| {
        let members = state.members();
        members.rows.len() > 3 && members.named(&name).is_some()
    });
    let change = if present {
        MemberChange::Remove { name }
    } else {
        MemberChange::Add {
            name,
            peers: address(node),
            operators: address(node),
        }
    };
    world.change(leader, change);
}

fn fuzz(founders: usize, size: usize, seeds: std::ops::Range<u64>) {
    let (mut accepted, mut reads, mut changes) = (0, 0, 0);
    for seed in seeds {
        eprintln!("seed {seed}");
        let mut world = World::new(seed, founders, size);
        world.run(4_000);
        for _ in 0..steps() {
            let dice = world.random.random_range(0..100);
            act(&mut world, founders, dice);
            let ms = world.random.random_range(0..400);
            world.run(ms);
        }
        world.heal_and_check(founders);
        accepted += world.oracle.accepted;
        reads += world.oracle.reads;
        changes += world.oracle.changes;
    }
    eprintln!("{accepted} accepted, {reads} reads, {changes} changes of members");
    assert!(accepted > 0 && reads > 0);
}

#[test]
fn three_replicas_keep_what_they_accept() {
    fuzz(3, 3, 0..SEEDS);
}

#[test]
fn five_replicas_keep_what_they_accept_while_members_change() {
    fuzz(3, 5, 1_000..1_000 + SEEDS);
}

#[test]
fn five_founders_keep_what_they_accept() {
    fuzz(5, 5, 2_000..2_000 + SEEDS / 2);
}
