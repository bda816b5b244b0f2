//! Random faults against an oracle.

use {
    super::{super::decide, net::Net},
    rand::Rng,
};

/// Virtual time in which every member must agree after the last fault.
const SETTLE_MS: u64 = 40_000;
/// Virtual time in which a dead VM must be gone from every look-up.
const EVICT_MS: u64 = 12_000;

fn runs() -> u64 {
    let steps = std::env::var("SISKINSTEP_FUZZ_STEPS");
    steps.ok().and_then(|text| text.parse().ok()).unwrap_or(8)
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Kill,
    Restart,
    Freeze,
    Thaw,
    Cut,
    Heal,
    Lose,
    Delay,
    Leave,
}

const OPS: [Op; 9] = [
    Op::Kill,
    Op::Restart,
    Op::Freeze,
    Op::Thaw,
    Op::Cut,
    Op::Heal,
    Op::Lose,
    Op::Delay,
    Op::Leave,
];

fn apply(net: &mut Net, op: Op) {
    let at = net.random.random_range(0..net.nodes.len());
    match op {
        Op::Kill => net.nodes[at].running = false,
        Op::Restart => net.restart(at),
        Op::Freeze => net.nodes[at].frozen = true,
        Op::Thaw => net.nodes[at].frozen = false,
        Op::Cut => {
            let zone = net.nodes[at].state.own.zone;
            let mine = net.nodes.iter_mut();
            mine.filter(|node| node.state.own.zone == zone)
                .for_each(|node| node.side = 1);
        }
        Op::Heal => net.nodes.iter_mut().for_each(|node| node.side = 0),
        Op::Lose => net.loss_permille = net.random.random_range(0..300),
        Op::Delay => net.delay_ms = net.random.random_range(0..300),
        Op::Leave if net.nodes[at].running && !net.nodes[at].frozen => net.leave(at),
        Op::Leave => {}
    }
}

fn end_faults(net: &mut Net) {
    net.loss_permille = 0;
    net.delay_ms = 30;
    for node in &mut net.nodes {
        node.side = 0;
        node.frozen = false;
    }
    // A VM that left ends; the seeds are there again, as operators would see to.
    for at in 0..net.nodes.len() {
        let left = net.nodes[at].state.own.standing == super::Standing::Leaving;
        net.nodes[at].running &= !left;
        if at < 2 && !net.nodes[at].running {
            net.restart(at);
        }
    }
}

#[test]
fn after_the_faults_all_live_members_agree_and_none_is_evicted() {
    for seed in 0..runs() {
        let mut net = Net::new(seed, 3, 3);
        net.run(5_000);
        assert!(net.agrees(), "seed {seed}: start");
        for _ in 0..30 {
            let op = OPS[net.random.random_range(0..OPS.len())];
            apply(&mut net, op);
            let pause = net.random.random_range(10..4_000);
            net.run(pause);
        }
        end_faults(&mut net);
        net.run(SETTLE_MS);
        for at in (0..net.nodes.len()).filter(|at| net.nodes[*at].running) {
            assert_eq!(net.seen(at), net.live(), "seed {seed}: vm-{at}");
            assert!(decide::serves(&net.nodes[at].state), "seed {seed}: vm-{at}");
        }
        // From here on heartbeats flow, if not without loss.
        net.evicted.clear();
        net.loss_permille = 100;
        net.run(30_000);
        let live = net.live();
        let wrong: Vec<_> = net
            .evicted
            .iter()
            .filter(|(name, _)| live.contains(name))
            .collect();
        assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
    }
}

#[test]
fn a_dead_vm_is_gone_in_a_bounded_time() {
    for seed in 0..runs().min(10) {
        let mut net = Net::new(seed, 2, 5);
        net.run(5_000);
        let at = net.random.random_range(0..net.nodes.len());
        net.nodes[at].running = false;
        net.run(EVICT_MS);
        assert!(net.agrees(), "seed {seed}: vm-{at} dead");
    }
}

#[test]
fn a_zone_that_is_cut_off_goes_on_and_is_found_again() {
    let mut net = Net::new(5, 3, 3);
    net.run(5_000);
    for node in &mut net.nodes {
        node.side = u8::from(node.state.own.zone.0 == 2);
    }
    net.run(20_000);
    assert_eq!(net.seen(2), ["vm-2", "vm-5", "vm-8"]);
    assert_eq!(net.seen(0).len(), 6);
    assert!(decide::serves(&net.nodes[2].state));
    for node in &mut net.nodes {
        node.side = 0;
    }
    net.run(SETTLE_MS);
    assert!(net.agrees());
}
