//! Which control VM an upstream reports to.
//!
//! It applies when many upstreams report: those that pick control VMs at random open a connection for most
//! reports, and those that stay with the first one that responds all stay with the same few.

use {crate::agree::ControlVm, std::net::SocketAddr, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Peer listener of the control VM to which upstream `id` in `zone` should report: one of its zone, if there
/// is one. Upstreams spread evenly over them, and only those of a lost control VM move.
///
/// ```
/// use siskinstep::{agree::ControlVm, catalog::receiver::receiver};
/// let control = [ControlVm { peers: "10.0.0.1:70".parse().unwrap(), zone: "a".into(), member: true }];
/// assert_eq!(receiver(&control, "u-1", "b"), Some(control[0].peers));
/// ```
#[must_use]
pub fn receiver(control: &[ControlVm], id: &str, zone: &str) -> Option<SocketAddr> {
    let score = |row: &&ControlVm| {
        let address = row.peers.to_string();
        let score = xxh3_64_with_seed(id.as_bytes(), xxh3_64_with_seed(address.as_bytes(), 0));
        (row.zone == zone, score)
    };
    control.iter().max_by_key(score).map(|row| row.peers)
}
