//! Tests of charges, with a seeded simulation of a poison request among harmless ones.

use {
    super::{
        decide::{charge, cut, expire, lift, list, lost},
        messages::{Charge, Lift},
        settings::Settings,
        state::State,
    },
    crate::{clock::Micros, ledger::Fingerprint},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::net::SocketAddr,
};

const POISON: Fingerprint = Fingerprint(9, 9);

fn upstream(at: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], at))
}

fn ms(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

fn is_poisoned(state: &State, fingerprint: Fingerprint) -> bool {
    let rows = list(state, &Settings::default(), Micros(0));
    rows.iter()
        .any(|row| row.fingerprint == fingerprint && row.poisoned)
}

#[test]
fn isolated_cuts_charge_no_request() {
    let (mut state, settings) = (State::default(), Settings::default());
    for at in 0..20 {
        let now = ms(u64::from(at) * (settings.burst_ms + 1));
        assert!(cut(&mut state, &settings, POISON, upstream(1), now).is_empty());
        assert!(cut(&mut state, &settings, POISON, upstream(100 + at), now).is_empty());
    }
    assert!(state.charges.is_empty());
}

#[test]
fn a_refused_connection_after_a_cut_charges_the_request() {
    let (mut state, settings) = (State::default(), Settings::default());
    let _ = cut(&mut state, &settings, POISON, upstream(1), ms(0));
    assert!(lost(&mut state, &settings, upstream(2), ms(1)).is_empty());
    assert_eq!(lost(&mut state, &settings, upstream(1), ms(1)).len(), 1);
    let _ = cut(&mut state, &settings, POISON, upstream(2), ms(9));
    expire(&mut state, &settings, ms(10 + settings.watch_ms));
    assert!(lost(&mut state, &settings, upstream(2), ms(9_999)).is_empty());
    assert!(!is_poisoned(&state, POISON));
}

#[test]
fn a_loss_reported_by_two_vms_counts_once() {
    let (mut state, settings) = (State::default(), Settings::default());
    let reported = Charge {
        fingerprint: POISON,
        upstream: upstream(1),
    };
    assert!(charge(&mut state, &settings, reported, ms(0)));
    assert!(!charge(&mut state, &settings, reported, ms(1_000)));
    assert!(!is_poisoned(&state, POISON));
    // The same upstream, restarted and lost again.
    assert!(charge(&mut state, &settings, reported, ms(5_000)));
    assert!(is_poisoned(&state, POISON));
    assert!(lift(
        &mut state,
        Lift {
            fingerprint: Some(POISON)
        }
    ));
    assert!(!is_poisoned(&state, POISON));
}

#[test]
fn charges_expire_and_are_bounded() {
    let settings = Settings {
        charges: 4,
        ..Settings::default()
    };
    let mut state = State::default();
    for at in 0..9 {
        let reported = Charge {
            fingerprint: Fingerprint(at, 0),
            upstream: upstream(1),
        };
        charge(&mut state, &settings, reported, ms(at));
    }
    assert_eq!(state.charges.len(), 4);
    expire(&mut state, &settings, ms(settings.ttl_ms + 9));
    assert!(state.charges.is_empty());
}

/// Twelve upstreams and two entry VMs that notify each other immediately; a crash also charges a
/// harmless request. The poison request must crash only two upstreams before it is refused, and
/// the charges of harmless requests must be lifted.
#[test]
fn a_poison_request_loses_only_two_upstreams_and_harmless_requests_are_cleared() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let settings = Settings::default();
        let mut entries = [State::default(), State::default()];
        let (mut losses, mut now) = (0, ms(0));
        for _ in 0..40 {
            now = now.plus_millis(rng.random_range(2_500..9_000));
            let at = rng.random_range(0..2);
            let target = upstream(rng.random_range(0..12));
            if !is_poisoned(&entries[at], POISON) {
                losses += 1;
                let harmless = Fingerprint(rng.random_range(0..5), 0);
                let mut charges = cut(&mut entries[at], &settings, POISON, target, now);
                charges.extend(cut(&mut entries[at], &settings, harmless, target, now));
                for reported in charges {
                    charge(&mut entries[1 - at], &settings, reported, now);
                }
            }
            for harmless in 0..5 {
                // The next upstream that runs the harmless request responds, which lifts its
                // charge.
                for state in &mut entries {
                    let fingerprint = Some(Fingerprint(harmless, 0));
                    lift(state, Lift { fingerprint });
                }
            }
        }
        assert_eq!(losses, 2, "seed {seed}");
        assert_eq!(entries[0].charges.len(), 1, "seed {seed}");
    }
}
