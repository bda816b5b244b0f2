//! Starts the threads of an entry VM, joins them by rings, and ends them in order.

use {
    super::{
        duties::{Base, Stops, duties, follow},
        guards,
        links::{links, outputs},
        open::{Open, open},
        rings::{Rings, rings},
        settings::Settings,
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
    stops: Stops,
    threads: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Starts every thread and listener.
    ///
    /// # Errors
    /// A thread or listener cannot start.
    pub fn start(settings: Settings, secret: &Secret) -> Result<Self, StartError> {
        let mut context = settings.vm.context();
        let (membership, membership_end) = ring::bounded(settings.vm.ring);
        let (links, feeds) = links();
        let (rings, ends) = rings(settings.vm.ring, membership, links.seen.clone());
        context.notes = Some(rings.explain.clone());
        let bound = membership::bind(settings.listeners.members);
        let bound = bound.context(ThreadSnafu { name: "membership" })?;
        let (tables, tables_seen) = watch::channel(Arc::default());
        let mut stops = Stops::default();
        let base = Base {
            context: &context,
            settings: &settings,
            rings: &rings,
            secret,
        };
        let mut threads = duties(base, ends, tables, &mut stops)?;
        let deps = Dependencies {
            subscribers: rings.subscribers(),
            policies: feeds.policies,
            is_current: feeds.is_current,
            members: links.seen.clone(),
        };
        threads.push(follow(base, deps, &mut stops)?);
        let ledger = guards::keep_ledger(base, &mut threads, &mut stops)?;
        let module = guards::methods(base, ledger.as_ref(), &links)?;
        let open = open(base, &links, tables_seen, module)?;
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
        self.open.join();
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
        while !lease.is_valid(self.context.clock.now()) && start.elapsed() < limit {
            thread::sleep(STOP_POLL);
        }
    }
}
