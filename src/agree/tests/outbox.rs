//! Tests of the messages that wait for one peer.

use {
    super::super::{
        outbox::Outbox,
        wire::{Body, Envelope},
    },
    crate::{
        keys::DiskId,
        storage::{Entry, Position},
    },
};

fn envelope(term: u64, body: Body) -> Envelope {
    Envelope {
        cluster: 1,
        from: DiskId(1),
        boot: 1,
        term,
        origin: "127.0.0.1:70".parse().unwrap(),
        to: DiskId(2),
        body,
    }
}

/// An append of `count` entries after `prev`.
fn append(prev: u64, count: u64, commit: u64) -> Envelope {
    let entry = |index| Entry {
        at: Position { term: 1, index },
        content: vec![1].into(),
    };
    let body = Body::Append {
        prev: Position {
            term: 1,
            index: prev,
        },
        entries: (prev + 1..=prev + count).map(entry).collect(),
        commit,
        sent: commit,
    };
    envelope(1, body)
}

/// Guards against an entry that waits behind an append for each commit and each read, one round trip each: orders took
/// 400 to 750 ms to commit between regions 20 ms apart.
#[test]
fn an_entry_waits_behind_no_more_than_the_call_in_progress() {
    let mut outbox = Outbox::default();
    for commit in 0..100 {
        assert!(outbox.push(append(5, 0, commit)));
    }
    assert!(outbox.push(append(5, 2, 100)));
    for commit in 101..200 {
        assert!(outbox.push(append(7, 0, commit)));
    }
    // The entries, and the latest commit and time.
    let Some(Envelope {
        body:
            Body::Append {
                prev,
                entries,
                commit,
                sent,
            },
        ..
    }) = outbox.pop()
    else {
        panic!("no append");
    };
    assert_eq!((prev.index, entries.len(), commit, sent), (5, 2, 199, 199));
    assert_eq!(outbox.pop(), None);
}

/// Guards against a message that is lost because another of a different kind, leader or term follows.
#[test]
fn messages_other_than_appends_of_one_leader_keep_their_order_and_bound() {
    let mut outbox = Outbox::default();
    let ask = || {
        let last = Position::default();
        let body = Body::Ask {
            trial: true,
            term: 2,
            last,
        };
        envelope(1, body)
    };
    let next_term = Envelope {
        term: 2,
        ..append(5, 1, 5)
    };
    let sent = [append(5, 1, 5), ask(), ask(), append(6, 0, 6), next_term];
    for envelope in &sent {
        assert!(outbox.push(envelope.clone()));
    }
    let received: Vec<Envelope> = std::iter::from_fn(|| outbox.pop()).collect();
    assert_eq!(received, sent);
    let accepted = (0..100).filter(|_| outbox.push(ask())).count();
    assert_eq!(accepted, 16);
}
