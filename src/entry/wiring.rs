//! Starts the threads of an entry VM, connects them by rings, and stops them in order.

use {
    super::{
        duties::{StartInputs, StopSignals, start_duties, start_spread},
        listeners::{OpenListeners, open_listeners},
        peer_services,
        rings::{Rings, rings},
        settings::Settings,
        watches::{outputs, watches},
    },
    crate::{
        announce,
        context::Context,
        edge::{Secret, listener::ListenError},
        lookup,
        membership::{self, Lease},
        observe::{Event, report},
        ring,
        spread::Dependencies,
    },
    jsonrpsee::core::RegisterMethodError,
    snafu::{ResultExt, Snafu},
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// Poll interval for requests in flight at a shutdown, and for the lease at the start.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which requests on open connections are refused before the connections are closed, so
/// that callers are informed of the shutdown.
const REFUSAL_PERIOD: Duration = Duration::from_millis(250);
/// Maximum time to join the membership, in addition to `spread.start_ms`.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason why an entry VM cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener cannot be started.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Listener and cause.
        source: ListenError,
    },
    /// Two RPC methods have the same name.
    #[snafu(display("{source}"), context(false))]
    Register {
        /// Error with the name of the method.
        source: RegisterMethodError,
    },
    /// A thread cannot be started.
    #[snafu(display("thread {name}: {source}"), visibility(pub(super)))]
    Thread {
        /// Name of the thread.
        name: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Running entry VM.
#[derive(Debug)]
pub struct Entry {
    context: Context,
    settings: Settings,
    rings: Rings,
    listeners: OpenListeners,
    stop_signals: StopSignals,
    threads: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Starts all threads and listeners, and waits a limited time until this VM has joined.
    ///
    /// # Errors
    /// A thread or listener cannot be started.
    pub fn start(settings: Settings, secret: &Secret) -> Result<Self, StartError> {
        let mut context = settings.vm.context();
        let (membership, membership_rx) = ring::bounded(settings.vm.ring);
        let (shared, senders) = watches();
        let (rings, receivers) = rings(settings.vm.ring, membership, shared.members.clone());
        context.notes = Some(rings.explain.clone());
        let socket = membership::bind(settings.listeners.members);
        let socket = socket.context(ThreadSnafu { name: "membership" })?;
        let (rankings, rankings_rx) = watch::channel(Arc::default());
        let mut stop_signals = StopSignals::default();
        let inputs = StartInputs {
            context: &context,
            settings: &settings,
            rings: &rings,
            secret,
        };
        let mut threads = start_duties(inputs, receivers, rankings, &mut stop_signals)?;
        let deps = Dependencies {
            subscribers: rings.subscribers(),
            policies: senders.policies,
            is_current: senders.is_current,
            members: shared.members.clone(),
        };
        threads.push(start_spread(inputs, deps, &mut stop_signals)?);
        let ledger = peer_services::start_ledger(inputs, &mut threads, &mut stop_signals)?;
        let module = peer_services::methods(inputs, ledger.as_ref(), &shared)?;
        let listeners = open_listeners(inputs, &shared, rankings_rx, module)?;
        let addresses = membership::Addresses {
            callers: listeners.callers.address,
            upstreams: listeners.upstreams.address,
            peers: listeners.peers.address,
        };
        let outputs = outputs(
            context.vm.clone(),
            &rings,
            shared.lease.clone(),
            senders.members,
        );
        let members = membership::spawn(
            context.clone(),
            settings.membership.clone(),
            socket,
            addresses,
            secret,
            membership_rx,
            outputs,
        );
        threads.push(members.context(ThreadSnafu { name: "membership" })?);
        let lease = shared.lease;
        let entry = Self {
            context,
            settings,
            rings,
            listeners,
            stop_signals,
            threads,
        };
        entry.await_lease(&lease);
        report(Event::STARTED, format_args!("entry {}", entry.context.vm));
        Ok(entry)
    }

    /// Bound address of the caller listener.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.listeners.callers.address
    }

    /// Bound address of the upstream listener.
    #[must_use]
    pub fn upstreams(&self) -> SocketAddr {
        self.listeners.upstreams.address
    }

    /// Bound address of the admin listener.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.listeners.admin.address
    }

    /// Shuts down gracefully: removes this VM from look-up responses, then refuses new requests, and
    /// waits until requests in flight have completed.
    pub fn stop(self) {
        let vm = Arc::clone(&self.context.vm);
        report(Event::STOPPING, format_args!("entry {vm}"));
        // Errors are ignored: a duty that has already terminated no longer advertises this VM.
        let _ = self.rings.lookup.send(lookup::Message::Stopping);
        let _ = self.rings.announce.send(announce::Message::Stopping);
        let _ = self.rings.membership.send(membership::Message::Leaving);
        thread::sleep(Duration::from_millis(self.settings.linger_ms));
        self.context.begin_shutdown();
        self.await_requests();
        // Callers that received the last responses may send another request on the same connection.
        thread::sleep(REFUSAL_PERIOD);
        self.await_requests();
        self.listeners.join();
        drop(self.rings);
        drop(self.stop_signals);
        drop(self.context);
        for thread in self.threads {
            // The panic hook has already reported a panicked duty.
            let _ = thread.join();
        }
        report(Event::STOPPED, format_args!("entry {vm}"));
    }

    /// Waits until no request is in flight, at most `stop_ms`.
    fn await_requests(&self) {
        let limit = Duration::from_millis(self.settings.stop_ms);
        let start = Instant::now();
        while self.context.in_flight() > 0 {
            if start.elapsed() >= limit {
                let left = self.context.in_flight();
                report(Event::STOP_FORCED, format_args!("{left} requests"));
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until this VM has joined, up to a limit: before that, callers are refused. A longer
    /// start is not an error.
    fn await_lease(&self, lease: &Lease) {
        let limit = Duration::from_millis(self.settings.spread.start_ms) + JOIN_TIMEOUT;
        let start = Instant::now();
        while !lease.is_valid(self.context.clock.now()) && start.elapsed() < limit {
            thread::sleep(POLL_INTERVAL);
        }
    }
}
