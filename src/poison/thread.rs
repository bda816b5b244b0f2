//! Thread of the poison duty.

use {
    super::{
        decide,
        messages::{Charge, Charges, Followed, Lift, Message, Process},
        monitor::Verdicts,
        send::{self, PeerUpdate, Recipients},
        settings::Settings,
        state::State,
    },
    crate::{
        clock::Micros,
        context::Context,
        duty,
        edge::Secret,
        ledger::Fingerprint,
        observe::{Event, report},
        ring::{self, AsyncSender, Ring, Wait},
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

/// Interval between removals of expired entries, and between probes of upstreams with a cut
/// connection.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Receive timeout while there are no cuts.
const IDLE: Duration = Duration::from_millis(250);
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);
const MAX_QUEUED_UPDATES: usize = 1_024;

/// Access of the duty to its peers.
#[derive(Debug)]
pub struct Dependencies {
    /// Secret of the peer listeners.
    pub secret: Secret,
    /// Peers that receive charges and lifts.
    pub recipients: Recipients,
}

/// Starts the duty and the thread that notifies its peers. Both exit when `stops` close.
///
/// # Errors
/// A thread cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    deps: Dependencies,
    ring: Ring<Message>,
    verdicts: watch::Sender<Arc<Verdicts>>,
    stops: [oneshot::Receiver<()>; 2],
) -> io::Result<[JoinHandle<()>; 2]> {
    let (updates, receiver) = ring::bounded_async(MAX_QUEUED_UPDATES);
    let [stop_send, stop] = stops;
    let Dependencies { secret, recipients } = deps;
    let sending = send::spawn(context.clone(), recipients, secret, receiver, stop_send)?;
    let duty = Duty {
        context,
        settings,
        updates,
        verdicts,
        state: State::default(),
        followed: None,
        last_probe: Micros(0),
        stop,
    };
    let thread = duty::spawn("poison", move || duty.run(&ring))?;
    Ok([sending, thread])
}

struct Duty {
    context: Context,
    settings: Settings,
    updates: AsyncSender<PeerUpdate>,
    verdicts: watch::Sender<Arc<Verdicts>>,
    state: State,
    /// What the latest catalogue says, where one is followed.
    followed: Option<Followed>,
    last_probe: Micros,
    // Needed because admin and peer listeners hold senders of the ring until after shutdown of the
    // request path.
    stop: oneshot::Receiver<()>,
}

impl Duty {
    fn run(mut self, ring: &Ring<Message>) {
        loop {
            let timeout = if self.state.cuts.is_empty() {
                IDLE
            } else {
                PROBE_INTERVAL
            };
            match ring.recv_within(timeout) {
                Wait::Message(message) => self.handle(message),
                Wait::Timeout if duty::is_closed(&mut self.stop) => return,
                Wait::Timeout => {}
                Wait::Closed => return,
            }
            self.probe();
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.context.clock.now();
        match message {
            Message::Cut {
                fingerprint,
                process,
            } => self.cut(fingerprint, process),
            Message::Lost(address) => self.lost(address),
            Message::Responded(fingerprint) => {
                // A request that an upstream served is not the one that crashed others.
                let lift = Lift {
                    fingerprint: Some(fingerprint),
                    base: None,
                };
                self.lift(lift, true);
            }
            Message::Charged(charges) => {
                for charge in charges {
                    decide::charge(&mut self.state, &self.settings, charge, now);
                }
                self.publish();
            }
            Message::Catalog(followed) => self.follow(followed),
            Message::Lift { lift, notify_peers } => self.lift(lift, notify_peers),
            Message::Read(reply) => reply(decide::list(&self.state, &self.settings, now)),
        }
    }

    fn cut(&mut self, fingerprint: Fingerprint, process: Process) {
        let now = self.context.clock.now();
        let charges = decide::cut(&mut self.state, &self.settings, fingerprint, process, now);
        if charges.is_empty() && self.settings.probes && is_refused(process.address) {
            return self.lost(process.address);
        }
        self.charge(charges);
    }

    /// Takes over the charges of a newer catalogue.
    fn follow(&mut self, followed: Followed) {
        let has_changed = self
            .followed
            .as_ref()
            .is_none_or(|known| known.charges != followed.charges);
        let now = self.context.clock.now();
        let replicated = (followed.revision, &*followed.charges);
        decide::replicate(&mut self.state, &self.settings, replicated, now);
        self.followed = Some(followed);
        if has_changed {
            self.publish();
        }
    }

    /// Whether the upstream at this address ends on order: it is leaving, or has left.
    fn is_leaving(&self, address: SocketAddr) -> bool {
        let followed = self.followed.as_ref();
        followed.is_some_and(|followed| followed.serving.binary_search(&address).is_err())
    }

    /// Removes expired entries and probes upstreams with a cut connection, as a crashing process
    /// may take a while to close its listener.
    fn probe(&mut self) {
        let now = self.context.clock.now();
        if now.since(self.last_probe) < PROBE_INTERVAL {
            return;
        }
        self.last_probe = now;
        let charges = self.state.charges.len();
        decide::expire(&mut self.state, &self.settings, now);
        if self.state.charges.len() < charges {
            self.publish();
        }
        if !self.settings.probes {
            return;
        }
        let mut addresses: Vec<SocketAddr> = self
            .state
            .cuts
            .iter()
            .map(|cut| cut.process.address)
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        for address in addresses.into_iter().filter(|at| is_refused(*at)) {
            self.lost(address);
        }
    }

    fn lost(&mut self, address: SocketAddr) {
        if self.is_leaving(address) {
            return decide::forget_cuts(&mut self.state, address);
        }
        let now = self.context.clock.now();
        let charges = decide::lost(&mut self.state, &self.settings, address, now);
        self.charge(charges);
    }

    fn charge(&mut self, charges: Vec<Charge>) {
        let Some(first) = charges.first() else {
            return;
        };
        report(
            Event::UPSTREAM_LOST,
            format_args!("{}, {} requests", first.upstream, charges.len()),
        );
        self.context.metrics.count("upstreams_lost", 1);
        // Publishes the local verdicts before the peers are notified.
        self.publish();
        let update = PeerUpdate::Charge(Charges { charges });
        if self.updates.offer(update).is_err() {
            self.context.metrics.count("poison_untold", 1);
        }
    }

    fn lift(&mut self, lift: Lift, notify_peers: bool) {
        let lift = Lift {
            base: self.followed.is_some().then_some(self.state.revision),
            ..lift
        };
        if decide::lift(&mut self.state, lift) {
            report(Event::POISON_LIFTED, format_args!("{:?}", lift.fingerprint));
            self.publish();
        }
        if notify_peers && self.updates.offer(PeerUpdate::Lift(lift)).is_err() {
            self.context.metrics.count("poison_untold", 1);
        }
    }

    fn publish(&self) {
        let mut verdicts = Verdicts::default();
        for (fingerprint, record) in self.state.charges.rows() {
            verdicts.charged.push(*fingerprint);
            if record.losses.len() >= self.settings.losses {
                verdicts.poisoned.push(*fingerprint);
            }
        }
        let previous = Arc::clone(&self.verdicts.borrow());
        for fingerprint in &verdicts.poisoned {
            if previous.poisoned.binary_search(fingerprint).is_err() {
                report(Event::POISONED, format_args!("{}", fingerprint.hex()));
            }
        }
        self.context
            .metrics
            .set_gauge("poisoned", verdicts.poisoned.len());
        self.verdicts.send_replace(Arc::new(verdicts));
    }
}

/// Whether the address refuses connections. A timeout does not count: packets may be lost.
fn is_refused(address: SocketAddr) -> bool {
    let connected = TcpStream::connect_timeout(&address, PROBE_TIMEOUT);
    connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}
