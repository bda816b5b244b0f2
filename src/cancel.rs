//! Cancellation: the caller holds one end, and dropping it cancels the call.

use {std::future, tokio::sync::watch};

/// The caller's end; dropping it cancels.
#[derive(Debug)]
pub struct Guard {
    _inner: watch::Sender<()>,
}

/// The end that travels with the call.
#[derive(Clone, Debug)]
pub struct Cancel {
    inner: watch::Receiver<()>,
}

impl Cancel {
    /// Whether the caller's end was dropped.
    ///
    /// ```
    /// let (guard, cancel) = siskinstep::cancel::pair();
    /// assert!(!cancel.is_cancelled());
    /// drop(guard);
    /// assert!(cancel.is_cancelled());
    /// ```
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        self.inner.has_changed().is_err()
    }

    /// Waits until the caller's end is dropped.
    pub async fn cancelled(mut self) {
        while self.inner.changed().await.is_ok() {}
    }
}

/// Waits for the cancellation of a call that may have none.
pub async fn of(cancel: Option<Cancel>) {
    match cancel {
        Some(cancel) => cancel.cancelled().await,
        None => future::pending().await,
    }
}

/// Makes the two ends.
///
/// ```
/// let (_guard, cancel) = siskinstep::cancel::pair();
/// assert!(!cancel.is_cancelled());
/// ```
#[must_use]
pub fn pair() -> (Guard, Cancel) {
    let (tx, rx) = watch::channel(());
    (Guard { _inner: tx }, Cancel { inner: rx })
}
