//! Starts the threads of a gateway, joins them by rings, and ends them in order.

use {
    super::settings::Settings,
    crate::{
        admin,
        beacon::{self, Beacon, send},
        catalog::follow::{self, CatalogView},
        context::Context,
        courier::{self, WireFormat},
        edge::{self, Handler, Listener, ListenerHandle, Secret, listener::ListenError},
        observe::{Event, report},
        ring::{self, Sender},
        steer,
    },
    snafu::{ResultExt, Snafu},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::sync::{oneshot, watch},
};

/// Why a gateway could not start.
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

/// What a front end for callers is wired to.
#[derive(Clone, Debug)]
pub struct Front {
    /// Who we are.
    pub context: Context,
    /// Takes requests.
    pub steer: Sender<steer::Message>,
    configured: Arc<AtomicBool>,
}

impl Front {
    /// Whether this VM takes callers: it knows a configuration and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.configured.load(Ordering::SeqCst) && !self.context.stopping()
    }
}

/// A gateway that runs.
#[derive(Debug)]
pub struct Gateway {
    front: Front,
    callers: ListenerHandle,
    admin: ListenerHandle,
    beacon: Sender<send::Message>,
    seeds: watch::Sender<Vec<SocketAddr>>,
    stops: Vec<oneshot::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
    linger: Duration,
}

impl Gateway {
    /// Starts every thread and listener; `make` builds the handler of callers.
    ///
    /// # Errors
    /// A thread or listener cannot start.
    pub fn start(
        settings: &Settings,
        secret: &Secret,
        wire_format: WireFormat,
        make: impl FnOnce(Front) -> Handler + Send + 'static,
    ) -> Result<Self, StartError> {
        let context = settings.vm.context();
        let (steer, steer_ring) = ring::bounded(settings.vm.ring);
        let (courier, courier_inbox) = ring::awaited(settings.vm.ring);
        let (beacon, beacon_ring) = ring::bounded(settings.vm.ring);
        let (seeds, seeds_seen) = watch::channel(settings.catalog.control.clone());
        let (courier_stop, courier_stopped) = oneshot::channel();
        let (follow_stop, follow_stopped) = oneshot::channel();
        let front = Front {
            context: context.clone(),
            steer: steer.clone(),
            configured: Arc::default(),
        };
        let deps = steer::Dependencies {
            context: context.clone(),
            zone: settings.zone.clone(),
            zones: settings.zones.clone(),
            courier,
        };
        let steering = steer::spawn(settings.steer.clone(), deps, steer_ring);
        let ended = steer.clone();
        let tell = move |done| {
            // Waits for room: an attempt's end must be known. The steer duty never waits for this one.
            let _ = ended.send(steer::Message::AttemptEnded(Box::new(done)));
        };
        let couriers = courier::spawn(
            &context,
            settings.courier,
            wire_format,
            courier_inbox,
            tell,
            courier_stopped,
        );
        let own = Beacon {
            vm: settings.vm.name.clone(),
            zone: settings.zone.clone(),
            callers: settings.callers,
            incarnation: context.incarnation,
            beat: 0,
            ready: false,
        };
        let beacons = beacon::send::spawn(own, beacon_ring);
        let publish = publisher(front.clone(), beacon.clone(), settings.beacon_port);
        let follows = follow::spawn(
            context.clone(),
            settings.catalog.clone(),
            secret.clone(),
            seeds_seen,
            publish,
            follow_stopped,
        );
        let threads = vec![
            steering.context(ThreadSnafu { name: "steer" })?,
            couriers.context(ThreadSnafu { name: "courier" })?,
            beacons.context(ThreadSnafu { name: "beacon" })?,
            follows.context(ThreadSnafu { name: "catalog" })?,
        ];
        let listen = |name, address, make| {
            let listener = Listener {
                name,
                address,
                limits: settings.vm.limits,
                secret: None,
            };
            edge::spawn(listener, context.clone(), make)
        };
        let board = admin::Board::plain(context.clone());
        let admin = listen(
            "admin",
            settings.admin,
            Box::new(move || admin::handler(board)) as Box<dyn FnOnce() -> Handler + Send>,
        )?;
        let inner = front.clone();
        let callers = listen("callers", settings.callers, Box::new(move || make(inner)))?;
        report(Event::STARTED, format_args!("gateway {}", context.vm));
        Ok(Self {
            front,
            callers,
            admin,
            beacon,
            seeds,
            stops: vec![follow_stop, courier_stop],
            threads,
            linger: Duration::from_millis(settings.linger_ms),
        })
    }

    /// What front ends are wired to.
    #[must_use]
    pub fn front(&self) -> Front {
        self.front.clone()
    }

    /// Address of the callers' listener.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers.address
    }

    /// Takes other control VMs as those to begin with.
    pub fn reseed(&self, seeds: Vec<SocketAddr>) {
        self.seeds.send_if_modified(|old| {
            let changed = *old != seeds;
            if changed {
                report(Event::RELOADED, format_args!("control {seeds:?}"));
                *old = seeds;
            }
            changed
        });
    }

    /// Ends gracefully: callers are told to go elsewhere, requests in flight get their answers.
    pub fn stop(self) {
        let context = self.front.context.clone();
        report(Event::STOPPING, format_args!("gateway {}", context.vm));
        context.stop();
        // A full ring of a duty that only sends datagrams means that it has ended.
        let _ = self.beacon.offer(send::Message::Ready(false));
        thread::sleep(self.linger);
        self.callers.join();
        self.admin.join();
        drop(self.stops);
        drop(self.front);
        drop(self.beacon);
        for thread in self.threads {
            // A panicked duty has been reported by the panic hook.
            let _ = thread.join();
        }
        report(Event::STOPPED, format_args!("gateway {}", context.vm));
    }
}

/// Hands each newer catalogue to the duties that rest on it.
fn publisher(
    front: Front,
    beacon: Sender<send::Message>,
    beacon_port: u16,
) -> impl Fn(&CatalogView) + Send {
    move |followed| {
        let message = steer::Message::CatalogUpdate(Box::new(followed.clone()));
        // Waits for room: a change must not be lost. The steer duty never waits for this one.
        let _ = front.steer.send(message);
        let rows = followed.control.iter();
        let control = rows.map(|row| SocketAddr::new(row.ip(), beacon_port));
        let _ = beacon.send(send::Message::Control(control.collect()));
        let has_version = followed.catalog.version > 0;
        if has_version && !front.configured.swap(true, Ordering::SeqCst) {
            let _ = beacon.send(send::Message::Ready(true));
        }
    }
}
