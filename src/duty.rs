//! Starting and stopping the threads of duties.

use {
    std::{future::Future, io, thread::JoinHandle},
    tokio::{
        sync::oneshot::{self, error::TryRecvError},
        task::LocalSet,
    },
};

/// Runs a duty on its own thread, named `name`.
///
/// # Errors
/// The thread cannot be started.
///
/// ```
/// let thread = siskinstep::duty::spawn("adder", || assert_eq!(1 + 1, 2)).unwrap();
/// assert!(thread.join().is_ok());
/// ```
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name.to_owned()).spawn(run)
}

/// Runs a duty on its own thread, named `name`, with a single-threaded runtime that also runs local
/// tasks. Tasks that are still running when the duty ends are dropped.
///
/// # Errors
/// The thread or its runtime cannot be started.
///
/// ```
/// let thread = siskinstep::duty::spawn_local("waiter", || async {}).unwrap();
/// assert!(thread.join().is_ok());
/// ```
pub fn spawn_local<F: Future<Output = ()>>(
    name: &str,
    start: impl FnOnce() -> F + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    spawn(name, move || LocalSet::new().block_on(&runtime, start()))
}

/// Runs `duty` until it completes, or `stop` receives a message or closes.
pub async fn run_until(stop: oneshot::Receiver<()>, duty: impl Future<Output = ()>) {
    tokio::select! {
        () = duty => {}
        _ = stop => {}
    }
}

/// Whether the `stop` channel has closed or received a message. Never blocks; duties without an async
/// runtime poll it between messages.
///
/// ```
/// let (sender, mut stop) = tokio::sync::oneshot::channel();
/// assert!(!siskinstep::duty::is_closed(&mut stop));
/// drop(sender);
/// assert!(siskinstep::duty::is_closed(&mut stop));
/// ```
#[must_use]
pub fn is_closed(stop: &mut oneshot::Receiver<()>) -> bool {
    stop.try_recv() != Err(TryRecvError::Empty)
}
