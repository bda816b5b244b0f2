//! What every thread of a process is handed: who we are, the clock, the metrics.

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

/// The shared context of one process; cheap to clone.
#[derive(Clone, Debug)]
pub struct Context {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Availability zone of this VM.
    pub zone: ZoneKey,
    /// Rises on every restart; milliseconds since the Unix epoch at the start.
    pub incarnation: u64,
    /// Names that the settings declare.
    pub topology: Arc<Topology>,
    /// Monotonic clock.
    pub clock: Clock,
    /// Instruments.
    pub metrics: Metrics,
    /// Where decisions are noted, if anywhere.
    pub notes: Option<Sender<explain::Message>>,
    stopping: Arc<AtomicBool>,
    inflight: Arc<AtomicUsize>,
}

impl Context {
    /// Makes the context of a process on the VM `vm`.
    ///
    /// ```
    /// use siskinstep::{context::Context, keys::ZoneKey};
    /// let context = Context::new("entry-1", ZoneKey(0), Default::default());
    /// assert!(!context.stopping());
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
            inflight: Arc::default(),
        }
    }

    /// Notes a decision about a request. With a full ring the note is lost and counted.
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
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Begins a graceful shutdown: new work is refused from here on.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Requests taken from callers and not yet answered to the last byte.
    #[must_use]
    pub fn inflight(&self) -> usize {
        self.inflight.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the guard is dropped.
    ///
    /// ```
    /// use siskinstep::{context::Context, keys::ZoneKey};
    /// let context = Context::new("entry-1", ZoneKey(0), Default::default());
    /// let guard = context.enter();
    /// assert_eq!(context.inflight(), 1);
    /// drop(guard);
    /// assert_eq!(context.inflight(), 0);
    /// ```
    #[must_use]
    pub fn enter(&self) -> InFlight {
        self.inflight.fetch_add(1, Ordering::SeqCst);
        InFlight {
            count: Arc::clone(&self.inflight),
        }
    }
}

/// Counts one request as in flight while it lives.
#[derive(Debug)]
pub struct InFlight {
    count: Arc<AtomicUsize>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}
