//! Tests of claims: decisions, and a seeded simulation of entry VMs, ledgers and faults that
//! compares every response with the recorded runs.

mod sim;

use {
    super::{
        decide::{self, LedgerReply, NewAttempt, Step},
        state::{Phase, State},
    },
    crate::{
        call::{Ran, Reason},
        clock::Micros,
        ledger::{AttemptId, Fingerprint, Reply, StoredOutcome},
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
fn faults_cause_no_second_run_and_no_incorrect_response() {
    let total = simulate(Faults::ALL, 0..seeds());
    println!("{total:?}");
    // Every kind of outcome must occur, otherwise the simulation covers too little.
    assert!(total.ran > 0 && total.stored > 0 && total.lost > 0);
    assert!(total.refused > 0 && total.rejoined > 0 && total.reused > 0);
}

#[test]
fn lost_disks_cause_no_second_run() {
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

fn reply_from(ledger: u8, reply: Option<Reply>) -> LedgerReply {
    LedgerReply {
        ledger,
        phase: Phase::Claiming,
        reply,
    }
}

fn opened() -> (State, crate::keys::ClaimAttemptKey) {
    let mut state = State::default();
    let new = NewAttempt {
        group: 0,
        members: 3,
        key: "k".into(),
        fingerprint: Fingerprint(1, 1),
        id: AttemptId(1, 1),
        deadline: Micros(100),
    };
    let at = decide::open(&mut state, new);
    (state, at)
}

#[test]
fn a_duplicate_vote_counts_once() {
    let (mut state, at) = opened();
    let granted = reply_from(0, Some(Reply::Granted));
    assert_eq!(decide::on_reply(&mut state, at, &granted, Micros(1)), None);
    assert_eq!(decide::on_reply(&mut state, at, &granted, Micros(2)), None);
    let second = reply_from(1, Some(Reply::Granted));
    let step = decide::on_reply(&mut state, at, &second, Micros(3));
    assert_eq!(step, Some(Step::Dispatch));
}

#[test]
fn a_majority_after_the_deadline_does_not_run() {
    let (mut state, at) = opened();
    decide::on_reply(
        &mut state,
        at,
        &reply_from(0, Some(Reply::Granted)),
        Micros(1),
    );
    let late = decide::on_reply(
        &mut state,
        at,
        &reply_from(1, Some(Reply::Granted)),
        Micros(100),
    );
    let Some(Step::Refuse(refusal)) = late else {
        panic!("{late:?}");
    };
    assert_eq!(
        (refusal.reason, refusal.ran),
        (Reason::DeadlineExceeded, Ran::No)
    );
}

#[test]
fn a_refusal_without_a_majority_carries_ran_unknown() {
    let (mut state, at) = opened();
    decide::on_reply(
        &mut state,
        at,
        &reply_from(0, Some(Reply::Granted)),
        Micros(1),
    );
    decide::on_reply(&mut state, at, &reply_from(1, Some(Reply::Full)), Micros(1));
    let step = decide::on_reply(&mut state, at, &reply_from(2, None), Micros(1));
    let Some(Step::Refuse(refusal)) = step else {
        panic!("{step:?}");
    };
    assert_eq!(
        (refusal.reason, refusal.ran),
        (Reason::ClaimUnavailable, Ran::Unknown)
    );
}

#[test]
fn a_stored_response_takes_precedence_over_stale_votes() {
    let (mut state, at) = opened();
    let held = Reply::Held {
        fingerprint: Fingerprint(1, 1),
        running: true,
    };
    let done = Reply::Settled {
        fingerprint: Fingerprint(1, 1),
        outcome: StoredOutcome::Answer("a".into()),
    };
    assert_eq!(
        decide::on_reply(
            &mut state,
            at,
            &reply_from(0, Some(held.clone())),
            Micros(1)
        ),
        None
    );
    assert_eq!(
        decide::on_reply(&mut state, at, &reply_from(1, Some(held)), Micros(1)),
        None
    );
    let step = decide::on_reply(&mut state, at, &reply_from(2, Some(done)), Micros(1));
    assert_eq!(step, Some(Step::Replay("a".into())));
}
