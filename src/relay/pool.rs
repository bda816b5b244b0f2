//! Pool of idle HTTP/1.1 connections by address. A connection serves one attempt at a time.

use {
    super::stream::SharedStream,
    crate::sorted::Sorted,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::{
            TrySendError,
            http1::{self, SendRequest},
        },
        ext::on_informational,
    },
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, time},
};

/// Interval of TCP keepalive probes on an idle connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is closed.
const PROBES: u32 = 2;

/// Maximum size of the buffer in which a connection reads a response's head: four times the heads that
/// servers usually accept. A head without end fails at this size.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Rejections after which a connection is no longer reused: bounds what it has to remember.
const MAX_REJECTIONS: usize = 16;

/// One HTTP/1.1 connection.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    stream: SharedStream,
    /// Hashed names of the requests that the peer rejected on it.
    rejected: Vec<u64>,
    /// Whether the peer has sent an interim response. No request asks for one, so that its peer may also send more
    /// than one response to a request.
    has_interim: Arc<AtomicBool>,
    /// Whether a request was sent whose response has not been read completely.
    is_awaiting: bool,
}

/// The bytes of one request on a connection.
#[derive(Debug)]
pub(crate) struct Exposure {
    stream: SharedStream,
}

impl Exposure {
    /// Ends the request: no further byte of it is written. Returns whether any was, so that the peer may run it.
    pub(crate) fn end(&self) -> bool {
        self.stream.seal()
    }
}

impl Drop for Connection {
    /// Resets the connection of a request that is given up. A close in order would leave its bytes in the
    /// kernel, which delivers them when a partition ends: the peer would run the request long after that.
    fn drop(&mut self) {
        if self.is_awaiting {
            self.stream.reset_on_close();
        }
    }
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// The connection failed; the error returns the request if no byte of it was written.
    pub(crate) async fn try_send_request(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.is_awaiting = true;
        self.stream.begin_request();
        let has_interim = Arc::clone(&self.has_interim);
        on_informational(&mut request, move |_| {
            has_interim.store(true, Ordering::Relaxed);
        });
        self.sender.try_send_request(request).await
    }

    /// Tells whether bytes of the next request are written.
    pub(crate) fn exposure(&self) -> Exposure {
        Exposure {
            stream: self.stream.clone(),
        }
    }

    /// Records that the response was read completely.
    pub(crate) fn mark_complete(&mut self) {
        self.is_awaiting = false;
    }

    /// Whether it can be sent a request: it is open, its last response was read completely, and the
    /// peer has sent nothing since. Bytes that no request asked for would be read as the next
    /// response.
    fn is_reusable(&self) -> bool {
        self.sender.is_ready() && self.stream.is_quiet()
    }

    fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Records that the peer rejected the request with this hashed name.
    pub(crate) fn record_rejection(&mut self, name: u64) {
        self.rejected.push(name);
    }

    /// Whether it may carry the request with this hashed name. After a rejection it may not: a late second copy
    /// of the rejection has the same name and would be read as the response to the new attempt, which the peer
    /// may run.
    fn may_carry(&self, name: u64) -> bool {
        !self.rejected.contains(&name)
    }
}

/// Idle connections by address, in the order in which they were returned.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Sorted<SocketAddr, Vec<Idle>>,
}

/// One idle connection.
#[derive(Debug)]
struct Idle {
    since: Instant,
    connection: Connection,
    named: bool,
}

impl Pool {
    /// Takes the most recently used connection that is ready and has been idle for less than
    /// `max_idle`.
    pub(crate) fn take(&mut self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        let (connection, _) = self.take_named(address, max_idle)?;
        Some(connection)
    }

    /// Like `take`, for a request with the hashed name `name` that the peer may have rejected before.
    pub(crate) fn take_for(
        &mut self,
        address: SocketAddr,
        max_idle: Duration,
        name: u64,
    ) -> Option<Connection> {
        let row = self.take_where(address, max_idle, |connection| connection.may_carry(name))?;
        Some(row.connection)
    }

    /// Like `take`, and returns whether responses on the connection name their requests.
    pub(super) fn take_named(
        &mut self,
        address: SocketAddr,
        max_idle: Duration,
    ) -> Option<(Connection, bool)> {
        let row = self.take_where(address, max_idle, |_| true)?;
        Some((row.connection, row.named))
    }

    /// Takes the most recently used connection that is usable and that `accepts` admits; closes the unusable
    /// ones that it finds before it.
    fn take_where(
        &mut self,
        address: SocketAddr,
        max_idle: Duration,
        accepts: impl Fn(&Connection) -> bool,
    ) -> Option<Idle> {
        let idle = self.idle.get_mut(&address)?;
        for at in (0..idle.len()).rev() {
            if !accepts(&idle[at].connection) {
                continue;
            }
            let row = idle.remove(at);
            if row.since.elapsed() < max_idle && row.connection.is_reusable() {
                return Some(row);
            }
        }
        None
    }

    /// Returns a connection to the pool. Its last response must have been read completely. Closes it after
    /// `MAX_REJECTIONS` or an interim response, and the least recently used one if more than `max` are idle.
    pub(crate) fn keep(&mut self, address: SocketAddr, connection: Connection, max: usize) {
        self.keep_named(address, connection, false, max);
    }

    /// Like `keep`, and stores whether responses on the connection name their requests.
    pub(super) fn keep_named(
        &mut self,
        address: SocketAddr,
        mut connection: Connection,
        named: bool,
        max: usize,
    ) {
        connection.mark_complete();
        let has_interim = connection.has_interim.load(Ordering::Relaxed);
        if has_interim || connection.rejected.len() >= MAX_REJECTIONS {
            return;
        }
        if self.idle.get(&address).is_none() {
            self.idle.insert(address, Vec::new());
        }
        let Some(idle) = self.idle.get_mut(&address) else {
            return;
        };
        idle.push(Idle {
            since: Instant::now(),
            connection,
            named,
        });
        if idle.len() > max {
            idle.remove(0);
        }
    }

    /// Whether any idle connection to `address` is open and quiet.
    pub(crate) fn has_open(&self, address: SocketAddr) -> bool {
        let idle = self.idle.get(&address);
        idle.is_some_and(|idle| idle.iter().any(|row| row.connection.is_reusable()))
    }

    /// Closes the idle connections to `address`, such as when one of them has stopped responding.
    pub(crate) fn retire(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Closes connections that have been idle for `max_idle` or longer.
    pub(crate) fn evict(&mut self, max_idle: Duration) {
        self.idle.retain(|_, idle| {
            idle.retain(|row| row.since.elapsed() < max_idle && !row.connection.is_closed());
            !idle.is_empty()
        });
    }
}

/// Configures TCP keepalive and the user timeout, so that the kernel closes a connection whose peer
/// no longer acknowledges data.
fn set_keepalive(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(PROBE_INTERVAL * (PROBES + 1)))
}

/// Opens a connection; its I/O runs as a task of this thread until it closes.
///
/// # Errors
/// The connection cannot be opened within `limit`, or the handshake fails.
pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Connection> {
    let stream = time::timeout(limit, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    set_keepalive(&stream)?;
    let stream = SharedStream::new(stream);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream.clone())).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    tokio::task::spawn_local(async move {
        // The attempt that uses the connection receives the error from `try_send_request`.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        stream,
        rejected: Vec::new(),
        has_interim: Arc::default(),
        is_awaiting: false,
    })
}
