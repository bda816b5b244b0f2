//! Starts the threads of a control VM, joins them by rings, and ends them in order.

use {
    super::settings::Settings,
    crate::{
        admin, agree,
        context::Context,
        edge::{self, Handler, Listener, Running, Secret, listener::ListenError, rpc},
        observe::{Event, report},
        operator, ring, spread,
    },
    jsonrpsee::{RpcModule, core::RegisterMethodError},
    snafu::{ResultExt, Snafu},
    std::{io, net::SocketAddr, sync::Arc, thread::JoinHandle},
    tokio::sync::watch,
};

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
    operators: Running,
    peers: Running,
    admin: Running,
    ring: ring::Sender<agree::Message>,
    threads: Vec<JoinHandle<()>>,
}

impl Control {
    /// Starts every thread and listener.
    ///
    /// # Errors
    /// A thread or listener cannot start.
    pub fn start(settings: &Settings, secret: &Secret) -> Result<Self, StartError> {
        let topology = Arc::new(settings.topology.clone());
        let context = Context::new(&settings.vm, settings.zone, topology);
        let (agree, agree_ring) = ring::bounded(settings.ring);
        let (policies, policies_seen) = watch::channel(Arc::default());
        let thread = agree::spawn(context.clone(), agree_ring, policies);
        let thread = thread.context(ThreadSnafu { name: "agree" })?;
        let listeners = settings.listeners;
        let (inner, ring) = (context.clone(), agree.clone());
        let operators = listen(
            "operators",
            listeners.operators,
            settings,
            &context,
            Some(secret),
            move || operator::handler(&inner, ring).unwrap_or_else(|error| refuse_all(&error)),
        )?;
        let mut module = RpcModule::new(());
        spread::register(&mut module, policies_seen)?;
        let peers = listen(
            "peers",
            listeners.peers,
            settings,
            &context,
            Some(secret),
            move || rpc::handler(module),
        )?;
        let board = admin::Board {
            context: context.clone(),
            slots: None,
            shift: None,
        };
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
            threads: vec![thread],
        })
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

    /// Ends gracefully: commands in flight get their answers.
    pub fn stop(self) {
        report(Event::STOPPING, format_args!("control {}", self.context.vm));
        self.context.stop();
        self.operators.join();
        self.peers.join();
        self.admin.join();
        drop(self.ring);
        for thread in self.threads {
            // A panicked duty has been reported by the panic hook.
            let _ = thread.join();
        }
        report(Event::STOPPED, format_args!("control {}", self.context.vm));
    }
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
) -> Result<Running, ListenError> {
    let listener = Listener {
        name,
        address,
        limits: settings.limits,
        secret: secret.cloned(),
    };
    edge::spawn(listener, context.clone(), make)
}
