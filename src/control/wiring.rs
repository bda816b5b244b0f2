//! Starts the threads of a control VM, joins them by rings, and ends them in order.

use {
    super::settings::Settings,
    crate::{
        admin, agree, beacon,
        catalog::{self, last_reports::LastReports},
        context::Context,
        edge::{self, Handler, Listener, ListenerHandle, Secret, listener::ListenError, rpc},
        keys::DiskKey,
        observe::{Event, report},
        operator,
        policy::Policy,
        ring,
        spread::{self, Fleet, Source},
        storage::{self, Folder, Hard, Recovered, StorageError},
    },
    jsonrpsee::{RpcModule, core::RegisterMethodError},
    snafu::{ResultExt, Snafu},
    std::{io, net::SocketAddr, sync::Arc, thread::JoinHandle, time::Duration},
    tokio::sync::{oneshot, watch},
};

/// The storage duty is given one batch at a time, or a renewal beside it.
const STORAGE_RING: usize = 2;

/// Why a control VM could not start.
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
    /// The data folder cannot be used.
    #[snafu(display("{source}"), context(false))]
    Storage {
        /// Why.
        source: StorageError,
    },
    /// Two RPC methods have one name.
    #[snafu(display("{source}"), context(false))]
    Register {
        /// Which.
        source: RegisterMethodError,
    },
}

/// A control VM that runs.
#[derive(Debug)]
pub struct Control {
    context: Context,
    operators: ListenerHandle,
    peers: ListenerHandle,
    admin: ListenerHandle,
    ring: ring::Sender<agree::Message>,
    shared: catalog::serve::Source,
    stops: [oneshot::Sender<()>; 2],
    threads: Vec<JoinHandle<()>>,
}

impl Control {
    /// Starts every thread and listener.
    ///
    /// # Errors
    /// A thread or listener cannot start.
    pub fn start(settings: &Settings, secret: &Secret) -> Result<Self, StartError> {
        let context = settings.vm.context();
        let (agree, agree_ring) = ring::bounded(settings.vm.ring);
        let (policies, policies_seen) = watch::channel(Arc::default());
        let (fresh_in, fresh) = watch::channel(true);
        let (members_in, members) = watch::channel(Arc::default());
        let replica = Replica {
            members: members_in,
            ring: agree_ring,
            sender: agree.clone(),
            policies,
            fresh: fresh_in,
        };
        let mut threads = start_replica(settings, &context, secret, replica)?;
        let listeners = settings.listeners;
        let fleet = Fleet::new(context.clock);
        let (inner, ring, shown) = (context.clone(), agree.clone(), fleet.clone());
        let operators = listen(
            "operators",
            listeners.operators,
            settings,
            &context,
            Some(secret),
            move || {
                operator::handler(&inner, ring, shown).unwrap_or_else(|error| refuse_all(&error))
            },
        )?;
        let mut module = RpcModule::new(());
        agree::transport::register(&mut module, agree.clone())?;
        let (seen_in, seen) = watch::channel(Arc::default());
        let (beacons_stop, beacons_stopped) = oneshot::channel();
        let beacons =
            beacon::receive::spawn(context.clone(), listeners.beacons, seen_in, beacons_stopped);
        threads.push(beacons.context(ThreadSnafu { name: "beacon" })?);
        let source = catalog::serve::Source {
            policies: policies_seen.clone(),
            is_current: fresh.clone(),
            members,
            entries: seen,
            last_reports: LastReports::default(),
            ring: agree.clone(),
        };
        let shared = source.clone();
        let (census_stop, census_stopped) = oneshot::channel();
        let census = catalog::census::spawn(
            context.clone(),
            listeners.peers,
            secret.clone(),
            source.clone(),
            Duration::from_millis(settings.silent_ms),
            census_stopped,
        );
        threads.push(census.context(ThreadSnafu { name: "census" })?);
        catalog::serve::register(&mut module, source)?;
        let source = Source {
            policies: policies_seen,
            is_current: fresh,
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
        let board = admin::Board::plain(context.clone());
        let admin = listen(
            "admin",
            listeners.admin,
            settings,
            &context,
            None,
            move || admin::handler(board),
        )?;
        report(Event::STARTED, format_args!("control {}", context.vm));
        Ok(Self {
            context,
            operators,
            peers,
            admin,
            ring: agree,
            shared,
            stops: [beacons_stop, census_stop],
            threads,
        })
    }

    /// Context of the process, with its metrics.
    #[must_use]
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// Address of the operators' listener.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.operators.address
    }

    /// Address of the peers' listener.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.peers.address
    }

    /// Address of the admin listener.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin.address
    }

    /// What front ends for operators and upstreams are wired to.
    #[must_use]
    pub fn shared(&self) -> catalog::serve::Source {
        self.shared.clone()
    }

    /// Ends gracefully: commands in flight get their answers.
    pub fn stop(self) {
        report(Event::STOPPING, format_args!("control {}", self.context.vm));
        self.context.stop();
        self.operators.join();
        self.peers.join();
        self.admin.join();
        // The duty may have ended already.
        let _ = self.ring.send(agree::Message::Stop);
        drop(self.stops);
        for thread in self.threads {
            // A panicked duty has been reported by the panic hook.
            let _ = thread.join();
        }
        report(Event::STOPPED, format_args!("control {}", self.context.vm));
    }
}

/// The ends of the rings that the replica's threads take.
struct Replica {
    ring: ring::Ring<agree::Message>,
    sender: ring::Sender<agree::Message>,
    policies: watch::Sender<Arc<Policy>>,
    fresh: watch::Sender<bool>,
    members: watch::Sender<Arc<Vec<SocketAddr>>>,
}

/// Starts the threads of the data folder, of the peers' messages and of the decisions.
fn start_replica(
    settings: &Settings,
    context: &Context,
    secret: &Secret,
    replica: Replica,
) -> Result<Vec<JoinHandle<()>>, StartError> {
    let (folder, found) = open_folder(&settings.vm.data_dir)?;
    let (storage, storage_ring) = ring::bounded(STORAGE_RING);
    let reports = replica.sender.clone();
    let tell = move |report| drop(reports.send(agree::Message::Storage(report)));
    let keeper = storage::spawn(folder, storage_ring, tell);
    let keeper = keeper.context(ThreadSnafu { name: "storage" })?;
    let sender = agree::transport::spawn(context.clone(), secret.clone(), replica.sender);
    let (peers, courier) = sender.context(ThreadSnafu {
        name: "agree-peers",
    })?;
    let me = settings.listed();
    let mut agree = settings.agree.clone();
    if agree.members.is_empty() {
        agree.members.push(me.clone());
    }
    let setup = agree::Setup {
        settings: agree,
        local: me,
        recovered: found,
    };
    let outputs = agree::Outputs {
        storage,
        peers,
        policies: replica.policies,
        is_current: replica.fresh,
        members: replica.members,
    };
    let decider = agree::spawn(context.clone(), setup, replica.ring, outputs);
    let decider = decider.context(ThreadSnafu { name: "agree" })?;
    Ok(vec![decider, keeper, courier])
}

/// Opens the data folder; without one, nothing outlives the process.
fn open_folder(path: &str) -> Result<(Option<Folder>, Recovered), StartError> {
    let fresh = DiskKey(rand::random::<u64>() | 1);
    if !path.is_empty() {
        let (folder, found) = Folder::open(path.as_ref(), fresh)?;
        return Ok((Some(folder), found));
    }
    report(Event::NOT_KEPT, format_args!("trial"));
    let hard = Hard {
        disk: fresh,
        boot: 1,
        ..Hard::default()
    };
    let found = Recovered {
        hard,
        ..Recovered::default()
    };
    Ok((None, found))
}

fn refuse_all(error: &RegisterMethodError) -> Handler {
    report(Event::FATAL, format_args!("{error}"));
    rpc::handler(RpcModule::new(()))
}

fn listen(
    name: &'static str,
    address: SocketAddr,
    settings: &Settings,
    context: &Context,
    secret: Option<&Secret>,
    make: impl FnOnce() -> Handler + Send + 'static,
) -> Result<ListenerHandle, ListenError> {
    let listener = Listener {
        name,
        address,
        limits: settings.vm.limits,
        secret: secret.cloned(),
    };
    edge::spawn(listener, context.clone(), make)
}
