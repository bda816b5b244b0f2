//! Starts the threads of an entry VM, joins them by rings, and ends them in order.

use {
    super::settings::Settings,
    crate::{
        admin, announce,
        callers::{self, Front},
        context::Context,
        edge::{self, Handler, Listener, Running, Secret, listener::ListenError},
        lookup,
        observe::{Event, report},
        relay, ring, shift, slots,
        spread::{self, Subscribers},
    },
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

/// Why an entry VM could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener could not start.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Which and why.
        source: ListenError,
    },
    /// A thread could not start.
    #[snafu(display("thread {name}: {source}"))]
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
    callers: Running,
    upstreams: Running,
    admin: Running,
    stops: [oneshot::Sender<()>; 2],
    threads: Vec<JoinHandle<()>>,
}

/// The sending end of each duty's ring.
#[derive(Clone, Debug)]
struct Rings {
    lookup: ring::Sender<lookup::Message>,
    announce: ring::Sender<announce::Message>,
    shift: ring::Sender<shift::Message>,
    slots: ring::Sender<slots::Message>,
}

impl Entry {
    /// Starts every thread and listener.
    ///
    /// # Errors
    /// A thread or listener cannot start.
    pub fn start(settings: Settings, secret: &Secret) -> Result<Self, StartError> {
        let topology = Arc::new(settings.topology.clone());
        let context = Context::new(&settings.vm, settings.zone, topology);
        let (lookup, lookup_ring) = ring::bounded(settings.ring);
        let (announce, announce_ring) = ring::bounded(settings.ring);
        let (shift, shift_ring) = ring::bounded(settings.ring);
        let (slots, slots_ring) = ring::bounded(settings.ring);
        let (relay, relay_ring) = relay::bounded(settings.ring);
        let (tables, tables_seen) = watch::channel(Arc::default());
        let rings = Rings {
            lookup,
            announce,
            shift,
            slots,
        };
        let (stop_relay, relay_stopped) = oneshot::channel();
        let (stop_spread, spread_stopped) = oneshot::channel();
        let threads = vec![
            lookup::spawn(context.clone(), settings.lookup, lookup_ring, tables)
                .context(ThreadSnafu { name: "lookup" })?,
            announce::spawn(
                context.clone(),
                settings.announce,
                announce_ring,
                rings.slots.clone(),
            )
            .context(ThreadSnafu { name: "announce" })?,
            shift::spawn(shift_ring, rings.slots.clone()).context(ThreadSnafu { name: "shift" })?,
            slots::spawn(context.clone(), settings.slots, slots_ring, relay)
                .context(ThreadSnafu { name: "slots" })?,
            relay::spawn(
                &context,
                settings.relay,
                relay_ring,
                rings.slots.clone(),
                relay_stopped,
            )
            .context(ThreadSnafu { name: "relay" })?,
            spread::spawn(
                context.clone(),
                settings.spread.clone(),
                secret.clone(),
                subscribers(&rings),
                spread_stopped,
            )
            .context(ThreadSnafu { name: "spread" })?,
        ];
        let front = Front {
            context: context.clone(),
            ring: rings.shift.clone(),
            tables: tables_seen,
        };
        let listeners = settings.listeners;
        let callers = listen(
            "callers",
            listeners.callers,
            &settings,
            &context,
            move || callers::handler(front),
        )?;
        let (inner, ring) = (context.clone(), rings.announce.clone());
        let upstreams = listen(
            "upstreams",
            listeners.upstreams,
            &settings,
            &context,
            move || announce::handler(&inner, ring),
        )?;
        let board = admin::Board {
            context: context.clone(),
            slots: Some(rings.slots.clone()),
        };
        let admin = listen("admin", listeners.admin, &settings, &context, move || {
            admin::handler(board)
        })?;
        let entry = Self {
            context,
            settings,
            rings,
            callers,
            upstreams,
            admin,
            stops: [stop_relay, stop_spread],
            threads,
        };
        entry.name_itself();
        report(Event::STARTED, format_args!("entry {}", entry.context.vm));
        Ok(entry)
    }

    /// Address of the callers' listener.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers.address
    }

    /// Address of the upstreams' listener.
    #[must_use]
    pub fn upstreams(&self) -> SocketAddr {
        self.upstreams.address
    }

    /// Address of the admin listener.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin.address
    }

    /// Ends gracefully: look-ups stop naming this VM, new work is refused, work in flight ends.
    pub fn stop(self) {
        report(Event::STOPPING, format_args!("entry {}", self.context.vm));
        // The duty may have ended already, then nothing names this VM any more.
        let _ = self.rings.lookup.send(lookup::Message::Stopping);
        thread::sleep(Duration::from_millis(self.settings.linger_ms));
        self.context.stop();
        self.await_work();
        self.callers.join();
        self.upstreams.join();
        self.admin.join();
        drop(self.rings);
        drop(self.stops);
        for thread in self.threads {
            // A panicked duty has been reported by the panic hook.
            let _ = thread.join();
        }
        report(Event::STOPPED, format_args!("entry {}", self.context.vm));
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

    /// Until peers are known, the only VM that a caller can use is this one.
    fn name_itself(&self) {
        let vm = lookup::messages::Vm {
            name: self.settings.vm.clone(),
            zone: self.settings.zone,
            callers: self.callers.address,
            free: 1,
        };
        let _ = self.rings.lookup.send(lookup::Message::Vms(vec![vm]));
    }
}

fn subscribers(rings: &Rings) -> Subscribers {
    Subscribers {
        lookup: rings.lookup.clone(),
        shift: rings.shift.clone(),
        slots: rings.slots.clone(),
    }
}

fn listen(
    name: &'static str,
    address: SocketAddr,
    settings: &Settings,
    context: &Context,
    make: impl FnOnce() -> Handler + Send + 'static,
) -> Result<Running, ListenError> {
    let listener = Listener {
        name,
        address,
        limits: settings.limits,
        secret: None,
    };
    edge::spawn(listener, context.clone(), make)
}
