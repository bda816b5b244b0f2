//! Tests of the votes, the file and the joining of blank ledgers.

use {
    super::{
        decide::{apply, merge},
        encode::{Record, encode, recover},
        join::{Plan, QUARANTINE_MS, plan},
        messages::{Attempt, Fingerprint, Order, Reply, Row, Status, Verdict, What},
        settings::Settings,
        state::Book,
    },
    bytes::Bytes,
};

const A: Attempt = Attempt(1, 1);
const B: Attempt = Attempt(2, 2);

fn book(sure: bool) -> Book {
    Book::new(status(7, sure))
}

fn claim(key: &'static str, attempt: Attempt) -> Order {
    Order::Claim {
        key: Bytes::from(key),
        print: Fingerprint(1, 1),
        attempt,
        run_ms: 100,
    }
}

fn row(attempt: Attempt, what: What) -> Row {
    Row {
        key: "k".into(),
        print: Fingerprint(1, 1),
        attempt,
        until: 0,
        expires: u64::MAX,
        what,
    }
}

#[test]
fn a_full_ledger_grants_nothing_more_and_forgets_after_the_expiry() {
    let settings = Settings {
        keys: 1,
        ..Settings::default()
    };
    let mut book = book(true);
    assert_eq!(
        apply(&mut book, settings, &claim("k", A), 0).0,
        Reply::Granted
    );
    assert_eq!(apply(&mut book, settings, &claim("j", B), 1).0, Reply::Full);
    let expired = settings.expiry_ms;
    assert_eq!(
        apply(&mut book, settings, &claim("j", B), expired).0,
        Reply::Granted
    );
    assert_eq!((book.len(), book.get(b"k")), (1, None));
}

#[test]
fn bytes_are_counted_and_given_back() {
    let settings = Settings::default();
    let mut book = book(true);
    let _ = apply(&mut book, settings, &claim("k", A), 0);
    let settle = Order::Settle {
        key: "k".into(),
        print: Fingerprint(1, 1),
        attempt: A,
        verdict: Verdict::Answer(Bytes::from(vec![0; 1_000])),
    };
    let _ = apply(&mut book, settings, &settle, 0);
    assert!(book.bytes > 1_000);
    book.expire(settings.expiry_ms);
    assert_eq!(book.bytes, 0);
}

#[test]
fn a_released_vote_is_not_granted_again_to_a_late_claim() {
    let mut book = book(true);
    let release = Order::Release {
        key: "k".into(),
        attempt: A,
    };
    let _ = apply(&mut book, Settings::default(), &release, 0);
    let (late, _) = apply(&mut book, Settings::default(), &claim("k", A), 0);
    assert!(matches!(late, Reply::Held { .. }));
    let (other, _) = apply(&mut book, Settings::default(), &claim("k", B), 0);
    assert_eq!(other, Reply::Granted);
}

#[test]
fn copied_votes_in_conflict_can_not_be_released() {
    let mut book = book(false);
    let _ = merge(&mut book, row(A, What::Held));
    let _ = merge(&mut book, row(B, What::Held));
    for attempt in [A, B] {
        let key = "k".into();
        let _ = apply(
            &mut book,
            Settings::default(),
            &Order::Release { key, attempt },
            0,
        );
    }
    assert_eq!(book.get(b"k").unwrap().what, What::Settled(Verdict::Lost));
}

#[test]
fn a_ledger_without_memory_grants_nothing() {
    let mut book = book(false);
    let (reply, row) = apply(&mut book, Settings::default(), &claim("k", A), 0);
    assert_eq!((reply, row), (Reply::Unsure, None));
    let _ = merge(&mut book, self::row(A, What::Held));
    let (reply, _) = apply(&mut book, Settings::default(), &claim("k", A), 0);
    assert!(matches!(reply, Reply::Held { .. }));
}

fn status(incarnation: u64, sure: bool) -> Status {
    Status {
        incarnation,
        sure,
        ..Status::default()
    }
}

fn plan_of(me: u64, others: &[Option<Status>; 2], age_ms: u64) -> Plan {
    let me = status(me, false);
    plan(&me, others, age_ms, 86_400_000)
}

#[test]
fn a_blank_ledger_copies_from_all_that_a_lost_vote_may_stand_on() {
    let sure = |at| Some(status(at, true));
    let both = Plan::Copy(vec![0, 1]);
    assert_eq!(plan_of(9, &[sure(1), sure(2)], QUARANTINE_MS), both);
    assert_eq!(
        plan_of(9, &[sure(1), sure(2)], QUARANTINE_MS - 1),
        Plan::Wait
    );
    assert_eq!(plan_of(9, &[sure(1), None], QUARANTINE_MS), Plan::Wait);
    let blank = Some(status(2, false));
    assert_eq!(plan_of(9, &[sure(1), blank], QUARANTINE_MS), Plan::Wait);
    assert_eq!(plan_of(9, &[None, None], 86_400_000), Plan::Copy(vec![]));
}

#[test]
fn a_group_is_founded_only_by_blank_ledgers_all_of_which_answer() {
    let blank = |at| Some(status(at, false));
    let founders = vec![1, 2, 9];
    let found = Plan::Found(founders.clone());
    assert_eq!(plan_of(9, &[blank(1), blank(2)], 0), found);
    assert_eq!(plan_of(9, &[blank(1), None], QUARANTINE_MS), Plan::Wait);
    let founded = || {
        Some(Status {
            founders: founders.clone(),
            ..status(1, true)
        })
    };
    assert_eq!(plan_of(9, &[founded(), None], 0), found);
    assert_eq!(plan_of(8, &[founded(), None], QUARANTINE_MS), Plan::Wait);
}

fn file() -> (Vec<Record>, Vec<u8>, Vec<usize>) {
    let records: Vec<Record> = [What::Held, What::Free, What::Settled(Verdict::Lost)]
        .map(|what| Record::Put(row(A, what)))
        .into();
    let (mut bytes, mut ends) = (Vec::new(), vec![0]);
    for record in &records {
        encode(record, &mut bytes);
        ends.push(bytes.len());
    }
    (records, bytes, ends)
}

#[test]
fn a_file_cut_anywhere_yields_its_whole_frames() {
    let (records, bytes, ends) = file();
    for cut in 0..=bytes.len() {
        let recovered = recover(&bytes[..cut]);
        let whole = ends.iter().filter(|end| **end <= cut).count() - 1;
        assert_eq!(recovered.records, records[..whole]);
        assert_eq!((recovered.length, recovered.damaged), (ends[whole], false));
    }
}

#[test]
fn damage_before_whole_frames_is_told_from_a_torn_tail() {
    let (_, bytes, ends) = file();
    for at in 0..ends[2] {
        let mut broken = bytes.clone();
        broken[at] ^= 4;
        assert!(recover(&broken).damaged, "byte {at}");
    }
}

#[test]
fn no_bytes_make_recovery_fail() {
    bolero::check!()
        .with_iterations(500)
        .for_each(|tail: &[u8]| {
            let (records, mut bytes, _) = file();
            bytes.extend(tail);
            assert!(recover(&bytes).records.starts_with(&records));
        });
}
