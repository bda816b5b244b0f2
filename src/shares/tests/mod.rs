//! Tests of the decisions.

mod flow;
mod windows;

use {
    super::{
        Limit,
        grant::{self, Grants, Start},
        messages::{LeaseRequest, RequestRow, ResponseRow},
    },
    crate::clock::Micros,
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
