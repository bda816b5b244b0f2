//! Starts the threads of a control VM, connects them by rings, and stops them in order.

use {
    super::settings::Settings,
    crate::{
        admin, agree, beacon,
        catalog::{self, last_reports::LastReports, mirror},
        context::Context,
        edge::{self, Handler, Listener, ListenerHandle, Secret, listener::ListenError, rpc},
        handover,
        keys::DiskId,
        observe::{Event, report},
        operator, poison,
        policy::Policy,
        ring, shares,
        spread::{self, Fleet, Source},
        storage::{self, Folder, HardState, Recovered, StorageError},
    },
    jsonrpsee::{RpcModule, core::RegisterMethodError},
    snafu::{ResultExt, Snafu},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::AtomicU64},
        thread::JoinHandle,
        time::Duration,
    },
    tokio::sync::{oneshot, watch},
};

/// The storage duty is sent one batch at a time, plus possibly a request to reinitialize its
/// folder.
const STORAGE_RING_CAPACITY: usize = 2;

/// Reason why a control VM cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener cannot be started.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Listener and cause.
        source: ListenError,
    },
    /// A thread cannot be started.
    #[snafu(display("thread {name}: {source}"))]
    Thread {
        /// Name of the thread.
        name: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The data folder cannot be used.
    #[snafu(display("{source}"), context(false))]
    Storage {
        /// Cause.
        source: StorageError,
    },
    /// Two RPC methods have the same name.
    #[snafu(display("{source}"), context(false))]
    Register {
        /// Error with the name of the method.
        source: RegisterMethodError,
    },
}

/// Running control VM.
#[derive(Debug)]
pub struct Control {
    context: Context,
    operators: ListenerHandle,
    peers: ListenerHandle,
    admin: ListenerHandle,
    ring: ring::Sender<agree::Message>,
    catalog_source: catalog::serve::Source,
    handover: ring::AsyncSender<handover::Message>,
    stops: [oneshot::Sender<()>; 3],
    resign_wait: Duration,
    threads: Vec<JoinHandle<()>>,
}

impl Control {
    /// Starts all threads and listeners.
    ///
    /// # Errors
    /// A thread or listener cannot be started, or the data folder cannot be used.
    pub fn start(settings: &Settings, secret: &Secret) -> Result<Self, StartError> {
        let context = settings.vm.context();
        let (agree, agree_ring) = ring::bounded(settings.vm.ring);
        let (policies, policies_rx) = watch::channel(Arc::default());
        // What was recovered from the disk may be old.
        let (is_current_tx, is_current_rx) = watch::channel(false);
        let (members_tx, members) = watch::channel(Arc::default());
        let (control_tx, control) = watch::channel(Arc::default());
        let (leader_tx, leader) = watch::channel(None);
        let (is_led_tx, is_led) = watch::channel(false);
        let led_until = Arc::new(AtomicU64::new(0));
        let replica = Replica {
            members: members_tx,
            ring: agree_ring,
            sender: agree.clone(),
            policies,
            is_current: is_current_tx,
            is_led: is_led_tx,
            led_until: Arc::clone(&led_until),
            control: control_tx,
            leader: leader_tx,
        };
        let mut threads = start_replica(settings, &context, secret, replica)?;
        let listeners = settings.listeners;
        let fleet = Fleet::new(context.clock);
        let operators = listen_operators(settings, &context, secret, (&agree, &fleet))?;
        let mut module = RpcModule::new(());
        agree::transport::register(&mut module, agree.clone())?;
        let (entries_tx, entries_rx) = watch::channel(Arc::default());
        let (beacons_stop, beacons_stopped) = oneshot::channel();
        let beacons_thread = beacon::receive::spawn(
            context.clone(),
            listeners.beacons,
            settings.agree.zone.clone(),
            entries_tx,
            beacons_stopped,
        );
        threads.push(beacons_thread.context(ThreadSnafu { name: "beacon" })?);
        let source = catalog::serve::Source {
            policies: policies_rx.clone(),
            is_current: is_current_rx.clone(),
            is_led,
            led_until,
            clock: context.clock,
            members,
            control,
            leader,
            entries: entries_rx,
            last_reports: LastReports::default(),
            ring: agree.clone(),
        };
        let catalog_source = source.clone();
        let (census_stop, census_stopped) = oneshot::channel();
        let census_thread = catalog::census::spawn(
            context.clone(),
            listeners.peers,
            secret.clone(),
            source.clone(),
            Duration::from_millis(settings.silent_ms),
            census_stopped,
        );
        threads.push(census_thread.context(ThreadSnafu { name: "census" })?);
        let (handover, handover_receiver) = ring::bounded_async(settings.vm.ring);
        let (mirror_stop, mirror_stopped) = oneshot::channel();
        let inputs = (mirror_stopped, handover_receiver);
        threads.extend(start_helpers(settings, &context, secret, &source, inputs)?);
        threads.push(start_shares(settings, &context, &source, &mut module)?);
        handover::serve::register(&mut module, agree.clone())?;
        poison::register_orders(&mut module, &handover)?;
        catalog::serve::register(&mut module, source)?;
        let source = Source {
            policies: policies_rx,
            is_current: is_current_rx,
            fleet: Some(fleet),
        };
        spread::register(&mut module, source)?;
        let peers = listen(
            "peers",
            listeners.peers,
            settings,
            &context,
            Some(secret),
            move || rpc::handler(module),
        )?;
        let admin = listen_admin(settings, &context)?;
        report(Event::STARTED, format_args!("control {}", context.vm));
        Ok(Self {
            context,
            operators,
            peers,
            admin,
            ring: agree,
            catalog_source,
            handover,
            stops: [beacons_stop, census_stop, mirror_stop],
            resign_wait: Duration::from_millis(2 * settings.agree.election_ms),
            threads,
        })
    }

    /// Context of the process, including its metrics.
    #[must_use]
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// Bound address of the operator listener.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.operators.address
    }

    /// Bound address of the peer listener.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.peers.address
    }

    /// Bound address of the admin listener.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin.address
    }

    /// State and ring that front ends for operators and upstreams use.
    #[must_use]
    pub fn catalog_source(&self) -> catalog::serve::Source {
        self.catalog_source.clone()
    }

    /// Ring of the handover duty, to which front ends send orders and reads.
    #[must_use]
    pub fn handover(&self) -> ring::AsyncSender<handover::Message> {
        self.handover.clone()
    }

    /// Hands leadership over if this control VM has it. Returns once another one leads, or after two
    /// election time-outs; meanwhile, calls are still answered.
    pub fn resign(&self) {
        let (tx, rx) = ring::bounded(1);
        let reply = Box::new(move || drop(tx.send(())));
        if self.ring.send(agree::Message::Resign { reply }).is_ok() {
            // A duty that ends closes the ring.
            let _ = rx.recv_within(self.resign_wait);
        }
    }

    /// Shuts down gracefully: commands in flight still get their responses.
    pub fn stop(self) {
        report(Event::STOPPING, format_args!("control {}", self.context.vm));
        self.resign();
        self.context.begin_shutdown();
        self.operators.join();
        self.peers.join();
        self.admin.join();
        // The duty may have terminated already.
        let _ = self.ring.send(agree::Message::Stop);
        drop(self.stops);
        drop(self.handover);
        for thread in self.threads {
            // The panic hook has already reported a panicked duty.
            let _ = thread.join();
        }
        report(Event::STOPPED, format_args!("control {}", self.context.vm));
    }
}

/// Channel ends that the threads of the replica use.
struct Replica {
    ring: ring::Ring<agree::Message>,
    sender: ring::Sender<agree::Message>,
    policies: watch::Sender<Arc<Policy>>,
    is_current: watch::Sender<bool>,
    members: watch::Sender<Arc<Vec<SocketAddr>>>,
    is_led: watch::Sender<bool>,
    led_until: Arc<AtomicU64>,
    control: watch::Sender<Arc<Vec<agree::ControlVm>>>,
    leader: watch::Sender<Option<SocketAddr>>,
}

/// Starts the threads that write the data folder, send messages to peers, and run the replicated
/// log.
fn start_replica(
    settings: &Settings,
    context: &Context,
    secret: &Secret,
    replica: Replica,
) -> Result<Vec<JoinHandle<()>>, StartError> {
    let (folder, recovered_state) = open_folder(&settings.vm.data_dir)?;
    let (storage, storage_ring) = ring::bounded(STORAGE_RING_CAPACITY);
    let reports = replica.sender.clone();
    let notify = move |report| drop(reports.send(agree::Message::Storage(report)));
    let storage_thread = storage::spawn(folder, storage_ring, notify);
    let storage_thread = storage_thread.context(ThreadSnafu { name: "storage" })?;
    let transport = agree::transport::spawn(context.clone(), secret.clone(), replica.sender);
    let (peers, peers_thread) = transport.context(ThreadSnafu {
        name: "agree-peers",
    })?;
    let local_member = settings.local_member();
    let mut agree = settings.agree.clone();
    if agree.members.is_empty() {
        agree.members.push(local_member.clone());
    }
    let setup = agree::Setup {
        settings: agree,
        local: local_member,
        recovered: recovered_state,
    };
    let outputs = agree::Outputs {
        storage,
        peers,
        policies: replica.policies,
        is_current: replica.is_current,
        members: replica.members,
        is_led: replica.is_led,
        led_until: replica.led_until,
        control: replica.control,
        leader: replica.leader,
    };
    let agree_thread = agree::spawn(context.clone(), setup, replica.ring, outputs);
    let agree_thread = agree_thread.context(ThreadSnafu { name: "agree" })?;
    Ok(vec![agree_thread, storage_thread, peers_thread])
}

/// Starts the threads that copy the catalogue while this VM has no place in the log, and that hand calls
/// over to the leader.
fn start_helpers(
    settings: &Settings,
    context: &Context,
    secret: &Secret,
    source: &catalog::serve::Source,
    (mirror_stopped, calls): (
        oneshot::Receiver<()>,
        ring::AsyncReceiver<handover::Message>,
    ),
) -> Result<[JoinHandle<()>; 2], StartError> {
    let local = settings.local_member().peers;
    let setup = mirror::Setup {
        local,
        zone: settings.agree.zone.clone(),
        seeds: settings.agree.members.iter().map(|row| row.peers).collect(),
    };
    let mirror = mirror::spawn(
        context.clone(),
        setup,
        secret.clone(),
        source.clone(),
        mirror_stopped,
    );
    let deps = handover::Dependencies {
        context: context.clone(),
        local,
        secret: secret.clone(),
        source: source.clone(),
    };
    let handover = handover::spawn(deps, calls);
    Ok([
        mirror.context(ThreadSnafu { name: "mirror" })?,
        handover.context(ThreadSnafu { name: "handover" })?,
    ])
}

/// Starts the thread that leases tokens to entry VMs, and adds its method.
fn start_shares(
    settings: &Settings,
    context: &Context,
    source: &catalog::serve::Source,
    module: &mut RpcModule<()>,
) -> Result<JoinHandle<()>, StartError> {
    let (sender, receiver) = ring::bounded(settings.vm.ring);
    shares::serve::register(module, sender)?;
    let local = settings.local_member().peers;
    let thread = shares::serve::spawn(
        context.clone(),
        settings.shares,
        local,
        source.clone(),
        receiver,
    );
    thread.context(ThreadSnafu { name: "shares" })
}

/// Opens and recovers the data folder. Without one, state is lost when the process exits.
fn open_folder(path: &str) -> Result<(Option<Folder>, Recovered), StartError> {
    let new_disk = DiskId(rand::random::<u64>() | 1);
    if !path.is_empty() {
        let (folder, recovered) = Folder::open(path.as_ref(), new_disk)?;
        return Ok((Some(folder), recovered));
    }
    report(Event::NOT_KEPT, format_args!("trial"));
    let hard = HardState {
        disk: new_disk,
        boot: 1,
        ..HardState::default()
    };
    let recovered = Recovered {
        hard,
        ..Recovered::default()
    };
    Ok((None, recovered))
}

/// Reports an RPC method that is registered twice, and returns a handler without methods.
fn empty_handler(error: &RegisterMethodError) -> Handler {
    report(Event::FATAL, format_args!("{error}"));
    rpc::handler(RpcModule::new(()))
}

fn listen_admin(settings: &Settings, context: &Context) -> Result<ListenerHandle, ListenError> {
    let deps = admin::Dependencies::metrics_only(context.clone());
    let address = settings.listeners.admin;
    let make_handler = move || admin::handler(deps);
    listen("admin", address, settings, context, None, make_handler)
}

fn listen_operators(
    settings: &Settings,
    context: &Context,
    secret: &Secret,
    (ring, fleet): (&ring::Sender<agree::Message>, &Fleet),
) -> Result<ListenerHandle, ListenError> {
    let (inner, ring, fleet) = (context.clone(), ring.clone(), fleet.clone());
    let make_handler = move || {
        operator::handler(&inner, ring, fleet).unwrap_or_else(|error| empty_handler(&error))
    };
    let address = settings.listeners.operators;
    listen(
        "operators",
        address,
        settings,
        context,
        Some(secret),
        make_handler,
    )
}

fn listen(
    name: &'static str,
    address: SocketAddr,
    settings: &Settings,
    context: &Context,
    secret: Option<&Secret>,
    make_handler: impl FnOnce() -> Handler + Send + 'static,
) -> Result<ListenerHandle, ListenError> {
    let listener = Listener {
        name,
        address,
        limits: settings.vm.limits,
        secret: secret.cloned(),
    };
    edge::spawn(listener, context.clone(), make_handler)
}
