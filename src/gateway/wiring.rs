//! Starts the threads of a gateway, connects them by rings, and stops them in order.

use {
    super::settings::Settings,
    crate::{
        admin,
        beacon::{self, Beacon, send},
        catalog::follow::{self, CatalogView, Subscriber},
        context::Context,
        courier::{self, WireFormat},
        edge::{self, Handler, Limits, Listener, ListenerHandle, Secret, listener::ListenError},
        observe::{Event, report},
        poison::{self, Followed, Monitor, Recipients},
        ring::{self, AsyncSender, Sender},
        shares::{self, LeaseRequest},
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

/// Reason why a gateway could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener could not start.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Error of the listener.
        source: ListenError,
    },
    /// A thread could not start.
    #[snafu(display("thread {name}: {source}"))]
    Thread {
        /// Name of the thread.
        name: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Handle by which a front end for callers uses a running gateway. The steer duty runs as long as one exists, so
/// it is held only by listeners that are joined before the duty.
#[derive(Clone, Debug)]
pub struct GatewayHandle {
    /// Context of this VM.
    pub context: Context,
    /// Ring of the steer duty, which accepts requests.
    pub steer: Sender<steer::Message>,
    readiness: Readiness,
}

/// Whether a gateway accepts callers. Keeps no duty running.
#[derive(Clone, Debug)]
pub struct Readiness {
    context: Context,
    has_configuration: Arc<AtomicBool>,
}

impl Readiness {
    fn new(context: &Context) -> Self {
        Self {
            context: context.clone(),
            has_configuration: Arc::default(),
        }
    }

    /// Whether this VM accepts callers: it has received a configuration and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.has_configuration.load(Ordering::SeqCst) && !self.context.is_stopping()
    }
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    handle: GatewayHandle,
    callers: ListenerHandle,
    admin: ListenerHandle,
    beacon: Sender<send::Message>,
    seeds: watch::Sender<Vec<SocketAddr>>,
    stops: Vec<oneshot::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
    linger: Duration,
}

impl Gateway {
    /// Starts every thread and listener; `make_handler` builds the handler for callers, on the thread
    /// of their listener.
    ///
    /// # Errors
    /// A thread or listener cannot start.
    pub fn start(
        settings: &Settings,
        secret: &Secret,
        wire_format: WireFormat,
        make_handler: impl FnOnce(GatewayHandle) -> Handler + Send + 'static,
    ) -> Result<Self, StartError> {
        let context = settings.vm.context();
        let (steer, steer_ring) = ring::bounded(settings.vm.ring);
        let (courier, courier_receiver) = ring::bounded_async(settings.vm.ring);
        let (beacon, beacon_ring) = ring::bounded(settings.vm.ring);
        let (seeds, seeds_rx) = watch::channel(settings.catalog.control.clone());
        let (courier_stop, courier_stopped) = oneshot::channel();
        let (follow_stop, follow_stopped) = oneshot::channel();
        let handle = GatewayHandle {
            context: context.clone(),
            steer: steer.clone(),
            readiness: Readiness::new(&context),
        };
        let (control_tx, control) = watch::channel(settings.catalog.control.clone());
        let (leader_tx, leader) = watch::channel(None);
        let (leases, leases_stop, leases_thread) =
            start_leases(settings, &context, secret, leader, steer.clone())?;
        let (monitor, poison_stops, poison_threads) =
            start_poison(settings, &context, secret, control)?;
        let deps = steer::Dependencies {
            context: context.clone(),
            zone: settings.zone.clone(),
            zones: settings.zones.clone(),
            courier,
            leases,
            monitor: monitor.clone(),
        };
        let steer_thread = steer::spawn(settings.steer.clone(), deps, steer_ring);
        let outcomes = steer.clone();
        let on_attempt_end = move |done| {
            // Blocks while the ring is full, as the end of an attempt must not be lost. No deadlock: the
            // steer duty never blocks on the courier.
            let _ = outcomes.send(steer::Message::AttemptEnded(Box::new(done)));
        };
        let courier_thread = courier::spawn(
            &context,
            settings.courier,
            wire_format,
            monitor.clone(),
            courier_receiver,
            on_attempt_end,
            courier_stopped,
        );
        let local = local_beacon(settings, &context);
        let beacon_thread = beacon::send::spawn(local, beacon_ring);
        let followers = Followers {
            beacon: beacon.clone(),
            poison: monitor.ring.clone(),
            control: control_tx,
            leader: leader_tx,
        };
        let zone = settings.zone.clone();
        let subscriber = subscriber(handle.clone(), followers, zone, settings.beacon_port);
        let catalog_thread = follow::spawn(
            context.clone(),
            settings.zone.clone(),
            settings.catalog.clone(),
            secret.clone(),
            seeds_rx,
            subscriber,
            follow_stopped,
        );
        let mut threads = vec![
            steer_thread.context(ThreadSnafu { name: "steer" })?,
            courier_thread.context(ThreadSnafu { name: "courier" })?,
            leases_thread,
            beacon_thread.context(ThreadSnafu { name: "beacon" })?,
            catalog_thread.context(ThreadSnafu { name: "catalog" })?,
        ];
        threads.extend(poison_threads);
        let mut stops = vec![follow_stop, courier_stop, leases_stop];
        stops.extend(poison_stops);
        let admin = listen_admin(settings, &context, monitor.ring)?;
        let inner = handle.clone();
        let listener = Listener {
            name: "callers",
            address: settings.callers,
            limits: caller_limits(settings),
            secret: None,
        };
        let callers = edge::spawn(listener, context.clone(), move || make_handler(inner))?;
        report(Event::STARTED, format_args!("gateway {}", context.vm));
        Ok(Self {
            handle,
            callers,
            admin,
            beacon,
            seeds,
            stops,
            threads,
            linger: Duration::from_millis(settings.linger_ms),
        })
    }

    /// Returns the readiness of this gateway, for listeners that outlive it.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        self.handle.readiness.clone()
    }

    /// Returns the context of this VM.
    #[must_use]
    pub fn context(&self) -> Context {
        self.handle.context.clone()
    }

    /// Returns the bound address of the listener for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers.address
    }

    /// Replaces the control VMs to which the gateway connects first.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds.send_if_modified(|old| {
            let has_changed = *old != seeds;
            if has_changed {
                report(Event::RELOADED, format_args!("control {seeds:?}"));
                *old = seeds;
            }
            has_changed
        });
    }

    /// Shuts down gracefully: readiness is withdrawn, so that callers move to other VMs. Callers may
    /// still connect for the linger period, and requests in flight get their responses.
    pub fn stop(self) {
        let context = self.handle.context.clone();
        report(Event::STOPPING, format_args!("gateway {}", context.vm));
        context.begin_shutdown();
        // The beacon duty only sends datagrams, so its ring is full only if its thread has terminated.
        let _ = self.beacon.offer(send::Message::Ready(false));
        thread::sleep(self.linger);
        self.callers.join();
        self.admin.join();
        drop(self.stops);
        drop(self.handle);
        drop(self.beacon);
        for thread in self.threads {
            // The panic hook has reported a duty that panicked.
            let _ = thread.join();
        }
        report(Event::STOPPED, format_args!("gateway {}", context.vm));
    }
}

fn listen_admin(
    settings: &Settings,
    context: &Context,
    poison: Sender<poison::Message>,
) -> Result<ListenerHandle, ListenError> {
    let listener = Listener {
        name: "admin",
        address: settings.admin,
        limits: settings.vm.limits,
        secret: None,
    };
    let deps = admin::Dependencies {
        poison: Some(poison),
        ..admin::Dependencies::metrics_only(context.clone())
    };
    edge::spawn(listener, context.clone(), move || admin::handler(deps))
}

fn caller_limits(settings: &Settings) -> Limits {
    Limits {
        body_bytes: settings.body_bytes,
        ..settings.vm.limits
    }
}

fn local_beacon(settings: &Settings, context: &Context) -> Beacon {
    Beacon {
        vm: settings.vm.name.clone(),
        zone: settings.zone.clone(),
        callers: settings.callers,
        incarnation: context.incarnation,
        beat: 0,
        ready: false,
    }
}

/// Starts the duty that calls the leader of the control VMs for tokens of limits, and gives its answers to the steer
/// duty.
fn start_leases(
    settings: &Settings,
    context: &Context,
    secret: &Secret,
    leader: watch::Receiver<Option<SocketAddr>>,
    steer: Sender<steer::Message>,
) -> Result<LeaseDuty, StartError> {
    let (ring, receiver) = ring::bounded_async(settings.vm.ring);
    let (stop, stopped) = oneshot::channel();
    let deps = shares::thread::Dependencies {
        context: context.clone(),
        secret: secret.clone(),
        leader,
    };
    let on_end = move |answer| {
        // An answer that is lost counts as no answer after the timeout of the call.
        let _ = steer.offer(steer::Message::LeaseAnswer(answer));
    };
    let thread = shares::thread::spawn(deps, receiver, on_end, stopped);
    let name = "shares-calls";
    Ok((ring, stop, thread.context(ThreadSnafu { name })?))
}

/// Ring of the duty that calls for tokens, the channel that ends it, and its thread.
type LeaseDuty = (
    AsyncSender<LeaseRequest>,
    oneshot::Sender<()>,
    JoinHandle<()>,
);

/// Starts the duty that finds requests which crash upstreams. Its charges go to any of the control VMs.
fn start_poison(
    settings: &Settings,
    context: &Context,
    secret: &Secret,
    control: watch::Receiver<Vec<SocketAddr>>,
) -> Result<PoisonDuty, StartError> {
    let (ring, receiver) = ring::bounded(settings.vm.ring);
    let (verdicts_tx, verdicts) = watch::channel(Arc::default());
    let (stop_send, send_stopped) = oneshot::channel();
    let (stop, stopped) = oneshot::channel();
    let read_control = move || control.borrow().clone();
    let deps = poison::Dependencies {
        secret: secret.clone(),
        recipients: Recipients::Any(Box::new(read_control)),
    };
    let stops = [send_stopped, stopped];
    let threads = poison::spawn(
        context.clone(),
        settings.poison,
        deps,
        receiver,
        verdicts_tx,
        stops,
    );
    let threads = threads.context(ThreadSnafu { name: "poison" })?;
    Ok((Monitor { verdicts, ring }, [stop_send, stop], threads))
}

/// Access to the poison duty, the channels that end it, and its threads.
type PoisonDuty = (Monitor, [oneshot::Sender<()>; 2], [JoinHandle<()>; 2]);

/// Receivers of catalogue updates beside the steer duty.
struct Followers {
    beacon: Sender<send::Message>,
    poison: Sender<poison::Message>,
    /// Control VMs, those of the local zone first.
    control: watch::Sender<Vec<SocketAddr>>,
    /// Peer listener of the leader of the control VMs.
    leader: watch::Sender<Option<SocketAddr>>,
}

/// Forwards what the catalogue's thread learns.
fn subscriber(
    handle: GatewayHandle,
    followers: Followers,
    zone: String,
    beacon_port: u16,
) -> Subscriber {
    let steer = handle.steer.clone();
    Subscriber {
        publish: Box::new(publisher(handle, followers, zone, beacon_port)),
        // Blocks while the ring is full, like the updates of the catalogue, so that it stays in order with them.
        record_reachable: Box::new(move |is_reachable| {
            let _ = steer.send(steer::Message::ControlReachable(is_reachable));
        }),
    }
}

/// Forwards each catalogue update to the duties that depend on it.
fn publisher(
    handle: GatewayHandle,
    followers: Followers,
    zone: String,
    beacon_port: u16,
) -> impl Fn(&CatalogView) + Send {
    let Followers {
        beacon,
        poison,
        control: control_tx,
        leader,
    } = followers;
    move |view| {
        let message = steer::Message::CatalogUpdate(Box::new(view.clone()));
        // Blocks while the ring is full, as a change must not be lost. No deadlock: the steer duty never
        // blocks on the catalogue's thread.
        let _ = handle.steer.send(message);
        // The poison duty never blocks on the catalogue's thread either.
        let _ = poison.send(poison::Message::Catalog(Followed::new(&view.catalog)));
        let (mut near, distant): (Vec<_>, Vec<_>) =
            view.control.iter().partition(|row| row.zone == zone);
        near.extend(distant);
        leader.send_replace(view.leader);
        control_tx.send_replace(near.iter().map(|row| row.peers).collect());
        let rows = view.control.iter();
        let control = rows.map(|row| {
            let is_near = row.zone.is_empty() || row.zone == zone;
            (SocketAddr::new(row.peers.ip(), beacon_port), is_near)
        });
        let _ = beacon.send(send::Message::Control(control.collect()));
        let has_version = view.catalog.version > 0;
        let has_configuration = &handle.readiness.has_configuration;
        if has_version && !has_configuration.swap(true, Ordering::SeqCst) {
            let _ = beacon.send(send::Message::Ready(true));
        }
    }
}
