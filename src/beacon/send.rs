//! The thread on an entry VM that sends heartbeats to the control VMs.

use {
    super::{
        messages::Beacon,
        state::{DISTANT_INTERVAL_MS, HEARTBEAT_INTERVAL_MS},
    },
    crate::{
        duty,
        ring::{Ring, Wait},
    },
    std::{
        io,
        net::{SocketAddr, UdpSocket},
        thread::JoinHandle,
        time::{Duration, Instant},
    },
};

/// Messages to the duty.
#[derive(Clone, Debug)]
pub enum Message {
    /// Addresses on which the control VMs receive heartbeats, and whether each is in the local zone.
    Control(Vec<(SocketAddr, bool)>),
    /// Whether this VM accepts requests of callers; sent to every control VM immediately.
    Ready(bool),
}

/// Starts the duty, which exits when its ring closes. `local` is the initial state of this VM.
///
/// # Errors
/// The socket cannot be bound, or the thread cannot start.
pub fn spawn(mut local: Beacon, ring: Ring<Message>) -> io::Result<JoinHandle<()>> {
    let socket = UdpSocket::bind((local.callers.ip(), 0))?;
    socket.set_nonblocking(true)?;
    let mut control: Vec<(SocketAddr, bool)> = Vec::new();
    duty::spawn("beacon", move || {
        let interval = Duration::from_millis(HEARTBEAT_INTERVAL_MS);
        let mut next = Instant::now();
        let mut next_distant = next;
        loop {
            let mut is_urgent = false;
            match ring.recv_within(next.saturating_duration_since(Instant::now())) {
                Wait::Message(Message::Control(addresses)) => {
                    let is_new = control != addresses;
                    control = addresses;
                    if !is_new {
                        continue;
                    }
                    is_urgent = true;
                }
                Wait::Message(Message::Ready(ready)) => {
                    local.ready = ready;
                    is_urgent = true;
                }
                Wait::Timeout => {}
                Wait::Closed => return,
            }
            let now = Instant::now();
            next = now + interval;
            let reaches_all = is_urgent || now >= next_distant;
            if reaches_all {
                next_distant = now + Duration::from_millis(DISTANT_INTERVAL_MS);
            }
            local.beat += 1;
            let bytes = local.encode();
            for (address, is_near) in &control {
                if *is_near || reaches_all {
                    // The next heartbeat compensates for a lost datagram.
                    let _ = socket.send_to(&bytes, address);
                }
            }
        }
    })
}
