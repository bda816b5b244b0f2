//! Bound on the bytes of responses that callers have not taken from a listener.
//!
//! A caller that reads slowly makes this VM hold its response. Further responses would wait for memory, or exceed
//! it; so the connections of the slowest callers are closed while the sum exceeds the bound.

use {
    super::progress::Progress,
    bytes::Bytes,
    std::{
        cell::RefCell,
        rc::Rc,
        sync::{Arc, Weak},
        time::{Duration, Instant},
    },
};

/// Time over which a caller's speed is measured. In the first one the kernel takes megabytes, whatever the caller does.
const WINDOW: Duration = Duration::from_secs(1);
/// Bytes in a window below which a caller is slow: the whole link of the smallest VMs (2 Mbit/s), so that none is
/// refused there for the speed of the link, and a caller that waits for its turn on a fast machine is not slow.
const SLOW_BYTES: u64 = 250_000;

/// Body whose last clone drops `_taken`.
struct Owned {
    body: Bytes,
    _taken: Arc<()>,
}

impl AsRef<[u8]> for Owned {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Response that its caller has not taken completely.
struct Row {
    bytes: usize,
    /// Has no owner any more once the response is taken.
    taken: Weak<()>,
    progress: Rc<Progress>,
    /// Start of the current window, and the bytes sent until then.
    window: (Instant, u64),
    /// Bytes sent in the window before, if there was one.
    speed: Option<u64>,
}

impl Row {
    fn measure(&mut self, now: Instant) {
        let (started, before) = self.window;
        if now.duration_since(started) >= WINDOW {
            let sent = self.progress.sent.get();
            self.speed = Some(sent - before);
            self.window = (now, sent);
        }
    }
}

/// Responses that the callers of a listener have not taken.
pub(super) struct Untaken {
    limit: usize,
    rows: RefCell<Vec<Row>>,
}

impl Untaken {
    /// Creates a bound of `limit` bytes.
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            rows: RefCell::default(),
        }
    }

    /// Counts a response to the peer of `progress` until the kernel has all of it. Returns its body.
    pub(super) fn add(&self, body: Bytes, progress: &Rc<Progress>) -> Bytes {
        if body.is_empty() {
            return body;
        }
        self.trim(body.len());
        let taken = Arc::new(());
        self.rows.borrow_mut().push(Row {
            bytes: body.len(),
            taken: Arc::downgrade(&taken),
            progress: Rc::clone(progress),
            window: (Instant::now(), progress.sent.get()),
            speed: None,
        });
        Bytes::from_owner(Owned {
            body,
            _taken: taken,
        })
    }

    /// Closes the connections of slow callers, the slowest first, until `bytes` more are within the bound.
    pub(super) fn trim(&self, bytes: usize) {
        let now = Instant::now();
        let mut rows = self.rows.borrow_mut();
        rows.retain_mut(|row| {
            row.measure(now);
            row.taken.strong_count() > 0
        });
        let mut sum: usize = bytes + rows.iter().map(|row| row.bytes).sum::<usize>();
        while sum > self.limit {
            let slow = rows.iter().enumerate().filter_map(|(at, row)| {
                let speed = row.speed.filter(|speed| *speed < SLOW_BYTES);
                speed.map(|speed| (speed, at))
            });
            let Some((_, at)) = slow.min() else { return };
            let row = rows.remove(at);
            sum -= row.bytes;
            row.progress.cut.notify_one();
        }
    }
}
