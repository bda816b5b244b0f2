//! Cancellation of calls: a call is cancelled when the caller's guard is dropped.

use {std::future, tokio::sync::watch};

/// Guard held on the caller's side; dropping it cancels the call.
#[derive(Debug)]
pub struct Guard {
    _inner: watch::Sender<()>,
}

/// Cancellation signal that is passed along with the call.
#[derive(Clone, Debug)]
pub struct Cancel {
    inner: watch::Receiver<()>,
}

impl Cancel {
    /// Whether the guard was dropped.
    ///
    /// ```
    /// let (guard, cancel) = siskinstep::cancel::channel();
    /// assert!(!cancel.is_cancelled());
    /// drop(guard);
    /// assert!(cancel.is_cancelled());
    /// ```
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        self.inner.has_changed().is_err()
    }

    /// Waits until the guard is dropped.
    pub async fn cancelled(mut self) {
        while self.inner.changed().await.is_ok() {}
    }
}

/// Waits for cancellation; never returns if `cancel` is `None`.
pub async fn wait(cancel: Option<Cancel>) {
    match cancel {
        Some(cancel) => cancel.cancelled().await,
        None => future::pending().await,
    }
}

/// Creates a guard and the cancellation signal connected to it.
///
/// ```
/// let (_guard, cancel) = siskinstep::cancel::channel();
/// assert!(!cancel.is_cancelled());
/// ```
#[must_use]
pub fn channel() -> (Guard, Cancel) {
    let (tx, rx) = watch::channel(());
    (Guard { _inner: tx }, Cancel { inner: rx })
}
