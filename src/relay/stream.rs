//! TCP stream that the pool can inspect while the HTTP connection owns its I/O.

use {
    socket2::SockRef,
    std::{
        cell::Cell,
        io::{self, ErrorKind, IoSlice},
        mem::MaybeUninit,
        net::Shutdown,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// First byte of `HTTP/1.1`, with which each status line begins.
const STATUS_LINE_START: u8 = b'H';

/// A TCP stream; clones share the socket.
#[derive(Clone, Debug)]
pub(super) struct SharedStream {
    stream: Rc<TcpStream>,
    /// Whether the connection is reset when it is closed.
    resets: Rc<Cell<bool>>,
    /// Whether the next byte from the peer begins a response.
    awaits_head: Rc<Cell<bool>>,
    /// Whether the kernel has taken a byte since `begin_request`.
    has_written: Rc<Cell<bool>>,
    /// Whether the kernel is given no further bytes.
    is_sealed: Rc<Cell<bool>>,
}

impl SharedStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream: Rc::new(stream),
            resets: Rc::default(),
            awaits_head: Rc::default(),
            has_written: Rc::default(),
            is_sealed: Rc::default(),
        }
    }

    /// Whether the peer has neither sent bytes that are still unread nor closed the connection.
    /// Asks the kernel, as the runtime learns of new bytes only when it polls the socket.
    pub(super) fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.stream).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Requires the next byte from the peer to begin a status line. The HTTP parser skips empty lines before one.
    pub(super) fn begin_request(&self) {
        self.awaits_head.set(true);
        self.has_written.set(false);
    }

    /// Gives the kernel no further bytes. Returns whether it has taken any since `begin_request`.
    pub(super) fn seal(&self) -> bool {
        self.is_sealed.set(true);
        self.has_written.get()
    }

    /// Writes by `attempt`, unless the stream is sealed.
    fn poll_write_by(
        &self,
        cx: &mut Context<'_>,
        attempt: impl FnMut() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        if self.is_sealed.get() {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        let written = ready!(poll_io(|| self.stream.poll_write_ready(cx), attempt))?;
        self.has_written.set(self.has_written.get() || written > 0);
        Poll::Ready(Ok(written))
    }

    /// Checks the first byte of a response.
    fn check_head(&self, bytes: &[u8]) -> io::Result<()> {
        let Some(first) = bytes.first() else {
            return Ok(());
        };
        if self.awaits_head.take() && *first != STATUS_LINE_START {
            return Err(ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Makes the kernel reset the connection when it is closed, and discard bytes that the peer has not
    /// acknowledged.
    pub(super) fn reset_on_close(&self) {
        self.resets.set(true);
        // Without the option, the connection is closed in order.
        let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// Repeats `attempt` until it does not block; `ready` waits for the socket between two attempts.
fn poll_io<T>(
    mut ready: impl FnMut() -> Poll<io::Result<()>>,
    mut attempt: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    loop {
        ready!(ready())?;
        match attempt() {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let start = buf.filled().len();
        let read = poll_io(
            || self.stream.poll_read_ready(cx),
            || self.stream.try_read(buf.initialize_unfilled()),
        );
        let length = ready!(read)?;
        buf.advance(length);
        Poll::Ready(self.check_head(&buf.filled()[start..]))
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_by(cx, || self.stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_by(cx, || self.stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.resets.get() {
            // The end of the stream would be delivered before the reset.
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
