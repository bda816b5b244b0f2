//! Tests of where calls are handed over.

mod evacuation;
mod lanes;

use {
    super::decide::{MAX_TRIES, Next, next},
    crate::agree::Unavailable,
    std::net::SocketAddr,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Guards against a control VM that answers "unavailable" although it knows the leader, and one that sends
/// calls to itself over the network.
#[test]
fn calls_go_to_the_leader_and_stay_local_at_the_leader_or_without_one() {
    let (local, leader) = (address(1), address(2));
    assert_eq!(next(0, None, Some(leader), local), Next::Remote(leader));
    assert_eq!(next(0, None, Some(local), local), Next::Local);
    assert_eq!(next(0, None, None, local), Next::Local);
}

/// Guards against an order that runs twice, and an order that is lost because the leader changed.
#[test]
fn a_call_is_sent_again_only_if_it_was_provably_not_accepted() {
    let (local, leader) = (address(1), address(2));
    let moved = Unavailable::NotLeader { leader: None };
    assert_eq!(
        next(1, Some(&moved), Some(leader), local),
        Next::Remote(leader)
    );
    assert_eq!(
        next(1, Some(&Unavailable::NoQuorum), None, local),
        Next::Fail(Unavailable::NoQuorum)
    );
    for reason in [Unavailable::Unknown, Unavailable::Busy] {
        let decided = next(1, Some(&reason), Some(leader), local);
        assert_eq!(decided, Next::Fail(reason));
    }
    assert_eq!(
        next(MAX_TRIES, Some(&moved), Some(leader), local),
        Next::Fail(moved)
    );
}
