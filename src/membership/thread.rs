//! The thread of the membership duty: one UDP socket, a round now and then.

use {
    super::{
        codec::{Codec, MOST_BYTES},
        decide,
        lease::Lease,
        messages::{Datagram, Dropped, Fault, Free, Member, Members, Message, Outgoing, Standing},
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

const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// A bound socket, before the duty starts.
#[derive(Debug)]
pub struct Bound {
    socket: UdpSocket,
    /// Address that others send to.
    pub address: SocketAddr,
}

/// Binds the membership socket.
///
/// # Errors
/// The address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<Bound> {
    let socket = UdpSocket::bind(address)?;
    let address = socket.local_addr()?;
    Ok(Bound { socket, address })
}

/// Takes the answer to a question for slots.
pub type TakeSlots = Box<dyn FnOnce(Vec<Status>) + Send>;

/// Where the duty's findings go.
pub struct Outputs {
    /// The lease of this VM.
    pub lease: Lease,
    /// The latest members.
    pub seen: watch::Sender<Arc<Members>>,
    /// Hands the members to other duties, without waiting.
    pub publish: Box<dyn FnMut(&Members) + Send>,
    /// Asks for the slots of this VM's upstreams, without waiting.
    pub ask: Box<dyn FnMut(TakeSlots) + Send>,
}

/// Addresses of this VM that others are told.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Caller listener.
    pub callers: SocketAddr,
    /// Upstream listener.
    pub upstreams: SocketAddr,
    /// Peer listener.
    pub peers: SocketAddr,
}

/// Starts the duty; it ends when its ring closes.
///
/// # Errors
/// The thread cannot start, or the secret cannot be used.
pub fn spawn(
    context: Context,
    settings: Settings,
    bound: Bound,
    addresses: Addresses,
    secret: &Secret,
    ring: Ring<Message>,
    outputs: Outputs,
) -> io::Result<JoinHandle<()>> {
    let codec = Codec::new(secret.expose().as_bytes(), &context.topology);
    let codec = codec.ok_or(io::ErrorKind::InvalidInput)?;
    let own = Member {
        name: context.vm.to_string(),
        zone: context.zone,
        members: bound.address,
        callers: addresses.callers,
        upstreams: addresses.upstreams,
        peers: addresses.peers,
        incarnation: context.incarnation,
        standing: Standing::Suspect,
        beat: 0,
        free: Vec::new(),
        version: 0,
    };
    let state = State::new(settings, own, context.clock.now());
    let (answers, answered) = ring::bounded(1);
    let duty = Duty {
        context,
        codec,
        socket: bound.socket,
        state,
        outputs,
        answers,
        answered,
    };
    duty::spawn("membership", move || duty.run(&ring))
}

struct Duty {
    context: Context,
    codec: Codec,
    socket: UdpSocket,
    state: State,
    outputs: Outputs,
    answers: ring::Sender<Vec<Status>>,
    answered: Ring<Vec<Status>>,
}

impl Duty {
    fn run(mut self, ring: &Ring<Message>) {
        let mut buffer = vec![0; MOST_BYTES];
        loop {
            let now = self.context.clock.now();
            if now < self.state.due {
                self.listen(&mut buffer, self.state.due.since(now));
                continue;
            }
            if decide::is_lapsed(&self.state, now) {
                self.report_frozen(now, &mut buffer);
            }
            if !self.take_messages(ring) {
                return;
            }
            self.round();
        }
    }

    /// What queued up while this VM stood still is of no use: its ages are wrong.
    fn report_frozen(&mut self, now: Micros, buffer: &mut [u8]) {
        self.outputs.lease.end();
        let gap = now.since(self.state.last).as_millis();
        report(Event::MEMBER_FROZEN, format_args!("{gap} ms"));
        self.context.metrics.count("member_frozen", 1);
        if self.socket.set_nonblocking(true).is_ok() {
            while self.socket.recv_from(buffer).is_ok() {}
        }
        // A socket that stays non-blocking would let the thread spin.
        if let Err(error) = self.socket.set_nonblocking(false) {
            report(Event::FATAL, format_args!("membership socket: {error}"));
        }
    }

    /// Takes everything from the ring; whether the duty goes on.
    fn take_messages(&mut self, ring: &Ring<Message>) -> bool {
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

    fn round(&mut self) {
        if let Wait::Message(rows) = self.answered.recv_within(Duration::ZERO) {
            decide::load(&mut self.state, free(&rows));
        }
        let answers = self.answers.clone();
        (self.outputs.ask)(Box::new(move |rows| drop(answers.offer(rows))));
        let now = self.context.clock.now();
        let out = decide::tick(&mut self.state, now, rand::random());
        self.send(out);
        self.publish(now);
    }

    fn listen(&mut self, buffer: &mut [u8], limit: Duration) {
        // A timeout of zero would mean none at all.
        let limit = limit.max(SHORTEST_WAIT);
        if self.socket.set_read_timeout(Some(limit)).is_err() {
            std::thread::sleep(limit);
            return;
        }
        // A timeout, or the echo of a datagram that nobody took.
        let Ok((length, address)) = self.socket.recv_from(buffer) else {
            return;
        };
        let now = self.context.clock.now();
        if decide::is_lapsed(&self.state, now) {
            return;
        }
        let metrics = &self.context.metrics;
        metrics.count("member_datagrams_in", 1);
        metrics.count("member_bytes_in", length as u64);
        match self.codec.decode(&buffer[..length], now) {
            Ok(datagram) => self.take_in(datagram, address, now),
            Err(fault) => metrics.count(fault.name(), 1),
        }
    }

    fn take_in(&mut self, datagram: Datagram, address: SocketAddr, now: Micros) {
        let joined = self.state.joined;
        match decide::receive(&mut self.state, datagram, address, now) {
            Ok(out) => self.send(out),
            Err(Dropped { fault, reply }) => {
                self.context.metrics.count(fault.name(), 1);
                if fault == Fault::OwnName {
                    report(Event::MEMBER_NAME_TAKEN, format_args!("{address}"));
                }
                self.send(reply);
            }
        }
        if !self.state.news.is_empty() || joined != self.state.joined {
            self.publish(now);
        }
    }

    fn send(&self, out: Vec<Outgoing>) {
        let now = self.context.clock.now();
        for Outgoing { to, datagram } in out {
            let bytes = self.codec.encode(datagram, now);
            let metrics = &self.context.metrics;
            metrics.count("member_bytes_out", bytes.len() as u64);
            // A datagram that cannot be sent is a lost one.
            if self.socket.send_to(&bytes, to).is_err() {
                metrics.count("member_unsent", 1);
            }
        }
    }

    fn publish(&mut self, now: Micros) {
        for (name, standing) in self.state.news.drain(..) {
            let event = match standing {
                Standing::Alive | Standing::Suspect => Event::MEMBER_UP,
                Standing::Leaving => Event::MEMBER_LEFT,
                Standing::Dead => Event::MEMBER_DOWN,
            };
            report(event, format_args!("{name}"));
        }
        if decide::serves(&self.state) {
            let lease_ms = self.state.settings.lease_ms;
            self.outputs.lease.extend(now.plus_millis(lease_ms));
        }
        let members = decide::view(&self.state, now);
        self.context.metrics.level("members", members.rows.len());
        (self.outputs.publish)(&members);
        self.outputs.seen.send_replace(Arc::new(members));
    }
}

/// Free slots by service, by rising key.
fn free(rows: &[Status]) -> Vec<Free> {
    let mut sums: Vec<Free> = Vec::new();
    for row in rows.iter().filter(|row| row.open) {
        let slots = row.limit.saturating_sub(row.taken + row.inherited);
        match sums.binary_search_by_key(&row.service, |free| free.service) {
            Ok(at) => sums[at].slots += slots,
            Err(at) => sums.insert(
                at,
                Free {
                    service: row.service,
                    slots,
                },
            ),
        }
    }
    sums
}
