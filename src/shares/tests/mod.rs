//! Tests of the decisions.

mod calls;
mod flow;
mod windows;

use {
    super::{
        Hold, Limit, Taken,
        grant::{self, Grants, Start},
        messages::{LeaseRequest, LeaseResponse, RequestRow, ResponseRow},
        serve::Tenures,
    },
    crate::{clock::Micros, keys::WorkspaceKey},
    std::{net::SocketAddr, sync::Arc},
};

fn row(spent: u64, held: u32, wanted: u32) -> RequestRow {
    RequestRow {
        name: "a".to_owned(),
        spent,
        held,
        wanted,
    }
}

fn call(vm: &str, sequence: u64, row: RequestRow) -> LeaseRequest {
    LeaseRequest {
        vm: vm.to_owned(),
        incarnation: 1,
        sequence,
        rows: vec![row],
    }
}

/// A leader whose bucket has been filling for a minute.
fn filled(rate: u64) -> (Grants, Micros) {
    let mut grants = Grants::new(super::Settings::default(), Start::Settled, Micros(0));
    let limit = Limit { rate, burst: 0 };
    grant::set_limits(&mut grants, [("a", limit)], Micros(0));
    (grants, Micros::from_millis(60_000))
}

fn leased(grants: &mut Grants, request: &LeaseRequest, now: Micros) -> ResponseRow {
    grant::lease(grants, request, now).unwrap().rows.remove(0)
}

/// Guards against tokens from nothing: a call whose answer is lost is followed by one that does not name the granted
/// tokens; the leader must count them once, and a repeated call must get none.
#[test]
fn lost_and_repeated_calls_create_no_tokens() {
    let (mut grants, now) = filled(100_000);
    let first = call("one", 1, row(0, 0, 5));
    assert_eq!(leased(&mut grants, &first, now).granted, 5);
    assert!(grant::lease(&mut grants, &first, now).is_err());
    assert_eq!(grants.leased(), 5);
    let second = call("one", 2, row(0, 0, 3));
    assert_eq!(leased(&mut grants, &second, now).granted, 3);
    assert_eq!(grants.leased(), 3);
}

/// Guards against rounding a part of a small limit down to nothing: of several entry VMs that want the last token, the
/// one that calls gets it.
#[test]
fn the_last_token_is_granted() {
    let (mut grants, now) = filled(1_000);
    for (sequence, vm) in ["one", "two", "three", "four", "five", "six"]
        .iter()
        .enumerate()
    {
        let request = call(vm, 1 + u64::try_from(sequence).unwrap(), row(0, 0, 1));
        let granted = leased(&mut grants, &request, now).granted;
        // A capacity of 10.25: five may be leased.
        assert_eq!(granted, u32::from(sequence < 5), "{vm}");
    }
}

/// Guards against one entry VM that takes all that there is while others are denied.
#[test]
fn tokens_are_divided_among_those_that_lack_some() {
    let (mut grants, now) = filled(100_000);
    let mut granted = [0; 4];
    for round in 1..=40 {
        for (at, total) in granted.iter_mut().enumerate() {
            let step = 25_000 * (4 * round + u64::try_from(at).unwrap());
            let request = call(["a", "b", "c", "d"][at], round, row(*total, 0, 500));
            let now = Micros(now.0 + step);
            *total += u64::from(leased(&mut grants, &request, now).granted);
        }
    }
    let most = granted.iter().max().unwrap();
    let least = granted.iter().min().unwrap();
    assert!(least * 2 > *most, "{granted:?}");
}

/// Guards against limits that stay at their former value: a lowered limit cuts the level at once.
#[test]
fn a_lowered_limit_cuts_the_level() {
    let (mut grants, now) = filled(1_000_000);
    let limit = Limit {
        rate: 1_000,
        burst: 0,
    };
    grant::set_limits(&mut grants, [("a", limit)], now);
    let request = call("one", 1, row(0, 0, 500));
    assert!(leased(&mut grants, &request, now).granted <= 5);
}

/// Guards against tokens of a former leader that are spent beside those of a new one that fills its buckets: together
/// they must not exceed the capacity.
#[test]
fn a_new_leader_leaves_room_for_the_tokens_of_the_former() {
    let limit = Limit {
        rate: 100_000,
        burst: 0,
    };
    let began = Micros::from_millis(60_000);
    // A capacity of 35 tokens: the former leader has leased 17 at most.
    for (start, ms, most) in [
        (Start::Settled, 2_499, 17),
        (Start::Unsettled, 2_499, 0),
        (Start::Unsettled, 2_511, 1),
    ] {
        let mut grants = Grants::new(super::Settings::default(), start, began);
        grant::set_limits(&mut grants, [("a", limit)], began);
        let mut total = 0;
        for sequence in 1..=20 {
            // It spends all tokens at once.
            let request = call("one", sequence, row(total, 0, 35));
            let answer = leased(&mut grants, &request, began.plus_millis(ms));
            total += u64::from(answer.granted);
        }
        assert_eq!(total, most, "{start:?} after {ms} ms");
    }
}

/// Guards against tokens that a new leader takes for its own: those of a former leader that an entry VM returns may
/// have been written off, so they must not add to the level.
#[test]
fn returned_tokens_of_a_former_leader_are_gone() {
    let began = Micros::from_millis(60_000);
    let mut grants = Grants::new(super::Settings::default(), Start::Settled, began);
    let limit = Limit {
        rate: 1,
        burst: 100_000,
    };
    grant::set_limits(&mut grants, [("a", limit)], began);
    for (sequence, held) in [(1, 9), (2, 9), (3, 0)] {
        let request = call("one", sequence, row(0, held, 0));
        leased(&mut grants, &request, began.plus_millis(sequence));
    }
    let request = call("two", 1, row(0, 0, 9));
    assert_eq!(
        leased(&mut grants, &request, began.plus_millis(9)).granted,
        0
    );
}

/// Guards against tokens that stay leased to a process that has ended, so that the next one is denied.
#[test]
fn tokens_of_a_former_incarnation_are_written_off() {
    let (mut grants, now) = filled(1_000);
    for sequence in 1..=5 {
        let held = u32::try_from(sequence - 1).unwrap();
        leased(&mut grants, &call("one", sequence, row(0, held, 1)), now);
    }
    assert_eq!(grants.leased(), 5);
    let mut next = call("one", 1, row(0, 0, 1));
    next.incarnation = 2;
    assert_eq!(leased(&mut grants, &next, now).granted, 1);
    assert_eq!(grants.leased(), 1);
}

/// Guards against tokens that an entry VM still uses after the leader has written them off, and against answers that
/// arrive after the next call.
#[test]
fn tokens_expire_and_late_answers_are_dropped() {
    let mut keys = slotmap::SlotMap::with_key();
    let key: WorkspaceKey = keys.insert(());
    let name: Arc<str> = "a".into();
    let at = |ms: u64| Micros::from_millis(60_000 + ms);
    for (answered_ms, taken_ms, is_served) in
        [(499, 1_999, true), (500, 600, false), (499, 2_000, false)]
    {
        let mut hold = Hold::new("one", 1);
        assert_eq!(hold.take(key, &name, at(0)), Taken::Wait);
        let request = hold.next_call(at(0)).unwrap();
        assert!(hold.next_call(at(499)).is_none());
        let response = LeaseResponse {
            sequence: request.sequence,
            rows: vec![ResponseRow {
                name: "a".to_owned(),
                granted: 1,
                retry_ms: 0,
            }],
        };
        hold.answered(&response, at(answered_ms));
        let token = hold.take_waiting(key, at(taken_ms));
        assert_eq!(token.is_some(), is_served, "{answered_ms} {taken_ms}");
    }
}

/// Guards against an entry VM that counts spent tokens anew and so appears to return those that it has spent.
#[test]
fn a_new_count_of_spent_tokens_is_larger() {
    let mut keys = slotmap::SlotMap::with_key();
    let key: WorkspaceKey = keys.insert(());
    let name: Arc<str> = "a".into();
    let mut hold = Hold::new("one", 1);
    let (mut grants, now) = filled(100_000);
    hold.take(key, &name, now);
    let request = hold.next_call(now).unwrap();
    hold.answered(&grant::lease(&mut grants, &request, now).unwrap(), now);
    assert!(hold.take_waiting(key, now).is_some());
    hold.retain(|other| other != key);
    hold.take(key, &name, now);
    let again = hold.next_call(now).unwrap();
    assert!(again.rows[0].spent > request.rows[0].spent);
}

/// Guards against a leader that takes quick changes of leaders for one, whose tokens may all be in use.
#[test]
fn a_leader_after_a_short_tenure_is_unsettled() {
    let [one, two] = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let at = |ms: u64| Micros::from_millis(60_000 + ms);
    let mut tenures = Tenures::default();
    tenures.observe(Some(one), at(0));
    tenures.observe(None, at(2_400));
    assert_eq!(tenures.begin(two, at(2_600)), Start::Settled);
    tenures.observe(Some(two), at(2_700));
    tenures.observe(Some(one), at(5_000));
    assert_eq!(tenures.begin(two, at(5_100)), Start::Unsettled);
}

/// Guards against spent tokens that return to the bucket: the count of an entry VM that forgot the workspace begins anew,
/// so the leader does not know how many were spent.
#[test]
fn a_smaller_count_of_spent_tokens_returns_none() {
    let (mut grants, now) = filled(1_000);
    let first = call("one", 1, row(7, 0, 5));
    assert_eq!(leased(&mut grants, &first, now).granted, 3);
    leased(&mut grants, &call("one", 2, row(0, 0, 0)), now);
    let mut total = 0;
    for sequence in 1..=20 {
        let request = call("two", sequence, row(total, 0, 9));
        total += u64::from(leased(&mut grants, &request, now).granted);
    }
    // Ten were in the bucket.
    assert_eq!(total, 7);
}

/// Guards against calls in a loop: one that nobody waits for is made 400 ms after the last, and none within 50 ms after
/// a failed one.
#[test]
fn calls_are_spaced() {
    let mut keys = slotmap::SlotMap::with_key();
    let key: WorkspaceKey = keys.insert(());
    let name: Arc<str> = "a".into();
    let at = |ms: u64| Micros::from_millis(60_000 + ms);
    let mut hold = Hold::new("one", 1);
    let (mut grants, _) = filled(100_000);
    hold.take(key, &name, at(0));
    hold.take(key, &name, at(0));
    let request = hold.next_call(at(0)).unwrap();
    let response = grant::lease(&mut grants, &request, at(20)).unwrap();
    hold.answered(&response, at(40));
    assert!(hold.take_waiting(key, at(40)).is_some());
    assert!(hold.take_waiting(key, at(40)).is_some());
    assert!(hold.next_call(at(399)).is_none());
    assert!(hold.next_call(at(400)).is_some());
    hold.failed(at(600));
    while let Taken::Token(_) = hold.take(key, &name, at(601)) {}
    assert!(hold.next_call(at(649)).is_none());
    assert!(hold.next_call(at(650)).is_some());
}
