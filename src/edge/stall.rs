//! TCP stream that records since when a write to its peer has made no progress.

use {
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Instant,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Instant since which a write has been pending, if one is.
pub(super) type StalledSince = Rc<Cell<Option<Instant>>>;

/// A TCP stream that records pending writes.
pub(super) struct StallDetector {
    inner: TcpStream,
    stalled: StalledSince,
}

impl StallDetector {
    pub(super) fn new(inner: TcpStream) -> (Self, StalledSince) {
        let stalled = StalledSince::default();
        let observed = Rc::clone(&stalled);
        (Self { inner, stalled }, observed)
    }

    fn record<T>(&self, progress: Poll<T>) -> Poll<T> {
        match progress {
            Poll::Ready(_) => self.stalled.set(None),
            Poll::Pending => self
                .stalled
                .set(self.stalled.get().or_else(|| Some(Instant::now()))),
        }
        progress
    }
}

impl AsyncRead for StallDetector {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for StallDetector {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.record(progress)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.record(progress)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
