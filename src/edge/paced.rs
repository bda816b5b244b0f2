//! A TCP stream that knows since when its peer has not taken what was written.

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

/// Since when a write has been waiting, if one is.
pub(super) type Stalled = Rc<Cell<Option<Instant>>>;

/// A stream whose waiting writes can be watched.
pub(super) struct Paced {
    inner: TcpStream,
    stalled: Stalled,
}

impl Paced {
    pub(super) fn new(inner: TcpStream) -> (Self, Stalled) {
        let stalled = Stalled::default();
        let watch = Rc::clone(&stalled);
        (Self { inner, stalled }, watch)
    }

    fn note<T>(&self, progress: Poll<T>) -> Poll<T> {
        match progress {
            Poll::Ready(_) => self.stalled.set(None),
            Poll::Pending => self
                .stalled
                .set(self.stalled.get().or_else(|| Some(Instant::now()))),
        }
        progress
    }
}

impl AsyncRead for Paced {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for Paced {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.note(progress)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.note(progress)
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
