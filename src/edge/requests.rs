//! Requests of one connection, and what was received of those behind the one that is answered.

use {super::progress::Progress, std::cell::Cell};

/// Requests of a connection.
#[derive(Default)]
pub(super) struct Requests {
    /// Requests that have no response yet.
    pub(super) active: Cell<usize>,
    /// Whether one is complete and runs.
    is_running: Cell<bool>,
    /// Bytes that had been received when a request was last accepted or answered.
    handled: Cell<u64>,
    /// Bytes that had been received when a request was last complete.
    complete: Cell<u64>,
}

impl Requests {
    /// Accepts the head of a request; returns whether it was received together with the one before it.
    pub(super) fn begin(&self, progress: &Progress) -> bool {
        let received = progress.received.get();
        self.active.set(self.active.get() + 1);
        self.complete.set(received);
        self.handled.replace(received) == received
    }

    /// Records that a request's body is complete, so that what is received from now on belongs to the next one.
    pub(super) fn run(&self, progress: &Progress) {
        self.is_running.set(true);
        self.complete.set(progress.received.get());
    }

    pub(super) fn end(&self, progress: &Progress) {
        self.is_running.set(false);
        self.active.set(self.active.get() - 1);
        self.handled.set(progress.received.get());
    }

    /// Whether what arrives now belongs to requests behind one that is not answered, or whose response the peer
    /// has not taken.
    pub(super) fn may_read_ahead(&self, progress: &Progress) -> bool {
        self.is_running.get() || progress.stalled.get().is_some()
    }

    /// Whether a part of a request's head was received. Does not know of a part that was received together with
    /// the request before it.
    pub(super) fn has_partial_head(&self, progress: &Progress) -> bool {
        self.active.get() == 0 && self.complete.get() < progress.received.get()
    }
}
