//! Bytes of pipelined requests that were read from a socket before the connection takes them.
//!
//! hyper reads at most once behind a request that runs. Callers give up on a VM that leaves a request unread, so the
//! rest is read into a buffer here.

use {
    bytes::{Buf, BytesMut},
    std::{cell::Cell, rc::Rc},
};

/// Bytes read ahead on one connection. This also bounds the requests: the smallest has 18 bytes, so that there are
/// at most 1,820.
const CONNECTION_BYTES: usize = 32 << 10;
/// Bytes read ahead on all connections of a listener; further ones stay in the kernel.
const LISTENER_BYTES: usize = 4 << 20;

/// Bytes read ahead on one connection.
#[derive(Debug)]
pub(super) struct Ahead {
    bytes: BytesMut,
    /// Bytes read ahead on all connections of the listener.
    total: Rc<Cell<usize>>,
}

impl Ahead {
    pub(super) fn new(total: Rc<Cell<usize>>) -> Self {
        Self {
            bytes: BytesMut::new(),
            total,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Bytes that may be added.
    pub(super) fn room(&self) -> usize {
        let connection = CONNECTION_BYTES.saturating_sub(self.bytes.len());
        connection.min(LISTENER_BYTES.saturating_sub(self.total.get()))
    }

    pub(super) fn add(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
        self.total.set(self.total.get() + bytes.len());
    }

    /// Takes up to `max` bytes.
    pub(super) fn take(&mut self, max: usize) -> BytesMut {
        let length = max.min(self.bytes.len());
        self.total.set(self.total.get() - length);
        if length == self.bytes.len() {
            // An idle connection keeps no buffer.
            return std::mem::take(&mut self.bytes);
        }
        let taken = BytesMut::from(&self.bytes[..length]);
        self.bytes.advance(length);
        taken
    }
}

impl Drop for Ahead {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes.len());
    }
}
