//! HTTP/1.1 listener with resource limits, on a dedicated thread.

use {
    super::{
        ahead::Ahead,
        exchange::{self, Incoming, Outgoing},
        held::Held,
        limits::Limits,
        progress::{ObservedStream, Progress},
        requests::Requests,
        secret::{SECRET_HEADER, Secret},
        untaken::Untaken,
    },
    crate::{
        context::Context,
        duty,
        observe::{Event, report},
    },
    hyper::{
        Request, body::Incoming as Body, header::HeaderValue, server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    snafu::{ResultExt, Snafu},
    std::{
        cell::Cell,
        future::{Future, poll_fn},
        io::{self, ErrorKind},
        net::SocketAddr,
        pin::Pin,
        rc::Rc,
        task::{Poll, ready},
        thread::JoinHandle,
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        runtime::{Builder, Runtime},
        sync::watch,
        task::LocalSet,
        time,
    },
};

const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of fields of a head: more than requests of that size have.
const MAX_HEADERS: usize = 512;
/// Bytes of request bodies that a listener holds, above which it reads one body at a time.
const HELD_BYTES: usize = 32 << 20;
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed accept, and interval at which connections are checked during shutdown.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time that a shutdown leaves for the rest of a request's head.
const HEAD_GRACE: Duration = Duration::from_secs(1);

/// Time for which a connection that was closed here still reads what its peer sends.
const LINGER: Duration = Duration::from_millis(500);

/// Asynchronous function from a request to its response; must not block the thread.
pub type Handler = Rc<dyn Fn(Incoming) -> Pin<Box<dyn Future<Output = Outgoing>>>>;

/// Configuration of a listener.
#[derive(Clone, Debug)]
pub struct Listener {
    /// Name of the listener in logs, and of its thread.
    pub name: &'static str,
    /// Address to bind to.
    pub address: SocketAddr,
    /// Resource limits.
    pub limits: Limits,
    /// Secret that every request must carry, if any.
    pub secret: Option<Secret>,
}

/// Error of a listener that could not start.
#[derive(Debug, Snafu)]
#[snafu(display("{name} listener on {address}: {source}"))]
pub struct ListenError {
    name: &'static str,
    address: SocketAddr,
    source: io::Error,
}

/// Handle of a running listener. Dropping it stops accepting connections; open requests complete.
#[derive(Debug)]
pub struct ListenerHandle {
    /// Bound address.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl ListenerHandle {
    /// Stops accepting connections, lets open requests complete and waits for the thread.
    pub fn join(mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            // The panic hook has reported a listener that panicked.
            let _ = thread.join();
        }
    }
}

impl Drop for ListenerHandle {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}

/// Binds the listener and serves it on a new thread, where `make_handler` builds the handler.
///
/// # Errors
/// The address cannot be bound, or the thread cannot start.
pub fn spawn(
    listener: Listener,
    context: Context,
    make_handler: impl FnOnce() -> Handler + Send + 'static,
) -> Result<ListenerHandle, ListenError> {
    let (name, address) = (listener.name, listener.address);
    let failed = ListenSnafu { name, address };
    let socket = std::net::TcpListener::bind(address).context(failed)?;
    socket.set_nonblocking(true).context(failed)?;
    let address = socket.local_addr().context(failed)?;
    let sockets = Sockets::new(socket).context(failed)?;
    let (stop, stopped) = watch::channel(false);
    let thread = duty::spawn(name, move || {
        serve(listener, sockets, context, &stopped, make_handler);
    });
    let thread = thread.context(failed)?;
    report(Event::LISTENING, format_args!("{name} on {address}"));
    Ok(ListenerHandle {
        address,
        stop,
        thread: Some(thread),
    })
}

/// What a listener needs descriptors for. Opened before its thread starts, as a process without descriptors must
/// fail to start and not run without a listener.
struct Sockets {
    runtime: Runtime,
    socket: TcpListener,
    backlog: std::net::TcpListener,
}

impl Sockets {
    fn new(socket: std::net::TcpListener) -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let backlog = socket.try_clone()?;
        let guard = runtime.enter();
        let socket = TcpListener::from_std(socket)?;
        drop(guard);
        Ok(Self {
            runtime,
            socket,
            backlog,
        })
    }
}

/// State of a listener, shared by its connections on the same thread.
struct Shared {
    listener: Listener,
    context: Context,
    handler: Handler,
    open: Cell<usize>,
    held: Held,
    /// Bytes of requests that were read ahead.
    ahead: Rc<Cell<usize>>,
    untaken: Untaken,
}

fn serve(
    listener: Listener,
    sockets: Sockets,
    context: Context,
    stopped: &watch::Receiver<bool>,
    make_handler: impl FnOnce() -> Handler,
) {
    let Sockets {
        runtime,
        socket,
        backlog,
    } = sockets;
    let local = LocalSet::new();
    // The number of other processes bounds the calls that carry the secret.
    let untaken_bytes = match listener.secret {
        Some(_) => usize::MAX,
        None => listener.limits.untaken_bytes,
    };
    let shared = Rc::new(Shared {
        listener,
        context,
        handler: make_handler(),
        open: Cell::new(0),
        held: Held::new(HELD_BYTES),
        ahead: Rc::default(),
        untaken: Untaken::new(untaken_bytes),
    });
    local.block_on(&runtime, async {
        accept_until_stopped(&shared, &socket, stopped).await;
        accept_backlog(&shared, &backlog, stopped);
        drop((socket, backlog));
        drain_connections(&shared).await;
    });
}

async fn accept_until_stopped(
    shared: &Rc<Shared>,
    socket: &TcpListener,
    signal: &watch::Receiver<bool>,
) {
    let mut stopped = signal.clone();
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            _ = stopped.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => accept_connection(shared, stream, signal.clone()),
            Err(error) => {
                report(
                    Event::ACCEPT_FAILED,
                    format_args!("{}: {error}", shared.listener.name),
                );
                time::sleep(POLL_INTERVAL).await;
            }
        }
    }
}

/// Accepts the connections that the kernel has established and that were not accepted yet. Closing the socket
/// would reset them, though their requests may have arrived. Asks the kernel, as the runtime learns of
/// connections only when it polls the socket.
fn accept_backlog(
    shared: &Rc<Shared>,
    socket: &std::net::TcpListener,
    stopped: &watch::Receiver<bool>,
) {
    while let Ok((stream, _)) = socket.accept() {
        let stream = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        if let Ok(stream) = stream {
            accept_connection(shared, stream, stopped.clone());
        }
    }
}

fn accept_connection(shared: &Rc<Shared>, stream: TcpStream, stopped: watch::Receiver<bool>) {
    let limit = shared.listener.limits.connections;
    if shared.open.get() >= limit {
        shared.context.metrics.count("connections_refused", 1);
        report(
            Event::CONNECTIONS_FULL,
            format_args!("{}: {limit}", shared.listener.name),
        );
        return;
    }
    // With Nagle's algorithm a small response may wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    shared.open.set(shared.open.get() + 1);
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        if duty::contain(serve_connection(&shared, stream, stopped))
            .await
            .is_none()
        {
            shared.context.metrics.count("connections_panicked", 1);
        }
        shared.open.set(shared.open.get() - 1);
    });
}

async fn serve_connection(shared: &Rc<Shared>, stream: TcpStream, stopped: watch::Receiver<bool>) {
    let (stream, progress) = ObservedStream::new(stream, Ahead::new(Rc::clone(&shared.ahead)));
    if serve_requests(shared, stream, &progress, stopped).await {
        // Closing a socket with bytes unread resets the connection, and the peer loses the last response.
        progress.end_sending();
        let _ = time::timeout(LINGER, poll_fn(|cx| progress.poll_discard(cx))).await;
    }
}

/// Serves the requests of a connection. Returns whether it was closed after a response or by its peer, and not
/// while idle or stalled.
async fn serve_requests(
    shared: &Rc<Shared>,
    stream: ObservedStream,
    progress: &Rc<Progress>,
    mut stopped: watch::Receiver<bool>,
) -> bool {
    let limits = shared.listener.limits;
    let requests = Requests::default();
    let service = service_fn(|request| {
        let is_pipelined = requests.begin(progress);
        let requests = &requests;
        async move {
            // hyper does not notice the end of a connection while a request waits behind another.
            if is_pipelined && progress.is_closed() {
                return Err(io::Error::from(ErrorKind::ConnectionAborted));
            }
            let mut outgoing = respond(shared, request, || requests.run(progress)).await;
            requests.end(progress);
            outgoing.body = shared.untaken.add(outgoing.body, progress);
            Ok(exchange::encode(outgoing))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_ms))
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A connection from the backlog has not been able to send its request yet.
    let mut stop = stopped.borrow().then(|| Stop::after(STALL_CHECK_INTERVAL));
    loop {
        let until_close = stop.as_ref().map_or(Duration::MAX, Stop::until_close);
        tokio::select! {
            biased;
            // A connection error affects only its peer, so it is not reported.
            _ = connection.as_mut() => return true,
            _ = stopped.changed(), if stop.is_none() => {
                // The kernel may hold a request; the runtime reads it before this timer fires.
                stop = Some(Stop::after(POLL_INTERVAL));
            }
            () = progress.cut.notified() => {
                shared.context.metrics.count("connections_slow", 1);
                return false;
            }
            is_open = read_ahead(&requests, progress) => {
                // hyper does not notice this while requests wait behind the one that runs.
                if !is_open {
                    return true;
                }
            }
            () = time::sleep(until_close.min(STALL_CHECK_INTERVAL)) => {
                if is_stalled(progress, limits.write_ms) {
                    shared.context.metrics.count("connections_stalled", 1);
                    return false;
                }
                shared.untaken.trim(0);
                let Some(stop) = &mut stop else { continue };
                let is_idle = requests.active.get() == 0 && progress.stalled.get().is_none();
                if stop.is_closing {
                    if is_idle {
                        return false;
                    }
                } else if stop.is_due(requests.has_partial_head(progress)) {
                    stop.is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Reads ahead behind a request that runs; returns whether the connection is open.
async fn read_ahead(requests: &Requests, progress: &Progress) -> bool {
    poll_fn(|cx| {
        // Polled after the connection, which may have accepted a request by now.
        if !requests.may_read_ahead(progress) {
            return Poll::Pending;
        }
        let length = ready!(progress.poll_read_ahead(cx));
        Poll::Ready(length > 0)
    })
    .await
}

/// Shutdown of a connection.
struct Stop {
    close_at: Instant,
    is_closing: bool,
}

impl Stop {
    fn after(delay: Duration) -> Self {
        Self {
            close_at: Instant::now() + delay,
            is_closing: false,
        }
    }

    /// Time until the connection is to be checked again.
    fn until_close(&self) -> Duration {
        if self.is_closing {
            return STALL_CHECK_INTERVAL;
        }
        let left = self.close_at.saturating_duration_since(Instant::now());
        left.max(POLL_INTERVAL)
    }

    /// Whether the connection accepts no further request from now on.
    fn is_due(&self, has_partial_head: bool) -> bool {
        let limit = if has_partial_head {
            HEAD_GRACE
        } else {
            Duration::ZERO
        };
        Instant::now() >= self.close_at + limit
    }
}

fn is_stalled(progress: &Progress, timeout_ms: u64) -> bool {
    let timeout = Duration::from_millis(timeout_ms);
    let stalled = progress.stalled.get();
    stalled.is_some_and(|since| since.elapsed() >= timeout)
}

async fn drain_connections(shared: &Shared) {
    // Terminates, as each connection is bounded by its head, body and write timeouts and by the
    // deadline of the call.
    while shared.open.get() > 0 {
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Calls `run` when the request is complete.
async fn respond(shared: &Rc<Shared>, request: Request<Body>, run: impl FnOnce()) -> Outgoing {
    let outgoing = match read(shared, request).await {
        Ok(incoming) => {
            run();
            (shared.handler)(incoming).await
        }
        Err(refusal) => refusal,
    };
    // Keeps the caller from sending another request on a connection that is about to close.
    if shared.context.is_stopping() {
        outgoing.with_connection_close()
    } else {
        outgoing
    }
}

async fn read(shared: &Shared, request: Request<Body>) -> Result<Incoming, Outgoing> {
    if !is_authorized(shared, &request) {
        shared.context.metrics.count("unauthorized", 1);
        report(
            Event::UNAUTHORIZED,
            format_args!("{}", shared.listener.name),
        );
        return Err(Outgoing::refusal(401, "unauthorized").with_connection_close());
    }
    exchange::read(&shared.listener.limits, &shared.held, request).await
}

fn is_authorized(shared: &Shared, request: &Request<Body>) -> bool {
    let Some(secret) = &shared.listener.secret else {
        return true;
    };
    let given = request.headers().get(SECRET_HEADER);
    secret.matches(given.map_or(&b""[..], HeaderValue::as_bytes))
}
