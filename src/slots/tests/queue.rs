//! Tests of the queue.

use {
    super::{
        super::{
            decide::succeed,
            queue::{Placed, next_expiry, place, pump},
            settings::Settings,
            state::Request,
        },
        Home, request, said,
    },
    crate::{
        call::Reason,
        clock::Micros,
        keys::{ServiceKey, WaitKey},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
};

const SERVICE: ServiceKey = ServiceKey(0);

fn settings(queue: usize) -> Settings {
    Settings {
        queue,
        ..super::settings()
    }
}

fn worth(worth: u16, deadline: u64) -> Request {
    Request {
        worth,
        ..request(Micros(deadline))
    }
}

fn wait(home: &mut Home, settings: Settings, request: Request) -> (WaitKey, Option<WaitKey>) {
    match place(&mut home.state, settings, request, Micros(0)) {
        Placed::Wait { key, shed } => (key, shed),
        other => panic!("{other:?}"),
    }
}

fn refusal(placed: &Placed) -> Option<Reason> {
    match placed {
        Placed::Refuse(refusal) => Some(refusal.reason),
        _ => None,
    }
}

#[test]
fn a_freed_slot_goes_to_the_most_worth_then_to_the_nearest_deadline() {
    let mut home = Home::default();
    home.join(said("u1", 1));
    let settings = settings(9);
    let mut grant = home.take().unwrap();
    let late = wait(&mut home, settings, worth(5, 900)).0;
    let soon = wait(&mut home, settings, worth(5, 800)).0;
    let dear = wait(&mut home, settings, worth(9, 950)).0;
    for expected in [dear, soon, late] {
        succeed(&mut home.state, grant.flight, Micros(1));
        let placed = pump(&mut home.state, settings, SERVICE, Micros(1));
        let [(key, Placed::Go(next))] = &placed[..] else {
            panic!("{placed:?}");
        };
        assert_eq!(*key, expected);
        grant = next.clone();
    }
    assert_eq!(home.state.waiting(), 0);
}

#[test]
fn a_full_queue_sheds_the_least_worth() {
    let mut home = Home::default();
    home.join(said("u1", 1));
    home.take().unwrap();
    let settings = settings(2);
    let cheap = wait(&mut home, settings, worth(1, 900)).0;
    wait(&mut home, settings, worth(5, 900));
    assert_eq!(wait(&mut home, settings, worth(9, 900)).1, Some(cheap));
    let placed = place(&mut home.state, settings, worth(1, 900), Micros(0));
    assert_eq!(refusal(&placed), Some(Reason::Shed));
    assert_eq!(home.state.waiting(), 2);
}

#[test]
fn who_cannot_be_served_in_time_does_not_wait() {
    let mut home = Home::default();
    home.join(said("u1", 1));
    home.take().unwrap();
    home.state.service(SERVICE).busy = 100;
    let settings = settings(9);
    let placed = place(&mut home.state, settings, worth(1, 199), Micros(0));
    assert_eq!(refusal(&placed), Some(Reason::NoSlot));
    wait(&mut home, settings, worth(1, 200));
    let placed = place(&mut home.state, settings, worth(1, 299), Micros(0));
    assert_eq!(refusal(&placed), Some(Reason::NoSlot));
    // It is refused as soon as a slot would come too late, not at its deadline.
    assert_eq!(next_expiry(&home.state), Some(Micros(100)));
    assert!(pump(&mut home.state, settings, SERVICE, Micros(99)).is_empty());
    let placed = pump(&mut home.state, settings, SERVICE, Micros(100));
    assert_eq!(refusal(&placed[0].1), Some(Reason::DeadlineExceeded));
}

#[test]
fn waits_end_when_the_last_upstream_goes() {
    let mut home = Home::default();
    let key = home.join(said("u1", 1));
    home.take().unwrap();
    wait(&mut home, settings(9), worth(1, 900));
    home.absent(key);
    let placed = pump(&mut home.state, settings(9), SERVICE, Micros(1));
    assert_eq!(refusal(&placed[0].1), Some(Reason::NoUpstream));
}

/// Random arrivals, ends and time: the queue stays bounded, nobody waits past its deadline, and a
/// slot goes to whoever ranks first.
#[test]
fn the_queue_is_bounded_and_ordered_whatever_comes() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut home = Home::default();
        home.join(said("u1", 3));
        let settings = settings(5);
        let (mut now, mut running, mut waiting) = (0, Vec::new(), Vec::new());
        for _ in 0..300 {
            match rng.random_range(0..4) {
                0 | 1 => {
                    let new = worth(rng.random_range(1..9), now + rng.random_range(0..300));
                    match place(&mut home.state, settings, new, Micros(now)) {
                        Placed::Go(grant) => running.push(grant),
                        Placed::Wait { key, shed } => {
                            waiting.retain(|(other, _)| Some(*other) != shed);
                            waiting.push((key, new));
                        }
                        Placed::Refuse(_) => {}
                    }
                }
                2 if !running.is_empty() => {
                    let grant = running.swap_remove(rng.random_range(0..running.len()));
                    succeed(&mut home.state, grant.flight, Micros(now));
                }
                _ => now += rng.random_range(0..40),
            }
            for (key, placed) in pump(&mut home.state, settings, SERVICE, Micros(now)) {
                let at = waiting.iter().position(|(other, _)| *other == key);
                let (_, request) = waiting.swap_remove(at.unwrap());
                if let Placed::Go(grant) = placed {
                    assert!(request.meta.deadline > Micros(now), "seed {seed}");
                    let most = waiting.iter().map(|(_, request)| request.worth).max();
                    assert!(most.unwrap_or(0) <= request.worth, "seed {seed}");
                    running.push(grant);
                }
            }
            assert!(running.len() <= 3 && waiting.len() <= 5, "seed {seed}");
            assert_eq!(waiting.len(), home.state.waiting(), "seed {seed}");
            let late = waiting
                .iter()
                .any(|(_, row)| row.meta.deadline <= Micros(now));
            assert!(!late, "seed {seed}");
            assert!(waiting.is_empty() || running.len() == 3, "seed {seed}");
        }
    }
}
