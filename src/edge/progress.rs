//! TCP stream that records the progress of its transfers: since when a write to the peer is pending, and how
//! many bytes were received. Reads ahead what arrives behind a request that runs.

use {
    super::ahead::Ahead,
    socket2::SockRef,
    std::{
        cell::{Cell, RefCell},
        io::{self, ErrorKind},
        mem::MaybeUninit,
        net::Shutdown,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
        time::Instant,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        sync::Notify,
    },
};

/// Bytes of one read ahead.
const READ_BYTES: usize = 4 << 10;

/// A stream and the progress of its transfers.
#[derive(Debug)]
pub(super) struct Progress {
    stream: RefCell<TcpStream>,
    /// Instant since which a write has been pending, if one is.
    pub(super) stalled: Cell<Option<Instant>>,
    /// Bytes sent, as far as the kernel has taken them.
    pub(super) sent: Cell<u64>,
    /// Bytes received, including those read ahead.
    pub(super) received: Cell<u64>,
    ahead: RefCell<Ahead>,
    /// Asks for the end of the connection, as its peer reads too slowly.
    pub(super) cut: Notify,
}

impl Progress {
    /// Whether the peer has closed the connection. Asks the kernel, which also knows of an end that nobody has
    /// read yet.
    pub(super) fn is_closed(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.stream.borrow()).peek(&mut byte) {
            Ok(length) => length == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Reads ahead while there is room. Ready once bytes were read, with their number; 0 if the peer has closed
    /// the connection.
    pub(super) fn poll_read_ahead(&self, cx: &mut Context<'_>) -> Poll<usize> {
        let room = self.ahead.borrow().room();
        if room == 0 {
            return Poll::Pending;
        }
        let mut space = [0; READ_BYTES];
        let bytes = ready!(self.poll_receive(cx, &mut space[..room.min(READ_BYTES)]));
        self.ahead.borrow_mut().add(bytes);
        Poll::Ready(bytes.len())
    }

    /// Reads and discards what the peer sends; ready once it has closed the connection.
    pub(super) fn poll_discard(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut space = [0; READ_BYTES];
        while !ready!(self.poll_receive(cx, &mut space)).is_empty() {}
        Poll::Ready(())
    }

    /// Ends the sending direction.
    pub(super) fn end_sending(&self) {
        // Fails if the connection is gone.
        let _ = SockRef::from(&*self.stream.borrow()).shutdown(Shutdown::Write);
    }

    /// Reads from the socket; nothing if the peer has closed the connection.
    fn poll_receive<'a>(&self, cx: &mut Context<'_>, space: &'a mut [u8]) -> Poll<&'a [u8]> {
        let mut buf = ReadBuf::new(space);
        let mut stream = self.stream.borrow_mut();
        // A reset connection is closed.
        let _ = ready!(Pin::new(&mut *stream).poll_read(cx, &mut buf));
        let length = buf.filled().len();
        self.received.set(self.received.get() + length as u64);
        Poll::Ready(&space[..length])
    }
}

/// A TCP stream that records its progress.
pub(super) struct ObservedStream {
    progress: Rc<Progress>,
}

impl ObservedStream {
    pub(super) fn new(stream: TcpStream, ahead: Ahead) -> (Self, Rc<Progress>) {
        let progress = Rc::new(Progress {
            stream: RefCell::new(stream),
            stalled: Cell::default(),
            sent: Cell::default(),
            received: Cell::default(),
            ahead: RefCell::new(ahead),
            cut: Notify::new(),
        });
        let observed = Rc::clone(&progress);
        (Self { progress }, observed)
    }

    fn record(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let Progress { stalled, sent, .. } = &*self.progress;
        match &written {
            Poll::Ready(length) => {
                let length = length.as_ref().map_or(0, |length| *length);
                sent.set(sent.get() + length as u64);
                stalled.set(None);
            }
            Poll::Pending => stalled.set(stalled.get().or_else(|| Some(Instant::now()))),
        }
        written
    }

    /// Applies an operation to the stream.
    fn with<T>(&self, apply: impl FnOnce(Pin<&mut TcpStream>) -> T) -> T {
        apply(Pin::new(&mut *self.progress.stream.borrow_mut()))
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut ahead = self.progress.ahead.borrow_mut();
        if !ahead.is_empty() {
            buf.put_slice(&ahead.take(buf.remaining()));
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let read = self.with(|stream| stream.poll_read(cx, buf));
        let length = buf.filled().len() - before;
        let received = &self.progress.received;
        received.set(received.get() + length as u64);
        read
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.with(|stream| stream.poll_write(cx, buf));
        self.record(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.with(|stream| stream.poll_write_vectored(cx, bufs));
        self.record(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.progress.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_shutdown(cx))
    }
}
