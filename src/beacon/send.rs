//! The thread on an entry VM that sends heartbeats to the control VMs.

use {
    super::{messages::Beacon, state::HEARTBEAT_INTERVAL_MS},
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
    /// Addresses on which the control VMs receive heartbeats.
    Control(Vec<SocketAddr>),
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
    let mut control: Vec<SocketAddr> = Vec::new();
    duty::spawn("beacon", move || {
        let interval = Duration::from_millis(HEARTBEAT_INTERVAL_MS);
        let mut next = Instant::now();
        loop {
            match ring.recv_within(next.saturating_duration_since(Instant::now())) {
                Wait::Message(Message::Control(addresses)) => {
                    let is_new = control != addresses;
                    control = addresses;
                    if !is_new {
                        continue;
                    }
                }
                Wait::Message(Message::Ready(ready)) => local.ready = ready,
                Wait::Timeout => {}
                Wait::Closed => return,
            }
            next = Instant::now() + interval;
            local.beat += 1;
            let bytes = local.encode();
            for address in &control {
                // The next heartbeat compensates for a lost datagram.
                let _ = socket.send_to(&bytes, address);
            }
        }
    })
}
