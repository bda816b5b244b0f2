//! Starts the threads of an entry VM, joins them by rings, and ends them in order.

use {
    super::{
        guards,
        links::{Links, links, outputs},
        settings::Settings,
    },
    crate::{
        admin, announce,
        callers::{self, Front},
        claims,
        context::Context,
        drain,
        edge::{self, Handler, Listener, Running, Secret, listener::ListenError},
        explain, forward, lookup,
        membership::{self, Lease},
        observe::{Event, report},
        peers, poison,
        relay::{self, Dispatch},
        ring::{self, Inbox, Ring},
        shift, slots,
        spread::{self, Subscribers, Wires},
    },
    jsonrpsee::{RpcModule, core::RegisterMethodError},
    snafu::{ResultExt, Snafu},
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
    tokio::sync::{oneshot, watch},
};

const STOP_POLL: Duration = Duration::from_millis(10);
/// Time for which callers with open connections are told that this VM is stopping.
const STOP_NOTICE: Duration = Duration::from_millis(250);
const JOIN_LIMIT: Duration = Duration::from_secs(5);

/// Why an entry VM could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener could not start.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Which and why.
        source: ListenError,
    },
    /// Two RPC methods have one name.
    #[snafu(display("{source}"), context(false))]
    Register {
        /// Which.
        source: RegisterMethodError,
    },
    /// A thread could not start.
    #[snafu(display("thread {name}: {source}"), visibility(pub(super)))]
    Thread {
        /// Name of the thread.
        name: &'static str,
        /// What the system said.
        source: io::Error,
    },
}

/// An entry VM that runs.
#[derive(Debug)]
pub struct Entry {
    context: Context,
    settings: Settings,
    rings: Rings,
    open: Open,
    stops: Vec<oneshot::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

/// The sending end of each duty's ring.
#[derive(Clone, Debug)]
pub(super) struct Rings {
    pub lookup: ring::Sender<lookup::Message>,
    pub announce: ring::Sender<announce::Message>,
    shift: ring::Sender<shift::Message>,
    poison: ring::Sender<poison::Message>,
    verdicts: watch::Receiver<Arc<poison::Verdicts>>,
    seen: membership::messages::Seen,
    claims: claims::Wires,
    pub slots: ring::Sender<slots::Message>,
    membership: ring::Sender<membership::Message>,
    explain: ring::Sender<explain::Message>,
    pub out: slots::Out,
    pub peers: watch::Sender<Arc<Vec<forward::Peer>>>,
    shifted: watch::Sender<shift::Shifted>,
}

/// The receiving end of each duty's ring.
struct Ends {
    lookup: Ring<lookup::Message>,
    announce: Ring<announce::Message>,
    shift: Ring<shift::Message>,
    claims: Ring<claims::Message>,
    poison: Ring<poison::Message>,
    verdicts: watch::Sender<Arc<poison::Verdicts>>,
    ledgers: Inbox<claims::Broadcast>,
    slots: Ring<slots::Message>,
    explain: Ring<explain::Message>,
    drain: Ring<drain::Message>,
    relay: Inbox<Dispatch>,
    forward: Inbox<forward::Message>,
}

/// The listeners.
#[derive(Debug)]
struct Open {
    callers: Running,
    upstreams: Running,
    peers: Running,
    admin: Running,
}

fn rings(
    capacity: usize,
    membership: ring::Sender<membership::Message>,
    seen: membership::messages::Seen,
) -> (Rings, Ends) {
    let (lookup, lookup_end) = ring::bounded(capacity);
    let (announce, announce_end) = ring::bounded(capacity);
    let (shift, shift_end) = ring::bounded(capacity);
    let (poison, poison_end) = ring::bounded(capacity);
    let (verdicts_end, verdicts) = watch::channel(Arc::default());
    let (claims, claims_end) = ring::bounded(capacity);
    let (ledgers, ledgers_end) = ring::awaited(capacity);
    let (slots, slots_end) = ring::bounded(capacity);
    let (explain, explain_end) = ring::bounded(capacity);
    let (drain, drain_end) = ring::bounded(capacity);
    let (relay, relay_end) = ring::awaited(capacity);
    let (forward, forward_end) = ring::awaited(capacity);
    let wires = claims::Wires {
        claims,
        ledgers,
        slots: slots.clone(),
    };
    let rings = Rings {
        lookup,
        announce,
        shift,
        poison,
        verdicts,
        seen,
        claims: wires,
        slots,
        membership,
        explain,
        peers: watch::channel(Arc::default()).0,
        shifted: watch::channel(Arc::default()).0,
        out: slots::Out {
            relay,
            forward,
            drain,
        },
    };
    let ends = Ends {
        lookup: lookup_end,
        announce: announce_end,
        shift: shift_end,
        claims: claims_end,
        poison: poison_end,
        verdicts: verdicts_end,
        ledgers: ledgers_end,
        slots: slots_end,
        explain: explain_end,
        drain: drain_end,
        relay: relay_end,
        forward: forward_end,
    };
    (rings, ends)
}

impl Entry {
    /// Starts every thread and listener.
    ///
    /// # Errors
    /// A thread or listener cannot start.
    pub fn start(settings: Settings, secret: &Secret) -> Result<Self, StartError> {
        let topology = Arc::new(settings.topology.clone());
        let mut context = Context::new(&settings.vm, settings.zone, topology);
        let (membership, membership_end) = ring::bounded(settings.ring);
        let (links, feeds) = links();
        let (rings, ends) = rings(settings.ring, membership, links.seen.clone());
        context.notes = Some(rings.explain.clone());
        let bound = membership::bind(settings.listeners.members);
        let bound = bound.context(ThreadSnafu { name: "membership" })?;
        let (tables, tables_seen) = watch::channel(Arc::default());
        let mut stops = Vec::new();
        let mut threads = duties(
            &context, &settings, &rings, ends, tables, secret, &mut stops,
        )?;
        let wires = Wires {
            subscribers: subscribers(&rings),
            policies: feeds.policies,
            fresh: feeds.fresh,
            seen: links.seen.clone(),
        };
        threads.push(follow(&context, &settings, wires, secret, &mut stops)?);
        let ledger = guards::keep_ledger(&context, &settings, secret, &mut threads, &mut stops)?;
        let mut module = guards::methods(ledger.as_ref(), &rings.poison, &links)?;
        shift::register(
            &mut module,
            context.clone(),
            settings.shift,
            rings.shift.clone(),
            rings.slots.clone(),
        )?;
        let open = open(
            &context,
            &settings,
            &rings,
            &links,
            tables_seen,
            secret,
            module,
        )?;
        let addresses = membership::Addresses {
            callers: open.callers.address,
            upstreams: open.upstreams.address,
            peers: open.peers.address,
        };
        let outputs = outputs(context.vm.clone(), &rings, links.lease.clone(), feeds.seen);
        let members = membership::spawn(
            context.clone(),
            settings.membership.clone(),
            bound,
            addresses,
            secret,
            membership_end,
            outputs,
        );
        threads.push(members.context(ThreadSnafu { name: "membership" })?);
        let lease = links.lease;
        let entry = Self {
            context,
            settings,
            rings,
            open,
            stops,
            threads,
        };
        entry.await_lease(&lease);
        report(Event::STARTED, format_args!("entry {}", entry.context.vm));
        Ok(entry)
    }

    /// Address of the callers' listener.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.open.callers.address
    }

    /// Address of the upstreams' listener.
    #[must_use]
    pub fn upstreams(&self) -> SocketAddr {
        self.open.upstreams.address
    }

    /// Address of the admin listener.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.open.admin.address
    }

    /// Ends gracefully: look-ups stop naming this VM, new work is refused, work in flight ends.
    pub fn stop(self) {
        let vm = Arc::clone(&self.context.vm);
        report(Event::STOPPING, format_args!("entry {vm}"));
        // The duty may have ended already, then nothing names this VM any more.
        let _ = self.rings.lookup.send(lookup::Message::Stopping);
        let _ = self.rings.announce.send(announce::Message::Stopping);
        let _ = self.rings.membership.send(membership::Message::Leaving);
        thread::sleep(Duration::from_millis(self.settings.linger_ms));
        self.context.stop();
        self.await_work();
        // Whoever got the last answers may be sending again on the same connection.
        thread::sleep(STOP_NOTICE);
        self.await_work();
        self.open.callers.join();
        self.open.upstreams.join();
        self.open.peers.join();
        self.open.admin.join();
        drop(self.rings);
        drop(self.stops);
        drop(self.context);
        for thread in self.threads {
            // A panicked duty has been reported by the panic hook.
            let _ = thread.join();
        }
        report(Event::STOPPED, format_args!("entry {vm}"));
    }

    fn await_work(&self) {
        let limit = Duration::from_millis(self.settings.stop_ms);
        let start = Instant::now();
        while self.context.inflight() > 0 {
            if start.elapsed() >= limit {
                let left = self.context.inflight();
                report(Event::STOP_FORCED, format_args!("{left} requests"));
                return;
            }
            thread::sleep(STOP_POLL);
        }
    }

    /// Callers are refused until this VM has joined; a start that takes longer is not an error.
    fn await_lease(&self, lease: &Lease) {
        let limit = Duration::from_millis(self.settings.spread.start_ms) + JOIN_LIMIT;
        let start = Instant::now();
        while !lease.holds(self.context.clock.now()) && start.elapsed() < limit {
            thread::sleep(STOP_POLL);
        }
    }
}

/// The duties after the shift duty.
fn onward(context: &Context, rings: &Rings) -> shift::Onward {
    shift::Onward {
        topology: Arc::clone(&context.topology),
        claims: rings.claims.claims.clone(),
        slots: rings.slots.clone(),
    }
}

/// Starts the duties that only talk over rings and to upstreams or peers.
fn duties(
    context: &Context,
    settings: &Settings,
    rings: &Rings,
    ends: Ends,
    tables: watch::Sender<Arc<lookup::Table>>,
    secret: &Secret,
    stops: &mut Vec<oneshot::Sender<()>>,
) -> Result<Vec<JoinHandle<()>>, StartError> {
    let slots = || rings.slots.clone();
    let mut stop = || {
        let (stop, stopped) = oneshot::channel();
        stops.push(stop);
        stopped
    };
    let named = |name, thread: io::Result<JoinHandle<()>>| thread.context(ThreadSnafu { name });
    let lookup = lookup::spawn(context.clone(), settings.lookup, ends.lookup, tables);
    let announce = announce::spawn(context.clone(), settings.announce, ends.announce, slots());
    let claims = claims::spawn(
        context.clone(),
        settings.claims.clone(),
        ends.claims,
        rings.claims.clone(),
        stop(),
    );
    let send = claims::send::spawn(
        context.clone(),
        settings.claims.clone(),
        secret.clone(),
        ends.ledgers,
        rings.claims.claims.clone(),
        stop(),
    );
    let shift = shift::spawn(
        context.clone(),
        settings.shift,
        ends.shift,
        onward(context, rings),
        rings.shifted.clone(),
    );
    let sources = shift::Sources {
        shift: rings.shift.clone(),
        peers: rings.peers.subscribe(),
    };
    let headroom = shift::ask(
        context.clone(),
        settings.shift,
        secret.clone(),
        sources,
        stop(),
    );
    let placing = slots::spawn(
        context.clone(),
        settings.slots,
        ends.slots,
        rings.out.clone(),
    );
    let guard = poison::Guard {
        topology: Arc::clone(&context.topology),
        verdicts: rings.verdicts.clone(),
        ring: rings.poison.clone(),
    };
    let relay = relay::spawn(context, settings.relay, ends.relay, slots(), guard, stop());
    let poison = poison::spawn(
        context.clone(),
        settings.poison,
        poison::Wires {
            secret: secret.clone(),
            seen: rings.seen.clone(),
        },
        ends.poison,
        ends.verdicts,
        [stop(), stop()],
    );
    let [poison_send, poison] = poison.context(ThreadSnafu { name: "poison" })?;
    let forward = forward::spawn(
        context.clone(),
        settings.forward,
        secret.clone(),
        ends.forward,
        slots(),
        stop(),
    );
    let drain = drain::spawn(context.clone(), ends.drain);
    let explain = explain::spawn(settings.explain, ends.explain);
    Ok(vec![
        poison_send,
        poison,
        named("drain", drain)?,
        named("explain", explain)?,
        named("lookup", lookup)?,
        named("announce", announce)?,
        named("shift", shift)?,
        named("claims", claims)?,
        named("claims-send", send)?,
        named("headroom", headroom)?,
        named("slots", placing)?,
        named("relay", relay)?,
        named("forward", forward)?,
    ])
}

/// Starts the duty that follows the configuration.
fn follow(
    context: &Context,
    settings: &Settings,
    wires: Wires,
    secret: &Secret,
    stops: &mut Vec<oneshot::Sender<()>>,
) -> Result<JoinHandle<()>, StartError> {
    let (stop, stopped) = oneshot::channel();
    stops.push(stop);
    let spread = settings.spread.clone();
    let thread = spread::spawn(context.clone(), spread, secret.clone(), wires, stopped);
    thread.context(ThreadSnafu { name: "spread" })
}

fn subscribers(rings: &Rings) -> Subscribers {
    Subscribers {
        announce: rings.announce.clone(),
        lookup: rings.lookup.clone(),
        shift: rings.shift.clone(),
        slots: rings.slots.clone(),
        membership: rings.membership.clone(),
    }
}

/// Reads how many messages wait in each ring.
fn depths(rings: &Rings) -> admin::Depths {
    let rings = rings.clone();
    admin::Depths::new(move || {
        vec![
            ("ring_announce", rings.announce.depth()),
            ("ring_claims", rings.claims.claims.depth()),
            ("ring_claims_send", rings.claims.ledgers.depth()),
            ("ring_drain", rings.out.drain.depth()),
            ("ring_explain", rings.explain.depth()),
            ("ring_forward", rings.out.forward.depth()),
            ("ring_lookup", rings.lookup.depth()),
            ("ring_membership", rings.membership.depth()),
            ("ring_poison", rings.poison.depth()),
            ("ring_relay", rings.out.relay.depth()),
            ("ring_shift", rings.shift.depth()),
            ("ring_slots", rings.slots.depth()),
        ]
    })
}

/// Opens the listeners.
fn open(
    context: &Context,
    settings: &Settings,
    rings: &Rings,
    links: &Links,
    tables: watch::Receiver<Arc<lookup::Table>>,
    secret: &Secret,
    module: RpcModule<()>,
) -> Result<Open, StartError> {
    let addresses = settings.listeners;
    let listen = |name, address, secret, make: Box<dyn FnOnce() -> Handler + Send>| {
        let listener = Listener {
            name,
            address,
            limits: settings.limits,
            secret,
        };
        edge::spawn(listener, context.clone(), make)
    };
    let region = &context.topology.regions[usize::from(context.topology.region_of(context.zone).0)];
    let router = shift::Router {
        shift: rings.shift.clone(),
        onward: onward(context, rings),
        shifted: rings.shifted.subscribe(),
    };
    let front = Front {
        context: context.clone(),
        lease: links.lease.clone(),
        router,
        tables,
        group: claims::home::own(&settings.claims.groups, region),
    };
    let (told, announce) = (context.clone(), rings.announce.clone());
    let (served, slots) = (context.clone(), rings.slots.clone());
    let lease = links.lease.clone();
    let arrivals = rings.shift.clone();
    let board = admin::Board {
        context: context.clone(),
        slots: Some(rings.slots.clone()),
        shift: Some(rings.shift.clone()),
        drain: Some(rings.out.drain.clone()),
        poison: Some(rings.poison.clone()),
        depths: depths(rings),
    };
    let callers = Box::new(move || callers::handler(front));
    let upstreams = Box::new(move || announce::handler(&told, announce));
    let peers = Box::new(move || peers::handler(served, lease, module, slots, arrivals));
    let admin = Box::new(move || admin::handler(board));
    Ok(Open {
        callers: listen("callers", addresses.callers, None, callers)?,
        upstreams: listen("upstreams", addresses.upstreams, None, upstreams)?,
        peers: listen("peers", addresses.peers, Some(secret.clone()), peers)?,
        admin: listen("admin", addresses.admin, None, admin)?,
    })
}
