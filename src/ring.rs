//! Bounded rings between duties. A full ring refuses, it never grows.
//!
//! A ring closes when its last sender is dropped; the receiving thread then ends.

use {
    std::{
        fmt,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
            mpsc::{self, Receiver, RecvTimeoutError, SyncSender, TrySendError},
        },
        time::Duration,
    },
    tokio::sync::mpsc as awaitable,
};

/// The sending end of a bounded ring.
pub struct Sender<T> {
    inner: SyncSender<T>,
    depth: Arc<AtomicUsize>,
}

impl<T> fmt::Debug for Sender<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sender")
            .field("depth", &self.depth())
            .finish_non_exhaustive()
    }
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self {
            inner: self.inner.clone(),
            depth: Arc::clone(&self.depth),
        }
    }
}

/// Why a message was not taken; the message is handed back.
#[derive(Debug)]
pub enum Rejected<T> {
    /// The ring holds its full capacity.
    Full(T),
    /// The receiving thread has ended.
    Closed(T),
}

impl<T> Sender<T> {
    /// Offers a message without waiting.
    ///
    /// # Errors
    /// Hands the message back when the ring is full or closed.
    ///
    /// ```
    /// use siskinstep::ring;
    /// let (tx, _rx) = ring::bounded(1);
    /// assert!(tx.offer(1).is_ok());
    /// assert!(matches!(tx.offer(2), Err(ring::Rejected::Full(2))));
    /// ```
    pub fn offer(&self, message: T) -> Result<(), Rejected<T>> {
        self.depth.fetch_add(1, Ordering::Relaxed);
        let sent = self.inner.try_send(message);
        if sent.is_err() {
            self.depth.fetch_sub(1, Ordering::Relaxed);
        }
        sent.map_err(|error| match error {
            TrySendError::Full(message) => Rejected::Full(message),
            TrySendError::Disconnected(message) => Rejected::Closed(message),
        })
    }

    /// Sends a message, waiting for room. Only for threads that owe no caller an answer.
    ///
    /// # Errors
    /// Hands the message back when the ring is closed.
    ///
    /// ```
    /// let (tx, rx) = siskinstep::ring::bounded(1);
    /// tx.send(7).unwrap();
    /// assert_eq!(rx.recv(), Some(7));
    /// ```
    pub fn send(&self, message: T) -> Result<(), Rejected<T>> {
        self.depth.fetch_add(1, Ordering::Relaxed);
        let sent = self.inner.send(message);
        if sent.is_err() {
            self.depth.fetch_sub(1, Ordering::Relaxed);
        }
        sent.map_err(|error| Rejected::Closed(error.0))
    }

    /// Messages waiting in the ring, for gauges.
    ///
    /// ```
    /// let (tx, _rx) = siskinstep::ring::bounded(2);
    /// tx.offer(1).unwrap();
    /// assert_eq!(tx.depth(), 1);
    /// ```
    #[must_use]
    pub fn depth(&self) -> usize {
        self.depth.load(Ordering::Relaxed)
    }
}

/// What a wait on a ring ended with.
#[derive(Debug, PartialEq, Eq)]
pub enum Wait<T> {
    /// A message.
    Message(T),
    /// The time was up.
    Timeout,
    /// Every sender is gone; the duty ends.
    Closed,
}

/// The receiving end of a bounded ring.
#[derive(Debug)]
pub struct Ring<T> {
    inner: Receiver<T>,
    depth: Arc<AtomicUsize>,
}

impl<T> Ring<T> {
    /// Waits for a message; `None` when every sender is gone.
    ///
    /// ```
    /// let (tx, rx) = siskinstep::ring::bounded::<u8>(1);
    /// drop(tx);
    /// assert_eq!(rx.recv(), None);
    /// ```
    #[must_use]
    pub fn recv(&self) -> Option<T> {
        let message = self.inner.recv().ok()?;
        self.depth.fetch_sub(1, Ordering::Relaxed);
        Some(message)
    }

    /// Waits for a message for at most `limit`.
    ///
    /// ```
    /// use siskinstep::ring::{self, Wait};
    /// use std::time::Duration;
    /// let (_tx, rx) = ring::bounded::<u8>(1);
    /// assert_eq!(rx.recv_within(Duration::ZERO), Wait::Timeout);
    /// ```
    #[must_use]
    pub fn recv_within(&self, limit: Duration) -> Wait<T> {
        match self.inner.recv_timeout(limit) {
            Ok(message) => {
                self.depth.fetch_sub(1, Ordering::Relaxed);
                Wait::Message(message)
            }
            Err(RecvTimeoutError::Timeout) => Wait::Timeout,
            Err(RecvTimeoutError::Disconnected) => Wait::Closed,
        }
    }
}

/// Makes a ring that holds at most `capacity` messages.
///
/// ```
/// let (tx, rx) = siskinstep::ring::bounded(4);
/// tx.offer("hello").unwrap();
/// assert_eq!(rx.recv(), Some("hello"));
/// ```
#[must_use]
pub fn bounded<T>(capacity: usize) -> (Sender<T>, Ring<T>) {
    let (tx, rx) = mpsc::sync_channel(capacity);
    let depth = Arc::new(AtomicUsize::new(0));
    let sender = Sender {
        inner: tx,
        depth: Arc::clone(&depth),
    };
    (sender, Ring { inner: rx, depth })
}

/// The sending end of a bounded ring whose receiver is a single-threaded runtime.
pub struct Outbox<T> {
    inner: awaitable::Sender<T>,
}

impl<T> Clone for Outbox<T> {
    fn clone(&self) -> Self {
        Self {
            inner: self.inner.clone(),
        }
    }
}

impl<T> fmt::Debug for Outbox<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Outbox")
            .field("depth", &self.depth())
            .finish_non_exhaustive()
    }
}

impl<T> Outbox<T> {
    /// Offers a message without waiting.
    ///
    /// # Errors
    /// Hands the message back when the ring is full or closed.
    ///
    /// ```
    /// use siskinstep::ring;
    /// let (tx, _rx) = ring::awaited(1);
    /// assert!(tx.offer(1).is_ok());
    /// assert!(matches!(tx.offer(2), Err(ring::Rejected::Full(2))));
    /// ```
    pub fn offer(&self, message: T) -> Result<(), Rejected<T>> {
        self.inner.try_send(message).map_err(|error| match error {
            awaitable::error::TrySendError::Full(message) => Rejected::Full(message),
            awaitable::error::TrySendError::Closed(message) => Rejected::Closed(message),
        })
    }

    /// Messages waiting in the ring, for gauges.
    ///
    /// ```
    /// let (tx, _rx) = siskinstep::ring::awaited::<u8>(4);
    /// assert_eq!(tx.depth(), 0);
    /// ```
    #[must_use]
    pub fn depth(&self) -> usize {
        self.inner.max_capacity() - self.inner.capacity()
    }
}

/// The receiving end of a ring that a single-threaded runtime awaits.
#[derive(Debug)]
pub struct Inbox<T> {
    inner: awaitable::Receiver<T>,
}

impl<T> Inbox<T> {
    /// Awaits a message; `None` when every sender is gone.
    pub async fn recv(&mut self) -> Option<T> {
        self.inner.recv().await
    }
}

/// Makes a ring of at most `capacity` messages for a duty that runs on a single-threaded runtime.
///
/// ```
/// let (tx, _rx) = siskinstep::ring::awaited(4);
/// tx.offer("hello").unwrap();
/// assert_eq!(tx.depth(), 1);
/// ```
#[must_use]
pub fn awaited<T>(capacity: usize) -> (Outbox<T>, Inbox<T>) {
    let (tx, rx) = awaitable::channel(capacity);
    (Outbox { inner: tx }, Inbox { inner: rx })
}
