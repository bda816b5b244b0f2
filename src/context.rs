//! Process-wide context for all threads: identity of the VM, clock, metrics and shutdown state.

use {
    crate::{
        clock::Clock,
        explain::{self, Note, Step},
        keys::{RequestId, ZoneKey},
        observe::Metrics,
        ring::Sender,
        settings::topology::Topology,
    },
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

/// Shared context of a process; cheap to clone.
#[derive(Clone, Debug)]
pub struct Context {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Availability zone of this VM.
    pub zone: ZoneKey,
    /// Start time in milliseconds since the Unix epoch; increases with every restart.
    pub incarnation: u64,
    /// Regions, zones, services and request kinds declared in the settings.
    pub topology: Arc<Topology>,
    /// Monotonic clock.
    pub clock: Clock,
    /// Metric instruments.
    pub metrics: Metrics,
    /// Ring to the explain duty, if decisions are recorded.
    pub notes: Option<Sender<explain::Message>>,
    stopping: Arc<AtomicBool>,
    in_flight: Arc<AtomicUsize>,
}

impl Context {
    /// Creates the context of a process on the VM `vm`.
    ///
    /// ```
    /// use siskinstep::{context::Context, keys::ZoneKey};
    /// let context = Context::new("entry-1", ZoneKey(0), Default::default());
    /// assert!(!context.is_stopping());
    /// ```
    #[must_use]
    pub fn new(vm: &str, zone: ZoneKey, topology: Arc<Topology>) -> Self {
        Self {
            vm: vm.into(),
            zone,
            incarnation: crate::clock::wall_millis(),
            topology,
            clock: Clock::start(),
            metrics: Metrics::new(),
            notes: None,
            stopping: Arc::default(),
            in_flight: Arc::default(),
        }
    }

    /// Records a decision about a request for explain. If the ring is full, the note is dropped and counted
    /// in `notes_lost`.
    pub fn note(&self, request: RequestId, step: Step) {
        let Some(notes) = &self.notes else { return };
        let at = self.clock.now();
        let note = Note { request, at, step };
        if notes.offer(explain::Message::Note(note)).is_err() {
            self.metrics.count("notes_lost", 1);
        }
    }

    /// Whether a graceful shutdown has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Begins a graceful shutdown: new requests are refused from now on.
    pub fn begin_shutdown(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Number of requests in flight: accepted, with a response that is not completely written.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the guard is dropped.
    ///
    /// ```
    /// use siskinstep::{context::Context, keys::ZoneKey};
    /// let context = Context::new("entry-1", ZoneKey(0), Default::default());
    /// let guard = context.track_request();
    /// assert_eq!(context.in_flight(), 1);
    /// drop(guard);
    /// assert_eq!(context.in_flight(), 0);
    /// ```
    #[must_use]
    pub fn track_request(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard {
            count: Arc::clone(&self.in_flight),
        }
    }
}

/// Guard that counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    count: Arc<AtomicUsize>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}
