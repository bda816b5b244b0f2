//! Bounded rings (queues) between duties. A full ring rejects messages; it never grows.
//!
//! A ring closes when its last sender is dropped; the receiving thread then exits.

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
    tokio::sync::mpsc as async_mpsc,
};

/// Sending end of a bounded ring.
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

/// Reason for rejecting a message, with the message itself.
#[derive(Debug)]
pub enum Rejected<T> {
    /// The ring is at its capacity.
    Full(T),
    /// The receiving end was dropped.
    Closed(T),
}

impl<T> Sender<T> {
    /// Sends a message without blocking.
    ///
    /// # Errors
    /// Returns the message if the ring is full or closed.
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

    /// Sends a message; blocks while the ring is full. Only for threads on which no caller
    /// waits for a response.
    ///
    /// # Errors
    /// Returns the message if the ring is closed.
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

    /// Number of messages in the ring, for gauges.
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

/// Result of waiting on a ring.
#[derive(Debug, PartialEq, Eq)]
pub enum Wait<T> {
    /// A message was received.
    Message(T),
    /// No message arrived within the time limit.
    Timeout,
    /// All senders were dropped; the duty should exit.
    Closed,
}

/// Receiving end of a bounded ring.
#[derive(Debug)]
pub struct Ring<T> {
    inner: Receiver<T>,
    depth: Arc<AtomicUsize>,
}

impl<T> Ring<T> {
    /// Blocks until a message arrives; `None` once all senders are dropped and the ring is empty.
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

    /// Blocks for at most `limit` until a message arrives.
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

/// Creates a ring that holds at most `capacity` messages.
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

/// Sending end of a bounded ring whose receiver is a task of a single-threaded async runtime.
pub struct AsyncSender<T> {
    inner: async_mpsc::Sender<T>,
}

impl<T> Clone for AsyncSender<T> {
    fn clone(&self) -> Self {
        Self {
            inner: self.inner.clone(),
        }
    }
}

impl<T> fmt::Debug for AsyncSender<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AsyncSender")
            .field("depth", &self.depth())
            .finish_non_exhaustive()
    }
}

impl<T> AsyncSender<T> {
    /// Sends a message without blocking.
    ///
    /// # Errors
    /// Returns the message if the ring is full or closed.
    ///
    /// ```
    /// use siskinstep::ring;
    /// let (tx, _rx) = ring::bounded_async(1);
    /// assert!(tx.offer(1).is_ok());
    /// assert!(matches!(tx.offer(2), Err(ring::Rejected::Full(2))));
    /// ```
    pub fn offer(&self, message: T) -> Result<(), Rejected<T>> {
        self.inner.try_send(message).map_err(|error| match error {
            async_mpsc::error::TrySendError::Full(message) => Rejected::Full(message),
            async_mpsc::error::TrySendError::Closed(message) => Rejected::Closed(message),
        })
    }

    /// Number of messages in the ring, for gauges.
    ///
    /// ```
    /// let (tx, _rx) = siskinstep::ring::bounded_async::<u8>(4);
    /// assert_eq!(tx.depth(), 0);
    /// ```
    #[must_use]
    pub fn depth(&self) -> usize {
        self.inner.max_capacity() - self.inner.capacity()
    }
}

/// Receiving end of a bounded ring, awaited by a task of a single-threaded async runtime.
#[derive(Debug)]
pub struct AsyncReceiver<T> {
    inner: async_mpsc::Receiver<T>,
}

impl<T> AsyncReceiver<T> {
    /// Awaits a message; `None` once all senders are dropped and the ring is empty.
    pub async fn recv(&mut self) -> Option<T> {
        self.inner.recv().await
    }

    /// A message that is in the ring already, if there is one.
    ///
    /// ```
    /// let (tx, mut rx) = siskinstep::ring::bounded_async(1);
    /// assert_eq!(rx.poll(), None);
    /// tx.offer(7).unwrap();
    /// assert_eq!(rx.poll(), Some(7));
    /// ```
    pub fn poll(&mut self) -> Option<T> {
        self.inner.try_recv().ok()
    }
}

/// Creates a ring of at most `capacity` messages for a duty on a single-threaded async runtime.
///
/// ```
/// let (tx, _rx) = siskinstep::ring::bounded_async(4);
/// tx.offer("hello").unwrap();
/// assert_eq!(tx.depth(), 1);
/// ```
#[must_use]
pub fn bounded_async<T>(capacity: usize) -> (AsyncSender<T>, AsyncReceiver<T>) {
    let (tx, rx) = async_mpsc::channel(capacity);
    (AsyncSender { inner: tx }, AsyncReceiver { inner: rx })
}
