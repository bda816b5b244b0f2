//! Tests of how changes of the catalogue are stored and carried.

use {
    super::super::{
        size::{pack_large, unpack},
        transport,
        wire::{Body, Content, Envelope},
    },
    crate::{
        keys::DiskId,
        policy::Rejection,
        storage::{Entry, Position},
    },
    rand::{RngCore, SeedableRng, rngs::StdRng},
};

const MIB: usize = 1 << 20;

/// Guards against a large change that a replica cannot restore, and a bound that holds before compression only.
#[test]
fn large_changes_are_compressed_and_bounded_before_and_after() {
    assert_eq!(pack_large(&[b'a'; 1_000]).unwrap(), None);
    let json = vec![b'a'; MIB];
    let packed = pack_large(&json).unwrap().unwrap();
    assert!(packed.len() < json.len() / 10);
    assert_eq!(unpack(&packed).unwrap(), json);
    let mut noise = vec![0; MIB];
    StdRng::seed_from_u64(1).fill_bytes(&mut noise);
    for json in [noise, vec![b'a'; 13 * MIB]] {
        let refused = pack_large(&json);
        assert!(matches!(refused, Err(Rejection::TooLarge { .. })));
    }
}

/// Guards against a message that expands without bound, or ends the process.
#[test]
fn malformed_and_endless_compressed_changes_are_rejected() {
    let endless = crate::pack::pack(&vec![0; 13 * MIB]).unwrap();
    assert_eq!(unpack(&endless), None);
    let packed = pack_large(&vec![b'a'; MIB]).unwrap().unwrap();
    assert_eq!(unpack(&packed[..packed.len() / 2]), None);
    crate::fuzz::check(300, |bytes: &Vec<u8>| drop(unpack(bytes)));
}

/// Guards against a replica of an earlier version that reads a compressed change, does not know it and skips it.
#[test]
fn earlier_versions_cannot_read_a_message_with_a_compressed_change() {
    let envelope = |content: Content| Envelope {
        cluster: 1,
        from: DiskId(1),
        boot: 1,
        term: 1,
        origin: "127.0.0.1:70".parse().unwrap(),
        to: DiskId(2),
        body: Body::Append {
            prev: Position::default(),
            entries: vec![Entry {
                at: Position { term: 1, index: 1 },
                content: postcard::to_stdvec(&content).unwrap().into(),
            }],
            commit: 0,
            sent: 0,
        },
    };
    let is_hexadecimal = |text: &str| text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let plain = envelope(Content::Order(vec![b'{'; 100].into()));
    let packed = envelope(Content::PackedOrder(vec![1; 100].into()));
    for (envelope, is_readable) in [(plain, true), (packed, false)] {
        let text = transport::encode(&envelope).unwrap();
        assert_eq!(is_hexadecimal(&text), is_readable);
        assert_eq!(transport::decode(&text), Some(envelope));
    }
}
