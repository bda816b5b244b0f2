//! Random commands and faults, checked against the oracle.

use {
    super::{
        super::messages::MemberChange,
        world::{NetworkFaults, World, address},
    },
    rand::Rng,
};

const SEEDS: u64 = 24;
const STEPS: usize = 250;

fn steps() -> usize {
    let value = std::env::var("SISKINSTEP_FUZZ_STEPS").ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(STEPS)
}

/// Applies one random fault or operator action, selected by a `roll` below 100.
fn random_action(world: &mut World, founders: usize, roll: u32) {
    let node = world.random.random_range(0..world.nodes.len());
    let is_up = world.nodes[node].state.is_some();
    match roll {
        0..30 => world.submit_new(node),
        30..45 => {
            let leader = world.leader().unwrap_or(node);
            world.submit_new(leader);
            world.submit_new(leader);
        }
        45..55 if !world.commands.is_empty() => {
            let command = world.random.random_range(0..world.commands.len());
            world.resend(node, command);
        }
        55..65 => {
            let target = if roll < 60 {
                node
            } else {
                world.leader().unwrap_or(node)
            };
            world.submit_read(target);
        }
        65..70 if is_up => world.crash(node),
        70..82 if !is_up => world.start(node, founders),
        82..85 => {
            let ms = world.random.random_range(100..6_000);
            world.freeze(node, ms);
        }
        85..87 => {
            let other = world.random.random_range(0..world.nodes.len());
            world.cut_links.push((node.min(other), node.max(other)));
        }
        87..90 => world.cut_links.clear(),
        90..92 => {
            world.faults = NetworkFaults {
                lost_permille: world.random.random_range(0..150),
                duplicated_permille: world.random.random_range(0..300),
                max_delay_ms: [3, 30, 60, 400][world.random.random_range(0..4)],
            };
        }
        92..96 if is_up && world.can_lose_disk(node) => {
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
    let is_member = world.nodes[leader].state.as_ref().is_some_and(|state| {
        let members = state.members();
        members.rows.len() > 3 && members.named(&name).is_some()
    });
    let change = if is_member {
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
            let roll = world.random.random_range(0..100);
            random_action(&mut world, founders, roll);
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
fn three_replicas_keep_accepted_commands() {
    fuzz(3, 3, 0..SEEDS);
}

#[test]
fn five_replicas_keep_accepted_commands_while_members_change() {
    fuzz(3, 5, 1_000..1_000 + SEEDS);
}

#[test]
fn five_founders_keep_accepted_commands() {
    fuzz(5, 5, 2_000..2_000 + SEEDS / 2);
}
