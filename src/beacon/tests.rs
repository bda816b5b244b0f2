use {
    super::{Beacon, LiveEntries, state::SILENT_MS},
    crate::clock::Micros,
};

fn beacon(port: u16, zone: &str, beat: u64, ready: bool) -> Beacon {
    Beacon {
        vm: format!("entry-{port}"),
        zone: zone.to_owned(),
        callers: ([10, 0, 0, 1], port).into(),
        incarnation: 7,
        beat,
        ready,
    }
}

#[test]
fn a_late_datagram_does_not_bring_a_leaving_vm_back() {
    let mut seen = LiveEntries::default();
    seen.take(beacon(1, "a", 2, false), Micros(0));
    assert!(!seen.take(beacon(1, "a", 1, true), Micros(0)));
    assert!(seen.nearest("a", |_| true).is_empty());
}

#[test]
fn a_silent_vm_is_no_longer_named() {
    let mut seen = LiveEntries::default();
    seen.take(beacon(1, "a", 1, true), Micros(0));
    assert!(!seen.expire(Micros::from_millis(SILENT_MS - 1)));
    assert!(seen.expire(Micros::from_millis(SILENT_MS)));
    assert!(seen.nearest("a", |_| true).is_empty());
}

#[test]
fn callers_are_named_the_nearest_vms() {
    let mut seen = LiveEntries::default();
    seen.take(beacon(1, "a", 1, true), Micros(0));
    seen.take(beacon(2, "b", 1, true), Micros(0));
    seen.take(beacon(3, "c", 1, true), Micros(0));
    let ports = |zone: &str, near: &str| -> Vec<u16> {
        let rows = seen.nearest(zone, |other| other == near);
        rows.iter().map(std::net::SocketAddr::port).collect()
    };
    assert_eq!(ports("a", "b"), [1]);
    assert_eq!(ports("x", "b"), [2]);
    assert_eq!(ports("x", "y"), [1, 2, 3]);
}

#[test]
fn datagrams_survive_their_encoding_and_garbage_is_none() {
    let one = beacon(1, "a", 1, true);
    assert_eq!(Beacon::decode(&one.encode()), Some(one));
    crate::fuzz::check(300, |bytes: &Vec<u8>| {
        let _ = Beacon::decode(bytes);
    });
}
