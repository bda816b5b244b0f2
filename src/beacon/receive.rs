//! The thread on a control VM that receives heartbeats and maintains the list of live entry VMs.

use {
    super::{
        messages::Beacon,
        state::{HEARTBEAT_INTERVAL_MS, LiveEntries},
    },
    crate::{
        context::Context,
        duty,
        observe::{Event, report},
    },
    std::{
        io,
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        thread::JoinHandle,
        time::Duration,
    },
    tokio::sync::{oneshot, watch},
};

/// Maximum size of a datagram: two names of 64 letters and some numbers.
const MAX_DATAGRAM_BYTES: usize = 512;

/// Starts the duty, which publishes every change of the list to `published`. `zone` is the local
/// availability zone, or empty. It exits within about one heartbeat interval after `stop` closes.
///
/// # Errors
/// The socket cannot be bound, or the thread cannot start.
pub fn spawn(
    context: Context,
    address: SocketAddr,
    zone: String,
    published: watch::Sender<Arc<LiveEntries>>,
    mut stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    let socket = UdpSocket::bind(address)?;
    socket.set_read_timeout(Some(Duration::from_millis(HEARTBEAT_INTERVAL_MS)))?;
    duty::spawn("beacon", move || {
        let mut entries = LiveEntries::default();
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        while !duty::is_closed(&mut stop) {
            let received = socket.recv_from(&mut buffer);
            let now = context.clock.now();
            let mut changed = false;
            if let Ok((length, _)) = received {
                match Beacon::decode(&buffer[..length]) {
                    Some(beacon) => {
                        let (vm, ready) = (beacon.vm.clone(), beacon.ready);
                        if entries.record(beacon, now) {
                            changed = true;
                            report(Event::ENTRY_SEEN, format_args!("{vm}, ready {ready}"));
                        }
                    }
                    None => context.metrics.count("beacon_malformed", 1),
                }
            }
            if entries.expire(&zone, now) {
                changed = true;
                let live = entries.rows.len();
                report(
                    Event::ENTRY_SILENT,
                    format_args!("{live} live entry VMs remain"),
                );
            }
            if changed {
                published.send_replace(Arc::new(entries.clone()));
            }
        }
    })
}
