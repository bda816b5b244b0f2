//! Looks up the entry VMs for a caller.

use {
    super::state::LiveEntries,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::watch, time},
};

/// Time for which a look-up waits while no entry VM is known. A control VM that has just started hears of the entry VMs of
/// its zone within one interval of their beacons (400 ms), and callers wait for about one second.
const DISCOVERY: Duration = Duration::from_millis(700);

/// Addresses of the entry VMs for a caller in `zone`, as [`LiveEntries::nearest`] selects them. Waits for the first
/// beacon if none is known; empty if none arrives in time.
///
/// ```
/// use siskinstep::beacon;
/// # let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// # runtime.block_on(async {
/// let (_published, entries) = tokio::sync::watch::channel(Default::default());
/// assert!(beacon::find(entries, "north-a", |_| true).await.is_empty());
/// # });
/// ```
pub async fn find(
    mut entries: watch::Receiver<Arc<LiveEntries>>,
    zone: &str,
    is_near: impl Fn(&str) -> bool,
) -> Vec<SocketAddr> {
    let nearest = |entries: &Arc<LiveEntries>| entries.nearest(zone, &is_near);
    let is_known = entries.wait_for(|entries| !nearest(entries).is_empty());
    match time::timeout(DISCOVERY, is_known).await {
        Ok(Ok(entries)) => nearest(&entries),
        _ => Vec::new(),
    }
}
