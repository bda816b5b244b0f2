use {
    super::{
        Beacon, LiveEntries,
        state::{DISTANT_EXPIRY_MS, EXPIRY_MS},
    },
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
fn a_late_heartbeat_does_not_make_a_leaving_vm_ready() {
    let mut entries = LiveEntries::default();
    entries.record(beacon(1, "a", 2, false), Micros(0));
    assert!(!entries.record(beacon(1, "a", 1, true), Micros(0)));
    assert!(entries.nearest("a", |_| true).is_empty());
}

/// Guards against a delayed datagram of a process that has ended and that makes its successor, which
/// starts or leaves, look ready.
#[test]
fn a_heartbeat_of_an_earlier_incarnation_is_ignored() {
    let mut entries = LiveEntries::default();
    let mut successor = beacon(1, "a", 1, false);
    successor.incarnation = 8;
    entries.record(successor, Micros(0));
    assert!(!entries.record(beacon(1, "a", 99, true), Micros(1)));
    assert!(entries.nearest("a", |_| true).is_empty());
}

/// Guards against VMs of other zones, which send fewer heartbeats, that expire between two of them, and
/// against VMs of the local zone that stay listed for as long.
#[test]
fn vms_of_other_zones_expire_later() {
    let mut entries = LiveEntries::default();
    entries.record(beacon(1, "a", 1, true), Micros(0));
    entries.record(beacon(2, "b", 1, true), Micros(0));
    assert!(entries.expire("a", Micros::from_millis(EXPIRY_MS)));
    assert_eq!(entries.rows.len(), 1);
    assert!(!entries.expire("a", Micros::from_millis(DISTANT_EXPIRY_MS - 1)));
    assert!(entries.expire("a", Micros::from_millis(DISTANT_EXPIRY_MS)));
}

#[test]
fn a_vm_without_heartbeats_expires() {
    let mut entries = LiveEntries::default();
    entries.record(beacon(1, "a", 1, true), Micros(0));
    assert!(!entries.expire("", Micros::from_millis(EXPIRY_MS - 1)));
    assert!(entries.expire("", Micros::from_millis(EXPIRY_MS)));
    assert!(entries.nearest("a", |_| true).is_empty());
}

#[test]
fn callers_get_the_nearest_vms() {
    let mut entries = LiveEntries::default();
    entries.record(beacon(1, "a", 1, true), Micros(0));
    entries.record(beacon(2, "b", 1, true), Micros(0));
    entries.record(beacon(3, "c", 1, true), Micros(0));
    let ports = |zone: &str, near: &str| -> Vec<u16> {
        let rows = entries.nearest(zone, |other| other == near);
        rows.iter().map(std::net::SocketAddr::port).collect()
    };
    assert_eq!(ports("a", "b"), [1]);
    assert_eq!(ports("x", "b"), [2]);
    assert_eq!(ports("x", "y"), [1, 2, 3]);
}

#[test]
fn datagrams_round_trip_and_malformed_bytes_do_not_panic() {
    let one = beacon(1, "a", 1, true);
    assert_eq!(Beacon::decode(&one.encode()), Some(one));
    crate::fuzz::check(300, |bytes: &Vec<u8>| {
        let _ = Beacon::decode(bytes);
    });
}
