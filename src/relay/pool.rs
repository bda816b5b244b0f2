//! Idle connections by address. A connection serves one attempt at a time.

use {
    crate::sorted::Sorted,
    bytes::Bytes,
    http_body_util::Full,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{
        io,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, time},
};

/// Time between probes of a connection on which nothing arrives.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is dead.
const PROBES: u32 = 2;

/// One connection, ready for a request.
pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// Idle connections by address.
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
    /// Takes the connection that was used last, if one is usable.
    pub(crate) fn take(&mut self, address: SocketAddr, keep: Duration) -> Option<Connection> {
        let (connection, _) = self.take_named(address, keep)?;
        Some(connection)
    }

    /// The same, with whether its answers name their requests.
    pub(super) fn take_named(
        &mut self,
        address: SocketAddr,
        keep: Duration,
    ) -> Option<(Connection, bool)> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(row) = idle.pop() {
            if row.since.elapsed() < keep && row.connection.is_ready() {
                return Some((row.connection, row.named));
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its last byte.
    pub(crate) fn keep(&mut self, address: SocketAddr, connection: Connection, most: usize) {
        self.keep_named(address, connection, false, most);
    }

    /// The same, with whether its answers name their requests.
    pub(super) fn keep_named(
        &mut self,
        address: SocketAddr,
        connection: Connection,
        named: bool,
        most: usize,
    ) {
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
        if idle.len() > most {
            idle.remove(0);
        }
    }

    /// Closes the idle connections to `address`, such as when one of them went silent.
    pub(crate) fn retire(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Closes connections that have been idle for longer than `keep`.
    pub(crate) fn evict(&mut self, keep: Duration) {
        self.idle.retain(|_, idle| {
            idle.retain(|row| row.since.elapsed() < keep && !row.connection.is_closed());
            !idle.is_empty()
        });
    }
}

/// Lets the system end a connection whose other end acknowledges nothing any more.
fn watch(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(PROBE_INTERVAL * (PROBES + 1)))
}

/// Opens a connection; its I/O runs as a task of this thread until it closes.
pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Connection> {
    let stream = time::timeout(limit, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    watch(&stream)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::task::spawn_local(async move {
        // The attempt that uses the connection sees the error itself.
        let _ = connection.await;
    });
    Ok(sender)
}
