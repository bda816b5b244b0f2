//! Tests of the spread of voters over regions and availability zones.

use {
    super::super::placement::{Place, best_candidate, imbalance, replaceable},
    super::world::World,
};

/// Voters of a full cluster.
const VOTERS: usize = 9;

fn place(region: usize, zone: usize) -> Place {
    Place {
        region: format!("region-{region}").into(),
        zone: format!("zone-{region}-{zone}").into(),
    }
}

/// Largest number of voters in one region, and in one zone.
fn most(voters: &[&Place]) -> (usize, usize) {
    let count = |is_same: fn(&Place, &Place) -> bool| {
        let same = |place: &&Place| voters.iter().filter(|other| is_same(place, other)).count();
        voters.iter().map(same).max().unwrap_or(0)
    };
    (
        count(|a, b| a.region == b.region),
        count(|a, b| a.zone == b.zone),
    )
}

/// Chooses voters one at a time, and then replaces voters while that makes the spread more even.
fn choose(all: &[Place]) -> Vec<&Place> {
    let mut others: Vec<&Place> = all.iter().collect();
    let mut voters: Vec<&Place> = Vec::new();
    while voters.len() < VOTERS {
        let candidates: Vec<Option<&Place>> = others.iter().copied().map(Some).collect();
        let Some(at) = best_candidate(&voters, &candidates, true) else {
            break;
        };
        voters.push(others.remove(at));
    }
    voters
}

/// Guards against voters that are taken in the order of their arrival, so that the loss of one zone or
/// region takes the quorum.
#[test]
fn voters_are_spread_evenly_whatever_the_order_of_arrival() {
    crate::fuzz::check(200, |order: &Vec<u8>| {
        let mut all: Vec<(u8, Place)> = (0..27)
            .map(|at| {
                let weight = order.get(at).copied().unwrap_or_default();
                (weight, place(at % 3, at / 3 % 3))
            })
            .collect();
        all.sort();
        let all: Vec<Place> = all.into_iter().map(|row| row.1).collect();
        assert_eq!(most(&choose(&all)), (3, 1));
    });
}

/// Guards against VMs that become voters before it is known where they are: the message that says so was
/// lost, as it went to VMs that had not started yet.
#[test]
fn a_candidate_waits_until_its_place_is_known() {
    let (near, far) = (place(0, 0), place(1, 0));
    assert_eq!(best_candidate(&[&near], &[None, Some(&far)], true), Some(1));
    assert_eq!(best_candidate(&[&near], &[None], true), None);
    assert_eq!(best_candidate(&[], &[None], false), Some(0));
}

/// Guards against a cluster that keeps its voters in the zones where it was founded, or those that it got
/// while a zone was down, and against replacements without end.
#[test]
fn replacements_end_in_an_even_spread() {
    let all: Vec<Place> = (0..27).map(|at| place(at / 9, at / 3 % 3)).collect();
    // Nine voters in one region, and three seeds in one zone of it.
    let mut voters: Vec<&Place> = all[..VOTERS].iter().collect();
    let mut others: Vec<&Place> = all[VOTERS..].iter().collect();
    for _ in 0..100 {
        let candidates: Vec<Option<&Place>> = others.iter().copied().map(Some).collect();
        let Some(at) = best_candidate(&voters, &candidates, true) else {
            break;
        };
        let before = imbalance(&voters);
        let Some(replaced) = replaceable(&voters, Some(0), others[at]) else {
            break;
        };
        std::mem::swap(&mut voters[replaced], &mut others[at]);
        assert!(imbalance(&voters) < before);
    }
    assert_eq!(most(&voters), (3, 1));
    assert_eq!(voters[0], &all[0]);
}

/// Guards against a large fleet in which only the control VMs that arrived first have the log: 27 VMs in
/// nine zones, of which three seeds in one zone found the cluster. With a zone and then a region lost, the
/// cluster still accepts changes.
#[test]
fn few_of_many_control_vms_vote_and_survive_a_lost_region() {
    for seed in 0..1 {
        let mut world = World::with_zones(seed, 3, 27);
        world.run(20_000);
        let voters = world.voters();
        assert_eq!(voters.len(), VOTERS, "seed {seed}: {voters:?}");
        let mut zones: Vec<usize> = voters.iter().map(|node| World::zone_of(*node)).collect();
        zones.sort_unstable();
        assert_eq!(zones, (0..9).collect::<Vec<_>>(), "seed {seed}");
        for node in (0..27).filter(|node| World::zone_of(*node) / 3 == 0) {
            world.crash(node);
        }
        world.run(6_000);
        assert!(world.leader().is_some(), "seed {seed}");
        // The region comes back, and the voters are spread over it again.
        for node in (0..27).filter(|node| World::zone_of(*node) / 3 == 0) {
            world.start(node, 3);
        }
        world.run(40_000);
        let mut regions = [0; 3];
        for node in world.voters() {
            regions[World::zone_of(node) / 3] += 1;
        }
        assert_eq!(regions, [3, 3, 3], "seed {seed}");
        world.heal_and_check(3);
    }
}
