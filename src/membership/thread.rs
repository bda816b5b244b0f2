//! Thread of the membership duty: receives datagrams on one UDP socket and runs the periodic
//! rounds.

use {
    super::{
        codec::{Codec, MAX_DATAGRAM_BYTES},
        decide,
        lease::Lease,
        messages::{
            Datagram, DropReason, Dropped, FreeSlots, Member, MemberStatus, Members, Message,
            Outgoing,
        },
        settings::Settings,
        state::State,
    },
    crate::{
        clock::Micros,
        context::Context,
        duty,
        edge::Secret,
        observe::{Event, report},
        ring::{self, Ring, Wait},
        slots::Status,
    },
    std::{
        io,
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        thread::JoinHandle,
        time::Duration,
    },
    tokio::sync::watch,
};

const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);

/// The bound membership socket, before the duty starts.
#[derive(Debug)]
pub struct BoundSocket {
    socket: UdpSocket,
    /// Local address of the socket, to which other members send.
    pub address: SocketAddr,
}

/// Binds the membership socket.
///
/// # Errors
/// The address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<BoundSocket> {
    let socket = UdpSocket::bind(address)?;
    let address = socket.local_addr()?;
    Ok(BoundSocket { socket, address })
}

/// Callback that receives the requested slots.
pub type SlotsCallback = Box<dyn FnOnce(Vec<Status>) + Send>;

/// Outputs of the duty.
pub struct Outputs {
    /// Lease of the local VM.
    pub lease: Lease,
    /// Sender of the latest members.
    pub members: watch::Sender<Arc<Members>>,
    /// Sends the members to other duties, without waiting.
    pub publish: Box<dyn FnMut(&Members) + Send>,
    /// Requests the slots of the local VM's upstreams, without waiting.
    pub query_slots: Box<dyn FnMut(SlotsCallback) + Send>,
}

/// Addresses of the local VM that are sent to other members.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Caller listener.
    pub callers: SocketAddr,
    /// Upstream listener.
    pub upstreams: SocketAddr,
    /// Peer listener.
    pub peers: SocketAddr,
}

/// Starts the duty, whose thread exits when its ring closes.
///
/// # Errors
/// The thread cannot start, or the secret cannot be used as a MAC key.
pub fn spawn(
    context: Context,
    settings: Settings,
    bound: BoundSocket,
    addresses: Addresses,
    secret: &Secret,
    ring: Ring<Message>,
    outputs: Outputs,
) -> io::Result<JoinHandle<()>> {
    let codec = Codec::new(secret.expose().as_bytes(), &context.topology);
    let codec = codec.ok_or(io::ErrorKind::InvalidInput)?;
    let local = Member {
        name: context.vm.to_string(),
        zone: context.zone,
        members: bound.address,
        callers: addresses.callers,
        upstreams: addresses.upstreams,
        peers: addresses.peers,
        incarnation: context.incarnation,
        status: MemberStatus::Suspect,
        heartbeat: 0,
        free_slots: Vec::new(),
        version: 0,
    };
    let state = State::new(settings, local, context.clock.now());
    let (slots_sender, slots_ring) = ring::bounded(1);
    let duty = Duty {
        context,
        codec,
        socket: bound.socket,
        state,
        outputs,
        slots_sender,
        slots_ring,
    };
    duty::spawn("membership", move || duty.run(&ring))
}

struct Duty {
    context: Context,
    codec: Codec,
    socket: UdpSocket,
    state: State,
    outputs: Outputs,
    slots_sender: ring::Sender<Vec<Status>>,
    slots_ring: Ring<Vec<Status>>,
}

impl Duty {
    fn run(mut self, ring: &Ring<Message>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let now = self.context.clock.now();
            if now < self.state.next_round {
                self.receive_datagram(&mut buffer, self.state.next_round.since(now));
                continue;
            }
            if decide::is_lease_expired(&self.state, now) {
                self.handle_freeze(now, &mut buffer);
            }
            if !self.drain_messages(ring) {
                return;
            }
            self.run_round();
        }
    }

    /// Revokes the lease and discards the datagrams that were queued while the local VM was frozen:
    /// the ages that they carry are out of date.
    fn handle_freeze(&mut self, now: Micros, buffer: &mut [u8]) {
        self.outputs.lease.revoke();
        let gap = now.since(self.state.last_round).as_millis();
        report(Event::MEMBER_FROZEN, format_args!("{gap} ms"));
        self.context.metrics.count("member_frozen", 1);
        if self.socket.set_nonblocking(true).is_ok() {
            while self.socket.recv_from(buffer).is_ok() {}
        }
        // A socket that stays non-blocking would make the thread spin.
        if let Err(error) = self.socket.set_nonblocking(false) {
            report(Event::FATAL, format_args!("membership socket: {error}"));
        }
    }

    /// Handles every message in the ring. Returns `false` if the ring is closed.
    fn drain_messages(&mut self, ring: &Ring<Message>) -> bool {
        loop {
            match ring.recv_within(Duration::ZERO) {
                Wait::Message(message) => self.handle(message),
                Wait::Timeout => return true,
                Wait::Closed => return false,
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Version(version) => decide::set_version(&mut self.state, version),
            Message::Leaving => {
                let now = self.context.clock.now();
                let out = decide::leave(&mut self.state, now, rand::random());
                self.send(out);
            }
        }
    }

    fn run_round(&mut self) {
        if let Wait::Message(rows) = self.slots_ring.recv_within(Duration::ZERO) {
            decide::set_free_slots(&mut self.state, free_slots(&rows));
        }
        let slots_sender = self.slots_sender.clone();
        (self.outputs.query_slots)(Box::new(move |rows| drop(slots_sender.offer(rows))));
        let now = self.context.clock.now();
        let out = decide::tick(&mut self.state, now, rand::random());
        self.send(out);
        self.publish(now);
    }

    fn receive_datagram(&mut self, buffer: &mut [u8], limit: Duration) {
        // `set_read_timeout` rejects a timeout of zero.
        let limit = limit.max(MIN_READ_TIMEOUT);
        if self.socket.set_read_timeout(Some(limit)).is_err() {
            std::thread::sleep(limit);
            return;
        }
        // A timeout, or an ICMP error for an earlier datagram that was not delivered.
        let Ok((length, address)) = self.socket.recv_from(buffer) else {
            return;
        };
        let now = self.context.clock.now();
        if decide::is_lease_expired(&self.state, now) {
            return;
        }
        let metrics = &self.context.metrics;
        metrics.count("member_datagrams_in", 1);
        metrics.count("member_bytes_in", length as u64);
        match self.codec.decode(&buffer[..length], now) {
            Ok(datagram) => self.handle_datagram(datagram, address, now),
            Err(reason) => metrics.count(reason.counter_name(), 1),
        }
    }

    fn handle_datagram(&mut self, datagram: Datagram, address: SocketAddr, now: Micros) {
        let joined = self.state.joined;
        match decide::receive(&mut self.state, datagram, address, now) {
            Ok(out) => self.send(out),
            Err(Dropped { reason, reply }) => {
                self.context.metrics.count(reason.counter_name(), 1);
                if reason == DropReason::DuplicateName {
                    report(Event::MEMBER_NAME_TAKEN, format_args!("{address}"));
                }
                self.send(reply);
            }
        }
        if !self.state.status_changes.is_empty() || joined != self.state.joined {
            self.publish(now);
        }
    }

    fn send(&self, out: Vec<Outgoing>) {
        let now = self.context.clock.now();
        for Outgoing { to, datagram } in out {
            let bytes = self.codec.encode(datagram, now);
            let metrics = &self.context.metrics;
            metrics.count("member_bytes_out", bytes.len() as u64);
            // A datagram that cannot be sent is treated as lost.
            if self.socket.send_to(&bytes, to).is_err() {
                metrics.count("member_unsent", 1);
            }
        }
    }

    fn publish(&mut self, now: Micros) {
        for (name, status) in self.state.status_changes.drain(..) {
            let event = match status {
                MemberStatus::Alive | MemberStatus::Suspect => Event::MEMBER_UP,
                MemberStatus::Leaving => Event::MEMBER_LEFT,
                MemberStatus::Dead => Event::MEMBER_DOWN,
            };
            report(event, format_args!("{name}"));
        }
        if decide::can_serve(&self.state) {
            let lease_ms = self.state.settings.lease_ms;
            self.outputs.lease.extend(now.plus_millis(lease_ms));
        }
        let members = decide::view(&self.state, now);
        self.context
            .metrics
            .set_gauge("members", members.rows.len());
        (self.outputs.publish)(&members);
        self.outputs.members.send_replace(Arc::new(members));
    }
}

/// Sums the free slots of open upstreams by service, in ascending order of keys.
fn free_slots(rows: &[Status]) -> Vec<FreeSlots> {
    let mut sums: Vec<FreeSlots> = Vec::new();
    for row in rows.iter().filter(|row| row.open) {
        let slots = row.limit.saturating_sub(row.taken + row.inherited);
        match sums.binary_search_by_key(&row.service, |free| free.service) {
            Ok(at) => sums[at].slots += slots,
            Err(at) => sums.insert(
                at,
                FreeSlots {
                    service: row.service,
                    slots,
                },
            ),
        }
    }
    sums
}
