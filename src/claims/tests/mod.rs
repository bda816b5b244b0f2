//! Tests of the claims: a seeded simulation of entries, ledgers and faults against an oracle.

mod sim;

use {
    super::{
        decide::{self, Heard, Opening, Step},
        state::{Phase, State},
    },
    crate::{
        call::{Ran, Reason},
        clock::Micros,
        ledger::{Attempt, Fingerprint, Reply, Verdict},
    },
    sim::{Faults, Tally, World},
};

const CI_SEEDS: u64 = 60;

fn seeds() -> u64 {
    let steps = std::env::var("SISKINSTEP_FUZZ_STEPS").ok();
    steps
        .and_then(|steps| steps.parse().ok())
        .unwrap_or(CI_SEEDS)
}

fn simulate(faults: Faults, seeds: std::ops::Range<u64>) -> Tally {
    let mut total = Tally::default();
    for seed in seeds {
        let tally = World::new(seed, faults).run();
        total.add(&tally);
    }
    total
}

#[test]
fn no_fault_makes_a_key_run_twice_or_an_answer_lie() {
    let total = simulate(Faults::ALL, 0..seeds());
    println!("{total:?}");
    // The oracle has nothing to say unless every kind of answer occurs.
    assert!(total.ran > 0 && total.stored > 0 && total.lost > 0);
    assert!(total.refused > 0 && total.rejoined > 0 && total.reused > 0);
}

#[test]
fn lost_disks_make_no_key_run_twice() {
    let total = simulate(Faults::DISKS, 0..seeds());
    println!("{total:?}");
    assert!(total.ran > 0 && total.rejoined > 0);
}

#[test]
fn without_faults_every_key_runs() {
    let total = simulate(Faults::NONE, 0..30);
    assert_eq!(total.unavailable, 0, "{total:?}");
    assert!(total.stored > 0);
}

fn heard(ledger: u8, reply: Option<Reply>) -> Heard {
    Heard {
        ledger,
        phase: Phase::Claiming,
        reply,
    }
}

fn opened() -> (State, crate::keys::TryKey) {
    let mut state = State::default();
    let opening = Opening {
        group: 0,
        members: 3,
        key: "k".into(),
        print: Fingerprint(1, 1),
        attempt: Attempt(1, 1),
        limit: Micros(100),
    };
    let at = decide::open(&mut state, opening);
    (state, at)
}

#[test]
fn a_vote_that_comes_twice_counts_once() {
    let (mut state, at) = opened();
    let granted = heard(0, Some(Reply::Granted));
    assert_eq!(decide::heard(&mut state, at, &granted, Micros(1)), None);
    assert_eq!(decide::heard(&mut state, at, &granted, Micros(2)), None);
    let second = heard(1, Some(Reply::Granted));
    let step = decide::heard(&mut state, at, &second, Micros(3));
    assert_eq!(step, Some(Step::Dispatch));
}

#[test]
fn a_majority_that_comes_too_late_does_not_run() {
    let (mut state, at) = opened();
    decide::heard(&mut state, at, &heard(0, Some(Reply::Granted)), Micros(1));
    let late = decide::heard(&mut state, at, &heard(1, Some(Reply::Granted)), Micros(100));
    let Some(Step::Refuse(refusal)) = late else {
        panic!("{late:?}");
    };
    assert_eq!(
        (refusal.reason, refusal.ran),
        (Reason::DeadlineExceeded, Ran::No)
    );
}

#[test]
fn without_a_majority_nothing_is_said_of_the_key() {
    let (mut state, at) = opened();
    decide::heard(&mut state, at, &heard(0, Some(Reply::Granted)), Micros(1));
    decide::heard(&mut state, at, &heard(1, Some(Reply::Full)), Micros(1));
    let step = decide::heard(&mut state, at, &heard(2, None), Micros(1));
    let Some(Step::Refuse(refusal)) = step else {
        panic!("{step:?}");
    };
    assert_eq!(
        (refusal.reason, refusal.ran),
        (Reason::ClaimUnavailable, Ran::Unknown)
    );
}

#[test]
fn a_stored_answer_goes_before_another_ledgers_stale_vote() {
    let (mut state, at) = opened();
    let held = Reply::Held {
        print: Fingerprint(1, 1),
        running: true,
    };
    let done = Reply::Settled {
        print: Fingerprint(1, 1),
        verdict: Verdict::Answer("a".into()),
    };
    assert_eq!(
        decide::heard(&mut state, at, &heard(0, Some(held.clone())), Micros(1)),
        None
    );
    assert_eq!(
        decide::heard(&mut state, at, &heard(1, Some(held)), Micros(1)),
        None
    );
    let step = decide::heard(&mut state, at, &heard(2, Some(done)), Micros(1));
    assert_eq!(step, Some(Step::Stored("a".into())));
}
