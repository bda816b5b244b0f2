//! Bound on the bytes of bodies that a thread holds in memory: of upstreams' responses, or of callers' requests.
//!
//! It applies when many peers send large bodies at the same time, or send without end, or when
//! callers read slowly. A body is read only while there is room; the bytes that are not read stay in
//! the kernel's window and slow the sender down. The bytes of a response count until its caller has it,
//! those of a request until it is over.

use {
    bytes::{Bytes, BytesMut},
    hyper::body::{Body, Frame},
    std::{
        cell::RefCell,
        collections::VecDeque,
        future::{Future, poll_fn},
        pin::{Pin, pin},
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
    tokio::sync::Notify,
};

/// Bytes held by the process, released from any thread.
#[derive(Debug, Default)]
struct Counter {
    bytes: AtomicUsize,
    /// Those of complete bodies.
    complete: AtomicUsize,
    released: Notify,
}

/// A part of the bytes held, released when dropped.
#[derive(Debug)]
struct Share {
    counter: Arc<Counter>,
    bytes: usize,
    is_complete: bool,
}

impl Share {
    fn complete(&mut self) {
        self.counter
            .complete
            .fetch_add(self.bytes, Ordering::Relaxed);
        self.is_complete = true;
    }

    fn add(&mut self, bytes: usize) {
        self.counter.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.counter.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        if self.is_complete {
            self.counter
                .complete
                .fetch_sub(self.bytes, Ordering::Relaxed);
        }
        self.counter.released.notify_waiters();
    }
}

/// Complete body whose share is released with its last clone.
struct Owned {
    body: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Owned {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Reason why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It ended early or was malformed.
    Cut,
    /// It exceeds its maximum size.
    TooLarge,
}

/// Reads the bodies of messages on one thread; clones share the bound.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    limit: usize,
    /// Whether even the oldest body waits while others reach the bound, if owners keep complete ones.
    is_strict: bool,
    counter: Arc<Counter>,
    /// Bodies being read, oldest first.
    readers: Rc<RefCell<VecDeque<u64>>>,
}

/// Entry of a body in `readers`, removed when dropped.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    held: &'a Held,
    number: u64,
}

impl Drop for Reader<'_> {
    fn drop(&mut self) {
        self.held
            .readers
            .borrow_mut()
            .retain(|number| *number != self.number);
        self.held.counter.released.notify_waiters();
    }
}

impl Held {
    /// Creates a bound of `limit` bytes. Beyond it, bodies are read one after the other, whatever the owners of
    /// complete ones keep.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            is_strict: false,
            counter: Arc::default(),
            readers: Rc::default(),
        }
    }

    /// Creates a bound of `limit` bytes that is exceeded by one body and one frame at most. For bodies whose owners
    /// release them in a bounded time, such as responses on their way to callers.
    pub(crate) fn strict(limit: usize) -> Self {
        Self {
            is_strict: true,
            ..Self::new(limit)
        }
    }

    /// Bytes held now.
    #[cfg(test)]
    pub(crate) fn bytes(&self) -> usize {
        self.counter.bytes.load(Ordering::Relaxed)
    }

    /// Enters a body as the newest reader.
    pub(crate) fn start_reader(&self) -> Reader<'_> {
        let mut readers = self.readers.borrow_mut();
        let number = readers.back().map_or(0, |last| last + 1);
        readers.push_back(number);
        Reader { held: self, number }
    }

    /// Reads a complete body of at most `max_bytes`. Waits while the bound is reached, except for the
    /// oldest body, so that bodies which are partly read do not wait for each other.
    ///
    /// # Errors
    /// The body is too large or ends early.
    pub(crate) async fn collect<B: Body<Data = Bytes>>(
        &self,
        body: B,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError> {
        let mut body = pin!(body);
        let mut share = Share {
            counter: Arc::clone(&self.counter),
            bytes: 0,
            is_complete: false,
        };
        let reader = self.start_reader();
        let mut first = Bytes::new();
        let mut rest = BytesMut::new();
        loop {
            let Some(frame) = self
                .next_frame(reader.number, share.bytes, body.as_mut())
                .await
            else {
                break;
            };
            // Trailers are not forwarded.
            let Ok(data) = frame.map_err(|_| BodyError::Cut)?.into_data() else {
                continue;
            };
            if data.len() > max_bytes - share.bytes {
                return Err(BodyError::TooLarge);
            }
            if share.bytes == 0 {
                first = data.clone();
            } else {
                if rest.is_empty() {
                    rest.extend_from_slice(&first);
                }
                rest.extend_from_slice(&data);
            }
            share.add(data.len());
        }
        let body = if rest.is_empty() {
            first
        } else {
            rest.freeze()
        };
        share.complete();
        Ok(Bytes::from_owner(Owned {
            body,
            _share: share,
        }))
    }

    /// Whether the next frame of a body may be read, of which `own` bytes are held.
    fn has_room(&self, number: u64, own: usize) -> bool {
        let bytes = self.counter.bytes.load(Ordering::Relaxed);
        if self.readers.borrow().front() != Some(&number) {
            return bytes < self.limit;
        }
        // Without complete bodies, nobody else would make room.
        let is_exempt = !self.is_strict || self.counter.complete.load(Ordering::Relaxed) == 0;
        is_exempt || bytes - own < self.limit
    }

    /// Reads the next frame once there is room. Room is checked at each poll, as other bodies may have
    /// taken it since the last one.
    async fn next_frame<B: Body>(
        &self,
        number: u64,
        own: usize,
        mut body: Pin<&mut B>,
    ) -> Option<Result<Frame<B::Data>, B::Error>> {
        loop {
            // Registered before the check, so that a release in between is not missed.
            let mut released = pin!(self.counter.released.notified());
            released.as_mut().enable();
            let polled = poll_fn(|cx| {
                if self.has_room(number, own) {
                    return body.as_mut().poll_frame(cx).map(Some);
                }
                released.as_mut().poll(cx).map(|()| None)
            });
            if let Some(frame) = polled.await {
                return frame;
            }
        }
    }
}
