//! Tests of the queue of one service.

use {
    super::{
        super::{
            decide::succeed,
            queue::{Placement, next_expiry, place, serve_queue},
            settings::Settings,
            state::Request,
        },
        Home, announcement, request,
    },
    crate::{
        call::Reason,
        clock::Micros,
        keys::{QueuedKey, ServiceKey},
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

fn request_of(worth: u16, deadline: u64) -> Request {
    Request {
        worth,
        ..request(Micros(deadline))
    }
}

fn enqueue(
    home: &mut Home,
    settings: Settings,
    request: Request,
) -> (QueuedKey, Option<QueuedKey>) {
    match place(&mut home.state, settings, request, Micros(0)) {
        Placement::Queued { key, shed } => (key, shed),
        other => panic!("{other:?}"),
    }
}

fn refusal(placement: &Placement) -> Option<Reason> {
    match placement {
        Placement::Refused(refusal) => Some(refusal.reason),
        _ => None,
    }
}

#[test]
fn a_released_slot_goes_to_the_highest_worth_then_to_the_earliest_deadline() {
    let mut home = Home::default();
    home.join(announcement("u1", 1));
    let settings = settings(9);
    let mut grant = home.take().unwrap();
    let late = enqueue(&mut home, settings, request_of(5, 900)).0;
    let soon = enqueue(&mut home, settings, request_of(5, 800)).0;
    let valuable = enqueue(&mut home, settings, request_of(9, 950)).0;
    for expected in [valuable, soon, late] {
        succeed(&mut home.state, grant.in_flight, Micros(1));
        let placement = serve_queue(&mut home.state, settings, SERVICE, Micros(1));
        let [(key, Placement::Granted(next))] = &placement[..] else {
            panic!("{placement:?}");
        };
        assert_eq!(*key, expected);
        grant = next.clone();
    }
    assert_eq!(home.state.queue_len(), 0);
}

#[test]
fn a_full_queue_sheds_the_lowest_worth() {
    let mut home = Home::default();
    home.join(announcement("u1", 1));
    home.take().unwrap();
    let settings = settings(2);
    let cheap = enqueue(&mut home, settings, request_of(1, 900)).0;
    enqueue(&mut home, settings, request_of(5, 900));
    assert_eq!(
        enqueue(&mut home, settings, request_of(9, 900)).1,
        Some(cheap)
    );
    let placement = place(&mut home.state, settings, request_of(1, 900), Micros(0));
    assert_eq!(refusal(&placement), Some(Reason::Shed));
    assert_eq!(home.state.queue_len(), 2);
}

#[test]
fn requests_that_cannot_meet_their_deadline_are_not_queued() {
    let mut home = Home::default();
    home.join(announcement("u1", 1));
    home.take().unwrap();
    home.state.service(SERVICE).service_time = 100;
    let settings = settings(9);
    let placement = place(&mut home.state, settings, request_of(1, 199), Micros(0));
    assert_eq!(refusal(&placement), Some(Reason::NoSlot));
    enqueue(&mut home, settings, request_of(1, 200));
    let placement = place(&mut home.state, settings, request_of(1, 299), Micros(0));
    assert_eq!(refusal(&placement), Some(Reason::NoSlot));
    // A queued request is refused as soon as no slot is expected in time, not at its deadline.
    assert_eq!(next_expiry(&home.state), Some(Micros(100)));
    assert!(serve_queue(&mut home.state, settings, SERVICE, Micros(99)).is_empty());
    let placement = serve_queue(&mut home.state, settings, SERVICE, Micros(100));
    assert_eq!(refusal(&placement[0].1), Some(Reason::DeadlineExceeded));
}

#[test]
fn queued_requests_are_refused_when_the_last_upstream_leaves() {
    let mut home = Home::default();
    let key = home.join(announcement("u1", 1));
    home.take().unwrap();
    enqueue(&mut home, settings(9), request_of(1, 900));
    home.mark_absent(key);
    let placement = serve_queue(&mut home.state, settings(9), SERVICE, Micros(1));
    assert_eq!(refusal(&placement[0].1), Some(Reason::NoUpstream));
}

/// Random arrivals, completions and time steps: the queue stays bounded, no request is queued past
/// its deadline, and a slot goes to the request with the highest worth.
#[test]
fn the_queue_stays_bounded_and_ordered_under_random_load() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut home = Home::default();
        home.join(announcement("u1", 3));
        let settings = settings(5);
        let (mut now, mut running, mut waiting) = (0, Vec::new(), Vec::new());
        for _ in 0..300 {
            match rng.random_range(0..4) {
                0 | 1 => {
                    let new = request_of(rng.random_range(1..9), now + rng.random_range(0..300));
                    match place(&mut home.state, settings, new, Micros(now)) {
                        Placement::Granted(grant) => running.push(grant),
                        Placement::Queued { key, shed } => {
                            waiting.retain(|(other, _)| Some(*other) != shed);
                            waiting.push((key, new));
                        }
                        Placement::Refused(_) => {}
                    }
                }
                2 if !running.is_empty() => {
                    let grant = running.swap_remove(rng.random_range(0..running.len()));
                    succeed(&mut home.state, grant.in_flight, Micros(now));
                }
                _ => now += rng.random_range(0..40),
            }
            for (key, placement) in serve_queue(&mut home.state, settings, SERVICE, Micros(now)) {
                let at = waiting.iter().position(|(other, _)| *other == key);
                let (_, request) = waiting.swap_remove(at.unwrap());
                if let Placement::Granted(grant) = placement {
                    assert!(request.meta.deadline > Micros(now), "seed {seed}");
                    let max_worth = waiting.iter().map(|(_, request)| request.worth).max();
                    assert!(max_worth.unwrap_or(0) <= request.worth, "seed {seed}");
                    running.push(grant);
                }
            }
            assert!(running.len() <= 3 && waiting.len() <= 5, "seed {seed}");
            assert_eq!(waiting.len(), home.state.queue_len(), "seed {seed}");
            let late = waiting
                .iter()
                .any(|(_, row)| row.meta.deadline <= Micros(now));
            assert!(!late, "seed {seed}");
            assert!(waiting.is_empty() || running.len() == 3, "seed {seed}");
        }
    }
}
