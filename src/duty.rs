//! Starting and stopping the threads of duties.

use {
    crate::{
        lines,
        observe::{Event, report},
    },
    std::{
        cell::Cell,
        future::{Future, poll_fn},
        io,
        panic::{self, AssertUnwindSafe, PanicHookInfo},
        pin::pin,
        process,
        task::Poll,
        thread::{self, JoinHandle},
    },
    tokio::{
        sync::oneshot::{self, error::TryRecvError},
        task::LocalSet,
    },
};

/// Exit code of a process in which a duty panicked.
pub const PANICKED: i32 = 101;

thread_local! {
    /// Whether this thread polls work whose panic ends only that work.
    static IS_CONTAINED: Cell<bool> = const { Cell::new(false) };
}

/// Makes a panic of any duty end the process with code [`PANICKED`] and a log line that names the duty's thread and
/// the place: a process that lives on without one of its duties is ready but serves nobody. To be called by each
/// daemon once it logs.
pub fn exit_on_panic() {
    panic::set_hook(Box::new(|cause| {
        if IS_CONTAINED.get() {
            return report_panic(Event::CONNECTION_PANICKED, cause);
        }
        report_panic(Event::DUTY_PANICKED, cause);
        lines::flush();
        process::exit(PANICKED);
    }));
}

fn report_panic(event: Event, cause: &PanicHookInfo<'_>) {
    let current = thread::current();
    let name = current.name().unwrap_or("unnamed");
    let text = cause.payload_as_str().unwrap_or_default();
    match cause.location() {
        Some(place) => report(event, format_args!("{name} at {place}: {text}")),
        None => report(event, format_args!("{name}: {text}")),
    }
}

/// Runs `work`, whose panic ends only that work: `None`. For work on bytes of a single peer, which must not end a
/// process that serves others.
pub async fn contain<T>(work: impl Future<Output = T>) -> Option<T> {
    let mut work = pin!(work);
    poll_fn(move |context| {
        let was_contained = IS_CONTAINED.replace(true);
        let polled = panic::catch_unwind(AssertUnwindSafe(|| work.as_mut().poll(context)));
        IS_CONTAINED.set(was_contained);
        polled.map_or(Poll::Ready(None), |polled| polled.map(Some))
    })
    .await
}

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
    thread::Builder::new().name(name.to_owned()).spawn(run)
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
