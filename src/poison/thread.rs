//! The thread of the poison duty.

use {
    super::{
        decide,
        guard::Verdicts,
        messages::{Charge, Lift, Message},
        send::{self, News},
        settings::Settings,
        state::State,
    },
    crate::{
        clock::Micros,
        context::Context,
        duty,
        edge::Secret,
        ledger::Fingerprint,
        membership::messages::MembersReceiver,
        observe::{Event, report},
        ring::{self, Outbox, Ring, Wait},
    },
    std::{
        io,
        net::{SocketAddr, TcpStream},
        sync::Arc,
        thread::JoinHandle,
        time::Duration,
    },
    tokio::sync::{oneshot, watch},
};

/// Time between two looks at what is out of date, and at upstreams with a cut connection.
const TICK: Duration = Duration::from_millis(100);
const IDLE: Duration = Duration::from_millis(250);
const PROBE_LIMIT: Duration = Duration::from_millis(50);
const NEWS: usize = 1_024;

/// How the duty reaches its peers.
#[derive(Debug)]
pub struct Wires {
    /// Secret of the peer listeners.
    pub secret: Secret,
    /// The latest members.
    pub seen: MembersReceiver,
}

/// Starts the duty and the thread that tells its peers. Both end when `stops` close.
///
/// # Errors
/// A thread cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    wires: Wires,
    ring: Ring<Message>,
    verdicts: watch::Sender<Arc<Verdicts>>,
    stops: [oneshot::Receiver<()>; 2],
) -> io::Result<[JoinHandle<()>; 2]> {
    let (out, inbox) = ring::awaited(NEWS);
    let [stop_send, stop] = stops;
    let Wires { secret, seen } = wires;
    let sending = send::spawn(context.clone(), seen, secret, inbox, stop_send)?;
    let duty = Duty {
        context,
        settings,
        out,
        verdicts,
        state: State::default(),
        probed: Micros(0),
        stop,
    };
    let thread = duty::spawn("poison", move || duty.run(&ring))?;
    Ok([sending, thread])
}

struct Duty {
    context: Context,
    settings: Settings,
    out: Outbox<News>,
    verdicts: watch::Sender<Arc<Verdicts>>,
    state: State,
    probed: Micros,
    // Admin and peer listeners hold senders of the ring beyond the end of requests.
    stop: oneshot::Receiver<()>,
}

impl Duty {
    fn run(mut self, ring: &Ring<Message>) {
        loop {
            let limit = if self.state.cuts.is_empty() {
                IDLE
            } else {
                TICK
            };
            match ring.recv_within(limit) {
                Wait::Message(message) => self.handle(message),
                Wait::Timeout if duty::is_closed(&mut self.stop) => return,
                Wait::Timeout => {}
                Wait::Closed => return,
            }
            self.watch();
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.context.clock.now();
        match message {
            Message::Cut { print, address } => self.cut(print, address),
            Message::Answered(print) => {
                // A request that an upstream survives is not the one that crashed others.
                let lift = Lift { print: Some(print) };
                self.lift(lift, true);
            }
            Message::Charged(charge) => {
                decide::charge(&mut self.state, &self.settings, charge, now);
                self.publish();
            }
            Message::Lift { lift, spread } => self.lift(lift, spread),
            Message::Read(reply) => reply(decide::list(&self.state, &self.settings, now)),
        }
    }

    fn cut(&mut self, print: Fingerprint, address: SocketAddr) {
        let now = self.context.clock.now();
        let charges = decide::cut(&mut self.state, &self.settings, print, address, now);
        if charges.is_empty() && is_refused(address) {
            return self.lost(address);
        }
        self.charge(&charges);
    }

    /// Tries upstreams with a cut connection again: a process may take a while to end.
    fn watch(&mut self) {
        let now = self.context.clock.now();
        if now.since(self.probed) < TICK {
            return;
        }
        self.probed = now;
        let charges = self.state.charges.len();
        decide::expire(&mut self.state, &self.settings, now);
        if self.state.charges.len() < charges {
            self.publish();
        }
        let mut addresses: Vec<SocketAddr> =
            self.state.cuts.iter().map(|cut| cut.address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        for address in addresses.into_iter().filter(|at| is_refused(*at)) {
            self.lost(address);
        }
    }

    fn lost(&mut self, address: SocketAddr) {
        let now = self.context.clock.now();
        let charges = decide::lost(&mut self.state, &self.settings, address, now);
        self.charge(&charges);
    }

    fn charge(&mut self, charges: &[Charge]) {
        let Some(first) = charges.first() else {
            return;
        };
        report(
            Event::UPSTREAM_LOST,
            format_args!("{}, {} requests", first.upstream, charges.len()),
        );
        self.context.metrics.count("upstreams_lost", 1);
        // First the verdict here, then the news to others.
        self.publish();
        for charge in charges {
            if self.out.offer(News::Charge(*charge)).is_err() {
                self.context.metrics.count("poison_untold", 1);
            }
        }
    }

    fn lift(&mut self, lift: Lift, spread: bool) {
        if decide::lift(&mut self.state, lift) {
            report(Event::POISON_LIFTED, format_args!("{:?}", lift.print));
            self.publish();
        }
        if spread && self.out.offer(News::Lift(lift)).is_err() {
            self.context.metrics.count("poison_untold", 1);
        }
    }

    fn publish(&self) {
        let mut verdicts = Verdicts::default();
        for (print, record) in self.state.charges.rows() {
            verdicts.charged.push(*print);
            if record.losses.len() >= self.settings.losses {
                verdicts.poisoned.push(*print);
            }
        }
        let known = Arc::clone(&self.verdicts.borrow());
        for print in &verdicts.poisoned {
            if known.poisoned.binary_search(print).is_err() {
                report(
                    Event::POISONED,
                    format_args!("{:016x}{:016x}", print.0, print.1),
                );
            }
        }
        self.context
            .metrics
            .level("poisoned", verdicts.poisoned.len());
        self.verdicts.send_replace(Arc::new(verdicts));
    }
}

/// Whether nothing listens at the address. Silence is no sign: the network may lose packets.
fn is_refused(address: SocketAddr) -> bool {
    let connected = TcpStream::connect_timeout(&address, PROBE_LIMIT);
    connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}
