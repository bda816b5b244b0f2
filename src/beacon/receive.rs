//! The thread on a control VM that remembers who serves.

use {
    super::{
        messages::Beacon,
        state::{BEAT_MS, LiveEntries},
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

/// A datagram holds two names of 64 letters and some numbers.
const MOST_BYTES: usize = 512;

/// Starts the duty, which publishes every change; it ends soon after `stop` closes.
///
/// # Errors
/// The socket cannot be bound, or the thread cannot start.
pub fn spawn(
    context: Context,
    address: SocketAddr,
    seen: watch::Sender<Arc<LiveEntries>>,
    mut stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    let socket = UdpSocket::bind(address)?;
    socket.set_read_timeout(Some(Duration::from_millis(BEAT_MS)))?;
    duty::spawn("beacon", move || {
        let mut known = LiveEntries::default();
        let mut buffer = [0; MOST_BYTES];
        while !duty::is_closed(&mut stop) {
            let got = socket.recv_from(&mut buffer);
            let now = context.clock.now();
            let mut changed = false;
            if let Ok((length, _)) = got {
                match Beacon::decode(&buffer[..length]) {
                    Some(beacon) => {
                        let (vm, ready) = (beacon.vm.clone(), beacon.ready);
                        if known.take(beacon, now) {
                            changed = true;
                            report(Event::ENTRY_SEEN, format_args!("{vm}, ready {ready}"));
                        }
                    }
                    None => context.metrics.count("beacon_malformed", 1),
                }
            }
            if known.expire(now) {
                changed = true;
                let left = known.rows.len();
                report(Event::ENTRY_SILENT, format_args!("{left} entry VMs left"));
            }
            if changed {
                seen.send_replace(Arc::new(known.clone()));
            }
        }
    })
}
