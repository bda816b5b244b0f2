//! Random faults in the simulated network, checked against the set of live VMs.

use {
    super::{super::decide, net::Net},
    rand::Rng,
};

/// Maximum virtual time after the last fault until all views converge.
const CONVERGENCE_LIMIT_MS: u64 = 40_000;
/// Maximum virtual time until a killed VM is absent from every view.
const EVICTION_LIMIT_MS: u64 = 12_000;

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
    Partition,
    Heal,
    DropPackets,
    Delay,
    Leave,
}

const OPS: [Op; 9] = [
    Op::Kill,
    Op::Restart,
    Op::Freeze,
    Op::Thaw,
    Op::Partition,
    Op::Heal,
    Op::DropPackets,
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
        Op::Partition => {
            let zone = net.nodes[at].state.local.zone;
            let nodes = net.nodes.iter_mut();
            nodes
                .filter(|node| node.state.local.zone == zone)
                .for_each(|node| node.partition = 1);
        }
        Op::Heal => net.nodes.iter_mut().for_each(|node| node.partition = 0),
        Op::DropPackets => net.loss_permille = net.random.random_range(0..300),
        Op::Delay => net.delay_ms = net.random.random_range(0..300),
        Op::Leave if net.nodes[at].running && !net.nodes[at].frozen => net.leave(at),
        Op::Leave => {}
    }
}

fn clear_faults(net: &mut Net) {
    net.loss_permille = 0;
    net.delay_ms = 30;
    for node in &mut net.nodes {
        node.partition = 0;
        node.frozen = false;
    }
    // VMs that were leaving exit; stopped seeds are restarted, as an operator would do.
    for at in 0..net.nodes.len() {
        let is_leaving = net.nodes[at].state.local.status == super::MemberStatus::Leaving;
        net.nodes[at].running &= !is_leaving;
        if at < 2 && !net.nodes[at].running {
            net.restart(at);
        }
    }
}

#[test]
fn views_converge_after_faults_and_no_live_vm_is_evicted() {
    for seed in 0..runs() {
        let mut net = Net::new(seed, 3, 3);
        net.run(5_000);
        assert!(net.has_converged(), "seed {seed}: initial convergence");
        for _ in 0..30 {
            let op = OPS[net.random.random_range(0..OPS.len())];
            apply(&mut net, op);
            let pause = net.random.random_range(10..4_000);
            net.run(pause);
        }
        clear_faults(&mut net);
        net.run(CONVERGENCE_LIMIT_MS);
        for at in (0..net.nodes.len()).filter(|at| net.nodes[*at].running) {
            assert_eq!(net.visible(at), net.live(), "seed {seed}: vm-{at}");
            assert!(
                decide::can_serve(&net.nodes[at].state),
                "seed {seed}: vm-{at}"
            );
        }
        // Without partitions or freezes, moderate packet loss must not evict a live VM.
        net.evicted.clear();
        net.loss_permille = 100;
        net.run(30_000);
        let live = net.live();
        let evicted_live: Vec<_> = net
            .evicted
            .iter()
            .filter(|(name, _)| live.contains(name))
            .collect();
        assert!(evicted_live.is_empty(), "seed {seed}: {evicted_live:?}");
    }
}

#[test]
fn killed_vm_is_evicted_within_the_limit() {
    for seed in 0..runs().min(10) {
        let mut net = Net::new(seed, 2, 5);
        net.run(5_000);
        let at = net.random.random_range(0..net.nodes.len());
        net.nodes[at].running = false;
        net.run(EVICTION_LIMIT_MS);
        assert!(net.has_converged(), "seed {seed}: vm-{at} was killed");
    }
}

#[test]
fn partitioned_zone_keeps_serving_and_rejoins() {
    let mut net = Net::new(5, 3, 3);
    net.run(5_000);
    for node in &mut net.nodes {
        node.partition = u8::from(node.state.local.zone.0 == 2);
    }
    net.run(20_000);
    assert_eq!(net.visible(2), ["vm-2", "vm-5", "vm-8"]);
    assert_eq!(net.visible(0).len(), 6);
    assert!(decide::can_serve(&net.nodes[2].state));
    for node in &mut net.nodes {
        node.partition = 0;
    }
    net.run(CONVERGENCE_LIMIT_MS);
    assert!(net.has_converged());
}
