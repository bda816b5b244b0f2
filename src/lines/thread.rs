//! Thread that writes log lines, and the logger that sends lines to it.

use {
    super::{limit::RateLimiter, messages::Line},
    crate::{
        clock::Clock,
        duty,
        ring::{self, Ring, Sender},
    },
    env_logger::{Builder, Env},
    log::{Level, Log, Metadata, Record},
    std::{
        io::Write,
        sync::{
            OnceLock,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Ring capacity: about one second of lines on a busy VM, a few hundred kilobytes.
const RING_LINES: usize = 1_024;
/// Ring depth from which lines below level `warn` are dropped.
const INFO_RING_LINES: usize = RING_LINES / 2;
/// Maximum time to wait for lines to be written at process exit: a stalled reader must not block the exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which a flush polls the writer's progress.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

static LOGGER: OnceLock<Logger> = OnceLock::new();

/// Logger that never blocks the calling thread, except in a flush.
pub(super) struct Logger {
    /// Levels by module, from `RUST_LOG`.
    filter: env_logger::Logger,
    ring: Sender<Line>,
    /// Lines dropped at a full ring, since the last line written.
    dropped: AtomicU64,
    /// Lines sent to the writer.
    accepted: AtomicU64,
    /// Lines that the writer has written or omitted.
    processed: AtomicU64,
}

impl Logger {
    pub(super) fn new(ring: Sender<Line>) -> Self {
        let env = Env::default().default_filter_or("info");
        Self {
            filter: Builder::from_env(env).build(),
            ring,
            dropped: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            processed: AtomicU64::new(0),
        }
    }

    /// Returns the number of dropped lines and resets it.
    pub(super) fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.filter.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.filter.matches(record) {
            return;
        }
        let is_below_warn = record.level() > Level::Warn;
        let is_over_share = is_below_warn && self.ring.depth() >= INFO_RING_LINES;
        if is_over_share || self.ring.offer(Line::from_record(record)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            self.accepted.fetch_add(1, Ordering::Release);
        }
    }

    fn flush(&self) {
        let start = Instant::now();
        let accepted = self.accepted.load(Ordering::Acquire);
        while self.processed.load(Ordering::Acquire) < accepted && start.elapsed() < FLUSH_TIMEOUT {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

/// Starts logging to `out` with the encoding `encode`; `RUST_LOG` overrides the default level `info`. Further
/// calls, as in tests, have no effect.
pub fn start(encode: fn(&Line) -> String, out: impl Write + Send + 'static) {
    let (sender, ring) = ring::bounded(RING_LINES);
    let logger = Logger::new(sender);
    let level = logger.filter.filter();
    if LOGGER.set(logger).is_err() {
        return;
    }
    let Some(logger) = LOGGER.get() else { return };
    let writer = move || run(&ring, logger, encode, out);
    if duty::spawn("lines", writer).is_ok() && log::set_logger(logger).is_ok() {
        log::set_max_level(level);
    }
}

/// Waits up to 200 ms until all lines logged so far are written; for use before the process exits.
pub fn flush() {
    log::logger().flush();
}

fn run(ring: &Ring<Line>, logger: &Logger, encode: fn(&Line) -> String, mut out: impl Write) {
    let clock = Clock::start();
    let mut limiter = RateLimiter::default();
    while let Some(mut line) = ring.recv() {
        if limiter.admit(&mut line, clock.now()) {
            line.omitted += logger.take_dropped();
            // A write error cannot be reported anywhere; the next line is attempted regardless.
            let _ = writeln!(out, "{}", encode(&line)).and_then(|()| out.flush());
        }
        logger.processed.fetch_add(1, Ordering::Release);
    }
}
